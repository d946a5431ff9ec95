package ingress

import (
	"bytes"
	"encoding/json"
	"os"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/decision/snapshot"
)

const (
	// failBeforeKillS before it may be killed, the old process fails what it still owes; values behind which these answers wait migrate then.
	failBeforeKillS = 0.3
	// endBeforeKillS before that it ends, but for its last writes.
	endBeforeKillS = 0.25
)

// successorState is what an old process has of the link to its successor. Loop only, but for the channels and the link.
type successorState struct {
	listener    *hotrestart.Listener // for successors; nil: this process can't be replaced
	link        *hotrestart.Link
	stage       handoverStage
	pauseAccept chan struct{}   // closed to end the accepting of connections
	transfers   chan transfer   // to the goroutine that sends them; as long as there may be connections, each of which is in it once
	events      chan []byte     // of a decider that has migrated: to the same goroutine
	transferred int             // connections
	snapshot    []snapshot.Part // that the successor got
	endTimer    *timer          // of the hand-over that takes too long
}

// transfer is a connection on its way to the successor.
type transfer struct {
	client *clientConn
	body   []byte      // what was read of it and not used, or with a value a valueTransfer
	value  *largeValue // that goes along, with its backend's connection; nil: nothing is open
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

// serveSuccessors serves one new process after the other, until the listener is closed; but for crashes there is one.
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

// serveSuccessor gives a new process the sockets, and takes its messages to the end of the link.
func (in *Ingress) serveSuccessor(link *hotrestart.Link) {
	m, err := link.Expect(hotrestart.Hello, 0, linkTimeout)
	if err != nil || len(m.Body) != 1 || m.Body[0] != hotrestart.Version {
		in.Post(func(float64) { in.logFault("a process of another version asked for the sockets") })
		return
	}
	sockets := []syscall.Conn{in.listener}
	if in.peers != nil {
		sockets = append(sockets, in.peers.conn)
	}
	if err := link.Send(hotrestart.Sockets, nil, linkTimeout, sockets...); err != nil {
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

// beginHandover ends the accepting of connections; startTransfers goes on once none of them is on its way to the loop any more.
func (in *Ingress) beginHandover(link *hotrestart.Link) {
	if _, migrated := in.decider.(*eventRelay); migrated || in.shutdown.closingClients || in.successor.stage != handoverNone {
		link.Close()
		return
	}
	in.log.Info("a new process takes over")
	in.successor.link, in.successor.stage = link, handoverPausing
	in.acceptingClients.Store(false)
	in.clearDrain()
	close(in.successor.pauseAccept)
	setAcceptDeadline(in.listener, expiredDeadline)
}

// startTransfers has the successor go on, and transfers what is idle. pause is the channel by which the accepting goroutine was stopped.
func (in *Ingress) startTransfers(pause chan struct{}) {
	s := &in.successor
	if s.stage != handoverPausing || s.pauseAccept != pause {
		return
	}
	s.stage = handoverActive
	if in.peers != nil {
		in.peers.pause()
	}
	goBody := in.goBody()
	s.transfers = make(chan transfer, cap(in.clients.connPermits))
	if d, ok := in.decider.(SnapshotDecider); ok {
		s.snapshot = d.Snapshot(in.now)
	}
	in.migrateDecider()
	go in.sendToSuccessor(s.link, s.snapshot, goBody, s.transfers, s.events)
	in.shutdown.closingClients = true
	in.halveBackendConns()
	for _, backend := range in.backends.byID {
		in.closeIdleConns(backend)
	}
	LimitMemory(in.cfg.MemoryMB, MemoryLimitFraction*coexistFraction)
	for c := range in.clients.conns {
		c.stopReader()
	}
	killDelayS := in.killDelayS()
	in.after(max(min(migrateValuesAfterS, killDelayS-failBeforeKillS-migrateValuesBeforeFailS), 0), in.migrateValues)
	s.endTimer = in.after(killDelayS-failBeforeKillS, func() {
		in.failOpenRequests()
		s.endTimer = in.after(failBeforeKillS-endBeforeKillS, in.expireShutdown)
	})
}

// goBody is the message with which the successor goes on.
func (in *Ingress) goBody() []byte {
	list := in.cordons.Listed()
	message := goMessage{in.clients.open(), in.clock.BootTime(), &list}
	body, err := json.Marshal(message)
	if err == nil && len(body) > hotrestart.MaxBodyBytes {
		message.Endpoints = nil // the successor goes by its own, and by discovery
		body, err = json.Marshal(message)
	}
	if err != nil {
		in.logFault("hand-over message not encoded", "error", err)
	}
	return body
}

// transferClient gives a connection whose reader has stopped, and whose client waits for nothing, to the successor; false if that can't be.
func (in *Ingress) transferClient(c *clientConn) bool {
	if in.successor.stage != handoverActive || c.state == connClosing || c.reader == readerTransferring || c.input.Len() > hotrestart.MaxBodyBytes {
		return false
	}
	c.reader = readerTransferring
	in.successor.transfers <- transfer{client: c, body: bytes.Clone(c.input.Bytes())}
	return true
}

// sendToSuccessor sends the snapshot, the message to go on and then events and connections, until the link or this process ends. It is the one
// goroutine that sends on the link; when that fails it closes it, and the goroutine that receives reports the end.
func (in *Ingress) sendToSuccessor(link *hotrestart.Link, parts []snapshot.Part, goBody []byte, transfers <-chan transfer, events <-chan []byte) {
	err := sendSnapshot(link, parts)
	if err == nil {
		err = link.Send(hotrestart.Proceed, goBody, linkTimeout)
	}
	for err == nil {
		select {
		case <-in.done:
			return
		case body := <-events:
			err = link.Send(hotrestart.Event, body, linkTimeout)
		case t := <-transfers:
			if err = t.send(link); err == nil {
				in.post(in.clock.Now(), func() { in.handleTransferred(t) })
			}
		}
	}
	link.Close()
}

// sendSnapshot sends the parts of a snapshot; what all of them have goes with the first alone.
func sendSnapshot(link *hotrestart.Link, parts []snapshot.Part) error {
	for i, part := range parts {
		if i > 0 {
			part.Classes = nil
		}
		if i > 0 || len(part.Backends) > maxSnapshotBackends {
			part.Backends = nil
		}
		body, err := json.Marshal(part)
		if err == nil {
			err = link.Send(hotrestart.Snapshot, body, linkTimeout)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// send passes the connection, and with a value its backend's, to the successor.
func (t transfer) send(link *hotrestart.Link) error {
	if t.value != nil {
		return link.Send(hotrestart.LargeValue, t.body, linkTimeout, t.client.conn, t.value.stream.backendConn.conn)
	}
	return link.Send(hotrestart.Client, t.body, linkTimeout, t.client.conn)
}

// handleTransferred lets go of a connection that the successor has now.
func (in *Ingress) handleTransferred(t transfer) {
	in.successor.transferred++
	if t.value != nil {
		in.handleValueMigrated(t.value)
		return
	}
	in.closeClient(t.client, closeHandedOver)
}

// handleSuccessorLost takes the end of the link. A successor that ended before this process did leaves everything to it.
func (in *Ingress) handleSuccessorLost(link *hotrestart.Link) {
	s := &in.successor
	if s.link != link || s.stage == handoverNone {
		return
	}
	in.log.Error("the new process has ended; this one goes on", "transferred", s.transferred)
	stageBefore := s.stage
	in.stopTimer(s.endTimer)
	if _, migrated := in.decider.(*eventRelay); migrated {
		in.reclaimDecider()
	} else {
		in.restoreSnapshot(snapshot.Reclaimed(s.snapshot))
	}
	in.successor = successorState{listener: s.listener, pauseAccept: make(chan struct{})}
	in.resumeMigratingValues()
	if stageBefore == handoverActive {
		in.takeAllLimits()
		if in.peers != nil {
			in.peers.resume()
		}
	}
	if in.successor.listener != nil { // the successor's own has replaced its file: the next process would find nobody
		in.successor.listener.Close()
		in.listenForSuccessor()
	}
	if in.shutdown.requested && stageBefore == handoverActive {
		in.after(in.killDelayS()-expireBeforeKillS, in.expireShutdown)
	}
	for c := range in.clients.conns {
		if c.reader >= readerStopped && c.state != connClosing {
			in.restartReader(c)
		}
	}
	if in.shutdown.requested { // it accepts no connections again, and what was to be transferred ends with the shutdown
		return
	}
	in.shutdown.closingClients = false
	setAcceptDeadline(in.listener, time.Time{})
	in.acceptingClients.Store(true)
	go in.acceptLoop(in.listener, in.successor.pauseAccept)
}
