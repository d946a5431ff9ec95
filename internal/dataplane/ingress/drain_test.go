package ingress

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A connection that is taken for one that rests, as clients are sent away, has a command on its way to the loop.
func TestDrain_CommandOnItsWayToLoop(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	c.send("PING")
	c.line()
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			c.lastUsedAt -= 1
			c.pipelinePermits <- struct{}{} // as its reader does with each command, before the loop hears of it
			r.ingress.drain.Begin(r.ingress.now - 0.6)
			r.ingress.sweepDraining()
			if c.state != connOpen {
				t.Error("it was closed with the command on its way")
			}
			<-c.pipelinePermits
			if r.ingress.sweepDraining(); c.state != connClosing {
				t.Error("a connection that rests stays")
			}
		}
	})
	if c.line() != "" {
		t.Error("no end")
	}
}

// Guards clients and the front when an ingress is drained by hand: no at once, served while they stay, nothing left.
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
		t.Fatal(got)
	}
	if r.call("GET", "/v1/readyz") == 200 {
		t.Error("ready while drained")
	}
	if idle.send("PING"); !strings.HasPrefix(idle.line(), "-") {
		t.Error("PING is still answered with yes")
	}
	late := r.client() // the front has not noticed yet
	late.send(lookCommand("late")...)
	lateB := receive(t, conns)
	lateB.command()
	r.drainSince(1.75)
	if idle.line() != "" {
		t.Error("an idle connection is kept")
	}
	for i, w := range []*testConn{busy, late} {
		write([]*testConn{b, lateB}[i], servedReply)
		if w.line() != "$1" || w.line() != "v" || w.line() != "" {
			t.Error("a request was not answered, or its connection stayed")
		}
	}
	r.waitFor("nobody is left", func() bool { return r.ingress.clients.open() == 0 })
	if r.call("POST", "/v1/ingress/activate") != 200 || r.call("GET", "/v1/readyz") != 200 {
		t.Error("not taken back")
	}
	again := r.client()
	if again.send("PING"); again.line() != "+PONG" {
		t.Error("clients are not taken again")
	}
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
			write(c, all.String())
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
			write(c, text[:20])
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
			write(c, text[20:])
			if line := c.line(); line != "$1" {
				t.Errorf("got %q", line)
			}
			if how == "drained" && (c.line() != "v" || c.line() != "") {
				t.Error("its connection stays")
			}
		})
	}
}

// Guards what operators are told of a drain: each connection's end with its reason, and what outlives the time allowed.
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
		t.Fatal(got)
	}
	r.drainSince(1.75)
	r.waitFor("the idle connection is closed", func() bool { return r.ingress.counters.closed[closeDrained] == 1 })
	r.onLoop(r.ingress.logOpenConns)
	r.onLoop(func() { r.ingress.log = slog.New(slog.DiscardHandler) })
	for _, want := range []string{
		`msg="connection closed"`, "reason=drained", `msg="drain time is over" connections=1 requests=1`,
		`msg="connection outlived the drain"`, "open=1", "reader_stopped=false", "unread_bytes=0",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%s is not in the log:\n%s", want, log.String())
		}
	}
	var counts CounterStatus
	r.onLoop(func() { counts = r.ingress.counters.status() })
	if counts.Accepted != 2 || counts.Requests != 2 || counts.Attempts != 2 || counts.Retries != 0 || counts.Closed["drained"] != 1 {
		t.Errorf("%+v", counts)
	}
}
