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

// Every strategy gives each gateway the requested number of backends, none twice, and the same ones on each call.
func TestStrategies_FullAndRepeatable(t *testing.T) {
	for _, strategy := range []struct {
		name     string
		choose   Strategy
		validLen func(n, size int) bool
	}{
		{"rendezvous", Rendezvous, func(n, size int) bool { return n == size }},
		{"bounded rendezvous", BoundedRendezvous, func(n, size int) bool { return n <= size }}, // fewer if too many backends are at the load limit
		{"shuffled rounds", ShuffledRounds, func(n, size int) bool { return n == size }},
	} {
		t.Run(strategy.name, func(t *testing.T) {
			for _, tc := range []struct{ gateways, backends, size int }{{4, 9, 8}, {300, 200, 16}, {7, 200, 200}, {300, 9, 9}, {1, 1, 1}, {5, 0, 0}} {
				ids := endpointIDs(tc.backends, 0)
				for gateway := range tc.gateways {
					list := strategy.choose(ids, gateway, tc.gateways, tc.size)
					if !strategy.validLen(len(list), tc.size) {
						t.Fatalf("%d of %d backends preferred with a size of %d", len(list), tc.backends, tc.size)
					}
					if second := strategy.choose(ids, gateway, tc.gateways, tc.size); !slices.Equal(list, second) {
						t.Fatalf("the first call preferred %v, the second %v, want the same", list, second)
					}
					seen := map[int]bool{}
					for _, i := range list {
						if seen[i] {
							t.Fatalf("backend %d is twice in the subset %v", i, list)
						}
						seen[i] = true
					}
				}
			}
		})
	}
}

// When a backend is removed, a subset that had it changes by one backend, and every other subset stays.
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
			t.Fatalf("%d backends are new in the subset after one was removed, want %d", got, want)
		}
	}
}

func TestRendezvous_IgnoresListOrder(t *testing.T) {
	ids := endpointIDs(50, 0)
	reversed := slices.Clone(ids)
	slices.Reverse(reversed)
	forward, backward := Rendezvous(ids, 3, 9, 8), Rendezvous(reversed, 3, 9, 8)
	if len(forward) != len(backward) {
		t.Fatalf("%d backends preferred from the list, %d from the reversed list, want the same", len(forward), len(backward))
	}
	for k := range forward {
		if ids[forward[k]] != reversed[backward[k]] {
			t.Fatalf("choice %d differs for the reversed list", k)
		}
	}
}

// In the largest fleet, under uneven traffic, the backends' loads stay close to the mean, and a change of the list
// changes few preferences.
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
		t.Errorf("%+v, want P99Load <= 1.9, P1Load >= 0.35, Churn <= 0.045, Divergence <= 0.07 and none unselected", stats)
	}
}

func TestSize(t *testing.T) {
	for _, tc := range []struct{ gateways, backends, want int }{{300, 200, 16}, {4, 9, 9}, {300, 9, 8}, {7, 200, 200}} {
		if got := Size(tc.gateways, tc.backends, 24, 8); got != tc.want {
			t.Errorf("%d gateways, %d backends: subset size %d, want %d", tc.gateways, tc.backends, got, tc.want)
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
