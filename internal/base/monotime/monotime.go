// Package monotime is the clock of a program: Unix seconds at its start, advanced by the monotonic clock alone, so that a step of the
// machine's clock moves nothing.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is safe for concurrent use; copies tell the same time. The zero Clock is of no use: NewClock starts one.
type Clock struct {
	start      time.Time
	startUnixS float64
	bootUnixS  float64 // 0: not known
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

// BootTime is when the machine's monotonic clock stood at 0, in Unix seconds by this clock; 0 where there is no such clock. The clocks of two
// programs of one machine differ by as much as their boot times do.
func (c Clock) BootTime() float64 { return c.bootUnixS }

// Now is the time in Unix seconds.
func (c Clock) Now() float64 { return c.startUnixS + time.Since(c.start).Seconds() }
