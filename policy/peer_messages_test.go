package policy

import (
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/failuredetector"
)

// Guards against false suspicion: after a stall of its own process, a gateway must not count an owner as silent.
func TestFailureDetector_OwnStallIsNotPeerSilence(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(100))
	submit(100, "q", 2)
	first := r.actionsOf("message", "")[0].to
	g.HandleTimer(100.5, 1)
	if !g.peerAlive(first) || len(r.actionsOf("message", "")) != 1 {
		t.Fatal("after a stall of its own the gateway suspects the owner, or has sent the report again")
	}
	from, message := ownerReply(t, r, 1, func(reply *record) { reply.Total += 2 })
	g.HandlePeerMessage(100.5, from, message)
	if len(r.actionsOf("send", "q")) != 1 {
		t.Fatal("the request was not sent after the owner's reply")
	}
}

// A backend's utilization and error scores must reach another gateway with a message, and be forwarded by it.
func TestGossip_BackendStateIsForwarded(t *testing.T) {
	a, ra, submit := newQuotaMember(t, withGateways(100))
	b, rb := newTestGateway(t, func(settings *Settings) { settings.Gateways, settings.Self = 100, 1 })
	a.recordFailure(a.backends.ByID["s2"], a.classes["pay"], 1)
	a.applyLoadReport(a.backends.ByID["s1"], &Load{Utilization: 0.6})
	submit(100, "q", 2)
	b.HandlePeerMessage(100.01, 0, ra.actionsOf("message", "")[0].data)
	if b.backends.ByID["s2"].ErrorScore(b.classes["pay"].index, b.now) < 0.9 || b.backends.ByID["s2"].ErrorScore(b.classes["read"].index, b.now) > 0 {
		t.Fatal("the error score did not reach the other gateway for its class alone")
	}
	if u := b.backends.ByID["s1"].utilization; u < 0.59 || u > 0.61 {
		t.Fatalf("received utilization = %v, want 0.6", u)
	}
	_, _, _, entries, _ := peerprotocol.Parse(rb.actionsOf("message", "")[0].data, 100)
	if len(entries) != 2 {
		t.Fatalf("forwarded %d entries, want 2", len(entries))
	}
	old := b.backends.ByID["s1"].utilizationAt
	if b.applyGossip(peerprotocol.GossipEntry{BackendHash: b.backends.ByID["s1"].ShortHash, ClassTag: peerprotocol.UtilizationTag, Value: 0.1, At: old - 1}); b.backends.ByID["s1"].utilization < 0.5 {
		t.Fatal("an older entry replaced a newer one")
	}
}

// A request must cost at most two messages, a quota request and its reply, however many gateways there are.
func TestPeerMessages_PerRequestNotPerGateway(t *testing.T) {
	g, r, submit := newQuotaMember(t, withGateways(500))
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if n := len(r.actionsOf("message", "")); n != 0 {
		t.Fatalf("%d messages without a request, want 0", n)
	}
	submit(102, "q", 2)
	if n := len(r.actionsOf("message", "")); n != 1 {
		t.Fatalf("%d messages for a request, want 1", n)
	}
}

func TestFailureDetector_SilentOwnerIsSkipped(t *testing.T) {
	g, _, submit := newQuotaMember(t, nil)
	account := submit(100, "q", 1)
	for range 4 {
		g.failureDetector.RecordUnanswered(1, 100)
	}
	if g.owner(account) != 0 {
		t.Fatal("a silent owner is not skipped")
	}
	if g.now = 100 + failuredetector.SuspicionS + 0.01; g.owner(account) != 1 {
		t.Fatal("the primary owner is not the owner again after the suspicion has ended")
	}
}
