package simulation

import (
	"fmt"

	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// simAttempt is one attempt of a request.
type simAttempt struct {
	node.Attempt
	forwarder *simForwarder
	request   *simRequest
	number    int
	node      *simNode
	sentAt    float64         // by the forwarder's clock
	record    *oracle.Attempt // nil until the attempt reaches its node
	done      bool
	load      *policy.Load // load report of its answer
	connKey   string       // of its connection in idleConns; "": none
}

// Cancel implements policy.Actions.
func (f *simForwarder) Cancel(id string, attempt int) {
	if !f.forwardOrder(id, snapshot.Order{Kind: snapshot.OrderCancel, ID: id, Attempt: attempt}) {
		f.cancel(id, attempt)
	}
}

func (f *simForwarder) cancel(id string, attempt int) {
	if request := f.openRequests[id]; request != nil && attempt < len(request.attempts) {
		f.finish(request.attempts[attempt], policy.Cancelled)
	}
}

// Send implements policy.Actions.
func (f *simForwarder) Send(id, backend string, timeoutS float64) {
	if !f.forwardOrder(id, snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: backend, DelayS: timeoutS}) {
		f.sendAttempt(id, backend, timeoutS)
	}
}

// sendAttempt sends an attempt of a request to a backend. It fails at once if the backend is not up or is cordoned.
func (f *simForwarder) sendAttempt(id, backend string, timeoutS float64) {
	s, request := f.sim, f.openRequests[id]
	if request == nil || request.done {
		s.addViolation(oracle.RuleOneAnswer, "request %s is sent after its end", id)
		return
	}
	class := s.class(request.Class)
	attempt := &simAttempt{forwarder: f, request: request, number: len(request.attempts), node: s.node(backend), sentAt: f.now(),
		Attempt: node.Attempt{Request: id, Account: request.Account, Class: request.Class}}
	if class.Idempotency == policy.KeyedIdempotent {
		attempt.Key = request.record.OriginalID
	}
	request.attempts = append(request.attempts, attempt)
	if attempt.node == nil || f.backendStates[backend] != policy.Up || f.cordonedByIncarnation[request.incarnation][backend] {
		f.finish(attempt, policy.NotSent)
		return
	}
	s.after(max(min(timeoutS, request.DeadlineAt-f.now()), 0), func() { f.finish(attempt, policy.Timeout) }) // the same bound as in the ingress
	s.after(s.networkDelay()+f.acquireConn(attempt), func() { attempt.arrive() })
}

// Connections to nodes are kept as in the ingress: a connection carries one attempt at a time. After an answer it is used again unless it
// idles longer than connIdleTimeoutS. A handshake takes one to two times handshakeS. Both are in seconds.
const (
	connIdleTimeoutS = 7.5
	handshakeS       = 0.004
)

// acquireConn takes an idle connection to an attempt's node or opens one, and returns how many seconds that takes.
func (f *simForwarder) acquireConn(attempt *simAttempt) float64 {
	s := f.sim
	attempt.connKey = fmt.Sprint(attempt.node.id, "/", attempt.node.incarnation)
	list := f.idleConns[attempt.connKey]
	for len(list) > 0 && s.now-list[0] > connIdleTimeoutS {
		list = list[1:]
	}
	if n := len(list); n > 0 {
		f.idleConns[attempt.connKey] = list[:n-1]
		return 0
	}
	s.Handshakes++
	return handshakeS * (1 + s.rng.Float64())
}

// releaseConn makes the connection of an attempt idle, if the attempt ended with an answer.
func (f *simForwarder) releaseConn(attempt *simAttempt, status policy.Status) {
	if attempt.connKey != "" && (status == policy.OK || status == policy.Error || status == policy.Rejected) {
		f.idleConns[attempt.connKey] = append(f.idleConns[attempt.connKey], f.sim.now)
	}
}

// arrive delivers an attempt to its node.
func (a *simAttempt) arrive() {
	s, n := a.forwarder.sim, a.node
	switch {
	case n.isCut(a.forwarder.number):
		if s.rng.Float64() < 0.5 { // half of the attempts fail to open a connection; the others get no answer on an open one
			s.after(0.25, func() { a.forwarder.finish(a, policy.ConnectFailed) })
		}
		return
	case n.model == nil || n.model.IsCollapsed():
		s.after(s.networkDelay(), func() { a.forwarder.finish(a, policy.ConnectFailed) })
		return
	case n.model.Breaks():
		s.after(s.networkDelay(), func() { a.forwarder.finish(a, policy.Reset) })
		return
	}
	n.lastHandle++
	a.Handle = n.lastHandle
	a.record = &oracle.Attempt{ID: a.request.ID, Node: n.id, Account: a.request.Account, Class: a.request.Class, Plan: a.request.Plan, Units: a.request.Units, Incarnation: n.incarnation,
		Conn: fmt.Sprintf("%d/%s/%d", a.forwarder.number, a.request.ID, a.number)}
	n.openAttempts[a.Handle] = a
	s.Hist.AttemptReceived(a.record)
	n.withModel(func(m *node.Model) { s.Hist.SetAttemptWork(a.record, m.Arrive(s.now, &a.Attempt)) })
	if a.done { // ended by the forwarder before it arrived
		a.disconnect()
	}
}

// disconnect ends the connection of an attempt that has reached its node. The node notices it after the network delay, or not at all if the
// network is cut.
func (a *simAttempt) disconnect() {
	if a.record == nil {
		return
	}
	s, n := a.forwarder.sim, a.node
	s.Hist.ConnectionEnded(a.record.Conn)
	if n.isCut(a.forwarder.number) {
		return
	}
	s.after(s.networkDelay(), func() {
		if n.openAttempts[a.Handle] == a {
			n.withModel(func(m *node.Model) { m.Abandon(s.now, &a.Attempt) })
		}
	})
}

// finish ends an attempt at the forwarder and reports its outcome. Only the first call has an effect.
func (f *simForwarder) finish(attempt *simAttempt, status policy.Status) {
	if attempt.done {
		return
	}
	attempt.done = true
	f.releaseConn(attempt, status)
	attempt.disconnect()
	request := attempt.request
	if f.cordonedByIncarnation[request.incarnation] == nil {
		return
	}
	if status == policy.OK {
		f.answer(request.ID, oracle.Served)
	}
	f.notify(request, func(g gateway) {
		g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: attempt.node.idOrEmpty(), Attempt: attempt.number, Status: status, Completed: request.done, LatencyS: f.now() - attempt.sentAt, Load: attempt.load})
	})
}
