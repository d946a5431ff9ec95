// Package rollout decides how a fleet is upgraded program by program while it serves: in which order programs are restarted, when the next
// program may be restarted, and when to abort. It does no I/O and reads no clock: times are passed to it as values, in seconds. The caller
// queries, drains and restarts the programs and passes the results to the Rollout.
package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Kind is the kind of a program.
type Kind string

// The kinds, in the order in which a rollout restarts them. Planners come first: while a planner restarts, the other planners lead its cells.
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
	HotRestart bool // a second process takes over from the first, which the rollout does not drain
}

// Timeouts are the times that a rollout waits for, in seconds.
type Timeouts struct {
	OthersReadyS  float64 // longest wait for all other programs to be ready before a program is restarted
	DrainS        float64 // longest wait for a program to drain; it is restarted after that even if it has not drained
	StartS        float64 // longest wait for a restarted program to be ready
	StableS       float64 // how long a restarted program has to stay ready before the next program's turn
	AnswerMaxAgeS float64 // an answer older than this is ignored
}

// DefaultTimeouts suit programs that start within 1 s and drain within 4 s.
var DefaultTimeouts = Timeouts{OthersReadyS: 30, DrainS: 5, StartS: 20, StableS: 2, AnswerMaxAgeS: 1}

// checkIntervalS is the time between two checks of one program, in seconds.
const checkIntervalS = 0.2

// Phase is the stage of a rollout that the current program is in. Messages print it after the program's name.
type Phase string

// The phases, in order. A program with a hot restart skips Draining.
const (
	WaitingForOthers Phase = "waits for the other programs"
	Draining         Phase = "is draining"
	Restarting       Phase = "is restarting"
	Starting         Phase = "is starting"
	Stabilizing      Phase = "is stabilizing"
)

// Output carries out the actions of a Rollout. The argument of its methods is an index into Rollout.Programs. Each call returns at once.
type Output interface {
	CheckReadiness(i int) // the answer is passed to HandleReadiness
	Drain(i int)          // the result is passed to HandleDrained
	Restart(i int)        // the result is passed to HandleRestarted; with a hot restart, Restart starts the new process
}

// AbortError reports why a rollout was aborted.
type AbortError struct {
	Program     Program // the current program
	Phase       Phase   // the phase that the program was in
	Problem     string
	Done, Total int   // numbers of programs
	Err         error // of Drain or Restart; nil if neither failed
}

// Error implements error.
func (e *AbortError) Error() string {
	return fmt.Sprintf("%s %s: %s; %d of %d programs are done; to continue, run with -from %s",
		e.Program.Name, e.Phase, e.Problem, e.Done, e.Total, e.Program.Name)
}

// Unwrap returns the error of Drain or Restart that caused the abort; nil if neither failed.
func (e *AbortError) Unwrap() error { return e.Err }

// Rollout is one rollout. It is not safe for concurrent use.
type Rollout struct {
	programs   []Program // in the order in which they are restarted
	timeouts   Timeouts
	out        Output
	answers    []answer  // by program
	checkedAt  []float64 // by program
	current    int       // index of the current program; len(programs) when all are done
	phase      Phase     // of the current program
	phaseSince float64
	err        error // an *AbortError; nil if the rollout was not aborted
}

// answer is a program's latest answer to CheckReadiness.
type answer struct {
	receivedAt float64
	ready      bool
	busy       bool // the program still has work left
}

// New returns a rollout that begins with the program named from, or with the first program if from is empty. Programs are restarted in the
// order of their kinds, and within a kind in the order of the list.
func New(programs []Program, timeouts Timeouts, from string, now float64, out Output) (*Rollout, error) {
	if len(programs) == 0 {
		return nil, errors.New("no programs are listed")
	}
	names := map[string]bool{}
	for _, program := range programs {
		switch {
		case !slices.Contains(kinds, program.Kind):
			return nil, fmt.Errorf("program %q: unknown kind %q, want planner, forwarder or ingress", program.Name, program.Kind)
		case program.Name == "" || names[program.Name]:
			return nil, fmt.Errorf("program name %q is empty or listed twice", program.Name)
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
			return nil, fmt.Errorf("no program is named %q", from)
		}
	}
	for i := range r.checkedAt {
		r.checkedAt[i] = now - checkIntervalS
	}
	return r, nil
}

// Programs lists the programs in the order in which they are restarted.
func (r *Rollout) Programs() []Program { return slices.Clone(r.programs) }

// Done reports whether the rollout has ended. The error is an *AbortError if the rollout was aborted, else nil.
func (r *Rollout) Done() (bool, error) { return r.err != nil || r.current == len(r.programs), r.err }

// Progress returns the number of programs that are done, the current program and its phase.
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

// HandleReadiness handles the result of CheckReadiness; answered is false if the program did not answer.
func (r *Rollout) HandleReadiness(now float64, i int, answered, ready, busy bool) {
	r.answers[i] = answer{receivedAt: now, ready: answered && ready, busy: answered && busy}
}

// HandleDrained handles the result of Drain. An error aborts the rollout: a program that can't be drained is not restarted.
func (r *Rollout) HandleDrained(_ float64, i int, err error) {
	if r.err == nil && i == r.current && r.phase == Draining && err != nil {
		r.abortWith(err)
	}
}

// HandleRestarted handles the result of Restart. An error aborts the rollout.
func (r *Rollout) HandleRestarted(now float64, i int, err error) {
	switch {
	case r.err != nil || i != r.current || r.phase != Restarting:
	case err != nil:
		r.abortWith(err)
	default:
		r.answers[i] = answer{receivedAt: now}
		r.enterPhase(now, Starting)
	}
}

// fresh reports whether an answer is at most AnswerMaxAgeS old.
func (r *Rollout) fresh(now float64, a answer) bool {
	return now <= a.receivedAt+r.timeouts.AnswerMaxAgeS
}

// unreadyProgram returns the name of a program, other than the current one, that is not known to be ready. It returns "" if there is none.
func (r *Rollout) unreadyProgram(now float64) string {
	for i, answer := range r.answers {
		if i != r.current && (!answer.ready || !r.fresh(now, answer)) {
			return r.programs[i].Name
		}
	}
	return ""
}

// Tick advances the rollout. The caller calls it every few hundredths of a second.
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
	case Restarting: // HandleRestarted ends this phase; it has no timeout
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
		r.abort("%s is not ready, and only one program may be unavailable at a time", unready)
	case unready != "":
	case !r.programs[r.current].HotRestart:
		r.enterPhase(now, Draining)
		r.out.Drain(r.current)
	case r.answers[r.current].ready && r.fresh(now, r.answers[r.current]): // there is a process to take over from
		r.restart(now)
	case timedOut:
		r.abort("it is not ready, so a hot restart has no process to take over from")
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
		r.abort("it was ready after its restart and is no longer")
	case unready != "" && waitedS > r.timeouts.StableS+r.timeouts.OthersReadyS:
		r.abort("%s is still not ready", unready)
	case unready == "" && waitedS >= r.timeouts.StableS && r.fresh(now, answer):
		r.current++
		r.enterPhase(now, WaitingForOthers)
	}
}
