package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hardlimit"
)

// Requests that a grant does not reach, or that were not in the report, are requested again and not rejected.
func TestQuotaGrant_RemainderIsRerequested(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	for i := range 3 {
		submit(100, fmt.Sprint("q", i), 2)
	}
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 4, 2 }) // reported was the first alone
	g.HandlePeerMessage(100.03, from, message)
	if len(r.of("send", "")) != 1 || len(r.of("reject", "")) != 0 {
		t.Fatalf("%d sent, %d rejected", len(r.of("send", "")), len(r.of("reject", "")))
	}
	now := 100.04
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.of("send", "")[0].backend, Status: OK, Completed: true, LatencyS: 0.01}) // one of a hundred has few out
	awaitRequest := func() {
		t.Helper()
		before := len(r.of("message", ""))
		for ; len(r.of("message", "")) == before; now += 0.02 {
			if g.HandleTimer(now, 1); now > 101 {
				t.Fatal("sends no further request")
			}
		}
	}
	awaitRequest()
	from, message = ownerReply(t, r, 2, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 2, 2 }) // of the two that are left
	g.HandlePeerMessage(now, from, message)
	if len(r.of("send", "")) != 2 || len(r.of("reject", "")) != 0 {
		t.Fatalf("%d sent, %d rejected after a grant that reached one of two", len(r.of("send", "")), len(r.of("reject", "")))
	}
	awaitRequest()
	from, message = ownerReply(t, r, 3, func(reply *record) { reply.Available, reply.Requested = 0, emptyGrantUnits })
	g.HandlePeerMessage(now, from, message)
	if len(r.of("send", "")) != 2 || len(r.of("reject", "")) != 1 {
		t.Fatalf("%d sent, %d rejected after a denial", len(r.of("send", "")), len(r.of("reject", "")))
	}
}

// Units that were granted in advance are admitted without a quota request, no more than they are, and return
// to the owner in the end.
func TestPrefetch_AdmitsWithoutRequest(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	account := submit(100, "q", 1)
	from, message := ownerReply(t, r, 1, func(reply *record) {
		reply.Leases, reply.Total, reply.Requested, reply.LeaseS = true, 3, 1, hardlimit.PrefetchS
	})
	g.HandlePeerMessage(100.03, from, message)
	before := len(r.of("message", ""))
	submit(100.1, "a", 1)
	if len(r.of("send", "a")) != 1 || len(r.of("message", "")) != before {
		t.Fatal("a quota request, with units in advance")
	}
	if submit(100.2, "b", 2); len(r.of("send", "b")) != 0 {
		t.Fatal("two units admitted of one")
	}
	g.HandleDisconnect(100.2, "b")
	for now := 100.22; now < 100.1+hardlimit.PrefetchS+0.5; now += tickIntervalS {
		g.HandleTimer(now, 1)
	}
	messages := r.of("message", "")
	if len(messages) == before || account.prefetched != 0 {
		t.Fatalf("%v units in advance after their time, %d messages", account.prefetched, len(messages)-before)
	}
	if _, _, records, _, _ := peerprotocol.Parse(messages[len(messages)-1].data, 102.5); records[0].Total != 2 {
		t.Errorf("reported a total of %v, 2 were admitted", records[0].Total)
	}
}

// Under a hard limit units that its shared bucket did not pay for are not granted in advance.
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
			t.Errorf("paid %v: %v units in advance", paid, account.prefetched)
		}
	}
}

// A request that a grant did not reach is requested again in time, though other accounts have urgent reports
// all the while.
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
		t.Fatalf("%d sent, %d requested again", len(r.of("send", "a")), len(account.pending))
	}
	before := len(r.of("message", ""))
	for now := 100.14; now < 100.4; now += tickIntervalS {
		busy(now)
		for _, m := range r.of("message", "")[before:] {
			if m.to == from {
				return
			}
		}
	}
	t.Error("no quota request within 0.25 s")
}

// An account that gets units in advance again before they ran out is watched once.
func TestPrefetch_AccountListedOnce(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	g.adaptiveLimit = 9
	for i := range 40 {
		now := 100 + float64(i)*0.3
		submit(now, fmt.Sprint("q", i), 1)
		if len(r.of("message", "")) > 0 {
			from, message := ownerReply(t, r, uint16(i+1), func(reply *record) {
				reply.Leases, reply.Requested, reply.LeaseS = true, 1, hardlimit.PrefetchS
				reply.Total += 2
			})
			g.HandlePeerMessage(now+0.02, from, message)
		}
		g.HandleTimer(now+0.04, 1)
	}
	if n := len(g.prefetching); n != 1 {
		t.Errorf("the account is in the list of those with units in advance %d times", n)
	}
}

// newQuotaMember returns a gateway, and a function that submits a request of an account that another gateway
// owns.
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

// ownerReply is the owner's reply to the last report that the gateway has sent.
func ownerReply(t *testing.T, r *recorder, sequence uint16, change func(*record)) (from int, data []byte) {
	t.Helper()
	messages := r.of("message", "")
	if len(messages) == 0 {
		t.Fatal("no message was sent")
	}
	last := messages[len(messages)-1]
	_, _, records, _, ok := peerprotocol.Parse(last.data, 0)
	if !ok || len(records) == 0 {
		t.Fatal("no report was sent")
	}
	reply := record{AccountKey: records[0].AccountKey, Plan: records[0].Plan, FromOwner: true, Known: true, Total: records[0].Total, Requested: records[0].Requested}
	change(&reply)
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 9, sequence), reply)
	message[peerprotocol.RecordCountOffset] = 1
	return last.to, message
}

// With a hundred gateways a share is less than one request, and replies are old: the owner decides.
func TestQuotaRequest_MemberWaitsForOwnerReply(t *testing.T) {
	for _, grant := range []float64{0, 2} {
		g, r, submit := newQuotaMember(t, withGateways(100))
		submit(100, "q", 2)
		if len(r.of("send", ""))+len(r.of("reject", "")) != 0 {
			t.Fatal("a gateway of a hundred did not ask the owner")
		}
		from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += grant; reply.Available = 1 })
		g.HandlePeerMessage(100.03, from, message)
		if sent := len(r.of("send", "q")); sent != int(grant/2) || sent+len(r.of("reject", "q")) != 1 {
			t.Fatalf("granted %v of 2 units: %v", grant, r.actions)
		}
	}
}

func TestQuotaRequest_FallsBackToLocalWindow(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	submit(100, "q", 2)
	first := r.of("message", "")[0].to
	now := 100.0
	for ; len(r.of("send", ""))+len(r.of("reject", "")) == 0 && now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.of("send", "q")) != 1 || now > 100+float64(g.failureDetector.Threshold()+2)*(quotaReplyTimeoutS+tickIntervalS) {
		t.Fatalf("no local window by %v", now)
	}
	if messages := r.of("message", ""); len(messages) <= g.failureDetector.Threshold() || messages[len(messages)-1].to == first {
		t.Fatalf("a silent owner was never skipped: %v", messages)
	}
	if g.peerAlive(first) {
		t.Fatal("an owner that left everything unanswered counts as alive")
	}
}

// A gateway whose messages are all lost admits its share of the quota.
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
	// 50 s of 2 units a second shared by 4, and a burst of 8.
	if n := len(r.of("send", "")); n < 20 || n > 50 {
		t.Fatalf("%d units sent without peers, a fourth of the quota is 33, the whole 108", n)
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
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
