package simulation

import (
	"fmt"

	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// simAttempt is one send.
type simAttempt struct {
	node.Attempt
	forwarder *simForwarder
	request   *simRequest
	number    int
	node      *simNode
	sentAt    float64 // by the forwarder's clock
	record    *oracle.Attempt
	done      bool
	load      *policy.Load
	connKey   string // of its connection
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
func (f *simForwarder) Send(id, server string, timeoutS float64) {
	if !f.forwardOrder(id, snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: server, DelayS: timeoutS}) {
		f.sendAttempt(id, server, timeoutS)
	}
}

func (f *simForwarder) sendAttempt(id, server string, timeoutS float64) {
	s, request := f.sim, f.openRequests[id]
	if request == nil || request.done {
		s.addViolation(oracle.RuleOneAnswer, "%s is sent after its end", id)
		return
	}
	class := s.class(request.Class)
	attempt := &simAttempt{forwarder: f, request: request, number: len(request.attempts), node: s.node(server), sentAt: f.now(),
		Attempt: node.Attempt{Request: id, Account: request.Account, Class: request.Class}}
	if class.Idempotency == policy.KeyedIdempotent {
		attempt.Key = request.record.OriginalID
	}
	request.attempts = append(request.attempts, attempt)
	if attempt.node == nil || f.backendStates[server] != policy.Up || f.cordonedByIncarnation[request.incarnation][server] {
		f.finish(attempt, policy.NotSent)
		return
	}
	s.after(max(min(timeoutS, request.DeadlineAt-f.now()), 0), func() { f.finish(attempt, policy.Timeout) }) // as the ingress bounds it
	s.after(s.networkDelay()+f.acquireConn(attempt), func() { attempt.arrive() })
}

// Connections to nodes, as the ingress keeps them: one attempt at a time on each, those that ended well are used again for so long.
const (
	connIdleTimeoutS = 7.5
	handshakeS       = 0.004
)

// acquireConn finds a connection for an attempt and returns how long it takes to have it.
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

// releaseConn keeps the connection of an attempt that ended with an answer.
func (f *simForwarder) releaseConn(attempt *simAttempt, status policy.Status) {
	if attempt.connKey != "" && (status == policy.OK || status == policy.Error || status == policy.Rejected) {
		f.idleConns[attempt.connKey] = append(f.idleConns[attempt.connKey], f.sim.now)
	}
}

// arrive brings an attempt to its node.
func (a *simAttempt) arrive() {
	s, n := a.forwarder.sim, a.node
	switch {
	case n.isCut(a.forwarder.number):
		if s.rng.Float64() < 0.5 { // on a new connection, which never comes up; else on an open one, silently
			s.after(0.25, func() { a.forwarder.finish(a, policy.ConnectFailed) })
		}
		return
	case n.model == nil || n.model.Fallen():
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
	if a.done { // given up on the way
		a.disconnect()
	}
}

// disconnect takes the end of an attempt's connection to the node.
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
			n.withModel(func(m *node.Model) { m.Leave(s.now, &a.Attempt) })
		}
	})
}

// finish ends an attempt at the forwarder, the first time that it is called.
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
