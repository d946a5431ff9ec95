package policy

import (
	"fmt"
	"testing"
)

// A backend in slow start can serve less than a warm one, and collapses under too much work. It must not get more
// attempts than a warm backend gets in the mean.
func TestSlowStart_BudgetOverAnyWindow(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	lastBackend := func(id string) string { sends := r.actionsOf("send", id); return sends[len(sends)-1].backend }
	step := func(i int, now float64) string {
		id := fmt.Sprint("q", i)
		submit(g, now, id, "read", "wide", 1)
		backend := lastBackend(id)
		g.HandleOutcome(now+0.01, Outcome{ID: id, Backend: backend, Status: OK, Completed: true, LatencyS: 0.1})
		g.HandleTimer(now+0.01, 1)
		return backend
	}
	for i := range 300 {
		step(i, 100+float64(i)*0.02)
	}
	g.UpdateBackends(106, []Backend{{ID: "s1", Zone: "a", Cell: 1, StartedAt: 105.9}}, false)
	starting, warm := 0, 0
	for i := range 50 {
		if step(1000+i, 106+float64(i)*0.02) == "s1" {
			starting++
		} else {
			warm++
		}
	}
	if starting > warm/2 {
		t.Fatalf("a backend in slow start got %d attempts and two warm ones %d together, want at most half as many", starting, warm)
	}
}

// If all backends were replaced and are in slow start, there is no warm one to compare with. Their budgets must
// still let nearly all requests through.
func TestSlowStart_AllBackendsNew(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	replaceBackends := func(now float64, name string) {
		var all []Backend
		for i := range 8 {
			all = append(all, Backend{ID: fmt.Sprint(name, i), Zone: "a", StartedAt: now})
		}
		g.UpdateBackends(now, all, true)
	}
	answersDue := map[int][]action{} // by step of the answer, 5 steps (0.1 s) after the send
	seen := 0
	countSent := func(from, until float64) (n int) {
		for i := int(from * 50); i < int(until*50); i++ {
			now := float64(i) / 50
			submit(g, now, fmt.Sprint("q", i), "read", "wide", 1)
			for _, a := range answersDue[i] {
				g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.1})
			}
			g.HandleTimer(now, 1)
			for all := r.actionsOf("send", ""); seen < len(all); seen++ {
				n++
				answersDue[i+5] = append(answersDue[i+5], all[seen])
			}
		}
		return n
	}
	replaceBackends(50, "old") // past slow start at 100
	if n := countSent(100, 106); n < 290 {
		t.Fatalf("%d of 300 requests were sent to warm backends, want at least 290", n)
	}
	replaceBackends(106, "new")
	if n := countSent(106, 111); n < 240 {
		t.Errorf("%d of 250 requests were sent while all backends were in slow start, want at least 240", n)
	}
}
