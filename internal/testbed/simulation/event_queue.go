package simulation

import (
	"container/heap"
)

// MaxClockRate is the highest rate of a party's clock, in seconds per true second. New draws the rates from 0.98 to 1.02.
const MaxClockRate = 1.02

// event is a call that is due at a true time in seconds. Events of the same time run in the order of seq.
type event struct {
	at  float64
	seq int
	do  func()
}

// queue is a heap of events, the earliest first.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// clock is a party's clock: its offset in seconds and its rate in seconds per true second.
type clock struct{ offset, speed float64 }

// at returns what the clock shows at the true time t, in seconds.
func (c clock) at(t float64) float64 { return 1e6 + c.offset + t*c.speed }

// after schedules a call of do in d seconds.
func (s *Sim) after(d float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}
