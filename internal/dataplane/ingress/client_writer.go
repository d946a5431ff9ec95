package ingress

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
)

// maxBatchBytes bounds the answers that are copied together for one write. A longer answer is written by itself, without a copy.
const maxBatchBytes = 16 << 10

// uncountedAnswerBytes is the size up to which an answer that waits is not counted: those of a full pipeline take no more than the buffer
// that each connection has uncounted for its input.
const uncountedAnswerBytes = inputbuffer.ReadSize / maxPipelinedCommands

// unreadAnswerFraction is the fraction of the input budget that unread answers may take, so that clients which read slowly leave memory for
// commands and replies.
const unreadAnswerFraction = 0.5

// clientStallTimeout is how long a client may read nothing while answers wait for it. Tests shorten it.
var clientStallTimeout = 5 * time.Second

// backgroundWrite is a batch of answers that a separate goroutine writes, as the socket did not accept all of it at once.
type backgroundWrite struct {
	answers       int          // in the batch
	reserved      int          // bytes that are reserved for the batch
	unwritten     atomic.Int64 // bytes that are not written; any goroutine may read it
	stopRequested atomic.Bool  // set by the loop to stop the write before its end; any goroutine may read it
}

var errClientStalled = errors.New("the client does not read")

// answerImmediately answers a command that is not passed to the decider. With closeAfter the connection closes after this answer.
func (in *Ingress) answerImmediately(c *clientConn, answer []byte, closeAfter bool) {
	if c.state != connOpen {
		c.releasePipelinePermits(1)
		return
	}
	c.commandReceived = true
	c.answerSlots = append(c.answerSlots, &answerSlot{answer: answer, closeAfter: closeAfter})
	in.flushAnswers(c)
}

// flushAnswers writes the final answers in the order of their commands, up to the first answer that is not final. While the client does not
// read, final answers wait in their slots.
func (in *Ingress) flushAnswers(c *clientConn) {
	switch {
	case c.state == connClosed || c.reader == readerTransferring:
		return
	case len(c.answerSlots) == 0 || c.answerSlots[0].answer == nil:
		in.startNextLargeValue(c)
	case c.writing:
		in.reserveWaitingAnswers(c)
		in.transferUnreadAnswers(c)
	default:
		in.writeAnswers(c)
	}
}

// writeAnswers writes final answers until the socket accepts no more or all are written. The caller makes sure that no write is in progress.
func (in *Ingress) writeAnswers(c *clientConn) {
	for {
		batch, answers := in.nextBatch(c)
		if answers == 0 {
			in.afterAnswersWritten(c)
			return
		}
		n, err := sockets.WriteNonBlocking(c.rawConn, batch)
		if err != nil {
			in.handleDisconnect(c, closeWriteFailed)
			return
		}
		if n < len(batch) {
			in.writeInBackground(c, batch, n, answers)
			in.transferUnreadAnswers(c)
			return
		}
		c.releasePipelinePermits(answers)
	}
}

// nextBatch removes the final answers that are to be written next from their slots, and returns their bytes and their number. The bytes are
// valid until the next call.
func (in *Ingress) nextBatch(c *clientConn) (batch []byte, answers int) {
	batch = c.batchBuffer[:0]
	for answers < len(c.answerSlots) && c.state == connOpen {
		slot := c.answerSlots[answers]
		if slot.answer == nil || answers > 0 && len(batch)+len(slot.answer) > maxBatchBytes {
			break
		}
		if len(slot.answer) > maxBatchBytes {
			batch = slot.answer
		} else {
			batch = append(batch, slot.answer...)
			c.batchBuffer = batch
		}
		if slot.reserved {
			in.releaseOutput(c, len(slot.answer))
		}
		if slot.closeAfter {
			c.state = connClosing
		}
		answers++
	}
	if answers > 0 {
		c.dropAnswerSlots(answers)
		c.lastUsedAt = in.now
	}
	return batch, answers
}

// releasePipelinePermits releases the permits of n commands whose answers are written. The answer that rejectInput gives has none.
func (c *clientConn) releasePipelinePermits(n int) {
	for range n {
		select {
		case <-c.pipelinePermits:
		default:
		}
	}
}

// dropAnswerSlots removes the first n answer slots.
func (c *clientConn) dropAnswerSlots(n int) {
	rest := copy(c.answerSlots, c.answerSlots[n:])
	clear(c.answerSlots[rest:])
	c.answerSlots = c.answerSlots[:rest]
}

// reserveWaitingAnswers reserves memory for the final answers that wait until the client reads. An answer for which there is none fails: its
// request has an answer all the same, and the connection stays.
func (in *Ingress) reserveWaitingAnswers(c *clientConn) {
	for _, slot := range c.answerSlots {
		if slot.answer == nil {
			return
		}
		if slot.reserved || len(slot.answer) <= uncountedAnswerBytes {
			continue
		}
		if slot.reserved = in.reserveOutput(c, len(slot.answer)); !slot.reserved {
			slot.answer = in.failedForMemory()
		}
	}
}

// failedForMemory returns the answer for a request whose own answer can't be kept until its client reads.
func (in *Ingress) failedForMemory() []byte {
	in.logFault("request failed: no memory left for unread answers")
	return failedReply()
}

// reserveOutput reserves n bytes of the budgets for answers that the client has not read. It reports whether they had them.
func (in *Ingress) reserveOutput(c *clientConn, n int) bool {
	if !in.answerBudget.Reserve(n) {
		return false
	}
	if !in.inputBudget.Reserve(n) {
		in.answerBudget.Release(n)
		return false
	}
	c.reservedBytes += n
	return true
}

// reserveExcessOutput is reserveOutput for bytes that have to be kept even if the budgets do not have them.
func (in *Ingress) reserveExcessOutput(c *clientConn, n int) {
	in.answerBudget.ReserveExcess(n)
	in.inputBudget.ReserveExcess(n)
	c.reservedBytes += n
}

// releaseOutput returns n bytes that were reserved for unread answers.
func (in *Ingress) releaseOutput(c *clientConn, n int) {
	in.answerBudget.Release(n)
	in.inputBudget.Release(n)
	c.reservedBytes -= n
}

// writeInBackground writes the rest of a batch, of which the socket accepted the first written bytes, on a separate goroutine. The goroutine
// ends when the client stops reading, or with the connection. answers is the number of answers in the batch.
func (in *Ingress) writeInBackground(c *clientConn, batch []byte, written, answers int) {
	output := batch[written:]
	write := &backgroundWrite{answers: answers}
	switch {
	case in.reserveOutput(c, len(output)):
		write.reserved = len(output)
	case written == 0 && answers == 1 && len(output) > uncountedAnswerBytes:
		output = in.failedForMemory()
	default: // an answer that has begun must be completed, and short ones are kept: one batch for each connection at most
		in.reserveExcessOutput(c, len(output))
		write.reserved = len(output)
	}
	write.unwritten.Store(int64(len(output)))
	c.writing, c.output = true, write
	in.reserveWaitingAnswers(c)
	stallTimeout := clientStallTimeout
	go func() {
		unwritten, err := c.writeWhileRead(write, output, stallTimeout)
		in.post(in.clock.Now(), func() { in.handleOutputWritten(c, write, unwritten, err) })
	}()
}

// writeWhileRead writes output, unless the connection fails, the client reads nothing for stallTimeout or the loop stops the write. It
// returns the bytes that are not written.
func (c *clientConn) writeWhileRead(write *backgroundWrite, output []byte, stallTimeout time.Duration) (unwritten []byte, err error) {
	stall := newStallDetector(c.rawConn, time.Now())
	defer setWriteDeadline(c.conn, time.Time{}) // else the deadline would fail a later write
	for len(output) > 0 && !write.stopRequested.Load() {
		setWriteDeadline(c.conn, time.Now().Add(blockedPollInterval))
		n, err := c.conn.Write(output)
		output = output[n:]
		write.unwritten.Store(int64(len(output)))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return output, err
		}
		if stall.stalledFor(time.Now(), n) > stallTimeout {
			return output, errClientStalled
		}
	}
	return output, nil
}

// handleOutputWritten continues with a connection once the goroutine of writeInBackground has ended. err is the error of its write. Bytes
// are unwritten if the write failed or was stopped.
func (in *Ingress) handleOutputWritten(c *clientConn, write *backgroundWrite, unwritten []byte, err error) {
	c.writing, c.output = false, nil
	if c.state == connClosed {
		return
	}
	if err != nil {
		if errors.Is(err, errClientStalled) {
			in.logFault("client disconnected: it does not read its answers")
		}
		in.handleDisconnect(c, closeSlowReader)
		return
	}
	in.releaseOutput(c, write.reserved)
	c.lastUsedAt = in.now
	if len(unwritten) == 0 {
		c.releasePipelinePermits(write.answers)
		in.writeAnswers(c)
		return
	}
	in.requeueAnswers(c, write, unwritten)
	if in.transferUnreadAnswers(c); c.reader != readerTransferring {
		in.writeAnswers(c)
	}
}

// requeueAnswers puts the rest of a stopped write back in front of the answers that wait. Each answer of the batch keeps a slot, as it keeps
// the permit of its command; the slots behind the first one have nothing left to write.
func (in *Ingress) requeueAnswers(c *clientConn, write *backgroundWrite, unwritten []byte) {
	in.reserveExcessOutput(c, len(unwritten))
	slots := []*answerSlot{{answer: unwritten, reserved: true}}
	for range write.answers - 1 {
		slots = append(slots, &answerSlot{answer: []byte{}})
	}
	c.answerSlots = append(slots, c.answerSlots...)
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
	case in.drainable(c):
		in.closeDrainedConn(c)
	case in.closesClients() && c.fullyAnswered() && !c.lagging: // else the commands that wait are served first
		in.closeGracefully(c, closeShutdown)
	default:
		in.startNextLargeValue(c)
	}
}
