package ingress

import (
	"math"
	"slices"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// probeTimeoutS is the time, in seconds, in which a backend must answer a probe.
const probeTimeoutS = 0.25

// attemptState is the progress of an attempt from its start to the report of its outcome.
type attemptState uint8

const (
	attemptInFlight attemptState = iota // it waits for a connection, is being written, or waits for its reply
	attemptEnded                        // its outcome is known, and reported once the decider's current event method has returned
	attemptReported                     // its outcome has been reported to the decider
)

func (s attemptState) String() string { return [...]string{"out", "ended", "reported"}[s] }

// attempt is one send of a request to a backend or, without a request, a probe. The event loop owns it.
type attempt struct {
	request *request // nil for a probe
	backend *backend // nil if the backend was no longer on the endpoint list
	number  int      // index among the request's attempts
	state   attemptState
	status  policy.Status // as reported; valid in attemptReported

	sentAt          float64          // when the decider asked for it
	expiresAt       float64          // when it times out
	timer           *timer           // runs expireAttempt at expiresAt
	writeStartedAt  float64          // directly before its first byte was written; 0: no byte has been written
	latestStart     float64          // until when its last byte may be written
	latestStartRule policy.Violation // the rule that forbids writing it later
	answeringFrom   float64          // when its backend began to write a value, if it was writing it at expiresAt: the attempt then has until the request's deadline; else 0
	firstByteAt     float64          // when a streamed reply started, else 0; from then on only the end of the value ends the attempt

	conn *backendConn // nil while it waits for a connection and after it has released it
}

// mayHaveRun reports whether the backend may have run the attempt: its write has started, and no reported outcome proves that it did
// not run.
func (a *attempt) mayHaveRun() bool {
	if a.writeStartedAt == 0 {
		return false
	}
	return a.state != attemptReported || !a.status.NeverRan()
}

// mustRunOnce reports whether what the attempt sends must not be sent again, to any backend, once it may have run.
func (a *attempt) mustRunOnce() bool {
	return a.request != nil && !policy.MayReject(a.request.Spec, true)
}

// Send implements policy.Actions. With a timeoutS above 0 the attempt ends after that many seconds, or at the request's deadline if
// that is earlier. With 0 it ends at the deadline. Below 0 nothing is written and the outcome is Timeout.
func (in *Ingress) Send(id, backendID string, timeoutS float64) {
	r := in.requests[id]
	if r == nil && in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: backendID, DelayS: timeoutS}) {
		return
	}
	if r == nil {
		in.logFault("attempt not sent: no open request with this id", "id", id)
		return
	}
	a := &attempt{request: r, backend: in.backends.byID[backendID], number: len(r.attempts), sentAt: in.now, expiresAt: r.DeadlineAt}
	if timeoutS != 0 {
		a.expiresAt = min(a.expiresAt, in.now+timeoutS)
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	in.counters.attempts++
	if len(r.attempts) > 1 {
		in.counters.retries++
	}
	reason, unsendable := in.unsendable(a)
	switch {
	case len(r.attempts) > max(1, in.maxAttempts, r.maxAttempts):
		in.finishUnsent(a, unsentAttemptLimit)
	case unsendable && timeoutS >= 0:
		in.finishUnsent(a, reason)
	case timeoutS < 0:
		in.finishDeferred(a, policy.Timeout)
	default:
		in.startAttempt(a)
	}
}

// Cancel implements policy.Actions. It has no effect on an attempt whose backend is writing a value.
func (in *Ingress) Cancel(id string, number int) {
	r := in.requests[id]
	if r == nil {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderCancel, ID: id, Attempt: number})
		return
	}
	if number < 0 || number >= len(r.attempts) {
		return
	}
	if a := r.attempts[number]; a.state == attemptInFlight && !a.valueArriving() {
		in.recordAttemptEnd(a, endCancelled)
		in.finishDeferred(a, policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) Probe(backendID string) {
	a := &attempt{backend: in.backends.byID[backendID], sentAt: in.now, expiresAt: in.now + probeTimeoutS}
	if a.backend == nil {
		in.logFault("probe not sent: the backend is not on the endpoint list", "id", backendID)
		return
	}
	in.startAttempt(a)
}

// unsendable reports whether the attempt must not be written any more, and why.
func (in *Ingress) unsendable(a *attempt) (reason unsentReason, unsendable bool) {
	switch {
	case a.backend == nil, a.backend.state != policy.Up:
		return unsentBackendState, true
	case a.request != nil && a.request.completed:
		return unsentRequestCompleted, true
	case in.now >= a.expiresAt:
		return unsentTooLate, true
	case a.request != nil && in.waitedAndDisconnected(a.request):
		return unsentClientDisconnected, true
	}
	return 0, false
}

// startAttempt writes the attempt to an idle connection. Without one, it dials a new connection that the attempt waits for.
func (in *Ingress) startAttempt(a *attempt) {
	a.timer = in.after(a.expiresAt-in.now, func() { in.expireAttempt(a) })
	if c := in.takeIdleConn(a.backend, a.mustRunOnce()); c != nil {
		if !in.writeAttempt(c, a) {
			in.poolConn(c)
		}
	} else if !in.dialForAttempt(a) {
		in.logFault("attempt not sent: too many connections to backends", "open", in.backends.openConns)
		in.finishUnsent(a, unsentNoConnection)
	}
}

// appendCommand appends the command that the attempt sends: a probe or the request's call.
func (in *Ingress) appendCommand(b []byte, a *attempt) []byte {
	if a.request == nil {
		return callprotocol.AppendProbe(b)
	}
	return a.request.AppendCommand(b, a.expiresAt-a.writeStartedAt)
}

// valueBegun reports whether the attempt's backend has begun to write a value. The request has run then, so that ending the attempt
// would save no work and lose the answer.
func (a *attempt) valueBegun() bool {
	return a.firstByteAt > 0 || a.conn != nil && a.conn.valueBegunAt.Load() > 0
}

// valueArriving reports whether the attempt's backend has begun to write a value and not ended the reply.
func (a *attempt) valueArriving() bool {
	return a.firstByteAt > 0 || a.valueBegun() && a.conn.replies.awaiting.Load()
}

// expireAttempt ends an attempt that has timed out. If its last byte was never written, the outcome says that it did not run. If its backend
// has begun to write a value, the attempt goes on until the request's deadline.
func (in *Ingress) expireAttempt(a *attempt) {
	switch {
	case a.state != attemptInFlight:
	case a.request != nil && a.answeringFrom == 0 && a.valueBegun() && in.now < a.request.DeadlineAt:
		a.answeringFrom = math.Float64frombits(a.conn.valueBegunAt.Load())
		a.timer = in.after(a.request.DeadlineAt-in.now, func() { in.expireAttempt(a) })
	case a.conn == nil:
		in.counters.unsent[unsentTooLate]++
		in.recordAttemptEnd(a, endUnwritten)
		in.finishAttempt(a, callprotocol.Result{Status: policy.NotSent}, in.now)
	case a.conn.abandonWrite():
		in.recordAttemptEnd(a, endUnwritten)
		in.finishAttempt(a, callprotocol.Result{Status: policy.ConnectFailed}, in.now)
	default:
		in.recordAttemptEnd(a, a.timeoutEnd())
		in.finishAttempt(a, callprotocol.Result{Status: policy.Timeout}, in.now)
	}
}

// finishUnsent ends an attempt of which no byte was written with the outcome NotSent, and counts the reason.
func (in *Ingress) finishUnsent(a *attempt, reason unsentReason) {
	in.counters.unsent[reason]++
	in.finishDeferred(a, policy.NotSent)
}

// finishDeferred ends an attempt now and reports it once the decider's current event method has returned.
func (in *Ingress) finishDeferred(a *attempt, status policy.Status) {
	a.state = max(a.state, attemptEnded)
	in.detachAttempt(a)
	in.deferred = append(in.deferred, func() { in.reportOutcome(a, callprotocol.Result{Status: status}, in.now) })
}

// finishAttempt ends an attempt that is in flight and reports its outcome. at is when the last byte of the reply was received, or when the
// attempt failed. An attempt that has already ended is left unchanged.
func (in *Ingress) finishAttempt(a *attempt, res callprotocol.Result, at float64) {
	if a.state != attemptInFlight {
		return
	}
	a.state = attemptEnded
	in.detachAttempt(a)
	in.reportOutcome(a, res, at)
}

// detachAttempt releases what an attempt holds: its timer, its place among the attempts that wait for a dial, and its connection, which it
// closes because a late reply on it could be taken for the reply to another command.
func (in *Ingress) detachAttempt(a *attempt) {
	in.stopTimer(a.timer)
	if a.conn != nil {
		in.closeBackendConn(a.conn)
		a.conn = nil
	} else if a.backend != nil {
		a.backend.waitingAttempts = slices.DeleteFunc(a.backend.waitingAttempts, func(w *attempt) bool { return w == a })
	}
}

// reportOutcome reports an attempt's outcome to the decider. A value first becomes the answer of the request, unless it is already
// completed.
func (in *Ingress) reportOutcome(a *attempt, res callprotocol.Result, at float64) {
	switch { // the latency is at most the timeout that the decider has chosen
	case a.answeringFrom > 0 && res.Status == policy.OK:
		at = a.answeringFrom
	case a.answeringFrom > 0:
		at = a.expiresAt
	case a.firstByteAt > 0:
		at = a.firstByteAt // the rest of the time depends on how fast the client reads, not on the backend
	}
	latencyS := max(at-a.sentAt, 0)
	a.state, a.status = attemptReported, res.Status
	if a.request == nil {
		in.decider.HandleProbeResult(in.now, policy.ProbeResult{Backend: a.backend.ID, Status: res.Status, LatencyS: latencyS, Load: res.Load})
		return
	}
	r := a.request
	r.attemptsInFlight--
	if res.Status == policy.OK {
		in.answerRequest(r, res.Value)
	}
	in.forgetIfDone(r)
	backendID := ""
	if a.backend != nil {
		backendID = a.backend.ID
	}
	in.decider.HandleOutcome(in.now, policy.Outcome{ID: r.ID, Backend: backendID, Attempt: a.number, Status: res.Status,
		Completed: r.completed, LatencyS: latencyS, Load: res.Load})
}
