package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// testFleet carries out what a rollout asks for, but for what a test breaks.
type testFleet struct {
	t         *testing.T
	now       float64
	r         *Rollout
	ready     []bool
	busy      []bool
	restarts  []int
	order     []string
	maxAway   int // the most programs that were away together
	scheduled []func()
	dead      map[string]bool // by name: does not start
	drainErr  map[string]error
	flaps     map[string]bool // by name: ready for half a second, then no longer
}

func (w *testFleet) after(d float64, do func()) {
	at := w.now + d
	w.scheduled = append(w.scheduled, func() {
		if w.now < at {
			w.after(at-w.now, do)
			return
		}
		do()
	})
}

func (w *testFleet) CheckReadiness(i int) {
	ready, busy := w.ready[i], w.busy[i]
	w.after(0.01, func() { w.r.HandleAnswer(w.now, i, ready || busy, ready, busy) })
}
func (w *testFleet) Drain(i int) {
	name := w.r.programs[i].Name
	if err := w.drainErr[name]; err != nil {
		w.after(0.01, func() { w.r.Drained(w.now, i, err) })
		return
	}
	w.ready[i], w.busy[i] = false, true
	w.after(0.5, func() { w.busy[i] = false })
	w.after(0.01, func() { w.r.Drained(w.now, i, nil) })
}
func (w *testFleet) Restart(i int) {
	name := w.r.programs[i].Name
	w.restarts[i]++
	w.ready[i] = false // with a hot restart, the old process is ready no longer and the new one not yet
	w.order = append(w.order, name)
	w.after(0.2, func() { w.r.Restarted(w.now, i, nil) })
	if !w.dead[name] {
		w.after(0.4, func() { w.ready[i] = true })
	}
	if w.flaps[name] {
		w.after(0.9, func() { w.ready[i] = false })
	}
}

func runRollout(t *testing.T, programs []Program, from string, broken func(w *testFleet)) (*testFleet, error) {
	t.Helper()
	w := &testFleet{t: t, now: 100, ready: make([]bool, len(programs)), busy: make([]bool, len(programs)), restarts: make([]int, len(programs)), dead: map[string]bool{},
		drainErr: map[string]error{}, flaps: map[string]bool{}}
	for i := range w.ready {
		w.ready[i] = true
	}
	var err error
	if w.r, err = New(programs, DefaultTimeouts, from, w.now, w); err != nil {
		t.Fatal(err)
	}
	broken(w)
	for ; w.now < 1000; w.now += 0.02 {
		later := w.scheduled
		w.scheduled = nil
		for _, do := range later {
			do()
		}
		w.r.Tick(w.now)
		n := 0
		for _, ready := range w.ready {
			if !ready {
				n++
			}
		}
		w.maxAway = max(w.maxAway, n)
		if over, err := w.r.Done(); over {
			return w, err
		}
	}
	t.Fatal("never over")
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

// All are restarted once, planners first, and no two are away together.
func TestRollout_OneAtATime(t *testing.T) {
	w, err := runRollout(t, testPrograms(), "", func(*testFleet) {})
	if err != nil || w.maxAway != 1 || strings.Join(w.order, " ") != "p0 p1 p2 f0 f1 f2 f3" {
		t.Errorf("%v: %v away together, order %v", err, w.maxAway, w.order)
	}
}

// The rollout aborts at the first program that does not start, can't be drained, or does not stay ready. It touches no later program, and
// the next run goes on from there.
func TestRollout_StopsAtFirstFailure(t *testing.T) {
	for name, broken := range map[string]func(w *testFleet){
		"not ready 20 s": func(w *testFleet) { w.dead["p1"] = true },
		"no such call":   func(w *testFleet) { w.drainErr["p1"] = errors.New("no such call") },
		"no longer":      func(w *testFleet) { w.flaps["p1"] = true },
	} {
		w, err := runRollout(t, testPrograms(), "", broken)
		if err == nil || !strings.Contains(err.Error(), name) || !strings.Contains(err.Error(), "p1") || !strings.Contains(err.Error(), "1 of 7") {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, n := range w.order[1:] {
			if n != "p1" {
				t.Errorf("%s: %s was touched after it", name, n)
			}
		}
	}
	w, err := runRollout(t, testPrograms(), "p1", func(*testFleet) {})
	if err != nil || w.order[0] != "p1" || len(w.order) != 6 {
		t.Errorf("%v: %v", err, w.order)
	}
}

// While another program is not ready nothing is touched, and the error names the one that was waited for.
func TestRollout_WaitsForOthers(t *testing.T) {
	w, err := runRollout(t, testPrograms(), "", func(w *testFleet) {
		for i, p := range w.r.programs {
			if p.Name == "f2" {
				w.ready[i] = false
			}
		}
	})
	if err == nil || !strings.Contains(err.Error(), "f2") || len(w.order) != 0 {
		t.Errorf("%v: %v", err, w.order)
	}
}

// Whatever fails and recovers meanwhile, no program is touched while another is known to be away, and none is restarted twice.
func TestRollout_NeverTwoAwayWhileFlapping(t *testing.T) {
	finished := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		programs := testPrograms()
		w, err := runRollout(t, programs, "", func(w *testFleet) {
			var flap func()
			flap = func() {
				i := rng.IntN(len(programs))
				if done, _, _ := w.r.Progress(); i != done && w.ready[i] {
					w.ready[i] = false
					w.after(0.3+rng.Float64(), func() { w.ready[i] = true })
				}
				w.after(3+4*rng.Float64(), flap)
			}
			w.after(1, flap)
		})
		if err == nil {
			finished++
		}
		for i, n := range w.restarts {
			if n > 1 {
				t.Errorf("seed %d: program %d was restarted %d times", seed, i, n)
			}
		}
	}
	if finished < 30 {
		t.Errorf("%d of 60 rollouts ended beside flapping programs", finished)
	}
}

// Programs with a hot restart are not drained, and one whose new process does not start aborts the rollout.
func TestRollout_HotRestart(t *testing.T) {
	programs := testPrograms()
	for i := range programs {
		programs[i].HotRestart = programs[i].Kind == Forwarder
	}
	for _, dead := range []string{"", "f2"} {
		w, err := runRollout(t, programs, "", func(w *testFleet) {
			w.dead[dead] = true
			for _, p := range w.r.programs {
				if p.HotRestart {
					w.drainErr[p.Name] = errors.New("it was to be sent away")
				}
			}
		})
		switch {
		case dead == "" && err != nil:
			t.Error(err)
		case dead != "" && (err == nil || !strings.Contains(err.Error(), "-from "+dead)):
			t.Errorf("with a dead successor: %v", err)
		}
		for i, p := range w.r.programs {
			if want := b2i(dead == "" || p.Name <= dead || p.Kind == Planner); w.restarts[i] != want {
				t.Errorf("%s was replaced %d times, want %d", p.Name, w.restarts[i], want)
			}
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestNew_InvalidPrograms(t *testing.T) {
	for want, programs := range map[string][]Program{"no programs": nil, "unknown kind": {{Name: "a", Kind: "node"}}, "twice": {{Name: "a", Kind: Planner}, {Name: "a", Kind: Planner}}} {
		if _, err := New(programs, DefaultTimeouts, "", 0, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := New(testPrograms(), DefaultTimeouts, "x", 0, nil); err == nil {
		t.Error("a name that is not there")
	}
}
