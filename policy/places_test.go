package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/ceiling"
	"eiderspread/internal/peermsg"
	"eiderspread/internal/places"
)

// A fleet of gateways of which one owns an account and others ask it, played by hand.
type bench struct {
	t   *testing.T
	g   *Gateway
	r   *recorder
	seq map[int]uint16
}

func ownerOf(t *testing.T, gateways int) *bench {
	g, r := gateway(t, fleet(gateways))
	return &bench{t, g, r, map[int]uint16{}}
}

// tell has a member report and returns what the owner answered it, if it did.
func (b *bench) tell(now float64, from int, r record) (v record, answered bool) {
	b.t.Helper()
	b.seq[from]++
	before := len(b.r.of("tell", ""))
	r.Key = 77
	m := peermsg.AppendRecord(peermsg.AppendHeader(nil, 1, b.seq[from]), r)
	m[peermsg.CountAt] = 1
	b.g.Peer(now, from, m)
	return b.last(before, from)
}

// last is what was told to a gateway since so many messages.
func (b *bench) last(since, to int) (v record, any bool) {
	for _, m := range b.r.of("tell", "")[since:] {
		if _, _, recs, _, ok := peermsg.Parse(m.data, b.g.now); ok && m.to == to && len(recs) > 0 && recs[0].Key == 77 {
			v, any = recs[0], true
		}
	}
	return v, any
}

// run lets time pass.
func (b *bench) run(from, to float64) {
	for now := from; now < to; now += tickS {
		b.g.Timer(now, 1)
	}
}

// want is a question for one unit by a plan with a cap of two.
func want(total float64) record {
	return record{Plan: 2, Lends: true, Total: total, Want: 1, First: 1, Cheap: 0.8}
}

// Guards the cap's book: an owner believed in a place for three seconds after its grant, as the word of its end was lost or late.
func TestALentPlaceComesBackByItself(t *testing.T) {
	b := ownerOf(t, 9)
	for m := 1; m <= 2; m++ {
		if v, _ := b.tell(101, m, want(0)); v.Want != 1 || v.Places != 1 || v.Lease <= 0 {
			t.Fatalf("member %d got %+v", m, v)
		}
	}
	v, _ := b.tell(101.01, 3, want(0))
	if v.Want > wantNone || v.Places != 0 || v.Lease == 0 || v.Hold <= 0 {
		t.Fatalf("a third place of two: %+v", v)
	}
	before := len(b.r.of("tell", ""))
	k := b.g.like(0.8)
	span := places.Span(k.lat, k.dev)
	b.run(101.02, 101+span)
	if v, any := b.last(before, 3); any {
		t.Fatalf("a place was lent twice: %+v", v)
	}
	b.run(101+span, 101.1+span+places.GraceS)
	if v, any := b.last(before, 3); !any || v.Want != 1 || v.Places != 1 {
		t.Fatalf("the next in line was not told when the places' time was over: %+v", v)
	}
}

// A word of an attempt's end goes to the next in line at once, and is not answered itself.
func TestAnEndGoesToTheNextInLine(t *testing.T) {
	b := ownerOf(t, 9)
	b.tell(101, 1, want(0))
	b.tell(101, 2, want(0))
	b.tell(101.01, 3, want(0))
	b.tell(101.01, 4, want(0))
	before := len(b.r.of("tell", ""))
	if v, answered := b.tell(101.2, 1, record{Plan: 2, Lends: true, Total: 1, Lease: places.WordS}); answered {
		t.Errorf("a word of places was answered: %+v", v)
	}
	if v, any := b.last(before, 3); !any || v.Places != 1 {
		t.Errorf("the first in line got %+v", v)
	}
	if v, any := b.last(before, 4); any {
		t.Errorf("so did the second: %+v", v)
	}
	b.tell(101.21, 4, record{Plan: 2, Lends: true, Lease: places.WordS}) // it has no use for a place any more
	b.run(101.22, 103)
	if v, any := b.last(before, 4); any {
		t.Errorf("one that left the line got %+v", v)
	}
}

// Versions mixed in one fleet: a member that knows no lease is believed as before, and its cap is told as before.
func TestAMemberThatLendsNothingIsBelieved(t *testing.T) {
	b := ownerOf(t, 9)
	old := want(0)
	old.Lends = false
	b.tell(101, 1, old)
	b.tell(101, 2, old)
	if v, _ := b.tell(101.01, 3, old); v.Hold != 0 || v.Lends || v.Lease != 0 || v.Places != 0 {
		t.Errorf("it was told %+v", v)
	}
	b.run(101.02, 103.9)
	if n := b.g.free(b.g.account(77)); n != 0 {
		t.Errorf("%d places are free while its attempts may be out", n)
	}
	b.run(103.9, 104.2)
	if n := b.g.free(b.g.account(77)); n != 2 {
		t.Errorf("%d places are free three seconds later", n)
	}
}

// An owner that has just started does not know what is out: it lends nothing until what its former life lent is over.
func TestANewLifeLendsNothingAtFirst(t *testing.T) {
	b := ownerOf(t, 9)
	if v, _ := b.tell(100.1, 1, want(0)); v.Places != 0 || v.Want > wantNone {
		t.Fatalf("%+v", v)
	}
	before := len(b.r.of("tell", ""))
	b.run(100.12, 100.1+places.WordS)
	if v, any := b.last(before, 1); !any || v.Places != 1 {
		t.Errorf("and then not either: %+v", v)
	}
}

// elsewhere is the name of an account that another gateway owns.
func elsewhere(g *Gateway) (name string) {
	for i := 0; ; i++ {
		if name = fmt.Sprint("k", i); g.walk(&customer{hash: peermsg.Point(name), entries: g.s.Gateways}, false) != g.s.Me {
			return name
		}
	}
}

// member is a gateway that has asked the owner of a capped account once.
func member(t *testing.T, n int) (*Gateway, *recorder, *customer, func(now float64, id string)) {
	g, r := gateway(t, fleet(9))
	g.limit = 9 // nodes have room
	name := elsewhere(g)
	ask := func(now float64, id string) {
		g.Request(now, Request{ID: id, Class: "read", Plan: "open", Customer: name, DeadlineS: now + 2, Entries: 9, Units: 1})
	}
	g.customer(Request{Customer: name, Plan: "open", Entries: 9}).roomAt = 90 // an old word
	for i := range n {
		ask(100, fmt.Sprint("q", i))
	}
	return g, r, g.account(uint32(peermsg.Point(name) >> 32)), ask
}

// What can't get its place in time is told so at once, not when half of its time is over; the others wait for a word that comes unasked.
func TestALineTooLongIsToldAtOnce(t *testing.T) {
	for _, tc := range []struct {
		hold    float64
		refused int
	}{{0.3, 0}, {1.5, 3}} {
		g, r, c, _ := member(t, 3)
		from, b := verdictOf(t, r, 1, func(v *record) { v.Lends, v.Want, v.Hold, v.Lease = true, wantNone, tc.hold, places.WordS })
		g.Peer(100.03, from, b)
		if n := len(r.of("refuse", "")); n != tc.refused || len(c.asks) != 3-tc.refused {
			t.Fatalf("a line of %v s: %d refused at once, %d wait", tc.hold, n, len(c.asks))
		}
		told := len(r.of("tell", ""))
		for now := 100.05; now < 100.03+tc.hold && tc.refused == 0; now += tickS {
			g.Timer(now, 1)
		}
		if n := len(r.of("tell", "")) - told; tc.refused == 0 && n > 0 {
			t.Errorf("%d messages while it stands in line", n)
		}
	}
}

// An attempt that lasts longer than its place is lent for is told of before the place ends, and its end at once where others may wait.
func TestAMemberRenewsItsPlace(t *testing.T) {
	g, r, c, _ := member(t, 1)
	g.s.Parallel, g.s.Cancel = false, false // it is left alone
	from, b := verdictOf(t, r, 1, func(v *record) { v.Lends, v.Total, v.Want, v.Places, v.Lease, v.Out = true, 1, 1, 1, 0.3, 1 })
	g.Peer(100.03, from, b)
	if len(r.of("send", "")) != 1 {
		t.Fatal("not sent with a place")
	}
	told := len(r.of("tell", ""))
	now := 100.05
	for ; now < 101.2; now += tickS {
		if g.Timer(now, 1); c.held.Now(now) < 1 {
			t.Fatalf("the place ended at %.2f, the attempt did not", now)
		}
	}
	if n := len(r.of("tell", "")) - told; n < 2 || n > 4 {
		t.Errorf("%d renewals in 1.2 s", n)
	}
	told = len(r.of("tell", ""))
	g.Outcome(now, Outcome{ID: "q0", Server: r.of("send", "")[0].server, Status: OK, SpentS: 1.2})
	g.Timer(now+tickS, 1)
	tells := r.of("tell", "")[told:]
	if len(tells) != 1 {
		t.Fatalf("%d messages on its end", len(tells))
	}
	if _, _, recs, _, _ := peermsg.Parse(tells[0].data, now); recs[0].Out != 0 || recs[0].Lease == 0 {
		t.Errorf("told was %+v", recs[0])
	}
}

// A member with a free place asks nobody.
func TestAFreePlaceIsUsedAgain(t *testing.T) {
	g, r, _, ask := member(t, 1)
	from, b := verdictOf(t, r, 1, func(v *record) { v.Lends, v.Total, v.Want, v.Places, v.Lease = true, 1, 1, 2, 0.5 })
	g.Peer(100.03, from, b)
	told := len(r.of("tell", ""))
	if ask(100.05, "next"); len(r.of("send", "next")) != 1 || len(r.of("tell", "")) != told {
		t.Error("a question, with a place free")
	}
	if ask(100.06, "third"); len(r.of("send", "third")) != 0 {
		t.Error("a third attempt on two places")
	}
}

// Units that the owner set aside ahead are let in without a question, are no more than they are, and go back when their time is over.
func TestUnitsAheadAskNobody(t *testing.T) {
	g, r, ask := asMember(t, fleet(100))
	g.limit = 9
	c := ask(100, "q", 1)
	from, b := verdictOf(t, r, 1, func(v *record) { v.Lends, v.Total, v.Want, v.Lease = true, 3, 1, ceiling.AheadS })
	g.Peer(100.03, from, b)
	told := len(r.of("tell", ""))
	ask(100.1, "a", 1)
	if len(r.of("send", "a")) != 1 || len(r.of("tell", "")) != told {
		t.Fatal("a question, with units ahead")
	}
	if ask(100.2, "b", 2); len(r.of("send", "b")) != 0 {
		t.Fatal("two units let in of one")
	}
	g.Gone(100.2, "b")
	for now := 100.22; now < 100.1+ceiling.AheadS+0.5; now += tickS {
		g.Timer(now, 1)
	}
	tells := r.of("tell", "")
	if len(tells) == told || c.ahead != 0 {
		t.Fatalf("%v units are kept beyond their time, %d messages", c.ahead, len(tells)-told)
	}
	if _, _, recs, _, _ := peermsg.Parse(tells[len(tells)-1].data, 102.5); recs[0].Total != 2 {
		t.Errorf("told a total of %v, 2 were let in", recs[0].Total)
	}
}

// A grant that no ceiling paid leaves nothing to let in unasked under a ceiling.
func TestUnpaidUnitsAreNotAhead(t *testing.T) {
	for _, paid := range []bool{false, true} {
		g, r := gateway(t, fleet(9))
		name := elsewhere(g)
		g.Request(100, Request{ID: "q", Class: "read", Plan: "capped", Customer: name, DeadlineS: 102, Entries: 9, Units: 4})
		from, b := verdictOf(t, r, 1, func(v *record) { v.Lends, v.Flag, v.Total, v.Want, v.Lease = true, paid, 9, 4, ceiling.AheadS })
		g.Peer(100.03, from, b)
		if c := g.account(uint32(peermsg.Point(name) >> 32)); (c.ahead > 0) != paid {
			t.Errorf("paid %v: %v units ahead", paid, c.ahead)
		}
	}
}

// Guards a hang: what asks again after a grant for others was noted as not urgent, looked after by nobody, and so waited until its time was over at
// a member that always had something more urgent to say.
func TestWhatAsksAgainIsLookedAfter(t *testing.T) {
	g, r, ask := asMember(t, fleet(100))
	g.limit = 9
	ask(100, "a", 2)
	c := ask(100, "b", 2)
	g.Timer(100.1, 1) // the first question was lost: both are in the next
	from, b := verdictOf(t, r, 1, func(v *record) { v.Total, v.Want = 2, 2 })
	other := g.newCustomer(5, g.plans[0])
	busy := func(now float64) { // others are urgent all the time
		for i := range 3 {
			g.box.Put((from+1+i)%100, other)
			g.box.Hurry((from + 1 + i) % 100)
		}
		g.Timer(now, 1)
	}
	busy(100.12)
	g.Peer(100.13, from, b)
	if len(r.of("send", "a")) != 1 || len(c.asks) != 1 {
		t.Fatalf("%d sent, %d ask again", len(r.of("send", "a")), len(c.asks))
	}
	told := len(r.of("tell", ""))
	for now := 100.14; now < 100.4; now += tickS {
		busy(now)
		for _, m := range r.of("tell", "")[told:] {
			if m.to == from {
				return
			}
		}
	}
	t.Error("no question within 0.25 s")
}

// Guards a list without a bound: a member that was granted units ahead again and again before they ran out stood in it once for each grant.
func TestUnitsAheadAreLookedAfterOnce(t *testing.T) {
	g, r, ask := asMember(t, fleet(100))
	g.limit = 9
	for i := range 40 {
		now := 100 + float64(i)*0.3
		ask(now, fmt.Sprint("q", i), 1)
		if len(r.of("tell", "")) > 0 {
			from, b := verdictOf(t, r, uint16(i+1), func(v *record) { v.Lends, v.Want, v.Lease = true, 1, ceiling.AheadS; v.Total += 2 })
			g.Peer(now+0.02, from, b)
		}
		g.Timer(now+0.04, 1)
	}
	if n := len(g.purses); n != 1 {
		t.Errorf("one customer stands %d times in the list of those with units ahead", n)
	}
}
