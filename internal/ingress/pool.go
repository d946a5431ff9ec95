package ingress

import (
	"bytes"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderspread/internal/roster"
	"eiderspread/policy"
)

const (
	// A backend closes what idles for connIdleS; a request written after that ends as a reset, so
	// connections are retired at this share of it.
	idleShare = 0.5
	// A second copy of an answer comes right behind it. What has rested for so long is taken first, so
	// that the copy is seen before the next command goes out.
	restS = 0.005
	// An answer with the same bytes as one of the last on its connection, no later than this, is taken for its copy. Values of requests
	// differ, as do the load reports beside them. An answer that is no value may well be the same twice: its connection rests for so long,
	// so that a copy finds no other command that it would tell of.
	copyS = 0.1
	// answers so far back may be copied
	copiesOf = 4
)

// How far the command of an attempt has gone out.
const (
	partly int32 = iota // its last byte has not
	ending              // a goroutine writes its last byte
	wholly
	givenUp // its last byte never will
)

var (
	hashSeed = maphash.MakeSeed()
	errSlow  = errors.New("too much waits for the other process")
	errCopy  = errors.New("a copy of the answer before it")
)

// backend is a backend of the list and its connections.
type backend struct {
	target
	state   policy.State
	idle    []*backConn // least idle last
	waiting []*attempt  // for a dial, oldest first
	dials   int         // under way

	writtenAt float64 // when it was last sent to
	toldAt    float64 // when it was told to drain or to be gone; 0: it serves
}

// backendSet holds the backends by id, those of the list alone. Loop only.
type backendSet struct {
	byID  map[string]*backend
	open  int // connections, dials among them
	most  int
	whole int // what most is while no other process serves for this ingress
	idleS float64
	copyS float64 // see there; never changes
	dial  func(addr string) (net.Conn, error)
	ended func() // tests are told of the last byte of a command that did not go out at once, before anybody else
}

func (s *backendSet) init(cfg Config) {
	s.byID = map[string]*backend{}
	s.whole = max(8, cfg.free()*3/8)
	s.most = s.whole
	s.copyS = copyS
	s.ended = func() {}
	s.idleS = cfg.Settings.ConnIdleS * idleShare
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	s.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
	if cfg.Dial != nil {
		s.dial = func(addr string) (net.Conn, error) { return cfg.Dial(addr, timeout) }
	}
}

// ready tells whether a request could be sent anywhere.
func (s *backendSet) ready() bool {
	for _, be := range s.byID {
		if be.state == policy.Up {
			return true
		}
	}
	return false
}

// apply takes in a list or a change of it. A send that waits for a dial to a backend that may get
// nothing new is given back to the module at once.
func (s *backendSet) apply(in *Ingress, t targets, toldAt float64) {
	listed := map[string]bool{}
	for _, e := range t.Servers {
		listed[e.ID] = true
		be := s.byID[e.ID]
		if be == nil {
			be = &backend{}
			s.byID[e.ID] = be
		}
		moved := be.Addr != e.Addr || be.StartedMS != e.StartedMS
		be.target, be.state = e, roster.States[e.State]
		if be.state != policy.Up && be.toldAt == 0 {
			be.toldAt = toldAt
			in.checkDrain(be, toldAt)
		} else if be.state == policy.Up {
			be.toldAt = 0
		}
		if moved || be.state != policy.Up {
			s.retire(in, be)
		}
	}
	for id, be := range s.byID {
		if t.Full && !listed[id] {
			be.state = policy.Removed
			in.checkDrain(be, toldAt)
			s.retire(in, be)
		}
		if be.state == policy.Removed {
			delete(s.byID, id) // its attempts keep it until they end
		}
	}
}

// retire closes a backend's idle connections and, unless it is up, ends what waits for a dial.
func (s *backendSet) retire(in *Ingress, be *backend) {
	for len(be.idle) > 0 {
		in.closeConn(be.idle[len(be.idle)-1])
	}
	if be.state == policy.Up {
		return
	}
	for len(be.waiting) > 0 {
		in.notSent(be.waiting[0], unsentBackendState)
	}
}

// sweep retires what has idled for long.
func (s *backendSet) sweep(in *Ingress) {
	for _, be := range s.byID {
		for len(be.idle) > 0 && in.now-be.idle[0].idleAt > s.idleS {
			in.closeConn(be.idle[0])
		}
	}
}

// evictIdle closes the idle connection that was used longest ago.
func (in *Ingress) evictIdle() bool {
	var oldest *backConn
	for _, be := range in.backends.byID {
		if len(be.idle) > 0 && (oldest == nil || be.idle[0].idleAt < oldest.idleAt) {
			oldest = be.idle[0]
		}
	}
	if oldest != nil {
		in.closeConn(oldest)
	}
	return oldest != nil
}

// backConn is a connection to a backend. It carries one attempt at a time.
type backConn struct {
	be      *backend
	at      target // as the backend stood when it was dialled
	conn    *net.TCPConn
	raw     syscall.RawConn
	busy    atomic.Bool  // a reply is expected
	dead    atomic.Bool  // not to be used again
	written atomic.Int32 // how far the attempt's command is
	writing sync.Mutex   // held while a write that the loop does not wait for goes on

	// Loop only.
	attempt *attempt
	idleAt  float64
	restS   float64 // so long it is left alone from then on
	closed  bool
}

// neverWhole sees to it that the attempt's command never goes out whole; false if it may have.
func (c *backConn) neverWhole() bool {
	return c.written.CompareAndSwap(partly, givenUp) || c.written.Load() == givenUp
}

// takeIdle takes a connection out of the pool, nil if there is none of use: the one used last of those
// that have rested, else the one that has rested longest, if it served. One on which bytes wait that nobody asked for,
// or that has ended, though its reader has not come to it yet, must not get a command.
func (in *Ingress) takeIdle(be *backend) *backConn {
	for len(be.idle) > 0 {
		i := len(be.idle) - 1
		for i >= 0 && in.now-be.idle[i].idleAt < be.idle[i].restS {
			i--
		}
		if i < 0 {
			i = slices.IndexFunc(be.idle, func(c *backConn) bool { return c.restS <= restS })
		}
		if i < 0 {
			return nil
		}
		c := be.idle[i]
		if c.dead.Load() || in.now-c.idleAt > in.backends.idleS || !silent(c.raw) {
			in.closeConn(c)
			continue
		}
		be.idle = slices.Delete(be.idle, i, i+1)
		return c
	}
	return nil
}

// silent tells that a connection is open and that no byte waits on it.
func silent(raw syscall.RawConn) bool {
	var one [1]byte
	err := error(nil)
	closed := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && (err == syscall.EAGAIN || err == syscall.EINTR)
}

// dialFor has the attempt wait for a new connection; false if there may be no more of them.
func (in *Ingress) dialFor(a *attempt) bool {
	if in.backends.open >= in.backends.most && !in.evictIdle() {
		return false
	}
	a.be.waiting = append(a.be.waiting, a)
	a.be.dials++
	in.backends.open++
	go in.dial(a.be, a.be.target)
	return true
}

// dial makes one connection. Its goroutine ends with the dial's time-out at the latest.
func (in *Ingress) dial(be *backend, at target) {
	conn, err := in.backends.dial(at.Addr)
	var c *backConn
	if err == nil {
		c = &backConn{be: be, at: at, conn: conn.(*net.TCPConn)}
		if c.raw, err = c.conn.SyscallConn(); err != nil {
			conn.Close()
			c = nil
		}
	}
	in.post(in.clock.Now(), func() { in.dialed(be, c, err) })
}

// dialed gives a new connection to the attempt that has waited longest, or takes its failure.
func (in *Ingress) dialed(be *backend, c *backConn, err error) {
	be.dials--
	failed := policy.ConnectFailed
	if c == nil {
		in.backends.open--
		in.note("dial failed", "backend", be.ID, "error", err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			failed = policy.Moot // for want of something here: it tells nothing of the backend
		}
	} else {
		go c.read(in)
		if in.usable(c) {
			in.give(c)
		} else {
			in.closeConn(c)
			if !c.dead.Load() || c.at.Addr != be.Addr {
				failed = policy.Moot
			}
		}
	}
	for len(be.waiting) > be.dials {
		if c := in.takeIdle(be); c != nil {
			in.give(c)
			continue
		}
		in.finish(be.waiting[0], result{status: failed}, in.now)
	}
}

// usable tells that the connection may carry another command: its backend still stands where it was
// dialled and may be sent to.
func (in *Ingress) usable(c *backConn) bool {
	return !c.closed && !c.dead.Load() && c.be.state == policy.Up && c.at.Addr == c.be.Addr &&
		c.at.StartedMS == c.be.StartedMS
}

// give puts a connection to use for what waits, else into the pool.
func (in *Ingress) give(c *backConn) {
	be := c.be
	for len(be.waiting) > 0 {
		a := be.waiting[0]
		be.waiting = be.waiting[1:]
		if reason, bad := in.unsendable(a); bad {
			in.notSent(a, reason)
			continue
		}
		if in.write(c, a) {
			return
		}
	}
	in.release(c, restS)
}

// release puts a connection into the pool. It does not go to what waits: that has a dial under way,
// and a second copy of the answer may be right behind.
func (in *Ingress) release(c *backConn, rest float64) {
	c.attempt = nil
	if !in.usable(c) {
		in.closeConn(c)
		return
	}
	c.idleAt, c.restS = in.now, rest
	c.be.idle = append(c.be.idle, c)
}

// write sends the command, if it may be sent by now: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection. Nothing else writes to a backend.
func (in *Ingress) write(c *backConn, a *attempt) bool {
	if !in.mayWrite(a) {
		return false
	}
	in.bytes = in.command(in.bytes[:0], a)
	b := in.bytes
	if cap(in.bytes) > 4*readSize {
		in.bytes = nil
	}
	a.conn, c.attempt = c, a
	c.written.Store(partly)
	c.busy.Store(true)
	n, err := tryWrite(c.raw, b)
	switch {
	case err != nil:
		in.later(a, policy.ConnectFailed)
	case n == len(b):
		c.written.Store(wholly)
	default:
		rest, ended := bytes.Clone(b[n:]), in.backends.ended
		last, client := a.lastMoment, syscall.RawConn(nil)
		if a.req != nil {
			client = a.req.client.raw
		}
		inTime := func() bool { return in.clock.Now() <= last && (client == nil || !hungUp(client)) }
		c.writing.Lock() // only its own reader takes it besides, for a moment at its end
		go func() {
			defer c.writing.Unlock()
			if !c.finishWrite(c.conn, rest, inTime, ended) {
				c.conn.Close() // its reader reports it
			}
		}()
	}
	in.wrote(a)
	return true
}

// finishWrite writes the rest of a command, and tells whether all of it is out. The last byte goes only once it is known to everybody that
// it may have: an attempt that ends in between would else be taken for one that never ran, and its request be sent again. A command whose last
// moment has passed meanwhile never goes out whole: a backend begins it with its last byte.
func (c *backConn) finishWrite(to io.Writer, rest []byte, inTime func() bool, ended func()) bool {
	last := len(rest) - 1
	if _, err := to.Write(rest[:last]); err != nil || !inTime() || !c.written.CompareAndSwap(partly, ending) {
		return false
	}
	if _, err := to.Write(rest[last:]); err != nil {
		c.written.Store(partly)
		return false
	}
	ended()
	c.written.Store(wholly)
	return true
}

func (in *Ingress) closeConn(c *backConn) {
	if c.closed {
		return
	}
	c.closed = true
	c.dead.Store(true)
	c.conn.Close()
	in.backends.open--
	c.be.idle = slices.DeleteFunc(c.be.idle, func(i *backConn) bool { return i == c })
}

// read takes the replies of one connection and notices its end, also while it idles.
func (c *backConn) read(in *Ingress) {
	buf := buffer{budget: &in.input}
	defer buf.free()
	var last copies
	for {
		room := buf.room()
		if room == nil {
			c.spoilt(in, in.clock.Now(), nil, errNoRoom)
			break
		}
		n, err := c.conn.Read(room)
		at := in.clock.Now()
		if n > 0 && !c.busy.Load() {
			in.post(at, func() { in.note("bytes that nobody asked for", "backend", c.be.ID, "bytes", n) })
			break // what follows can't be told apart
		}
		buf.grew(n)
		if start, _, _, large := largeHead(buf.b); large {
			enough := len(buf.b) >= start+largeFirst
			if !enough && err != nil {
				break
			}
			if enough && last.has(buf.b[:start+largeFirst], at, in.backends.copyS) {
				c.spoilt(in, at, buf.b, errCopy)
				break
			}
			if enough && !c.pass(in, &buf, at) {
				break
			}
			continue
		}
		size, bad := frame(buf.b)
		if bad == nil && size == 0 && len(buf.b) > maxFrame {
			bad = errOversized
		}
		if bad != nil {
			c.spoilt(in, at, buf.b, bad)
			break
		}
		if size > 0 {
			res := parseReply(buf.b[:size])
			if res.spoilt != "" {
				c.spoilt(in, at, buf.b, errors.New(res.spoilt))
				break
			}
			// Bytes of a copy that were on their way when the next command was written are told by this.
			if res.status == policy.OK && last.has(buf.b[:size], at, in.backends.copyS) {
				c.spoilt(in, at, buf.b, errCopy)
				break
			}
			stray := len(buf.b) > size
			buf.drop(len(buf.b))
			if stray {
				c.dead.Store(true)
			}
			c.busy.Store(false)
			in.post(at, func() { in.replied(c, res, at) })
			if stray {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.dead.Store(true)
	c.conn.Close()
	c.writing.Lock() // whether the command was wholly written decides what its end means
	c.writing.Unlock()
	at := in.clock.Now()
	in.post(at, func() { in.lost(c, at) })
}

// copies knows the last values that came on a connection.
type copies struct {
	last [copiesOf]struct {
		hash uint64
		at   float64
	}
	next int
}

// has tells that a value, or the start of a large one, came before within so many seconds; if not it is noted.
func (l *copies) has(b []byte, at, within float64) bool {
	hash := maphash.Bytes(hashSeed, b)
	for _, x := range l.last {
		if x.hash == hash && at-x.at < within {
			return true
		}
	}
	l.last[l.next].hash, l.last[l.next].at = hash, at
	l.next = (l.next + 1) % copiesOf
	return false
}

// spoilt ends the connection's attempt for what came in place of an answer.
func (c *backConn) spoilt(in *Ingress, at float64, got []byte, why error) {
	c.dead.Store(true)
	start := string(got[:min(len(got), 40)])
	in.post(at, func() {
		in.note("bad reply", "backend", c.be.ID, "why", why, "bytes", start)
		in.replied(c, spoilt(why.Error()), at)
	})
}

// replied ends the attempt that the connection carries.
func (in *Ingress) replied(c *backConn, res result, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if res.status == policy.OK && res.probe != (a.req == nil) {
		c.dead.Store(true)
		in.note("bad reply", "backend", c.be.ID, "why", "a reply to something else")
		res = spoilt("a reply to something else")
	}
	if c.written.Load() == wholly && !c.dead.Load() {
		a.conn = nil
		rest := restS
		if res.status != policy.OK {
			rest = max(rest, in.backends.copyS)
		}
		in.release(c, rest)
	}
	in.finish(a, res, at)
}

// lost takes the end of a connection.
func (in *Ingress) lost(c *backConn, at float64) {
	if a := c.attempt; a != nil && !a.done {
		status := policy.Reset
		if c.neverWhole() {
			status = policy.ConnectFailed
		}
		in.finish(a, result{status: status}, at)
	}
	in.closeConn(c)
}
