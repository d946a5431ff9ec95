package loadshed

import (
	"math"
	"testing"
)

// A single gateway finds the level at which as much is admitted as can be served, sheds low priorities first,
// and comes back to 0 after the overload.
func TestShedder_LevelFollowsCapacityAndRecovers(t *testing.T) {
	const requested = 100.0 // units per second of each of three classes
	for _, load := range []float64{1.5, 2.8, 5} {
		s := NewShedder(Config{Enabled: true}, 0, 1, 0, constantHalf)
		now, _ := simulateLoad(s, 0, 4, requested, 3*requested)
		if s.Level() != 0 {
			t.Fatalf("level %g where everything can be served", s.Level())
		}
		now, _ = simulateLoad(s, now, 6, requested, 3*requested/load)
		now, admitted := simulateLoad(s, now, 10, requested, 3*requested/load)
		sum := (admitted[0] + admitted[1] + admitted[2]) / 3
		if math.Abs(sum*load-1) > 0.15 {
			t.Errorf("at %g times the capacity %.2f of it is admitted", load, sum*load)
		}
		if admitted[2] < admitted[1] || admitted[1] < admitted[0] || admitted[0] == 0 {
			t.Errorf("at %g times the capacity, admitted by class, lowest first: %.2f", load, admitted)
		}
		if simulateLoad(s, now, 2, requested, 6*requested); s.Level() != 0 {
			t.Errorf("level %.2f two seconds after an overload of %g times the capacity", s.Level(), load)
		}
	}
}
