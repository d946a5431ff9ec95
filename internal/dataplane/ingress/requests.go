package ingress

import (
	"math"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/internal/base/snapshot"
)

// request is one that a client has sent and that is owed one final answer.
type request struct {
	*call
	client      *clientConn
	slot        *answerSlot
	receivedAt  float64 // when its last byte came
	deadline    float64
	timer       *timer     // rings when the module ought to have answered; stopped with the answer
	attempts    []*attempt // as many as the module may ask for, and one
	attemptsOut int
	maxAttempts int // attempts that were allowed when it came
	completed   bool
}

// answerPing tells the front that this ingress can serve.
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

// acceptRequest hands a request to the module; from here on it is owed one final answer.
func (in *Ingress) acceptRequest(c *clientConn, q *call, at float64) {
	accepted := false
	defer func() {
		if !accepted {
			in.inputBudget.release(q.size)
		}
	}()
	if previous := in.requests[q.ID]; previous != nil && previous.client != c && previous.client.disconnected() {
		in.handleDisconnect(previous.client, closeByClient) // its end is still on its way here: this is the same request, sent once more
	}
	switch {
	case c.closed, c.closing: // it was told the end, and sends this again elsewhere
		return
	case c.overCapacity && in.clients.atCapacity(in, c):
		in.logFault("request refused: too many connections", "open", in.clients.open())
		in.counters.rejected[rejectNoCapacity]++
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
		return
	case in.requests[q.ID] != nil, in.predecessorRequests[q.ID] != nil:
		in.counters.rejected[rejectOpenID]++
		in.answerImmediately(c, redcon.AppendError(nil, "ERR a request of this id is open"), false)
		return
	case in.cfg.Settings.MaxOpenRequests > 0 && len(in.requests) >= in.cfg.Settings.MaxOpenRequests:
		in.counters.rejected[rejectOpenLimit]++
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
		return
	}
	c.lastCallAt = at
	if retryInS, reject := in.rejectsRequests(); reject {
		in.counters.rejected[rejectDraining]++
		c.commandReceived, c.callReceived = true, true
		in.answerImmediately(c, in.busyReply(retryInS), false)
		return
	}
	accepted = true
	c.overCapacity, c.commandReceived, c.callReceived = false, true, true
	r := &request{call: q, client: c, slot: &answerSlot{}, maxAttempts: in.maxAttempts, receivedAt: at, deadline: at + q.timeoutS}
	r.slot.request = r
	c.answerSlots = append(c.answerSlots, r.slot)
	c.lastUsedAt, c.lastRequestAt = in.now, at
	c.requestCount++
	in.counters.requests++
	in.requests[q.ID] = r
	// The module answers well before; should it fail to, the client hears all the same.
	r.timer = in.after(r.deadline+in.cfg.Settings.ResponseSlackS-in.now, func() {
		in.logFault("no answer from the module in time", "id", r.ID)
		in.failRequest(r)
		in.decider.HandleDisconnect(in.now, r.ID)
	})
	q.Request.DeadlineAt = r.deadline
	decided := false
	defer func() { // a panic in the module must not leave a request that nothing was sent for hanging
		if !decided && len(r.attempts) == 0 {
			in.failRequest(r)
		}
	}()
	in.decider.HandleRequest(in.now, q.Request)
	decided = true
}

// rejectsRequests tells that a request that comes now is refused, as its answer would come too late for the drain, or for the process.
func (in *Ingress) rejectsRequests() (retryInS float64, reject bool) {
	if in.shutdownExpired {
		return 0, true
	}
	return in.drain.RejectRequest(in.now)
}

// Reject implements policy.Actions.
func (in *Ingress) Reject(id string, retryInS float64) {
	if r := in.requests[id]; r != nil {
		in.answerRequest(r, in.busyReply(retryInS))
	} else {
		in.orderPredecessor(snapshot.Order{Kind: snapshot.OrderReject, ID: id, DelayS: retryInS})
	}
}

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

func (in *Ingress) failRequest(r *request) {
	in.answerRequest(r, redcon.AppendError(nil, "ERR failed"))
}

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
	in.inputBudget.release(r.size)
	r.args = nil
	in.forgetIfDone(r)
}

func (in *Ingress) forgetIfDone(r *request) {
	if r.completed && r.attemptsOut == 0 {
		delete(in.requests, r.ID)
	}
}

// failOpenRequests fails what is still owed.
func (in *Ingress) failOpenRequests() {
	for _, r := range in.requests {
		if !r.completed {
			in.failRequest(r)
			in.decider.HandleDisconnect(in.now, r.ID)
		}
	}
}

// expireShutdown ends a drain that takes too long: what is still owed fails while its client can hear of it, and what is written by then is read.
func (in *Ingress) expireShutdown() {
	in.shutdownExpired = true
	in.logOpenConns()
	in.failOpenRequests()
	for c := range in.clients.conns {
		if c.fullyAnswered() { // else what has come is refused, and then it ends
			in.closeGracefully(c, closeShutdownEnd)
		}
	}
	in.after(finalWriteS, func() {
		in.acceptQueuePending = false
		for c := range in.clients.conns {
			in.closeClient(c, closeShutdownEnd)
		}
	})
}
