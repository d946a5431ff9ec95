package simulation

import (
	"cmp"
	"time"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// simForwarder does what an ingress does round its Gateway, without sockets.
type simForwarder struct {
	sim                   *Sim
	number                int
	core                  *forwarder.Core // of two levels; nil while nothing runs, as gate
	module                *policy.Gateway // of one level
	clock                 clock
	startCount            int                     // from one start to the next, over replacements
	incarnation           int                     // of the process that decides
	cordonedByIncarnation map[int]map[string]bool // of processes that hold requests: the nodes that operators hold, as each has heard
	lastIncarnation       int                     // life given out
	advertisedIncarnation uint64                  // the life that planners are told
	succession
	openRequests      map[string]*simRequest
	backendStates     map[string]policy.BackendState // of nodes, as told
	pending           []func()                       // outcomes that an action yielded, for when its event has returned
	busy              bool
	downAt            float64
	peerMessageBucket tokenBucket
	idleConns         map[string][]float64 // to nodes, idle since then, by node and life
}

// peerMessagesPerS is how many messages of others an ingress takes in a second, as on the platform; what comes beyond is lost.
const peerMessagesPerS = 40

type tokenBucket struct{ tokens, refilledAt float64 }

func (i *tokenBucket) take(now float64) bool {
	i.tokens = min(i.tokens+peerMessagesPerS*(now-i.refilledAt), peerMessagesPerS/4)
	if i.refilledAt = now; i.tokens < 1 {
		return false
	}
	i.tokens--
	return true
}

// simRequest is one try that a forwarder has taken.
type simRequest struct {
	policy.Request
	record      *oracle.Request
	incarnation int // of the process that holds it
	attempts    []*simAttempt
	done        bool
}

func (f *simForwarder) now() float64 { return f.clock.at(f.sim.now) }

func (f *simForwarder) running() bool { return f.core != nil || f.module != nil }

func (f *simForwarder) start() {
	s := f.sim
	f.startCount++
	run := f.startCount
	f.cordonedByIncarnation, f.succession = map[int]map[string]bool{}, succession{}
	f.incarnation = f.newIncarnation()
	f.advertisedIncarnation = uint64(f.incarnation)
	f.openRequests, f.backendStates, f.pending, f.idleConns = map[string]*simRequest{}, map[string]policy.BackendState{}, nil, map[string][]float64{}
	for _, n := range s.nodes {
		if n.listed {
			f.backendStates[n.id] = policy.Up
		}
	}
	if s.cfg.Planners > 0 {
		f.core = f.newCore()
		var tick func()
		tick = func() {
			if f.startCount == run {
				if !f.migrating {
					f.runEvent(func() { f.core.Tick(f.now()) })
				}
				s.after(forwarder.TickIntervalS, tick)
			}
		}
		s.after(s.rng.Float64()*forwarder.TickIntervalS, tick)
		return
	}
	var err error
	if f.module, err = policy.New(s.settings(f.number, s.cfg.Forwarders, true), s.rng.Uint64(), f.now(), f); err != nil {
		panic(err)
	}
	f.module.SetTracer(func(d reason.Decision) {
		if request := f.openRequests[d.ID]; request != nil {
			request.record.Queued = request.record.Queued || d.Step == reason.StepQueued
			if d.Step == reason.StepRejected {
				request.record.Reason = int(d.Reason)
			}
		}
		if d.At = s.now; s.cfg.Trace != nil {
			s.cfg.Trace(f.number, d)
		}
	})
	f.module.UpdateBackends(f.now(), s.backends(f.clock), true)
}

func (f *simForwarder) newCore() *forwarder.Core {
	s := f.sim
	return forwarder.NewCore(forwarder.Config{Params: s.params, Number: f.number, Classes: s.cfg.Classes, Plans: s.cfg.Plans, MaxRetryAfterS: 1,
		MaxAttempts: testbed.MaxAttempts, Seed: s.rng.Uint64()}, f.now(), f)
}

// newIncarnation gives a process its life.
func (f *simForwarder) newIncarnation() int {
	f.lastIncarnation++
	f.cordonedByIncarnation[f.lastIncarnation] = map[string]bool{}
	return f.lastIncarnation
}

// runEvent runs one event on the forwarder's loop, and what it left to runEvent.
func (f *simForwarder) runEvent(event func()) {
	if !f.running() {
		return
	}
	if f.busy {
		f.pending = append(f.pending, event)
		return
	}
	f.busy = true
	event()
	for len(f.pending) > 0 && f.running() {
		next := f.pending[0]
		f.pending = f.pending[1:]
		next()
	}
	f.busy = false
}

// handleEndpoint takes the roster's word on a node.
func (f *simForwarder) handleEndpoint(n *simNode, state policy.BackendState) {
	if !f.running() {
		return
	}
	f.sim.Hist.NodeNotified(oracle.IngressName(f.number), n.id, stateNames[state])
	f.backendStates[n.id] = state
	if f.module != nil {
		f.runEvent(func() { f.module.UpdateBackends(f.now(), []policy.Backend{n.backend(f.clock, state)}, false) })
	}
}

// SendToPlanner implements forwarder.Output.
func (f *simForwarder) SendToPlanner(p int, msgs ...transport.Message) {
	f.sim.links[p][f.number].send(false, msgs)
}

// PlannerWritable implements forwarder.Output.
func (f *simForwarder) PlannerWritable(p int) bool { return f.sim.links[p][f.number].forwarderUp }

// answer gives a client its answer; the first of a request stands, as in the ingress.
func (f *simForwarder) answer(id string, how oracle.Result) {
	request := f.openRequests[id]
	if request == nil {
		f.sim.addViolation(oracle.RuleOneAnswer, "%v for %s, which is not open", how, id)
		return
	}
	if request.done && how == oracle.Served {
		return
	}
	if request.done {
		f.sim.addViolation(oracle.RuleOneAnswer, "%s has a second answer", id)
	}
	request.done = true
	f.sim.Hist.RequestAnswered(request.record, how)
}

// Reject implements policy.Actions.
func (f *simForwarder) Reject(id string, retryS float64) {
	if !f.forwardOrder(id, snapshot.Order{Kind: snapshot.OrderReject, ID: id, DelayS: retryS}) {
		f.reject(id, retryS)
	}
}

func (f *simForwarder) reject(id string, retryS float64) {
	if request := f.openRequests[id]; request != nil && !request.done {
		try, s := request.record, f.sim
		wait := max(retryS, 0.1) + 0.2*s.rng.Float64()
		if s.accounts[try.Account].Deaf {
			wait = 0.1 + 0.2*s.rng.Float64()
		}
		s.after(wait, func() { s.retryLater(try) })
	}
	f.answer(id, oracle.Rejected)
}

// Fail implements policy.Actions.
func (f *simForwarder) Fail(id string) {
	if !f.forwardOrder(id, snapshot.Order{Kind: snapshot.OrderFail, ID: id}) {
		f.answer(id, oracle.Failed)
	}
}

// SetTimer implements policy.Actions.
func (f *simForwarder) SetTimer(token uint64, d float64) {
	run := f.startCount
	f.sim.after(max(d, 0), func() {
		if f.startCount == run && f.module != nil {
			f.runEvent(func() { f.module.HandleTimer(f.now(), token) })
		}
	})
}

// SetCordoned implements forwarder.Output.
func (f *simForwarder) SetCordoned(server string, held bool) {
	f.cordonedByIncarnation[f.incarnation][server] = held
	if f.predecessor != nil {
		f.sendOrder(snapshot.Order{Kind: snapshot.OrderCordon, ID: server, Cordoned: held})
	}
}

// Probe implements policy.Actions.
func (f *simForwarder) Probe(string) {}

// Log implements policy.Actions.
func (f *simForwarder) Log(string) {}

// SendPeerMessage implements policy.Actions: a datagram, that may be lost, late and doubled.
func (f *simForwarder) SendPeerMessage(to int, data []byte) {
	s := f.sim
	s.countPeerMessage(data)
	if s.misreportingIngress == f.number+1 {
		testbed.Lie(data, s.now)
	}
	for g := range s.forwarders {
		if g == f.number || to != policy.Broadcast && g != to {
			continue
		}
		if s.peerPartition.Cut && g%2 != f.number%2 || s.rng.Float64() < s.packetConditions.Loss+cmp.Or(s.cfg.PeerLoss, 0.03) {
			continue
		}
		for range 1 + boolInt(s.rng.Float64() < s.packetConditions.Double) {
			d := 0.0023 + 0.01*s.rng.Float64() + s.packetConditions.Delay.Seconds() + s.rng.Float64()*s.packetConditions.Jitter.Seconds()
			s.after(d, func() {
				if x := s.forwarders[g]; x.module != nil && x.acceptPeerMessage() {
					x.runEvent(func() { x.module.HandlePeerMessage(x.now(), f.number, data) })
				}
			})
		}
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// handleRequest has a forwarder take a try.
func (f *simForwarder) handleRequest(q policy.Request, first string, left float64) {
	s := f.sim
	try := &oracle.Request{ID: q.ID, OriginalID: first, Account: q.Account, Class: q.Class, Plan: q.Plan, Forwarder: f.number, Units: q.Units,
		SentAt: s.Hist.Now(), Deadline: s.Hist.Now() + time.Duration(left*float64(time.Second))}
	s.Hist.RequestSent(try)
	if !f.running() {
		try.NotAccepted = true
		s.Hist.RequestAnswered(try, oracle.ConnectionLost)
		return
	}
	q.DeadlineAt = f.clock.at(s.now + left)
	request := &simRequest{Request: q, record: try, incarnation: f.incarnation}
	f.openRequests[q.ID] = request
	run := f.startCount
	f.notify(request, func(g gateway) { g.HandleRequest(f.now(), q) })
	s.after(left+0.05, func() {
		if f.startCount != run || f.cordonedByIncarnation[request.incarnation] == nil {
			return
		}
		if !request.done {
			request.done = true
			s.Hist.RequestAnswered(try, oracle.ConnectionLost)
			f.notify(request, func(g gateway) { g.HandleDisconnect(f.now(), q.ID) })
		}
		s.after(6, func() {
			if f.startCount == run {
				delete(f.openRequests, q.ID)
			}
		})
	})
}

// acceptPeerMessage tells whether an ingress takes in a message of another one.
func (f *simForwarder) acceptPeerMessage() bool {
	f.sim.PeerMessages++
	if f.peerMessageBucket.take(f.sim.now) {
		return true
	}
	f.sim.DroppedPeerMessages++
	return false
}
