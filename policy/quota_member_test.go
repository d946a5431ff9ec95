package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hardlimit"
)

// Requests that a grant does not cover, or that were not in the report, must be requested again and not rejected.
func TestQuotaGrant_RemainderIsRerequested(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	for i := range 3 {
		submit(100, fmt.Sprint("q", i), 2)
	}
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 4, 2 }) // the report had the first request alone
	g.HandlePeerMessage(100.03, from, message)
	if len(r.actionsOf("send", "")) != 1 || len(r.actionsOf("reject", "")) != 0 {
		t.Fatalf("after a grant for the first of three requests: %d sent, %d rejected, want 1 and 0", len(r.actionsOf("send", "")), len(r.actionsOf("reject", "")))
	}
	now := 100.04
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.actionsOf("send", "")[0].backend, Status: OK, Completed: true, LatencyS: 0.01}) // with 100 gateways the adaptive limit allows few attempts
	awaitRequest := func() {
		t.Helper()
		before := len(r.actionsOf("message", ""))
		for ; len(r.actionsOf("message", "")) == before; now += 0.02 {
			if g.HandleTimer(now, 1); now > 101 {
				t.Fatal("no further quota request by 101 s")
			}
		}
	}
	awaitRequest()
	from, message = ownerReply(t, r, 2, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 2, 2 }) // for one of the two other requests
	g.HandlePeerMessage(now, from, message)
	if len(r.actionsOf("send", "")) != 2 || len(r.actionsOf("reject", "")) != 0 {
		t.Fatalf("after a grant for one of two requests: %d sent, %d rejected, want 2 and 0", len(r.actionsOf("send", "")), len(r.actionsOf("reject", "")))
	}
	awaitRequest()
	from, message = ownerReply(t, r, 3, func(reply *record) { reply.Available, reply.Requested = 0, emptyGrantUnits })
	g.HandlePeerMessage(now, from, message)
	if len(r.actionsOf("send", "")) != 2 || len(r.actionsOf("reject", "")) != 1 {
		t.Fatalf("after a denial of the last request: %d sent, %d rejected, want 2 and 1", len(r.actionsOf("send", "")), len(r.actionsOf("reject", "")))
	}
}

// Prefetched units must admit requests without a quota request, and no more than these units. Unused units must
// return to the owner when they expire.
func TestPrefetch_AdmitsWithoutRequest(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	account := submit(100, "q", 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.LeaseS = true, 3, 1, hardlimit.PrefetchS
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.actionsOf("message", ""))
	submit(100.1, "a", 1)
	if len(r.actionsOf("send", "a")) != 1 || len(r.actionsOf("message", "")) != before {
		t.Fatal("a request that prefetched units cover was not sent, or caused a quota request")
	}
	if submit(100.2, "b", 2); len(r.actionsOf("send", "b")) != 0 {
		t.Fatal("a request of 2 units was sent with 1 prefetched unit left")
	}
	g.HandleDisconnect(100.2, "b")
	for now := 100.22; now < 100.1+hardlimit.PrefetchS+0.5; now += tickIntervalS {
		g.HandleTimer(now, 1)
	}
	messages := r.actionsOf("message", "")
	if len(messages) == before || account.prefetched != 0 {
		t.Fatalf("after expiry: %v prefetched units and %d messages, want 0 and at least 1", account.prefetched, len(messages)-before)
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[len(messages)-1].data, 102.5); records[0].Total != 2 {
		t.Errorf("reported total = %v, want the 2 admitted units", records[0].Total)
	}
}

// Under a hard limit, a member must not use units granted in advance that the shared bucket has not paid for.
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
			t.Errorf("paid = %v: %v prefetched units, want more than 0 only if paid", paid, account.prefetched)
		}
	}
}

// Guards against starvation: a request that a grant did not cover must be requested again within 0.25 s, even
// while other accounts always have urgent reports.
func TestQuotaRequest_RetryIsNotStarved(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	submit(100, "a", 2)
	account := submit(100, "b", 2)
	g.HandleTimer(100.1, 1) // the first report was lost; the next one contains both requests
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total, reply.Requested = 2, 2 })
	other := g.newAccount(5, g.plans[0])
	tickWithUrgentReports := func(now float64) { // to three other owners
		for i := range 3 {
			g.reports.Add((from+1+i)%100, other)
			g.reports.MarkUrgent((from + 1 + i) % 100)
		}
		g.HandleTimer(now, 1)
	}
	tickWithUrgentReports(100.12)
	g.HandlePeerMessage(100.13, from, message)
	if len(r.actionsOf("send", "a")) != 1 || len(account.pending) != 1 {
		t.Fatalf("after a grant for one of two requests: %d sent, %d pending, want 1 and 1", len(r.actionsOf("send", "a")), len(account.pending))
	}
	before := len(r.actionsOf("message", ""))
	for now := 100.14; now < 100.4; now += tickIntervalS {
		tickWithUrgentReports(now)
		for _, m := range r.actionsOf("message", "")[before:] {
			if m.to == from {
				return
			}
		}
	}
	t.Error("no further quota request within 0.25 s")
}

// An account that gets prefetched units again before the earlier ones expire must be listed once.
func TestPrefetch_AccountListedOnce(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	for i := range 40 {
		now := 100 + float64(i)*0.3
		submit(now, fmt.Sprint("q", i), 1)
		if len(r.actionsOf("message", "")) > 0 {
			from, message := ownerReply(t, r, uint16(i+1), func(reply *record) {
				reply.Leases, reply.Requested, reply.LeaseS = true, 1, hardlimit.PrefetchS
				reply.Total += 2
			})
			g.HandlePeerMessage(now+0.02, from, message)
		}
		g.HandleTimer(now+0.04, 1)
	}
	if n := len(g.prefetching); n != 1 {
		t.Errorf("Gateway.prefetching has %d entries, want 1", n)
	}
}

// newQuotaMember returns a gateway, its recorder, and a function that submits a request of an account that
// another gateway owns.
func newQuotaMember(t *testing.T, change func(*Settings)) (*Gateway, *recorder, func(now float64, id string, units float64) *accountState) {
	t.Helper()
	g, r := newTestGateway(t, change)
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprint("k", i)
		if g.findOwner(&accountState{point: peerprotocol.HashPoint(name), gatewayCount: g.settings.Gateways}, false) != g.settings.Self {
			break
		}
	}
	return g, r, func(now float64, id string, units float64) *accountState {
		g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "basic", Account: name, DeadlineAt: now + 2, GatewayCount: g.settings.Gateways,
			Units: units})
		return g.accountByKey(uint32(peerprotocol.HashPoint(name) >> 32))
	}
}

// ownerReply returns the owner, and its message with a reply to the last report that the gateway has sent. change
// fills in the reply.
func ownerReply(t *testing.T, r *recorder, sequence uint16, change func(*record)) (from int, data []byte) {
	t.Helper()
	messages := r.actionsOf("message", "")
	if len(messages) == 0 {
		t.Fatal("no message was sent")
	}
	last := messages[len(messages)-1]
	_, _, records, _, ok := peerprotocol.Parse(last.data, 0)
	if !ok || len(records) == 0 {
		t.Fatal("the last message contains no report")
	}
	reply := record{AccountKey: records[0].AccountKey, Plan: records[0].Plan, FromOwner: true, Known: true, Total: records[0].Total, Requested: records[0].Requested}
	change(&reply)
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 9, sequence), reply)
	message[peerprotocol.RecordCountOffset] = 1
	return last.to, message
}

// With a hundred gateways, a member's share is less than one request and its last reply is stale: the owner must
// decide.
func TestQuotaRequest_MemberWaitsForOwnerReply(t *testing.T) {
	for _, grant := range []float64{0, 2} {
		g, r, submit := newQuotaMember(t, withGateways(100))
		submit(100, "q", 2)
		if len(r.actionsOf("send", ""))+len(r.actionsOf("reject", "")) != 0 {
			t.Fatal("the request was sent or rejected without the owner's reply")
		}
		from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += grant; reply.Available = 1 })
		g.HandlePeerMessage(100.03, from, message)
		if sent := len(r.actionsOf("send", "q")); sent != int(grant/2) || sent+len(r.actionsOf("reject", "q")) != 1 {
			t.Fatalf("after a grant of %v of 2 units, actions = %v, want \"q\" sent if granted and else rejected", grant, r.actions)
		}
	}
}

// Guards against requests that wait for a silent owner: after a few unanswered reports the member must suspect
// the owner, report to another gateway and admit by its local window.
func TestQuotaRequest_FallsBackToLocalWindow(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	submit(100, "q", 2)
	first := r.actionsOf("message", "")[0].to
	now := 100.0
	for ; len(r.actionsOf("send", ""))+len(r.actionsOf("reject", "")) == 0 && now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.actionsOf("send", "q")) != 1 || now > 100+float64(g.failureDetector.Threshold()+2)*(quotaReplyTimeoutS+tickIntervalS) {
		t.Fatalf("the local window did not admit the request in time, now = %v", now)
	}
	if messages := r.actionsOf("message", ""); len(messages) <= g.failureDetector.Threshold() || messages[len(messages)-1].to == first {
		t.Fatalf("messages = %v, want the last one to another gateway than the silent owner", messages)
	}
	if g.peerAlive(first) {
		t.Fatal("the silent owner is not suspected")
	}
}

// A gateway whose messages are all lost must admit about its share of the quota.
func TestLocalWindow_PartitionedGateway(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(4))
	seen := 0
	for i := range 2500 {
		now := 100 + float64(i)*0.02
		if i%3 == 0 {
			submit(now, fmt.Sprint("q", i), 1)
		}
		g.HandleTimer(now, 1)
		answerAll(g, r, &seen, now)
	}
	// 50 s at 2 units per second and a burst of 8 are 108 units; a fourth of the rate and the burst are 33 units.
	if n := len(r.actionsOf("send", "")); n < 20 || n > 50 {
		t.Fatalf("sent %d units without peers, want 20 to 50 of a quota of 108", n)
	}
}

func TestKindOfReply(t *testing.T) {
	for _, tc := range []struct {
		name           string
		pending        int
		maxConcurrency int
		reply          record
		want           replyKind
	}{
		{"nothing was requested", 0, 0, record{Requested: 3}, replyState},
		{"no answer to the request", 1, 0, record{}, replyState},
		{"grant", 1, 0, record{Requested: 3}, replyGrant},
		{"empty grant", 1, 0, record{Requested: emptyGrantUnits, BackoffS: 1}, replyGrant},
		{"grant with prefetched units", 1, 0, record{Requested: 3, LeaseS: 1}, replyGrant},
		{"wait queue", 1, 2, record{Requested: emptyGrantUnits, LeaseS: 1, BackoffS: 1}, replyWaitQueue},
		{"slots", 1, 2, record{Requested: 1, LeaseS: 1, Slots: 1}, replyGrant},
		{"at the limit, without slot leases", 1, 2, record{Requested: emptyGrantUnits}, replyGrant},
	} {
		account := &accountState{reportedPending: tc.pending, plan: &planState{Plan: Plan{MaxConcurrency: tc.maxConcurrency}}}
		if got := kindOfReply(account, tc.reply); got != tc.want {
			t.Errorf("%s: kindOfReply = %v, want %v", tc.name, got, tc.want)
		}
	}
}
