package ingress

import (
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
)

// maxUnreadAnswerBytes bounds the answers that queue up behind a blocked write to a client.
const maxUnreadAnswerBytes = 1 << 20

// clientWriteTimeout bounds a write to a client that does not read. Tests shorten it.
var clientWriteTimeout = 5 * time.Second

// answerImmediately answers a command that is not passed to the decider. With closeAfter the connection closes after this answer.
func (in *Ingress) answerImmediately(c *clientConn, answer []byte, closeAfter bool) {
	if c.state != connOpen {
		return
	}
	c.commandReceived = true
	c.answerSlots = append(c.answerSlots, &answerSlot{answer: answer, closeAfter: closeAfter})
	in.flushAnswers(c)
}

// flushAnswers writes the final answers in the order of their commands, up to the first answer that is not final.
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

// releasePipelinePermit releases the permit of an answered command. The answer that rejectInput gives has none.
func (c *clientConn) releasePipelinePermit() {
	select {
	case <-c.pipelinePermits:
	default:
	}
}

// dropAnswerSlots removes the first n answer slots.
func (c *clientConn) dropAnswerSlots(n int) {
	clear(c.answerSlots[:n])
	c.answerSlots = c.answerSlots[:copy(c.answerSlots, c.answerSlots[n:])]
}

// reserveOutput reserves n bytes of the input budget for output that the client has not read. It reports whether the budget had them.
func (in *Ingress) reserveOutput(c *clientConn, n int) bool {
	if !in.inputBudget.Reserve(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// writePending writes the pending output: as much as the socket accepts at once, and the rest on a separate goroutine, which ends with its
// deadline or the connection.
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
		in.logFault("client disconnected: input budget exhausted by unread answers")
		in.handleDisconnect(c, closeNoMemory)
		return
	}
	c.writing, c.pendingOutput = true, nil
	go in.writeRest(c, rest)
}

// writeRest writes the output that the socket did not accept at once. The loop then writes the output that became pending meanwhile.
func (in *Ingress) writeRest(c *clientConn, rest []byte) {
	setWriteDeadline(c.conn, time.Now().Add(clientWriteTimeout))
	_, err := c.conn.Write(rest)
	setWriteDeadline(c.conn, time.Time{}) // else the deadline would fail a later write
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

// afterAnswersWritten continues with a connection whose output is all written: it closes or transfers the connection if that is due, or
// starts the next large value.
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
	case in.shutdown.closingClients && in.successor.stage == handoverNone && c.fullyAnswered(): // else the commands that wait are served first
		in.closeGracefully(c, closeShutdown)
	default:
		in.startNextLargeValue(c)
	}
}
