package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

func endpointIDs(n, from int) (ids []uint64) {
	for i := range n {
		ids = append(ids, peerprotocol.HashPoint(fmt.Sprint("s-", from+i)))
	}
	return ids
}

// Every strategy gives each gateway as many backends as asked for, none twice, and the same ones each time.
func TestStrategies_FullAndRepeatable(t *testing.T) {
	for _, strategy := range []struct {
		name   string
		choose Strategy
		mayGet func(n, size int) bool
	}{
		{"rendezvous", Rendezvous, func(n, size int) bool { return n == size }},
		{"bounded rendezvous", BoundedRendezvous, func(n, size int) bool { return n <= size }}, // fewer where too many are full
		{"shuffled rounds", ShuffledRounds, func(n, size int) bool { return n == size }},
	} {
		t.Run(strategy.name, func(t *testing.T) {
			for _, tc := range []struct{ gateways, backends, size int }{{4, 9, 8}, {300, 200, 16}, {7, 200, 200}, {300, 9, 9}, {1, 1, 1}, {5, 0, 0}} {
				ids := endpointIDs(tc.backends, 0)
				for gateway := range tc.gateways {
					list := strategy.choose(ids, gateway, tc.gateways, tc.size)
					if !strategy.mayGet(len(list), tc.size) {
						t.Fatalf("%d of %d backends preferred, want %d", len(list), tc.backends, tc.size)
					}
					if second := strategy.choose(ids, gateway, tc.gateways, tc.size); !slices.Equal(list, second) {
						t.Fatalf("%v the first time, %v the second time", list, second)
					}
					seen := map[int]bool{}
					for _, i := range list {
						if seen[i] {
							t.Fatalf("backend %d is preferred twice: %v", i, list)
						}
						seen[i] = true
					}
				}
			}
		})
	}
}

// When a backend leaves, a subset changes by that backend alone, if it was in there.
func TestRendezvous_MinimalChange(t *testing.T) {
	const backends, gateways, size = 176, 300, 16
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		ids := endpointIDs(backends, 0)
		gateway := rng.IntN(gateways)
		preferred := map[uint64]bool{}
		for _, i := range Rendezvous(ids, gateway, gateways, size) {
			preferred[ids[i]] = true
		}
		removed := rng.IntN(backends)
		want := 0
		if preferred[ids[removed]] {
			want = 1
		}
		rest := slices.Delete(slices.Clone(ids), removed, removed+1)
		if got := countNew(Rendezvous, rest, gateway, gateways, size, preferred); got != want {
			t.Fatalf("%d backends are new in the subset after one has left, want %d", got, want)
		}
	}
}

func TestRendezvous_IgnoresListOrder(t *testing.T) {
	ids := endpointIDs(50, 0)
	reversed := slices.Clone(ids)
	slices.Reverse(reversed)
	forward, backward := Rendezvous(ids, 3, 9, 8), Rendezvous(reversed, 3, 9, 8)
	if len(forward) != len(backward) {
		t.Fatalf("%d and %d backends preferred", len(forward), len(backward))
	}
	for k := range forward {
		if ids[forward[k]] != reversed[backward[k]] {
			t.Fatalf("choice %d depends on the order of the list", k)
		}
	}
}

// At the largest fleet each backend is preferred by nearly the same number of gateways, under uneven traffic,
// and a change moves little.
func TestRendezvous_SpreadAtFullSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	traffic := make([]float64, 300)
	for i := range traffic {
		traffic[i] = 0.3 + rng.ExpFloat64()
	}
	ids := endpointIDs(200, 0)
	replaced := slices.Concat(ids[4:], endpointIDs(4, 1000))
	stats := Measure(Rendezvous, ids, traffic, Size(300, 200, 24, 8), replaced, ids[10:])
	if stats.P99Load > 1.9 || stats.P1Load < 0.35 || stats.Churn > 0.045 || stats.Divergence > 0.07 || stats.Unselected > 0 {
		t.Errorf("%+v", stats)
	}
}

func TestSize(t *testing.T) {
	for _, tc := range []struct{ gateways, backends, want int }{{300, 200, 16}, {4, 9, 9}, {300, 9, 8}, {7, 200, 200}} {
		if got := Size(tc.gateways, tc.backends, 24, 8); got != tc.want {
			t.Errorf("%d gateways, %d backends: subsets of %d, want %d", tc.gateways, tc.backends, got, tc.want)
		}
	}
}

func BenchmarkRendezvous(b *testing.B) {
	ids := endpointIDs(200, 0)
	for b.Loop() {
		Rendezvous(ids, 7, 300, 16)
	}
}

func BenchmarkBoundedRendezvous(b *testing.B) {
	ids := endpointIDs(200, 0)
	for b.Loop() {
		BoundedRendezvous(ids, 299, 300, 16)
	}
}
