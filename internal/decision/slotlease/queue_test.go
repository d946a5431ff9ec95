package slotlease

import (
	"math/rand/v2"
	"testing"
)

// 135 members request one of 12 slots within a second, again and again: no more slots are ever leased, each
// member that waits gets one slot in the order of its request, none is in the queue twice or beyond its expiry.
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
					t.Fatal("a slot for an expired entry")
				}
				table.Dequeue(w.Member)
				table.Grant(now, w.Member, 1, 0.2+0.2*rng.Float64(), 0.2)
				if !waiting[w.Member] {
					t.Fatalf("member %d was served twice", w.Member)
				}
				delete(waiting, w.Member)
				served = append(served, w.Member)
			}
			if n := table.Leased(now, -1); n > slots {
				t.Fatalf("%d of %d slots leased", n, slots)
			}
		}
		if len(waiting) != 0 || len(served) < 60 {
			t.Fatalf("seed %d: %d members served, %d still wait", seed, len(served), len(waiting))
		}
		for i, member := range served {
			if arrived[i] != member {
				t.Fatalf("seed %d: slot %d went to member %d, member %d was first", seed, i, member, arrived[i])
			}
		}
	}
}

func TestTable_WaitersExpire(t *testing.T) {
	var table Table
	table.Enqueue(Waiter{Member: 1, ExpiresAt: 5})
	table.Enqueue(Waiter{Member: 2, ExpiresAt: 9})
	if before := table.Enqueue(Waiter{Member: 1, Units: 3, ExpiresAt: 4}); before != 0 || table.QueueLen() != 2 {
		t.Fatalf("a second request of member 1 is behind %d of %d members", before, table.QueueLen())
	}
	if w, ok := table.NextWaiter(5); !ok || w.Member != 2 {
		t.Errorf("next is %+v, want member 2", w)
	}
	if _, ok := table.NextWaiter(9); ok || table.QueueLen() != 0 {
		t.Errorf("an expired entry is left: %d in the queue", table.QueueLen())
	}
}
