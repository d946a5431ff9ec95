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
	SendToDraining       // the server drains or is gone
	SendAfterDeadline    // the client's time, or the attempt's, is over
	SendAfterDisconnect  // the client has closed its connection
	SendWhileInFlight    // another attempt of the request is out
	SendOverAttemptLimit // as many attempts were made as are allowed

	// Repeating.
	RetryNonIdempotent   // an earlier attempt of an unsafe request may have run
	RetryAfterKeyExpiry  // keyed, an earlier attempt may have run, and its key may be forgotten
	RetryOutsideKeyScope // keyed, an earlier attempt may have run where this one's keys are unknown

	// Starting.
	SlowStartBudgetExpired // the server is cold, and its budget was looked at too long ago

	// Closing.
	CloseWithResponsePending // a client's connection is closed with an answer owed
	OpenAfterDrain           // a client's connection is held past the time for a drain

	ViolationCount int = iota
)

var violationNames = [ViolationCount]string{
	"none", "send_to_drained", "send_after_deadline", "send_for_gone", "send_while_out", "send_beyond_limit",
	"repeat_unsafe", "repeat_late", "repeat_out_of_group", "start_stale", "close_owed", "hold_after_drain",
}

func (v Violation) String() string { return violationNames[v] }

const (
	maxStallS           = 0.15 // a process may stand still for so long between reading its clock and writing
	slowStartBudgetTTLS = 0.1  // a cold server's budget holds for so long after it was looked at
	neverStart          = 0    // last moment of what may not be written at all
)

// PriorAttempt is an attempt of a request that was begun before another one.
type PriorAttempt struct {
	Backend    Backend
	WrittenAt  float64 // before its first byte went out, in Unix seconds
	InFlight   bool    // it has no outcome yet
	MayHaveRun bool    // nothing proves that it did not
}

// Attempt is one that is about to be written.
type Attempt struct {
	Class          Class
	Backend        Backend
	DecidedAt      float64 // by the module
	TimeoutAt      float64 // when its answer is not waited for any more
	Prior          []PriorAttempt
	HedgingAllowed bool // two may be out at once
	MaxAttempts    int  // attempts allowed
	SlowStartS     float64
}

// LatestStart is up to when the attempt may be written, in Unix seconds, with the time for which a process
// may stand still taken off where a rule counts to that moment; and the rule that ends it. What may not be
// written at all has the moment 0.
func (a *Attempt) LatestStart() (at float64, rule Violation) {
	if a.Backend.State != Up {
		return neverStart, SendToDraining
	}
	if len(a.Prior) >= max(1, a.MaxAttempts) {
		return neverStart, SendOverAttemptLimit
	}
	at, rule = a.TimeoutAt, SendAfterDeadline
	for _, prior := range a.Prior {
		if prior.InFlight && !a.HedgingAllowed {
			return neverStart, SendWhileInFlight
		}
		if !prior.MayHaveRun {
			continue
		}
		switch a.Class.Idempotency {
		case NonIdempotent:
			return neverStart, RetryNonIdempotent
		case KeyedIdempotent:
			if !a.Class.KeyScope.Same(prior.Backend, a.Backend) {
				return neverStart, RetryOutsideKeyScope
			}
			if last := prior.WrittenAt + a.Class.KeyTTLS - maxStallS; last < at {
				at, rule = last, RetryAfterKeyExpiry
			}
		}
	}
	if a.inSlowStart() {
		if last := a.DecidedAt + slowStartBudgetTTLS; last < at {
			at, rule = last, SlowStartBudgetExpired
		}
	}
	return at, rule
}

// inSlowStart tells that the server has started so lately that work comes to it by a budget.
func (a *Attempt) inSlowStart() bool {
	return a.Backend.StartedAt > 0 && a.DecidedAt-a.Backend.StartedAt < a.SlowStartS
}

// ViolationAt tells which rule an act broke that was over at a time, given its last moment: the time for which
// the process may have stood still is the rule's own there.
func ViolationAt(at, latestStart float64, rule Violation) Violation {
	grace := maxStallS
	if rule == SendAfterDeadline || latestStart == neverStart {
		grace = 0
	}
	if math.IsInf(latestStart, 1) || at <= latestStart+grace {
		return NoViolation
	}
	return rule
}
