package simulation

import (
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/reason"
)

// simPlanner runs a planner's core.
type simPlanner struct {
	sim         *Sim
	number      int
	core        *planner.Core // nil while it is down
	clock       clock
	incarnation uint64 // starts and kills
	paused      bool
	inbox       []func() // events that came while it was paused
}

func (p *simPlanner) now() float64 { return p.clock.at(p.sim.now) }

func (p *simPlanner) start() {
	p.incarnation++
	incarnation := p.incarnation
	core, err := planner.NewCore(planner.Config{Params: p.sim.params, Number: p.number, Seed: p.sim.rng.Uint64(), Settings: p.sim.settings(0, 1, false)}, p.now(), p)
	if err != nil {
		panic(err)
	}
	p.core = core
	if p.sim.cfg.Trace != nil {
		core.SetTracer(func(d reason.Decision) {
			d.At = p.sim.now
			p.sim.cfg.Trace(p.number, d)
		})
	}
	core.UpdateBackends(p.now(), p.sim.backends(p.clock), true)
	var tick func()
	tick = func() {
		if p.incarnation != incarnation {
			return
		}
		p.runEvent(func() { p.core.Tick(p.now()) })
		p.sim.after(planner.TickIntervalS, tick)
	}
	p.sim.after(p.sim.rng.Float64()*planner.TickIntervalS, tick)
}

// runEvent runs an event on the planner's event loop. While the planner is paused, events wait in its inbox.
func (p *simPlanner) runEvent(event func()) {
	if p.paused {
		p.inbox = append(p.inbox, event)
		return
	}
	event()
	p.sim.checkLeaders()
}

// SendToForwarder implements planner.Output.
func (p *simPlanner) SendToForwarder(f int, msgs ...transport.Message) {
	p.sim.links[p.number][f].send(true, msgs)
}

// Log implements planner.Output.
func (p *simPlanner) Log(string, ...any) {}
