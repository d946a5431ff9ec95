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
	run                   int                     // from one start to the next, over replacements
	incarnation           int                     // of the process that decides
	cordonedByIncarnation map[int]map[string]bool // of processes that hold requests: the nodes that operators hold, as each has heard
	last                  int                     // life given out
	known                 uint64                  // the life that planners are told
	succession
	open          map[string]*simRequest
	backendStates map[string]policy.BackendState // of nodes, as told
	pending       []func()                       // outcomes that an action yielded, for when its event has returned
	busy          bool
	downAt        float64
	intake        intake
	conns         map[string][]float64 // to nodes, idle since then, by node and life
}

// peerIntake is how many messages of others an ingress takes in a second, as on the platform; what comes beyond is lost.
const peerIntake = 40

type intake struct{ left, at float64 }

func (i *intake) take(now float64) bool {
	i.left = min(i.left+peerIntake*(now-i.at), peerIntake/4)
	if i.at = now; i.left < 1 {
		return false
	}
	i.left--
	return true
}

// simRequest is one try that a forwarder has taken.
type simRequest struct {
	policy.Request
	attempt     *oracle.Request
	incarnation int // of the process that holds it
	attempts    []*simAttempt
	over        bool
}

func (f *simForwarder) now() float64 { return f.clock.at(f.sim.now) }

func (f *simForwarder) runs() bool { return f.core != nil || f.module != nil }

func (f *simForwarder) start() {
	s := f.sim
	f.run++
	run := f.run
	f.cordonedByIncarnation, f.succession = map[int]map[string]bool{}, succession{}
	f.incarnation = f.begin()
	f.known = uint64(f.incarnation)
	f.open, f.backendStates, f.pending, f.conns = map[string]*simRequest{}, map[string]policy.BackendState{}, nil, map[string][]float64{}
	for _, n := range s.nodes {
		if n.listed {
			f.backendStates[n.id] = policy.Up
		}
	}
	if s.cfg.Planners > 0 {
		f.core = f.newCore()
		var tick func()
		tick = func() {
			if f.run == run {
				if !f.moving {
					f.do(func() { f.core.Tick(f.now()) })
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
		if request := f.open[d.ID]; request != nil {
			request.attempt.Queued = request.attempt.Queued || d.Step == reason.StepQueued
			if d.Step == reason.StepRejected {
				request.attempt.Reason = int(d.Reason)
			}
		}
		if d.At = s.now; s.cfg.Trace != nil {
			s.cfg.Trace(f.number, d)
		}
	})
	f.module.UpdateBackends(f.now(), s.list(f.clock), true)
}

func (f *simForwarder) newCore() *forwarder.Core {
	s := f.sim
	return forwarder.NewCore(forwarder.Config{Params: s.params, Number: f.number, Classes: s.cfg.Classes, Plans: s.cfg.Plans, MaxRetryAfterS: 1,
		MaxAttempts: testbed.MaxAttempts, Seed: s.rng.Uint64()}, f.now(), f)
}

// begin gives a process its life.
func (f *simForwarder) begin() int {
	f.last++
	f.cordonedByIncarnation[f.last] = map[string]bool{}
	return f.last
}

// do runs one event on the forwarder's loop, and what it left to do.
func (f *simForwarder) do(event func()) {
	if !f.runs() {
		return
	}
	if f.busy {
		f.pending = append(f.pending, event)
		return
	}
	f.busy = true
	event()
	for len(f.pending) > 0 && f.runs() {
		next := f.pending[0]
		f.pending = f.pending[1:]
		next()
	}
	f.busy = false
}

// handleEndpoint takes the roster's word on a node.
func (f *simForwarder) handleEndpoint(n *simNode, state policy.BackendState) {
	if !f.runs() {
		return
	}
	f.sim.Hist.NodeNotified(oracle.IngressName(f.number), n.id, stateNames[state])
	f.backendStates[n.id] = state
	if f.module != nil {
		f.do(func() { f.module.UpdateBackends(f.now(), []policy.Backend{n.entry(f.clock, state)}, false) })
	}
}

// SendToPlanner implements forwarder.Output.
func (f *simForwarder) SendToPlanner(p int, msgs ...transport.Message) {
	f.sim.links[p][f.number].send(false, msgs)
}

// PlannerWritable implements forwarder.Output.
func (f *simForwarder) PlannerWritable(p int) bool { return f.sim.links[p][f.number].fUp }

// answer gives a client its answer; the first of a request stands, as in the ingress.
func (f *simForwarder) answer(id string, how oracle.Result) {
	request := f.open[id]
	if request == nil {
		f.sim.breaks(oracle.RuleOneAnswer, "%v for %s, which is not open", how, id)
		return
	}
	if request.over && how == oracle.Served {
		return
	}
	if request.over {
		f.sim.breaks(oracle.RuleOneAnswer, "%s has a second answer", id)
	}
	request.over = true
	f.sim.Hist.RequestAnswered(request.attempt, how)
}

// Reject implements policy.Actions.
func (f *simForwarder) Reject(id string, retryS float64) {
	if !f.order(id, snapshot.Order{Kind: snapshot.OrderReject, ID: id, DelayS: retryS}) {
		f.refuse(id, retryS)
	}
}

func (f *simForwarder) refuse(id string, retryS float64) {
	if request := f.open[id]; request != nil && !request.over {
		try, s := request.attempt, f.sim
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
	if !f.order(id, snapshot.Order{Kind: snapshot.OrderFail, ID: id}) {
		f.answer(id, oracle.Failed)
	}
}

// SetTimer implements policy.Actions.
func (f *simForwarder) SetTimer(token uint64, d float64) {
	run := f.run
	f.sim.after(max(d, 0), func() {
		if f.run == run && f.module != nil {
			f.do(func() { f.module.HandleTimer(f.now(), token) })
		}
	})
}

// SetCordoned implements forwarder.Output.
func (f *simForwarder) SetCordoned(server string, held bool) {
	f.cordonedByIncarnation[f.incarnation][server] = held
	if f.old != nil {
		f.send(snapshot.Order{Kind: snapshot.OrderCordon, ID: server, Cordoned: held})
	}
}

// Probe implements policy.Actions.
func (f *simForwarder) Probe(string) {}

// Log implements policy.Actions.
func (f *simForwarder) Log(string) {}

// SendPeerMessage implements policy.Actions: a datagram, that may be lost, late and doubled.
func (f *simForwarder) SendPeerMessage(to int, data []byte) {
	s := f.sim
	s.sort(data)
	if s.liar == f.number+1 {
		testbed.Lie(data, s.now)
	}
	for g := range s.fwds {
		if g == f.number || to != policy.Broadcast && g != to {
			continue
		}
		if s.peerWay.Cut && g%2 != f.number%2 || s.rng.Float64() < s.packetConditions.Loss+cmp.Or(s.cfg.PeerLoss, 0.03) {
			continue
		}
		for range 1 + boolInt(s.rng.Float64() < s.packetConditions.Double) {
			d := 0.0023 + 0.01*s.rng.Float64() + s.packetConditions.Delay.Seconds() + s.rng.Float64()*s.packetConditions.Jitter.Seconds()
			s.after(d, func() {
				if x := s.fwds[g]; x.module != nil && x.hear() {
					x.do(func() { x.module.HandlePeerMessage(x.now(), f.number, data) })
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

// request has a forwarder take a try.
func (f *simForwarder) request(q policy.Request, first string, left float64) {
	s := f.sim
	try := &oracle.Request{ID: q.ID, OriginalID: first, Account: q.Account, Class: q.Class, Plan: q.Plan, Forwarder: f.number, Units: q.Units,
		SentAt: s.Hist.Now(), Deadline: s.Hist.Now() + time.Duration(left*float64(time.Second))}
	s.Hist.RequestSent(try)
	if !f.runs() {
		try.NotAccepted = true
		s.Hist.RequestAnswered(try, oracle.ConnectionLost)
		return
	}
	q.DeadlineAt = f.clock.at(s.now + left)
	request := &simRequest{Request: q, attempt: try, incarnation: f.incarnation}
	f.open[q.ID] = request
	run := f.run
	f.happen(request, func(g gateway) { g.HandleRequest(f.now(), q) })
	s.after(left+0.05, func() {
		if f.run != run || f.cordonedByIncarnation[request.incarnation] == nil {
			return
		}
		if !request.over {
			request.over = true
			s.Hist.RequestAnswered(try, oracle.ConnectionLost)
			f.happen(request, func(g gateway) { g.HandleDisconnect(f.now(), q.ID) })
		}
		s.after(6, func() {
			if f.run == run {
				delete(f.open, q.ID)
			}
		})
	})
}

// hear tells whether an ingress takes in a message of another one.
func (f *simForwarder) hear() bool {
	f.sim.Messages++
	if f.intake.take(f.sim.now) {
		return true
	}
	f.sim.Drowned++
	return false
}
