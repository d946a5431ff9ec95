package simulation

import (
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/reason"
)

type simPlanner struct {
	sim         *Sim
	number      int
	core        *planner.Core
	clock       clock
	incarnation uint64
	paused      bool
	inbox       []func() // what came while it was paused
}

func (p *simPlanner) now() float64 { return p.clock.at(p.sim.now) }

func (p *simPlanner) start() {
	p.incarnation++
	life := p.incarnation
	host, err := planner.NewCore(planner.Config{Params: p.sim.params, Number: p.number, Seed: p.sim.rng.Uint64(), Settings: p.sim.settings(0, 1, false)}, p.now(), p)
	if err != nil {
		panic(err)
	}
	p.core = host
	if p.sim.cfg.Trace != nil {
		host.SetTracer(func(d reason.Decision) {
			d.At = p.sim.now
			p.sim.cfg.Trace(p.number, d)
		})
	}
	host.UpdateBackends(p.now(), p.sim.backends(p.clock), true)
	var tick func()
	tick = func() {
		if p.incarnation != life {
			return
		}
		p.runEvent(func() { p.core.Tick(p.now()) })
		p.sim.after(planner.TickIntervalS, tick)
	}
	p.sim.after(p.sim.rng.Float64()*planner.TickIntervalS, tick)
}

// runEvent runs something on the planner's loop: once it runs again, if it is paused.
func (p *simPlanner) runEvent(f func()) {
	if p.paused {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
	p.sim.checkLeaders()
}

// SendToForwarder implements planner.Output.
func (p *simPlanner) SendToForwarder(f int, msgs ...transport.Message) {
	p.sim.links[p.number][f].send(true, msgs)
}

// Log implements planner.Output.
func (p *simPlanner) Log(string, ...any) {}
