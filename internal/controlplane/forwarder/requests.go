package forwarder

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// maxOpenRequests bounds the requests in Core.requests. Further requests are rejected.
	maxOpenRequests = 16 << 10
	// leaderWaitFraction is the fraction of the time between a request's arrival and its deadline for which the request may wait for a
	// leader if no attempt may have run.
	leaderWaitFraction = 0.5
	// minRetryAfterFraction is the smallest Retry-After that the forwarder sends of its own accord, as a fraction of
	// Config.MaxRetryAfterS.
	minRetryAfterFraction = 0.5
	// keyTTLMarginS is subtracted from the time for which backends remember an idempotency key, in seconds. It is smaller than the margin
	// in package policy because mayRetry subtracts the class's latency objective as well.
	keyTTLMarginS = 0.05
)

// openRequest is a request that has no answer yet, or that has attempts in flight. A request without a handle and without an answer waits
// for a leader, or for the end of an attempt that a former leader decided on.
type openRequest struct {
	policy.Request
	class, plan  int // indexes into the configuration
	cellID       int
	receivedAt   float64
	waitingSince float64 // when it last began to wait for a leader; receivedAt if it has not waited yet

	handle          uint64 // of the current submission; 0: no planner knows the request
	plannerAttempts []int  // of the current submission, by the planner's attempt number: the index in attempts, or notSent

	attempts     []attempt // by the forwarder's attempt number, which the ingress uses too
	inFlight     int       // number of attempts that have not ended
	unitsCounted bool      // its units have been charged to the account's quota
	mayHaveRun   bool      // an attempt may have had an effect
	firstRunAt   float64   // when the first attempt that may have had an effect was sent; valid if mayHaveRun
	completed    bool      // its client has an answer, or has disconnected
}

// attempt is one attempt that the ingress was asked to send.
type attempt struct {
	sentAt float64
	ended  bool
}

// notSent is the entry in openRequest.plannerAttempts for an attempt that a planner decided on but that was not sent.
const notSent = -1

// startAttempt records an attempt that is sent now.
func (r *openRequest) startAttempt(now float64) {
	r.attempts = append(r.attempts, attempt{sentAt: now})
	r.inFlight++
	r.unitsCounted = true
}

// endAttempt records the end of an attempt.
func (r *openRequest) endAttempt(number int, status policy.Status) {
	ended := &r.attempts[number]
	ended.ended = true
	r.inFlight--
	if !status.NeverRan() && !r.mayHaveRun {
		r.mayHaveRun, r.firstRunAt = true, ended.sentAt
	}
}

// HandleRequest handles a client's request.
func (c *Core) HandleRequest(now float64, req policy.Request) {
	c.now = now
	if c.requests[req.ID] != nil {
		return
	}
	c.Stats.Requests++
	class, knownClass := c.classIndex[req.Class]
	plan, knownPlan := c.planIndex[req.Plan]
	if !knownClass || !knownPlan {
		if !c.migrated {
			c.out.Fail(req.ID)
		}
		return
	}
	request := &openRequest{Request: req, class: class, plan: plan, cellID: c.cfg.CellOf(req.Account), receivedAt: now, waitingSince: now}
	cell := &c.cells[request.cellID]
	switch {
	case c.migrated:
		if len(c.requests) < maxOpenRequests {
			c.requests[req.ID] = request
		}
	case c.overdue(request): // nothing has been sent, and no planner would decide in time
		c.out.Reject(req.ID, c.retryAfterS())
	case len(c.requests) >= maxOpenRequests, cell.hasLeader && !c.out.PlannerWritable(cell.holder):
		c.Stats.RejectedAtCapacity++
		c.out.Reject(req.ID, c.retryAfterS())
	case c.inFailsafe(cell):
		c.Stats.RejectedNoLeader++
		c.out.Reject(req.ID, c.retryAfterS())
	default:
		c.requests[req.ID] = request
		c.dispatch(request)
	}
}

// inFailsafe reports whether new requests of a cell are rejected at once. They are when no link to a planner has been up for FailsafeDelayS,
// or when the cell has had no leader for LeaderWaitS, the longest time that a request waits.
func (c *Core) inFailsafe(cell *cellState) bool {
	if cell.hasLeader {
		return false
	}
	unreachable := !c.anyPlannerLinked() && c.now >= c.disconnectedAt+c.cfg.FailsafeDelayS
	return unreachable || c.now >= cell.leaderlessSince+c.cfg.LeaderWaitS
}

// retryAfterS returns how long a rejected client should wait, in seconds. It is random, so that clients do not all retry at the same time.
func (c *Core) retryAfterS() float64 {
	return c.cfg.MaxRetryAfterS * (minRetryAfterFraction + (1-minRetryAfterFraction)*c.rng.Float64())
}

// dispatch submits a request with nothing in flight to the leader of its cell, or queues it for the next leader. A request that may not have
// another attempt gets its final answer instead.
func (c *Core) dispatch(request *openRequest) {
	if c.migrated {
		return
	}
	if !c.mayRetry(request) || c.attemptsExhausted(request) {
		c.finishWithoutLeader(request)
		return
	}
	cell := &c.cells[request.cellID]
	if cell.hasLeader {
		c.submit(request)
		return
	}
	request.waitingSince = c.now
	cell.waiting = append(cell.waiting, request)
}

// submit submits a request to the leader of its cell. Units that have already been charged to the account are not submitted again.
func (c *Core) submit(request *openRequest) {
	c.lastHandle++
	request.handle, request.plannerAttempts = c.lastHandle, request.plannerAttempts[:0]
	c.submitted[request.handle] = request
	c.Stats.Submitted++
	if len(request.attempts) > 0 || request.waitingSince != request.receivedAt {
		c.Stats.Resubmitted++
	}
	units := request.Units
	if request.unitsCounted {
		units = 0
	}
	cell := &c.cells[request.cellID]
	c.out.SendToPlanner(cell.holder, transport.Message{
		Kind:      transport.KindRequest,
		Cell:      uint16(request.cellID),
		Epoch:     cell.epoch,
		Handle:    request.handle,
		Class:     uint8(request.class),
		Plan:      uint8(request.plan),
		Name:      request.Account,
		DurationS: request.DeadlineAt - c.now,
		Units:     units,
		Flag:      request.Retry,
	})
}

// submitWaiting submits the requests that have waited for a cell's leader. While the link to the leader does not keep up, requests get their
// final answer instead.
func (c *Core) submitWaiting(cell *cellState) {
	waiting := cell.waiting
	cell.waiting = nil
	for _, request := range waiting {
		switch {
		case request.completed:
		case !c.out.PlannerWritable(cell.holder):
			c.Stats.RejectedAtCapacity++
			c.finishWithoutLeader(request)
		default:
			c.submit(request)
		}
	}
}

// withdraw ends a request's submission. Decisions that arrive for it later have no effect. Its attempts in flight become orphans.
func (c *Core) withdraw(request *openRequest) {
	delete(c.submitted, request.handle)
	if request.handle != 0 {
		c.addOrphans(request)
	}
	request.handle = 0
}

// expireWaiting gives the final answer to requests that may not wait for a leader any longer.
func (c *Core) expireWaiting(cell *cellState) {
	waiting := cell.waiting
	remaining := waiting[:0]
	cell.waiting = nil
	for _, request := range waiting {
		switch {
		case request.completed:
			c.releaseIfDone(request)
		case c.inFailsafe(cell), c.waitedTooLong(request):
			c.finishWithoutLeader(request)
		default:
			remaining = append(remaining, request)
		}
	}
	cell.waiting = remaining
}

// waitedTooLong reports whether a request has reached its limit of waiting for a leader. The limit is LeaderWaitS, and not past its deadline.
// A request of which no attempt may have run is limited to leaderWaitFraction of its time as well, because it can still be rejected; one
// that may have run can only fail.
func (c *Core) waitedTooLong(request *openRequest) bool {
	latestStart := request.receivedAt + leaderWaitFraction*(request.DeadlineAt-request.receivedAt)
	return c.now >= request.waitingSince+c.cfg.LeaderWaitS || c.now >= latestStart && !request.mayHaveRun || c.overdue(request)
}

// overdue reports whether the next tick would be too late to answer a request before its deadline.
func (c *Core) overdue(request *openRequest) bool { return c.now >= request.DeadlineAt-TickIntervalS }

// expireOverdue gives the final answer to requests that have none shortly before their deadline, while their clients still wait. Such requests
// exist because a leader that has lost its leadership, or is paused, makes no more decisions, and because an attempt may outlive its leader
// and never end.
func (c *Core) expireOverdue() {
	var requests []*openRequest
	for _, request := range c.requests {
		if !request.completed && c.overdue(request) {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *openRequest) int { return cmp.Compare(a.ID, b.ID) })
	for _, request := range requests {
		c.sendDisconnected(request)
		c.finishWithoutLeader(request)
	}
}

// sendDisconnected notifies the planner that a request is submitted to, if any, that the request needs no more decisions.
func (c *Core) sendDisconnected(request *openRequest) {
	if request.handle != 0 {
		c.out.SendToPlanner(c.cells[request.cellID].holder, transport.Message{Kind: transport.KindDisconnected, Handle: request.handle})
	}
}

// finishWithoutLeader rejects or fails a request without a planner's decision.
func (c *Core) finishWithoutLeader(request *openRequest) {
	if c.mayReject(request) {
		c.Stats.RejectedNoLeader++
		c.out.Reject(request.ID, c.retryAfterS())
	} else {
		c.Stats.FailedNoLeader++
		c.out.Fail(request.ID)
	}
	request.completed = true
	c.releaseIfDone(request)
}

// releaseIfDone removes a request that is completed and has nothing in flight.
func (c *Core) releaseIfDone(request *openRequest) {
	if !request.completed || request.inFlight > 0 {
		return
	}
	c.withdraw(request)
	if c.requests[request.ID] == request {
		delete(c.requests, request.ID)
	}
}

// HandleOutcome handles the end of an attempt.
func (c *Core) HandleOutcome(now float64, outcome policy.Outcome) {
	c.now = now
	request := c.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) || request.attempts[outcome.Attempt].ended {
		return
	}
	request.endAttempt(outcome.Attempt, outcome.Status)
	if outcome.Status == policy.OK && !request.completed {
		c.Stats.Served++
	}
	request.completed = request.completed || outcome.Completed || outcome.Status == policy.OK
	if request.handle != 0 {
		c.sendOutcome(request, outcome)
	} else {
		c.removeOrphan(request)
		if !request.completed && request.inFlight == 0 {
			c.dispatch(request)
		}
	}
	c.releaseIfDone(request)
}

// sendOutcome reports an attempt's end to the planner that decided on it.
func (c *Core) sendOutcome(request *openRequest, outcome policy.Outcome) {
	msg := transport.Message{Kind: transport.KindOutcome, Handle: request.handle, Number: uint32(slices.Index(request.plannerAttempts, outcome.Attempt)),
		Class: uint8(outcome.Status), Flag: request.completed, DurationS: outcome.LatencyS}
	setLoad(&msg, outcome.Load)
	c.out.SendToPlanner(c.cells[request.cellID].holder, msg)
}

// HandleDisconnect marks a request as completed because its client has disconnected.
func (c *Core) HandleDisconnect(now float64, id string) {
	c.now = now
	if request := c.requests[id]; request != nil && !request.completed {
		request.completed = true
		c.sendDisconnected(request)
		c.releaseIfDone(request)
	}
}

// requestsByID returns the open requests, sorted by id.
func (c *Core) requestsByID() []*openRequest {
	requests := make([]*openRequest, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		requests = append(requests, c.requests[id])
	}
	return requests
}
