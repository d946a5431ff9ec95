package forwarder

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// execute carries out a decision of the planner that is followed for the message's cell.
func (c *Core) execute(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindProbe {
		c.out.Probe(msg.Name)
		return
	}
	request := c.submitted[msg.Handle]
	if request == nil || request.cellID != int(msg.Cell) {
		return // it has ended, or the decision is on an earlier submission
	}
	switch msg.Kind {
	case transport.KindSend:
		c.executeSend(planner, request, msg)
		return
	case transport.KindReject:
		if c.mayReject(request) {
			c.out.Reject(request.ID, msg.DurationS)
		} else {
			c.out.Fail(request.ID)
		}
		request.completed = true
	case transport.KindFail:
		c.out.Fail(request.ID)
		request.completed = true
	case transport.KindCancel:
		c.executeCancel(request, int(msg.Number))
	}
	c.releaseIfDone(request)
}

// executeSend starts an attempt, unless one is in flight or the limit of attempts is reached: both limits apply whatever a planner decides.
func (c *Core) executeSend(planner int, request *openRequest, msg *transport.Message) {
	switch {
	case request.completed:
	case request.inFlight > 0:
		c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindOutcome, Handle: request.handle,
			Number: uint32(len(request.plannerAttempts)), Class: uint8(policy.NotSent)})
		request.plannerAttempts = append(request.plannerAttempts, notMade)
	case c.attemptsExhausted(request):
		c.sendDisconnected(request)
		c.finishWithoutLeader(request)
	default:
		if msg.Round > 0 {
			c.usage.record(request.Account, windowUsage{plan: request.plan, epoch: msg.Epoch, seq: msg.Round, debt: msg.Units, at: c.now})
		}
		request.plannerAttempts = append(request.plannerAttempts, len(request.attempts))
		request.startAttempt(c.now)
		c.out.Send(request.ID, msg.Name, msg.DurationS)
	}
}

// executeCancel cancels an attempt by the planner's number, if it is in flight.
func (c *Core) executeCancel(request *openRequest, plannerNumber int) {
	if plannerNumber >= len(request.plannerAttempts) {
		return
	}
	if number := request.plannerAttempts[plannerNumber]; number != notMade && !request.attempts[number].ended {
		c.out.Cancel(request.ID, number)
	}
}

// mayReject reports whether a request may be rejected, which promises its client that trying again does no harm. Else it has to fail.
func (c *Core) mayReject(request *openRequest) bool {
	mayHaveRun := request.mayHaveRun || request.inFlight > 0
	return policy.MayReject(c.cfg.Classes[request.class], mayHaveRun)
}

// attemptsExhausted reports whether a request has had all of its attempts. A leader counts only those that it decided on; the forwarder
// counts them all.
func (c *Core) attemptsExhausted(request *openRequest) bool {
	return c.cfg.MaxAttempts > 0 && len(request.attempts) >= c.cfg.MaxAttempts
}

// mayRetry reports whether a further attempt, on any backend, does no harm. The leader that decides on it knows nothing of the earlier
// ones: a key must be remembered by all backends, and until the attempt has ended.
func (c *Core) mayRetry(request *openRequest) bool {
	class := &c.cfg.Classes[request.class]
	switch {
	case !request.mayHaveRun, class.Idempotency == policy.Idempotent:
		return true
	case class.Idempotency == policy.KeyedIdempotent:
		return class.KeyScope == policy.ScopeAll && c.now < request.firstRunAt+class.KeyTTLS-keyTTLMarginS-class.LatencyObjectiveS
	}
	return false
}
