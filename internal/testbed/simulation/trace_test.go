package simulation

import (
	"testing"

	"eiderspread/internal/decision/reason"
)

// Guards against gaps in the decision traces of planners: a planner decided each attempt that a node received, each rejection has a reason, and
// tracing does not change the run.
func TestPlannerTraces(t *testing.T) {
	cfg, err := Make("friday", true, 3, 10)
	if err != nil {
		t.Fatal(err)
	}
	untraced := New(cfg).Run()
	sends, rejections, planners := 0, map[reason.Reason]int{}, map[int]bool{}
	cfg.Trace = func(planner int, d reason.Decision) {
		planners[planner] = true
		switch d.Step {
		case reason.StepSent:
			sends++
		case reason.StepRejected, reason.StepFailed:
			rejections[d.Reason]++
		}
	}
	report := New(cfg).Run()
	if report.Attempts != untraced.Attempts || report.Requests != untraced.Requests {
		t.Errorf("%d attempts of %d requests with a trace, want %d of %d as without", report.Attempts, report.Requests, untraced.Attempts, untraced.Requests)
	}
	if sends < report.Attempts || len(planners) != cfg.Planners || len(rejections) < 3 || rejections[reason.None] > 0 {
		t.Errorf("traced sends = %d, want at least the %d attempts; traced planners %v, want %d; rejections by reason %v, want at least 3 reasons and none without", sends, report.Attempts, planners, cfg.Planners, rejections)
	}
}
