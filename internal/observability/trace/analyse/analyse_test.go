package analyse

import (
	"bytes"
	"strings"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

var header = trace.Header{Plans: []policy.Plan{{Name: "p", Rate: 2, Burst: 4, Weight: 1.5, HardLimitRate: 4, HardLimitBurst: 8}},
	Classes: []policy.Class{{Name: "c", PriorityWeight: 3}}}

func testFile(name string, me int, list ...reason.Decision) *trace.File {
	h := header
	h.Name, h.Gateway = name, me
	return &trace.File{Header: h, Decisions: list}
}

func decision(t float64, step reason.Step, because reason.Reason, id string, units float64) reason.Decision {
	return reason.Decision{At: t, Step: step, Reason: because, ID: id, Account: 7, Plan: "p", Class: "c", Units: units}
}

// The true room is of all gateways' first sends; further attempts and refusals take nothing.
func TestJoin_WindowFreeCountsAllGateways(t *testing.T) {
	again := decision(0.2, reason.StepSent, reason.None, "a", 3)
	again.Attempt = 1
	run := Join([]*trace.File{
		testFile("n0", 0, decision(0, reason.StepSent, reason.None, "a", 3), again, decision(0.5, reason.StepRejected, reason.HardLimitLocal, "x", 2), decision(1, reason.StepRejected, reason.WindowExhausted, "y", 2)),
		testFile("n1", 1, decision(0.25, reason.StepRejected, reason.Denied, "z", 1), decision(0.4, reason.StepSent, reason.None, "b", 1)),
	})
	want := map[string]struct {
		free float64
		fits bool
	}{"z": {1.5, true}, "x": {1, false}, "y": {2, true}}
	for _, r := range run.Records {
		w, ok := want[r.ID]
		if !ok {
			continue
		}
		delete(want, r.ID)
		if d := r.WindowFree - w.free; d > 1e-9 || d < -1e-9 || r.Fits() != w.fits {
			t.Errorf("%s: free %v, fits %v, want %+v", r.ID, r.WindowFree, r.Fits(), w)
		}
	}
	if len(want) > 0 {
		t.Errorf("not seen: %v", want)
	}
	rows := run.SumBy(Rejected, Keys["reason"])
	if len(rows) != 3 || rows[0].Key != "own-room" || rows[0].FittingValue != 2*3*1.5 || rows[1].Key != "denied" || rows[2].Fitting != 0 {
		t.Errorf("%+v", rows)
	}
	var b bytes.Buffer
	if err := PrintTable(&b, "reason", rows); err != nil || !strings.Contains(b.String(), "all") {
		t.Errorf("%v %s", err, b.String())
	}
}

// A first send beyond the quota takes nothing from it, but from the ceiling.
func TestJoin_AttemptsBeyondTheQuota(t *testing.T) {
	run := Join([]*trace.File{testFile("n0", 0, decision(0, reason.StepSent, reason.None, "a", 4), decision(0, reason.StepSent, reason.None, "b", 4), decision(0.5, reason.StepRejected, reason.WindowExhausted, "x", 1),
		decision(1, reason.StepRejected, reason.WindowExhausted, "y", 2), decision(1, reason.StepSent, reason.None, "d", 4), decision(1.0, reason.StepRejected, reason.HardLimitExhausted, "v", 1))})
	for _, r := range run.Records {
		switch r.ID {
		case "x":
			if r.WindowFree != 1 || !r.WithinHardLimit || !r.Fits() {
				t.Errorf("x: %+v", r)
			}
		case "v":
			if r.WithinHardLimit || r.Fits() || r.WindowFree != 2 {
				t.Errorf("v: %+v", r)
			}
		}
	}
}
