// Package clienttimeout learns the client timeouts of a class of requests, which distinguish first requests from
// client retries. A first request arrives with one of a few common fractions of the class's deadline left; a
// client retry arrives with the time that its first request left over. The package makes no decisions.
package clienttimeout

const (
	binCount = 101 // bins of 1% of the deadline each, from 0 to 100%
	halveAt  = 128 // number of requests at which all counts are halved, so that old requests lose weight
)

// Histogram counts requests by the fraction of the class's deadline left on arrival. Its zero value is empty.
type Histogram struct {
	counts    [binCount]int
	samples   int
	modeCount int
}

// Samples returns the number of requests in the histogram.
func (h *Histogram) Samples() int { return h.samples }

// ModeCount returns the number of requests within one bin (1%) of the most common fraction.
func (h *Histogram) ModeCount() int { return h.modeCount }

// Observe adds a request that arrived with the given share (0 to 1) of the class's deadline left. It returns the
// number of requests, including this one, within one bin (1%) of that share.
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

// countAround returns the sum of the counts of a bin and its neighbours.
func (h *Histogram) countAround(bin int) (n int) {
	for i := max(bin-1, 0); i <= min(bin+1, binCount-1); i++ {
		n += h.counts[i]
	}
	return n
}
