package testbed

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// encodeCommand returns a request in the wire format. left is the time until the deadline.
func (c *Clients) encodeCommand(a Account, class policy.Class, id, key string, left time.Duration) string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", class.Name, a.Plan, left.Milliseconds(),
		c.cfg.Units[class.Name], a.Spread, a.First)
	args := []string{"CALL.GET", a.Name, id, fields}
	if class.Idempotency != policy.Idempotent {
		args[0] = "CALL.POST"
		if class.Idempotency == policy.KeyedIdempotent {
			args[3] += ",k=" + key
		}
		args = append(args, "body of "+id)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, x := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	return b.String()
}

// recordSent records that a request is sent now, with a deadline after left.
func (c *Clients) recordSent(t *oracle.Request, left time.Duration) {
	t.SentAt = c.hist.Now()
	t.Deadline = t.SentAt + left
	c.hist.RequestSent(t)
	c.mu.Lock()
	c.lastRequest = t
	c.mu.Unlock()
}

// classifyReply returns the result that a reply to request id stands for, and the retry-after hint of a rejection.
func classifyReply(answer, id string) (oracle.Result, time.Duration) {
	switch {
	case answer == "v:"+id:
		return oracle.Served, 0
	case strings.HasPrefix(answer, "-BUSY"):
		hint, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(answer, "-BUSY")))
		return oracle.Rejected, time.Duration(hint) * time.Millisecond
	case strings.HasPrefix(answer, "-"):
		return oracle.Failed, 0
	}
	return oracle.ForeignReply, 0
}

// sendRequest sends one request, waits for its answer, and returns the result and the retry-after hint. If the forwarder closes a reused
// connection in an orderly way, it has not read the request, which is then sent once more on a new connection. It may have read a request
// whose connection is reset.
func (c *Clients) sendRequest(a Account, class policy.Class, f int, id, first, key string, left time.Duration) (oracle.Result, time.Duration) {
	command := c.encodeCommand(a, class, id, key, left)
	t := &oracle.Request{ID: id, OriginalID: first, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f,
		Units: float64(c.cfg.Units[class.Name])}
	c.recordSent(t, left)
	disconnectAfter := time.Duration(0)
	if c.randFloat() < c.cfg.DisconnectFraction {
		disconnectAfter = seconds(c.randFloat() * class.LatencyObjectiveS)
	}
	for again := range 2 {
		k, err := c.acquire(f, again > 0)
		if err != nil {
			t.NotAccepted = true
			break
		}
		_ = k.SetDeadline(time.Now().Add(left + 2*time.Second))
		var disconnected atomic.Bool
		if disconnectAfter > 0 {
			timer := time.AfterFunc(disconnectAfter, func() { disconnected.Store(true); k.Close() })
			defer timer.Stop()
		}
		if again > 0 {
			c.hist.RequestResent(t)
		}
		answer, err := k.roundTrip(command)
		if err == nil {
			r, hint := classifyReply(answer, id)
			c.hist.RequestAnswered(t, r)
			c.release(f, k)
			return r, hint
		}
		k.Close()
		if disconnected.Load() {
			c.hist.RequestAnswered(t, oracle.Disconnected)
			return oracle.Disconnected, 0
		}
		if c.front.Unreached(k.LocalAddr().String()) {
			t.NotAccepted = true
			break
		}
		if !k.used || !errors.Is(err, io.EOF) {
			break
		}
	}
	c.hist.RequestAnswered(t, oracle.ConnectionLost)
	return oracle.ConnectionLost, 0
}

// sendBatch pipelines one request of each class on a new connection and reads the answers, which must come in the same order.
func (c *Clients) sendBatch(a Account, key string) {
	f := c.front.Pick(a)
	k, err := c.acquire(f, true)
	if err != nil {
		return
	}
	defer k.Close()
	var commands []string
	var requests []*oracle.Request
	maxDeadline := time.Duration(0)
	for i, class := range c.cfg.Classes {
		id, left := c.newRequestID(), seconds(class.DeadlineS)
		maxDeadline = max(maxDeadline, left)
		commands = append(commands, c.encodeCommand(a, class, id, key, left))
		t := &oracle.Request{ID: id, OriginalID: id, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f, Units: float64(c.cfg.Units[class.Name]),
			BatchIndex: i + 1}
		requests = append(requests, t)
		c.recordSent(t, left)
	}
	_ = k.SetDeadline(time.Now().Add(maxDeadline + 2*time.Second))
	k.setAwaiting(true)
	_, err = io.WriteString(k, strings.Join(commands, ""))
	for i, t := range requests {
		var answer string
		if err == nil {
			answer, err = k.readReply()
		}
		if i > 0 && errors.Is(err, io.EOF) { // closed between two answers: the ingress has not read the rest
			c.sendRestOfBatch(f, requests[i:], commands[i:], maxDeadline)
			return
		}
		if err != nil {
			t.NotAccepted = c.front.Unreached(k.LocalAddr().String())
			c.hist.RequestAnswered(t, oracle.ConnectionLost)
			continue
		}
		r, _ := classifyReply(answer, t.ID)
		c.hist.RequestAnswered(t, r)
	}
}

// sendRestOfBatch sends the rest of a batch once more, as the protocol says. Each request gets a connection of its own: an ingress that is
// drained closes one after its first answer.
func (c *Clients) sendRestOfBatch(f int, requests []*oracle.Request, commands []string, timeout time.Duration) {
	for i, t := range requests {
		k, err := c.acquire(f, true)
		if err != nil {
			t.NotAccepted = true
			c.hist.RequestAnswered(t, oracle.ConnectionLost)
			continue
		}
		_ = k.SetDeadline(time.Now().Add(timeout + 2*time.Second))
		c.hist.RequestResent(t)
		result := oracle.ConnectionLost
		if answer, err := k.roundTrip(commands[i]); err == nil {
			result, _ = classifyReply(answer, t.ID)
		} else {
			t.NotAccepted = c.front.Unreached(k.LocalAddr().String())
		}
		c.hist.RequestAnswered(t, result)
		k.Close()
	}
}
