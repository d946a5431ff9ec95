package ingress

import (
	"errors"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/inputbuffer"
)

// Transfer of answers that a client has not read in a hot restart: without it the old process would have to stay until the client has read
// them all. Large values that wait behind other answers move in the same way, with the connections of their backends.

var errTooManyAnswers = errors.New("more answers than a connection may have unread")

// slotTransfer is an answer on its way to the successor.
type slotTransfer struct {
	answer []byte      // not written; empty for one of several that were written together: its command holds a permit until all are written
	value  *largeValue // that has not started, in place of answer; nil: answer
	body   []byte      // with a value: its encoded valueTransfer
}

// acceptsAnswers reports whether the successor accepts connections with answers that are not written.
func (s *successorState) acceptsAnswers() bool { return s.features&hotrestart.AcceptsAnswers != 0 }

// transferUnreadAnswers starts to transfer a connection whose answers wait for its client to read, and whose reader has stopped. A write in
// progress is stopped first. It does nothing to any other connection.
func (in *Ingress) transferUnreadAnswers(c *clientConn) {
	switch {
	case c.reader != readerStopped || !in.successor.acceptsAnswers() || !in.transferable(c) || len(c.answerSlots) == 0 && c.output == nil:
	case !in.slotsTransferable(c.answerSlots):
	case c.output != nil:
		c.output.stopRequested.Store(true) // handleOutputWritten continues
	case !c.writing: // else a large value is streamed, and migrateValues does it
		in.transferClient(c)
	}
}

// slotsTransferable reports whether the successor accepts all answers: they are final, or large values that have not started, and leave the
// connection open.
func (in *Ingress) slotsTransferable(slots []*answerSlot) bool {
	for _, slot := range slots {
		nextValue := slot.value != nil && !slot.value.started && in.successor.acceptsAnswers()
		if slot.answer == nil && !nextValue || slot.closeAfter {
			return false
		}
	}
	return true
}

// encodeSlots returns the answers of slots, for which slotsTransferable holds. It reports false if a message would be too long.
func encodeSlots(slots []*answerSlot) (transfers []slotTransfer, ok bool) {
	for _, slot := range slots {
		t := slotTransfer{answer: slot.answer}
		if slot.value != nil {
			stream := slot.value.stream
			t = slotTransfer{value: slot.value, body: stream.encode(stream.backendInput).marshal()}
		}
		if t.value != nil && t.body == nil || len(t.answer) > hotrestart.MaxBodyBytes {
			return nil, false
		}
		transfers = append(transfers, t)
	}
	return transfers, true
}

// send sends the answer to the successor, which keeps it for the connection that is sent next.
func (t slotTransfer) send(link *hotrestart.Link) error {
	if t.value != nil {
		return link.Send(hotrestart.NextValue, t.body, linkTimeout, t.value.stream.backendConn.conn)
	}
	return link.Send(hotrestart.Answer, t.answer, linkTimeout)
}

// receiveSlot keeps an answer, or a large value, for the next connection that the predecessor sends. If there are too many, which no
// predecessor sends, the rest is dropped, and resumeSlots rejects the connection.
func (p *predecessorState) receiveSlot(in *Ingress, m hotrestart.Message) {
	if len(p.slots) > maxPipelinedCommands {
		m.Close()
		return
	}
	slot := &answerSlot{answer: append([]byte{}, m.Body...)} // not nil, which would be an answer that is not final
	if m.Kind == hotrestart.NextValue {
		var err error
		if slot, err = in.receiveNextValue(m); err != nil {
			in.Post(func(float64) { in.logFault("value not taken over from the old process", "error", err) })
			slot = &answerSlot{answer: failedReply()}
		}
	} else {
		m.Close()
	}
	p.slots = append(p.slots, slot)
}

// receiveNextValue returns the slot of a large value that waits behind other answers.
func (in *Ingress) receiveNextValue(m hotrestart.Message) (*answerSlot, error) {
	conn, err := hotrestart.TCPConn(m.Files[0])
	if err != nil {
		return nil, err
	}
	v, _, err := in.decodeValue(conn, m.Body)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &answerSlot{value: v}, nil
}

// takeSlots returns the answers for the connection that the predecessor sends now.
func (p *predecessorState) takeSlots() []*answerSlot {
	slots := p.slots
	p.slots = nil
	return slots
}

// closeValues closes the backend connections of the values in slots, which no client will get.
func closeValues(slots []*answerSlot) {
	for _, slot := range slots {
		if slot.value != nil {
			slot.value.stream.backendConn.conn.Close()
		}
	}
}

// resumeSlots gives a connection that has no answers yet the slots of a connection of the predecessor, and a permit for each of them. The
// reader must not have started. The error is errTooManyAnswers.
func (c *clientConn) resumeSlots(slots []*answerSlot) error {
	if len(slots) > maxPipelinedCommands {
		return errTooManyAnswers
	}
	c.answerSlots = slots
	for _, slot := range slots {
		c.pipelinePermits <- struct{}{}
		if slot.value != nil {
			slot.value.client = c
		}
	}
	return nil
}

// addResumedSlots starts to stream the values of a resumed connection, each when its turn comes, and reserves the memory of its answers. The
// predecessor has bounded them.
func (in *Ingress) addResumedSlots(c *clientConn) {
	for _, slot := range c.answerSlots {
		switch {
		case slot.value != nil:
			in.largeValues[slot.value] = struct{}{}
			in.backends.openConns++
			go slot.value.streamResumed(in)
		case len(slot.answer) > uncountedAnswerBytes:
			in.reserveExcessOutput(c, len(slot.answer))
			slot.reserved = true
		}
	}
}

// streamResumed streams a value of the predecessor when its turn comes.
func (v *largeValue) streamResumed(in *Ingress) {
	if !v.awaitTurn(in) {
		return
	}
	input := inputbuffer.NewUncounted(&in.inputBudget, v.stream.backendInput)
	defer input.Release()
	v.streamAndReport(in, &input)
}
