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
		t.Errorf("second reading %.6f, first reading %.6f, machine's clock %.6f, want no step back and at most 5 s between the clocks", second, first, wall)
	}
	if other := NewClock(); c.BootTime() == 0 || math.Abs(other.BootTime()-c.BootTime()) > 5 {
		t.Errorf("boot times of two clocks are %.6f and %.6f, want both known and at most 5 s apart", c.BootTime(), other.BootTime())
	}
}
