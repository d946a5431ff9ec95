package ingress

import (
	"io"
	"net"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// Guards against a send after the news of a drain: what waits for a dial is looked at again before
// its first byte.
func TestPool_AttemptRecheckedAfterDial(t *testing.T) {
	addr, conns := listenBackend(t)
	for name, change := range map[string]func(*testIngress){
		"draining": func(r *testIngress) {
			r.ingress.applyDiscoveryList(discovery.List{Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "terminating"}}}, r.ingress.now)
		},
		"gone": func(r *testIngress) { r.ingress.applyDiscoveryList(discovery.List{Full: true}, r.ingress.now) },
		"over": func(r *testIngress) { r.ingress.Reject("a", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			dialing, free := make(chan struct{}), make(chan struct{})
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(0)(r)
				dial := r.ingress.backends.dial
				r.ingress.backends.dial = func(addr string) (net.Conn, error) {
					close(dialing)
					<-free
					return dial(addr)
				}
			})
			r.client().send(lookCommand("a")...)
			receive(t, dialing)
			r.onLoop(func() { change(r) })
			close(free)
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent {
				t.Errorf("got %+v", o)
			}
			b := receive(t, conns)
			r.onLoop(func() { r.ingress.applyDiscoveryList(discovery.List{Full: true}, r.ingress.now) }) // closes the pool
			if got := b.command(); got != nil {
				t.Errorf("the backend got %q", got)
			}
		})
	}
}

// Guards against a request written to a connection that its backend has closed while it idled,
// which would end as a reset that may have run.
func TestPool_ReuseAndLimits(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	serve := func(id string, b *testConn) {
		t.Helper()
		b.command()
		write(b, servedReply)
		if c.line() != "$1" || c.line() != "v" {
			t.Fatal("not served: " + id)
		}
		receive(t, r.decider.outcomes)
	}
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	serve("a", b)
	c.send(lookCommand("b")...)
	serve("b", b) // the same connection
	b.Close()
	r.waitFor("the pool notices the close", func() bool { return r.ingress.backends.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	r.onLoop(func() { r.ingress.now += r.ingress.backends.idleTimeoutS + 1; r.ingress.backends.sweep(r.ingress) })
	if b.command() != nil {
		t.Error("a connection that idled for long was used")
	}
}

// Guards the edge between the two ways in which a broken connection may end an attempt: a command of
// which the socket took only a part has not run, and one that is written in the end is served.
func TestPool_PartialCommandWrite(t *testing.T) {
	l, change := narrow(t)
	r := startIngress(t, testConfig(l.Addr().String()), change)
	body := strings.Repeat("x", resp.MaxValueBytes)
	post := func(id string) *testConn {
		c := r.client()
		c.send("CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", body)
		receive(t, r.decider.requests)
		return c
	}
	post("a")
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r.waitFor("a part is written", func() bool {
		a := r.ingress.requests["a"].attempts[0]
		return a.conn != nil && a.conn.written.load() == writePartial
	})
	b.Close()
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("a command that was cut off: %+v", o)
	}
	c := post("b")
	b, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	w := newTestConn(t, b)
	if args := w.command(); len(args) != 5 || args[4] != body {
		t.Error("the command did not come whole")
	}
	write(w, servedReply)
	if c.line() != "$1" || c.line() != "v" {
		t.Error("not served")
	}
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got %+v", o)
	}
}

// Guards against the second copy of an answer that is taken for the answer to the next command: a
// connection on which bytes wait, or that has ended, gets none, also before its reader has come to it.
func TestPool_StrayBytesRetireConnection(t *testing.T) {
	for name, stray := range map[string]string{"a copy": servedReply, "noise": "x", "the end": ""} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), sendTo(0))
			mine, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			old := receive(t, conns)
			if write(old, stray); stray == "" {
				old.Close()
			}
			var c *backendConn
			r.onLoop(func() { // a pooled connection whose reader has not run yet
				be := r.ingress.backends.byID["s0"]
				c = &backendConn{backend: be, dialedEndpoint: be.Endpoint, conn: mine.(*net.TCPConn)}
				c.rawConn, _ = c.conn.SyscallConn()
				c.idleSince = r.ingress.now
				be.idleConns = append(be.idleConns, c)
				r.ingress.backends.openConns++
			})
			r.waitFor("it has come", func() bool { return !c.silent() })
			client := r.client()
			client.send(lookCommand("a")...)
			b := receive(t, conns)
			if got := b.command(); len(got) != 4 {
				t.Fatalf("the new connection got %q", got)
			}
			write(b, servedReply)
			client.served("on a new connection")
			if stray != "" && old.command() != nil {
				t.Error("a command was written behind the stray bytes")
			}
		})
	}
}

// Guards against the same where the copy comes once the next command is written: no client must be served
// with it. The next command's request has failed, as its own answer can't be told any more.
func TestPool_DuplicateReplyAfterNextCommand(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.duplicateWindowS = 3600
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	write(b, servedReply)
	c.served("the first")
	receive(t, r.decider.outcomes)
	c.send(lookCommand("b")...)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the connection got %q", got)
	}
	write(b, servedReply)
	if o := receive(t, r.decider.outcomes); o.Status != policy.Error || o.Completed {
		t.Errorf("got %+v", o)
	}
	if b.command() != nil {
		t.Error("the connection is used on")
	}
}

// Guards against an answer from what stands now where a backend has been: a connection that was in use
// while its backend moved, or started anew, is not pooled.
func TestPool_MovedBackendNotPooled(t *testing.T) {
	from, old := listenBackend(t)
	to, moved := listenBackend(t)
	for name, change := range map[string]func(*discovery.Endpoint){
		"moved":     func(e *discovery.Endpoint) { e.Addr = to },
		"restarted": func(e *discovery.Endpoint) { e.StartedMS = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			r := startIngress(t, testConfig(from), sendTo(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, old)
			b.command()
			r.onLoop(func() {
				e := r.ingress.backends.byID["s0"].Endpoint
				change(&e)
				r.ingress.applyDiscoveryList(discovery.List{Endpoints: []discovery.Endpoint{e}}, r.ingress.now)
			})
			write(b, servedReply)
			c.served("the answer that was out")
			c.send(lookCommand("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = receive(t, next)
			if b.command() == nil {
				t.Fatal("the next command did not come")
			}
			write(b, servedReply)
			c.served("the next one")
		})
	}
}

// Guards against a backend taken for down, and a request for failed, where a dial fails while another
// connection has become free.
func TestPool_FailedDialUsesIdleConnection(t *testing.T) {
	addr, conns := listenBackend(t)
	fail, dialled := make(chan struct{}), make(chan struct{}, 2)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		dial, n := r.ingress.backends.dial, 0
		r.ingress.backends.dial = func(addr string) (net.Conn, error) { // one after another in this test
			n++
			dialled <- struct{}{}
			if n == 1 {
				return dial(addr)
			}
			<-fail
			return nil, io.ErrUnexpectedEOF
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	receive(t, dialled)
	c.send(lookCommand("b")...)
	receive(t, dialled)
	write(b, servedReply)
	c.served("the first")
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got %+v", o)
	}
	close(fail)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the free connection got %q", got)
	}
	write(b, servedReply)
	c.served("the second")
}

// Guards against a late second copy of a refusal or an error that is taken for what became of the next command: it would tell of another
// request that it never ran. The connection rests until a copy has come, and what does come on it then ends it.
func TestPool_DuplicateOfErrorReply(t *testing.T) {
	for _, answer := range []string{"-BUSY\r\n", "-ERR failed\r\n"} {
		t.Run(answer[:len(answer)-2], func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(0)(r)
				r.ingress.backends.duplicateWindowS = 3600
			})
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.command()
			write(b, answer)
			receive(t, r.decider.outcomes)
			c2 := r.client()
			c2.send(lookCommand("b")...)
			other := receive(t, conns) // not the one that answered last
			if got := other.command(); len(got) != 4 || got[2] != "b" {
				t.Fatalf("the new connection got %q", got)
			}
			write(b, answer)
			if b.command() != nil {
				t.Error("the connection is used on")
			}
			write(other, servedReply)
			c2.served("the second")
		})
	}
}

// Guards the same for values that come late, behind another answer, and for large ones, of which the start tells.
func TestDuplicateFilter_Seen(t *testing.T) {
	var l duplicateFilter
	a, b := []byte("a"), []byte("b")
	for i, step := range []struct {
		b    []byte
		at   float64
		want bool
	}{{a, 1, false}, {b, 1.01, false}, {a, 1.02, true}, {b, 1.02, true}, {a, 2, false}} {
		if got := l.seen(step.b, step.at, 0.1); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.duplicateWindowS = 3600
	})
	text, answer := large(resp.MaxValueBytes+1, 7)
	c := r.client()
	c.send(lookCommand("a")...)
	w := receive(t, conns)
	w.command()
	write(w, string(answer))
	if got := c.bulk(); string(got) != string(text) {
		t.Fatal("not served")
	}
	receive(t, r.decider.outcomes)
	c.send(lookCommand("b")...)
	if w.command() == nil {
		t.Fatal("no second command")
	}
	go write(w, string(answer)) // its end may be cut off
	if o := receive(t, r.decider.outcomes); o.Status != policy.Error || o.Completed {
		t.Errorf("a copy of a large value: %+v", o)
	}
}

// Guards against an unsafe request that is sent again though it runs: its last byte is out, written by a goroutine that has not said so
// yet, as it is given up.
func TestPool_LastByteWrittenBeforeReported(t *testing.T) {
	l, change := narrow(t)
	out, said := make(chan struct{}), make(chan struct{})
	r := startIngress(t, testConfig(l.Addr().String()), func(r *testIngress) {
		change(r)
		r.ingress.backends.onLastByte = func() { close(out); <-said }
	})
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", string(make([]byte, resp.MaxValueBytes)))
	receive(t, r.decider.requests)
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if args := newTestConn(t, b).command(); len(args) != 5 { // all of it is there: it runs
		t.Fatal("the command did not come whole")
	}
	receive(t, out)
	r.onLoop(func() { r.ingress.expireAttempt(r.ingress.requests["a"].attempts[0]) })
	close(said)
	if o := receive(t, r.decider.outcomes); o.Status != policy.Timeout {
		t.Errorf("given up while its last byte was out: %+v, may it be sent again?", o)
	}
}

// Guards the other side of that edge: what is given up before its last byte never goes out whole.
func TestPool_WriteAbandonedBeforeLastByte(t *testing.T) {
	mine, theirs := net.Pipe()
	defer theirs.Close()
	c := &backendConn{}
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(theirs)
		got <- b
	}()
	for range 2 {
		if !c.abandonWrite() {
			t.Fatal("nothing of it was out")
		}
	}
	c.writeRest(mine, []byte("rest"), func() bool { return true }, func() { t.Error("the last byte went out") })
	mine.Close()
	if b := receive(t, got); string(b) != "res" || !c.abandonWrite() {
		t.Errorf("%q went out", b)
	}
}
