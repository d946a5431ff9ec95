package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"time"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/policy"
)

// A large value that outlives its process, see docs/operating-days.md: the stream stops between two chunks, the loop decides whether the value
// goes to the successor, and the stream goes on if it does not.

const (
	migrateValuesAfterS      = 2.0  // from the hand-over on, after which a value that is still on its way migrates
	migrateValuesIntervalS   = 0.1  // between two looks for such values
	migrateValuesBeforeFailS = 0.7  // or so long before open requests fail, if that is earlier
	maxMigratedValueBytes    = 90e3 // that may go along with a value, as JSON, so that they fit a message
)

// valueTransfer is a large value on its way to the successor, as its message words it.
type valueTransfer struct {
	Unwritten     []byte `json:"Out"`    // for the client, before anything else
	Unread        int    `json:"Left"`   // bytes of the value, to be read from the backend
	BackendInput  []byte `json:"Rest"`   // read from the backend beyond the value
	ClientInput   []byte `json:"Input"`  // read from the client and not used
	QueuedAnswers []byte `json:"Behind"` // answers that wait behind the value
	QueuedSlots   int    `json:"Slots"`  // so many
}

// migratable reports whether a value's client waits for nothing but it, and for answers that are final.
func (in *Ingress) migratable(v *largeValue) bool {
	c := v.client
	if !v.started || c.state == connClosed || c.reader != readerStopped || c.answerSlots[0].value != v {
		return false
	}
	for _, s := range c.answerSlots[1:] {
		if s.answer == nil || s.closeAfter {
			return false
		}
	}
	return true
}

// migrateValues stops the streams that can go to the successor, again and again while there are any.
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

// handleStreamStopped takes a value whose stream has stopped: it goes to the successor, or on here. backendInput is what was read beyond it.
func (in *Ingress) handleStreamStopped(v *largeValue, backendInput []byte) {
	c := v.client
	if c.state == connClosed {
		return
	}
	if in.successor.stage == handoverActive && in.migratable(v) {
		if body := transferOf(v, backendInput); body != nil {
			c.reader = readerTransferring
			in.successor.transfers <- transfer{c, body, v}
			return
		}
	}
	in.resumeStream(v)
}

// transferOf is the message that hands a value over; nil if it would be too long.
func transferOf(v *largeValue, backendInput []byte) []byte {
	c, f := v.client, v.stream
	t := valueTransfer{Unwritten: f.unwritten, Unread: f.unread, BackendInput: backendInput, ClientInput: bytes.Clone(c.input.Bytes())}
	for _, s := range c.answerSlots[1:] {
		t.QueuedAnswers, t.QueuedSlots = append(t.QueuedAnswers, s.answer...), t.QueuedSlots+1
	}
	if len(t.Unwritten)+len(t.BackendInput)+len(t.ClientInput)+len(t.QueuedAnswers) >= maxMigratedValueBytes*3/4 { // JSON makes 4 bytes of 3
		return nil
	}
	body, err := json.Marshal(t)
	if err != nil || len(body) > hotrestart.MaxBodyBytes {
		return nil
	}
	return body
}

// resumeStream has a value that has stopped go on in this process.
func (in *Ingress) resumeStream(v *largeValue) {
	v.stream.stopping = false
	v.stream.stopRequested.Store(false)
	v.stream.migrated <- false
}

// resumeMigratingValues has the values that were on their way to a successor that has died go on here.
func (in *Ingress) resumeMigratingValues() {
	for v := range in.largeValues {
		if v.client.reader == readerTransferring && v.stream.stopping {
			v.client.reader = readerStopped
			in.resumeStream(v)
		}
	}
}

// handleValueMigrated lets go of a value that the successor has now.
func (in *Ingress) handleValueMigrated(v *largeValue) {
	v.stream.migrated <- true
	in.finishLargeValue(v, callprotocol.Result{Status: policy.OK})
	in.closeClient(v.client, closeHandedOver)
}

// resumeLargeValue goes on with a value that the predecessor had begun. The caller has a permit for the client's connection.
func (in *Ingress) resumeLargeValue(client, backendSide *net.TCPConn, body []byte) error {
	var t valueTransfer
	if err := json.Unmarshal(body, &t); err != nil {
		return err
	}
	c, err := in.newClientConn(client)
	if err != nil {
		return err
	}
	if !c.input.Fill(t.ClientInput) {
		return errInputBudget
	}
	stream := &valueStream{unwritten: t.Unwritten, unread: t.Unread, migrated: make(chan bool, 1), resumed: true,
		backendConn: &backendConn{backend: &backend{}, conn: backendSide}}
	v := &largeValue{client: c, stream: stream, started: true}
	c.answerSlots = []*answerSlot{{value: v}}
	c.pipelinePermits <- struct{}{}
	if t.QueuedSlots > 0 { // one in place of all: they are written together
		c.answerSlots = append(c.answerSlots, &answerSlot{answer: t.QueuedAnswers})
		c.pipelinePermits <- struct{}{}
	}
	c.writing = true
	in.post(in.clock.Now(), func() { in.addResumedValue(v) })
	if len(t.ClientInput) > 0 {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
	go func() {
		input := inputbuffer.NewUncounted(&in.inputBudget, t.BackendInput)
		err := v.streamToEnd(in, &input)
		input.Release()
		setWriteDeadline(client, time.Time{})
		if !errors.Is(err, errMigrating) {
			in.post(in.clock.Now(), func() { in.handleLargeValueEnd(v, callprotocol.Result{}, err) })
		}
	}()
	return nil
}

// addResumedValue takes a value from the predecessor, and its client, among those of this process.
func (in *Ingress) addResumedValue(v *largeValue) {
	c := v.client
	in.clients.openElsewhere = max(0, in.clients.openElsewhere-1)
	in.backends.openConns++
	c.commandReceived, c.callReceived, c.lastUsedAt, c.acceptedAt = true, true, in.now, in.now
	in.clients.conns[c] = struct{}{}
	in.largeValues[v] = struct{}{}
	if in.shutdown.closingClients {
		c.stopReader()
	}
}
