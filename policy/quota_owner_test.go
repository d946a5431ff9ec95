package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

func TestQuota_EnforcedAndRefilled(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.actionsOf("send", "")); n != 8 {
		t.Fatalf("sent %d requests of 1 unit, want the burst of 8", n)
	}
	submit(g, 101, "later", "pay", "basic", 2)
	if len(r.actionsOf("send", "later")) != 1 {
		t.Fatal("request of 2 units was not sent after 1 s at 2 units per second: the window was not refilled")
	}
}

// Guards against admitting units twice: requests in the queue keep the units that they were charged.
func TestQuota_QueuedRequestsReserveUnits(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a", State: Draining}}, true)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.actionsOf("reject", "")); n != 4 {
		t.Fatalf("rejected %d of 12 requests of 1 unit with a burst of 8, want 4", n)
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
	// The quota allows 28 units: 10 s at 2 units per second and a burst of 8.
	if units < 22 || units > 31 {
		t.Fatalf("sent %d units, want 22 to 31; the quota allows 28", units)
	}
}

// Guards against a second full window after a restart: an owner that has lost its ledger must recover the
// available units from its members' reports.
func TestQuota_RestartedOwnerRecovers(t *testing.T) {
	g, r, pump := newPair(t)
	owner := g[0].accountFor(Request{Account: "c-basic", Plan: "basic", GatewayCount: 2}).primaryOwner
	member, seen := 1-owner, 0
	for i := range 100 {
		now := 102 + float64(i)*0.02
		submit(g[member], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		answerAll(g[member], r[member], &seen, now)
	}
	settings := testSettings()
	settings.Self = owner
	restarted, err := New(settings, 99, 104, r[owner])
	if err != nil {
		t.Fatal(err)
	}
	restarted.UpdateBackends(104, []Backend{{ID: "s1", Zone: "a", Cell: 1}}, true)
	g[owner] = restarted
	n := len(r[member].actions)
	for now := 104.02; now < 104.3; now += 0.02 {
		submit(g[member], now, fmt.Sprint("after", now), "read", "basic", 1)
		g[member].HandleTimer(now, 1)
	}
	for _, a := range r[member].actions[n:] {
		if a.kind == "message" {
			restarted.HandlePeerMessage(104.3, member, a.data)
		}
	}
	account := restarted.accountByKey(uint32(peerprotocol.HashPoint("c-basic") >> 32))
	if account == nil || restarted.ledger(account).Available > 4 {
		t.Fatal("the restarted owner has no state of the account, or more than 4 of 8 units available")
	}
}

func TestQuotaGrant_LimitedByAvailableUnits(t *testing.T) {
	g, r := newTestGateway(t, withGateways(100))
	granted := 0.0
	for i := range 30 {
		message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, 1), record{AccountKey: 77, Plan: 0, Requested: 1, FirstRequested: 1})
		message[peerprotocol.RecordCountOffset] = 1
		g.HandlePeerMessage(100, 1+i, message)
		messages := r.actionsOf("message", "")
		_, _, records, _, _ := peerprotocol.Parse(messages[len(messages)-1].data, 100)
		if granted += records[0].Total; i == 29 && records[0].BackoffS == 0 {
			t.Fatal("the reply to the last of thirty quota requests at once has no backoff")
		}
	}
	if granted != 8 {
		t.Fatalf("granted %v units, want the burst of 8", granted)
	}
}

// Guards against lost quota: granted units that the member did not use must return to the window.
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
		t.Fatalf("%v units available after a request for 6 of 8 units that was sent twice, want 2", available)
	}
	send(3, record{AccountKey: 77})
	if available := g.accountByKey(77).ledger.Available; available != 8 {
		t.Fatalf("%v units available after the grant was returned, want 8", available)
	}
}

// An account whose demand exceeds its rate must not spend its whole quota on requests of low priority.
func TestQuota_LowPriorityLeavesReserve(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 12 {
		submit(g, 100, fmt.Sprint("low", i), "read", "basic", 1)
	}
	if n := len(r.actionsOf("send", "")); n == 0 || n >= 8 {
		t.Fatalf("sent %d requests of low priority with a burst of 8, want 1 to 7", n)
	}
	submit(g, 100, "high", "pay", "basic", 2)
	if len(r.actionsOf("send", "high")) != 1 {
		t.Fatal("the request of high priority was not sent from the priority reserve")
	}
}

// A new ledger, whose window starts full, must adopt the lower available units that a member reports.
func TestQuota_RecoveringLedgerUsesMemberReport(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, 1), record{AccountKey: 5, Known: true, Total: 0, Available: 1})
	message[peerprotocol.RecordCountOffset] = 1
	g.HandlePeerMessage(104, 1, message)
	if available := g.ledger(g.accountByKey(5)).Available; available > 1 {
		t.Fatalf("%v units available after a member reported 1, want at most 1", available)
	}
}

// Units that members admitted beyond the window must become a debt, bounded by maxDebtFraction of the burst, that
// the refill pays first.
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
		t.Fatalf("%v units available after 11 units with a burst of 8, want -3", available)
	}
	if available := send(101, 3, record{AccountKey: 77, Total: 11, Requested: 1, FirstRequested: 1}); available != -1 {
		t.Fatalf("%v units available 1 s later at 2 units per second, want -1", available)
	}
	if available := send(102, 4, record{AccountKey: 77, Total: 60}); available != -8*maxDebtFraction {
		t.Fatalf("%v units available after a reported total of 60, want the maximum debt of %v", available, 8*maxDebtFraction)
	}
}
