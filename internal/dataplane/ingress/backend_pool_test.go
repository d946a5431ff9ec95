package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/dataplane/sockets"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// Guards against an attempt that waits for a dial and is written although its backend has begun to drain, or its request has ended,
// meanwhile.
func TestPool_AttemptRecheckedAfterDial(t *testing.T) {
	addr, conns := listenBackend(t)
	for name, change := range map[string]func(*testIngress){
		"draining": func(r *testIngress) {
			r.ingress.applyDiscoveryList(discovery.List{Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "terminating"}}}, r.ingress.now)
		},
		"removed":           func(r *testIngress) { r.ingress.applyDiscoveryList(discovery.List{Full: true}, r.ingress.now) },
		"request completed": func(r *testIngress) { r.ingress.Reject("a", 0) },
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
				t.Errorf("got outcome %+v, want NotSent", o)
			}
			b := receive(t, conns)
			r.onLoop(func() { r.ingress.applyDiscoveryList(discovery.List{Full: true}, r.ingress.now) }) // closes the pool
			if got := b.command(); got != nil {
				t.Errorf("the backend received %q, want no command", got)
			}
		})
	}
}

// Guards against an attempt on a connection that its backend has closed while it was idle: that would end with a reset, after which
// the request may have run.
func TestPool_ReuseAndLimits(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	serve := func(id string, b *testConn) {
		t.Helper()
		b.command()
		write(b, servedReply)
		if c.line() != "$1" || c.line() != "v" {
			t.Fatalf("request %q: the client did not receive the value", id)
		}
		receive(t, r.decider.outcomes)
	}
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	serve("a", b)
	c.send(lookCommand("b")...)
	serve("b", b) // the same connection
	b.Close()
	r.waitFor("the pool has removed the connection that the backend closed", func() bool { return r.ingress.backends.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	r.onLoop(func() { r.ingress.now += r.ingress.backends.idleTimeoutS + 1; r.ingress.backends.sweep(r.ingress) })
	if b.command() != nil {
		t.Error("a connection that was idle for longer than idleTimeoutS was not closed")
	}
}

// Guards the outcome of a command that the socket takes only in parts: if the connection breaks before the last byte the attempt is
// reported as not run, and if the rest is written later it is served.
func TestPool_PartialCommandWrite(t *testing.T) {
	l, change := listenSmallBuffers(t)
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
	r.waitFor("a part of the command is written", func() bool {
		a := r.ingress.requests["a"].attempts[0]
		return a.conn != nil && a.conn.written.load() == writePartial
	})
	b.Close()
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("outcome of a command that was cut off: got %+v, want ConnectFailed", o)
	}
	c := post("b")
	b, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	w := newTestConn(t, b)
	if args := w.command(); len(args) != 5 || args[4] != body {
		t.Error("the backend did not receive the whole command")
	}
	write(w, servedReply)
	if c.line() != "$1" || c.line() != "v" {
		t.Error("the client did not receive the value")
	}
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got outcome %+v, want OK", o)
	}
}

// Guards against a duplicate reply that is taken for the reply to the next command. A connection with unread bytes, or one that has
// ended, must get no command, even if its reader has not noticed yet.
func TestPool_StrayBytesRetireConnection(t *testing.T) {
	for name, stray := range map[string]string{"duplicate": servedReply, "noise": "x", "connection end": ""} {
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
				c, _ = newBackendConn(be, be.Endpoint, mine.(*net.TCPConn))
				c.replies.idleSince = r.ingress.now
				be.idleConns = append(be.idleConns, c)
				r.ingress.backends.openConns++
			})
			r.waitFor("the stray bytes or the end are received", func() bool { return !c.silent() })
			client := r.client()
			client.send(lookCommand("a")...)
			b := receive(t, conns)
			if got := b.command(); len(got) != 4 {
				t.Fatalf("the new connection received %q, want a command of 4 parts", got)
			}
			write(b, servedReply)
			client.expectValue("request on a new connection")
			if stray != "" && old.command() != nil {
				t.Error("a command was written to the connection with stray bytes")
			}
		})
	}
}

// Guards against the same when the duplicate is received after the next command was written: no client must get it. The next
// command's attempt fails, because its own reply can no longer be told apart.
func TestPool_DuplicateReplyAfterNextCommand(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.replyLimits = replyLimits{3600, 3600, 3600}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	write(b, servedReply)
	c.expectValue("first request")
	receive(t, r.decider.outcomes)
	c.send(lookCommand("b")...)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the connection received %q, want the call with id b", got)
	}
	write(b, servedReply)
	if o := receive(t, r.decider.outcomes); o.Status != policy.Error || o.Completed {
		t.Errorf("got outcome %+v, want Error, not completed", o)
	}
	if b.command() != nil {
		t.Error("another command was written to the connection")
	}
}

// Guards against commands to the wrong process: a connection that was in use while its backend moved to another address, or
// restarted, must not be pooled.
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
			c.expectValue("request that was in flight during the change")
			c.send(lookCommand("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = receive(t, next)
			if b.command() == nil {
				t.Fatal("the new connection did not receive the next command")
			}
			write(b, servedReply)
			c.expectValue("request after the change")
		})
	}
}

// Guards against an attempt that is reported as ConnectFailed because its dial failed, although another connection to the backend
// became idle during the dial.
func TestPool_FailedDialUsesIdleConnection(t *testing.T) {
	addr, conns := listenBackend(t)
	fail, dialled := make(chan struct{}), make(chan struct{}, 2)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		dial, n := r.ingress.backends.dial, 0
		r.ingress.backends.dial = func(addr string) (net.Conn, error) { // calls do not overlap in this test, so n needs no lock
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
	c.expectValue("first request")
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got outcome %+v, want OK", o)
	}
	close(fail)
	if got := b.command(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the idle connection received %q, want the call with id b", got)
	}
	write(b, servedReply)
	c.expectValue("second request")
}

// Guards against a late duplicate of -BUSY or -ERR that is taken for the reply to the next command, which would be reported as never
// run. The connection is not reused for duplicateWindowS, and a duplicate that is received in that time ends it.
func TestPool_DuplicateOfErrorReply(t *testing.T) {
	for _, answer := range []string{"-BUSY\r\n", "-ERR failed\r\n"} {
		t.Run(answer[:len(answer)-2], func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(0)(r)
				r.ingress.backends.replyLimits = replyLimits{3600, 3600, 3600}
			})
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.command()
			write(b, answer)
			receive(t, r.decider.outcomes)
			c2 := r.client()
			c2.send(lookCommand("b")...)
			other := receive(t, conns) // a new connection, not the one that replied last
			if got := other.command(); len(got) != 4 || got[2] != "b" {
				t.Fatalf("the new connection received %q, want the call with id b", got)
			}
			write(b, answer)
			if b.command() != nil {
				t.Error("a command was written to the connection that sent a duplicate")
			}
			write(other, servedReply)
			c2.expectValue("second request")
		})
	}
}

// Guards against a second attempt for a non-idempotent request that is running: a goroutine has written the command's last byte, but
// has not yet recorded writeComplete when the attempt times out.
func TestPool_LastByteWrittenBeforeReported(t *testing.T) {
	l, change := listenSmallBuffers(t)
	out, proceed := make(chan struct{}), make(chan struct{})
	r := startIngress(t, testConfig(l.Addr().String()), func(r *testIngress) {
		change(r)
		r.ingress.backends.onLastByte = func() { close(out); <-proceed }
	})
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", string(make([]byte, resp.MaxValueBytes)))
	receive(t, r.decider.requests)
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if args := newTestConn(t, b).command(); len(args) != 5 { // the backend has the whole command and runs it
		t.Fatal("the backend did not receive the whole command")
	}
	receive(t, out)
	r.onLoop(func() { r.ingress.expireAttempt(r.ingress.requests["a"].attempts[0]) })
	close(proceed)
	if o := receive(t, r.decider.outcomes); o.Status != policy.Timeout {
		t.Errorf("outcome of a timeout after the last byte was written: got %+v, want Timeout", o)
	}
}

// Guards against a command that is written completely although its attempt ended before the last byte.
func TestPool_WriteAbandonedBeforeLastByte(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &backendConn{}
	got := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(remote)
		got <- b
	}()
	for range 2 {
		if !c.abandonWrite() {
			t.Fatal("abandonWrite returned false, although the last byte was not written")
		}
	}
	c.writeRest(local, []byte("rest"), func() bool { return true }, func() { t.Error("the last byte was written") })
	local.Close()
	if b := receive(t, got); string(b) != "res" || !c.abandonWrite() {
		t.Errorf("%q was written, want %q, and the write must stay abandoned", b, "res")
	}
}

// Guards against a reply that is taken for bytes that nobody asked for, because the reader of a new connection began before the first command was
// written and was held up (KNOWN-RED TestInputBudget_ReadersWaitForMemory): it must know of the command when it first reads.
func TestPool_ReaderOfNewConnectionKnowsFirstCommand(t *testing.T) {
	const conns = 50
	addr, backends := listenBackend(t)
	ended := make(chan struct{})
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.backends.dial = func(string) (net.Conn, error) { <-ended; return nil, net.ErrClosed } // the test brings the connections
	})
	defer close(ended)
	unaware := 0
	for i := range conns {
		r.client().send(lookCommand(fmt.Sprint("q", i))...)
		r.waitFor("the attempt waits for a connection", func() bool {
			return r.ingress.backends.byID["s0"] != nil && len(r.ingress.backends.byID["s0"].waitingAttempts) == 1
		})
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		known := make(chan bool, 1) // whether the command was known at the first read
		r.onLoop(func() {
			backend := r.ingress.backends.byID["s0"]
			c, err := newBackendConn(backend, backend.Endpoint, conn.(*net.TCPConn))
			if err != nil {
				t.Fatal(err)
			}
			c.socket = sockets.NewReader(c.rawConn, func() {
				c.replies.noteBeforeRead()
				select {
				case known <- c.replies.awaitedBeforeRead:
				default:
				}
			})
			r.ingress.handleDialed(backend, c, nil)
		})
		receive(t, backends).command()
		if !receive(t, known) {
			unaware++
		}
	}
	if unaware > 0 {
		t.Errorf("%d of %d readers began to read before the first command was written", unaware, conns)
	}
}
