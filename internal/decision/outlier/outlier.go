// Package outlier scores the backends of one gateway for outlier ejection. For each class of requests it keeps a
// backend's error score, its error rate and the time of its last success. The error score is the likelihood that
// the backend leaves a request of the class unanswered; it decays with time. The package does no I/O and makes no
// decisions; times are seconds of the caller's clock.
package outlier

import "math"

const (
	scoreTauS          = 4.0  // time constant of an error score's decay, seconds
	errorRateWeight    = 0.25 // weight of one answer in the error rate
	toleratedErrorRate = 0.2  // a success lowers the error score to the excess of the error rate over this rate
)

// score is an error score and the time, in seconds, from which it decays.
type score struct{ value, at float64 }

// Scores holds the scores of one backend, indexed by class. The zero value has no classes; Grow adds them.
type Scores struct {
	scores        []score
	lastSuccessAt []float64
	errorRates    []float64
}

// Grow adds classes with scores of 0 until there are at least the given number of classes.
func (s *Scores) Grow(classes int) {
	for len(s.scores) < classes {
		s.scores = append(s.scores, score{})
		s.lastSuccessAt = append(s.lastSuccessAt, 0)
		s.errorRates = append(s.errorRates, 0)
	}
}

// Reset clears error scores and error rates after a restart of the backend. Times of the last success stay.
func (s *Scores) Reset() { clear(s.scores); clear(s.errorRates) }

// ErrorScore returns the likelihood, from 0 to 1, that the backend leaves a request of the class unanswered.
func (s *Scores) ErrorScore(class int, now float64) float64 {
	last := s.scores[class]
	return last.value * math.Exp((last.at-now)/scoreTauS)
}

// RecordFailure raises the error score by a fraction (0 to 1) of its distance to 1 and returns the new score.
func (s *Scores) RecordFailure(class int, fraction, now float64) float64 {
	previous := s.ErrorScore(class, now)
	s.scores[class] = score{previous + fraction*(1-previous), now}
	return s.scores[class].value
}

// ErrorRate returns the fraction of errors among the recent answers to the class, from 0 to 1.
func (s *Scores) ErrorRate(class int) float64 { return s.errorRates[class] }

// RecordError counts an error answer in the error rate.
func (s *Scores) RecordError(class int) {
	s.errorRates[class] += errorRateWeight * (1 - s.errorRates[class])
}

// RecordSuccess counts a successful answer. It clears the error score only if the error rate is low: a backend
// that fails two of three requests also has successes.
func (s *Scores) RecordSuccess(class int, now float64) {
	s.errorRates[class] *= 1 - errorRateWeight
	s.lastSuccessAt[class] = now
	s.scores[class] = score{max(s.errorRates[class]-toleratedErrorRate, 0), now}
}

// LastSuccessAt returns the time of the last successful answer; 0 if there was none.
func (s *Scores) LastSuccessAt(class int) float64 { return s.lastSuccessAt[class] }

// ApplyGossip replaces the error score by the value that another gateway recorded at a time, and reports whether
// it did. The received score must be at least marginS seconds newer than the local score and not older than the
// last local success.
func (s *Scores) ApplyGossip(class int, value, at, marginS float64) bool {
	if at < s.scores[class].at+marginS || at < s.lastSuccessAt[class] {
		return false
	}
	s.scores[class] = score{value, at}
	return true
}
