package ingress

import (
	"errors"
	"fmt"
	"os"
	"time"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/resp"
)

const (
	// commandTimeout bounds the time in which a whole command must arrive. Input that can't be read has to be answered within 3 s.
	commandTimeout = 2 * time.Second
	// maxBadCommands is the number of bad commands after which a connection is closed.
	maxBadCommands = 8
	// After the last answer, input is read and dropped for at most discardTimeout and maxDiscardBytes.
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 1 << 20
	// A read that takes longer than immediateReadS seconds has waited for its bytes.
	immediateReadS = 0.001
	// A reader that is more than readerLagS seconds behind, because too many commands were open, can't tell when the bytes that it reads
	// arrived.
	readerLagS = 0.005
)

var (
	errInputBudget    = errors.New("no room for more input")
	errCommandTimeout = errors.New("no whole command in time")
	errEmptyCommand   = errors.New("empty command")
)

// readLoop parses the client's input and posts each command with the arrival time of its last byte. A read deadline runs until the first
// command is complete, and while a later command is incomplete. readLoop ends with the connection, or when stopReader stops it.
func (c *clientConn) readLoop(in *Ingress) {
	stopped := false
	defer func() {
		if !stopped { // else the loop owns the input
			c.input.Release()
		}
	}()
	unprocessed := c.input.Len() > 0 // left by an earlier reader, here or in the predecessor
	emptyAt := in.clock.Now()        // when the socket was last known to have no unread bytes
	for {
		if c.stopRequested() {
			stopped = true
			in.post(in.clock.Now(), func() { in.handleReaderStopped(c) })
			return
		}
		var err error
		at := in.clock.Now()
		if !unprocessed {
			space := awaitSpace(&c.input, c.readCancelled)
			if space == nil && !c.stopRequested() && !c.dropCommand(in) {
				return
			}
			if space == nil {
				unprocessed, emptyAt = c.input.Len() > 0, in.clock.Now()
				continue
			}
			var n int
			began := in.clock.Now()
			n, err = c.socket.Read(space)
			c.input.Advance(n)
			if at = in.clock.Now(); at-began > immediateReadS { // the read waited, so its bytes have just arrived
				emptyAt = at
			}
		}
		unprocessed = false
		if at-emptyAt > readerLagS { // the bytes may have arrived at any time since emptyAt: assume the earliest
			at = emptyAt
		}
		used, ok := c.postCommands(in, at)
		if !ok || !c.afterRead(in, at, used, err) {
			return
		}
	}
}

// afterRead discards the used bytes and sets the deadline of an incomplete command, or ends the connection after a failed read. It reports
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

// postCommands posts the complete commands in the input. It returns their length in bytes, or false when the connection has ended or is
// about to end.
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
		if !c.pace(in) {
			return used, c.stopRequested()
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
				<-c.pipelinePermits // the answer of rejectInput has no permit
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

// postCommand posts one complete command, or returns an error, worded for the client, that says why it is invalid.
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
				in.logFault("request rejected: input budget exhausted", "bytes", call.Size)
				in.counters.rejected[rejectNoMemory]++
				in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
			})
			return nil
		}
		call.CopyArgs()
		in.post(at, func() { in.acceptRequest(c, call, at) })
	case callprotocol.CommandPing:
		in.post(at, func() { in.answerPing(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}
