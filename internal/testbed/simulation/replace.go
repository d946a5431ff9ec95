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

// A forwarder replaced beside itself: two processes, of which the new one decides and the old one holds its requests to their end. What
// they say to each other takes its time and keeps its order.

const maxPredecessorLifetimeS = 3.5 // an old process lasts no longer

// succession is what a forwarder has of it while the old process lasts.
type succession struct {
	predecessor            *forwarder.Core // writes down
	predecessorIncarnation int
	migrating              bool                // all is on its way to the new process
	deferred               []func(gateway)     // what has happened there meanwhile
	lastRelayAt            float64             // when the last event comes to the new process
	lastOrderAt            float64             // when the last order comes to the old one
	predecessorDeadline    float64             // when the old process is over at the latest
	orderedAttempts        map[*simRequest]int // sends that were ordered
}

// gateway is what the decision module and a forwarder's core have in common.
type gateway interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleDisconnect(now float64, id string)
}

// notify tells whoever decides what has become of a request.
func (f *simForwarder) notify(request *simRequest, tell func(gateway)) {
	if request.incarnation != f.incarnation { // the old process holds it
		if f.predecessor != nil {
			tell(f.predecessor)
			f.relay(tell)
		}
		return
	}
	f.runEvent(func() {
		if f.cordonedByIncarnation[request.incarnation] != nil {
			f.dispatch(tell)
		}
	})
}

func (f *simForwarder) dispatch(tell func(gateway)) {
	switch {
	case f.migrating:
		f.deferred = append(f.deferred, tell)
	case f.core != nil:
		tell(f.core)
	case f.module != nil:
		tell(f.module)
	}
}

// relay brings an event from the old process to the new one.
func (f *simForwarder) relay(tell func(gateway)) {
	s, life := f.sim, f.incarnation
	f.lastRelayAt = max(f.lastRelayAt, s.now+s.networkDelay())
	s.after(f.lastRelayAt-s.now, func() {
		if f.incarnation == life {
			f.runEvent(func() { f.dispatch(tell) })
		}
	})
}

// forwardOrder has the old process do something to a request that it holds; false if it holds none of that id.
func (f *simForwarder) forwardOrder(id string, o snapshot.Order) bool {
	request := f.openRequests[id]
	if request != nil && f.cordonedByIncarnation[request.incarnation] == nil {
		return true // whoever held it has died, and the news is on its way
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

// sendOrder brings an order to the old process.
func (f *simForwarder) sendOrder(o snapshot.Order) {
	s, old := f.sim, f.predecessor
	f.lastOrderAt = max(f.lastOrderAt, s.now+s.networkDelay())
	s.after(f.lastOrderAt-s.now, func() {
		if f.predecessor == old && old != nil {
			f.executeOrder(o)
		}
	})
}

// executeOrder does what was ordered, as the old process's ingress would.
func (f *simForwarder) executeOrder(o snapshot.Order) {
	f.predecessor.RecordOrder(f.now(), o)
	request := f.openRequests[o.ID]
	switch {
	case o.Kind == snapshot.OrderCordon:
		f.cordonedByIncarnation[f.predecessorIncarnation][o.ID] = o.Cordoned
	case request == nil:
	case o.Kind == snapshot.OrderSend && request.done: // it has ended while the order was on its way
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

// replace starts a second process beside a forwarder's. Nobody is replaced twice at a time here; sockets show chains.
func (s *Sim) replace(n int) bool {
	forwarder := s.forwarders[n]
	if forwarder.core == nil || forwarder.predecessor != nil || forwarder.migrating || forwarder.busy {
		return false
	}
	from := s.Hist.Now()
	text := [][]byte{}
	for _, part := range forwarder.core.Migrate(forwarder.now()).Split() { // as it goes over the link
		b, err := json.Marshal(part)
		if err != nil {
			panic(err)
		}
		text = append(text, b)
	}
	s.disconnectPlanners(n)
	old := forwarder.core
	forwarder.succession = succession{predecessor: old, predecessorIncarnation: forwarder.incarnation, migrating: true, orderedAttempts: map[*simRequest]int{}, lastRelayAt: s.now, lastOrderAt: s.now, predecessorDeadline: s.now + maxPredecessorLifetimeS}
	forwarder.incarnation, forwarder.core = forwarder.newIncarnation(), forwarder.newCore()
	young := forwarder.core
	s.after(0.001+0.01*s.rng.Float64(), func() {
		if forwarder.core != young {
			return
		}
		var parts []snapshot.Part
		for _, b := range text {
			var part snapshot.Part
			if err := json.Unmarshal(b, &part); err != nil {
				panic(err)
			}
			parts = append(parts, part)
		}
		m, _ := snapshot.Join(parts)
		forwarder.runEvent(func() {
			forwarder.migrating = false
			forwarder.core.Resume(forwarder.now(), m)
			waits := forwarder.deferred
			forwarder.deferred = nil
			for _, tell := range waits {
				tell(forwarder.core)
			}
		})
		s.Hist.AddReplacement(n, from, s.Hist.Now())
	})
	var ends func()
	ends = func() {
		if forwarder.predecessor != old || forwarder.core != young {
			return
		}
		if s.now < forwarder.predecessorDeadline && len(forwarder.predecessorRequests(false)) > 0 {
			s.after(0.02, ends)
			return
		}
		for _, request := range forwarder.predecessorRequests(false) {
			forwarder.answer(request.ID, oracle.Failed)
			forwarder.notify(request, func(g gateway) { g.HandleDisconnect(forwarder.now(), request.ID) })
		}
		forwarder.endPredecessor()
	}
	s.after(0.02, ends)
	return true
}

// predecessorRequests are the requests that the old process holds, those that are over too if all.
func (f *simForwarder) predecessorRequests(all bool) (list []*simRequest) {
	for _, id := range slices.Sorted(maps.Keys(f.openRequests)) {
		if request := f.openRequests[id]; request.incarnation == f.predecessorIncarnation && (all || !request.done) {
			list = append(list, request)
		}
	}
	return list
}

// disconnectPlanners ends a forwarder's links, as the end of its process does.
func (s *Sim) disconnectPlanners(n int) {
	for p := range s.planners {
		k := s.links[p][n]
		k.forwarderUp = false
		if session := k.session; !k.cut {
			s.after(0.001, func() {
				if k.session == session {
					k.endPlanner()
				}
			})
		}
	}
}

// endPredecessor ends the old process, and with it what it had out.
func (f *simForwarder) endPredecessor() {
	list := f.predecessorRequests(true)
	delete(f.cordonedByIncarnation, f.predecessorIncarnation)
	for _, request := range list {
		over := request.done
		if !request.done { // its client's connection ends, and the try is the client's to make again
			request.done, request.record.NotAccepted = true, true
			f.sim.Hist.RequestAnswered(request.record, oracle.ConnectionLost)
		}
		if !over {
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
		for n := len(request.attempts); n < f.orderedAttempts[request]; n++ { // ordered, and never heard of
			f.relay(func(g gateway) {
				g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Attempt: n, Status: policy.Reset, Completed: true})
			})
		}
	}
	f.predecessor = nil
}

// killSuccessor ends the new process of a forwarder; the old one goes on, once it has read what the new one still said.
func (s *Sim) killSuccessor(n int) {
	forwarder := s.forwarders[n]
	if forwarder.predecessor == nil || forwarder.core == nil || forwarder.busy {
		return
	}
	young := forwarder.incarnation
	delete(forwarder.cordonedByIncarnation, young)
	for _, id := range slices.Sorted(maps.Keys(forwarder.openRequests)) {
		request := forwarder.openRequests[id]
		if request.incarnation != young {
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
	old, oldLife := forwarder.predecessor, forwarder.predecessorIncarnation
	forwarder.core, forwarder.migrating, forwarder.deferred, forwarder.pending = nil, false, nil, nil
	run := forwarder.startCount
	s.after(max(forwarder.lastOrderAt-s.now, 0)+0.002+0.03*s.rng.Float64(), func() {
		if forwarder.startCount != run {
			return
		}
		forwarder.core, forwarder.incarnation, forwarder.succession = old, oldLife, succession{}
		forwarder.lastIncarnation++
		forwarder.advertisedIncarnation = uint64(forwarder.lastIncarnation)
		forwarder.runEvent(func() { forwarder.core.Reclaim(forwarder.now()) })
	})
}

// killPredecessor ends the old process at once.
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
	// Two planners see half of the other forwarders each, and need this one's promise; the third gives its cells up while the new process
	// votes, and that one dies.
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
			host := s.planners[a].core
			if host == nil || s.planners[a].paused {
				return
			}
			host.Drain(s.planners[a].now())
			s.after(x.For.Seconds(), func() {
				if s.planners[a].core == host {
					s.planners[a].runEvent(func() { host.Activate(s.planners[a].now()) })
				}
			})
		})
		s.after(0.12+0.05*x.X, func() { s.killSuccessor(n) })
	}
	// Nobody but the new processes knows what was passed on, and a leader dies.
	faultKinds["all replaced"] = func(s *Sim, x testbed.Fault) {
		for n := range s.forwarders {
			s.replace(n)
		}
		s.after(0.1*x.X, func() { s.killPlanner(x.B%len(s.planners), x.For.Seconds()) })
	}
	// The same, and all of them die with it.
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
