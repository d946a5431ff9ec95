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

const oldMostS = 3.5 // an old process lasts no longer

// succession is what a forwarder has of it while the old process lasts.
type succession struct {
	old            *forwarder.Core // writes down
	oldIncarnation int
	moving         bool                // all is on its way to the new process
	deferred       []func(gateway)     // what has happened there meanwhile
	relayAt        float64             // when the last event comes to the new process
	orderAt        float64             // when the last order comes to the old one
	lastEnds       float64             // when the old process is over at the latest
	attempts       map[*simRequest]int // sends that were ordered
}

// gateway is what the decision module and a forwarder's core have in common.
type gateway interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleDisconnect(now float64, id string)
}

// happen tells whoever decides what has become of a request.
func (f *simForwarder) happen(request *simRequest, tell func(gateway)) {
	if request.incarnation != f.incarnation { // the old process holds it
		if f.old != nil {
			tell(f.old)
			f.relay(tell)
		}
		return
	}
	f.do(func() {
		if f.cordonedByIncarnation[request.incarnation] != nil {
			f.decide(tell)
		}
	})
}

func (f *simForwarder) decide(tell func(gateway)) {
	switch {
	case f.moving:
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
	f.relayAt = max(f.relayAt, s.now+s.hop())
	s.after(f.relayAt-s.now, func() {
		if f.incarnation == life {
			f.do(func() { f.decide(tell) })
		}
	})
}

// order has the old process do something to a request that it holds; false if it holds none of that id.
func (f *simForwarder) order(id string, o snapshot.Order) bool {
	request := f.open[id]
	if request != nil && f.cordonedByIncarnation[request.incarnation] == nil {
		return true // whoever held it has died, and the news is on its way
	}
	if f.old == nil || request == nil || request.incarnation != f.oldIncarnation {
		return false
	}
	if o.Kind == snapshot.OrderSend {
		if f.attempts[request] == 0 {
			f.attempts[request] = len(request.attempts)
		}
		o.Attempt = f.attempts[request]
		f.attempts[request]++
	}
	f.send(o)
	return true
}

// send brings an order to the old process.
func (f *simForwarder) send(o snapshot.Order) {
	s, old := f.sim, f.old
	f.orderAt = max(f.orderAt, s.now+s.hop())
	s.after(f.orderAt-s.now, func() {
		if f.old == old && old != nil {
			f.carryOut(o)
		}
	})
}

// carryOut does what was ordered, as the old process's ingress would.
func (f *simForwarder) carryOut(o snapshot.Order) {
	f.old.RecordOrder(f.now(), o)
	request := f.open[o.ID]
	switch {
	case o.Kind == snapshot.OrderCordon:
		f.cordonedByIncarnation[f.oldIncarnation][o.ID] = o.Cordoned
	case request == nil:
	case o.Kind == snapshot.OrderSend && request.over: // it has ended while the order was on its way
		request.attempts = append(request.attempts, &simAttempt{forwarder: f, request: request, number: o.Attempt, done: true})
		f.happen(request, func(g gateway) {
			g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: o.Backend, Attempt: o.Attempt, Status: policy.NotSent, Completed: true})
		})
	case o.Kind == snapshot.OrderSend:
		f.write(o.ID, o.Backend, o.DelayS)
	case request.over:
	case o.Kind == snapshot.OrderReject:
		f.refuse(o.ID, o.DelayS)
	case o.Kind == snapshot.OrderFail:
		f.answer(o.ID, oracle.Failed)
	case o.Kind == snapshot.OrderCancel:
		f.cancel(o.ID, o.Attempt)
	}
}

// replace starts a second process beside a forwarder's. Nobody is replaced twice at a time here; sockets show chains.
func (s *Sim) replace(n int) bool {
	forwarder := s.fwds[n]
	if forwarder.core == nil || forwarder.old != nil || forwarder.moving || forwarder.busy {
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
	s.hangUp(n)
	old := forwarder.core
	forwarder.succession = succession{old: old, oldIncarnation: forwarder.incarnation, moving: true, attempts: map[*simRequest]int{}, relayAt: s.now, orderAt: s.now, lastEnds: s.now + oldMostS}
	forwarder.incarnation, forwarder.core = forwarder.begin(), forwarder.newCore()
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
		forwarder.do(func() {
			forwarder.moving = false
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
		if forwarder.old != old || forwarder.core != young {
			return
		}
		if s.now < forwarder.lastEnds && len(forwarder.predecessorRequests(false)) > 0 {
			s.after(0.02, ends)
			return
		}
		for _, request := range forwarder.predecessorRequests(false) {
			forwarder.answer(request.ID, oracle.Failed)
			forwarder.happen(request, func(g gateway) { g.HandleDisconnect(forwarder.now(), request.ID) })
		}
		forwarder.bereave()
	}
	s.after(0.02, ends)
	return true
}

// predecessorRequests are the requests that the old process holds, those that are over too if all.
func (f *simForwarder) predecessorRequests(all bool) (list []*simRequest) {
	for _, id := range slices.Sorted(maps.Keys(f.open)) {
		if request := f.open[id]; request.incarnation == f.oldIncarnation && (all || !request.over) {
			list = append(list, request)
		}
	}
	return list
}

// hangUp ends a forwarder's links, as the end of its process does.
func (s *Sim) hangUp(n int) {
	for p := range s.planners {
		k := s.links[p][n]
		k.fUp = false
		if session := k.session; !k.cut {
			s.after(0.001, func() {
				if k.session == session {
					k.endPlanner()
				}
			})
		}
	}
}

// bereave ends the old process, and with it what it had out.
func (f *simForwarder) bereave() {
	list := f.predecessorRequests(true)
	delete(f.cordonedByIncarnation, f.oldIncarnation)
	for _, request := range list {
		over := request.over
		if !request.over { // its client's connection ends, and the try is the client's to make again
			request.over, request.attempt.NotAccepted = true, true
			f.sim.Hist.RequestAnswered(request.attempt, oracle.ConnectionLost)
		}
		if !over {
			f.relay(func(g gateway) { g.HandleDisconnect(f.now(), request.ID) })
		}
		for _, attempt := range request.attempts {
			if !attempt.done {
				attempt.done = true
				attempt.leave()
				f.relay(func(g gateway) {
					g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Backend: attempt.node.idOr(), Attempt: attempt.number, Status: policy.Reset, Completed: true})
				})
			}
		}
		for n := len(request.attempts); n < f.attempts[request]; n++ { // ordered, and never heard of
			f.relay(func(g gateway) {
				g.HandleOutcome(f.now(), policy.Outcome{ID: request.ID, Attempt: n, Status: policy.Reset, Completed: true})
			})
		}
	}
	f.old = nil
}

// killSuccessor ends the new process of a forwarder; the old one goes on, once it has read what the new one still said.
func (s *Sim) killSuccessor(n int) {
	forwarder := s.fwds[n]
	if forwarder.old == nil || forwarder.core == nil || forwarder.busy {
		return
	}
	young := forwarder.incarnation
	delete(forwarder.cordonedByIncarnation, young)
	for _, id := range slices.Sorted(maps.Keys(forwarder.open)) {
		request := forwarder.open[id]
		if request.incarnation != young {
			continue
		}
		if !request.over {
			request.over, request.attempt.NotAccepted = true, true
			s.Hist.RequestAnswered(request.attempt, oracle.ConnectionLost)
		}
		for _, attempt := range request.attempts {
			if !attempt.done {
				attempt.done = true
				attempt.leave()
			}
		}
		delete(forwarder.open, id)
	}
	if !forwarder.moving {
		s.hangUp(n)
	}
	old, oldLife := forwarder.old, forwarder.oldIncarnation
	forwarder.core, forwarder.moving, forwarder.deferred, forwarder.pending = nil, false, nil, nil
	run := forwarder.run
	s.after(max(forwarder.orderAt-s.now, 0)+0.002+0.03*s.rng.Float64(), func() {
		if forwarder.run != run {
			return
		}
		forwarder.core, forwarder.incarnation, forwarder.succession = old, oldLife, succession{}
		forwarder.last++
		forwarder.known = uint64(forwarder.last)
		forwarder.do(func() { forwarder.core.Reclaim(forwarder.now()) })
	})
}

// killPredecessor ends the old process at once.
func (s *Sim) killPredecessor(n int) {
	if forwarder := s.fwds[n]; forwarder.old != nil && forwarder.core != nil && !forwarder.moving {
		forwarder.bereave()
	}
}

func init() {
	kinds["fleet replaced"] = func(s *Sim, x testbed.Fault) { s.replace(x.A % len(s.fwds)) }
	kinds["successor dies"] = func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.fwds)
		if s.replace(n) {
			s.after(0.4*x.X, func() { s.killSuccessor(n) })
		}
	}
	// Two planners see half of the other forwarders each, and need this one's promise; the third gives its cells up while the new process
	// votes, and that one dies.
	kinds["torn succession"] = func(s *Sim, x testbed.Fault) {
		n, a := x.A%len(s.fwds), x.B%len(s.planners)
		b, c := (a+1)%len(s.planners), (a+2)%len(s.planners)
		if !s.replace(n) {
			return
		}
		s.cutLinks(x.For.Seconds(), func(p, f int) bool {
			return f != n && (p == b && (f-n+len(s.fwds))%2 == 0 || p == c && (f-n+len(s.fwds))%2 == 1)
		})
		s.after(0.1, func() {
			host := s.planners[a].host
			if host == nil || s.planners[a].paused {
				return
			}
			host.Drain(s.planners[a].now())
			s.after(x.For.Seconds(), func() {
				if s.planners[a].host == host {
					s.planners[a].do(func() { host.Activate(s.planners[a].now()) })
				}
			})
		})
		s.after(0.12+0.05*x.X, func() { s.killSuccessor(n) })
	}
	// Nobody but the new processes knows what was passed on, and a leader dies.
	kinds["all replaced"] = func(s *Sim, x testbed.Fault) {
		for n := range s.fwds {
			s.replace(n)
		}
		s.after(0.1*x.X, func() { s.killPlanner(x.B%len(s.planners), x.For.Seconds()) })
	}
	// The same, and all of them die with it.
	kinds["all successors die"] = func(s *Sim, x testbed.Fault) {
		for n := range s.fwds {
			if s.replace(n) {
				s.after(0.5, func() { s.killSuccessor(n) })
			}
		}
		s.after(0.5, func() { s.killPlanner(x.B%len(s.planners), x.For.Seconds()) })
	}
	kinds["predecessor dies"] = func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.fwds)
		if s.replace(n) {
			s.after(0.015+0.5*x.X, func() { s.killPredecessor(n) })
		}
	}
}
