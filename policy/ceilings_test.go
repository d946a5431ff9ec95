package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/reason"
)

// Guards r640a3f and the first seconds of wide days: with the whole quota free a request was refused because
// the parts of the ceiling had just begun to fill. What fits quota and ceiling in time waits for the ceiling;
// what can't be paid while it can still be sent is told so at once.
func TestHardLimit_RequestsWaitForRefill(t *testing.T) {
	g, r := newTestGateway(t, alone) // its part and the shared one fill with 20 units a second in all, from nothing
	for i := range 40 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	rejected := len(r.of("refuse", ""))
	if len(r.of("send", "")) != 0 {
		t.Fatal("units passed with an empty ceiling")
	}
	// Until a request must be sent (0.9 s: half of its time, and its aim less what it needs) 17 units come in.
	if waiting := 40 - rejected; waiting < 15 || waiting > 18 {
		t.Fatalf("%d of 40 wait, %d refused at once", waiting, rejected)
	}
	for now := 100.0; now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
		if sent, most := len(r.of("send", "")), 20*(now-100)+1e-6; float64(sent) > most {
			t.Fatalf("%d units by %.2f, the ceiling gave %.2f", sent, now-100, most)
		}
		for _, a := range r.of("send", "") {
			g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.02})
		}
	}
	if sent, late := len(r.of("send", "")), len(r.of("refuse", ""))-rejected; sent != 40-rejected || late != 0 {
		t.Errorf("%d of %d that waited were sent, %d refused after all", sent, 40-rejected, late)
	}
	if account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32)); account.hardLimit.Unpaid != 0 {
		t.Errorf("%v units owed when all are sent", account.hardLimit.Unpaid)
	}
}

// What owes the ceiling and is refused or given up owes nothing any more.
func TestHardLimit_EndedRequestsOweNothing(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 10 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32))
	if account.hardLimit.Unpaid != 10 {
		t.Fatalf("%v units owed, want 10", account.hardLimit.Unpaid)
	}
	g.HandleDisconnect(100.01, "q3")
	if account.hardLimit.Unpaid != 9 {
		t.Fatalf("%v units owed after one hung up", account.hardLimit.Unpaid)
	}
	// A gateway that hands its counts on can pay for nothing more: what waits for that is told at once.
	if parts := g.Snapshot(100.02); len(parts) == 0 || len(r.of("refuse", "")) != 9 || account.hardLimit.Unpaid != 0 {
		t.Errorf("%d refused at a hand-over, %v units owed", len(r.of("refuse", "")), account.hardLimit.Unpaid)
	}
	if account.hardLimit.Local.Level != snapshot.NoCapacity {
		t.Error("the ceiling was kept")
	}
}

// cappedReport is a report of gateway 1 to gateway 0 as first on the ring of a customer of the plan with a
// ceiling, and its answer.
func cappedReport(t *testing.T, g *Gateway, r *recorder, now float64, sequence uint16, want, first float64) record {
	t.Helper()
	key := uint32(0)
	for i := 0; key == 0; i++ {
		name := fmt.Sprint("k", i)
		if g.findOwner(&accountState{point: peerprotocol.HashPoint(name), gatewayCount: g.settings.Gateways}, false) == g.settings.Self {
			key = uint32(peerprotocol.HashPoint(name) >> 32)
		}
	}
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, sequence), record{AccountKey: key, Plan: 1, SharedBucket: true, Requested: want, FirstRequested: first})
	message[peerprotocol.RecordCountOffset] = 1
	g.HandlePeerMessage(now, 1, message)
	messages := r.of("tell", "")
	_, _, records, _, ok := peerprotocol.Parse(messages[len(messages)-1].data, now)
	if !ok || len(records) != 1 {
		t.Fatal("no answer")
	}
	return records[0]
}

// Guards grants that the shared part of the ceiling paid whole or not at all: a batch of ten requests was
// refused for the last of them.
func TestHardLimit_SharedBucketGrantsPartially(t *testing.T) {
	g, r := newTestGateway(t, nil)
	a := cappedReport(t, g, r, 100.31, 1, 12, 2) // 10 a second since 100: 3.1 units, told in quarters
	if !a.SharedBucket || a.Total != 3 || a.Requested != 3 {
		t.Fatalf("granted %v of 12 with 3 in the shared part, paid %v: %+v", a.Requested, a.SharedBucket, a)
	}
	if a = cappedReport(t, g, r, 100.31, 2, 12, 2); a.SharedBucket || a.Requested != 12 {
		t.Fatalf("with an empty shared part the member's own part may pay: %+v", a)
	}
}

// Guards the rest of a batch of which a part was granted, or more than a report can word: it asks again and
// is not refused for it.
func TestQuotaGrant_RemainderIsRerequested(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	for i := range 3 {
		submit(100, fmt.Sprint("q", i), 2)
	}
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 4, 2 }) // told of the first alone
	g.HandlePeerMessage(100.03, from, message)
	if len(r.of("send", "")) != 1 || len(r.of("refuse", "")) != 0 {
		t.Fatalf("%d sent, %d refused", len(r.of("send", "")), len(r.of("refuse", "")))
	}
	now := 100.04
	g.HandleOutcome(now, Outcome{ID: "q0", Backend: r.of("send", "")[0].backend, Status: OK, Completed: true, LatencyS: 0.01}) // one of a hundred has few out
	awaitRequest := func() {
		t.Helper()
		before := len(r.of("tell", ""))
		for ; len(r.of("tell", "")) == before; now += 0.02 {
			if g.HandleTimer(now, 1); now > 101 {
				t.Fatal("does not ask again")
			}
		}
	}
	awaitRequest()
	from, message = ownerReply(t, r, 2, func(reply *record) { reply.Total += 2; reply.Available, reply.Requested = 2, 2 }) // of both that were left
	g.HandlePeerMessage(now, from, message)
	if len(r.of("send", "")) != 2 || len(r.of("refuse", "")) != 0 {
		t.Fatalf("%d sent, %d refused after a grant that reached one of two", len(r.of("send", "")), len(r.of("refuse", "")))
	}
	awaitRequest()
	from, message = ownerReply(t, r, 3, func(reply *record) { reply.Available, reply.Requested = 0, emptyGrantUnits })
	g.HandlePeerMessage(now, from, message)
	if len(r.of("send", "")) != 2 || len(r.of("refuse", "")) != 1 {
		t.Fatalf("%d sent, %d refused after a no", len(r.of("send", "")), len(r.of("refuse", "")))
	}
}

// Each decision that ends or lets in a request names one reason, and nothing is told where nobody asks.
func TestTrace_DecisionsCarryReasons(t *testing.T) {
	g, r := newTestGateway(t, alone)
	var list []reason.Decision
	submit(g, 100, "untold", "pay", "basic", 1)
	g.SetTracer(func(decision reason.Decision) { list = append(list, decision) })
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	g.HandleRequest(101, Request{ID: "late", Class: "read", Plan: "wide", Account: "w", DeadlineAt: 101.01, GatewayCount: 1, Units: 1})
	reasons := map[reason.Step]map[reason.Reason]int{}
	for _, decision := range list {
		if reasons[decision.Step] == nil {
			reasons[decision.Step] = map[reason.Reason]int{}
		}
		reasons[decision.Step][decision.Reason]++
	}
	if reasons[reason.StepArrived][reason.OwnerCount] != 7+1 || reasons[reason.StepRejected][reason.WindowExhausted] != 5 || reasons[reason.StepRejected][reason.ObjectiveMissed] != 1 {
		t.Errorf("%v", reasons)
	}
	if rejected := len(r.of("refuse", "")); rejected != 6 {
		t.Errorf("%d refused", rejected)
	}
	for _, decision := range list {
		if decision.ID == "untold" {
			t.Error("told before it was asked for")
		}
	}
}

// With eighty gateways half of a ceiling lay in parts under one request each, that nothing could ever be paid
// from, and the other half was less than the quota: the owner granted, and nobody paid. The whole of it is
// one gateway's then, and still no more than the whole.
func TestHardLimit_SingleBucketWithManyGateways(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		pool     float64
	}{{2, hardlimit.SharedFraction}, {12, hardlimit.SharedFraction}, {80, 1}, {400, 1}} {
		g, _ := newTestGateway(t, func(settings *Settings) {
			settings.Gateways, settings.PeerMessages, settings.MaxRequestUnits = tc.gateways, true, 3
			settings.Plans = []Plan{{Name: "wide", Rate: 40, Burst: 76, Weight: 1, HardLimitRate: 68, HardLimitBurst: 100}}
		})
		account := g.accountFor(Request{Account: "a", Plan: "wide", GatewayCount: tc.gateways})
		account.primaryOwner = g.settings.Self
		g.advanceClock(g.now + 1000)
		account.hardLimit.CoversWithin(g.hardLimitConfig(account), g.now, 0, 0)
		if got := g.hardLimitConfig(account).SharedFraction(); got != tc.pool || account.hardLimit.Shared.Level != 100*tc.pool || account.hardLimit.Local.Level*float64(tc.gateways) > 100*(1-tc.pool)+1e-9 {
			t.Errorf("%d gateways: %v is paid from one place, %v there, %v here", tc.gateways, got, account.hardLimit.Shared.Level, account.hardLimit.Local.Level)
		}
	}
}
