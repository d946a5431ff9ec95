// Package clienttimeout learns how long the clients of a class wait, to distinguish first requests from client
// retries: a first request arrives with one of a few common shares of its deadline left, a retry with what its
// first request has left over. The package decides nothing.
package clienttimeout

const (
	binCount = 101 // bins of 1% of the deadline each, from 0 to 100%
	halveAt  = 128 // requests in the histogram; at this number all counts are halved, so that old ones lose weight
)

// Histogram counts requests by the share of their deadline that was left on arrival. Its zero value is empty.
type Histogram struct {
	counts    [binCount]int
	samples   int
	modeCount int
}

// Samples returns how many requests the histogram holds.
func (h *Histogram) Samples() int { return h.samples }

// ModeCount returns how many requests are within 1% of the most common share.
func (h *Histogram) ModeCount() int { return h.modeCount }

// Observe adds a request that arrived with a share (0 to 1) of its deadline left. It returns how many
// requests, with this one, are within 1% of that share.
func (h *Histogram) Observe(share float64) int {
	bin := int(min(max(share, 0), 1)*(binCount-1) + 0.5)
	h.counts[bin]++
	h.samples++
	similar := h.countAround(bin)
	h.modeCount = max(h.modeCount, similar)
	if h.samples >= halveAt {
		h.halve()
	}
	return similar
}

func (h *Histogram) halve() {
	h.samples, h.modeCount = 0, 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.samples += h.counts[i]
	}
	for i := range h.counts {
		h.modeCount = max(h.modeCount, h.countAround(i))
	}
}

// countAround returns the count of a bin and its neighbours.
func (h *Histogram) countAround(bin int) (n int) {
	for i := max(bin-1, 0); i <= min(bin+1, binCount-1); i++ {
		n += h.counts[i]
	}
	return n
}
