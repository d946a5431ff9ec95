package loadshed

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
)

// AdmissionPriority determines a request's admission rank: classes rank by priority weight, and within a class
// client retries rank below first attempts. The lowest rank is shed first. The plan has no influence: ranking
// by plan weight would starve the cheapest plan. Request types embed it.
type AdmissionPriority struct {
	AccountKey  uint32 // hash of the account
	ClassRank   int    // number of classes with a lower priority weight
	ClassCount  int
	ClientRetry bool // the request is a client retry
}

// rank returns the request's rank, from 0, and the number of ranks. Rank 0 holds the client retries of the
// lowest class. Each further rank holds the first attempts of one class and the client retries of the class
// above it.
func (p AdmissionPriority) rank() (rank, ranks int) {
	if p.ClientRetry {
		return p.ClassRank, p.ClassCount + 1
	}
	return p.ClassRank + 1, p.ClassCount + 1
}

// CountLowerPriority returns the number of classes whose priority weight per unit is below weight. Weights per
// unit are comparable because a unit stands for the same amount of work in all classes.
func CountLowerPriority[C any](weight float64, classes []C, weightOf func(C) float64) (n int) {
	for _, c := range classes {
		if weightOf(c) < weight {
			n++
		}
	}
	return n
}

// PlanWeight returns the factor that a plan with this price contributes to the priority of requests that wait
// for a backend. With load shedding on it is 1 for every plan: admission ignores plans, and a queue ordered by
// price would starve the admitted requests of cheap plans.
func (s *Shedder) PlanWeight(price float64) float64 {
	if s == nil {
		return price
	}
	return 1
}

// CommonTimeoutFactor returns a factor on the fraction of requests that must have a similar client timeout for a
// request to be classified as a first attempt. It is below 1 while load is shed, since most requests are client
// retries then.
func (s *Shedder) CommonTimeoutFactor() float64 {
	if s.Level() > 0 {
		return 0.5
	}
	return 1
}

// classMinimum bounds the admitted fraction of every rank but rank 0 from below, multiplied by 1 - level:
// operators want a part of every class to be served.
const classMinimum = 0.5

// admittedFraction returns the fraction of a rank that is admitted at a level. As the level rises from 0 to 1,
// ranks are shed one after the other, lowest first, each over an equal part of that range.
func (s *Shedder) admittedFraction(level float64, rank, ranks int) float64 {
	fraction := 1 - min(max(level*float64(ranks)-float64(rank), 0), 1)
	if rank > 0 {
		fraction = max(fraction, classMinimum*(1-level))
	}
	return max(fraction, s.config.Floor)
}

// Within a partly admitted rank, accounts take turns: time is divided into slices, and in each slice either all
// or none of an account's requests of that rank are admitted. They are admitted if the account's quantile is
// below the admitted fraction.
const (
	phaseStepS    = 0.5 // length of a step in seconds
	stepsPerSlice = 4
	phaseSteps    = 256 // steps after which the phase wraps to 0: gossip carries it in a byte
)

const goldenSection = math.Phi - 1

// accountQuantile returns an account's quantile, from 0 to 1, in the slice that contains a step. The quantile
// advances by the golden section from slice to slice, modulo 1, which spreads it evenly over a few slices: the
// fraction of slices in which an account is admitted is close to the admitted fraction of its rank. Slices
// begin at different steps for different accounts, so that the admitted accounts don't all change at once.
func accountQuantile(accountKey uint32, step uint8) float64 {
	x := peerprotocol.Mix64(uint64(accountKey))
	slice := (step + uint8(x%stepsPerSlice)) / stepsPerSlice
	_, quantile := math.Modf(float64(x>>11)/(1<<53) + goldenSection*float64(slice))
	return quantile
}

// Admit counts a request of the given units and reports whether it is admitted. Gateways with the same level
// and phase return the same result.
func (s *Shedder) Admit(now float64, p AdmissionPriority, units float64) bool {
	if s == nil {
		return true
	}
	rank, ranks := p.rank()
	for len(s.requested) < ranks {
		s.requested, s.rejected = append(s.requested, decay.Rate{}), append(s.rejected, 0)
	}
	s.requested[rank].Add(now, units, rateTauS)
	if s.level >= minLevel && accountQuantile(p.AccountKey, uint8(s.phase)) >= s.admittedFraction(s.level, rank, ranks) {
		s.rejected[rank]++
		return false
	}
	s.admitted.Add(now, units, rateTauS)
	return true
}

// RetryAfterS returns the seconds, at most maxS, after which the client of a rejected request should retry. The
// retry falls on a random time in the first step in which the current level admits the account. If there is no
// such step within maxS, the result is random between 0.75 maxS and maxS. It is maxS while nothing is shed.
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
