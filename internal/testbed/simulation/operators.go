package simulation

import (
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
)

// operatorCallTimeoutS is how long an operator's call to a planner may take, in seconds, as at its admin interface.
const operatorCallTimeoutS = 0.85

// cordonByOperator has an operator cordon a node at one planner, and uncordon it at the next one after twice x.For. From the success of the
// first call to the start of the second no attempt may reach the node, whichever planner leads. A failed cordon promises nothing.
func (s *Sim) cordonByOperator(x testbed.Fault) {
	n := s.pickNode(x.A)
	if n == nil || s.operatorNodes[n.id] {
		return
	}
	s.operatorNodes[n.id] = true
	s.callPlanner(x.B, n.id, true, func(ok bool) {
		if ok {
			s.Cordoned++
			for f := range s.forwarders {
				s.Hist.SetCordon(oracle.IngressName(f), n.id, true)
			}
		}
		s.after(2*x.For.Seconds(), func() {
			if ok {
				for f := range s.forwarders {
					s.Hist.SetCordon(oracle.IngressName(f), n.id, false)
				}
			}
			s.uncordon(x.B+1, n.id)
		})
	})
}

// uncordon uncordons a node. It calls one planner after the other until a call succeeds.
func (s *Sim) uncordon(planner int, id string) {
	s.callPlanner(planner, id, false, func(ok bool) {
		if ok {
			delete(s.operatorNodes, id)
			return
		}
		s.after(0.2, func() { s.uncordon(planner+1, id) })
	})
}

// callPlanner calls planner n, modulo the number of planners, to cordon or uncordon a node. A planner that is down or paused, or that ends
// during the call, does not answer: the call fails. done is called once.
func (s *Sim) callPlanner(n int, id string, cordoned bool, done func(ok bool)) {
	planner := s.planners[n%len(s.planners)]
	if planner.core == nil || planner.paused {
		s.after(0.1, func() { done(false) })
		return
	}
	answered, core := false, planner.core
	once := func(ok bool) {
		if !answered {
			answered = true
			done(ok)
		}
	}
	planner.runEvent(func() {
		if err := core.SetCordoned(planner.now(), operatorCallTimeoutS, id, cordoned, func(err error) { once(err == nil) }); err != nil {
			s.after(0, func() { once(false) })
		}
	})
	s.after(1, func() { once(false) })
}
