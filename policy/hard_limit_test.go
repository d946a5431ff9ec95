package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/snapshot"
)

// Under a hard limit with the whole quota available, a request must wait until a bucket pays for it, or be rejected
// at once if no bucket can pay in time.
func TestHardLimit_RequestsWaitForRefill(t *testing.T) {
	g, r := newTestGateway(t, singleGateway) // the buckets together refill at 20 units per second, from 0
	for i := range 40 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	rejected := len(r.actionsOf("reject", ""))
	if len(r.actionsOf("send", "")) != 0 {
		t.Fatal("requests were sent while the hard limit's buckets were empty")
	}
	// A request must be sent by its latest start (0.9 s) and by its objective less its latency (0.85 s). The buckets
	// gain 17 units until then.
	if waiting := 40 - rejected; waiting < 15 || waiting > 18 {
		t.Fatalf("%d of 40 requests wait, want 15 to 18; %d rejected at once", waiting, rejected)
	}
	for now := 100.0; now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
		if sent, allowed := len(r.actionsOf("send", "")), 20*(now-100)+1e-6; float64(sent) > allowed {
			t.Fatalf("sent %d units in %.2f s, the hard limit allows %.2f", sent, now-100, allowed)
		}
		for _, a := range r.actionsOf("send", "") {
			g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.02})
		}
	}
	if sent, late := len(r.actionsOf("send", "")), len(r.actionsOf("reject", ""))-rejected; sent != 40-rejected || late != 0 {
		t.Errorf("%d of %d waiting requests were sent and %d rejected, want all sent", sent, 40-rejected, late)
	}
	if account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32)); account.hardLimit.Unpaid != 0 {
		t.Errorf("%v units unpaid after all requests were sent, want 0", account.hardLimit.Unpaid)
	}
}

// Guards against units that stay unpaid: a request that is rejected or whose client disconnects must take its units
// off the unpaid ones.
func TestHardLimit_EndedRequestsOweNothing(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 10 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32))
	if account.hardLimit.Unpaid != 10 {
		t.Fatalf("%v units unpaid, want 10", account.hardLimit.Unpaid)
	}
	g.HandleDisconnect(100.01, "q3")
	if account.hardLimit.Unpaid != 9 {
		t.Fatalf("%v units unpaid after a disconnect, want 9", account.hardLimit.Unpaid)
	}
	// After a snapshot no bucket pays any more: requests that wait for one are rejected at once.
	if parts := g.Snapshot(100.02); len(parts) == 0 || len(r.actionsOf("reject", "")) != 9 || account.hardLimit.Unpaid != 0 {
		t.Errorf("%d rejected at the snapshot, %v units unpaid, want 9 and 0", len(r.actionsOf("reject", "")), account.hardLimit.Unpaid)
	}
	if account.hardLimit.Local.Level != snapshot.HandedOverLevel {
		t.Error("the local bucket still has capacity after the snapshot")
	}
}

// sendHardLimitReport sends a report of gateway 1 to gateway 0, the primary owner of an account with a hard limit,
// and returns the reply. The report requests units from the shared bucket, firstUnits of them for the first request.
func sendHardLimitReport(t *testing.T, g *Gateway, r *recorder, now float64, sequence uint16, units, firstUnits float64) record {
	t.Helper()
	key := uint32(0)
	for i := 0; key == 0; i++ {
		name := fmt.Sprint("k", i)
		if g.findOwner(&accountState{point: peerprotocol.HashPoint(name), gatewayCount: g.settings.Gateways}, false) == g.settings.Self {
			key = uint32(peerprotocol.HashPoint(name) >> 32)
		}
	}
	message := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, sequence), record{AccountKey: key, Plan: 1, SharedBucket: true, Requested: units, FirstRequested: firstUnits})
	message[peerprotocol.RecordCountOffset] = 1
	g.HandlePeerMessage(now, 1, message)
	messages := r.actionsOf("message", "")
	_, _, records, _, ok := peerprotocol.Parse(messages[len(messages)-1].data, now)
	if !ok || len(records) != 1 {
		t.Fatal("the last message is not a reply with one record")
	}
	return records[0]
}

// The shared bucket must pay for a part of the requested units if it does not hold all of them.
func TestHardLimit_SharedBucketGrantsPartially(t *testing.T) {
	g, r := newTestGateway(t, nil)
	reply := sendHardLimitReport(t, g, r, 100.31, 1, 12, 2) // 10 units per second since 100: 3.1 units, granted in quarters
	if !reply.SharedBucket || reply.Total != 3 || reply.Requested != 3 {
		t.Fatalf("granted %v of 12 units, paid by the shared bucket: %v, want 3 and true; reply = %+v", reply.Requested, reply.SharedBucket, reply)
	}
	if reply = sendHardLimitReport(t, g, r, 100.31, 2, 12, 2); reply.SharedBucket || reply.Requested != 12 {
		t.Fatalf("reply with an empty shared bucket = %+v, want 12 units that the member's local bucket pays for", reply)
	}
}

// If a local bucket would hold less than half of the largest request, the shared bucket must be the whole hard limit.
func TestHardLimit_SingleBucketWithManyGateways(t *testing.T) {
	for _, tc := range []struct {
		gateways       int
		sharedFraction float64
	}{{2, hardlimit.SharedFraction}, {12, hardlimit.SharedFraction}, {80, 1}, {400, 1}} {
		g, _ := newTestGateway(t, func(settings *Settings) {
			settings.Gateways, settings.PeerMessages, settings.MaxRequestUnits = tc.gateways, true, 3
			settings.Plans = []Plan{{Name: "wide", Rate: 40, Burst: 76, Weight: 1, HardLimitRate: 68, HardLimitBurst: 100}}
		})
		account := g.accountFor(Request{Account: "a", Plan: "wide", GatewayCount: tc.gateways})
		account.primaryOwner = g.settings.Self
		g.advanceClock(g.now + 1000)
		account.hardLimit.CoversWithin(g.hardLimitConfig(account), g.now, 0, 0)
		if got := g.hardLimitConfig(account).SharedFraction(); got != tc.sharedFraction || account.hardLimit.Shared.Level != 100*tc.sharedFraction || account.hardLimit.Local.Level*float64(tc.gateways) > 100*(1-tc.sharedFraction)+1e-9 {
			t.Errorf("%d gateways: shared fraction = %v with %v units in the shared and %v in the local bucket", tc.gateways, got, account.hardLimit.Shared.Level, account.hardLimit.Local.Level)
		}
	}
}

// Guards against spending a hard limit twice: the buckets of a gateway must start empty, as its former process may
// have spent them just before a restart.
func TestHardLimit_BucketStartsEmpty(t *testing.T) {
	g, r := newTestGateway(t, nil)
	sent := func() (n int) { return len(r.actionsOf("send", "")) }
	submit(g, 100, "first", "read", "capped", 4)
	if sent() != 0 {
		t.Fatal("a request was sent while the buckets were empty")
	}
	for i := range 400 {
		submit(g, 101+float64(i)*0.005, fmt.Sprint("q", i), "read", "capped", 1)
		g.HandleTimer(101+float64(i)*0.005, 1)
	}
	if allowed := int(20.0 / 2 * 3); sent() == 0 || sent() > allowed {
		t.Fatalf("sent %d units in 3 s, want 1 to %d", sent(), allowed)
	}
}

// Local and shared buckets of all gateways together must keep to the hard limit, even if messages are lost and
// gateways restart.
func TestHardLimit_EnforcedThroughLossAndRestarts(t *testing.T) {
	const n = 6
	var gateways [n]*Gateway
	var recorders [n]*recorder
	var seen [n]int
	start := func(i int, now float64) {
		settings := testSettings()
		settings.Self, settings.Gateways, settings.Plans[1].Rate, settings.Plans[1].Burst = i, n, 1000, 4000
		recorders[i], seen[i] = &recorder{}, 0
		gateways[i], _ = New(settings, uint64(i), now, recorders[i])
		gateways[i].UpdateBackends(now, []Backend{{ID: "s1"}, {ID: "s2"}}, true)
	}
	for i := range n {
		start(i, 100)
	}
	units := 0.0
	for k := range 2000 {
		now := 100 + float64(k)*0.005
		if k%300 == 299 {
			start(k/300%n, now)
		}
		i := k * 7 % n
		gateways[i].HandleRequest(now, Request{ID: fmt.Sprint("q", k), Class: "read", Plan: "capped", Account: "c", DeadlineAt: now + 2,
			GatewayCount: n, Units: 2})
		for i := range n {
			if gateways[i].HandleTimer(now, 1); k%4 != 0 {
				continue
			}
			for ; seen[i] < len(recorders[i].actions); seen[i]++ {
				switch a := recorders[i].actions[seen[i]]; {
				case a.kind == "send":
					units += 2
					gateways[i].HandleOutcome(now, Outcome{ID: a.id, Status: OK, Completed: true, LatencyS: 0.05})
				case a.kind == "message" && seen[i]%5 != 0:
					gateways[a.to].HandlePeerMessage(now, i, a.data)
				}
			}
		}
	}
	// The hard limit allows 240 units: 10 s at 20 units per second and a burst of 40.
	if units > 240 || units < 100 {
		t.Fatalf("sent %v units, want 100 to the hard limit of 240", units)
	}
}
