package ingress

import (
	"time"
)

// stopReader stops the reader between two commands. Input that it has read and not used, and bytes that wait in the socket, are left to the
// next reader, here or in the successor. Loop only.
func (c *clientConn) stopReader() {
	if c.reader != readerRunning || c.state == connClosed {
		return
	}
	c.reader = readerStopping
	close(c.stopReading)
	setReadDeadline(c.conn, expiredDeadline) // interrupts a read; the reader checks stopReading after it sets a deadline of its own
}

// stopRequested reports whether the reader has to stop. Reader only.
func (c *clientConn) stopRequested() bool {
	select {
	case <-c.stopReading:
		return true
	default:
		return false
	}
}

// readCancelled reports whether the reader has to stop, or the connection is closed.
func (c *clientConn) readCancelled() bool {
	select {
	case <-c.stopReading:
		return true
	case <-c.done:
		return true
	default:
		return false
	}
}

// handleReaderStopped continues with a connection whose reader has stopped.
func (in *Ingress) handleReaderStopped(c *clientConn) {
	if c.state == connClosed {
		c.input.Release()
		return
	}
	c.reader = readerStopped
	if c.closeWhenStopped != closeUnset && in.successor.stage == handoverNone { // else a hand-over began, and the connection is transferred
		in.finishGracefulClose(c)
		return
	}
	c.closeWhenStopped = closeUnset
	if c.idle() {
		in.releaseStoppedClient(c)
		return
	}
	in.transferUnreadAnswers(c) // else afterAnswersWritten calls releaseStoppedClient, once the answers are written
}

// releaseStoppedClient transfers, resumes or ends a connection whose reader has stopped and whose client waits for no answer.
func (in *Ingress) releaseStoppedClient(c *clientConn) {
	if c.reader == readerTransferring || in.transferClient(c) {
		return
	}
	if in.successor.stage != handoverActive && c.state == connOpen { // no successor will answer the unread commands
		in.restartReader(c)
		return
	}
	in.endStoppedClient(c)
}

// restartReader starts a new reader for a connection whose reader has stopped.
func (in *Ingress) restartReader(c *clientConn) {
	c.reader = readerRunning
	c.stopReading = make(chan struct{})
	setReadDeadline(c.conn, time.Time{})
	if c.deadlineSet {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
}
