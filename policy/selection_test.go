package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// A backend that fails fast always has capacity and would attract requests. While most backends are healthy,
// requests must wait for a healthy one.
func TestSelection_WaitsForHealthyBackend(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.adaptiveLimit = 4.5 // room for two attempts at each backend
	failAtS1 := func(id string, class string) {
		submit(g, 100, id, class, "wide", 1)
		g.requests[id].attempts[0].backend = g.backends.ByID["s1"]
		g.backends.ByID["s1"].inFlight++
		g.HandleOutcome(100, Outcome{ID: id, Status: Error, LatencyS: 0.001})
		g.HandleOutcome(100, Outcome{ID: id, Attempt: 1, Status: OK, Completed: true, LatencyS: 0.01})
	}
	for i := range 3 {
		failAtS1(fmt.Sprint("e", i), "read")
	}
	if backend := g.backends.ByID["s1"]; backend.ErrorScore(g.classes["read"].index, g.now) < 0.5 || backend.ErrorRate(g.classes["read"].index) < 0.2 {
		t.Fatalf("s1 is not unhealthy, which this test requires: %+v", backend)
	}
	g.backends.ByID["s1"].inFlight = 0
	for i := range 6 {
		submit(g, 100, fmt.Sprint("q", i), "read", "wide", 1)
	}
	for _, a := range r.actionsOf("send", "") {
		if strings.HasPrefix(a.id, "q") && a.backend == "s1" {
			t.Errorf("request %s was sent to s1, which is unhealthy", a.id)
		}
	}
	if len(g.queue) == 0 {
		t.Fatal("the queue is empty, want queued requests for this test")
	}
	waiting := g.queue[0].ID
	r.actions = nil
	g.HandleOutcome(100.01, Outcome{ID: "q0", Status: OK, Completed: true, LatencyS: 0.01})
	if a := r.actionsOf("send", waiting); len(a) != 1 || a[0].backend == "s1" {
		t.Errorf("attempts of the queued request: %v, want one at another backend than s1", a)
	}
	submit(g, 100.01, "unsafe", "pay", "wide", 1)
	if a := r.actionsOf("send", "unsafe"); len(a) > 0 && a[0].backend == "s1" {
		t.Error("a request that is not idempotent was sent to s1, which fails another class")
	}
	for _, id := range []string{"s2", "s3"} { // now most backends are unhealthy, and any with capacity may be used
		g.recordFailure(g.backends.ByID[id], nil, 0.95)
	}
	r.actions = nil
	g.HandleTimer(100.02, 1)
	if len(r.actionsOf("send", "")) == 0 {
		t.Error("no request was sent while most backends are unhealthy")
	}
}

func TestBackendScan_Order(t *testing.T) {
	a, b, c := &backendState{}, &backendState{}, &backendState{}
	for _, tc := range []struct {
		name string
		scan backendScan
		want []*backendState
	}{
		{"none listed", backendScan{}, nil},
		{"all preferred", backendScan{[]*backendState{b, c, a}, []*backendState{a, b, c}, 2}, []*backendState{a, b, c}},
		{"some preferred", backendScan{[]*backendState{c, b}, []*backendState{a, b, c}, 1}, []*backendState{b, c, a, b, c}},
		{"none preferred", backendScan{nil, []*backendState{a, b, c}, 1}, []*backendState{b, c, a}},
	} {
		var got []*backendState
		for i := range tc.scan.len() {
			got = append(got, tc.scan.at(i))
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: scan of %d backends has another order or length than wanted", tc.name, len(got))
		}
	}
}
