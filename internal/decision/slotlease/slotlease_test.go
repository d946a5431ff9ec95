package slotlease

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestLeaseS_IsBounded(t *testing.T) {
	for _, tc := range []struct{ mean, deviation, want float64 }{{0.2, 0.1, 0.35}, {100, 1, MaxLeaseS}} {
		if got := LeaseS(tc.mean, tc.deviation); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("mean latency %v s, mean deviation %v s: lease of %v s, want %v s", tc.mean, tc.deviation, got, tc.want)
		}
	}
}

func TestPrefetchCount_SumsToHalfOfFree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	for range 1000 {
		free, sum, total := rng.IntN(40), 0, 0.0
		demands := make([]float64, 1+rng.IntN(30))
		for i := range demands {
			demands[i] = rng.Float64()
			total += demands[i]
		}
		for _, demand := range demands {
			sum += PrefetchCount(free, demand, total)
		}
		if sum > free/2 {
			t.Fatalf("%d of %d free slots prefetched, want at most half", sum, free)
		}
	}
	for _, tc := range []struct {
		free          int
		demand, total float64
		want          int
	}{{1, 1, 1, 0}, {12, 1, 1, 6}, {12, 0, 0, 0}} {
		if got := PrefetchCount(tc.free, tc.demand, tc.total); got != tc.want {
			t.Errorf("%d free slots, demand %v of %v units/s: %d slots prefetched, want %d", tc.free, tc.demand, tc.total, got, tc.want)
		}
	}
}
