package simulation

import (
	"container/heap"
)

// MaxClockRate is what the fastest clock makes of a second.
const MaxClockRate = 1.02

type event struct {
	at  float64
	seq int
	do  func()
}

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

type clock struct{ offset, speed float64 }

func (c clock) at(t float64) float64 { return 1e6 + c.offset + t*c.speed }

func (s *Sim) after(d float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}
