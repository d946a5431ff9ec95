package ingress

import (
	"io"
	"net"
	"testing"

	"eiderspread/policy"
)

// guarded returns how often a rule stopped an act, and how often it was broken.
func (r *rig) guarded(rule policy.Violation) (blocked, violated int) {
	r.do(func() { blocked, violated = r.in.guards.blocked[rule], r.in.guards.violated[rule] })
	return blocked, violated
}

// failOnce has a request of a class fail at the first backend, and returns the connection that carried it once the module knows.
func (r *rig) failOnce(class, id string, conns chan *wire) *wire {
	r.t.Helper()
	fields := "c=" + class + ",t=basic,d=300000,units=1,spread=1,first=0"
	if class == "hold" {
		fields += ",k=1"
	}
	r.client().send("CALL.POST", customer, id, fields, "body")
	b := get(r.t, conns)
	b.command()
	io.WriteString(b, "-ERR failed\r\n")
	if o := get(r.t, r.mod.outcomes); o.Status != policy.Error {
		r.t.Fatalf("%+v", o)
	}
	return b
}

// Guards the window in which a keyed request may be repeated (zone+brink: 'sent again outside its group or window'): it is looked at after the wait
// for a connection, directly before the write. With time left the same attempt is sent.
func TestRepeatThatWaitedForItsConnection(t *testing.T) {
	for name, x := range map[string]struct {
		ago  float64 // when the first attempt was written, as the dial is up
		sent bool
	}{"in time": {0.5, true}, "too late": {0.9, false}} {
		t.Run(name, func(t *testing.T) {
			first, conns := listen(t)
			second, again := listen(t)
			up := make(chan struct{})
			cfg := testConfig(first, second)
			cfg.Settings.Classes[1].KeyTTLS = 1
			r := start(t, cfg, func(r *rig) {
				sendTo(300)(r)
				dial := r.in.backends.dial
				r.in.backends.dial = func(addr string) (net.Conn, error) {
					if addr == second {
						<-up
					}
					return dial(addr)
				}
			})
			r.failOnce("hold", "a", conns)
			r.do(func() {
				r.in.Send("a", "s1", 300)
				r.in.requests["a"].attempts[0].writtenAt = r.in.clock.Now() - x.ago
			})
			close(up)
			b := get(t, again)
			if x.sent {
				if got := b.command(); len(got) != 5 || got[2] != "a" {
					t.Fatalf("got %q", got)
				}
				return
			}
			if o := get(t, r.mod.outcomes); o.Attempt != 1 || o.Status != policy.Moot {
				t.Errorf("%+v", o)
			}
			if blocked, violated := r.guarded(policy.RepeatLate); blocked != 1 || violated != 0 {
				t.Errorf("%d blocked, %d violated", blocked, violated)
			}
		})
	}
}

// Guards the rules on repeating against whoever decides: an unsafe request that may have run, and a second attempt beside one that is out,
// are not written, whatever is asked for.
func TestGuardStopsWhatMayNotBeSent(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(300))
	b := r.failOnce("bill", "a", conns)
	r.do(func() { r.in.Send("a", "s0", 300) })
	if o := get(t, r.mod.outcomes); o.Attempt != 1 || o.Status != policy.Moot {
		t.Errorf("sent again: %+v", o)
	}
	if blocked, _ := r.guarded(policy.RepeatUnsafe); blocked != 1 {
		t.Error("not by the rule on repeating")
	}
	r.client().send(look("b")...)
	b.command()
	r.do(func() { r.in.Send("b", "s0", 300) })
	if o := get(t, r.mod.outcomes); o.ID != "b" || o.Attempt != 1 || o.Status != policy.Moot {
		t.Errorf("two are out: %+v", o)
	}
	if blocked, _ := r.guarded(policy.SendWhileOut); blocked != 1 {
		t.Error("not by the rule on attempts out")
	}
}

// Guards the last byte of a command that goes out in parts: past its last moment it stays back, and the backend never begins it.
func TestLastByteAfterTheLastMoment(t *testing.T) {
	mine, theirs := net.Pipe()
	defer theirs.Close()
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(theirs)
		got <- b
	}()
	c := &backConn{}
	if c.finishWrite(mine, []byte("rest"), func() bool { return false }, func() {}) {
		t.Error("said to be out")
	}
	mine.Close()
	if b := get(t, got); string(b) != "res" || !c.neverWhole() {
		t.Errorf("%q went out", b)
	}
}

// Guards the checks that count what went wrong all the same: a connection that is closed with an answer owed, a backend that was sent to long
// after it was told to drain.
func TestViolationsAreCounted(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(300))
	r.client().send(look("a")...)
	get(t, conns).command()
	r.do(func() { r.in.closeClient(r.in.requests["a"].client, closeIdleTimeout) })
	if _, violated := r.guarded(policy.CloseOwed); violated != 1 {
		t.Error("a close with an answer owed is not counted")
	}
	r.client().send(look("b")...)
	get(t, conns).command()
	drained := targets{Servers: []target{{ID: "s0", Addr: addr, State: "terminating"}}}
	r.do(func() { r.in.takeList(drained, r.in.now-1) })
	if _, violated := r.guarded(policy.SendToDrained); violated != 1 {
		t.Error("a send to a backend that drained is not counted")
	}
	r.do(func() { r.in.takeList(drained, r.in.now) })
	if _, violated := r.guarded(policy.SendToDrained); violated != 1 {
		t.Error("one drain is counted twice")
	}
}
