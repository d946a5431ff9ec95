package policy

import (
	"fmt"
	"testing"
)

// A client retry that arrives with 5 ms left must be rejected at once: an answer at the next tick would come after
// its deadline.
func TestRequest_WithoutTimeLeftIsRejected(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a", State: Draining}}, true)
	g.HandleRequest(100, Request{ID: "x", Class: "read", Plan: "basic", Account: "c", DeadlineAt: 100.005, GatewayCount: 1, Units: 1})
	if len(r.actionsOf("reject", "x")) != 1 {
		t.Fatal("the request was not rejected on arrival")
	}
}

func TestQueue_AnswersBeforeDeadline(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, nil, true)
	submit(g, 100, "w", "read", "basic", 1)
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.actionsOf("reject", "w"))+len(r.actionsOf("fail", "w")) != 1 {
		t.Fatalf("want one final answer before the deadline, got actions %v", r.actions)
	}
}

func TestQueue_SkipsDrainingBackends(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 200 {
		submit(g, 100, fmt.Sprint("q", i), "read", "wide", 1)
	}
	if len(g.queue) == 0 {
		t.Fatal("the queue is empty, want queued requests for this test")
	}
	g.UpdateBackends(100.1, []Backend{{ID: "s1", Zone: "a", Cell: 1, State: Draining}, {ID: "s2", State: Removed}}, false)
	before := len(r.actions)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		for n, a := range r.actionsOf("send", id) {
			g.HandleOutcome(100.2, Outcome{ID: id, Backend: a.backend, Attempt: n, Status: OK, Completed: true, LatencyS: 0.1})
		}
	}
	sentAfter := 0
	for _, a := range r.actions[before:] {
		if a.kind == "send" {
			sentAfter++
			if a.backend != "s3" {
				t.Fatalf("an attempt was sent to %s, which is draining or removed", a.backend)
			}
		}
	}
	if sentAfter == 0 {
		t.Fatal("no attempt was sent after the update, want some at s3 for this test")
	}
}

// A request that was not written to a backend by its latest start must be rejected: otherwise its client has no
// time left to retry elsewhere.
func TestRequest_UnwrittenExpiresAtLatestStart(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, nil, true)
	submit(g, 100, "a", "any", "wide", 1) // latency objective 3 s, deadline 4 s
	g.HandleTimer(101.5, 1)
	if len(r.actionsOf("reject", "a")) != 0 {
		t.Error("the request was rejected before its latest start")
	}
	if g.HandleTimer(101.9, 1); len(r.actionsOf("reject", "a")) != 1 {
		t.Error("the request was not rejected after its latest start")
	}
}

// UpdateClasses may remove a class after a request was read and before it is handled. That request was never sent,
// so that it must be rejected, not failed. A request in progress keeps its class.
func TestRequest_UnknownClassIsRejected(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	submit(g, 100, "under way", "read", "wide", 1)
	if err := g.UpdateClasses(100, testSettings().Classes[1:], 3); err != nil {
		t.Fatal(err)
	}
	submit(g, 100.1, "a", "read", "wide", 1)
	if len(r.actionsOf("reject", "a")) != 1 || len(r.actionsOf("fail", "a")) != 0 {
		t.Errorf("want the request of a removed class rejected, got actions %+v", r.actions)
	}
	backend := r.actionsOf("send", "under way")[0].backend
	if g.HandleOutcome(100.2, Outcome{ID: "under way", Backend: backend, Status: Rejected}); len(r.actionsOf("send", "under way")) != 2 {
		t.Error("a request in progress was not retried under the class with which it arrived")
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
		t.Errorf("names of phases and verdicts are %v, want 11 different ones", names)
	}
	if requestPhase(99).String() != "unknown" || attemptPhase(99).String() != "unknown" || admission(99).String() != "unknown" {
		t.Error("the name of an invalid phase or verdict is not \"unknown\"")
	}
}

// A request moves through its phases in order, and must end in phaseCompleted whether it is answered or its client
// disconnects: otherwise its state would never be removed.
func TestRequest_Phases(t *testing.T) {
	g, _, submit := newQuotaMember(t, withGateways(100))
	submit(100, "pending", 2)
	req := g.requests["pending"]
	if req.phase != phaseAwaitingOwner {
		t.Fatalf("phase without a reply of the owner: %v, want %v", req.phase, phaseAwaitingOwner)
	}
	g.HandleDisconnect(100.01, "pending")
	if req.phase != phaseCompleted || len(g.requests) != 0 {
		t.Errorf("after a disconnect: phase %v with %d requests left, want %v with none", req.phase, len(g.requests), phaseCompleted)
	}

	g, r := newTestGateway(t, singleGateway)
	submitTo := func(id string) *request {
		g.HandleRequest(100, Request{ID: id, Class: "read", Plan: "wide", Account: "a", DeadlineAt: 102, GatewayCount: 1, Units: 1})
		return g.requests[id]
	}
	sent := submitTo("sent")
	if sent.phase != phaseAdmitted || sent.attempts[0].phase != attemptInFlight {
		t.Fatalf("after the send: phase %v, attempt %v, want admitted and in flight", sent.phase, sent.attempts[0].phase)
	}
	g.HandleOutcome(100.1, Outcome{ID: "sent", Backend: r.actionsOf("send", "sent")[0].backend, Status: OK, Completed: true, LatencyS: 0.1})
	if sent.phase != phaseCompleted || sent.attempts[0].phase != attemptDone {
		t.Errorf("after the answer: phase %v, attempt %v, want completed and done", sent.phase, sent.attempts[0].phase)
	}
}
