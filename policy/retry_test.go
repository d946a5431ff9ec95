package policy

import (
	"fmt"
	"testing"
)

// A request of a NonIdempotent class must not run twice: it is retried only after outcomes that prove that the
// attempt did not run, and fails after all others.
func TestRetry_NonIdempotentAfterEachOutcome(t *testing.T) {
	for _, tc := range []struct {
		status Status
		want   string
	}{{Rejected, "send"}, {ConnectFailed, "send"}, {NotSent, "send"}, {Error, "fail"}, {Timeout, "fail"}, {Reset, "fail"}, {Cancelled, "fail"}} {
		g, r := newTestGateway(t, singleGateway)
		submit(g, 100, "p", "pay", "wide", 1)
		first := r.actionsOf("send", "p")[0]
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{ID: "p", Backend: first.backend, Status: tc.status, LatencyS: 0.2})
		if len(r.actionsOf(tc.want, "p")) != 1 || len(r.actionsOf("send", "p"))+len(r.actionsOf("fail", "p"))+len(r.actionsOf("reject", "p")) != 1 {
			t.Errorf("after status %d: want one %s, got actions %v", tc.status, tc.want, r.actions)
		}
	}
}

// Backends drop repeats of an idempotency key only within its scope and until its TTL ends. A retry outside of
// either could run the request twice.
func TestRetry_KeyedStaysInScopeAndTTL(t *testing.T) {
	zone := map[string]string{"s1": "a", "s2": "a", "s3": "b"}
	for seed := range 20 {
		g, r := newTestGateway(t, singleGateway)
		id := fmt.Sprint("k", seed)
		submit(g, 100, id, "put", "wide", 1)
		first := r.actionsOf("send", id)[0].backend
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{ID: id, Backend: first, Status: Reset, LatencyS: 0.2})
		for _, a := range r.actionsOf("send", id) {
			if zone[a.backend] != zone[first] {
				t.Fatalf("first attempt at %s, retry at %s in another zone", first, a.backend)
			}
		}
	}
	g, r := newTestGateway(t, singleGateway)
	submit(g, 100, "c", "cell", "wide", 1)
	first := r.actionsOf("send", "c")[0].backend
	g.HandleOutcome(100.2, Outcome{ID: "c", Backend: first, Status: Error, LatencyS: 0.2})
	for _, a := range r.actionsOf("send", "c") {
		if a.backend != first {
			t.Fatalf("retry at %s, in another cell than the first attempt", a.backend)
		}
	}
	g, r = newTestGateway(t, singleGateway)
	submit(g, 100, "t", "any", "wide", 1)
	first = r.actionsOf("send", "t")[0].backend
	g.HandleOutcome(100.6, Outcome{ID: "t", Backend: first, Status: Error, LatencyS: 0.6})
	if len(r.actionsOf("send", "t")) != 1 || len(r.actionsOf("reject", "t")) != 1 {
		t.Fatalf("after the key's TTL: want a rejection and no retry, got actions %v", r.actions)
	}
}

// A request whose attempt times out at the deadline gets its final answer at once. It may be rejected only if a
// retry by the client is harmless, and must fail otherwise.
func TestRetry_FinalAnswerAfterTimeout(t *testing.T) {
	for class, want := range map[string]string{"read": "reject", "put": "fail", "any": "reject", "pay": "fail"} {
		g, r := newTestGateway(t, singleGateway)
		submit(g, 100, "d", class, "wide", 1)
		first := r.actionsOf("send", "d")[0].backend
		r.actions = nil
		g.HandleOutcome(104, Outcome{ID: "d", Backend: first, Status: Timeout, LatencyS: 4})
		if len(r.actionsOf(want, "d")) != 1 || len(r.actionsOf("send", "d")) != 0 {
			t.Errorf("class %s: want one %s at once, got actions %v", class, want, r.actions)
		}
	}
}
