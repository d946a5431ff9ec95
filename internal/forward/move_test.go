package forward

import (
	"encoding/json"
	"slices"
	"testing"

	"eiderspread/internal/fleet"
	"eiderspread/internal/kept"
	"eiderspread/internal/link"
	"eiderspread/policy"
)

// overLink is what a forwarder knows after its way to another process.
func overLink(t *testing.T, m kept.Moved) kept.Moved {
	t.Helper()
	var parts []kept.Part
	for _, p := range m.Split() {
		b, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var got kept.Part
		if err := json.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, got)
	}
	got, ok := kept.Join(parts)
	if !ok {
		t.Fatal("parts of something else")
	}
	return got
}

// successor is the core of a new process that takes over what r's knows.
func (r *rig) successor() *rig {
	r.t.Helper()
	next := newRig(r.t)
	next.now = r.now
	m := overLink(r.t, r.core.Move(r.now))
	if !next.core.Settle(r.now, m) {
		r.t.Error("promises did not go over")
	}
	return next
}

// Guards fencing across a replacement: a promise goes on, neither longer nor shorter, and the old process gives none.
func TestPromisesGoOver(t *testing.T) {
	if !fleet.Fenced {
		t.Skip("a build without fencing")
	}
	old := newRig(t)
	old.lead(0, 5)
	old.now += 0.2
	next := old.successor()
	old.said = nil
	old.msg(1, link.Msg{Kind: link.Claim, Cell: old.cell(), Epoch: 9, Round: 1})
	old.core.LinkUp(old.now, 1, 8)
	old.core.Tick(old.now + 5)
	old.want()
	claim := func(p int, epoch uint64) {
		next.msg(p, link.Msg{Kind: link.Claim, Cell: next.cell(), Epoch: epoch, Round: 2})
	}
	next.core.LinkUp(next.now, 0, 7)
	next.core.LinkUp(next.now, 1, 8)
	claim(1, 6)
	next.want()
	next.msg(0, link.Msg{Kind: link.Lead, Cell: next.cell(), Epoch: 5}) // without a claim: the promise is known
	if !next.core.cells[next.cell()].led {
		t.Error("the leader that the old process followed is not followed")
	}
	next.now += next.core.cfg.LeaseS - 0.21
	claim(1, 6)
	next.want()
	next.now += 0.02
	claim(1, 6)
	next.want("p1 grant", "p1 end")
}

// Guards requests under way at a replacement, each by its class and by what has become of its attempts.
func TestRequestsGoOver(t *testing.T) {
	old := newRig(t)
	old.lead(0, 5)
	old.ask("out", "look")
	old.sent(0, 5, "z1", 1)
	old.ask("waits", "bill")
	old.ask("key", "hold")
	old.sent(0, 5, "z1", 2)
	old.ended("key", 0, policy.Error) // it ran, and its leader tries again
	old.msg(0, link.Msg{Kind: link.Send, Cell: old.cell(), Epoch: 5, Handle: old.core.handles, Name: "z2", Wait: 1, Round: 3, Value: 2})
	old.now += 3.2
	m := overLink(t, old.core.Move(old.now))
	if len(m.Open) != 3 {
		t.Fatalf("%+v", m)
	}
	const shift = 50.0 // of the clocks
	next := newRig(t)
	next.now = old.now + shift
	m.Shift(shift)
	next.core.Settle(next.now, m)
	next.lead(0, 5)
	next.want("p0 grant", "p0 outs", "p0 request") // what is out is not told anew
	if o := next.core.byID["waits"]; o.DeadlineS != 1001+4+shift {
		t.Errorf("a deadline of %v", o.DeadlineS)
	}
	next.sent(0, 5, "z3", 4)
	next.want("send waits z3")
	next.ended("waits", 0, policy.Reset)
	next.want("p0 outcome")
	next.ended("key", 1, policy.Full)
	next.want("p0 outs", "refuse key") // it ran 3.2 s ago: too late for its key
	next.ended("out", 0, policy.OK)
	next.want("p0 outs")
	if len(next.core.byID) != 1 || len(next.core.orphans) != 0 {
		t.Errorf("%d open, %d orphans", len(next.core.byID), len(next.core.orphans))
	}
}

// Guards tales: a successor's are the old process's, and complete if those were.
func TestTalesGoOver(t *testing.T) {
	old := newRig(t)
	old.now += 10
	old.lead(0, 5)
	old.ask("a", "look")
	old.sent(0, 5, "z1", 1)
	next := old.successor()
	next.now += 0.6
	next.core.LinkUp(next.now, 1, 8)
	next.msg(1, link.Msg{Kind: link.Claim, Cell: next.cell(), Epoch: 6, Round: 1})
	next.want("p1 grant", "p1 tale", "p1 outs", "p1 end")
	if !next.last.Flag {
		t.Error("the tale is not complete")
	}
}

// Guards the way back from a successor that died: what it had sent is known, and its promises are feared.
func TestTakenBack(t *testing.T) {
	old := newRig(t)
	old.now += 10
	old.lead(0, 5)
	old.ask("waits", "bill")
	old.ask("sent", "bill")
	old.ask("done", "look")
	old.core.Move(old.now)
	old.said = nil
	old.core.Request(old.now, policy.Request{ID: "late", Class: "look", Plan: "basic", Customer: who, DeadlineS: old.now + 4, Units: 2})
	old.core.Ordered(old.now, kept.Order{Kind: kept.Send, ID: "sent", Server: "z1"})
	old.core.Ordered(old.now, kept.Order{Kind: kept.Send, ID: "done", Server: "z1"})
	old.ended("done", 0, policy.OK)
	old.want()
	old.core.TakeBack(old.now)
	old.core.LinkUp(old.now, 0, 7)
	old.msg(0, link.Msg{Kind: link.Claim, Cell: old.cell(), Epoch: 5, Round: 9}) // a renewal: another may have a newer promise
	old.want()
	if fleet.Fenced {
		old.now += old.core.cfg.LeaseS + 0.01
		old.msg(0, link.Msg{Kind: link.Claim, Cell: old.cell(), Epoch: 5, Round: 10})
		if old.last.Kind != link.TaleEnd || old.last.Flag {
			t.Errorf("not told as incomplete: %+v", old.last)
		}
		old.said = nil
		old.msg(0, link.Msg{Kind: link.Lead, Cell: old.cell(), Epoch: 5})
		old.want("p0 outs", "p0 request", "p0 request") // late and waits
	}
	old.ended("sent", 0, policy.Timeout)
	if !slices.Contains(old.said, "fail sent") {
		t.Errorf("what may have run: %v", old.said)
	}
}

// Guards a successor of other settings: what it can't go on with ends, the rest goes on.
func TestSettleWithOtherSettings(t *testing.T) {
	old := newRig(t)
	old.lead(0, 5)
	old.ask("a", "bill")
	old.ask("b", "look")
	m := overLink(t, old.core.Move(old.now))
	next := newRig(t)
	delete(next.core.classes, "bill")
	m.Cells = m.Cells[:1]
	if next.core.Settle(next.now, m) {
		t.Error("promises of other cells were taken")
	}
	next.want("fail a")
	if k := next.core.cells[0]; k.holder != -1 || k.until < next.now+next.core.cfg.LeaseS {
		t.Errorf("%+v", k)
	}
}

// Guards the parts against a message's bound, and against each other's order.
func TestPartsFit(t *testing.T) {
	m := kept.Moved{Life: 1 << 63, Handles: 1<<64 - 1, Words: map[string]kept.Word{}}
	for i := range 5000 {
		m.Tales = append(m.Tales, kept.Tale{Customer: who, Plan: 1, Epoch: 1<<63 + uint64(i), Seq: uint32(i), Debt: 1.5, At: 1e9})
		m.Open = append(m.Open, kept.Open{Request: policy.Request{ID: string(make([]byte, 100)), Customer: who}, Sent: []float64{1, 2}, Done: []bool{true, false}})
	}
	for _, p := range m.Split() {
		if b, err := json.Marshal(p); err != nil || len(b) > 128<<10 {
			t.Fatalf("a part of %d bytes, %v", len(b), err)
		}
	}
	got := overLink(t, m)
	if len(got.Tales) != 5000 || got.Tales[4999] != m.Tales[4999] || len(got.Open) != 5000 || got.Life != m.Life || got.Handles != m.Handles {
		t.Error("something is lost")
	}
}

// Guards fencing against a process before whose knowledge can't be read: what it may have promised stands for a lease from then on, not
// from this one's start.
func TestUnreadableParts(t *testing.T) {
	r := newRig(t) // whose own lease is over by now
	remote := &Remote{core: r.core}
	if remote.Settle(r.now, 0, []kept.Part{{}}) == nil {
		t.Error("parts of something else were taken")
	}
	r.core.LinkUp(r.now, 0, 7)
	r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 5, Round: 1})
	r.want()
	r.now += r.core.cfg.LeaseS + 0.01
	r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 5, Round: 2})
	r.want("p0 grant", "p0 end")
}
