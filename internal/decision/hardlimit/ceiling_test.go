package hardlimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever is asked of which gateway at which time, lent ahead and used late: what all gateways pay out keeps to the ceiling, in rate and at once.
func TestLimiter_BucketsAddUpToTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		const rate, burst, largest = 65.0, 143.0, 3.0
		n := 1 + rng.IntN(60)
		list := make([]Limiter, n)
		for i := range list {
			list[i] = NewLimiter(0)
		}
		type later struct{ at, units float64 }
		var ahead []later
		store, at, now := 0.0, 0.0, 0.0
		send := func(units float64) {
			store, at = min(burst, store+rate*(now-at)), now
			if store -= units; store < -1e-6 {
				t.Fatalf("seed %d, %d gateways: %.2f units beyond the ceiling at %.2f", seed, n, -store, now)
			}
		}
		paid := 0.0
		for range 4000 {
			next := now + rng.Float64()*0.01
			if rng.IntN(500) == 0 {
				next += rng.Float64() * 5 // all parts fill to their brims
			}
			slices.SortFunc(ahead, func(a, b later) int { return cmp.Compare(a.at, b.at) })
			for len(ahead) > 0 && ahead[0].at <= next {
				now = ahead[0].at
				send(ahead[0].units)
				ahead = ahead[1:]
			}
			now = next
			i, units := rng.IntN(n), 1+float64(rng.IntN(3))
			terms := Params{Rate: rate, Burst: burst, Gateways: n, OwnsShared: i == 0, LargestRequest: largest}
			c := &list[i]
			switch {
			case i == 0 && rng.IntN(2) == 0:
				if x := c.PrefetchShared(terms, now, 10*rng.Float64()); x > 0 {
					ahead = append(ahead, later{now + PrefetchS*rng.Float64(), x})
				}
			case c.LocalCovers(terms, now, units) || c.SharedCovers(terms, now, units):
				c.Unpaid += units
				c.Pay(terms, now, units)
				send(units)
				paid += units
			}
		}
		if paid < 50 {
			t.Errorf("seed %d: %v units paid: no occasion", seed, paid)
		}
		for i := range list {
			if math.Abs(list[i].Unpaid) > 1e-9 {
				t.Errorf("seed %d: %v owed when all is paid", seed, list[i].Unpaid)
			}
		}
	}
}

func TestLimiter_CoversWithin(t *testing.T) {
	terms := Params{Rate: 10, Burst: 40, Gateways: 4, OwnsShared: true, LargestRequest: 3}
	c := NewLimiter(0)
	for _, tc := range []struct {
		units, owed, left float64
		want              bool
	}{{3, 0, 0.4, false}, {3, 0, 0.5, true}, {3, 3, 0.5, false}, {3, 3, 1, true}, {21, 0, 9, false}} {
		c.Unpaid = tc.owed
		if got := c.CoversWithin(terms, 0, tc.units, tc.left); got != tc.want {
			t.Errorf("%v units behind %v within %v s: %v", tc.units, tc.owed, tc.left, got)
		}
	}
	if none := (Params{}); !c.CoversWithin(none, 0, 99, 0) || !c.LocalCovers(none, 0, 99) || c.SharedCovers(none, 0, 1) || !c.Full(none, 0) {
		t.Error("an account without a ceiling is held by one")
	}
}

func TestParams_SharedFractionWithManyGateways(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		want     float64
	}{{0, SharedFraction}, {2, SharedFraction}, {23, SharedFraction}, {47, SharedFraction}, {48, 1}, {300, 1}} {
		if got := (Params{Rate: 65, Burst: 143, Gateways: tc.gateways, LargestRequest: 3}).SharedFraction(); got != tc.want {
			t.Errorf("%d gateways: %v is shared, want %v", tc.gateways, got, tc.want)
		}
	}
}

// What was lent ahead while all is full, and is sent on late, in the same moment as all that the parts hold: the parts must not have filled up
// behind it.
func TestLimiter_PrefetchedUnitsReduceCapacity(t *testing.T) {
	terms := Params{Rate: 65, Burst: 143, Gateways: 1, OwnsShared: true, LargestRequest: 3}
	c := NewLimiter(0)
	ahead := c.PrefetchShared(terms, 100, 30)
	if ahead != 30 {
		t.Fatalf("%v of 30 units lent ahead by a full part", ahead)
	}
	now, sent := 100+PrefetchS, ahead
	for c.LocalCovers(terms, now, 1) || c.SharedCovers(terms, now, 1) {
		c.Unpaid++
		c.Pay(terms, now, 1)
		sent++
	}
	if sent > terms.Burst {
		t.Errorf("%v units at once, the ceiling's burst is %v", sent, terms.Burst)
	}
	if c.SharedCovers(terms, now+10, terms.Burst*terms.SharedFraction()) == false {
		t.Error("the place is kept for ever")
	}
}
