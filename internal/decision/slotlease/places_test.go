package slotlease

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A member that dies with all places of an account, or whose every word is lost, keeps them no longer than they were lent.
func TestTable_LeaseExpires(t *testing.T) {
	var b Table
	b.Grant(10, 7, 2, 0.4, 0.2)
	if n := b.Leased(10.3, -1); n != 2 {
		t.Fatalf("%d places out while they are lent", n)
	}
	if n := b.Leased(10.4+GraceS+0.001, -1); n != 0 {
		t.Fatalf("%d places out after their time", n)
	}
}

// A slow node: the attempt lasts longer than its lease. Renewed in time the place never seems free.
func TestTable_RenewedLeaseNeverLapses(t *testing.T) {
	var b Table
	var h MemberLeases
	now := 10.0
	b.Grant(now, 7, 1, 0.3, 0.2)
	h.Add(now+0.02, 1, 0.3)
	for ; now < 14; now += 0.02 {
		if h.Count(now+RenewBeforeS) < 1 {
			h.Renew(now, 1, ReportLeaseS)
			b.ApplyReport(now+0.02, 7, 1, ReportLeaseS, 0.2)
		}
		if b.Leased(now, -1) < 1 {
			t.Fatalf("the place is free at %.2f while an attempt is out on it", now)
		}
	}
	if b.ApplyReport(now, 7, 0, ReportLeaseS, 0.2); b.Leased(now, -1) != 0 {
		t.Error("a word of its end did not bring it back")
	}
}

// Three renewals lost in a row free the place: that is the stated slack. Two are made up for.
func TestTable_LostRenewals(t *testing.T) {
	for lost, want := range []int{1, 1, 1, 0} {
		var b Table
		b.Grant(0, 7, 1, 0.3, 0.2)
		at := 0.3 - RenewBeforeS + 0.02 // the first renewal's arrival, with those after it as long as the member believes in none
		for i := range lost {
			at += 0.02 * float64(i+1)
		}
		end := 0.3 + GraceS
		if at > end {
			at = end + 0.01
		}
		if lost < 3 {
			b.ApplyReport(at, 7, 1, ReportLeaseS, 0.2)
		}
		if n := b.Leased(end+0.005, -1); n != want {
			t.Errorf("%d renewals lost: %d places out, want %d", lost, n, want)
		}
	}
}

// A word that crossed a grant does not end it, and counts it once.
func TestTable_ReportCrossesGrant(t *testing.T) {
	var b Table
	b.Grant(10, 7, 1, 0.5, 0.2)
	if b.ApplyReport(10.03, 7, 0, ReportLeaseS, 0.2); b.Leased(10.03, -1) != 1 {
		t.Error("a grant of 0.03 s ago was ended by a word sent before it came")
	}
	if b.ApplyReport(10.05, 7, 1, ReportLeaseS, 0.2); b.Leased(10.05, -1) != 1 {
		t.Error("its attempt is counted beside it")
	}
	if b.ApplyReport(10.2, 7, 0, ReportLeaseS, 0.2); b.Leased(10.2, -1) != 0 {
		t.Error("it is out still")
	}
}

// Two words within a moment: the later one holds, whatever the first has said.
func TestTable_LatestReportWins(t *testing.T) {
	var b Table
	b.ApplyReport(10, 7, 2, ReportLeaseS, 0.2)
	if b.ApplyReport(10.01, 7, 1, ReportLeaseS, 0.2); b.Leased(10.01, -1) != 1 {
		t.Errorf("%d out, told of 2 and then of 1", b.Leased(10.01, -1))
	}
	if b.ApplyReport(10.02, 7, 0, ReportLeaseS, 0.2); b.Leased(10.02, -1) != 0 {
		t.Error("told of none")
	}
}

func TestTable_DropMember(t *testing.T) {
	var b Table
	b.Grant(10, 7, 2, 3, 0.2)
	b.Grant(10, 8, 1, 3, 0.2)
	b.Enqueue(Waiter{Member: 7, ExpiresAt: 20})
	if b.DropMember(7); b.Leased(10.1, -1) != 1 || b.QueueLen() != 0 {
		t.Errorf("%d out, %d wait", b.Leased(10.1, -1), b.QueueLen())
	}
}

// 135 members want one of 12 places within a second, again and again: no more are ever out, each member that waits gets its turn in the order of
// its coming, and none stands in the line twice or beyond its time.
func TestTable_QueueIsServedInOrder(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		const places, members = 12, 135
		var b Table
		waits := map[int]float64{}
		var turns []int
		var order []int
		free := func(now float64) int { return places - b.Leased(now, -1) }
		for now := 0.0; now < 8; now += 0.01 {
			if now < 1 {
				m := rng.IntN(members)
				if free(now) > 0 && b.QueueLen() == 0 {
					b.Grant(now, m, 1, 0.3, 0.2)
				} else {
					if _, there := waits[m]; !there {
						order = append(order, m)
					}
					waits[m] = now
					b.Enqueue(Waiter{Member: m, ExpiresAt: now + 6})
				}
			}
			for free(now) > 0 {
				w, ok := b.NextWaiter(now)
				if !ok {
					break
				}
				if w.ExpiresAt <= now {
					t.Fatal("a place for one whose time is over")
				}
				b.Dequeue(w.Member)
				b.Grant(now, w.Member, 1, 0.2+0.2*rng.Float64(), 0.2)
				if _, there := waits[w.Member]; !there {
					t.Fatalf("member %d had its turn twice", w.Member)
				}
				delete(waits, w.Member)
				turns = append(turns, w.Member)
			}
			if n := b.Leased(now, -1); n > places {
				t.Fatalf("%d of %d places out", n, places)
			}
		}
		if len(waits) != 0 || len(turns) < 60 {
			t.Fatalf("seed %d: %d had their turn, %d still wait", seed, len(turns), len(waits))
		}
		for i, m := range turns {
			if order[i] != m {
				t.Fatalf("seed %d: turn %d was member %d's, %d came first", seed, i, m, order[i])
			}
		}
	}
}

func TestTable_WaitersExpire(t *testing.T) {
	var b Table
	b.Enqueue(Waiter{Member: 1, ExpiresAt: 5})
	b.Enqueue(Waiter{Member: 2, ExpiresAt: 9})
	if before := b.Enqueue(Waiter{Member: 1, Units: 3, ExpiresAt: 4}); before != 0 || b.QueueLen() != 2 {
		t.Fatalf("asked again it stands behind %d of %d", before, b.QueueLen())
	}
	if w, ok := b.NextWaiter(5); !ok || w.Member != 2 {
		t.Errorf("next is %+v", w)
	}
	if _, ok := b.NextWaiter(9); ok || b.QueueLen() != 0 {
		t.Error("nobody has a use for a place any more")
	}
}

// Whatever is lent, told, lost, doubled and dropped: the book never believes in a place longer than its time, and never in more than the sum of
// what was lent and told within it.
func TestTable_LeasedNeverExceedsGrants(t *testing.T) {
	type right struct {
		member, n int
		end       float64
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var b Table
		var rights []right
		now := 0.0
		for range 300 {
			now += rng.Float64() * 0.1
			m, n, span := rng.IntN(5), rng.IntN(3), 0.1+rng.Float64()
			switch rng.IntN(4) {
			case 0:
				b.Grant(now, m, n, span, 0.2)
				rights = append(rights, right{m, n, now + span + GraceS})
			case 1:
				b.ApplyReport(now, m, n, span, 0.2)
				rights = append(rights, right{m, n, now + span + GraceS})
			case 2:
				b.DropMember(m)
				for i := range rights {
					if rights[i].member == m {
						rights[i].n = 0
					}
				}
			}
			most := 0
			for _, r := range rights {
				if r.end > now {
					most += r.n
				}
			}
			if out := b.Leased(now, -1); out > most || out < 0 {
				t.Fatalf("seed %d: %d out, %d lent or told within their time", seed, out, most)
			}
			sum := 0
			for m := range 5 {
				sum += b.Leased(now, -1) - b.Leased(now, m)
			}
			if sum != b.Leased(now, -1) {
				t.Fatalf("seed %d: members' places do not add up", seed)
			}
		}
	}
}

func TestPrefetchCount_SumsToHalfOfFree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	for range 1000 {
		free, sum, all := rng.IntN(40), 0, 0.0
		demands := make([]float64, 1+rng.IntN(30))
		for i := range demands {
			demands[i] = rng.Float64()
			all += demands[i]
		}
		for _, d := range demands {
			sum += PrefetchCount(free, d, all)
		}
		if sum > free/2 {
			t.Fatalf("%d of %d free places are lent ahead", sum, free)
		}
	}
	if PrefetchCount(1, 1, 1) != 0 || PrefetchCount(12, 1, 1) != 6 || PrefetchCount(12, 0, 0) != 0 {
		t.Error("ahead")
	}
}

func TestLeaseS_IsBounded(t *testing.T) {
	if s := LeaseS(0.2, 0.1); math.Abs(s-0.35) > 1e-9 {
		t.Errorf("%v", s)
	}
	if LeaseS(100, 1) != MaxLeaseS {
		t.Error("no bound")
	}
}

// The line is told how long it is by when the attempts that are out are thought to end.
func TestTable_ExpectedWaitS(t *testing.T) {
	var b Table
	b.Grant(10, 1, 1, 0.5, 0.2)
	b.Grant(10.1, 2, 1, 0.5, 0.2)
	for _, tc := range []struct {
		now         float64
		before, own int
		want        float64
	}{
		{10.1, 0, 0, 0.1}, {10.1, 1, 0, 0.2}, {10.1, 2, 0, 0.4}, {10.1, 3, 0, 0.5}, // each place goes to the next for 0.3 s
		{10.4, 0, 0, minRemainingS}, {10.1, 1, 1, 0.15}, {11, 0, 0, 0}, {11, 0, 1, 0.15},
	} {
		if got := b.ExpectedWaitS(tc.now, tc.before, tc.own, 0.3); math.Abs(got-tc.want) > 0.1+1e-9 || tc.before < 2 && math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("at %v behind %d, with %d of the lender's own: %v, want %v", tc.now, tc.before, tc.own, got, tc.want)
		}
	}
}
