package ingress

import (
	"eiderspread/policy"
)

// The send guard: what must hold when bytes go out or a connection ends is checked at that very moment, and the result is counted. The rules
// are the decision module's (policy/attempt_guard.go). They bind two places: writeAttempt (backend_conn.go), by which all writes to backends
// go, and client_close.go, where the ingress closes connections of clients.

const (
	// disconnectCheckAfterS: a request that has waited for longer is sent only after a look whether its client is still there.
	disconnectCheckAfterS = 0.1
	// nearMissS before its latest start a write is counted as a near miss.
	nearMissS = 0.02
	// drainSendGraceS is how long a backend may be sent to after discovery said that it drains or is removed.
	drainSendGraceS = 0.25
	// networkMarginS is by how much the rules on sockets are longer.
	networkMarginS = 0.05
)

// guardCounters are what the guard looked at, by rule. Loop only.
type guardCounters struct {
	nearMiss [policy.ViolationCount]int // shortly before the latest start that the rule leaves
	blocked  [policy.ViolationCount]int // not carried out, as the rule would have been broken
	violated [policy.ViolationCount]int // carried out all the same: the rule is broken
}

// GuardStatus is how often the guard came into play, by rule; rules that never did are left out.
type GuardStatus struct {
	NearMiss map[string]int `json:"near,omitempty"`     // carried out shortly before its time was over
	Blocked  map[string]int `json:"blocked,omitempty"`  // not carried out
	Violated map[string]int `json:"violated,omitempty"` // broken
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

// reportViolation counts a broken rule and logs it.
func (in *Ingress) reportViolation(rule policy.Violation, args ...any) {
	in.guardCounts.violated[rule]++
	in.logFault("rule broken", append([]any{"rule", rule.String()}, args...)...)
}

// latestStart is up to when the attempt may be written, and the rule that ends it. A health check has none but its own timeout.
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

// authorizeWrite reports whether an attempt may be written now; else it is given back to the decider as not sent.
func (in *Ingress) authorizeWrite(a *attempt) bool {
	now := in.clock.Now()
	a.latestStart, a.latestStartRule = in.latestStart(a)
	switch {
	case now > a.latestStart:
		in.guardCounts.blocked[a.latestStartRule]++
		in.finishUnsent(a, unsentTooLate)
		return false
	case a.latestStart-now < nearMissS:
		in.guardCounts.nearMiss[a.latestStartRule]++
	}
	a.writeStartedAt = now
	return true
}

// verifyWritten checks afterwards what authorizeWrite has let through.
func (in *Ingress) verifyWritten(a *attempt) {
	now := in.clock.Now()
	a.backend.lastWriteAt = now
	if rule := policy.ViolationAt(now, a.latestStart, a.latestStartRule); rule != policy.NoViolation && a.request != nil {
		in.reportViolation(rule, "id", a.request.ID, "attempt", a.number, "waited", roundToMillis(a.writeStartedAt-a.sentAt),
			"late", roundToMillis(now-a.latestStart))
	}
}

// waitedAndDisconnected reports whether a request has waited and its client has disconnected meanwhile: nothing may be sent for it then. The
// decider is notified when its current event method has returned.
func (in *Ingress) waitedAndDisconnected(r *request) bool {
	c := r.client
	if in.now-r.receivedAt < disconnectCheckAfterS || !c.disconnected() {
		return false
	}
	in.deferred = append(in.deferred, func() { in.handleDisconnect(c, closeByClient) })
	return true
}

// checkBackendDrain checks that a backend was not sent to too long after discovery said that it drains or is removed, which may have waited
// for the loop.
func (in *Ingress) checkBackendDrain(backend *backend, notifiedAt float64) {
	if late := backend.lastWriteAt - notifiedAt - drainSendGraceS; late > networkMarginS {
		in.reportViolation(policy.SendToDraining, "backend", backend.ID, "late", roundToMillis(late))
	}
}

// checkClientClose checks that no answer is owed on a client's connection that this ingress closes.
func (in *Ingress) checkClientClose(c *clientConn) {
	unanswered := 0
	for _, s := range c.answerSlots {
		if s.request != nil && !s.request.completed {
			unanswered++
		}
	}
	unwritten := len(c.pendingOutput) > 0 || c.writing
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

// checkClientsDrained checks that no client is left past the time for a drain.
func (in *Ingress) checkClientsDrained() {
	if !in.drain.Active() {
		return
	}
	for c := range in.clients.conns {
		if in.drain.Overdue(in.now, c.acceptedAt, c.lastUsedAt, c.lastRequestAt, c.idle()) && c.state != connClosing {
			in.reportViolation(policy.OpenAfterDrain, "conn", c.connID, "idle", c.idle(), "requests", c.requestCount)
		}
	}
}
