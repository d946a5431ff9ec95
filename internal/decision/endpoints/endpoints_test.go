package endpoints

import (
	"fmt"
	"math"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/config"
)

type testBackend struct {
	Endpoint
	inFlight, restarts int
}

func newTestTable() Table[testBackend] {
	return NewTable(func(b *testBackend) *Endpoint { return &b.Endpoint })
}

func create() *testBackend { return &testBackend{} }

func countRestart(b *testBackend) { b.restarts++ }

func TestTable_UpdateFullAndPartial(t *testing.T) {
	table := newTestTable()
	table.Update([]config.Backend{{ID: "b"}, {ID: "a"}, {ID: "c", StartedAt: 5}}, true, create, countRestart)
	table.Update([]config.Backend{{ID: "b", State: config.Removed}, {ID: "c", StartedAt: 6}}, false, create, countRestart)
	if len(table.Listed) != 2 || table.Listed[0].ID != "a" || table.Listed[1].ID != "c" || table.ByID["c"].restarts != 1 {
		t.Fatalf("after a partial list: %+v listed, want a and c, and one restart of c", table.Listed)
	}
	table.Update([]config.Backend{{ID: "c", StartedAt: 6}}, true, create, countRestart)
	if len(table.Listed) != 1 || table.ByID["c"].restarts != 1 || table.ByShortHash(table.ByID["c"].ShortHash) != table.ByID["c"] {
		t.Fatalf("after a full list: %+v listed, want c alone, found by its short hash, and no further restart", table.Listed)
	}
	table.ByID["b"].inFlight = 1
	table.Prune(func(b *testBackend) bool { return b.inFlight > 0 })
	if backends, hashes := table.Len(); backends != 2 || hashes != 2 || table.ByID["a"] != nil {
		t.Errorf("%d backends and %d hashes after pruning, want 2 and 2", backends, hashes)
	}
}

// Guards against gossip about a backend that is applied to another backend with the same short hash.
func TestTable_ShortHashCollision(t *testing.T) {
	seen := map[uint16]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("s", i)
		hash := uint16(peerprotocol.HashPoint(id))
		other, taken := seen[hash]
		if !taken {
			seen[hash] = id
			continue
		}
		table := newTestTable()
		table.Update([]config.Backend{{ID: id}, {ID: other}}, true, create, func(*testBackend) {})
		if table.ByShortHash(hash) != nil {
			t.Errorf("%s and %s have the same short hash, and one is found by it, want neither", id, other)
		}
		table.Update([]config.Backend{{ID: id}}, true, nil, nil)
		table.Prune(func(*testBackend) bool { return false })
		if b := table.ByShortHash(hash); b == nil || b.ID != id {
			t.Errorf("%s is not found by its short hash after %s with the same hash was pruned", id, other)
		}
		return
	}
}

func TestTable_PreferredOwnZoneFirst(t *testing.T) {
	table := newTestTable()
	var list []config.Backend
	for i := range 6 {
		list = append(list, config.Backend{ID: fmt.Sprint("s", i), Zone: []string{"east", "west"}[i%2]})
	}
	table.Update(list, true, create, countRestart)
	for _, tc := range []struct{ size, want, local int }{{2, 2, 2}, {5, 5, 3}, {9, 6, 3}} {
		preferred := table.Preferred(1, tc.size, "east", true)
		if len(preferred) != tc.want {
			t.Fatalf("%d of 6 backends preferred, want %d", len(preferred), tc.want)
		}
		for i, b := range preferred {
			if (b.Zone == "east") != (i < tc.local) {
				t.Errorf("subset size %d: backend %d is in zone %s, want %d backends of zone east first", tc.size, i, b.Zone, tc.local)
			}
		}
	}
}

func TestEndpoint_WarmFraction(t *testing.T) {
	const slowStartS, initial = 8, 0.25
	for _, tc := range []struct{ startedAt, now, want float64 }{{0, 9, 1}, {10, 10, 0.25}, {10, 14, 0.625}, {10, 18, 1}, {10, 9, 0.25}} {
		e := Endpoint{Backend: config.Backend{StartedAt: tc.startedAt}}
		if got := e.WarmFraction(tc.now, slowStartS, initial); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("started at %v s, warm fraction at %v s is %v, want %v", tc.startedAt, tc.now, got, tc.want)
		}
	}
}
