package ingress

import (
	"io"
	"net"
	"time"
)

// halfCloseTimeoutS is how many seconds a half-closed connection waits for the client to close its side.
const halfCloseTimeoutS = 0.3

// resetOnProcessExit has the kernel reset the connection when the last process that holds it ends without closing it. By default the kernel
// would end the connection as an orderly close does, and the client of a request that may have run would send the request again.
func resetOnProcessExit(conn *net.TCPConn) error { return conn.SetLinger(0) }

// closeOrderly closes a connection without a reset, unless bytes are unread. It fails only if the connection has already ended.
func closeOrderly(conn *net.TCPConn) {
	_ = conn.SetLinger(-1) // the kernel's default
	_ = conn.Close()
}

// halfClose closes the sending side of a connection. It fails only if the connection has already ended, which the reader reports.
func (in *Ingress) halfClose(c *clientConn) { _ = c.conn.CloseWrite() }

// closeGracefully closes a connection on which nothing is open, the sending side first. A command may arrive after the check that the
// connection is silent. Closing a socket with unread bytes resets the connection, and the reset can destroy the previous answer in
// transit. After a half close the client reads that answer and sends the command again.
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

// halfCloseIfSilent closes the sending side of a connection that is to be closed at once, and reports whether no bytes have arrived
// meanwhile. If some have, they are read and dropped, and the connection is closed after halfCloseTimeoutS.
func (in *Ingress) halfCloseIfSilent(c *clientConn) bool {
	c.setCloseReason(closeNoCapacity)
	if err := c.conn.CloseWrite(); err != nil || c.silent() {
		return true
	}
	c.state, c.discardDone = connClosing, true
	in.after(halfCloseTimeoutS, func() { in.closeClient(c, closeNoCapacity) })
	return false
}

// endStoppedClient closes a connection whose reader has stopped, the sending side first. Further input is read and dropped, for
// discardTimeout/2 and maxDiscardBytes at most, so that the close does not reset the connection.
func (in *Ingress) endStoppedClient(c *clientConn) {
	c.setCloseReason(in.drainCloseReason())
	c.state, c.discardDone = connClosing, true
	in.halfClose(c)
	go func() {
		setReadDeadline(c.conn, time.Now().Add(discardTimeout/2))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes)) // the connection is closed whatever the result
		in.post(in.clock.Now(), func() { in.closeClient(c, c.closeReason) })
	}()
}

// handleDisconnect closes a connection that its client has closed or that can't be served any more. Its open requests are completed
// without an answer.
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

// drainCloseReason returns the reason for closing a connection at a drain or a shutdown.
func (in *Ingress) drainCloseReason() closeReason {
	if in.shutdown.closingClients {
		return closeShutdown
	}
	return closeDrained
}

// closeClient closes a connection and releases everything that it holds.
func (in *Ingress) closeClient(c *clientConn, reason closeReason) {
	if c.state == connClosed {
		return
	}
	c.setCloseReason(reason)
	in.counters.closed[c.closeReason]++
	in.checkClientClose(c)
	if c.lastCallAt > 0 { // else it was a load balancer's PING, and there are too many of these to log
		in.logClientConn("connection closed", c, "reason", c.closeReason, "ended_by_us_first", c.state == connClosing)
	}
	c.state = connClosed
	in.inputBudget.Release(c.reservedBytes)
	c.answerSlots, c.pendingOutput, c.reservedBytes = nil, nil, 0
	close(c.done)
	if c.reader >= readerStopped {
		c.input.Release()
	}
	if reason == closeHandedOver { // the successor has the socket too: it must still be reset if the successor dies
		c.conn.Close()
	} else {
		closeOrderly(c.conn)
	}
	delete(in.clients.conns, c)
	<-in.clients.connPermits
}
