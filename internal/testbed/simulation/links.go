package simulation

import (
	"eiderspread/internal/controlplane/transport"
)

const simSilence = 0.25

// simLink is one link; a new session after each end. Bytes of a session come in order, or not at all.
type simLink struct {
	s        *Sim
	p, f     int
	session  int
	up       bool // between the two ends, as far as each has noticed
	pUp, fUp bool
	cut      bool
	heardP   float64 // when the planner's end last heard something
	heardF   float64
	lastP    float64 // when the latest message in each direction comes
	lastF    float64
	lost     bool // something was, so the session can't go on
}

func (k *simLink) planner() *simPlanner     { return k.s.planners[k.p] }
func (k *simLink) forwarder() *simForwarder { return k.s.fwds[k.f] }

// dial makes a session, if both ends live and nothing is cut.
func (k *simLink) dial() {
	if k.up {
		return
	}
	p, f := k.planner(), k.forwarder()
	if k.cut || p.host == nil || p.paused || f.core == nil || f.moving {
		k.s.after(0.03+0.05*k.s.rng.Float64(), k.dial)
		return
	}
	k.session++
	k.up, k.pUp, k.fUp, k.lost = true, true, true, false
	k.heardP, k.heardF, k.lastP, k.lastF = k.s.t, k.s.t, k.s.t, k.s.t
	session := k.session
	life := f.known
	p.do(func() { p.host.LinkUp(p.now(), k.f, life) })
	f.do(func() { f.core.LinkUp(f.now(), k.p, p.life) })
	var watch func()
	watch = func() {
		if k.session != session {
			return
		}
		if k.fUp && k.s.t > k.heardF+simSilence {
			k.endForwarder()
		}
		if k.pUp && !p.paused && k.s.t > k.heardP+simSilence {
			k.endPlanner()
		}
		if !k.fUp && !k.pUp {
			k.up = false
			k.session++
			k.s.after(0.03+0.05*k.s.rng.Float64(), k.dial)
			return
		}
		k.s.after(0.01, watch)
	}
	k.s.after(0.01, watch)
}

// Each end, when it ends, ends the other as a reset would, unless the link is cut.
func (k *simLink) endForwarder() {
	if !k.fUp {
		return
	}
	k.fUp = false
	f := k.forwarder()
	if f.core != nil {
		f.do(func() { f.core.LinkDown(f.now(), k.p) })
	}
	if !k.cut {
		session := k.session
		k.s.after(0.001, func() {
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
	p := k.planner()
	session, host := k.session, p.host
	if host != nil {
		p.do(func() {
			if p.host == host && k.session == session {
				k.pUp = false
				host.LinkDown(p.now(), k.f)
			}
		})
	} else {
		k.pUp = false
	}
	if !k.cut {
		k.s.after(0.001, func() {
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
	s, session := k.s, k.session
	at := s.t + 0.0002 + 0.002*s.rng.Float64()
	last := &k.lastP
	if toForwarder {
		last = &k.lastF
	}
	at = max(at, *last)
	*last = at
	p, f := k.planner(), k.forwarder()
	s.after(at-s.t, func() {
		if k.session != session {
			return
		}
		if k.cut { // a cut loses what is under way; the session ends by silence, or with the cut
			k.lost = true
			return
		}
		if toForwarder {
			if k.fUp && f.core != nil {
				k.heardF = s.t
				f.do(func() {
					for i := range got {
						f.core.HandleMessage(f.now(), k.p, &got[i])
					}
				})
			}
			return
		}
		if !k.pUp || p.host == nil {
			return
		}
		k.heardP = s.t
		host := p.host
		p.do(func() {
			if p.host == host && k.pUp && k.session == session {
				for i := range got {
					host.HandleMessage(p.now(), k.f, &got[i])
				}
			}
		})
	})
}
