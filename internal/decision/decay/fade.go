// Package fade keeps sums over a time that moves on.
package decay

import "math"

// Rate is an amount a second, fading with a time constant in seconds. Its zero value is none.
type Rate struct{ Value, UpdatedAt float64 }

// Now is what is left of it.
func (r *Rate) Now(now, tau float64) float64 { return r.Value * math.Exp((r.UpdatedAt-now)/tau) }

// Add takes an amount in.
func (r *Rate) Add(now, amount, tau float64) { r.Value, r.UpdatedAt = r.Now(now, tau)+amount/tau, now }

// Window is what was done within a span of time, oldest first. Its zero value is empty; it holds no more than what was added within
// the last span asked for.
type Window []Entry

// Entry is some work at a time, both in seconds.
type Entry struct{ At, Amount float64 }

// Add puts work on the log.
func (l *Window) Add(now, work float64) { *l = append(*l, Entry{now, work}) }

// Sum sums what was added within the last span, and forgets the rest.
func (l *Window) Sum(now, span float64) (sum float64) {
	keep := (*l)[:0]
	for _, w := range *l {
		if now-w.At < span {
			keep = append(keep, w)
			sum += w.Amount
		}
	}
	*l = keep
	return sum
}

// Remove takes work off again, the oldest first.
func (l *Window) Remove(work float64) {
	for i := range *l {
		w := &(*l)[i]
		off := min(w.Amount, work)
		w.Amount -= off
		work -= off
	}
}
