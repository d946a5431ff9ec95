package ingress

import (
	"io"
	"net"
	"time"

	"eiderspread/internal/dataplane/resp"
)

// halfCloseTimeout is how long a half-closed connection waits for the client to close its side.
const halfCloseTimeout = 300 * time.Millisecond

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

// closeGracefully closes a connection on which nothing is open and no byte is unread, the sending side first. If the reader does not wait
// for input, it may hold a command that it has read and not posted yet, which neither the loop nor the kernel knows of. It is stopped first
// then, and the connection stays open if there is such a command.
func (in *Ingress) closeGracefully(c *clientConn, reason closeReason) {
	if c.state != connOpen || c.closeWhenStopped != closeUnset {
		return
	}
	if c.reader == readerRunning && (!c.socket.Waiting() || len(c.pipelinePermits) > 0) {
		c.closeWhenStopped = reason
		c.stopReader() // handleReaderStopped continues
		return
	}
	in.closeSendingSide(c, reason)
}

// finishGracefulClose closes a connection whose reader has stopped, unless the close is no longer due. In either case the reader reads on.
func (in *Ingress) finishGracefulClose(c *clientConn) {
	reason := c.closeWhenStopped
	c.closeWhenStopped = closeUnset
	if c.state == connOpen && !in.mustReadOn(c, reason) {
		in.closeSendingSide(c, reason)
	}
	if c.state != connClosed {
		in.restartReader(c)
	}
}

// closeSendingSide half-closes a connection and closes it after halfCloseTimeout, or once its client has received everything. Commands that
// arrive meanwhile are read and dropped: closing a socket with unread bytes would reset the connection, and the reset could destroy the
// previous answer in transit. After a half close the client reads that answer and sends the command again.
func (in *Ingress) closeSendingSide(c *clientConn, reason closeReason) {
	c.setCloseReason(reason)
	if c.commandReceived && !c.receivingCommand.Load() {
		c.state = connClosing
		in.halfClose(c)
	} else {
		in.rejectUnsentCommand(c)
	}
	if c.state == connClosed { // the client has gone
		return
	}
	c.discardDone = true
	in.closeDelivered(c, reason, halfCloseTimeout)
}

// rejectUnsentCommand writes a rejection to a client that is about to send its first command or the rest of one, and half-closes the
// connection. The client takes the rejection for the answer to that command, which no one reads.
func (in *Ingress) rejectUnsentCommand(c *clientConn) {
	retryInS, _ := in.rejectsRequests(c)
	in.counters.rejected[rejectDraining]++
	in.answerImmediately(c, in.busyReply(retryInS), true)
}

// mustReadOn reports whether a connection whose reader has stopped must not be closed: a command has arrived, or the drain is cancelled. A
// part of a command does not count late in a drain.
func (in *Ingress) mustReadOn(c *clientConn, reason closeReason) bool {
	switch {
	case !c.idle() || !c.silent() || reason == closeDrained && !in.drain.Active():
		return true
	case c.input.Len() == 0:
		return false
	}
	_, size, err := resp.ParseCommand(c.input.Bytes(), nil)
	return size > 0 || err != nil || !in.drain.ClosesPartial(in.now, c.lastUsedAt, c.acceptedAt)
}

// halfCloseIfSilent closes the sending side of a connection that is to be closed at once, and reports whether no bytes have arrived
// meanwhile. If some have, they are read and dropped, and the connection is closed after halfCloseTimeout.
func (in *Ingress) halfCloseIfSilent(c *clientConn) bool {
	c.setCloseReason(closeNoCapacity)
	if err := c.conn.CloseWrite(); err != nil || c.silent() {
		return true
	}
	c.state, c.discardDone = connClosing, true
	in.after(halfCloseTimeout.Seconds(), func() { in.closeClient(c, closeNoCapacity) })
	return false
}

// endStoppedClient closes a connection whose reader has stopped, the sending side first. Further input is read and dropped, maxDiscardBytes
// at most, so that the close does not reset the connection.
func (in *Ingress) endStoppedClient(c *clientConn) {
	c.setCloseReason(in.drainCloseReason())
	c.state, c.discardDone = connClosing, true
	in.halfClose(c)
	setReadDeadline(c.conn, time.Time{})
	go func() {
		if n, _ := io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes)); n < maxDiscardBytes { // the client has closed its side
			in.post(in.clock.Now(), func() { in.closeClient(c, c.closeReason) })
		}
	}()
	in.closeDelivered(c, c.closeReason, discardTimeout/2)
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
		in.logClientClose(c)
	}
	c.state = connClosed
	in.releaseOutput(c, c.reservedBytes)
	c.answerSlots, c.batchBuffer = nil, nil
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
