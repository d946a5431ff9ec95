package forward

import (
	"maps"
	"slices"

	"eiderspread/internal/kept"
	"eiderspread/internal/withhold"
)

// What a forwarder hands to the process that goes on for it, and how it takes its requests back if that one dies. The rules are in
// docs/forwarder-replacement.md: to requests a replacement is a change of leaders, to promises it is nothing, and a promise that was
// handed on is never taken back.

// Move stops following every leader and returns all that is known. From then on this core promises nothing and decides nothing: it
// writes down what becomes of its requests, for TakeBack.
func (c *Core) Move(now float64) kept.Moved {
	c.now = now
	clear(c.peers) // their links end: what a leader knew to be out counts there until the new process says better
	for i := range c.cells {
		c.unlead(i)
	}
	c.moved = true
	m := kept.Moved{Handles: c.handles, Lossy: c.usage.lossyAt, Words: map[string]kept.Word{}}
	for i := range c.cells {
		k := &c.cells[i]
		m.Cells = append(m.Cells, kept.Cell{Epoch: k.epoch, Holder: k.holder, Life: k.life, Until: k.until})
		k.waiting = nil
	}
	c.words.Each(func(id string, x withhold.Word) { m.Words[id] = kept.Word(x) })
	c.usage.each(now, func(customer string, n used) {
		m.Tales = append(m.Tales, kept.Tale{Customer: customer, Plan: n.plan, Epoch: n.epoch, Seq: n.seq, Debt: n.debt, At: n.at})
	})
	for _, o := range c.inOrder() {
		m.Open = append(m.Open, kept.Open{Request: o.Request, Came: o.cameAt, Sent: slices.Clone(o.sentAt), Done: slices.Clone(o.done),
			Counted: o.counted, Ran: o.ran, RanAt: o.ranAt, Over: o.over})
	}
	return m
}

// Settle goes on with what the process before knew; call it before the first link. It tells whether promises went over: those of a
// fleet cut into other cells do not, and nothing is promised for a lease then.
func (c *Core) Settle(now float64, m kept.Moved) bool {
	c.now = now
	same := len(m.Cells) == len(c.cells)
	for i := range c.cells {
		if k := &c.cells[i]; same {
			x := m.Cells[i]
			k.epoch, k.holder, k.life, k.until = x.Epoch, x.Holder, x.Life, x.Until
		} else {
			k.until = now + c.cfg.LeaseS
		}
		c.cells[i].unledAt = now
	}
	c.handles, c.cutAt, c.usage.lossyAt = m.Handles, now, m.Lossy
	if !same {
		c.usage.lossyAt = now
	}
	for _, t := range m.Tales {
		c.usage.note(t.Customer, used{t.Plan, t.Epoch, t.Seq, t.Debt, t.At})
	}
	for _, id := range slices.Sorted(maps.Keys(m.Words)) {
		if _, changed := c.words.Merge(id, withhold.Word(m.Words[id])); changed {
			c.out.Hold(id, m.Words[id].Held)
		}
	}
	for _, x := range m.Open {
		c.adopt(x)
	}
	return same
}

// adopt takes one request over. What is out goes on; what has nothing out waits for a leader.
func (c *Core) adopt(x kept.Open) {
	class, known := c.classes[x.Class]
	plan, planned := c.plans[x.Plan]
	if !known || !planned || len(x.Sent) != len(x.Done) || c.byID[x.ID] != nil || len(c.byID) >= mostOpen {
		c.out.Fail(x.ID)
		return
	}
	o := &open{Request: x.Request, class: class, plan: plan, cell: c.cfg.CellOf(x.Customer), cameAt: x.Came, waitFrom: c.now,
		sentAt: x.Sent, done: x.Done, counted: x.Counted, ran: x.Ran, ranAt: x.RanAt, over: x.Over}
	for _, done := range x.Done {
		o.out += b2i(!done)
	}
	c.byID[o.ID] = o
	c.orphan(o)
	if !o.over && o.out == 0 {
		c.again(o)
	}
	c.forget(o)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// orphan counts what is out of a request that no leader knows.
func (c *Core) orphan(o *open) {
	if o.out > 0 {
		c.orphans[o.Customer] = orphans{o.plan, c.orphans[o.Customer].out + o.out}
	}
}

// Ordered writes down what the process that goes on for this one has decided for a request.
func (c *Core) Ordered(now float64, x kept.Order) {
	c.now = now
	o := c.byID[x.ID]
	if !c.moved || o == nil {
		return
	}
	switch x.Kind {
	case kept.Send:
		if !o.over {
			o.sentAt, o.done, o.counted = append(o.sentAt, now), append(o.done, false), true
			o.out++
			c.orphans[o.Customer] = orphans{o.plan, c.orphans[o.Customer].out + 1}
		}
	case kept.Refuse, kept.Fail:
		o.over = true
		c.forget(o)
	}
}

// TakeBack goes on after the process that went on for this one has ended. Requests are as they were left. Promises are not: that one may
// have given others since, so nothing is promised for a lease, as after a start, and tales are not complete.
func (c *Core) TakeBack(now float64) {
	c.now, c.moved, c.cutAt = now, false, now
	for i := range c.cells {
		c.cells[i] = cell{holder: -1, want: -1, until: now + c.cfg.LeaseS, unledAt: now}
	}
	c.usage.lossyAt = now
	clear(c.peers)
	clear(c.orphans)
	for _, o := range c.inOrder() {
		c.orphan(o)
		if !o.over && o.out == 0 {
			c.again(o)
		}
		c.forget(o)
	}
}

// inOrder are the open requests by id.
func (c *Core) inOrder() (list []*open) {
	for _, id := range slices.Sorted(maps.Keys(c.byID)) {
		list = append(list, c.byID[id])
	}
	return list
}
