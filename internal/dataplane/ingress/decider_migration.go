package ingress

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// A decider that migrates from one process to another while the old one's sockets serve their last requests: the old process forwards events of
// these requests, and executes what the new one's decider orders for them. See docs/forwarder-replacement.md.

const (
	// maxQueuedRelays events, or orders, may wait for the other process; beyond that it counts as dead.
	maxQueuedRelays = 4096
	// lockRetryInterval is the time between two attempts to have the member lock back.
	lockRetryInterval = 20 * time.Millisecond
)

var errPeerProcessSlow = errors.New("too much waits for the other process")

// ---- The old process ----

// eventRelay stands in the place of a decider that has migrated.
type eventRelay struct {
	MigratingDecider
	ingress *Ingress
}

// migrateDecider has the decider migrate, if it is one that does.
func (in *Ingress) migrateDecider() {
	d, ok := in.decider.(MigratingDecider)
	if !ok {
		return
	}
	in.successor.snapshot = d.Migrate(in.now)
	in.successor.events = make(chan []byte, maxQueuedRelays)
	in.decider = &eventRelay{d, in}
	in.memberLock.Release()
}

// reclaimDecider has a decider that had migrated go on here, as soon as no other process may speak for it.
func (in *Ingress) reclaimDecider() {
	relay, ok := in.decider.(*eventRelay)
	if !ok {
		return
	}
	if err := in.memberLock.Take(); err != nil {
		in.logFault("the new process may still run: this one keeps quiet", "error", err)
		in.after(lockRetryInterval.Seconds(), in.reclaimDecider)
		return
	}
	in.decider = relay.MigratingDecider
	relay.Reclaim(in.now)
}

// forwardEvent sends an event to the new process; one that can't be sent ends the link.
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

// HandleRequest implements Decider.
func (r *eventRelay) HandleRequest(now float64, request policy.Request) {
	r.MigratingDecider.HandleRequest(now, request)
	r.forwardEvent(snapshot.Event{Request: &request})
}

// HandleOutcome implements Decider.
func (r *eventRelay) HandleOutcome(now float64, outcome policy.Outcome) {
	r.MigratingDecider.HandleOutcome(now, outcome)
	r.forwardEvent(snapshot.Event{Outcome: &outcome})
}

// HandleDisconnect implements Decider.
func (r *eventRelay) HandleDisconnect(now float64, id string) {
	r.MigratingDecider.HandleDisconnect(now, id)
	r.forwardEvent(snapshot.Event{Disconnected: id})
}

// receiveOrder takes an order off the link to the new process.
func (in *Ingress) receiveOrder(link *hotrestart.Link, body []byte) {
	var order snapshot.Order
	if err := json.Unmarshal(body, &order); err != nil {
		in.Post(func(float64) { in.logFault("order of the new process not decoded", "error", err) })
		return
	}
	in.Post(func(now float64) {
		if relay, ok := in.decider.(*eventRelay); ok && in.successor.link == link {
			relay.RecordOrder(now, order)
			in.executeOrder(relay, order)
		}
	})
}

// executeOrder does what the new process's decider wants done to a request of this one.
func (in *Ingress) executeOrder(relay *eventRelay, order snapshot.Order) {
	switch order.Kind {
	case snapshot.OrderSend:
		if in.requests[order.ID] == nil && in.predecessorRequests[order.ID] == nil { // it has ended while the order was on its way
			relay.forwardEvent(snapshot.Event{Outcome: &policy.Outcome{ID: order.ID, Backend: order.Backend, Attempt: order.Attempt, Status: policy.NotSent, Completed: true}})
			return
		}
		in.Send(order.ID, order.Backend, order.DelayS)
	case snapshot.OrderReject:
		in.Reject(order.ID, order.DelayS)
	case snapshot.OrderFail:
		in.Fail(order.ID)
	case snapshot.OrderCancel:
		in.Cancel(order.ID, order.Attempt)
	case snapshot.OrderCordon:
		in.Cordon(order.ID, order.Cordoned)
	}
}

// ---- The new process ----

// predecessorRequest is a request that the predecessor holds.
type predecessorRequest struct {
	attemptsDone []bool // by the attempt's number
	completed    bool
}

// finished reports whether nothing is left of the request.
func (r *predecessorRequest) finished() bool {
	return r.completed && !slices.Contains(r.attemptsDone, false)
}

// acquireMemberLock takes the lock of the process that acts for this member of a fleet. The predecessor may release it a moment after it has
// announced that.
func (in *Ingress) acquireMemberLock() (err error) {
	for end := time.Now().Add(linkTimeout); ; time.Sleep(lockRetryInterval / 4) {
		if err = in.memberLock.Take(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// resumeDecider has the decider go on with what came over. Its answers to what can't go on are orders already.
func (in *Ingress) resumeDecider(d MigratingDecider, parts []snapshot.Part) {
	if len(parts) == 0 {
		return
	}
	p := in.predecessor
	p.orders = make(chan []byte, maxQueuedRelays)
	go in.sendOrders(p.link, p.orders)
	in.predecessorRequests = map[string]*predecessorRequest{}
	for _, part := range parts {
		if part.Forwarder != nil {
			for _, open := range part.Forwarder.Requests {
				in.predecessorRequests[open.ID] = &predecessorRequest{attemptsDone: slices.Clone(open.AttemptDone), completed: open.Completed}
			}
		}
	}
	in.now = max(in.now, in.clock.Now())
	if err := d.Resume(in.now, in.timeShiftS(p), parts); err != nil {
		in.log.Error("state of the old process lost", "error", err)
	}
}

// sendOrders sends orders until the link or this process ends, or orders is closed.
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

// orderPredecessor has the predecessor do something to a request that it holds; false if it has none of that id.
func (in *Ingress) orderPredecessor(order snapshot.Order) bool {
	r := in.predecessorRequests[order.ID]
	if r == nil || in.predecessor == nil {
		return false
	}
	switch order.Kind {
	case snapshot.OrderSend:
		order.Attempt = len(r.attemptsDone)
		r.attemptsDone = append(r.attemptsDone, false)
	case snapshot.OrderReject, snapshot.OrderFail:
		r.completed = true
	}
	in.queueOrder(order)
	in.forgetPredecessorRequest(order.ID, r)
	return true
}

// queueOrder has an order sent; one that can't be queued ends the link.
func (in *Ingress) queueOrder(order snapshot.Order) {
	body, err := json.Marshal(order)
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

// forgetPredecessorRequest forgets a request of which nothing is left.
func (in *Ingress) forgetPredecessorRequest(id string, r *predecessorRequest) {
	if r.finished() {
		delete(in.predecessorRequests, id)
	}
}

// receiveEvent takes an event off the link to the predecessor.
func (in *Ingress) receiveEvent(p *predecessorState, body []byte) {
	var e snapshot.Event
	if err := json.Unmarshal(body, &e); err != nil {
		in.Post(func(float64) { in.logFault("event of the old process not decoded", "error", err) })
		return
	}
	shiftS := in.timeShiftS(p)
	in.Post(func(now float64) { in.applyRelayedEvent(now, e, shiftS) })
}

// applyRelayedEvent notifies the decider of what has become of a request of the predecessor.
func (in *Ingress) applyRelayedEvent(now float64, e snapshot.Event, shiftS float64) {
	switch {
	case in.predecessorRequests == nil:
	case e.Request != nil:
		if q := *e.Request; in.predecessorRequests[q.ID] == nil {
			q.DeadlineAt += shiftS
			in.predecessorRequests[q.ID] = &predecessorRequest{}
			in.decider.HandleRequest(now, q)
		}
	case e.Outcome != nil:
		o := *e.Outcome
		if r := in.predecessorRequests[o.ID]; r != nil && o.Attempt >= 0 && o.Attempt < len(r.attemptsDone) && !r.attemptsDone[o.Attempt] {
			r.attemptsDone[o.Attempt] = true
			r.completed = r.completed || o.Completed
			in.decider.HandleOutcome(now, o)
			in.forgetPredecessorRequest(o.ID, r)
		}
	case e.Disconnected != "":
		if r := in.predecessorRequests[e.Disconnected]; r != nil {
			r.completed = true
			in.decider.HandleDisconnect(now, e.Disconnected)
			in.forgetPredecessorRequest(e.Disconnected, r)
		}
	}
}

// endPredecessorRequests ends what the predecessor held, with whose connections it has ended.
func (in *Ingress) endPredecessorRequests() {
	orphaned := in.predecessorRequests
	in.predecessorRequests = nil
	for id, r := range orphaned {
		if !r.completed {
			in.decider.HandleDisconnect(in.now, id)
		}
		for number, done := range r.attemptsDone {
			if !done {
				in.decider.HandleOutcome(in.now, policy.Outcome{ID: id, Attempt: number, Status: policy.Reset, Completed: true})
			}
		}
	}
}
