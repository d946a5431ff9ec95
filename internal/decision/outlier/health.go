// Package health is what a gateway knows of how well a server answers each class: how sure it is that the server leaves the class unanswered, which
// fades, when it last answered well, and the share of errors of late. It does no I/O, takes time as a value (seconds) and decides nothing.
package outlier

import "math"

const (
	scoreMemoryS       = 4.0  // how long a sick server is shunned
	errorRateWeight    = 0.25 // how far one answer moves the share of errors,
	toleratedErrorRate = 0.2  // so much of which is forgiven by an answer
)

type score struct{ value, at float64 }

// Scores is one server's, by the places of classes. Its zero value knows none.
type Scores struct {
	scores        []score
	lastSuccessAt []float64
	errorRates    []float64
}

// Grow makes room for so many classes.
func (h *Scores) Grow(classes int) {
	for len(h.scores) < classes {
		h.scores, h.lastSuccessAt, h.errorRates = append(h.scores, score{}), append(h.lastSuccessAt, 0), append(h.errorRates, 0)
	}
}

// Reset forgets what is bad, for a server that has started anew.
func (h *Scores) Reset() { clear(h.scores); clear(h.errorRates) }

// ErrorScore is how sure it is, from 0 to 1, that the server does not answer the class.
func (h *Scores) ErrorScore(class int, now float64) float64 {
	k := h.scores[class]
	return k.value * math.Exp((k.at-now)/scoreMemoryS)
}

// RecordFailure makes it surer, by a share of the doubt left, and returns how sure.
func (h *Scores) RecordFailure(class int, by, now float64) float64 {
	x := h.ErrorScore(class, now)
	h.scores[class] = score{x + by*(1-x), now}
	return h.scores[class].value
}

// ErrorRate is the share of errors of late.
func (h *Scores) ErrorRate(class int) float64 { return h.errorRates[class] }

// RecordError takes in an error.
func (h *Scores) RecordError(class int) {
	h.errorRates[class] += errorRateWeight * (1 - h.errorRates[class])
}

// RecordSuccess takes in a good answer. One is no health: the server may err on two of three.
func (h *Scores) RecordSuccess(class int, now float64) {
	h.errorRates[class] *= 1 - errorRateWeight
	h.lastSuccessAt[class], h.scores[class] = now, score{max(h.errorRates[class]-toleratedErrorRate, 0), now}
}

// LastSuccessAt is when the server last answered the class well.
func (h *Scores) LastSuccessAt(class int) float64 { return h.lastSuccessAt[class] }

// ApplyGossip takes in what another gateway knew at a time, if that is so much newer than what is known here; it tells whether it was.
func (h *Scores) ApplyGossip(class int, value, at, newer float64) bool {
	if at < h.scores[class].at+newer || at < h.lastSuccessAt[class] {
		return false
	}
	h.scores[class] = score{value, at}
	return true
}
