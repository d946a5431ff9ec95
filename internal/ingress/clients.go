package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"eiderspread/internal/console"
)

const (
	pipelineMost = 32              // commands of one connection that may be open
	pendingMost  = 1 << 20         // bytes that a client may leave unread
	commandMost  = 2 * time.Second // an answer is owed to what can't be read within 3 s
	errorsMost   = 8               // bad commands of one connection; then it is closed
	lingerMost   = 2 * time.Second // how long a refused client's bytes are read and dropped
	lingerBytes  = 1 << 20         // and how many
	idleMost     = 10.0            // seconds for which a connection may stand idle
	acceptRetry  = 5 * time.Millisecond
	lastLook     = 2 * time.Millisecond // how long nothing may come before the listener closes
	endS         = 0.3                  // how long a connection whose sending side has ended waits for the client's end, while nothing else does
	leftLook     = 0.1                  // what waited for longer is sent only after a look whether its client is still there
	youngS       = 0.2                  // seconds in which the first command of a new connection may be on its way
	atOnceS      = 0.001                // a read that takes longer has waited for its bytes
	behindS      = 0.005                // a reader that is so far behind, as too many commands were open, can't tell when what it reads has come
	acceptSlack  = 8                    // connections accepted that the loop has not come to
	reservedFDs  = 32                   // for the listener, discovery, peers, the slack and the runtime
	doorFDs      = console.Conns + 8    // for the operators' door, the link to another process and files
)

var clientWriteS = 5 * time.Second // for how long; tests make it shorter

// slot is the place of one answer in its connection's order.
type slot struct {
	req    *request    // nil where the answer was known at once
	answer []byte      // nil until it is final
	value  *largeValue // in place of an answer: it is passed on as it comes
	last   bool        // the connection ends with it
}

// client is one client's connection.
type client struct {
	id      uint64 // of this process, for the log
	conn    *net.TCPConn
	raw     syscall.RawConn
	permits chan struct{} // bounds the open commands; taken by the reader
	quit    chan struct{} // closed with the connection
	stop    chan struct{} // closed by halt: nothing more is to be read
	// a part of a command has come: its client may be writing on. Set by the reader
	receiving atomic.Bool

	// Its reader's, and the loop's once it is parked.
	buf    buffer
	errors int
	timed  bool // a deadline for the next whole command is set

	// Loop only.
	acceptedAt    float64
	requestCount  int         // requests taken on it
	lastRequestAt float64     // when the last of them came
	askedAt       float64     // when a request came last, taken or refused
	closeReason   closeReason // of its end, from the decision on

	slots    []*slot // no more than permits, and one
	pending  []byte  // what the socket has not taken yet
	held     int     // of the budget, for what is pending or being written
	writing  bool    // a goroutine writes what was pending
	usedAt   float64
	spoke    bool // a whole command has come
	ending   bool // the last answer is written, what still comes is read and dropped
	lingered bool // for long enough
	surplus  bool // beyond the bound: what it asks is refused while that holds
	asked    bool // a call has come
	halted   bool // its reader was told to stop
	parked   bool // and has
	passing  bool // on its way to the process that replaces this one
	closed   bool
}

// idle tells that the client waits for nothing. What its reader has not come to yet counts.
func (c *client) idle() bool {
	return len(c.slots) == 0 && len(c.pending) == 0 && !c.writing
}

// quiet tells that the connection may be closed for others: nothing is open on it, and no command that its reader has taken is still on
// its way to the loop, which may be behind by some.
func (c *client) quiet() bool { return c.idle() && (c.ending || len(c.permits) == 0) }

// answered tells that all that has come on the connection is answered, and that its client is not in the middle of a request: a connection that
// ends then owes nothing, but for what comes in that very moment.
func (c *client) answered() bool { return c.quiet() && !c.receiving.Load() && silent(c.raw) }

// clientSet bounds the connections of clients. Those on which something is open may be as many as descriptors allow; those that idle are
// kept up to a bound well below the third of the descriptors that clients have for requests: a crowd that connects and asks nothing would
// else hold the room of those who ask, and their requests would not even get here.
type clientSet struct {
	all  map[*client]struct{}
	keep int // from so many on, what idles makes room
	most int // from so many on, what can't have room is refused
	// connections of this ingress that another process still has: they count for those that are taken anew
	elsewhere int
	surplus   int           // so many more are taken, to be refused in words
	room      chan struct{} // a place for each connection, taken before it is accepted

	commandMost time.Duration // how long one may take for its first command, and for a whole one
}

func (s *clientSet) init(free int) {
	s.all = map[*client]struct{}{}
	s.most = max(8, free/2)
	s.keep = max(8, free/4)
	s.surplus = max(2, free/8)
	s.commandMost = commandMost
	s.room = make(chan struct{}, s.most+s.surplus+acceptSlack)
}

// free is how many descriptors there are for connections of clients and to backends.
func (c Config) free() int {
	if c.Console != "" {
		return c.Sockets - reservedFDs - doorFDs
	}
	return c.Sockets - reservedFDs
}

func (s *clientSet) open() int { return len(s.all) }

// sweep closes what has idled for long, so that clients that keep a connection for good hold none of
// the memory either. What has never spoken is its reader's to answer.
func (s *clientSet) sweep(in *Ingress) {
	for c := range s.all {
		if c.ending && c.idle() && in.now-c.usedAt > lingerMost.Seconds() {
			in.closeClient(c, closeIdleTimeout)
		} else if c.spoke && c.quiet() && in.now-c.usedAt > idleMost && silent(c.raw) {
			in.closeGracefully(c, closeIdleTimeout)
		}
	}
}

// closeIdle ends each connection that waits for no answer, but for those whose first command is on its way.
func (s *clientSet) closeIdle(in *Ingress) {
	for c := range s.all {
		if c.answered() && !c.passing && !c.young(in) {
			in.closeGracefully(c, closeShutdown)
		}
	}
}

// closeGracefully ends a connection on which nothing is open: our side first. Between a look whether it is silent and a close a command may come, and
// a close on bytes that nobody has read is a reset, which can take the answer before it along. Its client sends such a command again.
func (in *Ingress) closeGracefully(c *client, reason closeReason) {
	if c.closed || c.ending {
		return
	}
	c.decideClose(reason)
	c.ending, c.lingered = true, true
	if err := c.conn.CloseWrite(); err != nil {
		in.clientGone(c, reason)
		return
	}
	in.after(endS, func() { in.closeClient(c, reason) })
}

// rank orders the connections that may be closed for others: first those that were told their last
// answer, then those that have said nothing, then those that have never asked for anything but a PING, then those that idle.
func (c *client) rank() int {
	switch {
	case c.ending:
		return 0
	case !c.spoke:
		return 1
	case !c.asked:
		return 2
	}
	return 3
}

// young tells that a connection has just come and has said nothing yet: to close it may lose a request.
func (c *client) young(in *Ingress) bool {
	return !c.spoke && !c.ending && in.now-c.usedAt < youngS
}

// full tells that more connections are open, the newcomer aside, than may be served, after those that idle
// were closed to make room: the lowest rank first, and of it those unused for longest.
func (s *clientSet) full(in *Ingress, newcomer *client) bool {
	var asking map[*client]bool // what its reader has not come to yet would be lost
	for {
		others := len(s.all) + s.elsewhere
		if _, counted := s.all[newcomer]; counted {
			others--
		}
		if others < s.keep {
			return false
		}
		var first *client
		for c := range s.all {
			if c == newcomer || !c.quiet() || c.young(in) || asking[c] {
				continue
			}
			if first == nil || c.rank() < first.rank() || c.rank() == first.rank() && c.usedAt < first.usedAt {
				first = c
			}
		}
		switch {
		case first == nil:
			return others >= s.most
		case !first.ending && !silent(first.raw):
			if asking == nil {
				asking = map[*client]bool{}
			}
			asking[first] = true
		case !first.ending && !in.endUnread(first): // a command came in that moment
			if asking == nil {
				asking = map[*client]bool{}
			}
			asking[first] = true
		default:
			in.closeClient(first, closeNoCapacity)
		}
	}
}

// endUnread ends our side of a connection that is to be closed at once, and tells that nothing has come on it meanwhile. What has is read
// and dropped behind the end.
func (in *Ingress) endUnread(c *client) bool {
	c.decideClose(closeNoCapacity)
	if err := c.conn.CloseWrite(); err != nil || silent(c.raw) {
		return true
	}
	c.ending, c.lingered = true, true
	in.after(endS, func() { in.closeClient(c, closeNoCapacity) })
	return false
}

// newClient makes a client of a connection that is not read yet. Its place in the room is the caller's to take.
func (in *Ingress) newClient(conn *net.TCPConn) (*client, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &client{id: connectionIDs.Add(1), conn: conn, raw: raw, permits: make(chan struct{}, pipelineMost), quit: make(chan struct{}),
		stop: make(chan struct{}), buf: buffer{budget: &in.input}}, nil
}

// await sets the time by which a whole command must have come. It is for whoever starts the reader.
func (c *client) await(in *Ingress) {
	c.timed = true
	c.conn.SetReadDeadline(time.Now().Add(in.clients.commandMost))
}

// accept takes connections until the listener is closed, or pause and with it the listener's deadline, or until there is none with last and
// the deadline.
func (in *Ingress) accept(l *net.TCPListener, pause chan struct{}) {
	taken := true
	for {
		select {
		case <-pause:
			in.post(in.clock.Now(), func() { in.handedOver(pause) }) // behind all that was taken
			return
		default:
		}
		select {
		case in.clients.room <- struct{}{}:
		case <-pause:
			continue
		case <-in.done:
			return
		}
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			<-in.clients.room
			return
		}
		var c *client
		if err == nil {
			if c, err = in.newClient(conn); err != nil {
				conn.Close()
			}
		}
		at := in.clock.Now()
		if err != nil {
			<-in.clients.room
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if in.last.Load() && !taken { // all that the kernel had accepted is taken: a close resets what it still has
					l.Close()
					in.post(at, func() { in.listening = false })
					return
				} else if in.last.Load() {
					taken = false
					l.SetDeadline(time.Now().Add(lastLook))
				}
				continue
			}
			in.post(at, func() { in.note("accept failed", "error", err) })
			time.Sleep(acceptRetry) // out of descriptors: others must end first
			continue
		}
		taken = true
		c.await(in)
		in.post(at, func() { in.addClient(c) })
		go c.read(in)
	}
}

func (in *Ingress) addClient(c *client) {
	c.usedAt, c.acceptedAt = in.now, in.now
	in.counts.accepted++
	c.surplus = in.clients.full(in, c)
	in.clients.all[c] = struct{}{}
	if c.surplus && in.clients.open()+in.clients.elsewhere > in.clients.most+in.clients.surplus { // refused unread, but in words
		in.note("client turned away: too many connections", "open", in.clients.open())
		in.counts.refused[refuseNoCapacity]++
		c.decideClose(closeNoCapacity)
		in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), true)
	}
}

// read parses what the client sends, and posts each command with the time of its last byte. Its
// deadline runs while a command is unfinished, and until there was one at all.
func (c *client) read(in *Ingress) {
	parked := false
	defer func() {
		if !parked {
			c.buf.free()
		}
	}()
	left := len(c.buf.b) > 0 // by whoever read this connection before
	emptyAt := in.clock.Now()
	for {
		if c.stopped() {
			parked = true
			in.post(in.clock.Now(), func() { in.park(c) })
			return
		}
		var err error
		at := in.clock.Now()
		if !left {
			room := c.buf.room()
			if room == nil {
				c.refuse(in, in.clock.Now(), errNoRoom)
				return
			}
			var n int
			began := in.clock.Now()
			n, err = c.conn.Read(room)
			c.buf.grew(n)
			if at = in.clock.Now(); at-began > atOnceS { // it waited: what it got has come just now
				emptyAt = at
			}
		}
		left = false
		if at-emptyAt > behindS { // what was there may have come at any time since this reader was last up to date
			at = emptyAt
		}
		used, ok := c.commands(in, at)
		if !ok {
			return
		}
		unfinished := used < len(c.buf.b)
		c.receiving.Store(unfinished)
		c.buf.drop(used)
		switch {
		case c.stopped() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(in, at, errors.New("no whole command in time"))
			return
		case err != nil:
			in.post(at, func() { in.clientGone(c, closeByClient) })
			return
		case unfinished && (used > 0 || !c.timed):
			c.timed = true
			c.conn.SetReadDeadline(time.Now().Add(in.clients.commandMost))
		case !unfinished && c.timed:
			c.timed = false
			c.conn.SetReadDeadline(time.Time{})
		}
	}
}

// commands posts the whole commands that have come and returns their length, or false when the
// connection has ended or is about to.
func (c *client) commands(in *Ingress, at float64) (used int, ok bool) {
	var space [8][]byte
	for used < len(c.buf.b) && !c.stopped() {
		args, size, bad := parseCommand(c.buf.b[used:], space[:0])
		if bad != nil {
			c.refuse(in, at, fmt.Errorf("Protocol error: %w", bad))
			return 0, false
		}
		if size == 0 {
			break
		}
		select {
		case c.permits <- struct{}{}:
		case <-c.stop:
			return used, true
		case <-c.quit:
			return 0, false
		}
		if bad := c.command(in, at, args); bad != nil {
			if c.errors++; c.errors == errorsMost {
				<-c.permits // the last answer takes none
				c.refuse(in, at, bad)
				return 0, false
			}
			answer := errorOf(bad)
			in.post(at, func() { in.answerAtOnce(c, answer, false) })
		}
		used += size
	}
	return used, true
}

func errorOf(bad error) []byte { return redcon.AppendError(nil, "ERR "+bad.Error()) }

// refuse answers what can't be taken and ends the connection. What still comes is read for a while:
// closing on unread bytes would reset the connection and might take the answer with it.
func (c *client) refuse(in *Ingress, at float64, bad error) {
	answer := errorOf(bad)
	c.buf.free()
	in.post(at, func() {
		c.decideClose(closeBadInput)
		in.answerAtOnce(c, answer, true)
	})
	c.conn.SetReadDeadline(time.Now().Add(lingerMost))
	n, err := io.Copy(io.Discard, io.LimitReader(c.conn, lingerBytes))
	gone := n < lingerBytes && !errors.Is(err, os.ErrDeadlineExceeded)
	in.post(in.clock.Now(), func() {
		if c.lingered = true; gone || c.idle() {
			in.clientGone(c, closeBadInput)
		} // else once the answers before the last one are written
	})
}

// command posts one whole command, or returns what is wrong with it, worded for the client.
func (c *client) command(in *Ingress, at float64, args [][]byte) error {
	switch {
	case len(args) == 0:
		return errors.New("empty command")
	case bytes.EqualFold(args[0], []byte("CALL.GET")), bytes.EqualFold(args[0], []byte("CALL.POST")):
		call, err := in.words.Load().parseCall(args)
		if err != nil {
			return err
		}
		if !in.input.take(call.size) {
			in.post(at, func() {
				in.note("request refused: too much input waits", "bytes", call.size)
				in.counts.refused[refuseNoMemory]++
				in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfterS), false)
			})
			return nil
		}
		call.keep()
		in.post(at, func() { in.take(c, call, at) })
	case bytes.EqualFold(args[0], []byte("PING")):
		in.post(at, func() { in.ping(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}

// answerAtOnce answers a command that never reaches the module.
func (in *Ingress) answerAtOnce(c *client, answer []byte, last bool) {
	if c.closed || c.ending {
		return
	}
	c.spoke = true
	c.slots = append(c.slots, &slot{answer: answer, last: last})
	in.flush(c)
}

// flush writes the answers that are due, in the order of their commands.
func (in *Ingress) flush(c *client) {
	if c.closed {
		return
	}
	n, bytes := 0, len(c.pending)
	for n < len(c.slots) && c.slots[n].answer != nil && !c.ending {
		c.pending = append(c.pending, c.slots[n].answer...)
		c.ending = c.slots[n].last
		n++
		select {
		case <-c.permits:
		default: // the last answer took none
		}
	}
	if n == 0 {
		in.lend(c)
		return
	}
	clear(c.slots[:n])
	c.slots = c.slots[:copy(c.slots, c.slots[n:])]
	c.usedAt = in.now
	if !c.writing {
		in.push(c)
	} else if !in.hold(c, len(c.pending)-bytes) || len(c.pending) > pendingMost {
		in.note("client dropped: it does not read its answers")
		in.clientGone(c, closeSlowReader)
	}
}

// hold takes from the budget for what the client has not read.
func (in *Ingress) hold(c *client, n int) bool {
	if !in.input.take(n) {
		return false
	}
	c.held += n
	return true
}

// push writes what is pending: at once what the socket takes, the rest on a goroutine of its own, which
// ends with its deadline or the connection.
func (in *Ingress) push(c *client) {
	in.input.give(c.held)
	c.held = 0
	n, err := tryWrite(c.raw, c.pending)
	if err != nil {
		in.clientGone(c, closeWriteFailed)
		return
	}
	rest := c.pending[n:]
	if len(rest) == 0 {
		if c.pending = c.pending[:0]; cap(c.pending) > 4*readSize {
			c.pending = nil
		}
		in.written(c)
		return
	}
	if !in.hold(c, len(rest)) {
		in.note("client dropped: too many answers are unread")
		in.clientGone(c, closeNoMemory)
		return
	}
	c.writing, c.pending = true, nil
	go func() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteS))
		_, err := c.conn.Write(rest)
		c.conn.SetWriteDeadline(time.Time{}) // else it would end a write that comes later
		in.post(in.clock.Now(), func() {
			c.writing = false
			switch {
			case c.closed:
			case err != nil:
				in.clientGone(c, closeSlowReader)
			default:
				in.push(c)
			}
		})
	}()
}

// written ends a connection on which nothing more is owed, if it is to end.
func (in *Ingress) written(c *client) {
	switch {
	case c.ending && !c.lingered:
		c.conn.CloseWrite()
	case c.ending:
		in.closeClient(c, in.drainReason())
	case c.parked && len(c.slots) == 0:
		in.settle(c)
	case c.asked && in.drain.Retire(in.now) && c.answered():
		in.closeGracefully(c, closeDrained)
	case in.leaving && in.heirs.stage == none && c.answered(): // else what waits there is served before
		in.closeGracefully(c, closeShutdown)
	default:
		in.lend(c)
	}
}

// halt has the connection's reader stop between two commands. What it has read and not used, and what waits in the
// socket, is left for whoever settles the connection.
func (c *client) halt() {
	if c.halted || c.closed {
		return
	}
	c.halted = true
	close(c.stop)
	c.conn.SetReadDeadline(time.Unix(1, 0)) // the reader looks at stop after each deadline of its own
}

func (c *client) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// park takes over the connection of a reader that has stopped.
func (in *Ingress) park(c *client) {
	if c.closed {
		c.buf.free()
		return
	}
	if c.parked = true; c.idle() {
		in.settle(c)
	} // else once its answers are written
}

// settle passes on or ends a parked connection on which nothing is open. Its client hears the end first, and what still comes is read and dropped for a
// while: a close over bytes that nobody has read would reset the connection, and might take the last answer with it.
func (in *Ingress) settle(c *client) {
	if c.passing || in.pass(c) {
		return
	}
	if in.heirs.stage != handed && !c.ending { // nobody takes it over any more: what lies unread is owed an answer here
		in.unhalt(c)
		return
	}
	c.decideClose(in.drainReason())
	c.ending, c.lingered = true, true
	c.conn.CloseWrite()
	go func() {
		c.conn.SetReadDeadline(time.Now().Add(lingerMost / 2))
		io.Copy(io.Discard, io.LimitReader(c.conn, lingerBytes))
		in.post(in.clock.Now(), func() { in.closeClient(c, c.closeReason) })
	}()
}

// gone tells that the client has ended its side of the connection, whatever of its bytes nobody has read yet. Its reader does not read while
// the pipeline is full, once it was stopped, and while an error is its last answer.
func (c *client) gone() bool { return c.closed || hungUp(c.raw) }

// hungUp is gone, of any goroutine.
func hungUp(raw syscall.RawConn) (gone bool) {
	var one [1]byte
	bad := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			gone = true
		default: // bytes before the end
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			gone = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
		}
	})
	return gone || bad != nil
}

// left tells that a request has waited and its client has gone meanwhile; nothing may be sent for it then. The module hears of it when
// its event method has returned.
func (in *Ingress) left(r *request) bool {
	c := r.client
	if in.now-r.since < leftLook || !c.gone() {
		return false
	}
	in.soon = append(in.soon, func() { in.clientGone(c, closeByClient) })
	return true
}

// clientGone takes a client's hang-up: nothing is owed for what it had asked.
func (in *Ingress) clientGone(c *client, reason closeReason) {
	if c.closed {
		return
	}
	slots := c.slots
	in.closeClient(c, reason)
	for _, s := range slots {
		if s.req != nil && !s.req.over {
			in.end(s.req)
			in.gate.Gone(in.now, s.req.ID)
		}
	}
}

// decideClose notes why the connection is to end; the first reason stands.
func (c *client) decideClose(reason closeReason) {
	if c.closeReason == closeUnset {
		c.closeReason = reason
	}
}

// drainReason is the reason of an end that a drain or a shutdown brings.
func (in *Ingress) drainReason() closeReason {
	if in.leaving {
		return closeShutdown
	}
	return closeDrained
}

func (in *Ingress) closeClient(c *client, reason closeReason) {
	if c.closed {
		return
	}
	c.decideClose(reason)
	in.counts.closed[c.closeReason]++
	in.checkClose(c)
	if c.askedAt > 0 { // else a front's PING, of which there are many
		in.logConnection("connection closed", c, "reason", c.closeReason, "ended_by_us_first", c.ending)
	}
	c.closed = true
	in.input.give(c.held)
	c.slots, c.pending, c.held = nil, nil, 0
	close(c.quit)
	if c.parked {
		c.buf.free()
	}
	c.conn.Close()
	delete(in.clients.all, c)
	<-in.clients.room
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
