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

// Every way gives each gateway as many nodes as asked, none twice, and the same ones each time.
func TestStrategies_FullAndRepeatable(t *testing.T) {
	for name, way := range map[string]Strategy{"rendezvous": Rendezvous, "bounded": BoundedRendezvous, "rounds": ShuffledRounds} {
		for _, size := range []struct{ gateways, nodes, want int }{{4, 9, 8}, {300, 200, 16}, {7, 200, 200}, {300, 9, 9}, {1, 1, 1}, {5, 0, 0}} {
			ids := endpointIDs(size.nodes, 0)
			for me := range size.gateways {
				list := way(ids, me, size.gateways, size.want)
				if name != "bounded" && len(list) != size.want || len(list) > size.want {
					t.Fatalf("%s: %d of %d nodes preferred, %d wanted", name, len(list), size.nodes, size.want)
				}
				if again := way(ids, me, size.gateways, size.want); !slices.Equal(list, again) {
					t.Fatalf("%s: another subset the second time", name)
				}
				seen := map[int]bool{}
				for _, i := range list {
					if seen[i] {
						t.Fatalf("%s: a node twice", name)
					}
					seen[i] = true
				}
			}
		}
	}
}

// Two gateways whose lists differ by ten nodes, and one list before and after a node has gone: no subset differs by more than those.
func TestRendezvous_MinimalChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		ids := endpointIDs(176, 0)
		me := rng.IntN(300)
		was := map[uint64]bool{}
		for _, i := range Rendezvous(ids, me, 300, 16) {
			was[ids[i]] = true
		}
		gone := rng.IntN(len(ids))
		id := ids[gone]
		less := slices.Delete(slices.Clone(ids), gone, gone+1)
		fresh := 0
		for _, i := range Rendezvous(less, me, 300, 16) {
			if !was[less[i]] {
				fresh++
			}
		}
		if want := int(boolToFloat(was[id])); fresh != want {
			t.Fatalf("one node has gone: %d new ones, want %d", fresh, want)
		}
	}
}

// The order of a list is nothing: two ingresses that were told in another order prefer the same.
func TestRendezvous_IgnoresListOrder(t *testing.T) {
	ids := endpointIDs(50, 0)
	a := Rendezvous(ids, 3, 9, 8)
	back := slices.Clone(ids)
	slices.Reverse(back)
	for k, i := range Rendezvous(back, 3, 9, 8) {
		if back[i] != ids[a[k]] {
			t.Fatal("another subset")
		}
	}
}

// What the ingress rests on: at the largest days' size each node is preferred by nearly as many, under uneven traffic, and a change moves little.
func TestRendezvous_SpreadAtFullSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	traffic := make([]float64, 300)
	for i := range traffic {
		traffic[i] = 0.3 + rng.ExpFloat64()
	}
	ids := endpointIDs(200, 0)
	replaced := slices.Concat(ids[4:], endpointIDs(4, 1000))
	f := Measure(Rendezvous, ids, traffic, Size(300, 200, 24, 8), replaced, ids[10:])
	if f.P99Load > 1.9 || f.P1Load < 0.35 || f.Churn > 0.045 || f.Divergence > 0.07 || f.Unselected > 0 {
		t.Errorf("%+v", f)
	}
	if s := Size(300, 200, 24, 8); s != 16 {
		t.Errorf("%d preferred", s)
	}
	if Size(4, 9, 24, 8) != 9 || Size(300, 9, 24, 8) != 8 || Size(7, 200, 24, 8) != 200 {
		t.Error("sizes")
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
