package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/resp"
	"eiderspread/internal/dataplane/sockets"
)

// When a new connection needs room, a connection that has sent nothing must be closed before an idle one that has sent a command.
func TestClientTable_SilentEvictedBeforeOthers(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 2 })
	active := r.client()
	if active.send("PING"); active.line() != "+PONG" {
		t.Fatal("PING of the first connection is not answered by +PONG")
	}
	silent := r.client()
	r.waitFor("both are open", func() bool { return r.ingress.clients.open() == 2 })
	r.waitForSettledClients()
	r.onLoop(func() { // make them older: recently opened connections are not evicted
		for c := range r.ingress.clients.conns {
			c.lastUsedAt -= 2 * recentlyOpenedS
		}
	})
	third := r.client()
	if third.send("PING"); third.line() != "+PONG" || silent.line() != "" {
		t.Error("the silent connection was not closed for the third connection")
	}
	if active.send("PING"); active.line() != "+PONG" {
		t.Error("the connection that had sent a command was closed for the third connection")
	}
}

// Many clients that connect, send PING at most and stay connected must not use up the capacity (r640a3f): when they were kept up to half of
// the descriptors, requests of other clients were rejected unread. They are evicted at the limit on idle connections. A client that has sent
// a request keeps its connection, and connections with open requests do not count toward that limit.
func TestClientTable_IdleClientsLeaveCapacity(t *testing.T) {
	const keep = 8
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = keep, 3*keep })
	active := r.client()
	active.send(lookCommand("first")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.ingress.Fail("first") })
	if got := active.line(); got != "-ERR failed" {
		t.Fatalf("first request: got %q, want -ERR failed", got)
	}
	var silent []*testConn
	for i := range 2 * keep {
		c := r.client()
		if i%2 == 0 {
			silent = append(silent, c)
			r.waitFor("the connection is accepted", func() bool { return r.ingress.clients.open() > 0 })
		} else if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("PING of a new connection is not answered by +PONG")
		}
		r.waitForSettledClients()
		r.onLoop(func() { // make them older: recently opened connections are not evicted
			for c := range r.ingress.clients.conns {
				c.lastUsedAt -= 2 * recentlyOpenedS
			}
		})
	}
	r.waitFor("the idle connections are within the limit", func() bool { return r.ingress.clients.open() <= keep })
	for i, c := range silent[:len(silent)/2] {
		if c.line() != "" {
			t.Errorf("silent connection %d is still open", i)
		}
	}
	if active.send("PING"); active.line() != "+PONG" {
		t.Error("the connection that had sent a request was closed for idle ones")
	}
	var busy []*testConn
	for i := range 2 * keep { // with open requests: more than the limit on idle ones
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
			t.Errorf("connection %d with an open request: got %q, want -ERR failed", i, got)
		}
	}
}

// While the loop is behind, a reader may have read a command that the loop has not handled yet. The loop must not evict that connection as
// idle, or the request is lost. This lost 17 requests on a day of upgrades, when the loop was busy for a third of a second.
func TestClientTable_CommandOnItsWayIsNotEvicted(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 4 })
	for range 2 {
		c := r.client()
		if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("PING of a new connection is not answered by +PONG")
		}
	}
	r.waitForSettledClients()
	r.onLoop(func() {
		all := r.ingress.clients.conns
		for c := range all { // as a reader does with each command before it posts it
			c.pipelinePermits <- struct{}{}
		}
		if r.ingress.clients.atCapacity(r.ingress, nil) || len(all) != 2 {
			t.Errorf("%d connections are left, want both while their commands are queued", len(all))
		}
		for c := range all {
			<-c.pipelinePermits
		}
		if r.ingress.clients.atCapacity(r.ingress, nil) || len(all) != 1 {
			t.Errorf("%d connections are left, want 1 after the eviction of an idle one", len(all))
		}
	})
}

// The limit on idle connections must lie well below the third of all descriptors that clients have for requests.
func TestClientTable_IdleLimit(t *testing.T) {
	for _, descriptors := range []int{64, 256, 384, 1024} {
		for _, adminAddr := range []string{"", "127.0.0.1:1"} {
			var table clientTable
			table.init(freeDescriptors(ingressconfig.Config{MaxDescriptors: descriptors, AdminAddr: adminAddr}))
			if table.evictIdleFrom > descriptors/3*4/5 || table.evictIdleFrom >= table.maxOpen && table.maxOpen > 8 {
				t.Errorf("%d descriptors: idle connections are evicted from %d on, with %d open at most; want fewer idle ones",
					descriptors, table.evictIdleFrom, table.maxOpen)
			}
		}
	}
}

// Incomplete commands and waiting requests of all connections share one input budget, which bounds their memory. Input beyond the budget
// must be rejected, and at the end the whole budget must be released.
func TestInputBudget_Shared(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.inputBudget.Reset(30_000) })
	big := func(id string) string {
		return command("CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 10_000))
	}
	c := r.client()
	write(c, big("a")+big("b")+big("c"))
	receive(t, r.decider.requests)
	r.waitFor("all three commands are handled and the budget is used", func() bool {
		for x := range r.ingress.clients.conns {
			return len(x.answerSlots) == 3 && r.ingress.inputBudget.Available() < 20_000 // a rejection waits for the answers before it
		}
		return false
	})
	d := r.client()
	write(d, "*5\r\n$60000\r\n"+strings.Repeat("x", 59_000))
	if got := d.line(); got != "-ERR no room for more input" || d.line() != "" {
		t.Errorf("incomplete command beyond the budget: got %q, want -ERR no room for more input and the end of the connection", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		r.onLoop(func() { r.ingress.Fail(id) })
	}
	for i := range 3 {
		if got := c.line(); got != "-ERR failed" && got != "-BUSY 1000" {
			t.Errorf("answer %d: got %q, want -ERR failed or -BUSY 1000", i, got)
		}
	}
	c.Close()
	r.waitFor("the whole budget is released", func() bool { return r.ingress.inputBudget.Available() == 30_000 })
}

// Guards against connections that are closed in the middle of a message because others use the memory for input at that moment: their readers
// wait for memory, and go on once it is released.
func TestInputBudget_ReadersWaitForMemory(t *testing.T) {
	defer func(was time.Duration) { spaceTimeout = was }(spaceTimeout)
	spaceTimeout = testTimeout
	addr, conns := listenBackend(t)
	r := startIngress(t, testConfig(addr), sendTo(0))
	w := r.client()
	w.send("PING")
	w.line()
	available := 0
	exhaust := func() {
		r.onLoop(func() {
			available = int(r.ingress.inputBudget.Available())
			r.ingress.inputBudget.Reserve(available)
		})
	}
	release := func() { r.ingress.inputBudget.Release(available) }

	exhaust()
	write(w, command("CALL.POST", customer, "big", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 20_000)))
	r.waitFor("a part of the command is read, and the rest waits for memory", func() bool {
		for c := range r.ingress.clients.conns {
			return c.receivingCommand.Load() && !c.socket.Waiting()
		}
		return false
	})
	release()
	if q := receive(t, r.decider.requests); q.ID != "big" {
		t.Fatalf("got request %+v, want big", q)
	}
	b := receive(t, conns)
	b.command()

	exhaust()
	value := strings.Repeat("v", 30_000)
	write(b, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
	r.waitFor("a part of the reply is read, and the rest waits for memory", func() bool {
		c := r.ingress.requests["big"].attempts[0].conn
		if c == nil {
			return true
		}
		unread := sockets.UnreadBytes(c.rawConn)
		return unread > 0 && unread <= len(value)-inputbuffer.ReadSize/2
	})
	if len(r.decider.outcomes) != 0 {
		t.Errorf("got outcome %+v while the reply can't be read", <-r.decider.outcomes)
	}
	release()
	if got := w.bulk(); string(got) != value {
		t.Errorf("got %d bytes, want the value of %d bytes", len(got), len(value))
	}
}

// Guards against a reading client that is disconnected because others use the memory for unread answers (review/3): without memory for it an
// answer fails, and the connection stays.
func TestInputBudget_ExhaustedByUnreadAnswers(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	_, availableBefore := r.openResources()
	w := r.client()
	r.setTinyClientBuffers(w)
	var ids []string
	for i := range 16 {
		ids = append(ids, fmt.Sprint("a", i))
		w.send(lookCommand(ids[i])...)
		receive(t, r.decider.requests)
	}
	value := redcon.AppendBulkString(nil, strings.Repeat("v", resp.MaxValueBytes))
	r.onLoop(func() {
		available := r.ingress.inputBudget.Available()
		r.ingress.inputBudget.Reserve(int(available))
		for _, id := range ids {
			r.ingress.answerRequest(r.ingress.requests[id], value)
		}
		if r.ingress.clients.open() != 1 {
			t.Error("the client was disconnected")
		}
		r.ingress.inputBudget.Release(int(available))
	})
	served, failed := 0, 0
	for range ids {
		switch line := w.line(); {
		case line == "-ERR failed":
			failed++
		case strings.HasPrefix(line, "$"):
			w.line()
			served++
		default:
			t.Fatalf("got %q, want a value or -ERR failed", line)
		}
	}
	if served == 0 || failed == 0 {
		t.Errorf("got %d values and %d failures, want some of each", served, failed)
	}
	if w.send("PING"); w.line() != "+PONG" {
		t.Error("PING behind the answers was not answered with +PONG")
	}
	r.waitFor("the whole budget is released", func() bool {
		return r.ingress.inputBudget.Available() == availableBefore && r.ingress.answerBudget.Available() == int64(float64(availableBefore)*unreadAnswerFraction)
	})
}

// Guards against a rejection that turns into a failure because there is no memory for unread answers: short answers are kept in any case.
func TestInputBudget_ShortAnswersAreKept(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	w := r.client()
	w.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	filler := strings.Repeat("f", 64<<10)
	written := 0
	r.onLoop(func() {
		c := r.ingress.requests["a"].client
		for n := 1; n > 0; written += n {
			var err error
			if n, err = sockets.WriteNonBlocking(c.rawConn, []byte(filler)); err != nil {
				t.Error(err)
			}
		}
		available := int(r.ingress.answerBudget.Available())
		r.ingress.answerBudget.Reserve(available)
		r.ingress.Reject("a", 0)
		if !c.writing {
			t.Error("the rejection was written at once, so the test checks nothing")
		}
		r.ingress.answerBudget.Release(available)
	})
	if _, err := io.CopyN(io.Discard, w.r, int64(written)); err != nil {
		t.Fatal(err)
	}
	if got := w.line(); got != "-BUSY" {
		t.Errorf("got %q, want -BUSY", got)
	}
}

// At the limit a new connection must not run the ingress out of descriptors: the connection that has been idle for longest is closed for it.
func TestClientTable_IdleEvictedForNew(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) { r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen = 2, 2 })
	var conns []*testConn
	for range 3 {
		c := r.client()
		if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("PING of a new connection is not answered by +PONG")
		}
		r.waitForSettledClients()
		conns = append(conns, c)
	}
	if conns[0].line() != "" {
		t.Error("the connection that was idle for longest is still open")
	}
	if conns[2].send("PING"); conns[2].line() != "+PONG" {
		t.Error("the newest connection was closed")
	}
}

// A connection beyond the limit must not be closed without an answer: the request that it had sent was lost. The request is rejected with
// BUSY, and once another connection is idle, a request on the new one is served.
func TestClientTable_OverCapacityRejectedWithReply(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen, r.ingress.clients.maxOverCapacity = 1, 1, 1
	})
	busy := r.client()
	busy.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	second := r.client()
	second.send(lookCommand("b")...)
	if got := second.line(); got != "-BUSY 1000" {
		t.Errorf("second connection: got %q, want -BUSY 1000", got)
	}
	r.waitForSettledClients()
	third := r.client() // the second one is idle and closed for it
	third.send(lookCommand("b")...)
	if got := third.line(); got != "-BUSY 1000" || second.line() != "" {
		t.Errorf("third connection: got %q, want -BUSY 1000 and the second connection closed", got)
	}
	if len(r.decider.requests) != 0 {
		t.Error("the decider got a request that the ingress had rejected")
	}
	r.onLoop(func() { r.ingress.Fail("a") })
	if got := busy.line(); got != "-ERR failed" {
		t.Errorf("first connection: got %q, want -ERR failed", got)
	}
	r.waitForSettledClients()
	third.send(lookCommand("c")...)
	if q := receive(t, r.decider.requests); q.ID != "c" || busy.line() != "" {
		t.Errorf("the decider got %+v, want request c, and the first connection closed", q)
	}
}

// When many connections arrive at once and all others have open requests, each new one must get an answer. Requests were lost because a new
// connection was closed for the next one before its command was read, and one beyond maxOverCapacity was closed without an answer.
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
	r.onLoop(func() {}) // all are accepted, none has sent a command
	for i, c := range burst {
		c.send(lookCommand(fmt.Sprint("b", i))...)
	}
	for i, c := range burst {
		if got := c.line(); got != "-BUSY 1000" {
			t.Errorf("connection %d of the burst: got %q, want -BUSY 1000", i, got)
		}
	}
	r.onLoop(func() { r.ingress.Fail("a") })
	if got := busy.line(); got != "-ERR failed" {
		t.Errorf("connection with an open request: got %q, want -ERR failed", got)
	}
}

// A command may arrive at the moment in which its idle connection is closed for a new one. The client must see the end of the connection
// instead of a reset.
func TestClientTable_CommandDuringEviction(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	clientEnd, ingressEnd := pair(t)
	client, err := r.ingress.newClientConn(ingressEnd)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(clientEnd, "*1\r\n")
	r.onLoop(func() {
		r.ingress.clients.connPermits <- struct{}{}
		r.ingress.clients.conns[client] = struct{}{}
	})
	r.waitFor("the bytes have arrived", func() bool { return !client.silent() })
	r.onLoop(func() {
		if r.ingress.halfCloseIfSilent(client) || client.state != connClosing {
			t.Error("halfCloseIfSilent took a connection with unread bytes for silent, or did not leave it closing")
		}
	})
	if _, err := clientEnd.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "reset") {
		t.Errorf("read of the client: got error %v, want the end of the connection without a reset", err)
	}
	r.onLoop(func() { r.ingress.closeClient(client, closeNoCapacity) })
}
