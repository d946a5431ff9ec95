package slotlease

import (
	"math/rand/v2"
	"testing"
)

// Within a second, 100 requests of up to 135 members compete for 12 slots. There are never more than 12 slots
// leased, each waiting member gets one slot in the order of the requests, and no member is queued twice or beyond
// its expiry.
func TestTable_QueueIsServedInOrder(t *testing.T) {
	const slots, members = 12, 135
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var table Table
		waiting := map[int]bool{}
		var arrived, served []int
		free := func(now float64) int { return slots - table.Leased(now, -1) }
		for now := 0.0; now < 8; now += 0.01 {
			if now < 1 {
				member := rng.IntN(members)
				if free(now) > 0 && table.QueueLen() == 0 {
					table.Grant(now, member, 1, 0.3, 0.2)
				} else {
					if !waiting[member] {
						arrived = append(arrived, member)
					}
					waiting[member] = true
					table.Enqueue(Waiter{Member: member, ExpiresAt: now + 6})
				}
			}
			for free(now) > 0 {
				w, ok := table.NextWaiter(now)
				if !ok {
					break
				}
				if w.ExpiresAt <= now {
					t.Fatal("NextWaiter returned an expired entry")
				}
				table.Dequeue(w.Member)
				table.Grant(now, w.Member, 1, 0.2+0.2*rng.Float64(), 0.2)
				if !waiting[w.Member] {
					t.Fatalf("member %d got a slot without waiting for one", w.Member)
				}
				delete(waiting, w.Member)
				served = append(served, w.Member)
			}
			if n := table.Leased(now, -1); n > slots {
				t.Fatalf("%d slots leased, want at most %d", n, slots)
			}
		}
		if len(waiting) != 0 || len(served) < 60 {
			t.Fatalf("seed %d: %d slots granted from the queue, want at least 60; %d members still wait, want none", seed, len(served), len(waiting))
		}
		for i, member := range served {
			if arrived[i] != member {
				t.Fatalf("seed %d: grant %d went to member %d, want member %d, which requested first", seed, i, member, arrived[i])
			}
		}
	}
}

func TestTable_WaitersExpire(t *testing.T) {
	var table Table
	table.Enqueue(Waiter{Member: 1, ExpiresAt: 5})
	table.Enqueue(Waiter{Member: 2, ExpiresAt: 9})
	if ahead := table.Enqueue(Waiter{Member: 1, Units: 3, ExpiresAt: 4}); ahead != 0 || table.QueueLen() != 2 {
		t.Fatalf("second request of member 1: %d members ahead of it, %d in the queue, want 0 and 2", ahead, table.QueueLen())
	}
	if w, ok := table.NextWaiter(5); !ok || w.Member != 2 {
		t.Errorf("next waiter is %+v, want member 2", w)
	}
	if _, ok := table.NextWaiter(9); ok || table.QueueLen() != 0 {
		t.Errorf("all entries have expired, but %d are in the queue, want none returned and none left", table.QueueLen())
	}
}
