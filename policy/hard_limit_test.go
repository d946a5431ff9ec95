package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/snapshot"
)

// With the whole quota available a request waits until a bucket of the hard limit pays for it, if that is in
// time; else it is rejected at once.
func TestHardLimit_RequestsWaitForRefill(t *testing.T) {
	g, r := newTestGateway(t, alone) // the buckets fill with 20 units a second in all, from 0
	for i := range 40 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	rejected := len(r.of("reject", ""))
	if len(r.of("send", "")) != 0 {
		t.Fatal("units were sent with an empty hard limit")
	}
	// Until a request must be sent (0.9 s: its latest start, and its objective less its latency) 17 units come
	// in.
	if waiting := 40 - rejected; waiting < 15 || waiting > 18 {
		t.Fatalf("%d of 40 wait, %d rejected at once", waiting, rejected)
	}
	for now := 100.0; now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
		if sent, most := len(r.of("send", "")), 20*(now-100)+1e-6; float64(sent) > most {
			t.Fatalf("%d units by %.2f, the hard limit allows %.2f", sent, now-100, most)
		}
		for _, a := range r.of("send", "") {
			g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.02})
		}
	}
	if sent, late := len(r.of("send", "")), len(r.of("reject", ""))-rejected; sent != 40-rejected || late != 0 {
		t.Errorf("%d of %d that waited were sent, %d rejected after all", sent, 40-rejected, late)
	}
	if account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32)); account.hardLimit.Unpaid != 0 {
		t.Errorf("%v units unpaid when all are sent", account.hardLimit.Unpaid)
	}
}

// A request that is rejected or given up leaves no units unpaid.
func TestHardLimit_EndedRequestsOweNothing(t *testing.T) {
	g, r := newTestGateway(t, alone)
	for i := range 10 {
		submit(g, 100, fmt.Sprint("q", i), "read", "capped", 1)
	}
	account := g.accountByKey(uint32(peerprotocol.HashPoint("c-capped") >> 32))
	if account.hardLimit.Unpaid != 10 {
		t.Fatalf("%v units unpaid, want 10", account.hardLimit.Unpaid)
	}
	g.HandleDisconnect(100.01, "q3")
	if account.hardLimit.Unpaid != 9 {
		t.Fatalf("%v units unpaid after a disconnect", account.hardLimit.Unpaid)
	}
	// After a snapshot nothing pays any more: what waits for that is rejected at once.
	if parts := g.Snapshot(100.02); len(parts) == 0 || len(r.of("reject", "")) != 9 || account.hardLimit.Unpaid != 0 {
		t.Errorf("%d rejected at the snapshot, %v units unpaid", len(r.of("reject", "")), account.hardLimit.Unpaid)
	}
	if account.hardLimit.Local.Level != snapshot.NoCapacity {
		t.Error("the hard limit was kept")
	}
}

// sendHardLimitReport is a report of gateway 1 to gateway 0, as the primary owner of an account with a hard limit,
// and its reply.
func sendHardLimitReport(t *testing.T, g *Gateway, r *recorder, now float64, sequence uint16, want, first float64) record {
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
	messages := r.of("message", "")
	_, _, records, _, ok := peerprotocol.Parse(messages[len(messages)-1].data, now)
	if !ok || len(records) != 1 {
		t.Fatal("no answer")
	}
	return records[0]
}

// The shared bucket pays for a part of a batch, and not for all of it or nothing.
func TestHardLimit_SharedBucketGrantsPartially(t *testing.T) {
	g, r := newTestGateway(t, nil)
	a := sendHardLimitReport(t, g, r, 100.31, 1, 12, 2) // 10 a second since 100: 3.1 units, reported in quarters
	if !a.SharedBucket || a.Total != 3 || a.Requested != 3 {
		t.Fatalf("granted %v of 12 with 3 in the shared part, paid %v: %+v", a.Requested, a.SharedBucket, a)
	}
	if a = sendHardLimitReport(t, g, r, 100.31, 2, 12, 2); a.SharedBucket || a.Requested != 12 {
		t.Fatalf("with an empty shared part the member's own part may pay: %+v", a)
	}
}

// Where a local bucket would hold less than half of the largest request, the shared bucket is the whole hard
// limit.
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
			t.Errorf("%d gateways: the fraction %v is shared, %v units there, %v in the local bucket", tc.gateways, got, account.hardLimit.Shared.Level, account.hardLimit.Local.Level)
		}
	}
}

// A gateway that was restarted may have spent its part of the hard limit just before.
func TestHardLimit_BucketStartsEmpty(t *testing.T) {
	g, r := newTestGateway(t, nil)
	sent := func() (n int) { return len(r.of("send", "")) }
	submit(g, 100, "first", "read", "capped", 4)
	if sent() != 0 {
		t.Fatal("units were sent with an empty bucket")
	}
	for i := range 400 {
		submit(g, 101+float64(i)*0.005, fmt.Sprint("q", i), "read", "capped", 1)
		g.HandleTimer(101+float64(i)*0.005, 1)
	}
	if most := int(20.0 / 2 * 3); sent() == 0 || sent() > most {
		t.Fatalf("%d units sent in 3 s, want some and no more than %d", sent(), most)
	}
}

// Local and shared buckets add up to the hard limit, whatever is lost or restarted.
func TestHardLimit_EnforcedThroughLossAndRestarts(t *testing.T) {
	const n = 6
	var gs [n]*Gateway
	var rs [n]*recorder
	var seen [n]int
	start := func(i int, now float64) {
		settings := testSettings()
		settings.Self, settings.Gateways, settings.Plans[1].Rate, settings.Plans[1].Burst = i, n, 1000, 4000
		rs[i], seen[i] = &recorder{}, 0
		gs[i], _ = New(settings, uint64(i), now, rs[i])
		gs[i].UpdateBackends(now, []Backend{{ID: "s1"}, {ID: "s2"}}, true)
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
		gs[i].HandleRequest(now, Request{ID: fmt.Sprint("q", k), Class: "read", Plan: "capped", Account: "c", DeadlineAt: now + 2,
			GatewayCount: n, Units: 2})
		for i := range n {
			if gs[i].HandleTimer(now, 1); k%4 != 0 {
				continue
			}
			for ; seen[i] < len(rs[i].actions); seen[i]++ {
				switch a := rs[i].actions[seen[i]]; {
				case a.kind == "send":
					units += 2
					gs[i].HandleOutcome(now, Outcome{ID: a.id, Status: OK, Completed: true, LatencyS: 0.05})
				case a.kind == "message" && seen[i]%5 != 0:
					gs[a.to].HandlePeerMessage(now, i, a.data)
				}
			}
		}
	}
	// 10 s of 20 units a second and a burst of 40.
	if units > 240 || units < 100 {
		t.Fatalf("%v units sent under a hard limit of 240", units)
	}
}
