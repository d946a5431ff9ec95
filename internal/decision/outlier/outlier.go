// Package outlier scores the backends of one gateway for outlier ejection. For each class of request a
// backend has an error score, the likelihood that it leaves the class unanswered, which decays with time,
// a rate of errors, and the time of its last success. The package does no I/O and decides nothing; times are
// seconds of the caller's clock.
package outlier

import "math"

const (
	scoreMemoryS       = 4.0  // time constant of an error score's decay, seconds
	errorRateWeight    = 0.25 // of one answer in the error rate
	toleratedErrorRate = 0.2  // a success clears the error score down to what exceeds this rate
)

// score is an error score at a time in seconds.
type score struct{ value, at float64 }

// Scores are one backend's, by the index of the class. The zero value has no classes; Grow adds them.
type Scores struct {
	scores        []score
	lastSuccessAt []float64
	errorRates    []float64
}

// Grow adds classes with clean scores until there are so many.
func (s *Scores) Grow(classes int) {
	for len(s.scores) < classes {
		s.scores = append(s.scores, score{})
		s.lastSuccessAt = append(s.lastSuccessAt, 0)
		s.errorRates = append(s.errorRates, 0)
	}
}

// Reset clears scores and error rates, for a backend that has restarted.
func (s *Scores) Reset() { clear(s.scores); clear(s.errorRates) }

// ErrorScore returns the likelihood, from 0 to 1, that the backend leaves the class unanswered.
func (s *Scores) ErrorScore(class int, now float64) float64 {
	last := s.scores[class]
	return last.value * math.Exp((last.at-now)/scoreMemoryS)
}

// RecordFailure raises the error score by a fraction (0 to 1) of what is missing to 1, and returns it.
func (s *Scores) RecordFailure(class int, fraction, now float64) float64 {
	was := s.ErrorScore(class, now)
	s.scores[class] = score{was + fraction*(1-was), now}
	return s.scores[class].value
}

// ErrorRate returns the class's share of errors among recent answers, from 0 to 1.
func (s *Scores) ErrorRate(class int) float64 { return s.errorRates[class] }

// RecordError counts an answer that was an error in the error rate.
func (s *Scores) RecordError(class int) {
	s.errorRates[class] += errorRateWeight * (1 - s.errorRates[class])
}

// RecordSuccess counts a good answer. It doesn't clear the error score while the error rate is high: a
// backend may fail two requests of three.
func (s *Scores) RecordSuccess(class int, now float64) {
	s.errorRates[class] *= 1 - errorRateWeight
	s.lastSuccessAt[class] = now
	s.scores[class] = score{max(s.errorRates[class]-toleratedErrorRate, 0), now}
}

// LastSuccessAt returns the time of the last good answer; 0 if there was none.
func (s *Scores) LastSuccessAt(class int) float64 { return s.lastSuccessAt[class] }

// ApplyGossip takes the error score that another gateway had at a time, and reports whether it was taken: it
// must be newerS seconds newer than the score here, and not older than the last success here.
func (s *Scores) ApplyGossip(class int, value, at, newerS float64) bool {
	if at < s.scores[class].at+newerS || at < s.lastSuccessAt[class] {
		return false
	}
	s.scores[class] = score{value, at}
	return true
}
