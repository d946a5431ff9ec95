package ingress

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/dataplane/ingressconfig"
)

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
			s.init(freeDescriptors(ingressconfig.Config{MaxDescriptors: sockets, AdminAddr: door}))
			if s.evictIdleFrom > sockets/3*4/5 || s.evictIdleFrom >= s.maxOpen && s.maxOpen > 8 {
				t.Errorf("%d descriptors: %d idle connections, %d at work", sockets, s.evictIdleFrom, s.maxOpen)
			}
		}
	}
}

// Guards the memory: what is unfinished or waits has one bound for all connections together.
func TestInputBudget_Shared(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.inputBudget.Reset(30_000) })
	big := func(id string) string {
		return command("CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 10_000))
	}
	c := r.client()
	write(c, big("a")+big("b")+big("c"))
	receive(t, r.decider.requests)
	r.waitFor("all three have come, and no more is taken", func() bool {
		for x := range r.ingress.clients.conns {
			return len(x.answerSlots) == 3 && r.ingress.inputBudget.Available() < 20_000 // an answer waits for those before it
		}
		return false
	})
	d := r.client()
	write(d, "*5\r\n$60000\r\n"+strings.Repeat("x", 59_000))
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
	r.waitFor("all is given back", func() bool { return r.ingress.inputBudget.Available() == 30_000 })
}

// Guards against running out of descriptors: the connection that idles longest makes room.
func TestClientTable_IdleEvictedForNew(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 2 })
	var conns []*testConn
	for range 3 {
		c := r.client()
		if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("not served")
		}
		conns = append(conns, c)
	}
	if conns[0].line() != "" {
		t.Error("the connection that idled longest is open")
	}
	if conns[2].send("PING"); conns[2].line() != "+PONG" {
		t.Error("the newest connection was closed")
	}
}

// Guards against requests lost to the bound on descriptors: a connection beyond it was closed, and with
// it the request that had come along. It is refused in words, and served once another one idles.
func TestClientTable_OverCapacityRejectedWithReply(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen, r.ingress.clients.maxOverCapacity = 1, 1, 1
	})
	busy := r.client()
	busy.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	surplus := r.client()
	surplus.send(lookCommand("b")...)
	if got := surplus.line(); got != "-BUSY 1000" {
		t.Errorf("beyond the bound: %q", got)
	}
	next := r.client() // an idle one of the surplus makes room for it
	next.send(lookCommand("b")...)
	if got := next.line(); got != "-BUSY 1000" || surplus.line() != "" {
		t.Errorf("beyond the bound, once more: %q", got)
	}
	if len(r.decider.requests) != 0 {
		t.Error("the module was asked about a request that was refused for it")
	}
	r.onLoop(func() { r.ingress.Fail("a") })
	next.send(lookCommand("c")...)
	if q := receive(t, r.decider.requests); q.ID != "c" || busy.line() != "-ERR failed" || busy.line() != "" {
		t.Errorf("with room made: %+v", q)
	}
}

// Guards against requests lost where many connections come at once and all others are at work: one that had just come was
// closed for the next, before its command was read, and one beyond the surplus without a word.
func TestClientTable_BurstOfNewClientsAnswered(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen, r.ingress.clients.maxOverCapacity = 1, 1, 2
	})
	busy := r.client()
	busy.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	var burst []*testConn
	for range 6 {
		burst = append(burst, r.client())
	}
	r.onLoop(func() {}) // all have come, none has spoken
	for i, c := range burst {
		c.send(lookCommand(fmt.Sprint("b", i))...)
	}
	for i, c := range burst {
		if got := c.line(); got != "-BUSY 1000" {
			t.Errorf("number %d of the burst: %q", i, got)
		}
	}
	r.onLoop(func() { r.ingress.Fail("a") })
	if got := busy.line(); got != "-ERR failed" {
		t.Errorf("the one at work: %q", got)
	}
}

// Guards a command that comes in the moment in which its resting connection is closed for a newcomer: its client hears the end first.
func TestClientTable_CommandDuringEviction(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	mine, theirs := pair(t)
	client, err := r.ingress.newClientConn(theirs)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(mine, "*1\r\n")
	r.onLoop(func() {
		r.ingress.clients.connPermits <- struct{}{}
		r.ingress.clients.conns[client] = struct{}{}
	})
	r.waitFor("the bytes are there", func() bool { return !client.silent() })
	r.onLoop(func() {
		if r.ingress.halfCloseIfSilent(client) || client.state != connClosing {
			t.Error("closed over what nobody had read")
		}
	})
	if _, err := mine.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "reset") {
		t.Errorf("its client got %v", err)
	}
	r.onLoop(func() { r.ingress.closeClient(client, closeNoCapacity) })
}
