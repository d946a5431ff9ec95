package forwarder

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// maxOpenRequests bounds the requests that are submitted or wait for a leader. Further ones are rejected.
	maxOpenRequests = 16 << 10
	// leaderWaitFraction is the part of a request's time for which it may wait for a leader if no attempt has run.
	leaderWaitFraction = 0.5
	// minRetryAfterFraction is the least Retry-After of a client rejected here, as a part of Config.MaxRetryAfterS.
	minRetryAfterFraction = 0.5
	// keyTTLMarginS is taken off the time for which backends remember an idempotency key, in seconds. It is less
	// than the margin of the policy, as mayRetry takes off the class's latency objective as well.
	keyTTLMarginS = 0.05
)

// openRequest is a request that has no answer yet, or that has attempts in flight. Without a handle it waits for a leader, or for the end
// of an attempt that a former leader decided on.
type openRequest struct {
	policy.Request
	class, plan  int // indexes into the configuration
	cellID       int
	receivedAt   float64
	waitingSince float64 // since when it waits for a leader; receivedAt before it ever did

	handle          uint64 // of the present submission; 0: no planner knows the request
	plannerAttempts []int  // of the present submission: number in attempts by the planner's number, or notMade

	attempts     []attempt // by this forwarder's number, which the ingress uses
	inFlight     int       // attempts that have not ended
	unitsCounted bool      // its units have been taken off the account's quota
	mayHaveRun   bool      // an attempt may have had an effect
	firstRunAt   float64   // when the first such attempt was sent
	completed    bool      // its client has an answer, or has disconnected
}

// attempt is one attempt that the ingress was asked to send.
type attempt struct {
	sentAt float64
	ended  bool
}

// notMade stands in openRequest.plannerAttempts for an attempt that a planner decided on and that was not sent.
const notMade = -1

// startAttempt notes an attempt that is sent now.
func (r *openRequest) startAttempt(now float64) {
	r.attempts = append(r.attempts, attempt{sentAt: now})
	r.inFlight++
	r.unitsCounted = true
}

// endAttempt notes the end of an attempt.
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

// inFailsafe reports whether a cell's requests are rejected at once: no planner can be reached, or none has led the cell for as long as a
// request would wait.
func (c *Core) inFailsafe(cell *cellState) bool {
	if cell.hasLeader {
		return false
	}
	unreachable := !c.anyPlannerLinked() && c.now >= c.disconnectedAt+c.cfg.FailsafeDelayS
	return unreachable || c.now >= cell.leaderlessSince+c.cfg.LeaderWaitS
}

// retryAfterS returns how long a rejected client is to wait, in seconds: at random, so that clients do not return together.
func (c *Core) retryAfterS() float64 {
	return c.cfg.MaxRetryAfterS * (minRetryAfterFraction + (1-minRetryAfterFraction)*c.rng.Float64())
}

// dispatch has a request with nothing in flight decided on, now or by the next leader.
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

// submit hands a request to the leader of its cell. Units that have been counted are not submitted again.
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

// submitWaiting submits the requests that have waited for a cell's leader, or rejects them if the leader does not keep up.
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

// withdraw ends a request's submission: decisions that still arrive for it change nothing. Its attempts in flight are orphaned.
func (c *Core) withdraw(request *openRequest) {
	delete(c.submitted, request.handle)
	if request.handle != 0 {
		c.addOrphans(request)
	}
	request.handle = 0
}

// endWaiting ends requests that have waited for a leader for as long as they may.
func (c *Core) endWaiting(cell *cellState) {
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

// waitedTooLong reports whether a request may wait for a leader no longer: LeaderWaitS at most. One of which no attempt may have run ends at
// leaderWaitFraction of its time already, as it can still be rejected; one that may have run can only fail.
func (c *Core) waitedTooLong(request *openRequest) bool {
	latestStart := request.receivedAt + leaderWaitFraction*(request.DeadlineAt-request.receivedAt)
	return c.now >= request.waitingSince+c.cfg.LeaderWaitS || c.now >= latestStart && !request.mayHaveRun || c.overdue(request)
}

// overdue reports whether the next tick would be too late to answer a request's client.
func (c *Core) overdue(request *openRequest) bool { return c.now >= request.DeadlineAt-TickIntervalS }

// endOverdue ends requests that have no answer while their clients still listen: a leader that has lost its lead, or is paused, decides
// nothing more, and an attempt may outlive its leader and not end.
func (c *Core) endOverdue() {
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

// sendDisconnected notifies the planner that knows a request, if any, that no more decisions are wanted.
func (c *Core) sendDisconnected(request *openRequest) {
	if request.handle != 0 {
		c.out.SendToPlanner(c.cells[request.cellID].holder, transport.Message{Kind: transport.KindDisconnected, Handle: request.handle})
	}
}

// finishWithoutLeader gives the final answer to a request on which no planner can decide any more.
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

// releaseIfDone forgets a request that is completed and has nothing in flight.
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

// HandleDisconnect ends a request whose client needs no answer any more.
func (c *Core) HandleDisconnect(now float64, id string) {
	c.now = now
	if request := c.requests[id]; request != nil && !request.completed {
		request.completed = true
		c.sendDisconnected(request)
		c.releaseIfDone(request)
	}
}

// requestsByID returns the open requests in order of their ids.
func (c *Core) requestsByID() []*openRequest {
	requests := make([]*openRequest, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		requests = append(requests, c.requests[id])
	}
	return requests
}
