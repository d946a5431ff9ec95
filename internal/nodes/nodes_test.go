package nodes

import (
	"fmt"
	"math"
	"testing"

	"eiderspread/internal/peermsg"
	"eiderspread/internal/terms"
)

type thing struct {
	Entry
	used, restarts int
}

func table() Table[thing] { return New(func(x *thing) *Entry { return &x.Entry }) }

func TestListWholeAndInParts(t *testing.T) {
	b := table()
	fresh, again := func() *thing { return &thing{} }, func(x *thing) { x.restarts++ }
	b.List([]terms.Server{{ID: "b"}, {ID: "a"}, {ID: "c", SinceS: 5}}, true, fresh, again)
	b.List([]terms.Server{{ID: "b", State: terms.Removed}, {ID: "c", SinceS: 6}}, false, fresh, again)
	if len(b.Order) != 2 || b.Order[0].ID != "a" || b.Order[1].ID != "c" || b.By["c"].restarts != 1 {
		t.Fatalf("%+v", b.Order)
	}
	b.List([]terms.Server{{ID: "c", SinceS: 6}}, true, fresh, again)
	if len(b.Order) != 1 || b.By["c"].restarts != 1 || b.Heard(b.By["c"].Hash) != b.By["c"] {
		t.Fatalf("%+v", b.Order)
	}
	b.By["b"].used = 1
	b.Forget(func(x *thing) bool { return x.used > 0 })
	if n, hashes := b.Len(); n != 2 || hashes != 2 || b.By["a"] != nil {
		t.Errorf("%d servers and %d hashes kept", n, hashes)
	}
}

// Two servers of the same hash: news of the one must not be taken for the other's.
func TestTwoOfOneHashAreNotToldApart(t *testing.T) {
	seen := map[uint16]string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("s", i)
		h := uint16(peermsg.Point(id))
		if other, ok := seen[h]; ok {
			b := table()
			b.List([]terms.Server{{ID: id}, {ID: other}}, true, func() *thing { return &thing{} }, func(*thing) {})
			if b.Heard(h) != nil {
				t.Errorf("%s and %s are taken for one", id, other)
			}
			b.List([]terms.Server{{ID: id}}, true, nil, nil)
			if b.Forget(func(*thing) bool { return false }); b.Heard(h) == nil || b.Heard(h).ID != id {
				t.Error("the one that is left is not found")
			}
			return
		}
		seen[h] = id
	}
}

func TestWarm(t *testing.T) {
	for _, tc := range []struct{ since, now, want float64 }{{0, 9, 1}, {10, 10, 0.25}, {10, 14, 0.625}, {10, 18, 1}, {10, 9, 0.25}} {
		e := Entry{Server: terms.Server{SinceS: tc.since}}
		if got := e.Warm(tc.now, 8, 0.25); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("started at %v, at %v: %v, want %v", tc.since, tc.now, got, tc.want)
		}
	}
}
