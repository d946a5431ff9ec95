package policy

import (
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

// SetTracer has each decision passed to tracer, with its reason, until SetTracer is called with nil. The
// tracer is called while events are handled, and must return quickly.
func (g *Gateway) SetTracer(tracer func(reason.Decision)) { g.tracer = tracer }

// trace records a step of a request. attempt is the step's attempt by its index, or noAttempt.
func (g *Gateway) trace(step reason.Step, cause reason.Reason, req *request, attempt int) {
	if g.tracer == nil {
		return
	}
	decision := g.requestDecision(step, req)
	decision.Reason, decision.ClientRetry = cause, req.clientRetry
	decision.MeanLatencyS, decision.Attempt = float32(req.class.meanLatency), len(req.attempts)
	if account := req.account; account != nil {
		g.traceAccount(&decision, account)
	}
	if step == reason.StepQueued {
		decision.InFlight, decision.InFlightLimit = g.inFlight, float32(g.adaptiveLimit)
	}
	if attempt != noAttempt {
		decision.Attempt, decision.Backend = attempt, req.attempts[attempt].backend.ID
	}
	g.tracer(decision)
}

// requestDecision begins the record of a step of a request.
func (g *Gateway) requestDecision(step reason.Step, req *request) reason.Decision {
	return reason.Decision{At: g.now, Step: step, ID: req.ID, Class: req.class.Name, Plan: req.Plan,
		Units:               req.Units,
		RemainingS:          float32(req.DeadlineAt - g.now),
		ObjectiveRemainingS: float32(req.objectiveDeadline - g.now)}
}

// traceAccount fills in what this gateway knows of the account.
func (g *Gateway) traceAccount(decision *reason.Decision, account *accountState) {
	decision.Account, decision.Owner, decision.PrimaryOwner = account.key, g.owner(account), account.primaryOwner
	decision.InFlight = account.inFlight
	decision.LocalDemand, decision.OtherDemand = float32(g.localDemand(account)), float32(account.otherDemand)
	if ledger := account.ledger; ledger != nil {
		decision.WindowAvailable = float32(ledger.Available)
		decision.OtherDemand = float32(ledger.DemandNow(g.now, demandTauS))
	} else {
		decision.WindowAvailable = float32(g.availableNow(account))
		decision.ReplyAgeS = float32(g.now - account.availableAt)
	}
	if limit := g.hardLimitConfig(account); limit.Rate > 0 {
		account.hardLimit.CoversWithin(limit, g.now, 0, 0) // refills the buckets up to now
		decision.HardLimitLocal = float32(account.hardLimit.Local.Level)
		decision.HardLimitShared = float32(account.hardLimit.Shared.Level)
	}
}

// traceOutcome records the end of an attempt.
func (g *Gateway) traceOutcome(req *request, outcome Outcome) {
	if g.tracer == nil {
		return
	}
	decision := g.requestDecision(reason.StepEnded, req)
	decision.Attempt, decision.Backend, decision.Status = outcome.Attempt, outcome.Backend, int(outcome.Status)
	g.tracer(decision)
}

// traceGrant records what this gateway, as owner, replied to a member's quota request.
func (g *Gateway) traceGrant(account *accountState, waiter slotlease.Waiter, reply record, grant float64,
	denial reason.Reason) {
	if g.tracer == nil {
		return
	}
	decision := reason.Decision{At: g.now, Step: reason.StepGranted, Reason: reason.Granted,
		Plan: account.plan.Name, Units: waiter.Units, Requester: waiter.Member}
	if grant == 0 {
		decision.Step, decision.Reason = reason.StepDenied, denial
	} else if account.plan.HardLimitRate > 0 && !reply.SharedBucket {
		decision.Reason = reason.HardLimitExhausted // granted, but the shared bucket doesn't pay
	}
	g.traceAccount(&decision, account)
	g.tracer(decision)
}
