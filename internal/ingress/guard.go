package ingress

import (
	"eiderspread/policy"
)

// The guard: what must hold when bytes go out or a connection ends is asked at that very moment, and what came of it is counted. The rules are the
// decision module's (policy/guard.go); nothing else in this package writes to a backend or ends a client's connection.

const (
	nearS       = 0.02 // what is written so shortly before its last moment is counted
	drainGraceS = 0.25 // a backend may be sent to for so long after it was told to drain or to be gone
	networkS    = 0.05 // by which the rules on sockets are longer
)

// guardCounts are the acts that the guard looked at. Loop only.
type guardCounts struct {
	near     [policy.Violations]int // just before the last moment that the rule leaves
	blocked  [policy.Violations]int // not carried out, as the rule would have been broken
	violated [policy.Violations]int // carried out all the same: the rule is broken
}

// GuardStatus is guardCounts for people, by rule; those that never occurred are left out.
type GuardStatus struct {
	Near     map[string]int `json:"near,omitempty"`
	Blocked  map[string]int `json:"blocked,omitempty"`
	Violated map[string]int `json:"violated,omitempty"`
}

func (n *guardCounts) status() GuardStatus {
	named := func(counts [policy.Violations]int) map[string]int {
		names := make([]string, policy.Violations)
		for rule := range names {
			names[rule] = policy.Violation(rule).String()
		}
		return byName(counts[:], names)
	}
	return GuardStatus{named(n.near), named(n.blocked), named(n.violated)}
}

// violated counts a broken rule and says so in the log.
func (in *Ingress) violated(rule policy.Violation, args ...any) {
	in.guards.violated[rule]++
	in.note("rule broken", append([]any{"rule", rule.String()}, args...)...)
}

// lastMoment is up to when the attempt may be written, and the rule that ends it. A probe has none but its own time.
func (in *Ingress) lastMoment(a *attempt) (at float64, rule policy.Violation) {
	if a.req == nil {
		return a.until, policy.SendAfterDeadline
	}
	r := a.req
	what := policy.Attempt{Class: r.class, Server: a.be.Policy(a.be.state), DecidedAt: a.sentAt, UntilS: a.until,
		Parallel: in.cfg.Settings.Parallel, Limit: max(in.maxAttempts, r.most), ColdS: in.cfg.Settings.ColdS}
	var space [8]policy.Earlier
	what.Earlier = space[:0]
	for _, e := range r.attempts[:a.number] {
		earlier := policy.Earlier{WrittenAt: e.writtenAt, Out: !e.reported, MayHaveRun: e.mayHaveRun()}
		if e.be != nil {
			earlier.Server = e.be.Policy(e.be.state)
		}
		what.Earlier = append(what.Earlier, earlier)
	}
	return what.LastMoment()
}

// mayHaveRun tells that nothing proves that the attempt did not run.
func (a *attempt) mayHaveRun() bool {
	if a.writtenAt == 0 {
		return false
	}
	return !a.reported || a.status != policy.Full && a.status != policy.ConnectFailed && a.status != policy.Moot
}

// mayWrite tells that an attempt may be written now; else it is given back to the module as one that was not sent.
func (in *Ingress) mayWrite(a *attempt) bool {
	now := in.clock.Now()
	a.lastMoment, a.lastRule = in.lastMoment(a)
	switch {
	case now > a.lastMoment:
		in.guards.blocked[a.lastRule]++
		in.notSent(a, unsentTooLate)
		return false
	case a.lastMoment-now < nearS:
		in.guards.near[a.lastRule]++
	}
	a.writtenAt = now
	return true
}

// wrote checks afterwards what the guard has let through.
func (in *Ingress) wrote(a *attempt) {
	now := in.clock.Now()
	a.be.writtenAt = now
	if rule := policy.Passed(now, a.lastMoment, a.lastRule); rule != policy.NoViolation && a.req != nil {
		in.violated(rule, "id", a.req.ID, "attempt", a.number, "waited", seconds(a.writtenAt-a.sentAt), "late", seconds(now-a.lastMoment))
	}
}

// checkDrain looks whether a backend was sent to too long after it was told that it drains or is gone. Discovery's word may have waited for the loop.
func (in *Ingress) checkDrain(be *backend, toldAt float64) {
	if late := be.writtenAt - toldAt - drainGraceS; late > networkS {
		in.violated(policy.SendToDrained, "backend", be.ID, "late", seconds(late))
	}
}

// checkClose looks whether an answer is owed on a client's connection that this ingress closes.
func (in *Ingress) checkClose(c *client) {
	owed := 0
	for _, s := range c.slots {
		if s.req != nil && !s.req.over {
			owed++
		}
	}
	unwritten := len(c.pending) > 0 || c.writing
	switch c.closeReason {
	case closeIdleTimeout, closeDrained, closeShutdown, closeNoCapacity:
		if owed > 0 || unwritten {
			in.violated(policy.CloseOwed, "conn", c.id, "reason", c.closeReason, "owed", owed, "unwritten", unwritten)
		}
	case closeShutdownEnd:
		if owed > 0 {
			in.violated(policy.CloseOwed, "conn", c.id, "reason", c.closeReason, "owed", owed)
		}
	}
}

// checkDrained looks for clients that are held past the time for a drain.
func (in *Ingress) checkDrained() {
	if !in.drain.On() {
		return
	}
	for c := range in.clients.all {
		if in.drain.Holds(in.now, c.acceptedAt, c.usedAt, c.lastRequestAt, c.idle()) && !c.ending {
			in.violated(policy.HoldAfterDrain, "conn", c.id, "idle", c.idle(), "requests", c.requestCount)
		}
	}
}
