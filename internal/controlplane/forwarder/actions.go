package forwarder

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// execute carries out a decision of the planner that leads the message's cell.
func (c *Core) execute(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindProbe {
		c.out.Probe(msg.Name)
		return
	}
	request := c.submitted[msg.Handle]
	if request == nil || request.cellID != int(msg.Cell) {
		return // the request has ended, or the decision is about an earlier submission of it
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

// executeSend starts an attempt, unless the request is completed, another attempt is in flight, or the limit of attempts is reached. The
// forwarder enforces these limits whatever a planner decides.
func (c *Core) executeSend(planner int, request *openRequest, msg *transport.Message) {
	switch {
	case request.completed:
	case request.inFlight > 0:
		c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindOutcome, Handle: request.handle,
			Number: uint32(len(request.plannerAttempts)), Class: uint8(policy.NotSent)})
		request.plannerAttempts = append(request.plannerAttempts, notSent)
	case c.attemptsExhausted(request):
		c.sendDisconnected(request)
		c.finishWithoutLeader(request)
	default:
		if msg.Round > 0 {
			c.usage.record(request.Account, windowUsage{plan: request.plan, epoch: msg.Epoch, seq: msg.Round, debt: msg.Units, receivedAt: c.now})
		}
		request.plannerAttempts = append(request.plannerAttempts, len(request.attempts))
		request.startAttempt(c.now)
		c.out.Send(request.ID, msg.Name, msg.DurationS)
	}
}

// executeCancel cancels the attempt with the planner's number plannerNumber, if it is in flight.
func (c *Core) executeCancel(request *openRequest, plannerNumber int) {
	if plannerNumber >= len(request.plannerAttempts) {
		return
	}
	if number := request.plannerAttempts[plannerNumber]; number != notSent && !request.attempts[number].ended {
		c.out.Cancel(request.ID, number)
	}
}

// mayReject reports whether a request may be rejected. A rejection promises the client that a retry is harmless; a request that may not be
// rejected has to fail.
func (c *Core) mayReject(request *openRequest) bool {
	mayHaveRun := request.mayHaveRun || request.inFlight > 0
	return policy.MayReject(c.cfg.Classes[request.class], mayHaveRun)
}

// attemptsExhausted reports whether a request has used all of its attempts. A leader counts only the attempts that it decided on; the
// forwarder counts those of all leaders.
func (c *Core) attemptsExhausted(request *openRequest) bool {
	return c.cfg.MaxAttempts > 0 && len(request.attempts) >= c.cfg.MaxAttempts
}

// mayRetry reports whether a further attempt is harmless on any backend. The leader that decides on this attempt does not know the earlier
// ones. A keyed idempotent request may therefore be retried only if all backends remember its key until the attempt has ended.
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
