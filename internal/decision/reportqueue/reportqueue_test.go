package reportqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestQueue_UrgentFirstWithinRate(t *testing.T) {
	const rate = 1
	q := New[int](3, 0)
	var sent []int
	send := func(to int, items []int) int { sent = append(sent, to); return len(items) }
	q.Add(0, 1)
	q.Add(1, 2)
	q.Add(2, 3)
	q.MarkUrgent(2)
	for _, tc := range []struct {
		now     float64
		want    []int // peers sent to, since the start
		pending int
		why     string
	}{
		{0.2, []int{0, 2}, 1, "one token is reserved for urgent items"},
		{0.3, []int{0, 2}, 1, "the rate is used up"},
		{3, []int{0, 2, 1}, 0, "the bucket is full again"},
	} {
		if q.Flush(tc.now, rate, send); !slices.Equal(sent, tc.want) || q.PendingPeers() != tc.pending {
			t.Fatalf("at %v s (%s): messages sent to %v, %d peers pending, want %v and %d", tc.now, tc.why, sent, q.PendingPeers(), tc.want, tc.pending)
		}
	}
}

func TestQueue_BatchInterval(t *testing.T) {
	q := New[int](1, 0)
	messages := 0
	for i := range 100 {
		q.Add(0, i)
		q.Flush(float64(i)*0.01, 1000, func(_ int, items []int) int { messages++; return len(items) })
	}
	if messages < 9 || messages > 11 {
		t.Errorf("%d messages within a second, want 9 to 11", messages)
	}
}

// Items are added and marked urgent at random: none is lost, duplicated or out of order, no message has more items
// than its capacity, and the rate limit holds.
func TestQueue_KeepsItemsInOrderWithinRate(t *testing.T) {
	const peers, rate, capacity = 5, 20.0, 3
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		q := New[int](peers, 0)
		var added, got [peers][]int
		messages, now := 0, 0.0
		for i := range 2000 {
			now += rng.Float64() * 0.02
			to := rng.IntN(peers)
			if rng.IntN(3) == 0 {
				added[to] = append(added[to], i)
				q.Add(to, i)
			}
			if rng.IntN(4) == 0 {
				q.MarkUrgent(to)
			}
			q.Flush(now, rate, func(to int, items []int) int {
				messages++
				n := min(len(items), capacity)
				got[to] = append(got[to], items[:n]...)
				return n
			})
		}
		if limit := rate*now + 4; float64(messages) > limit {
			t.Errorf("seed %d: %d messages in %.1f s, want at most %.0f", seed, messages, now, limit)
		}
		for range 2000 {
			now += 0.1
			q.Flush(now, rate, func(to int, items []int) int { got[to] = append(got[to], items...); return len(items) })
		}
		for peer := range peers {
			if !slices.Equal(added[peer], got[peer]) {
				t.Fatalf("seed %d: peer %d got items %v, want %v", seed, peer, got[peer], added[peer])
			}
		}
	}
}
