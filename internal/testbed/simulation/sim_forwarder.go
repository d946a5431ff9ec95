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

// simForwarder runs a forwarder's core, or an ingress's decision module, and carries its actions out as an ingress does, without sockets.
type simForwarder struct {
	sim                   *Sim
	number                int
	core                  *forwarder.Core // in two levels; nil while no process decides, like module
	module                *policy.Gateway // in one level
	clock                 clock
	startCount            int                     // starts and kills; a hot restart does not count
	incarnation           int                     // of the deciding process
	cordonedByIncarnation map[int]map[string]bool // of each live process: the cordoned nodes that it knows of
	lastIncarnation       int                     // the last that was assigned
	advertisedIncarnation uint64                  // that the planners are told
	succession
	openRequests      map[string]*simRequest
	backendStates     map[string]policy.BackendState // by node, as discovery has reported
	pending           []func()                       // events that came while another one ran; they run after it
	busy              bool                           // an event is running
	downAt            float64                        // of the last kill
	peerMessageBucket tokenBucket
	idleConns         map[string][]float64 // when connections became idle, by node and its incarnation
}

// peerMessagesPerS is how many messages from its peers an ingress accepts per second, as on the platform. It drops further ones.
const peerMessagesPerS = 40

// tokenBucket limits accepted peer messages to peerMessagesPerS, with a burst of a quarter of a second. Zero is an empty bucket.
type tokenBucket struct{ tokens, refilledAt float64 }

// take takes a token at the time now, in seconds, and reports whether there was one.
func (b *tokenBucket) take(now float64) bool {
	b.tokens = min(b.tokens+peerMessagesPerS*(now-b.refilledAt), peerMessagesPerS/4)
	if b.refilledAt = now; b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// simRequest is a request, or a client retry, that a forwarder has accepted.
type simRequest struct {
	policy.Request
	record      *oracle.Request
	incarnation int // of the process that holds the request
	attempts    []*simAttempt
	done        bool // answered, or its client has disconnected
}

func (f *simForwarder) now() float64 { return f.clock.at(f.sim.now) }

func (f *simForwarder) running() bool { return f.core != nil || f.module != nil }

func (f *simForwarder) start() {
	s := f.sim
	f.startCount++
	startCount := f.startCount
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
			if f.startCount == startCount {
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

// newIncarnation assigns an incarnation to a new process.
func (f *simForwarder) newIncarnation() int {
	f.lastIncarnation++
	f.cordonedByIncarnation[f.lastIncarnation] = map[string]bool{}
	return f.lastIncarnation
}

// runEvent runs an event on the forwarder's event loop, then the events that came meanwhile. While an event runs, further ones wait.
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

// handleEndpoint applies a state of a node that discovery reports.
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

// answer records an answer to a client. Once the request is done, it ignores a served answer, as the ingress does, and any other answer is a
// violation.
func (f *simForwarder) answer(id string, how oracle.Result) {
	request := f.openRequests[id]
	if request == nil {
		f.sim.addViolation(oracle.RuleOneAnswer, "answer %v for request %s, which is not open", how, id)
		return
	}
	if request.done && how == oracle.Served {
		return
	}
	if request.done {
		f.sim.addViolation(oracle.RuleOneAnswer, "request %s got a second answer", id)
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

// reject answers a request with a rejection, after which its client may retry.
func (f *simForwarder) reject(id string, retryS float64) {
	if request := f.openRequests[id]; request != nil && !request.done {
		record, s := request.record, f.sim
		wait := max(retryS, 0.1) + 0.2*s.rng.Float64()
		if s.accounts[record.Account].IgnoresRetryAfter {
			wait = 0.1 + 0.2*s.rng.Float64()
		}
		s.after(wait, func() { s.retryLater(record) })
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
func (f *simForwarder) SetTimer(token uint64, delayS float64) {
	startCount := f.startCount
	f.sim.after(max(delayS, 0), func() {
		if f.startCount == startCount && f.module != nil {
			f.runEvent(func() { f.module.HandleTimer(f.now(), token) })
		}
	})
}

// SetCordoned implements forwarder.Output.
func (f *simForwarder) SetCordoned(backend string, cordoned bool) {
	f.cordonedByIncarnation[f.incarnation][backend] = cordoned
	if f.predecessor != nil {
		f.sendOrder(snapshot.Order{Kind: snapshot.OrderCordon, ID: backend, Cordoned: cordoned})
	}
}

// Probe implements policy.Actions.
func (f *simForwarder) Probe(string) {}

// Log implements policy.Actions.
func (f *simForwarder) Log(string) {}

// SendPeerMessage implements policy.Actions. The datagram may be lost, delayed and duplicated.
func (f *simForwarder) SendPeerMessage(to int, data []byte) {
	s := f.sim
	s.countPeerMessage(data)
	if s.misreportingIngress == f.number+1 {
		testbed.FalsifyLoadShedState(data, s.now)
	}
	for g := range s.forwarders {
		if g == f.number || to != policy.Broadcast && g != to {
			continue
		}
		if s.peerPartition.Cut && g%2 != f.number%2 || s.rng.Float64() < s.packetConditions.Loss+cmp.Or(s.cfg.PeerLoss, 0.03) {
			continue
		}
		for range 1 + boolInt(s.rng.Float64() < s.packetConditions.Double) {
			delayS := 0.0023 + 0.01*s.rng.Float64() + s.packetConditions.Delay.Seconds() + s.rng.Float64()*s.packetConditions.Jitter.Seconds()
			s.after(delayS, func() {
				if receiver := s.forwarders[g]; receiver.module != nil && receiver.acceptPeerMessage() {
					receiver.runEvent(func() { receiver.module.HandlePeerMessage(receiver.now(), f.number, data) })
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

// handleRequest receives a request or a client retry; originalID is the ID of the original request, leftS the time to the deadline in
// seconds. The client disconnects 50 ms after the deadline.
func (f *simForwarder) handleRequest(q policy.Request, originalID string, leftS float64) {
	s := f.sim
	record := &oracle.Request{ID: q.ID, OriginalID: originalID, Account: q.Account, Class: q.Class, Plan: q.Plan, Forwarder: f.number, Units: q.Units,
		SentAt: s.Hist.Now(), Deadline: s.Hist.Now() + time.Duration(leftS*float64(time.Second))}
	s.Hist.RequestSent(record)
	if !f.running() {
		record.NotAccepted = true
		s.Hist.RequestAnswered(record, oracle.ConnectionLost)
		return
	}
	q.DeadlineAt = f.clock.at(s.now + leftS)
	request := &simRequest{Request: q, record: record, incarnation: f.incarnation}
	f.openRequests[q.ID] = request
	startCount := f.startCount
	f.notify(request, func(g gateway) { g.HandleRequest(f.now(), q) })
	s.after(leftS+0.05, func() {
		if f.startCount != startCount || f.cordonedByIncarnation[request.incarnation] == nil {
			return
		}
		if !request.done {
			request.done = true
			s.Hist.RequestAnswered(record, oracle.ConnectionLost)
			f.notify(request, func(g gateway) { g.HandleDisconnect(f.now(), q.ID) })
		}
		s.after(6, func() {
			if f.startCount == startCount {
				delete(f.openRequests, q.ID)
			}
		})
	})
}

// acceptPeerMessage counts a message of a peer and reports whether the ingress accepts it.
func (f *simForwarder) acceptPeerMessage() bool {
	f.sim.PeerMessages++
	if f.peerMessageBucket.take(f.sim.now) {
		return true
	}
	f.sim.DroppedPeerMessages++
	return false
}
