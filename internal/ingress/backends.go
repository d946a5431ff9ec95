package ingress

import (
	"bytes"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"cometpond/internal/settings"
	"cometpond/policy"
)

const (
	// A backend closes what idles for connIdleS; a request written after that ends as a reset, so
	// connections are retired at this share of it.
	idleShare = 0.5
	probeS    = 0.25 // how long a probe's answer is waited for
)

// attempt is one send of a request to a backend, or with no request a probe.
type attempt struct {
	req    *request
	be     *backend
	number int
	sentAt float64
	until  float64 // when the ingress stops waiting
	conn   *backConn
	done   bool
}

// backend is a backend of the list and its connections.
type backend struct {
	target
	state   policy.State
	idle    []*backConn // least idle last
	waiting []*attempt  // for a dial, oldest first
	dials   int         // under way
}

// backendSet holds the backends by id. Loop only.
type backendSet struct {
	byID  map[string]*backend
	open  int // connections, dials among them
	most  int
	idleS float64
	dial  func(addr string) (net.Conn, error)
}

func (s *backendSet) init(cfg Config) {
	s.byID = map[string]*backend{}
	s.most = max(8, (cfg.Sockets-reservedFDs)*3/8)
	s.idleS = cfg.Settings.ConnIdleS * idleShare
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	s.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
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
func (s *backendSet) apply(in *Ingress, t targets) {
	listed := map[string]bool{}
	for _, e := range t.Servers {
		listed[e.ID] = true
		be := s.byID[e.ID]
		if be == nil {
			be = &backend{}
			s.byID[e.ID] = be
		}
		moved := be.Addr != e.Addr || be.StartedMS != e.StartedMS
		be.target, be.state = e, targetStates[e.State]
		if moved || be.state != policy.Up {
			s.retire(in, be)
		}
	}
	for id, be := range s.byID {
		if t.Full && !listed[id] {
			be.state = policy.Removed
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
	for _, a := range be.waiting {
		in.later(a, policy.Moot)
	}
	be.waiting = nil
}

// sweep retires what has idled for long.
func (in *Ingress) sweep() {
	for _, be := range in.backends.byID {
		for len(be.idle) > 0 && in.now-be.idle[0].idleAt > in.backends.idleS {
			in.closeConn(be.idle[0])
		}
	}
}

// Send implements policy.Actions.
func (in *Ingress) Send(id, server string, timeoutS float64) {
	r := in.requests[id]
	if r == nil {
		in.note("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{req: r, be: in.backends.byID[server], number: len(r.attempts), sentAt: in.now, until: r.deadline}
	if timeoutS != 0 {
		a.until = min(a.until, in.now+timeoutS)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	switch {
	case len(r.attempts) > max(1, in.cfg.Settings.MaxAttempts) || in.unsendable(a) && timeoutS >= 0:
		in.later(a, policy.Moot)
	case timeoutS < 0:
		in.later(a, policy.Timeout)
	default:
		in.start(a)
	}
}

// Cancel implements policy.Actions.
func (in *Ingress) Cancel(id string, number int) {
	if r := in.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		in.later(r.attempts[number], policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) Probe(server string) {
	a := &attempt{be: in.backends.byID[server], sentAt: in.now, until: in.now + probeS}
	if a.be == nil {
		in.note("probe of a backend that is not listed", "id", server)
		return
	}
	in.start(a)
}

// unsendable tells that no byte of the attempt may be written any more.
func (in *Ingress) unsendable(a *attempt) bool {
	return a.be == nil || a.be.state != policy.Up || a.req != nil && a.req.over || in.now >= a.until
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (in *Ingress) start(a *attempt) {
	in.after(a.until-in.now, func() { in.expire(a) })
	be := a.be
	for len(be.idle) > 0 {
		c := be.idle[len(be.idle)-1]
		if c.dead.Load() || in.now-c.idleAt > in.backends.idleS {
			in.closeConn(c)
			continue
		}
		be.idle = be.idle[:len(be.idle)-1]
		in.write(c, a)
		return
	}
	if in.backends.open >= in.backends.most && !in.evictIdle() {
		in.note("send not made: too many connections", "open", in.backends.open)
		in.later(a, policy.Moot)
		return
	}
	be.waiting = append(be.waiting, a)
	be.dials++
	in.backends.open++
	go in.dial(be, be.Addr)
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

// expire stops waiting for an attempt. What was never wholly written has not run.
func (in *Ingress) expire(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		in.finish(a, result{status: policy.Moot}, in.now)
	case !a.conn.written.Load():
		in.finish(a, result{status: policy.ConnectFailed}, in.now)
	default:
		in.finish(a, result{status: policy.Timeout}, in.now)
	}
}

// later ends an attempt now and reports it once the module's current event is over.
func (in *Ingress) later(a *attempt, status policy.Status) {
	a.done = true
	in.detach(a)
	in.soon = append(in.soon, func() { in.report(a, result{status: status}, in.now) })
}

// finish ends an attempt and reports it.
func (in *Ingress) finish(a *attempt, res result, at float64) {
	if a.done {
		return
	}
	a.done = true
	in.detach(a)
	in.report(a, res, at)
}

// detach gives up what an attempt still holds: giving up a connection in use means closing it.
func (in *Ingress) detach(a *attempt) {
	if a.conn != nil {
		in.closeConn(a.conn)
		a.conn = nil
	} else if a.be != nil {
		a.be.waiting = slices.DeleteFunc(a.be.waiting, func(w *attempt) bool { return w == a })
	}
}

// report answers the client, if this is what it waits for, and tells the module.
func (in *Ingress) report(a *attempt, res result, at float64) {
	spent := max(at-a.sentAt, 0)
	if a.req == nil {
		in.gate.Probed(in.now, policy.ProbeResult{Server: a.be.ID, Status: res.status, SpentS: spent, Load: res.load})
		return
	}
	r := a.req
	r.out--
	if res.status == policy.OK {
		in.answer(r, res.value)
	}
	in.forget(r)
	server := ""
	if a.be != nil {
		server = a.be.ID
	}
	in.gate.Outcome(in.now, policy.Outcome{ID: r.ID, Server: server, Attempt: a.number, Status: res.status,
		Over: r.over, SpentS: spent, Load: res.load})
}

// ---- Connections ----

// backConn is a connection to a backend. It carries one attempt at a time.
type backConn struct {
	be      *backend
	conn    *net.TCPConn
	raw     syscall.RawConn
	busy    atomic.Bool // a reply is expected
	dead    atomic.Bool // not to be used again
	written atomic.Bool // the whole of the attempt's command
	writing sync.Mutex  // held while a write that the loop does not wait for goes on

	// Loop only.
	attempt *attempt
	idleAt  float64
	closed  bool
}

func (in *Ingress) dial(be *backend, addr string) {
	conn, err := in.backends.dial(addr)
	var c *backConn
	if err == nil {
		c = &backConn{be: be, conn: conn.(*net.TCPConn)}
		if c.raw, err = c.conn.SyscallConn(); err != nil {
			c = nil
		}
	}
	in.post(in.clock.now(), func() { in.dialed(be, addr, c, err) })
}

// dialed gives a new connection to the attempt that has waited longest, or takes its failure.
func (in *Ingress) dialed(be *backend, addr string, c *backConn, err error) {
	be.dials--
	if c == nil {
		in.backends.open--
		if len(be.waiting) > be.dials {
			in.note("dial failed", "backend", be.ID, "error", err)
			in.finish(be.waiting[0], result{status: policy.ConnectFailed}, in.now)
		}
		return
	}
	go c.read(in)
	if addr != be.Addr {
		in.closeConn(c)
		if len(be.waiting) > be.dials {
			in.finish(be.waiting[0], result{status: policy.Moot}, in.now)
		}
		return
	}
	if in.release(c); len(be.waiting) > be.dials { // it broke at once
		in.finish(be.waiting[0], result{status: policy.ConnectFailed}, in.now)
	}
}

// release puts a connection to use for what waits, or into the pool.
func (in *Ingress) release(c *backConn) {
	be := c.be
	c.attempt = nil
	for len(be.waiting) > 0 && !c.closed && !c.dead.Load() {
		a := be.waiting[0]
		be.waiting = be.waiting[1:]
		if in.unsendable(a) {
			in.later(a, policy.Moot)
			continue
		}
		in.write(c, a)
		return
	}
	if c.dead.Load() || be.state != policy.Up {
		in.closeConn(c)
		return
	}
	c.idleAt = in.now
	be.idle = append(be.idle, c)
}

// write sends the command: at once what the socket takes, the rest on a goroutine of its own.
func (in *Ingress) write(c *backConn, a *attempt) {
	b := in.bytes[:0]
	if a.req == nil {
		b = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
	} else {
		b = a.req.appendTo(b, a.until-in.now)
	}
	in.bytes = b
	a.conn, c.attempt = c, a
	c.written.Store(false)
	c.busy.Store(true)
	n, err := tryWrite(c.raw, b)
	switch {
	case err != nil:
		in.later(a, policy.ConnectFailed)
	case n == len(b):
		c.written.Store(true)
	default:
		rest := bytes.Clone(b[n:])
		c.writing.Lock() // only its own reader takes it besides, for a moment at its end
		go func() {
			defer c.writing.Unlock()
			if _, err := c.conn.Write(rest); err == nil {
				c.written.Store(true)
			} else {
				c.conn.Close() // its reader reports it
			}
		}()
	}
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

// result is how an attempt ended.
type result struct {
	status policy.Status
	value  []byte // served: the value in RESP, as the backend wrote it
	load   *policy.Load
	probe  bool   // a reply to a probe
	spoilt string // why the reply could not be used
}

// read takes the replies of one connection and notices its end, also while it idles.
func (c *backConn) read(in *Ingress) {
	var buf buffer
	for {
		n, err := c.conn.Read(buf.room())
		at := in.clock.now()
		if n > 0 && !c.busy.Load() {
			break // bytes that nobody asked for: what follows can't be told apart
		}
		buf.grew(n)
		size, bad := frame(buf.b)
		if bad == nil && size == 0 && len(buf.b) > maxFrame {
			bad = errOversized
		}
		if bad != nil {
			c.spoilt(in, at, bad.Error())
			break
		}
		if size > 0 {
			res := parseReply(buf.b[:size])
			stray := len(buf.b) > size
			buf.drop(len(buf.b))
			if stray || res.spoilt != "" {
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
	at := in.clock.now()
	in.post(at, func() { in.lost(c, at) })
}

func (c *backConn) spoilt(in *Ingress, at float64, why string) {
	c.dead.Store(true)
	in.post(at, func() { in.replied(c, result{status: policy.Reset, spoilt: why}, at) })
}

// replied ends the attempt that the connection carries.
func (in *Ingress) replied(c *backConn, res result, at float64) {
	a := c.attempt
	if a != nil && res.status == policy.OK && res.probe != (a.req == nil) {
		c.dead.Store(true)
		res = result{status: policy.Reset, spoilt: "a reply to something else"}
	}
	if res.spoilt != "" {
		in.note("bad reply", "backend", c.be.ID, "why", res.spoilt)
	}
	if c.closed || a == nil {
		return
	}
	if c.written.Load() && !c.dead.Load() {
		a.conn = nil
		in.release(c)
	}
	in.finish(a, res, at)
}

// lost takes the end of a connection.
func (in *Ingress) lost(c *backConn, at float64) {
	if a := c.attempt; a != nil && !a.done {
		status := policy.Reset
		if !c.written.Load() {
			status = policy.ConnectFailed
		}
		in.finish(a, result{status: status}, at)
	}
	in.closeConn(c)
}

// parseReply reads one whole reply.
func parseReply(b []byte) result {
	_, v := redcon.ReadNextRESP(b)
	switch v.Type {
	case redcon.Array:
		var parts []redcon.RESP
		v.ForEach(func(p redcon.RESP) bool {
			parts = append(parts, p)
			return true
		})
		if len(parts) == 0 || parts[0].Type != redcon.Bulk || parts[0].Data == nil {
			return result{status: policy.Reset, spoilt: "no value"}
		}
		res := result{status: policy.OK, value: bytes.Clone(parts[0].Raw)}
		if len(parts) > 2 && parts[2].Data != nil {
			res.load = parseLoad(string(parts[2].Data))
		}
		return res
	case redcon.Bulk: // of a probe
		if v.Data != nil {
			return result{status: policy.OK, probe: true, load: parseLoad(string(v.Data))}
		}
	case redcon.Error:
		text := string(v.Data)
		res := result{status: policy.Error}
		if word, _, _ := strings.Cut(text, " "); word == "BUSY" {
			res.status = policy.Full
		}
		res.load = parseLoad(text[strings.LastIndexByte(text, ' ')+1:])
		return res
	}
	return result{status: policy.Reset, spoilt: "not a reply"}
}

// parseLoad reads a load report, nil if there is none.
func parseLoad(text string) *policy.Load {
	load, some := settings.NoLoad, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
			settings.SetLoad(&load, name, v)
			some = true
		}
	}
	if !some {
		return nil
	}
	return &load
}
