package ingress

import (
	"io"
	"net"
	"testing"

	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// guardCountsOf returns how often a rule blocked an action, and how often it was broken.
func (r *testIngress) guardCountsOf(rule policy.Violation) (blocked, violated int) {
	r.onLoop(func() { blocked, violated = r.ingress.guardCounts.blocked[rule], r.ingress.guardCounts.violated[rule] })
	return blocked, violated
}

// failOnce sends a request of a class and has the backend fail its first attempt. It returns the backend's connection once the
// decider has the outcome.
func (r *testIngress) failOnce(class, id string, conns chan *testConn) *testConn {
	r.t.Helper()
	fields := "c=" + class + ",t=basic,d=300000,units=1,spread=1,first=0"
	if class == "hold" {
		fields += ",k=1"
	}
	r.client().send("CALL.POST", customer, id, fields, "body")
	b := receive(r.t, conns)
	b.command()
	write(b, "-ERR failed\r\n")
	if o := receive(r.t, r.decider.outcomes); o.Status != policy.Error {
		r.t.Fatalf("outcome of the first attempt: got %+v, want Error", o)
	}
	return b
}

// Guards against a retry of a keyed request after its idempotency key may have expired ('sent again outside its group or window' in
// the scenario zone+brink): the time left is checked directly before the write, after the wait for a connection. With time left the
// retry is sent.
func TestGuard_RetryThatWaitedForConnection(t *testing.T) {
	for name, x := range map[string]struct {
		ago  float64 // seconds from the write of the first attempt to the end of the second one's dial
		sent bool
	}{"in time": {0.5, true}, "too late": {0.9, false}} {
		t.Run(name, func(t *testing.T) {
			first, conns := listenBackend(t)
			second, again := listenBackend(t)
			up := make(chan struct{})
			cfg := testConfig(first, second)
			cfg.Settings.Classes[1].KeyTTLS = 1
			r := startIngress(t, cfg, func(r *testIngress) {
				sendTo(300)(r)
				dial := r.ingress.backends.dial
				r.ingress.backends.dial = func(addr string) (net.Conn, error) {
					if addr == second {
						<-up
					}
					return dial(addr)
				}
			})
			r.failOnce("hold", "a", conns)
			r.onLoop(func() {
				r.ingress.Send("a", "s1", 300)
				r.ingress.requests["a"].attempts[0].writeStartedAt = r.ingress.clock.Now() - x.ago
			})
			close(up)
			b := receive(t, again)
			if x.sent {
				if got := b.command(); len(got) != 5 || got[2] != "a" {
					t.Fatalf("the second backend received %q, want the call with id a", got)
				}
				return
			}
			if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
				t.Errorf("got outcome %+v, want NotSent for attempt 1", o)
			}
			if blocked, violated := r.guardCountsOf(policy.RetryAfterKeyExpiry); blocked != 1 || violated != 0 {
				t.Errorf("RetryAfterKeyExpiry: %d blocked, %d violated, want 1 and 0", blocked, violated)
			}
		})
	}
}

// Guards against forbidden attempts that a faulty decider asks for: neither a retry of a non-idempotent request that may have run,
// nor a second attempt while another one is in flight, may be written.
func TestGuard_BlocksForbiddenSends(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	b := r.failOnce("bill", "a", conns)
	r.onLoop(func() { r.ingress.Send("a", "s0", 300) })
	if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("retry of a non-idempotent request: got outcome %+v, want NotSent for attempt 1", o)
	}
	if blocked, _ := r.guardCountsOf(policy.RetryNonIdempotent); blocked != 1 {
		t.Errorf("RetryNonIdempotent: %d blocked, want 1", blocked)
	}
	r.client().send(lookCommand("b")...)
	b.command()
	r.onLoop(func() { r.ingress.Send("b", "s0", 300) })
	if o := receive(t, r.decider.outcomes); o.ID != "b" || o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("second attempt in flight: got outcome %+v, want NotSent for attempt 1 of b", o)
	}
	if blocked, _ := r.guardCountsOf(policy.SendWhileInFlight); blocked != 1 {
		t.Errorf("SendWhileInFlight: %d blocked, want 1", blocked)
	}
}

// Guards against a command that is written in parts and runs too late: after the latest start its last byte must not be written, so
// that the backend never runs it.
func TestGuard_LastByteAfterLatestStart(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(remote)
		got <- b
	}()
	c := &backendConn{}
	if c.writeRest(local, []byte("rest"), func() bool { return false }, func() {}) {
		t.Error("writeRest reported the whole command as written")
	}
	local.Close()
	if b := receive(t, got); string(b) != "res" || !c.abandonWrite() {
		t.Errorf("%q was written, want %q, and the write must be abandonable", b, "res")
	}
}

// Guards the checks that count broken rules: a client's connection that is closed before its answer, and an attempt that was written
// to a backend long after discovery reported its drain.
func TestGuard_CountsViolations(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	r.client().send(lookCommand("a")...)
	receive(t, conns).command()
	r.onLoop(func() { r.ingress.closeClient(r.ingress.requests["a"].client, closeIdleTimeout) })
	if _, violated := r.guardCountsOf(policy.CloseWithResponsePending); violated != 1 {
		t.Errorf("close with an unanswered request: counted %d times, want once", violated)
	}
	r.client().send(lookCommand("b")...)
	receive(t, conns).command()
	drained := discovery.List{Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "terminating"}}}
	r.onLoop(func() { r.ingress.applyDiscoveryList(drained, r.ingress.now-1) })
	if _, violated := r.guardCountsOf(policy.SendToDraining); violated != 1 {
		t.Errorf("write to a draining backend: counted %d times, want once", violated)
	}
	r.onLoop(func() { r.ingress.applyDiscoveryList(drained, r.ingress.now) })
	if _, violated := r.guardCountsOf(policy.SendToDraining); violated != 1 {
		t.Errorf("after the same drain was reported again: counted %d times, want once", violated)
	}
}
