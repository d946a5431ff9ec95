package hashring

import (
	"math/rand/v2"
	"testing"
)

// Whoever is left out, only what it held moves; and no gateway holds much more than its part.
func TestRing_ExclusionMovesOnlyExcludedKeys(t *testing.T) {
	const n = 8
	r := New(n, 512)
	rng := rand.New(rand.NewPCG(1, 2))
	held := make([]int, n)
	for range 20000 {
		at := rng.Uint64()
		gw, ok := r.Find(at, func(int) bool { return true })
		if !ok {
			t.Fatal("nobody")
		}
		held[gw]++
		out := rng.IntN(n)
		next, _ := r.Find(at, func(g int) bool { return g != out })
		if gw != out && next != gw || next == out {
			t.Fatalf("%d -> %d without %d", gw, next, out)
		}
	}
	for gw, h := range held {
		if h < 20000/n*8/10 || h > 20000/n*12/10 {
			t.Errorf("gateway %d holds %d of 20000", gw, h)
		}
	}
	if _, ok := r.Find(1, func(int) bool { return false }); ok {
		t.Error("found one that nobody wants")
	}
}
