// Package decay keeps quantities whose past counts for less as time goes on: an exponentially
// decaying rate, and the sum over a sliding window. It does no I/O; times are seconds of the
// caller's clock.
package decay

import "math"

// Rate is an exponentially decaying average of an amount per second. Its zero value is a rate of 0.
// All calls on one Rate must use the same time constant.
type Rate struct {
	Value     float64 // amount per second at UpdatedAt
	UpdatedAt float64 // seconds
}

// Now returns the rate at time now. Of what was added, 1/e is left after tauS seconds.
func (r *Rate) Now(now, tauS float64) float64 { return r.Value * math.Exp((r.UpdatedAt-now)/tauS) }

// Add counts amount at time now.
func (r *Rate) Add(now, amount, tauS float64) {
	r.Value, r.UpdatedAt = r.Now(now, tauS)+amount/tauS, now
}

// Window is a log of amounts, oldest first, for sums over the last seconds. Its zero value is empty.
// Entries are dropped by Sum alone, which therefore bounds its length.
type Window []Entry

// Entry is an amount at a time in seconds.
type Entry struct{ At, Amount float64 }

// Add appends an amount. Times must not decrease from call to call.
func (w *Window) Add(now, amount float64) { *w = append(*w, Entry{now, amount}) }

// Sum returns what was added within the last spanS seconds, and drops all older entries.
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

// Remove takes amount off the entries, the oldest first; what exceeds their sum is ignored.
func (w *Window) Remove(amount float64) {
	for i := range *w {
		e := &(*w)[i]
		taken := min(e.Amount, amount)
		e.Amount -= taken
		amount -= taken
	}
}
