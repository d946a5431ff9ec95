package hardlimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Guards against buckets that together admit more than the limit: requests arrive at random gateways and times, and
// prefetched units are used late. The units sent by all gateways must stay within the limit's rate and burst.
func TestLimiter_BucketsAddUpToTheLimit(t *testing.T) {
	const rate, burst, largest = 65.0, 143.0, 3.0
	type prefetch struct{ usedAt, units float64 }
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		gateways := 1 + rng.IntN(60)
		limiters := make([]Limiter, gateways)
		for i := range limiters {
			limiters[i] = NewLimiter(0)
		}
		var prefetched []prefetch
		level, levelAt, now := 0.0, 0.0, 0.0 // reference: a single bucket with the whole limit
		send := func(units float64) {
			level, levelAt = min(burst, level+rate*(now-levelAt)), now
			if level -= units; level < -1e-6 {
				t.Fatalf("seed %d, %d gateways: units sent exceed the limit by %.2f at %.2f s", seed, gateways, -level, now)
			}
		}
		paid := 0.0
		for range 4000 {
			next := now + rng.Float64()*0.01
			if rng.IntN(500) == 0 {
				next += rng.Float64() * 5 // all buckets fill up
			}
			slices.SortFunc(prefetched, func(a, b prefetch) int { return cmp.Compare(a.usedAt, b.usedAt) })
			for len(prefetched) > 0 && prefetched[0].usedAt <= next {
				now = prefetched[0].usedAt
				send(prefetched[0].units)
				prefetched = prefetched[1:]
			}
			now = next
			i, units := rng.IntN(gateways), 1+float64(rng.IntN(3))
			params := Params{Rate: rate, Burst: burst, Gateways: gateways, OwnsShared: i == 0, LargestRequest: largest}
			l := &limiters[i]
			switch {
			case i == 0 && rng.IntN(2) == 0:
				if taken := l.PrefetchShared(params, now, 10*rng.Float64()); taken > 0 {
					prefetched = append(prefetched, prefetch{now + PrefetchS*rng.Float64(), taken})
				}
			case l.LocalCovers(params, now, units) || l.SharedCovers(params, now, units):
				l.Unpaid += units
				l.Pay(params, now, units)
				send(units)
				paid += units
			}
		}
		if paid < 50 {
			t.Errorf("seed %d: only %v units paid, want at least 50 for a meaningful test", seed, paid)
		}
		for i := range limiters {
			if math.Abs(limiters[i].Unpaid) > 1e-9 {
				t.Errorf("seed %d: %v units unpaid at the end, want 0", seed, limiters[i].Unpaid)
			}
		}
	}
}

func TestLimiter_CoversWithin(t *testing.T) {
	params := Params{Rate: 10, Burst: 40, Gateways: 4, OwnsShared: true, LargestRequest: 3}
	l := NewLimiter(0)
	for _, tc := range []struct {
		units, unpaid, withinS float64
		want                   bool
	}{
		{3, 0, 0.4, false},
		{3, 0, 0.5, true},
		{3, 3, 0.5, false},
		{3, 3, 1, true},
		{21, 0, 9, false},
	} {
		l.Unpaid = tc.unpaid
		if got := l.CoversWithin(params, 0, tc.units, tc.withinS); got != tc.want {
			t.Errorf("%v units after %v unpaid ones within %v s: covered is %v, want %v", tc.units, tc.unpaid, tc.withinS, got, tc.want)
		}
	}
	if none := (Params{}); !l.CoversWithin(none, 0, 99, 0) || !l.LocalCovers(none, 0, 99) || l.SharedCovers(none, 0, 1) || !l.Full(none, 0) {
		t.Error("an account without a hard limit is limited, has a shared bucket or is not full")
	}
}

func TestParams_SharedFractionWithManyGateways(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		want     float64
	}{{0, SharedFraction}, {2, SharedFraction}, {23, SharedFraction}, {47, SharedFraction}, {48, 1}, {300, 1}} {
		if got := (Params{Rate: 65, Burst: 143, Gateways: tc.gateways, LargestRequest: 3}).SharedFraction(); got != tc.want {
			t.Errorf("%d gateways: shared fraction of the limit is %v, want %v", tc.gateways, got, tc.want)
		}
	}
}

// Guards against a burst above the limit: a member may send prefetched units at the same moment as the buckets are
// spent, so the shared bucket must not refill to its full capacity while the prefetched units can still be sent.
func TestLimiter_PrefetchedUnitsReduceCapacity(t *testing.T) {
	params := Params{Rate: 65, Burst: 143, Gateways: 1, OwnsShared: true, LargestRequest: 3}
	l := NewLimiter(0)
	prefetched := l.PrefetchShared(params, 100, 30)
	if prefetched != 30 {
		t.Fatalf("%v units prefetched from a full bucket, want 30", prefetched)
	}
	now, sent := 100+PrefetchS, prefetched
	for l.LocalCovers(params, now, 1) || l.SharedCovers(params, now, 1) {
		l.Unpaid++
		l.Pay(params, now, 1)
		sent++
	}
	if sent > params.Burst {
		t.Errorf("%v units sent at once, want at most the burst of %v", sent, params.Burst)
	}
	if !l.SharedCovers(params, now+10, params.Burst*params.SharedFraction()) {
		t.Error("the shared bucket does not return to its full capacity after the prefetched units have expired")
	}
}
