package quota

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Guards against units charged twice or lost. Reports may be late, repeated or missing, totals wrap on the wire and
// fall when units are returned. Once every member has reported, the available units must be the burst less the sum
// of the totals.
func TestLedger_AvailableIsWindowLessReportedTotals(t *testing.T) {
	const burst = 1e5
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := NewLedger(burst, 0)
		totals := []float64{0, 0, 0}
		for i := range totals {
			l.Members[i] = &Member{Incarnation: 1}
		}
		now := 0.0
		report := func(i int) {
			onWire := math.Mod(totals[i], 16384)
			l.Charge(l.ApplyReport(l.Members[i], onWire, rng.Float64()*10, now, 1.5), 0)
		}
		for range 400 {
			now += rng.Float64() * 0.1
			i := rng.IntN(3)
			totals[i] += math.Floor(rng.Float64()*40) / 4
			if rng.IntN(10) == 0 {
				totals[i] = max(totals[i]-1, 0)
			}
			for range rng.IntN(3) { // the report is lost, delivered once or delivered twice
				report(i)
			}
		}
		sum := 0.0
		for i, total := range totals {
			report(i)
			sum += total
		}
		if d := l.Available - (burst - sum); math.Abs(d) > 1e-6 {
			t.Fatalf("seed %d: %v units available after all reports, want %v", seed, l.Available, burst-sum)
		}
	}
}

func TestLedger_ChargeBoundsDebt(t *testing.T) {
	for _, tc := range []struct{ available, units, maxDebt, want float64 }{
		{3, 5, 0, 0},
		{0, -2, 0, 2},
		{3, 5, 4, -2},
		{3, 50, 4, -4},
		{-4, 1, 4, -4},
		{-6, 1, 4, -6},
		{-6, -1, 4, -5},
		{3, 1, 4, 2},
	} {
		l := NewLedger(tc.available, 0)
		if l.Charge(tc.units, tc.maxDebt); l.Available != tc.want {
			t.Errorf("after charging %v units to %v available with a maximum debt of %v: %v available, want %v",
				tc.units, tc.available, tc.maxDebt, l.Available, tc.want)
		}
	}
}

func TestLedger_InactiveMembers(t *testing.T) {
	l := NewLedger(1, 0)
	l.Members[1], l.Members[2] = &Member{ReportedAt: 10}, &Member{ReportedAt: 5}
	for _, tc := range []struct {
		withinS float64
		want    int
	}{{3, 1}, {8, 2}} {
		if n := l.ActiveMembers(10.5, tc.withinS); n != tc.want {
			t.Errorf("%d members reported within the last %v s, want %d", n, tc.withinS, tc.want)
		}
	}
	if l.DropInactive(14, 8); len(l.Members) != 1 {
		t.Errorf("%d members left after dropping inactive ones, want 1", len(l.Members))
	}
}

func TestLedger_SnapshotRoundTrip(t *testing.T) {
	l := NewLedger(7, 3)
	l.Members[4] = &Member{Incarnation: 9}
	l.Charge(l.ApplyReport(l.Members[4], 5, 2.5, 6, 1.5), 1)
	values, members := l.Snapshot()
	original, restored := *l, *RestoreLedger(values, members)
	m := restored.Members[4]
	if original.Members, restored.Members = nil, nil; !reflect.DeepEqual(original, restored) || *m != *l.Members[4] {
		t.Errorf("ledger %+v restored as %+v, member %+v restored as %+v, want them equal", original, restored, *l.Members[4], *m)
	}
	if empty := RestoreLedger(nil, nil); empty.Available != 0 || empty.Members == nil {
		t.Errorf("ledger restored from an empty snapshot: %+v, want 0 units available and a member map", empty)
	}
}

func TestBucket_RefillStopsAtCapacity(t *testing.T) {
	b := Bucket{UpdatedAt: 10}
	for _, tc := range []struct{ now, rate, capacity, want float64 }{{12, 3, 100, 6}, {12, 3, 100, 6}, {13, 3, 7, 7}} {
		if got := b.Refill(tc.now, tc.rate, tc.capacity); got != tc.want {
			t.Errorf("level at %v s is %v, want %v (bucket %+v)", tc.now, got, tc.want, b)
		}
	}
}
