package ingress

import (
	"slices"

	"github.com/tidwall/redcon"

	"eiderspread/policy"
)

// drainState is a drain by operators: the decision module's schedule, and what is logged of it. It does not outlive the process.
type drainState struct {
	policy.Drain
	sweepTimer    *timer // the next one for connections that idle
	deadlineTimer *timer // the end of the time allowed

	// For the log.
	sweeps              int
	sweptAt             float64
	longestSweepGap     float64 // between two looks
	rejectedPings       int     // that were refused
	rejectedPingsQueued int     // of these: behind other answers
}

// startDrain has the front told and lets go of all clients, by and by; a second call changes nothing. A process that is replaced, or ends, lets go
// of them in its own way: what idles there may be on its way to another process.
func (in *Ingress) startDrain() {
	if in.drain.Active() || in.closingClients || in.successor.stage != handoverNone {
		return
	}
	in.log.Info("drain begins", "connections", in.clients.open(), "requests", len(in.requests))
	in.drainLogLines = 0
	in.drain = drainState{}
	in.drain.Begin(in.now)
	in.acceptingClients.Store(false)
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.deadlineTimer = in.after(in.drain.RemainingS(in.now)+networkMarginS, func() {
		in.checkClientsDrained()
		in.logOpenConns()
	})
}

// cancelDrain takes clients again.
func (in *Ingress) cancelDrain() error {
	if in.closingClients {
		return errNotReady
	}
	if in.drain.Active() {
		in.log.Info("drain ends", "after", roundToMillis(in.drain.Elapsed(in.now)))
		in.clearDrain()
	}
	in.acceptingClients.Store(true)
	return nil
}

// clearDrain forgets the drain.
func (in *Ingress) clearDrain() {
	in.stopTimer(in.drain.sweepTimer)
	in.stopTimer(in.drain.deadlineTimer)
	in.drain = drainState{}
}

// sweepDraining closes what idles, and at the end of the time what is in use. Requests are decided on as they come, see take, and connections with
// their answers, see written.
func (in *Ingress) sweepDraining() {
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.recordSweep(in.now)
	for c := range in.clients.conns {
		if c.lastCallAt > 0 && in.drain.CloseBlocked(in.now, c.lastCallAt) {
			in.answerOpenRequests(c)
		}
		idle := c.quiescent() && in.drain.CloseIdle(in.now, c.lastUsedAt, c.receivingCommand.Load()) && openAndSilent(c.rawConn)
		if !c.closing && (idle || c.callReceived && in.drain.CloseAfterResponse(in.now) && c.fullyAnswered()) {
			in.closeGracefully(c, closeDrained)
		}
	}
}

// answerOpenRequests gives what is open on a connection its final answer now: refused where that is true, else failed.
func (in *Ingress) answerOpenRequests(c *clientConn) {
	for _, s := range slices.Clone(c.answerSlots) {
		if s == nil || s.request == nil || s.request.completed {
			continue
		}
		answer := redcon.AppendError(nil, "ERR failed")
		if policy.MayReject(s.request.class, s.request.mayHaveRun()) {
			answer = in.busyReply(0)
		}
		in.counters.cutByDrain++
		in.answerRequest(s.request, answer)
		in.decider.HandleDisconnect(in.now, s.request.ID)
	}
}

// mayHaveRun tells that an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun() })
}

// recordSweep notes a look at all connections.
func (d *drainState) recordSweep(now float64) {
	if d.sweeps++; d.sweeps > 1 {
		d.longestSweepGap = max(d.longestSweepGap, now-d.sweptAt)
	}
	d.sweptAt = now
}
