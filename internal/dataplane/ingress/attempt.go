package ingress

import (
	"slices"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// probeTimeoutS is how many seconds a health check's answer is waited for.
const probeTimeoutS = 0.25

// attemptState is how far an attempt is.
type attemptState uint8

const (
	attemptOut      attemptState = iota // it waits for a connection, is being written, or its answer is waited for
	attemptEnded                        // its outcome is known; it is reported once the decider's current event method has returned
	attemptReported                     // the decider has its outcome
)

func (s attemptState) String() string { return [...]string{"out", "ended", "reported"}[s] }

// attempt is one send of a request to a backend, or with no request a health check. Loop only.
type attempt struct {
	request *request // nil: a health check
	backend *backend // nil: it was not listed any more
	number  int      // within the request, from 0 on
	state   attemptState
	status  policy.Status // that was reported

	sentAt          float64          // when the decider asked for it
	expiresAt       float64          // when its answer is not waited for any longer
	timer           *timer           // rings then
	writeStartedAt  float64          // right before its first byte went out; 0: none has
	latestStart     float64          // up to when its last byte may go out
	latestStartRule policy.Violation // that ends it
	firstByteAt     float64          // when its answer began, if the value is streamed; nothing but the value ends the attempt from then on

	conn *backendConn // nil: it waits for one, or has given it up
}

// mayHaveRun reports whether nothing proves that the attempt did not run.
func (a *attempt) mayHaveRun() bool {
	if a.writeStartedAt == 0 {
		return false
	}
	return a.state != attemptReported || !a.status.NeverRan()
}

// Send implements policy.Actions. A timeoutS above 0 ends the attempt after that many seconds, at the request's deadline at the latest; with 0
// the deadline alone ends it; below 0 nothing is written and the outcome is Timeout.
func (in *Ingress) Send(id, backendID string, timeoutS float64) {
	r := in.requests[id]
	if r == nil && in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: backendID, DelayS: timeoutS}) {
		return
	}
	if r == nil {
		in.logFault("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{request: r, backend: in.backends.byID[backendID], number: len(r.attempts), sentAt: in.now, expiresAt: r.DeadlineAt}
	if timeoutS != 0 {
		a.expiresAt = min(a.expiresAt, in.now+timeoutS)
	}
	r.attempts = append(r.attempts, a)
	r.attemptsOut++
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

// Cancel implements policy.Actions.
func (in *Ingress) Cancel(id string, number int) {
	r := in.requests[id]
	if r == nil {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderCancel, ID: id, Attempt: number})
		return
	}
	if number < 0 || number >= len(r.attempts) {
		return
	}
	if a := r.attempts[number]; a.state == attemptOut && a.firstByteAt == 0 {
		in.finishDeferred(a, policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) Probe(backendID string) {
	a := &attempt{backend: in.backends.byID[backendID], sentAt: in.now, expiresAt: in.now + probeTimeoutS}
	if a.backend == nil {
		in.logFault("health check of a backend that is not listed", "id", backendID)
		return
	}
	in.startAttempt(a)
}

// unsendable reports whether no byte of the attempt may be written any more, and why.
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

// startAttempt writes the attempt to an idle connection, or has it wait for a new one.
func (in *Ingress) startAttempt(a *attempt) {
	a.timer = in.after(a.expiresAt-in.now, func() { in.expireAttempt(a) })
	if c := in.takeIdleConn(a.backend); c != nil {
		if !in.writeAttempt(c, a) {
			in.poolConn(c, 0)
		}
	} else if !in.dialForAttempt(a) {
		in.logFault("attempt not sent: too many connections to backends", "open", in.backends.openConns)
		in.finishUnsent(a, unsentNoConnection)
	}
}

// appendCommand appends what the attempt sends.
func (in *Ingress) appendCommand(b []byte, a *attempt) []byte {
	if a.request == nil {
		return callprotocol.AppendProbe(b)
	}
	return a.request.AppendCommand(b, a.expiresAt-a.writeStartedAt)
}

// expireAttempt stops waiting for an attempt. One whose last byte never went out has not run.
func (in *Ingress) expireAttempt(a *attempt) {
	switch {
	case a.state != attemptOut:
	case a.conn == nil:
		in.counters.unsent[unsentTooLate]++
		in.finishAttempt(a, callprotocol.Result{Status: policy.NotSent}, in.now)
	case a.conn.abandonWrite():
		in.finishAttempt(a, callprotocol.Result{Status: policy.ConnectFailed}, in.now)
	default:
		in.finishAttempt(a, callprotocol.Result{Status: policy.Timeout}, in.now)
	}
}

// finishUnsent gives an attempt back to the decider as one of which nothing was written.
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

// finishAttempt ends an attempt, unless it has ended, and reports it. at is when its last byte came.
func (in *Ingress) finishAttempt(a *attempt, res callprotocol.Result, at float64) {
	if a.state != attemptOut {
		return
	}
	a.state = attemptEnded
	in.detachAttempt(a)
	in.reportOutcome(a, res, at)
}

// detachAttempt gives up what an attempt still holds: giving up a connection in use means closing it.
func (in *Ingress) detachAttempt(a *attempt) {
	in.stopTimer(a.timer)
	if a.conn != nil {
		in.closeBackendConn(a.conn)
		a.conn = nil
	} else if a.backend != nil {
		a.backend.waitingAttempts = slices.DeleteFunc(a.backend.waitingAttempts, func(w *attempt) bool { return w == a })
	}
}

// reportOutcome answers the client, if this is what it waits for, and notifies the decider.
func (in *Ingress) reportOutcome(a *attempt, res callprotocol.Result, at float64) {
	if a.firstByteAt > 0 {
		at = a.firstByteAt // how fast the client reads says nothing of the backend
	}
	latencyS := max(at-a.sentAt, 0)
	a.state, a.status = attemptReported, res.Status
	if a.request == nil {
		in.decider.HandleProbeResult(in.now, policy.ProbeResult{Backend: a.backend.ID, Status: res.Status, LatencyS: latencyS, Load: res.Load})
		return
	}
	r := a.request
	r.attemptsOut--
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
