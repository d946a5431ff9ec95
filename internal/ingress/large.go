package ingress

import (
	"errors"
	"time"

	"eiderspread/policy"
)

// A value that is too large to be kept goes from its backend's connection to its client's as it comes: the backend's
// reader writes it, once the loop has lent it the client's side. Nothing of it is kept but a chunk, so that a client
// that reads slowly slows its backend down and nobody else.
const (
	largeMost  = 4 << 20          // bytes of a value
	largeFirst = 2 << 10          // of it that must have come: a length that lies brings less
	chunkSize  = 16 << 10         // taken from the budget; without room there the reader's own buffer must do
	stallMost  = 10 * time.Second // that either side may let pass without a byte
)

var (
	errStalled   = errors.New("the rest of a large value did not come")
	errClientEnd = errors.New("the client has gone")
)

// Starter is a Gateway that is told when an answer has begun to be passed on: the request is its attempt's from then
// on, and what becomes of that is its Outcome.
type Starter interface {
	Started(now float64, id string, attempt int)
}

// largeHead reads the start of an answer with a large value: where the value begins, its length, and of how many parts
// the answer is. large is false for any other answer and for one of which too little has come.
func largeHead(b []byte) (at, size, parts int, large bool) {
	if len(b) == 0 || b[0] != '*' {
		return 0, 0, 0, false
	}
	parts, n, null, err := header(b)
	if err != nil || n == 0 || null || parts < 1 || parts > maxElements || n == len(b) || b[n] != '$' {
		return 0, 0, 0, false
	}
	size, m, null, err := header(b[n:])
	if err != nil || m == 0 || null || size <= maxValue || size > largeMost {
		return 0, 0, 0, false
	}
	return n + m, size, parts, true
}

// largeValue is one on its way. The loop owns it but for what the reader uses after lent.
type largeValue struct {
	c       *client
	a       *attempt
	lent    chan struct{} // closed once the reader may write to the client
	started bool
	flow    *flow
}

// pass carries a large value on, with what follows it, and tells the loop what came of it. It returns whether the
// connection may be read on. It runs on the backend's reader.
func (c *backConn) pass(in *Ingress, buf *buffer, at float64) bool {
	start, size, parts, _ := largeHead(buf.b)
	got := make(chan *largeValue, 1)
	f := newFlow(c, size, buf.b[start:min(len(buf.b), start+size)])
	in.post(at, func() { got <- in.begin(c, f) })
	var v *largeValue
	select {
	case v = <-got:
	case <-in.done:
	}
	if v == nil {
		return false // nobody waits for it
	}
	select {
	case <-v.lent:
	case <-v.c.quit:
		in.post(in.clock.Now(), func() { in.passed(v, result{status: policy.Cancelled}, errClientEnd) })
		return false
	case <-in.done:
		return false
	}
	buf.drop(min(len(buf.b), start+size))
	err := v.carry(in, buf)
	if errors.Is(err, errMoves) {
		return false
	}
	v.c.conn.SetWriteDeadline(time.Time{})
	res := result{status: policy.OK}
	switch {
	case errors.Is(err, errClientEnd):
		res.status = policy.Cancelled
	case err != nil:
		res.status = policy.Reset
	default:
		res.load = c.figures(buf, parts-1)
		c.conn.SetReadDeadline(time.Time{})
		c.busy.Store(false)
	}
	in.post(in.clock.Now(), func() { in.passed(v, res, err) })
	return err == nil && !c.dead.Load()
}

// more reads until so many bytes are there.
func (c *backConn) more(buf *buffer, n int) error {
	for len(buf.b) < n {
		room := buf.room()
		if room == nil {
			return errNoRoom
		}
		c.conn.SetReadDeadline(time.Now().Add(stallMost))
		m, err := c.conn.Read(room)
		buf.grew(m)
		if err != nil && len(buf.b) < n {
			return err
		}
	}
	return nil
}

// figures reads what stands behind the value, the figures on use and the load report, and returns that. The value stands
// whatever they look like; a connection on which they can't be read is of no further use.
func (c *backConn) figures(buf *buffer, parts int) (load *policy.Load) {
	for i := range parts {
		n, bad := frame(buf.b)
		for bad == nil && n == 0 && len(buf.b) <= maxFrame {
			if bad = c.more(buf, len(buf.b)+1); bad == nil {
				n, bad = frame(buf.b)
			}
		}
		if bad != nil || n == 0 {
			c.dead.Store(true)
			return load
		}
		if i == 1 && buf.b[0] == '$' {
			if _, m, null, err := header(buf.b[:n]); err == nil && !null {
				load = parseLoad(string(buf.b[m : n-2]))
			}
		}
		buf.drop(n)
	}
	if len(buf.b) > 0 { // more than belongs to it
		c.dead.Store(true)
	}
	return load
}

// begin gives the request of a large value its final answer, of which nothing is written yet; nil if nobody waits.
func (in *Ingress) begin(c *backConn, f *flow) *largeValue {
	a := c.attempt
	if c.closed || a == nil || a.done || a.req == nil || a.req.over || a.req.client.closed {
		if a != nil && !a.done {
			in.finish(a, spoilt("a large value that nobody waits for"), in.now)
		}
		in.closeConn(c)
		return nil
	}
	in.stopTimer(a.timer)
	a.firstAt = in.now
	r := a.req
	v := &largeValue{c: r.client, a: a, lent: make(chan struct{}), flow: f}
	in.flows[v] = struct{}{}
	r.slot.value = v
	in.end(r)
	if g, ok := in.gate.(Starter); ok {
		g.Started(in.now, r.ID, a.number)
	}
	in.lend(r.client)
	return v
}

// lend gives the client's side to the reader of the value that is due, if nothing else is being written there.
func (in *Ingress) lend(c *client) {
	if c.closed || c.writing || c.ending || len(c.pending) > 0 || len(c.slots) == 0 {
		return
	}
	if v := c.slots[0].value; v != nil && !v.started {
		v.started, c.writing = true, true
		close(v.lent)
	}
}

// passed takes the end of a large value: whole, or broken off, which its client can tell by the end of the connection.
func (in *Ingress) passed(v *largeValue, res result, bad error) {
	c := v.c
	if v.started {
		c.writing = false
	}
	if bad != nil && !errors.Is(bad, errClientEnd) {
		id := ""
		if v.a != nil {
			id = v.a.req.ID
		}
		in.note("a large value broke off", "id", id, "why", bad)
	}
	if v.a != nil && v.a.conn != nil && bad == nil {
		if back := v.a.conn; !back.dead.Load() && back.written.Load() == wholly {
			v.a.conn = nil
			in.release(back, restS)
		}
	}
	in.over(v, res)
	if c.closed {
		return
	}
	if bad != nil {
		in.clientGone(c, closeValueFailed)
		return
	}
	clear(c.slots[:1])
	c.slots = c.slots[:copy(c.slots, c.slots[1:])]
	c.usedAt = in.now
	select {
	case <-c.permits:
	default:
	}
	in.flush(c)
	if !c.writing && !c.closed {
		in.push(c)
	}
}
