// Package patience keeps how long clients of a class are prepared to wait: a histogram of the share of the deadline that was left
// when their tries came, in which old tries fade. It decides nothing.
package patience

const (
	bins = 101 // shares of the deadline told apart
	kept = 128 // tries that count in full; then the older ones count half
)

// Hist is the histogram. Its zero value is empty.
type Hist struct {
	times [bins]int
	seen  int
	most  int
}

// Seen is how many tries count.
func (h *Hist) Seen() int { return h.seen }

// Most is how many tries count with about the commonest share.
func (h *Hist) Most() int { return h.most }

// Came counts a try that came with this share of its deadline left, and returns how many came with about the same one.
func (h *Hist) Came(share float64) int {
	bin := int(min(max(share, 0), 1)*(bins-1) + 0.5)
	h.times[bin]++
	h.seen++
	near := h.near(bin)
	h.most = max(h.most, near)
	if h.seen >= kept {
		h.fade()
	}
	return near
}

func (h *Hist) fade() {
	h.seen, h.most = 0, 0
	for i := range h.times {
		h.times[i] /= 2
		h.seen += h.times[i]
	}
	for i := range h.times {
		h.most = max(h.most, h.near(i))
	}
}

func (h *Hist) near(bin int) (n int) {
	for i := max(bin-1, 0); i <= min(bin+1, bins-1); i++ {
		n += h.times[i]
	}
	return n
}
