package loadshed

import "math"

// The level rises while the mean wait is above targetWait and falls while it is below.
const (
	targetWait = 0.12  // mean wait for a backend, as a fraction of the maximum wait
	minLevel   = 0.004 // nothing is shed below this level
	maxGapS    = 0.25  // longest time that one update accounts for, seconds: a paused gateway has no data for the pause
)

// Parameters of a rising level.
const (
	targetTauS       = 0.1 // time constant with which the level approaches its target, seconds
	drainMargin      = 0.8 // fraction of the served units by which admission is cut at the maximum wait, to drain the queue
	capacityRiseTauS = 0.5 // time constant of the capacity estimate while it grows, seconds
	capacityFallTauS = 2.0 // the same while it shrinks, seconds; longer, since low admission also lowers the served rate
)

// Parameters of a falling level. The fall rates apply at a mean wait of 0.
const (
	slowFallPerS    = 0.2 // levels per second
	fastFallPerS    = 1.0 // the same while backends have idle cores, or once recoveredAfterS has passed
	recoveredAfterS = 1.5 // seconds since the mean wait was last above targetWait
	idleUtil        = 0.8 // mean utilisation of the backends' cores below which they have idle cores
)

// minSwing is the smallest change of the level that counts as a swing for Status.Reversals.
const minSwing = 0.1

// updateLevel estimates the level and converges it with the peers' levels. waiting is the number of requests in
// the queue, fractions the sum of their wait fractions; idle reports whether backends have idle cores.
func (s *Shedder) updateLevel(now float64, waiting int, fractions float64, idle bool) {
	dt := min(max(now-s.updatedAt, 0), maxGapS)
	s.updatedAt = now
	samples, wait := s.meanWait.withQueue(now, waiting, fractions)
	s.waitFraction = wait
	if wait > targetWait {
		s.raise(now, dt, wait)
	} else {
		s.lower(now, dt, wait, samples, idle)
	}
	s.converge(now, dt)
	s.level = min(max(s.level, 0), 1)
	if s.level < minLevel {
		s.sheddingSince, s.capacity = 0, 0
	} else if s.sheddingSince == 0 {
		s.sheddingSince = now
	}
	s.countReversals()
}

// raise moves the level up towards the level that admits less than is served, by up to drainMargin, so that the
// queue drains.
func (s *Shedder) raise(now, dt, wait float64) {
	s.overloadedAt = now
	capacity := s.servedAtLevel(now)
	tauS := capacityFallTauS
	if capacity > s.capacity {
		tauS = capacityRiseTauS
	}
	s.capacity += (capacity - s.capacity) * min(dt/tauS, 1)
	excess := (wait - targetWait) / (1 - targetWait)
	if target := s.levelFor(now, capacity*(1-drainMargin*excess)); target > s.level {
		s.level += (target - s.level) * min(dt/targetTauS, 1)
	}
}

// lower moves the level down: faster for shorter waits, and more slowly at a gateway with few requests, whose
// mean wait is unreliable. If the level that admits the capacity of the last overload is lower still, the level
// approaches that one.
func (s *Shedder) lower(now, dt, wait, samples float64, idle bool) {
	fall := slowFallPerS * samples / (samples + priorSamples)
	if idle || now-s.overloadedAt > recoveredAfterS {
		fall = fastFallPerS
	}
	s.level -= fall * (1 - wait/targetWait) * dt
	if target := s.levelFor(now, s.capacity); s.capacity > 0 && target < s.level {
		s.level += (target - s.level) * min(dt/targetTauS, 1)
	}
}

// servedAtLevel returns the units per second that the level must admit to keep the served rate as it is. This
// is more than the served rate if quotas reject a part of what the level admits.
func (s *Shedder) servedAtLevel(now float64) float64 {
	admitted := max(s.admitted.Now(now, rateTauS), 1e-9)
	withinQuota := max(s.withinQuota.Now(now, rateTauS), 1e-9)
	return s.served.Now(now, rateTauS) * (admitted / min(withinQuota, admitted))
}

// levelFor returns, by bisection, the lowest level that admits at most units per second of the requested units;
// 1 if none does.
func (s *Shedder) levelFor(now, units float64) float64 {
	const steps = 12 // resolution of 1/4096
	low, high := 0.0, 1.0
	for range steps {
		level, admitted := (low+high)/2, 0.0
		for rank := range s.requested {
			admitted += s.requested[rank].Now(now, rateTauS) * s.admittedFraction(level, rank, len(s.requested))
		}
		if admitted > units {
			low = level
		} else {
			high = level
		}
	}
	if low == 0 {
		return 0
	}
	return high
}

// countReversals counts changes of direction between swings of at least minSwing.
func (s *Shedder) countReversals() {
	d := s.level - s.lastSwingLevel
	if math.Abs(d) < minSwing {
		return
	}
	if d*s.lastSwing < 0 {
		s.reversals++
	}
	s.lastSwingLevel, s.lastSwing = s.level, d
}
