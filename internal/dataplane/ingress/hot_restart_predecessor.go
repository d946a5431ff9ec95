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

var errNoSnapshot = errors.New("nothing of what it knows came over")

// predecessorState is what a new process has from the one that it replaces, until the link to that one ends. Loop only, but for the link and
// what does not change.
type predecessorState struct {
	link          *hotrestart.Link
	listener      *net.TCPListener
	peers         *net.UDPConn    // nil: there are no peer messages
	snapshot      []snapshot.Part // of what its decider knew; all or none
	reservedInput int             // bytes of the input budget that it may still use
	bootTime      float64         // the machine's start by its clock; 0: not known
	orders        chan []byte     // to the goroutine that sends them, see decider_migration.go; nil: there can be none
}

// connectPredecessor asks the process that this one replaces for its sockets; nil if there is none.
func connectPredecessor(cfg ingressconfig.Config) (*predecessorState, error) {
	path, err := hotrestart.SocketPath(os.TempDir(), cfg.Name)
	if err != nil {
		return nil, nil // listenForSuccessor logs it
	}
	link, err := hotrestart.Dial(path)
	if link == nil || err != nil {
		return nil, err
	}
	p := &predecessorState{link: link}
	if err := p.fetchSockets(cfg); err != nil {
		p.close()
		return nil, handoverError(err)
	}
	return p, nil
}

// fetchSockets says hello and takes the sockets that come for it.
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

// handoverError is why a running process can't be replaced.
func handoverError(cause error) error {
	return fmt.Errorf("the running process does not hand over: %w", cause)
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

// timeShiftS is what has to be added to the predecessor's times, in seconds.
func (in *Ingress) timeShiftS(p *predecessorState) float64 {
	if p.bootTime == 0 || in.clock.BootTime() == 0 {
		return 0
	}
	return in.clock.BootTime() - p.bootTime
}

// announceReady notifies the predecessor that this process is ready, and returns once that one accepts nothing more, or has ended. The endpoint list
// is the predecessor's, which is newer than the configuration's.
//
// A member of a fleet must have the whole snapshot and the member lock: else the predecessor goes on, or another process.
func (in *Ingress) announceReady() error {
	p := in.predecessor
	message, err := p.awaitGo()
	if err == nil {
		err = in.adoptEndpoints(message)
	}
	in.clients.openElsewhere, p.bootTime = max(0, message.OpenClients), message.BootTime
	if in.memberLock == nil {
		if err != nil { // the sockets are here: whatever became of the old process, clients are served
			in.log.Warn("the old process did not say that it has stopped", "error", err)
		}
		return nil
	}
	if err == nil && len(p.snapshot) == 0 { // promises that nobody knows of could be given twice
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

// awaitGo sends Ready, and receives the snapshot and the message with which this process goes on.
func (p *predecessorState) awaitGo() (message goMessage, err error) {
	err = p.link.Send(hotrestart.Ready, nil, linkTimeout)
	var m hotrestart.Message
	for err == nil && m.Kind != hotrestart.Proceed {
		if m, err = p.link.Receive(linkTimeout); err == nil && m.Kind == hotrestart.Snapshot {
			err = p.addSnapshotPart(m.Body)
		}
		m.Close()
	}
	if err != nil {
		p.snapshot = nil // a part of its counts would look to others as if the rest was handed back
		return goMessage{}, err
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
		return fmt.Errorf("more than %d parts of what its module knows", maxSnapshotParts)
	}
	p.snapshot = append(p.snapshot, part)
	return nil
}

// adoptEndpoints goes on with the predecessor's endpoint list, if it came.
func (in *Ingress) adoptEndpoints(message goMessage) error {
	list := message.Endpoints
	if list == nil {
		return nil
	}
	if err := list.Validate(); err != nil {
		return err
	}
	list.Version = -1 // it may be another agent's: the full list is asked for
	in.cfg.InitialEndpoints = *list
	in.watcher = in.newWatcher()
	return nil
}

// restoreSnapshot has the decider go on with what another one knew.
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

// receiveTransfers takes what the predecessor sends, until it ends. It is the one goroutine that receives from the link.
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
		if err := in.receiveTransfer(m); err != nil {
			<-in.clients.connPermits
			in.Post(func(float64) { in.logFault("connection not taken over from the old process", "error", err) })
			continue
		}
		transferred++
	}
	p.link.Close()
	in.Post(func(float64) { in.handlePredecessorEnd(p, transferred) })
}

// receiveTransfer takes a connection from the predecessor, or with it a value that is on its way.
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

// resumeClient begins to read a connection of the predecessor, with what that one had read of it and not used. The caller has a permit for it.
func (in *Ingress) resumeClient(conn *net.TCPConn, unused []byte) error {
	c, err := in.newClientConn(conn)
	if err != nil {
		return err
	}
	if !c.input.Fill(unused) {
		return errInputBudget
	}
	if len(unused) > 0 {
		c.startCommandDeadline(in)
	}
	in.post(in.clock.Now(), func() { in.addResumedClient(c) })
	go c.readLoop(in)
	return nil
}

// addResumedClient takes a connection of the predecessor among those of this process, or has it transferred to the next one.
func (in *Ingress) addResumedClient(c *clientConn) {
	in.clients.openElsewhere = max(0, in.clients.openElsewhere-1)
	c.commandReceived, c.callReceived = true, true // as far as this process knows: what it asked may be on its way
	if in.successor.stage != handoverActive {
		in.addClient(c)
		return
	}
	c.lastUsedAt, c.acceptedAt = in.now, in.now
	in.clients.conns[c] = struct{}{}
	c.stopReader()
}

// handlePredecessorEnd takes the end of the link: all that the predecessor still had has ended with it.
func (in *Ingress) handlePredecessorEnd(p *predecessorState, transferred int) {
	in.log.Info("the old process has ended", "connections", transferred)
	in.inputBudget.Release(p.reservedInput)
	in.backends.maxConns = in.backends.maxConnsAlone
	in.clients.openElsewhere = 0
	in.predecessor = nil
	if p.orders != nil {
		close(p.orders) // ends its sender: orders are given by the loop alone, and to a predecessor alone
	}
	in.endPredecessorRequests()
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction)
}

// predecessorAlive reports whether this process has to stay for its predecessor: at the end of the link that one would take itself for the one to
// go on. Its connections and what is decided for its requests may go on to a third process by way of this one.
func (in *Ingress) predecessorAlive() bool { return in.predecessor != nil && !in.shutdown.expired }
