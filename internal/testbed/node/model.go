// Package node is the testbed's model of a zone node (backend): it decides the outcome and the time of each attempt that the
// node receives. It does no I/O and takes time as a value, so that nodes on sockets and nodes in virtual time behave the same.
// Only the model knows whether an attempt ran; the answer does not tell.
package node

import (
	"math"
	"math/rand/v2"
)

// Config sets a node's capacity and behavior. Times are in seconds.
type Config struct {
	Zone                 string  // its nodes share the memory of idempotency keys
	Cores                int     // attempts executed concurrently
	Queue                int     // attempts that may wait; further ones are rejected
	Speed                float64 // speed of a core; at 1 an attempt takes its nominal work
	KeyedS               float64 // time after an attempt's start in which a repeat of its key has no effect
	SlowStartS           float64 // warm-up time after the node's start, 0: none
	SlowStartMinFraction float64 // fraction of its capacity at its start
	// During warm-up a node crashes for good if the work sent to it within FallS exceeds FallMultiple times the work that it
	// can do in FallS at that moment, see Budget. FallMultiple 0: it never crashes.
	FallMultiple, FallS float64
	Work                map[string]float64 // mean work by class, seconds of one core at speed 1
	WorksOn             bool               // an attempt that the client abandoned runs to its end
	Conns               int                // maximum number of connections, 0: no limit
	ReportS             float64            // interval at which the reported load is sampled, 0: for each answer
	IdleS               float64            // idle timeout of connections, 0: none
}

// Fate is the outcome of an attempt.
type Fate int

// The fates of attempts. Attempts from ErrorRan to AbsurdLoad run, as those with Served do; Copy and AbsurdLoad are served too.
const (
	Served      Fate = iota
	Error            // error answer, the attempt did not run
	Full             // rejected as busy
	ResetUnrun       // connection reset, the attempt did not run
	SilentUnrun      // no answer, the attempt did not run
	ErrorRan
	ResetRan   // connection reset before the answer
	ResetMid   // connection reset in the middle of the answer
	SilentRan  // no answer
	Late       // the answer is delayed by 0.5 to 4.5 s
	Garbage    // bytes that are not a valid answer
	Lying      // a value whose stated length is wrong
	Endless    // a value that never ends
	Valueless  // an answer without a value
	Copy       // the answer is sent twice
	AbsurdLoad // served, with an implausible load report
	Broken     // connection reset before the command is complete: the node receives no attempt
	fateCount
)

var fateNames = [fateCount]string{"served", "error", "full", "reset unrun", "silent unrun", "error", "reset", "reset in the answer", "silent",
	"late", "noise", "lying length", "endless value", "no value", "copy", "absurd load", "broken in the command"}

func (f Fate) String() string { return fateNames[f] }

// MayHaveRun reports whether the sender of the attempt must assume that it may have run.
func (f Fate) MayHaveRun() bool { return f != Full && f != Broken }

// Conditions are the fraction of attempts with each fate, and the slowdown of the node.
type Conditions struct {
	Fractions [fateCount]float64
	Slow      float64 // factor on the execution time; below 1 counts as 1
}

// FailingConditions returns conditions in which fraction x of all attempts fails, spread over all fates by fixed weights.
func FailingConditions(x float64) (w Conditions) {
	for f, part := range map[Fate]float64{Error: 1, Full: 2, ResetUnrun: 2, SilentUnrun: 0.5, ErrorRan: 1, ResetRan: 2, ResetMid: 1, SilentRan: 0.5,
		Late: 0.5, Garbage: 0.5, Lying: 0.5, Endless: 0.5, Valueless: 0.5, Copy: 1, AbsurdLoad: 1, Broken: 1.5} {
		w.Fractions[f] = x * part / 16
	}
	return w
}

// Attempt is one completely received command.
type Attempt struct {
	Handle                       uint64 // identifier chosen by the caller
	Request, Account, Class, Key string
	fate                         Fate
	work, doneAt                 float64
	began, abandoned, repeat     bool
}

// Observer receives the events of a Model, in order, during the calls of the Model's methods.
type Observer interface {
	Began(at float64, a *Attempt, work float64, repeat bool) // execution starts; repeat: its key was used within KeyedS, so it has no effect
	Answer(at float64, a *Attempt, f Fate, load float64)     // the answer to write, in the form of fate f; Ended follows
	Ended(at float64, a *Attempt, how string)                // the attempt is finished, no further event follows
	Collapsed(at float64)                                    // the node crashed: connections are reset, new ones refused
}

// Keys is the memory of idempotency keys that all nodes share. It is not safe for concurrent use.
type Keys struct{ seen map[string]float64 }

// NewKeys returns an empty memory.
func NewKeys() *Keys { return &Keys{seen: map[string]float64{}} }

const maxKeys = 1 << 14 // above this number, firstUse deletes expired keys

// known reports whether an attempt with the key started less than span ago.
func (k *Keys) known(now float64, key string, span float64) bool {
	at, ok := k.seen[key]
	return ok && now-at < span
}

// firstUse reports whether no attempt with the key started less than span ago, and if so records now as its start.
func (k *Keys) firstUse(now float64, key string, span float64) bool {
	if len(k.seen) > maxKeys {
		for key, at := range k.seen {
			if now-at > span {
				delete(k.seen, key)
			}
		}
	}
	if k.known(now, key, span) {
		return false
	}
	k.seen[key] = now
	return true
}

// Model is one incarnation of a node. It is not safe for concurrent use.
type Model struct {
	cfg           Config
	rng           *rand.Rand
	keys          *Keys
	out           Observer
	startedAt     float64
	conditions    Conditions
	paused        bool
	collapsed     bool
	waiting       []*Attempt
	working       []*Attempt // at most Cores
	silent        []*Attempt // to be answered late or never
	sent          []sentWork // during warm-up, within the last FallS
	now           float64    // time of the last call of Advance
	reportedLoad  float64    // last sampled load; loadSampledAt is the time of the sample
	loadSampledAt float64
}

type sentWork struct{ at, work float64 }

// New returns a node that started at time born. A node that started at least SlowStartS ago is warm.
func New(cfg Config, keys *Keys, seed uint64, born float64, out Observer) *Model {
	return &Model{cfg: cfg, keys: keys, rng: rand.New(rand.NewPCG(seed, 7)), startedAt: born, out: out}
}

// SetConditions replaces the conditions.
func (m *Model) SetConditions(w Conditions) { m.conditions = w }

// IsCollapsed reports whether the node crashed.
func (m *Model) IsCollapsed() bool { return m.collapsed }

// WarmFraction returns the fraction of its capacity that a node has at an age in seconds.
func (c Config) WarmFraction(age float64) float64 {
	if c.SlowStartS <= 0 || age >= c.SlowStartS {
		return 1
	}
	return c.SlowStartMinFraction + (1-c.SlowStartMinFraction)*max(age, 0)/c.SlowStartS
}

// Budget returns the work, in seconds of a core, that a node survives within FallS at an age.
func (c Config) Budget(age float64) float64 {
	return c.FallMultiple * float64(c.Cores) * c.Speed * c.WarmFraction(age) * c.FallS
}

// Breaks draws whether the connection is reset in the middle of the command whose first bytes arrive.
func (m *Model) Breaks() bool { return m.rng.Float64() < m.conditions.Fractions[Broken] }

// drawFate draws a fate other than Broken by the fractions of the conditions.
func (m *Model) drawFate() Fate {
	x := m.rng.Float64()
	for f := Error; f < Broken; f++ {
		if x -= m.conditions.Fractions[f]; x < 0 {
			return f
		}
	}
	return Served
}

// Arrive handles an attempt whose last byte has arrived. It returns the attempt's work in seconds of a core.
func (m *Model) Arrive(now float64, a *Attempt) (work float64) {
	m.Advance(now)
	mean := m.cfg.Work[a.Class]
	a.repeat = a.Key != "" && m.keys.known(now, m.cfg.Zone+"/"+a.Account+"/"+a.Key, m.cfg.KeyedS) // it has no effect, however long it waits
	a.work = min(mean*math.Exp(0.5*m.rng.NormFloat64()-0.125), 6*mean)
	if m.collapsed {
		m.out.Ended(now, a, "down")
		return a.work
	}
	if age := now - m.startedAt; m.cfg.FallMultiple > 0 && age < m.cfg.SlowStartS {
		keep, sum := m.sent[:0], a.work
		for _, s := range m.sent {
			if now-s.at < m.cfg.FallS {
				keep = append(keep, s)
				sum += s.work
			}
		}
		keep = append(keep, sentWork{now, a.work})
		m.sent = keep
		if sum > m.cfg.Budget(age) {
			m.Collapse(now)
			m.out.Ended(now, a, "down")
			return a.work
		}
	}
	if a.fate = m.drawFate(); len(m.waiting)+len(m.working) >= m.cfg.Cores+m.cfg.Queue {
		a.fate = Full
	}
	switch a.fate {
	case Full, Error, ResetUnrun:
		m.out.Answer(now, a, a.fate, m.Load())
		m.out.Ended(now, a, a.fate.String())
	case SilentUnrun:
		m.silent = append(m.silent, a)
		a.doneAt = math.Inf(1)
	default:
		m.waiting = append(m.waiting, a)
		m.begin(now)
	}
	return a.work
}

// Collapse crashes the node; it does not recover.
func (m *Model) Collapse(now float64) {
	m.collapsed = true
	m.out.Collapsed(now)
	for _, list := range [][]*Attempt{m.working, m.waiting, m.silent} {
		for _, a := range list {
			m.out.Ended(now, a, "down")
		}
	}
	m.working, m.waiting, m.silent = nil, nil, nil
}

// begin starts waiting attempts while cores are free.
func (m *Model) begin(now float64) {
	for len(m.waiting) > 0 && len(m.working) < m.cfg.Cores && !m.paused {
		a := m.waiting[0]
		m.waiting = m.waiting[1:]
		slow := max(m.conditions.Slow, 1)
		a.began = true
		a.doneAt = now + a.work*slow/(m.cfg.Speed*m.cfg.WarmFraction(now-m.startedAt))
		m.working = append(m.working, a)
		repeat := a.repeat || a.Key != "" && !m.keys.firstUse(now, m.cfg.Zone+"/"+a.Account+"/"+a.Key, m.cfg.KeyedS)
		m.out.Began(now, a, a.work, repeat)
	}
}

// Next returns the time of the next event that Advance handles, +Inf if there is none or the node is paused.
func (m *Model) Next() float64 {
	next := math.Inf(1)
	if m.paused {
		return next
	}
	for _, list := range [][]*Attempt{m.working, m.silent} {
		for _, a := range list {
			next = min(next, a.doneAt)
		}
	}
	return next
}

// Advance handles all events up to now.
func (m *Model) Advance(now float64) {
	m.now = now
	for !m.paused {
		var a *Attempt
		for _, list := range [][]*Attempt{m.working, m.silent} {
			for _, x := range list {
				if x.doneAt <= now && (a == nil || x.doneAt < a.doneAt) {
					a = x
				}
			}
		}
		if a == nil {
			return
		}
		at := a.doneAt
		if remove(&m.silent, a) { // a late answer is due
			m.out.Answer(at, a, Late, m.Load())
			m.out.Ended(at, a, a.fate.String())
			continue
		}
		remove(&m.working, a)
		switch {
		case a.abandoned:
			m.out.Ended(at, a, "gone")
		case a.fate == SilentRan:
			a.doneAt = math.Inf(1)
			m.silent = append(m.silent, a)
		case a.fate == Late:
			a.doneAt = at + 0.5 + 4*m.rng.Float64()
			m.silent = append(m.silent, a)
		default:
			m.out.Answer(at, a, a.fate, m.Load())
			m.out.Ended(at, a, a.fate.String())
		}
		m.begin(at)
	}
}

func remove(list *[]*Attempt, a *Attempt) bool {
	for i, x := range *list {
		if x == a {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return true
		}
	}
	return false
}

// Abandon handles the end of the connection of an attempt: the client abandoned it.
func (m *Model) Abandon(now float64, a *Attempt) {
	m.Advance(now)
	switch {
	case remove(&m.waiting, a), remove(&m.silent, a):
		m.out.Ended(now, a, "gone")
	case m.cfg.WorksOn:
		a.abandoned = true
	case remove(&m.working, a):
		m.out.Ended(now, a, "gone")
		m.begin(now)
	}
}

// Pause stops the node's time until Resume. Attempts in execution and late answers are delayed by its length.
func (m *Model) Pause(now float64) {
	m.Advance(now)
	m.paused = true
	for _, list := range [][]*Attempt{m.working, m.silent} {
		for _, a := range list {
			a.doneAt -= now
		}
	}
}

// Resume ends a pause.
func (m *Model) Resume(now float64) {
	if !m.paused {
		return
	}
	m.paused = false
	for _, list := range [][]*Attempt{m.working, m.silent} {
		for _, a := range list {
			a.doneAt += now
		}
	}
	m.begin(now)
}

// Load returns the fraction of busy cores as last sampled, see ReportS.
func (m *Model) Load() float64 {
	if m.cfg.ReportS <= 0 || m.now >= m.loadSampledAt+m.cfg.ReportS {
		m.reportedLoad, m.loadSampledAt = float64(len(m.working))/float64(m.cfg.Cores), m.now
	}
	return m.reportedLoad
}
