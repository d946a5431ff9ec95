package ingress

import (
	"testing"

	"eiderspread/policy"
)

// Guards against unsent attempts and rejected requests that are not counted, or counted by a wrong reason.
func TestCounters_Rejections(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "nobody", 0) }
	})
	r.client().send(lookCommand("a")...)
	receive(t, r.decider.outcomes)
	second := r.client()
	second.send(lookCommand("a")...)
	second.line()
	var counts CounterStatus
	r.onLoop(func() { counts = r.ingress.counters.status() })
	if counts.Unsent["backend_state"] != 1 || counts.Rejected["open_id"] != 1 {
		t.Errorf("got %+v, want 1 attempt unsent for backend_state and 1 request rejected for open_id", counts)
	}
}
