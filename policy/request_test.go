package policy

import (
	"fmt"
	"testing"
)

// A client's retry with 5 ms left is answered at once, and not after its deadline.
func TestRequest_WithoutTimeLeftIsRejected(t *testing.T) {
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a", State: Draining}}, true)
	g.HandleRequest(100, Request{ID: "x", Class: "read", Plan: "basic", Account: "c", DeadlineAt: 100.005, GatewayCount: 1, Units: 1})
	if len(r.of("reject", "x")) != 1 {
		t.Fatal("no answer in the batch of its arrival")
	}
}

func TestQueue_AnswersBeforeDeadline(t *testing.T) {
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, nil, true)
	submit(g, 100, "w", "read", "basic", 1)
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.of("reject", "w"))+len(r.of("fail", "w")) != 1 {
		t.Fatalf("want one answer, got %v", r.actions)
	}
}

func TestQueue_SkipsDrainingBackends(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 200 {
		submit(g, 100, fmt.Sprint("q", i), "read", "wide", 1)
	}
	if len(g.queue) == 0 {
		t.Fatal("nothing waits, the test shows nothing")
	}
	g.UpdateBackends(100.1, []Backend{{ID: "s1", Zone: "a", Cell: 1, State: Draining}, {ID: "s2", State: Removed}}, false)
	before := len(r.actions)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		for n, a := range r.of("send", id) {
			g.HandleOutcome(100.2, Outcome{ID: id, Backend: a.backend, Attempt: n, Status: OK, Completed: true, LatencyS: 0.1})
		}
	}
	sentAfter := 0
	for _, a := range r.actions[before:] {
		if a.kind == "send" {
			sentAfter++
			if a.backend != "s3" {
				t.Fatalf("sent to %s, which is draining", a.backend)
			}
		}
	}
	if sentAfter == 0 {
		t.Fatal("nothing was sent afterwards, the test shows nothing")
	}
}

// A request that was never written is rejected while its client has time to retry.
func TestRequest_UnwrittenExpiresAtLatestStart(t *testing.T) {
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, nil, true)
	submit(g, 100, "a", "any", "wide", 1) // aim 3 s of 4 s
	g.HandleTimer(101.5, 1)
	if len(r.of("reject", "a")) != 0 {
		t.Error("given up early")
	}
	if g.HandleTimer(101.9, 1); len(r.of("reject", "a")) != 1 {
		t.Error("not rejected by its latest start")
	}
}

// A class may be removed between the reading of a request and its arrival: the request was never sent, so
// that it is rejected and not failed.
func TestRequest_UnknownClassIsRejected(t *testing.T) {
	g, r := newTestGateway(t, alone)
	submit(g, 100, "under way", "read", "wide", 1)
	if err := g.UpdateClasses(100, testSettings().Classes[1:], 3); err != nil {
		t.Fatal(err)
	}
	submit(g, 100.1, "a", "read", "wide", 1)
	if len(r.of("reject", "a")) != 1 || len(r.of("fail", "a")) != 0 {
		t.Errorf("%+v", r.actions)
	}
	backend := r.of("send", "under way")[0].backend
	if g.HandleOutcome(100.2, Outcome{ID: "under way", Backend: backend, Status: Rejected}); len(r.of("send", "under way")) != 2 {
		t.Error("a request under way is not served by the class that it came with")
	}
}
func TestPhases_HaveNames(t *testing.T) {
	names := map[string]bool{}
	for phase := phaseArrived; phase <= phaseCompleted; phase++ {
		names[phase.String()] = true
	}
	for phase := attemptInFlight; phase <= attemptDone; phase++ {
		names[phase.String()] = true
	}
	for verdict := denied; verdict <= ownerRequired; verdict++ {
		names["verdict "+verdict.String()] = true
	}
	if len(names) != 11 || names["unknown"] || names["verdict unknown"] || names[""] {
		t.Errorf("names are %v", names)
	}
	if requestPhase(99).String() != "unknown" || attemptPhase(99).String() != "unknown" || admission(99).String() != "unknown" {
		t.Error("values out of range have a name")
	}
}

// A request goes through its phases in order, and ends in the last one whatever its answer.
func TestRequest_Phases(t *testing.T) {
	g, _, submit := newQuotaMember(t, withGateways(100))
	submit(100, "pending", 2)
	req := g.requests["pending"]
	if req.phase != phaseAwaitingOwner {
		t.Fatalf("a request without a reply is %v", req.phase)
	}
	g.HandleDisconnect(100.01, "pending")
	if req.phase != phaseCompleted || len(g.requests) != 0 {
		t.Errorf("after a disconnect it is %v, and %d are open", req.phase, len(g.requests))
	}

	g, r := newTestGateway(t, alone)
	submitTo := func(id string) *request {
		g.HandleRequest(100, Request{ID: id, Class: "read", Plan: "wide", Account: "a", DeadlineAt: 102, GatewayCount: 1, Units: 1})
		return g.requests[id]
	}
	sent := submitTo("sent")
	if sent.phase != phaseAdmitted || sent.attempts[0].phase != attemptInFlight {
		t.Fatalf("a request that was sent is %v, its attempt %v", sent.phase, sent.attempts[0].phase)
	}
	g.HandleOutcome(100.1, Outcome{ID: "sent", Backend: r.of("send", "sent")[0].backend, Status: OK, Completed: true, LatencyS: 0.1})
	if sent.phase != phaseCompleted || sent.attempts[0].phase != attemptDone {
		t.Errorf("a request that was answered is %v, its attempt %v", sent.phase, sent.attempts[0].phase)
	}
}
