package policy

import (
	"fmt"
	"testing"
)

// Guards against rejecting first attempts as client retries: when clients change their timeout, the new one must be
// recognized as a timeout of first attempts after 128 requests.
func TestClientRetry_NewTimeoutIsLearned(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	now := 100.0
	sent := func(n int, d float64) (sent int) {
		for range n {
			now += 0.02
			id := fmt.Sprint("q", now)
			g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "wide", Account: "c", DeadlineAt: now + d, GatewayCount: 1, Units: 1})
			for _, a := range r.actionsOf("send", id) {
				sent++
				g.HandleOutcome(now, Outcome{ID: id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.1})
			}
			g.HandleTimer(now, 1)
		}
		return sent
	}
	if n := sent(2000, 2); n != 2000 {
		t.Fatalf("%d of 2000 sent, want all", n)
	}
	sent(128, 0.9)
	if n := sent(200, 0.9); n != 200 {
		t.Errorf("%d of 200 sent after 128 requests with the new timeout, want all", n)
	}
}

// A client retry must be rejected once the latency objective of its first attempt is missed. First attempts with a
// short timeout must not be taken for retries.
func TestClientRetry_IsRecognized(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 40 {
		id := fmt.Sprint("q", i)
		submit(g, 100+float64(i), id, "read", "basic", 1)
		g.HandleOutcome(100+float64(i), Outcome{ID: id, Backend: r.actionsOf("send", id)[0].backend, Status: OK, Completed: true, LatencyS: 0.1})
	}
	sendOne := func(id, account string, remainingS float64) (sent, rejected int) {
		g.HandleRequest(150, Request{ID: id, Class: "read", Plan: "basic", Account: account, DeadlineAt: 150 + remainingS, GatewayCount: 1, Units: 1})
		return len(r.actionsOf("send", id)), len(r.actionsOf("reject", id))
	}
	if sent, _ := sendOne("first", "x", 0.8); sent != 1 {
		t.Fatal("a first attempt with 0.8 s left, of an account without rejections, was not sent")
	}
	g.accountFor(Request{Account: "x", Plan: "basic"}).rejectedAt = 149
	if sent, rejected := sendOne("late", "x", 0.8); sent != 0 || rejected != 1 {
		t.Fatal("a retry past its objective was not rejected")
	}
	if sent, _ := sendOne("soon", "x", 1.7); sent != 1 {
		t.Fatal("a retry that can still meet its objective was not sent")
	}
	for i := range 4 { // each takes half a second of the rate; all arrive at once
		sendOne(fmt.Sprint("many", i), "y", 2)
	}
	if sent, _ := sendOne("over", "y", 0.8); sent != 0 {
		t.Fatal("a retry past its objective, of an account over its rate, was sent")
	}
}
