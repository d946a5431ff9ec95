package policy

import (
	"fmt"
	"testing"
)

func TestRetry_NonIdempotentAfterEachOutcome(t *testing.T) {
	for _, c := range []struct {
		status Status
		want   string
	}{{Rejected, "send"}, {ConnectFailed, "send"}, {NotSent, "send"}, {Error, "fail"}, {Timeout, "fail"}, {Reset, "fail"}, {Cancelled, "fail"}} {
		g, r := newTestGateway(t, alone)
		submit(g, 100, "p", "pay", "wide", 1)
		first := r.of("send", "p")[0]
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{ID: "p", Backend: first.backend, Status: c.status, LatencyS: 0.2})
		if len(r.of(c.want, "p")) != 1 || len(r.of("send", "p"))+len(r.of("fail", "p"))+len(r.of("reject", "p")) != 1 {
			t.Errorf("status %d: want one %s, got %v", c.status, c.want, r.actions)
		}
	}
}

func TestRetry_KeyedStaysInScopeAndTTL(t *testing.T) {
	zone := map[string]string{"s1": "a", "s2": "a", "s3": "b"}
	for seed := range 20 {
		g, r := newTestGateway(t, alone)
		id := fmt.Sprint("k", seed)
		submit(g, 100, id, "put", "wide", 1)
		first := r.of("send", id)[0].backend
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{ID: id, Backend: first, Status: Reset, LatencyS: 0.2})
		for _, a := range r.of("send", id) {
			if zone[a.backend] != zone[first] {
				t.Fatalf("retried from %s at %s, in another zone", first, a.backend)
			}
		}
	}
	g, r := newTestGateway(t, alone)
	submit(g, 100, "c", "cell", "wide", 1)
	first := r.of("send", "c")[0].backend
	g.HandleOutcome(100.2, Outcome{ID: "c", Backend: first, Status: Error, LatencyS: 0.2})
	for _, a := range r.of("send", "c") {
		if a.backend != first {
			t.Fatalf("retried at %s, in another cell", a.backend)
		}
	}
	g, r = newTestGateway(t, alone)
	submit(g, 100, "t", "any", "wide", 1)
	first = r.of("send", "t")[0].backend
	g.HandleOutcome(100.6, Outcome{ID: "t", Backend: first, Status: Error, LatencyS: 0.6})
	if len(r.of("send", "t")) != 1 || len(r.of("reject", "t")) != 1 {
		t.Fatalf("after the key's TTL: want a rejection and no retry, got %v", r.actions)
	}
}

func TestRetry_FinalAnswerAfterTimeout(t *testing.T) {
	for class, want := range map[string]string{"read": "reject", "put": "fail", "any": "reject", "pay": "fail"} {
		g, r := newTestGateway(t, alone)
		submit(g, 100, "d", class, "wide", 1)
		first := r.of("send", "d")[0].backend
		r.actions = nil
		g.HandleOutcome(104, Outcome{ID: "d", Backend: first, Status: Timeout, LatencyS: 4})
		if len(r.of(want, "d")) != 1 || len(r.of("send", "d")) != 0 {
			t.Errorf("%s: want one %s in the same batch, got %v", class, want, r.actions)
		}
	}
}
