package ingress

import (
	"errors"
	"time"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// A value above resp.MaxValueBytes is streamed from its backend's connection to its client's: the backend's reader writes it, once the loop
// allows it to write there. No more than a chunk of it is kept, so that a client that reads slowly slows its own backend down and nobody
// else.
const (
	maxLargeValue   = 4 << 20          // bytes of a value
	minLargePrefix  = 2 << 10          // bytes of it that must have come: a wrong length is mostly followed by fewer
	streamChunkSize = 16 << 10         // bytes, of the input budget; where that does not reach, inputbuffer.ReadSize at a time must do
	stallTimeout    = 10 * time.Second // that either side may let pass without a byte
)

var (
	errStalled            = errors.New("the rest of a large value did not come")
	errClientDisconnected = errors.New("the client has disconnected")
	errNoReceiver         = errors.New("a large value that nobody waits for")
)

// largeValue is one on its way to its client. The loop owns it, but for what the reader uses once mayWrite is closed.
type largeValue struct {
	client   *clientConn
	attempt  *attempt      // nil: the predecessor has begun it
	mayWrite chan struct{} // closed once the reader may write to the client
	started  bool          // and whether that is so
	stream   *valueStream
}

// streamLargeValue streams a large value and reads what stands behind it, and posts what came of it to the loop. It reports whether the connection
// may be read on. It runs on the backend's reader.
func (c *backendConn) streamLargeValue(in *Ingress, input *inputbuffer.Buffer, large resp.LargeReply, at float64) bool {
	arrived := min(input.Len(), large.ValueAt+large.ValueSize) // of the value and what stands before it
	v := c.announceLargeValue(in, newValueStream(c, large.ValueSize, input.Bytes()[large.ValueAt:arrived]), at)
	if v == nil {
		return false
	}
	select {
	case <-v.mayWrite:
	case <-v.client.done:
		in.post(in.clock.Now(), func() {
			in.handleLargeValueEnd(v, callprotocol.Result{Status: policy.Cancelled}, errClientDisconnected)
		})
		return false
	case <-in.done:
		return false
	}
	input.Discard(arrived)
	err := v.streamToEnd(in, input)
	if errors.Is(err, errMigrating) {
		return false
	}
	setWriteDeadline(v.client.conn, time.Time{})
	res := callprotocol.Result{Status: policy.OK}
	switch {
	case errors.Is(err, errClientDisconnected):
		res.Status = policy.Cancelled
	case err != nil:
		res.Status = policy.Reset
	default:
		res.Load = c.readTrailer(input, large.Elements-1)
		setReadDeadline(c.conn, time.Time{})
		c.replyExpected.Store(false)
	}
	in.post(in.clock.Now(), func() { in.handleLargeValueEnd(v, res, err) })
	return err == nil && !c.unusable.Load()
}

// announceLargeValue has the loop give the value its place among the client's answers; nil if nobody waits for it.
func (c *backendConn) announceLargeValue(in *Ingress, stream *valueStream, at float64) *largeValue {
	begun := make(chan *largeValue, 1)
	in.post(at, func() { begun <- in.beginLargeValue(c, stream) })
	select {
	case v := <-begun:
		return v
	case <-in.done:
		return nil
	}
}

// beginLargeValue completes the request of a large value, of which nothing is written yet; nil if nobody waits for it.
func (in *Ingress) beginLargeValue(c *backendConn, stream *valueStream) *largeValue {
	a := c.attempt
	ended := a == nil || a.state != attemptOut
	if c.closed || ended || a.request == nil || a.request.completed || a.request.client.state == connClosed {
		if !ended {
			in.finishAttempt(a, callprotocol.Malformed(errNoReceiver), in.now)
		}
		in.closeBackendConn(c)
		return nil
	}
	in.stopTimer(a.timer)
	a.firstByteAt = in.now
	r := a.request
	v := &largeValue{client: r.client, attempt: a, mayWrite: make(chan struct{}), stream: stream}
	in.largeValues[v] = struct{}{}
	r.slot.value = v
	in.completeRequest(r)
	if d, ok := in.decider.(StreamingDecider); ok {
		d.HandleResponseStart(in.now, r.ID, a.number)
	}
	in.startNextLargeValue(r.client)
	return v
}

// startNextLargeValue lets the reader of the large value that is next in order write to the client, if nothing else is being written there.
func (in *Ingress) startNextLargeValue(c *clientConn) {
	if c.state != connOpen || c.writing || len(c.pendingOutput) > 0 || len(c.answerSlots) == 0 {
		return
	}
	if v := c.answerSlots[0].value; v != nil && !v.started {
		v.started, c.writing = true, true
		close(v.mayWrite)
	}
}

// handleLargeValueEnd takes the end of a large value: complete, or broken off by cause, which its client can tell by the connection's end.
func (in *Ingress) handleLargeValueEnd(v *largeValue, res callprotocol.Result, cause error) {
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
		if conn := v.attempt.conn; !conn.unusable.Load() && conn.written.load() == writeComplete {
			v.attempt.conn = nil
			in.poolConn(conn, reuseDelayS)
		}
	}
	in.finishLargeValue(v, res)
	if c.state == connClosed {
		return
	}
	if cause != nil {
		in.handleDisconnect(c, closeValueFailed)
		return
	}
	c.dropAnswerSlots(1)
	c.lastUsedAt = in.now
	c.releasePipelinePermit()
	in.flushAnswers(c)
	if !c.writing && c.state != connClosed {
		in.writePending(c)
	}
}

// finishLargeValue ends a large value's attempt, or what stands for it.
func (in *Ingress) finishLargeValue(v *largeValue, res callprotocol.Result) {
	delete(in.largeValues, v)
	if v.stream.resumed {
		in.closeBackendConn(v.stream.backendConn)
		return
	}
	in.finishAttempt(v.attempt, res, in.now) // closes the connection, unless it was pooled
}
