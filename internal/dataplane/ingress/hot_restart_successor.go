package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"syscall"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

const (
	// failBeforeKillS is how many seconds before it may be killed the old process fails its open requests. Large values that these answers are
	// queued behind migrate then.
	failBeforeKillS = 0.3
	// endBeforeKillS is how many seconds before it may be killed the old process ends, except for its last writes.
	endBeforeKillS = 0.25
)

// successorState is the state of an old process's hand-over to its successor. Loop only, except the channels and the link.
type successorState struct {
	listener    *hotrestart.Listener // accepts links of successors; nil: this process can't be replaced
	notOffered  error                // why this process can't be replaced; nil: it can
	link        *hotrestart.Link
	stage       handoverStage
	features    byte            // what the successor accepts, as in the body of Ready
	transfers   chan transfer   // queue of sendToSuccessor; has room for every client connection, each of which is queued once at most
	events      chan []byte     // queue of sendToSuccessor; nil before the hand-over is active
	drain       policy.Drain    // goes on at the successor, or here if the successor dies
	proceeded   bool            // the successor has been sent the first messages, up to Proceed
	transferred int             // connections
	snapshot    []snapshot.Part // sent to the successor
	endTimer    *timer          // ends a hand-over that takes too long
}

// transfer is a connection on its way to the successor.
type transfer struct {
	client *clientConn
	value  *largeValue // under way, transferred with its backend connection; nil: none is
	behind []slotTransfer
	body   []byte // input that was read and not used; with a value, an encoded valueTransfer
}

// listenForSuccessor starts to listen for a process that replaces this one.
func (in *Ingress) listenForSuccessor() {
	listener, err := hotrestart.Listen(hotrestart.SocketPath(os.TempDir(), in.cfg.Name))
	if err != nil {
		in.successor.notOffered = err
		in.log.Warn("hot restart not available: not listening for a new process", "error", err)
		return
	}
	in.successor.listener = listener
	go in.serveSuccessors(listener)
}

// serveSuccessors serves one new process after the other, until the listener is closed. A second one comes only if the first one fails.
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

// serveSuccessor sends a new process the sockets, and receives its messages until the link ends.
func (in *Ingress) serveSuccessor(link *hotrestart.Link) {
	m, err := link.Expect(hotrestart.Hello, 0, linkTimeout)
	if err != nil || len(m.Body) != 1 || m.Body[0] != hotrestart.Version {
		in.Post(func(float64) { in.logFault("hand-over rejected: the new process sent no hello of this version") })
		return
	}
	var listener *net.TCPListener
	if in.onLoop(context.Background(), func() error { listener = in.listener; return nil }) != nil {
		return
	}
	sockets := []syscall.Conn{listener}
	if in.peers != nil {
		sockets = append(sockets, in.peers.conn)
	}
	if err := link.Send(hotrestart.Sockets, nil, linkTimeout, sockets...); err != nil {
		return
	}
	ready, err := link.Expect(hotrestart.Ready, 0, 0)
	if err != nil {
		return
	}
	features := byte(0)
	if len(ready.Body) > 0 {
		features = ready.Body[0]
	}
	in.Post(func(float64) { in.beginHandover(link, features) })
	for err == nil { // until the link ends
		if m, err = link.Receive(0); err == nil && m.Kind == hotrestart.Order {
			in.receiveOrder(link, m.Body)
		}
		m.Close()
	}
}

// beginHandover stops accepting connections. startTransfers continues the hand-over once the loop has all accepted connections. A second
// hand-over, or one after the shutdown has begun to close clients, is rejected by closing the link.
func (in *Ingress) beginHandover(link *hotrestart.Link, features byte) {
	if _, migrated := in.decider.(*eventRelay); migrated || in.shutdown.closingClients || in.successor.stage != handoverNone {
		link.Close()
		return
	}
	in.log.Info("hand-over to a new process begins")
	in.successor.link, in.successor.stage, in.successor.features = link, handoverPausing, features
	in.acceptingClients.Store(false)
	in.successor.drain = in.drain.Drain
	in.clearDrain()
	if in.accept == nil { // for a drain
		in.prepareListener()
		in.startTransfers()
		return
	}
	close(in.accept.pause)
	setAcceptDeadline(in.listener, expiredDeadline)
}

// startTransfers has the successor proceed, and starts to transfer idle connections. It has no effect if the hand-over has ended meanwhile.
func (in *Ingress) startTransfers() {
	s := &in.successor
	if s.stage != handoverPausing {
		return
	}
	s.stage = handoverActive
	if s.drain.Active() && s.takesDrain() {
		in.leaveDrainToSuccessor()
	}
	if in.peers != nil {
		in.peers.pause()
	}
	proceedBody := in.proceedBody()
	s.transfers = make(chan transfer, cap(in.clients.connPermits))
	if d, ok := in.decider.(SnapshotDecider); ok {
		s.snapshot = d.Snapshot(in.now)
	}
	ran := in.ranEvents()
	s.events = make(chan []byte, maxQueuedRelays)
	in.migrateDecider()
	first := handoverMessages{snapshot: s.snapshot, ran: ran, proceed: proceedBody}
	if s.takesDrain() {
		first.drainStartedAt = s.drain.StartedAt()
	}
	go in.sendToSuccessor(s.link, first, s.transfers, s.events)
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

// proceedBody returns the encoded body of the Proceed message.
func (in *Ingress) proceedBody() []byte {
	list := in.cordons.Listed()
	message := proceedMessage{in.clients.open(), in.clock.BootTime(), &list}
	body, err := json.Marshal(message)
	if err == nil && len(body) > hotrestart.MaxBodyBytes {
		message.Endpoints = nil // the successor uses its configured list, and discovery
		body, err = json.Marshal(message)
	}
	if err != nil {
		in.logFault("proceed message not encoded", "error", err)
	}
	return body
}

// transferClient queues a connection for transfer to the successor, with the answers that are not written. The connection's reader must
// have stopped, nothing may be being written to it, and all of its answers must be final. transferClient returns false if the connection
// can't be transferred.
func (in *Ingress) transferClient(c *clientConn) bool {
	if !in.transferable(c) {
		return false
	}
	behind, ok := encodeSlots(c.answerSlots)
	if !ok {
		return false
	}
	c.reader = readerTransferring
	in.successor.transfers <- transfer{client: c, body: bytes.Clone(c.input.Bytes()), behind: behind}
	return true
}

// transferable reports whether a connection may be transferred to the successor, once its reader has stopped and its answers are final.
func (in *Ingress) transferable(c *clientConn) bool {
	return in.successor.stage == handoverActive && c.state == connOpen && c.reader != readerTransferring && c.input.Len() <= hotrestart.MaxBodyBytes
}

// handoverMessages are what the successor gets first, in this order.
type handoverMessages struct {
	snapshot       []snapshot.Part
	ran            [][]byte // see ranEvents
	drainStartedAt float64  // 0: there is no drain, or the successor does not take it
	proceed        []byte   // the body
}

func (m handoverMessages) send(link *hotrestart.Link) error {
	if err := sendSnapshot(link, m.snapshot); err != nil {
		return err
	}
	if err := sendRanEvents(link, m.ran); err != nil {
		return err
	}
	if m.drainStartedAt > 0 {
		if err := link.Send(hotrestart.Drain, hotrestart.EncodeTime(m.drainStartedAt), linkTimeout); err != nil {
			return err
		}
	}
	return link.Send(hotrestart.Proceed, m.proceed, linkTimeout)
}

// sendToSuccessor sends the first messages and then events and connections, until the link or the loop ends. From then on it is the only
// goroutine that sends on the link. If a send fails it closes the link, and the receiving goroutine reports the end.
func (in *Ingress) sendToSuccessor(link *hotrestart.Link, first handoverMessages, transfers <-chan transfer, events <-chan []byte) {
	err := first.send(link)
	if err == nil {
		in.post(in.clock.Now(), func() { in.handleProceeded(link) })
	}
	for err == nil {
		select {
		case <-in.done:
			return
		case body, ok := <-events:
			if !ok { // the successor is lost
				return
			}
			err = link.Send(hotrestart.Event, body, linkTimeout)
		case t := <-transfers:
			if err = t.send(link); err == nil {
				in.post(in.clock.Now(), func() { in.handleTransferred(t) })
			}
		}
	}
	link.Close()
}

// handleProceeded records that the successor has what it needs to serve.
func (in *Ingress) handleProceeded(link *hotrestart.Link) {
	if in.successor.link == link {
		in.successor.proceeded = true
	}
}

// mustProceed reports whether this process has to keep running to send a successor its state.
func (in *Ingress) mustProceed() bool {
	return in.successor.stage == handoverActive && !in.successor.proceeded && !in.shutdown.expired
}

// sendSnapshot sends the parts of a snapshot. Classes and backends, which all parts have, are sent with the first part only.
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

// send sends the answers that are not written, the client connection and, with a value, its backend connection to the successor. After an
// error the successor has no connection.
func (t transfer) send(link *hotrestart.Link) (err error) {
	for _, slot := range t.behind {
		if err := slot.send(link); err != nil {
			return err
		}
	}
	t.client.sentToSuccessor.Store(true) // before the send, as the successor may use the connection at once
	if t.value != nil {
		err = link.Send(hotrestart.LargeValue, t.body, linkTimeout, t.client.conn, t.value.stream.backendConn.conn)
	} else {
		err = link.Send(hotrestart.Client, t.body, linkTimeout, t.client.conn)
	}
	if err != nil {
		t.client.sentToSuccessor.Store(false)
	}
	return err
}

// handleTransferred releases a connection that was sent to the successor.
func (in *Ingress) handleTransferred(t transfer) {
	in.successor.transferred++
	for _, slot := range t.behind {
		if slot.value != nil {
			in.handleValueMigrated(slot.value)
		}
	}
	if t.value != nil {
		in.handleValueMigrated(t.value)
	}
	in.closeClient(t.client, closeHandedOver)
}

// releaseUnconfirmedTransfers releases the connections that the successor may have got before it died, although their confirmation has not
// arrived. The successor may have read a request from such a connection, or written a part of a value to it, so this process can't serve it.
func (in *Ingress) releaseUnconfirmedTransfers() {
	for v := range in.largeValues {
		if v.client.reader == readerTransferring && v.client.sentToSuccessor.Load() {
			in.handleValueMigrated(v)
		}
	}
	for c := range in.clients.conns {
		if c.reader == readerTransferring && c.sentToSuccessor.Load() {
			in.closeClient(c, closeHandedOver)
		}
	}
}

// handleSuccessorLost handles the end of the link to a successor while this process still runs: this process takes its state back and
// serves again.
func (in *Ingress) handleSuccessorLost(link *hotrestart.Link) {
	s := &in.successor
	if s.link != link || s.stage == handoverNone {
		return
	}
	in.log.Error("link to the new process lost: this process continues to serve", "transferred", s.transferred,
		"transfers_unconfirmed", in.clients.inTransfer(), "requests_taken_back", len(in.requests))
	stageBefore, drain := s.stage, s.drain
	events := s.events
	in.stopTimer(s.endTimer)
	if _, migrated := in.decider.(*eventRelay); migrated {
		in.reclaimDecider()
	} else {
		in.restoreSnapshot(snapshot.Reclaimed(s.snapshot))
	}
	in.successor = successorState{listener: s.listener}
	if events != nil {
		close(events) // ends sendToSuccessor; no send can follow, as only the loop queues events, in the channel of in.successor
	}
	in.releaseUnconfirmedTransfers()
	in.resumeMigratingValues()
	if stageBefore == handoverActive {
		in.restoreFullLimits()
		if in.peers != nil {
			in.peers.resume()
		}
	}
	if in.successor.listener != nil { // the successor replaced the socket file: the next process would find no listener
		in.successor.listener.Close()
		in.listenForSuccessor()
	}
	if in.shutdown.requested && stageBefore == handoverActive {
		in.after(in.killDelayS()-expireBeforeKillS, in.expireShutdown)
	}
	for c := range in.clients.conns {
		if c.reader >= readerStopped && c.state != connClosing {
			in.restartReader(c)
			in.flushAnswers(c)
		}
	}
	if in.shutdown.requested { // no connections are accepted again; those that were to be transferred end with the shutdown
		return
	}
	in.shutdown.closingClients = false
	if drain.Active() {
		in.resumeDrain(drain.StartedAt())
	}
	in.resumeAccepting()
}
