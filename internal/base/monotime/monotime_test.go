package monotime

import (
	"math"
	"testing"
	"time"
)

func TestClock(t *testing.T) {
	c := NewClock()
	first, second := c.Now(), c.Now()
	if wall := float64(time.Now().UnixNano()) / 1e9; second < first || math.Abs(wall-second) > 5 {
		t.Errorf("%.6f after %.6f, the machine's clock is at %.6f", second, first, wall)
	}
	if other := NewClock(); c.BootTime() == 0 || math.Abs(other.BootTime()-c.BootTime()) > 5 {
		t.Errorf("started at %.6f and %.6f", c.BootTime(), other.BootTime())
	}
}
