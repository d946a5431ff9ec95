package clienttimeout

import (
	"math/rand/v2"
	"testing"
)

// Guards against wrong counts in the histogram: until the counts are halved they must match those of a plain list
// of requests, and after that the most common share must still be found.
func TestHistogram_MatchesPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var h Histogram
	var bins []int
	for i := range halveAt - 1 {
		share := rng.Float64()*1.4 - 0.2
		if i%2 == 0 {
			share = 0.75
		}
		bin := int(min(max(share, 0), 1)*(binCount-1) + 0.5)
		bins = append(bins, bin)
		want := 0
		for _, b := range bins {
			if b >= bin-1 && b <= bin+1 {
				want++
			}
		}
		if got := h.Observe(share); got != want || h.Samples() != i+1 {
			t.Fatalf("request %d: %d of %d requests have a similar share, want %d of %d", i, got, h.Samples(), want, i+1)
		}
	}
	h.Observe(0.75)
	if h.Samples() > halveAt/2 || h.ModeCount() < h.Samples()/3 {
		t.Fatalf("after halving: %d requests, %d with the most common share, want at most %d, and a third of them with it",
			h.Samples(), h.ModeCount(), halveAt/2)
	}
}
