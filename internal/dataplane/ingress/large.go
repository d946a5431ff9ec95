package ingress

import (
	"errors"
	"time"

	"eiderspread/policy"
)

// A value that is too large to be kept goes from its backend's connection to its client's as it comes: the backend's
// reader writes it, once the loop has lent it the client's side. Nothing of it is kept but a chunk, so that a client
// that reads slowly slows its backend down and nobody else.
const (
	maxLargeValue   = 4 << 20          // bytes of a value
	minLargePrefix  = 2 << 10          // of it that must have come: a length that lies brings less
	streamChunkSize = 16 << 10         // taken from the budget; without room there the reader's own buffer must do
	stallTimeout    = 10 * time.Second // that either side may let pass without a byte
)

var (
	errStalled            = errors.New("the rest of a large value did not come")
	errClientDisconnected = errors.New("the client has gone")
)

// StreamingDecider is a Gateway that is told when an answer has begun to be passed on: the request is its attempt's from then
// on, and what becomes of that is its Outcome.
type StreamingDecider interface {
	HandleResponseStart(now float64, id string, attempt int)
}

// parseLargeHeader reads the start of an answer with a large value: where the value begins, its length, and of how many parts
// the answer is. large is false for any other answer and for one of which too little has come.
func parseLargeHeader(b []byte) (at, size, parts int, large bool) {
	if len(b) == 0 || b[0] != '*' {
		return 0, 0, 0, false
	}
	parts, n, null, err := parseHeader(b)
	if err != nil || n == 0 || null || parts < 1 || parts > maxElements || n == len(b) || b[n] != '$' {
		return 0, 0, 0, false
	}
	size, m, null, err := parseHeader(b[n:])
	if err != nil || m == 0 || null || size <= maxValueBytes || size > maxLargeValue {
		return 0, 0, 0, false
	}
	return n + m, size, parts, true
}

// largeValue is one on its way. The loop owns it but for what the reader uses after lent.
type largeValue struct {
	client       *clientConn
	attempt      *attempt
	clientLeased chan struct{} // closed once the reader may write to the client
	started      bool
	stream       *valueStream
}

// relayLargeValue carries a large value on, with what follows it, and tells the loop what came of it. It returns whether the
// connection may be read on. It runs on the backend's reader.
func (c *backendConn) relayLargeValue(in *Ingress, buf *readBuffer, at float64) bool {
	start, size, parts, _ := parseLargeHeader(buf.data)
	got := make(chan *largeValue, 1)
	f := newValueStream(c, size, buf.data[start:min(len(buf.data), start+size)])
	in.post(at, func() { got <- in.beginLargeValue(c, f) })
	var v *largeValue
	select {
	case v = <-got:
	case <-in.done:
	}
	if v == nil {
		return false // nobody waits for it
	}
	select {
	case <-v.clientLeased:
	case <-v.client.done:
		in.post(in.clock.Now(), func() { in.handleLargeValueEnd(v, attemptResult{status: policy.Cancelled}, errClientDisconnected) })
		return false
	case <-in.done:
		return false
	}
	buf.discard(min(len(buf.data), start+size))
	err := v.relayToEnd(in, buf)
	if errors.Is(err, errMigrating) {
		return false
	}
	v.client.conn.SetWriteDeadline(time.Time{})
	res := attemptResult{status: policy.OK}
	switch {
	case errors.Is(err, errClientDisconnected):
		res.status = policy.Cancelled
	case err != nil:
		res.status = policy.Reset
	default:
		res.load = c.readTrailer(buf, parts-1)
		c.conn.SetReadDeadline(time.Time{})
		c.replyExpected.Store(false)
	}
	in.post(in.clock.Now(), func() { in.handleLargeValueEnd(v, res, err) })
	return err == nil && !c.unusable.Load()
}

// readAtLeast reads until so many bytes are there.
func (c *backendConn) readAtLeast(buf *readBuffer, n int) error {
	for len(buf.data) < n {
		space := buf.space()
		if space == nil {
			return errInputBudget
		}
		c.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		m, err := c.conn.Read(space)
		buf.advance(m)
		if err != nil && len(buf.data) < n {
			return err
		}
	}
	return nil
}

// readTrailer reads what stands behind the value, the figures on use and the load report, and returns that. The value stands
// whatever they look like; a connection on which they can't be read is of no further use.
func (c *backendConn) readTrailer(buf *readBuffer, parts int) (load *policy.Load) {
	for i := range parts {
		n, cause := frameLen(buf.data)
		for cause == nil && n == 0 && len(buf.data) <= maxFrameBytes {
			if cause = c.readAtLeast(buf, len(buf.data)+1); cause == nil {
				n, cause = frameLen(buf.data)
			}
		}
		if cause != nil || n == 0 {
			c.unusable.Store(true)
			return load
		}
		if i == 1 && buf.data[0] == '$' {
			if _, m, null, err := parseHeader(buf.data[:n]); err == nil && !null {
				load = parseLoad(string(buf.data[m : n-2]))
			}
		}
		buf.discard(n)
	}
	if len(buf.data) > 0 { // more than belongs to it
		c.unusable.Store(true)
	}
	return load
}

// beginLargeValue gives the request of a large value its final answer, of which nothing is written yet; nil if nobody waits.
func (in *Ingress) beginLargeValue(c *backendConn, f *valueStream) *largeValue {
	a := c.attempt
	if c.closed || a == nil || a.done || a.request == nil || a.request.completed || a.request.client.closed {
		if a != nil && !a.done {
			in.finishAttempt(a, malformedReply("a large value that nobody waits for"), in.now)
		}
		in.closeBackendConn(c)
		return nil
	}
	in.stopTimer(a.timer)
	a.firstByteAt = in.now
	r := a.request
	v := &largeValue{client: r.client, attempt: a, clientLeased: make(chan struct{}), stream: f}
	in.largeValues[v] = struct{}{}
	r.slot.value = v
	in.completeRequest(r)
	if g, ok := in.decider.(StreamingDecider); ok {
		g.HandleResponseStart(in.now, r.ID, a.number)
	}
	in.leaseClient(r.client)
	return v
}

// leaseClient gives the client's side to the reader of the value that is due, if nothing else is being written there.
func (in *Ingress) leaseClient(c *clientConn) {
	if c.closed || c.writing || c.closing || len(c.pendingOutput) > 0 || len(c.answerSlots) == 0 {
		return
	}
	if v := c.answerSlots[0].value; v != nil && !v.started {
		v.started, c.writing = true, true
		close(v.clientLeased)
	}
}

// handleLargeValueEnd takes the end of a large value: whole, or broken off, which its client can tell by the end of the connection.
func (in *Ingress) handleLargeValueEnd(v *largeValue, res attemptResult, cause error) {
	c := v.client
	if v.started {
		c.writing = false
	}
	if cause != nil && !errors.Is(cause, errClientDisconnected) {
		id := ""
		if v.attempt != nil {
			id = v.attempt.request.ID
		}
		in.logFault("a large value broke off", "id", id, "why", cause)
	}
	if v.attempt != nil && v.attempt.conn != nil && cause == nil {
		if conn := v.attempt.conn; !conn.unusable.Load() && conn.writeProgress.Load() == writeComplete {
			v.attempt.conn = nil
			in.poolConn(conn, reuseDelayS)
		}
	}
	in.finishLargeValue(v, res)
	if c.closed {
		return
	}
	if cause != nil {
		in.handleDisconnect(c, closeValueFailed)
		return
	}
	clear(c.answerSlots[:1])
	c.answerSlots = c.answerSlots[:copy(c.answerSlots, c.answerSlots[1:])]
	c.lastUsedAt = in.now
	select {
	case <-c.pipelinePermits:
	default:
	}
	in.flushAnswers(c)
	if !c.writing && !c.closed {
		in.writePending(c)
	}
}
