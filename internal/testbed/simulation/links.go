package simulation

import (
	"eiderspread/internal/controlplane/transport"
)

// linkTimeoutS is how long an end of a link waits for a message before it ends the session, in seconds.
const linkTimeoutS = 0.25

// simLink is the link between a planner and a forwarder. After each end it starts a new session. The messages of a session arrive in the order
// in which they were sent, or not at all.
type simLink struct {
	sim                          *Sim
	plannerIndex, forwarderIndex int
	session                      int
	connected                    bool    // a session exists, as far as at least one end knows
	plannerUp, forwarderUp       bool    // the session is up at this end
	cut                          bool    // loses all messages without notice
	plannerHeardAt               float64 // when the planner's end last received a message
	forwarderHeardAt             float64
	lastToPlannerAt              float64 // when the latest message to the planner arrives
	lastToForwarderAt            float64
	messageLost                  bool // a message was lost, so that the session has to end
}

func (k *simLink) planner() *simPlanner     { return k.sim.planners[k.plannerIndex] }
func (k *simLink) forwarder() *simForwarder { return k.sim.forwarders[k.forwarderIndex] }

// dial starts a session, if both processes run and the link is not cut. Otherwise it tries again after 30 to 80 ms.
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
	incarnation := forwarder.advertisedIncarnation
	planner.runEvent(func() { planner.core.LinkUp(planner.now(), k.forwarderIndex, incarnation) })
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

// endForwarder ends the session at the forwarder's end. Unless the link is cut, the planner's end follows after 1 ms, as after a reset.
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

// endPlanner ends the session at the planner's end. Unless the link is cut, the forwarder's end follows after 1 ms.
func (k *simLink) endPlanner() {
	if !k.plannerUp {
		return
	}
	planner := k.planner()
	session, core := k.session, planner.core
	if core != nil {
		planner.runEvent(func() {
			if planner.core == core && k.session == session {
				k.plannerUp = false
				core.LinkDown(planner.now(), k.forwarderIndex)
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

// send sends messages to the forwarder or to the planner. They arrive in the order in which they were sent.
func (k *simLink) send(toForwarder bool, msgs []transport.Message) {
	if toForwarder && !k.plannerUp || !toForwarder && !k.forwarderUp {
		return
	}
	var b []byte
	for i := range msgs {
		b = transport.AppendMessage(b, &msgs[i])
	}
	received, err := transport.ParseFrame(b) // decoded as on a real link
	if err != nil {
		panic(err)
	}
	s, session := k.sim, k.session
	arrivesAt := s.now + 0.0002 + 0.002*s.rng.Float64()
	last := &k.lastToPlannerAt
	if toForwarder {
		last = &k.lastToForwarderAt
	}
	arrivesAt = max(arrivesAt, *last)
	*last = arrivesAt
	planner, forwarder := k.planner(), k.forwarder()
	s.after(arrivesAt-s.now, func() {
		if k.session != session {
			return
		}
		if k.cut { // a cut loses the messages on their way; the session ends by timeout, or when the cut ends
			k.messageLost = true
			return
		}
		if toForwarder {
			if k.forwarderUp && forwarder.core != nil {
				k.forwarderHeardAt = s.now
				forwarder.runEvent(func() {
					for i := range received {
						forwarder.core.HandleMessage(forwarder.now(), k.plannerIndex, &received[i])
					}
				})
			}
			return
		}
		if !k.plannerUp || planner.core == nil {
			return
		}
		k.plannerHeardAt = s.now
		core := planner.core
		planner.runEvent(func() {
			if planner.core == core && k.plannerUp && k.session == session {
				for i := range received {
					core.HandleMessage(planner.now(), k.forwarderIndex, &received[i])
				}
			}
		})
	})
}
