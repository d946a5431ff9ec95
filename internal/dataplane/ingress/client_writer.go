package ingress

import (
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
)

// maxUnreadAnswerBytes is what a client may leave unread.
const maxUnreadAnswerBytes = 1 << 20

// clientWriteTimeout bounds a write that a client does not read. Tests make it shorter.
var clientWriteTimeout = 5 * time.Second

// answerImmediately answers a command that never reaches the decider. With closeAfter the connection ends with the answer.
func (in *Ingress) answerImmediately(c *clientConn, answer []byte, closeAfter bool) {
	if c.state != connOpen {
		return
	}
	c.commandReceived = true
	c.answerSlots = append(c.answerSlots, &answerSlot{answer: answer, closeAfter: closeAfter})
	in.flushAnswers(c)
}

// flushAnswers writes the answers that are final, in the order of their commands.
func (in *Ingress) flushAnswers(c *clientConn) {
	if c.state == connClosed {
		return
	}
	n, before := 0, len(c.pendingOutput)
	for n < len(c.answerSlots) && c.answerSlots[n].answer != nil && c.state == connOpen {
		c.pendingOutput = append(c.pendingOutput, c.answerSlots[n].answer...)
		if c.answerSlots[n].closeAfter {
			c.state = connClosing
		}
		n++
		c.releasePipelinePermit()
	}
	if n == 0 {
		in.startNextLargeValue(c)
		return
	}
	c.dropAnswerSlots(n)
	c.lastUsedAt = in.now
	if !c.writing {
		in.writePending(c)
	} else if !in.reserveOutput(c, len(c.pendingOutput)-before) || len(c.pendingOutput) > maxUnreadAnswerBytes {
		in.logFault("client disconnected: it does not read its answers")
		in.handleDisconnect(c, closeSlowReader)
	}
}

// releasePipelinePermit gives the permit of an answered command back. The last answer of rejected input has none.
func (c *clientConn) releasePipelinePermit() {
	select {
	case <-c.pipelinePermits:
	default:
	}
}

// dropAnswerSlots forgets the first n slots.
func (c *clientConn) dropAnswerSlots(n int) {
	clear(c.answerSlots[:n])
	c.answerSlots = c.answerSlots[:copy(c.answerSlots, c.answerSlots[n:])]
}

// reserveOutput takes n bytes from the input budget for what the client has not read.
func (in *Ingress) reserveOutput(c *clientConn, n int) bool {
	if !in.inputBudget.Reserve(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// writePending writes what is pending: at once what the socket takes, the rest on a goroutine of its own, which ends with its deadline or the
// connection.
func (in *Ingress) writePending(c *clientConn) {
	in.inputBudget.Release(c.reservedBytes)
	c.reservedBytes = 0
	n, err := sockets.WriteNonBlocking(c.rawConn, c.pendingOutput)
	if err != nil {
		in.handleDisconnect(c, closeWriteFailed)
		return
	}
	rest := c.pendingOutput[n:]
	if len(rest) == 0 {
		if c.pendingOutput = c.pendingOutput[:0]; cap(c.pendingOutput) > 4*inputbuffer.ReadSize {
			c.pendingOutput = nil
		}
		in.afterAnswersWritten(c)
		return
	}
	if !in.reserveOutput(c, len(rest)) {
		in.logFault("client disconnected: too many answers are unread")
		in.handleDisconnect(c, closeNoMemory)
		return
	}
	c.writing, c.pendingOutput = true, nil
	go in.writeRest(c, rest)
}

// writeRest writes what the socket did not take at once, and has the loop go on with what became pending meanwhile.
func (in *Ingress) writeRest(c *clientConn, rest []byte) {
	setWriteDeadline(c.conn, time.Now().Add(clientWriteTimeout))
	_, err := c.conn.Write(rest)
	setWriteDeadline(c.conn, time.Time{}) // else it would end a later write
	in.post(in.clock.Now(), func() {
		c.writing = false
		switch {
		case c.state == connClosed:
		case err != nil:
			in.handleDisconnect(c, closeSlowReader)
		default:
			in.writePending(c)
		}
	})
}

// afterAnswersWritten goes on with a connection on which nothing is left to be written: it ends, if it is to end, or streams the large value
// that comes next.
func (in *Ingress) afterAnswersWritten(c *clientConn) {
	switch {
	case c.state == connClosing && !c.discardDone:
		in.halfClose(c)
	case c.state == connClosing:
		in.closeClient(c, in.drainCloseReason())
	case c.reader >= readerStopped && len(c.answerSlots) == 0:
		in.releaseStoppedClient(c)
	case c.callReceived && in.drain.CloseAfterResponse(in.now) && c.fullyAnswered():
		in.closeGracefully(c, closeDrained)
	case in.shutdown.closingClients && in.successor.stage == handoverNone && c.fullyAnswered(): // else what waits there is served before
		in.closeGracefully(c, closeShutdown)
	default:
		in.startNextLargeValue(c)
	}
}
