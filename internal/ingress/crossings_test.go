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
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for longest, want := range map[float64]float64{0.3: 1, 1.2: 1.9, 3: 3.7, 20: 3.7} {
		cfg := testConfig("127.0.0.1:1")
		cfg.Settings.Classes[0].DeadlineS, cfg.Settings.Classes[1].DeadlineS, cfg.Settings.Classes[2].DeadlineS = 0.2, longest, 0.25
		in := &Ingress{classes: cfg.Settings.Classes}
		if got := in.killAfter(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("longest deadline %g s: killed after %g s at the earliest, want %g", longest, got, want)
		}
	}
	cfg := testConfig("127.0.0.1:1")
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].DeadlineS = 0.3
	}
	r := start(t, cfg, nil)
	c := r.client()
	c.send(look("mute")...)
	get(t, r.mod.requests)
	answered := make(chan bool, 1)
	r.do(func() { // 0.5 s after the signal
		r.in.leave()
		r.in.after(0.5, func() { answered <- r.in.stopped }) // SIGKILL
	})
	if got := c.line(); got != "-ERR failed" {
		t.Errorf("got %q", got)
	}
	select {
	case <-r.end:
	case inTime := <-answered:
		if !inTime {
			t.Error("what was owed failed after the kill")
		}
	}
}

// A request waits unread on a connection whose last answer has just been written, as the ingress leaves: a close would reset it, and might
// take that answer along.
func TestUnreadRequestAsItLeaves(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Refuse(q.ID, 0) }
	})
	mine, theirs := tcpPair(t)
	var c *client
	r.do(func() {
		var err error
		if c, err = r.in.newClient(theirs); err != nil {
			t.Fatal(err)
		}
		r.in.clients.room <- struct{}{}
		r.in.addClient(c)
		c.slots = append(c.slots, &slot{})
		c.permits <- struct{}{}
	})
	mine.send(look("b")...) // its reader has not come to it
	r.until("it has come", func() bool { return !silent(c.raw) })
	r.do(func() {
		r.in.leave()
		c.slots[0].answer = []byte("+a\r\n")
		r.in.flush(c)
	})
	go c.read(r.in)
	if a, b := mine.line(), mine.line(); a != "+a" || b != "-BUSY" || mine.line() != "" {
		t.Errorf("got %q and %q, or no end", a, b)
	}
	get(t, r.end)
}

// tcpPair is a client's end of a connection, and the other.
func tcpPair(t *testing.T) (*wire, *net.TCPConn) {
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
	return newWire(t, mine), theirs.(*net.TCPConn)
}

// The kernel has accepted a connection that nobody has taken as the listener closes: that resets it, and the request on it is lost.
func TestAcceptedByTheKernelAlone(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Refuse(q.ID, 0) }
		for range cap(r.in.clients.room) { // nothing is taken until there is room
			r.in.clients.room <- struct{}{}
		}
	})
	c := r.client()
	c.send(look("a")...)
	r.do(func() { r.in.leave(); r.in.listener.SetDeadline(time.Unix(pastTime, 0)) }) // as if all this took long
	for range cap(r.in.clients.room) {
		<-r.in.clients.room
	}
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, or no end", got)
	}
	get(t, r.end)
	if c, err := net.Dial("tcp", r.in.listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// A connection was taken, and its first command is on its way, as the others are closed for the end: one closed with no answer is lost.
func TestNewConnectionAsItLeaves(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Refuse(q.ID, 0) }
	})
	c := r.client()
	r.until("it is taken", func() bool { return r.in.clients.open() == 1 })
	r.do(func() {
		for c := range r.in.clients.all {
			c.usedAt = r.in.now + 3600 // just now, however long this test's machine takes
		}
		r.in.leave()
	})
	c.send(look("a")...)
	if got := c.line(); got != "-BUSY" || c.line() != "" {
		t.Errorf("got %q, or no end", got)
	}
	get(t, r.end)

	r = start(t, testConfig("127.0.0.1:1"), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Refuse(q.ID, 0) }
	})
	mine, theirs := tcpPair(t)
	r.do(func() { // known to the loop only now
		r.in.leave()
		c, err := r.in.newClient(theirs)
		if err != nil {
			t.Fatal(err)
		}
		r.in.clients.room <- struct{}{}
		r.in.addClient(c)
		c.usedAt = r.in.now + 3600
		go c.read(r.in)
	})
	mine.send(look("a")...)
	if got := mine.line(); got != "-BUSY" {
		t.Errorf("taken and not known to the loop: got %q", got)
	}
}

// Answers are still being written by a goroutine as the drain ends: a close cuts them off.
func TestAnswersUnderWayAtTheEnd(t *testing.T) {
	was := lastWords
	lastWords = patience.Seconds()
	defer func() { lastWords = was }()
	const answers = 12
	addr, conns := listen(t)
	r := start(t, testConfig(addr), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) {
			if q.ID != "mute" {
				r.in.Send(q.ID, "s0", 0)
			}
		}
	})
	c := r.client()
	r.narrow(c)
	for i := range answers {
		c.send(look(fmt.Sprint(i))...)
	}
	c.send(look("mute")...)
	text := strings.Repeat("x", maxValue)
	for range answers {
		b := get(t, conns)
		b.command()
		io.WriteString(b, "*3\r\n$65536\r\n"+text+"\r\n$-1\r\n$-1\r\n")
	}
	r.until("all but one are answered", func() bool { return len(r.in.requests) == 1 })
	r.do(func() {
		for c := range r.in.clients.all {
			if !c.writing {
				t.Error("nothing is being written: this shows nothing")
			}
		}
		r.in.leave()
		r.in.stop()
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
	get(t, r.end)
}

// full has the pipeline of a client full, with more of it unread, and nothing sent on yet: its reader does not read.
func (r *rig) full(c *wire) (ids []string) {
	for i := range 4 * pipelineMost { // more than its reader's buffer holds
		ids = append(ids, fmt.Sprint("w", i))
		c.send(look(ids[i])...)
	}
	for range pipelineMost {
		get(r.t, r.mod.requests)
	}
	var there *client
	r.do(func() { there = r.in.requests["w0"].client })
	r.until("its reader waits", func() bool { return len(there.permits) == pipelineMost })
	return ids
}

// A client leaves while its request waits, and its reader does not read: nothing is sent for it 0.3 s later.
func TestClientThatLeftWhileItsRequestWaited(t *testing.T) {
	for _, unread := range []bool{true, false} {
		t.Run(fmt.Sprint("unread ", unread), func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), nil)
			c := r.client()
			if unread {
				r.full(c)
			} else { // stopped, as for a hand-over
				c.send(look("w0")...)
				get(t, r.mod.requests)
				r.do(func() { r.in.requests["w0"].client.halt() })
				r.until("it has stopped", func() bool { return r.in.requests["w0"].client.parked })
			}
			stays := r.client()
			stays.send(look("stays")...)
			get(t, r.mod.requests)
			c.Close()
			r.until("its end is there", func() bool { return r.in.requests["w0"].client.gone() })
			r.do(func() {
				r.in.now += 1
				r.in.Send("w0", "s0", 0)
				r.in.Send("stays", "s0", 0)
			})
			b := get(t, conns)
			if got := b.command(); len(got) != 4 || got[2] != "stays" {
				t.Errorf("sent on: %q", got)
			}
			if id := get(t, r.mod.gone); id != "w0" {
				t.Errorf("%s has gone", id)
			}
			if o := get(t, r.mod.outcomes); o.ID != "w0" || o.Status != policy.Moot || !o.Over {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// The same where it waits for a connection to a backend that comes up late.
func TestClientThatLeftWhileABackendWasDialled(t *testing.T) {
	addr, conns := listen(t)
	dial := make(chan struct{})
	r := start(t, testConfig(addr), func(r *rig) {
		sendTo(0)(r)
		was := r.in.backends.dial
		r.in.backends.dial = func(addr string) (net.Conn, error) { <-dial; return was(addr) }
	})
	c := r.client()
	c.send(look("w0")...)
	get(t, r.mod.requests)
	r.do(func() { r.in.requests["w0"].client.halt() })
	r.until("its reader has stopped", func() bool { return r.in.requests["w0"].client.parked })
	c.Close()
	r.until("its end is there", func() bool { return r.in.requests["w0"].client.gone() })
	r.do(func() { r.in.requests["w0"].since -= 1 })
	close(dial)
	if o := get(t, r.mod.outcomes); o.Status != policy.Moot || !o.Over {
		t.Errorf("got %+v", o)
	}
	next := r.client()
	next.send(look("next")...)
	if got := get(t, conns).command(); len(got) != 4 || got[2] != "next" {
		t.Errorf("sent on: %q", got)
	}
}

// A client's one more send, with the same id, comes before the end of the connection that it was on.
func TestSameIDBeforeTheEndOfTheFirst(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), nil)
	c := r.client()
	r.full(c)
	again := r.client()
	again.send(look("w0")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("while the first is there: %q", got)
	}
	c.Close()
	r.until("its end is there", func() bool { return r.in.requests["w0"].client.gone() })
	r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0) }
	again.send(look("w0")...)
	b := get(t, conns)
	b.command()
	io.WriteString(b, value)
	again.served("sent once more")
}

// An answer, the end of its connection and a cancel stand in the loop's queue at once: the attempt ends once, by the first of them.
func TestAnswerEndAndCancelAtOnce(t *testing.T) {
	for _, order := range []string{"cancel first", "answer first"} {
		t.Run(order, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send(look("a")...)
			b := get(t, conns)
			b.command()
			r.do(func() { // the loop is busy while all of it comes
				io.WriteString(b, value)
				b.Close()
				for len(r.in.events) < 2 { // its reader has posted both
					time.Sleep(time.Millisecond)
				}
				if order == "cancel first" {
					r.in.Cancel("a", 0)
				} else {
					r.in.post(0, func() { r.in.Cancel("a", 0) })
				}
			})
			want := policy.Cancelled
			if order == "answer first" {
				want = policy.OK
			}
			if o := get(t, r.mod.outcomes); o.Status != want {
				t.Errorf("got %+v", o)
			}
			r.do(func() {}) // behind all of it
			r.until("the connection has ended", func() bool { return r.in.backends.open == 0 })
			if r.do(func() {}); len(r.mod.outcomes) != 0 {
				t.Errorf("and then %+v", get(t, r.mod.outcomes))
			}
			if order == "answer first" {
				c.served("the answer")
			}
		})
	}
}

// The id of a request that is over stays taken while an attempt of it is out: what comes with it again would have two out.
func TestIDOfAnAttemptThatIsOut(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	c.Close()
	get(t, r.mod.gone)
	again := r.client()
	again.send(look("a")...)
	if got := again.line(); got != "-ERR a request of this id is open" {
		t.Errorf("got %q", got)
	}
	io.WriteString(b, value)
	get(t, r.mod.outcomes)
	again.send(look("a")...)
	if got := b.command(); len(got) != 4 {
		t.Fatalf("got %q", got)
	}
	io.WriteString(b, value)
	again.served("once nothing is out")
}

// A connection that is taken for one that rests, as clients are sent away, has a command on its way to the loop.
func TestOnItsWayAsClientsAreSentAway(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	c.send("PING")
	c.line()
	r.do(func() {
		for c := range r.in.clients.all {
			c.usedAt -= 1
			c.permits <- struct{}{} // as its reader does with each command, before the loop hears of it
			r.in.drain.Begin(r.in.now - 0.6)
			r.in.sweepDrained()
			if c.closed || c.ending {
				t.Error("it was closed with the command on its way")
			}
			<-c.permits
			if r.in.sweepDrained(); !c.ending {
				t.Error("a connection that rests stays")
			}
		}
	})
	if c.line() != "" {
		t.Error("no end")
	}
}

// A request waits while its connection's reader goes on to the next: what is sent on is its own, byte for byte.
func TestRequestsKeepTheirBytes(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), nil)
	c := r.client()
	c.send(look("first")...)
	get(t, r.mod.requests)
	c.send("CALL.POST", customer, "other", "c=bill,t=basic,d=300000,units=1,spread=1,first=0", "body")
	get(t, r.mod.requests)
	r.do(func() { r.in.Send("first", "s0", 300) })
	if got := get(t, conns).command(); len(got) != 4 || got[0] != "CALL.GET" || got[2] != "first" || !strings.HasPrefix(got[3], "c=look,t=basic,d=") {
		t.Errorf("sent on: %q", got)
	}
}
