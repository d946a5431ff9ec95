// Package node is the laboratory's one model of a zone node: what becomes of each attempt that comes to it, and when. It
// does no I/O and takes time as a value, so that the nodes on sockets and those of fleets in virtual time are the same. It
// alone knows whether an attempt ran, whatever it answers.
package node

import (
	"math"
	"math/rand/v2"
)

// Config is what a node can do. Times are in seconds.
type Config struct {
	Zone                 string  // whose nodes share a memory of keys
	Cores                int     // attempts in work at once
	Queue                int     // attempts that may wait; further ones are turned away
	Speed                float64 // factor on the work
	KeyedS               float64 // for which the repeat of a key is dropped
	SlowStartS           float64 // until it is warm after its start, 0: at once
	SlowStartMinFraction float64 // of its capacity that it starts with
	// Sent more than FallMultiple x what it can do at that moment within FallS, a cold node falls over and stays down.
	// FallMultiple 0: it does not.
	FallMultiple, FallS float64
	Work                map[string]float64 // mean by class, on one core at speed 1
	WorksOn             bool               // work of an attempt that was given up goes on
	Conns               int                // connections at most, 0: no bound
	ReportS             float64            // reports of load are made anew so often; 0: for each answer
	IdleS               float64            // a connection that has idled for so long is closed, 0: never
}

// Fate is what becomes of an attempt.
type Fate int

// The fates of an attempt that comes whole. Those from ErrorRan on run, and those from Copy on are served.
const (
	Served      Fate = iota
	Error            // answered with an error without having run
	Full             // turned away
	ResetUnrun       // the connection breaks, nothing has run
	SilentUnrun      // no answer, nothing has run
	ErrorRan
	ResetRan   // the connection breaks before the answer
	ResetMid   // and in the middle of it
	SilentRan  // no answer
	Late       // the answer comes after seconds
	Garbage    // bytes that are no answer
	Lying      // a value whose length lies
	Endless    // a value that never ends
	Valueless  // an answer without a value
	Copy       // a second copy right behind the answer
	AbsurdLoad // served, with a load report beyond belief
	Broken     // the connection breaks before the command is whole: no attempt at all
	fates
)

var fateNames = [fates]string{"served", "error", "full", "reset unrun", "silent unrun", "error", "reset", "reset in the answer", "silent",
	"late", "noise", "lying length", "endless value", "no value", "copy", "absurd load", "broken in the command"}

func (f Fate) String() string { return fateNames[f] }

// MayHaveRun tells what whoever sent the attempt must take for possible.
func (f Fate) MayHaveRun() bool { return f != Full && f != Broken }

// Conditions is how often which fate comes, as shares of the attempts, and how slow the node is.
type Conditions struct {
	Fractions [fates]float64
	Slow      float64 // factor on the time that work takes; 0 stands for 1
}

// Rough is a weather in which a share x of all attempts goes wrong, in every way.
func Rough(x float64) (w Conditions) {
	for f, part := range map[Fate]float64{Error: 1, Full: 2, ResetUnrun: 2, SilentUnrun: 0.5, ErrorRan: 1, ResetRan: 2, ResetMid: 1, SilentRan: 0.5,
		Late: 0.5, Garbage: 0.5, Lying: 0.5, Endless: 0.5, Valueless: 0.5, Copy: 1, AbsurdLoad: 1, Broken: 1.5} {
		w.Fractions[f] = x * part / 16
	}
	return w
}

// Attempt is one command that has come whole.
type Attempt struct {
	Handle                       uint64 // of the caller's choice
	Request, Account, Class, Key string
	fate                         Fate
	work, doneAt                 float64
	began, left, repeat          bool
}

// Out is told what happens. Its methods are called while one of the model's runs, in order.
type Out interface {
	Began(at float64, a *Attempt, work float64, repeat bool) // its work begins; repeat: its key is known, so that it has no effect
	Answer(at float64, a *Attempt, f Fate, load float64)     // what is to be written, in the form that the fate says; ends the attempt but for Late
	Ended(at float64, a *Attempt, how string)                // nothing more comes of it
	Fell(at float64)                                         // it has fallen over: connections break, new ones are refused
}

// Keys is the memory that all nodes share of keyed requests.
type Keys struct{ seen map[string]float64 }

// NewKeys returns an empty memory.
func NewKeys() *Keys { return &Keys{seen: map[string]float64{}} }

const keysMost = 1 << 14 // then those that are over are forgotten

// known tells whether the key was begun within span.
func (k *Keys) known(now float64, key string, span float64) bool {
	at, ok := k.seen[key]
	return ok && now-at < span
}

// first tells whether the key was not begun within span, and notes that it is now.
func (k *Keys) first(now float64, key string, span float64) bool {
	if len(k.seen) > keysMost {
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

// Model is one node's life. It is not safe for concurrent use; Keys neither.
type Model struct {
	cfg           Config
	rng           *rand.Rand
	keys          *Keys
	out           Out
	startedAt     float64
	conditions    Conditions
	paused        bool
	fallen        bool
	waiting       []*Attempt
	working       []*Attempt // Cores at most
	silent        []*Attempt // answered late or never
	sent          []sent     // while cold
	now           float64    // of the last event
	reportedLoad  float64    // load, and when it was looked at
	loadSampledAt float64
}

type sent struct{ at, work float64 }

// New starts a node's life. A born of long ago is a warm node.
func New(cfg Config, keys *Keys, seed uint64, born float64, out Out) *Model {
	return &Model{cfg: cfg, keys: keys, rng: rand.New(rand.NewPCG(seed, 7)), startedAt: born, out: out}
}

// SetConditions says how things stand from now on.
func (m *Model) SetConditions(w Conditions) { m.conditions = w }

// Fallen tells that it has fallen over.
func (m *Model) Fallen() bool { return m.fallen }

// WarmFraction is the part of its capacity that it has by now.
func (c Config) WarmFraction(age float64) float64 {
	if c.SlowStartS <= 0 || age >= c.SlowStartS {
		return 1
	}
	return c.SlowStartMinFraction + (1-c.SlowStartMinFraction)*max(age, 0)/c.SlowStartS
}

// Budget is the work that it may be sent within FallS, at an age.
func (c Config) Budget(age float64) float64 {
	return c.FallMultiple * float64(c.Cores) * c.Speed * c.WarmFraction(age) * c.FallS
}

// Breaks draws whether the connection is to break in the middle of the command that begins to come.
func (m *Model) Breaks() bool { return m.rng.Float64() < m.conditions.Fractions[Broken] }

// draw picks a fate.
func (m *Model) draw() Fate {
	x := m.rng.Float64()
	for f := Error; f < Broken; f++ {
		if x -= m.conditions.Fractions[f]; x < 0 {
			return f
		}
	}
	return Served
}

// Arrive takes an attempt whose last byte has come. It returns the work that it stands for, in seconds of a core.
func (m *Model) Arrive(now float64, a *Attempt) (work float64) {
	m.Advance(now)
	mean := m.cfg.Work[a.Class]
	a.repeat = a.Key != "" && m.keys.known(now, m.cfg.Zone+"/"+a.Account+"/"+a.Key, m.cfg.KeyedS) // it is dropped, however long it waits
	a.work = min(mean*math.Exp(0.5*m.rng.NormFloat64()-0.125), 6*mean)
	if m.fallen {
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
		m.sent = append(keep, sent{now, a.work})
		if sum > m.cfg.Budget(age) {
			m.Fall(now)
			m.out.Ended(now, a, "down")
			return a.work
		}
	}
	if a.fate = m.draw(); len(m.waiting)+len(m.working) >= m.cfg.Cores+m.cfg.Queue {
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

// Fall ends the node for good.
func (m *Model) Fall(now float64) {
	m.fallen = true
	m.out.Fell(now)
	for _, list := range [][]*Attempt{m.working, m.waiting, m.silent} {
		for _, a := range list {
			m.out.Ended(now, a, "down")
		}
	}
	m.working, m.waiting, m.silent = nil, nil, nil
}

// begin puts what waits to work.
func (m *Model) begin(now float64) {
	for len(m.waiting) > 0 && len(m.working) < m.cfg.Cores && !m.paused {
		a := m.waiting[0]
		m.waiting = m.waiting[1:]
		slow := max(m.conditions.Slow, 1)
		a.began = true
		a.doneAt = now + a.work*slow/(m.cfg.Speed*m.cfg.WarmFraction(now-m.startedAt))
		m.working = append(m.working, a)
		repeat := a.repeat || a.Key != "" && !m.keys.first(now, m.cfg.Zone+"/"+a.Account+"/"+a.Key, m.cfg.KeyedS)
		m.out.Began(now, a, a.work, repeat)
	}
}

// Next is when Advance has something to do, +Inf if nothing is under way.
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

// Advance finishes what is done by now.
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
		if remove(&m.silent, a) { // the late answer
			m.out.Answer(at, a, Late, m.Load())
			m.out.Ended(at, a, a.fate.String())
			continue
		}
		remove(&m.working, a)
		switch {
		case a.left:
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

// Leave takes the end of the connection that an attempt came on: it is given up.
func (m *Model) Leave(now float64, a *Attempt) {
	m.Advance(now)
	switch {
	case remove(&m.waiting, a), remove(&m.silent, a):
		m.out.Ended(now, a, "gone")
	case m.cfg.WorksOn:
		a.left = true
	case remove(&m.working, a):
		m.out.Ended(now, a, "gone")
		m.begin(now)
	}
}

// Pause stops the node's time, Resume lets it go on: what is in work takes as much longer.
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

// Load is the share of its cores that are busy, as it was when it was last looked at.
func (m *Model) Load() float64 {
	if m.cfg.ReportS <= 0 || m.now >= m.loadSampledAt+m.cfg.ReportS {
		m.reportedLoad, m.loadSampledAt = float64(len(m.working))/float64(m.cfg.Cores), m.now
	}
	return m.reportedLoad
}
