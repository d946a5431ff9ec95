package policy

import (
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

// SetTracer sets a function that is called with each decision and its reason; nil turns tracing off. The
// function runs while an event is handled, and must return quickly.
func (g *Gateway) SetTracer(tracer func(reason.Decision)) { g.tracer = tracer }

// trace records a step of a request. attempt is the index of the attempt that the step concerns, or
// noAttempt.
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

// requestDecision returns the record of a request's step, with the fields that every step has.
func (g *Gateway) requestDecision(step reason.Step, req *request) reason.Decision {
	return reason.Decision{At: g.now, Step: step, ID: req.ID, Class: req.class.Name, Plan: req.Plan,
		Units:               req.Units,
		RemainingS:          float32(req.DeadlineAt - g.now),
		ObjectiveRemainingS: float32(req.objectiveDeadline - g.now)}
}

// traceAccount fills in this gateway's state of the account.
func (g *Gateway) traceAccount(decision *reason.Decision, account *accountState) {
	decision.Account, decision.Owner, decision.PrimaryOwner = account.key, g.owner(account), account.primaryOwner
	decision.InFlight = account.inFlight
	decision.LocalDemand, decision.OtherDemand = float32(g.localDemand(account)), float32(account.otherDemand)
	if ledger := account.ledger; ledger != nil {
		decision.WindowAvailable = float32(ledger.Available)
		decision.OtherDemand = float32(ledger.DemandNow(g.now, demandTauS))
	} else {
		decision.WindowAvailable = float32(g.availableAsMember(account))
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

// traceGrant records this gateway's decision, as owner, on a member's quota request.
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
		decision.Reason = reason.HardLimitExhausted // granted, but not paid for by the shared bucket
	}
	g.traceAccount(&decision, account)
	g.tracer(decision)
}
