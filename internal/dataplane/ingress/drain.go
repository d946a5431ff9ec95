package ingress

import (
	"slices"

	"eiderspread/policy"
)

// drainState is a drain by operators: the decision module's schedule, and what is logged of it. It does not outlive the process. Loop only.
type drainState struct {
	policy.Drain
	sweepTimer    *timer // of the next look at all connections
	deadlineTimer *timer // of the end of the time allowed

	// For the log.
	sweeps              int
	sweptAt             float64
	longestSweepGapS    float64 // between two sweeps
	rejectedPings       int
	rejectedPingsQueued int // of these: behind other answers
}

// recordSweep notes a look at all connections.
func (d *drainState) recordSweep(now float64) {
	if d.sweeps++; d.sweeps > 1 {
		d.longestSweepGapS = max(d.longestSweepGapS, now-d.sweptAt)
	}
	d.sweptAt = now
}

// startDrain answers fronts that this ingress takes no clients, and closes the connections that it has, by and by; a second call changes
// nothing. A process that is replaced, or shuts down, closes them in its own way: an idle connection may be on its way to another process.
func (in *Ingress) startDrain() {
	if in.drain.Active() || in.shutdown.closingClients || in.successor.stage != handoverNone {
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

// cancelDrain accepts clients again.
func (in *Ingress) cancelDrain() error {
	if in.shutdown.closingClients {
		return errNotAccepting
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

// sweepDraining closes idle connections, and toward the end of the time those in use. Requests are decided on as they come, see rejectsRequests,
// and connections with their answers, see afterAnswersWritten.
func (in *Ingress) sweepDraining() {
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.recordSweep(in.now)
	for c := range in.clients.conns {
		if c.lastCallAt > 0 && in.drain.CloseBlocked(in.now, c.lastCallAt) {
			in.answerOpenRequests(c)
		}
		if in.drainable(c) {
			in.closeGracefully(c, closeDrained)
		}
	}
}

// drainable reports whether a drain may close the connection now.
func (in *Ingress) drainable(c *clientConn) bool {
	if c.state != connOpen {
		return false
	}
	if c.quiescent() && in.drain.CloseIdle(in.now, c.lastUsedAt, c.receivingCommand.Load()) && c.silent() {
		return true
	}
	return c.callReceived && in.drain.CloseAfterResponse(in.now) && c.fullyAnswered()
}

// answerOpenRequests gives what is open on a connection its final answer now: rejected where that is true, else failed.
func (in *Ingress) answerOpenRequests(c *clientConn) {
	for _, s := range slices.Clone(c.answerSlots) {
		if s == nil || s.request == nil || s.request.completed {
			continue
		}
		answer := failedReply()
		if policy.MayReject(s.request.Spec, s.request.mayHaveRun()) {
			answer = in.busyReply(0)
		}
		in.counters.cutByDrain++
		in.answerRequest(s.request, answer)
		in.decider.HandleDisconnect(in.now, s.request.ID)
	}
}
