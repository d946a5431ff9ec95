package ingress

import (
	"slices"

	"github.com/tidwall/redcon"

	"eiderspread/internal/base/snapshot"
	"eiderspread/policy"
)

const probeTimeoutS = 0.25 // how long a probe's answer is waited for

// attempt is one send of a request to a backend, or with no request a probe.
type attempt struct {
	request   *request
	backend   *backend
	number    int
	sentAt    float64
	expiresAt float64 // when the ingress stops waiting
	timer     *timer  // rings then
	conn      *backendConn
	done      bool

	writeStartedAt  float64          // before its first byte went out; 0: none has
	latestStart     float64          // up to when it may be written
	latestStartRule policy.Violation // that ends it
	reported        bool             // the module has its outcome
	status          policy.Status    // that was reported
	// when the answer's first bytes came, if its value is too large to be kept: from then on nothing ends the attempt
	// but the value
	firstByteAt float64
}

// Send implements policy.Actions.
func (in *Ingress) Send(id, server string, timeoutS float64) {
	r := in.requests[id]
	if r == nil && in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: server, DelayS: timeoutS}) {
		return
	}
	if r == nil {
		in.logFault("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{request: r, backend: in.backends.byID[server], number: len(r.attempts), sentAt: in.now, expiresAt: r.deadline}
	if timeoutS != 0 {
		a.expiresAt = min(a.expiresAt, in.now+timeoutS)
	}
	r.attempts = append(r.attempts, a)
	r.attemptsOut++
	in.counters.attempts++
	if len(r.attempts) > 1 {
		in.counters.retries++
	}
	reason, bad := in.unsentReasonOf(a)
	switch {
	case len(r.attempts) > max(1, in.maxAttempts, r.maxAttempts):
		in.finishUnsent(a, unsentAttemptLimit)
	case bad && timeoutS >= 0:
		in.finishUnsent(a, reason)
	case timeoutS < 0:
		in.finishDeferred(a, policy.Timeout)
	default:
		in.startAttempt(a)
	}
}

// Cancel implements policy.Actions.
func (in *Ingress) Cancel(id string, number int) {
	if in.requests[id] == nil {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderCancel, ID: id, Attempt: number})
	}
	if r := in.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done &&
		r.attempts[number].firstByteAt == 0 {
		in.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) Probe(server string) {
	a := &attempt{backend: in.backends.byID[server], sentAt: in.now, expiresAt: in.now + probeTimeoutS}
	if a.backend == nil {
		in.logFault("probe of a backend that is not listed", "id", server)
		return
	}
	in.startAttempt(a)
}

// unsentReasonOf tells that no byte of the attempt may be written any more, and why.
func (in *Ingress) unsentReasonOf(a *attempt) (reason unsentReason, bad bool) {
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

// finishUnsent gives an attempt back to the module as one of which nothing was written.
func (in *Ingress) finishUnsent(a *attempt, reason unsentReason) {
	in.counters.unsent[reason]++
	in.finishDeferred(a, policy.NotSent)
}

// startAttempt writes the attempt to an idle connection, or has it wait for a new one.
func (in *Ingress) startAttempt(a *attempt) {
	a.timer = in.after(a.expiresAt-in.now, func() { in.expireAttempt(a) })
	if c := in.takeIdleConn(a.backend); c != nil {
		if !in.writeAttempt(c, a) {
			in.poolConn(c, 0)
		}
	} else if !in.dialForAttempt(a) {
		in.logFault("send not made: too many connections", "open", in.backends.openConns)
		in.finishUnsent(a, unsentNoConnection)
	}
}

// appendCommand appends what the attempt sends.
func (in *Ingress) appendCommand(b []byte, a *attempt) []byte {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
	}
	return a.request.appendCommand(b, a.expiresAt-a.writeStartedAt)
}

// expireAttempt stops waiting for an attempt. What was never wholly written has not run.
func (in *Ingress) expireAttempt(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		in.counters.unsent[unsentTooLate]++
		in.finishAttempt(a, attemptResult{status: policy.NotSent}, in.now)
	case a.conn.abandonWrite():
		in.finishAttempt(a, attemptResult{status: policy.ConnectFailed}, in.now)
	default:
		in.finishAttempt(a, attemptResult{status: policy.Timeout}, in.now)
	}
}

// finishDeferred ends an attempt now and reports it once the module's current event is over.
func (in *Ingress) finishDeferred(a *attempt, status policy.Status) {
	a.done = true
	in.detachAttempt(a)
	in.deferred = append(in.deferred, func() { in.reportOutcome(a, attemptResult{status: status}, in.now) })
}

// finishAttempt ends an attempt and reports it.
func (in *Ingress) finishAttempt(a *attempt, res attemptResult, at float64) {
	if a.done {
		return
	}
	a.done = true
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

// reportOutcome answers the client, if this is what it waits for, and tells the module.
func (in *Ingress) reportOutcome(a *attempt, res attemptResult, at float64) {
	if a.firstByteAt > 0 {
		at = a.firstByteAt // how fast the client reads says nothing of the backend
	}
	elapsedS := max(at-a.sentAt, 0)
	a.reported, a.status = true, res.status
	if a.request == nil {
		in.decider.HandleProbeResult(in.now, policy.ProbeResult{Backend: a.backend.ID, Status: res.status, LatencyS: elapsedS, Load: res.load})
		return
	}
	r := a.request
	r.attemptsOut--
	if res.status == policy.OK {
		in.answerRequest(r, res.value)
	}
	in.forgetIfDone(r)
	server := ""
	if a.backend != nil {
		server = a.backend.ID
	}
	in.decider.HandleOutcome(in.now, policy.Outcome{ID: r.ID, Backend: server, Attempt: a.number, Status: res.status,
		Completed: r.completed, LatencyS: elapsedS, Load: res.load})
}
