package ingress

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/decision/snapshot"
)

var (
	errNoSnapshot    = errors.New("no snapshot received")
	errNoPredecessor = errors.New("no process hands over its sockets")
)

// predecessorState is the state of a new process's link to the process that it replaces, kept until the link ends. Loop only, except the
// link and the fields that never change.
type predecessorState struct {
	link          *hotrestart.Link
	listener      *net.TCPListener
	peers         *net.UDPConn    // nil: peer messages are off
	snapshot      []snapshot.Part // the state of the predecessor's decider: all parts, or none
	reservedInput int             // bytes of the input budget that are reserved for the predecessor
	bootTime      float64         // when the machine started, in Unix seconds by its clock; 0: not known
	drainedAt     float64         // when the drain began that this process continues, by the predecessor's clock; 0: there is none
	ranRequests   []string        // ids that this process must not run again, see ranEvents
	slots         []*answerSlot   // received for the next connection; receiveTransfers only
	orders        chan []byte     // sent to the predecessor by the goroutine sendOrders; nil: this process has not taken over its decisions
}

// connectPredecessor connects to the running process that this one replaces, and receives its sockets. The error is errNoPredecessor if
// no such process can be reached.
func connectPredecessor(cfg ingressconfig.Config) (*predecessorState, error) {
	link, err := hotrestart.Dial(hotrestart.SocketPath(os.TempDir(), cfg.Name))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoPredecessor, err)
	}
	p := &predecessorState{link: link}
	if err := p.fetchSockets(cfg); err != nil {
		p.close()
		return nil, handoverError(err)
	}
	return p, nil
}

// fetchSockets sends Hello and receives the listener and, with peer messages, the datagram socket.
func (p *predecessorState) fetchSockets(cfg ingressconfig.Config) error {
	fds := 1
	if cfg.Settings.PeerMessages {
		fds = 2
	}
	if err := p.link.Send(hotrestart.Hello, []byte{hotrestart.Version}, linkTimeout); err != nil {
		return err
	}
	m, err := p.link.Expect(hotrestart.Sockets, fds, linkTimeout)
	if err == nil {
		p.listener, err = hotrestart.TCPListener(m.Files[0], cfg.Listen)
	}
	if err == nil && fds == 2 {
		p.peers, err = hotrestart.UDPConn(m.Files[1], cfg.PeerListen.String())
	}
	if err != nil {
		m.Close()
	}
	return err
}

// handoverError adds to cause that the old process could not be replaced.
func handoverError(cause error) error {
	return fmt.Errorf("the old process does not hand over: %w", cause)
}

func (p *predecessorState) close() {
	p.link.Close()
	if p.listener != nil {
		p.listener.Close()
	}
	if p.peers != nil {
		p.peers.Close()
	}
}

// timeShiftS returns the seconds to add to the predecessor's times; 0 if the boot time of either process is not known.
func (in *Ingress) timeShiftS(p *predecessorState) float64 {
	if p.bootTime == 0 || in.clock.BootTime() == 0 {
		return 0
	}
	return in.clock.BootTime() - p.bootTime
}

// announceReady notifies the predecessor that this process is ready, and returns once the predecessor has stopped accepting connections,
// or has ended. The endpoint list is the predecessor's, which is newer than the configuration's.
//
// A member of a fleet needs the whole snapshot and the member lock. Without them it returns an error, and the predecessor, or another
// process, continues to serve.
func (in *Ingress) announceReady() error {
	p := in.predecessor
	message, err := p.awaitProceed()
	if err == nil {
		err = in.adoptEndpoints(message)
	}
	for _, id := range p.ranRequests {
		in.ranRequests.add(id, in.now)
	}
	in.clients.predecessorConns, p.bootTime = max(0, message.OpenClients), message.BootTime
	if in.memberLock == nil {
		if err != nil { // this process has the sockets and serves clients, whatever became of the old process
			in.log.Warn("hand-over from the old process incomplete: serving anyway", "error", err)
		}
		return nil
	}
	if err == nil && len(p.snapshot) == 0 { // promises of the old process, unknown here, could be given a second time
		err = errNoSnapshot
	}
	if err == nil {
		err = in.acquireMemberLock()
	}
	if err != nil {
		return handoverError(err)
	}
	return nil
}

// awaitProceed sends Ready, and receives the snapshot and the Proceed message.
func (p *predecessorState) awaitProceed() (message proceedMessage, err error) {
	err = p.link.Send(hotrestart.Ready, []byte{hotrestart.AcceptsAnswers | hotrestart.TakesDrain}, linkTimeout)
	var m hotrestart.Message
	for err == nil && m.Kind != hotrestart.Proceed {
		m, err = p.link.Receive(linkTimeout)
		switch {
		case err != nil:
		case m.Kind == hotrestart.Snapshot:
			err = p.addSnapshotPart(m.Body)
		case m.Kind == hotrestart.Event:
			p.addRanEvent(m.Body)
		case m.Kind == hotrestart.Drain:
			p.drainedAt, err = hotrestart.DecodeTime(m.Body)
		}
		m.Close()
	}
	if err != nil {
		p.snapshot = nil // with a part of its counts, other processes would see the missing counts as given back
		return proceedMessage{}, err
	}
	err = json.Unmarshal(m.Body, &message)
	return message, err
}

func (p *predecessorState) addSnapshotPart(body []byte) error {
	var part snapshot.Part
	if err := json.Unmarshal(body, &part); err != nil {
		return err
	}
	if len(p.snapshot) == maxSnapshotParts {
		return fmt.Errorf("snapshot has more than %d parts", maxSnapshotParts)
	}
	p.snapshot = append(p.snapshot, part)
	return nil
}

// adoptEndpoints replaces the configured endpoint list by the predecessor's, if the message has one.
func (in *Ingress) adoptEndpoints(message proceedMessage) error {
	list := message.Endpoints
	if list == nil {
		return nil
	}
	if err := list.Validate(); err != nil {
		return err
	}
	list.Version = -1 // the version may be another agent's: with -1, the watcher asks for the full list
	in.cfg.InitialEndpoints = *list
	in.watcher = in.newWatcher()
	return nil
}

// restoreSnapshot has the decider continue from the parts of a snapshot. A decider that takes no snapshots ignores them.
func (in *Ingress) restoreSnapshot(parts []snapshot.Part) {
	if d, ok := in.decider.(MigratingDecider); ok {
		in.resumeDecider(d, parts)
		return
	}
	if d, ok := in.decider.(SnapshotDecider); ok {
		in.now = max(in.now, in.clock.Now())
		for _, part := range parts {
			d.Restore(in.now, part)
		}
	}
}

// receiveTransfers receives events and connections from the predecessor until the link ends. After Proceed, it is the only goroutine that
// receives from the link.
func (in *Ingress) receiveTransfers(p *predecessorState) {
	transferred := 0
	for {
		m, err := p.link.Receive(0)
		if err != nil {
			break
		}
		switch {
		case m.Kind == hotrestart.Event:
			m.Close()
			in.receiveEvent(p, m.Body)
			continue
		case m.Kind == hotrestart.Answer, m.Kind == hotrestart.NextValue && len(m.Files) == 1:
			p.receiveSlot(in, m)
			continue
		case m.Kind == hotrestart.Client && len(m.Files) == 1, m.Kind == hotrestart.LargeValue && len(m.Files) == 2:
		default:
			m.Close()
			continue
		}
		select {
		case in.clients.connPermits <- struct{}{}:
		case <-in.done:
			m.Close()
			p.link.Close()
			return
		}
		if err := in.receiveTransfer(m, p.takeSlots()); err != nil {
			<-in.clients.connPermits
			in.Post(func(float64) { in.logFault("connection not taken over from the old process", "error", err) })
			continue
		}
		transferred++
	}
	closeValues(p.takeSlots()) // of a connection that did not come
	p.link.Close()
	in.Post(func(float64) { in.handlePredecessorEnd(p, transferred) })
}

// receiveTransfer takes over a client connection from the predecessor or, with LargeValue, a client connection, its backend connection and
// the value under way between them. behind holds what is to be written to the client, behind the value.
func (in *Ingress) receiveTransfer(m hotrestart.Message, behind []*answerSlot) error {
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
		err = in.resumeLargeValue(conns[0], conns[1], m.Body, behind)
	default:
		err = in.resumeClient(conns[0], m.Body, behind)
	}
	if err != nil {
		for _, c := range conns {
			c.Close()
		}
		closeValues(behind)
	}
	return err
}

// resumeClient starts to read a connection of the predecessor, and to write what the predecessor has not written. unused is the input that
// the predecessor read and did not use. The caller holds a connection permit for it.
func (in *Ingress) resumeClient(conn *net.TCPConn, unused []byte, slots []*answerSlot) error {
	c, err := in.newClientConn(conn)
	if err != nil {
		return err
	}
	if err := c.resumeSlots(slots); err != nil {
		return err
	}
	c.input.Fill(unused)
	if len(unused) > 0 {
		c.startCommandDeadline(in)
	}
	in.post(in.clock.Now(), func() { in.addResumedClient(c) })
	go c.readLoop(in)
	return nil
}

// addResumedClient adds a connection of the predecessor to the client table. While this process hands over to its own successor, the
// connection is transferred there.
func (in *Ingress) addResumedClient(c *clientConn) {
	in.clients.predecessorConns = max(0, in.clients.predecessorConns-1)
	c.commandReceived, c.callReceived = true, true // assumed, as this process can't know: a command of the client may be on its way
	in.addResumedSlots(c)
	if in.successor.stage != handoverActive {
		in.addClient(c)
		in.flushAnswers(c)
		return
	}
	c.lastUsedAt, c.acceptedAt = in.now, in.now
	in.clients.conns[c] = struct{}{}
	c.stopReader()
}

// handlePredecessorEnd handles the end of the link: connections and requests that the predecessor still had count as ended.
func (in *Ingress) handlePredecessorEnd(p *predecessorState, transferred int) {
	in.log.Info("link to the old process has ended", "connections", transferred)
	in.inputBudget.Release(p.reservedInput)
	in.backends.maxConns = in.backends.maxConnsAlone
	in.clients.predecessorConns = 0
	in.predecessor = nil
	if p.orders != nil {
		close(p.orders) // ends sendOrders; no send can follow, as only the loop queues orders, and only while in.predecessor is set
	}
	in.endPredecessorRequests()
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
}

// mustAwaitPredecessor reports whether this process has to keep running for its predecessor. If the link ended, the predecessor would
// conclude that its successor died, and serve again. The predecessor's connections, and the events and orders of its requests, may also
// pass through this process to and from a third one.
func (in *Ingress) mustAwaitPredecessor() bool { return in.predecessor != nil && !in.shutdown.expired }
