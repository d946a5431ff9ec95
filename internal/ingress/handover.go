package ingress

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"eiderspread/internal/kept"
	"eiderspread/internal/takeover"
)

// How a process is replaced without a request turned back: see docs/operating-days.md. succession is the old process's
// side, inheritance the new one's.

const (
	linkMost  = 2 * time.Second // how long either side waits for the other's next word
	pastTime  = 1               // a deadline that has gone by, in Unix seconds
	partsMost = 1 << 14         // of what a module knows
	nodesMost = 200             // of which that may hold; in larger fleets they are learned anew
	bothShare = 0.5             // of memory and connections, that either process has while both run
)

// MemoryShare is the part of the memory limit from which on the collector works as hard as it must.
const MemoryShare = 0.6

// LimitMemory sets it.
func LimitMemory(mb int, share float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * share))
	}
}

// Keeper is a Gateway that hands what it knows to one of its number in another process. Keep is the last that it is asked
// before that one serves; Adopt is told of each part, once backends are listed and before the first request. A gateway whose
// successor died adopts its own parts.
type Keeper interface {
	Keep(now float64) []kept.Part
	Adopt(now float64, part kept.Part)
}

// succession is what an old process keeps of the link to its successor. Loop only, but for the link.
type succession struct {
	link   *takeover.Link
	stage  stage
	asked  *takeover.Listener
	pause  chan struct{} // closed when the listener is to rest
	queue  chan passing  // to the sender; as long as there may be connections, each of which is in it once
	passed int
	kept   []kept.Part // that went to the successor
	end    *timer      // of what takes too long, from the word to go on
	events chan []byte // of a gateway that has moved: to the sender
}

// word is what the old process says with Go.
type word struct {
	Clients int      `json:"Clients"`        // connections that it still has
	Boot    float64  `json:"Boot"`           // the machine's start by its clock, see mono
	List    *targets `json:"List,omitempty"` // of backends, as discovery told it
}

// passing is a connection on its way to the new process.
type passing struct {
	c     *client
	body  []byte      // what was read of it and not used, or with a value a carried
	value *largeValue // that goes along, with its backend's connection; nil: nothing is open
}

type stage int

const (
	none     stage = iota
	stopping       // the successor is ready; the listener comes to rest
	handed         // connections are passed on as they become idle
)

// inheritance is what a new process has from the old one until the link ends.
type inheritance struct {
	link     *takeover.Link
	listener *net.TCPListener
	peers    *net.UDPConn
	parts    []kept.Part // of what its module knows; all or none
	held     int         // of the input's budget, that the old one may still use
	boot     float64     // the machine's start by the old one's clock
	orders   chan []byte // to the sender, see relay.go; nil before there may be any
}

// inherit asks the process that this one replaces for its sockets; nil if there is none.
func inherit(cfg Config) (*inheritance, error) {
	path, err := takeover.Path(os.TempDir(), cfg.Name)
	if err != nil {
		return nil, nil // said where it is listened at
	}
	link, err := takeover.Dial(path)
	if link == nil || err != nil {
		return nil, err
	}
	h := &inheritance{link: link}
	fds := 1
	if cfg.Settings.Peers {
		fds = 2
	}
	m, err := takeover.Message{}, link.Send(takeover.Hello, []byte{takeover.Version}, linkMost)
	if err == nil {
		m, err = link.Expect(takeover.Sockets, fds, linkMost)
	}
	if err == nil {
		h.listener, err = takeover.TCPListener(m.Files[0], cfg.Listen)
	}
	if err == nil && fds == 2 {
		h.peers, err = takeover.UDPConn(m.Files[1], cfg.PeerListen.String())
	}
	if err != nil {
		m.Close()
		h.close()
		return nil, fmt.Errorf("the running process does not hand over: %w", err)
	}
	return h, nil
}

func (h *inheritance) close() {
	h.link.Close()
	if h.listener != nil {
		h.listener.Close()
	}
	if h.peers != nil {
		h.peers.Close()
	}
}

// enter tells the old process that this one is ready, and returns once that one takes nothing more, or has ended. The
// list of backends is the old one's, which is newer than a configuration's.
//
// A gateway that moves must have all of it, and this process the lock: else the old one goes on, or another.
func (in *Ingress) enter() error {
	h := in.heir
	err := h.link.Send(takeover.Ready, nil, linkMost)
	var m takeover.Message
	for err == nil && m.Kind != takeover.Go {
		if m, err = h.link.Receive(linkMost); err == nil && m.Kind == takeover.Kept {
			var part kept.Part
			if err = json.Unmarshal(m.Body, &part); err == nil && len(h.parts) == partsMost {
				err = fmt.Errorf("more than %d parts of what its module knows", partsMost)
			}
			h.parts = append(h.parts, part)
		}
		m.Close()
	}
	if err != nil {
		h.parts = nil // a part of its counts would look to others as if the rest was handed back
	}
	var w word
	if err == nil {
		err = json.Unmarshal(m.Body, &w)
	}
	if err == nil && w.List != nil {
		if err = w.List.Check(); err == nil {
			w.List.Version = -1 // another agent may have told it: the whole list is asked for
			in.cfg.Known = *w.List
			in.watcher = in.newWatcher()
		}
	}
	in.clients.elsewhere, h.boot = max(0, w.Clients), w.Boot
	if in.lock != nil {
		if err == nil && len(h.parts) == 0 { // promises that nobody knows of could be given twice
			err = fmt.Errorf("nothing of what it knows came over")
		}
		if err == nil {
			err = in.takeLock()
		}
		if err != nil {
			return fmt.Errorf("the running process does not hand over: %w", err)
		}
		return nil
	}
	if err != nil { // the sockets are here: whatever became of the old process, clients are served
		in.log.Warn("the old process did not say that it has stopped", "error", err)
	}
	return nil
}

// adopt goes on with what the old process's module knew.
func (in *Ingress) adopt(parts []kept.Part) {
	if m, ok := in.gate.(Mover); ok {
		in.settleGate(m, parts)
		return
	}
	if k, ok := in.gate.(Keeper); ok {
		in.now = max(in.now, in.clock.Now())
		for _, part := range parts {
			k.Adopt(in.now, part)
		}
	}
}

// receive takes the connections that the old process passes on, until it ends.
func (in *Ingress) receive(h *inheritance) {
	n := 0
	for {
		m, err := h.link.Receive(0)
		if err != nil {
			break
		}
		if m.Kind == takeover.Event {
			m.Close()
			in.heard(h, m.Body)
			continue
		}
		if m.Kind == takeover.Client && len(m.Files) != 1 || m.Kind == takeover.Value && len(m.Files) != 2 ||
			m.Kind != takeover.Client && m.Kind != takeover.Value {
			m.Close()
			continue
		}
		select {
		case in.clients.room <- struct{}{}:
		case <-in.done:
			m.Close()
			h.link.Close()
			return
		}
		err = in.arrives(m)
		if err != nil {
			<-in.clients.room
			in.Post(func(float64) { in.note("a connection was not taken over", "error", err) })
			continue
		}
		n++
	}
	h.link.Close()
	in.Post(func(float64) {
		in.log.Info("the old process has ended", "connections", n)
		in.input.give(h.held)
		in.backends.most = in.backends.whole
		in.clients.elsewhere = 0
		in.heir = nil
		if h.orders != nil {
			close(h.orders) // ends its sender: orders are given by the loop alone, and to an heir's link
		}
		in.bereaved()
		LimitMemory(in.cfg.MemoryMB, MemoryShare)
	})
}

// arrives takes a connection that the old process passed on, or with it a value that is on its way.
func (in *Ingress) arrives(m takeover.Message) error {
	var conns []*net.TCPConn
	var err error
	for _, f := range m.Files {
		var c *net.TCPConn
		if c, err = takeover.TCPConn(f); err == nil {
			conns = append(conns, c)
		}
	}
	switch {
	case len(conns) < len(m.Files):
	case m.Kind == takeover.Value:
		err = in.carryOn(conns[0], conns[1], m.Body)
	default:
		err = in.welcome(conns[0], m.Body)
	}
	if err != nil {
		for _, c := range conns {
			c.Close()
		}
	}
	return err
}

// welcome begins to read a connection that was passed on, with what the old process had read of it.
func (in *Ingress) welcome(conn *net.TCPConn, rest []byte) error {
	c, err := in.newClient(conn)
	if err != nil {
		return err
	}
	c.buf.b = append(make([]byte, 0, max(readSize, len(rest))), rest...)
	if more := cap(c.buf.b) - readSize; more > 0 {
		if !in.input.take(more) {
			return errNoRoom
		}
		c.buf.taken = more
	}
	if len(rest) > 0 {
		c.await(in)
	}
	in.post(in.clock.Now(), func() {
		in.clients.elsewhere = max(0, in.clients.elsewhere-1)
		c.spoke, c.asked = true, true // as far as this process knows: what it asked may be on its way
		if in.heirs.stage == handed { // on to the next process
			c.usedAt, c.acceptedAt, in.clients.all[c] = in.now, in.now, struct{}{}
			c.halt()
			return
		}
		in.addClient(c)
	})
	go c.read(in)
	return nil
}

// awaitSuccessor listens for a new process from now on.
func (in *Ingress) awaitSuccessor() {
	path, err := takeover.Path(os.TempDir(), in.cfg.Name)
	if err == nil {
		in.heirs.asked, err = takeover.Listen(path)
	}
	if err != nil {
		in.log.Warn("this process can't be replaced while it runs", "error", err)
		return
	}
	go in.successors(in.heirs.asked)
}

// successors serves one new process after the other; but for crashes there is one.
func (in *Ingress) successors(l *takeover.Listener) {
	for {
		link, err := l.Accept()
		if err != nil {
			return
		}
		in.successor(link)
		link.Close()
		in.Post(func(float64) { in.abandoned(link) })
	}
}

// successor serves one new process to the end of its link.
func (in *Ingress) successor(link *takeover.Link) {
	m, err := link.Expect(takeover.Hello, 0, linkMost)
	if err != nil || len(m.Body) != 1 || m.Body[0] != takeover.Version {
		in.Post(func(float64) { in.note("a process asked for the sockets in words of another version") })
		return
	}
	socks := []syscall.Conn{in.listener}
	if in.peers != nil {
		socks = append(socks, in.peers.conn)
	}
	if err := link.Send(takeover.Sockets, nil, linkMost, socks...); err != nil {
		return
	}
	if _, err := link.Expect(takeover.Ready, 0, 0); err != nil {
		return
	}
	in.Post(func(float64) { in.handOver(link) })
	for err == nil { // until the new process ends, or this one
		if m, err = link.Receive(0); err == nil && m.Kind == takeover.Order {
			in.told(link, m.Body)
		}
		m.Close()
	}
}

// handOver has the listener come to rest; handedOver goes on when nothing that it took is on its way any more.
func (in *Ingress) handOver(link *takeover.Link) {
	if _, gone := in.gate.(*relay); gone || in.leaving || in.heirs.stage != none {
		link.Close()
		return
	}
	in.log.Info("a new process takes over")
	in.heirs.link, in.heirs.stage = link, stopping
	in.taking.Store(false)
	in.stopDrain()
	close(in.heirs.pause)
	in.listener.SetDeadline(time.Unix(pastTime, 0))
}

// handedOver tells the new process to go on, and passes on what is idle.
func (in *Ingress) handedOver(pause chan struct{}) {
	s := &in.heirs
	if s.stage != stopping || s.pause != pause {
		return
	}
	s.stage = handed
	if in.peers != nil {
		in.peers.rest()
	}
	list := in.held.Listed()
	w := word{in.clients.open(), in.clock.Boot(), &list}
	text, err := json.Marshal(w)
	if err == nil && len(text) > takeover.MaxBody {
		w.List = nil // the new one goes by its own, and by discovery
		text, err = json.Marshal(w)
	}
	if err != nil {
		in.note("the word to go on", "error", err)
	}
	s.queue = make(chan passing, cap(in.clients.room))
	if k, ok := in.gate.(Keeper); ok {
		s.kept = k.Keep(in.now)
	}
	in.moveGate()
	go in.passOn(s.link, s.kept, text, s.queue, s.events)
	in.leaving = true
	in.backends.most = int(float64(in.backends.whole) * bothShare)
	for _, be := range in.backends.byID {
		for len(be.idle) > 0 {
			in.closeConn(be.idle[len(be.idle)-1])
		}
	}
	LimitMemory(in.cfg.MemoryMB, MemoryShare*bothShare)
	for c := range in.clients.all {
		c.halt()
	}
	kill := in.killAfter()
	in.after(max(min(moveAfter, kill-failAhead-moveAhead), 0), in.moveValues)
	s.end = in.after(kill-failAhead, func() {
		in.failOwed()
		s.end = in.after(failAhead-endAhead, in.stop)
	})
}

// pass gives a parked connection on which nothing is open to the new process; false if that can't be.
func (in *Ingress) pass(c *client) bool {
	if in.heirs.stage != handed || c.ending || c.passing || len(c.buf.b) > takeover.MaxBody {
		return false
	}
	c.passing = true
	in.heirs.queue <- passing{c: c, body: bytes.Clone(c.buf.b)}
	return true
}

// passOn sends what the module knew, the word to go on and then the connections, until the link or this process ends.
func (in *Ingress) passOn(link *takeover.Link, parts []kept.Part, word []byte, queue <-chan passing, events <-chan []byte) {
	for i, part := range parts {
		if i > 0 {
			part.Classes = nil
		}
		if i > 0 || len(part.Servers) > nodesMost {
			part.Servers = nil
		}
		text, err := json.Marshal(part)
		if err == nil {
			err = link.Send(takeover.Kept, text, linkMost)
		}
		if err != nil {
			link.Close()
			return
		}
	}
	if err := link.Send(takeover.Go, word, linkMost); err != nil {
		link.Close()
		return
	}
	for {
		select {
		case <-in.done:
			return
		case body := <-events:
			if err := link.Send(takeover.Event, body, linkMost); err != nil {
				link.Close()
				return
			}
		case p := <-queue:
			kind, conns := takeover.Client, []syscall.Conn{p.c.conn}
			if p.value != nil {
				kind, conns = takeover.Value, append(conns, p.value.flow.back.conn)
			}
			if err := link.Send(kind, p.body, linkMost, conns...); err != nil {
				link.Close() // its reader tells the loop, which goes on with what was not passed
				return
			}
			in.post(in.clock.Now(), func() {
				in.heirs.passed++
				if p.value != nil {
					in.moved(p.value)
					return
				}
				in.closeClient(p.c, closeHandedOver)
			})
		}
	}
}

// abandoned takes the end of the link. A new process that ended before this one did leaves everything to it.
func (in *Ingress) abandoned(link *takeover.Link) {
	s := &in.heirs
	if s.link != link || s.stage == none {
		return
	}
	in.log.Error("the new process has ended; this one goes on", "passed", s.passed)
	was := s.stage
	in.stopTimer(s.end)
	if _, moved := in.gate.(*relay); moved {
		in.takeGateBack()
	} else {
		in.adopt(kept.Back(s.kept))
	}
	in.heirs = succession{asked: s.asked, pause: make(chan struct{})}
	in.valuesStay()
	if was == handed {
		in.backends.most = in.backends.whole
		LimitMemory(in.cfg.MemoryMB, MemoryShare)
		if in.peers != nil {
			in.peers.resume()
		}
	}
	if in.heirs.asked != nil { // the new one had taken its place on the file system: the next would find nobody
		in.heirs.asked.Close()
		in.awaitSuccessor()
	}
	if in.signalled && was == handed {
		in.after(in.killAfter()-stopAhead, in.stop)
	}
	for c := range in.clients.all {
		if c.parked && !c.ending {
			in.unhalt(c)
		}
	}
	if in.signalled { // to end: it takes no new connections again, and what was to be passed on ends with its drain
		return
	}
	in.leaving = false
	in.listener.SetDeadline(time.Time{})
	in.taking.Store(true)
	go in.accept(in.listener, in.heirs.pause)
}

// unhalt has a parked connection read again.
func (in *Ingress) unhalt(c *client) {
	c.halted, c.parked, c.passing = false, false, false
	c.stop = make(chan struct{})
	if c.conn.SetReadDeadline(time.Time{}); c.timed {
		c.await(in)
	}
	go c.read(in)
}
