package ingress

import (
	"errors"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

var (
	errDuplicateReply  = errors.New("a duplicate of an earlier reply")
	errUnexpectedReply = errors.New("a reply to something else")
)

// replyReader is what the reader of a backend's connection keeps between reads.
type replyReader struct {
	ingress *Ingress
	conn    *backendConn
	input   inputbuffer.Buffer
	recent  duplicateFilter
}

// readLoop takes the replies of one connection and notices its end, also while it idles. It ends with the connection.
func (c *backendConn) readLoop(in *Ingress) {
	r := replyReader{ingress: in, conn: c, input: inputbuffer.New(&in.inputBudget)}
	defer r.input.Release()
	for r.readOnce() {
	}
	c.unusable.Store(true)
	c.conn.Close()
	c.awaitWriter()
	at := in.clock.Now()
	in.post(at, func() { in.handleConnLost(c, at) })
}

// readOnce reads what has come and handles a reply that is complete with it. It reports whether the connection may be read on.
func (r *replyReader) readOnce() bool {
	in, c := r.ingress, r.conn
	space := r.input.Space()
	if space == nil {
		c.failMalformed(in, in.clock.Now(), nil, errInputBudget)
		return false
	}
	n, err := c.conn.Read(space)
	at := in.clock.Now()
	if n > 0 && !c.replyExpected.Load() { // what follows can't be told apart
		in.post(at, func() { in.logFault("unsolicited bytes", "backend", c.backend.ID, "bytes", n) })
		return false
	}
	r.input.Advance(n)
	if large, ok := resp.ParseLargeReply(r.input.Bytes(), maxLargeValue); ok {
		return r.handleLargeReply(large, at, err)
	}
	size, frameErr := resp.ReplyLen(r.input.Bytes())
	if frameErr == nil && size == 0 && r.input.Len() > resp.MaxFrameBytes {
		frameErr = resp.ErrOversized
	}
	switch {
	case frameErr != nil:
		c.failMalformed(in, at, r.input.Bytes(), frameErr)
		return false
	case size > 0 && !r.handleReply(size, at):
		return false
	}
	return err == nil
}

// handleLargeReply streams a large value once enough of it has come, and reports whether the connection may be read on. err is what the last
// read returned.
func (r *replyReader) handleLargeReply(large resp.LargeReply, at float64, err error) bool {
	prefix := large.ValueAt + minLargePrefix
	if r.input.Len() < prefix {
		return err == nil
	}
	if r.recent.seen(r.input.Bytes()[:prefix], at, r.ingress.backends.duplicateWindowS) {
		r.conn.failMalformed(r.ingress, at, r.input.Bytes(), errDuplicateReply)
		return false
	}
	return r.conn.streamLargeValue(r.ingress, &r.input, large, at)
}

// handleReply takes the reply of size bytes that the input starts with, and reports whether the connection may be read on.
func (r *replyReader) handleReply(size int, at float64) bool {
	in, c := r.ingress, r.conn
	res := callprotocol.ParseReply(r.input.Bytes()[:size])
	if res.Err != nil {
		c.failMalformed(in, at, r.input.Bytes(), res.Err)
		return false
	}
	// A duplicate that was on its way when the next command was written is told apart by this alone.
	if res.Status == policy.OK && r.recent.seen(r.input.Bytes()[:size], at, in.backends.duplicateWindowS) {
		c.failMalformed(in, at, r.input.Bytes(), errDuplicateReply)
		return false
	}
	stray := r.input.Len() > size
	r.input.Discard(r.input.Len())
	if stray {
		c.unusable.Store(true)
	}
	c.replyExpected.Store(false)
	in.post(at, func() { in.handleReply(c, res, at) })
	return !stray
}

// failMalformed ends the connection's attempt for what came in place of a reply.
func (c *backendConn) failMalformed(in *Ingress, at float64, got []byte, cause error) {
	c.unusable.Store(true)
	start := string(got[:min(len(got), 40)])
	in.post(at, func() {
		in.logFault("bad reply", "backend", c.backend.ID, "why", cause, "bytes", start)
		in.handleReply(c, callprotocol.Malformed(cause), at)
	})
}

// handleReply ends the attempt that the connection carries, and pools the connection where that is safe.
func (in *Ingress) handleReply(c *backendConn, res callprotocol.Result, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if res.Status == policy.OK && res.Probe != (a.request == nil) {
		c.unusable.Store(true)
		in.logFault("bad reply", "backend", c.backend.ID, "why", errUnexpectedReply)
		res = callprotocol.Malformed(errUnexpectedReply)
	}
	if c.written.load() == writeComplete && !c.unusable.Load() {
		a.conn = nil
		reuseDelay := reuseDelayS
		if res.Status != policy.OK {
			reuseDelay = max(reuseDelay, in.backends.duplicateWindowS)
		}
		in.poolConn(c, reuseDelay)
	}
	in.finishAttempt(a, res, at)
}

// handleConnLost takes the end of a connection. Its attempt has not run if the last byte of the command never went out.
func (in *Ingress) handleConnLost(c *backendConn, at float64) {
	if a := c.attempt; a != nil && a.state == attemptOut {
		status := policy.Reset
		if c.abandonWrite() {
			status = policy.ConnectFailed
		}
		in.finishAttempt(a, callprotocol.Result{Status: status}, at)
	}
	in.closeBackendConn(c)
}
