package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

func TestQuota_EnforcedAndRefilled(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.of("send", "")); n != 8 {
		t.Fatalf("%d sent of a burst of 8", n)
	}
	submit(g, 101, "later", "pay", "basic", 2)
	if len(r.of("send", "later")) != 1 {
		t.Fatal("the window did not open with time")
	}
}

// Requests in the queue hold their units: the window does not promise them twice.
func TestQuota_QueuedRequestsReserveUnits(t *testing.T) {
	g, r := newTestGateway(t, alone)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a", State: Draining}}, true)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.of("reject", "")); n != 4 {
		t.Fatalf("%d rejected while 12 units wait for a burst of 8, want 4", n)
	}
}

func TestQuota_SharedAcrossGateways(t *testing.T) {
	g, r, pump := newPair(t)
	units, seen := 0, [2]int{}
	for i := range 500 {
		now := 100 + float64(i)*0.02
		submit(g[i%2], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		for k := range 2 {
			units += len(answerAll(g[k], r[k], &seen[k], now))
		}
	}
	// 10 s of 2 a second and a burst of 8.
	if units < 22 || units > 31 {
		t.Fatalf("%d units sent on, the quota holds 28", units)
	}
}

func TestQuota_RestartedOwnerRecovers(t *testing.T) {
	g, r, pump := newPair(t)
	own := g[0].accountFor(Request{Account: "c-basic", Plan: "basic", GatewayCount: 2}).primaryOwner
	m, seen := 1-own, 0
	for i := range 100 {
		now := 102 + float64(i)*0.02
		submit(g[m], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		answerAll(g[m], r[m], &seen, now)
	}
	settings := testSettings()
	settings.Self = own
	fresh, err := New(settings, 99, 104, r[own])
	if err != nil {
		t.Fatal(err)
	}
	fresh.UpdateBackends(104, []Backend{{ID: "s1", Zone: "a", Cell: 1}}, true)
	g[own] = fresh
	n := len(r[m].actions)
	for now := 104.02; now < 104.3; now += 0.02 {
		submit(g[m], now, fmt.Sprint("after", now), "read", "basic", 1)
		g[m].HandleTimer(now, 1)
	}
	for _, a := range r[m].actions[n:] {
		if a.kind == "message" {
			fresh.HandlePeerMessage(104.3, m, a.data)
		}
	}
	account := fresh.accountByKey(uint32(peerprotocol.HashPoint("c-basic") >> 32))
	if account == nil || fresh.ledger(account).Available > 4 {
		t.Fatal("the restarted owner grants a full window")
	}
}

func TestQuotaGrant_LimitedByAvailableUnits(t *testing.T) {
	g, r := newTestGateway(t, withGateways(100))
	granted := 0.0
	for i := range 30 {
		message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, 1), record{AccountKey: 77, Plan: 0, Requested: 1, FirstRequested: 1})
		message[peerprotocol.RecordCountOffset] = 1
		g.HandlePeerMessage(100, 1+i, message)
		messages := r.of("message", "")
		_, _, records, _, _ := peerprotocol.Parse(messages[len(messages)-1].data, 100)
		if granted += records[0].Total; i == 29 && records[0].BackoffS == 0 {
			t.Fatal("an owner with thirty requests at once sent no backoff")
		}
	}
	if granted != 8 {
		t.Fatalf("%v units granted of a burst of 8", granted)
	}
}

// A grant that the member did not use does not stay set aside.
func TestQuotaGrant_UnusedUnitsAreReturned(t *testing.T) {
	g, _ := newTestGateway(t, withGateways(100))
	send := func(sequence uint16, report record) {
		message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, sequence), report)
		message[peerprotocol.RecordCountOffset] = 1
		g.HandlePeerMessage(100, 1, message)
	}
	send(1, record{AccountKey: 77, Requested: 6, FirstRequested: 6})
	send(2, record{AccountKey: 77, Requested: 6, FirstRequested: 6}) // sent again, as the reply was lost
	if available := g.accountByKey(77).ledger.Available; available != 2 {
		t.Fatalf("%v units available after 6 of 8 were granted, reported twice", available)
	}
	send(3, record{AccountKey: 77})
	if available := g.accountByKey(77).ledger.Available; available != 8 {
		t.Fatalf("%v units available after the grant was returned", available)
	}
}

// An account over its rate does not spend its whole quota on requests of low priority.
func TestQuota_LowPriorityLeavesReserve(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("low", i), "read", "basic", 1)
	}
	if n := len(r.of("send", "")); n == 0 || n >= 8 {
		t.Fatalf("%d requests of low priority took a burst of 8, want some units left", n)
	}
	submit(g, 100, "high", "pay", "basic", 2)
	if len(r.of("send", "high")) != 1 {
		t.Fatal("no units were left for the request of high priority")
	}
}

// A new ledger takes over what a member knows of the window, even where that has just opened.
func TestQuota_RecoveringLedgerUsesMemberReport(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, 1), record{AccountKey: 5, Known: true, Total: 0, Available: 1})
	message[peerprotocol.RecordCountOffset] = 1
	g.HandlePeerMessage(104, 1, message)
	if available := g.ledger(g.accountByKey(5)).Available; available > 1 {
		t.Fatalf("%v units available after a member reported 1", available)
	}
}

// Units that members admitted beyond the window are owed by the account.
func TestQuota_OveruseIsDebt(t *testing.T) {
	g, _ := newTestGateway(t, withGateways(100))
	send := func(now float64, sequence uint16, report record) float64 {
		message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, sequence), report)
		message[peerprotocol.RecordCountOffset] = 1
		g.HandlePeerMessage(now, 1, message)
		return g.accountByKey(77).ledger.Available
	}
	send(100, 1, record{AccountKey: 77})
	if available := send(100, 2, record{AccountKey: 77, Total: 11}); available != -3 {
		t.Fatalf("%v units available after 11 of a burst of 8", available)
	}
	if available := send(101, 3, record{AccountKey: 77, Total: 11, Requested: 1, FirstRequested: 1}); available != -1 {
		t.Fatalf("%v units available a second later, at 2 a second", available)
	}
	if available := send(102, 4, record{AccountKey: 77, Total: 60}); available != -8*maxDebtFraction {
		t.Fatalf("%v units available after far too much: the debt is %v at most", available, 8*maxDebtFraction)
	}
}
