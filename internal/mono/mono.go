// Package mono tells the time of a program: Unix seconds at its start, advanced by the monotonic clock alone.
package mono

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is safe for concurrent use; copies tell the same time.
type Clock struct {
	base time.Time
	unix float64
	boot float64
}

// New starts a clock.
func New() Clock {
	t := time.Now()
	unixS := float64(t.UnixNano()) / 1e9
	boot := 0.0
	var since unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &since) == nil {
		boot = unixS - float64(since.Nano())/1e9
	}
	return Clock{t, unixS, boot}
}

// Boot is the moment at which the machine's monotonic clock stood at 0, by this clock; 0 where there is none. Two programs of one
// machine differ in it by what their clocks do.
func (c Clock) Boot() float64 { return c.boot }

// Now is the time in Unix seconds.
func (c Clock) Now() float64 { return c.unix + time.Since(c.base).Seconds() }
