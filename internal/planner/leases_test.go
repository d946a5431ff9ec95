package planner

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
	"eiderspread/internal/peermsg"
	"eiderspread/policy"
)

func params(t *testing.T, forwarders, planners int) fleet.Params {
	p := fleet.Params{Name: "t", Forwarders: forwarders, Planners: planners, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards the majority's arithmetic: how long a lead lasts by what was granted when.
func TestLeadEndsWithItsMajority(t *testing.T) {
	if !fleet.Fenced {
		t.Skip("a build without fencing")
	}
	var sent []link.Msg
	var had []string
	l := newLeases(params(t, 5, 3), 0, 1)
	l.send = func(_ int, m ...link.Msg) { sent = append(sent, m...) }
	l.begins = func(int, uint64) {}
	l.gained = func(_ float64, c int, e uint64) { had = append(had, fmt.Sprint("gained ", c, " ", e)) }
	l.lost = func(c int) { had = append(had, fmt.Sprint("lost ", c)) }
	for f := range 5 {
		l.linkUp(10, f)
		for c := range 2 {
			l.view(10, f, &link.Msg{Cell: uint16(c), Epoch: uint64(f) * epochStep})
		}
	}
	l.tick(10) // cell 0 is this planner's first, cell 1 the next one's
	k := &l.cells[0]
	e := k.epoch
	if e/epochStep != 5 || e%64 != 0 || k.leads || l.cells[1].epoch != 0 {
		t.Fatalf("claims %+v", l.cells)
	}
	grant := func(now float64, f int, epoch uint64, round uint32) {
		l.grant(now, f, &link.Msg{Epoch: epoch, Round: round})
	}
	grant(10.01, 0, e, 1)
	grant(10.01, 0, e, 1)
	grant(10.01, 1, e, 1)
	grant(10.01, 2, 4, 1)  // of another claim
	grant(10.01, 2, e, 99) // of a round that was not sent
	if l.leads(10.01, 0, e) {
		t.Fatal("two of five are a majority")
	}
	grant(10.02, 4, e, 1)
	if strings.Join(had, ",") != fmt.Sprint("gained 0 ", e) || !l.leads(10.02, 0, e) || l.leads(10.02, 0, 4) {
		t.Fatalf("%v", had)
	}
	lease := l.p.LeaseS * fleet.LeadShare
	if math.Abs(k.endsAt-(10+lease)) > 1e-9 {
		t.Errorf("ends at %v", k.endsAt)
	}
	l.tick(10.06) // a second claim, which two grant: the lead rests on the first still
	round := k.round
	grant(10.07, 0, e, round)
	grant(10.07, 1, e, round)
	if math.Abs(k.endsAt-(10+lease)) > 1e-9 {
		t.Errorf("ends at %v after two renewals", k.endsAt)
	}
	grant(10.07, 2, e, round)
	if math.Abs(k.endsAt-(10.06+lease)) > 1e-9 || !l.leads(10.06+lease-0.001, 0, e) || l.leads(10.06+lease, 0, e) {
		t.Errorf("ends at %v after three renewals", k.endsAt)
	}
	sent = nil
	l.expire(10.06 + lease)
	if len(sent) != 5 || sent[0].Kind != link.Release || sent[0].Epoch != e { // else they go on telling it requests
		t.Errorf("forwarders are not told that the lead ran out: %v", sent)
	}
	grant(10.06+lease, 3, e, round)
	if had[len(had)-1] != "lost 0" || l.leads(10.06+lease, 0, e) {
		t.Errorf("a lead that ran out goes on: %v", had)
	}
}

// Guards against two lives of a planner that claim by the same epoch: a forwarder that had promised it to the earlier one
// followed nobody ever after (schedule 20 of keys).
func TestLivesClaimByDifferentEpochs(t *testing.T) {
	seen := map[uint64]bool{}
	for life := range uint64(20) {
		l := newLeases(params(t, 3, 3), 0, life)
		l.send, l.begins = func(int, ...link.Msg) {}, func(int, uint64) {}
		for f := range 3 {
			l.linkUp(10, f)
			l.view(10, f, &link.Msg{Cell: 0, Epoch: 7 * epochStep})
		}
		l.tick(10)
		if e := l.cells[0].epoch; seen[e] || e/epochStep != 8 {
			t.Errorf("life %d claims by %d", life, e)
		}
		seen[l.cells[0].epoch] = true
	}
}

// Guards a planner that leaves, and one that was given its place back.
func TestGivingUp(t *testing.T) {
	var sent []link.Msg
	l := newLeases(params(t, 3, 3), 1, 1) // second in the order of cell 0
	l.send = func(_ int, m ...link.Msg) { sent = append(sent, m...) }
	l.begins, l.gained, l.lost = func(int, uint64) {}, func(float64, int, uint64) {}, func(int) {}
	for f := range 3 {
		l.linkUp(10, f)
		l.view(10, f, &link.Msg{Cell: 0})
	}
	l.tick(10)
	if l.cells[0].epoch != 0 {
		t.Error("the second in the order does not wait")
	}
	l.tick(10 + 2*fleet.StaggerS)
	e := l.cells[0].epoch
	if e/epochStep != 1 || e%64 != 1 {
		t.Fatal("the second in the order does not claim")
	}
	for f := range 3 {
		l.grant(10.1, f, &link.Msg{Epoch: e, Round: 1})
	}
	releases := func() (n int) {
		for _, m := range sent {
			if m.Kind == link.Release && m.Epoch == e {
				n++
			}
		}
		return n
	}
	now := 10.1
	for ; now < 10.1+handbackS+0.5; now += 0.05 {
		l.tick(now)
		for f := range 3 {
			l.grant(now, f, &link.Msg{Epoch: e, Round: l.cells[0].round})
			l.view(now, f, &link.Msg{Cell: 0, Epoch: e, N: 2, Wait: 0.4, Want: 3}) // planner 2 comes behind
		}
	}
	if !l.cells[0].leads || releases() != 0 {
		t.Fatal("a cell is given to a planner that comes behind")
	}
	for f := range 2 {
		l.view(now, f, &link.Msg{Cell: 0, Epoch: e, N: 2, Wait: 0.4, Want: 1})
	}
	l.tick(now)
	if l.cells[0].epoch != 0 || releases() != 3 {
		t.Errorf("the cell is not given back: %d releases", releases())
	}
	// A forwarder that was left with another's failed claim follows nobody with a lower epoch.
	k := &l.cells[0]
	k.next = 0
	for f := range 3 {
		l.view(now, f, &link.Msg{Cell: 0, Epoch: e})
	}
	l.tick(now)
	l.tick(now + 2*fleet.StaggerS)
	again := l.cells[0].epoch
	if again/epochStep != 2 || again%64 != 1 {
		t.Fatalf("claims %d after %d", again, e)
	}
	for f := range 2 {
		l.grant(now+0.1, f, &link.Msg{Epoch: again, Round: 1})
	}
	if !l.leads(now+0.1, 0, again) {
		t.Fatalf("leads no more: %+v", k)
	}
	l.view(now+0.2, 2, &link.Msg{Cell: 0, Epoch: again + 1, N: 3})
	if !k.leads {
		t.Error("given up at once")
	}
	l.grant(now+0.2, 0, &link.Msg{Epoch: again, Round: 1})
	k.endsAt = now + 9
	l.view(now+0.6, 2, &link.Msg{Cell: 0, Epoch: again + 1, N: 3})
	if k.leads {
		t.Error("a forwarder is left without a leader")
	}
	l.leave(now)
	for f := range 3 {
		l.view(now, f, &link.Msg{Cell: 0})
	}
	l.tick(now + 5)
	if l.cells[0].epoch != 0 {
		t.Error("a planner that left claims")
	}
}

// Guards what a successor takes for used: nothing more than is left for certain, and all that is once that is known.
func TestWindowsOfASuccessor(t *testing.T) {
	plans := []policy.Plan{{Name: "p", Rate: 10, Burst: 100}, {Name: "open", Parallel: 2}}
	tale := func(w *windows, f int, seq uint32, debt, age float64, outs int) {
		w.tale(100, f, &link.Msg{Name: "c", Handle: 4, Round: seq, Value: debt, Wait: age})
		w.setOuts(100, f, "c", 0, outs)
	}
	total := func(list []count) (sum float64) {
		for _, c := range list {
			sum = c.total
		}
		return sum
	}
	t.Run("none has told", func(t *testing.T) {
		w := newWindows(2, plans, 10)
		w.lead(100)
		list := w.first(100, "c", 0)
		if len(list) != 2 || list[0].fresh != firstMost || list[0].total != firstMost || list[1].fresh != 0 || total(list) != 100 {
			t.Errorf("%+v", list)
		}
		if again := w.first(100, "c", 0); again != nil {
			t.Errorf("told twice: %+v", again)
		}
		if got := total(w.first(104, "d", 0)); got != 60 {
			t.Errorf("4 s later %v are taken for used", got)
		}
	})
	t.Run("all told before", func(t *testing.T) {
		w := newWindows(2, plans, 10)
		tale(w, 0, 7, 80, 1, 0)
		tale(w, 1, 9, 50, 2, 3) // the later pass holds, though it is the older news
		w.end(100, 0, true)
		w.end(100, 1, true)
		w.lead(100)
		list := w.first(100, "c", 0)
		if total(list) != 30 || list[0].outs != 3 {
			t.Errorf("%+v", list)
		}
		if list := w.first(100, "new", 0); list != nil {
			t.Errorf("one that nobody knows: %+v", list)
		}
		if list := w.setOuts(100, 1, "c", 0, 2); len(list) != 1 || list[0].outs != 2 || list[0].total != 30 || list[0].fresh != 0 {
			t.Errorf("settled: %+v", list)
		}
	})
	t.Run("told late", func(t *testing.T) {
		w := newWindows(2, plans, 10)
		w.lead(100)
		w.first(101, "c", 0) // 90 used
		w.pass(101, "c", 10)
		tale(w, 0, 7, 20, 0, 0)
		if back := w.end(102, 0, true); back != nil {
			t.Errorf("one forwarder is missing: %+v", back)
		}
		back := w.end(102, 1, true)
		// The debt of 20 at 100 is gone by 102; 20 are free by the lead's start alone, so 80 come back.
		if len(back) != 1 || back[0].total != 10 {
			t.Fatalf("%+v", back)
		}
		if seq, debt := w.pass(102, "c", 0); seq != 2 || debt != 10 {
			t.Errorf("after the settlement a debt of %v, pass %d", debt, seq)
		}
		if back := w.end(103, 1, true); back != nil {
			t.Errorf("settled twice: %+v", back)
		}
	})
	t.Run("one can't tell all", func(t *testing.T) {
		w := newWindows(2, plans, 10)
		w.lead(100)
		w.end(100, 0, true)
		w.end(100, 1, false)
		if got := total(w.first(100, "c", 0)); got != 100 {
			t.Errorf("%v are taken for used", got)
		}
	})
	t.Run("a plan without a rate", func(t *testing.T) {
		w := newWindows(1, plans, 10)
		w.setOuts(100, 0, "c", 1, 2)
		w.tale(100, 0, &link.Msg{Name: "c", Plan: 9})
		w.lead(100)
		if list := w.first(100, "c", 1); len(list) != 1 || list[0].outs != 2 || list[0].total != 0 {
			t.Errorf("%+v", list)
		}
		if seq, _ := w.pass(100, "c", 5); seq != 0 {
			t.Error("a window is kept where there is none")
		}
	})
	t.Run("forgotten when full", func(t *testing.T) {
		w := newWindows(1, plans, 10)
		w.lead(100)
		w.end(100, 0, true)
		w.first(100, "c", 0)
		w.pass(100, "c", 10)
		w.first(110.5, "d", 0)
		w.first(125, "e", 0)
		if w.by["c"] != nil || w.by["e"] == nil {
			t.Errorf("%d windows are kept", len(w.by))
		}
	})
}

// Guards the module's side of it: what is handed over as used is not free, what is handed back is.
func TestCountsReachTheModule(t *testing.T) {
	plan := policy.Plan{Name: "p", Rate: 1e-6, Burst: 100, Price: 1}
	out := &sends{}
	g, err := policy.New(policy.Settings{Me: 0, Gateways: 2, Plans: []policy.Plan{plan}, MaxAttempts: 1, MaxUnits: 6,
		Classes: []policy.Class{{Name: "look", AimS: 1, DeadlineS: 2, Worth: 1}}}, 1, 10, out)
	if err != nil {
		t.Fatal(err)
	}
	g.Servers(10, []policy.Server{{ID: "z"}}, true)
	g.Peer(10, 1, peermsg.Count(1, 1, "c", 0, 63, 63, 0))
	g.Peer(10, 1, peermsg.Count(1, 2, "c", 0, 90, 0, 0))
	n := 0
	pass := func() int {
		out.sent = 0
		for range 30 {
			n++
			id := fmt.Sprint(n)
			g.Request(10, policy.Request{ID: id, Class: "look", Plan: "p", Customer: "c", DeadlineS: 12, Entries: 1, Units: 1})
			g.Outcome(10, policy.Outcome{ID: id, Server: "z", Status: policy.OK, Over: true, SpentS: 0.01})
		}
		return out.sent
	}
	if got := pass(); got != 10 {
		t.Errorf("%d of 10 units that were left are passed", got)
	}
	g.Peer(10, 1, peermsg.Count(1, 3, "c", 0, 85, 0, 0))
	if got := pass(); got != 5 {
		t.Errorf("%d of 5 units that were handed back are passed", got)
	}
}

type sends struct{ sent int }

func (s *sends) Send(string, string, float64) { s.sent++ }
func (s *sends) Refuse(string, float64)       {}
func (s *sends) Fail(string)                  {}
func (s *sends) Cancel(string, int)           {}
func (s *sends) SetTimer(uint64, float64)     {}
func (s *sends) Probe(string)                 {}
func (s *sends) Tell(int, []byte)             {}
func (s *sends) Log(string)                   {}
