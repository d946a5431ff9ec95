// Package hardlimit keeps one gateway's part of an account's hard rate limit. The limit is split into a
// local bucket at each of the account's gateways and one shared bucket at the account's primary owner (the
// first gateway on its ring), from which grants are paid. The buckets add up to the limit whichever gateway
// is silent, lost or restarted, and each starts empty, since a former incarnation may just have spent it.
//
// The package does no I/O; times are seconds of the caller's clock, amounts are the plan's units. Which
// request may be sent is decided in package policy.
package hardlimit

import (
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/quota"
)

const (
	// PrefetchS is for how long prefetched units may be used, in seconds.
	PrefetchS = 1.0
	// sendDelayS is how much later than that they may still be sent, in seconds: the grant's way to the member
	// and the wait for a backend.
	sendDelayS = 0.5
)

// SharedFraction is the shared bucket's part of the limit, unless the local buckets would be too small.
const SharedFraction = 0.5

// Params describe the limit as it applies to one gateway.
type Params struct {
	Rate           float64 // units per second; 0: no limit
	Burst          float64 // units
	Gateways       int     // that the account uses; below 1 stands for 1
	OwnsShared     bool    // this gateway is the account's primary owner
	LargestRequest float64 // units
}

// SharedFraction returns the shared bucket's part of the limit. It is all of it where a local bucket would
// not hold half of the largest request, as with very many gateways.
func (p Params) SharedFraction() float64 {
	if 2*p.Burst*(1-SharedFraction) < p.LargestRequest*float64(max(p.Gateways, 1)) {
		return 1
	}
	return SharedFraction
}

// localFraction returns one local bucket's part of the limit.
func (p Params) localFraction() float64 {
	return (1 - p.SharedFraction()) / float64(max(p.Gateways, 1))
}

// Limiter is this gateway's part of one account's limit.
type Limiter struct {
	Local  quota.Bucket
	Shared quota.Bucket // used by the primary owner alone
	Unpaid float64      // units admitted that no bucket has paid for yet

	prefetched decay.Window // units taken from the shared bucket that may still be sent
}

// NewLimiter returns a limiter with empty buckets at a time.
func NewLimiter(at float64) Limiter {
	return Limiter{Local: quota.Bucket{UpdatedAt: at}, Shared: quota.Bucket{UpdatedAt: at}}
}

// LocalCovers refills the local bucket and reports whether it holds the units; always if there is no limit.
func (l *Limiter) LocalCovers(p Params, now, units float64) bool {
	return p.Rate <= 0 || units <= l.Local.Refill(now, p.Rate*p.localFraction(), p.Burst*p.localFraction())
}

// SharedCovers refills the shared bucket and reports whether it is here and holds the units. Prefetched units
// reduce its capacity while they may still be sent: they and all buckets together can be sent at once.
func (l *Limiter) SharedCovers(p Params, now, units float64) bool {
	return p.OwnsShared && p.Rate > 0 &&
		units <= l.Shared.Refill(now, p.Rate*p.SharedFraction(), p.Burst*p.SharedFraction()-l.prefetched.Sum(now, PrefetchS+sendDelayS))
}

// CoversWithin reports whether this gateway's buckets will hold the units within so many seconds, after all
// unpaid ones; always if there is no limit.
func (l *Limiter) CoversWithin(p Params, now, units, withinS float64) bool {
	if p.Rate <= 0 {
		return true
	}
	l.LocalCovers(p, now, 0)
	level, largest, fraction := l.Local.Level, p.localFraction(), p.localFraction()
	if p.OwnsShared {
		l.SharedCovers(p, now, 0)
		level, largest, fraction = level+l.Shared.Level, p.SharedFraction(), p.localFraction()+p.SharedFraction()
	}
	return units <= p.Burst*largest && l.Unpaid+units <= level+p.Rate*fraction*max(withinS, 0)
}

// Pay takes unpaid units off the local bucket, or off the shared one if that does not hold them. One of
// LocalCovers and SharedCovers must hold.
func (l *Limiter) Pay(p Params, now, units float64) {
	if l.Unpaid -= units; l.LocalCovers(p, now, units) {
		l.Local.Level -= units
	} else {
		l.Shared.Level -= units
	}
}

// TakeShared takes up to units off the shared bucket, in quarters of a unit, if it holds at least atLeast,
// and returns how many; 0 if not.
func (l *Limiter) TakeShared(p Params, now, units, atLeast float64) float64 {
	if !l.SharedCovers(p, now, atLeast) {
		return 0
	}
	units = min(units, float64(int(l.Shared.Level*4))/4)
	l.Shared.Level -= units
	return units
}

// PrefetchShared is TakeShared, at least 1 unit, of units that the member may use within PrefetchS.
func (l *Limiter) PrefetchShared(p Params, now, units float64) float64 {
	units = l.TakeShared(p, now, units, 1)
	l.prefetched.Add(now, units)
	return units
}

// Full reports whether all buckets here are as full as those of an account that was never seen.
func (l *Limiter) Full(p Params, now float64) bool {
	const epsilon = 1e-9 // units; rounding errors of a refill
	l.LocalCovers(p, now, 0)
	l.SharedCovers(p, now, 0)
	return p.Rate <= 0 ||
		l.Local.Level >= p.Burst*p.localFraction()-epsilon &&
			(!p.OwnsShared || l.Shared.Level >= p.Burst*p.SharedFraction()-epsilon)
}
