package ingress

import (
	"math"
	"slices"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/decision/snapshot"
)

// request is one that a client has sent and that is owed one final answer. It is known from its acceptance until it is completed and none of its
// attempts is out. Loop only.
type request struct {
	*callprotocol.Call // with the deadline in Request.DeadlineAt, Unix seconds
	client             *clientConn
	slot               *answerSlot
	receivedAt         float64    // when its last byte came
	timer              *timer     // rings when the decider ought to have answered; stopped with the answer
	attempts           []*attempt // as many as the decider may ask for, and one
	attemptsOut        int        // of these: whose outcome the decider has not had
	maxAttempts        int        // that were allowed when it came
	completed          bool       // nothing more is owed: the answer is final, or the client has disconnected
}

// mayHaveRun reports whether an attempt of the request may have run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun() })
}

// answerPing answers a front whether this ingress can serve.
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

// acceptRequest hands a request to the decider, unless the ingress itself rejects it; from then on it is owed one final answer.
func (in *Ingress) acceptRequest(c *clientConn, call *callprotocol.Call, at float64) {
	accepted := false
	defer func() {
		if !accepted { // else it is released with the answer
			in.inputBudget.Release(call.Size)
		}
	}()
	if previous := in.requests[call.ID]; previous != nil && previous.client != c && previous.client.disconnected() {
		in.handleDisconnect(previous.client, closeByClient) // its end is still on its way here: this is the same request, sent once more
	}
	if in.rejectOnArrival(c, call, at) {
		return
	}
	accepted = true
	in.decideOn(in.register(c, call, at))
}

// rejectOnArrival answers a request that the decider is not to have, if it is one, and reports whether it was.
func (in *Ingress) rejectOnArrival(c *clientConn, call *callprotocol.Call, at float64) bool {
	if c.state != connOpen { // the client sees the end, and sends this again elsewhere
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
	case in.cfg.Settings.MaxOpenRequests > 0 && len(in.requests) >= in.cfg.Settings.MaxOpenRequests:
		reason = rejectOpenLimit
	default:
		c.lastCallAt = at
		retryInS, reject := in.rejectsRequests()
		if !reject {
			return false
		}
		c.commandReceived, c.callReceived = true, true
		reason, answer = rejectDraining, in.busyReply(retryInS)
	}
	in.counters.rejected[reason]++
	in.answerImmediately(c, answer, false)
	return true
}

// rejectsRequests reports whether a request that comes now is rejected, as its answer would come too late for the drain or the shutdown.
func (in *Ingress) rejectsRequests() (retryInS float64, reject bool) {
	if in.shutdown.expired {
		return 0, true
	}
	return in.drain.RejectRequest(in.now)
}

// register makes a request of a call and gives its answer a place in the connection's order.
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
	// The decider answers well before; should it fail to, the client hears all the same.
	r.timer = in.after(r.DeadlineAt+in.cfg.Settings.ResponseSlackS-in.now, func() {
		in.logFault("request not decided by its deadline", "id", r.ID)
		in.failRequest(r)
		in.decider.HandleDisconnect(in.now, r.ID)
	})
	return r
}

// decideOn has the decider decide on a request. A panic there must not leave one hanging that nothing was sent for.
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

// busyReply promises that the request had no effect, and says when to send it again if that is above 0.
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

// failedReply promises nothing: the request may have run.
func failedReply() []byte { return redcon.AppendError(nil, "ERR failed") }

func (in *Ingress) failRequest(r *request) { in.answerRequest(r, failedReply()) }

// answerRequest gives the final answer, the first time that it is called for a request.
func (in *Ingress) answerRequest(r *request, answer []byte) {
	if r.completed {
		return
	}
	r.slot.answer = answer
	in.completeRequest(r)
	in.flushAnswers(r.client)
}

// completeRequest notes that nothing more is owed. Attempts that are still out need neither timer nor bytes.
func (in *Ingress) completeRequest(r *request) {
	r.completed = true
	in.stopTimer(r.timer)
	in.inputBudget.Release(r.Size)
	r.Forget()
	in.forgetIfDone(r)
}

// forgetIfDone frees the id of a request of which nothing is left.
func (in *Ingress) forgetIfDone(r *request) {
	if r.completed && r.attemptsOut == 0 {
		delete(in.requests, r.ID)
	}
}

// failOpenRequests fails what is still owed an answer.
func (in *Ingress) failOpenRequests() {
	for _, r := range in.requests {
		if !r.completed {
			in.failRequest(r)
			in.decider.HandleDisconnect(in.now, r.ID)
		}
	}
}
