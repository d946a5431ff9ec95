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
	Name   string
	Kind   Kind
	Beside bool // it is replaced by a second process beside it, and need not be sent away
}

// Times bound what a rollout waits for, in seconds.
type Times struct {
	Others float64 // for all others to be ready before a program is touched
	Away   float64 // for a program that was sent away to have nothing left; then it is restarted all the same
	Up     float64 // for a restarted program to be ready
	Settle float64 // for which it has to stay ready before the next one
	Fresh  float64 // how old an answer may be to count
}

// Defaults are for programs that start within a second and drain within four.
var Defaults = Times{Others: 30, Away: 5, Up: 20, Settle: 2, Fresh: 1}

// Phase is where the program at hand stands.
type Phase string

// The phases.
const (
	Waits    Phase = "waits for the others"
	Leaves   Phase = "is sent away"
	Restarts Phase = "is restarted"
	Rises    Phase = "comes up"
	Settles  Phase = "is watched"
)

// Out is what a Rollout asks for. Each call returns at once; what came of it is told by the methods of the same names.
type Out interface {
	Ask(i int) // whether program i is ready, and whether anything is left on it
	Drain(i int)
	Restart(i int) // of one that is replaced beside itself: starts the new process
}

// Rollout is one rollout. It is not safe for concurrent use.
type Rollout struct {
	list  []Program
	times Times
	out   Out
	heard []answer
	asked []float64
	at    int // the program at hand; len(list) when all are done
	phase Phase
	since float64 // of the phase
	err   error   // why it has stopped
}

type answer struct {
	at    float64
	ready bool
	busy  bool
	since float64 // ready without a miss
}

// askEvery is how often each program is asked.
const askEvery = 0.2

// New begins a rollout, from the program of that name on (empty: the first). Programs are taken in the order of kinds, and within a kind as
// they are listed.
func New(list []Program, times Times, from string, now float64, out Out) (*Rollout, error) {
	order := map[Kind]int{Planner: 1, Forwarder: 2, Ingress: 3}
	names := map[string]bool{}
	for _, p := range list {
		switch {
		case order[p.Kind] == 0:
			return nil, fmt.Errorf("%s: unknown kind %q", p.Name, p.Kind)
		case p.Name == "" || names[p.Name]:
			return nil, fmt.Errorf("program %q is named twice, or not at all", p.Name)
		}
		names[p.Name] = true
	}
	r := &Rollout{list: slices.Clone(list), times: times, out: out, heard: make([]answer, len(list)), asked: make([]float64, len(list)), phase: Waits, since: now}
	slices.SortStableFunc(r.list, func(a, b Program) int { return order[a.Kind] - order[b.Kind] })
	if len(list) == 0 {
		return nil, errors.New("no programs are listed")
	}
	if from != "" {
		if r.at = slices.IndexFunc(r.list, func(p Program) bool { return p.Name == from }); r.at < 0 {
			return nil, fmt.Errorf("no program %q", from)
		}
	}
	for i := range r.asked {
		r.asked[i] = now - askEvery
	}
	return r, nil
}

// Programs lists them in the order in which they are taken.
func (r *Rollout) Programs() []Program { return slices.Clone(r.list) }

// Over tells that nothing more will be asked for: all are done, or it has stopped, with the reason.
func (r *Rollout) Over() (bool, error) { return r.err != nil || r.at == len(r.list), r.err }

// Where tells how many programs are done, the one at hand and its phase.
func (r *Rollout) Where() (done int, at Program, phase Phase) {
	if r.at == len(r.list) {
		return r.at, Program{}, ""
	}
	return r.at, r.list[r.at], r.phase
}

func (r *Rollout) enter(now float64, p Phase) { r.phase, r.since = p, now }

func (r *Rollout) stop(format string, args ...any) {
	done, p, phase := r.Where()
	r.err = fmt.Errorf("%s %s: %s; %d of %d are done, the next run begins with -from %s", p.Name, phase, fmt.Sprintf(format, args...), done, len(r.list), p.Name)
}

// Answer takes what a program said of itself; ok is false if it said nothing.
func (r *Rollout) Answer(now float64, i int, ok, ready, busy bool) {
	a := &r.heard[i]
	ready = ok && ready
	if !ready {
		a.since = now
	} else if !a.ready {
		a.since = now
	}
	a.at, a.ready, a.busy = now, ready, ok && busy
}

// Drained takes the answer to a Drain. One that can't be sent away is not restarted.
func (r *Rollout) Drained(now float64, i int, err error) {
	if r.err == nil && i == r.at && r.phase == Leaves && err != nil {
		r.stop("%v", err)
	}
}

// Restarted takes the end of a Restart.
func (r *Rollout) Restarted(now float64, i int, err error) {
	switch {
	case r.err != nil || i != r.at || r.phase != Restarts:
	case err != nil:
		r.stop("%v", err)
	default:
		r.heard[i] = answer{at: now}
		r.enter(now, Rises)
	}
}

// others tells which of the others is not known to be ready; empty: none.
func (r *Rollout) others(now float64) string {
	for i, a := range r.heard {
		if i != r.at && (!a.ready || now > a.at+r.times.Fresh) {
			return r.list[i].Name
		}
	}
	return ""
}

// Tick goes on; call it every few hundredths of a second.
func (r *Rollout) Tick(now float64) {
	if over, _ := r.Over(); over {
		return
	}
	for i := range r.list {
		if now >= r.asked[i]+askEvery {
			r.asked[i] = now
			r.out.Ask(i)
		}
	}
	a := r.heard[r.at]
	waited := now - r.since
	switch r.phase {
	case Waits:
		missing := r.others(now)
		switch {
		case missing == "" && r.list[r.at].Beside:
			if a.ready && now <= a.at+r.times.Fresh { // something runs that can be replaced, and where is known
				r.enter(now, Restarts)
				r.out.Restart(r.at)
			} else if waited > r.times.Others {
				r.stop("it is not ready, so there is nothing to replace")
			}
		case missing == "":
			r.enter(now, Leaves)
			r.out.Drain(r.at)
		case waited > r.times.Others:
			r.stop("%s is not ready, and no two may be away together", missing)
		}
	case Leaves:
		if a.at > r.since && !a.busy && !a.ready || waited > r.times.Away {
			r.enter(now, Restarts)
			r.out.Restart(r.at)
		}
	case Restarts: // as long as whoever restarts it needs
	case Rises:
		if a.ready && a.at > r.since {
			r.enter(now, Settles)
		} else if waited > r.times.Up {
			r.stop("it is not ready %.0f s after its restart", r.times.Up)
		}
	case Settles:
		switch missing := r.others(now); {
		case !a.ready && a.at > r.since:
			r.stop("it was ready and is no longer")
		case missing != "" && waited > r.times.Settle+r.times.Others:
			r.stop("%s is not ready since", missing)
		case missing == "" && waited >= r.times.Settle && now <= a.at+r.times.Fresh:
			r.at++
			r.enter(now, Waits)
		}
	}
}
