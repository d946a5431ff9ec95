package ingress

import (
	"math"
	"strconv"

	"github.com/tidwall/redcon"

	"eiderspread/internal/kept"
)

// request is one that a client has sent and that is owed one final answer.
type request struct {
	*call
	client   *client
	slot     *slot
	since    float64 // when its last byte came
	deadline float64
	timer    *timer     // rings when the module ought to have answered; stopped with the answer
	attempts []*attempt // as many as the module may ask for, and one
	out      int
	most     int // attempts that were allowed when it came
	over     bool
}

// ping tells the front that this ingress can serve.
func (in *Ingress) ping(c *client) {
	if in.drain.On() {
		if in.drain.pings++; len(c.slots) > 0 {
			in.drain.pingsBehind++
		}
		in.answerAtOnce(c, redcon.AppendError(nil, "LOADING this ingress takes no clients"), false)
		return
	}
	if !in.backends.ready() {
		in.answerAtOnce(c, redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	in.answerAtOnce(c, redcon.AppendString(nil, "PONG"), false)
}

// take hands a request to the module; from here on it is owed one final answer.
func (in *Ingress) take(c *client, q *call, at float64) {
	taken := false
	defer func() {
		if !taken {
			in.input.give(q.size)
		}
	}()
	if old := in.requests[q.ID]; old != nil && old.client != c && old.client.gone() {
		in.clientGone(old.client, closeByClient) // its end is still on its way here: this is the same request, sent once more
	}
	switch {
	case c.closed, c.ending: // it was told the end, and sends this again elsewhere
		return
	case c.surplus && in.clients.full(in, c):
		in.note("request refused: too many connections", "open", in.clients.open())
		in.counts.refused[refuseNoCapacity]++
		in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), false)
		return
	case in.requests[q.ID] != nil, in.elders[q.ID] != nil:
		in.counts.refused[refuseOpenID]++
		in.answerAtOnce(c, redcon.AppendError(nil, "ERR a request of this id is open"), false)
		return
	case in.cfg.Settings.MostHeld > 0 && len(in.requests) >= in.cfg.Settings.MostHeld:
		in.counts.refused[refuseOpenLimit]++
		in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), false)
		return
	}
	c.askedAt = at
	if retryInS, refuse := in.refuses(); refuse {
		in.counts.refused[refuseDraining]++
		c.spoke, c.asked = true, true
		in.answerAtOnce(c, in.busy(retryInS), false)
		return
	}
	taken = true
	c.surplus, c.spoke, c.asked = false, true, true
	r := &request{call: q, client: c, slot: &slot{}, most: in.maxAttempts, since: at, deadline: at + q.waitS}
	r.slot.req = r
	c.slots = append(c.slots, r.slot)
	c.usedAt, c.lastRequestAt = in.now, at
	c.requestCount++
	in.counts.taken++
	in.requests[q.ID] = r
	// The module answers well before; should it fail to, the client hears all the same.
	r.timer = in.after(r.deadline+in.cfg.Settings.AnswerSlackS-in.now, func() {
		in.note("no answer from the module in time", "id", r.ID)
		in.fail(r)
		in.gate.Gone(in.now, r.ID)
	})
	q.Request.DeadlineS = r.deadline
	handed := false
	defer func() { // a panic in the module must not leave a request that nothing was sent for hanging
		if !handed && len(r.attempts) == 0 {
			in.fail(r)
		}
	}()
	in.gate.Request(in.now, q.Request)
	handed = true
}

// refuses tells that a request that comes now is refused, as its answer would come too late for the drain, or for the process.
func (in *Ingress) refuses() (retryInS float64, refuse bool) {
	if in.stopped {
		return 0, true
	}
	return in.drain.Refuse(in.now)
}

// Refuse implements policy.Actions.
func (in *Ingress) Refuse(id string, retryInS float64) {
	if r := in.requests[id]; r != nil {
		in.answer(r, in.busy(retryInS))
	} else {
		in.order(kept.Order{Kind: kept.Refuse, ID: id, Wait: retryInS})
	}
}

func (in *Ingress) busy(retryInS float64) []byte {
	if retryInS <= 0 || !in.cfg.Settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryInS*1000))))
}

// Fail implements policy.Actions.
func (in *Ingress) Fail(id string) {
	if r := in.requests[id]; r != nil {
		in.fail(r)
	} else {
		in.order(kept.Order{Kind: kept.Fail, ID: id})
	}
}

func (in *Ingress) fail(r *request) { in.answer(r, redcon.AppendError(nil, "ERR failed")) }

// answer gives the final answer, the first time that it is called for a request.
func (in *Ingress) answer(r *request, answer []byte) {
	if r.over {
		return
	}
	r.slot.answer = answer
	in.end(r)
	in.flush(r.client)
}

// end notes that nothing more is owed. Attempts that are still out need neither timer nor bytes.
func (in *Ingress) end(r *request) {
	r.over = true
	in.stopTimer(r.timer)
	in.input.give(r.size)
	r.args = nil
	in.forget(r)
}

func (in *Ingress) forget(r *request) {
	if r.over && r.out == 0 {
		delete(in.requests, r.ID)
	}
}

// failOwed fails what is still owed.
func (in *Ingress) failOwed() {
	for _, r := range in.requests {
		if !r.over {
			in.fail(r)
			in.gate.Gone(in.now, r.ID)
		}
	}
}

// stop ends a drain that takes too long: what is still owed fails while its client can hear of it, and what is written by then is read.
func (in *Ingress) stop() {
	in.stopped = true
	in.logRemaining()
	in.failOwed()
	for c := range in.clients.all {
		if c.answered() { // else what has come is refused, and then it ends
			in.closeGracefully(c, closeShutdownEnd)
		}
	}
	in.after(lastWords, func() {
		in.listening = false
		for c := range in.clients.all {
			in.closeClient(c, closeShutdownEnd)
		}
	})
}
