package ingress

import (
	"errors"
	"time"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// A value larger than resp.MaxValueBytes is streamed from the backend's connection to the client's: the reader of the backend's connection
// writes it, once the loop allows that. The ingress buffers at most one chunk, so that a client that reads slowly slows down only its own
// backend.
const (
	maxLargeValue   = 4 << 20          // bytes of a value, at most
	minLargePrefix  = 2 << 10          // bytes of the value that must arrive before it is streamed: a wrong length is mostly followed by fewer
	streamChunkSize = 16 << 10         // bytes, reserved from the input budget; inputbuffer.ReadSize is used if the budget is exhausted
	stallTimeout    = 10 * time.Second // longest time without progress on either side, until the value is complete
)

var (
	errTruncated          = errors.New("large value truncated: the backend did not send the rest")
	errClientDisconnected = errors.New("the client has disconnected")
	errNoReceiver         = errors.New("no client waits for the large value")
)

// largeValue is a large value that is being streamed to its client. The loop owns it, except for the fields that the reader of the
// backend's connection uses once mayWrite is closed.
type largeValue struct {
	client   *clientConn
	attempt  *attempt      // nil: the predecessor began to stream the value
	mayWrite chan struct{} // closed once the reader may write to the client
	started  bool          // whether the reader may write to the client
	stream   *valueStream
}

// streamLargeValue streams a large value to its client and then reads the end of the reply. It posts the result of each to the loop, as the
// client's connection must not wait for the end of the reply. It reports whether reading from the connection may continue. It runs on the
// reader goroutine of the backend's connection.
func (c *backendConn) streamLargeValue(in *Ingress, input *inputbuffer.Buffer, large resp.LargeReply, at float64) bool {
	arrived := min(input.Len(), large.ValueAt+large.ValueSize) // bytes of the reply, up to the end of the value
	stream := newValueStream(c, large.ValueSize, input.Bytes()[large.ValueAt:arrived], input.Bytes()[arrived:])
	v := c.announceLargeValue(in, stream, at)
	if v == nil || !v.awaitTurn(in) {
		return false
	}
	input.Discard(arrived)
	if !v.streamAndReport(in, input) {
		return false
	}
	load, err := c.readReplyEnd(input, large.Elements-1, in.backends.replyEndTimeout)
	c.replies.endValue(in.clock.Now())
	c.replies.endReply()
	in.post(in.clock.Now(), func() { in.handleReplyEnd(v.attempt, load, err) })
	return err == nil
}

// awaitTurn waits until the loop allows the value to be written. It reports false if it never will be, here: its client has disconnected, the
// successor has it, or the loop has ended. It runs on the goroutine that streams the value.
func (v *largeValue) awaitTurn(in *Ingress) bool {
	select {
	case <-v.mayWrite:
		return true
	case <-v.client.done:
		in.post(in.clock.Now(), func() { in.handleValueFailed(v, errClientDisconnected) })
	case <-v.stream.migrated:
	case <-in.done:
	}
	return false
}

// streamAndReport streams a value whose turn has come, and posts the result to the loop. It reports whether the value is written.
func (v *largeValue) streamAndReport(in *Ingress, input *inputbuffer.Buffer) bool {
	err := v.streamToEnd(in, input)
	switch {
	case err == nil:
		in.post(in.clock.Now(), func() { in.handleValueWritten(v) })
	case !errors.Is(err, errMigrating):
		in.post(in.clock.Now(), func() { in.handleValueFailed(v, err) })
	}
	return err == nil
}

// announceLargeValue has the loop put the value into the answer slot of its request. It returns nil if no client waits for the value, or
// if the loop has ended.
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

// beginLargeValue completes the request of a large value, before any byte of the value is written. It returns nil if no client waits for
// the value.
func (in *Ingress) beginLargeValue(c *backendConn, stream *valueStream) *largeValue {
	a := c.attempt
	ended := a == nil || a.state != attemptInFlight
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

// startNextLargeValue allows a large value in the client's first answer slot to be written, if no other output is pending or being written.
func (in *Ingress) startNextLargeValue(c *clientConn) {
	if c.state != connOpen || c.writing || len(c.answerSlots) == 0 {
		return
	}
	if v := c.answerSlots[0].value; v != nil && !v.started {
		v.started, c.writing = true, true
		close(v.mayWrite)
	}
}

// handleValueWritten continues with a client's connection once a large value is written to it. The value is the whole answer: whatever the
// backend has still to send, the next answers are written now.
func (in *Ingress) handleValueWritten(v *largeValue) {
	in.releaseLargeValue(v)
	c := v.client
	if c.state == connClosed {
		return
	}
	setWriteDeadline(c.conn, time.Time{})
	c.dropAnswerSlots(1)
	c.lastUsedAt = in.now
	c.releasePipelinePermits(1)
	in.writeAnswers(c)
}

// handleReplyEnd ends the attempt of a large value that its client has received. The attempt has succeeded, whatever follows the value. An
// element that is missing or can't be read counts as null. The connection is pooled after a complete reply and closed after any other.
func (in *Ingress) handleReplyEnd(a *attempt, load *policy.Load, err error) {
	conn := a.conn
	if err != nil {
		in.logFault("reply incomplete behind its large value", "backend", conn.backend.ID, "id", a.request.ID, "why", err)
	} else if !conn.replies.isRetired() && conn.written.load() == writeComplete {
		a.conn = nil
		in.poolConn(conn)
	}
	in.finishAttempt(a, callprotocol.Result{Status: policy.OK, Load: load}, in.now) // closes the connection, unless it was pooled
}

// handleValueFailed ends a large value that can't be completed, and closes its client's connection to show that.
func (in *Ingress) handleValueFailed(v *largeValue, cause error) {
	if _, open := in.largeValues[v]; !open { // the successor has it
		return
	}
	status := policy.Cancelled
	if !errors.Is(cause, errClientDisconnected) {
		status = policy.Reset
		id := ""
		if v.attempt != nil {
			id = v.attempt.request.ID
		}
		in.logFault("large value aborted", "id", id, "why", cause)
	}
	in.releaseLargeValue(v)
	if v.attempt != nil {
		in.finishAttempt(v.attempt, callprotocol.Result{Status: status}, in.now) // closes the backend's connection
	}
	in.handleDisconnect(v.client, closeValueFailed)
}

// releaseLargeValue ends the use of the client's connection by a large value. A value from the predecessor has no attempt: the connection
// to its backend is closed.
func (in *Ingress) releaseLargeValue(v *largeValue) {
	delete(in.largeValues, v)
	if v.started {
		v.client.writing = false
	}
	if v.stream.resumed {
		in.closeBackendConn(v.stream.backendConn)
	}
}
