package simulation

import (
	"maps"
	"slices"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
)

// killPlanner kills planner n and starts it again after downS seconds.
func (s *Sim) killPlanner(n int, downS float64) {
	planner := s.planners[n]
	if planner.core == nil {
		return
	}
	planner.core, planner.paused, planner.inbox = nil, false, nil
	planner.incarnation++
	for f := range s.forwarders {
		link := s.links[n][f]
		link.plannerUp = false
		if !link.cut {
			session := link.session
			s.after(0.001, func() {
				if link.session == session {
					link.endForwarder()
				}
			})
		}
	}
	s.after(downS, func() {
		if planner.core == nil {
			planner.start()
		}
	})
}

// pausePlanner suspends planner n for downS seconds, like SIGSTOP. When it resumes, it handles the events that arrived meanwhile.
func (s *Sim) pausePlanner(n int, downS float64) {
	planner := s.planners[n]
	if planner.core == nil || planner.paused {
		return
	}
	planner.paused = true
	incarnation := planner.incarnation
	s.after(downS, func() {
		if planner.incarnation != incarnation {
			return
		}
		planner.paused = false
		inbox := planner.inbox
		planner.inbox = nil
		for _, do := range inbox {
			planner.runEvent(do)
		}
	})
}

// killForwarder kills forwarder n, and the old process of a hot restart with it, and starts it again after downS seconds.
func (s *Sim) killForwarder(n int, downS float64) {
	forwarder := s.forwarders[n]
	if !forwarder.running() {
		return
	}
	forwarder.core, forwarder.module, forwarder.busy, forwarder.pending, forwarder.cordonedByIncarnation = nil, nil, false, nil, nil
	forwarder.succession = succession{}
	forwarder.startCount++
	forwarder.downAt = s.now
	for p := range s.planners {
		link := s.links[p][n]
		link.forwarderUp = false
		if !link.cut {
			session := link.session
			s.after(0.001, func() {
				if link.session == session {
					link.endPlanner()
				}
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(forwarder.openRequests)) { // its connections to nodes end with it
		for _, attempt := range forwarder.openRequests[id].attempts {
			if !attempt.done {
				attempt.done = true
				attempt.disconnect()
			}
		}
	}
	from := s.Hist.Now()
	s.after(downS, func() {
		forwarder.start()
		s.Hist.AddOutage(n, from, s.Hist.Now())
	})
}

// cutLinks cuts the links of the planners p and forwarders f that which selects, for downS seconds.
func (s *Sim) cutLinks(downS float64, which func(p, f int) bool) {
	for p := range s.planners {
		for f := range s.forwarders {
			if which(p, f) {
				s.links[p][f].cut = true
			}
		}
	}
	s.after(downS, func() {
		for p := range s.planners {
			for f := range s.forwarders {
				link := s.links[p][f]
				if !which(p, f) {
					continue
				}
				link.cut = false
				if link.messageLost {
					link.endForwarder()
					link.endPlanner()
				}
			}
		}
	})
}

// pickNode returns one of the nodes that run and do not drain, by number n; nil if there are fewer than 3, as a fault then leaves too few.
func (s *Sim) pickNode(n int) *simNode {
	var list []*simNode
	for _, x := range s.nodes {
		if x.listed && x.model != nil && !x.model.IsCollapsed() {
			list = append(list, x)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[n%len(list)]
}

// crash crashes a node for x.For. Discovery reports the crash after 1 to 4 s if the node is still down then, and reports its return.
func (s *Sim) crash(n *simNode, x testbed.Fault) {
	if n == nil {
		return
	}
	n.stop("crash")
	noticeS := 1 + 3*x.X
	if x.For.Seconds() > noticeS {
		s.after(noticeS, func() {
			if n.model == nil {
				n.notify(2)
			}
		})
	}
	s.after(x.For.Seconds(), func() {
		if n.model == nil {
			n.start(true)
		}
	})
}

// changeConditions changes the run's conditions for nodes during twice x.For.
func (s *Sim) changeConditions(x testbed.Fault, list []*simNode, change func(*node.Conditions)) {
	conditions := s.cfg.NodeConditions
	change(&conditions)
	for _, n := range list {
		n.withModel(func(m *node.Model) { m.Advance(s.now); m.SetConditions(conditions) })
	}
	s.after(2*x.For.Seconds(), func() {
		for _, n := range list {
			n.withModel(func(m *node.Model) { m.Advance(s.now); m.SetConditions(s.cfg.NodeConditions) })
		}
	})
}

// cutNode cuts the network between a node and the forwarders of even (side 0) or odd (1) numbers, or all of them (-1), for x.For.
func (s *Sim) cutNode(x testbed.Fault, side int) {
	n := s.pickNode(x.A)
	if n == nil {
		return
	}
	for i := range n.cut {
		if side >= 0 && i != side {
			continue
		}
		n.cut[i] = true
		s.after(x.For.Seconds(), func() {
			n.cut[i] = false
			for _, h := range slices.Sorted(maps.Keys(n.openAttempts)) { // attempts that are still open when the cut ends are reset
				if attempt := n.openAttempts[h]; attempt.forwarder.number%2 == i {
					s.after(s.networkDelay(), func() {
						attempt.forwarder.finish(attempt, 5)
						if n.openAttempts[attempt.Handle] == attempt {
							n.withModel(func(m *node.Model) { m.Abandon(s.now, &attempt.Attempt) })
						}
					})
				}
			}
		})
	}
}

// faultKinds are the faults that can be injected in virtual time, by the names that they have on sockets.
var faultKinds = map[string]func(s *Sim, x testbed.Fault){
	"kill":  func(s *Sim, x testbed.Fault) { s.killPlanner(x.A%len(s.planners), x.For.Seconds()) },
	"pause": func(s *Sim, x testbed.Fault) { s.pausePlanner(x.A%len(s.planners), 2*x.For.Seconds()) },
	"all": func(s *Sim, x testbed.Fault) {
		for n := range s.planners {
			s.killPlanner(n, x.For.Seconds()/2)
		}
	},
	"term": func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.planners)
		if planner := s.planners[n]; planner.core != nil && !planner.paused {
			planner.core.Drain(planner.now())
			s.after(0.3, func() { s.killPlanner(n, x.For.Seconds()) })
		}
	},
	"cut": func(s *Sim, x testbed.Fault) {
		s.cutLinks(x.For.Seconds(), func(p, f int) bool { return p == x.A%len(s.planners) && f%2 == x.B%2 })
	},
	"split": func(s *Sim, x testbed.Fault) {
		s.cutLinks(x.For.Seconds(), func(p, _ int) bool { return p == x.A%len(s.planners) })
	},
	"odd": func(s *Sim, x testbed.Fault) {
		s.cutLinks(x.For.Seconds(), func(p, f int) bool { return (p+f)%2 == x.B%2 })
	},
	"lone": func(s *Sim, x testbed.Fault) {
		s.cutLinks(x.For.Seconds(), func(_, f int) bool { return f == x.A%len(s.forwarders) })
	},
	"peers": func(s *Sim, x testbed.Fault) {
		s.peerPartition.Cut = true
		end := s.Hist.BeginPeerFault(2, 0)
		s.after(x.For.Seconds(), func() { s.peerPartition.Cut = false; end() })
	},
	"fog": func(s *Sim, x testbed.Fault) {
		s.packetConditions = testbed.PacketConditions{Loss: 0.3 * x.X, Double: 0.2, Delay: 20 * time.Millisecond, Jitter: 60 * time.Millisecond}
		end := s.Hist.BeginPeerFault(0, s.packetConditions.Loss)
		s.after(x.For.Seconds(), func() { s.packetConditions = testbed.PacketConditions{}; end() })
	},
	"liar": func(s *Sim, x testbed.Fault) {
		s.misreportingIngress = 1 + x.A%len(s.forwarders)
		s.after(x.For.Seconds(), func() { s.misreportingIngress = 0 })
	},
	"half heavy": func(s *Sim, x testbed.Fault) {
		var half []*simNode
		for i, n := range s.nodes {
			if i%2 == 0 {
				half = append(half, n)
			}
		}
		x.For /= 2
		s.changeConditions(x, half, func(w *node.Conditions) { w.Slow = 3 })
	},
	"thick fog": func(s *Sim, x testbed.Fault) {
		s.packetConditions = testbed.PacketConditions{Loss: 0.5}
		end := s.Hist.BeginPeerFault(0, s.packetConditions.Loss)
		s.after(x.For.Seconds(), func() { s.packetConditions = testbed.PacketConditions{}; end() })
	},
	"mass kill": func(s *Sim, x testbed.Fault) {
		for i := range s.forwarders {
			if i%10 < 7 {
				s.killForwarder(i, x.For.Seconds())
			}
		}
	},
	"heavy": func(s *Sim, x testbed.Fault) {
		end := s.Hist.BeginSlowdown(3)
		x.For /= 2
		s.changeConditions(x, s.nodes, func(w *node.Conditions) { w.Slow = 3 })
		s.after(2*x.For.Seconds(), end)
	},
	"forwarder": func(s *Sim, x testbed.Fault) { s.killForwarder(x.A%len(s.forwarders), x.For.Seconds()) },
	"blink":     func(s *Sim, x testbed.Fault) { s.killForwarder(x.A%len(s.forwarders), 0.02+0.05*x.X) },
	"drain": func(s *Sim, x testbed.Fault) {
		if n := s.pickNode(x.A); n != nil {
			s.addNode(true)
			n.listed = false
			n.notify(1)
			s.after(2, func() { n.notify(2); n.stop("crash") })
		}
	},
	"crash": func(s *Sim, x testbed.Fault) { s.crash(s.pickNode(x.A), x) },
	"lone crash": func(s *Sim, x testbed.Fault) {
		for _, n := range s.nodes {
			if n.listed && n.model != nil && !n.model.IsCollapsed() && n.id == "z1" {
				s.crash(n, x)
			}
		}
	},
	"crashes": func(s *Sim, x testbed.Fault) {
		for i, n := range slices.Clone(s.nodes) {
			if n.listed && i%2 == x.B%2 {
				s.crash(n, x)
			}
		}
	},
	"node pause": func(s *Sim, x testbed.Fault) {
		if n := s.pickNode(x.A); n != nil {
			n.withModel(func(m *node.Model) { m.Pause(s.now) })
			s.after(x.For.Seconds(), func() { n.withModel(func(m *node.Model) { m.Resume(s.now) }) })
		}
	},
	"slow": func(s *Sim, x testbed.Fault) {
		if n := s.pickNode(x.A); n != nil {
			s.changeConditions(x, []*simNode{n}, func(w *node.Conditions) { w.Slow = 2 + 4*x.X })
		}
	},
	"snow": func(s *Sim, x testbed.Fault) {
		s.changeConditions(x, s.nodes, func(w *node.Conditions) { w.Slow = 1.4 + 1.4*x.X })
	},
	"sick": func(s *Sim, x testbed.Fault) {
		if n := s.pickNode(x.A); n != nil {
			s.changeConditions(x, []*simNode{n}, func(w *node.Conditions) { *w = node.FailingConditions(0.4 + 0.6*x.X) })
		}
	},
	"node cut":      func(s *Sim, x testbed.Fault) { s.cutNode(x, -1) },
	"node half cut": func(s *Sim, x testbed.Fault) { s.cutNode(x, x.B%2) },
	"fleet held":    func(s *Sim, x testbed.Fault) { s.cordonByOperator(x) },
	// Planner a, which may be a leader, loses the links to the forwarders of even number, and planner b loses those to the forwarders of odd
	// number. An operator then calls planner b to cordon a backend.
	"torn": func(s *Sim, x testbed.Fault) {
		a := x.A % len(s.planners)
		b := (a + 1) % len(s.planners)
		s.cutLinks(x.For.Seconds(), func(p, f int) bool { return p == a && f%2 == 0 || p == b && f%2 == 1 })
		s.after(0.001, func() { x.B = b; s.cordonByOperator(x) })
	},
	"away": func(s *Sim, x testbed.Fault) {
		planner := s.planners[x.A%len(s.planners)]
		if core := planner.core; core != nil && !planner.paused {
			core.Drain(planner.now())
			s.after(x.For.Seconds(), func() {
				if planner.core == core {
					planner.runEvent(func() { core.Activate(planner.now()) })
				}
			})
		}
	},
	"late roster": func(s *Sim, x testbed.Fault) {
		s.discoveryDelayS = 1 + 4*x.X
		s.after(x.For.Seconds(), func() { s.discoveryDelayS = 0 })
	},
	"flood": func(s *Sim, x testbed.Fault) {
		a := s.cfg.Accounts[len(s.cfg.Accounts)-1-x.A%min(3, len(s.cfg.Accounts))].Name
		s.floodFactors[a] = 3 + 5*x.X
		s.after(2*x.For.Seconds(), func() { delete(s.floodFactors, a) })
	},
}

// FaultKindNames returns the names of the faults for a fleet of two levels, or of one, in alphabetical order.
func FaultKindNames(two bool) (list []string) {
	for _, name := range slices.Sorted(maps.Keys(faultKinds)) {
		if testbed.DrawnByDefault(name, two) {
			list = append(list, name)
		}
	}
	return list
}

// injectFault injects a fault, unless the simulation has no such kind or the kind is not for fleets with this fleet's number of levels
// (with or without planners).
func (s *Sim) injectFault(x testbed.Fault) {
	if do := faultKinds[x.Kind]; do != nil && testbed.CanInject(x.Kind, len(s.planners) > 0) {
		s.Hist.AddFault(x.String())
		do(s, x)
	}
}
