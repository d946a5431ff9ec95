package ingress

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/resp"
)

// protocolError is the error for input that is no command, worded as clients of the protocol expect it.
type protocolError struct{ cause error }

func (e *protocolError) Error() string { return "Protocol error: " + e.cause.Error() }

func (e *protocolError) Unwrap() error { return e.cause }

func errorReply(cause error) []byte { return redcon.AppendError(nil, "ERR "+cause.Error()) }

// rejectInput answers input that can't be accepted with an error and ends the connection. Further input is read and dropped first: closing
// a socket with unread bytes would reset the connection, and the reset could destroy the answer in transit.
func (c *clientConn) rejectInput(in *Ingress, at float64, cause error) {
	answer := errorReply(cause)
	c.input.Release()
	in.post(at, func() {
		c.setCloseReason(closeBadInput)
		in.answerImmediately(c, answer, true)
	})
	setReadDeadline(c.conn, time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes))
	ended := n < maxDiscardBytes && !errors.Is(err, os.ErrDeadlineExceeded)
	in.post(in.clock.Now(), func() {
		if c.discardDone = true; ended || c.idle() {
			in.handleDisconnect(c, closeBadInput)
		} // else afterAnswersWritten closes it, once the answers before the last one are written
	})
}

// dropCommand reads the rest of a command for which there is no memory, drops all of it and posts its rejection. What the command holds is
// released first, so that of the readers that wait for memory one after the other goes on. It reports whether the reader goes on.
func (c *clientConn) dropCommand(in *Ingress) bool {
	var command resp.CommandSkipper
	n, done, err := command.Skip(c.input.Bytes()) // not done, as postCommands has posted all whole commands
	header := bytes.Clone(c.input.Bytes()[n:])    // a part of one at most
	c.input.Release()
	c.input.Advance(copy(c.input.Space(), header))
	for err == nil && !done {
		var read int
		if read, err = c.socket.Read(c.input.Space()); c.readCancelled() && read == 0 {
			break // by a close, or by a stop: the part that is dropped can't be left to another reader
		}
		c.input.Advance(read)
		if err == nil {
			n, done, err = command.Skip(c.input.Bytes())
			c.input.Discard(n)
		}
	}
	at := in.clock.Now()
	if !done {
		c.rejectInput(in, at, errInputBudget)
		return false
	}
	c.deadlineSet = false
	c.receivingCommand.Store(false)
	setReadDeadline(c.conn, time.Time{})
	select {
	case c.pipelinePermits <- struct{}{}:
	case <-c.done:
		return false
	}
	in.post(at, func() {
		in.logFault("request rejected: no memory for its command")
		in.counters.rejected[rejectNoMemory]++
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
	})
	return true
}
