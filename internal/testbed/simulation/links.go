package simulation

import (
	"eiderspread/internal/controlplane/transport"
)

const simSilence = 0.25

// simLink is one link; a new session after each end. Bytes of a session come in order, or not at all.
type simLink struct {
	sim                          *Sim
	plannerIndex, forwarderIndex int
	session                      int
	connected                    bool // between the two ends, as far as each has noticed
	pUp, fUp                     bool
	cut                          bool
	heardP                       float64 // when the planner's end last heard something
	heardF                       float64
	lastP                        float64 // when the latest message in each direction comes
	lastF                        float64
	lost                         bool // something was, so the session can't go on
}

func (k *simLink) planner() *simPlanner     { return k.sim.planners[k.plannerIndex] }
func (k *simLink) forwarder() *simForwarder { return k.sim.fwds[k.forwarderIndex] }

// dial makes a session, if both ends live and nothing is cut.
func (k *simLink) dial() {
	if k.connected {
		return
	}
	planner, forwarder := k.planner(), k.forwarder()
	if k.cut || planner.host == nil || planner.paused || forwarder.core == nil || forwarder.moving {
		k.sim.after(0.03+0.05*k.sim.rng.Float64(), k.dial)
		return
	}
	k.session++
	k.connected, k.pUp, k.fUp, k.lost = true, true, true, false
	k.heardP, k.heardF, k.lastP, k.lastF = k.sim.now, k.sim.now, k.sim.now, k.sim.now
	session := k.session
	life := forwarder.known
	planner.do(func() { planner.host.LinkUp(planner.now(), k.forwarderIndex, life) })
	forwarder.do(func() { forwarder.core.LinkUp(forwarder.now(), k.plannerIndex, planner.incarnation) })
	var watch func()
	watch = func() {
		if k.session != session {
			return
		}
		if k.fUp && k.sim.now > k.heardF+simSilence {
			k.endForwarder()
		}
		if k.pUp && !planner.paused && k.sim.now > k.heardP+simSilence {
			k.endPlanner()
		}
		if !k.fUp && !k.pUp {
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
	if !k.fUp {
		return
	}
	k.fUp = false
	forwarder := k.forwarder()
	if forwarder.core != nil {
		forwarder.do(func() { forwarder.core.LinkDown(forwarder.now(), k.plannerIndex) })
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
	if !k.pUp {
		return
	}
	planner := k.planner()
	session, host := k.session, planner.host
	if host != nil {
		planner.do(func() {
			if planner.host == host && k.session == session {
				k.pUp = false
				host.LinkDown(planner.now(), k.forwarderIndex)
			}
		})
	} else {
		k.pUp = false
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
	if toForwarder && !k.pUp || !toForwarder && !k.fUp {
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
	last := &k.lastP
	if toForwarder {
		last = &k.lastF
	}
	at = max(at, *last)
	*last = at
	planner, forwarder := k.planner(), k.forwarder()
	s.after(at-s.now, func() {
		if k.session != session {
			return
		}
		if k.cut { // a cut loses what is under way; the session ends by silence, or with the cut
			k.lost = true
			return
		}
		if toForwarder {
			if k.fUp && forwarder.core != nil {
				k.heardF = s.now
				forwarder.do(func() {
					for i := range got {
						forwarder.core.HandleMessage(forwarder.now(), k.plannerIndex, &got[i])
					}
				})
			}
			return
		}
		if !k.pUp || planner.host == nil {
			return
		}
		k.heardP = s.now
		host := planner.host
		planner.do(func() {
			if planner.host == host && k.pUp && k.session == session {
				for i := range got {
					host.HandleMessage(planner.now(), k.forwarderIndex, &got[i])
				}
			}
		})
	})
}
