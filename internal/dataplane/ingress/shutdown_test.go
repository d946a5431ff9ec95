package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/resp"
	"eiderspread/policy"
)

// Guards against a shutdown that fails open requests only after SIGKILL: SIGKILL comes earlier if the classes' deadlines are short, and a
// shutdown that did not take them into account expired long after it.
func TestShutdown_EndsBeforeSIGKILL(t *testing.T) {
	for longest, want := range map[float64]float64{0.3: 1, 1.2: 1.9, 3: 3.7, 20: 3.7} {
		cfg := testConfig("127.0.0.1:1")
		cfg.Settings.Classes[0].DeadlineS, cfg.Settings.Classes[1].DeadlineS, cfg.Settings.Classes[2].DeadlineS = 0.2, longest, 0.25
		in := &Ingress{classes: cfg.Settings.Classes}
		if got := in.killDelayS(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("longest deadline %g s: killDelayS() = %g, want %g", longest, got, want)
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
	expiredAtKill := make(chan bool, 1)
	r.onLoop(func() { // 0.5 s after the signal
		r.ingress.stopAccepting()
		r.ingress.after(0.5, func() { expiredAtKill <- r.ingress.shutdown.expired }) // SIGKILL
	})
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("open request: got %q, want -ERR failed", got)
	}
	select {
	case <-r.ended:
	case inTime := <-expiredAtKill:
		if !inTime {
			t.Error("the shutdown had not expired when SIGKILL came")
		}
	}
}

// Guards against a shutdown that closes a connection on which a request waits unread, after the last answer was written: the close would
// reset the connection, and might lose that answer too.
func TestShutdown_UnreadRequestIsServed(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	client, accepted := tcpPair(t)
	var c *clientConn
	r.onLoop(func() {
		c = r.addClientWithoutReader(accepted)
		c.answerSlots = append(c.answerSlots, &answerSlot{})
		c.pipelinePermits <- struct{}{}
	})
	client.send(lookCommand("b")...) // unread: the connection has no reader yet
	r.waitFor("the request has arrived", func() bool { return !c.silent() })
	r.onLoop(func() {
		r.ingress.stopAccepting()
		c.answerSlots[0].answer = []byte("+a\r\n")
		r.ingress.flushAnswers(c)
	})
	go c.readLoop(r.ingress)
	if a, b := client.line(), client.line(); a != "+a" || b != "-BUSY" || client.line() != "" {
		t.Errorf("got %q and %q, want +a, -BUSY and the end of the connection", a, b)
	}
	receive(t, r.ended)
}

// Guards against a listener that closes while a connection is in the kernel's accept queue: the close would reset the connection, and lose
// the request on it.
func TestShutdown_AcceptQueueIsServed(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
		for range cap(r.ingress.clients.connPermits) { // no connection is accepted until permits are released
			r.ingress.clients.connPermits <- struct{}{}
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	r.onLoop(func() { r.ingress.stopAccepting(); setAcceptDeadline(r.ingress.listener, expiredDeadline) }) // as if acceptQueuePoll had passed
	for range cap(r.ingress.clients.connPermits) {
		<-r.ingress.clients.connPermits
	}
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, want -BUSY and the end of the connection", got)
	}
	receive(t, r.ended)
	if c, err := net.Dial("tcp", r.ingress.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after the shutdown, want the listener closed")
	}
}

// Guards against a listener that closes over a connection in its queue because the polls of the queue were over before they had asked, as in a process
// that is stopped for a moment (drain-stalls, seed 3).
func TestShutdown_AcceptQueueIsServedIfPollsExpire(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
		for range cap(r.ingress.clients.connPermits) { // no connection is accepted until permits are released
			r.ingress.clients.connPermits <- struct{}{}
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	listener := r.ingress.listener
	r.onLoop(r.ingress.stopAccepting)
	expired := make(chan struct{})
	go func() {
		defer close(expired)
		for range 20_000 {
			setAcceptDeadline(listener, expiredDeadline)
		}
	}()
	for range cap(r.ingress.clients.connPermits) {
		<-r.ingress.clients.connPermits
	}
	if got := c.line(); got != "-BUSY" {
		t.Errorf("got %q, want -BUSY", got)
	}
	<-expired
}

// Guards against a shutdown that closes a new connection while its first command is in transit: a connection closed without an answer is a
// lost request.
func TestShutdown_NewConnectionMaySendFirstCommand(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	c := r.client()
	r.waitFor("the connection is accepted", func() bool { return r.ingress.clients.open() == 1 })
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			c.lastUsedAt = r.ingress.now + 3600 // recently opened, however slow the machine is
		}
		r.ingress.stopAccepting()
	})
	c.send(lookCommand("a")...)
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, want -BUSY and the end of the connection", got)
	}
	receive(t, r.ended)

	r = startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Reject(q.ID, 0) }
	})
	client, accepted := tcpPair(t)
	r.onLoop(func() { // the loop learns of the connection only after stopAccepting
		r.ingress.stopAccepting()
		c := r.addClientWithoutReader(accepted)
		c.lastUsedAt = r.ingress.now + 3600
		go c.readLoop(r.ingress)
	})
	client.send(lookCommand("a")...)
	if got := client.line(); got != "-BUSY" {
		t.Errorf("connection added after stopAccepting: got %q, want -BUSY", got)
	}
}

// Guards against answers that are cut off because the shutdown closes the connection while a goroutine still writes them.
func TestShutdown_AnswersBeingWrittenAreFinished(t *testing.T) {
	original := finalWriteS
	finalWriteS = testTimeout.Seconds()
	defer func() { finalWriteS = original }()
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
	value := strings.Repeat("x", resp.MaxValueBytes)
	var backends []*testConn // one connection for each request, as none is answered before all have arrived
	for range answers {
		b := receive(t, conns)
		b.command()
		backends = append(backends, b)
	}
	for _, b := range backends {
		write(b, "*3\r\n$65536\r\n"+value+"\r\n$-1\r\n$-1\r\n")
	}
	r.waitFor("all requests but one are answered", func() bool { return len(r.ingress.requests) == 1 })
	r.onLoop(func() {
		for c := range r.ingress.clients.conns {
			if !c.writing {
				t.Error("no write is in progress, so the test checks nothing")
			}
		}
		r.ingress.stopAccepting()
		r.ingress.expireShutdown()
	})
	for i := range answers {
		if got := c.bulk(); string(got) != value {
			t.Fatalf("answer %d: got %d bytes, want the value of %d bytes", i, len(got), len(value))
		}
	}
	if got := c.line(); got != "-ERR failed" || c.line() != "" {
		t.Errorf("last answer: got %q, want -ERR failed and the end of the connection", got)
	}
	c.Close()
	receive(t, r.ended)
}

// Guards against requests lost at a planned restart: after SIGTERM, new connections are still accepted for a while, and accepted requests
// are answered before the process ends.
func TestShutdown_SIGTERMDrains(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), func(r *testIngress) {
		sendTo(0)(r)
		r.ingress.acceptFor = time.Hour // until the test calls stopAccepting
	})
	idle, busy := r.client(), r.client()
	idle.send("PING")
	idle.line()
	busy.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	r.terminate()
	late := r.client() // the listener stays open for longer than new connections arrive
	if late.send("PING"); late.line() != "+PONG" {
		t.Fatal("a connection opened after SIGTERM was not served")
	}
	r.onLoop(r.ingress.stopAccepting)
	if idle.line() != "" || late.line() != "" {
		t.Error("idle connections were not closed")
	}
	write(b, servedReply)
	if busy.line() != "$1" || busy.line() != "v" || busy.line() != "" {
		t.Error("the open request was not answered, or its connection stayed open")
	}
	receive(t, r.ended)

	r = startIngress(t, testConfig(addr), func(r *testIngress) { r.ingress.acceptFor = time.Millisecond })
	r.terminate()
	receive(t, r.ended) // without a call of stopAccepting, once acceptFor has passed

	r = startIngress(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("mute")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.stopAccepting(); r.ingress.expireShutdown() })
	if got := c.line(); got != "-ERR failed" || c.line() != "" {
		t.Errorf("expired shutdown: got %q, want -ERR failed and the end of the connection", got)
	}
	receive(t, r.ended)
}

// Guards against a request that is accepted after the shutdown has expired, only to be cut off: a request that is read then, on a
// connection that is still being written to, is rejected.
func TestShutdown_RequestAfterExpiryRejected(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(300))
	c := r.client()
	c.send(lookCommand("first")...)
	receive(t, conns).command()
	receive(t, r.decider.requests)
	r.onLoop(func() {
		client := r.ingress.requests["first"].client
		client.writing = true // the client reads its answers more slowly than they are written
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
			t.Errorf("got %d requests rejected as draining (late request open: %t), want 1 (false)", n, r.ingress.requests["late"] != nil)
		}
	})
	if n := len(r.decider.requests); n != 0 {
		t.Errorf("the decider got %d requests after the expiry, want 0", n)
	}
}

// Guards against a client whose connection is reset at the end of a shutdown, as it sends the next request as soon as the last one is answered:
// from the expiry on a rejection is the last answer, and the end of the connection follows it.
func TestShutdown_RejectionAfterExpiryEndsConnection(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	c.send("PING")
	c.line()
	r.onLoop(func() { r.ingress.shutdown.expired = true })
	write(c, command(lookCommand("a")...)+command(lookCommand("b")...))
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer after the expiry: got %q, want -BUSY", got)
	}
	if line, err := c.r.ReadString('\n'); !errors.Is(err, io.EOF) || line != "" {
		t.Errorf("after the rejection: got %q, error %v, want the end of the connection", line, err)
	}
}
