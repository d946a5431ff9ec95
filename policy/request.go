package policy

import (
	"cmp"
	"slices"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
)

// latestStartFraction is the fraction of the time between a request's arrival and its deadline after which a
// request that is not known to have reached a backend gets no further attempt, so that its client still has
// time to retry elsewhere.
const latestStartFraction = 0.45

// requestPhase is the phase of a request. A request only moves on to later phases.
type requestPhase uint8

const (
	phaseArrived       requestPhase = iota // admission has not been decided
	phaseAwaitingOwner                     // in its account's list of pending requests
	phaseAdmitted                          // in the queue, or with attempts in flight
	phaseCompleted                         // answered, or no longer needs an answer; may have attempts in flight
)

// String returns the phase's name.
func (p requestPhase) String() string {
	switch p {
	case phaseArrived:
		return "arrived"
	case phaseAwaitingOwner:
		return "awaiting owner"
	case phaseAdmitted:
		return "admitted"
	case phaseCompleted:
		return "completed"
	}
	return "unknown"
}

// request is the state of a client's request. Times are in Unix seconds.
type request struct {
	Request
	loadshed.AdmissionPriority // set if it has an account
	loadshed.QueueWait         // how long it has waited and may wait for a backend

	class   *classState   // as configured when the request arrived
	plan    *planState    // nil: no quota
	account *accountState // nil: no quota
	phase   requestPhase

	objectiveDeadline float64 // an answer by then earns its full weight
	latestStart       float64 // no attempt starts later, unless one is known to have reached a backend
	priority          float64 // in the queue, highest first
	lowPriority       float64 // 0 for the class with the highest priority weight, up to 1 for lower ones
	clientRetry       bool    // taken for a client retry by its timing; Request.Retry is not read

	attempts        []attemptState
	inFlight        int           // number of attempts in flight
	reachedBackend  bool          // the outcome of an attempt proves it; false while the first is in flight
	firstRunBackend *backendState // backend of the first attempt that may have run; nil: none
	firstRunAt      float64       // time at which that attempt was sent
	streaming       bool          // the answer is being streamed to the client
	hardLimitUnpaid bool          // its units have not been taken from a bucket of the hard limit yet
}

// HandleRequest handles a client's request, which gets exactly one final answer: Reject, Fail or the answer
// to an attempt. A request whose ID is known already is ignored.
func (g *Gateway) HandleRequest(now float64, incoming Request) {
	g.advanceClock(now)
	if g.requests[incoming.ID] != nil {
		return
	}
	class := g.classes[incoming.Class]
	if class == nil { // UpdateClasses removed the class after the request was read
		g.actions.Reject(incoming.ID, 0)
		return
	}
	if !g.accountAllowed(incoming) {
		g.actions.Reject(incoming.ID, g.settings.MaxRetryAfterS)
		return
	}
	req := g.newRequest(incoming, class)
	g.probeTokens = min(g.probeTokens+probesPerRequest, maxProbeTokens)
	g.requests[req.ID] = req
	g.active = append(g.active, req)
	verdict, cause := g.admit(req)
	g.trace(reason.StepArrived, cause, req, noAttempt)
	switch blocked := g.attemptBlocked(req); {
	case verdict == denied:
		g.reject(req, cause)
	case blocked != reason.None:
		g.rejectExpired(req, blocked)
	case verdict == ownerRequired:
		g.requestQuota(req, cause)
	default:
		if verdict == admittedPrefetched {
			req.account.prefetched -= req.Units
			req.account.ackedUnits += req.Units
		}
		g.chargeAdmission(req, verdict == admittedPrefetched)
		g.dispatch(req)
	}
}

// newRequest returns the state of a new request, with its deadlines and priority.
func (g *Gateway) newRequest(incoming Request, class *classState) *request {
	req := &request{Request: incoming, class: class, plan: g.plansByName[incoming.Plan]}
	req.latestStart = g.now + latestStartFraction*(incoming.DeadlineAt-g.now)
	commonFraction := commonTimeoutFraction * g.shedder.CommonTimeoutFactor()
	req.clientRetry = class.looksLikeRetry(incoming.DeadlineAt-g.now, commonFraction)
	weight := 1.0
	if req.plan != nil {
		weight, req.account = g.shedder.PlanWeight(req.plan.Weight), g.accountFor(incoming)
		req.account.demand.Add(g.now, incoming.Units, demandTauS)
		req.clientRetry = req.clientRetry && g.mayBeRetrying(req.account, class)
	}
	req.objectiveDeadline = class.objectiveAfter(g.now)
	if req.clientRetry {
		firstAttemptAt := incoming.DeadlineAt - class.DeadlineS
		req.objectiveDeadline = min(req.objectiveDeadline, class.objectiveAfter(firstAttemptAt))
	}
	req.objectiveDeadline = min(req.objectiveDeadline, incoming.DeadlineAt)
	if req.objectiveDeadline < g.now+class.meanLatency {
		weight *= class.LateWeightFraction
	}
	req.QueueWait = loadshed.QueueWait{Since: g.now, MaxS: req.objectiveDeadline - class.meanLatency - g.now}
	req.priority = class.PriorityWeight * weight // per unit: a unit measures work as well as value
	req.lowPriority = g.lowPriority(class)
	return req
}

// objectiveAfter returns the time until which an answer earns its full weight, for a request that began at
// start.
func (c *classState) objectiveAfter(start float64) float64 {
	return start + c.LatencyObjectiveS + c.ObjectiveWorkFactor*c.meanLatency
}

// latestFirstSend returns the latest time at which a first attempt may be sent and, at the class's mean
// latency, still meets the latency objective.
func (r *request) latestFirstSend() float64 {
	return min(r.objectiveDeadline-r.class.meanLatency, r.latestStart)
}

// expiresAt returns the time from which an answer is no longer worth a backend's work. An answer after the
// objective earns only LateWeightFraction of its weight, so that the gateway waits for it only during that
// fraction of the time between the objective and the deadline.
func (r *request) expiresAt() float64 {
	return r.objectiveDeadline + r.class.LateWeightFraction*max(r.DeadlineAt-r.objectiveDeadline, 0)
}

// awaitsFirstSend reports whether the request was charged to its quota but not sent yet.
func (r *request) awaitsFirstSend() bool {
	return r.account != nil && r.phase == phaseAdmitted && len(r.attempts) == 0
}

// dispatch sends the next attempt of an admitted request. It queues the request if no backend can take it
// now, and rejects it if it may have no further attempt.
func (g *Gateway) dispatch(req *request) {
	if len(req.attempts) == 0 {
		g.admittedWork.Add(g.now, req.class.meanLatency, demandTauS)
	}
	if blocked := g.attemptBlocked(req); blocked != reason.None {
		g.reject(req, blocked)
	} else if backend := g.pickBackend(req); backend != nil {
		g.sendAttempt(req, backend)
	} else {
		g.trace(reason.StepQueued, g.queueReason(req), req, noAttempt)
		g.queue = append(g.queue, req)
	}
}

// drainQueue sends queued requests in order of priority, as far as backends can take them, and rejects those
// that may have no further attempt or can't meet their latency objective any more.
func (g *Gateway) drainQueue() {
	if len(g.queue) == 0 {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *request) int { return cmp.Compare(b.priority, a.priority) })
	g.queue = slices.DeleteFunc(g.queue, func(req *request) bool {
		blocked := g.attemptBlocked(req)
		if g.now+req.class.meanLatency > req.objectiveDeadline {
			blocked = reason.ObjectiveMissed
		}
		if req.phase == phaseCompleted || blocked != reason.None {
			g.reject(req, blocked)
			return true
		}
		backend := g.pickBackend(req)
		if backend != nil {
			g.sendAttempt(req, backend)
		}
		return backend != nil
	})
}

// queueReason returns the reason why no backend was picked for a request.
func (g *Gateway) queueReason(req *request) reason.Reason {
	switch {
	case req.account != nil && req.attempts == nil && g.atConcurrencyLimit(req.account):
		return reason.ConcurrencyLimit
	case req.hardLimitUnpaid && !g.hardLimitCovers(req):
		return reason.HardLimitLocal
	case g.atAdaptiveLimit(req):
		return reason.AdaptiveLimit
	}
	return reason.NoBackend
}

// reject completes a request without a backend's answer: with Reject if a retry is harmless, else with Fail.
// It cancels the request's attempts in flight. It does nothing for a completed request.
func (g *Gateway) reject(req *request, cause reason.Reason) {
	if req.phase == phaseCompleted {
		return
	}
	if req.account != nil {
		req.account.rejectedAt = g.now
	}
	if mayHaveRun := req.firstRunBackend != nil || req.inFlight > 0; !MayReject(req.class.Class, mayHaveRun) {
		g.trace(reason.StepFailed, cause, req, noAttempt)
		g.actions.Fail(req.ID)
	} else {
		g.trace(reason.StepRejected, cause, req, noAttempt)
		if req.awaitsFirstSend() { // no backend could take the request in time
			g.shedder.ObserveWait(g.now, 1)
		}
		g.actions.Reject(req.ID, g.shedder.RetryAfterS(req.AdmissionPriority, g.settings.MaxRetryAfterS))
	}
	for i := range req.attempts {
		g.cancelAttempt(req, i)
	}
	g.complete(req)
}

// rejectExpired rejects a request that arrived with too little time left. The account's rejectedAt stays
// unchanged, because the client of such a request will not retry.
func (g *Gateway) rejectExpired(req *request, cause reason.Reason) {
	if req.account == nil {
		g.reject(req, cause)
		return
	}
	rejectedAt := req.account.rejectedAt
	g.reject(req, cause)
	req.account.rejectedAt = rejectedAt
}

// complete marks a request as completed. If the request was admitted but never sent, its units are returned
// to the quota. The request is removed once none of its attempts is in flight.
func (g *Gateway) complete(req *request) {
	unsent := req.awaitsFirstSend()
	req.phase = phaseCompleted
	if req.hardLimitUnpaid {
		req.hardLimitUnpaid = false
		req.account.hardLimit.Unpaid -= req.Units
	}
	if unsent {
		req.account.unsentAdmitted--
		g.charge(req.account, -req.Units)
	}
	if req.inFlight == 0 {
		delete(g.requests, req.ID)
	}
}

// HandleResponseStart handles the start of a streamed answer. From then on the request is neither hedged nor
// retried.
func (g *Gateway) HandleResponseStart(now float64, id string, attempt int) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil {
		req.streaming = true
	}
}

// HandleDisconnect handles a client's disconnect: its request needs no answer any more.
func (g *Gateway) HandleDisconnect(now float64, id string) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil && req.phase != phaseCompleted {
		g.complete(req)
	}
}

// checkActive does the periodic checks of all requests in progress, once a tick: it rejects requests whose
// owner did not reply in time, renews slot leases, detects unresponsive backends and hedges.
func (g *Gateway) checkActive() {
	done := func(req *request) bool { return req.phase == phaseCompleted && req.inFlight == 0 }
	g.active = slices.DeleteFunc(g.active, done)
	for _, req := range g.active {
		if g.rejectUnanswered(req) {
			continue
		}
		g.renewSlotLease(req)
		g.detectUnresponsive(req)
		g.hedge(req)
	}
	g.updateWarmCapacity()
}
