package policy

import "math"

// The attempt guard is the check directly before an attempt is written. The Gateway decides earlier: the
// event queue, a connect and the scheduler delay the write. The process that writes the attempt therefore
// checks again, before the first byte and before the last.

const (
	// maxStallS is how many seconds a process may stall between reading its clock and writing. attemptBlocked
	// and LatestStart subtract it from the TTL of an idempotency key: they check an attempt against the earlier
	// ones, the first when the attempt is decided, the second when it is written. The forwarder checks before a
	// planner decides, and therefore subtracts the class's latency objective and a margin of its own.
	maxStallS           = 0.15
	slowStartBudgetTTLS = 0.1 // seconds for which a slow-start budget stays valid after the decision
	neverStart          = 0   // the latest start of an attempt that must never be written
)

// Violation is a rule that an action would break or has broken.
type Violation uint8

// The violations, by action.
const (
	NoViolation Violation = iota

	// Sending an attempt.
	SendToDraining       // the backend is draining or removed
	SendAfterDeadline    // the client's deadline, or the attempt's timeout, has passed
	SendAfterDisconnect  // the client has disconnected
	SendWhileInFlight    // another attempt of the request is in flight
	SendOverAttemptLimit // the request has had all of its allowed attempts

	// Retrying.
	RetryNonIdempotent   // an earlier attempt of a request that isn't idempotent may have run
	RetryAfterKeyExpiry  // an earlier attempt may have run, and its idempotency key may have expired
	RetryOutsideKeyScope // an earlier attempt may have run outside this backend's key scope

	// Sending to a backend in slow start.
	SlowStartBudgetExpired // the backend's slow-start budget was checked too long ago

	// Closing.
	CloseWithResponsePending // a client connection is closed before a pending response is written
	OpenAfterDrain           // a client connection is still open at the end of a drain

	// ViolationCount is the number of values.
	ViolationCount int = iota
)

// violationNames are the names in status reports.
var violationNames = [ViolationCount]string{
	"none", "send_to_drained", "send_after_deadline", "send_for_gone", "send_while_out", "send_beyond_limit",
	"repeat_unsafe", "repeat_late", "repeat_out_of_group", "start_stale", "close_owed", "hold_after_drain",
}

// String returns the violation's name in status reports.
func (v Violation) String() string { return violationNames[v] }

// PriorAttempt is an earlier attempt of the same request.
type PriorAttempt struct {
	Backend    Backend
	WrittenAt  float64 // time directly before its first byte was written, in Unix seconds
	InFlight   bool    // the attempt has no outcome yet
	MayHaveRun bool    // nothing proves that the attempt did not run
}

// Attempt is an attempt that is about to be written. Times are in Unix seconds.
type Attempt struct {
	Class          Class
	Backend        Backend
	DecidedAt      float64 // time of the Gateway's decision
	TimeoutAt      float64 // time at which the attempt times out
	Prior          []PriorAttempt
	HedgingAllowed bool    // two attempts of the request may be in flight at once
	MaxAttempts    int     // of the request; below 1 means 1
	SlowStartS     float64 // duration of slow start, in seconds
}

// LatestStart returns the latest time at which the attempt may be written, in Unix seconds, and the rule that
// forbids a later write. If the attempt must not be written at all, the time is 0. For the expiry of an
// idempotency key the time is maxStallS early, because the process may stall before it writes.
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

// inSlowStart reports whether the backend's process started less than SlowStartS seconds before the decision.
// The slow-start budget itself depends on endpoints.Endpoint.WarmFraction, and the two differ if
// SlowStartMinFraction is 1: the warm fraction is then 1 from the start, but only the start time counts here.
func (a *Attempt) inSlowStart() bool {
	return a.Backend.StartedAt > 0 && a.DecidedAt-a.Backend.StartedAt < a.SlowStartS
}

// ViolationAt returns the rule that a write broke if it ended at the given time, or NoViolation. latestStart
// and rule are the results of LatestStart. A write may be up to maxStallS late, as the process may have
// stalled, but not after a deadline, and not if it was never allowed.
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
