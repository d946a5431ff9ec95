package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// recorder implements Observer. It records the events as text and checks their order per attempt.
type recorder struct {
	events    []string
	open      map[*Attempt]string
	effects   int
	collapsed bool
	t         *testing.T
}

func (r *recorder) record(at float64, format string, args ...any) {
	r.events = append(r.events, fmt.Sprintf("%.2f ", at)+fmt.Sprintf(format, args...))
}
func (r *recorder) Began(at float64, a *Attempt, _ float64, repeat bool) {
	if r.open[a] != "came" {
		r.t.Errorf("attempt %s started in state %q, want %q", a.Request, r.open[a], "came")
	}
	r.open[a] = "began"
	if !repeat {
		r.effects++
	}
	r.record(at, "%s began", a.Request)
}
func (r *recorder) Answer(at float64, a *Attempt, f Fate, _ float64) {
	r.record(at, "%s %v", a.Request, f)
}
func (r *recorder) Ended(at float64, a *Attempt, how string) {
	if _, ok := r.open[a]; !ok {
		r.t.Errorf("attempt %s ended twice or without having arrived", a.Request)
	}
	delete(r.open, a)
	r.record(at, "%s ended: %s", a.Request, how)
}
func (r *recorder) Collapsed(float64) { r.collapsed = true }

func testModel(t *testing.T, cfg Config, born float64) (*Model, *recorder) {
	r := &recorder{t: t, open: map[*Attempt]string{}}
	return New(cfg, NewKeys(), 1, born, r), r
}

func (r *recorder) arrive(m *Model, now float64, a *Attempt) {
	r.open[a] = "came"
	m.Arrive(now, a)
}

var baseConfig = Config{Cores: 2, Queue: 1, Speed: 1, KeyedS: 4, Work: map[string]float64{"x": 1}}

// Guards the model's bookkeeping under random arrivals, abandoned attempts and pauses: each attempt starts at most once and ends
// once, no more attempts execute than there are cores, and an attempt whose fate excludes a run never starts.
func TestEveryAttemptEndsOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := baseConfig
		cfg.WorksOn = seed%2 == 0
		r := &recorder{t: t, open: map[*Attempt]string{}}
		m := New(cfg, NewKeys(), seed, 0, r)
		m.SetConditions(FailingConditions(0.8))
		now := 0.0
		var all []*Attempt
		for i := range 200 {
			now += rng.Float64() * 0.6
			switch x := rng.IntN(10); {
			case x < 6:
				a := &Attempt{Handle: uint64(i), Request: fmt.Sprint("r", i), Class: "x"}
				all = append(all, a)
				r.arrive(m, now, a)
			case x < 8 && len(all) > 0:
				if a := all[rng.IntN(len(all))]; r.open[a] != "" {
					m.Abandon(now, a)
				}
			case x == 8:
				m.Pause(now)
			default:
				m.Resume(now)
			}
			if len(m.working) > cfg.Cores || len(m.waiting)+len(m.working) > cfg.Queue+cfg.Cores {
				t.Fatalf("seed %d: %d attempts executing and %d waiting, want at most %d cores and %d queued", seed, len(m.working), len(m.waiting), cfg.Cores, cfg.Queue)
			}
		}
		m.Resume(now)
		for next := m.Next(); !math.IsInf(next, 1); next = m.Next() {
			m.Advance(next)
		}
		for _, a := range all {
			if r.open[a] != "" {
				m.Abandon(now+1000, a)
			}
			if a.began && (a.fate == Full || a.fate == ResetUnrun || a.fate == Error || a.fate == SilentUnrun) {
				t.Errorf("seed %d: attempt with fate %v ran, want not run", seed, a.fate)
			}
		}
		if len(r.open) > 0 {
			t.Errorf("seed %d: %d attempts never ended", seed, len(r.open))
		}
	}
}

// Guards the overload rule of nodes in warm-up: a node crashes exactly when the work sent exceeds the budget of its age. A crash
// ends all attempts; a warm node, or one within its budget, does not crash.
func TestOverloadDuringWarmUp(t *testing.T) {
	cfg := baseConfig
	cfg.Cores, cfg.Queue, cfg.SlowStartS, cfg.SlowStartMinFraction, cfg.FallMultiple, cfg.FallS = 4, 1000, 10, 0.25, 3, 1
	for _, age := range []float64{0, 5, 9.9, 10} {
		m, r := testModel(t, cfg, 0)
		sum := 0.0
		for i := 0; !r.collapsed && i < 200; i++ {
			a := &Attempt{Request: fmt.Sprint(i), Class: "x"}
			r.open[a] = "came"
			sum += m.Arrive(age, a)
			if over := sum > 3*4*(0.25+0.75*age/10); age < 10 && over != r.collapsed {
				t.Fatalf("age %v s: crashed %v after %v s of work, want %v", age, r.collapsed, sum, over)
			}
		}
		if r.collapsed != (age < 10) || m.IsCollapsed() != r.collapsed {
			t.Errorf("age %v s: crashed %v (IsCollapsed %v), want %v", age, r.collapsed, m.IsCollapsed(), age < 10)
		}
		if r.collapsed && len(r.open) > 0 {
			t.Errorf("age %v s: %d attempts open after the crash, want 0", age, len(r.open))
		}
	}
	m, r := testModel(t, cfg, 0) // within its budget the node does not crash
	for i := range 300 {
		r.arrive(m, float64(i)*0.7, &Attempt{Request: fmt.Sprint(i), Class: "x"})
	}
	if r.collapsed {
		t.Error("node crashed under a load within its budget")
	}
}

// Guards the memory of idempotency keys: a repeat within KeyedS has no effect, a later one has.
func TestKeys(t *testing.T) {
	m, r := testModel(t, baseConfig, 0)
	for i, at := range []float64{0, 3.9, 8, 11} {
		r.arrive(m, at, &Attempt{Request: fmt.Sprint(i), Class: "x", Key: "k"})
		m.Advance(at + 3)
	}
	if r.effects != 2 {
		t.Errorf("got %d effects, want 2: %v", r.effects, r.events)
	}
}

// Guards the draw of fates: under FailingConditions(1) each fate but Served is drawn at least once in 2000 attempts.
func TestFates(t *testing.T) {
	m, r := testModel(t, Config{Cores: 1000, Queue: 1, Speed: 1, Work: map[string]float64{"x": 0.001}}, 0)
	m.SetConditions(FailingConditions(1))
	seen := map[Fate]bool{}
	for i := range 2000 {
		a := &Attempt{Request: fmt.Sprint(i), Class: "x"}
		r.arrive(m, float64(i), a)
		seen[a.fate] = true
		if m.Breaks() {
			seen[Broken] = true
		}
	}
	for f := Error; f < fateCount; f++ {
		if !seen[f] {
			t.Errorf("fate %v was never drawn", f)
		}
	}
}
