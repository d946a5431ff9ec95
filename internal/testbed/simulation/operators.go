package simulation

import (
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
)

// callWithin is how long an operator's call at a planner may take, as at its door.
const callWithin = 0.85

// cordonByOperator has operators take a node out at one planner, and call it back at the next one. From the yes to the call back nothing may
// reach the node, whoever leads; a no binds nobody.
func (s *Sim) cordonByOperator(x testbed.Fault) {
	n := s.pick(x.A)
	if n == nil || s.byHand[n.id] {
		return
	}
	s.byHand[n.id] = true
	s.atPlanner(x.B, n.id, true, func(yes bool) {
		if yes {
			s.Cordoned++
			for f := range s.fwds {
				s.Hist.SetCordon(oracle.IngressName(f), n.id, true)
			}
		}
		s.after(2*x.For.Seconds(), func() {
			if yes {
				for f := range s.fwds {
					s.Hist.SetCordon(oracle.IngressName(f), n.id, false)
				}
			}
			s.release(x.B+1, n.id)
		})
	})
}

// release calls a node back, at one planner after the other until one says yes.
func (s *Sim) release(planner int, id string) {
	s.atPlanner(planner, id, false, func(yes bool) {
		if yes {
			delete(s.byHand, id)
			return
		}
		s.after(0.2, func() { s.release(planner+1, id) })
	})
}

// atPlanner makes an operator's call. A planner that is not there, or that ends with the call, gives no answer: that is a no.
func (s *Sim) atPlanner(n int, id string, held bool, done func(yes bool)) {
	planner := s.planners[n%len(s.planners)]
	if planner.host == nil || planner.paused {
		s.after(0.1, func() { done(false) })
		return
	}
	answered, host := false, planner.host
	once := func(yes bool) {
		if !answered {
			answered = true
			done(yes)
		}
	}
	planner.do(func() {
		if err := host.SetCordoned(planner.now(), callWithin, id, held, func(err error) { once(err == nil) }); err != nil {
			s.after(0, func() { once(false) })
		}
	})
	s.after(1, func() { once(false) })
}
