package trace

import (
	"sync"

	"eiderspread/internal/decision/reason"
)

// Ring is a bounded queue of decisions between the event loop, which adds them, and one writer, which drains it. Both may
// use it at the same time.
type Ring struct {
	mutex    sync.Mutex
	records  []reason.Decision
	oldest   int    // index in records
	count    int    // records in use, from oldest on
	lost     uint64 // since the last Drain
	halfFull chan struct{}
}

// NewRing returns a ring for so many decisions, at least one.
func NewRing(capacity int) *Ring {
	return &Ring{records: make([]reason.Decision, max(capacity, 1)), halfFull: make(chan struct{}, 1)}
}

// Put adds a decision; if the ring is full, it counts the decision as lost. It blocks for no longer than a Drain copies.
func (r *Ring) Put(d reason.Decision) {
	if !r.add(d) {
		return
	}
	select {
	case r.halfFull <- struct{}{}:
	default:
	}
}

// add reports whether the ring is half full with the decision; it is false for one that is lost.
func (r *Ring) add(d reason.Decision) (halfFull bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.count == len(r.records) {
		r.lost++
		return false
	}
	r.records[(r.oldest+r.count)%len(r.records)] = d
	r.count++
	return r.count >= len(r.records)/2
}

// HalfFull yields a value when the ring has become half full.
func (r *Ring) HalfFull() <-chan struct{} { return r.halfFull }

// Drain moves all decisions to the end of list, oldest first, and returns it with the number of decisions lost since the
// last Drain.
func (r *Ring) Drain(list []reason.Decision) ([]reason.Decision, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.count {
		list = append(list, r.records[r.oldest])
		r.records[r.oldest] = reason.Decision{} // releases its strings
		r.oldest = (r.oldest + 1) % len(r.records)
	}
	lost := r.lost
	r.count, r.lost = 0, 0
	return list, lost
}
