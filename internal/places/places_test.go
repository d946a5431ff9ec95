package places

import (
	"math"
	"math/rand/v2"
	"testing"
)

// A member that dies with all places of an account, or whose every word is lost, keeps them no longer than they were lent.
func TestAPlaceComesBackByItself(t *testing.T) {
	var b Book
	b.Lend(10, 7, 2, 0.4, 0.2)
	if n := b.Out(10.3, -1); n != 2 {
		t.Fatalf("%d places out while they are lent", n)
	}
	if n := b.Out(10.4+GraceS+0.001, -1); n != 0 {
		t.Fatalf("%d places out after their time", n)
	}
}

// A slow node: the attempt lasts longer than its lease. Renewed in time the place never seems free.
func TestAPlaceInUseIsRenewed(t *testing.T) {
	var b Book
	var h Held
	now := 10.0
	b.Lend(now, 7, 1, 0.3, 0.2)
	h.Lend(now+0.02, 1, 0.3)
	for ; now < 14; now += 0.02 {
		if h.Now(now+RenewS) < 1 {
			h.Renew(now, 1, WordS)
			b.Told(now+0.02, 7, 1, WordS, 0.2)
		}
		if b.Out(now, -1) < 1 {
			t.Fatalf("the place is free at %.2f while an attempt is out on it", now)
		}
	}
	if b.Told(now, 7, 0, WordS, 0.2); b.Out(now, -1) != 0 {
		t.Error("a word of its end did not bring it back")
	}
}

// Three renewals lost in a row free the place: that is the stated slack. Two are made up for.
func TestARenewalMayBeLost(t *testing.T) {
	for lost, want := range []int{1, 1, 1, 0} {
		var b Book
		b.Lend(0, 7, 1, 0.3, 0.2)
		at := 0.3 - RenewS + 0.02 // the first renewal's arrival, with those after it as long as the member believes in none
		for i := range lost {
			at += 0.02 * float64(i+1)
		}
		end := 0.3 + GraceS
		if at > end {
			at = end + 0.01
		}
		if lost < 3 {
			b.Told(at, 7, 1, WordS, 0.2)
		}
		if n := b.Out(end+0.005, -1); n != want {
			t.Errorf("%d renewals lost: %d places out, want %d", lost, n, want)
		}
	}
}

// A word that crossed a grant does not end it, and counts it once.
func TestAWordThatCrossesAGrant(t *testing.T) {
	var b Book
	b.Lend(10, 7, 1, 0.5, 0.2)
	if b.Told(10.03, 7, 0, WordS, 0.2); b.Out(10.03, -1) != 1 {
		t.Error("a grant of 0.03 s ago was ended by a word sent before it came")
	}
	if b.Told(10.05, 7, 1, WordS, 0.2); b.Out(10.05, -1) != 1 {
		t.Error("its attempt is counted beside it")
	}
	if b.Told(10.2, 7, 0, WordS, 0.2); b.Out(10.2, -1) != 0 {
		t.Error("it is out still")
	}
}

// Two words within a moment: the later one holds, whatever the first has said.
func TestALaterWordHolds(t *testing.T) {
	var b Book
	b.Told(10, 7, 2, WordS, 0.2)
	if b.Told(10.01, 7, 1, WordS, 0.2); b.Out(10.01, -1) != 1 {
		t.Errorf("%d out, told of 2 and then of 1", b.Out(10.01, -1))
	}
	if b.Told(10.02, 7, 0, WordS, 0.2); b.Out(10.02, -1) != 0 {
		t.Error("told of none")
	}
}

func TestALifeThatEndsTakesItsPlacesAlong(t *testing.T) {
	var b Book
	b.Lend(10, 7, 2, 3, 0.2)
	b.Lend(10, 8, 1, 3, 0.2)
	b.Wait(Waiter{Member: 7, Until: 20})
	if b.Drop(7); b.Out(10.1, -1) != 1 || b.Waiting() != 0 {
		t.Errorf("%d out, %d wait", b.Out(10.1, -1), b.Waiting())
	}
}

// 135 members want one of 12 places within a second, again and again: no more are ever out, each member that waits gets its turn in the order of
// its coming, and none stands in the line twice or beyond its time.
func TestManyWantFewPlaces(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		const places, members = 12, 135
		var b Book
		waits := map[int]float64{}
		var turns []int
		var order []int
		free := func(now float64) int { return places - b.Out(now, -1) }
		for now := 0.0; now < 8; now += 0.01 {
			if now < 1 {
				m := rng.IntN(members)
				if free(now) > 0 && b.Waiting() == 0 {
					b.Lend(now, m, 1, 0.3, 0.2)
				} else {
					if _, there := waits[m]; !there {
						order = append(order, m)
					}
					waits[m] = now
					b.Wait(Waiter{Member: m, Until: now + 6})
				}
			}
			for free(now) > 0 {
				w, ok := b.Next(now)
				if !ok {
					break
				}
				if w.Until <= now {
					t.Fatal("a place for one whose time is over")
				}
				b.Leave(w.Member)
				b.Lend(now, w.Member, 1, 0.2+0.2*rng.Float64(), 0.2)
				if _, there := waits[w.Member]; !there {
					t.Fatalf("member %d had its turn twice", w.Member)
				}
				delete(waits, w.Member)
				turns = append(turns, w.Member)
			}
			if n := b.Out(now, -1); n > places {
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

func TestTheLineEndsByTime(t *testing.T) {
	var b Book
	b.Wait(Waiter{Member: 1, Until: 5})
	b.Wait(Waiter{Member: 2, Until: 9})
	if before := b.Wait(Waiter{Member: 1, Units: 3, Until: 4}); before != 0 || b.Waiting() != 2 {
		t.Fatalf("asked again it stands behind %d of %d", before, b.Waiting())
	}
	if w, ok := b.Next(5); !ok || w.Member != 2 {
		t.Errorf("next is %+v", w)
	}
	if _, ok := b.Next(9); ok || b.Waiting() != 0 {
		t.Error("nobody has a use for a place any more")
	}
}

// Whatever is lent, told, lost, doubled and dropped: the book never believes in a place longer than its time, and never in more than the sum of
// what was lent and told within it.
func TestTheBookBelievesNoLongerThanItLent(t *testing.T) {
	type right struct {
		member, n int
		end       float64
	}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 6))
		var b Book
		var rights []right
		now := 0.0
		for range 300 {
			now += rng.Float64() * 0.1
			m, n, span := rng.IntN(5), rng.IntN(3), 0.1+rng.Float64()
			switch rng.IntN(4) {
			case 0:
				b.Lend(now, m, n, span, 0.2)
				rights = append(rights, right{m, n, now + span + GraceS})
			case 1:
				b.Told(now, m, n, span, 0.2)
				rights = append(rights, right{m, n, now + span + GraceS})
			case 2:
				b.Drop(m)
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
			if out := b.Out(now, -1); out > most || out < 0 {
				t.Fatalf("seed %d: %d out, %d lent or told within their time", seed, out, most)
			}
			sum := 0
			for m := range 5 {
				sum += b.Out(now, -1) - b.Out(now, m)
			}
			if sum != b.Out(now, -1) {
				t.Fatalf("seed %d: members' places do not add up", seed)
			}
		}
	}
}

func TestAheadAddsUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	for range 1000 {
		free, sum, all := rng.IntN(40), 0, 0.0
		demands := make([]float64, 1+rng.IntN(30))
		for i := range demands {
			demands[i] = rng.Float64()
			all += demands[i]
		}
		for _, d := range demands {
			sum += Ahead(free, d, all)
		}
		if sum > free/2 {
			t.Fatalf("%d of %d free places are lent ahead", sum, free)
		}
	}
	if Ahead(1, 1, 1) != 0 || Ahead(12, 1, 1) != 6 || Ahead(12, 0, 0) != 0 {
		t.Error("ahead")
	}
}

func TestSpan(t *testing.T) {
	if s := Span(0.2, 0.1); math.Abs(s-0.35) > 1e-9 {
		t.Errorf("%v", s)
	}
	if Span(100, 1) != MostS {
		t.Error("no bound")
	}
}

// The line is told how long it is by when the attempts that are out are thought to end.
func TestSoon(t *testing.T) {
	var b Book
	b.Lend(10, 1, 1, 0.5, 0.2)
	b.Lend(10.1, 2, 1, 0.5, 0.2)
	for _, tc := range []struct {
		now         float64
		before, own int
		want        float64
	}{
		{10.1, 0, 0, 0.1}, {10.1, 1, 0, 0.2}, {10.1, 2, 0, 0.4}, {10.1, 3, 0, 0.5}, // each place goes to the next for 0.3 s
		{10.4, 0, 0, lateS}, {10.1, 1, 1, 0.15}, {11, 0, 0, 0}, {11, 0, 1, 0.15},
	} {
		if got := b.Soon(tc.now, tc.before, tc.own, 0.3); math.Abs(got-tc.want) > 0.1+1e-9 || tc.before < 2 && math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("at %v behind %d, with %d of the lender's own: %v, want %v", tc.now, tc.before, tc.own, got, tc.want)
		}
	}
}
