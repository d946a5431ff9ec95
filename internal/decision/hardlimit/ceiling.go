// Package ceiling is a gateway's book of one account's hard ceiling. Parts of it stand at each of the account's gateways, and one at the first on
// its ring, from which grants are paid; they add up to the ceiling whoever is silent, lost or started anew, and each begins empty, since a former
// life may just have spent it. The package does no I/O and takes time as a value (seconds); units are the plan's. Who may send is not decided here.
package hardlimit

import (
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/quota"
)

// PrefetchS is for how long what is lent ahead may be used.
const PrefetchS = 1.0

// sendDelayS is how much later what was lent may still be sent on: a word's way, and a wait for a server.
const sendDelayS = 0.5

// SharedFraction of a ceiling that grants of the first gateway on the ring are paid from.
const SharedFraction = 0.5

// Params are what a ceiling is for one gateway.
type Params struct {
	Rate, Burst    float64 // 0: there is none
	Gateways       int     // that the account comes through; below 1 stands for 1
	OwnsShared     bool    // this gateway is the first on the account's ring
	LargestRequest float64 // units of the largest request
}

// SharedFraction is the part of the ceiling that the first gateway pays grants from. Where a gateway's part of the rest would not hold half of the
// largest request, as with very many gateways, it is all of it.
func (t Params) SharedFraction() float64 {
	if 2*t.Burst*(1-SharedFraction) < t.LargestRequest*float64(max(t.Gateways, 1)) {
		return 1
	}
	return SharedFraction
}

// localFraction is this gateway's part of the rest.
func (t Params) localFraction() float64 {
	return (1 - t.SharedFraction()) / float64(max(t.Gateways, 1))
}

// Limiter is what this gateway holds of it.
type Limiter struct {
	Local  quota.Bucket // its own part
	Shared quota.Bucket // the shared part, at the first gateway
	Unpaid float64      // units let in that no part has paid for yet

	prefetched decay.Window // lent from the shared part for use later
}

// NewLimiter returns parts that are empty at a time.
func NewLimiter(at float64) Limiter {
	return Limiter{Local: quota.Bucket{UpdatedAt: at}, Shared: quota.Bucket{UpdatedAt: at}}
}

// LocalCovers brings the own part up to now and tells whether it holds the units.
func (c *Limiter) LocalCovers(t Params, now, units float64) bool {
	return t.Rate <= 0 || units <= c.Local.Refill(now, t.Rate*t.localFraction(), t.Burst*t.localFraction())
}

// SharedCovers does so for the shared part, which stands at the first gateway alone. What was lent ahead and may be sent on all at once keeps its
// place below the brim.
func (c *Limiter) SharedCovers(t Params, now, units float64) bool {
	return t.OwnsShared && t.Rate > 0 && units <= c.Shared.Refill(now, t.Rate*t.SharedFraction(), t.Burst*t.SharedFraction()-c.prefetched.Sum(now, PrefetchS+sendDelayS))
}

// CoversWithin tells whether the parts that this gateway pays from will hold the units within so many seconds, behind all that is owed already.
func (c *Limiter) CoversWithin(t Params, now, units, left float64) bool {
	if t.Rate <= 0 {
		return true
	}
	c.LocalCovers(t, now, 0)
	have, most, all := c.Local.Level, t.localFraction(), t.localFraction()
	if t.OwnsShared {
		c.SharedCovers(t, now, 0)
		have, most, all = have+c.Shared.Level, t.SharedFraction(), t.localFraction()+t.SharedFraction()
	}
	return units <= t.Burst*most && c.Unpaid+units <= have+t.Rate*all*max(left, 0)
}

// Pay takes units that are owed off a part that holds them: the caller has seen to that.
func (c *Limiter) Pay(t Params, now, units float64) {
	if c.Unpaid -= units; c.LocalCovers(t, now, units) {
		c.Local.Level -= units
	} else {
		c.Shared.Level -= units
	}
}

// TakeShared takes as much of the units off the shared part as it holds, if it holds the first of them, and returns how many; 0 if not.
func (c *Limiter) TakeShared(t Params, now, units, first float64) float64 {
	if !c.SharedCovers(t, now, first) {
		return 0
	}
	units = min(units, float64(int(c.Shared.Level*4))/4)
	c.Shared.Level -= units
	return units
}

// PrefetchShared is Lend of units that are used within PrefetchS.
func (c *Limiter) PrefetchShared(t Params, now, units float64) float64 {
	units = c.TakeShared(t, now, units, 1)
	c.prefetched.Add(now, units)
	return units
}

// Full tells that all parts here are as full as those of an account never heard of become.
func (c *Limiter) Full(t Params, now float64) bool {
	const eps = 1e-9
	c.LocalCovers(t, now, 0)
	c.SharedCovers(t, now, 0)
	return t.Rate <= 0 || c.Local.Level >= t.Burst*t.localFraction()-eps && (!t.OwnsShared || c.Shared.Level >= t.Burst*t.SharedFraction()-eps)
}
