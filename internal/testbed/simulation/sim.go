// Package simulation runs whole fleets in virtual time: the decision parts as they are (the module, forwarders' cores, planners'
// hosts) with clocks that differ and drift, the testbed's own backends, faults and oracle, and a seeded schedule. One seed
// is one run, to the letter, and a run takes a fraction of its time. What sockets do to a fleet it does not show.
package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Config is one run.
type Config struct {
	Zones                              int // see lab.FleetConfig
	Forwarders, Planners, Cells, Nodes int // with Planners 0 the forwarders are one-program ingresses
	Classes                            []policy.Class
	Plans                              []policy.Plan
	Node                               node.Config
	NodeConditions                     node.Conditions
	Accounts                           []testbed.Account
	ClassFractions                     map[string]float64
	Units                              map[string]int
	LengthS                            float64
	Faults                             []testbed.Fault
	Floors                             map[string]int // see audit.Rules
	PeerLoss                           float64        // of messages between ingresses, at all times; 0 stands for 3%
	Exact                              bool           // see lab.FleetConfig
	Quota                              float64        // of the rule on quotas; 0: lab.QuotaSlack in two levels, not judged in one
	CapX                               float64        // of the rule on caps; 0: 2 in two levels, not judged in one
	Seed                               uint64
	Overload                           loadshed.Config // of ingresses
	MeasureOverload                    bool            // see lab.FleetConfig
	Peak                               oracle.Peak
	Stated                             oracle.LoadSheddingBounds
	Trace                              func(decider int, d reason.Decision) // told of each decision of an ingress, in two levels of a planner, if not nil; true times
}

// Drift is what the fastest clock makes of a second.
const Drift = 1.02

type event struct {
	at  float64
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// Sim is the world. True time is t; each party has its own clock.
type Sim struct {
	cfg              Config
	Hist             *oracle.History
	rng              *rand.Rand
	now              float64
	seq              int
	queue            queue
	params           topology.Params
	planners         []*simPlanner
	fwds             []*simForwarder
	links            [][]*simLink // by planner and forwarder
	nodes            []*simNode   // in the order of their first start
	keys             *node.Keys
	nextNode         int
	nextID           int
	peerWay          testbed.PacketConditions // of datagrams between ingresses of different halves
	packetConditions testbed.PacketConditions // of all
	liar             int                      // an ingress that lies of overload, from 1; 0: none
	lateS            float64                  // how late the roster tells
	floods           map[string]float64
	accounts         map[string]testbed.Account
	clientRequests   map[string]*clientRequest // by first try; as many as the run has
	breach           map[string]int
	first            string
	Leads            int             // moments at which a cell was found led: that fencing was looked at
	byHand           map[string]bool // nodes on which operators are at work
	Messages         int             // between ingresses that came, and of these, beyond what one takes in
	Drowned          int
	Handshakes       int            // connections to nodes that were opened
	Kinds            map[string]int // of messages sent between ingresses
	Cordoned         int            // nodes that operators took out with a yes
}

type clock struct{ offset, speed float64 }

func (c clock) at(t float64) float64 { return 1e6 + c.offset + t*c.speed }

func (s *Sim) after(d float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *Sim) breaks(rule, format string, args ...any) {
	if s.breach[rule]++; s.first == "" {
		s.first = fmt.Sprintf("%.3f %s: ", s.now, rule) + fmt.Sprintf(format, args...)
	}
}

// New makes a fleet that has just been started.
func New(cfg Config) *Sim {
	s := &Sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), breach: map[string]int{}, keys: node.NewKeys(), floods: map[string]float64{}, clientRequests: map[string]*clientRequest{}, byHand: map[string]bool{}, Kinds: map[string]int{}, accounts: map[string]testbed.Account{}}
	for _, a := range cfg.Accounts {
		s.accounts[a.Name] = a
	}
	s.Hist = oracle.NewHistoryWithClock(func() time.Duration { return time.Duration(s.now * float64(time.Second)) })
	if cfg.Planners > 0 {
		s.params = topology.Params{Name: "sim", Forwarders: cfg.Forwarders, Planners: cfg.Planners, Cells: cfg.Cells}
		if err := s.params.Check(); err != nil {
			panic(err)
		}
	}
	for range cfg.Nodes {
		s.addNode(false)
	}
	clocks := func() clock { return clock{s.rng.Float64() * 100, 1 + 0.04*(s.rng.Float64()-0.5)} }
	for n := range cfg.Planners {
		planner := &simPlanner{sim: s, number: n, clock: clocks()}
		s.planners = append(s.planners, planner)
		planner.start()
		s.links = append(s.links, nil)
		for f := range cfg.Forwarders {
			s.links[n] = append(s.links[n], &simLink{sim: s, plannerIndex: n, forwarderIndex: f})
		}
	}
	for n := range cfg.Forwarders {
		forwarder := &simForwarder{sim: s, number: n, clock: clocks()}
		s.fwds = append(s.fwds, forwarder)
		forwarder.start()
	}
	for n := range cfg.Planners {
		for f := range cfg.Forwarders {
			s.links[n][f].dial()
		}
	}
	return s
}

// settings are the module's, for gateway me of so many.
func (s *Sim) settings(me, gateways int, peers bool) policy.Settings {
	return policy.Settings{Self: me, Gateways: gateways, Classes: s.cfg.Classes, Plans: s.cfg.Plans, MaxRequestUnits: 6, PeerMessages: peers, PeerMessageRate: peerIntake,
		LoadShedding: s.cfg.Overload, CancelAllowed: true, RetryAfterAllowed: true, MaxAttempts: testbed.MaxAttempts, MaxRetryAfterS: 1, LoadReportInResponse: true, ResponseSlackS: 0.02, SlowStartMinFraction: testbed.StatedSlowStartMinFraction,
		SlowStartS: testbed.StatedSlowStartS, CollapseMultiple: testbed.StatedMultiple, CollapseWindowS: testbed.StatedFallS, MinBatchIntervalS: 0.004, Zone: "a"}
}

// ---- Nodes and the roster ----

// simNode is one node under its id, through all its lives.
type simNode struct {
	sim         *Sim
	id          string
	model       *node.Model // nil while it is down
	incarnation int
	startedAt   float64 // true time; 0: long ago
	cut         [2]bool // from forwarders of even and of odd numbers
	open        map[uint64]*simAttempt
	handles     uint64
	listed      bool // runs, and does not drain
	wakeAt      float64
}

func (s *Sim) addNode(cold bool) *simNode {
	s.nextNode++
	n := &simNode{sim: s, id: fmt.Sprint("z", s.nextNode)}
	s.nodes = append(s.nodes, n)
	n.start(cold)
	return n
}

func (n *simNode) start(cold bool) {
	s := n.sim
	born, started := -1e6, -1e6*time.Second
	if n.startedAt = 0; cold {
		born, started = s.now, s.Hist.Now()
		n.startedAt = s.now
	}
	cfg := s.cfg.Node
	cfg.Zone = testbed.ZoneOf(n.id, s.cfg.Zones)
	n.incarnation = s.Hist.AddIncarnation(oracle.Incarnation{Node: n.id, StartedAt: started, Capacity: float64(cfg.Cores) * cfg.Speed, WarmUpFrom: cfg.SlowStartMinFraction, WarmUpS: cfg.SlowStartS})
	n.open, n.wakeAt, n.listed = map[uint64]*simAttempt{}, math.Inf(1), true
	n.model = node.New(cfg, s.keys, s.rng.Uint64(), born, n)
	n.model.SetConditions(s.cfg.NodeConditions)
	n.notify(policy.Up)
}

// stop ends the node as a crash would.
func (n *simNode) stop(how string) {
	if n.model == nil {
		return
	}
	n.model, n.listed = nil, false
	for _, h := range slices.Sorted(maps.Keys(n.open)) {
		attempt := n.open[h]
		delete(n.open, h)
		n.sim.Hist.AttemptEnded(attempt.rec, how)
		n.sim.after(n.sim.hop(), func() { attempt.forwarder.finish(attempt, policy.Reset) })
	}
}

// do runs something on the model and sees to it that it is woken in time.
func (n *simNode) do(f func(m *node.Model)) {
	if n.model == nil {
		return
	}
	m := n.model
	f(m)
	if n.model != m {
		return
	}
	if next := m.Next(); next < n.wakeAt {
		n.wakeAt = next
		n.sim.after(max(next-n.sim.now, 0), func() {
			if n.model == m && n.wakeAt <= n.sim.now {
				n.wakeAt = math.Inf(1)
				n.do(func(m *node.Model) { m.Advance(n.sim.now) })
			}
		})
	}
}

// Began implements node.Out.
func (n *simNode) Began(_ float64, a *node.Attempt, work float64, repeat bool) {
	n.sim.Hist.AttemptStarted(n.open[a.Handle].rec, work, repeat)
}

// Answer implements node.Out.
func (n *simNode) Answer(_ float64, a *node.Attempt, f node.Fate, load float64) {
	x := n.open[a.Handle]
	status := policy.Error
	switch f {
	case node.Served, node.Late, node.Copy, node.AbsurdLoad:
		status = policy.OK
		n.sim.Hist.AttemptAnswered(x.rec)
	case node.Full:
		status = policy.Rejected
	case node.ResetUnrun, node.ResetRan, node.ResetMid:
		status = policy.Reset
	}
	x.load = &policy.Load{InFlight: -1, Queue: -1, Utilization: load, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	if n.isCut(x.forwarder.number) {
		return
	}
	n.sim.after(n.sim.hop(), func() { x.forwarder.finish(x, status) })
}

// Ended implements node.Out.
func (n *simNode) Ended(_ float64, a *node.Attempt, how string) {
	x := n.open[a.Handle]
	if x == nil {
		return
	}
	delete(n.open, a.Handle)
	n.sim.Hist.AttemptEnded(x.rec, how)
	if how == "down" {
		n.sim.after(n.sim.hop(), func() { x.forwarder.finish(x, policy.Reset) })
	}
}

// Fell implements node.Out.
func (n *simNode) Fell(float64) {
	s := n.sim
	s.Hist.IncarnationCrashed(n.incarnation)
	s.Hist.AddFault("node " + n.id + " fell over")
	n.listed = false
	s.after(2, func() { n.notify(policy.Removed) })
}

func (n *simNode) isCut(f int) bool { return n.cut[f%2] }

// hop is how long a message takes.
func (s *Sim) hop() float64 { return 0.0002 + 0.002*s.rng.Float64() }

// notify has the roster tell all parties of a node, each at a time of its own.
func (n *simNode) notify(state policy.BackendState) {
	s := n.sim
	for _, forwarder := range s.fwds {
		s.after(s.lateS+0.05*s.rng.Float64(), func() { forwarder.handleEndpoint(n, state) })
	}
	for _, planner := range s.planners {
		s.after(s.lateS+0.05*s.rng.Float64(), func() {
			if host := planner.host; host != nil {
				planner.do(func() {
					if planner.host == host {
						host.UpdateBackends(planner.now(), []policy.Backend{n.entry(planner.clock, state)}, false)
					}
				})
			}
		})
	}
}

var stateNames = map[policy.BackendState]string{policy.Up: "in_service", policy.Draining: "terminating", policy.Removed: "terminated"}

// entry is a node as a party sees it: times by its own clock.
func (n *simNode) entry(c clock, state policy.BackendState) policy.Backend {
	e := policy.Backend{ID: n.id, Zone: testbed.ZoneOf(n.id, n.sim.cfg.Zones), State: state, Weight: 1}
	if n.startedAt > 0 {
		e.StartedAt = c.at(n.startedAt)
	}
	return e
}

// list is the whole list by a clock, those that drain not in it.
func (s *Sim) list(c clock) (list []policy.Backend) {
	for _, n := range s.nodes {
		if n.listed {
			list = append(list, n.entry(c, policy.Up))
		}
	}
	return list
}

func (s *Sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// ---- Planners ----

type simPlanner struct {
	sim         *Sim
	number      int
	host        *planner.Core
	clock       clock
	incarnation uint64
	paused      bool
	inbox       []func() // what came while it was paused
}

func (p *simPlanner) now() float64 { return p.clock.at(p.sim.now) }

func (p *simPlanner) start() {
	p.incarnation++
	life := p.incarnation
	host, err := planner.NewCore(planner.Config{Params: p.sim.params, Number: p.number, Seed: p.sim.rng.Uint64(), Settings: p.sim.settings(0, 1, false)}, p.now(), p)
	if err != nil {
		panic(err)
	}
	p.host = host
	if p.sim.cfg.Trace != nil {
		host.SetTracer(func(d reason.Decision) {
			d.At = p.sim.now
			p.sim.cfg.Trace(p.number, d)
		})
	}
	host.UpdateBackends(p.now(), p.sim.list(p.clock), true)
	var tick func()
	tick = func() {
		if p.incarnation != life {
			return
		}
		p.do(func() { p.host.Tick(p.now()) })
		p.sim.after(planner.TickIntervalS, tick)
	}
	p.sim.after(p.sim.rng.Float64()*planner.TickIntervalS, tick)
}

// do runs something on the planner's loop: once it runs again, if it is paused.
func (p *simPlanner) do(f func()) {
	if p.paused {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
	p.sim.check()
}

// SendToForwarder implements planner.Output.
func (p *simPlanner) SendToForwarder(f int, msgs ...transport.Message) {
	p.sim.links[p.number][f].send(true, msgs)
}

// Log implements planner.Output.
func (p *simPlanner) Log(string, ...any) {}

// check is the heart of fencing: no cell has two planners that may decide now.
func (s *Sim) check() {
	for c := range s.params.Cells {
		n := 0
		for _, planner := range s.planners {
			if !planner.paused && planner.host != nil && planner.host.IsLeader(planner.now(), c) {
				n++
			}
		}
		if n > 1 {
			s.breaks("one leader", "cell %d has %d", c, n)
		}
		s.Leads += n
	}
}

// ---- Forwarders and ingresses ----

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

// simAttempt is one send.
type simAttempt struct {
	node.Attempt
	forwarder *simForwarder
	request   *simRequest
	number    int
	node      *simNode
	sentAt    float64 // by the forwarder's clock
	rec       *oracle.Attempt
	done      bool
	load      *policy.Load
	way       string // of its connection
}

func (f *simForwarder) now() float64 { return f.clock.at(f.sim.now) }
func (f *simForwarder) runs() bool   { return f.core != nil || f.module != nil }

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

// What follows carries actions out, whichever process decided on them.

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

// Cancel implements policy.Actions.
func (f *simForwarder) Cancel(id string, attempt int) {
	if !f.order(id, snapshot.Order{Kind: snapshot.OrderCancel, ID: id, Attempt: attempt}) {
		f.cancel(id, attempt)
	}
}

func (f *simForwarder) cancel(id string, attempt int) {
	if request := f.open[id]; request != nil && attempt < len(request.attempts) {
		f.finish(request.attempts[attempt], policy.Cancelled)
	}
}

// Send implements policy.Actions.
func (f *simForwarder) Send(id, server string, timeoutS float64) {
	if !f.order(id, snapshot.Order{Kind: snapshot.OrderSend, ID: id, Backend: server, DelayS: timeoutS}) {
		f.write(id, server, timeoutS)
	}
}

func (f *simForwarder) write(id, server string, timeoutS float64) {
	s, request := f.sim, f.open[id]
	if request == nil || request.over {
		s.breaks(oracle.RuleOneAnswer, "%s is sent after its end", id)
		return
	}
	class := s.class(request.Class)
	attempt := &simAttempt{forwarder: f, request: request, number: len(request.attempts), node: s.node(server), sentAt: f.now(),
		Attempt: node.Attempt{Request: id, Account: request.Account, Class: request.Class}}
	if class.Idempotency == policy.KeyedIdempotent {
		attempt.Key = request.attempt.OriginalID
	}
	request.attempts = append(request.attempts, attempt)
	if attempt.node == nil || f.backendStates[server] != policy.Up || f.cordonedByIncarnation[request.incarnation][server] {
		f.finish(attempt, policy.NotSent)
		return
	}
	s.after(max(min(timeoutS, request.DeadlineAt-f.now()), 0), func() { f.finish(attempt, policy.Timeout) }) // as the ingress bounds it
	s.after(s.hop()+f.connect(attempt), func() { attempt.arrive() })
}

// Connections to nodes, as the ingress keeps them: one attempt at a time on each, those that ended well are used again for so long.
const (
	connIdleS  = 7.5
	handshakeS = 0.004
)

// connect finds a connection for an attempt and returns how long it takes to have it.
func (f *simForwarder) connect(attempt *simAttempt) float64 {
	s := f.sim
	attempt.way = fmt.Sprint(attempt.node.id, "/", attempt.node.incarnation)
	list := f.conns[attempt.way]
	for len(list) > 0 && s.now-list[0] > connIdleS {
		list = list[1:]
	}
	if n := len(list); n > 0 {
		f.conns[attempt.way] = list[:n-1]
		return 0
	}
	s.Handshakes++
	return handshakeS * (1 + s.rng.Float64())
}

// release keeps the connection of an attempt that ended with an answer.
func (f *simForwarder) release(attempt *simAttempt, status policy.Status) {
	if attempt.way != "" && (status == policy.OK || status == policy.Error || status == policy.Rejected) {
		f.conns[attempt.way] = append(f.conns[attempt.way], f.sim.now)
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
		s.after(s.hop(), func() { a.forwarder.finish(a, policy.ConnectFailed) })
		return
	case n.model.Breaks():
		s.after(s.hop(), func() { a.forwarder.finish(a, policy.Reset) })
		return
	}
	n.handles++
	a.Handle = n.handles
	a.rec = &oracle.Attempt{ID: a.request.ID, Node: n.id, Account: a.request.Account, Class: a.request.Class, Plan: a.request.Plan, Units: a.request.Units, Incarnation: n.incarnation,
		Conn: fmt.Sprintf("%d/%s/%d", a.forwarder.number, a.request.ID, a.number)}
	n.open[a.Handle] = a
	s.Hist.AttemptReceived(a.rec)
	n.do(func(m *node.Model) { s.Hist.SetAttemptWork(a.rec, m.Arrive(s.now, &a.Attempt)) })
	if a.done { // given up on the way
		a.leave()
	}
}

// leave takes the end of an attempt's connection to the node.
func (a *simAttempt) leave() {
	if a.rec == nil {
		return
	}
	s, n := a.forwarder.sim, a.node
	s.Hist.ConnectionEnded(a.rec.Conn)
	if n.isCut(a.forwarder.number) {
		return
	}
	s.after(s.hop(), func() {
		if n.open[a.Handle] == a {
			n.do(func(m *node.Model) { m.Leave(s.now, &a.Attempt) })
		}
	})
}

// finish ends an attempt at the forwarder, the first time that it is called.
func (f *simForwarder) finish(attempt *simAttempt, status policy.Status) {
	if attempt.done {
		return
	}
	attempt.done = true
	f.release(attempt, status)
	attempt.leave()
	request := attempt.request
	if f.cordonedByIncarnation[request.incarnation] == nil {
		return
	}
	if status == policy.OK {
		f.answer(request.ID, oracle.Served)
	}
	f.happen(request, func(g gateway) {
		g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: attempt.node.idOr(), Attempt: attempt.number, Status: status, Completed: request.over, LatencyS: f.now() - attempt.sentAt, Load: attempt.load})
	})
}

func (n *simNode) idOr() string {
	if n == nil {
		return ""
	}
	return n.id
}

func (s *Sim) class(name string) policy.Class {
	for _, c := range s.cfg.Classes {
		if c.Name == name {
			return c
		}
	}
	return policy.Class{}
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

// sort counts what messages between ingresses are for, by the first record that says most.
func (s *Sim) sort(data []byte) {
	_, _, recs, _, ok := peerprotocol.Parse(data, 0)
	kind := "items"
	for _, r := range recs {
		switch {
		case r.FromOwner && r.Requested > 0:
			kind = "answer to a question"
		case r.FromOwner:
			kind = "answer to a report"
		case r.Requested > 0:
			kind = "question"
		case r.LeaseS > 0:
			kind = "word of places"
		default:
			kind = "report"
		}
		if kind == "question" || kind == "answer to a question" {
			break
		}
	}
	if !ok {
		kind = "other"
	}
	s.Kinds[kind]++
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
