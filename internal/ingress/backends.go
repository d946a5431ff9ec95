package ingress

import (
	"slices"

	"github.com/tidwall/redcon"

	"eiderspread/internal/kept"
	"eiderspread/policy"
)

const probeS = 0.25 // how long a probe's answer is waited for

// attempt is one send of a request to a backend, or with no request a probe.
type attempt struct {
	req    *request
	be     *backend
	number int
	sentAt float64
	until  float64 // when the ingress stops waiting
	timer  *timer  // rings then
	conn   *backConn
	done   bool

	writtenAt  float64          // before its first byte went out; 0: none has
	lastMoment float64          // up to when it may be written
	lastRule   policy.Violation // that ends it
	reported   bool             // the module has its outcome
	status     policy.Status    // that was reported
	// when the answer's first bytes came, if its value is too large to be kept: from then on nothing ends the attempt
	// but the value
	firstAt float64
}

// Send implements policy.Actions.
func (in *Ingress) Send(id, server string, timeoutS float64) {
	r := in.requests[id]
	if r == nil && in.order(kept.Order{Kind: kept.Send, ID: id, Server: server, Wait: timeoutS}) {
		return
	}
	if r == nil {
		in.note("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{req: r, be: in.backends.byID[server], number: len(r.attempts), sentAt: in.now, until: r.deadline}
	if timeoutS != 0 {
		a.until = min(a.until, in.now+timeoutS)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	in.counts.attempts++
	if len(r.attempts) > 1 {
		in.counts.retries++
	}
	reason, bad := in.unsendable(a)
	switch {
	case len(r.attempts) > max(1, in.maxAttempts, r.most):
		in.notSent(a, unsentAttemptLimit)
	case bad && timeoutS >= 0:
		in.notSent(a, reason)
	case timeoutS < 0:
		in.later(a, policy.Timeout)
	default:
		in.start(a)
	}
}

// Cancel implements policy.Actions.
func (in *Ingress) Cancel(id string, number int) {
	if in.requests[id] == nil {
		in.order(kept.Order{Kind: kept.Cancel, ID: id, Number: number})
	}
	if r := in.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done &&
		r.attempts[number].firstAt == 0 {
		in.later(r.attempts[number], policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) Probe(server string) {
	a := &attempt{be: in.backends.byID[server], sentAt: in.now, until: in.now + probeS}
	if a.be == nil {
		in.note("probe of a backend that is not listed", "id", server)
		return
	}
	in.start(a)
}

// unsendable tells that no byte of the attempt may be written any more, and why.
func (in *Ingress) unsendable(a *attempt) (reason unsentReason, bad bool) {
	switch {
	case a.be == nil, a.be.state != policy.Up:
		return unsentBackendState, true
	case a.req != nil && a.req.over:
		return unsentRequestOver, true
	case in.now >= a.until:
		return unsentTooLate, true
	case a.req != nil && in.left(a.req):
		return unsentClientGone, true
	}
	return 0, false
}

// notSent gives an attempt back to the module as one of which nothing was written.
func (in *Ingress) notSent(a *attempt, reason unsentReason) {
	in.counts.unsent[reason]++
	in.later(a, policy.Moot)
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (in *Ingress) start(a *attempt) {
	a.timer = in.after(a.until-in.now, func() { in.expire(a) })
	if c := in.takeIdle(a.be); c != nil {
		if !in.write(c, a) {
			in.release(c, 0)
		}
	} else if !in.dialFor(a) {
		in.note("send not made: too many connections", "open", in.backends.open)
		in.notSent(a, unsentNoConnection)
	}
}

// command appends what the attempt sends.
func (in *Ingress) command(b []byte, a *attempt) []byte {
	if a.req == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
	}
	return a.req.appendTo(b, a.until-a.writtenAt)
}

// expire stops waiting for an attempt. What was never wholly written has not run.
func (in *Ingress) expire(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		in.counts.unsent[unsentTooLate]++
		in.finish(a, result{status: policy.Moot}, in.now)
	case a.conn.neverWhole():
		in.finish(a, result{status: policy.ConnectFailed}, in.now)
	default:
		in.finish(a, result{status: policy.Timeout}, in.now)
	}
}

// later ends an attempt now and reports it once the module's current event is over.
func (in *Ingress) later(a *attempt, status policy.Status) {
	a.done = true
	in.detach(a)
	in.soon = append(in.soon, func() { in.report(a, result{status: status}, in.now) })
}

// finish ends an attempt and reports it.
func (in *Ingress) finish(a *attempt, res result, at float64) {
	if a.done {
		return
	}
	a.done = true
	in.detach(a)
	in.report(a, res, at)
}

// detach gives up what an attempt still holds: giving up a connection in use means closing it.
func (in *Ingress) detach(a *attempt) {
	in.stopTimer(a.timer)
	if a.conn != nil {
		in.closeConn(a.conn)
		a.conn = nil
	} else if a.be != nil {
		a.be.waiting = slices.DeleteFunc(a.be.waiting, func(w *attempt) bool { return w == a })
	}
}

// report answers the client, if this is what it waits for, and tells the module.
func (in *Ingress) report(a *attempt, res result, at float64) {
	if a.firstAt > 0 {
		at = a.firstAt // how fast the client reads says nothing of the backend
	}
	spent := max(at-a.sentAt, 0)
	a.reported, a.status = true, res.status
	if a.req == nil {
		in.gate.Probed(in.now, policy.ProbeResult{Server: a.be.ID, Status: res.status, SpentS: spent, Load: res.load})
		return
	}
	r := a.req
	r.out--
	if res.status == policy.OK {
		in.answer(r, res.value)
	}
	in.forget(r)
	server := ""
	if a.be != nil {
		server = a.be.ID
	}
	in.gate.Outcome(in.now, policy.Outcome{ID: r.ID, Server: server, Attempt: a.number, Status: res.status,
		Over: r.over, SpentS: spent, Load: res.load})
}
