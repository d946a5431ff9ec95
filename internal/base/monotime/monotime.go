// Package mono tells the time of a program: Unix seconds at its start, advanced by the monotonic clock alone.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is safe for concurrent use; copies tell the same time.
type Clock struct {
	start      time.Time
	startUnixS float64
	bootUnixS  float64
}

// NewClock starts a clock.
func NewClock() Clock {
	t := time.Now()
	unixS := float64(t.UnixNano()) / 1e9
	boot := 0.0
	var since unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &since) == nil {
		boot = unixS - float64(since.Nano())/1e9
	}
	return Clock{t, unixS, boot}
}

// BootTime is the moment at which the machine's monotonic clock stood at 0, by this clock; 0 where there is none. Two programs of one
// machine differ in it by what their clocks do.
func (c Clock) BootTime() float64 { return c.bootUnixS }

// Now is the time in Unix seconds.
func (c Clock) Now() float64 { return c.startUnixS + time.Since(c.start).Seconds() }
