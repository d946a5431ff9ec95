// Package decay provides measures that discount old amounts: an exponentially decaying rate and the sum over a
// sliding window. It does no I/O; times are seconds of the caller's clock.
package decay

import "math"

// Rate is an exponentially decaying average of an amount per second. Its zero value is a rate of 0.
// All calls on one Rate must use the same time constant.
type Rate struct {
	Value     float64 // amount per second at UpdatedAt
	UpdatedAt float64 // seconds
}

// Now returns the rate at time now. It decays to 1/e of its value within tauS seconds.
func (r *Rate) Now(now, tauS float64) float64 { return r.Value * math.Exp((r.UpdatedAt-now)/tauS) }

// Add adds an amount at time now.
func (r *Rate) Add(now, amount, tauS float64) {
	r.Value, r.UpdatedAt = r.Now(now, tauS)+amount/tauS, now
}

// Window is a list of amounts, oldest first, for sums over a sliding window. Its zero value is empty. Only Sum
// drops entries, so the list grows until Sum is called.
type Window []Entry

// Entry is an amount at a time in seconds.
type Entry struct{ At, Amount float64 }

// Add appends an amount. Times must not decrease from call to call.
func (w *Window) Add(now, amount float64) { *w = append(*w, Entry{now, amount}) }

// Sum returns the sum of the amounts added within the last spanS seconds and drops all older entries.
func (w *Window) Sum(now, spanS float64) (sum float64) {
	recent := (*w)[:0]
	for _, e := range *w {
		if now-e.At < spanS {
			recent = append(recent, e)
			sum += e.Amount
		}
	}
	*w = recent
	return sum
}

// Remove subtracts amount from the entries, oldest first. Any part of it beyond their sum is ignored.
func (w *Window) Remove(amount float64) {
	for i := range *w {
		e := &(*w)[i]
		taken := min(e.Amount, amount)
		e.Amount -= taken
		amount -= taken
	}
}
