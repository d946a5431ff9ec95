package policy

import (
	"math"

	"eiderspread/internal/decision/reason"
)

const (
	deadlineMarginS        = 0.004 // seconds, the shortest timeout of an attempt
	hedgeLatencyMultiple   = 4.0   // mean latencies after which an attempt at a healthy backend is hedged
	hedgeObjectiveFraction = 0.4   // of the latency objective, before which no attempt is hedged or given up
)

// attemptPhase is how far an attempt has come.
type attemptPhase uint8

const (
	attemptInFlight   attemptPhase = iota
	attemptCancelling              // cancelled by this gateway; its outcome is still to come
	attemptDone
)

// String is the phase's name.
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

// attemptState is one attempt of a request.
type attemptState struct {
	backend      *backendState
	sentAt       float64 // Unix seconds
	phase        attemptPhase
	unresponsive bool // that its backend does not answer was counted
}

// noAttempt, as the index of an attempt, stands for none.
const noAttempt = -1

// attemptBlocked is the reason why the request may have no further attempt, or why none is worth it; None if
// it may.
func (g *Gateway) attemptBlocked(req *request) reason.Reason {
	switch {
	case len(req.attempts) >= max(1, g.settings.MaxAttempts):
		return reason.AttemptLimit
	case g.now+req.class.meanLatency > req.expiresAt():
		return reason.ObjectiveMissed
	case !req.reachedBackend && g.now > req.latestStart:
		return reason.LatestStartPassed
	// The key's time is checked when deciding; Attempt.LatestStart checks it again at the write.
	case req.firstRan == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == KeyedIdempotent && g.now <= req.firstRanAt+req.class.KeyTTLS-maxStallS:
		return reason.None
	}
	return reason.MayHaveRun
}

// MayReject reports whether a request may be rejected, which promises its client that a retry is harmless;
// else it has to fail. mayHaveRun is whether an attempt of it may have run, or still may.
func MayReject(class Class, mayHaveRun bool) bool {
	return !mayHaveRun || class.Idempotency == Idempotent ||
		class.Idempotency == KeyedIdempotent && class.KeyScope == ScopeAll
}

// sendAttempt starts the request's next attempt. pickBackend or selectBackend has seen to it that the backend
// can take it, and that a bucket of the hard limit pays for it.
func (g *Gateway) sendAttempt(req *request, backend *backendState) {
	if req.hardLimitUnpaid {
		req.hardLimitUnpaid = false
		req.account.hardLimit.Pay(g.hardLimitConfig(req.account), g.now, req.Units)
	}
	backend.meanInFlight = backend.meanInFlight*math.Exp((backend.lastSentAt-g.now)/meanInFlightTauS) +
		min(backend.relativeLatency*req.class.meanLatency/meanInFlightTauS, 1)
	if len(req.attempts) == 0 {
		g.shedder.ObserveWait(g.now, req.Waited(g.now))
	}
	g.startAttempt(req, backend)
	g.recordSlowStartWork(backend, req.class.meanLatency)
	g.trace(reason.StepSent, reason.None, req, len(req.attempts)-1)
	g.actions.Send(req.ID, backend.ID, max(req.expiresAt()-g.now, deadlineMarginS))
}

// startAttempt counts an attempt as in flight.
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

// finishAttempt finds the attempt of an outcome and counts it as done; nil if it isn't known or was done
// before.
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

// cancelAttempt gives up an attempt that is in flight, where the settings allow it.
func (g *Gateway) cancelAttempt(req *request, index int) {
	if attempt := &req.attempts[index]; g.settings.CancelAllowed && attempt.phase == attemptInFlight {
		attempt.phase = attemptCancelling
		g.actions.Cancel(req.ID, index)
	}
}

// HandleOutcome handles the end of an attempt. The request is completed by it, or gets another attempt once
// none is in flight. Outcomes of unknown attempts are ignored.
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
	if !outcome.Status.NeverRan() && req.firstRan == nil {
		req.firstRan, req.firstRanAt = attempt.backend, attempt.sentAt
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

// recordOutcome updates the statistics of the backend, and of all backends, with the end of an attempt.
func (g *Gateway) recordOutcome(req *request, backend *backendState, outcome Outcome) {
	class := req.class
	// A timeout at an unhealthy backend says nothing about the others.
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

// hedge sends a copy of an idempotent request elsewhere, or gives its attempt up where the settings don't
// allow two: when its backend is unhealthy or, as long as nothing waits in the queue, slow. Nothing is done
// if another attempt would not be allowed, or no other backend can take it.
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
	// The attempt in flight may have run, for the choice of a backend now and for good once there is a copy.
	firstRan, firstRanAt := req.firstRan, req.firstRanAt
	if req.firstRan == nil {
		req.firstRan, req.firstRanAt = attempt.backend, attempt.sentAt
	}
	var backend *backendState
	if g.attemptBlocked(req) == reason.None {
		backend = g.selectBackend(req)
	}
	switch {
	case backend == nil || backend == attempt.backend:
		req.firstRan, req.firstRanAt = firstRan, firstRanAt
	case g.settings.HedgingAllowed:
		g.sendAttempt(req, backend)
	default:
		g.cancelAttempt(req, last)
	}
}
