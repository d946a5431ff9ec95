package ingress

import (
	"encoding/json"
	"slices"
	"time"

	"eiderspread/internal/kept"
	"eiderspread/internal/takeover"
	"eiderspread/policy"
)

// A gateway that moves whole from one process to another, while the old one's sockets serve their last requests: the old process tells
// what happens to them, and does what the new one's gateway decides. See docs/forwarder-replacement.md.

const (
	relayMost = 4096 // events, or orders, that wait for the other side; beyond, it counts as dead
	lockAgain = 20 * time.Millisecond
)

// Mover is a Gateway that hands all on, its requests too. From Move on its events tell it only what becomes of them, and it asks for
// nothing, until TakeBack; Ordered tells it what the one in the new process had done to them.
type Mover interface {
	Gateway
	Move(now float64) []kept.Part
	// Settle goes on with another process's, before the first event. shift is what is to be added to its times.
	Settle(now, shift float64, parts []kept.Part) error
	Ordered(now float64, o kept.Order)
	TakeBack(now float64)
}

// ---- The old process ----

// relay stands where a gateway stood that has moved.
type relay struct {
	Mover
	in *Ingress
}

// moveGate has the gateway go over, if it is one that does.
func (in *Ingress) moveGate() {
	m, ok := in.gate.(Mover)
	if !ok {
		return
	}
	in.heirs.kept = m.Move(in.now)
	in.heirs.events = make(chan []byte, relayMost)
	in.gate = &relay{m, in}
	in.lock.Release()
}

// takeGateBack has it go on here, as soon as no other process may speak for it.
func (in *Ingress) takeGateBack() {
	m, ok := in.gate.(*relay)
	if !ok {
		return
	}
	if err := in.lock.Take(); err != nil {
		in.note("the new process may still run: this one keeps quiet", "error", err)
		in.after(lockAgain.Seconds(), in.takeGateBack)
		return
	}
	in.gate = m.Mover
	m.TakeBack(in.now)
}

// tell passes an event on; one that can't be is the end of the link.
func (r *relay) tell(e kept.Event) {
	s := &r.in.heirs
	body, err := json.Marshal(e)
	if err == nil && s.events != nil {
		select {
		case s.events <- body:
			return
		default:
		}
	}
	if s.link != nil {
		r.in.note("the new process does not keep up", "error", err)
		s.link.Close()
	}
}

// Request implements Gateway.
func (r *relay) Request(now float64, q policy.Request) {
	r.Mover.Request(now, q)
	r.tell(kept.Event{Request: &q})
}

// Outcome implements Gateway.
func (r *relay) Outcome(now float64, o policy.Outcome) {
	r.Mover.Outcome(now, o)
	r.tell(kept.Event{Outcome: &o})
}

// Gone implements Gateway.
func (r *relay) Gone(now float64, id string) {
	r.Mover.Gone(now, id)
	r.tell(kept.Event{Gone: id})
}

// told takes an order off the link.
func (in *Ingress) told(link *takeover.Link, body []byte) {
	var o kept.Order
	if err := json.Unmarshal(body, &o); err != nil {
		in.Post(func(float64) { in.note("an order that can't be read", "error", err) })
		return
	}
	in.Post(func(now float64) {
		if r, ok := in.gate.(*relay); ok && in.heirs.link == link {
			r.Ordered(now, o)
			in.carryOut(r, o)
		}
	})
}

// carryOut does what the new process's gateway wants done to a request of this one.
func (in *Ingress) carryOut(r *relay, o kept.Order) {
	switch o.Kind {
	case kept.Send:
		if in.requests[o.ID] == nil && in.elders[o.ID] == nil { // it has ended while the order was on its way
			r.tell(kept.Event{Outcome: &policy.Outcome{ID: o.ID, Server: o.Server, Attempt: o.Number, Status: policy.Moot, Over: true}})
			return
		}
		in.Send(o.ID, o.Server, o.Wait)
	case kept.Refuse:
		in.Refuse(o.ID, o.Wait)
	case kept.Fail:
		in.Fail(o.ID)
	case kept.Cancel:
		in.Cancel(o.ID, o.Number)
	case kept.Hold:
		in.Hold(o.ID, o.Held)
	}
}

// ---- The new process ----

// elder is a request that the old process holds.
type elder struct {
	done []bool // by attempt
	over bool
}

func (e *elder) ended() bool { return e.over && !slices.Contains(e.done, false) }

// takeLock takes the lock of who speaks for this forwarder. The process before may let go of it a moment later than it says.
func (in *Ingress) takeLock() (err error) {
	for end := time.Now().Add(linkMost); ; time.Sleep(lockAgain / 4) {
		if err = in.lock.Take(); err == nil || time.Now().After(end) {
			return err
		}
	}
}

// settleGate has the gateway go on with what came over. Its answers to what can't go on are orders already.
func (in *Ingress) settleGate(m Mover, parts []kept.Part) {
	if len(parts) == 0 {
		return
	}
	h := in.heir
	h.orders = make(chan []byte, relayMost)
	go in.sendOrders(h.link, h.orders)
	in.elders = map[string]*elder{}
	for _, p := range parts {
		if p.Moved != nil {
			for _, o := range p.Moved.Open {
				in.elders[o.ID] = &elder{done: slices.Clone(o.Done), over: o.Over}
			}
		}
	}
	in.now = max(in.now, in.clock.Now())
	shift := 0.0
	if h.boot != 0 && in.clock.Boot() != 0 {
		shift = in.clock.Boot() - h.boot
	}
	if err := m.Settle(in.now, shift, parts); err != nil {
		in.log.Error("what the process before knew is lost", "error", err)
	}
}

// sendOrders sends orders until the link or this process ends.
func (in *Ingress) sendOrders(link *takeover.Link, orders <-chan []byte) {
	for {
		select {
		case <-in.done:
			return
		case body, ok := <-orders:
			if !ok {
				return
			}
			if err := link.Send(takeover.Order, body, linkMost); err != nil {
				link.Close()
				return
			}
		}
	}
}

// order has the old process do something to a request of its own; false if it has none of that id.
func (in *Ingress) order(o kept.Order) bool {
	e := in.elders[o.ID]
	if e == nil || in.heir == nil {
		return false
	}
	switch o.Kind {
	case kept.Send:
		o.Number = len(e.done)
		e.done = append(e.done, false)
	case kept.Refuse, kept.Fail:
		e.over = true
	}
	in.putOrder(o)
	in.released(o.ID, e)
	return true
}

// putOrder has an order sent; one that can't be is the end of the link.
func (in *Ingress) putOrder(o kept.Order) {
	body, err := json.Marshal(o)
	if err == nil {
		select {
		case in.heir.orders <- body:
			return
		default:
			err = errSlow
		}
	}
	in.note("the old process does not keep up", "error", err)
	in.heir.link.Close()
}

// released forgets a request of the old process of which nothing is left.
func (in *Ingress) released(id string, e *elder) {
	if e.ended() {
		delete(in.elders, id)
	}
}

// heard takes an event off the link.
func (in *Ingress) heard(h *inheritance, body []byte) {
	var e kept.Event
	if err := json.Unmarshal(body, &e); err != nil {
		in.Post(func(float64) { in.note("an event that can't be read", "error", err) })
		return
	}
	shift := 0.0
	if h.boot != 0 && in.clock.Boot() != 0 {
		shift = in.clock.Boot() - h.boot
	}
	in.Post(func(now float64) { in.happened(now, e, shift) })
}

// happened tells the gateway what has become of a request of the old process.
func (in *Ingress) happened(now float64, e kept.Event, shift float64) {
	switch {
	case in.elders == nil:
	case e.Request != nil:
		if q := *e.Request; in.elders[q.ID] == nil {
			q.DeadlineS += shift
			in.elders[q.ID] = &elder{}
			in.gate.Request(now, q)
		}
	case e.Outcome != nil:
		o := *e.Outcome
		if x := in.elders[o.ID]; x != nil && o.Attempt >= 0 && o.Attempt < len(x.done) && !x.done[o.Attempt] {
			x.done[o.Attempt] = true
			x.over = x.over || o.Over
			in.gate.Outcome(now, o)
			in.released(o.ID, x)
		}
	case e.Gone != "":
		if x := in.elders[e.Gone]; x != nil {
			x.over = true
			in.gate.Gone(now, e.Gone)
			in.released(e.Gone, x)
		}
	}
}

// bereaved takes the end of the old process: what it held has ended with its connections.
func (in *Ingress) bereaved() {
	left := in.elders
	in.elders = nil
	for id, x := range left {
		if !x.over {
			in.gate.Gone(in.now, id)
		}
		for n, done := range x.done {
			if !done {
				in.gate.Outcome(in.now, policy.Outcome{ID: id, Attempt: n, Status: policy.Reset, Over: true})
			}
		}
	}
}

// lingers tells that the old process of this one is there still: by the end of the link it would take itself for the one to go on. Its
// connections and what is decided for its requests may go on to a third process by way of this one.
func (in *Ingress) lingers() bool { return in.heir != nil && !in.stopped }
