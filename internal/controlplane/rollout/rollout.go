// Package rollout decides how a fleet is upgraded program by program while it serves: in which order, when the next program may be
// restarted, and when to abort. It does no I/O and has no clock: times come in as values, in seconds. Whoever carries it out asks the
// programs and passes on what they answer.
package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Kind is what a program is.
type Kind string

// The kinds, in the order of a rollout. Planners come first: the others lead the cells of one that restarts.
const (
	Planner   Kind = "planner"
	Forwarder Kind = "forwarder"
	Ingress   Kind = "ingress"
)

var kinds = []Kind{Planner, Forwarder, Ingress}

// Program is one of the fleet's programs.
type Program struct {
	Name       string // unique
	Kind       Kind
	HotRestart bool // a second process takes over from the first, which need not drain before
}

// Timeouts bound what a rollout waits for, in seconds.
type Timeouts struct {
	OthersReadyS  float64 // for all others to be ready before a program is restarted
	DrainS        float64 // for a draining program to have nothing left; after that it is restarted all the same
	StartS        float64 // for a restarted program to be ready
	StableS       float64 // for how long it has to stay ready before the next one
	AnswerMaxAgeS float64 // an older answer counts as none
}

// DefaultTimeouts are for programs that start within a second and drain within four.
var DefaultTimeouts = Timeouts{OthersReadyS: 30, DrainS: 5, StartS: 20, StableS: 2, AnswerMaxAgeS: 1}

// checkIntervalS is the time between two checks of one program, in seconds.
const checkIntervalS = 0.2

// Phase is how far the current program has come. Its text continues the program's name.
type Phase string

// The phases, in order. A program with a hot restart skips Draining.
const (
	WaitingForOthers Phase = "waits for the others"
	Draining         Phase = "is sent away"
	Restarting       Phase = "is restarted"
	Starting         Phase = "comes up"
	Stabilizing      Phase = "is watched"
)

// Output carries out what a Rollout asks for, for program i of Programs. Each call returns at once.
type Output interface {
	CheckReadiness(i int) // the answer goes to HandleAnswer
	Drain(i int)          // the result goes to Drained
	Restart(i int)        // the result goes to Restarted; with a hot restart, it starts the new process
}

// AbortError is why a rollout has stopped before its end.
type AbortError struct {
	Program     Program // the current one
	Phase       Phase   // that it was in
	Problem     string
	Done, Total int   // programs
	Err         error // of Drain or Restart; nil: none
}

// Error implements error.
func (e *AbortError) Error() string {
	return fmt.Sprintf("%s %s: %s; %d of %d are done, the next run begins with -from %s",
		e.Program.Name, e.Phase, e.Problem, e.Done, e.Total, e.Program.Name)
}

// Unwrap returns the error of Drain or Restart, if that is why.
func (e *AbortError) Unwrap() error { return e.Err }

// Rollout is one rollout. It is not safe for concurrent use.
type Rollout struct {
	programs   []Program // in the order in which they are restarted
	timeouts   Timeouts
	out        Output
	answers    []answer  // by program
	checkedAt  []float64 // by program
	current    int       // index of the current program; len(programs) once all are done
	phase      Phase     // of the current program
	phaseSince float64
	err        error // an *AbortError; nil: not aborted
}

// answer is a program's latest answer.
type answer struct {
	receivedAt float64
	ready      bool
	busy       bool // something is left on it
}

// New starts a rollout with the program named from, or with the first if from is empty. Programs are restarted in the order of kinds, and
// within a kind as they are listed.
func New(programs []Program, timeouts Timeouts, from string, now float64, out Output) (*Rollout, error) {
	if len(programs) == 0 {
		return nil, errors.New("no programs are listed")
	}
	names := map[string]bool{}
	for _, program := range programs {
		switch {
		case !slices.Contains(kinds, program.Kind):
			return nil, fmt.Errorf("%s: unknown kind %q", program.Name, program.Kind)
		case program.Name == "" || names[program.Name]:
			return nil, fmt.Errorf("program %q is named twice, or not at all", program.Name)
		}
		names[program.Name] = true
	}
	r := &Rollout{
		programs:   slices.Clone(programs),
		timeouts:   timeouts,
		out:        out,
		answers:    make([]answer, len(programs)),
		checkedAt:  make([]float64, len(programs)),
		phase:      WaitingForOthers,
		phaseSince: now,
	}
	slices.SortStableFunc(r.programs, func(a, b Program) int { return slices.Index(kinds, a.Kind) - slices.Index(kinds, b.Kind) })
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

// Programs lists the programs in the order in which they are restarted.
func (r *Rollout) Programs() []Program { return slices.Clone(r.programs) }

// Done reports whether the rollout has ended, and with which *AbortError if it was aborted.
func (r *Rollout) Done() (bool, error) { return r.err != nil || r.current == len(r.programs), r.err }

// Progress returns how many programs are done, the current one and its phase.
func (r *Rollout) Progress() (done int, current Program, phase Phase) {
	if r.current == len(r.programs) {
		return r.current, Program{}, ""
	}
	return r.current, r.programs[r.current], r.phase
}

func (r *Rollout) enterPhase(now float64, phase Phase) { r.phase, r.phaseSince = phase, now }

func (r *Rollout) abort(format string, args ...any) {
	r.err = &AbortError{Program: r.programs[r.current], Phase: r.phase, Problem: fmt.Sprintf(format, args...), Done: r.current, Total: len(r.programs)}
}

func (r *Rollout) abortWith(err error) {
	r.err = &AbortError{Program: r.programs[r.current], Phase: r.phase, Problem: err.Error(), Done: r.current, Total: len(r.programs), Err: err}
}

// HandleAnswer records what a program answered to CheckReadiness; answered is false if it did not.
func (r *Rollout) HandleAnswer(now float64, i int, answered, ready, busy bool) {
	r.answers[i] = answer{receivedAt: now, ready: answered && ready, busy: answered && busy}
}

// Drained handles the result of Drain. A program that can't be drained is not restarted.
func (r *Rollout) Drained(_ float64, i int, err error) {
	if r.err == nil && i == r.current && r.phase == Draining && err != nil {
		r.abortWith(err)
	}
}

// Restarted handles the result of Restart.
func (r *Rollout) Restarted(now float64, i int, err error) {
	switch {
	case r.err != nil || i != r.current || r.phase != Restarting:
	case err != nil:
		r.abortWith(err)
	default:
		r.answers[i] = answer{receivedAt: now}
		r.enterPhase(now, Starting)
	}
}

// fresh reports whether an answer is young enough to count.
func (r *Rollout) fresh(now float64, a answer) bool {
	return now <= a.receivedAt+r.timeouts.AnswerMaxAgeS
}

// unreadyProgram names one of the others that is not known to be ready; empty: all are.
func (r *Rollout) unreadyProgram(now float64) string {
	for i, answer := range r.answers {
		if i != r.current && (!answer.ready || !r.fresh(now, answer)) {
			return r.programs[i].Name
		}
	}
	return ""
}

// Tick goes on with the rollout. It is to be called every few hundredths of a second.
func (r *Rollout) Tick(now float64) {
	if done, _ := r.Done(); done {
		return
	}
	for i := range r.programs {
		if now >= r.checkedAt[i]+checkIntervalS {
			r.checkedAt[i] = now
			r.out.CheckReadiness(i)
		}
	}
	switch r.phase {
	case WaitingForOthers:
		r.tickWaiting(now)
	case Draining:
		r.tickDraining(now)
	case Restarting: // ends by Restarted, however long that takes
	case Starting:
		r.tickStarting(now)
	case Stabilizing:
		r.tickStabilizing(now)
	}
}

func (r *Rollout) tickWaiting(now float64) {
	unready := r.unreadyProgram(now)
	timedOut := now-r.phaseSince > r.timeouts.OthersReadyS
	switch {
	case unready != "" && timedOut:
		r.abort("%s is not ready, and no two may be away together", unready)
	case unready != "":
	case !r.programs[r.current].HotRestart:
		r.enterPhase(now, Draining)
		r.out.Drain(r.current)
	case r.answers[r.current].ready && r.fresh(now, r.answers[r.current]): // there is a process to take over from
		r.restart(now)
	case timedOut:
		r.abort("it is not ready, so there is nothing to replace")
	}
}

func (r *Rollout) tickDraining(now float64) {
	answer := r.answers[r.current]
	drained := answer.receivedAt > r.phaseSince && !answer.busy && !answer.ready
	if drained || now-r.phaseSince > r.timeouts.DrainS {
		r.restart(now)
	}
}

func (r *Rollout) restart(now float64) {
	r.enterPhase(now, Restarting)
	r.out.Restart(r.current)
}

func (r *Rollout) tickStarting(now float64) {
	answer := r.answers[r.current]
	switch {
	case answer.ready && answer.receivedAt > r.phaseSince:
		r.enterPhase(now, Stabilizing)
	case now-r.phaseSince > r.timeouts.StartS:
		r.abort("it is not ready %.0f s after its restart", r.timeouts.StartS)
	}
}

func (r *Rollout) tickStabilizing(now float64) {
	answer, unready, waitedS := r.answers[r.current], r.unreadyProgram(now), now-r.phaseSince
	switch {
	case !answer.ready && answer.receivedAt > r.phaseSince:
		r.abort("it was ready and is no longer")
	case unready != "" && waitedS > r.timeouts.StableS+r.timeouts.OthersReadyS:
		r.abort("%s is not ready since", unready)
	case unready == "" && waitedS >= r.timeouts.StableS && r.fresh(now, answer):
		r.current++
		r.enterPhase(now, WaitingForOthers)
	}
}
