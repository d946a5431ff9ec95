package ingress

import (
	"bytes"
	"encoding/json"
	"net"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/policy"
)

// Migration of large values that are still being streamed late in a hot restart, see docs/operating-days.md: the stream stops between two
// chunks, and the loop transfers the value to the successor, or resumes the stream if that is not possible.

const (
	migrateValuesAfterS      = 2.0  // seconds from the first transfers until values that are still being streamed migrate
	migrateValuesIntervalS   = 0.1  // seconds between two searches for such values
	migrateValuesBeforeFailS = 0.7  // values start to migrate at least this many seconds before open requests fail
	maxMigratedValueBytes    = 90e3 // limit on the buffered bytes that are sent with a value, as JSON, so that they fit in one message
)

// valueTransfer is the body of the message that transfers a large value to the successor.
type valueTransfer struct {
	Unwritten     []byte `json:"Out"`    // to be written to the client first
	Unread        int    `json:"Left"`   // bytes of the value that are still to be read from the backend
	BackendInput  []byte `json:"Rest"`   // read from the backend behind the value
	ClientInput   []byte `json:"Input"`  // read from the client and not processed
	QueuedAnswers []byte `json:"Behind"` // answers to be written behind the value
	QueuedSlots   int    `json:"Slots"`  // number of these answers
}

// migratable reports whether a value can be transferred: it is being streamed, the reader of its client's connection has stopped, and
// everything behind the value can be transferred too.
func (in *Ingress) migratable(v *largeValue) bool {
	c := v.client
	if !v.started || c.state == connClosed || c.reader != readerStopped || c.answerSlots[0].value != v {
		return false
	}
	return in.slotsTransferable(c.answerSlots[1:])
}

// migrateValues stops the streams of the values that can be transferred to the successor. It repeats this every migrateValuesIntervalS
// during the hand-over, as more values become migratable.
func (in *Ingress) migrateValues() {
	if in.successor.stage != handoverActive {
		return
	}
	in.after(migrateValuesIntervalS, in.migrateValues)
	for v := range in.largeValues {
		if !v.stream.stopping && in.migratable(v) {
			v.stream.stopping = true
			v.stream.stopRequested.Store(true)
			setReadDeadline(v.stream.backendConn.conn, expiredDeadline)
			setWriteDeadline(v.client.conn, expiredDeadline)
		}
	}
}

// handleStreamStopped transfers a value whose stream has stopped to the successor, or resumes the stream here. backendInput is the input
// that was read from the backend behind the value.
func (in *Ingress) handleStreamStopped(v *largeValue, backendInput []byte) {
	c := v.client
	if c.state == connClosed {
		return
	}
	if in.successor.stage == handoverActive && in.migratable(v) {
		if body, behind := in.encodeTransfer(v, backendInput); body != nil {
			c.reader = readerTransferring
			in.successor.transfers <- transfer{client: c, value: v, behind: behind, body: body}
			return
		}
	}
	in.resumeStream(v)
}

// encodeTransfer returns the body of the message that transfers a value to the successor, or nil if it would be too long, and what is
// transferred behind the value. A successor that does not accept that gets the answers in the body.
func (in *Ingress) encodeTransfer(v *largeValue, backendInput []byte) (body []byte, behind []slotTransfer) {
	c := v.client
	t := v.stream.encode(backendInput)
	t.ClientInput = bytes.Clone(c.input.Bytes())
	behind, ok := encodeSlots(c.answerSlots[1:])
	if !ok {
		return nil, nil
	}
	if !in.successor.acceptsAnswers() {
		for _, s := range c.answerSlots[1:] {
			t.QueuedAnswers, t.QueuedSlots = append(t.QueuedAnswers, s.answer...), t.QueuedSlots+1
		}
		behind = nil
	}
	return t.marshal(), behind
}

// encode returns the state of a stream that has stopped or has not started. backendInput is the input that was read from the backend behind
// the value.
func (s *valueStream) encode(backendInput []byte) valueTransfer {
	return valueTransfer{Unwritten: s.unwritten, Unread: s.unread, BackendInput: backendInput}
}

// marshal returns the encoding, or nil if it would be too long for a message.
func (t valueTransfer) marshal() []byte {
	if len(t.Unwritten)+len(t.BackendInput)+len(t.ClientInput)+len(t.QueuedAnswers) >= maxMigratedValueBytes*3/4 { // base64 makes 4 bytes of 3
		return nil
	}
	body, err := json.Marshal(t)
	if err != nil || len(body) > hotrestart.MaxBodyBytes {
		return nil
	}
	return body
}

// decodeValue returns the large value of a message of the predecessor, of a client that is not known yet, and its encoded state.
func (in *Ingress) decodeValue(backendSide *net.TCPConn, body []byte) (*largeValue, valueTransfer, error) {
	var t valueTransfer
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, t, err
	}
	stream := &valueStream{unwritten: t.Unwritten, unread: t.Unread, backendInput: t.BackendInput, migrated: make(chan bool, 1), resumed: true,
		backendConn: &backendConn{backend: &backend{}, conn: backendSide}}
	return &largeValue{stream: stream, mayWrite: make(chan struct{})}, t, nil
}

// resumeStream continues a stopped stream in this process.
func (in *Ingress) resumeStream(v *largeValue) {
	v.stream.stopping = false
	v.stream.stopRequested.Store(false)
	v.stream.migrated <- false
}

// resumeMigratingValues continues the streams of the values that were being transferred when the successor died.
func (in *Ingress) resumeMigratingValues() {
	for v := range in.largeValues {
		if v.client.reader == readerTransferring && v.stream.stopping {
			v.client.reader = readerStopped
			in.resumeStream(v)
		}
	}
}

// handleValueMigrated releases a value that has been transferred to the successor with its client's connection, which the caller closes.
// Only the first call for a value has an effect.
func (in *Ingress) handleValueMigrated(v *largeValue) {
	if _, open := in.largeValues[v]; !open {
		return
	}
	v.stream.migrated <- true
	in.releaseLargeValue(v)
	if v.attempt != nil {
		in.finishAttempt(v.attempt, callprotocol.Result{Status: policy.OK}, in.now) // closes the backend's connection in this process
	}
}

// resumeLargeValue continues to stream a value that the predecessor began. body is an encoded valueTransfer; behind holds what is to be
// written behind the value. The caller holds one of clientTable.connPermits for the client's connection.
func (in *Ingress) resumeLargeValue(client, backendSide *net.TCPConn, body []byte, behind []*answerSlot) error {
	v, t, err := in.decodeValue(backendSide, body)
	if err != nil {
		return err
	}
	c, err := in.newClientConn(client)
	if err != nil {
		return err
	}
	slots := []*answerSlot{{value: v}}
	if t.QueuedSlots > 0 { // one slot for all of them: they are written together
		slots = append(slots, &answerSlot{answer: t.QueuedAnswers})
	}
	slots = append(slots, behind...)
	if err := c.resumeSlots(slots); err != nil {
		return err
	}
	c.input.Fill(t.ClientInput)
	v.started, c.writing = true, true
	close(v.mayWrite)
	in.post(in.clock.Now(), func() { in.addResumedValue(v) })
	if len(t.ClientInput) > 0 {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
	return nil
}

// addResumedValue adds a value from the predecessor, and its client's connection, to those of this process.
func (in *Ingress) addResumedValue(v *largeValue) {
	c := v.client
	in.clients.predecessorConns = max(0, in.clients.predecessorConns-1)
	c.commandReceived, c.callReceived, c.lastUsedAt, c.acceptedAt = true, true, in.now, in.now
	in.clients.conns[c] = struct{}{}
	in.addResumedSlots(c)
	if in.shutdown.closingClients {
		c.stopReader()
	}
}
