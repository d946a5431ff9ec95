package policy

import (
	"fmt"
	"testing"
)

// A backend that rejects everything is left alone, the longer the more often it does so, and tried again in
// the end. One broken connection ejects nothing, two in a row do.
func TestOutlier_RejectingOrBrokenBackendsAreEjected(t *testing.T) {
	for status, most := range map[Status]int{Rejected: 12, Reset: 12, ConnectFailed: 12} {
		g, r := newTestGateway(t, alone)
		at := map[string]int{}
		for i := range 400 {
			now := 100 + float64(i)*0.02
			id := fmt.Sprint("q", i)
			submit(g, now, id, "read", "wide", 1)
			for n := 0; ; n++ {
				list := r.of("send", id)
				if len(list) == n {
					break
				}
				backend := list[n].backend
				at[backend]++
				outcome := Outcome{ID: id, Backend: backend, Attempt: n, Status: OK, Completed: true, LatencyS: 0.1}
				if backend == "s1" {
					outcome.Status, outcome.Completed = status, false
				}
				g.HandleOutcome(now, outcome)
			}
			g.HandleTimer(now, 1)
		}
		if at["s1"] < 1 || at["s1"] > 2*most || at["s2"] < 100 {
			t.Errorf("status %v from s1: sent %v", status, at)
		}
	}
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a"}}, true)
	submit(g, 100, "a", "pay", "wide", 1)
	g.HandleOutcome(100.1, Outcome{ID: "a", Backend: "s1", Status: Reset})
	if submit(g, 100.2, "b", "pay", "wide", 1); len(r.of("send", "b")) != 1 {
		t.Error("the backend is ejected after one broken connection")
	}
	g.HandleOutcome(100.3, Outcome{ID: "b", Backend: "s1", Status: Reset})
	if submit(g, 100.4, "c", "pay", "wide", 1); len(r.of("send", "c")) != 0 {
		t.Error("the backend is not ejected after two in a row")
	}
}

// A backend that leaves one class unanswered goes on serving the others.
func TestOutlier_ScoredPerClass(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for _, cls := range g.classList {
		cls.meanLatency, cls.samples = 0.05, 100
	}
	failing := g.backends.ByID["s1"]
	submit(g, 100, "q", "read", "wide", 1)
	r.actions = nil
	g.requests["q"].attempts[0].backend = failing
	for now := 100.02; now < 100.5; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if failing.ErrorScore(g.classes["read"].index, g.now) < 0.9 || failing.ErrorScore(g.classes["pay"].index, g.now) > 0 {
		t.Fatal("a backend without answers in one class counts as one without any")
	}
	if a := r.of("send", "q"); len(a) != 1 || a[0].backend == "s1" {
		t.Fatalf("the attempt without an answer was not hedged: %v", a)
	}
	pays := 0
	for i := range 40 {
		for _, class := range []string{"read", "pay"} {
			id := fmt.Sprint(class, i)
			submit(g, 100.5, id, class, "wide", 1)
			at := r.of("send", id)[0].backend
			if g.HandleOutcome(100.5, Outcome{ID: id, Status: OK, Completed: true, LatencyS: 0.05}); at == "s1" && class == "read" {
				t.Fatal("a backend that fails a class was sent it")
			} else if at == "s1" {
				pays++
			}
		}
	}
	if pays == 0 {
		t.Fatal("the backend lost the classes that it serves")
	}
}
