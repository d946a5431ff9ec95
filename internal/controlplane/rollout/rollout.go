// Package rollout decides how a fleet is upgraded program by program while it serves: in which order, when the next one may be touched, and
// when to stop. It does no I/O; time comes in as a value, in seconds. Who carries it out asks programs and tells what they answered.
package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Kind is what a program is.
type Kind string

// The kinds. Planners come first: the cells of one that is away are led by the others.
const (
	Planner   Kind = "planner"
	Forwarder Kind = "forwarder"
	Ingress   Kind = "ingress"
)

// Program is one of the fleet's.
type Program struct {
	Name       string
	Kind       Kind
	HotRestart bool // it is replaced by a second process beside it, and need not be sent away
}

// Timeouts bound what a rollout waits for, in seconds.
type Timeouts struct {
	OthersReadyS  float64 // for all others to be ready before a program is touched
	DrainS        float64 // for a program that was sent away to have nothing left; then it is restarted all the same
	StartS        float64 // for a restarted program to be ready
	StableS       float64 // for which it has to stay ready before the next one
	AnswerMaxAgeS float64 // how old an answer may be to count
}

// DefaultTimeouts are for programs that start within a second and drain within four.
var DefaultTimeouts = Timeouts{OthersReadyS: 30, DrainS: 5, StartS: 20, StableS: 2, AnswerMaxAgeS: 1}

// Phase is where the program at hand stands.
type Phase string

// The phases.
const (
	WaitingForOthers Phase = "waits for the others"
	Draining         Phase = "is sent away"
	Restarting       Phase = "is restarted"
	Starting         Phase = "comes up"
	Stabilizing      Phase = "is watched"
)

// Output is what a Rollout asks for. Each call returns at once; what came of it is told by the methods of the same names.
type Output interface {
	CheckReadiness(i int) // whether program i is ready, and whether anything is left on it
	Drain(i int)
	Restart(i int) // of one that is replaced beside itself: starts the new process
}

// Rollout is one rollout. It is not safe for concurrent use.
type Rollout struct {
	programs   []Program
	timeouts   Timeouts
	out        Output
	answers    []answer
	checkedAt  []float64
	current    int // the program at hand; len(list) when all are done
	phase      Phase
	phaseSince float64 // of the phase
	err        error   // why it has stopped
}

type answer struct {
	receivedAt float64
	ready      bool
	busy       bool
	readySince float64 // ready without a miss
}

// checkIntervalS is how often each program is asked.
const checkIntervalS = 0.2

// New begins a rollout, from the program of that name on (empty: the first). Programs are taken in the order of kinds, and within a kind as
// they are listed.
func New(programs []Program, timeouts Timeouts, from string, now float64, out Output) (*Rollout, error) {
	order := map[Kind]int{Planner: 1, Forwarder: 2, Ingress: 3}
	names := map[string]bool{}
	for _, p := range programs {
		switch {
		case order[p.Kind] == 0:
			return nil, fmt.Errorf("%s: unknown kind %q", p.Name, p.Kind)
		case p.Name == "" || names[p.Name]:
			return nil, fmt.Errorf("program %q is named twice, or not at all", p.Name)
		}
		names[p.Name] = true
	}
	r := &Rollout{programs: slices.Clone(programs), timeouts: timeouts, out: out, answers: make([]answer, len(programs)), checkedAt: make([]float64, len(programs)), phase: WaitingForOthers, phaseSince: now}
	slices.SortStableFunc(r.programs, func(a, b Program) int { return order[a.Kind] - order[b.Kind] })
	if len(programs) == 0 {
		return nil, errors.New("no programs are listed")
	}
	if from != "" {
		if r.current = slices.IndexFunc(r.programs, func(p Program) bool { return p.Name == from }); r.current < 0 {
			return nil, fmt.Errorf("no program %q", from)
		}
	}
	for i := range r.checkedAt {
		r.checkedAt[i] = now - checkIntervalS
	}
	return r, nil
}

// Programs lists them in the order in which they are taken.
func (r *Rollout) Programs() []Program { return slices.Clone(r.programs) }

// Done tells that nothing more will be asked for: all are done, or it has stopped, with the reason.
func (r *Rollout) Done() (bool, error) { return r.err != nil || r.current == len(r.programs), r.err }

// Progress tells how many programs are done, the one at hand and its phase.
func (r *Rollout) Progress() (done int, at Program, phase Phase) {
	if r.current == len(r.programs) {
		return r.current, Program{}, ""
	}
	return r.current, r.programs[r.current], r.phase
}

func (r *Rollout) enterPhase(now float64, p Phase) { r.phase, r.phaseSince = p, now }

func (r *Rollout) abort(format string, args ...any) {
	done, p, phase := r.Progress()
	r.err = fmt.Errorf("%s %s: %s; %d of %d are done, the next run begins with -from %s", p.Name, phase, fmt.Sprintf(format, args...), done, len(r.programs), p.Name)
}

// HandleAnswer takes what a program said of itself; ok is false if it said nothing.
func (r *Rollout) HandleAnswer(now float64, i int, ok, ready, busy bool) {
	a := &r.answers[i]
	ready = ok && ready
	if !ready {
		a.readySince = now
	} else if !a.ready {
		a.readySince = now
	}
	a.receivedAt, a.ready, a.busy = now, ready, ok && busy
}

// Drained takes the answer to a Drain. One that can't be sent away is not restarted.
func (r *Rollout) Drained(now float64, i int, err error) {
	if r.err == nil && i == r.current && r.phase == Draining && err != nil {
		r.abort("%v", err)
	}
}

// Restarted takes the end of a Restart.
func (r *Rollout) Restarted(now float64, i int, err error) {
	switch {
	case r.err != nil || i != r.current || r.phase != Restarting:
	case err != nil:
		r.abort("%v", err)
	default:
		r.answers[i] = answer{receivedAt: now}
		r.enterPhase(now, Starting)
	}
}

// unreadyProgram tells which of the others is not known to be ready; empty: none.
func (r *Rollout) unreadyProgram(now float64) string {
	for i, a := range r.answers {
		if i != r.current && (!a.ready || now > a.receivedAt+r.timeouts.AnswerMaxAgeS) {
			return r.programs[i].Name
		}
	}
	return ""
}

// Tick goes on; call it every few hundredths of a second.
func (r *Rollout) Tick(now float64) {
	if over, _ := r.Done(); over {
		return
	}
	for i := range r.programs {
		if now >= r.checkedAt[i]+checkIntervalS {
			r.checkedAt[i] = now
			r.out.CheckReadiness(i)
		}
	}
	a := r.answers[r.current]
	waited := now - r.phaseSince
	switch r.phase {
	case WaitingForOthers:
		missing := r.unreadyProgram(now)
		switch {
		case missing == "" && r.programs[r.current].HotRestart:
			if a.ready && now <= a.receivedAt+r.timeouts.AnswerMaxAgeS { // something runs that can be replaced, and where is known
				r.enterPhase(now, Restarting)
				r.out.Restart(r.current)
			} else if waited > r.timeouts.OthersReadyS {
				r.abort("it is not ready, so there is nothing to replace")
			}
		case missing == "":
			r.enterPhase(now, Draining)
			r.out.Drain(r.current)
		case waited > r.timeouts.OthersReadyS:
			r.abort("%s is not ready, and no two may be away together", missing)
		}
	case Draining:
		if a.receivedAt > r.phaseSince && !a.busy && !a.ready || waited > r.timeouts.DrainS {
			r.enterPhase(now, Restarting)
			r.out.Restart(r.current)
		}
	case Restarting: // as long as whoever restarts it needs
	case Starting:
		if a.ready && a.receivedAt > r.phaseSince {
			r.enterPhase(now, Stabilizing)
		} else if waited > r.timeouts.StartS {
			r.abort("it is not ready %.0f s after its restart", r.timeouts.StartS)
		}
	case Stabilizing:
		switch missing := r.unreadyProgram(now); {
		case !a.ready && a.receivedAt > r.phaseSince:
			r.abort("it was ready and is no longer")
		case missing != "" && waited > r.timeouts.StableS+r.timeouts.OthersReadyS:
			r.abort("%s is not ready since", missing)
		case missing == "" && waited >= r.timeouts.StableS && now <= a.receivedAt+r.timeouts.AnswerMaxAgeS:
			r.current++
			r.enterPhase(now, WaitingForOthers)
		}
	}
}
