package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/dataplane/sockets"
	"eiderspread/policy"
)

// A client leaves while its request waits, and its reader does not read: nothing is sent for it 0.3 s later.
func TestAttempt_NotSentAfterClientDisconnected(t *testing.T) {
	for _, unread := range []bool{true, false} {
		t.Run(fmt.Sprint("unread ", unread), func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), nil)
			c := r.client()
			if unread {
				r.fillPipeline(c)
			} else { // stopped, as for a hand-over
				c.send(lookCommand("w0")...)
				receive(t, r.decider.requests)
				r.onLoop(func() { r.ingress.requests["w0"].client.stopReader() })
				r.waitFor("it has stopped", func() bool { return r.ingress.requests["w0"].client.reader == readerStopped })
			}
			stays := r.client()
			stays.send(lookCommand("stays")...)
			receive(t, r.decider.requests)
			c.Close()
			r.waitFor("its end is there", func() bool { return r.ingress.requests["w0"].client.disconnected() })
			r.onLoop(func() {
				r.ingress.now += 1
				r.ingress.Send("w0", "s0", 0)
				r.ingress.Send("stays", "s0", 0)
			})
			b := receive(t, conns)
			if got := b.command(); len(got) != 4 || got[2] != "stays" {
				t.Errorf("sent on: %q", got)
			}
			if id := receive(t, r.decider.disconnects); id != "w0" {
				t.Errorf("%s has gone", id)
			}
			if o := receive(t, r.decider.outcomes); o.ID != "w0" || o.Status != policy.NotSent || !o.Completed {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// The same where it waits for a connection to a backend that comes up late.
func TestAttempt_NotSentAfterDisconnectDuringDial(t *testing.T) {
	addr, conns := listenBackend(t)
	dial := make(chan struct{})
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		was := r.ingress.backends.dial
		r.ingress.backends.dial = func(addr string) (net.Conn, error) { <-dial; return was(addr) }
	})
	c := r.client()
	c.send(lookCommand("w0")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.requests["w0"].client.stopReader() })
	r.waitFor("its reader has stopped", func() bool { return r.ingress.requests["w0"].client.reader == readerStopped })
	c.Close()
	r.waitFor("its end is there", func() bool { return r.ingress.requests["w0"].client.disconnected() })
	r.onLoop(func() { r.ingress.requests["w0"].receivedAt -= 1 })
	close(dial)
	if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || !o.Completed {
		t.Errorf("got %+v", o)
	}
	next := r.client()
	next.send(lookCommand("next")...)
	if got := receive(t, conns).command(); len(got) != 4 || got[2] != "next" {
		t.Errorf("sent on: %q", got)
	}
}

// An answer, the end of its connection and a cancel stand in the loop's queue at once: the attempt ends once, by the first of them.
func TestAttempt_ReplyCloseAndCancelRace(t *testing.T) {
	for _, order := range []string{"cancel first", "answer first"} {
		t.Run(order, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startIngress(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.command()
			r.onLoop(func() { // the loop is busy while all of it comes
				write(b, servedReply)
				b.Close()
				for len(r.ingress.events) < 2 { // its reader has posted both
					time.Sleep(time.Millisecond)
				}
				if order == "cancel first" {
					r.ingress.Cancel("a", 0)
				} else {
					r.ingress.post(0, func() { r.ingress.Cancel("a", 0) })
				}
			})
			want := policy.Cancelled
			if order == "answer first" {
				want = policy.OK
			}
			if o := receive(t, r.decider.outcomes); o.Status != want {
				t.Errorf("got %+v", o)
			}
			r.onLoop(func() {}) // behind all of it
			r.waitFor("the connection has ended", func() bool { return r.ingress.backends.openConns == 0 })
			if r.onLoop(func() {}); len(r.decider.outcomes) != 0 {
				t.Errorf("and then %+v", receive(t, r.decider.outcomes))
			}
			if order == "answer first" {
				c.served("the answer")
			}
		})
	}
}

// Guards the table of outcomes: what may have run must never be told as not run, nor the reverse.
func TestAttempt_Outcomes(t *testing.T) {
	closed, conns := listenBackend(t)
	for name, tc := range map[string]struct {
		reply string // "" closes after the command
		want  policy.Status
		load  bool
	}{
		"value":            {servedReply, policy.OK, false},
		"error":            {"-ERR failed\r\n", policy.Error, false},
		"error and load":   {"-ERR failed cpu_share=0.5\r\n", policy.Error, true},
		"busy and load":    {"-BUSY cpu_share=0.5\r\n", policy.Rejected, true},
		"closed":           {"", policy.Reset, false},
		"half and closed":  {"*3\r\n$10\r\nab", policy.Reset, false},
		"noise":            {"\x00\x01\x02", policy.Error, false},
		"oversized length": {"*3\r\n$4194305\r\nab", policy.Error, false},
		"negative length":  {"*3\r\n$-7\r\n", policy.Error, false},
		"null value":       {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", policy.Error, false},
		"no array":         {"$1\r\nv\r\n", policy.Error, false},
		"empty array":      {"*0\r\n", policy.Error, false},
		"unreadable load":  {"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\n%=%\r\n", policy.OK, false},
		"value and more":   {"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$1\r\nw\r\n", policy.OK, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := startIngress(t, testConfig(closed), sendTo(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.command()
			if write(b, tc.reply); tc.reply == "" || strings.HasPrefix(name, "half") {
				b.Close()
			}
			o := receive(t, r.decider.outcomes)
			if o.Status != tc.want || o.Completed != (tc.want == policy.OK) || (o.Load != nil) != tc.load {
				t.Errorf("got %+v, want status %v", o, tc.want)
			}
			if tc.want == policy.OK {
				if c.line() != "$1" || c.line() != "v" {
					t.Error("the client did not get the value")
				}
			}
		})
	}
	t.Run("refused", func(t *testing.T) {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		l.Close()
		r := startIngress(t, testConfig(l.Addr().String()), sendTo(0))
		r.client().send(lookCommand("a")...)
		if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
			t.Errorf("got %+v", o)
		}
	})
}

// Guards against a connection that is used again after its attempt was given up: the late reply
// would answer another request.
func TestAttempt_CancelClosesConnection(t *testing.T) {
	addr, conns := listenBackend(t)
	for _, how := range []string{"timeout", "cancel"} {
		t.Run(how, func(t *testing.T) {
			r := startIngress(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.command()
			want := policy.Timeout
			if how == "cancel" {
				want = policy.Cancelled
				r.onLoop(func() { r.ingress.Cancel("a", 0); r.ingress.Cancel("a", 0) })
			} else {
				r.onLoop(func() { r.ingress.expireAttempt(r.ingress.requests["a"].attempts[0]) })
			}
			if o := receive(t, r.decider.outcomes); o.Status != want || o.Completed {
				t.Errorf("got %+v, want %v", o, want)
			}
			if b.command() != nil {
				t.Error("more was sent on a connection that was given up")
			}
			r.onLoop(func() { r.ingress.Reject("a", 0.25) })
			if got := c.line(); got != "-BUSY 250" {
				t.Errorf("client got %q", got)
			}
			if len(r.decider.outcomes) != 0 {
				t.Error("one attempt was reported twice")
			}
		})
	}
}

// Guards the probe's own path: its report reaches the module, and its connection serves on.
func TestAttempt_HealthCheck(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	r.onLoop(func() { r.ingress.Probe("s0") })
	b := receive(t, conns)
	if got := b.command(); fmt.Sprint(got) != "[INFO load]" {
		t.Fatalf("the backend got %q", got)
	}
	write(b, "$13\r\ncpu_share=0.5\r\n")
	if p := receive(t, r.decider.probed); p.Status != policy.OK || p.Load == nil || p.Load.Utilization != 0.5 {
		t.Errorf("got %+v", p)
	}
}

// Guards the last byte of a command that goes out in parts: it stays back when the client has left meanwhile, which its reader does not see.
func TestAttempt_LastByteNotSentAfterDisconnect(t *testing.T) {
	l, _ := narrow(t) // its connections have little room from the first byte on
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
	body := strings.Repeat("x", resp.MaxValueBytes)
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", body)
	receive(t, r.decider.requests)
	backend, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	r.onLoop(func() { r.ingress.requests["a"].client.stopReader() })
	parts := false
	r.waitFor("its reader has stopped, and the command is being written", func() bool {
		a := r.ingress.requests["a"]
		if a == nil || len(a.attempts) == 0 || a.attempts[0].conn == nil {
			return false
		}
		parts = a.attempts[0].conn.written.load() == writePartial
		return a.client.reader == readerStopped
	})
	if !parts {
		t.Fatal("the system took the whole command at once: no occasion")
	}
	c.Close()
	r.waitFor("its end is here", func() bool { return sockets.PeerClosed(r.ingress.requests["a"].client.rawConn) })
	got, _ := io.ReadAll(backend)
	if len(got) == 0 || strings.HasSuffix(string(got), body+"\r\n") {
		t.Errorf("%d bytes came: the whole command", len(got))
	}
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("%+v", o)
	}
}
