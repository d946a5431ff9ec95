package tally

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Whatever members let in and tell late, doubled or not at all for a while, the room is the window less the totals told, once all have told; a
// total that wraps on the wire, and one that falls since units are handed back, change nothing about that.
func TestRoomIsTheWindowLessWhatWasTold(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const burst = 1e5
		l := New(burst, 0)
		totals := []float64{0, 0, 0}
		for i := range totals {
			l.Members[i] = &Member{Boot: 1}
		}
		now := 0.0
		tell := func(i int) {
			wire := math.Mod(totals[i], 16384) // as it comes over the wire
			l.Spend(l.Told(l.Members[i], wire, rng.Float64()*10, now, 1.5), 0)
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
		if d := l.Room - (burst - sum); math.Abs(d) > 1e-6 {
			t.Fatalf("seed %d: room %v, want %v", seed, l.Room, burst-sum)
		}
	}
}

// What the room does not hold is owed, so that it counts; but only so much, or a failure's debts would be a drought.
func TestDebtIsOwedUpToItsBound(t *testing.T) {
	for _, tc := range []struct{ room, units, most, want float64 }{
		{3, 5, 0, 0}, {0, -2, 0, 2}, {3, 5, 4, -2}, {3, 50, 4, -4}, {-4, 1, 4, -4}, {-6, 1, 4, -6}, {-6, -1, 4, -5}, {3, 1, 4, 2},
	} {
		l := New(tc.room, 0)
		if l.Spend(tc.units, tc.most); l.Room != tc.want {
			t.Errorf("%v less %v with %v of debt at most: %v, want %v", tc.room, tc.units, tc.most, l.Room, tc.want)
		}
	}
}

func TestBucketFillsToItsBrim(t *testing.T) {
	b := Bucket{At: 10}
	if b.Fill(12, 3, 100) != 6 || b.Fill(12, 3, 100) != 6 || b.Fill(13, 3, 7) != 7 {
		t.Errorf("%+v", b)
	}
}

func TestMembersThatFallSilent(t *testing.T) {
	l := New(1, 0)
	l.Members[1], l.Members[2] = &Member{At: 10}, &Member{At: 5}
	if l.Heard(10.5, 3) != 1 || l.Heard(10.5, 8) != 2 {
		t.Error("members that are believed")
	}
	if l.Drop(14, 8); len(l.Members) != 1 {
		t.Errorf("%d members kept", len(l.Members))
	}
}

func TestACountIsHandedOnWhole(t *testing.T) {
	l := New(7, 3)
	l.Members[4] = &Member{Boot: 9}
	l.Spend(l.Told(l.Members[4], 5, 2.5, 6, 1.5), 1)
	figures, members := l.Pack()
	was, is := *l, *Unpack(figures, members)
	m := is.Members[4]
	if was.Members, is.Members = nil, nil; !reflect.DeepEqual(was, is) || *m != *l.Members[4] {
		t.Errorf("%+v became %+v, %+v became %+v", was, is, *l.Members[4], *m)
	}
	if x := Unpack(nil, nil); x.Room != 0 || x.Members == nil {
		t.Errorf("of nothing: %+v", x)
	}
}
