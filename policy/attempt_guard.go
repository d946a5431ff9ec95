package policy

import "math"

// The check directly before an attempt is written. The Gateway decides earlier: between its decision and the
// write lie the event queue, a connect and the scheduler. The writer checks again before the first byte and
// before the last.

const (
	// maxStallS is for how many seconds a process may stand still between reading its clock and writing.
	// attemptBlocked and LatestStart take it off an idempotency key's time: they check one attempt against the
	// earlier ones, when it is decided and when it is written. The forwarder decides before a planner does, and
	// takes off the class's latency objective for that, and a margin of its own.
	maxStallS           = 0.15
	slowStartBudgetTTLS = 0.1 // seconds for which the budget of a backend in slow start holds
	neverStart          = 0   // latest start of an attempt that must not be written at all
)

// Violation is a rule that an action would break, or has broken.
type Violation uint8

// The violations, by action.
const (
	NoViolation Violation = iota

	// Sending an attempt.
	SendToDraining       // the backend is draining or removed
	SendAfterDeadline    // the client's deadline, or the attempt's timeout, has passed
	SendAfterDisconnect  // the client has disconnected
	SendWhileInFlight    // another attempt of the request is in flight
	SendOverAttemptLimit // the request has had all attempts that are allowed

	// Retrying.
	RetryNonIdempotent   // an earlier attempt of a request that isn't idempotent may have run
	RetryAfterKeyExpiry  // an earlier attempt may have run, and its idempotency key may be forgotten
	RetryOutsideKeyScope // an earlier attempt may have run where this one's key is unknown

	// Starting.
	SlowStartBudgetExpired // the backend is in slow start, and its budget was checked too long ago

	// Closing.
	CloseWithResponsePending // a client's connection is closed before a response
	OpenAfterDrain           // a client's connection is open after the time for a drain

	// ViolationCount is how many values there are.
	ViolationCount int = iota
)

// violationNames are the names that status reports use.
var violationNames = [ViolationCount]string{
	"none", "send_to_drained", "send_after_deadline", "send_for_gone", "send_while_out", "send_beyond_limit",
	"repeat_unsafe", "repeat_late", "repeat_out_of_group", "start_stale", "close_owed", "hold_after_drain",
}

// String is the violation's name in status reports.
func (v Violation) String() string { return violationNames[v] }

// PriorAttempt is an earlier attempt of the same request.
type PriorAttempt struct {
	Backend    Backend
	WrittenAt  float64 // before its first byte was written, in Unix seconds
	InFlight   bool    // it has no outcome yet
	MayHaveRun bool    // nothing proves that it did not run
}

// Attempt is an attempt that is about to be written. Times are in Unix seconds.
type Attempt struct {
	Class          Class
	Backend        Backend
	DecidedAt      float64 // by the Gateway
	TimeoutAt      float64 // its answer isn't waited for any longer
	Prior          []PriorAttempt
	HedgingAllowed bool    // two attempts may be in flight at once
	MaxAttempts    int     // of the request; below 1 stands for 1
	SlowStartS     float64 // seconds
}

// LatestStart is until when the attempt may be written, in Unix seconds, and the rule that forbids it later.
// Where that rule is of the moment of the write, the time for which a process may stand still is taken off.
// An attempt that must not be written at all has the latest start 0.
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

// inSlowStart reports whether the backend has started so recently that work comes to it by a budget. That is
// not always where endpoints.Endpoint.WarmFraction is below 1, by which the budget itself goes: with a
// SlowStartMinFraction of 1 that is 1 from the start, while the start's time alone counts here.
func (a *Attempt) inSlowStart() bool {
	return a.Backend.StartedAt > 0 && a.DecidedAt-a.Backend.StartedAt < a.SlowStartS
}

// ViolationAt is the rule that a write broke that ended at a time, given its latest start and the rule behind
// that; NoViolation if none. The time for which the process may have stood still is allowed, but for a
// deadline.
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
