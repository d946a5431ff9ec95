package reportqueue

import (
	"math/rand/v2"
	"testing"
)

func TestQueue_UrgentFirstWithinRate(t *testing.T) {
	b := New[int](3, 0)
	var told []int
	all := func(to int, items []int) int { told = append(told, to); return len(items) }
	b.Add(0, 1)
	b.Add(1, 2)
	b.Add(2, 3)
	b.MarkUrgent(2)
	if b.Flush(0.2, 1, all); len(told) != 2 || told[0] != 0 || told[1] != 2 {
		t.Fatalf("told %v: a token is kept for what is urgent", told)
	}
	if b.Flush(0.3, 1, all); len(told) != 2 || b.PendingPeers() != 1 {
		t.Fatalf("told %v with the rate used up", told)
	}
	if b.Flush(3, 1, all); len(told) != 3 || told[2] != 1 || b.PendingPeers() != 0 {
		t.Fatalf("told %v", told)
	}
}

func TestQueue_BatchInterval(t *testing.T) {
	b := New[int](1, 0)
	n := 0
	for i := range 100 {
		b.Add(0, i)
		b.Flush(float64(i)*0.01, 1000, func(_ int, items []int) int { n++; return len(items) })
	}
	if n < 9 || n > 11 {
		t.Errorf("%d messages within a second", n)
	}
}

// Whatever comes when: nothing is lost, doubled or out of order, a message takes no more than it has room for, and the rate holds.
func TestQueue_KeepsItemsInOrderWithinRate(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		const peers, rate, room = 5, 20.0, 3
		b := New[int](peers, 0)
		var put, got [peers][]int
		sent, now := 0, 0.0
		for i := range 2000 {
			now += rng.Float64() * 0.02
			to := rng.IntN(peers)
			if rng.IntN(3) == 0 {
				put[to] = append(put[to], i)
				b.Add(to, i)
			}
			if rng.IntN(4) == 0 {
				b.MarkUrgent(to)
			}
			b.Flush(now, rate, func(to int, items []int) int {
				sent++
				n := min(len(items), room)
				got[to] = append(got[to], items[:n]...)
				return n
			})
		}
		if most := rate*now + 4; float64(sent) > most {
			t.Errorf("seed %d: %d messages in %.1f s, %.0f at most", seed, sent, now, most)
		}
		for range 2000 {
			now += 0.1
			b.Flush(now, rate, func(to int, items []int) int { got[to] = append(got[to], items...); return len(items) })
		}
		for p := range peers {
			if len(put[p]) != len(got[p]) {
				t.Fatalf("seed %d: %d of %d items told", seed, len(got[p]), len(put[p]))
			}
			for i := range put[p] {
				if put[p][i] != got[p][i] {
					t.Fatalf("seed %d: item %d out of order", seed, i)
				}
			}
		}
	}
}
