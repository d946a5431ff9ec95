package ingress

import (
	"io"
	"time"
)

// halfCloseTimeoutS is how many seconds a connection whose sending side has ended waits for the client's end.
const halfCloseTimeoutS = 0.3

// halfClose ends this side of a connection. That fails only where the connection has ended, which its reader reports.
func (in *Ingress) halfClose(c *clientConn) { _ = c.conn.CloseWrite() }

// closeGracefully ends a connection on which nothing is open: this side first. A command may come between a look whether it is silent and a
// close, and a close on unread bytes is a reset, which can take the answer before it along. Its client sends such a command again.
func (in *Ingress) closeGracefully(c *clientConn, reason closeReason) {
	if c.state != connOpen {
		return
	}
	c.setCloseReason(reason)
	c.state, c.discardDone = connClosing, true
	if err := c.conn.CloseWrite(); err != nil {
		in.handleDisconnect(c, reason)
		return
	}
	in.after(halfCloseTimeoutS, func() { in.closeClient(c, reason) })
}

// halfCloseIfSilent ends this side of a connection that is to be closed at once, and reports whether nothing has come on it meanwhile. What
// has come is read and dropped.
func (in *Ingress) halfCloseIfSilent(c *clientConn) bool {
	c.setCloseReason(closeNoCapacity)
	if err := c.conn.CloseWrite(); err != nil || c.silent() {
		return true
	}
	c.state, c.discardDone = connClosing, true
	in.after(halfCloseTimeoutS, func() { in.closeClient(c, closeNoCapacity) })
	return false
}

// endStoppedClient ends a connection whose reader has stopped: this side first, and what still comes is read and dropped for a while, so that
// the close does not reset the connection.
func (in *Ingress) endStoppedClient(c *clientConn) {
	c.setCloseReason(in.drainCloseReason())
	c.state, c.discardDone = connClosing, true
	in.halfClose(c)
	go func() {
		setReadDeadline(c.conn, time.Now().Add(discardTimeout/2))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes)) // however it ends, the connection is closed
		in.post(in.clock.Now(), func() { in.closeClient(c, c.closeReason) })
	}()
}

// handleDisconnect ends a connection whose client has ended it, or can't be served any more: nothing is owed for what it had asked.
func (in *Ingress) handleDisconnect(c *clientConn, reason closeReason) {
	if c.state == connClosed {
		return
	}
	slots := c.answerSlots
	in.closeClient(c, reason)
	for _, s := range slots {
		if s.request != nil && !s.request.completed {
			in.completeRequest(s.request)
			in.decider.HandleDisconnect(in.now, s.request.ID)
		}
	}
}

// drainCloseReason is the reason of an end that a drain or a shutdown brings.
func (in *Ingress) drainCloseReason() closeReason {
	if in.shutdown.closingClients {
		return closeShutdown
	}
	return closeDrained
}

// closeClient closes a connection and lets go of all that it holds.
func (in *Ingress) closeClient(c *clientConn, reason closeReason) {
	if c.state == connClosed {
		return
	}
	c.setCloseReason(reason)
	in.counters.closed[c.closeReason]++
	in.checkClientClose(c)
	if c.lastCallAt > 0 { // else it was a front's PING, of which there are many
		in.logClientConn("connection closed", c, "reason", c.closeReason, "ended_by_us_first", c.state == connClosing)
	}
	c.state = connClosed
	in.inputBudget.Release(c.reservedBytes)
	c.answerSlots, c.pendingOutput, c.reservedBytes = nil, nil, 0
	close(c.done)
	if c.reader >= readerStopped {
		c.input.Release()
	}
	c.conn.Close()
	delete(in.clients.conns, c)
	<-in.clients.connPermits
}
