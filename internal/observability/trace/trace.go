// Package trace takes a gateway's decisions with their reasons from the loop to a file, and reads them back. The loop never waits: a full
// ring loses the newest record and counts it.
package trace

import (
	"sync"

	"eiderspread/internal/decision/reason"
)

// Ring is a bounded queue of records between one loop and one writer. It is of both goroutines.
type Ring struct {
	mu   sync.Mutex
	buf  []reason.Decision
	from int // the oldest
	n    int
	lost uint64 // since the last Take
	half chan struct{}
}

// NewRing makes a ring for so many records, one at least.
func NewRing(most int) *Ring {
	return &Ring{buf: make([]reason.Decision, max(most, 1)), half: make(chan struct{}, 1)}
}

// Put adds a record, unless the ring is full. It never blocks for longer than a Take copies.
func (r *Ring) Put(d reason.Decision) {
	r.mu.Lock()
	if r.n == len(r.buf) {
		r.lost++
		r.mu.Unlock()
		return
	}
	r.buf[(r.from+r.n)%len(r.buf)] = d
	r.n++
	full := r.n >= len(r.buf)/2
	r.mu.Unlock()
	if full {
		select {
		case r.half <- struct{}{}:
		default:
		}
	}
}

// Half yields when the ring has become half full.
func (r *Ring) Half() <-chan struct{} { return r.half }

// Take moves what is there behind into and returns it with the number of records lost since the last Take.
func (r *Ring) Take(into []reason.Decision) ([]reason.Decision, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range r.n {
		into = append(into, r.buf[r.from])
		r.buf[r.from] = reason.Decision{} // lets go of its strings
		r.from = (r.from + 1) % len(r.buf)
	}
	r.n = 0
	lost := r.lost
	r.lost = 0
	return into, lost
}
