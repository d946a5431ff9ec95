package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/slotlease"
)

// A fleet of gateways of which one owns an account and others ask it, played by hand.
type ownerRig struct {
	t        *testing.T
	g        *Gateway
	recorder *recorder
	seq      map[int]uint16
}

func newOwnerRig(t *testing.T, gateways int) *ownerRig {
	g, r := newTestGateway(t, withGateways(gateways))
	return &ownerRig{t, g, r, map[int]uint16{}}
}

// report has a member report and returns what the owner answered it, if it did.
func (b *ownerRig) report(now float64, from int, report record) (reply record, answered bool) {
	b.t.Helper()
	b.seq[from]++
	before := len(b.recorder.of("tell", ""))
	report.AccountKey = 77
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, b.seq[from]), report)
	message[peerprotocol.RecordCountOffset] = 1
	b.g.HandlePeerMessage(now, from, message)
	return b.lastReply(before, from)
}

// lastReply is what was told to a gateway since so many messages.
func (b *ownerRig) lastReply(since, to int) (reply record, any bool) {
	for _, m := range b.recorder.of("tell", "")[since:] {
		if _, _, records, _, ok := peerprotocol.Parse(m.data, b.g.now); ok && m.to == to && len(records) > 0 && records[0].AccountKey == 77 {
			reply, any = records[0], true
		}
	}
	return reply, any
}

// run lets time pass.
func (b *ownerRig) run(from, to float64) {
	for now := from; now < to; now += tickIntervalS {
		b.g.HandleTimer(now, 1)
	}
}

// slotRequest is a question for one unit by a plan with a cap of two.
func slotRequest(total float64) record {
	return record{Plan: 2, Leases: true, Total: total, Requested: 1, FirstRequested: 1, LowPriority: 0.8}
}

// Guards the cap's book: an owner believed in a place for three seconds after its grant, as the word of its
// end was lost or late.
func TestSlotLease_Expires(t *testing.T) {
	b := newOwnerRig(t, 9)
	for m := 1; m <= 2; m++ {
		if reply, _ := b.report(101, m, slotRequest(0)); reply.Requested != 1 || reply.Slots != 1 || reply.LeaseS <= 0 {
			t.Fatalf("member %d got %+v", m, reply)
		}
	}
	reply, _ := b.report(101.01, 3, slotRequest(0))
	if reply.Requested > emptyGrantUnits || reply.Slots != 0 || reply.LeaseS == 0 || reply.BackoffS <= 0 {
		t.Fatalf("a third place of two: %+v", reply)
	}
	before := len(b.recorder.of("tell", ""))
	cls := b.g.classByPriority(0.8)
	span := slotlease.LeaseS(cls.meanLatency, cls.meanDeviation)
	b.run(101.02, 101+span)
	if reply, any := b.lastReply(before, 3); any {
		t.Fatalf("a place was lent twice: %+v", reply)
	}
	b.run(101+span, 101.1+span+slotlease.GraceS)
	if reply, any := b.lastReply(before, 3); !any || reply.Requested != 1 || reply.Slots != 1 {
		t.Fatalf("the next in line was not told when the places' time was over: %+v", reply)
	}
}

// A word of an attempt's end goes to the next in line at once, and is not answered itself.
func TestSlotLease_FreedSlotGoesToWaitQueue(t *testing.T) {
	b := newOwnerRig(t, 9)
	b.report(101, 1, slotRequest(0))
	b.report(101, 2, slotRequest(0))
	b.report(101.01, 3, slotRequest(0))
	b.report(101.01, 4, slotRequest(0))
	before := len(b.recorder.of("tell", ""))
	if reply, answered := b.report(101.2, 1, record{Plan: 2, Leases: true, Total: 1, LeaseS: slotlease.ReportLeaseS}); answered {
		t.Errorf("a word of places was answered: %+v", reply)
	}
	if reply, any := b.lastReply(before, 3); !any || reply.Slots != 1 {
		t.Errorf("the first in line got %+v", reply)
	}
	if reply, any := b.lastReply(before, 4); any {
		t.Errorf("so did the second: %+v", reply)
	}
	b.report(101.21, 4, record{Plan: 2, Leases: true, LeaseS: slotlease.ReportLeaseS}) // it has no use for a place any more
	b.run(101.22, 103)
	if reply, any := b.lastReply(before, 4); any {
		t.Errorf("one that left the line got %+v", reply)
	}
}

// Versions mixed in one fleet: a member that knows no lease is believed as before, and its cap is told as
// before.
func TestSlotLease_MemberWithoutLeaseSupport(t *testing.T) {
	b := newOwnerRig(t, 9)
	old := slotRequest(0)
	old.Leases = false
	b.report(101, 1, old)
	b.report(101, 2, old)
	if reply, _ := b.report(101.01, 3, old); reply.BackoffS != 0 || reply.Leases || reply.LeaseS != 0 || reply.Slots != 0 {
		t.Errorf("it was told %+v", reply)
	}
	b.run(101.02, 103.9)
	if n := b.g.freeSlots(b.g.accountByKey(77)); n != 0 {
		t.Errorf("%d places are free while its attempts may be out", n)
	}
	b.run(103.9, 104.2)
	if n := b.g.freeSlots(b.g.accountByKey(77)); n != 2 {
		t.Errorf("%d places are free three seconds later", n)
	}
}

// An owner that has just started does not know what is out: it lends nothing until what its former life lent
// is over.
func TestSlotLease_NoneAfterRestart(t *testing.T) {
	b := newOwnerRig(t, 9)
	if reply, _ := b.report(100.1, 1, slotRequest(0)); reply.Slots != 0 || reply.Requested > emptyGrantUnits {
		t.Fatalf("%+v", reply)
	}
	before := len(b.recorder.of("tell", ""))
	b.run(100.12, 100.1+slotlease.ReportLeaseS)
	if reply, any := b.lastReply(before, 1); !any || reply.Slots != 1 {
		t.Errorf("and then not either: %+v", reply)
	}
}

// accountOwnedElsewhere is the name of an account that another gateway owns.
func accountOwnedElsewhere(g *Gateway) (name string) {
	for i := 0; ; i++ {
		if name = fmt.Sprint("k", i); g.findOwner(&accountState{point: peerprotocol.HashPoint(name), gatewayCount: g.settings.Gateways}, false) != g.settings.Self {
			return name
		}
	}
}

// newSlotMember is a gateway that has asked the owner of a capped account once.
func newSlotMember(t *testing.T, n int) (*Gateway, *recorder, *accountState, func(now float64, id string)) {
	g, r := newTestGateway(t, withGateways(9))
	g.adaptiveLimit = 9 // nodes have room
	name := accountOwnedElsewhere(g)
	submit := func(now float64, id string) {
		g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "open", Account: name, DeadlineAt: now + 2, GatewayCount: 9, Units: 1})
	}
	g.accountFor(Request{Account: name, Plan: "open", GatewayCount: 9}).availableAt = 90 // an old word
	for i := range n {
		submit(100, fmt.Sprint("q", i))
	}
	return g, r, g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)), submit
}

// What can't get its place in time is told so at once, not when half of its time is over; the others wait for
// a word that comes unasked.
func TestSlotLease_RejectsWhenQueueIsTooLong(t *testing.T) {
	for _, tc := range []struct {
		hold    float64
		refused int
	}{{0.3, 0}, {1.5, 3}} {
		g, r, account, _ := newSlotMember(t, 3)
		from, message := ownerReply(t, r, 1, func(reply *record) {
			reply.Leases, reply.Requested, reply.BackoffS, reply.LeaseS = true, emptyGrantUnits, tc.hold, slotlease.ReportLeaseS
		})
		g.HandlePeerMessage(100.03, from, message)
		if n := len(r.of("refuse", "")); n != tc.refused || len(account.pending) != 3-tc.refused {
			t.Fatalf("a line of %v s: %d refused at once, %d wait", tc.hold, n, len(account.pending))
		}
		before := len(r.of("tell", ""))
		for now := 100.05; now < 100.03+tc.hold && tc.refused == 0; now += tickIntervalS {
			g.HandleTimer(now, 1)
		}
		if n := len(r.of("tell", "")) - before; tc.refused == 0 && n > 0 {
			t.Errorf("%d messages while it stands in line", n)
		}
	}
}

// An attempt that lasts longer than its place is lent for is told of before the place ends, and its end at
// once where others may wait.
func TestSlotLease_MemberRenews(t *testing.T) {
	g, r, account, _ := newSlotMember(t, 1)
	g.settings.HedgingAllowed, g.settings.CancelAllowed = false, false // it is left alone
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS, reply.InFlight = true, 1, 1, 1, 0.3, 1
	})
	g.HandlePeerMessage(100.03, from, message)
	if len(r.of("send", "")) != 1 {
		t.Fatal("not sent with a place")
	}
	before := len(r.of("tell", ""))
	now := 100.05
	for ; now < 101.2; now += tickIntervalS {
		if g.HandleTimer(now, 1); account.leasedSlots.Count(now) < 1 {
			t.Fatalf("the place ended at %.2f, the attempt did not", now)
		}
	}
	if n := len(r.of("tell", "")) - before; n < 2 || n > 4 {
		t.Errorf("%d renewals in 1.2 s", n)
	}
	before = len(r.of("tell", ""))
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.of("send", "")[0].backend, Status: OK, LatencyS: 1.2})
	g.HandleTimer(now+tickIntervalS, 1)
	messages := r.of("tell", "")[before:]
	if len(messages) != 1 {
		t.Fatalf("%d messages on its end", len(messages))
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[0].data, now); records[0].InFlight != 0 || records[0].LeaseS == 0 {
		t.Errorf("told was %+v", records[0])
	}
}

// A member with a free place asks nobody.
func TestSlotLease_FreeSlotIsReused(t *testing.T) {
	g, r, _, submit := newSlotMember(t, 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS = true, 1, 1, 2, 0.5
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.of("tell", ""))
	if submit(100.05, "next"); len(r.of("send", "next")) != 1 || len(r.of("tell", "")) != before {
		t.Error("a question, with a place free")
	}
	if submit(100.06, "third"); len(r.of("send", "third")) != 0 {
		t.Error("a third attempt on two places")
	}
}

// Units that the owner set aside ahead are let in without a question, are no more than they are, and go back
// when their time is over.
func TestPrefetch_AdmitsWithoutRequest(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	account := submit(100, "q", 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.LeaseS = true, 3, 1, hardlimit.PrefetchS
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.of("tell", ""))
	submit(100.1, "a", 1)
	if len(r.of("send", "a")) != 1 || len(r.of("tell", "")) != before {
		t.Fatal("a question, with units ahead")
	}
	if submit(100.2, "b", 2); len(r.of("send", "b")) != 0 {
		t.Fatal("two units let in of one")
	}
	g.HandleDisconnect(100.2, "b")
	for now := 100.22; now < 100.1+hardlimit.PrefetchS+0.5; now += tickIntervalS {
		g.HandleTimer(now, 1)
	}
	messages := r.of("tell", "")
	if len(messages) == before || account.prefetched != 0 {
		t.Fatalf("%v units are kept beyond their time, %d messages", account.prefetched, len(messages)-before)
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[len(messages)-1].data, 102.5); records[0].Total != 2 {
		t.Errorf("told a total of %v, 2 were let in", records[0].Total)
	}
}

// A grant that no ceiling paid leaves nothing to let in unasked under a ceiling.
func TestPrefetch_RequiresHardLimitPayment(t *testing.T) {
	for _, paid := range []bool{false, true} {
		g, r := newTestGateway(t, withGateways(9))
		name := accountOwnedElsewhere(g)
		g.HandleRequest(100, Request{ID: "q", Class: "read", Plan: "capped", Account: name, DeadlineAt: 102, GatewayCount: 9, Units: 4})
		from, message := ownerReply(t, r, 1, func(reply *record) {
			reply.Leases, reply.SharedBucket, reply.Total, reply.Requested, reply.LeaseS = true, paid, 9, 4, hardlimit.PrefetchS
		})
		g.HandlePeerMessage(100.03, from, message)
		if account := g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)); (account.prefetched > 0) != paid {
			t.Errorf("paid %v: %v units ahead", paid, account.prefetched)
		}
	}
}

// Guards a hang: what asks again after a grant for others was noted as not urgent, looked after by nobody,
// and so waited until its time was over at a member that always had something more urgent to say.
func TestQuotaRequest_RetryIsNotStarved(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	submit(100, "a", 2)
	account := submit(100, "b", 2)
	g.HandleTimer(100.1, 1) // the first question was lost: both are in the next
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total, reply.Requested = 2, 2 })
	other := g.newAccount(5, g.plans[0])
	busy := func(now float64) { // others are urgent all the time
		for i := range 3 {
			g.reports.Add((from+1+i)%100, other)
			g.reports.MarkUrgent((from + 1 + i) % 100)
		}
		g.HandleTimer(now, 1)
	}
	busy(100.12)
	g.HandlePeerMessage(100.13, from, message)
	if len(r.of("send", "a")) != 1 || len(account.pending) != 1 {
		t.Fatalf("%d sent, %d ask again", len(r.of("send", "a")), len(account.pending))
	}
	before := len(r.of("tell", ""))
	for now := 100.14; now < 100.4; now += tickIntervalS {
		busy(now)
		for _, m := range r.of("tell", "")[before:] {
			if m.to == from {
				return
			}
		}
	}
	t.Error("no question within 0.25 s")
}

// Guards a list without a bound: a member that was granted units ahead again and again before they ran out
// stood in it once for each grant.
func TestPrefetch_AccountListedOnce(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	for i := range 40 {
		now := 100 + float64(i)*0.3
		submit(now, fmt.Sprint("q", i), 1)
		if len(r.of("tell", "")) > 0 {
			from, message := ownerReply(t, r, uint16(i+1), func(reply *record) {
				reply.Leases, reply.Requested, reply.LeaseS = true, 1, hardlimit.PrefetchS
				reply.Total += 2
			})
			g.HandlePeerMessage(now+0.02, from, message)
		}
		g.HandleTimer(now+0.04, 1)
	}
	if n := len(g.prefetching); n != 1 {
		t.Errorf("one customer stands %d times in the list of those with units ahead", n)
	}
}
