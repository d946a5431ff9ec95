package ingress

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

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
		r.ingress.after(0.5, func() { answered <- r.ingress.shutdown.expired }) // SIGKILL
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
	r.waitFor("it has come", func() bool { return !c.silent() })
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
	r.onLoop(func() { r.ingress.stopAccepting(); setAcceptDeadline(r.ingress.listener, expiredDeadline) }) // as if all this took long
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
	text := strings.Repeat("x", resp.MaxValueBytes)
	var backends []*testConn // each request has one of its own, as none is answered before all have come
	for range answers {
		b := receive(t, conns)
		b.command()
		backends = append(backends, b)
	}
	for _, b := range backends {
		write(b, "*3\r\n$65536\r\n"+text+"\r\n$-1\r\n$-1\r\n")
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

// Guards against requests lost at a planned restart: connections that still come are taken, and what
// was taken is answered before the process ends.
func TestShutdown_SIGTERMDrains(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.acceptFor = time.Hour // until the test says so
	})
	idle, old := r.client(), r.client()
	idle.send("PING")
	idle.line()
	old.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	r.terminate()
	late := r.client() // the listener is open for longer than connections come
	if late.send("PING"); late.line() != "+PONG" {
		t.Fatal("a connection after the signal was not served")
	}
	r.onLoop(r.ingress.stopAccepting)
	if idle.line() != "" || late.line() != "" {
		t.Error("connections between requests were not closed")
	}
	write(b, servedReply)
	if old.line() != "$1" || old.line() != "v" || old.line() != "" {
		t.Error("what was taken was not answered, or the connection stayed open")
	}
	receive(t, r.ended)

	r = startIngress(t, testConfig(addr), func(r *testIngress) { r.ingress.acceptFor = time.Millisecond })
	r.terminate()
	receive(t, r.ended) // by itself, once the time for late connections is over

	r = startIngress(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("mute")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.stopAccepting(); r.ingress.expireShutdown() })
	if got := c.line(); got != "-ERR failed" || c.line() != "" {
		t.Errorf("at the end of a drain that took too long: %q", got)
	}
	receive(t, r.ended)
}

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
		r.ingress.shutdown.closingClients = true
		r.ingress.expireShutdown()
		late, err := r.ingress.schema.Load().ParseCall(fields(lookCommand("late")))
		if err != nil {
			t.Error(err)
			return
		}
		r.ingress.inputBudget.Reserve(late.Size)
		r.ingress.acceptRequest(client, late, r.ingress.now)
		if n := r.ingress.counters.rejected[rejectDraining]; n != 1 || r.ingress.requests["late"] != nil {
			t.Errorf("%d refused", n)
		}
	})
	if n := len(r.decider.requests); n != 0 {
		t.Errorf("the module has %d requests of the time after", n)
	}
}
