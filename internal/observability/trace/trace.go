// Package trace takes a gateway's decisions with their reasons from the loop to a file, and reads them back. The loop never waits: a full
// ring loses the newest record and counts it.
package trace

import (
	"sync"

	"eiderspread/internal/decision/reason"
)

// Ring is a bounded queue of records between one loop and one writer. It is of both goroutines.
type Ring struct {
	mutex    sync.Mutex
	records  []reason.Decision
	oldest   int // the oldest
	count    int
	lost     uint64 // since the last Take
	halfFull chan struct{}
}

// NewRing makes a ring for so many records, one at least.
func NewRing(most int) *Ring {
	return &Ring{records: make([]reason.Decision, max(most, 1)), halfFull: make(chan struct{}, 1)}
}

// Put adds a record, unless the ring is full. It never blocks for longer than a Take copies.
func (r *Ring) Put(d reason.Decision) {
	r.mutex.Lock()
	if r.count == len(r.records) {
		r.lost++
		r.mutex.Unlock()
		return
	}
	r.records[(r.oldest+r.count)%len(r.records)] = d
	r.count++
	full := r.count >= len(r.records)/2
	r.mutex.Unlock()
	if full {
		select {
		case r.halfFull <- struct{}{}:
		default:
		}
	}
}

// HalfFull yields when the ring has become half full.
func (r *Ring) HalfFull() <-chan struct{} { return r.halfFull }

// Drain moves what is there behind into and returns it with the number of records lost since the last Take.
func (r *Ring) Drain(into []reason.Decision) ([]reason.Decision, uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.count {
		into = append(into, r.records[r.oldest])
		r.records[r.oldest] = reason.Decision{} // lets go of its strings
		r.oldest = (r.oldest + 1) % len(r.records)
	}
	r.count = 0
	lost := r.lost
	r.lost = 0
	return into, lost
}
