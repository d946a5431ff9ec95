package ingress

import (
	"slices"

	"eiderspread/policy"
)

// drainState is a drain that operators asked for: the decision module's schedule, and figures for the log. It is lost when the
// process ends. The event loop owns it.
type drainState struct {
	policy.Drain
	sweepTimer    *timer // runs the next sweep
	deadlineTimer *timer // runs the checks at the end of the time that operators allow

	// For the log.
	acceptedBefore      int // connections that were accepted before the drain
	sweeps              int
	sweptAt             float64 // when the last sweep ran
	longestSweepGapS    float64 // longest time between two sweeps
	rejectedPings       int     // PINGs answered with an error
	rejectedPingsQueued int     // of these: answered behind other answers
}

// recordSweep records the time of a sweep for the log.
func (d *drainState) recordSweep(now float64) {
	if d.sweeps++; d.sweeps > 1 {
		d.longestSweepGapS = max(d.longestSweepGapS, now-d.sweptAt)
	}
	d.sweptAt = now
}

// startDrain starts a drain: load balancers' PINGs get an error, and clients' connections are closed step by step. A second call
// changes nothing. A process that is being replaced or shuts down does not drain, because it closes connections in its own way: an
// idle connection may be in transfer to another process.
func (in *Ingress) startDrain() {
	if in.drain.Active() || in.shutdown.closingClients || in.successor.stage != handoverNone {
		in.log.Info("drain call has no effect", "draining", in.drain.Active(), "closing_clients", in.shutdown.closingClients, "handover", in.successor.stage)
		return
	}
	in.log.Info("drain started", "connections", in.clients.open(), "requests", len(in.requests))
	in.drainLogLines = 0
	in.drain = drainState{acceptedBefore: in.counters.accepted}
	in.drain.Begin(in.now)
	in.acceptingClients.Store(false)
	in.measureLag()
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.deadlineTimer = in.after(in.drain.RemainingS(in.now)+networkMarginS, func() {
		in.checkClientsDrained()
		in.logOpenConns()
	})
}

// cancelDrain ends the drain, if there is one, and accepts clients again. It returns errNotAccepting in a shutdown, and in a hot restart
// once the successor serves.
func (in *Ingress) cancelDrain() error {
	if in.shutdown.closingClients {
		return errNotAccepting
	}
	if in.drain.Active() {
		in.log.Info("drain cancelled", "after", roundToMillis(in.drain.Elapsed(in.now)))
		in.clearDrain()
	}
	in.acceptingClients.Store(true)
	return nil
}

// clearDrain resets the drain and stops its timers.
func (in *Ingress) clearDrain() {
	in.stopTimer(in.drain.sweepTimer)
	in.stopTimer(in.drain.deadlineTimer)
	in.drain = drainState{}
	in.clearLag()
}

// sweepDraining closes idle connections and, near the end of the drain, connections whose requests are all answered. Two other
// places take part in a drain: rejectsRequests when a request arrives, and afterAnswersWritten when the answers of a connection have
// been written.
func (in *Ingress) sweepDraining() {
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.recordSweep(in.now)
	in.measureLag()
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
	if c.state != connOpen || !c.quiescent() || !c.silent() {
		return false
	}
	receiving := c.receivingCommand.Load()
	if !c.commandReceived && !receiving {
		return in.drain.CloseUnused(in.now, c.acceptedAt)
	}
	if in.drain.CloseIdle(in.now, c.lastUsedAt, receiving) && !c.lagging {
		return true
	}
	return c.callReceived && in.drain.CloseAfterResponse(in.now, c.acceptedAt)
}

// answerOpenRequests gives each open request of a connection its final answer now: a rejection if a retry by the client is harmless,
// otherwise a failure.
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
