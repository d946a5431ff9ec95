package ingress

import (
	"math"
	"slices"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/decision/snapshot"
)

// request is a client's request that is owed one final answer. The ingress keeps it from its acceptance until it is completed and has no
// attempt in flight. Loop only.
type request struct {
	*callprotocol.Call // its Request.DeadlineAt is set, in Unix seconds
	client             *clientConn
	slot               *answerSlot
	receivedAt         float64    // when its last byte arrived
	timer              *timer     // fails the request if the decider has not answered in time; stopped at completion
	attempts           []*attempt // that the decider asked for; those beyond the allowed number end unsent
	attemptsInFlight   int        // attempts whose outcome the decider has not received yet
	maxAttempts        int        // the limit in the settings when it arrived
	completed          bool       // no answer is owed any more: it is final or being streamed, or the client has disconnected
}

// mayHaveRun reports whether an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun() })
}

// answerPing answers PING, by which load balancers check whether this ingress can serve.
func (in *Ingress) answerPing(c *clientConn) {
	if in.drain.Active() {
		if in.drain.rejectedPings++; len(c.answerSlots) > 0 {
			in.drain.rejectedPingsQueued++
		}
		in.answerImmediately(c, redcon.AppendError(nil, "LOADING this ingress takes no clients"), false)
		return
	}
	if !in.backends.anyUp() {
		in.answerImmediately(c, redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	in.answerImmediately(c, redcon.AppendString(nil, "PONG"), false)
}

// acceptRequest passes a request to the decider, unless the ingress itself rejects it. An accepted request is owed one final answer.
func (in *Ingress) acceptRequest(c *clientConn, call *callprotocol.Call, at float64) {
	accepted := false
	defer func() {
		if !accepted { // else completeRequest releases it
			in.inputBudget.Release(call.Size)
		}
	}()
	if previous := in.requests[call.ID]; previous != nil && previous.client != c && previous.client.disconnected() {
		in.handleDisconnect(previous.client, closeByClient) // the disconnect is not handled yet, and this is a client retry of the same request
	}
	if in.rejectOnArrival(c, call, at) {
		return
	}
	accepted = true
	in.decideOn(in.register(c, call, at))
}

// rejectOnArrival rejects a request that must not reach the decider, and reports whether it did.
func (in *Ingress) rejectOnArrival(c *clientConn, call *callprotocol.Call, at float64) bool {
	if c.state != connOpen { // no answer: the client sees the close, and retries elsewhere
		c.droppedCalls++
		c.releasePipelinePermits(1) // else the reader would leave the next ones unread, and the close would be a reset
		return true
	}
	var reason rejectReason
	answer := in.busyReply(in.cfg.Settings.MaxRetryAfterS)
	switch {
	case c.overCapacity && in.clients.atCapacity(in, c):
		in.logFault("request rejected: too many connections", "open", in.clients.open())
		reason = rejectNoCapacity
	case in.requests[call.ID] != nil, in.predecessorRequests[call.ID] != nil:
		reason, answer = rejectOpenID, redcon.AppendError(nil, "ERR a request of this id is open")
	case mustRunOnce(call.Spec) && in.ranRequests.has(call.ID, in.now):
		reason, answer = rejectOpenID, redcon.AppendError(nil, "ERR a request of this id may have run")
	case in.cfg.Settings.MaxOpenRequests > 0 && len(in.requests) >= in.cfg.Settings.MaxOpenRequests:
		reason = rejectOpenLimit
	default:
		c.lastCallAt = at
		retryInS, reject := in.rejectsRequests(c)
		if !reject {
			return false
		}
		c.commandReceived, c.callReceived = true, true
		reason, answer = rejectDraining, in.busyReply(retryInS)
	}
	in.counters.rejected[reason]++
	// At the end of a shutdown this is the connection's last answer: a client that sends the next request at once would keep it open until it
	// is reset.
	in.answerImmediately(c, answer, in.shutdown.expired)
	in.endBlockedRequests(c)
	return true
}

// rejectsRequests reports whether a request of a client that arrives now is rejected because its answer would come too late for the drain or
// the shutdown.
func (in *Ingress) rejectsRequests(c *clientConn) (retryInS float64, reject bool) {
	if in.shutdown.expired || c.hasLagged {
		return 0, true
	}
	return in.drain.RejectRequest(in.now)
}

// register creates the request for a call and reserves the place of its answer in the connection's order.
func (in *Ingress) register(c *clientConn, call *callprotocol.Call, at float64) *request {
	c.overCapacity, c.commandReceived, c.callReceived = false, true, true
	r := &request{Call: call, client: c, slot: &answerSlot{}, maxAttempts: in.maxAttempts, receivedAt: at}
	r.DeadlineAt = at + call.TimeoutS
	r.slot.request = r
	c.answerSlots = append(c.answerSlots, r.slot)
	c.lastUsedAt, c.lastRequestAt = in.now, at
	c.requestCount++
	in.counters.requests++
	in.requests[call.ID] = r
	in.announceRequest(r)
	// The decider answers well before this timer expires. If it fails to, the client still gets an answer.
	r.timer = in.after(r.DeadlineAt+in.cfg.Settings.ResponseSlackS-in.now, func() {
		in.logFault("request not decided by its deadline", "id", r.ID)
		in.failRequest(r)
		in.decider.HandleDisconnect(in.now, r.ID)
	})
	return r
}

// decideOn passes a request to the decider. If the decider panics before it has sent an attempt, the request fails at once instead of
// hanging.
func (in *Ingress) decideOn(r *request) {
	decided := false
	defer func() {
		if !decided && len(r.attempts) == 0 {
			in.failRequest(r)
		}
	}()
	in.decider.HandleRequest(in.now, r.Request)
	decided = true
}

// Reject implements policy.Actions.
func (in *Ingress) Reject(id string, retryInS float64) {
	if r := in.requests[id]; r != nil {
		in.answerRequest(r, in.busyReply(retryInS))
	} else {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderReject, ID: id, DelayS: retryInS})
	}
}

// busyReply returns the reply that promises that the request had no effect. If retryInS is above 0 and the settings allow it, the reply
// tells the client after how many milliseconds to retry.
func (in *Ingress) busyReply(retryInS float64) []byte {
	if retryInS <= 0 || !in.cfg.Settings.RetryAfterAllowed {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryInS*1000))))
}

// Fail implements policy.Actions.
func (in *Ingress) Fail(id string) {
	if r := in.requests[id]; r != nil {
		in.failRequest(r)
	} else {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderFail, ID: id})
	}
}

// failedReply returns the reply that promises nothing: the request may have run.
func failedReply() []byte { return redcon.AppendError(nil, "ERR failed") }

func (in *Ingress) failRequest(r *request) { in.answerRequest(r, failedReply()) }

// answerRequest gives a request its final answer. Only the first call for a request has an effect.
func (in *Ingress) answerRequest(r *request, answer []byte) {
	if r.completed {
		return
	}
	r.slot.answer = answer
	in.completeRequest(r)
	in.flushAnswers(r.client)
}

// completeRequest marks a request as owed no answer and releases its timer and bytes, which attempts in flight do not need.
func (in *Ingress) completeRequest(r *request) {
	r.completed = true
	in.stopTimer(r.timer)
	in.inputBudget.Release(r.Size)
	r.ReleaseArgs()
	in.forgetIfDone(r)
}

// forgetIfDone removes a completed request without attempts in flight, which frees its id.
func (in *Ingress) forgetIfDone(r *request) {
	if r.completed && r.attemptsInFlight == 0 {
		delete(in.requests, r.ID)
		in.recordRan(r)
	}
}

// failOpenRequests fails the requests that are still owed an answer.
func (in *Ingress) failOpenRequests() {
	for _, r := range in.requests {
		if !r.completed {
			in.failRequest(r)
			in.decider.HandleDisconnect(in.now, r.ID)
		}
	}
}
