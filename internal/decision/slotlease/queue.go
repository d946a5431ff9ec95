package slotlease

import "slices"

// Waiter is a member's entry in the queue for a slot. It stands for all waiting requests of the member.
type Waiter struct {
	Member          int
	Units           float64 // of all waiting requests of the member
	FirstUnits      float64 // of the first waiting request
	LowPriority     float64 // of the first waiting request's class: 0 for the highest priority, towards 1 for the lowest
	UseSharedBucket bool    // the units are to be taken from the hard limit's shared bucket
	ExpiresAt       float64 // seconds; the member has no use for a slot from this time on
}

// Enqueue adds a member to the end of the queue, or updates its entry in place, and returns how many members
// are ahead of it. An update never moves the entry's expiry to an earlier time.
func (t *Table) Enqueue(w Waiter) (ahead int) {
	if i := t.queueIndex(w.Member); i >= 0 {
		w.ExpiresAt = max(w.ExpiresAt, t.queue[i].ExpiresAt)
		t.queue[i] = w
		return i
	}
	t.queue = append(t.queue, w)
	return len(t.queue) - 1
}

// Dequeue removes a member from the queue, if it is queued.
func (t *Table) Dequeue(member int) {
	if i := t.queueIndex(member); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
}

// QueueLen returns how many members are queued.
func (t *Table) QueueLen() int { return len(t.queue) }

// NextWaiter drops the expired entries and returns the first of the others; ok is false if there is none. The
// entry stays in the queue until Dequeue.
func (t *Table) NextWaiter(now float64) (w Waiter, ok bool) {
	t.queue = slices.DeleteFunc(t.queue, func(w Waiter) bool { return w.ExpiresAt <= now })
	if len(t.queue) == 0 {
		return Waiter{}, false
	}
	return t.queue[0], true
}

func (t *Table) queueIndex(member int) int {
	return slices.IndexFunc(t.queue, func(w Waiter) bool { return w.Member == member })
}
