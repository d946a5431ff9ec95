package simulation

import (
	"encoding/json"
	"maps"
	"slices"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Hot restart of a forwarder: a new process takes over the decisions, and the old one keeps its requests until they end. Messages between
// the two processes are delayed and keep their order.

// maxPredecessorLifetimeS is how long an old process lasts at most, in seconds.
const maxPredecessorLifetimeS = 3.5

// succession is the state of a forwarder's hot restart while the old process lasts.
type succession struct {
	predecessor            *forwarder.Core // decides nothing; records its requests' outcomes and orders
	predecessorIncarnation int
	migrating              bool                // the state is on its way to the new process
	deferred               []func(gateway)     // events that came while migrating
	lastRelayAt            float64             // when the last relayed event reaches the new process
	lastOrderAt            float64             // when the last order reaches the old process
	predecessorDeadline    float64             // when the old process ends at the latest
	orderedAttempts        map[*simRequest]int // index of the next attempt to order; 0: none was ordered
}

// gateway is the interface that the decision module and a forwarder's core share.
type gateway interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleDisconnect(now float64, id string)
}

// notify reports an event of a request to the process that decides. If the old process holds the request, it records the event and relays it.
func (f *simForwarder) notify(request *simRequest, report func(gateway)) {
	if request.incarnation != f.incarnation { // the old process holds the request
		if f.predecessor != nil {
			report(f.predecessor)
			f.relay(report)
		}
		return
	}
	f.runEvent(func() {
		if f.cordonedByIncarnation[request.incarnation] != nil {
			f.dispatch(report)
		}
	})
}

// dispatch passes an event to the deciding core or module, or defers it while migrating.
func (f *simForwarder) dispatch(report func(gateway)) {
	switch {
	case f.migrating:
		f.deferred = append(f.deferred, report)
	case f.core != nil:
		report(f.core)
	case f.module != nil:
		report(f.module)
	}
}

// relay sends an event from the old process to the new one.
func (f *simForwarder) relay(report func(gateway)) {
	s, incarnation := f.sim, f.incarnation
	f.lastRelayAt = max(f.lastRelayAt, s.now+s.networkDelay())
	s.after(f.lastRelayAt-s.now, func() {
		if f.incarnation == incarnation {
			f.runEvent(func() { f.dispatch(report) })
		}
	})
}

// forwardOrder sends an order for a request to the old process and returns true, if that process holds the request. It also returns true,
// without an order, if the process that held the request has died.
func (f *simForwarder) forwardOrder(id string, o snapshot.Order) bool {
	request := f.openRequests[id]
	if request != nil && f.cordonedByIncarnation[request.incarnation] == nil {
		return true // its process has died, and the event that reports this is on its way
	}
	if f.predecessor == nil || request == nil || request.incarnation != f.predecessorIncarnation {
		return false
	}
	if o.Kind == snapshot.OrderSend {
		if f.orderedAttempts[request] == 0 {
			f.orderedAttempts[request] = len(request.attempts)
		}
		o.Attempt = f.orderedAttempts[request]
		f.orderedAttempts[request]++
	}
	f.sendOrder(o)
	return true
}

// sendOrder sends an order to the old process.
func (f *simForwarder) sendOrder(o snapshot.Order) {
	s, predecessor := f.sim, f.predecessor
	f.lastOrderAt = max(f.lastOrderAt, s.now+s.networkDelay())
	s.after(f.lastOrderAt-s.now, func() {
		if f.predecessor == predecessor && predecessor != nil {
			f.executeOrder(o)
		}
	})
}

// executeOrder carries out an order in the old process, as its ingress does.
func (f *simForwarder) executeOrder(o snapshot.Order) {
	f.predecessor.RecordOrder(f.now(), o)
	request := f.openRequests[o.ID]
	switch {
	case o.Kind == snapshot.OrderCordon:
		f.cordonedByIncarnation[f.predecessorIncarnation][o.ID] = o.Cordoned
	case request == nil:
	case o.Kind == snapshot.OrderSend && request.done: // the request has ended while the order was on its way
		request.attempts = append(request.attempts, &simAttempt{forwarder: f, request: request, number: o.Attempt, done: true})
		f.notify(request, func(g gateway) {
			g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: o.Backend, Attempt: o.Attempt, Status: policy.NotSent, Completed: true})
		})
	case o.Kind == snapshot.OrderSend:
		f.sendAttempt(o.ID, o.Backend, o.DelayS)
	case request.done:
	case o.Kind == snapshot.OrderReject:
		f.reject(o.ID, o.DelayS)
	case o.Kind == snapshot.OrderFail:
		f.answer(o.ID, oracle.Failed)
	case o.Kind == snapshot.OrderCancel:
		f.cancel(o.ID, o.Attempt)
	}
}

// replace starts a hot restart of forwarder n and reports whether it did. It does not while another one of n lasts: chains of restarts are
// covered by the testbed on sockets.
func (s *Sim) replace(n int) bool {
	forwarder := s.forwarders[n]
	if forwarder.core == nil || forwarder.predecessor != nil || forwarder.migrating || forwarder.busy {
		return false
	}
	from := s.Hist.Now()
	encoded := [][]byte{}
	for _, part := range forwarder.core.Migrate(forwarder.now()).Split() { // encoded as for the link between the processes
		b, err := json.Marshal(part)
		if err != nil {
			panic(err)
		}
		encoded = append(encoded, b)
	}
	s.disconnectPlanners(n)
	predecessor := forwarder.core
	forwarder.succession = succession{predecessor: predecessor, predecessorIncarnation: forwarder.incarnation, migrating: true, orderedAttempts: map[*simRequest]int{}, lastRelayAt: s.now, lastOrderAt: s.now, predecessorDeadline: s.now + maxPredecessorLifetimeS}
	forwarder.incarnation, forwarder.core = forwarder.newIncarnation(), forwarder.newCore()
	successor := forwarder.core
	s.after(0.001+0.01*s.rng.Float64(), func() {
		if forwarder.core != successor {
			return
		}
		var parts []snapshot.Part
		for _, b := range encoded {
			var part snapshot.Part
			if err := json.Unmarshal(b, &part); err != nil {
				panic(err)
			}
			parts = append(parts, part)
		}
		state, _ := snapshot.Join(parts)
		forwarder.runEvent(func() {
			forwarder.migrating = false
			forwarder.core.Resume(forwarder.now(), state)
			deferred := forwarder.deferred
			forwarder.deferred = nil
			for _, report := range deferred {
				report(forwarder.core)
			}
		})
		s.Hist.AddHotRestart(n, from, s.Hist.Now())
	})
	var checkEnd func()
	checkEnd = func() {
		if forwarder.predecessor != predecessor || forwarder.core != successor {
			return
		}
		if s.now < forwarder.predecessorDeadline && len(forwarder.predecessorRequests(false)) > 0 {
			s.after(0.02, checkEnd)
			return
		}
		for _, request := range forwarder.predecessorRequests(false) {
			forwarder.answer(request.ID, oracle.Failed)
			forwarder.notify(request, func(g gateway) { g.HandleDisconnect(forwarder.now(), request.ID) })
		}
		forwarder.endPredecessor()
	}
	s.after(0.02, checkEnd)
	return true
}

// predecessorRequests returns the requests that the old process holds, by ID; those that are done only if all is set.
func (f *simForwarder) predecessorRequests(all bool) (list []*simRequest) {
	for _, id := range slices.Sorted(maps.Keys(f.openRequests)) {
		if request := f.openRequests[id]; request.incarnation == f.predecessorIncarnation && (all || !request.done) {
			list = append(list, request)
		}
	}
	return list
}

// disconnectPlanners ends the links of forwarder n to the planners, as the exit of its process does.
func (s *Sim) disconnectPlanners(n int) {
	for p := range s.planners {
		link := s.links[p][n]
		link.forwarderUp = false
		if session := link.session; !link.cut {
			s.after(0.001, func() {
				if link.session == session {
					link.endPlanner()
				}
			})
		}
	}
}

// endPredecessor ends the old process, and with it its requests and attempts. The new process learns of it by relayed events.
func (f *simForwarder) endPredecessor() {
	requests := f.predecessorRequests(true)
	delete(f.cordonedByIncarnation, f.predecessorIncarnation)
	for _, request := range requests {
		wasDone := request.done
		if !request.done { // the client's connection is closed, and the client may retry
			request.done, request.record.NotAccepted = true, true
			f.sim.Hist.RequestAnswered(request.record, oracle.ConnectionLost)
		}
		if !wasDone {
			f.relay(func(g gateway) { g.HandleDisconnect(f.now(), request.ID) })
		}
		for _, attempt := range request.attempts {
			if !attempt.done {
				attempt.done = true
				attempt.disconnect()
				f.relay(func(g gateway) {
					g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: attempt.node.idOrEmpty(), Attempt: attempt.number, Status: policy.Reset, Completed: true})
				})
			}
		}
		for n := len(request.attempts); n < f.orderedAttempts[request]; n++ { // ordered, but no outcome was reported
			f.relay(func(g gateway) {
				g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Attempt: n, Status: policy.Reset, Completed: true})
			})
		}
	}
	f.predecessor = nil
}

// killSuccessor kills the new process of a hot restart. The old one decides again once it has received all orders of the new one.
func (s *Sim) killSuccessor(n int) {
	forwarder := s.forwarders[n]
	if forwarder.predecessor == nil || forwarder.core == nil || forwarder.busy {
		return
	}
	incarnation := forwarder.incarnation
	delete(forwarder.cordonedByIncarnation, incarnation)
	for _, id := range slices.Sorted(maps.Keys(forwarder.openRequests)) {
		request := forwarder.openRequests[id]
		if request.incarnation != incarnation {
			continue
		}
		if !request.done {
			request.done, request.record.NotAccepted = true, true
			s.Hist.RequestAnswered(request.record, oracle.ConnectionLost)
		}
		for _, attempt := range request.attempts {
			if !attempt.done {
				attempt.done = true
				attempt.disconnect()
			}
		}
		delete(forwarder.openRequests, id)
	}
	if !forwarder.migrating {
		s.disconnectPlanners(n)
	}
	predecessor, predecessorIncarnation := forwarder.predecessor, forwarder.predecessorIncarnation
	forwarder.core, forwarder.migrating, forwarder.deferred, forwarder.pending = nil, false, nil, nil
	startCount := forwarder.startCount
	s.after(max(forwarder.lastOrderAt-s.now, 0)+0.002+0.03*s.rng.Float64(), func() {
		if forwarder.startCount != startCount {
			return
		}
		forwarder.core, forwarder.incarnation, forwarder.succession = predecessor, predecessorIncarnation, succession{}
		forwarder.lastIncarnation++
		forwarder.advertisedIncarnation = uint64(forwarder.lastIncarnation)
		forwarder.runEvent(func() { forwarder.core.Reclaim(forwarder.now()) })
	})
}

// killPredecessor kills the old process of a hot restart, unless the state is still on its way to the new one.
func (s *Sim) killPredecessor(n int) {
	if forwarder := s.forwarders[n]; forwarder.predecessor != nil && forwarder.core != nil && !forwarder.migrating {
		forwarder.endPredecessor()
	}
}

func init() {
	faultKinds["fleet replaced"] = func(s *Sim, x testbed.Fault) { s.replace(x.A % len(s.forwarders)) }
	faultKinds["successor dies"] = func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.forwarders)
		if s.replace(n) {
			s.after(0.4*x.X, func() { s.killSuccessor(n) })
		}
	}
	// Two planners reach half of the other forwarders each, so that both need this forwarder's promise. The third planner releases its cells
	// while the new process grants promises, and the new process is killed.
	faultKinds["torn succession"] = func(s *Sim, x testbed.Fault) {
		n, a := x.A%len(s.forwarders), x.B%len(s.planners)
		b, c := (a+1)%len(s.planners), (a+2)%len(s.planners)
		if !s.replace(n) {
			return
		}
		s.cutLinks(x.For.Seconds(), func(p, f int) bool {
			return f != n && (p == b && (f-n+len(s.forwarders))%2 == 0 || p == c && (f-n+len(s.forwarders))%2 == 1)
		})
		s.after(0.1, func() {
			core := s.planners[a].core
			if core == nil || s.planners[a].paused {
				return
			}
			core.Drain(s.planners[a].now())
			s.after(x.For.Seconds(), func() {
				if s.planners[a].core == core {
					s.planners[a].runEvent(func() { core.Activate(s.planners[a].now()) })
				}
			})
		})
		s.after(0.12+0.05*x.X, func() { s.killSuccessor(n) })
	}
	// Only the new processes know the state that was handed over, and a planner, which may lead, is killed.
	faultKinds["all replaced"] = func(s *Sim, x testbed.Fault) {
		for n := range s.forwarders {
			s.replace(n)
		}
		s.after(0.1*x.X, func() { s.killPlanner(x.B%len(s.planners), x.For.Seconds()) })
	}
	// As above, and the new processes are killed together with the planner.
	faultKinds["all successors die"] = func(s *Sim, x testbed.Fault) {
		for n := range s.forwarders {
			if s.replace(n) {
				s.after(0.5, func() { s.killSuccessor(n) })
			}
		}
		s.after(0.5, func() { s.killPlanner(x.B%len(s.planners), x.For.Seconds()) })
	}
	faultKinds["predecessor dies"] = func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.forwarders)
		if s.replace(n) {
			s.after(0.015+0.5*x.X, func() { s.killPredecessor(n) })
		}
	}
}
