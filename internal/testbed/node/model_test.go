package node

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// recorder is a node's Out: what happened, in words.
type recorder struct {
	said    []string
	open    map[*Attempt]string
	effects int
	fell    bool
	t       *testing.T
}

func (r *recorder) say(at float64, format string, args ...any) {
	r.said = append(r.said, fmt.Sprintf("%.2f ", at)+fmt.Sprintf(format, args...))
}
func (r *recorder) Began(at float64, a *Attempt, _ float64, repeat bool) {
	if r.open[a] != "came" {
		r.t.Errorf("%s begins when %q", a.Request, r.open[a])
	}
	r.open[a] = "began"
	if !repeat {
		r.effects++
	}
	r.say(at, "%s began", a.Request)
}
func (r *recorder) Answer(at float64, a *Attempt, f Fate, _ float64) {
	r.say(at, "%s %v", a.Request, f)
}
func (r *recorder) Ended(at float64, a *Attempt, how string) {
	if _, ok := r.open[a]; !ok {
		r.t.Errorf("%s ends twice or never came", a.Request)
	}
	delete(r.open, a)
	r.say(at, "%s ended: %s", a.Request, how)
}
func (r *recorder) Fell(float64) { r.fell = true }

func testModel(t *testing.T, cfg Config, born float64) (*Model, *recorder) {
	r := &recorder{t: t, open: map[*Attempt]string{}}
	return New(cfg, NewKeys(), 1, born, r), r
}

func (r *recorder) arrive(m *Model, now float64, a *Attempt) {
	r.open[a] = "came"
	m.Arrive(now, a)
}

var plain = Config{Cores: 2, Queue: 1, Speed: 1, KeyedS: 4, Work: map[string]float64{"x": 1}}

// Guards the model's bookkeeping: whatever comes in whatever order, each attempt begins once at most and ends once, no
// more are in work than there are cores, and what is turned away or broken off unrun never ran.
func TestEveryAttemptEndsOnce(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := plain
		cfg.WorksOn = seed%2 == 0
		r := &recorder{t: t, open: map[*Attempt]string{}}
		m := New(cfg, NewKeys(), seed, 0, r)
		m.SetConditions(Rough(0.8))
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
					m.Leave(now, a)
				}
			case x == 8:
				m.Pause(now)
			default:
				m.Resume(now)
			}
			if len(m.working) > cfg.Cores || len(m.waiting)+len(m.working) > cfg.Queue+cfg.Cores {
				t.Fatalf("seed %d: %d in work, %d waiting", seed, len(m.working), len(m.waiting))
			}
		}
		m.Resume(now)
		for next := m.Next(); !math.IsInf(next, 1); next = m.Next() {
			m.Advance(next)
		}
		for _, a := range all {
			if r.open[a] != "" {
				m.Leave(now+1000, a)
			}
			if a.began && (a.fate == Full || a.fate == ResetUnrun || a.fate == Error || a.fate == SilentUnrun) {
				t.Errorf("seed %d: %v ran", seed, a.fate)
			}
		}
		if len(r.open) > 0 {
			t.Errorf("seed %d: %d attempts never end", seed, len(r.open))
		}
	}
}

// Guards the rule on cold nodes: the budget is what the rule says, at any age, and one that fell stays down.
func TestFalls(t *testing.T) {
	cfg := plain
	cfg.Cores, cfg.Queue, cfg.SlowStartS, cfg.SlowStartMinFraction, cfg.FallMultiple, cfg.FallS = 4, 1000, 10, 0.25, 3, 1
	for _, age := range []float64{0, 5, 9.9, 10} {
		m, r := testModel(t, cfg, 0)
		sum := 0.0
		for i := 0; !r.fell && i < 200; i++ {
			a := &Attempt{Request: fmt.Sprint(i), Class: "x"}
			r.open[a] = "came"
			sum += m.Arrive(age, a)
			if over := sum > 3*4*(0.25+0.75*age/10); age < 10 && over != r.fell {
				t.Fatalf("age %v: %v sent, fallen %v", age, sum, r.fell)
			}
		}
		if r.fell != (age < 10) || m.Fallen() != r.fell {
			t.Errorf("age %v: fallen %v", age, r.fell)
		}
		if r.fell && len(r.open) > 0 {
			t.Errorf("age %v: %d open after the fall", age, len(r.open))
		}
	}
	m, r := testModel(t, cfg, 0) // slowly enough, it stands
	for i := range 300 {
		r.arrive(m, float64(i)*0.7, &Attempt{Request: fmt.Sprint(i), Class: "x"})
	}
	if r.fell {
		t.Error("fell under what it can do")
	}
}

// Guards the memory of keys: a repeat within the time has no effect, one after it has.
func TestKeys(t *testing.T) {
	m, r := testModel(t, plain, 0)
	for i, at := range []float64{0, 3.9, 8, 11} {
		r.arrive(m, at, &Attempt{Request: fmt.Sprint(i), Class: "x", Key: "k"})
		m.Advance(at + 3)
	}
	if r.effects != 2 {
		t.Errorf("%d effects: %v", r.effects, r.said)
	}
}

// Guards the fates: each of them is drawn, and served are all that carry a value.
func TestFates(t *testing.T) {
	m, r := testModel(t, Config{Cores: 1000, Queue: 1, Speed: 1, Work: map[string]float64{"x": 0.001}}, 0)
	m.SetConditions(Rough(1))
	seen := map[Fate]bool{}
	for i := range 2000 {
		a := &Attempt{Request: fmt.Sprint(i), Class: "x"}
		r.arrive(m, float64(i), a)
		seen[a.fate] = true
		if m.Breaks() {
			seen[Broken] = true
		}
	}
	for f := Error; f < fates; f++ {
		if !seen[f] {
			t.Errorf("%v never comes", f)
		}
	}
}
