package ingress

import (
	"bytes"
	"errors"
	"math"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

var (
	errDuplicateReply  = errors.New("duplicate of an earlier reply")
	errUnexpectedReply = errors.New("reply does not match the command")
)

// valueReplyType is the type of a reply with a value, an array.
const valueReplyType = "*"

// replyReader is the state that readLoop keeps between reads.
type replyReader struct {
	ingress *Ingress
	conn    *backendConn
	input   inputbuffer.Buffer
}

// readLoop reads the replies on one connection and detects the connection's end, also while it is idle. It stops at that end, or
// after bytes that retire the connection; it then closes the connection and posts handleConnLost to the loop.
func (c *backendConn) readLoop(in *Ingress) {
	r := replyReader{ingress: in, conn: c, input: inputbuffer.New(&in.inputBudget)}
	defer r.input.Release()
	for r.readOnce() {
	}
	c.replies.retire(retireEnded)
	c.conn.Close()
	c.awaitWriter()
	at := in.clock.Now()
	in.post(at, func() { in.handleConnLost(c, at) })
}

// readOnce reads once and handles the reply if it is complete. It reports whether to continue reading from the connection.
func (r *replyReader) readOnce() bool {
	in, c := r.ingress, r.conn
	space := awaitSpace(&r.input, c.replies.isRetired) // the end of the attempt retires the connection
	if space == nil {
		c.failReply(in, in.clock.Now(), nil, retireMalformed, errInputBudget)
		return false
	}
	n, err := c.socket.Read(space)
	return r.handleInput(n, in.clock.Now(), err)
}

// handleInput handles what a read returned: n bytes, which are in the space of the input, and its error. It reports whether to continue reading
// from the connection.
func (r *replyReader) handleInput(n int, at float64, err error) bool {
	in, c := r.ingress, r.conn
	if n > 0 && !c.replies.awaitedBeforeRead { // a later reply could not be told apart from them
		c.replies.retire(retireUnsolicited)
		in.post(at, func() { in.logFault("unsolicited bytes from backend", "backend", c.backend.ID, "bytes", n) })
		return false
	}
	r.input.Advance(n)
	c.replyBytes.Store(int64(r.input.Len()))
	if c.valueBegunAt.Load() == 0 && bytes.HasPrefix(r.input.Bytes(), []byte(valueReplyType)) {
		c.valueBegunAt.Store(math.Float64bits(at))
	}
	if large, ok := resp.ParseLargeReply(r.input.Bytes(), maxLargeValue); ok {
		return r.handleLargeReply(large, at, err)
	}
	size, frameErr := resp.ReplyLen(r.input.Bytes())
	if frameErr == nil && size == 0 && r.input.Len() > resp.MaxFrameBytes {
		frameErr = resp.ErrOversized
	}
	switch {
	case frameErr != nil:
		c.failReply(in, at, r.input.Bytes(), retireMalformed, frameErr)
		return false
	case size > 0 && !r.handleReply(size, at):
		return false
	}
	return err == nil
}

// handleLargeReply streams a large value once minLargePrefix bytes of it have been received. It reports whether to continue reading
// from the connection. err is the error of the last read.
func (r *replyReader) handleLargeReply(large resp.LargeReply, at float64, err error) bool {
	prefix := large.ValueAt + minLargePrefix
	if r.input.Len() < prefix {
		return err == nil
	}
	hash := hashLargeValue(large.ValueSize, r.input.Bytes()[large.ValueAt:prefix])
	if !r.conn.replies.acceptValue(hash, r.ingress.backends.replyLimits) {
		r.conn.failReply(r.ingress, at, r.input.Bytes(), retireDuplicate, errDuplicateReply)
		return false
	}
	return r.conn.streamLargeValue(r.ingress, &r.input, large, at)
}

// handleReply parses the reply in the first size bytes of the input and posts it to the loop. It reports whether to continue reading
// from the connection.
func (r *replyReader) handleReply(size int, at float64) bool {
	in, c := r.ingress, r.conn
	res := callprotocol.ParseReply(r.input.Bytes()[:size])
	if res.Err != nil {
		c.failReply(in, at, r.input.Bytes(), retireMalformed, res.Err)
		return false
	}
	// This is the only check that detects a duplicate that was in transit when the next command was written.
	if res.Status == policy.OK && !res.Probe {
		if !c.replies.acceptValue(hashValue(res.Value), in.backends.replyLimits) {
			c.failReply(in, at, r.input.Bytes(), retireDuplicate, errDuplicateReply)
			return false
		}
		c.replies.endValue(at)
	}
	stray := r.input.Len() > size
	r.input.Discard(r.input.Len())
	if stray {
		c.replies.retire(retireStray)
	}
	c.replies.endReply()
	in.post(at, func() { in.handleReply(c, res, at) })
	return !stray
}

// failReply retires the connection and ends its attempt as one with a malformed reply. It logs cause and the first 40 bytes of got, what was
// received.
func (c *backendConn) failReply(in *Ingress, at float64, got []byte, reason retireReason, cause error) {
	c.replies.retire(reason)
	start := string(got[:min(len(got), 40)])
	in.post(at, func() {
		in.logFault("invalid reply from backend", "backend", c.backend.ID, "why", cause, "bytes", start)
		in.handleReply(c, callprotocol.Malformed(cause), at)
	})
}

// handleReply ends the attempt that the connection carries. It pools the connection if the whole command was written and nothing
// unexpected was received; otherwise the connection is closed with the attempt.
func (in *Ingress) handleReply(c *backendConn, res callprotocol.Result, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if res.Status == policy.OK && res.Probe != (a.request == nil) {
		c.replies.retire(retireMalformed)
		in.logFault("invalid reply from backend", "backend", c.backend.ID, "why", errUnexpectedReply)
		res = callprotocol.Malformed(errUnexpectedReply)
	}
	c.replies.recordReply(in.now, res, in.backends.replyLimits)
	if c.written.load() == writeComplete && !c.replies.isRetired() {
		a.conn = nil
		in.poolConn(c)
	}
	in.finishAttempt(a, res, at)
}

// handleConnLost handles the end of a connection. The connection's attempt did not run if the last byte of its command was never written.
func (in *Ingress) handleConnLost(c *backendConn, at float64) {
	if a := c.attempt; a != nil && a.state == attemptInFlight {
		status := policy.Reset
		if c.abandonWrite() {
			status = policy.ConnectFailed
		}
		in.recordAttemptEnd(a, a.resetEnd())
		in.finishAttempt(a, callprotocol.Result{Status: status}, at)
	}
	in.closeBackendConn(c)
}
