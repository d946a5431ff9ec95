package ingress

import (
	"eiderspread/policy"
)

// The guard: what must hold when bytes go out or a connection ends is asked at that very moment, and what came of it is counted. The rules are the
// decision module's (policy/guard.go); nothing else in this package writes to a backend or ends a client's connection.

const (
	nearMissS      = 0.02 // what is written so shortly before its last moment is counted
	drainGraceS    = 0.25 // a backend may be sent to for so long after it was told to drain or to be gone
	networkMarginS = 0.05 // by which the rules on sockets are longer
)

// guardCounters are the acts that the guard looked at. Loop only.
type guardCounters struct {
	nearMiss [policy.ViolationCount]int // just before the last moment that the rule leaves
	blocked  [policy.ViolationCount]int // not carried out, as the rule would have been broken
	violated [policy.ViolationCount]int // carried out all the same: the rule is broken
}

// GuardStatus is guardCounters for people, by rule; those that never occurred are left out.
type GuardStatus struct {
	NearMiss map[string]int `json:"near,omitempty"`
	Blocked  map[string]int `json:"blocked,omitempty"`
	Violated map[string]int `json:"violated,omitempty"`
}

func (n *guardCounters) status() GuardStatus {
	named := func(counts [policy.ViolationCount]int) map[string]int {
		names := make([]string, policy.ViolationCount)
		for rule := range names {
			names[rule] = policy.Violation(rule).String()
		}
		return countsByName(counts[:], names)
	}
	return GuardStatus{named(n.nearMiss), named(n.blocked), named(n.violated)}
}

// reportViolation counts a broken rule and says so in the log.
func (in *Ingress) reportViolation(rule policy.Violation, args ...any) {
	in.guardCounts.violated[rule]++
	in.logFault("rule broken", append([]any{"rule", rule.String()}, args...)...)
}

// latestStart is up to when the attempt may be written, and the rule that ends it. A probe has none but its own time.
func (in *Ingress) latestStart(a *attempt) (at float64, rule policy.Violation) {
	if a.request == nil {
		return a.expiresAt, policy.SendAfterDeadline
	}
	r := a.request
	what := policy.Attempt{Class: r.class, Backend: a.backend.Backend(a.backend.state), DecidedAt: a.sentAt, TimeoutAt: a.expiresAt,
		HedgingAllowed: in.cfg.Settings.HedgingAllowed, MaxAttempts: max(in.maxAttempts, r.maxAttempts), SlowStartS: in.cfg.Settings.SlowStartS}
	var space [8]policy.PriorAttempt
	what.Prior = space[:0]
	for _, e := range r.attempts[:a.number] {
		earlier := policy.PriorAttempt{WrittenAt: e.writeStartedAt, InFlight: !e.reported, MayHaveRun: e.mayHaveRun()}
		if e.backend != nil {
			earlier.Backend = e.backend.Backend(e.backend.state)
		}
		what.Prior = append(what.Prior, earlier)
	}
	return what.LatestStart()
}

// mayHaveRun tells that nothing proves that the attempt did not run.
func (a *attempt) mayHaveRun() bool {
	if a.writeStartedAt == 0 {
		return false
	}
	return !a.reported || a.status != policy.Rejected && a.status != policy.ConnectFailed && a.status != policy.NotSent
}

// authorizeWrite tells that an attempt may be written now; else it is given back to the module as one that was not sent.
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

// verifyWritten checks afterwards what the guard has let through.
func (in *Ingress) verifyWritten(a *attempt) {
	now := in.clock.Now()
	a.backend.lastWriteAt = now
	if rule := policy.ViolationAt(now, a.latestStart, a.latestStartRule); rule != policy.NoViolation && a.request != nil {
		in.reportViolation(rule, "id", a.request.ID, "attempt", a.number, "waited", roundToMillis(a.writeStartedAt-a.sentAt), "late", roundToMillis(now-a.latestStart))
	}
}

// checkBackendDrain looks whether a backend was sent to too long after it was told that it drains or is gone. Discovery's word may have waited for the loop.
func (in *Ingress) checkBackendDrain(be *backend, notifiedAt float64) {
	if late := be.lastWriteAt - notifiedAt - drainGraceS; late > networkMarginS {
		in.reportViolation(policy.SendToDraining, "backend", be.ID, "late", roundToMillis(late))
	}
}

// checkClientClose looks whether an answer is owed on a client's connection that this ingress closes.
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

// checkClientsDrained looks for clients that are held past the time for a drain.
func (in *Ingress) checkClientsDrained() {
	if !in.drain.Active() {
		return
	}
	for c := range in.clients.conns {
		if in.drain.Overdue(in.now, c.acceptedAt, c.lastUsedAt, c.lastRequestAt, c.idle()) && !c.closing {
			in.reportViolation(policy.OpenAfterDrain, "conn", c.connID, "idle", c.idle(), "requests", c.requestCount)
		}
	}
}
