package ingress

import (
	"container/heap"
	"time"
)

// timer runs a function on the loop at expiresAt, unless it is stopped before. The number of timers is bounded: each request and each
// attempt holds one until it ends, and the decider and the loop hold a few.
type timer struct {
	expiresAt float64
	run       func()
	index     int // in the heap; -1: not in the heap
}

// timerHeap implements heap.Interface, ordered by expiry time.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// after runs a function on the loop, delayS seconds from now.
func (in *Ingress) after(delayS float64, run func()) *timer {
	t := &timer{expiresAt: in.now + delayS, run: run}
	heap.Push(&in.timers, t)
	return t
}

// every runs a function on the loop at each interval, until the loop ends.
func (in *Ingress) every(interval time.Duration, run func()) {
	in.after(interval.Seconds(), func() {
		in.every(interval, run)
		run()
	})
}

// stopTimer removes a timer, and with it the reference to its function. t may be nil, or have expired.
func (in *Ingress) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&in.timers, t.index)
	}
}

// armSystemTimer sets the system timer for the first timer of the heap, unless it is already set for that time or an earlier one.
func (in *Ingress) armSystemTimer() {
	if len(in.timers) == 0 || in.systemTimerAt != 0 && in.systemTimerAt <= in.timers[0].expiresAt {
		return
	}
	in.systemTimerAt = in.timers[0].expiresAt
	in.systemTimer.Reset(max(0, time.Duration((in.systemTimerAt-in.clock.Now())*float64(time.Second))))
}

func (in *Ingress) runExpiredTimers() {
	now := in.clock.Now()
	for len(in.timers) > 0 && in.timers[0].expiresAt <= now {
		in.handleEvent(event{now, heap.Pop(&in.timers).(*timer).run})
	}
}
