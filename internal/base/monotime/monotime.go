// Package monotime provides a program's clock. It starts at the machine's time, in Unix seconds, and advances by the monotonic clock
// alone, so that a step of the machine's clock has no effect on it.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. It is safe for concurrent use; copies tell the same time. The zero Clock is not usable: NewClock starts one.
type Clock struct {
	start      time.Time
	startUnixS float64
	bootUnixS  float64 // 0: unknown
}

// NewClock starts a clock.
func NewClock() Clock {
	start := time.Now()
	startUnixS := float64(start.UnixNano()) / 1e9
	bootUnixS := 0.0
	var sinceBoot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &sinceBoot) == nil {
		bootUnixS = startUnixS - float64(sinceBoot.Nano())/1e9
	}
	return Clock{start, startUnixS, bootUnixS}
}

// BootTime returns the time at which the machine's monotonic clock was at 0, in Unix seconds by this clock, or 0 if that clock can't be
// read. The clocks of two programs on one machine differ by as much as their boot times do.
func (c Clock) BootTime() float64 { return c.bootUnixS }

// Now returns the time in Unix seconds.
func (c Clock) Now() float64 { return c.startUnixS + time.Since(c.start).Seconds() }
