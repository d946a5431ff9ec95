package policy

import (
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

// What the module tells of its decisions, where somebody asks. Nothing is decided here.

// SetTracer has each decision told, with its reason, until it is called with nil. What f does must be quick.
func (g *Gateway) SetTracer(tracer func(reason.Decision)) { g.tracer = tracer }

// trace tells of a step of a request. attempt is below 0 where the step is of none.
func (g *Gateway) trace(step reason.Step, cause reason.Reason, req *request, attempt int) {
	if g.tracer == nil {
		return
	}
	decision := reason.Decision{At: g.now, Step: step, Reason: cause, ID: req.ID, Class: req.class.Name, Plan: req.Plan, Units: req.Units, ClientRetry: req.clientRetry,
		RemainingS: float32(req.DeadlineAt - g.now), ObjectiveRemainingS: float32(req.objectiveDeadline - g.now), MeanLatencyS: float32(req.class.meanLatency), Attempt: len(req.attempts)}
	if account := req.account; account != nil {
		g.traceAccount(&decision, account)
	}
	if step == reason.StepQueued {
		decision.InFlight, decision.InFlightLimit = g.inFlight, float32(g.adaptiveLimit)
	}
	if attempt >= 0 {
		decision.Attempt, decision.Backend = attempt, req.attempts[attempt].backend.ID
	}
	g.tracer(decision)
}

// traceAccount puts in what this gateway sees of the account, and changes nothing.
func (g *Gateway) traceAccount(decision *reason.Decision, account *accountState) {
	decision.Account, decision.Owner, decision.PrimaryOwner, decision.InFlight = account.key, g.owner(account), account.primaryOwner, account.inFlight
	decision.LocalDemand, decision.OtherDemand = float32(g.localDemand(account)), float32(account.otherDemand)
	if ledger := account.ledger; ledger != nil {
		decision.WindowAvailable, decision.OtherDemand = float32(ledger.Available), float32(ledger.DemandNow(g.now, demandTauS))
	} else {
		decision.WindowAvailable, decision.ReplyAgeS = float32(g.availableNow(account)), float32(g.now-account.availableAt)
	}
	if limit := g.hardLimitConfig(account); limit.Rate > 0 {
		account.hardLimit.CoversWithin(limit, g.now, 0, 0) // brings it up to now
		decision.HardLimitLocal, decision.HardLimitShared = float32(account.hardLimit.Local.Level), float32(account.hardLimit.Shared.Level)
	}
}

// traceOutcome tells how an attempt ended.
func (g *Gateway) traceOutcome(req *request, outcome Outcome) {
	if g.tracer != nil {
		g.tracer(reason.Decision{At: g.now, Step: reason.StepEnded, ID: req.ID, Class: req.class.Name, Plan: req.Plan, Units: req.Units, Attempt: outcome.Attempt,
			Backend: outcome.Backend, Status: int(outcome.Status), ObjectiveRemainingS: float32(req.objectiveDeadline - g.now), RemainingS: float32(req.DeadlineAt - g.now)})
	}
}

// traceGrant tells what this gateway, as owner, told another one that asked.
func (g *Gateway) traceGrant(account *accountState, waiter slotlease.Waiter, reply record, grant float64, denial reason.Reason) {
	if g.tracer == nil {
		return
	}
	decision := reason.Decision{At: g.now, Step: reason.StepGranted, Reason: reason.Granted, Plan: account.plan.Name, Units: waiter.Units, Requester: waiter.Member}
	if grant == 0 {
		decision.Step, decision.Reason = reason.StepDenied, denial
	} else if account.plan.HardLimitRate > 0 && !reply.SharedBucket {
		decision.Reason = reason.HardLimitExhausted // granted, but the shared part does not pay
	}
	g.traceAccount(&decision, account)
	g.tracer(decision)
}

// queueReason tells why no server was chosen.
func (g *Gateway) queueReason(req *request) reason.Reason {
	switch {
	case req.account != nil && req.attempts == nil && g.atConcurrencyLimit(req.account):
		return reason.ConcurrencyLimit
	case req.hardLimitUnpaid && !g.hardLimitPays(req):
		return reason.HardLimitLocal
	case g.atAdaptiveLimit(req):
		return reason.AdaptiveLimit
	}
	return reason.NoBackend
}
