package simulation

import (
	"testing"

	"eiderspread/internal/decision/reason"
)

// Guards the trace of planners: each attempt that a node saw was decided by one of them, each refusal has its reason, and the schedule is the
// same with a trace and without.
func TestTraceOfPlanners(t *testing.T) {
	cfg, err := Make("friday", true, 3, 10)
	if err != nil {
		t.Fatal(err)
	}
	was := New(cfg).Run()
	sends, refusals, by := 0, map[reason.Reason]int{}, map[int]bool{}
	cfg.Trace = func(planner int, d reason.Decision) {
		by[planner] = true
		switch d.Step {
		case reason.StepSent:
			sends++
		case reason.StepRejected, reason.StepFailed:
			refusals[d.Reason]++
		}
	}
	rep := New(cfg).Run()
	if rep.Attempts != was.Attempts || rep.Requests != was.Requests {
		t.Errorf("%d attempts of %d tries with a trace, %d of %d without", rep.Attempts, rep.Requests, was.Attempts, was.Requests)
	}
	if sends < rep.Attempts || len(by) != cfg.Planners || len(refusals) < 3 || refusals[reason.None] > 0 {
		t.Errorf("%d sends decided, %d attempts seen, by %v, refusals by reason %v", sends, rep.Attempts, by, refusals)
	}
}
