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

// Tests of two events that meet at the wrong instant; docs/crossings.md has them all.

// SIGKILL comes by the settings' deadlines: with short ones, what is owed failed long after it.
func TestShutdown_EndsBeforeSIGKILL(t *testing.T) {
	for longest, want := range map[float64]float64{0.3: 1, 1.2: 1.9, 3: 3.7, 20: 3.7} {
		cfg := testConfig("127.0.0.1:1")
		cfg.Settings.Classes[0].DeadlineS, cfg.Settings.Classes[1].DeadlineS, cfg.Settings.Classes[2].DeadlineS = 0.2, longest, 0.25
		in := &Ingress{classes: cfg.Settings.Classes}
		if got := in.killDelayS(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("longest deadline %g s: killed after %g s at the earliest, want %g", longest, got, want)
		}
	}
	cfg := testConfig("127.0.0.1:1")
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].DeadlineS = 0.3
	}
	r := startIngress(t, cfg, nil)
	c := r.client()
	c.send(lookCommand("mute")...)
	receive(t, r.decider.requests)
	answered := make(chan bool, 1)
	r.onLoop(func() { // 0.5 s after the signal
		r.ingress.stopAccepting()
		r.ingress.after(0.5, func() { answered <- r.ingress.shutdownExpired }) // SIGKILL
	})
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("got %q", got)
	}
	select {
	case <-r.ended:
	case inTime := <-answered:
		if !inTime {
			t.Error("what was owed failed after the kill")
		}
	}
}

// A request waits unread on a connection whose last answer has just been written, as the ingress leaves: a close would reset it, and might
// take that answer along.
func TestShutdown_UnreadRequestIsServed(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	mine, theirs := tcpPair(t)
	var c *clientConn
	r.onLoop(func() {
		var err error
		if c, err = r.ingress.newClientConn(theirs); err != nil {
			t.Fatal(err)
		}
		r.ingress.clients.connPermits <- struct{}{}
		r.ingress.addClient(c)
		c.answerSlots = append(c.answerSlots, &answerSlot{})
		c.pipelinePermits <- struct{}{}
	})
	mine.send(lookCommand("b")...) // its reader has not come to it
	r.waitFor("it has come", func() bool { return !openAndSilent(c.rawConn) })
	r.onLoop(func() {
		r.ingress.stopAccepting()
		c.answerSlots[0].answer = []byte("+a\r\n")
		r.ingress.flushAnswers(c)
	})
	go c.readLoop(r.ingress)
	if a, b := mine.line(), mine.line(); a != "+a" || b != "-BUSY" || mine.line() != "" {
		t.Errorf("got %q and %q, or no end", a, b)
	}
	receive(t, r.ended)
}

// tcpPair is a client's end of a connection, and the other.
func tcpPair(t *testing.T) (*testConn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	mine, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, mine), theirs.(*net.TCPConn)
}

// The kernel has accepted a connection that nobody has taken as the listener closes: that resets it, and the request on it is lost.
func TestShutdown_AcceptQueueIsServed(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
		for range cap(r.ingress.clients.connPermits) { // nothing is taken until there is room
			r.ingress.clients.connPermits <- struct{}{}
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	r.onLoop(func() { r.ingress.stopAccepting(); r.ingress.listener.SetDeadline(time.Unix(pastUnixS, 0)) }) // as if all this took long
	for range cap(r.ingress.clients.connPermits) {
		<-r.ingress.clients.connPermits
	}
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, or no end", got)
	}
	receive(t, r.ended)
	if c, err := net.Dial("tcp", r.ingress.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// A connection was taken, and its first command is on its way, as the others are closed for the end: one closed with no answer is lost.
func TestShutdown_NewConnectionMaySendFirstCommand(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	c := r.client()
	r.waitFor("it is taken", func() bool { return r.ingress.clients.open() == 1 })
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			c.lastUsedAt = r.ingress.now + 3600 // just now, however long this test's machine takes
		}
		r.ingress.stopAccepting()
	})
	c.send(lookCommand("a")...)
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, or no end", got)
	}
	receive(t, r.ended)

	r = startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	mine, theirs := tcpPair(t)
	r.onLoop(func() { // known to the loop only now
		r.ingress.stopAccepting()
		c, err := r.ingress.newClientConn(theirs)
		if err != nil {
			t.Fatal(err)
		}
		r.ingress.clients.connPermits <- struct{}{}
		r.ingress.addClient(c)
		c.lastUsedAt = r.ingress.now + 3600
		go c.readLoop(r.ingress)
	})
	mine.send(lookCommand("a")...)
	if got := mine.line(); got != "-BUSY" {
		t.Errorf("taken and not known to the loop: got %q", got)
	}
}

// Answers are still being written by a goroutine as the drain ends: a close cuts them off.
func TestShutdown_AnswersBeingWrittenAreFinished(t *testing.T) {
	was := finalWriteS
	finalWriteS = testTimeout.Seconds()
	defer func() { finalWriteS = was }()
	const answers = 12
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID != "mute" {
				r.ingress.Send(q.ID, "s0", 0)
			}
		}
	})
	c := r.client()
	r.shrinkClientBuffers(c)
	for i := range answers {
		c.send(lookCommand(fmt.Sprint(i))...)
	}
	c.send(lookCommand("mute")...)
	text := strings.Repeat("x", maxValueBytes)
	for range answers {
		b := receive(t, conns)
		b.command()
		io.WriteString(b, "*3\r\n$65536\r\n"+text+"\r\n$-1\r\n$-1\r\n")
	}
	r.waitFor("all but one are answered", func() bool { return len(r.ingress.requests) == 1 })
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			if !c.writing {
				t.Error("nothing is being written: this shows nothing")
			}
		}
		r.ingress.stopAccepting()
		r.ingress.expireShutdown()
	})
	for i := range answers {
		if got := c.bulk(); string(got) != text {
			t.Fatalf("answer %d has %d bytes of %d", i, len(got), len(text))
		}
	}
	if got := c.line(); got != "-ERR failed" || c.line() != "" {
		t.Errorf("at last %q, or no end", got)
	}
	c.Close()
	receive(t, r.ended)
}

// fillPipeline has the pipeline of a client full, with more of it unread, and nothing sent on yet: its reader does not read.
func (r *testIngress) fillPipeline(c *testConn) (ids []string) {
	for i := range 4 * maxPipelinedCommands { // more than its reader's buffer holds
		ids = append(ids, fmt.Sprint("w", i))
		c.send(lookCommand(ids[i])...)
	}
	for range maxPipelinedCommands {
		receive(r.t, r.decider.requests)
	}
	var there *clientConn
	r.onLoop(func() { there = r.ingress.requests["w0"].client })
	r.waitFor("its reader waits", func() bool { return len(there.pipelinePermits) == maxPipelinedCommands })
	return ids
}

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
				r.waitFor("it has stopped", func() bool { return r.ingress.requests["w0"].client.readerStopped })
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
	r.waitFor("its reader has stopped", func() bool { return r.ingress.requests["w0"].client.readerStopped })
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

// A client's one more send, with the same id, comes before the end of the connection that it was on.
func TestRequest_SameIDBeforeDisconnectIsSeen(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	c := r.client()
	r.fillPipeline(c)
	again := r.client()
	again.send(lookCommand("w0")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("while the first is there: %q", got)
	}
	c.Close()
	r.waitFor("its end is there", func() bool { return r.ingress.requests["w0"].client.disconnected() })
	r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "s0", 0) }
	again.send(lookCommand("w0")...)
	b := receive(t, conns)
	b.command()
	io.WriteString(b, value)
	again.served("sent once more")
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
				io.WriteString(b, value)
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

// The id of a request that is over stays taken while an attempt of it is out: what comes with it again would have two out.
func TestRequest_IDOfAttemptInFlightRejected(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	c.Close()
	receive(t, r.decider.disconnects)
	again := r.client()
	again.send(lookCommand("a")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("got %q", got)
	}
	io.WriteString(b, value)
	receive(t, r.decider.outcomes)
	again.send(lookCommand("a")...)
	if got := b.command(); len(got) != 4 {
		t.Fatalf("got %q", got)
	}
	io.WriteString(b, value)
	again.served("once nothing is out")
}

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
			if c.closed || c.closing {
				t.Error("it was closed with the command on its way")
			}
			<-c.pipelinePermits
			if r.ingress.sweepDraining(); !c.closing {
				t.Error("a connection that rests stays")
			}
		}
	})
	if c.line() != "" {
		t.Error("no end")
	}
}

// A request waits while its connection's reader goes on to the next: what is sent on is its own, byte for byte.
func TestRequest_OwnsItsBytes(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("first")...)
	receive(t, r.decider.requests)
	c.send("CALL.POST", customer, "other", "c=bill,t=basic,d=300000,units=1,spread=1,first=0", "body")
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.Send("first", "s0", 300) })
	if got := receive(t, conns).command(); len(got) != 4 || got[0] != "CALL.GET" || got[2] != "first" || !strings.HasPrefix(got[3], "c=look,t=basic,d=") {
		t.Errorf("sent on: %q", got)
	}
}
