package ingress

import (
	"encoding/json"
	"slices"
	"time"

	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/policy"
)

// A gateway that moves whole from one process to another, while the old one's sockets serve their last requests: the old process tells
// what happens to them, and does what the new one's gateway decides. See docs/forwarder-replacement.md.

const (
	maxQueuedRelays   = 4096 // events, or orders, that wait for the other side; beyond, it counts as dead
	lockRetryInterval = 20 * time.Millisecond
)

// MigratingDecider is a Gateway that hands all on, its requests too. From Move on its events tell it only what becomes of them, and it asks for
// nothing, until Reclaim; Ordered tells it what the one in the new process had done to them.
type MigratingDecider interface {
	Decider
	Migrate(now float64) []snapshot.Part
	// Resume goes on with another process's, before the first event. shift is what is to be added to its times.
	Resume(now, shift float64, parts []snapshot.Part) error
	RecordOrder(now float64, o snapshot.Order)
	Reclaim(now float64)
}

// ---- The old process ----

// eventRelay stands where a gateway stood that has moved.
type eventRelay struct {
	MigratingDecider
	ingress *Ingress
}

// migrateDecider has the gateway go over, if it is one that does.
func (in *Ingress) migrateDecider() {
	m, ok := in.decider.(MigratingDecider)
	if !ok {
		return
	}
	in.successor.snapshot = m.Migrate(in.now)
	in.successor.events = make(chan []byte, maxQueuedRelays)
	in.decider = &eventRelay{m, in}
	in.memberLock.Release()
}

// reclaimDecider has it go on here, as soon as no other process may speak for it.
func (in *Ingress) reclaimDecider() {
	m, ok := in.decider.(*eventRelay)
	if !ok {
		return
	}
	if err := in.memberLock.Take(); err != nil {
		in.logFault("the new process may still run: this one keeps quiet", "error", err)
		in.after(lockRetryInterval.Seconds(), in.reclaimDecider)
		return
	}
	in.decider = m.MigratingDecider
	m.Reclaim(in.now)
}

// forwardEvent passes an event on; one that can't be is the end of the link.
func (r *eventRelay) forwardEvent(e snapshot.Event) {
	s := &r.ingress.successor
	body, err := json.Marshal(e)
	if err == nil && s.events != nil {
		select {
		case s.events <- body:
			return
		default:
		}
	}
	if s.link != nil {
		r.ingress.logFault("the new process does not keep up", "error", err)
		s.link.Close()
	}
}

// HandleRequest implements Gateway.
func (r *eventRelay) HandleRequest(now float64, q policy.Request) {
	r.MigratingDecider.HandleRequest(now, q)
	r.forwardEvent(snapshot.Event{Request: &q})
}

// HandleOutcome implements Gateway.
func (r *eventRelay) HandleOutcome(now float64, o policy.Outcome) {
	r.MigratingDecider.HandleOutcome(now, o)
	r.forwardEvent(snapshot.Event{Outcome: &o})
}

// HandleDisconnect implements Gateway.
func (r *eventRelay) HandleDisconnect(now float64, id string) {
	r.MigratingDecider.HandleDisconnect(now, id)
	r.forwardEvent(snapshot.Event{Disconnected: id})
}

// receiveOrder takes an order off the link.
func (in *Ingress) receiveOrder(link *hotrestart.Link, body []byte) {
	var o snapshot.Order
	if err := json.Unmarshal(body, &o); err != nil {
		in.Post(func(float64) { in.logFault("an order that can't be read", "error", err) })
		return
	}
	in.Post(func(now float64) {
		if r, ok := in.decider.(*eventRelay); ok && in.successor.link == link {
			r.RecordOrder(now, o)
			in.executeOrder(r, o)
		}
	})
}

// executeOrder does what the new process's gateway wants done to a request of this one.
func (in *Ingress) executeOrder(r *eventRelay, o snapshot.Order) {
	switch o.Kind {
	case snapshot.OrderSend:
		if in.requests[o.ID] == nil && in.predecessorRequests[o.ID] == nil { // it has ended while the order was on its way
			r.forwardEvent(snapshot.Event{Outcome: &policy.Outcome{ID: o.ID, Backend: o.Backend, Attempt: o.Attempt, Status: policy.NotSent, Completed: true}})
			return
		}
		in.Send(o.ID, o.Backend, o.DelayS)
	case snapshot.OrderReject:
		in.Reject(o.ID, o.DelayS)
	case snapshot.OrderFail:
		in.Fail(o.ID)
	case snapshot.OrderCancel:
		in.Cancel(o.ID, o.Attempt)
	case snapshot.OrderCordon:
		in.Cordon(o.ID, o.Cordoned)
	}
}

// ---- The new process ----

// predecessorRequest is a request that the old process holds.
type predecessorRequest struct {
	attemptsDone []bool // by attempt
	completed    bool
}

func (e *predecessorRequest) finished() bool {
	return e.completed && !slices.Contains(e.attemptsDone, false)
}

// acquireMemberLock takes the lock of who speaks for this forwarder. The process before may let go of it a moment later than it says.
func (in *Ingress) acquireMemberLock() (err error) {
	for end := time.Now().Add(linkTimeout); ; time.Sleep(lockRetryInterval / 4) {
		if err = in.memberLock.Take(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// resumeDecider has the gateway go on with what came over. Its answers to what can't go on are orders already.
func (in *Ingress) resumeDecider(m MigratingDecider, parts []snapshot.Part) {
	if len(parts) == 0 {
		return
	}
	h := in.predecessor
	h.orders = make(chan []byte, maxQueuedRelays)
	go in.sendOrders(h.link, h.orders)
	in.predecessorRequests = map[string]*predecessorRequest{}
	for _, p := range parts {
		if p.Forwarder != nil {
			for _, o := range p.Forwarder.Requests {
				in.predecessorRequests[o.ID] = &predecessorRequest{attemptsDone: slices.Clone(o.AttemptDone), completed: o.Completed}
			}
		}
	}
	in.now = max(in.now, in.clock.Now())
	shift := 0.0
	if h.bootTime != 0 && in.clock.BootTime() != 0 {
		shift = in.clock.BootTime() - h.bootTime
	}
	if err := m.Resume(in.now, shift, parts); err != nil {
		in.log.Error("what the process before knew is lost", "error", err)
	}
}

// sendOrders sends orders until the link or this process ends.
func (in *Ingress) sendOrders(link *hotrestart.Link, orders <-chan []byte) {
	for {
		select {
		case <-in.done:
			return
		case body, ok := <-orders:
			if !ok {
				return
			}
			if err := link.Send(hotrestart.Order, body, linkTimeout); err != nil {
				link.Close()
				return
			}
		}
	}
}

// orderPredecessor has the old process do something to a request of its own; false if it has none of that id.
func (in *Ingress) orderPredecessor(o snapshot.Order) bool {
	e := in.predecessorRequests[o.ID]
	if e == nil || in.predecessor == nil {
		return false
	}
	switch o.Kind {
	case snapshot.OrderSend:
		o.Attempt = len(e.attemptsDone)
		e.attemptsDone = append(e.attemptsDone, false)
	case snapshot.OrderReject, snapshot.OrderFail:
		e.completed = true
	}
	in.queueOrder(o)
	in.forgetPredecessorRequest(o.ID, e)
	return true
}

// queueOrder has an order sent; one that can't be is the end of the link.
func (in *Ingress) queueOrder(o snapshot.Order) {
	body, err := json.Marshal(o)
	if err == nil {
		select {
		case in.predecessor.orders <- body:
			return
		default:
			err = errPeerProcessSlow
		}
	}
	in.logFault("the old process does not keep up", "error", err)
	in.predecessor.link.Close()
}

// forgetPredecessorRequest forgets a request of the old process of which nothing is left.
func (in *Ingress) forgetPredecessorRequest(id string, e *predecessorRequest) {
	if e.finished() {
		delete(in.predecessorRequests, id)
	}
}

// receiveEvent takes an event off the link.
func (in *Ingress) receiveEvent(h *predecessorState, body []byte) {
	var e snapshot.Event
	if err := json.Unmarshal(body, &e); err != nil {
		in.Post(func(float64) { in.logFault("an event that can't be read", "error", err) })
		return
	}
	shift := 0.0
	if h.bootTime != 0 && in.clock.BootTime() != 0 {
		shift = in.clock.BootTime() - h.bootTime
	}
	in.Post(func(now float64) { in.applyRelayedEvent(now, e, shift) })
}

// applyRelayedEvent tells the gateway what has become of a request of the old process.
func (in *Ingress) applyRelayedEvent(now float64, e snapshot.Event, shift float64) {
	switch {
	case in.predecessorRequests == nil:
	case e.Request != nil:
		if q := *e.Request; in.predecessorRequests[q.ID] == nil {
			q.DeadlineAt += shift
			in.predecessorRequests[q.ID] = &predecessorRequest{}
			in.decider.HandleRequest(now, q)
		}
	case e.Outcome != nil:
		o := *e.Outcome
		if x := in.predecessorRequests[o.ID]; x != nil && o.Attempt >= 0 && o.Attempt < len(x.attemptsDone) && !x.attemptsDone[o.Attempt] {
			x.attemptsDone[o.Attempt] = true
			x.completed = x.completed || o.Completed
			in.decider.HandleOutcome(now, o)
			in.forgetPredecessorRequest(o.ID, x)
		}
	case e.Disconnected != "":
		if x := in.predecessorRequests[e.Disconnected]; x != nil {
			x.completed = true
			in.decider.HandleDisconnect(now, e.Disconnected)
			in.forgetPredecessorRequest(e.Disconnected, x)
		}
	}
}

// handlePredecessorLost takes the end of the old process: what it held has ended with its connections.
func (in *Ingress) handlePredecessorLost() {
	orphaned := in.predecessorRequests
	in.predecessorRequests = nil
	for id, x := range orphaned {
		if !x.completed {
			in.decider.HandleDisconnect(in.now, id)
		}
		for n, done := range x.attemptsDone {
			if !done {
				in.decider.HandleOutcome(in.now, policy.Outcome{ID: id, Attempt: n, Status: policy.Reset, Completed: true})
			}
		}
	}
}

// predecessorAlive tells that the old process of this one is there still: by the end of the link it would take itself for the one to go on. Its
// connections and what is decided for its requests may go on to a third process by way of this one.
func (in *Ingress) predecessorAlive() bool { return in.predecessor != nil && !in.shutdownExpired }
