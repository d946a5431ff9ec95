package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/ceiling"
	"eiderspread/internal/kept"
	"eiderspread/internal/peermsg"
	"eiderspread/internal/why"
)

// Guards r640a3f and the first seconds of wide days: with the whole quota free a request was refused because the parts of the ceiling had just
// begun to fill. What fits quota and ceiling in time waits for the ceiling; what can't be paid while it can still be sent is told so at once.
func TestCeilingIsWaitedForWhileThatHelps(t *testing.T) {
	g, r := gateway(t, alone) // its part and the shared one fill with 20 units a second in all, from nothing
	for i := range 40 {
		ask(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	refused := len(r.of("refuse", ""))
	if len(r.of("send", "")) != 0 {
		t.Fatal("units passed with an empty ceiling")
	}
	// Until a request must be sent (0.9 s: half of its time, and its aim less what it needs) 17 units come in.
	if waits := 40 - refused; waits < 15 || waits > 18 {
		t.Fatalf("%d of 40 wait, %d refused at once", waits, refused)
	}
	for now := 100.0; now < 101; now += 0.02 {
		g.Timer(now, 1)
		if sent, most := len(r.of("send", "")), 20*(now-100)+1e-6; float64(sent) > most {
			t.Fatalf("%d units by %.2f, the ceiling gave %.2f", sent, now-100, most)
		}
		for _, a := range r.of("send", "") {
			g.Outcome(now, Outcome{ID: a.id, Server: a.server, Status: OK, Over: true, SpentS: 0.02})
		}
	}
	if sent, late := len(r.of("send", "")), len(r.of("refuse", ""))-refused; sent != 40-refused || late != 0 {
		t.Errorf("%d of %d that waited were sent, %d refused after all", sent, 40-refused, late)
	}
	if c := g.account(uint32(peermsg.Point("c-capped") >> 32)); c.ceil.Owed != 0 {
		t.Errorf("%v units owed when all are sent", c.ceil.Owed)
	}
}

// What owes the ceiling and is refused or given up owes nothing any more.
func TestWhatEndsOwesNothing(t *testing.T) {
	g, r := gateway(t, alone)
	for i := range 10 {
		ask(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	c := g.account(uint32(peermsg.Point("c-capped") >> 32))
	if c.ceil.Owed != 10 {
		t.Fatalf("%v units owed, want 10", c.ceil.Owed)
	}
	g.Gone(100.01, "q3")
	if c.ceil.Owed != 9 {
		t.Fatalf("%v units owed after one hung up", c.ceil.Owed)
	}
	// A gateway that hands its counts on can pay for nothing more: what waits for that is told at once.
	if parts := g.Keep(100.02); len(parts) == 0 || len(r.of("refuse", "")) != 9 || c.ceil.Owed != 0 {
		t.Errorf("%d refused at a hand-over, %v units owed", len(r.of("refuse", "")), c.ceil.Owed)
	}
	if c.ceil.Own.Level != kept.None {
		t.Error("the ceiling was kept")
	}
}

// capped is a report of gateway 1 to gateway 0 as first on the ring of a customer of the plan with a ceiling, and its answer.
func capped(t *testing.T, g *Gateway, r *recorder, now float64, seq uint16, want, first float64) record {
	t.Helper()
	key := uint32(0)
	for i := 0; key == 0; i++ {
		name := fmt.Sprint("k", i)
		if g.walk(&customer{hash: peermsg.Point(name), entries: g.s.Gateways}, false) == g.s.Me {
			key = uint32(peermsg.Point(name) >> 32)
		}
	}
	b := peermsg.AppendRecord(peermsg.AppendHeader(nil, 1, seq), record{Key: key, Plan: 1, Flag: true, Want: want, First: first})
	b[peermsg.CountAt] = 1
	g.Peer(now, 1, b)
	tells := r.of("tell", "")
	_, _, recs, _, ok := peermsg.Parse(tells[len(tells)-1].data, now)
	if !ok || len(recs) != 1 {
		t.Fatal("no answer")
	}
	return recs[0]
}

// Guards grants that the shared part of the ceiling paid whole or not at all: a batch of ten requests was refused for the last of them.
func TestSharedPartPaysAsFarAsItReaches(t *testing.T) {
	g, r := gateway(t, nil)
	a := capped(t, g, r, 100.31, 1, 12, 2) // 10 a second since 100: 3.1 units, told in quarters
	if !a.Flag || a.Total != 3 || a.Want != 3 {
		t.Fatalf("granted %v of 12 with 3 in the shared part, paid %v: %+v", a.Want, a.Flag, a)
	}
	if a = capped(t, g, r, 100.31, 2, 12, 2); a.Flag || a.Want != 12 {
		t.Fatalf("with an empty shared part the member's own part may pay: %+v", a)
	}
}

// Guards the rest of a batch of which a part was granted, or more than a report can word: it asks again and is not refused for it.
func TestRestOfAGrantAsksAgain(t *testing.T) {
	g, r, ask := asMember(t, fleet(100))
	for i := range 3 {
		ask(100, fmt.Sprint("q", i), 2)
	}
	from, b := verdictOf(t, r, 1, func(v *record) { v.Total += 2; v.Room, v.Want = 4, 2 }) // told of the first alone
	g.Peer(100.03, from, b)
	if len(r.of("send", "")) != 1 || len(r.of("refuse", "")) != 0 {
		t.Fatalf("%d sent, %d refused", len(r.of("send", "")), len(r.of("refuse", "")))
	}
	now := 100.04
	g.Outcome(now, Outcome{ID: "q0", Server: r.of("send", "")[0].server, Status: OK, Over: true, SpentS: 0.01}) // one of a hundred has few out
	asksAgain := func() {
		t.Helper()
		told := len(r.of("tell", ""))
		for ; len(r.of("tell", "")) == told; now += 0.02 {
			if g.Timer(now, 1); now > 101 {
				t.Fatal("does not ask again")
			}
		}
	}
	asksAgain()
	from, b = verdictOf(t, r, 2, func(v *record) { v.Total += 2; v.Room, v.Want = 2, 2 }) // of both that were left
	g.Peer(now, from, b)
	if len(r.of("send", "")) != 2 || len(r.of("refuse", "")) != 0 {
		t.Fatalf("%d sent, %d refused after a grant that reached one of two", len(r.of("send", "")), len(r.of("refuse", "")))
	}
	asksAgain()
	from, b = verdictOf(t, r, 3, func(v *record) { v.Room, v.Want = 0, wantNone })
	g.Peer(now, from, b)
	if len(r.of("send", "")) != 2 || len(r.of("refuse", "")) != 1 {
		t.Fatalf("%d sent, %d refused after a no", len(r.of("send", "")), len(r.of("refuse", "")))
	}
}

// Each decision that ends or lets in a request names one reason, and nothing is told where nobody asks.
func TestDecisionsNameTheirReason(t *testing.T) {
	g, r := gateway(t, alone)
	var list []why.Decision
	ask(g, 100, "untold", "pay", "basic", 1)
	g.Trace(func(d why.Decision) { list = append(list, d) })
	for i := range 12 {
		ask(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	g.Request(101, Request{ID: "late", Class: "read", Plan: "wide", Customer: "w", DeadlineS: 101.01, Entries: 1, Units: 1})
	reasons := map[why.Step]map[why.Reason]int{}
	for _, d := range list {
		if reasons[d.Step] == nil {
			reasons[d.Step] = map[why.Reason]int{}
		}
		reasons[d.Step][d.Why]++
	}
	if reasons[why.Came][why.OwnCount] != 7+1 || reasons[why.Refuse][why.OwnRoom] != 5 || reasons[why.Refuse][why.AimGone] != 1 {
		t.Errorf("%v", reasons)
	}
	if refused := len(r.of("refuse", "")); refused != 6 {
		t.Errorf("%d refused", refused)
	}
	for _, d := range list {
		if d.ID == "untold" {
			t.Error("told before it was asked for")
		}
	}
}

// With eighty gateways half of a ceiling lay in parts under one request each, that nothing could ever be paid from, and the other half was less
// than the quota: the owner granted, and nobody paid. The whole of it is one gateway's then, and still no more than the whole.
func TestCeilingOfManyGatewaysIsPaidWhole(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		pool     float64
	}{{2, ceiling.Share}, {12, ceiling.Share}, {80, 1}, {400, 1}} {
		g, _ := gateway(t, func(s *Settings) {
			s.Gateways, s.Peers, s.MaxUnits = tc.gateways, true, 3
			s.Plans = []Plan{{Name: "wide", Rate: 40, Burst: 76, Price: 1, CeilingRate: 68, CeilingBurst: 100}}
		})
		c := g.customer(Request{Customer: "a", Plan: "wide", Entries: tc.gateways})
		c.prime = g.s.Me
		g.clock(g.now + 1000)
		c.ceil.Soon(g.ceiling(c), g.now, 0, 0)
		if got := g.ceiling(c).Shared(); got != tc.pool || c.ceil.Pool.Level != 100*tc.pool || c.ceil.Own.Level*float64(tc.gateways) > 100*(1-tc.pool)+1e-9 {
			t.Errorf("%d gateways: %v is paid from one place, %v there, %v here", tc.gateways, got, c.ceil.Pool.Level, c.ceil.Own.Level)
		}
	}
}
