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
	old      *forwarder.Core // writes down
	oldLife  int
	moving   bool                // all is on its way to the new process
	waits    []func(gateway)     // what has happened there meanwhile
	relayAt  float64             // when the last event comes to the new process
	orderAt  float64             // when the last order comes to the old one
	lastEnds float64             // when the old process is over at the latest
	attempts map[*simRequest]int // sends that were ordered
}

// gateway is what the decision module and a forwarder's core have in common.
type gateway interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleDisconnect(now float64, id string)
}

// happen tells whoever decides what has become of a request.
func (f *simForwarder) happen(r *simRequest, tell func(gateway)) {
	if r.life != f.life { // the old process holds it
		if f.old != nil {
			tell(f.old)
			f.relay(tell)
		}
		return
	}
	f.do(func() {
		if f.lives[r.life] != nil {
			f.decide(tell)
		}
	})
}

func (f *simForwarder) decide(tell func(gateway)) {
	switch {
	case f.moving:
		f.waits = append(f.waits, tell)
	case f.core != nil:
		tell(f.core)
	case f.gate != nil:
		tell(f.gate)
	}
}

// relay brings an event from the old process to the new one.
func (f *simForwarder) relay(tell func(gateway)) {
	s, life := f.s, f.life
	f.relayAt = max(f.relayAt, s.t+s.hop())
	s.after(f.relayAt-s.t, func() {
		if f.life == life {
			f.do(func() { f.decide(tell) })
		}
	})
}

// order has the old process do something to a request that it holds; false if it holds none of that id.
func (f *simForwarder) order(id string, o snapshot.Order) bool {
	r := f.open[id]
	if r != nil && f.lives[r.life] == nil {
		return true // whoever held it has died, and the news is on its way
	}
	if f.old == nil || r == nil || r.life != f.oldLife {
		return false
	}
	if o.Kind == snapshot.OrderSend {
		if f.attempts[r] == 0 {
			f.attempts[r] = len(r.attempts)
		}
		o.Attempt = f.attempts[r]
		f.attempts[r]++
	}
	f.send(o)
	return true
}

// send brings an order to the old process.
func (f *simForwarder) send(o snapshot.Order) {
	s, old := f.s, f.old
	f.orderAt = max(f.orderAt, s.t+s.hop())
	s.after(f.orderAt-s.t, func() {
		if f.old == old && old != nil {
			f.carryOut(o)
		}
	})
}

// carryOut does what was ordered, as the old process's ingress would.
func (f *simForwarder) carryOut(o snapshot.Order) {
	f.old.RecordOrder(f.now(), o)
	r := f.open[o.ID]
	switch {
	case o.Kind == snapshot.OrderCordon:
		f.lives[f.oldLife][o.ID] = o.Cordoned
	case r == nil:
	case o.Kind == snapshot.OrderSend && r.over: // it has ended while the order was on its way
		r.attempts = append(r.attempts, &simAttempt{f: f, r: r, number: o.Attempt, done: true})
		f.happen(r, func(g gateway) {
			g.HandleOutcome(f.now(), policy.Outcome{ID: r.ID, Backend: o.Backend, Attempt: o.Attempt, Status: policy.NotSent, Completed: true})
		})
	case o.Kind == snapshot.OrderSend:
		f.write(o.ID, o.Backend, o.DelayS)
	case r.over:
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
	f := s.fwds[n]
	if f.core == nil || f.old != nil || f.moving || f.busy {
		return false
	}
	from := s.Hist.Now()
	text := [][]byte{}
	for _, part := range f.core.Migrate(f.now()).Split() { // as it goes over the link
		b, err := json.Marshal(part)
		if err != nil {
			panic(err)
		}
		text = append(text, b)
	}
	s.hangUp(n)
	old := f.core
	f.succession = succession{old: old, oldLife: f.life, moving: true, attempts: map[*simRequest]int{}, relayAt: s.t, orderAt: s.t, lastEnds: s.t + oldMostS}
	f.life, f.core = f.begin(), f.newCore()
	young := f.core
	s.after(0.001+0.01*s.rng.Float64(), func() {
		if f.core != young {
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
		f.do(func() {
			f.moving = false
			f.core.Resume(f.now(), m)
			waits := f.waits
			f.waits = nil
			for _, tell := range waits {
				tell(f.core)
			}
		})
		s.Hist.AddReplacement(n, from, s.Hist.Now())
	})
	var ends func()
	ends = func() {
		if f.old != old || f.core != young {
			return
		}
		if s.t < f.lastEnds && len(f.elders(false)) > 0 {
			s.after(0.02, ends)
			return
		}
		for _, r := range f.elders(false) {
			f.answer(r.ID, oracle.Failed)
			f.happen(r, func(g gateway) { g.HandleDisconnect(f.now(), r.ID) })
		}
		f.bereave()
	}
	s.after(0.02, ends)
	return true
}

// elders are the requests that the old process holds, those that are over too if all.
func (f *simForwarder) elders(all bool) (list []*simRequest) {
	for _, id := range slices.Sorted(maps.Keys(f.open)) {
		if r := f.open[id]; r.life == f.oldLife && (all || !r.over) {
			list = append(list, r)
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
	list := f.elders(true)
	delete(f.lives, f.oldLife)
	for _, r := range list {
		over := r.over
		if !r.over { // its client's connection ends, and the try is the client's to make again
			r.over, r.try.NotAccepted = true, true
			f.s.Hist.RequestAnswered(r.try, oracle.ConnectionLost)
		}
		if !over {
			f.relay(func(g gateway) { g.HandleDisconnect(f.now(), r.ID) })
		}
		for _, a := range r.attempts {
			if !a.done {
				a.done = true
				a.leave()
				f.relay(func(g gateway) {
					g.HandleOutcome(f.now(), policy.Outcome{ID: r.ID, Backend: a.n.idOr(), Attempt: a.number, Status: policy.Reset, Completed: true})
				})
			}
		}
		for n := len(r.attempts); n < f.attempts[r]; n++ { // ordered, and never heard of
			f.relay(func(g gateway) {
				g.HandleOutcome(f.now(), policy.Outcome{ID: r.ID, Attempt: n, Status: policy.Reset, Completed: true})
			})
		}
	}
	f.old = nil
}

// killSuccessor ends the new process of a forwarder; the old one goes on, once it has read what the new one still said.
func (s *Sim) killSuccessor(n int) {
	f := s.fwds[n]
	if f.old == nil || f.core == nil || f.busy {
		return
	}
	young := f.life
	delete(f.lives, young)
	for _, id := range slices.Sorted(maps.Keys(f.open)) {
		r := f.open[id]
		if r.life != young {
			continue
		}
		if !r.over {
			r.over, r.try.NotAccepted = true, true
			s.Hist.RequestAnswered(r.try, oracle.ConnectionLost)
		}
		for _, a := range r.attempts {
			if !a.done {
				a.done = true
				a.leave()
			}
		}
		delete(f.open, id)
	}
	if !f.moving {
		s.hangUp(n)
	}
	old, oldLife := f.old, f.oldLife
	f.core, f.moving, f.waits, f.pending = nil, false, nil, nil
	run := f.run
	s.after(max(f.orderAt-s.t, 0)+0.002+0.03*s.rng.Float64(), func() {
		if f.run != run {
			return
		}
		f.core, f.life, f.succession = old, oldLife, succession{}
		f.last++
		f.known = uint64(f.last)
		f.do(func() { f.core.Reclaim(f.now()) })
	})
}

// killPredecessor ends the old process at once.
func (s *Sim) killPredecessor(n int) {
	if f := s.fwds[n]; f.old != nil && f.core != nil && !f.moving {
		f.bereave()
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
