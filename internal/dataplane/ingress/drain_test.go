package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/sockets"
	"eiderspread/policy"
)

// Guards against a drain that closes a connection as idle while a command from it, already read, is queued for the loop.
func TestDrain_CommandOnItsWayToLoop(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	c.send("PING")
	c.line()
	r.waitForSettledClients()
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			c.lastUsedAt -= 1
			c.pipelinePermits <- struct{}{} // as the reader does with each command, before it posts it to the loop
			r.ingress.drain.Begin(r.ingress.now - 0.6)
			r.ingress.sweepDraining()
			if c.state != connOpen {
				t.Error("the connection was closed while a command was queued for the loop")
			}
			<-c.pipelinePermits
			if r.ingress.sweepDraining(); c.state != connClosing {
				t.Error("an idle connection was not closed")
			}
		}
	})
	if c.line() != "" {
		t.Error("the client received a line, want the end of the connection")
	}
}

// Guards a drain by operators: readiness and PING fail at once, clients are served until their connections close, and no connection
// is left. Activate accepts clients again.
func TestDrain_ClosesClientsAndActivateReopens(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	idle, busy := r.client(), r.client()
	idle.send("PING")
	idle.line()
	busy.send(lookCommand("long")...)
	b := receive(t, conns)
	b.command()
	if got := r.call("POST", "/v1/ingress/drain"); got != 200 {
		t.Fatalf("POST /v1/ingress/drain: got status %d, want 200", got)
	}
	if r.call("GET", "/v1/readyz") == 200 {
		t.Error("readyz returned 200 during the drain")
	}
	if idle.send("PING"); !strings.HasPrefix(idle.line(), "-") {
		t.Error("PING was not answered with an error during the drain")
	}
	late := r.client() // the load balancer has not noticed the drain yet
	late.send(lookCommand("late")...)
	lateB := receive(t, conns)
	lateB.command()
	r.drainSince(1.75)
	if idle.line() != "" {
		t.Error("an idle connection was not closed")
	}
	for i, w := range []*testConn{busy, late} {
		write([]*testConn{b, lateB}[i], servedReply)
		if w.line() != "$1" || w.line() != "v" || w.line() != "" {
			t.Error("a request was not answered, or its connection was not closed behind the answer")
		}
	}
	r.waitFor("all connections of clients are closed", func() bool { return r.ingress.clients.open() == 0 })
	if r.call("POST", "/v1/ingress/activate") != 200 || r.call("GET", "/v1/readyz") != 200 {
		t.Error("activate or readyz after it did not return 200")
	}
	again := r.client()
	if again.send("PING"); again.line() != "+PONG" {
		t.Error("a new client's PING was not answered with PONG after activate")
	}
}

// Guards against pipelined requests that get no answer because a drain closes their connection: each is answered before the close,
// however late in the drain it was sent, and even if more were sent than maxPipelinedCommands.
func TestDrain_PipelinedRequestsAnsweredBeforeClose(t *testing.T) {
	for name, x := range map[string]struct {
		since float64 // seconds since the drain began
		many  int
		want  string
	}{
		"served":         {1.75, 3, "$1"},
		"rejected":       {2.5, 3, "-BUSY"},
		"over the limit": {1.75, maxPipelinedCommands + 3, "$1"},
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
			write(c, all.String())
			for i := range x.many {
				line := c.line()
				if !strings.HasPrefix(line, x.want) {
					t.Fatalf("answer %d of %d: got %q, want prefix %q", i, x.many, line, x.want)
				}
				if strings.HasPrefix(line, "$") {
					c.line()
				}
			}
			r.onLoop(func() {
				for client := range r.ingress.clients.conns {
					client.lastUsedAt -= 1 // as if it had been idle
				}
				r.ingress.sweepDraining()
			})
			if line := c.line(); line != "" {
				t.Errorf("after the last answer: got %q, want the end of the connection", line)
			}
		})
	}
}

// Guards against a drain that starts during a hot restart and closes connections that are in transfer to the new process, and against a call that is
// answered with yes although nobody drains (report cd2502).
func TestDrain_DuringHotRestart(t *testing.T) {
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	r.onLoop(func() {
		successor := &r.ingress.successor
		for _, tc := range []struct {
			stage    handoverStage
			features byte
			want     error
			passedOn bool // the drain goes to the successor
		}{
			{handoverPausing, 0, errNotAccepting, false},
			{handoverPausing, hotrestart.TakesDrain, nil, true},
			{handoverActive, hotrestart.TakesDrain, errNotAccepting, false},
		} {
			successor.stage, successor.features, successor.drain = tc.stage, tc.features, policy.Drain{}
			if err := r.ingress.startDrain(); !errors.Is(err, tc.want) || r.ingress.drain.Active() || successor.drain.Active() != tc.passedOn {
				t.Errorf("stage %s, features %d: error %v, drains here %t, at the successor %t; want %v, false, %t", tc.stage, tc.features, err,
					r.ingress.drain.Active(), successor.drain.Active(), tc.want, tc.passedOn)
			}
		}
		*successor = successorState{listener: successor.listener}
		if err := r.ingress.startDrain(); err != nil || !r.ingress.drain.Active() {
			t.Errorf("after the hot restart had ended: error %v, drains %t", err, r.ingress.drain.Active())
		}
	})
}

// Guards against young requests that are still unanswered at the end of a drain because their answers wait behind a slow request.
// That one is ended: rejected if a retry is harmless, otherwise failed. A slow request that no other one waits behind goes on.
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
			queued, alone := r.client(), r.client()
			ask(queued, "slow")
			receive(t, conns).command()
			ask(alone, "alone")
			receive(t, conns).command()
			r.drainSince(2.5)
			ask(queued, "young")
			r.waitFor("the young request has an answer slot", func() bool { return len(r.ingress.requests["slow"].client.answerSlots) == 2 })
			r.drainSince(3.7)
			r.onLoop(func() {
				r.ingress.requests["alone"].client.lastCallAt -= 3 // as if it had been sent long before
				r.ingress.sweepDraining()
			})
			for i, want := range []string{want, "-BUSY"} {
				if line := queued.line(); !strings.HasPrefix(line, want) {
					t.Errorf("answer %d: got %q, want prefix %q", i, line, want)
				}
			}
			if line := queued.line(); line != "" {
				t.Errorf("after the answers: got %q, want the end of the connection", line)
			}
			if q := receive(t, r.decider.disconnects); q != "slow" {
				t.Errorf("the decider was told that request %q is over, want slow", q)
			}
			r.onLoop(func() {
				if r.ingress.requests["alone"] == nil || r.ingress.requests["alone"].completed {
					t.Error("a request that no other one waits behind was ended")
				}
			})
		})
	}
}

// Guards clients that write slowly: neither a drain nor a shutdown may close a connection as idle after a part of a request has been
// received. The request is served once it is complete.
func TestDrain_PartialRequestIsNotIdle(t *testing.T) {
	for _, how := range []string{"drain", "shutdown"} {
		t.Run(how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			go serveBackend(conns)
			r := startIngress(t, testConfig(addr), func(r *testIngress) {
				sendTo(300)(r)
				r.ingress.acceptFor = time.Hour // the shutdown starts closing only when the test calls closeIdle
			})
			c := r.client()
			text := command(lookCommand("slow")...)
			write(c, text[:20])
			r.waitFor("a part of the request is read", func() bool {
				for client := range r.ingress.clients.conns {
					return client.receivingCommand.Load()
				}
				return false
			})
			r.onLoop(func() {
				for client := range r.ingress.clients.conns {
					client.lastUsedAt -= 1
				}
				if how == "drain" {
					r.ingress.drain.Begin(r.ingress.now - 1.75)
					r.ingress.sweepDraining()
					return
				}
				r.ingress.clients.closeIdle(r.ingress)
			})
			write(c, text[20:])
			if line := c.line(); line != "$1" {
				t.Errorf("got %q, want $1", line)
			}
			if how == "drain" && (c.line() != "v" || c.line() != "") {
				t.Error("the connection was not closed after the answer")
			}
		})
	}
}

// Guards against a first command that is lost because its connection ends before the command arrives (KNOWN-RED
// TestDrain_ReleasesPersistentClients): the client must read a rejection, also when it sends the command only after the end. The same goes for
// the rest of a command late in a drain.
func TestDrain_UnsentCommandIsRejected(t *testing.T) {
	closeAt := func(since float64) func(in *Ingress) {
		return func(in *Ingress) { in.drain.Begin(in.now - since); in.sweepDraining() }
	}
	shutDown := func(in *Ingress) { in.shutdown.closingClients = true; in.clients.closeIdle(in) }
	for name, tc := range map[string]struct {
		sent, rest string // before and after the connection is to be closed
		close      func(in *Ingress)
		want       string
	}{
		"first command":           {"", command(lookCommand("a")...), closeAt(3.75), "-BUSY"},
		"first command, half way": {"", command(lookCommand("a")...), closeAt(1), "$1"},
		"rest of a command":       {"*4\r\n$8\r\nCALL", ".GET\r\n", closeAt(3.75), "-BUSY"},
		"at a shutdown":           {"", command(lookCommand("a")...), shutDown, "-BUSY"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			go serveBackend(conns)
			r := startIngress(t, testConfig(addr), sendTo(300))
			c := r.client()
			write(c, tc.sent)
			r.waitFor("the connection is accepted and read", func() bool {
				for client := range r.ingress.clients.conns {
					return client.receivingCommand.Load() == (tc.sent != "")
				}
				return false
			})
			var client *clientConn
			r.onLoop(func() {
				for client = range r.ingress.clients.conns {
					client.acceptedAt, client.lastUsedAt = client.acceptedAt-1, client.lastUsedAt-1
				}
				tc.close(r.ingress)
			})
			if tc.want == "-BUSY" {
				r.waitFor("the connection is half-closed", func() bool { return client.state != connOpen })
			}
			write(c, tc.rest)
			if line := c.line(); !strings.HasPrefix(line, tc.want) {
				t.Errorf("got %q, want %s", line, tc.want)
			}
		})
	}
}

// Guards against a connection that is held beyond the end of a drain because a part of the next command has always arrived (issue 59): the part
// is answered by a rejection, and the connection ends. Earlier in the drain it is left alone.
func TestDrain_PartsOfCommandsHoldNoConnection(t *testing.T) {
	for _, since := range []float64{3.35, 3.45} {
		t.Run(fmt.Sprint(since, " s after the call"), func(t *testing.T) {
			r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
				r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
			})
			c := r.client()
			text := command(lookCommand("first")...)
			write(c, text+text[:20])
			if line := c.line(); !strings.HasPrefix(line, "-BUSY") {
				t.Fatalf("first request: got %q, want -BUSY", line)
			}
			r.waitForSettledClients()
			var client *clientConn
			r.onLoop(func() {
				for client = range r.ingress.clients.conns {
					client.acceptedAt, client.lastUsedAt = client.acceptedAt-4, r.ingress.now
				}
				r.ingress.drain.Begin(r.ingress.now - since)
				r.ingress.sweepDraining()
				if closing := client.state != connOpen; closing != (since > 3.4) {
					t.Errorf("the connection is closing: %v", closing)
				}
			})
			if line := c.line(); !strings.HasPrefix(line, "-BUSY") || c.line() != "" {
				t.Errorf("part of a command: got %q, want -BUSY and the end", line)
			}
		})
	}
}

// Guards against a request that comes in the last moments of a drain on a connection that waits for an old answer, and is held until the next look
// (report cd2502): the old request ends at once, and with it the connection.
func TestDrain_LateRequestEndsOldOneAtOnce(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	c := r.client()
	c.send(lookCommand("old")...)
	receive(t, conns).command()
	r.drainSince(3.75) // no look follows, as the drain has no timers
	c.send(lookCommand("late")...)
	for _, what := range []string{"the old request", "the late one"} {
		if line := c.line(); !strings.HasPrefix(line, "-BUSY") {
			t.Errorf("%s: got %q, want -BUSY", what, line)
		}
	}
	if line := c.line(); line != "" {
		t.Errorf("got %q, want the end of the connection", line)
	}
}

// Guards against a listener that stays open to the end of a drain because connections in its queue can't be accepted, and the check of a drain's end:
// an open listener is a violation, and none is left once the schedule has closed it.
func TestDrain_ListenerClosesWithFullTable(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		for range cap(r.ingress.clients.connPermits) {
			r.ingress.clients.connPermits <- struct{}{}
		}
	})
	waiting := r.client() // only the kernel has accepted it
	r.drainSince(3.6)
	violations := func() (n int) { return r.ingress.guardCounts.violated[policy.OpenAfterDrain] }
	r.onLoop(func() {
		r.ingress.sweepDraining()
		if r.ingress.accept == nil {
			t.Error("the listener is closed 3.6 s after the call, with a connection in its queue")
		}
	})
	r.drainSince(4.1)
	r.onLoop(func() {
		if r.ingress.checkClientsDrained(); violations() != 1 {
			t.Errorf("%d violations with an open listener, want 1", violations())
		}
		r.ingress.sweepDraining()
		if r.ingress.checkClientsDrained(); r.ingress.accept != nil || violations() != 1 {
			t.Errorf("after the look at 4.1 s: accepts %t, %d violations, want false, 1", r.ingress.accept != nil, violations())
		}
		for range cap(r.ingress.clients.connPermits) {
			<-r.ingress.clients.connPermits
		}
	})
	if line := waiting.line(); line != "" {
		t.Errorf("got %q, want the end of the connection", line)
	}
	if c, err := net.Dial("tcp", r.ingress.cfg.Listen); err == nil {
		c.Close()
		t.Error("a connection was accepted")
	}
}

// Guards an older successor, which takes clients whether or not its predecessor drained: it must get a listener that listens.
func TestDrain_OldSuccessorGetsOpenListener(t *testing.T) {
	for features, want := range map[byte]bool{0: true, hotrestart.TakesDrain: false} {
		r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
		r.drainSince(3.5)
		r.onLoop(r.ingress.sweepDraining)
		r.waitFor("the listener is closed", func() bool { return r.ingress.accept == nil })
		r.onLoop(func() {
			r.ingress.successor.features = features
			r.ingress.prepareListener()
			raw, err := r.ingress.listener.SyscallConn()
			if err != nil || sockets.Listens(raw) != want {
				t.Errorf("features %d: error %v, listens %t, want %t", features, err, !want, want)
			}
		})
	}
}

// Guards what a drain logs and counts: the end of each connection with its reason, and the connections that are still open at the
// end of the drain.
func TestDrain_LoggedAndCounted(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, adminConfig(t, addr), sendTo(0))
	var log bytes.Buffer
	r.onLoop(func() { r.ingress.log = slog.New(slog.NewTextHandler(&log, nil)) })
	slow, quick := r.client(), r.client()
	slow.send(lookCommand("slow")...)
	slowBackend := receive(t, conns)
	slowBackend.command()
	quick.send(lookCommand("quick")...)
	backend := receive(t, conns)
	backend.command()
	write(backend, servedReply)
	quick.line()
	quick.line()
	receive(t, r.decider.outcomes)
	if got := r.call("POST", "/v1/ingress/drain"); got != 200 {
		t.Fatalf("POST /v1/ingress/drain: got status %d, want 200", got)
	}
	r.drainSince(1.75)
	r.waitFor("the idle connection is closed", func() bool { return r.ingress.counters.closed[closeDrained] == 1 })
	r.onLoop(r.ingress.logOpenConns)
	r.onLoop(func() { r.ingress.log = slog.New(slog.DiscardHandler) })
	for _, want := range []string{
		`msg="connection closed"`, "reason=drained", `msg="drain time is over" connections=1 requests=1`,
		`msg="connection still open after drain"`, "open=1", "reader_stopped=false", "unread_bytes=0",
		"accepted=0", "accept_queue=0", "loop_lag=", "queued_commands=1", "receiving=false", "unwritten_bytes=0", "undelivered_bytes=0",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s:\n%s", want, log.String())
		}
	}
	var counts CounterStatus
	r.onLoop(func() { counts = r.ingress.counters.status() })
	if counts.Accepted != 2 || counts.Requests != 2 || counts.Attempts != 2 || counts.Retries != 0 || counts.Closed["drained"] != 1 {
		t.Errorf("got counters %+v, want 2 accepted, 2 requests, 2 attempts, 0 retries, 1 closed as drained", counts)
	}
}
