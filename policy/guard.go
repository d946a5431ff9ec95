package policy

import "math"

// What must hold at the moment in which an attempt is written to a server. The module decides earlier:
// between its decision and the write lie the queue of the loop, a dial and the scheduler. Whoever writes
// asks here again, directly before the first byte and before the last.

// Violation is a rule that an act would break, or has broken.
type Violation uint8

// The violations, by act.
const (
	NoViolation Violation = iota

	// Sending.
	SendToDrained     // the server drains or is gone
	SendAfterDeadline // the client's time, or the attempt's, is over
	SendForGone       // the client has closed its connection
	SendWhileOut      // another attempt of the request is out
	SendBeyondLimit   // as many attempts were made as are allowed

	// Repeating.
	RepeatUnsafe     // an earlier attempt of an unsafe request may have run
	RepeatLate       // keyed, an earlier attempt may have run, and its key may be forgotten
	RepeatOutOfGroup // keyed, an earlier attempt may have run where this one's keys are unknown

	// Starting.
	StartStale // the server is cold, and its budget was looked at too long ago

	// Closing.
	CloseOwed      // a client's connection is closed with an answer owed
	HoldAfterDrain // a client's connection is held past the time for a drain

	Violations int = iota
)

var violationNames = [Violations]string{
	"none", "send_to_drained", "send_after_deadline", "send_for_gone", "send_while_out", "send_beyond_limit",
	"repeat_unsafe", "repeat_late", "repeat_out_of_group", "start_stale", "close_owed", "hold_after_drain",
}

func (v Violation) String() string { return violationNames[v] }

const (
	heldUpS     = 0.15 // a process may stand still for so long between reading its clock and writing
	coldFreshS  = 0.1  // a cold server's budget holds for so long after it was looked at
	neverMoment = 0    // last moment of what may not be written at all
)

// Earlier is an attempt of a request that was begun before another one.
type Earlier struct {
	Server     Server
	WrittenAt  float64 // before its first byte went out, in Unix seconds
	Out        bool    // it has no outcome yet
	MayHaveRun bool    // nothing proves that it did not
}

// Attempt is one that is about to be written.
type Attempt struct {
	Class     Class
	Server    Server
	DecidedAt float64 // by the module
	UntilS    float64 // when its answer is not waited for any more
	Earlier   []Earlier
	Parallel  bool // two may be out at once
	Limit     int  // attempts allowed
	ColdS     float64
}

// LastMoment is up to when the attempt may be written, in Unix seconds, with the time for which a process
// may stand still taken off where a rule counts to that moment; and the rule that ends it. What may not be
// written at all has the moment 0.
func (a *Attempt) LastMoment() (at float64, rule Violation) {
	if a.Server.State != Up {
		return neverMoment, SendToDrained
	}
	if len(a.Earlier) >= max(1, a.Limit) {
		return neverMoment, SendBeyondLimit
	}
	at, rule = a.UntilS, SendAfterDeadline
	for _, e := range a.Earlier {
		if e.Out && !a.Parallel {
			return neverMoment, SendWhileOut
		}
		if !e.MayHaveRun {
			continue
		}
		switch a.Class.Effect {
		case Unsafe:
			return neverMoment, RepeatUnsafe
		case Keyed:
			if !a.Class.KeyScope.Same(e.Server, a.Server) {
				return neverMoment, RepeatOutOfGroup
			}
			if last := e.WrittenAt + a.Class.KeyTTLS - heldUpS; last < at {
				at, rule = last, RepeatLate
			}
		}
	}
	if a.cold() {
		if last := a.DecidedAt + coldFreshS; last < at {
			at, rule = last, StartStale
		}
	}
	return at, rule
}

// cold tells that the server has started so lately that work comes to it by a budget.
func (a *Attempt) cold() bool {
	return a.Server.SinceS > 0 && a.DecidedAt-a.Server.SinceS < a.ColdS
}

// Passed tells which rule an act broke that was over at a time, given its last moment: the time for which
// the process may have stood still is the rule's own there.
func Passed(at, lastMoment float64, rule Violation) Violation {
	grace := heldUpS
	if rule == SendAfterDeadline || lastMoment == neverMoment {
		grace = 0
	}
	if math.IsInf(lastMoment, 1) || at <= lastMoment+grace {
		return NoViolation
	}
	return rule
}
