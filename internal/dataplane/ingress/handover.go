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

	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/dataplane/hotrestart"
)

// How a process is replaced without a request turned back: see docs/operating-days.md. succession is the old process's
// side, inheritance the new one's.

const (
	linkTimeout         = 2 * time.Second // how long either side waits for the other's next word
	pastUnixS           = 1               // a deadline that has gone by, in Unix seconds
	maxSnapshotParts    = 1 << 14         // of what a module knows
	maxSnapshotBackends = 200             // of which that may hold; in larger fleets they are learned anew
	coexistFraction     = 0.5             // of memory and connections, that either process has while both run
)

// MemoryLimitFraction is the part of the memory limit from which on the collector works as hard as it must.
const MemoryLimitFraction = 0.6

// LimitMemory sets it.
func LimitMemory(mb int, share float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * share))
	}
}

// SnapshotDecider is a Gateway that hands what it knows to one of its number in another process. Keep is the last that it is asked
// before that one serves; Adopt is told of each part, once backends are listed and before the first request. A gateway whose
// successor died adopts its own parts.
type SnapshotDecider interface {
	Snapshot(now float64) []snapshot.Part
	Restore(now float64, part snapshot.Part)
}

// successorState is what an old process keeps of the link to its successor. Loop only, but for the link.
type successorState struct {
	link        *hotrestart.Link
	stage       handoverStage
	listener    *hotrestart.Listener
	pauseAccept chan struct{} // closed when the listener is to rest
	transfers   chan transfer // to the sender; as long as there may be connections, each of which is in it once
	transferred int
	snapshot    []snapshot.Part // that went to the successor
	endTimer    *timer          // of what takes too long, from the word to go on
	events      chan []byte     // of a gateway that has moved: to the sender
}

// goMessage is what the old process says with Go.
type goMessage struct {
	OpenClients int      `json:"Clients"`        // connections that it still has
	BootTime    float64  `json:"Boot"`           // the machine's start by its clock, see mono
	Endpoints   *targets `json:"List,omitempty"` // of backends, as discovery told it
}

// transfer is a connection on its way to the new process.
type transfer struct {
	client *clientConn
	body   []byte      // what was read of it and not used, or with a value a carried
	value  *largeValue // that goes along, with its backend's connection; nil: nothing is open
}

type handoverStage int

const (
	handoverNone    handoverStage = iota
	handoverPausing               // the successor is ready; the listener comes to rest
	handoverActive                // connections are passed on as they become idle
)

// predecessorState is what a new process has from the old one until the link ends.
type predecessorState struct {
	link          *hotrestart.Link
	listener      *net.TCPListener
	peers         *net.UDPConn
	snapshot      []snapshot.Part // of what its module knows; all or none
	reservedInput int             // of the input's budget, that the old one may still use
	bootTime      float64         // the machine's start by the old one's clock
	orders        chan []byte     // to the sender, see relay.go; nil before there may be any
}

// connectPredecessor asks the process that this one replaces for its sockets; nil if there is none.
func connectPredecessor(cfg Config) (*predecessorState, error) {
	path, err := hotrestart.SocketPath(os.TempDir(), cfg.Name)
	if err != nil {
		return nil, nil // said where it is listened at
	}
	link, err := hotrestart.Dial(path)
	if link == nil || err != nil {
		return nil, err
	}
	h := &predecessorState{link: link}
	fds := 1
	if cfg.Settings.PeerMessages {
		fds = 2
	}
	m, err := hotrestart.Message{}, link.Send(hotrestart.Hello, []byte{hotrestart.Version}, linkTimeout)
	if err == nil {
		m, err = link.Expect(hotrestart.Sockets, fds, linkTimeout)
	}
	if err == nil {
		h.listener, err = hotrestart.TCPListener(m.Files[0], cfg.Listen)
	}
	if err == nil && fds == 2 {
		h.peers, err = hotrestart.UDPConn(m.Files[1], cfg.PeerListen.String())
	}
	if err != nil {
		m.Close()
		h.close()
		return nil, fmt.Errorf("the running process does not hand over: %w", err)
	}
	return h, nil
}

func (h *predecessorState) close() {
	h.link.Close()
	if h.listener != nil {
		h.listener.Close()
	}
	if h.peers != nil {
		h.peers.Close()
	}
}

// announceReady tells the old process that this one is ready, and returns once that one takes nothing more, or has ended. The
// list of backends is the old one's, which is newer than a configuration's.
//
// A gateway that moves must have all of it, and this process the lock: else the old one goes on, or another.
func (in *Ingress) announceReady() error {
	h := in.predecessor
	err := h.link.Send(hotrestart.Ready, nil, linkTimeout)
	var m hotrestart.Message
	for err == nil && m.Kind != hotrestart.Proceed {
		if m, err = h.link.Receive(linkTimeout); err == nil && m.Kind == hotrestart.Snapshot {
			var part snapshot.Part
			if err = json.Unmarshal(m.Body, &part); err == nil && len(h.snapshot) == maxSnapshotParts {
				err = fmt.Errorf("more than %d parts of what its module knows", maxSnapshotParts)
			}
			h.snapshot = append(h.snapshot, part)
		}
		m.Close()
	}
	if err != nil {
		h.snapshot = nil // a part of its counts would look to others as if the rest was handed back
	}
	var message goMessage
	if err == nil {
		err = json.Unmarshal(m.Body, &message)
	}
	if err == nil && message.Endpoints != nil {
		if err = message.Endpoints.Validate(); err == nil {
			message.Endpoints.Version = -1 // another agent may have told it: the whole list is asked for
			in.cfg.InitialEndpoints = *message.Endpoints
			in.watcher = in.newWatcher()
		}
	}
	in.clients.openElsewhere, h.bootTime = max(0, message.OpenClients), message.BootTime
	if in.memberLock != nil {
		if err == nil && len(h.snapshot) == 0 { // promises that nobody knows of could be given twice
			err = fmt.Errorf("nothing of what it knows came over")
		}
		if err == nil {
			err = in.acquireMemberLock()
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

// restoreSnapshot goes on with what the old process's module knew.
func (in *Ingress) restoreSnapshot(parts []snapshot.Part) {
	if m, ok := in.decider.(MigratingDecider); ok {
		in.resumeDecider(m, parts)
		return
	}
	if k, ok := in.decider.(SnapshotDecider); ok {
		in.now = max(in.now, in.clock.Now())
		for _, part := range parts {
			k.Restore(in.now, part)
		}
	}
}

// receiveTransfers takes the connections that the old process passes on, until it ends.
func (in *Ingress) receiveTransfers(h *predecessorState) {
	n := 0
	for {
		m, err := h.link.Receive(0)
		if err != nil {
			break
		}
		if m.Kind == hotrestart.Event {
			m.Close()
			in.receiveEvent(h, m.Body)
			continue
		}
		if m.Kind == hotrestart.Client && len(m.Files) != 1 || m.Kind == hotrestart.LargeValue && len(m.Files) != 2 ||
			m.Kind != hotrestart.Client && m.Kind != hotrestart.LargeValue {
			m.Close()
			continue
		}
		select {
		case in.clients.connPermits <- struct{}{}:
		case <-in.done:
			m.Close()
			h.link.Close()
			return
		}
		err = in.receiveTransfer(m)
		if err != nil {
			<-in.clients.connPermits
			in.Post(func(float64) { in.logFault("a connection was not taken over", "error", err) })
			continue
		}
		n++
	}
	h.link.Close()
	in.Post(func(float64) {
		in.log.Info("the old process has ended", "connections", n)
		in.inputBudget.release(h.reservedInput)
		in.backends.maxConns = in.backends.maxConnsAlone
		in.clients.openElsewhere = 0
		in.predecessor = nil
		if h.orders != nil {
			close(h.orders) // ends its sender: orders are given by the loop alone, and to an heir's link
		}
		in.handlePredecessorLost()
		LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
	})
}

// receiveTransfer takes a connection that the old process passed on, or with it a value that is on its way.
func (in *Ingress) receiveTransfer(m hotrestart.Message) error {
	var conns []*net.TCPConn
	var err error
	for _, f := range m.Files {
		var c *net.TCPConn
		if c, err = hotrestart.TCPConn(f); err == nil {
			conns = append(conns, c)
		}
	}
	switch {
	case len(conns) < len(m.Files):
	case m.Kind == hotrestart.LargeValue:
		err = in.resumeLargeValue(conns[0], conns[1], m.Body)
	default:
		err = in.resumeClient(conns[0], m.Body)
	}
	if err != nil {
		for _, c := range conns {
			c.Close()
		}
	}
	return err
}

// resumeClient begins to read a connection that was passed on, with what the old process had read of it.
func (in *Ingress) resumeClient(conn *net.TCPConn, rest []byte) error {
	c, err := in.newClientConn(conn)
	if err != nil {
		return err
	}
	c.input.data = append(make([]byte, 0, max(readBufferSize, len(rest))), rest...)
	if more := cap(c.input.data) - readBufferSize; more > 0 {
		if !in.inputBudget.reserve(more) {
			return errInputBudget
		}
		c.input.reserved = more
	}
	if len(rest) > 0 {
		c.startCommandDeadline(in)
	}
	in.post(in.clock.Now(), func() {
		in.clients.openElsewhere = max(0, in.clients.openElsewhere-1)
		c.commandReceived, c.callReceived = true, true // as far as this process knows: what it asked may be on its way
		if in.successor.stage == handoverActive {      // on to the next process
			c.lastUsedAt, c.acceptedAt, in.clients.conns[c] = in.now, in.now, struct{}{}
			c.stopReader()
			return
		}
		in.addClient(c)
	})
	go c.readLoop(in)
	return nil
}

// listenForSuccessor listens for a new process from now on.
func (in *Ingress) listenForSuccessor() {
	path, err := hotrestart.SocketPath(os.TempDir(), in.cfg.Name)
	if err == nil {
		in.successor.listener, err = hotrestart.Listen(path)
	}
	if err != nil {
		in.log.Warn("this process can't be replaced while it runs", "error", err)
		return
	}
	go in.serveSuccessors(in.successor.listener)
}

// serveSuccessors serves one new process after the other; but for crashes there is one.
func (in *Ingress) serveSuccessors(l *hotrestart.Listener) {
	for {
		link, err := l.Accept()
		if err != nil {
			return
		}
		in.serveSuccessor(link)
		link.Close()
		in.Post(func(float64) { in.handleSuccessorLost(link) })
	}
}

// serveSuccessor serves one new process to the end of its link.
func (in *Ingress) serveSuccessor(link *hotrestart.Link) {
	m, err := link.Expect(hotrestart.Hello, 0, linkTimeout)
	if err != nil || len(m.Body) != 1 || m.Body[0] != hotrestart.Version {
		in.Post(func(float64) { in.logFault("a process asked for the sockets in words of another version") })
		return
	}
	socks := []syscall.Conn{in.listener}
	if in.peers != nil {
		socks = append(socks, in.peers.conn)
	}
	if err := link.Send(hotrestart.Sockets, nil, linkTimeout, socks...); err != nil {
		return
	}
	if _, err := link.Expect(hotrestart.Ready, 0, 0); err != nil {
		return
	}
	in.Post(func(float64) { in.beginHandover(link) })
	for err == nil { // until the new process ends, or this one
		if m, err = link.Receive(0); err == nil && m.Kind == hotrestart.Order {
			in.receiveOrder(link, m.Body)
		}
		m.Close()
	}
}

// beginHandover has the listener come to rest; startTransfers goes on when nothing that it took is on its way any more.
func (in *Ingress) beginHandover(link *hotrestart.Link) {
	if _, gone := in.decider.(*eventRelay); gone || in.closingClients || in.successor.stage != handoverNone {
		link.Close()
		return
	}
	in.log.Info("a new process takes over")
	in.successor.link, in.successor.stage = link, handoverPausing
	in.acceptingClients.Store(false)
	in.clearDrain()
	close(in.successor.pauseAccept)
	in.listener.SetDeadline(time.Unix(pastUnixS, 0))
}

// startTransfers tells the new process to go on, and passes on what is idle.
func (in *Ingress) startTransfers(pause chan struct{}) {
	s := &in.successor
	if s.stage != handoverPausing || s.pauseAccept != pause {
		return
	}
	s.stage = handoverActive
	if in.peers != nil {
		in.peers.pause()
	}
	list := in.cordons.Listed()
	message := goMessage{in.clients.open(), in.clock.BootTime(), &list}
	text, err := json.Marshal(message)
	if err == nil && len(text) > hotrestart.MaxBodyBytes {
		message.Endpoints = nil // the new one goes by its own, and by discovery
		text, err = json.Marshal(message)
	}
	if err != nil {
		in.logFault("the word to go on", "error", err)
	}
	s.transfers = make(chan transfer, cap(in.clients.connPermits))
	if k, ok := in.decider.(SnapshotDecider); ok {
		s.snapshot = k.Snapshot(in.now)
	}
	in.migrateDecider()
	go in.sendToSuccessor(s.link, s.snapshot, text, s.transfers, s.events)
	in.closingClients = true
	in.backends.maxConns = int(float64(in.backends.maxConnsAlone) * coexistFraction)
	for _, be := range in.backends.byID {
		for len(be.idleConns) > 0 {
			in.closeBackendConn(be.idleConns[len(be.idleConns)-1])
		}
	}
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction*coexistFraction)
	for c := range in.clients.conns {
		c.stopReader()
	}
	killDelay := in.killDelayS()
	in.after(max(min(migrateValuesAfterS, killDelay-failBeforeKillS-migrateValuesBeforeFailS), 0), in.migrateValues)
	s.endTimer = in.after(killDelay-failBeforeKillS, func() {
		in.failOpenRequests()
		s.endTimer = in.after(failBeforeKillS-endBeforeKillS, in.expireShutdown)
	})
}

// transferClient gives a parked connection on which nothing is open to the new process; false if that can't be.
func (in *Ingress) transferClient(c *clientConn) bool {
	if in.successor.stage != handoverActive || c.closing || c.transferring || len(c.input.data) > hotrestart.MaxBodyBytes {
		return false
	}
	c.transferring = true
	in.successor.transfers <- transfer{client: c, body: bytes.Clone(c.input.data)}
	return true
}

// sendToSuccessor sends what the module knew, the word to go on and then the connections, until the link or this process ends.
func (in *Ingress) sendToSuccessor(link *hotrestart.Link, parts []snapshot.Part, goBody []byte, queue <-chan transfer, events <-chan []byte) {
	for i, part := range parts {
		if i > 0 {
			part.Classes = nil
		}
		if i > 0 || len(part.Backends) > maxSnapshotBackends {
			part.Backends = nil
		}
		text, err := json.Marshal(part)
		if err == nil {
			err = link.Send(hotrestart.Snapshot, text, linkTimeout)
		}
		if err != nil {
			link.Close()
			return
		}
	}
	if err := link.Send(hotrestart.Proceed, goBody, linkTimeout); err != nil {
		link.Close()
		return
	}
	for {
		select {
		case <-in.done:
			return
		case body := <-events:
			if err := link.Send(hotrestart.Event, body, linkTimeout); err != nil {
				link.Close()
				return
			}
		case p := <-queue:
			kind, conns := hotrestart.Client, []syscall.Conn{p.client.conn}
			if p.value != nil {
				kind, conns = hotrestart.LargeValue, append(conns, p.value.stream.backendConn.conn)
			}
			if err := link.Send(kind, p.body, linkTimeout, conns...); err != nil {
				link.Close() // its reader tells the loop, which goes on with what was not passed
				return
			}
			in.post(in.clock.Now(), func() {
				in.successor.transferred++
				if p.value != nil {
					in.handleValueMigrated(p.value)
					return
				}
				in.closeClient(p.client, closeHandedOver)
			})
		}
	}
}

// handleSuccessorLost takes the end of the link. A new process that ended before this one did leaves everything to it.
func (in *Ingress) handleSuccessorLost(link *hotrestart.Link) {
	s := &in.successor
	if s.link != link || s.stage == handoverNone {
		return
	}
	in.log.Error("the new process has ended; this one goes on", "passed", s.transferred)
	stageBefore := s.stage
	in.stopTimer(s.endTimer)
	if _, moved := in.decider.(*eventRelay); moved {
		in.reclaimDecider()
	} else {
		in.restoreSnapshot(snapshot.Reclaimed(s.snapshot))
	}
	in.successor = successorState{listener: s.listener, pauseAccept: make(chan struct{})}
	in.resumeMigratingValues()
	if stageBefore == handoverActive {
		in.backends.maxConns = in.backends.maxConnsAlone
		LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
		if in.peers != nil {
			in.peers.resume()
		}
	}
	if in.successor.listener != nil { // the new one had taken its place on the file system: the next would find nobody
		in.successor.listener.Close()
		in.listenForSuccessor()
	}
	if in.shutdownRequested && stageBefore == handoverActive {
		in.after(in.killDelayS()-expireBeforeKillS, in.expireShutdown)
	}
	for c := range in.clients.conns {
		if c.readerStopped && !c.closing {
			in.restartReader(c)
		}
	}
	if in.shutdownRequested { // to end: it takes no new connections again, and what was to be passed on ends with its drain
		return
	}
	in.closingClients = false
	in.listener.SetDeadline(time.Time{})
	in.acceptingClients.Store(true)
	go in.acceptLoop(in.listener, in.successor.pauseAccept)
}

// restartReader has a parked connection read again.
func (in *Ingress) restartReader(c *clientConn) {
	c.readerStopRequested, c.readerStopped, c.transferring = false, false, false
	c.stopReading = make(chan struct{})
	if c.conn.SetReadDeadline(time.Time{}); c.deadlineSet {
		c.startCommandDeadline(in)
	}
	go c.readLoop(in)
}
