package simulation

import (
	"container/heap"
	"slices"
	"testing"

	"eiderspread/internal/controlplane/topology"
)

// leaderlessTime plays a calm fleet in which a planner leads no more from 5 s on, by do, and returns how long some forwarder was without a leader
// in some cell, in seconds.
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
			t.Errorf("seed %d: not led before", seed)
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
		t.Fatalf("seed %d: never led again", seed)
	}
	return longest
}

// A planner that leaves by a word hands its cells on within a few round trips; one that is killed costs what its lease does. 20 forwarders and
// 3 planners. The bound is virtual time and the same on every machine.
func TestCellsOfAPlannerThatLeaves(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	var left, killed []float64
	for seed := range uint64(20) {
		left = append(left, leaderlessTime(t, seed+1, func(_ *Sim, planner *simPlanner) { planner.core.Drain(planner.now()) }))
		killed = append(killed, leaderlessTime(t, seed+1, func(s *Sim, planner *simPlanner) { s.killPlanner(planner.number, 60) }))
	}
	slices.Sort(left)
	slices.Sort(killed)
	t.Logf("left: median %.0f ms, worst %.0f; killed: median %.0f ms, worst %.0f", left[10]*1e3, left[19]*1e3, killed[10]*1e3, killed[19]*1e3)
	if left[19] > 0.04 || left[19] == 0 {
		t.Errorf("a planner that leaves costs %.0f ms", left[19]*1e3)
	}
	if killed[10] < 0.2 {
		t.Errorf("no occasion: a kill costs %.0f ms", killed[10]*1e3)
	}
}
