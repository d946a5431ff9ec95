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

	"eiderspread/internal/takeover"
	"eiderspread/policy"
)

// A large value that outlives its process: see docs/operating-days.md. The backend's reader stops between two chunks, the loop decides
// whether the value goes to the new process, and the reader goes on if it does not.

const (
	moveAfter = 2.0  // seconds from the hand-over on, after which a value that is still on its way moves
	moveEvery = 0.1  // between two looks for such values
	moveAhead = 0.7  // or so many seconds before what is owed fails, if that is earlier
	failAhead = 0.3  // so many seconds before it may be killed, what the old process still owes fails: values behind which it waits move then
	endAhead  = 0.25 // and so many before, it ends, but for its last words
	moveBytes = 90e3 // that may go along with a value, so that they fit a message

	blockedLook = 20 * time.Millisecond // how often the backend is looked at while the client does not read
)

var errMoves = errors.New("another process is to carry the value on")

// flow is how far a large value has come. Its reader owns it but for what says otherwise.
type flow struct {
	out  []byte // read and not written yet
	left int    // bytes of the value that are not read yet

	move    atomic.Bool // set by the loop: stop between two chunks
	blocked atomic.Bool // the client has not read for a while
	verdict chan bool   // from the loop, to a reader that has stopped: whether the value is another process's now

	// Loop only.
	back    *backConn
	moving  bool // was told to stop
	resumed bool // came from the process before: no attempt stands for it here
}

func newFlow(back *backConn, size int, have []byte) *flow {
	out := append(strconv.AppendInt([]byte{'$'}, int64(size), 10), '\r', '\n')
	return &flow{out: append(out, have...), left: size - len(have), back: back, verdict: make(chan bool, 1)}
}

// moves tells that an error is but the loop's word to stop.
func (f *flow) moves(err error) bool {
	return err == nil && f.move.Load() || errors.Is(err, os.ErrDeadlineExceeded) && f.move.Load()
}

// write writes what was read, until all of it is out or the value is to move. A value of which the rest can't come any more ends at once:
// its client may read what there is for seconds, and would then be cut off by nobody but this ingress.
func (f *flow) write(c *backConn, to net.Conn) error {
	for wrote := time.Now(); len(f.out) > 0; {
		to.SetWriteDeadline(time.Now().Add(blockedLook)) // before the look at move: the loop sets move first, and then a deadline of its own
		if f.moves(nil) {
			return errMoves
		}
		n, err := to.Write(f.out)
		if f.out = f.out[n:]; n > 0 {
			wrote = time.Now()
		}
		f.blocked.Store(n == 0 && err != nil)
		switch {
		case err == nil:
		case f.moves(err):
			return errMoves
		case !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(wrote) > stallMost:
			return errClientEnd
		case f.left > 0 && c.endsBefore(f.left):
			return errStalled
		}
	}
	return nil
}

// endsBefore tells that the backend has ended the connection, and that not so many bytes of it are left to be read.
func (c *backConn) endsBefore(bytes int) bool {
	ends := false
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true
	}
	bad := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.State != unix.BPF_TCP_CLOSE && info.State != unix.BPF_TCP_CLOSE_WAIT {
			return
		}
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		ends = err == nil && n < bytes
	})
	return bad != nil || ends
}

// run carries the value on until it is whole, breaks off, or is to move. Its last bytes go out when it has proved whole.
func (f *flow) run(in *Ingress, c *backConn, buf *buffer, to net.Conn) error {
	var chunk []byte
	for {
		if err := f.write(c, to); err != nil {
			f.out = bytes.Clone(f.out)
			return err
		}
		if f.left == 0 {
			break
		}
		if chunk == nil {
			if chunk = make([]byte, readSize); in.input.take(chunkSize) {
				defer in.input.give(chunkSize)
				chunk = make([]byte, chunkSize)
			}
		}
		c.conn.SetReadDeadline(time.Now().Add(stallMost))
		if f.moves(nil) {
			return errMoves
		}
		n, err := c.conn.Read(chunk[:min(f.left, len(chunk))])
		f.out, f.left = chunk[:n], f.left-n
		if n == 0 && f.moves(err) {
			return errMoves
		} else if n == 0 && err != nil {
			return errStalled
		}
	}
	if err := c.more(buf, 2); err != nil {
		if f.moves(err) {
			return errMoves
		}
		return errStalled
	}
	if !bytes.HasPrefix(buf.b, []byte("\r\n")) {
		return errValueEnd
	}
	buf.drop(2)
	f.out = []byte("\r\n")
	for {
		if err := f.write(c, to); !errors.Is(err, errMoves) {
			return err
		}
		f.move.Store(false) // two bytes are no matter for another process
	}
}

// carry has the value carried on here for as long as it is this process's; errMoves tells that it is another's.
func (v *largeValue) carry(in *Ingress, buf *buffer) error {
	for {
		err := v.flow.run(in, v.flow.back, buf, v.c.conn)
		if !errors.Is(err, errMoves) {
			return err
		}
		rest := bytes.Clone(buf.b)
		in.post(in.clock.Now(), func() { in.rests(v, rest) })
		select {
		case moved := <-v.flow.verdict:
			if moved {
				return errMoves
			}
		case <-v.c.quit:
			return errClientEnd
		case <-in.done:
			return errClientEnd
		}
	}
}

// ---- The old process ----

// carried is a value on its way to the new process, as its message words it.
type carried struct {
	Out    []byte `json:"Out"`    // for the client, before anything else
	Left   int    `json:"Left"`   // of the value, to be read from the backend
	Rest   []byte `json:"Rest"`   // read from the backend beyond that
	Input  []byte `json:"Input"`  // read from the client and not used
	Behind []byte `json:"Behind"` // answers that wait behind the value
	Slots  int    `json:"Slots"`  // so many
}

// movable tells that a value's client waits for nothing but it, and for answers that are known.
func (in *Ingress) movable(v *largeValue) bool {
	c := v.c
	if !v.started || c.closed || !c.parked || c.passing || c.slots[0].value != v {
		return false
	}
	for _, s := range c.slots[1:] {
		if s.answer == nil || s.last {
			return false
		}
	}
	return true
}

// moveValues has the values that can go to the new process stop, again and again while there are any.
func (in *Ingress) moveValues() {
	if in.heirs.stage != handed {
		return
	}
	in.after(moveEvery, in.moveValues)
	for v := range in.flows {
		if !v.flow.moving && in.movable(v) {
			v.flow.moving = true
			v.flow.move.Store(true)
			v.flow.back.conn.SetReadDeadline(time.Unix(pastTime, 0))
			v.c.conn.SetWriteDeadline(time.Unix(pastTime, 0))
		}
	}
}

// rests takes a value whose reader has stopped: it goes to the new process, or on here.
func (in *Ingress) rests(v *largeValue, rest []byte) {
	c, f := v.c, v.flow
	if c.closed {
		return
	}
	x := carried{Out: f.out, Left: f.left, Rest: rest, Input: bytes.Clone(c.buf.b)}
	if in.heirs.stage == handed && in.movable(v) {
		for _, s := range c.slots[1:] {
			x.Behind, x.Slots = append(x.Behind, s.answer...), x.Slots+1
		}
		if len(x.Out)+len(x.Rest)+len(x.Input)+len(x.Behind) < moveBytes*3/4 {
			if body, err := json.Marshal(x); err == nil && len(body) <= takeover.MaxBody {
				c.passing = true
				in.heirs.queue <- passing{c, body, v}
				return
			}
		}
	}
	in.staysHere(v)
}

// staysHere has a value that has stopped go on in this process.
func (in *Ingress) staysHere(v *largeValue) {
	v.flow.moving = false
	v.flow.move.Store(false)
	v.flow.verdict <- false
}

// moved takes the news that a value is the new process's: nothing more is done for it here.
func (in *Ingress) moved(v *largeValue) {
	v.flow.verdict <- true
	in.over(v, result{status: policy.OK})
	in.closeClient(v.c, closeHandedOver)
}

// over ends a value's attempt, or what stands for it.
func (in *Ingress) over(v *largeValue, res result) {
	delete(in.flows, v)
	if v.flow.resumed {
		in.closeConn(v.flow.back)
		return
	}
	in.finish(v.a, res, in.now) // closes what was not released
}

// valuesStay has the values that were on their way to a process that has died go on here.
func (in *Ingress) valuesStay() {
	for v := range in.flows {
		if v.c.passing && v.flow.moving {
			v.c.passing = false
			in.staysHere(v)
		}
	}
}

// ---- The new process ----

// carryOn takes a value over that the old process had begun. Its place among the clients is taken.
func (in *Ingress) carryOn(client, back *net.TCPConn, body []byte) error {
	var x carried
	if err := json.Unmarshal(body, &x); err != nil {
		return err
	}
	c, err := in.newClient(client)
	if err != nil {
		return err
	}
	c.buf.b = append(make([]byte, 0, max(readSize, len(x.Input))), x.Input...)
	if more := cap(c.buf.b) - readSize; more > 0 {
		if !in.input.take(more) {
			return errNoRoom
		}
		c.buf.taken = more
	}
	f := &flow{out: x.Out, left: x.Left, verdict: make(chan bool, 1), resumed: true, back: &backConn{be: &backend{}, conn: back}}
	v := &largeValue{c: c, flow: f, started: true}
	c.slots = []*slot{{value: v}}
	c.permits <- struct{}{}
	if x.Slots > 0 { // one in place of all: they are written together
		c.slots = append(c.slots, &slot{answer: x.Behind})
		c.permits <- struct{}{}
	}
	c.writing = true
	in.post(in.clock.Now(), func() {
		in.clients.elsewhere = max(0, in.clients.elsewhere-1)
		in.backends.open++
		c.spoke, c.asked, c.usedAt, c.acceptedAt = true, true, in.now, in.now
		in.clients.all[c] = struct{}{}
		in.flows[v] = struct{}{}
		if in.leaving {
			c.halt()
		}
	})
	if len(x.Input) > 0 {
		c.await(in)
	}
	go c.read(in)
	go func() {
		buf := buffer{budget: &in.input, b: append(make([]byte, 0, readSize), x.Rest...)}
		err := v.carry(in, &buf)
		buf.free()
		client.SetWriteDeadline(time.Time{})
		if !errors.Is(err, errMoves) {
			in.post(in.clock.Now(), func() { in.passed(v, result{}, err) })
		}
	}()
	return nil
}
