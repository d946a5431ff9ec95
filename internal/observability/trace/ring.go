package trace

import (
	"sync"

	"eiderspread/internal/decision/reason"
)

// Ring is a bounded queue of decisions between the event loop, which adds decisions, and one writer, which drains the queue.
// It is safe for concurrent use.
type Ring struct {
	mutex    sync.Mutex
	records  []reason.Decision
	oldest   int    // index of the oldest decision in records
	count    int    // decisions in the ring
	lost     uint64 // decisions dropped since the last Drain
	halfFull chan struct{}
}

// NewRing returns a ring for capacity decisions, at least one.
func NewRing(capacity int) *Ring {
	return &Ring{records: make([]reason.Decision, max(capacity, 1)), halfFull: make(chan struct{}, 1)}
}

// Put adds a decision. If the ring is full, it drops the decision and counts it as lost. It blocks at most while a Drain
// copies the decisions.
func (r *Ring) Put(d reason.Decision) {
	if !r.add(d) {
		return
	}
	select {
	case r.halfFull <- struct{}{}:
	default:
	}
}

// add adds a decision and reports whether the ring is at least half full afterwards. It returns false for a lost decision.
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

// HalfFull returns a channel that receives a value when a Put leaves the ring at least half full.
// It holds at most one value, which can be from before the last Drain.
func (r *Ring) HalfFull() <-chan struct{} { return r.halfFull }

// Drain removes all decisions from the ring and appends them to list, oldest first. It returns list and the number of decisions
// lost since the last Drain.
func (r *Ring) Drain(list []reason.Decision) ([]reason.Decision, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.count {
		list = append(list, r.records[r.oldest])
		r.records[r.oldest] = reason.Decision{} // lets the garbage collector free its strings
		r.oldest = (r.oldest + 1) % len(r.records)
	}
	lost := r.lost
	r.count, r.lost = 0, 0
	return list, lost
}
