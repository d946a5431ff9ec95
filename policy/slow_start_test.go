package policy

import (
	"fmt"
	"testing"
)

func TestSlowStart_BudgetOverAnyWindow(t *testing.T) {
	g, r := newTestGateway(t, alone)
	at := func(id string) string { s := r.of("send", id); return s[len(s)-1].backend }
	step := func(i int, now float64) string {
		id := fmt.Sprint("q", i)
		submit(g, now, id, "read", "wide", 1)
		backend := at(id)
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
		t.Fatalf("a backend in slow start got %d attempts, two warm ones %d", starting, warm)
	}
}

// With every backend replaced by one in slow start there is no warm one to compare with: work goes on.
func TestSlowStart_AllBackendsNew(t *testing.T) {
	g, r := newTestGateway(t, alone)
	list := func(now float64, name string) {
		var all []Backend
		for i := range 8 {
			all = append(all, Backend{ID: fmt.Sprint(name, i), Zone: "a", StartedAt: now})
		}
		g.UpdateBackends(now, all, true)
	}
	due := map[int][]action{} // by the step at which the answer comes, 0.1 s after the send
	seen := 0
	sent := func(from, until float64) (n int) {
		for i := int(from * 50); i < int(until*50); i++ {
			now := float64(i) / 50
			submit(g, now, fmt.Sprint("q", i), "read", "wide", 1)
			for _, a := range due[i] {
				g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.1})
			}
			g.HandleTimer(now, 1)
			for all := r.of("send", ""); seen < len(all); seen++ {
				n++
				due[i+5] = append(due[i+5], all[seen])
			}
		}
		return n
	}
	list(50, "old") // past slow start by now
	if n := sent(100, 106); n < 290 {
		t.Fatalf("%d of 300 sent to warm backends", n)
	}
	list(106, "new")
	if n := sent(106, 111); n < 240 {
		t.Errorf("%d of 250 sent while all backends were in slow start", n)
	}
}
