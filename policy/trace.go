package policy

import (
	"eiderspread/internal/places"
	"eiderspread/internal/why"
)

// What the module tells of its decisions, where somebody asks. Nothing is decided here.

// Trace has each decision told, with its reason, until it is called with nil. What f does must be quick.
func (g *Gateway) Trace(f func(why.Decision)) { g.tracer = f }

// trace tells of a step of a request. attempt is below 0 where the step is of none.
func (g *Gateway) trace(step why.Step, because why.Reason, r *request, attempt int) {
	if g.tracer == nil {
		return
	}
	d := why.Decision{At: g.now, Step: step, Why: because, ID: r.ID, Class: r.cls.Name, Plan: r.Plan, Units: r.Units, Later: r.later,
		Left: float32(r.DeadlineS - g.now), Aim: float32(r.aimAt - g.now), Lat: float32(r.cls.lat), Attempt: len(r.attempts)}
	if c := r.cust; c != nil {
		g.rooms(&d, c)
	}
	if step == why.Queue {
		d.Out, d.Most = g.out, float32(g.limit)
	}
	if attempt >= 0 {
		d.Attempt, d.Server = attempt, r.attempts[attempt].srv.ID
	}
	g.tracer(d)
}

// rooms puts in what this gateway sees of the account, and changes nothing.
func (g *Gateway) rooms(d *why.Decision, c *customer) {
	d.Account, d.Owner, d.Prime, d.Out = c.key, g.owner(c), c.prime, c.out
	d.Mine, d.Others = float32(g.wants(c)), float32(c.others)
	if l := c.led; l != nil {
		d.Room, d.Others = float32(l.Room), float32(l.DemandNow(g.now, demandTauS))
	} else {
		d.Room, d.Age = float32(g.roomNow(c)), float32(g.now-c.roomAt)
	}
	if t := g.ceiling(c); t.Rate > 0 {
		c.ceil.Soon(t, g.now, 0, 0) // brings it up to now
		d.Ceil, d.Pool = float32(c.ceil.Own.Level), float32(c.ceil.Pool.Level)
	}
}

// traceBack tells how an attempt ended.
func (g *Gateway) traceBack(r *request, o Outcome) {
	if g.tracer != nil {
		g.tracer(why.Decision{At: g.now, Step: why.Back, ID: r.ID, Class: r.cls.Name, Plan: r.Plan, Units: r.Units, Attempt: o.Attempt,
			Server: o.Server, Status: int(o.Status), Aim: float32(r.aimAt - g.now), Left: float32(r.DeadlineS - g.now)})
	}
}

// traceWord tells what this gateway, as owner, told another one that asked.
func (g *Gateway) traceWord(c *customer, w places.Waiter, v record, grant float64, short why.Reason) {
	if g.tracer == nil {
		return
	}
	d := why.Decision{At: g.now, Step: why.Grant, Why: why.Granted, Plan: c.plan.Name, Units: w.Units, From: w.Member}
	if grant == 0 {
		d.Step, d.Why = why.Turn, short
	} else if c.plan.CeilingRate > 0 && !v.Flag {
		d.Why = why.CeilBoth // granted, but the shared part does not pay
	}
	g.rooms(&d, c)
	g.tracer(d)
}

// noRoom tells why no server was chosen.
func (g *Gateway) noRoom(r *request) why.Reason {
	switch {
	case r.cust != nil && r.attempts == nil && g.capped(r.cust):
		return why.Cap
	case r.owes && !g.ceilingPays(r):
		return why.CeilPart
	case g.full(r):
		return why.Limit
	}
	return why.NoServer
}
