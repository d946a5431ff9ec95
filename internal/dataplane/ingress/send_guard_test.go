package ingress

import (
	"io"
	"net"
	"testing"

	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// guardCountsOf returns how often a rule stopped an act, and how often it was broken.
func (r *testIngress) guardCountsOf(rule policy.Violation) (blocked, violated int) {
	r.onLoop(func() { blocked, violated = r.ingress.guardCounts.blocked[rule], r.ingress.guardCounts.violated[rule] })
	return blocked, violated
}

// failOnce has a request of a class fail at the first backend, and returns the connection that carried it once the module knows.
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
		r.t.Fatalf("%+v", o)
	}
	return b
}

// Guards the window in which a keyed request may be repeated (zone+brink: 'sent again outside its group or window'): it is looked at after the wait
// for a connection, directly before the write. With time left the same attempt is sent.
func TestGuard_RetryThatWaitedForConnection(t *testing.T) {
	for name, x := range map[string]struct {
		ago  float64 // when the first attempt was written, as the dial is up
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
					t.Fatalf("got %q", got)
				}
				return
			}
			if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
				t.Errorf("%+v", o)
			}
			if blocked, violated := r.guardCountsOf(policy.RetryAfterKeyExpiry); blocked != 1 || violated != 0 {
				t.Errorf("%d blocked, %d violated", blocked, violated)
			}
		})
	}
}

// Guards the rules on repeating against whoever decides: an unsafe request that may have run, and a second attempt beside one that is out,
// are not written, whatever is asked for.
func TestGuard_BlocksForbiddenSends(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	b := r.failOnce("bill", "a", conns)
	r.onLoop(func() { r.ingress.Send("a", "s0", 300) })
	if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("sent again: %+v", o)
	}
	if blocked, _ := r.guardCountsOf(policy.RetryNonIdempotent); blocked != 1 {
		t.Error("not by the rule on repeating")
	}
	r.client().send(lookCommand("b")...)
	b.command()
	r.onLoop(func() { r.ingress.Send("b", "s0", 300) })
	if o := receive(t, r.decider.outcomes); o.ID != "b" || o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("two are out: %+v", o)
	}
	if blocked, _ := r.guardCountsOf(policy.SendWhileInFlight); blocked != 1 {
		t.Error("not by the rule on attempts out")
	}
}

// Guards the last byte of a command that goes out in parts: past its last moment it stays back, and the backend never begins it.
func TestGuard_LastByteAfterLatestStart(t *testing.T) {
	mine, theirs := net.Pipe()
	defer theirs.Close()
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(theirs)
		got <- b
	}()
	c := &backendConn{}
	if c.writeRest(mine, []byte("rest"), func() bool { return false }, func() {}) {
		t.Error("said to be out")
	}
	mine.Close()
	if b := receive(t, got); string(b) != "res" || !c.abandonWrite() {
		t.Errorf("%q went out", b)
	}
}

// Guards the checks that count what went wrong all the same: a connection that is closed with an answer owed, a backend that was sent to long
// after it was told to drain.
func TestGuard_CountsViolations(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	r.client().send(lookCommand("a")...)
	receive(t, conns).command()
	r.onLoop(func() { r.ingress.closeClient(r.ingress.requests["a"].client, closeIdleTimeout) })
	if _, violated := r.guardCountsOf(policy.CloseWithResponsePending); violated != 1 {
		t.Error("a close with an answer owed is not counted")
	}
	r.client().send(lookCommand("b")...)
	receive(t, conns).command()
	drained := discovery.List{Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "terminating"}}}
	r.onLoop(func() { r.ingress.applyDiscoveryList(drained, r.ingress.now-1) })
	if _, violated := r.guardCountsOf(policy.SendToDraining); violated != 1 {
		t.Error("a send to a backend that drained is not counted")
	}
	r.onLoop(func() { r.ingress.applyDiscoveryList(drained, r.ingress.now) })
	if _, violated := r.guardCountsOf(policy.SendToDraining); violated != 1 {
		t.Error("one drain is counted twice")
	}
}
