package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// testFleet is an Output that simulates a fleet of programs, with the faults that a test injects.
type testFleet struct {
	t              *testing.T
	now            float64
	rollout        *Rollout
	ready          []bool
	busy           []bool
	restarts       []int
	order          []string
	maxUnavailable int // the largest number of programs that were not ready at the same time
	scheduled      []func()
	failsToStart   map[string]bool  // by name: the program does not become ready after a restart
	drainErr       map[string]error // by name: the result of Drain
	becomesUnready map[string]bool  // by name: the program is ready for 0.5 s after a restart, then no longer
}

// after calls do when at least d seconds have passed.
func (fleet *testFleet) after(d float64, do func()) {
	at := fleet.now + d
	fleet.scheduled = append(fleet.scheduled, func() {
		if fleet.now < at {
			fleet.after(at-fleet.now, do)
			return
		}
		do()
	})
}

func (fleet *testFleet) CheckReadiness(i int) {
	ready, busy := fleet.ready[i], fleet.busy[i]
	fleet.after(0.01, func() { fleet.rollout.HandleReadiness(fleet.now, i, ready || busy, ready, busy) })
}
func (fleet *testFleet) Drain(i int) {
	name := fleet.rollout.programs[i].Name
	if err := fleet.drainErr[name]; err != nil {
		fleet.after(0.01, func() { fleet.rollout.HandleDrained(fleet.now, i, err) })
		return
	}
	fleet.ready[i], fleet.busy[i] = false, true
	fleet.after(0.5, func() { fleet.busy[i] = false })
	fleet.after(0.01, func() { fleet.rollout.HandleDrained(fleet.now, i, nil) })
}
func (fleet *testFleet) Restart(i int) {
	name := fleet.rollout.programs[i].Name
	fleet.restarts[i]++
	fleet.ready[i] = false // with a hot restart, the old process is no longer ready and the new one not yet
	fleet.order = append(fleet.order, name)
	fleet.after(0.2, func() { fleet.rollout.HandleRestarted(fleet.now, i, nil) })
	if !fleet.failsToStart[name] {
		fleet.after(0.4, func() { fleet.ready[i] = true })
	}
	if fleet.becomesUnready[name] {
		fleet.after(0.9, func() { fleet.ready[i] = false })
	}
}

func runRollout(t *testing.T, programs []Program, from string, injectFaults func(fleet *testFleet)) (*testFleet, error) {
	t.Helper()
	fleet := &testFleet{t: t, now: 100, ready: make([]bool, len(programs)), busy: make([]bool, len(programs)), restarts: make([]int, len(programs)), failsToStart: map[string]bool{},
		drainErr: map[string]error{}, becomesUnready: map[string]bool{}}
	for i := range fleet.ready {
		fleet.ready[i] = true
	}
	var err error
	if fleet.rollout, err = New(programs, DefaultTimeouts, from, fleet.now, fleet); err != nil {
		t.Fatal(err)
	}
	injectFaults(fleet)
	for ; fleet.now < 1000; fleet.now += 0.02 {
		callbacks := fleet.scheduled
		fleet.scheduled = nil
		for _, do := range callbacks {
			do()
		}
		fleet.rollout.Tick(fleet.now)
		unavailable := 0
		for _, ready := range fleet.ready {
			if !ready {
				unavailable++
			}
		}
		fleet.maxUnavailable = max(fleet.maxUnavailable, unavailable)
		if done, err := fleet.rollout.Done(); done {
			return fleet, err
		}
	}
	t.Fatal("rollout has not ended after 900 s")
	return nil, nil
}

func testPrograms() (programs []Program) {
	for i := range 4 {
		programs = append(programs, Program{Name: fmt.Sprint("f", i), Kind: Forwarder})
	}
	for i := range 3 {
		programs = append(programs, Program{Name: fmt.Sprint("p", i), Kind: Planner})
	}
	return programs
}

// Every program is restarted once, planners first, and at most one program is unavailable at a time.
func TestRollout_OneAtATime(t *testing.T) {
	fleet, err := runRollout(t, testPrograms(), "", func(*testFleet) {})
	if err != nil || fleet.maxUnavailable != 1 || strings.Join(fleet.order, " ") != "p0 p1 p2 f0 f1 f2 f3" {
		t.Errorf("got error %v, at most %v programs unavailable at a time, order %v; want no error, 1, planners first", err, fleet.maxUnavailable, fleet.order)
	}
}

// The rollout aborts at the first program that does not start, can't be drained, or does not stay ready. It restarts no later program, and a
// next run can begin at the program that failed.
func TestRollout_StopsAtFirstFailure(t *testing.T) {
	for wantError, injectFaults := range map[string]func(fleet *testFleet){
		"not ready 20 s": func(fleet *testFleet) { fleet.failsToStart["p1"] = true },
		"no such call":   func(fleet *testFleet) { fleet.drainErr["p1"] = errors.New("no such call") },
		"no longer":      func(fleet *testFleet) { fleet.becomesUnready["p1"] = true },
	} {
		fleet, err := runRollout(t, testPrograms(), "", injectFaults)
		if err == nil || !strings.Contains(err.Error(), wantError) || !strings.Contains(err.Error(), "p1") || !strings.Contains(err.Error(), "1 of 7") {
			t.Errorf("got error %v, want one with %q, p1 and 1 of 7", err, wantError)
			continue
		}
		for _, restarted := range fleet.order[1:] {
			if restarted != "p1" {
				t.Errorf("%s: %s was restarted after the failure of p1", wantError, restarted)
			}
		}
	}
	fleet, err := runRollout(t, testPrograms(), "p1", func(*testFleet) {})
	if err != nil || fleet.order[0] != "p1" || len(fleet.order) != 6 {
		t.Errorf("run from p1: got error %v and restarts %v, want 6 restarts from p1 on", err, fleet.order)
	}
}

// While another program is not ready, no program is restarted, and the error names the program that was not ready.
func TestRollout_WaitsForOthers(t *testing.T) {
	fleet, err := runRollout(t, testPrograms(), "", func(fleet *testFleet) {
		for i, p := range fleet.rollout.programs {
			if p.Name == "f2" {
				fleet.ready[i] = false
			}
		}
	})
	if err == nil || !strings.Contains(err.Error(), "f2") || len(fleet.order) != 0 {
		t.Errorf("got error %v and restarts %v, want an error that names f2 and no restarts", err, fleet.order)
	}
}

// While random other programs become unready and recover, no program is restarted twice, and at least half of the rollouts complete.
func TestRollout_FlappingPrograms(t *testing.T) {
	finished := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		programs := testPrograms()
		fleet, err := runRollout(t, programs, "", func(fleet *testFleet) {
			var flap func()
			flap = func() {
				i := rng.IntN(len(programs))
				if done, _, _ := fleet.rollout.Progress(); i != done && fleet.ready[i] {
					fleet.ready[i] = false
					fleet.after(0.3+rng.Float64(), func() { fleet.ready[i] = true })
				}
				fleet.after(3+4*rng.Float64(), flap)
			}
			fleet.after(1, flap)
		})
		if err == nil {
			finished++
		}
		for i, count := range fleet.restarts {
			if count > 1 {
				t.Errorf("seed %d: program %d was restarted %d times", seed, i, count)
			}
		}
	}
	if finished < 30 {
		t.Errorf("%d of 60 rollouts completed beside flapping programs, want at least 30", finished)
	}
}

// Programs with a hot restart are not drained, and a rollout aborts at one whose new process does not become ready.
func TestRollout_HotRestart(t *testing.T) {
	programs := testPrograms()
	for i := range programs {
		programs[i].HotRestart = programs[i].Kind == Forwarder
	}
	for _, failing := range []string{"", "f2"} {
		fleet, err := runRollout(t, programs, "", func(fleet *testFleet) {
			fleet.failsToStart[failing] = true
			for _, p := range fleet.rollout.programs {
				if p.HotRestart {
					fleet.drainErr[p.Name] = errors.New("a program with a hot restart was drained")
				}
			}
		})
		switch {
		case failing == "" && err != nil:
			t.Error(err)
		case failing != "" && (err == nil || !strings.Contains(err.Error(), "-from "+failing)):
			t.Errorf("new process of %s does not start: got error %v, want one with \"-from %s\"", failing, err, failing)
		}
		for i, p := range fleet.rollout.programs {
			if want := boolToInt(failing == "" || p.Name <= failing || p.Kind == Planner); fleet.restarts[i] != want {
				t.Errorf("%s was restarted %d times, want %d", p.Name, fleet.restarts[i], want)
			}
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestNew_InvalidPrograms(t *testing.T) {
	for want, programs := range map[string][]Program{"no programs": nil, "unknown kind": {{Name: "a", Kind: "node"}}, "twice": {{Name: "a", Kind: Planner}, {Name: "a", Kind: Planner}}} {
		if _, err := New(programs, DefaultTimeouts, "", 0, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New(%v): got error %v, want one with %q", programs, err, want)
		}
	}
	if _, err := New(testPrograms(), DefaultTimeouts, "x", 0, nil); err == nil {
		t.Error("New accepts a first program that is not listed")
	}
}
