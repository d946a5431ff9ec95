package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/policy"
)

// A large value that outlives its process: see docs/operating-days.md. The backend's reader stops between two chunks, the loop decides
// whether the value goes to the new process, and the reader goes on if it does not.

const (
	migrateValuesAfterS      = 2.0  // seconds from the hand-over on, after which a value that is still on its way moves
	migrateValuesIntervalS   = 0.1  // between two looks for such values
	migrateValuesBeforeFailS = 0.7  // or so many seconds before what is owed fails, if that is earlier
	failBeforeKillS          = 0.3  // so many seconds before it may be killed, what the old process still owes fails: values behind which it waits move then
	endBeforeKillS           = 0.25 // and so many before, it ends, but for its last words
	maxMigratedValueBytes    = 90e3 // that may go along with a value, so that they fit a message

	blockedPollInterval = 20 * time.Millisecond // how often the backend is looked at while the client does not read
)

var errMigrating = errors.New("another process is to carry the value on")

// valueStream is how far a large value has come. Its reader owns it but for what says otherwise.
type valueStream struct {
	unwritten []byte // read and not written yet
	unread    int    // bytes of the value that are not read yet

	stopRequested atomic.Bool // set by the loop: stop between two chunks
	clientBlocked atomic.Bool // the client has not read for a while
	migrated      chan bool   // from the loop, to a reader that has stopped: whether the value is another process's now

	// Loop only.
	backendConn *backendConn
	stopping    bool // was told to stop
	resumed     bool // came from the process before: no attempt stands for it here
}

func newValueStream(conn *backendConn, size int, have []byte) *valueStream {
	out := append(strconv.AppendInt([]byte{'$'}, int64(size), 10), '\r', '\n')
	return &valueStream{unwritten: append(out, have...), unread: size - len(have), backendConn: conn, migrated: make(chan bool, 1)}
}

// interrupted tells that an error is but the loop's word to stop.
func (f *valueStream) interrupted(err error) bool {
	return err == nil && f.stopRequested.Load() || errors.Is(err, os.ErrDeadlineExceeded) && f.stopRequested.Load()
}

// writeUnwritten writes what was read, until all of it is out or the value is to move. A value of which the rest can't come any more ends at once:
// its client may read what there is for seconds, and would then be cut off by nobody but this ingress.
func (f *valueStream) writeUnwritten(c *backendConn, to net.Conn) error {
	for wrote := time.Now(); len(f.unwritten) > 0; {
		to.SetWriteDeadline(time.Now().Add(blockedPollInterval)) // before the look at move: the loop sets move first, and then a deadline of its own
		if f.interrupted(nil) {
			return errMigrating
		}
		n, err := to.Write(f.unwritten)
		if f.unwritten = f.unwritten[n:]; n > 0 {
			wrote = time.Now()
		}
		f.clientBlocked.Store(n == 0 && err != nil)
		switch {
		case err == nil:
		case f.interrupted(err):
			return errMigrating
		case !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(wrote) > stallTimeout:
			return errClientDisconnected
		case f.unread > 0 && c.endedWithin(f.unread):
			return errStalled
		}
	}
	return nil
}

// endedWithin tells that the backend has ended the connection, and that not so many bytes of it are left to be read.
func (c *backendConn) endedWithin(bytes int) bool {
	ends := false
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true
	}
	cause := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_CLOSE && info.State != unix.BPF_TCP_CLOSE_WAIT {
			return
		}
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		ends = err == nil && n < bytes
	})
	return cause != nil || ends
}

// run carries the value on until it is whole, breaks off, or is to move. Its last bytes go out when it has proved whole.
func (f *valueStream) run(in *Ingress, c *backendConn, buf *readBuffer, to net.Conn) error {
	var chunk []byte
	for {
		if err := f.writeUnwritten(c, to); err != nil {
			f.unwritten = bytes.Clone(f.unwritten)
			return err
		}
		if f.unread == 0 {
			break
		}
		if chunk == nil {
			if chunk = make([]byte, readBufferSize); in.inputBudget.reserve(streamChunkSize) {
				defer in.inputBudget.release(streamChunkSize)
				chunk = make([]byte, streamChunkSize)
			}
		}
		c.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		if f.interrupted(nil) {
			return errMigrating
		}
		n, err := c.conn.Read(chunk[:min(f.unread, len(chunk))])
		f.unwritten, f.unread = chunk[:n], f.unread-n
		if n == 0 && f.interrupted(err) {
			return errMigrating
		} else if n == 0 && err != nil {
			return errStalled
		}
	}
	if err := c.readAtLeast(buf, 2); err != nil {
		if f.interrupted(err) {
			return errMigrating
		}
		return errStalled
	}
	if !bytes.HasPrefix(buf.data, []byte("\r\n")) {
		return errLengthMismatch
	}
	buf.discard(2)
	f.unwritten = []byte("\r\n")
	for {
		if err := f.writeUnwritten(c, to); !errors.Is(err, errMigrating) {
			return err
		}
		f.stopRequested.Store(false) // two bytes are no matter for another process
	}
}

// relayToEnd has the value carried on here for as long as it is this process's; errMigrating tells that it is another's.
func (v *largeValue) relayToEnd(in *Ingress, buf *readBuffer) error {
	for {
		err := v.stream.run(in, v.stream.backendConn, buf, v.client.conn)
		if !errors.Is(err, errMigrating) {
			return err
		}
		rest := bytes.Clone(buf.data)
		in.post(in.clock.Now(), func() { in.handleStreamStopped(v, rest) })
		select {
		case moved := <-v.stream.migrated:
			if moved {
				return errMigrating
			}
		case <-v.client.done:
			return errClientDisconnected
		case <-in.done:
			return errClientDisconnected
		}
	}
}

// ---- The old process ----

// valueTransfer is a value on its way to the new process, as its message words it.
type valueTransfer struct {
	Unwritten     []byte `json:"Out"`    // for the client, before anything else
	Unread        int    `json:"Left"`   // of the value, to be read from the backend
	BackendInput  []byte `json:"Rest"`   // read from the backend beyond that
	ClientInput   []byte `json:"Input"`  // read from the client and not used
	QueuedAnswers []byte `json:"Behind"` // answers that wait behind the value
	QueuedSlots   int    `json:"Slots"`  // so many
}

// migratable tells that a value's client waits for nothing but it, and for answers that are known.
func (in *Ingress) migratable(v *largeValue) bool {
	c := v.client
	if !v.started || c.closed || !c.readerStopped || c.transferring || c.answerSlots[0].value != v {
		return false
	}
	for _, s := range c.answerSlots[1:] {
		if s.answer == nil || s.closeAfter {
			return false
		}
	}
	return true
}

// migrateValues has the values that can go to the new process stop, again and again while there are any.
func (in *Ingress) migrateValues() {
	if in.successor.stage != handoverActive {
		return
	}
	in.after(migrateValuesIntervalS, in.migrateValues)
	for v := range in.largeValues {
		if !v.stream.stopping && in.migratable(v) {
			v.stream.stopping = true
			v.stream.stopRequested.Store(true)
			v.stream.backendConn.conn.SetReadDeadline(time.Unix(pastUnixS, 0))
			v.client.conn.SetWriteDeadline(time.Unix(pastUnixS, 0))
		}
	}
}

// handleStreamStopped takes a value whose reader has stopped: it goes to the new process, or on here.
func (in *Ingress) handleStreamStopped(v *largeValue, rest []byte) {
	c, f := v.client, v.stream
	if c.closed {
		return
	}
	state := valueTransfer{Unwritten: f.unwritten, Unread: f.unread, BackendInput: rest, ClientInput: bytes.Clone(c.input.data)}
	if in.successor.stage == handoverActive && in.migratable(v) {
		for _, s := range c.answerSlots[1:] {
			state.QueuedAnswers, state.QueuedSlots = append(state.QueuedAnswers, s.answer...), state.QueuedSlots+1
		}
		if len(state.Unwritten)+len(state.BackendInput)+len(state.ClientInput)+len(state.QueuedAnswers) < maxMigratedValueBytes*3/4 {
			if body, err := json.Marshal(state); err == nil && len(body) <= hotrestart.MaxBodyBytes {
				c.transferring = true
				in.successor.transfers <- transfer{c, body, v}
				return
			}
		}
	}
	in.resumeStream(v)
}

// resumeStream has a value that has stopped go on in this process.
func (in *Ingress) resumeStream(v *largeValue) {
	v.stream.stopping = false
	v.stream.stopRequested.Store(false)
	v.stream.migrated <- false
}

// handleValueMigrated takes the news that a value is the new process's: nothing more is done for it here.
func (in *Ingress) handleValueMigrated(v *largeValue) {
	v.stream.migrated <- true
	in.finishLargeValue(v, attemptResult{status: policy.OK})
	in.closeClient(v.client, closeHandedOver)
}

// finishLargeValue ends a value's attempt, or what stands for it.
func (in *Ingress) finishLargeValue(v *largeValue, res attemptResult) {
	delete(in.largeValues, v)
	if v.stream.resumed {
		in.closeBackendConn(v.stream.backendConn)
		return
	}
	in.finishAttempt(v.attempt, res, in.now) // closes what was not released
}

// resumeMigratingValues has the values that were on their way to a process that has died go on here.
func (in *Ingress) resumeMigratingValues() {
	for v := range in.largeValues {
		if v.client.transferring && v.stream.stopping {
			v.client.transferring = false
			in.resumeStream(v)
		}
	}
}

// ---- The new process ----

// resumeLargeValue takes a value over that the old process had begun. Its place among the clients is taken.
func (in *Ingress) resumeLargeValue(client, back *net.TCPConn, body []byte) error {
	var state valueTransfer
	if err := json.Unmarshal(body, &state); err != nil {
		return err
	}
	c, err := in.newClientConn(client)
	if err != nil {
		return err
	}
	c.input.data = append(make([]byte, 0, max(readBufferSize, len(state.ClientInput))), state.ClientInput...)
	if more := cap(c.input.data) - readBufferSize; more > 0 {
		if !in.inputBudget.reserve(more) {
			return errInputBudget
		}
		c.input.reserved = more
	}
	f := &valueStream{unwritten: state.Unwritten, unread: state.Unread, migrated: make(chan bool, 1), resumed: true, backendConn: &backendConn{backend: &backend{}, conn: back}}
	v := &largeValue{client: c, stream: f, started: true}
	c.answerSlots = []*answerSlot{{value: v}}
	c.pipelinePermits <- struct{}{}
	if state.QueuedSlots > 0 { // one in place of all: they are written together
		c.answerSlots = append(c.answerSlots, &answerSlot{answer: state.QueuedAnswers})
		c.pipelinePermits <- struct{}{}
	}
	c.writing = true
	in.post(in.clock.Now(), func() {
		in.clients.openElsewhere = max(0, in.clients.openElsewhere-1)
		in.backends.openConns++
		c.commandReceived, c.callReceived, c.lastUsedAt, c.acceptedAt = true, true, in.now, in.now
		in.clients.conns[c] = struct{}{}
		in.largeValues[v] = struct{}{}
		if in.closingClients {
			c.stopReader()
		}
	})
	if len(state.ClientInput) > 0 {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
	go func() {
		buf := readBuffer{budget: &in.inputBudget, data: append(make([]byte, 0, readBufferSize), state.BackendInput...)}
		err := v.relayToEnd(in, &buf)
		buf.release()
		client.SetWriteDeadline(time.Time{})
		if !errors.Is(err, errMigrating) {
			in.post(in.clock.Now(), func() { in.handleLargeValueEnd(v, attemptResult{}, err) })
		}
	}()
	return nil
}
