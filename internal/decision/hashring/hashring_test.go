package hashring

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func anyGateway(int) bool { return true }

// When a gateway is excluded, only its keys move to other gateways. Each gateway owns its equal share of the keys,
// within 20%.
func TestRing_ExclusionMovesOnlyExcludedKeys(t *testing.T) {
	const gateways, keys = 8, 20000
	r := New(gateways, 512)
	rng := rand.New(rand.NewPCG(1, 2))
	owned := make([]int, gateways)
	for range keys {
		position := rng.Uint64()
		owner, ok := r.Find(position, anyGateway)
		if !ok {
			t.Fatal("Find returned no gateway, want one")
		}
		owned[owner]++
		excluded := rng.IntN(gateways)
		next, _ := r.Find(position, func(g int) bool { return g != excluded })
		if owner != excluded && next != owner || next == excluded {
			t.Fatalf("key of gateway %d belongs to gateway %d when gateway %d is excluded", owner, next, excluded)
		}
	}
	for gateway, n := range owned {
		if n < keys/gateways*8/10 || n > keys/gateways*12/10 {
			t.Errorf("gateway %d owns %d of %d keys, want its share within 20%%", gateway, n, keys)
		}
	}
	if _, ok := r.Find(1, func(int) bool { return false }); ok {
		t.Error("Find returned a gateway although none is eligible")
	}
}

func TestRing_SuccessorsTakeOverInOrder(t *testing.T) {
	const position = 1 << 60
	r := New(5, 16)
	order := r.Successors(position, func(g int) bool { return g != 3 })
	if len(order) != 4 || slices.Contains(order, 3) {
		t.Fatalf("successors without gateway 3 are %v, want the four others", order)
	}
	for failed := range order {
		got, _ := r.Find(position, func(g int) bool { return g != 3 && !slices.Contains(order[:failed], g) })
		if got != order[failed] {
			t.Errorf("after gateways %v failed the key belongs to gateway %d, want %d", order[:failed], got, order[failed])
		}
	}
}

func TestPointsPerGateway(t *testing.T) {
	for _, tc := range []struct{ gateways, want int }{{1, 512}, {16, 512}, {32, 256}, {300, 27}, {5000, 8}} {
		if got := PointsPerGateway(tc.gateways); got != tc.want {
			t.Errorf("%d gateways: %d points each, want %d", tc.gateways, got, tc.want)
		}
	}
}
