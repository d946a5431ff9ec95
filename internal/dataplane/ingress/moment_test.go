package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/policy"
)

// Tests of the sweep after the incident of 2026-12-02: what was decided, or looked at, in one moment and holds no longer in the next.

// Guards the last words of a process: what is read after all that was owed has failed, on a connection that is still being written to, is refused
// and not sent on to be cut off.
func TestShutdown_RequestAfterExpiryRejected(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	c := r.client()
	c.send(lookCommand("first")...)
	receive(t, conns).command()
	receive(t, r.decider.requests)
	r.onLoop(func() {
		client := r.ingress.requests["first"].client
		client.writing = true // it does not read its answers as fast as they come
		r.ingress.closingClients = true
		r.ingress.expireShutdown()
		late, err := r.ingress.vocabulary.Load().parseCall(fields(lookCommand("late")))
		if err != nil {
			t.Error(err)
			return
		}
		r.ingress.inputBudget.reserve(late.size)
		r.ingress.acceptRequest(client, late, r.ingress.now)
		if n := r.ingress.counters.rejected[rejectDraining]; n != 1 || r.ingress.requests["late"] != nil {
			t.Errorf("%d refused", n)
		}
	})
	if n := len(r.decider.requests); n != 0 {
		t.Errorf("the module has %d requests of the time after", n)
	}
}

// fields is a command's parts as a reader has them.
func fields(command []string) (args [][]byte) {
	for _, part := range command {
		args = append(args, []byte(part))
	}
	return args
}

// Guards requests that were read together with the last one of a connection: each has its answer before the end, however late in a drain they came,
// and though more of them are there than may be open at once.
func TestDrain_RequestsReadWithLastOne(t *testing.T) {
	for name, x := range map[string]struct {
		since float64 // of the drain
		many  int
		want  string
	}{
		"served":           {1.75, 3, "$1"},
		"refused":          {2.5, 3, "-BUSY"},
		"more than may be": {1.75, maxPipelinedCommands + 3, "$1"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			go serveBackend(conns)
			r := startIngress(t, testConfig(addr), sendTo(300))
			r.drainSince(x.since)
			c := r.client()
			var all strings.Builder
			for i := range x.many {
				all.WriteString(command(lookCommand(fmt.Sprint(i))...))
			}
			io.WriteString(c, all.String())
			for i := range x.many {
				line := c.line()
				if !strings.HasPrefix(line, x.want) {
					t.Fatalf("answer %d of %d: %q", i, x.many, line)
				}
				if strings.HasPrefix(line, "$") {
					c.line()
				}
			}
			r.onLoop(func() {
				for client := range r.ingress.clients.conns {
					client.lastUsedAt -= 1 // as if it had rested
				}
				r.ingress.sweepDraining()
			})
			if line := c.line(); line != "" {
				t.Errorf("behind the last one: %q", line)
			}
		})
	}
}

// Guards connections on their way to a new process: a drain that is asked for at that moment closes none of them.
func TestDrain_DuringHotRestart(t *testing.T) {
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	r.onLoop(func() {
		r.ingress.successor.stage = handoverPausing
		r.ingress.startDrain()
		if r.ingress.drain.Active() {
			t.Error("it is drained beside the replacement")
		}
		r.ingress.successor.stage = handoverNone
		if r.ingress.startDrain(); !r.ingress.drain.Active() {
			t.Error("no drain without a replacement")
		}
	})
}

// Guards the end of a drain against answers that wait in order behind a slow one: what is ahead of young requests is ended with the mildest answer
// that is true. What waits alone is left.
func TestDrain_EndsWithQueuedRequests(t *testing.T) {
	for class, want := range map[string]string{"look": "-BUSY", "hold": "-BUSY", "bill": "-ERR failed"} {
		t.Run(class, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), sendTo(300))
			ask := func(c *testConn, id string) {
				if class == "look" {
					c.send(lookCommand(id)...)
					return
				}
				c.send("CALL.POST", customer, id, "c="+class+",t=basic,k=1,d=300000,units=1,spread=1,first=0", "body")
			}
			inLine, alone := r.client(), r.client()
			ask(inLine, "slow")
			receive(t, conns).command()
			ask(alone, "alone")
			receive(t, conns).command()
			r.drainSince(2.5)
			ask(inLine, "young")
			r.waitFor("the young one has come", func() bool { return len(r.ingress.requests["slow"].client.answerSlots) == 2 })
			r.drainSince(3.7)
			r.onLoop(func() {
				r.ingress.requests["alone"].client.lastCallAt -= 3 // it came long before
				r.ingress.sweepDraining()
			})
			for i, want := range []string{want, "-BUSY"} {
				if line := inLine.line(); !strings.HasPrefix(line, want) {
					t.Errorf("answer %d: %q, want %q", i, line, want)
				}
			}
			if line := inLine.line(); line != "" {
				t.Errorf("behind them: %q", line)
			}
			if q := receive(t, r.decider.disconnects); q != "slow" {
				t.Errorf("the module was told that %q is over", q)
			}
			r.onLoop(func() {
				if r.ingress.requests["alone"] == nil || r.ingress.requests["alone"].completed {
					t.Error("what nothing waits behind was ended")
				}
			})
		})
	}
}

// Guards clients that write slowly: a connection on which a part of a request has come is no idle one, when operators drain the ingress and when its
// process ends; the request is served when it is whole.
func TestDrain_PartialRequestIsNotIdle(t *testing.T) {
	for _, how := range []string{"drained", "ends"} {
		t.Run(how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			go serveBackend(conns)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(300)(r)
				r.ingress.acceptFor = time.Hour // until the test says so
			})
			c := r.client()
			text := command(lookCommand("slow")...)
			io.WriteString(c, text[:20])
			r.waitFor("a part is read", func() bool {
				for client := range r.ingress.clients.conns {
					return client.receivingCommand.Load()
				}
				return false
			})
			r.onLoop(func() {
				for client := range r.ingress.clients.conns {
					client.lastUsedAt -= 1
				}
				if how == "drained" {
					r.ingress.drain.Begin(r.ingress.now - 1.75)
					r.ingress.sweepDraining()
					return
				}
				r.ingress.clients.closeIdle(r.ingress)
			})
			io.WriteString(c, text[20:])
			if line := c.line(); line != "$1" {
				t.Errorf("got %q", line)
			}
			if how == "drained" && (c.line() != "v" || c.line() != "") {
				t.Error("its connection stays")
			}
		})
	}
}

// Guards the time of a request that lay unread while too many others of its connection were open: it runs from when it may have come, so that
// no backend is told more of it than the client has left.
func TestClient_ArrivalTimeOfUnreadCommands(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	for i := range maxPipelinedCommands + 1 { // the reader waits with the last of them
		c.send(lookCommand(fmt.Sprint("q", i))...)
		if i < maxPipelinedCommands {
			receive(t, r.decider.requests)
		}
	}
	var blockedAt, freeAt float64
	r.onLoop(func() { blockedAt = r.ingress.clock.Now() })
	c.send(lookCommand("unread")...)
	const waitS = 0.1
	r.waitFor("it has lain for a while", func() bool { return r.ingress.clock.Now() > blockedAt+waitS })
	r.onLoop(func() {
		freeAt = r.ingress.clock.Now()
		r.ingress.Fail("q0")
		r.ingress.Fail("q1")
	})
	receive(t, r.decider.requests)
	q := receive(t, r.decider.requests)
	if q.ID != "unread" {
		t.Fatalf("%+v", q)
	}
	if left := q.DeadlineAt - freeAt; left > 600-waitS+0.01 {
		t.Errorf("%v s of its 600 are taken to be left after %v s unread", left, freeAt-blockedAt)
	}
}

// Guards the last byte of a command that goes out in parts: it stays back when the client has left meanwhile, which its reader does not see.
func TestAttempt_LastByteNotSentAfterDisconnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := startIngress(t, testConfig(l.Addr().String()), func(r *testIngress) {
		sendTo(5)(r)
		dial := r.ingress.backends.dial
		r.ingress.backends.dial = func(addr string) (net.Conn, error) {
			c, err := dial(addr)
			if err == nil {
				err = c.(*net.TCPConn).SetWriteBuffer(1 << 10)
			}
			return c, err
		}
	})
	c := r.client()
	body := strings.Repeat("x", maxValueBytes)
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", body)
	receive(t, r.decider.requests)
	backend, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	backend.(*net.TCPConn).SetReadBuffer(1 << 10)
	r.onLoop(func() { r.ingress.requests["a"].client.stopReader() })
	parts := false
	r.waitFor("its reader has stopped, and the command is being written", func() bool {
		a := r.ingress.requests["a"]
		if a == nil || len(a.attempts) == 0 || a.attempts[0].conn == nil {
			return false
		}
		parts = a.attempts[0].conn.writeProgress.Load() == writePartial
		return a.client.readerStopped
	})
	if !parts {
		t.Fatal("the system took the whole command at once: no occasion")
	}
	c.Close()
	r.waitFor("its end is here", func() bool { return peerClosed(r.ingress.requests["a"].client.rawConn) })
	got, _ := io.ReadAll(backend)
	if len(got) == 0 || strings.HasSuffix(string(got), body+"\r\n") {
		t.Errorf("%d bytes came: the whole command", len(got))
	}
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("%+v", o)
	}
}

// Guards a command that comes in the moment in which its resting connection is closed for a newcomer: its client hears the end first.
func TestClientTable_CommandDuringEviction(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	mine, theirs := pair(t)
	client, err := r.ingress.newClientConn(theirs)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(mine, "*1\r\n")
	r.onLoop(func() {
		r.ingress.clients.connPermits <- struct{}{}
		r.ingress.clients.conns[client] = struct{}{}
	})
	r.waitFor("the bytes are there", func() bool { return !openAndSilent(client.rawConn) })
	r.onLoop(func() {
		if r.ingress.halfCloseIfSilent(client) || client.closed || !client.closing {
			t.Error("closed over what nobody had read")
		}
	})
	if _, err := mine.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "reset") {
		t.Errorf("its client got %v", err)
	}
	r.onLoop(func() { r.ingress.closeClient(client, closeNoCapacity) })
}

// pair is two ends of one connection.
func pair(t *testing.T) (mine, theirs *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn), receive(t, accepted).(*net.TCPConn)
}
