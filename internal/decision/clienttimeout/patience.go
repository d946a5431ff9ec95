// Package patience keeps how long clients of a class are prepared to wait: a histogram of the share of the deadline that was left
// when their tries came, in which old tries fade. It decides nothing.
package clienttimeout

const (
	binCount = 101 // shares of the deadline told apart
	halveAt  = 128 // tries that count in full; then the older ones count half
)

// Histogram is the histogram. Its zero value is empty.
type Histogram struct {
	counts    [binCount]int
	samples   int
	modeCount int
}

// Samples is how many tries count.
func (h *Histogram) Samples() int { return h.samples }

// ModeCount is how many tries count with about the commonest share.
func (h *Histogram) ModeCount() int { return h.modeCount }

// Observe counts a try that came with this share of its deadline left, and returns how many came with about the same one.
func (h *Histogram) Observe(share float64) int {
	bin := int(min(max(share, 0), 1)*(binCount-1) + 0.5)
	h.counts[bin]++
	h.samples++
	near := h.countAround(bin)
	h.modeCount = max(h.modeCount, near)
	if h.samples >= halveAt {
		h.halve()
	}
	return near
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

func (h *Histogram) countAround(bin int) (n int) {
	for i := max(bin-1, 0); i <= min(bin+1, binCount-1); i++ {
		n += h.counts[i]
	}
	return n
}
