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

	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

const (
	// A backend closes what idles for connIdleS; a request written after that ends as a reset, so
	// connections are retired at this share of it.
	idleRetireFraction = 0.5
	// A second copy of an answer comes right behind it. What has rested for so long is taken first, so
	// that the copy is seen before the next command goes out.
	reuseDelayS = 0.005
	// An answer with the same bytes as one of the last on its connection, no later than this, is taken for its copy. Values of requests
	// differ, as do the load reports beside them. An answer that is no value may well be the same twice: its connection rests for so long,
	// so that a copy finds no other command that it would tell of.
	duplicateWindowS = 0.1
	// answers so far back may be copied
	duplicateHistory = 4
)

// How far the command of an attempt has gone out.
const (
	writePartial  int32 = iota // its last byte has not
	writeLastByte              // a goroutine writes its last byte
	writeComplete
	writeAbandoned // its last byte never will
)

var (
	hashSeed           = maphash.MakeSeed()
	errPeerProcessSlow = errors.New("too much waits for the other process")
	errDuplicateReply  = errors.New("a copy of the answer before it")
)

// backend is a backend of the list and its connections.
type backend struct {
	target
	state           policy.BackendState
	idleConns       []*backendConn // least idle last
	waitingAttempts []*attempt     // for a dial, oldest first
	pendingDials    int            // under way

	lastWriteAt     float64 // when it was last sent to
	drainNotifiedAt float64 // when it was told to drain or to be gone; 0: it serves
}

// backendPool holds the backends by id, those of the list alone. Loop only.
type backendPool struct {
	byID             map[string]*backend
	openConns        int // connections, dials among them
	maxConns         int
	maxConnsAlone    int // what most is while no other process serves for this ingress
	idleTimeoutS     float64
	duplicateWindowS float64 // see there; never changes
	dial             func(addr string) (net.Conn, error)
	onLastByte       func() // tests are told of the last byte of a command that did not go out at once, before anybody else
}

func (s *backendPool) init(cfg Config) {
	s.byID = map[string]*backend{}
	s.maxConnsAlone = max(8, cfg.freeDescriptors()*3/8)
	s.maxConns = s.maxConnsAlone
	s.duplicateWindowS = duplicateWindowS
	s.onLastByte = func() {}
	s.idleTimeoutS = cfg.Settings.ConnIdleS * idleRetireFraction
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	s.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
	if cfg.Dial != nil {
		s.dial = func(addr string) (net.Conn, error) { return cfg.Dial(addr, timeout) }
	}
}

// anyUp tells whether a request could be sent anywhere.
func (s *backendPool) anyUp() bool {
	for _, be := range s.byID {
		if be.state == policy.Up {
			return true
		}
	}
	return false
}

// applyList takes in a list or a change of it. A send that waits for a dial to a backend that may get
// nothing new is given back to the module at once.
func (s *backendPool) applyList(in *Ingress, t targets, notifiedAt float64) {
	listed := map[string]bool{}
	for _, e := range t.Endpoints {
		listed[e.ID] = true
		be := s.byID[e.ID]
		if be == nil {
			be = &backend{}
			s.byID[e.ID] = be
		}
		moved := be.Addr != e.Addr || be.StartedMS != e.StartedMS
		be.target, be.state = e, discovery.StateByName[e.State]
		if be.state != policy.Up && be.drainNotifiedAt == 0 {
			be.drainNotifiedAt = notifiedAt
			in.checkBackendDrain(be, notifiedAt)
		} else if be.state == policy.Up {
			be.drainNotifiedAt = 0
		}
		if moved || be.state != policy.Up {
			s.retireConns(in, be)
		}
	}
	for id, be := range s.byID {
		if t.Full && !listed[id] {
			be.state = policy.Removed
			in.checkBackendDrain(be, notifiedAt)
			s.retireConns(in, be)
		}
		if be.state == policy.Removed {
			delete(s.byID, id) // its attempts keep it until they end
		}
	}
}

// retireConns closes a backend's idle connections and, unless it is up, ends what waits for a dial.
func (s *backendPool) retireConns(in *Ingress, be *backend) {
	for len(be.idleConns) > 0 {
		in.closeBackendConn(be.idleConns[len(be.idleConns)-1])
	}
	if be.state == policy.Up {
		return
	}
	for len(be.waitingAttempts) > 0 {
		in.finishUnsent(be.waitingAttempts[0], unsentBackendState)
	}
}

// sweep retires what has idled for long.
func (s *backendPool) sweep(in *Ingress) {
	for _, be := range s.byID {
		for len(be.idleConns) > 0 && in.now-be.idleConns[0].idleSince > s.idleTimeoutS {
			in.closeBackendConn(be.idleConns[0])
		}
	}
}

// evictIdleConn closes the idle connection that was used longest ago.
func (in *Ingress) evictIdleConn() bool {
	var oldest *backendConn
	for _, be := range in.backends.byID {
		if len(be.idleConns) > 0 && (oldest == nil || be.idleConns[0].idleSince < oldest.idleSince) {
			oldest = be.idleConns[0]
		}
	}
	if oldest != nil {
		in.closeBackendConn(oldest)
	}
	return oldest != nil
}

// backendConn is a connection to a backend. It carries one attempt at a time.
type backendConn struct {
	backend       *backend
	dialedTarget  target // as the backend stood when it was dialled
	conn          *net.TCPConn
	rawConn       syscall.RawConn
	replyExpected atomic.Bool  // a reply is expected
	unusable      atomic.Bool  // not to be used again
	writeProgress atomic.Int32 // how far the attempt's command is
	writeMu       sync.Mutex   // held while a write that the loop does not wait for goes on

	// Loop only.
	attempt     *attempt
	idleSince   float64
	reuseDelayS float64 // so long it is left alone from then on
	closed      bool
}

// abandonWrite sees to it that the attempt's command never goes out whole; false if it may have.
func (c *backendConn) abandonWrite() bool {
	return c.writeProgress.CompareAndSwap(writePartial, writeAbandoned) || c.writeProgress.Load() == writeAbandoned
}

// takeIdleConn takes a connection out of the pool, nil if there is none of use: the one used last of those
// that have rested, else the one that has rested longest, if it served. One on which bytes wait that nobody asked for,
// or that has ended, though its reader has not come to it yet, must not get a command.
func (in *Ingress) takeIdleConn(be *backend) *backendConn {
	for len(be.idleConns) > 0 {
		i := len(be.idleConns) - 1
		for i >= 0 && in.now-be.idleConns[i].idleSince < be.idleConns[i].reuseDelayS {
			i--
		}
		if i < 0 {
			i = slices.IndexFunc(be.idleConns, func(c *backendConn) bool { return c.reuseDelayS <= reuseDelayS })
		}
		if i < 0 {
			return nil
		}
		c := be.idleConns[i]
		if c.unusable.Load() || in.now-c.idleSince > in.backends.idleTimeoutS || !openAndSilent(c.rawConn) {
			in.closeBackendConn(c)
			continue
		}
		be.idleConns = slices.Delete(be.idleConns, i, i+1)
		return c
	}
	return nil
}

// openAndSilent tells that a connection is open and that no byte waits on it.
func openAndSilent(raw syscall.RawConn) bool {
	var one [1]byte
	err := error(nil)
	closed := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && (err == syscall.EAGAIN || err == syscall.EINTR)
}

// dialForAttempt has the attempt wait for a new connection; false if there may be no more of them.
func (in *Ingress) dialForAttempt(a *attempt) bool {
	if in.backends.openConns >= in.backends.maxConns && !in.evictIdleConn() {
		return false
	}
	a.backend.waitingAttempts = append(a.backend.waitingAttempts, a)
	a.backend.pendingDials++
	in.backends.openConns++
	go in.dialBackend(a.backend, a.backend.target)
	return true
}

// dialBackend makes one connection. Its goroutine ends with the dial's time-out at the latest.
func (in *Ingress) dialBackend(be *backend, at target) {
	conn, err := in.backends.dial(at.Addr)
	var c *backendConn
	if err == nil {
		c = &backendConn{backend: be, dialedTarget: at, conn: conn.(*net.TCPConn)}
		if c.rawConn, err = c.conn.SyscallConn(); err != nil {
			conn.Close()
			c = nil
		}
	}
	in.post(in.clock.Now(), func() { in.handleDialed(be, c, err) })
}

// handleDialed gives a new connection to the attempt that has waited longest, or takes its failure.
func (in *Ingress) handleDialed(be *backend, c *backendConn, err error) {
	be.pendingDials--
	failed := policy.ConnectFailed
	if c == nil {
		in.backends.openConns--
		in.logFault("dial failed", "backend", be.ID, "error", err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			failed = policy.NotSent // for want of something here: it tells nothing of the backend
		}
	} else {
		go c.readLoop(in)
		if in.usable(c) {
			in.assignConn(c)
		} else {
			in.closeBackendConn(c)
			if !c.unusable.Load() || c.dialedTarget.Addr != be.Addr {
				failed = policy.NotSent
			}
		}
	}
	for len(be.waitingAttempts) > be.pendingDials {
		if c := in.takeIdleConn(be); c != nil {
			in.assignConn(c)
			continue
		}
		in.finishAttempt(be.waitingAttempts[0], attemptResult{status: failed}, in.now)
	}
}

// usable tells that the connection may carry another command: its backend still stands where it was
// dialled and may be sent to.
func (in *Ingress) usable(c *backendConn) bool {
	return !c.closed && !c.unusable.Load() && c.backend.state == policy.Up && c.dialedTarget.Addr == c.backend.Addr &&
		c.dialedTarget.StartedMS == c.backend.StartedMS
}

// assignConn puts a connection to use for what waits, else into the pool.
func (in *Ingress) assignConn(c *backendConn) {
	be := c.backend
	for len(be.waitingAttempts) > 0 {
		a := be.waitingAttempts[0]
		be.waitingAttempts = be.waitingAttempts[1:]
		if reason, bad := in.unsentReasonOf(a); bad {
			in.finishUnsent(a, reason)
			continue
		}
		if in.writeAttempt(c, a) {
			return
		}
	}
	in.poolConn(c, reuseDelayS)
}

// poolConn puts a connection into the pool. It does not go to what waits: that has a dial under way,
// and a second copy of the answer may be right behind.
func (in *Ingress) poolConn(c *backendConn, reuseDelay float64) {
	c.attempt = nil
	if !in.usable(c) {
		in.closeBackendConn(c)
		return
	}
	c.idleSince, c.reuseDelayS = in.now, reuseDelay
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// writeAttempt sends the command, if it may be sent by now: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection. Nothing else writes to a backend.
func (in *Ingress) writeAttempt(c *backendConn, a *attempt) bool {
	if !in.authorizeWrite(a) {
		return false
	}
	in.writeBuffer = in.appendCommand(in.writeBuffer[:0], a)
	b := in.writeBuffer
	if cap(in.writeBuffer) > 4*readBufferSize {
		in.writeBuffer = nil
	}
	a.conn, c.attempt = c, a
	c.writeProgress.Store(writePartial)
	c.replyExpected.Store(true)
	n, err := writeNonBlocking(c.rawConn, b)
	switch {
	case err != nil:
		in.finishDeferred(a, policy.ConnectFailed)
	case n == len(b):
		c.writeProgress.Store(writeComplete)
	default:
		rest, ended := bytes.Clone(b[n:]), in.backends.onLastByte
		last, client := a.latestStart, syscall.RawConn(nil)
		if a.request != nil {
			client = a.request.client.rawConn
		}
		inTime := func() bool { return in.clock.Now() <= last && (client == nil || !peerClosed(client)) }
		c.writeMu.Lock() // only its own reader takes it besides, for a moment at its end
		go func() {
			defer c.writeMu.Unlock()
			if !c.writeRest(c.conn, rest, inTime, ended) {
				c.conn.Close() // its reader reports it
			}
		}()
	}
	in.verifyWritten(a)
	return true
}

// writeRest writes the rest of a command, and tells whether all of it is out. The last byte goes only once it is known to everybody that
// it may have: an attempt that ends in between would else be taken for one that never ran, and its request be sent again. A command whose last
// moment has passed meanwhile never goes out whole: a backend begins it with its last byte.
func (c *backendConn) writeRest(to io.Writer, rest []byte, inTime func() bool, ended func()) bool {
	last := len(rest) - 1
	if _, err := to.Write(rest[:last]); err != nil || !inTime() || !c.writeProgress.CompareAndSwap(writePartial, writeLastByte) {
		return false
	}
	if _, err := to.Write(rest[last:]); err != nil {
		c.writeProgress.Store(writePartial)
		return false
	}
	ended()
	c.writeProgress.Store(writeComplete)
	return true
}

func (in *Ingress) closeBackendConn(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	c.unusable.Store(true)
	c.conn.Close()
	in.backends.openConns--
	c.backend.idleConns = slices.DeleteFunc(c.backend.idleConns, func(i *backendConn) bool { return i == c })
}

// readLoop takes the replies of one connection and notices its end, also while it idles.
func (c *backendConn) readLoop(in *Ingress) {
	buf := readBuffer{budget: &in.inputBudget}
	defer buf.release()
	var recent recentValues
	for {
		space := buf.space()
		if space == nil {
			c.failMalformed(in, in.clock.Now(), nil, errInputBudget)
			break
		}
		n, err := c.conn.Read(space)
		at := in.clock.Now()
		if n > 0 && !c.replyExpected.Load() {
			in.post(at, func() { in.logFault("bytes that nobody asked for", "backend", c.backend.ID, "bytes", n) })
			break // what follows can't be told apart
		}
		buf.advance(n)
		if start, _, _, large := parseLargeHeader(buf.data); large {
			enough := len(buf.data) >= start+minLargePrefix
			if !enough && err != nil {
				break
			}
			if enough && recent.seen(buf.data[:start+minLargePrefix], at, in.backends.duplicateWindowS) {
				c.failMalformed(in, at, buf.data, errDuplicateReply)
				break
			}
			if enough && !c.relayLargeValue(in, &buf, at) {
				break
			}
			continue
		}
		size, cause := frameLen(buf.data)
		if cause == nil && size == 0 && len(buf.data) > maxFrameBytes {
			cause = errOversized
		}
		if cause != nil {
			c.failMalformed(in, at, buf.data, cause)
			break
		}
		if size > 0 {
			res := parseReply(buf.data[:size])
			if res.malformed != "" {
				c.failMalformed(in, at, buf.data, errors.New(res.malformed))
				break
			}
			// Bytes of a copy that were on their way when the next command was written are told by this.
			if res.status == policy.OK && recent.seen(buf.data[:size], at, in.backends.duplicateWindowS) {
				c.failMalformed(in, at, buf.data, errDuplicateReply)
				break
			}
			stray := len(buf.data) > size
			buf.discard(len(buf.data))
			if stray {
				c.unusable.Store(true)
			}
			c.replyExpected.Store(false)
			in.post(at, func() { in.handleReply(c, res, at) })
			if stray {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.unusable.Store(true)
	c.conn.Close()
	c.writeMu.Lock() // whether the command was wholly written decides what its end means
	c.writeMu.Unlock()
	at := in.clock.Now()
	in.post(at, func() { in.handleConnLost(c, at) })
}

// recentValues knows the last values that came on a connection.
type recentValues struct {
	entries [duplicateHistory]struct {
		hash uint64
		at   float64
	}
	next int
}

// seen tells that a value, or the start of a large one, came before within so many seconds; if not it is noted.
func (l *recentValues) seen(b []byte, at, within float64) bool {
	hash := maphash.Bytes(hashSeed, b)
	for _, x := range l.entries {
		if x.hash == hash && at-x.at < within {
			return true
		}
	}
	l.entries[l.next].hash, l.entries[l.next].at = hash, at
	l.next = (l.next + 1) % duplicateHistory
	return false
}

// failMalformed ends the connection's attempt for what came in place of an answer.
func (c *backendConn) failMalformed(in *Ingress, at float64, got []byte, why error) {
	c.unusable.Store(true)
	start := string(got[:min(len(got), 40)])
	in.post(at, func() {
		in.logFault("bad reply", "backend", c.backend.ID, "why", why, "bytes", start)
		in.handleReply(c, malformedReply(why.Error()), at)
	})
}

// handleReply ends the attempt that the connection carries.
func (in *Ingress) handleReply(c *backendConn, res attemptResult, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if res.status == policy.OK && res.isProbe != (a.request == nil) {
		c.unusable.Store(true)
		in.logFault("bad reply", "backend", c.backend.ID, "why", "a reply to something else")
		res = malformedReply("a reply to something else")
	}
	if c.writeProgress.Load() == writeComplete && !c.unusable.Load() {
		a.conn = nil
		reuseDelay := reuseDelayS
		if res.status != policy.OK {
			reuseDelay = max(reuseDelay, in.backends.duplicateWindowS)
		}
		in.poolConn(c, reuseDelay)
	}
	in.finishAttempt(a, res, at)
}

// handleConnLost takes the end of a connection.
func (in *Ingress) handleConnLost(c *backendConn, at float64) {
	if a := c.attempt; a != nil && !a.done {
		status := policy.Reset
		if c.abandonWrite() {
			status = policy.ConnectFailed
		}
		in.finishAttempt(a, attemptResult{status: status}, at)
	}
	in.closeBackendConn(c)
}
