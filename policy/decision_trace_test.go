package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/decision/reason"
)

// Each decision that admits or rejects a request must be traced with its reason, and none without a tracer.
func TestTrace_DecisionsCarryReasons(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	var list []reason.Decision
	submit(g, 100, "untraced", "pay", "basic", 1)
	g.SetTracer(func(decision reason.Decision) { list = append(list, decision) })
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	g.HandleRequest(101, Request{ID: "late", Class: "read", Plan: "wide", Account: "w", DeadlineAt: 101.01, GatewayCount: 1, Units: 1})
	reasons := map[reason.Step]map[reason.Reason]int{}
	for _, decision := range list {
		if reasons[decision.Step] == nil {
			reasons[decision.Step] = map[reason.Reason]int{}
		}
		reasons[decision.Step][decision.Reason]++
	}
	if reasons[reason.StepArrived][reason.OwnerCount] != 7+1 || reasons[reason.StepRejected][reason.WindowExhausted] != 5 || reasons[reason.StepRejected][reason.ObjectiveMissed] != 1 {
		t.Errorf("decisions by step and reason = %v, want 8 arrived by OwnerCount, 5 rejected by WindowExhausted, 1 by ObjectiveMissed", reasons)
	}
	if rejected := len(r.actionsOf("reject", "")); rejected != 6 {
		t.Errorf("%d rejected, want 6", rejected)
	}
	for _, decision := range list {
		if decision.ID == "untraced" {
			t.Error("a decision was traced before a tracer was set")
		}
	}
}
