package loadshed

import "math"

// The level rises while requests wait for longer than targetWait, and falls while they wait for less.
const (
	targetWait = 0.12  // mean wait for a backend, as a fraction of what requests may wait
	minLevel   = 0.004 // below it nothing is shed
	maxGapS    = 0.25  // a gateway that stood still for longer knows nothing of the time between, seconds
)

// While the level rises.
const (
	raiseS        = 0.1 // time in which the level comes to its target, seconds
	drainMargin   = 0.8 // of the served units, that is admitted less while requests wait as long as they may: the queue drains
	capacityUpS   = 0.5 // time constant of the capacity's estimate where it grows, seconds
	capacityDownS = 2.0 // and where it shrinks: little is served also while little is admitted, seconds
)

// While the level falls. Rates are for requests that don't wait at all.
const (
	slowFallPerS    = 0.2 // levels per second
	fastFallPerS    = 1.0 // the same while backends have idle cores, or after recoveredAfterS
	recoveredAfterS = 1.5 // seconds without an overload
	idleUtil        = 0.8 // mean utilisation of cores below which backends can do more
)

// swing is the least change of the level that Status counts as one.
const swing = 0.1

// advance updates the level. waiting is the number of requests that wait now and fractions the sum of their
// wait fractions; idle is set if backends have idle cores.
func (s *Shedder) advance(now float64, waiting int, fractions float64, idle bool) {
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
	s.countSwings()
}

// raise moves the level up to where a little less is admitted than is served.
func (s *Shedder) raise(now, dt, wait float64) {
	s.overloadedAt = now
	capacity := s.servedAtLevel(now)
	memoryS := capacityDownS
	if capacity > s.capacity {
		memoryS = capacityUpS
	}
	s.capacity += (capacity - s.capacity) * min(dt/memoryS, 1)
	excess := (wait - targetWait) / (1 - targetWait)
	if target := s.levelFor(now, capacity*(1-drainMargin*excess)); target > s.level {
		s.level += (target - s.level) * min(dt/raiseS, 1)
	}
}

// lower moves the level down: the faster the less requests wait, and more slowly at a gateway with few requests,
// which sees little. Where less is requested than could be served in the overload, it goes to its target.
func (s *Shedder) lower(now, dt, wait, samples float64, idle bool) {
	fall := slowFallPerS * samples / (samples + priorSamples)
	if idle || now-s.overloadedAt > recoveredAfterS {
		fall = fastFallPerS
	}
	s.level -= fall * (1 - wait/targetWait) * dt
	if target := s.levelFor(now, s.capacity); s.capacity > 0 && target < s.level {
		s.level += (target - s.level) * min(dt/raiseS, 1)
	}
}

// servedAtLevel returns the units per second that the level has to admit for as much to be served as is now:
// quotas reject a part of what the level admits.
func (s *Shedder) servedAtLevel(now float64) float64 {
	admitted := max(s.admitted.Now(now, rateMemoryS), 1e-9)
	withinQuota := max(s.withinQuota.Now(now, rateMemoryS), 1e-9)
	return s.served.Now(now, rateMemoryS) * (admitted / min(withinQuota, admitted))
}

// levelFor returns the level that admits so many units per second of what is requested, by bisection.
func (s *Shedder) levelFor(now, units float64) float64 {
	const steps = 12 // to one part in four thousand
	low, high := 0.0, 1.0
	for range steps {
		level, admitted := (low+high)/2, 0.0
		for rank := range s.requested {
			admitted += s.requested[rank].Now(now, rateMemoryS) * s.admittedFraction(level, rank, len(s.requested))
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

// countSwings counts how often the level turns: changes of swing or more in alternating directions.
func (s *Shedder) countSwings() {
	d := s.level - s.turnLevel
	if math.Abs(d) < swing {
		return
	}
	if d*s.lastSwing < 0 {
		s.reversals++
	}
	s.turnLevel, s.lastSwing = s.level, d
}
