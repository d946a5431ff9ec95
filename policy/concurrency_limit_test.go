package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/slotlease"
)

// ownerFixture is a gateway that owns the account 77. Tests send it the reports of its members.
type ownerFixture struct {
	t         *testing.T
	g         *Gateway
	recorder  *recorder
	sequences map[int]uint16
}

func newOwnerFixture(t *testing.T, gateways int) *ownerFixture {
	g, r := newTestGateway(t, withGateways(gateways))
	return &ownerFixture{t, g, r, map[int]uint16{}}
}

// report delivers a member's report, and returns the owner's reply; answered tells whether there was one.
func (f *ownerFixture) report(now float64, from int, report record) (reply record, answered bool) {
	f.t.Helper()
	f.sequences[from]++
	before := len(f.recorder.actionsOf("message", ""))
	report.AccountKey = 77
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, f.sequences[from]), report)
	message[peerprotocol.RecordCountOffset] = 1
	f.g.HandlePeerMessage(now, from, message)
	return f.lastReply(before, from)
}

// lastReply returns the last reply to a gateway, without the first since messages; found tells whether there was
// one.
func (f *ownerFixture) lastReply(since, to int) (reply record, found bool) {
	for _, m := range f.recorder.actionsOf("message", "")[since:] {
		if _, _, records, _, ok := peerprotocol.Parse(m.data, f.g.now); ok && m.to == to && len(records) > 0 && records[0].AccountKey == 77 {
			reply, found = records[0], true
		}
	}
	return reply, found
}

// run fires the gateway's timer at each tick between two times.
func (f *ownerFixture) run(from, to float64) {
	for now := from; now < to; now += tickIntervalS {
		f.g.HandleTimer(now, 1)
	}
}

// slotRequest returns a report that requests one unit under a plan with a limit of two concurrent attempts.
func slotRequest(total float64) record {
	return record{Plan: 2, Leases: true, Total: total, Requested: 1, FirstRequested: 1, LowPriority: 0.8}
}

// Guards against slots that are lost with a silent member: a leased slot becomes free when its lease expires, and
// goes to the next member in the wait queue, no earlier.
func TestSlotLease_Expires(t *testing.T) {
	f := newOwnerFixture(t, 9)
	for m := 1; m <= 2; m++ {
		if reply, _ := f.report(101, m, slotRequest(0)); reply.Requested != 1 || reply.Slots != 1 || reply.LeaseS <= 0 {
			t.Fatalf("reply to member %d = %+v, want 1 unit, 1 slot and a lease time", m, reply)
		}
	}
	reply, _ := f.report(101.01, 3, slotRequest(0))
	if reply.Requested > emptyGrantUnits || reply.Slots != 0 || reply.LeaseS == 0 || reply.BackoffS <= 0 {
		t.Fatalf("reply to a third member with both slots leased = %+v, want no slot and a place in the wait queue", reply)
	}
	before := len(f.recorder.actionsOf("message", ""))
	class := f.g.classByPriority(0.8)
	leaseS := slotlease.LeaseS(class.meanLatency, class.meanDeviation)
	f.run(101.02, 101+leaseS)
	if reply, found := f.lastReply(before, 3); found {
		t.Fatalf("reply before the leases expired = %+v, want none", reply)
	}
	f.run(101+leaseS, 101.1+leaseS+slotlease.GraceS)
	if reply, found := f.lastReply(before, 3); !found || reply.Requested != 1 || reply.Slots != 1 {
		t.Fatalf("reply to the waiting member after the leases expired = %+v, want 1 unit and 1 slot", reply)
	}
}

// A report of an attempt's end must free the slot at once for the next member in the wait queue, and gets no reply
// itself.
func TestSlotLease_FreedSlotGoesToWaitQueue(t *testing.T) {
	f := newOwnerFixture(t, 9)
	f.report(101, 1, slotRequest(0))
	f.report(101, 2, slotRequest(0))
	f.report(101.01, 3, slotRequest(0))
	f.report(101.01, 4, slotRequest(0))
	before := len(f.recorder.actionsOf("message", ""))
	if reply, answered := f.report(101.2, 1, record{Plan: 2, Leases: true, Total: 1, LeaseS: slotlease.ReportLeaseS}); answered {
		t.Errorf("reply to a report of slots alone = %+v, want none", reply)
	}
	if reply, found := f.lastReply(before, 3); !found || reply.Slots != 1 {
		t.Errorf("reply to the first waiting member = %+v, want 1 slot", reply)
	}
	if reply, found := f.lastReply(before, 4); found {
		t.Errorf("reply to the second waiting member without a free slot = %+v, want none", reply)
	}
	f.report(101.21, 4, record{Plan: 2, Leases: true, LeaseS: slotlease.ReportLeaseS}) // it no longer waits for a slot
	f.run(101.22, 103)
	if reply, found := f.lastReply(before, 4); found {
		t.Errorf("reply to a member that no longer waits = %+v, want none", reply)
	}
}

// In a fleet of mixed versions, the owner must count the attempts of a member without lease support for three
// seconds (unleasedSlotTTLS), and send it no lease fields.
func TestSlotLease_MemberWithoutLeaseSupport(t *testing.T) {
	f := newOwnerFixture(t, 9)
	request := slotRequest(0)
	request.Leases = false
	f.report(101, 1, request)
	f.report(101, 2, request)
	if reply, _ := f.report(101.01, 3, request); reply.BackoffS != 0 || reply.Leases || reply.LeaseS != 0 || reply.Slots != 0 {
		t.Errorf("reply at the limit = %+v, want no backoff, slots or lease", reply)
	}
	f.run(101.02, 103.9)
	if n := f.g.freeSlots(f.g.accountByKey(77)); n != 0 {
		t.Errorf("%d slots are free while the attempts may be in flight, want 0", n)
	}
	f.run(103.9, 104.2)
	if n := f.g.freeSlots(f.g.accountByKey(77)); n != 2 {
		t.Errorf("%d slots are free three seconds later, want 2", n)
	}
}

// An owner that has just started does not know which attempts are in flight. It must lease no slot until all leases
// of its predecessor have expired.
func TestSlotLease_NoneAfterRestart(t *testing.T) {
	f := newOwnerFixture(t, 9)
	if reply, _ := f.report(100.1, 1, slotRequest(0)); reply.Slots != 0 || reply.Requested > emptyGrantUnits {
		t.Fatalf("reply just after the start = %+v, want no slot", reply)
	}
	before := len(f.recorder.actionsOf("message", ""))
	f.run(100.12, 100.1+slotlease.ReportLeaseS)
	if reply, found := f.lastReply(before, 1); !found || reply.Slots != 1 {
		t.Errorf("reply after the predecessor's leases expired = %+v, want 1 slot", reply)
	}
}

// newSlotMember returns a gateway that has requested slots for n requests from the owner of an account with a
// concurrency limit, its recorder, the account, and a function that submits a further request.
func newSlotMember(t *testing.T, n int) (*Gateway, *recorder, *accountState, func(now float64, id string)) {
	g, r := newTestGateway(t, withGateways(9))
	g.adaptiveLimit = 9 // more attempts than the tests need
	name := accountOwnedElsewhere(g)
	submit := func(now float64, id string) {
		g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "open", Account: name, DeadlineAt: now + 2, GatewayCount: 9, Units: 1})
	}
	g.accountFor(Request{Account: name, Plan: "open", GatewayCount: 9}).availableAt = 90 // the owner's last reply is stale
	for i := range n {
		submit(100, fmt.Sprint("q", i))
	}
	return g, r, g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)), submit
}

// Requests that can't get a slot in time must be rejected at once. Other requests must wait for a slot without a
// further quota request.
func TestSlotLease_RejectsWhenQueueIsTooLong(t *testing.T) {
	for _, tc := range []struct {
		waitS    float64
		rejected int
	}{{0.3, 0}, {1.5, 3}} {
		g, r, account, _ := newSlotMember(t, 3)
		from, message := ownerReply(t, r, 1, func(reply *record) {
			reply.Leases, reply.Requested, reply.BackoffS, reply.LeaseS = true, emptyGrantUnits, tc.waitS, slotlease.ReportLeaseS
		})
		g.HandlePeerMessage(100.03, from, message)
		if n := len(r.actionsOf("reject", "")); n != tc.rejected || len(account.pending) != 3-tc.rejected {
			t.Fatalf("expected wait of %v s: %d of 3 rejected at once, %d pending; want all pending at 0.3 s, all rejected at 1.5 s", tc.waitS, n, len(account.pending))
		}
		before := len(r.actionsOf("message", ""))
		for now := 100.05; now < 100.03+tc.waitS && tc.rejected == 0; now += tickIntervalS {
			g.HandleTimer(now, 1)
		}
		if n := len(r.actionsOf("message", "")) - before; tc.rejected == 0 && n > 0 {
			t.Errorf("%d messages while requests wait for a slot, want 0", n)
		}
	}
}

// A member must renew the slot lease of a long attempt before the lease expires, and report the attempt's end at
// once while slots are scarce.
func TestSlotLease_MemberRenews(t *testing.T) {
	g, r, account, _ := newSlotMember(t, 1)
	g.settings.HedgingAllowed, g.settings.CancelAllowed = false, false // so that the request's first attempt stays the only one
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS, reply.InFlight = true, 1, 1, 1, 0.3, 1
	})
	g.HandlePeerMessage(100.03, from, message)
	if len(r.actionsOf("send", "")) != 1 {
		t.Fatal("the request was not sent after a slot was leased")
	}
	before := len(r.actionsOf("message", ""))
	now := 100.05
	for ; now < 101.2; now += tickIntervalS {
		if g.HandleTimer(now, 1); account.leasedSlots.Count(now) < 1 {
			t.Fatalf("the lease expired at %.2f s with the attempt in flight", now)
		}
	}
	if n := len(r.actionsOf("message", "")) - before; n < 2 || n > 4 {
		t.Errorf("%d messages in 1.2 s, want 2 to 4 renewals", n)
	}
	before = len(r.actionsOf("message", ""))
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.actionsOf("send", "")[0].backend, Status: OK, LatencyS: 1.2})
	g.HandleTimer(now+tickIntervalS, 1)
	messages := r.actionsOf("message", "")[before:]
	if len(messages) != 1 {
		t.Fatalf("%d messages after the attempt's end, want 1", len(messages))
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[0].data, now); records[0].InFlight != 0 || records[0].LeaseS == 0 {
		t.Errorf("report after the attempt's end = %+v, want no attempt in flight and a lease time", records[0])
	}
}

// A member with a free leased slot must admit a request without a quota request, and no more than it has slots.
func TestSlotLease_FreeSlotIsReused(t *testing.T) {
	g, r, _, submit := newSlotMember(t, 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.Slots, reply.LeaseS = true, 1, 1, 2, 0.5
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.actionsOf("message", ""))
	if submit(100.05, "next"); len(r.actionsOf("send", "next")) != 1 || len(r.actionsOf("message", "")) != before {
		t.Error("a request with a free slot was not sent, or caused a quota request")
	}
	if submit(100.06, "third"); len(r.actionsOf("send", "third")) != 0 {
		t.Error("a third attempt was sent with two leased slots")
	}
}

func TestConcurrencyLimit_Enforced(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 3 {
		submit(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if n := len(r.actionsOf("send", "")); n != 2 {
		t.Fatalf("%d attempts in flight, want 2", n)
	}
	if len(r.actionsOf("reject", "")) != 0 {
		t.Fatal("a request was rejected although a slot is expected to become free in time")
	}
	g.HandleOutcome(100.1, Outcome{ID: "q0", Backend: "s1", Status: OK, Completed: true, LatencyS: 0.1})
	if len(r.actionsOf("send", "q2")) != 1 {
		t.Fatal("the queued request was not sent when an attempt ended")
	}
	for i := range 40 {
		submit(g, 100.1, fmt.Sprint("r", i), "read", "open", 1)
	}
	if waiting := 40 - len(r.actionsOf("reject", "")); waiting == 0 || waiting > 18 || len(r.actionsOf("send", "")) != 3 {
		t.Fatalf("%d of 40 requests wait for two slots at 0.15 s per attempt and an objective of 1 s, want 1 to 18; %d sent, want 3", waiting, len(r.actionsOf("send", "")))
	}
}

// A member whose owner is at the concurrency limit must request again for no more requests than the limit, and
// reject the others at once: slots become free one after the other.
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
	g.HandlePeerMessage(100.02, from, message)                                    // the report had the first request alone: it is requested again, and so may be one of the others
	if len(r.actionsOf("reject", "")) != 0 || len(r.actionsOf("send", "")) != 1 { // the first request of a new account is admitted
		t.Fatalf("%d of 4 rejected, %d sent, want 0 and 1", len(r.actionsOf("reject", "")), len(r.actionsOf("send", "")))
	}
	before := len(r.actionsOf("message", ""))
	now := 100.04
	for ; len(r.actionsOf("message", "")) == before; now += 0.02 {
		if g.HandleTimer(now, 1); now > 101 {
			t.Fatal("no further quota request by 101 s")
		}
	}
	from, message = ownerReply(t, r, 2, func(reply *record) { reply.Total++; reply.Requested, reply.InFlight = 1, 1 })
	g.HandlePeerMessage(now, from, message)
	if len(r.actionsOf("send", "")) != 2 {
		t.Fatalf("%d sent after a grant, want 2", len(r.actionsOf("send", "")))
	}
	if account := g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32)); len(account.pending) > 2 {
		t.Fatalf("%d requests are pending, want at most 2, the concurrency limit", len(account.pending))
	}
}

// Guards against attempts above the concurrency limit: requests that were admitted with no attempt in flight and
// then waited for a backend must not all be sent when backends are listed.
func TestConcurrencyLimit_AppliesToQueue(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, nil, true)
	for i := range 5 {
		submit(g, 100, fmt.Sprint("r", i), "pay", "open", 1)
	}
	if n := len(r.actionsOf("send", "")); n != 0 {
		t.Fatalf("%d sent without a backend, want 0", n)
	}
	g.UpdateBackends(100.1, []Backend{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a"}}, true)
	if n := len(r.actionsOf("send", "")); n != 2 {
		t.Fatalf("%d sent at once, want 2, the concurrency limit", n)
	}
	g.HandleOutcome(100.2, Outcome{ID: r.actionsOf("send", "")[0].id, Backend: r.actionsOf("send", "")[0].backend, Status: OK, LatencyS: 0.1})
	if n := len(r.actionsOf("send", "")); n != 3 {
		t.Errorf("%d sent after one attempt ended, want 3", n)
	}
}
