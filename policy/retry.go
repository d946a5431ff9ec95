package policy

import (
	"math"

	"eiderspread/internal/decision/reason"
)

const (
	deadlineMarginS        = 0.004 // seconds, lower bound of an attempt's timeout
	hedgeLatencyMultiple   = 4.0   // age in mean latencies from which an attempt at a healthy backend is hedged
	hedgeObjectiveFraction = 0.4   // of the latency objective, before which no attempt is hedged or cancelled
)

// attemptPhase is the phase of an attempt.
type attemptPhase uint8

const (
	attemptInFlight   attemptPhase = iota
	attemptCancelling              // cancelled by this gateway; its outcome has not arrived yet
	attemptDone
)

// String returns the phase's name.
func (p attemptPhase) String() string {
	switch p {
	case attemptInFlight:
		return "in flight"
	case attemptCancelling:
		return "cancelling"
	case attemptDone:
		return "done"
	}
	return "unknown"
}

// attemptState is the state of one attempt of a request.
type attemptState struct {
	backend      *backendState
	sentAt       float64 // Unix seconds
	phase        attemptPhase
	unresponsive bool // counted as an attempt that its backend leaves unanswered
}

// noAttempt is the index that means no attempt.
const noAttempt = -1

// attemptBlocked returns the reason why the request may have no further attempt, or why another one is not
// worth it; None if it may have one.
func (g *Gateway) attemptBlocked(req *request) reason.Reason {
	switch {
	case len(req.attempts) >= max(1, g.settings.MaxAttempts):
		return reason.AttemptLimit
	case g.now+req.class.meanLatency > req.expiresAt():
		return reason.ObjectiveMissed
	case !req.reachedBackend && g.now > req.latestStart:
		return reason.LatestStartPassed
	// The key's TTL is checked at the decision here; Attempt.LatestStart checks it again at the write.
	case req.firstRunBackend == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == KeyedIdempotent && g.now <= req.firstRunAt+req.class.KeyTTLS-maxStallS:
		return reason.None
	}
	return reason.MayHaveRun
}

// MayReject reports whether a request may be rejected, which promises its client that a retry is harmless.
// Otherwise it must fail. mayHaveRun is whether an attempt of the request may have run, or may still run.
func MayReject(class Class, mayHaveRun bool) bool {
	return !mayHaveRun || class.Idempotency == Idempotent ||
		class.Idempotency == KeyedIdempotent && class.KeyScope == ScopeAll
}

// sendAttempt sends the request's next attempt to a backend. The caller gets the backend from pickBackend or
// selectBackend, which checks that the backend can take the attempt; pickBackend also checks that a bucket of
// the hard limit pays for the request.
func (g *Gateway) sendAttempt(req *request, backend *backendState) {
	if req.hardLimitUnpaid {
		req.hardLimitUnpaid = false
		req.account.hardLimit.Pay(g.hardLimitConfig(req.account), g.now, req.Units)
	}
	backend.meanInFlight = backend.meanInFlight*math.Exp((backend.lastSentAt-g.now)/meanInFlightTauS) +
		min(backend.relativeLatency*req.class.meanLatency/meanInFlightTauS, 1)
	if len(req.attempts) == 0 {
		g.shedder.ObserveWait(g.now, req.WaitFraction(g.now))
	}
	g.startAttempt(req, backend)
	g.recordSlowStartWork(backend, req.class.meanLatency)
	g.trace(reason.StepSent, reason.None, req, len(req.attempts)-1)
	g.actions.Send(req.ID, backend.ID, max(req.expiresAt()-g.now, deadlineMarginS))
}

// startAttempt records a new attempt as in flight.
func (g *Gateway) startAttempt(req *request, backend *backendState) {
	backend.inFlight++
	g.inFlight++
	req.inFlight++
	g.lastSentAt, backend.lastSentAt = g.now, g.now
	if req.awaitsFirstSend() {
		req.account.unsentAdmitted--
	}
	g.addInFlight(req, 1)
	req.attempts = append(req.attempts, attemptState{backend: backend, sentAt: g.now})
}

// finishAttempt returns the attempt of an outcome and its request, and marks the attempt as done. It returns
// nil if the attempt is unknown or already done.
func (g *Gateway) finishAttempt(outcome Outcome) (*request, *attemptState) {
	req := g.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) {
		return nil, nil
	}
	attempt := &req.attempts[outcome.Attempt]
	if attempt.phase == attemptDone {
		return nil, nil
	}
	attempt.phase = attemptDone
	attempt.backend.inFlight--
	g.inFlight--
	req.inFlight--
	g.addInFlight(req, -1)
	return req, attempt
}

// cancelAttempt cancels an attempt that is in flight, if the settings allow cancelling.
func (g *Gateway) cancelAttempt(req *request, index int) {
	if attempt := &req.attempts[index]; g.settings.CancelAllowed && attempt.phase == attemptInFlight {
		attempt.phase = attemptCancelling
		g.actions.Cancel(req.ID, index)
	}
}

// HandleOutcome handles the end of an attempt. An OK answer completes the request, and so does an outcome
// that is marked as Completed. Otherwise the request is retried, or rejected, once none of its attempts is in
// flight. Outcomes of unknown attempts are ignored.
func (g *Gateway) HandleOutcome(now float64, outcome Outcome) {
	g.advanceClock(now)
	req, attempt := g.finishAttempt(outcome)
	if req == nil {
		return
	}
	g.traceOutcome(req, outcome)
	g.applyLoadReport(attempt.backend, outcome.Load)
	g.recordOutcome(req, attempt.backend, outcome)
	req.reachedBackend = req.reachedBackend || outcome.Status != ConnectFailed && outcome.Status != NotSent
	if !outcome.Status.NeverRan() && req.firstRunBackend == nil {
		req.firstRunBackend, req.firstRunAt = attempt.backend, attempt.sentAt
	}
	if outcome.Status == OK && g.settings.UnitsFromResponse && req.account != nil && outcome.Units > 0 {
		g.charge(req.account, outcome.Units-req.Units)
	}
	if req.phase == phaseCompleted || outcome.Completed || outcome.Status == OK {
		g.complete(req)
	} else if req.inFlight == 0 && !req.streaming {
		g.dispatch(req)
	}
	g.drainQueue()
}

// recordOutcome updates the backend's statistics and the adaptive limit with the outcome of an attempt.
func (g *Gateway) recordOutcome(req *request, backend *backendState, outcome Outcome) {
	class := req.class
	// A timeout at an unhealthy backend says nothing about the load of the other backends.
	informative := outcome.Status == OK ||
		outcome.Status == Timeout && backend.ErrorScore(class.index, g.now) < unhealthyScore
	switch outcome.Status {
	case OK:
		g.recordSuccess(req, backend, outcome.LatencyS)
	case Timeout:
		g.recordFailure(backend, class, errorPenalty)
		backend.relativeLatency += timeoutWeight * max(maxRelativeLatency-backend.relativeLatency, 0)
	case Error:
		backend.RecordError(class.index)
		g.recordFailure(backend, class, max(errorPenalty, backend.ErrorRate(class.index)))
	case ConnectFailed, Reset:
		g.recordBrokenConnection(backend)
	case Rejected:
		g.recordRejection(backend)
	}
	if informative {
		g.updateAdaptiveLimit(class, outcome.LatencyS, outcome.Status == Timeout)
	}
}

// hedge sends a hedged attempt of a request to another backend if the backend of its only attempt in flight
// is unhealthy, or slow while the queue is empty. If the settings allow no hedging, it cancels the attempt at
// an unhealthy backend instead, so that the request is retried. It does nothing for a request of a
// NonIdempotent class, if no further attempt is allowed, or if no other backend can take one.
func (g *Gateway) hedge(req *request) {
	if req.phase == phaseCompleted || req.streaming || req.inFlight != 1 ||
		req.class.Idempotency == NonIdempotent {
		return
	}
	last := len(req.attempts) - 1
	attempt := &req.attempts[last]
	age := g.now - attempt.sentAt
	unhealthy := attempt.backend.ErrorScore(req.class.index, g.now) > unhealthyScore
	slow := g.settings.HedgingAllowed && age >= hedgeLatencyMultiple*req.class.meanLatency && len(g.queue) == 0
	if !unhealthy && !slow || attempt.phase != attemptInFlight ||
		age < hedgeObjectiveFraction*req.class.LatencyObjectiveS {
		return
	}
	// The attempt in flight may have run: the selection of a backend depends on that. If no hedged attempt is
	// sent and nothing is cancelled, the previous state is restored.
	firstRunBackend, firstRunAt := req.firstRunBackend, req.firstRunAt
	if req.firstRunBackend == nil {
		req.firstRunBackend, req.firstRunAt = attempt.backend, attempt.sentAt
	}
	var backend *backendState
	if g.attemptBlocked(req) == reason.None {
		backend = g.selectBackend(req)
	}
	switch {
	case backend == nil || backend == attempt.backend:
		req.firstRunBackend, req.firstRunAt = firstRunBackend, firstRunAt
	case g.settings.HedgingAllowed:
		g.sendAttempt(req, backend)
	default:
		g.cancelAttempt(req, last)
	}
}
