package simulation

import (
	"eiderspread/internal/controlplane/transport"
)

const linkTimeoutS = 0.25

// simLink is one link; a new session after each end. Bytes of a session come in order, or not at all.
type simLink struct {
	sim                          *Sim
	plannerIndex, forwarderIndex int
	session                      int
	connected                    bool // between the two ends, as far as each has noticed
	plannerUp, forwarderUp       bool
	cut                          bool
	plannerHeardAt               float64 // when the planner's end last heard something
	forwarderHeardAt             float64
	lastToPlannerAt              float64 // when the latest message in each direction comes
	lastToForwarderAt            float64
	messageLost                  bool // something was, so the session can't go on
}

func (k *simLink) planner() *simPlanner     { return k.sim.planners[k.plannerIndex] }
func (k *simLink) forwarder() *simForwarder { return k.sim.forwarders[k.forwarderIndex] }

// dial makes a session, if both ends live and nothing is cut.
func (k *simLink) dial() {
	if k.connected {
		return
	}
	planner, forwarder := k.planner(), k.forwarder()
	if k.cut || planner.core == nil || planner.paused || forwarder.core == nil || forwarder.migrating {
		k.sim.after(0.03+0.05*k.sim.rng.Float64(), k.dial)
		return
	}
	k.session++
	k.connected, k.plannerUp, k.forwarderUp, k.messageLost = true, true, true, false
	k.plannerHeardAt, k.forwarderHeardAt, k.lastToPlannerAt, k.lastToForwarderAt = k.sim.now, k.sim.now, k.sim.now, k.sim.now
	session := k.session
	life := forwarder.advertisedIncarnation
	planner.runEvent(func() { planner.core.LinkUp(planner.now(), k.forwarderIndex, life) })
	forwarder.runEvent(func() { forwarder.core.LinkUp(forwarder.now(), k.plannerIndex, planner.incarnation) })
	var watch func()
	watch = func() {
		if k.session != session {
			return
		}
		if k.forwarderUp && k.sim.now > k.forwarderHeardAt+linkTimeoutS {
			k.endForwarder()
		}
		if k.plannerUp && !planner.paused && k.sim.now > k.plannerHeardAt+linkTimeoutS {
			k.endPlanner()
		}
		if !k.forwarderUp && !k.plannerUp {
			k.connected = false
			k.session++
			k.sim.after(0.03+0.05*k.sim.rng.Float64(), k.dial)
			return
		}
		k.sim.after(0.01, watch)
	}
	k.sim.after(0.01, watch)
}

// Each end, when it ends, ends the other as a reset would, unless the link is cut.
func (k *simLink) endForwarder() {
	if !k.forwarderUp {
		return
	}
	k.forwarderUp = false
	forwarder := k.forwarder()
	if forwarder.core != nil {
		forwarder.runEvent(func() { forwarder.core.LinkDown(forwarder.now(), k.plannerIndex) })
	}
	if !k.cut {
		session := k.session
		k.sim.after(0.001, func() {
			if k.session == session {
				k.endPlanner()
			}
		})
	}
}

func (k *simLink) endPlanner() {
	if !k.plannerUp {
		return
	}
	planner := k.planner()
	session, host := k.session, planner.core
	if host != nil {
		planner.runEvent(func() {
			if planner.core == host && k.session == session {
				k.plannerUp = false
				host.LinkDown(planner.now(), k.forwarderIndex)
			}
		})
	} else {
		k.plannerUp = false
	}
	if !k.cut {
		k.sim.after(0.001, func() {
			if k.session == session {
				k.endForwarder()
			}
		})
	}
}

// send carries messages in the order in which they were sent.
func (k *simLink) send(toForwarder bool, msgs []transport.Message) {
	if toForwarder && !k.plannerUp || !toForwarder && !k.forwarderUp {
		return
	}
	var b []byte
	for i := range msgs {
		b = transport.AppendMessage(b, &msgs[i])
	}
	got, err := transport.ParseFrame(b) // as it comes over a link
	if err != nil {
		panic(err)
	}
	s, session := k.sim, k.session
	at := s.now + 0.0002 + 0.002*s.rng.Float64()
	last := &k.lastToPlannerAt
	if toForwarder {
		last = &k.lastToForwarderAt
	}
	at = max(at, *last)
	*last = at
	planner, forwarder := k.planner(), k.forwarder()
	s.after(at-s.now, func() {
		if k.session != session {
			return
		}
		if k.cut { // a cut loses what is under way; the session ends by silence, or with the cut
			k.messageLost = true
			return
		}
		if toForwarder {
			if k.forwarderUp && forwarder.core != nil {
				k.forwarderHeardAt = s.now
				forwarder.runEvent(func() {
					for i := range got {
						forwarder.core.HandleMessage(forwarder.now(), k.plannerIndex, &got[i])
					}
				})
			}
			return
		}
		if !k.plannerUp || planner.core == nil {
			return
		}
		k.plannerHeardAt = s.now
		host := planner.core
		planner.runEvent(func() {
			if planner.core == host && k.plannerUp && k.session == session {
				for i := range got {
					host.HandleMessage(planner.now(), k.forwarderIndex, &got[i])
				}
			}
		})
	})
}
