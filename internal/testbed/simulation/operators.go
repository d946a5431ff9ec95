package simulation

import (
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
)

// operatorCallTimeoutS is how long an operator's call at a planner may take, as at its door.
const operatorCallTimeoutS = 0.85

// cordonByOperator has operators take a node out at one planner, and call it back at the next one. From the yes to the call back nothing may
// reach the node, whoever leads; a no binds nobody.
func (s *Sim) cordonByOperator(x testbed.Fault) {
	n := s.pickNode(x.A)
	if n == nil || s.operatorNodes[n.id] {
		return
	}
	s.operatorNodes[n.id] = true
	s.callPlanner(x.B, n.id, true, func(yes bool) {
		if yes {
			s.Cordoned++
			for f := range s.forwarders {
				s.Hist.SetCordon(oracle.IngressName(f), n.id, true)
			}
		}
		s.after(2*x.For.Seconds(), func() {
			if yes {
				for f := range s.forwarders {
					s.Hist.SetCordon(oracle.IngressName(f), n.id, false)
				}
			}
			s.uncordon(x.B+1, n.id)
		})
	})
}

// uncordon calls a node back, at one planner after the other until one says yes.
func (s *Sim) uncordon(planner int, id string) {
	s.callPlanner(planner, id, false, func(yes bool) {
		if yes {
			delete(s.operatorNodes, id)
			return
		}
		s.after(0.2, func() { s.uncordon(planner+1, id) })
	})
}

// callPlanner makes an operator's call. A planner that is not there, or that ends with the call, gives no answer: that is a no.
func (s *Sim) callPlanner(n int, id string, held bool, done func(yes bool)) {
	planner := s.planners[n%len(s.planners)]
	if planner.core == nil || planner.paused {
		s.after(0.1, func() { done(false) })
		return
	}
	answered, host := false, planner.core
	once := func(yes bool) {
		if !answered {
			answered = true
			done(yes)
		}
	}
	planner.runEvent(func() {
		if err := host.SetCordoned(planner.now(), operatorCallTimeoutS, id, held, func(err error) { once(err == nil) }); err != nil {
			s.after(0, func() { once(false) })
		}
	})
	s.after(1, func() { once(false) })
}
