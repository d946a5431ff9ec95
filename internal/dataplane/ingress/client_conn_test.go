package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// Guards against connections that stay open for nothing: silence and half a command get an error and
// the end, also behind a request that is still open, which is answered all the same.
func TestClient_SilentOrPartialCommandTimesOut(t *testing.T) {
	const want = "-ERR no whole command in time"
	for name, tc := range map[string]struct{ before, half string }{
		"silence": {}, "half": {half: "*4\r\n$8\r\nCALL"}, "header": {half: "*"},
		"behind another": {command("PING"), "*1\r\n$4\r\nPI"},
	} {
		t.Run(name, func(t *testing.T) {
			r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
				if tc.before == "" { // else it is short from then on that this has been read
					r.ingress.clients.commandTimeout = time.Millisecond
				}
			})
			c := r.client()
			if tc.before != "" {
				write(c, tc.before)
				if got := c.line(); got != "+PONG" {
					t.Fatalf("got %q", got)
				}
				r.onLoop(func() { r.ingress.clients.commandTimeout = time.Millisecond })
			}
			write(c, tc.half)
			if got := c.line(); got != want || c.line() != "" {
				t.Errorf("got %q, want %q and the end", got, want)
			}
			c.Close()
			r.waitFor("it is gone", func() bool { return r.ingress.clients.open() == 0 && len(r.ingress.clients.connPermits) == 1 })
		})
	}
	t.Run("behind an open request", func(t *testing.T) {
		r := startIngress(t, testConfig("127.0.0.1:1"), nil)
		c := r.client()
		write(c, command(lookCommand("a")...))
		receive(t, r.decider.requests)
		r.onLoop(func() { r.ingress.clients.commandTimeout = time.Millisecond })
		write(c, "*1")
		r.waitFor("the error waits", func() bool {
			q := r.ingress.requests["a"]
			return q != nil && len(q.client.answerSlots) == 2
		})
		r.onLoop(func() { r.ingress.Fail("a") })
		if a, b := c.line(), c.line(); a != "-ERR failed" || b != want || c.line() != "" {
			t.Errorf("got %q, then %q", a, b)
		}
	})
}

// Guards against a request that is lost with the junk behind it: however much of that comes, the
// connection stays until what it asked for before is answered.
func TestClient_JunkAfterRequest(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	write(c, command(lookCommand("a")...)+"*1\r\n$60000000\r\n")
	receive(t, r.decider.requests)
	write(c, strings.Repeat("x", maxDiscardBytes))
	r.waitFor("enough is read", func() bool {
		q := r.ingress.requests["a"]
		return q != nil && q.client.discardDone
	})
	r.onLoop(func() { r.ingress.Fail("a") })
	if a, b := c.line(), c.line(); a != "-ERR failed" || !strings.Contains(b, "value over 64 KiB") || c.line() != "" {
		t.Errorf("got %q, then %q", a, b)
	}
	if len(r.decider.disconnects) != 0 {
		t.Error("the module was told that the client had left")
	}
}

// Guards the loop against a client that sends bad commands for as long as it is answered.
func TestClient_BadCommandLimit(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	write(c, strings.Repeat(command("NOVEL"), 100*maxBadCommands))
	for i := range maxBadCommands {
		if got := c.line(); got != `-ERR unknown command "NOVEL"` {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
	if got := c.line(); got != "" {
		t.Errorf("behind the last error came %q", got)
	}
}

// Guards against clients that ask once and keep their connection for good.
func TestClient_IdleTimeout(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	busy, idle := r.client(), r.client()
	busy.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	idle.send("PING")
	idle.line()
	r.onLoop(func() { r.ingress.now += clientIdleTimeoutS + 1; r.ingress.clients.sweep(r.ingress) })
	if idle.line() != "" {
		t.Error("the idle connection is open")
	}
	r.onLoop(func() { r.ingress.Fail("a") })
	if got := busy.line(); got != "-ERR failed" {
		t.Errorf("the connection with an open request got %q", got)
	}
}

// Guards against answers out of order or given twice: a connection's answers come in the order of
// its commands whatever the order of the decisions, and the first one for a request stands.
func TestClient_PipelinedAnswersOnceInOrder(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	write(c, command(lookCommand("a")...)+command(lookCommand("b")...)+command("PING")+command("SELECT", "0"))
	receive(t, r.decider.requests)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.Reject("b", 1); r.ingress.Fail("b"); r.ingress.Fail("a"); r.ingress.Reject("a", 1) })
	c.send("PING")
	for i, want := range []string{"-ERR failed", "-BUSY 1000", "+PONG", "-ERR unknown command \"SELECT\"", "+PONG"} {
		if got := c.line(); got != want {
			t.Errorf("answer %d is %q, want %q", i, got, want)
		}
	}
}

// Guards against a module that goes on working for a client that has left.
func TestClient_DisconnectReachesDecider(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	c.Close()
	if id := receive(t, r.decider.disconnects); id != "a" {
		t.Errorf("gone: %q", id)
	}
	write(b, servedReply)
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK || !o.Completed {
		t.Errorf("got %+v", o)
	}
}

// Guards against a crash or a hang on what can't be read.
func TestClient_BadInput(t *testing.T) {
	const fields = "c=look,t=basic,d=100,units=2,spread=2,first=1"
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	for want, in := range map[string]string{
		"-ERR Protocol error: expected '*'":           "GET / HTTP/1.1\r\n",
		"-ERR Protocol error: invalid length":         "*2\r\n$-2\r\nab\r\n",
		"-ERR Protocol error: invalid number":         "*-1\r\n",
		"-ERR Protocol error: invalid number of ":     "*99999999\r\n",
		"-ERR Protocol error: value over 64 KiB":      "*5\r\n$65537\r\n",
		"-ERR Protocol error: value and length":       "*1\r\n$1\r\nabc\r\n",
		"-ERR Protocol error: line too long":          "*" + strings.Repeat("1", 2<<10),
		"-ERR Protocol error: malformed line":         "*1\n",
		"-ERR empty command":                          "*0\r\n",
		"-ERR unknown command \"NOVEL\"":              command("NOVEL"),
		"-ERR wrong number of arguments for CALL.GET": command("CALL.GET", customer),
		"-ERR customer must be":                       command("CALL.GET", "00000002b4d65521", "a", fields),
		"-ERR the request's id":                       command("CALL.GET", customer, "", fields),
		"-ERR field d: invalid value \"soon\"":        command("CALL.GET", customer, "a", strings.Replace(fields, "100", "soon", 1)),
		"-ERR field d: invalid value \"NaN\"":         command("CALL.GET", customer, "a", strings.Replace(fields, "100", "NaN", 1)),
		"-ERR field c: invalid value":                 command("CALL.GET", customer, "a", strings.Replace(fields, "look", "x", 1)),
		"-ERR field t: invalid value":                 command("CALL.GET", customer, "a", strings.Replace(fields, "basic", "x", 1)),
		"-ERR field units: invalid value":             command("CALL.GET", customer, "a", strings.Replace(fields, "units=2", "units=-2", 1)),
		"-ERR field spread: invalid value":            command("CALL.GET", customer, "a", strings.Replace(fields, "spread=2", "spread=3", 1)),
		"-ERR field first: invalid value":             command("CALL.GET", customer, "a", strings.Replace(fields, "first=1", "first=2", 1)),
		"-ERR field first is missing":                 command("CALL.GET", customer, "a", strings.TrimSuffix(fields, ",first=1")),
		"-ERR field c is given twice":                 command("CALL.GET", customer, "a", fields+",c=look"),
		"-ERR malformed field":                        command("CALL.GET", customer, "a", fields+","),
		"-ERR class bill does not go with CALL.GET":   command("CALL.GET", customer, "a", strings.Replace(fields, "look", "bill", 1)),
		"-ERR field k is missing":                     command("CALL.POST", customer, "a", strings.Replace(fields, "look", "hold", 1), ""),
	} {
		c := r.client()
		write(c, in)
		if got := c.line(); !strings.HasPrefix(got, want) {
			t.Errorf("%q: got %q, want %q", in[:min(len(in), 60)], got, want)
			continue
		}
		if strings.Contains(want, "Protocol") {
			if got := c.line(); got != "" {
				t.Errorf("%q: %q behind the error", in, got)
			}
			continue
		}
		if c.send("PING"); c.line() != "+PONG" {
			t.Errorf("%q: the connection is of no use afterwards", in)
		}
	}
	if len(r.decider.requests) != 0 {
		t.Error("the module was asked about what could not be read")
	}
}

// Guards answers that come long after one that the socket took in parts: that one's time limit must not end them.
func TestClient_SlowWriteClearsDeadline(t *testing.T) {
	defer func(was time.Duration) { clientWriteTimeout = was }(clientWriteTimeout)
	clientWriteTimeout = 300 * time.Millisecond
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	r.shrinkClientBuffers(w)
	text := strings.Repeat("v", resp.MaxValueBytes)
	go serveBackendWith(conns, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", resp.MaxValueBytes, text))
	for i := range 12 {
		w.send(lookCommand(fmt.Sprint("a", i))...)
	}
	r.waitFor("a write goes on", func() bool {
		for c := range r.ingress.clients.conns {
			return c.writing
		}
		return false
	})
	for range 12 {
		if got := w.bulk(); len(got) != resp.MaxValueBytes {
			t.Fatal(len(got))
		}
	}
	r.waitFor("all is written", func() bool {
		for c := range r.ingress.clients.conns {
			return !c.writing
		}
		return false
	})
	// A write that begins now, with the same limit and nobody who reads, ends after that of the one that is over.
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	noError(t, near.SetWriteDeadline(time.Now().Add(clientWriteTimeout)))
	if _, err := near.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if w.send("PING"); w.line() != "+PONG" {
		t.Fatal("the connection was ended")
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
