package loadshed

import (
	"math"
	"testing"
)

func TestConfig_Check(t *testing.T) {
	for _, tc := range []struct {
		floor float64
		valid bool
	}{{0, true}, {0.1, true}, {-1, false}, {0.6, false}, {math.NaN(), false}} {
		if err := (Config{Floor: tc.floor}).Check(); (err == nil) != tc.valid {
			t.Errorf("floor %g: got error %v, want a valid floor: %v", tc.floor, err, tc.valid)
		}
	}
}
