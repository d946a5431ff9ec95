package ingress

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/resp"
)

const (
	// commandTimeout is how long a whole command may take to come. What can't be read has to be answered within 3 s.
	commandTimeout = 2 * time.Second
	// maxBadCommands of one connection end it.
	maxBadCommands = 8
	// What comes behind a last answer is read and dropped, for so long and so many bytes.
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 1 << 20
	// A read that takes longer than immediateReadS has waited for its bytes.
	immediateReadS = 0.001
	// A reader that is readerLagS behind, as too many commands were open, can't tell when what it reads has come.
	readerLagS = 0.005
)

var (
	errInputBudget    = errors.New("no room for more input")
	errCommandTimeout = errors.New("no whole command in time")
	errEmptyCommand   = errors.New("empty command")
)

// readLoop parses what the client sends, and posts each command with the time of its last byte. Its deadline runs while a command is
// incomplete, and until there was one at all. It ends with the connection, or when stopReader asks for it.
func (c *clientConn) readLoop(in *Ingress) {
	stopped := false
	defer func() {
		if !stopped { // else the loop owns it
			c.input.Release()
		}
	}()
	unprocessed := c.input.Len() > 0 // by whoever read this connection before
	emptyAt := in.clock.Now()        // when this reader was last up to date
	for {
		if c.stopRequested() {
			stopped = true
			in.post(in.clock.Now(), func() { in.handleReaderStopped(c) })
			return
		}
		var err error
		at := in.clock.Now()
		if !unprocessed {
			space := c.input.Space()
			if space == nil {
				c.rejectInput(in, in.clock.Now(), errInputBudget)
				return
			}
			var n int
			began := in.clock.Now()
			n, err = c.conn.Read(space)
			c.input.Advance(n)
			if at = in.clock.Now(); at-began > immediateReadS { // it waited: what it got has come just now
				emptyAt = at
			}
		}
		unprocessed = false
		if at-emptyAt > readerLagS { // what was there may have come at any time since then
			at = emptyAt
		}
		used, ok := c.postCommands(in, at)
		if !ok || !c.afterRead(in, at, used, err) {
			return
		}
	}
}

// afterRead discards the used bytes and sets the deadline of what is incomplete, or ends the connection for a read that failed. It reports
// whether the reader goes on.
func (c *clientConn) afterRead(in *Ingress, at float64, used int, err error) bool {
	incomplete := used < c.input.Len()
	c.receivingCommand.Store(incomplete)
	c.input.Discard(used)
	switch {
	case c.stopRequested() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.rejectInput(in, at, errCommandTimeout)
		return false
	case err != nil:
		in.post(at, func() { in.handleDisconnect(c, closeByClient) })
		return false
	case incomplete && (used > 0 || !c.deadlineSet):
		c.startCommandDeadline(in)
	case !incomplete && c.deadlineSet:
		c.deadlineSet = false
		setReadDeadline(c.conn, time.Time{})
	}
	return true
}

// postCommands posts the whole commands that have come and returns their length in bytes, or false when the connection has ended or is about
// to.
func (c *clientConn) postCommands(in *Ingress, at float64) (used int, ok bool) {
	var space [8][]byte
	for used < c.input.Len() && !c.stopRequested() {
		args, size, err := resp.ParseCommand(c.input.Bytes()[used:], space[:0])
		if err != nil {
			c.rejectInput(in, at, &protocolError{err})
			return 0, false
		}
		if size == 0 {
			break
		}
		select {
		case c.pipelinePermits <- struct{}{}:
		case <-c.stopReading:
			return used, true
		case <-c.done:
			return 0, false
		}
		if err := c.postCommand(in, at, args); err != nil {
			if c.badCommands++; c.badCommands == maxBadCommands {
				<-c.pipelinePermits // the last answer takes none
				c.rejectInput(in, at, err)
				return 0, false
			}
			answer := errorReply(err)
			in.post(at, func() { in.answerImmediately(c, answer, false) })
		}
		used += size
	}
	return used, true
}

// postCommand posts one whole command, or returns what is wrong with it, worded for the client.
func (c *clientConn) postCommand(in *Ingress, at float64, args [][]byte) error {
	if len(args) == 0 {
		return errEmptyCommand
	}
	switch callprotocol.CommandOf(args[0]) {
	case callprotocol.CommandCall:
		call, err := in.schema.Load().ParseCall(args)
		if err != nil {
			return err
		}
		if !in.inputBudget.Reserve(call.Size) {
			in.post(at, func() {
				in.logFault("request rejected: too much input waits", "bytes", call.Size)
				in.counters.rejected[rejectNoMemory]++
				in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
			})
			return nil
		}
		call.Own()
		in.post(at, func() { in.acceptRequest(c, call, at) })
	case callprotocol.CommandPing:
		in.post(at, func() { in.answerPing(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}

// protocolError is input that is no command, in the words that clients of the protocol expect.
type protocolError struct{ cause error }

func (e *protocolError) Error() string { return "Protocol error: " + e.cause.Error() }

func (e *protocolError) Unwrap() error { return e.cause }

func errorReply(cause error) []byte { return redcon.AppendError(nil, "ERR "+cause.Error()) }

// rejectInput answers what can't be taken and ends the connection. What still comes is read for a while: a close on unread bytes would reset
// the connection and might take the answer with it.
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
		} // else once the answers before the last one are written
	})
}

// stopReader has the reader stop between two commands. What it has read and not used, and what waits in the socket, is left for whoever
// goes on with the connection. Loop only.
func (c *clientConn) stopReader() {
	if c.reader != readerRunning || c.state == connClosed {
		return
	}
	c.reader = readerStopping
	close(c.stopReading)
	setReadDeadline(c.conn, expiredDeadline) // the reader looks at stopReading after each deadline of its own
}

// stopRequested reports whether the reader has to stop. Of the reader.
func (c *clientConn) stopRequested() bool {
	select {
	case <-c.stopReading:
		return true
	default:
		return false
	}
}

// handleReaderStopped takes over the connection of a reader that has stopped.
func (in *Ingress) handleReaderStopped(c *clientConn) {
	if c.state == connClosed {
		c.input.Release()
		return
	}
	if c.reader = readerStopped; c.idle() {
		in.releaseStoppedClient(c)
	} // else once its answers are written
}

// releaseStoppedClient transfers, reads on or ends a connection whose reader has stopped and whose client waits for no answer.
func (in *Ingress) releaseStoppedClient(c *clientConn) {
	if c.reader == readerTransferring || in.transferClient(c) {
		return
	}
	if in.successor.stage != handoverActive && c.state == connOpen { // nobody takes it over any more: unread commands are owed an answer here
		in.restartReader(c)
		return
	}
	in.endStoppedClient(c)
}

// restartReader has a connection read again whose reader had stopped.
func (in *Ingress) restartReader(c *clientConn) {
	c.reader = readerRunning
	c.stopReading = make(chan struct{})
	setReadDeadline(c.conn, time.Time{})
	if c.deadlineSet {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
}
