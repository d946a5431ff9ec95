package policy

import (
	"cmp"
	"slices"

	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
)

// latestStartFraction is the fraction of the time between its arrival and its deadline after which a request
// that is not known to have reached a backend is given up: its client still has time to retry elsewhere.
const latestStartFraction = 0.45

// requestPhase is how far a request has come. Each phase is reached from an earlier one only.
type requestPhase uint8

const (
	phaseArrived       requestPhase = iota // no verdict yet
	phaseAwaitingOwner                     // in its account's list of pending requests
	phaseAdmitted                          // in the queue, or with attempts in flight
	phaseCompleted                         // answered, or no answer is needed; attempts may be in flight
)

// String is the phase's name.
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

// request is a client's request. Times are in Unix seconds.
type request struct {
	Request
	loadshed.AdmissionPriority // set if it has an account
	loadshed.QueueWait         // how long it may wait for a backend

	class   *classState   // as it was when the request arrived
	plan    *planState    // nil: no quota
	account *accountState // nil: no quota
	phase   requestPhase

	objectiveDeadline float64 // an answer by then earns its full weight
	latestStart       float64 // a first attempt is written by then, or never
	priority          float64 // in the queue, higher first
	lowPriority       float64 // 0 for the class of the highest priority weight, towards 1
	clientRetry       bool    // taken for the client's own retry, by its timing: Request.Retry is not read

	attempts        []attemptState
	inFlight        int           // of attempts
	reachedBackend  bool          // by an outcome that proves it: false while the first attempt is in flight
	firstRan        *backendState // of the first attempt that may have run; nil: none
	firstRanAt      float64       // when that attempt was sent
	streaming       bool          // the answer is being passed on to the client
	hardLimitUnpaid bool          // its units are still to be taken from a bucket of the hard limit
}

// HandleRequest handles a client's request. It gets one final answer, by Reject, Fail or the outcome of an
// attempt.
func (g *Gateway) HandleRequest(now float64, incoming Request) {
	g.advanceClock(now)
	if g.requests[incoming.ID] != nil {
		return
	}
	class := g.classes[incoming.Class]
	if class == nil { // removed by UpdateClasses after the request was read
		g.actions.Reject(incoming.ID, 0)
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

// newRequest works out a request's deadlines and priority.
func (g *Gateway) newRequest(incoming Request, class *classState) *request {
	req := &request{Request: incoming, class: class, plan: g.plansByName[incoming.Plan]}
	req.latestStart = g.now + latestStartFraction*(incoming.DeadlineAt-g.now)
	commonFraction := commonTimeoutFraction * g.shedder.FirstAttemptFactor()
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
	req.priority = class.PriorityWeight * weight // per unit of work: units stand for both work and worth
	req.lowPriority = g.lowPriority(class)
	return req
}

// objectiveAfter is until when an answer to a request that began at start earns its full weight.
func (c *classState) objectiveAfter(start float64) float64 {
	return start + c.LatencyObjectiveS + c.ObjectiveWorkFactor*c.meanLatency
}

// latestFirstSend is until when a first attempt is expected to meet the objective, and may be written.
func (r *request) latestFirstSend() float64 {
	return min(r.objectiveDeadline-r.class.meanLatency, r.latestStart)
}

// expiresAt is from when on an answer is not worth a backend's work: after the objective it earns a fraction
// of its weight, and is waited for during that fraction of the time left until the deadline.
func (r *request) expiresAt() float64 {
	return r.objectiveDeadline + r.class.LateWeightFraction*max(r.DeadlineAt-r.objectiveDeadline, 0)
}

// awaitsFirstSend reports whether the request was charged to its quota and has not been sent yet.
func (r *request) awaitsFirstSend() bool {
	return r.account != nil && r.phase == phaseAdmitted && len(r.attempts) == 0
}

// dispatch sends the next attempt of an admitted request, or queues it while no backend can take it.
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

// drainQueue sends what waits, by priority, and rejects what can't meet its objective any more.
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

// queueReason is the reason why no backend was picked for a request.
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

// reject gives a request its final answer: Reject if a retry is harmless, else Fail. It does nothing for a
// completed request.
func (g *Gateway) reject(req *request, cause reason.Reason) {
	if req.phase == phaseCompleted {
		return
	}
	if req.account != nil {
		req.account.rejectedAt = g.now
	}
	if mayHaveRun := req.firstRan != nil || req.inFlight > 0; !MayReject(req.class.Class, mayHaveRun) {
		g.trace(reason.StepFailed, cause, req, noAttempt)
		g.actions.Fail(req.ID)
	} else {
		g.trace(reason.StepRejected, cause, req, noAttempt)
		if req.awaitsFirstSend() { // no backend could take it in time
			g.shedder.ObserveWait(g.now, 1)
		}
		g.actions.Reject(req.ID, g.shedder.RetryAfterS(req.AdmissionPriority, g.settings.MaxRetryAfterS))
	}
	for i := range req.attempts {
		g.cancelAttempt(req, i)
	}
	g.complete(req)
}

// rejectExpired rejects a request that arrived with too little time left. That does not count as a rejection
// of the account: its client will not retry.
func (g *Gateway) rejectExpired(req *request, cause reason.Reason) {
	if req.account == nil {
		g.reject(req, cause)
		return
	}
	rejectedAt := req.account.rejectedAt
	g.reject(req, cause)
	req.account.rejectedAt = rejectedAt
}

// complete notes that a request has its final answer. What was admitted and never sent is given back to the
// quota. The request is forgotten once no attempt is in flight.
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

// HandleResponseStart handles the start of a streamed answer: from now on the request depends on that attempt
// alone.
func (g *Gateway) HandleResponseStart(now float64, id string, attempt int) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil {
		req.streaming = true
	}
}

// HandleDisconnect handles the end of a client's connection: its request needs no answer.
func (g *Gateway) HandleDisconnect(now float64, id string) {
	g.advanceClock(now)
	if req := g.requests[id]; req != nil && req.phase != phaseCompleted {
		g.complete(req)
	}
}

// checkActive looks at all requests in progress, once a tick.
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
