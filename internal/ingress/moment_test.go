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
func TestRequestAfterTheLastAnswers(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(300))
	c := r.client()
	c.send(look("first")...)
	get(t, conns).command()
	get(t, r.mod.requests)
	r.do(func() {
		client := r.in.requests["first"].client
		client.writing = true // it does not read its answers as fast as they come
		r.in.leaving = true
		r.in.stop()
		late, err := r.in.words.Load().parseCall(fields(look("late")))
		if err != nil {
			t.Error(err)
			return
		}
		r.in.input.take(late.size)
		r.in.take(client, late, r.in.now)
		if n := r.in.counts.refused[refuseDraining]; n != 1 || r.in.requests["late"] != nil {
			t.Errorf("%d refused", n)
		}
	})
	if n := len(r.mod.requests); n != 0 {
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
func TestRequestsReadWithTheLastOne(t *testing.T) {
	for name, x := range map[string]struct {
		since float64 // of the drain
		many  int
		want  string
	}{
		"served":           {1.75, 3, "$1"},
		"refused":          {2.5, 3, "-BUSY"},
		"more than may be": {1.75, pipelineMost + 3, "$1"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listen(t)
			go serveBackend(conns)
			r := start(t, testConfig(addr), sendTo(300))
			r.drainSince(x.since)
			c := r.client()
			var all strings.Builder
			for i := range x.many {
				all.WriteString(command(look(fmt.Sprint(i))...))
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
			r.do(func() {
				for client := range r.in.clients.all {
					client.usedAt -= 1 // as if it had rested
				}
				r.in.sweepDrained()
			})
			if line := c.line(); line != "" {
				t.Errorf("behind the last one: %q", line)
			}
		})
	}
}

// Guards connections on their way to a new process: a drain that is asked for at that moment closes none of them.
func TestDrainOfAProcessThatIsReplaced(t *testing.T) {
	r := start(t, withDoor(t, "127.0.0.1:1"), nil)
	r.do(func() {
		r.in.heirs.stage = stopping
		r.in.startDrain()
		if r.in.drain.On() {
			t.Error("it is drained beside the replacement")
		}
		r.in.heirs.stage = none
		if r.in.startDrain(); !r.in.drain.On() {
			t.Error("no drain without a replacement")
		}
	})
}

// Guards the end of a drain against answers that wait in order behind a slow one: what is ahead of young requests is ended with the mildest answer
// that is true. What waits alone is left.
func TestEndOfADrainWithRequestsInLine(t *testing.T) {
	for class, want := range map[string]string{"look": "-BUSY", "hold": "-BUSY", "bill": "-ERR failed"} {
		t.Run(class, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(300))
			ask := func(c *wire, id string) {
				if class == "look" {
					c.send(look(id)...)
					return
				}
				c.send("CALL.POST", customer, id, "c="+class+",t=basic,k=1,d=300000,units=1,spread=1,first=0", "body")
			}
			inLine, alone := r.client(), r.client()
			ask(inLine, "slow")
			get(t, conns).command()
			ask(alone, "alone")
			get(t, conns).command()
			r.drainSince(2.5)
			ask(inLine, "young")
			r.until("the young one has come", func() bool { return len(r.in.requests["slow"].client.slots) == 2 })
			r.drainSince(3.7)
			r.do(func() {
				r.in.requests["alone"].client.askedAt -= 3 // it came long before
				r.in.sweepDrained()
			})
			for i, want := range []string{want, "-BUSY"} {
				if line := inLine.line(); !strings.HasPrefix(line, want) {
					t.Errorf("answer %d: %q, want %q", i, line, want)
				}
			}
			if line := inLine.line(); line != "" {
				t.Errorf("behind them: %q", line)
			}
			if q := get(t, r.mod.gone); q != "slow" {
				t.Errorf("the module was told that %q is over", q)
			}
			r.do(func() {
				if r.in.requests["alone"] == nil || r.in.requests["alone"].over {
					t.Error("what nothing waits behind was ended")
				}
			})
		})
	}
}

// Guards clients that write slowly: a connection on which a part of a request has come is no idle one, when operators drain the ingress and when its
// process ends; the request is served when it is whole.
func TestHalfARequestIsNoIdleConnection(t *testing.T) {
	for _, how := range []string{"drained", "ends"} {
		t.Run(how, func(t *testing.T) {
			addr, conns := listen(t)
			go serveBackend(conns)
			r := start(t, testConfig(addr), func(r *rig) {
				sendTo(300)(r)
				r.in.acceptFor = time.Hour // until the test says so
			})
			c := r.client()
			text := command(look("slow")...)
			io.WriteString(c, text[:20])
			r.until("a part is read", func() bool {
				for client := range r.in.clients.all {
					return client.receiving.Load()
				}
				return false
			})
			r.do(func() {
				for client := range r.in.clients.all {
					client.usedAt -= 1
				}
				if how == "drained" {
					r.in.drain.Begin(r.in.now - 1.75)
					r.in.sweepDrained()
					return
				}
				r.in.clients.closeIdle(r.in)
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
func TestTimeOfWhatLayUnread(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	for i := range pipelineMost + 1 { // the reader waits with the last of them
		c.send(look(fmt.Sprint("q", i))...)
		if i < pipelineMost {
			get(t, r.mod.requests)
		}
	}
	var blockedAt, freeAt float64
	r.do(func() { blockedAt = r.in.clock.Now() })
	c.send(look("unread")...)
	const waitS = 0.1
	r.until("it has lain for a while", func() bool { return r.in.clock.Now() > blockedAt+waitS })
	r.do(func() {
		freeAt = r.in.clock.Now()
		r.in.Fail("q0")
		r.in.Fail("q1")
	})
	get(t, r.mod.requests)
	q := get(t, r.mod.requests)
	if q.ID != "unread" {
		t.Fatalf("%+v", q)
	}
	if left := q.DeadlineS - freeAt; left > 600-waitS+0.01 {
		t.Errorf("%v s of its 600 are taken to be left after %v s unread", left, freeAt-blockedAt)
	}
}

// Guards the last byte of a command that goes out in parts: it stays back when the client has left meanwhile, which its reader does not see.
func TestClientThatLeftBeforeTheLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := start(t, testConfig(l.Addr().String()), func(r *rig) {
		sendTo(5)(r)
		dial := r.in.backends.dial
		r.in.backends.dial = func(addr string) (net.Conn, error) {
			c, err := dial(addr)
			if err == nil {
				err = c.(*net.TCPConn).SetWriteBuffer(1 << 10)
			}
			return c, err
		}
	})
	c := r.client()
	body := strings.Repeat("x", maxValue)
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", body)
	get(t, r.mod.requests)
	backend, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	backend.(*net.TCPConn).SetReadBuffer(1 << 10)
	r.do(func() { r.in.requests["a"].client.halt() })
	parts := false
	r.until("its reader has stopped, and the command is being written", func() bool {
		a := r.in.requests["a"]
		if a == nil || len(a.attempts) == 0 || a.attempts[0].conn == nil {
			return false
		}
		parts = a.attempts[0].conn.written.Load() == partly
		return a.client.parked
	})
	if !parts {
		t.Fatal("the system took the whole command at once: no occasion")
	}
	c.Close()
	r.until("its end is here", func() bool { return hungUp(r.in.requests["a"].client.raw) })
	got, _ := io.ReadAll(backend)
	if len(got) == 0 || strings.HasSuffix(string(got), body+"\r\n") {
		t.Errorf("%d bytes came: the whole command", len(got))
	}
	if o := get(t, r.mod.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("%+v", o)
	}
}

// Guards a command that comes in the moment in which its resting connection is closed for a newcomer: its client hears the end first.
func TestCommandAsItsConnectionMakesRoom(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	mine, theirs := pair(t)
	client, err := r.in.newClient(theirs)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(mine, "*1\r\n")
	r.do(func() {
		r.in.clients.room <- struct{}{}
		r.in.clients.all[client] = struct{}{}
	})
	r.until("the bytes are there", func() bool { return !silent(client.raw) })
	r.do(func() {
		if r.in.endUnread(client) || client.closed || !client.ending {
			t.Error("closed over what nobody had read")
		}
	})
	if _, err := mine.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "reset") {
		t.Errorf("its client got %v", err)
	}
	r.do(func() { r.in.closeClient(client, closeNoCapacity) })
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
	return c.(*net.TCPConn), get(t, accepted).(*net.TCPConn)
}
