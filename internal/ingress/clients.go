package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
)

const (
	pipelineMost = 32              // commands of one connection that may be open
	pendingMost  = 1 << 20         // bytes that a client may leave unread
	clientWriteS = 5 * time.Second // and for how long
	lingerMost   = 2 * time.Second // how long a refused client's bytes are read and dropped
	lingerBytes  = 1 << 20         // and how many
	acceptRetry  = 5 * time.Millisecond
	reservedFDs  = 32 // for the listener, discovery, peers and the runtime
)

// request is one that a client has sent and that is owed one final answer.
type request struct {
	*call
	client   *client
	slot     *slot
	deadline float64
	attempts []*attempt
	out      int
	over     bool
}

// slot is the place of one answer in its connection's order.
type slot struct {
	req    *request // nil where the answer was known at once
	answer []byte   // nil until it is final
	last   bool     // the connection ends with it
}

// client is one client's connection.
type client struct {
	conn    *net.TCPConn
	raw     syscall.RawConn
	permits chan struct{} // bounds the open commands; taken by the reader
	quit    chan struct{} // closed with the connection

	// Loop only.
	slots   []*slot
	pending []byte // what the socket has not taken yet
	writing bool   // a goroutine writes what was pending
	usedAt  float64
	surplus bool // beyond the bound: what it asks is refused while that holds
	closed  bool
}

// clientSet bounds the connections of clients.
type clientSet struct {
	all     map[*client]struct{}
	most    int
	surplus int // so many more are taken, to be refused in words
}

func (s *clientSet) init(sockets int) {
	s.all = map[*client]struct{}{}
	s.most = max(8, (sockets-reservedFDs)/2)
	s.surplus = max(2, (sockets-reservedFDs)/8)
}

func (s *clientSet) open() int { return len(s.all) }

// closeIdle closes each connection that waits for no answer.
func (s *clientSet) closeIdle(in *Ingress) {
	for c := range s.all {
		if len(c.slots) == 0 && len(c.pending) == 0 {
			in.closeClient(c)
		}
	}
}

// full tells that more connections are open, the newcomer aside, than may be served, after those that
// idle longest were closed to make room.
func (s *clientSet) full(in *Ingress, newcomer *client) bool {
	for {
		others := len(s.all)
		if _, counted := s.all[newcomer]; counted {
			others--
		}
		if others < s.most {
			return false
		}
		var oldest *client
		for c := range s.all {
			if c != newcomer && len(c.slots) == 0 && len(c.pending) == 0 && (oldest == nil || c.usedAt < oldest.usedAt) {
				oldest = c
			}
		}
		if oldest == nil {
			return true
		}
		in.closeClient(oldest)
	}
}

// accept takes connections until the listener is closed.
func (in *Ingress) accept(l *net.TCPListener) {
	words := newVocabulary(in.cfg.Settings.Settings)
	for {
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		at := in.clock.now()
		if err != nil {
			in.post(at, func() { in.note("accept failed", "error", err) })
			time.Sleep(acceptRetry) // out of descriptors: others must end first
			continue
		}
		raw, err := conn.SyscallConn()
		if err != nil {
			conn.Close()
			continue
		}
		c := &client{conn: conn, raw: raw, permits: make(chan struct{}, pipelineMost), quit: make(chan struct{})}
		in.post(at, func() { in.addClient(c) })
		go c.read(in, words)
	}
}

func (in *Ingress) addClient(c *client) {
	c.surplus = in.clients.full(in, c)
	if in.leaving || c.surplus && in.clients.open() >= in.clients.most+in.clients.surplus {
		in.note("client turned away: too many connections", "open", in.clients.open())
		c.closed = true
		close(c.quit)
		c.conn.Close()
		return
	}
	c.usedAt = in.now
	in.clients.all[c] = struct{}{}
}

// read parses what the client sends, and posts each command with the time of its last byte.
func (c *client) read(in *Ingress, words *vocabulary) {
	var buf buffer
	for {
		n, err := c.conn.Read(buf.room())
		at := in.clock.now()
		buf.grew(n)
		used := 0
		for used < len(buf.b) {
			size, bad := c.frame(buf.b[used:])
			if bad != nil {
				c.refuse(in, at, bad)
				return
			}
			if size == 0 {
				break
			}
			select {
			case c.permits <- struct{}{}:
			case <-c.quit:
				return
			}
			c.command(in, at, words, bytes.Clone(buf.b[used:used+size]))
			used += size
		}
		buf.drop(used)
		if err != nil {
			in.post(at, func() { in.clientGone(c) })
			return
		}
	}
}

func (c *client) frame(b []byte) (int, error) {
	if b[0] != '*' {
		return 0, fmt.Errorf("expected '*', got %q", b[0])
	}
	n, err := frame(b)
	if err == nil && n == 0 && len(b) > maxFrame {
		err = errOversized
	}
	return n, err
}

// refuse answers what can't be read and ends the connection. What still comes is read for a
// while: closing on unread bytes would reset the connection and might take the answer with it.
func (c *client) refuse(in *Ingress, at float64, bad error) {
	answer := redcon.AppendError(nil, "ERR Protocol error: "+bad.Error())
	in.post(at, func() { in.answerAtOnce(c, answer, true) })
	c.conn.SetReadDeadline(time.Now().Add(lingerMost))
	io.Copy(io.Discard, io.LimitReader(c.conn, lingerBytes))
	in.post(in.clock.now(), func() { in.clientGone(c) })
}

// command posts one whole command.
func (c *client) command(in *Ingress, at float64, words *vocabulary, raw []byte) {
	_, args, _, _, err := redcon.ReadNextCommand(raw, make([][]byte, 0, 5))
	fail := func(err error) {
		answer := redcon.AppendError(nil, "ERR "+err.Error())
		in.post(at, func() { in.answerAtOnce(c, answer, false) })
	}
	switch {
	case err != nil:
		fail(err)
	case len(args) == 0:
		fail(errors.New("empty command"))
	case bytes.EqualFold(args[0], []byte("CALL.GET")), bytes.EqualFold(args[0], []byte("CALL.POST")):
		call, err := words.parseCall(args)
		if err != nil {
			fail(err)
			return
		}
		in.post(at, func() { in.take(c, call, at) })
	case bytes.EqualFold(args[0], []byte("PING")):
		in.post(at, func() { in.ping(c) })
	default:
		fail(fmt.Errorf("unknown command %.40q", args[0]))
	}
}

// ping tells the front that this ingress can serve.
func (in *Ingress) ping(c *client) {
	if !in.backends.ready() {
		in.answerAtOnce(c, redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	in.answerAtOnce(c, redcon.AppendString(nil, "PONG"), false)
}

// answerAtOnce answers a command that never reaches the module.
func (in *Ingress) answerAtOnce(c *client, answer []byte, last bool) {
	if c.closed {
		return
	}
	c.slots = append(c.slots, &slot{answer: answer, last: last})
	in.flush(c)
}

// take hands a request to the module; from here on it is owed one final answer.
func (in *Ingress) take(c *client, q *call, at float64) {
	switch {
	case c.closed:
		return
	case c.surplus && in.clients.full(in, c):
		in.note("request refused: too many connections", "open", in.clients.open())
		in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), false)
		return
	case in.requests[q.ID] != nil:
		in.answerAtOnce(c, redcon.AppendError(nil, "ERR a request of this id is open"), false)
		return
	case in.cfg.Settings.MostHeld > 0 && len(in.requests) >= in.cfg.Settings.MostHeld:
		in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), false)
		return
	}
	c.surplus = false
	r := &request{call: q, client: c, slot: &slot{}, deadline: at + q.waitS}
	r.slot.req = r
	c.slots = append(c.slots, r.slot)
	c.usedAt = in.now
	in.requests[q.ID] = r
	// The module answers well before; should it fail to, the client hears all the same.
	in.after(r.deadline+in.cfg.Settings.AnswerSlackS-in.now, func() {
		if !r.over {
			in.note("no answer from the module in time", "id", r.ID)
			in.fail(r)
			in.gate.Gone(in.now, r.ID)
		}
	})
	q.Request.DeadlineS = r.deadline
	handed := false
	defer func() { // a panic in the module must not leave a request that nothing was sent for hanging
		if !handed && len(r.attempts) == 0 {
			in.fail(r)
		}
	}()
	in.gate.Request(in.now, q.Request)
	handed = true
}

// Refuse implements policy.Actions.
func (in *Ingress) Refuse(id string, retryInS float64) {
	if r := in.requests[id]; r != nil {
		in.answer(r, in.busy(retryInS))
	}
}

func (in *Ingress) busy(retryInS float64) []byte {
	if retryInS <= 0 || !in.cfg.Settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryInS*1000))))
}

// Fail implements policy.Actions.
func (in *Ingress) Fail(id string) {
	if r := in.requests[id]; r != nil {
		in.fail(r)
	}
}

func (in *Ingress) fail(r *request) { in.answer(r, redcon.AppendError(nil, "ERR failed")) }

// answer gives the final answer, the first time that it is called for a request.
func (in *Ingress) answer(r *request, answer []byte) {
	if r.over {
		return
	}
	r.slot.answer = answer
	in.end(r)
	in.flush(r.client)
}

// end notes that nothing more is owed.
func (in *Ingress) end(r *request) {
	r.over = true
	in.forget(r)
}

func (in *Ingress) forget(r *request) {
	if r.over && r.out == 0 {
		delete(in.requests, r.ID)
	}
}

// flush writes the answers that are due, in the order of their commands.
func (in *Ingress) flush(c *client) {
	n, last := 0, false
	for n < len(c.slots) && c.slots[n].answer != nil && !last {
		c.pending = append(c.pending, c.slots[n].answer...)
		last = c.slots[n].last
		n++
		select {
		case <-c.permits:
		default: // the answer to what could not be read took none
		}
	}
	if n == 0 || c.closed {
		return
	}
	clear(c.slots[:n])
	c.slots = c.slots[:copy(c.slots, c.slots[n:])]
	c.usedAt = in.now
	in.push(c)
	if last && !c.closed && len(c.pending) == 0 {
		c.conn.CloseWrite()
	}
	if in.leaving && !c.closed && len(c.slots) == 0 && len(c.pending) == 0 {
		in.closeClient(c)
	}
}

// push writes what is pending: at once what the socket takes, the rest on a goroutine of its own.
func (in *Ingress) push(c *client) {
	if c.writing {
		if len(c.pending) > pendingMost {
			in.note("client dropped: it does not read its answers")
			in.clientGone(c)
		}
		return
	}
	n, err := tryWrite(c.raw, c.pending)
	if err != nil {
		in.clientGone(c)
		return
	}
	rest := c.pending[n:]
	if len(rest) == 0 {
		if c.pending = c.pending[:0]; cap(c.pending) > 4*readSize {
			c.pending = nil
		}
		return
	}
	c.writing, c.pending = true, nil
	go func() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteS))
		_, err := c.conn.Write(rest)
		in.post(in.clock.now(), func() {
			c.writing = false
			switch {
			case c.closed:
			case err != nil:
				in.clientGone(c)
			case len(c.pending) > 0:
				in.push(c)
			case in.leaving && len(c.slots) == 0:
				in.closeClient(c)
			}
		})
	}()
}

// stop ends a drain that takes too long: what is still owed fails while its client can hear of it.
func (in *Ingress) stop() {
	for _, r := range in.requests {
		if !r.over {
			in.fail(r)
			in.gate.Gone(in.now, r.ID)
		}
	}
	for c := range in.clients.all {
		in.closeClient(c)
	}
}

// clientGone takes a client's hang-up: nothing is owed for what it had asked.
func (in *Ingress) clientGone(c *client) {
	if c.closed {
		return
	}
	slots := c.slots
	in.closeClient(c)
	for _, s := range slots {
		if s.req != nil && !s.req.over {
			in.end(s.req)
			in.gate.Gone(in.now, s.req.ID)
		}
	}
}

func (in *Ingress) closeClient(c *client) {
	c.closed = true
	c.slots, c.pending = nil, nil
	close(c.quit)
	c.conn.Close()
	delete(in.clients.all, c)
}

// tryWrite writes what the socket takes without waiting.
func tryWrite(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	switch {
	case closed != nil:
		return 0, closed
	case err == syscall.EAGAIN:
		return 0, nil
	}
	return max(n, 0), err
}
