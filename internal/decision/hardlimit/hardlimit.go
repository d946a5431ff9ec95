// Package hardlimit keeps one gateway's part of an account's hard limit, a token bucket limit on its rate. The
// limit is split into a local bucket at each of the account's gateways and one shared bucket at the account's
// primary owner (the first gateway on its ring), from which grants are paid. The sum of the buckets stays within
// the limit when gateways are unreachable, lost or restarted. Each bucket starts empty, since the previous
// incarnation of the gateway may have spent its units just before.
//
// The package does no I/O; times are seconds of the caller's clock, amounts are the plan's units. Package policy
// decides which requests may be sent.
package hardlimit

import (
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/quota"
)

const (
	// PrefetchS is the time for which prefetched units may be used, in seconds.
	PrefetchS = 1.0
	// sendDelayS is the time after PrefetchS during which requests that use prefetched units may still be
	// sent, in seconds: the grant's transit to the member and the wait for a backend.
	sendDelayS = 0.5
)

// SharedFraction is the shared bucket's fraction of the limit, unless it makes the local buckets too small.
const SharedFraction = 0.5

// Params are the parameters of an account's hard limit at one gateway.
type Params struct {
	Rate           float64 // units per second; 0: no limit
	Burst          float64 // units
	Gateways       int     // number of gateways that the account uses; below 1 counts as 1
	OwnsShared     bool    // this gateway is the account's primary owner
	LargestRequest float64 // units of the largest request
}

// SharedFraction returns the shared bucket's fraction of the limit. It is 1 if a local bucket could not hold half
// of the largest request, which is the case with very many gateways.
func (p Params) SharedFraction() float64 {
	if 2*p.Burst*(1-SharedFraction) < p.LargestRequest*float64(max(p.Gateways, 1)) {
		return 1
	}
	return SharedFraction
}

// localFraction returns one local bucket's fraction of the limit.
func (p Params) localFraction() float64 {
	return (1 - p.SharedFraction()) / float64(max(p.Gateways, 1))
}

// Limiter holds this gateway's buckets of one account's hard limit.
type Limiter struct {
	Local  quota.Bucket
	Shared quota.Bucket // used only by the primary owner
	Unpaid float64      // admitted units that are not yet taken off a bucket

	prefetched decay.Window // units that were taken off the shared bucket in advance and whose requests may not have been sent yet
}

// NewLimiter returns a limiter whose buckets are empty at a time in seconds.
func NewLimiter(at float64) Limiter {
	return Limiter{Local: quota.Bucket{UpdatedAt: at}, Shared: quota.Bucket{UpdatedAt: at}}
}

// LocalCovers refills the local bucket and reports whether it holds the units; true if there is no limit.
func (l *Limiter) LocalCovers(p Params, now, units float64) bool {
	return p.Rate <= 0 || units <= l.Local.Refill(now, p.Rate*p.localFraction(), p.Burst*p.localFraction())
}

// SharedCovers refills the shared bucket and reports whether this gateway keeps it and it holds the units.
// Prefetched units reduce its capacity while they may still be sent: they can be sent at the same moment as the
// contents of all buckets, and together they must not exceed the burst.
func (l *Limiter) SharedCovers(p Params, now, units float64) bool {
	return p.OwnsShared && p.Rate > 0 &&
		units <= l.Shared.Refill(now, p.Rate*p.SharedFraction(), p.Burst*p.SharedFraction()-l.prefetched.Sum(now, PrefetchS+sendDelayS))
}

// CoversWithin reports whether this gateway's buckets will hold the units within withinS seconds, in addition to
// all unpaid units; true if there is no limit.
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

// Pay takes unpaid units off the local bucket, or off the shared bucket if the local one does not hold them. The
// caller has checked that LocalCovers or SharedCovers is true.
func (l *Limiter) Pay(p Params, now, units float64) {
	if l.Unpaid -= units; l.LocalCovers(p, now, units) {
		l.Local.Level -= units
	} else {
		l.Shared.Level -= units
	}
}

// TakeShared takes up to units off the shared bucket and returns the number taken; 0 if the bucket holds less than
// atLeast. If it holds less than units, it takes as many whole quarters of a unit as the bucket holds.
func (l *Limiter) TakeShared(p Params, now, units, atLeast float64) float64 {
	if !l.SharedCovers(p, now, atLeast) {
		return 0
	}
	units = min(units, float64(int(l.Shared.Level*4))/4)
	l.Shared.Level -= units
	return units
}

// PrefetchShared takes units off the shared bucket as TakeShared does, with atLeast 1, for a member that may use
// them within PrefetchS.
func (l *Limiter) PrefetchShared(p Params, now, units float64) float64 {
	units = l.TakeShared(p, now, units, 1)
	l.prefetched.Add(now, units)
	return units
}

// Full reports whether all of this gateway's buckets are at capacity, so that the account's state need not be kept.
func (l *Limiter) Full(p Params, now float64) bool {
	const epsilon = 1e-9 // units; tolerance for rounding errors of a refill
	l.LocalCovers(p, now, 0)
	l.SharedCovers(p, now, 0)
	return p.Rate <= 0 ||
		l.Local.Level >= p.Burst*p.localFraction()-epsilon &&
			(!p.OwnsShared || l.Shared.Level >= p.Burst*p.SharedFraction()-epsilon)
}
