package loadshed

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
)

// AdmissionPriority places a request in the order of admission: by class, and client retries before first
// attempts of the same class. The lowest rank is shed first. Plans don't count: their prices would starve the
// cheapest plan. Requests embed it.
type AdmissionPriority struct {
	AccountKey  uint32 // hash of the account
	ClassRank   int    // how many classes have a lower priority
	ClassCount  int
	ClientRetry bool // the client has tried before
}

// rank returns the request's rank, from 0, and how many ranks there are: the first one has the client retries of
// the lowest class alone, and each next one the first attempts of a class with the client retries of the next.
func (p AdmissionPriority) rank() (rank, ranks int) {
	if p.ClientRetry {
		return p.ClassRank, p.ClassCount + 1
	}
	return p.ClassRank + 1, p.ClassCount + 1
}

// CountLowerPriority returns how many classes have a lower priority weight per unit than weight. A unit stands
// for the same work in all classes.
func CountLowerPriority[C any](weight float64, classes []C, weightOf func(C) float64) (n int) {
	for _, c := range classes {
		if weightOf(c) < weight {
			n++
		}
	}
	return n
}

// PlanWeight returns the weight of a plan's price in the order of requests that wait for a backend: with load
// shedding on plans are served alike, or the queue would starve the plans that admission lets in.
func (s *Shedder) PlanWeight(price float64) float64 {
	if s == nil {
		return price
	}
	return 1
}

// FirstAttemptFactor returns the factor on the share of attempts that must have a similar client timeout for an
// attempt to be taken for a first one: while load is shed most attempts are client retries.
func (s *Shedder) FirstAttemptFactor() float64 {
	if s.Level() > 0 {
		return 0.5
	}
	return 1
}

// classMinimum is the part of the admission above the level that each rank but the first keeps: operators want
// every class to be served something.
const classMinimum = 0.5

// admittedFraction returns which fraction of a rank a level admits. The level sheds one rank after the other,
// each by an equal part of its range.
func (s *Shedder) admittedFraction(level float64, rank, ranks int) float64 {
	fraction := 1 - min(max(level*float64(ranks)-float64(rank), 0), 1)
	if rank > 0 {
		fraction = max(fraction, classMinimum*(1-level))
	}
	return max(fraction, s.config.Floor)
}

// Within a rank that is admitted in part, accounts are admitted whole, by turns: time is cut into slices, and in
// each one an account's requests are admitted if its quantile is below the admitted fraction.
const (
	phaseStepS    = 0.5 // seconds
	stepsPerSlice = 4
	phaseSteps    = 256 // steps until the phase begins again: gossip carries it in a byte
)

const goldenSection = math.Phi - 1

// accountQuantile returns an account's quantile, from 0 to 1, in the slice of a step. It moves on by the golden
// section from slice to slice, so that within a few slices it is spread evenly: an account is admitted in about
// as large a share of the slices as is admitted of its rank. Accounts' slices begin at different steps, so that
// not all change at once.
func accountQuantile(accountKey uint32, step uint8) float64 {
	x := peerprotocol.Mix64(uint64(accountKey))
	slice := (step + uint8(x%stepsPerSlice)) / stepsPerSlice
	_, quantile := math.Modf(float64(x>>11)/(1<<53) + goldenSection*float64(slice))
	return quantile
}

// Admit counts a request of so many units and reports whether it is admitted: the same at every gateway with the
// same level and phase.
func (s *Shedder) Admit(now float64, p AdmissionPriority, units float64) bool {
	if s == nil {
		return true
	}
	rank, ranks := p.rank()
	for len(s.requested) < ranks {
		s.requested, s.rejected = append(s.requested, decay.Rate{}), append(s.rejected, 0)
	}
	s.requested[rank].Add(now, units, rateMemoryS)
	if s.level >= minLevel && accountQuantile(p.AccountKey, uint8(s.phase)) >= s.admittedFraction(s.level, rank, ranks) {
		s.rejected[rank]++
		return false
	}
	s.admitted.Add(now, units, rateMemoryS)
	return true
}

// RetryAfterS returns when the client of a rejected request should retry, in seconds, maxS at most: when the
// account is admitted at the current level, spread over one step; towards maxS if that is further off. It is maxS
// while nothing is shed.
func (s *Shedder) RetryAfterS(p AdmissionPriority, maxS float64) float64 {
	if s == nil || s.level < minLevel || p.ClassCount == 0 {
		return maxS
	}
	rank, ranks := p.rank()
	admitted := s.admittedFraction(s.level, rank, ranks)
	for step := uint8(1); float64(step)*phaseStepS < maxS; step++ {
		if accountQuantile(p.AccountKey, uint8(s.phase)+step) < admitted {
			wait := (float64(step) - math.Mod(s.phase, 1)) * phaseStepS
			return min(max(wait, 0)+s.random()*phaseStepS, maxS)
		}
	}
	return maxS * (0.75 + 0.25*s.random())
}
