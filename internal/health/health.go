// Package health is what a gateway knows of how well a server answers each class: how sure it is that the server leaves the class unanswered, which
// fades, when it last answered well, and the share of errors of late. It does no I/O, takes time as a value (seconds) and decides nothing.
package health

import "math"

const (
	tauS        = 4.0  // how long a sick server is shunned
	errorWeight = 0.25 // how far one answer moves the share of errors,
	errorFew    = 0.2  // so much of which is forgiven by an answer
)

type level struct{ value, at float64 }

// Health is one server's, by the places of classes. Its zero value knows none.
type Health struct {
	sick  []level
	okAt  []float64
	erred []float64
}

// Grow makes room for so many classes.
func (h *Health) Grow(classes int) {
	for len(h.sick) < classes {
		h.sick, h.okAt, h.erred = append(h.sick, level{}), append(h.okAt, 0), append(h.erred, 0)
	}
}

// Reset forgets what is bad, for a server that has started anew.
func (h *Health) Reset() { clear(h.sick); clear(h.erred) }

// Sick is how sure it is, from 0 to 1, that the server does not answer the class.
func (h *Health) Sick(class int, now float64) float64 {
	k := h.sick[class]
	return k.value * math.Exp((k.at-now)/tauS)
}

// Fail makes it surer, by a share of the doubt left, and returns how sure.
func (h *Health) Fail(class int, by, now float64) float64 {
	x := h.Sick(class, now)
	h.sick[class] = level{x + by*(1-x), now}
	return h.sick[class].value
}

// Erred is the share of errors of late.
func (h *Health) Erred(class int) float64 { return h.erred[class] }

// Err takes in an error.
func (h *Health) Err(class int) { h.erred[class] += errorWeight * (1 - h.erred[class]) }

// Good takes in a good answer. One is no health: the server may err on two of three.
func (h *Health) Good(class int, now float64) {
	h.erred[class] *= 1 - errorWeight
	h.okAt[class], h.sick[class] = now, level{max(h.erred[class]-errorFew, 0), now}
}

// GoodAt is when the server last answered the class well.
func (h *Health) GoodAt(class int) float64 { return h.okAt[class] }

// Heard takes in what another gateway knew at a time, if that is so much newer than what is known here; it tells whether it was.
func (h *Health) Heard(class int, value, at, newer float64) bool {
	if at < h.sick[class].at+newer || at < h.okAt[class] {
		return false
	}
	h.sick[class] = level{value, at}
	return true
}
