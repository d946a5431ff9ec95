package quota

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Whatever members let in and tell late, doubled or not at all for a while, the room is the window less the totals told, once all have told; a
// total that wraps on the wire, and one that falls since units are handed back, change nothing about that.
func TestLedger_AvailableIsWindowLessReportedTotals(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const burst = 1e5
		l := NewLedger(burst, 0)
		totals := []float64{0, 0, 0}
		for i := range totals {
			l.Members[i] = &Member{Incarnation: 1}
		}
		now := 0.0
		tell := func(i int) {
			wire := math.Mod(totals[i], 16384) // as it comes over the wire
			l.Charge(l.ApplyReport(l.Members[i], wire, rng.Float64()*10, now, 1.5), 0)
		}
		for range 400 {
			now += rng.Float64() * 0.1
			i := rng.IntN(3)
			totals[i] += math.Floor(rng.Float64()*40) / 4
			if rng.IntN(10) == 0 {
				totals[i] = max(totals[i]-1, 0)
			}
			for range rng.IntN(3) { // told not at all, once, or twice
				tell(i)
			}
		}
		sum := 0.0
		for i, total := range totals {
			tell(i)
			sum += total
		}
		if d := l.Available - (burst - sum); math.Abs(d) > 1e-6 {
			t.Fatalf("seed %d: room %v, want %v", seed, l.Available, burst-sum)
		}
	}
}

// What the room does not hold is owed, so that it counts; but only so much, or a failure's debts would be a drought.
func TestLedger_ChargeBoundsDebt(t *testing.T) {
	for _, tc := range []struct{ room, units, most, want float64 }{
		{3, 5, 0, 0}, {0, -2, 0, 2}, {3, 5, 4, -2}, {3, 50, 4, -4}, {-4, 1, 4, -4}, {-6, 1, 4, -6}, {-6, -1, 4, -5}, {3, 1, 4, 2},
	} {
		l := NewLedger(tc.room, 0)
		if l.Charge(tc.units, tc.most); l.Available != tc.want {
			t.Errorf("%v less %v with %v of debt at most: %v, want %v", tc.room, tc.units, tc.most, l.Available, tc.want)
		}
	}
}

func TestBucket_RefillStopsAtCapacity(t *testing.T) {
	b := Bucket{UpdatedAt: 10}
	if b.Refill(12, 3, 100) != 6 || b.Refill(12, 3, 100) != 6 || b.Refill(13, 3, 7) != 7 {
		t.Errorf("%+v", b)
	}
}

func TestLedger_InactiveMembers(t *testing.T) {
	l := NewLedger(1, 0)
	l.Members[1], l.Members[2] = &Member{ReportedAt: 10}, &Member{ReportedAt: 5}
	if l.ActiveMembers(10.5, 3) != 1 || l.ActiveMembers(10.5, 8) != 2 {
		t.Error("members that are believed")
	}
	if l.DropInactive(14, 8); len(l.Members) != 1 {
		t.Errorf("%d members kept", len(l.Members))
	}
}

func TestLedger_SnapshotRoundTrip(t *testing.T) {
	l := NewLedger(7, 3)
	l.Members[4] = &Member{Incarnation: 9}
	l.Charge(l.ApplyReport(l.Members[4], 5, 2.5, 6, 1.5), 1)
	figures, members := l.Snapshot()
	was, is := *l, *RestoreLedger(figures, members)
	m := is.Members[4]
	if was.Members, is.Members = nil, nil; !reflect.DeepEqual(was, is) || *m != *l.Members[4] {
		t.Errorf("%+v became %+v, %+v became %+v", was, is, *l.Members[4], *m)
	}
	if x := RestoreLedger(nil, nil); x.Available != 0 || x.Members == nil {
		t.Errorf("of nothing: %+v", x)
	}
}
