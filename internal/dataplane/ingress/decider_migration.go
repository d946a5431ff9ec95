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

// Migration of a decider from the old process to the new one, while the old process still serves its last requests on its own sockets: the
// old process forwards the events of these requests, and executes the orders that the new process's decider gives for them. See
// docs/forwarder-replacement.md.

const (
	// maxQueuedRelays is how many events or orders may wait for the other process. If more would wait, the other process counts as dead and
	// the link is closed.
	maxQueuedRelays = 4096
	// lockRetryInterval is the time between two attempts to reacquire the member lock; acquireMemberLock retries four times as often.
	lockRetryInterval = 20 * time.Millisecond
)

var errOrderQueueFull = errors.New("order queue is full")

// ---- The old process ----

// eventRelay takes the place of a decider that has migrated: the migrated decider still receives all events, and those of requests are also
// forwarded to the new process.
type eventRelay struct {
	MigratingDecider
	ingress *Ingress
}

// migrateDecider migrates the decider, if it is a MigratingDecider, and releases the member lock.
func (in *Ingress) migrateDecider() {
	d, ok := in.decider.(MigratingDecider)
	if !ok {
		return
	}
	in.successor.snapshot = d.Migrate(in.now)
	in.decider = &eventRelay{d, in}
	in.memberLock.Release()
}

// reclaimDecider makes a migrated decider decide in this process again. It retries until it acquires the member lock: before that, another
// process may still act for this member.
func (in *Ingress) reclaimDecider() {
	relay, ok := in.decider.(*eventRelay)
	if !ok {
		return
	}
	if err := in.memberLock.TryAcquire(); err != nil {
		in.logFault("decider not reclaimed: another process may still hold the member lock", "error", err)
		in.after(lockRetryInterval.Seconds(), in.reclaimDecider)
		return
	}
	in.decider = relay.MigratingDecider
	relay.Reclaim(in.now)
}

// forwardEvent queues an event for the new process. It closes the link if the event can't be encoded or the queue is full.
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
		r.ingress.logFault("event not queued for the new process: closing the link", "error", err)
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

// receiveOrder decodes an order of the new process, and has the loop record and execute it while link is the current one.
func (in *Ingress) receiveOrder(link *hotrestart.Link, body []byte) {
	var order snapshot.Order
	if err := json.Unmarshal(body, &order); err != nil {
		in.Post(func(float64) { in.logFault("order from the new process not decoded", "error", err) })
		return
	}
	in.Post(func(now float64) {
		if relay, ok := in.decider.(*eventRelay); ok && in.successor.link == link {
			relay.RecordOrder(now, order)
			in.executeOrder(relay, order)
		}
	})
}

// executeOrder executes an order of the new process's decider. An attempt for a request that this process no longer has ends as NotSent.
func (in *Ingress) executeOrder(relay *eventRelay, order snapshot.Order) {
	switch order.Kind {
	case snapshot.OrderSend:
		if in.requests[order.ID] == nil && in.predecessorRequests[order.ID] == nil { // the request ended while the order was on the link
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

// predecessorRequest is a request that the predecessor holds and the decider of this process decides on.
type predecessorRequest struct {
	attemptsDone []bool // by the attempt's number
	completed    bool   // the client gets no further answer
}

// finished reports whether the request is completed and none of its attempts is in flight.
func (r *predecessorRequest) finished() bool {
	return r.completed && !slices.Contains(r.attemptsDone, false)
}

// acquireMemberLock acquires the lock of the process that acts for this member of a fleet. It retries for linkTimeout, as another process
// may release the lock a moment after it announced its end: a process that ends closes its sockets before it releases the lock.
func (in *Ingress) acquireMemberLock() (err error) {
	for end := time.Now().Add(linkTimeout); ; time.Sleep(lockRetryInterval / 4) {
		if err = in.memberLock.TryAcquire(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// resumeDecider has the decider continue from the predecessor's snapshot. Requests that can't continue are answered within Resume, by
// orders to the predecessor, so the queue of orders is set up first.
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
		in.log.Error("state of the old process not resumed", "error", err)
	}
}

// sendOrders sends orders to the predecessor until the link or the loop ends, or orders is closed. It closes the link if a send fails.
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

// orderPredecessor queues an order for a request that the predecessor holds. It returns false if the predecessor has no request of that id.
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

// queueOrder queues an order for the predecessor. It closes the link if the order can't be encoded or the queue is full.
func (in *Ingress) queueOrder(order snapshot.Order) {
	body, err := json.Marshal(order)
	if err == nil {
		select {
		case in.predecessor.orders <- body:
			return
		default:
			err = errOrderQueueFull
		}
	}
	in.logFault("order not queued for the old process: closing the link", "error", err)
	in.predecessor.link.Close()
}

// forgetPredecessorRequest removes a request once it is finished.
func (in *Ingress) forgetPredecessorRequest(id string, r *predecessorRequest) {
	if r.finished() {
		delete(in.predecessorRequests, id)
	}
}

// receiveEvent decodes an event of the predecessor, and has the loop apply it.
func (in *Ingress) receiveEvent(p *predecessorState, body []byte) {
	var e snapshot.Event
	if err := json.Unmarshal(body, &e); err != nil {
		in.Post(func(float64) { in.logFault("event from the old process not decoded", "error", err) })
		return
	}
	shiftS := in.timeShiftS(p)
	in.Post(func(now float64) { in.applyRelayedEvent(now, e, shiftS) })
}

// applyRelayedEvent passes an event of a predecessor's request to the decider. Events that repeat an earlier one, or are of an unknown
// request, are dropped.
func (in *Ingress) applyRelayedEvent(now float64, e snapshot.Event, shiftS float64) {
	if e.Disconnected != "" {
		in.ranRequests.add(e.Disconnected, now) // see ranEvents
	}
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

// endPredecessorRequests ends the requests that the predecessor held, as its connections ended with it: to the decider, their clients have
// disconnected and their open attempts were reset.
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
