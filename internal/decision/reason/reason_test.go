package reason

import "testing"

func TestNames_AreDistinct(t *testing.T) {
	steps := map[string]bool{}
	for step := range stepCount {
		steps[step.String()] = true
	}
	if len(steps) != int(stepCount) || steps[""] || steps["?"] || stepCount.String() != "?" {
		t.Errorf("names of steps are not distinct or a name is missing: %v", steps)
	}
	reasons := map[string]bool{}
	for _, cause := range Reasons() {
		reasons[cause.String()] = true
	}
	if len(reasons) != int(reasonCount) || reasons[""] || reasons["?"] || reasonCount.String() != "?" {
		t.Errorf("names of reasons are not distinct or a name is missing: %v", reasons)
	}
}
