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
	used, restarts int
}

func newTestTable() Table[testBackend] {
	return NewTable(func(x *testBackend) *Endpoint { return &x.Endpoint })
}

func TestTable_UpdateFullAndPartial(t *testing.T) {
	b := newTestTable()
	fresh, again := func() *testBackend { return &testBackend{} }, func(x *testBackend) { x.restarts++ }
	b.Update([]config.Backend{{ID: "b"}, {ID: "a"}, {ID: "c", StartedAt: 5}}, true, fresh, again)
	b.Update([]config.Backend{{ID: "b", State: config.Removed}, {ID: "c", StartedAt: 6}}, false, fresh, again)
	if len(b.Listed) != 2 || b.Listed[0].ID != "a" || b.Listed[1].ID != "c" || b.ByID["c"].restarts != 1 {
		t.Fatalf("%+v", b.Listed)
	}
	b.Update([]config.Backend{{ID: "c", StartedAt: 6}}, true, fresh, again)
	if len(b.Listed) != 1 || b.ByID["c"].restarts != 1 || b.ByShortHash(b.ByID["c"].ShortHash) != b.ByID["c"] {
		t.Fatalf("%+v", b.Listed)
	}
	b.ByID["b"].used = 1
	b.Prune(func(x *testBackend) bool { return x.used > 0 })
	if n, hashes := b.Len(); n != 2 || hashes != 2 || b.ByID["a"] != nil {
		t.Errorf("%d servers and %d hashes kept", n, hashes)
	}
}

// Two servers of the same hash: news of the one must not be taken for the other's.
func TestTable_ShortHashCollision(t *testing.T) {
	seen := map[uint16]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("s", i)
		h := uint16(peerprotocol.HashPoint(id))
		if other, ok := seen[h]; ok {
			b := newTestTable()
			b.Update([]config.Backend{{ID: id}, {ID: other}}, true, func() *testBackend { return &testBackend{} }, func(*testBackend) {})
			if b.ByShortHash(h) != nil {
				t.Errorf("%s and %s are taken for one", id, other)
			}
			b.Update([]config.Backend{{ID: id}}, true, nil, nil)
			if b.Prune(func(*testBackend) bool { return false }); b.ByShortHash(h) == nil || b.ByShortHash(h).ID != id {
				t.Error("the one that is left is not found")
			}
			return
		}
		seen[h] = id
	}
}

func TestEndpoint_WarmFraction(t *testing.T) {
	for _, tc := range []struct{ since, now, want float64 }{{0, 9, 1}, {10, 10, 0.25}, {10, 14, 0.625}, {10, 18, 1}, {10, 9, 0.25}} {
		e := Endpoint{Backend: config.Backend{StartedAt: tc.since}}
		if got := e.WarmFraction(tc.now, 8, 0.25); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("started at %v, at %v: %v, want %v", tc.since, tc.now, got, tc.want)
		}
	}
}
