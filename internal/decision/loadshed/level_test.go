package loadshed

import (
	"math"
	"testing"
)

// Guards against a level that does not follow the backends' capacity: in an overload a single gateway must admit
// about as much as can be served and shed low priorities first, and after it the level must return to 0.
func TestShedder_LevelFollowsCapacityAndRecovers(t *testing.T) {
	const requested = 100.0 // units per second of each of three classes
	for _, load := range []float64{1.5, 2.8, 5} {
		s := NewShedder(Config{Enabled: true}, 0, 1, 0, constantHalf)
		now, _ := simulateLoad(s, 0, 4, requested, 3*requested)
		if s.Level() != 0 {
			t.Fatalf("level is %g at a load equal to the capacity, want 0", s.Level())
		}
		now, _ = simulateLoad(s, now, 6, requested, 3*requested/load)
		now, admitted := simulateLoad(s, now, 10, requested, 3*requested/load)
		sum := (admitted[0] + admitted[1] + admitted[2]) / 3
		if math.Abs(sum*load-1) > 0.15 {
			t.Errorf("at a load of %g times the capacity, %.2f of the capacity is admitted, want 0.85 to 1.15", load, sum*load)
		}
		if admitted[2] < admitted[1] || admitted[1] < admitted[0] || admitted[0] == 0 {
			t.Errorf("at a load of %g times the capacity, fractions admitted, lowest class first: %.2f, want ascending and above 0", load, admitted)
		}
		if simulateLoad(s, now, 2, requested, 6*requested); s.Level() != 0 {
			t.Errorf("level is %.2f two seconds after a load of %g times the capacity, want 0", s.Level(), load)
		}
	}
}
