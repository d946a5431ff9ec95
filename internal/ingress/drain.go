package ingress

import (
	"slices"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// drainState is a drain by operators: the decision module's schedule, and what is logged of it. It does not outlive the process.
type drainState struct {
	policy.Drain
	look *timer // the next one for connections that idle
	over *timer // the end of the time allowed

	// For the log.
	looks       int
	lookedAt    float64
	longestGap  float64 // between two looks
	pings       int     // that were refused
	pingsBehind int     // of these: behind other answers
}

// startDrain has the front told and lets go of all clients, by and by; a second call changes nothing. A process that is replaced, or ends, lets go
// of them in its own way: what idles there may be on its way to another process.
func (in *Ingress) startDrain() {
	if in.drain.On() || in.leaving || in.heirs.stage != none {
		return
	}
	in.log.Info("drain begins", "connections", in.clients.open(), "requests", len(in.requests))
	in.drainLines = 0
	in.drain = drainState{}
	in.drain.Begin(in.now)
	in.taking.Store(false)
	in.drain.look = in.after(in.drain.NextLook(in.now), in.sweepDrained)
	in.drain.over = in.after(in.drain.EndsIn(in.now)+networkS, func() {
		in.checkDrained()
		in.logRemaining()
	})
}

// endDrain takes clients again.
func (in *Ingress) endDrain() error {
	if in.leaving {
		return errNotReady
	}
	if in.drain.On() {
		in.log.Info("drain ends", "after", seconds(in.drain.Elapsed(in.now)))
		in.stopDrain()
	}
	in.taking.Store(true)
	return nil
}

// stopDrain forgets the drain.
func (in *Ingress) stopDrain() {
	in.stopTimer(in.drain.look)
	in.stopTimer(in.drain.over)
	in.drain = drainState{}
}

// sweepDrained closes what idles, and at the end of the time what is in use. Requests are decided on as they come, see take, and connections with
// their answers, see written.
func (in *Ingress) sweepDrained() {
	in.drain.look = in.after(in.drain.NextLook(in.now), in.sweepDrained)
	in.drain.looked(in.now)
	for c := range in.clients.all {
		if c.askedAt > 0 && in.drain.Cut(in.now, c.askedAt) {
			in.endOpen(c)
		}
		idle := c.quiet() && in.drain.CloseIdle(in.now, c.usedAt, c.receiving.Load()) && silent(c.raw)
		if !c.ending && (idle || c.asked && in.drain.Retire(in.now) && c.answered()) {
			in.closeGracefully(c, closeDrained)
		}
	}
}

// endOpen gives what is open on a connection its final answer now: refused where that is true, else failed.
func (in *Ingress) endOpen(c *client) {
	for _, s := range slices.Clone(c.slots) {
		if s == nil || s.req == nil || s.req.over {
			continue
		}
		answer := redcon.AppendError(nil, "ERR failed")
		if policy.MayRefuse(s.req.class, s.req.mayHaveRun()) {
			answer = in.busy(0)
		}
		in.counts.cut++
		in.answer(s.req, answer)
		in.gate.Gone(in.now, s.req.ID)
	}
}

// mayHaveRun tells that an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun() })
}

// looked notes a look at all connections.
func (d *drainState) looked(now float64) {
	if d.looks++; d.looks > 1 {
		d.longestGap = max(d.longestGap, now-d.lookedAt)
	}
	d.lookedAt = now
}
