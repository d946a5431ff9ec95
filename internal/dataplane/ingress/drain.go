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

// startDrain starts a drain: load balancers' PINGs get an error, and clients' connections are closed step by step. A second call changes nothing,
// nor does one in a shutdown, which closes them sooner. A process that is being replaced leaves the drain to its successor, or returns
// errNotAccepting if it is too late for that.
func (in *Ingress) startDrain() error {
	switch {
	case in.successor.stage == handoverPausing && in.successor.takesDrain():
		in.successor.drain.Begin(in.now)
		return nil
	case in.successor.stage != handoverNone:
		return errNotAccepting
	case in.drain.Active() || in.shutdown.closingClients:
		in.log.Info("drain call has no effect", "draining", in.drain.Active(), "closing_clients", in.shutdown.closingClients)
		return nil
	}
	in.resumeDrain(in.now)
	return nil
}

// resumeDrain starts a drain, or continues one that began before in this process or in its predecessor.
func (in *Ingress) resumeDrain(startedAt float64) {
	in.log.Info("drain started", "connections", in.clients.open(), "requests", len(in.requests), "ago", roundToMillis(in.now-startedAt))
	in.drainLogLines = 0
	in.drain = drainState{acceptedBefore: in.counters.accepted}
	in.drain.Begin(startedAt)
	in.acceptingClients.Store(false)
	in.measureLag()
	firstSweepS := 0.0
	if startedAt == in.now {
		firstSweepS = in.drain.NextIdleCheckS(in.now)
	}
	in.drain.sweepTimer = in.after(firstSweepS, in.sweepDraining)
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
	in.successor.drain.End()
	if in.drain.Active() {
		in.log.Info("drain cancelled", "after", roundToMillis(in.drain.Elapsed(in.now)))
		in.clearDrain()
	}
	in.resumeAccepting()
	if in.accept == nil && in.successor.stage == handoverNone {
		return errNotAccepting
	}
	return nil
}

// clearDrain resets the drain and stops its timers.
func (in *Ingress) clearDrain() {
	in.stopTimer(in.drain.sweepTimer)
	in.stopTimer(in.drain.deadlineTimer)
	in.drain = drainState{}
	in.clearLag()
}

// sweepDraining closes connections, and stops accepting them, when the drain's schedule says so. Three other places take part in a drain:
// rejectsRequests and endBlockedRequests when a request arrives, and afterAnswersWritten when the answers of a connection have been written.
func (in *Ingress) sweepDraining() {
	in.drain.sweepTimer = in.after(in.drain.NextIdleCheckS(in.now), in.sweepDraining)
	in.drain.recordSweep(in.now)
	in.measureLag()
	if !in.drain.Accepts(in.now) {
		in.endAccepting()
	}
	if in.drain.ClosesAll(in.now) {
		in.abortAccepting()
	}
	for c := range in.clients.conns {
		in.endBlockedRequests(c)
		if in.drainable(c) {
			in.closeDrainedConn(c)
		}
	}
}

// endBlockedRequests ends the open requests of a connection that younger ones wait behind, late in a drain.
func (in *Ingress) endBlockedRequests(c *clientConn) {
	if c.lastCallAt > 0 && in.drain.CloseBlocked(in.now, c.lastCallAt) {
		in.answerOpenRequests(c)
	}
}

// drainable reports whether a drain closes the connection now.
func (in *Ingress) drainable(c *clientConn) bool {
	if !in.drain.Active() || c.state != connOpen || c.reader == readerTransferring {
		return false
	}
	return in.drain.Closes(in.now, policy.DrainedConn{
		AcceptedAt:      c.acceptedAt,
		UsedAt:          c.lastUsedAt,
		AnswerOpen:      !c.idle(),
		InputPending:    len(c.pipelinePermits) > 0 || !c.silent(),
		Receiving:       c.receivingCommand.Load(),
		CommandReceived: c.commandReceived,
		RequestReceived: c.callReceived,
		Lagging:         c.lagging,
	})
}

// closeDrainedConn closes a connection for a drain. Late in a drain what its reader has in hand does not keep it open: the client sends again what
// crosses the end.
func (in *Ingress) closeDrainedConn(c *clientConn) {
	if in.drain.ClosesAll(in.now) {
		in.closeSendingSide(c, closeDrained)
		return
	}
	in.closeGracefully(c, closeDrained)
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
