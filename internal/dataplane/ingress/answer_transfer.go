package ingress

import (
	"errors"

	"eiderspread/internal/dataplane/hotrestart"
)

// Transfer of answers that a client has not read in a hot restart: without it the old process would have to stay until the client
// has read them all.

var errTooManyAnswers = errors.New("more answers than a connection may have unread")

// acceptsAnswers reports whether the successor accepts connections with answers that are not written.
func (s *successorState) acceptsAnswers() bool { return s.features&hotrestart.AcceptsAnswers != 0 }

// transferUnreadAnswers starts to transfer a connection whose answers are all final and wait for its client to read, and whose reader has
// stopped. A write in progress is stopped first. It does nothing to any other connection.
func (in *Ingress) transferUnreadAnswers(c *clientConn) {
	switch {
	case c.reader != readerStopped || !in.successor.acceptsAnswers() || !in.transferable(c) || len(c.answerSlots) == 0 && c.output == nil:
	case !allFinal(c.answerSlots):
	case c.output != nil:
		c.output.stopRequested.Store(true) // handleOutputWritten continues
	case !c.writing: // else a large value is streamed, and migrateValues does it
		in.transferClient(c)
	}
}

// allFinal reports whether all answers are final and none of them ends its connection.
func allFinal(slots []*answerSlot) bool {
	for _, slot := range slots {
		if slot.answer == nil || slot.closeAfter {
			return false
		}
	}
	return true
}

// finalAnswers returns the answers of slots, which are final.
func finalAnswers(slots []*answerSlot) [][]byte {
	answers := make([][]byte, 0, len(slots))
	for _, slot := range slots {
		answers = append(answers, slot.answer)
	}
	return answers
}

// sendAnswers sends each answer in a message of its own. An answer without bytes is sent too: it is one of several that were written
// together, and its command holds a permit until all of them are written.
func sendAnswers(link *hotrestart.Link, answers [][]byte) error {
	for _, answer := range answers {
		if err := link.Send(hotrestart.Answers, answer, linkTimeout); err != nil {
			return err
		}
	}
	return nil
}

// receiveAnswers keeps an answer for the next connection that the predecessor sends. If there are too many, which no predecessor sends,
// the rest is dropped, and resumeAnswers rejects the connection.
func (p *predecessorState) receiveAnswers(answer []byte) {
	if len(p.answers) > maxPipelinedCommands {
		return
	}
	if answer == nil {
		answer = []byte{} // nil would be an answer that is not final
	}
	p.answers = append(p.answers, &answerSlot{answer: answer})
}

// takeAnswers returns the answers for the connection that the predecessor sends now.
func (p *predecessorState) takeAnswers() []*answerSlot {
	answers := p.answers
	p.answers = nil
	return answers
}

// resumeAnswers gives a connection that has no answers yet the slots of a connection of the predecessor, and a permit for each of them.
// The reader must not have started. The error is errTooManyAnswers.
func (c *clientConn) resumeAnswers(slots []*answerSlot) error {
	if len(slots) > maxPipelinedCommands {
		return errTooManyAnswers
	}
	c.answerSlots = slots
	for range slots {
		c.pipelinePermits <- struct{}{}
	}
	return nil
}

// reserveResumedAnswers reserves the memory of the answers of a resumed connection. The predecessor has bounded them.
func (in *Ingress) reserveResumedAnswers(c *clientConn) {
	for _, slot := range c.answerSlots {
		if len(slot.answer) > uncountedAnswerBytes {
			in.reserveExcessOutput(c, len(slot.answer))
			slot.reserved = true
		}
	}
}
