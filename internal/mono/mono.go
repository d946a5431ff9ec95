// Package mono tells the time of a program: Unix seconds at its start, advanced by the monotonic clock alone.
package mono

import "time"

// Clock is safe for concurrent use; copies tell the same time.
type Clock struct {
	base time.Time
	unix float64
}

// New starts a clock.
func New() Clock {
	t := time.Now()
	return Clock{t, float64(t.UnixNano()) / 1e9}
}

// Now is the time in Unix seconds.
func (c Clock) Now() float64 { return c.unix + time.Since(c.base).Seconds() }
