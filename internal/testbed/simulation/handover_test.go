package simulation

import (
	"container/heap"
	"slices"
	"testing"

	"eiderspread/internal/controlplane/topology"
)

// leaderlessTime runs a fleet without faults in which do ends the leadership of a planner at 5 s. It returns the longest time, in seconds, for
// which any forwarder had no leader in any cell.
func leaderlessTime(t *testing.T, seed uint64, do func(s *Sim, planner *simPlanner)) float64 {
	t.Helper()
	cfg, err := MakeOf("calm", true, 20, seed, 8)
	if err != nil {
		t.Fatal(err)
	}
	s := New(cfg)
	for _, a := range cfg.Accounts {
		s.startAccount(a)
	}
	const at = 5.0
	led := func() bool {
		for _, forwarder := range s.forwarders {
			if n, _ := forwarder.core.CellCounts(); n != s.params.Cells {
				return false
			}
		}
		return true
	}
	planner := s.planners[int(seed)%len(s.planners)]
	s.after(at, func() {
		if !led() {
			t.Errorf("seed %d: a cell has no leader before the planner leaves", seed)
		}
		planner.runEvent(func() { do(s, planner) })
	})
	from, longest := 0.0, 0.0
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now > at+3 {
			break
		}
		e.do()
		switch {
		case s.now < at:
		case !led() && from == 0:
			from = s.now
		case from > 0 && led():
			longest, from = max(longest, s.now-from), 0
		}
	}
	if from > 0 {
		t.Fatalf("seed %d: a cell still has no leader 3 s after the planner has left", seed)
	}
	return longest
}

// Guards against a drained planner whose cells stay without a leader for longer than a few round trips. The cells of a killed planner wait for
// its leases to expire. The fleet has 20 forwarders and 3 planners. The bounds are virtual time and the same on every machine.
func TestDrainedPlannerHandsOverItsCells(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	var drained, killed []float64
	for seed := range uint64(20) {
		drained = append(drained, leaderlessTime(t, seed+1, func(_ *Sim, planner *simPlanner) { planner.core.Drain(planner.now()) }))
		killed = append(killed, leaderlessTime(t, seed+1, func(s *Sim, planner *simPlanner) { s.killPlanner(planner.number, 60) }))
	}
	slices.Sort(drained)
	slices.Sort(killed)
	t.Logf("drained: median %.0f ms, worst %.0f; killed: median %.0f ms, worst %.0f", drained[10]*1e3, drained[19]*1e3, killed[10]*1e3, killed[19]*1e3)
	if drained[19] > 0.04 || drained[19] == 0 {
		t.Errorf("without a leader for %.0f ms after a drain, want at most 40 ms and more than 0", drained[19]*1e3)
	}
	if killed[10] < 0.2 {
		t.Errorf("without a leader for %.0f ms after a kill, want at least 200 ms: the test shows nothing", killed[10]*1e3)
	}
}
