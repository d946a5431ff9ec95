package slotlease

import "slices"

// Waiter is a member's request for a slot that has to wait for one. It stands for all waiting requests of
// the member.
type Waiter struct {
	Member          int
	Units           float64 // of all its waiting requests
	FirstUnits      float64 // of the first one
	LowPriority     float64 // of the first one: 0 for the class of highest priority, towards 1 for the lowest
	UseSharedBucket bool    // the hard limit's shared bucket is to pay
	ExpiresAt       float64 // seconds; the member has no use for a slot from then on
}

// Enqueue adds a member to the end of the queue, or updates its entry in place, and returns how many members
// are before it. An entry's expiry is never brought forward.
func (t *Table) Enqueue(w Waiter) (before int) {
	if i := t.queueIndex(w.Member); i >= 0 {
		w.ExpiresAt = max(w.ExpiresAt, t.queue[i].ExpiresAt)
		t.queue[i] = w
		return i
	}
	t.queue = append(t.queue, w)
	return len(t.queue) - 1
}

// Dequeue removes a member from the queue, if it is in there.
func (t *Table) Dequeue(member int) {
	if i := t.queueIndex(member); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
}

// QueueLen returns how many members wait.
func (t *Table) QueueLen() int { return len(t.queue) }

// NextWaiter returns the first member in the queue that can still use a slot, and drops expired entries; ok
// is false if there is none. The member stays in the queue.
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
