package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// openResources tells what an ingress with nothing to do holds: timers and budget.
func (r *testIngress) openResources() (timers int, left int64) {
	r.onLoop(func() { timers, left = len(r.ingress.timers), r.ingress.inputBudget.available.Load() })
	return timers, left
}

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
				io.WriteString(c, tc.before)
				if got := c.line(); got != "+PONG" {
					t.Fatalf("got %q", got)
				}
				r.onLoop(func() { r.ingress.clients.commandTimeout = time.Millisecond })
			}
			io.WriteString(c, tc.half)
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
		io.WriteString(c, command(lookCommand("a")...))
		receive(t, r.decider.requests)
		r.onLoop(func() { r.ingress.clients.commandTimeout = time.Millisecond })
		io.WriteString(c, "*1")
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
	io.WriteString(c, command(lookCommand("a")...)+"*1\r\n$60000000\r\n")
	receive(t, r.decider.requests)
	io.WriteString(c, strings.Repeat("x", maxDiscardBytes))
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
	io.WriteString(c, strings.Repeat(command("NOVEL"), 100*maxBadCommands))
	for i := range maxBadCommands {
		if got := c.line(); got != `-ERR unknown command "NOVEL"` {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
	if got := c.line(); got != "" {
		t.Errorf("behind the last error came %q", got)
	}
}

// Guards against usual clients that make room for those that have said nothing.
func TestClientTable_SilentEvictedBeforeOthers(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 2 })
	usual := r.client()
	if usual.send("PING"); usual.line() != "+PONG" {
		t.Fatal("not served")
	}
	silent := r.client()
	r.waitFor("both are open", func() bool { return r.ingress.clients.open() == 2 })
	r.onLoop(func() { // the first command of a connection that has just come may be on its way
		for c := range r.ingress.clients.conns {
			c.lastUsedAt -= 2 * recentlyOpenedS
		}
	})
	third := r.client()
	if third.send("PING"); third.line() != "+PONG" || silent.line() != "" {
		t.Error("the silent connection made no room")
	}
	if usual.send("PING"); usual.line() != "+PONG" {
		t.Error("the usual client was closed in its place")
	}
}

// Guards against a crowd that connects, says PING at most and stays (r640a3f): kept up to half of the descriptors it held the
// room of those who ask, whose requests were turned back unheard. It gives way at the bound on idle connections; who has
// asked keeps its connection, and connections at work are no part of that bound.
func TestClientTable_IdleCrowdLeavesCapacity(t *testing.T) {
	const keep = 8
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = keep, 3*keep })
	usual := r.client()
	usual.send(lookCommand("first")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.Fail("first") })
	if got := usual.line(); got != "-ERR failed" {
		t.Fatal(got)
	}
	var silent []*testConn
	for i := range 2 * keep {
		c := r.client()
		if i%2 == 0 {
			silent = append(silent, c)
			r.waitFor("it is taken", func() bool { return r.ingress.clients.open() > 0 })
		} else if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("not served")
		}
		r.onLoop(func() { // the first command of a connection that has just come may be on its way
			for c := range r.ingress.clients.conns {
				c.lastUsedAt -= 2 * recentlyOpenedS
			}
		})
	}
	r.waitFor("the crowd is held to the bound", func() bool { return r.ingress.clients.open() <= keep })
	for i, c := range silent[:len(silent)/2] {
		if c.line() != "" {
			t.Errorf("silent connection %d of the crowd is open", i)
		}
	}
	if usual.send("PING"); usual.line() != "+PONG" {
		t.Error("who had asked was closed for the crowd")
	}
	var busy []*testConn
	for i := range 2 * keep { // all at work: more than may idle
		c := r.client()
		c.send(lookCommand(fmt.Sprint("b", i))...)
		receive(t, r.decider.requests)
		busy = append(busy, c)
	}
	r.onLoop(func() {
		for i := range busy {
			r.ingress.Fail(fmt.Sprint("b", i))
		}
	})
	for i, c := range busy {
		if got := c.line(); got != "-ERR failed" {
			t.Errorf("connection %d at work: %q", i, got)
		}
	}
}

// Guards requests that their connection's reader has taken while the loop is behind: to the loop the connection seemed idle, and it was
// closed for a newcomer with the request on its way (seen: 17 requests never taken up on a day of upgrades, the loop busy for a third of a second).
func TestClientTable_CommandOnItsWayIsNotEvicted(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 4 })
	for range 2 {
		c := r.client()
		if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("not served")
		}
	}
	r.onLoop(func() {
		all := r.ingress.clients.conns
		for c := range all { // as a reader does with each command, before the loop hears of it
			c.pipelinePermits <- struct{}{}
		}
		if r.ingress.clients.atCapacity(r.ingress, nil) || len(all) != 2 {
			t.Errorf("%d of 2 connections are left", len(all))
		}
		for c := range all {
			<-c.pipelinePermits
		}
		if r.ingress.clients.atCapacity(r.ingress, nil) || len(all) != 1 {
			t.Errorf("%d connections are left where one idles too many", len(all))
		}
	})
}

// The bound on idle connections lies well below the third of all descriptors that clients have for requests.
func TestClientTable_IdleLimit(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		for _, door := range []string{"", "127.0.0.1:1"} {
			var s clientTable
			s.init(Config{MaxDescriptors: sockets, AdminAddr: door}.freeDescriptors())
			if s.evictIdleFrom > sockets/3*4/5 || s.evictIdleFrom >= s.maxOpen && s.maxOpen > 8 {
				t.Errorf("%d descriptors: %d idle connections, %d at work", sockets, s.evictIdleFrom, s.maxOpen)
			}
		}
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

// Guards against memory that an answered request holds until its deadline, an hour away if its client
// says so: timers, the command's bytes and what the budget lent for them.
func TestRequest_ReleasesResourcesWhenAnswered(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	timers, left := r.openResources()
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.command()
	req := (*request)(nil)
	r.onLoop(func() { req = r.ingress.requests["a"] })
	if busy, less := r.openResources(); busy != timers+2 || less >= left {
		t.Errorf("%d timers and %d bytes while it is open, %d and %d before", busy, less, timers, left)
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	receive(t, r.decider.outcomes)
	if again, now := r.openResources(); again != timers || now != left || req.args != nil {
		t.Errorf("%d timers and %d bytes afterwards, %d and %d before, arguments %q", again, now, timers, left, req.args)
	}
}

// Guards the memory: what is unfinished or waits has one bound for all connections together.
func TestInputBudget_Shared(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.inputBudget.available.Store(30_000) })
	big := func(id string) string {
		return command("CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 10_000))
	}
	c := r.client()
	io.WriteString(c, big("a")+big("b")+big("c"))
	receive(t, r.decider.requests)
	r.waitFor("all three have come, and no more is taken", func() bool {
		for x := range r.ingress.clients.conns {
			return len(x.answerSlots) == 3 && r.ingress.inputBudget.available.Load() < 20_000 // an answer waits for those before it
		}
		return false
	})
	d := r.client()
	io.WriteString(d, "*5\r\n$60000\r\n"+strings.Repeat("x", 59_000))
	if got := d.line(); got != "-ERR no room for more input" || d.line() != "" {
		t.Errorf("half a command beyond the budget got %q", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		r.onLoop(func() { r.ingress.Fail(id) })
	}
	for i := range 3 {
		if got := c.line(); got != "-ERR failed" && got != "-BUSY 1000" {
			t.Errorf("answer %d is %q", i, got)
		}
	}
	c.Close()
	r.waitFor("all is given back", func() bool { return r.ingress.inputBudget.available.Load() == 30_000 })
}

// Guards against numbers and names that mean the same in more than one way, or not what they say: a
// backend may read them otherwise, and a customer's other spelling would be another customer.
func TestParseCall_CanonicalFormsOnly(t *testing.T) {
	words := newVocabulary(testConfig().Settings.Settings)
	parse := func(customer, id, fields string) error {
		_, err := words.parseCall([][]byte{[]byte("CALL.GET"), []byte(customer), []byte(id), []byte(fields)})
		return err
	}
	const good = "c=look,t=basic,d=480,units=2,spread=2,first=1"
	if err := parse(customer, "a", good); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"d", "units", "spread", "first"} {
		for _, value := range []string{"", "+1", "-1", "01", "1.0", "2.5", "1e0", "0x1", "0x1p0", "1_0", " 1", "１", "NaN",
			"Inf", "99999999999999999999", "1000000000"} {
			fields := good
			for _, old := range []string{"d=480", "units=2", "spread=2", "first=1"} {
				if strings.HasPrefix(old, name+"=") {
					fields = strings.Replace(good, old, name+"="+value, 1)
				}
			}
			if parse(customer, "a", fields) == nil {
				t.Errorf("%s passes", fields)
			}
		}
	}
	for _, other := range []string{"00000000B4D65521", "+0000000b4d65521", "0x000000b4d65521", "b4d65521", ""} {
		if parse(other, "a", good) == nil {
			t.Errorf("customer %q passes", other)
		}
	}
	for _, id := range []string{"a b", "a\x00", "a\r\n", "\xff", "\u00a0", strings.Repeat("x", maxIDLen+1)} {
		if parse(customer, id, good) == nil {
			t.Errorf("id %q passes", id)
		}
	}
	for _, more := range []string{",x=\r\n", ",x=\xff", ",x=" + strings.Repeat("y", maxFieldsLen), ",k=", ",r=2"} {
		if parse(customer, "a", good+more) == nil {
			t.Errorf("%.40q passes", fmt.Sprint("...", more))
		}
	}
}
