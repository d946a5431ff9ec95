package clienttimeout

import (
	"math/rand/v2"
	"testing"
)

// The counts are those of a plain list of tries as long as nothing has faded, and the commonest share is found after it has, too.
func TestHistogram_MatchesPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var h Histogram
	var plain []int
	for i := range halveAt - 1 {
		share := rng.Float64()*1.4 - 0.2
		if i%2 == 0 {
			share = 0.75
		}
		bin := int(min(max(share, 0), 1)*(binCount-1) + 0.5)
		plain = append(plain, bin)
		near := 0
		for _, p := range plain {
			if p >= bin-1 && p <= bin+1 {
				near++
			}
		}
		if got := h.Observe(share); got != near || h.Samples() != i+1 {
			t.Fatalf("try %d: %d near of %d, want %d", i, got, h.Samples(), near)
		}
	}
	h.Observe(0.75)
	if h.Samples() > halveAt/2 || h.ModeCount() < h.Samples()/3 {
		t.Fatalf("after fading %d seen, %d of the commonest", h.Samples(), h.ModeCount())
	}
}
