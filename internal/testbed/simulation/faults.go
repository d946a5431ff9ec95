package simulation

import (
	"maps"
	"slices"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
)

func (s *Sim) killPlanner(n int, down float64) {
	p := s.planners[n]
	if p.host == nil {
		return
	}
	p.host, p.paused, p.inbox = nil, false, nil
	p.life++
	for f := range s.fwds {
		k := s.links[n][f]
		k.pUp = false
		if !k.cut {
			session := k.session
			s.after(0.001, func() {
				if k.session == session {
					k.endForwarder()
				}
			})
		}
	}
	s.after(down, func() {
		if p.host == nil {
			p.start()
		}
	})
}

func (s *Sim) pausePlanner(n int, down float64) {
	p := s.planners[n]
	if p.host == nil || p.paused {
		return
	}
	p.paused = true
	life := p.life
	s.after(down, func() {
		if p.life != life {
			return
		}
		p.paused = false
		inbox := p.inbox
		p.inbox = nil
		for _, do := range inbox {
			p.do(do)
		}
	})
}

func (s *Sim) killForwarder(n int, down float64) {
	f := s.fwds[n]
	if !f.runs() {
		return
	}
	f.core, f.gate, f.busy, f.pending, f.lives = nil, nil, false, nil, nil
	f.succession = succession{}
	f.run++
	f.downAt = s.t
	for p := range s.planners {
		k := s.links[p][n]
		k.fUp = false
		if !k.cut {
			session := k.session
			s.after(0.001, func() {
				if k.session == session {
					k.endPlanner()
				}
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.open)) { // its connections end with it
		for _, a := range f.open[id].attempts {
			if !a.done {
				a.done = true
				a.leave()
			}
		}
	}
	from := s.Hist.Now()
	s.after(down, func() {
		f.start()
		s.Hist.AddOutage(n, from, s.Hist.Now())
	})
}

func (s *Sim) cutLinks(down float64, which func(p, f int) bool) {
	for p := range s.planners {
		for f := range s.fwds {
			if which(p, f) {
				s.links[p][f].cut = true
			}
		}
	}
	s.after(down, func() {
		for p := range s.planners {
			for f := range s.fwds {
				k := s.links[p][f]
				if !which(p, f) {
					continue
				}
				k.cut = false
				if k.lost {
					k.endForwarder()
					k.endPlanner()
				}
			}
		}
	})
}

// pick chooses a node that runs and does not drain; nil if there are too few for one to be missed.
func (s *Sim) pick(n int) *simNode {
	var list []*simNode
	for _, x := range s.nodes {
		if x.listed && x.model != nil && !x.model.Fallen() {
			list = append(list, x)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[n%len(list)]
}

// crash ends a node; the roster knows later, and of its return too.
func (s *Sim) crash(n *simNode, x testbed.Fault) {
	if n == nil {
		return
	}
	n.stop("crash")
	notice := 1 + 3*x.X
	if x.For.Seconds() > notice {
		s.after(notice, func() {
			if n.model == nil {
				n.tell(2)
			}
		})
	}
	s.after(x.For.Seconds(), func() {
		if n.model == nil {
			n.start(true)
		}
	})
}

func (s *Sim) weather(x testbed.Fault, list []*simNode, change func(*node.Weather)) {
	w := s.cfg.Weather
	change(&w)
	for _, n := range list {
		n.do(func(m *node.Model) { m.Advance(s.t); m.SetWeather(w) })
	}
	s.after(2*x.For.Seconds(), func() {
		for _, n := range list {
			n.do(func(m *node.Model) { m.Advance(s.t); m.SetWeather(s.cfg.Weather) })
		}
	})
}

// wayTo cuts the way to a node from forwarders of one side, or of both with -1.
func (s *Sim) wayTo(x testbed.Fault, side int) {
	n := s.pick(x.A)
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
			for _, h := range slices.Sorted(maps.Keys(n.open)) { // what the cut met is reset
				if a := n.open[h]; a.f.n%2 == i {
					s.after(s.hop(), func() {
						a.f.finish(a, 5)
						if n.open[a.Handle] == a {
							n.do(func(m *node.Model) { m.Leave(s.t, &a.Attempt) })
						}
					})
				}
			}
		})
	}
}

// kinds are the faults that there are in virtual time, under the names that they have on sockets.
var kinds = map[string]func(s *Sim, x testbed.Fault){
	"kill":  func(s *Sim, x testbed.Fault) { s.killPlanner(x.A%len(s.planners), x.For.Seconds()) },
	"pause": func(s *Sim, x testbed.Fault) { s.pausePlanner(x.A%len(s.planners), 2*x.For.Seconds()) },
	"all": func(s *Sim, x testbed.Fault) {
		for n := range s.planners {
			s.killPlanner(n, x.For.Seconds()/2)
		}
	},
	"term": func(s *Sim, x testbed.Fault) {
		n := x.A % len(s.planners)
		if p := s.planners[n]; p.host != nil && !p.paused {
			p.host.Drain(p.now())
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
		s.cutLinks(x.For.Seconds(), func(_, f int) bool { return f == x.A%len(s.fwds) })
	},
	"peers": func(s *Sim, x testbed.Fault) {
		s.peerWay.Cut = true
		end := s.Hist.BeginPeerFault(2, 0)
		s.after(x.For.Seconds(), func() { s.peerWay.Cut = false; end() })
	},
	"fog": func(s *Sim, x testbed.Fault) {
		s.fog = testbed.Weather{Loss: 0.3 * x.X, Double: 0.2, Delay: 20 * time.Millisecond, Jitter: 60 * time.Millisecond}
		end := s.Hist.BeginPeerFault(0, s.fog.Loss)
		s.after(x.For.Seconds(), func() { s.fog = testbed.Weather{}; end() })
	},
	"liar": func(s *Sim, x testbed.Fault) {
		s.liar = 1 + x.A%len(s.fwds)
		s.after(x.For.Seconds(), func() { s.liar = 0 })
	},
	"half heavy": func(s *Sim, x testbed.Fault) {
		var half []*simNode
		for i, n := range s.nodes {
			if i%2 == 0 {
				half = append(half, n)
			}
		}
		x.For /= 2
		s.weather(x, half, func(w *node.Weather) { w.Slow = 3 })
	},
	"thick fog": func(s *Sim, x testbed.Fault) {
		s.fog = testbed.Weather{Loss: 0.5}
		end := s.Hist.BeginPeerFault(0, s.fog.Loss)
		s.after(x.For.Seconds(), func() { s.fog = testbed.Weather{}; end() })
	},
	"mass kill": func(s *Sim, x testbed.Fault) {
		for i := range s.fwds {
			if i%10 < 7 {
				s.killForwarder(i, x.For.Seconds())
			}
		}
	},
	"heavy": func(s *Sim, x testbed.Fault) {
		end := s.Hist.BeginSlowdown(3)
		x.For /= 2
		s.weather(x, s.nodes, func(w *node.Weather) { w.Slow = 3 })
		s.after(2*x.For.Seconds(), end)
	},
	"forwarder": func(s *Sim, x testbed.Fault) { s.killForwarder(x.A%len(s.fwds), x.For.Seconds()) },
	"blink":     func(s *Sim, x testbed.Fault) { s.killForwarder(x.A%len(s.fwds), 0.02+0.05*x.X) },
	"drain": func(s *Sim, x testbed.Fault) {
		if n := s.pick(x.A); n != nil {
			s.addNode(true)
			n.listed = false
			n.tell(1)
			s.after(2, func() { n.tell(2); n.stop("crash") })
		}
	},
	"crash": func(s *Sim, x testbed.Fault) { s.crash(s.pick(x.A), x) },
	"lone crash": func(s *Sim, x testbed.Fault) {
		for _, n := range s.nodes {
			if n.listed && n.model != nil && !n.model.Fallen() && n.id == "z1" {
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
		if n := s.pick(x.A); n != nil {
			n.do(func(m *node.Model) { m.Pause(s.t) })
			s.after(x.For.Seconds(), func() { n.do(func(m *node.Model) { m.Resume(s.t) }) })
		}
	},
	"slow": func(s *Sim, x testbed.Fault) {
		if n := s.pick(x.A); n != nil {
			s.weather(x, []*simNode{n}, func(w *node.Weather) { w.Slow = 2 + 4*x.X })
		}
	},
	"snow": func(s *Sim, x testbed.Fault) {
		s.weather(x, s.nodes, func(w *node.Weather) { w.Slow = 1.4 + 1.4*x.X })
	},
	"sick": func(s *Sim, x testbed.Fault) {
		if n := s.pick(x.A); n != nil {
			s.weather(x, []*simNode{n}, func(w *node.Weather) { *w = node.Rough(0.4 + 0.6*x.X) })
		}
	},
	"node cut":      func(s *Sim, x testbed.Fault) { s.wayTo(x, -1) },
	"node half cut": func(s *Sim, x testbed.Fault) { s.wayTo(x, x.B%2) },
	"fleet held":    func(s *Sim, x testbed.Fault) { s.holdByHand(x) },
	"torn": func(s *Sim, x testbed.Fault) { // a leader is left to half of the forwarders, and operators call at a planner that has the others
		a := x.A % len(s.planners)
		b := (a + 1) % len(s.planners)
		s.cutLinks(x.For.Seconds(), func(p, f int) bool { return p == a && f%2 == 0 || p == b && f%2 == 1 })
		s.after(0.001, func() { x.B = b; s.holdByHand(x) })
	},
	"away": func(s *Sim, x testbed.Fault) {
		p := s.planners[x.A%len(s.planners)]
		if host := p.host; host != nil && !p.paused {
			host.Drain(p.now())
			s.after(x.For.Seconds(), func() {
				if p.host == host {
					p.do(func() { host.Activate(p.now()) })
				}
			})
		}
	},
	"late roster": func(s *Sim, x testbed.Fault) {
		s.lateS = 1 + 4*x.X
		s.after(x.For.Seconds(), func() { s.lateS = 0 })
	},
	"flood": func(s *Sim, x testbed.Fault) {
		a := s.cfg.Accounts[len(s.cfg.Accounts)-1-x.A%min(3, len(s.cfg.Accounts))].Name
		s.floods[a] = 3 + 5*x.X
		s.after(2*x.For.Seconds(), func() { delete(s.floods, a) })
	},
}

// KindNames are the faults of a shape, in order.
func KindNames(two bool) (list []string) {
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		if testbed.Fits(name, two) {
			list = append(list, name)
		}
	}
	return list
}

// fault does one thing, if the shape has what it is done to.
func (s *Sim) fault(x testbed.Fault) {
	if do := kinds[x.Kind]; do != nil && testbed.Plays(x.Kind, len(s.planners) > 0) {
		s.Hist.AddFault(x.String())
		do(s, x)
	}
}
