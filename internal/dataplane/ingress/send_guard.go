package ingress

import (
	"eiderspread/policy"
)

// The send guard checks the decision module's rules (policy/attempt_guard.go) at the moment when bytes are written or a connection
// is closed, and counts the results. The rules apply in two places: writeAttempt (backend_conn.go), through which all writes to
// backends go, and client_close.go, where the ingress closes clients' connections.

const (
	// disconnectCheckAfterS is the age, in seconds, from which on a request is sent only after a check that its client is still connected.
	disconnectCheckAfterS = 0.1
	// nearMissS is the time, in seconds, before the latest start in which a write counts as a near miss.
	nearMissS = 0.02
	// drainSendGraceS is how many seconds attempts may still be written to a backend after discovery reported that it drains or is removed.
	drainSendGraceS = 0.25
	// networkMarginS is added, in seconds, to the time limits of rules that are checked on sockets.
	networkMarginS = 0.05
)

// guardCounters counts the guard's results by rule. The event loop owns it.
type guardCounters struct {
	nearMiss [policy.ViolationCount]int // written less than nearMissS before the rule's latest start
	blocked  [policy.ViolationCount]int // not carried out, because it would have broken the rule
	violated [policy.ViolationCount]int // carried out although it broke the rule
}

// GuardStatus holds the guard's counts by rule; rules with a count of 0 are left out.
type GuardStatus struct {
	NearMiss map[string]int `json:"near,omitempty"`     // carried out shortly before the rule would have forbidden it
	Blocked  map[string]int `json:"blocked,omitempty"`  // not carried out
	Violated map[string]int `json:"violated,omitempty"` // carried out although it broke the rule
}

func (n *guardCounters) status() GuardStatus {
	byRule := func(counts [policy.ViolationCount]int) map[string]int {
		names := make([]string, policy.ViolationCount)
		for rule := range names {
			names[rule] = policy.Violation(rule).String()
		}
		return countsByName(counts[:], names)
	}
	return GuardStatus{byRule(n.nearMiss), byRule(n.blocked), byRule(n.violated)}
}

// reportViolation counts and logs a broken rule.
func (in *Ingress) reportViolation(rule policy.Violation, args ...any) {
	in.guardCounts.violated[rule]++
	in.logFault("rule broken", append([]any{"rule", rule.String()}, args...)...)
}

// latestStart returns until when the attempt may be written, and the rule that forbids it later. For a probe that is its timeout.
func (in *Ingress) latestStart(a *attempt) (at float64, rule policy.Violation) {
	if a.request == nil {
		return a.expiresAt, policy.SendAfterDeadline
	}
	r := a.request
	next := policy.Attempt{Class: r.Spec, Backend: a.backend.Backend(a.backend.state), DecidedAt: a.sentAt, TimeoutAt: a.expiresAt,
		HedgingAllowed: in.cfg.Settings.HedgingAllowed, MaxAttempts: max(in.maxAttempts, r.maxAttempts), SlowStartS: in.cfg.Settings.SlowStartS}
	var space [8]policy.PriorAttempt
	next.Prior = space[:0]
	for _, e := range r.attempts[:a.number] {
		prior := policy.PriorAttempt{WrittenAt: e.writeStartedAt, InFlight: e.state != attemptReported, MayHaveRun: e.mayHaveRun()}
		if e.backend != nil {
			prior.Backend = e.backend.Backend(e.backend.state)
		}
		next.Prior = append(next.Prior, prior)
	}
	return next.LatestStart()
}

// authorizeWrite reports whether an attempt may be written now. If not, it ends the attempt as not sent, and moves the time of the current
// event on: the loop lags behind, and the decider would decide on further attempts that are too late as well.
func (in *Ingress) authorizeWrite(a *attempt) bool {
	now := in.clock.Now()
	a.latestStart, a.latestStartRule = in.latestStart(a)
	switch {
	case now > a.latestStart:
		in.now = max(in.now, now)
		in.guardCounts.blocked[a.latestStartRule]++
		in.finishUnsent(a, unsentTooLate)
		return false
	case a.latestStart-now < nearMissS:
		in.guardCounts.nearMiss[a.latestStartRule]++
	}
	a.writeStartedAt = now
	return true
}

// verifyWritten checks, after the write, that an attempt which authorizeWrite allowed was still written in time.
func (in *Ingress) verifyWritten(a *attempt) {
	now := in.clock.Now()
	a.backend.lastWriteAt = now
	if rule := policy.ViolationAt(now, a.latestStart, a.latestStartRule); rule != policy.NoViolation && a.request != nil {
		in.reportViolation(rule, "id", a.request.ID, "attempt", a.number, "waited", roundToMillis(a.writeStartedAt-a.sentAt),
			"late", roundToMillis(now-a.latestStart))
	}
}

// waitedAndDisconnected reports whether a request is older than disconnectCheckAfterS and its client has disconnected: no attempt
// may be sent for it then. The decider is notified of the disconnect after its current event method has returned.
func (in *Ingress) waitedAndDisconnected(r *request) bool {
	c := r.client
	if in.now-r.receivedAt < disconnectCheckAfterS || !c.disconnected() {
		return false
	}
	in.deferred = append(in.deferred, func() { in.handleDisconnect(c, closeByClient) })
	return true
}

// checkBackendDrain reports a violation if an attempt was written to a backend too long after notifiedAt, when discovery reported
// that the backend drains or is removed. That report may have waited in the loop's queue, with writes before it.
func (in *Ingress) checkBackendDrain(backend *backend, notifiedAt float64) {
	if late := backend.lastWriteAt - notifiedAt - drainSendGraceS; late > networkMarginS {
		in.reportViolation(policy.SendToDraining, "backend", backend.ID, "late", roundToMillis(late))
	}
}

// checkClientClose reports a violation if this ingress closes a client's connection while an answer on it is missing or not fully
// written. At the end of a shutdown only missing answers count.
func (in *Ingress) checkClientClose(c *clientConn) {
	unanswered := 0
	for _, s := range c.answerSlots {
		if s.request != nil && !s.request.completed {
			unanswered++
		}
	}
	unwritten := c.writing || len(c.answerSlots) > 0 && c.answerSlots[0].answer != nil
	switch c.closeReason {
	case closeIdleTimeout, closeDrained, closeShutdown, closeNoCapacity:
		if unanswered > 0 || unwritten {
			in.reportViolation(policy.CloseWithResponsePending, "conn", c.connID, "reason", c.closeReason, "owed", unanswered, "unwritten", unwritten)
		}
	case closeShutdownEnd:
		if unanswered > 0 {
			in.reportViolation(policy.CloseWithResponsePending, "conn", c.connID, "reason", c.closeReason, "owed", unanswered)
		}
	}
}

// checkClientsDrained reports a violation for each connection that should have been closed by the end of a drain.
func (in *Ingress) checkClientsDrained() {
	if !in.drain.Active() {
		return
	}
	for c := range in.clients.conns {
		if in.drain.Overdue(in.now, c.lastCallAt, c.idle()) && c.state != connClosing {
			in.reportViolation(policy.OpenAfterDrain, "conn", c.connID, "idle", c.idle(), "requests", c.requestCount)
		}
	}
	if n := acceptQueueLength(in.listener); in.accept != nil || n > 0 {
		in.reportViolation(policy.OpenAfterDrain, "accepting", in.accept != nil, "accept_queue", n)
	}
}
