package policy

import (
	"fmt"
	"testing"
)

// A backend that rejects attempts or breaks connections fails fast, so that it has capacity and would attract
// requests. It must be ejected, for longer with each rejection, and tried again in the end. A single broken
// connection must not eject a backend; the second in a row must.
func TestOutlier_RejectingOrBrokenBackendsAreEjected(t *testing.T) {
	for status, halfLimit := range map[Status]int{Rejected: 12, Reset: 12, ConnectFailed: 12} {
		g, r := newTestGateway(t, singleGateway)
		attempts := map[string]int{}
		for i := range 400 {
			now := 100 + float64(i)*0.02
			id := fmt.Sprint("q", i)
			submit(g, now, id, "read", "wide", 1)
			for n := 0; ; n++ {
				list := r.actionsOf("send", id)
				if len(list) == n {
					break
				}
				backend := list[n].backend
				attempts[backend]++
				outcome := Outcome{ID: id, Backend: backend, Attempt: n, Status: OK, Completed: true, LatencyS: 0.1}
				if backend == "s1" {
					outcome.Status, outcome.Completed = status, false
				}
				g.HandleOutcome(now, outcome)
			}
			g.HandleTimer(now, 1)
		}
		if attempts["s1"] < 1 || attempts["s1"] > 2*halfLimit || attempts["s2"] < 100 {
			t.Errorf("s1 always ends attempts with status %v: attempts by backend %v, want 1 to %d at s1 and at least 100 at s2",
				status, attempts, 2*halfLimit)
		}
	}
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a"}}, true)
	submit(g, 100, "a", "pay", "wide", 1)
	g.HandleOutcome(100.1, Outcome{ID: "a", Backend: "s1", Status: Reset})
	if submit(g, 100.2, "b", "pay", "wide", 1); len(r.actionsOf("send", "b")) != 1 {
		t.Error("the backend was ejected after one broken connection")
	}
	g.HandleOutcome(100.3, Outcome{ID: "b", Backend: "s1", Status: Reset})
	if submit(g, 100.4, "c", "pay", "wide", 1); len(r.actionsOf("send", "c")) != 0 {
		t.Error("the backend was not ejected after two broken connections in a row")
	}
}

// A backend that leaves the requests of one class unanswered must get no more of them, but must still get those
// of the other classes.
func TestOutlier_ScoredPerClass(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for _, state := range g.classList {
		state.meanLatency, state.samples = 0.05, 100
	}
	failing := g.backends.ByID["s1"]
	submit(g, 100, "q", "read", "wide", 1)
	r.actions = nil
	g.requests["q"].attempts[0].backend = failing
	for now := 100.02; now < 100.5; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if failing.ErrorScore(g.classes["read"].index, g.now) < 0.9 || failing.ErrorScore(g.classes["pay"].index, g.now) > 0 {
		t.Fatal("error scores of s1, which leaves class read unanswered: want above 0.9 for read and 0 for pay")
	}
	if a := r.actionsOf("send", "q"); len(a) != 1 || a[0].backend == "s1" {
		t.Fatalf("hedged attempts of the unanswered request: %v, want one at another backend than s1", a)
	}
	paySentToS1 := 0
	for i := range 40 {
		for _, class := range []string{"read", "pay"} {
			id := fmt.Sprint(class, i)
			submit(g, 100.5, id, class, "wide", 1)
			sentTo := r.actionsOf("send", id)[0].backend
			if g.HandleOutcome(100.5, Outcome{ID: id, Status: OK, Completed: true, LatencyS: 0.05}); sentTo == "s1" && class == "read" {
				t.Fatal("s1 got a request of class read, which it leaves unanswered")
			} else if sentTo == "s1" {
				paySentToS1++
			}
		}
	}
	if paySentToS1 == 0 {
		t.Fatal("s1 got no requests of class pay, which it serves")
	}
}
