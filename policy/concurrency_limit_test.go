package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/slotlease"
)

// ownerFixture is a gateway that owns an account, with scripted members.
type ownerFixture struct {
	t        *testing.T
	g        *Gateway
	recorder *recorder
	seq      map[int]uint16
}

func newOwnerFixture(t *testing.T, gateways int) *ownerFixture {
	g, r := newTestGateway(t, withGateways(gateways))
	return &ownerFixture{t, g, r, map[int]uint16{}}
}

// report has a member send a report and returns the owner's reply, if there is one.
func (b *ownerFixture) report(now float64, from int, report record) (reply record, answered bool) {
	b.t.Helper()
	b.seq[from]++
	before := len(b.recorder.of("message", ""))
	report.AccountKey = 77
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, b.seq[from]), report)
	message[peerprotocol.RecordCountOffset] = 1
	b.g.HandlePeerMessage(now, from, message)
	return b.lastReply(before, from)
}

// lastReply is the last reply that was sent to a gateway since so many messages.
func (b *ownerFixture) lastReply(since, to int) (reply record, any bool) {
	for _, m := range b.recorder.of("message", "")[since:] {
		if _, _, records, _, ok := peerprotocol.Parse(m.data, b.g.now); ok && m.to == to && len(records) > 0 && records[0].AccountKey == 77 {
			reply, any = records[0], true
		}
	}
	return reply, any
}

// run lets time pass.
func (b *ownerFixture) run(from, to float64) {
	for now := from; now < to; now += tickIntervalS {
		b.g.HandleTimer(now, 1)
	}
}

// slotRequest requests one unit by a plan with a limit of two concurrent attempts.
func slotRequest(total float64) record {
	return record{Plan: 2, Leases: true, Total: total, Requested: 1, FirstRequested: 1, LowPriority: 0.8}
}

// A leased slot comes back when its lease ends, and is leased to the next member that waits.
func TestSlotLease_Expires(t *testing.T) {
	b := newOwnerFixture(t, 9)
	for m := 1; m <= 2; m++ {
		if reply, _ := b.report(101, m, slotRequest(0)); reply.Requested != 1 || reply.Slots != 1 || reply.LeaseS <= 0 {
			t.Fatalf("member %d got %+v", m, reply)
		}
	}
	reply, _ := b.report(101.01, 3, slotRequest(0))
	if reply.Requested > emptyGrantUnits || reply.Slots != 0 || reply.LeaseS == 0 || reply.BackoffS <= 0 {
		t.Fatalf("a third slot of two: %+v", reply)
	}
	before := len(b.recorder.of("message", ""))
	cls := b.g.classByPriority(0.8)
	span := slotlease.LeaseS(cls.meanLatency, cls.meanDeviation)
	b.run(101.02, 101+span)
	if reply, any := b.lastReply(before, 3); any {
		t.Fatalf("a slot was leased twice: %+v", reply)
	}
	b.run(101+span, 101.1+span+slotlease.GraceS)
	if reply, any := b.lastReply(before, 3); !any || reply.Requested != 1 || reply.Slots != 1 {
		t.Fatalf("the next member got no reply when the leases had ended: %+v", reply)
	}
}

// A report of an attempt's end frees its slot for the next member that waits at once, and is not answered
// itself.
func TestSlotLease_FreedSlotGoesToWaitQueue(t *testing.T) {
	b := newOwnerFixture(t, 9)
	b.report(101, 1, slotRequest(0))
	b.report(101, 2, slotRequest(0))
	b.report(101.01, 3, slotRequest(0))
	b.report(101.01, 4, slotRequest(0))
	before := len(b.recorder.of("message", ""))
	if reply, answered := b.report(101.2, 1, record{Plan: 2, Leases: true, Total: 1, LeaseS: slotlease.ReportLeaseS}); answered {
		t.Errorf("a report of slots alone was answered: %+v", reply)
	}
	if reply, any := b.lastReply(before, 3); !any || reply.Slots != 1 {
		t.Errorf("the first that waits got %+v", reply)
	}
	if reply, any := b.lastReply(before, 4); any {
		t.Errorf("so did the second: %+v", reply)
	}
	b.report(101.21, 4, record{Plan: 2, Leases: true, LeaseS: slotlease.ReportLeaseS}) // it needs no slot any more
	b.run(101.22, 103)
	if reply, any := b.lastReply(before, 4); any {
		t.Errorf("one that waits no longer got %+v", reply)
	}
}

// In a fleet of mixed versions the attempts of a member that knows no leases count for three seconds.
func TestSlotLease_MemberWithoutLeaseSupport(t *testing.T) {
	b := newOwnerFixture(t, 9)
	old := slotRequest(0)
	old.Leases = false
	b.report(101, 1, old)
	b.report(101, 2, old)
	if reply, _ := b.report(101.01, 3, old); reply.BackoffS != 0 || reply.Leases || reply.LeaseS != 0 || reply.Slots != 0 {
		t.Errorf("the reply is %+v", reply)
	}
	b.run(101.02, 103.9)
	if n := b.g.freeSlots(b.g.accountByKey(77)); n != 0 {
		t.Errorf("%d slots are free while its attempts may be in flight", n)
	}
	b.run(103.9, 104.2)
	if n := b.g.freeSlots(b.g.accountByKey(77)); n != 2 {
		t.Errorf("%d slots are free three seconds later", n)
	}
}

// An owner that has just started does not know what is in flight: it leases nothing until all leases of its
// predecessor have ended.
func TestSlotLease_NoneAfterRestart(t *testing.T) {
	b := newOwnerFixture(t, 9)
	if reply, _ := b.report(100.1, 1, slotRequest(0)); reply.Slots != 0 || reply.Requested > emptyGrantUnits {
		t.Fatalf("%+v", reply)
	}
	before := len(b.recorder.of("message", ""))
	b.run(100.12, 100.1+slotlease.ReportLeaseS)
	if reply, any := b.lastReply(before, 1); !any || reply.Slots != 1 {
		t.Errorf("nor after that: %+v", reply)
	}
}

// newSlotMember is a gateway that has requested slots for n requests from the owner of an account with a
// concurrency limit.
func newSlotMember(t *testing.T, n int) (*Gateway, *recorder, *accountState, func(now float64, id string)) {
	g, r := newTestGateway(t, withGateways(9))
	g.adaptiveLimit = 9 // backends have capacity
	name := accountOwnedElsewhere(g)
	submit := func(now float64, id string) {
		g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "open", Account: name, DeadlineAt: now + 2, GatewayCount: 9, Units: 1})
	}
	g.accountFor(Request{Account: name, Plan: "open", GatewayCount: 9}).availableAt = 90 // an old reply
	for i := range n {
		submit(100, fmt.Sprint("q", i))
	}
	return g, r, g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)), submit
}

// A request that will get no slot in time is rejected at once. The others wait for a reply without asking
// again.
func TestSlotLease_RejectsWhenQueueIsTooLong(t *testing.T) {
	for _, tc := range []struct {
		hold     float64
		rejected int
	}{{0.3, 0}, {1.5, 3}} {
		g, r, account, _ := newSlotMember(t, 3)
		from, message := ownerReply(t, r, 1, func(reply *record) {
			reply.Leases, reply.Requested, reply.BackoffS, reply.LeaseS = true, emptyGrantUnits, tc.hold, slotlease.ReportLeaseS
		})
		g.HandlePeerMessage(100.03, from, message)
		if n := len(r.of("reject", "")); n != tc.rejected || len(account.pending) != 3-tc.rejected {
			t.Fatalf("a wait of %v s: %d rejected at once, %d wait", tc.hold, n, len(account.pending))
		}
		before := len(r.of("message", ""))
		for now := 100.05; now < 100.03+tc.hold && tc.rejected == 0; now += tickIntervalS {
			g.HandleTimer(now, 1)
		}
		if n := len(r.of("message", "")) - before; tc.rejected == 0 && n > 0 {
			t.Errorf("%d messages while it waits for a slot", n)
		}
	}
}

// An attempt that outlasts its lease is reported before that ends; its end is reported at once while others
// may wait.
func TestSlotLease_MemberRenews(t *testing.T) {
	g, r, account, _ := newSlotMember(t, 1)
	g.settings.HedgingAllowed, g.settings.CancelAllowed = false, false // nothing is hedged or cancelled
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS, reply.InFlight = true, 1, 1, 1, 0.3, 1
	})
	g.HandlePeerMessage(100.03, from, message)
	if len(r.of("send", "")) != 1 {
		t.Fatal("not sent with a slot")
	}
	before := len(r.of("message", ""))
	now := 100.05
	for ; now < 101.2; now += tickIntervalS {
		if g.HandleTimer(now, 1); account.leasedSlots.Count(now) < 1 {
			t.Fatalf("the lease ended at %.2f, the attempt did not", now)
		}
	}
	if n := len(r.of("message", "")) - before; n < 2 || n > 4 {
		t.Errorf("%d renewals in 1.2 s", n)
	}
	before = len(r.of("message", ""))
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.of("send", "")[0].backend, Status: OK, LatencyS: 1.2})
	g.HandleTimer(now+tickIntervalS, 1)
	messages := r.of("message", "")[before:]
	if len(messages) != 1 {
		t.Fatalf("%d messages on its end", len(messages))
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[0].data, now); records[0].InFlight != 0 || records[0].LeaseS == 0 {
		t.Errorf("the report is %+v", records[0])
	}
}

// A member with a free slot sends no request.
func TestSlotLease_FreeSlotIsReused(t *testing.T) {
	g, r, _, submit := newSlotMember(t, 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS = true, 1, 1, 2, 0.5
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.of("message", ""))
	if submit(100.05, "next"); len(r.of("send", "next")) != 1 || len(r.of("message", "")) != before {
		t.Error("a quota request, with a free slot")
	}
	if submit(100.06, "third"); len(r.of("send", "third")) != 0 {
		t.Error("a third attempt with two slots")
	}
}

func TestConcurrencyLimit_Enforced(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 3 {
		submit(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if n := len(r.of("send", "")); n != 2 {
		t.Fatalf("%d attempts in flight, want 2", n)
	}
	if len(r.of("reject", "")) != 0 {
		t.Fatal("rejected, though an attempt ends in time")
	}
	g.HandleOutcome(100.1, Outcome{ID: "q0", Backend: "s1", Status: OK, Completed: true, LatencyS: 0.1})
	if len(r.of("send", "q2")) != 1 {
		t.Fatal("the end of an attempt freed no slot")
	}
	for i := range 40 {
		submit(g, 100.1, fmt.Sprint("r", i), "read", "open", 1)
	}
	if waiting := 40 - len(r.of("reject", "")); waiting == 0 || waiting > 18 || len(r.of("send", "")) != 3 {
		t.Fatalf("%d of 40 wait for two attempts of 0.15 s with an objective of 1 s, %d sent", waiting, len(r.of("send", "")))
	}
}

// A member whose owner is at the concurrency limit requests again for as many requests as may be in flight,
// and rejects the others at once: attempts end one after the other.
func TestConcurrencyLimit_MembersRetryAtLimit(t *testing.T) {
	g, r := newTestGateway(t, nil)
	name := ""
	for i := 0; ; i++ {
		if name = fmt.Sprint("k", i); g.findOwner(&accountState{point: peerprotocol.HashPoint(name), gatewayCount: 2}, false) != g.settings.Self {
			break
		}
	}
	for i := range 4 {
		g.HandleRequest(100, Request{ID: fmt.Sprint("q", i), Class: "read", Plan: "open", Account: name, DeadlineAt: 102, GatewayCount: 2, Units: 1})
	}
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Requested, reply.InFlight = 0.25, 2 })
	g.HandlePeerMessage(100.02, from, message)                      // reported was the first alone: it is requested again, and so may be one of the others
	if len(r.of("reject", "")) != 0 || len(r.of("send", "")) != 1 { // the first of a new account is admitted
		t.Fatalf("%d of 4 rejected, %d sent", len(r.of("reject", "")), len(r.of("send", "")))
	}
	before := len(r.of("message", ""))
	now := 100.04
	for ; len(r.of("message", "")) == before; now += 0.02 {
		if g.HandleTimer(now, 1); now > 101 {
			t.Fatal("sends no further request")
		}
	}
	from, message = ownerReply(t, r, 2, func(reply *record) { reply.Total++; reply.Requested, reply.InFlight = 1, 1 })
	g.HandlePeerMessage(now, from, message)
	if len(r.of("send", "")) != 2 {
		t.Fatalf("%d sent after a grant", len(r.of("send", "")))
	}
	if account := g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)); len(account.pending) > 2 {
		t.Fatalf("%d are requested again, the limit is 2", len(account.pending))
	}
}

// Requests that were admitted while nothing was in flight and then waited for a backend are sent no more at a
// time than the limit allows.
func TestConcurrencyLimit_AppliesToQueue(t *testing.T) {
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, nil, true)
	for i := range 5 {
		submit(g, 100, fmt.Sprint("r", i), "pay", "open", 1)
	}
	if n := len(r.of("send", "")); n != 0 {
		t.Fatalf("%d sent without a backend", n)
	}
	g.UpdateBackends(100.1, []Backend{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a"}}, true)
	if n := len(r.of("send", "")); n != 2 {
		t.Fatalf("%d sent at once, the limit is 2", n)
	}
	g.HandleOutcome(100.2, Outcome{ID: r.of("send", "")[0].id, Backend: r.of("send", "")[0].backend, Status: OK, LatencyS: 0.1})
	if n := len(r.of("send", "")); n != 3 {
		t.Errorf("%d sent after one was served, want 3", n)
	}
}
