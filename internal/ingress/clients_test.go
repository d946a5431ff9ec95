package ingress

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// base tells what an ingress with nothing to do holds: timers and budget.
func (r *rig) base() (timers int, left int64) {
	r.do(func() { timers, left = len(r.in.timers), r.in.input.left.Load() })
	return timers, left
}

// Guards against connections that stay open for nothing: silence and half a command get an error and
// the end, also behind a request that is still open, which is answered all the same.
func TestSilenceAndHalfACommandEnd(t *testing.T) {
	const want = "-ERR no whole command in time"
	for name, tc := range map[string]struct{ before, half string }{
		"silence": {}, "half": {half: "*4\r\n$8\r\nCALL"}, "header": {half: "*"},
		"behind another": {command("PING"), "*1\r\n$4\r\nPI"},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, testConfig("127.0.0.1:1"), func(r *rig) {
				if tc.before == "" { // else it is short from then on that this has been read
					r.in.clients.commandMost = time.Millisecond
				}
			})
			c := r.client()
			if tc.before != "" {
				io.WriteString(c, tc.before)
				if got := c.line(); got != "+PONG" {
					t.Fatalf("got %q", got)
				}
				r.do(func() { r.in.clients.commandMost = time.Millisecond })
			}
			io.WriteString(c, tc.half)
			if got := c.line(); got != want || c.line() != "" {
				t.Errorf("got %q, want %q and the end", got, want)
			}
			c.Close()
			r.until("it is gone", func() bool { return r.in.clients.open() == 0 && len(r.in.clients.room) == 1 })
		})
	}
	t.Run("behind an open request", func(t *testing.T) {
		r := start(t, testConfig("127.0.0.1:1"), nil)
		c := r.client()
		io.WriteString(c, command(look("a")...))
		get(t, r.mod.requests)
		r.do(func() { r.in.clients.commandMost = time.Millisecond })
		io.WriteString(c, "*1")
		r.until("the error waits", func() bool {
			q := r.in.requests["a"]
			return q != nil && len(q.client.slots) == 2
		})
		r.do(func() { r.in.Fail("a") })
		if a, b := c.line(), c.line(); a != "-ERR failed" || b != want || c.line() != "" {
			t.Errorf("got %q, then %q", a, b)
		}
	})
}

// Guards against a request that is lost with the junk behind it: however much of that comes, the
// connection stays until what it asked for before is answered.
func TestJunkBehindARequest(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	io.WriteString(c, command(look("a")...)+"*1\r\n$60000000\r\n")
	get(t, r.mod.requests)
	io.WriteString(c, strings.Repeat("x", lingerBytes))
	r.until("enough is read", func() bool {
		q := r.in.requests["a"]
		return q != nil && q.client.lingered
	})
	r.do(func() { r.in.Fail("a") })
	if a, b := c.line(), c.line(); a != "-ERR failed" || !strings.Contains(b, "value over 64 KiB") || c.line() != "" {
		t.Errorf("got %q, then %q", a, b)
	}
	if len(r.mod.gone) != 0 {
		t.Error("the module was told that the client had left")
	}
}

// Guards the loop against a client that sends bad commands for as long as it is answered.
func TestBadCommandsAreCounted(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	c := r.client()
	io.WriteString(c, strings.Repeat(command("NOVEL"), 100*errorsMost))
	for i := range errorsMost {
		if got := c.line(); got != `-ERR unknown command "NOVEL"` {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
	if got := c.line(); got != "" {
		t.Errorf("behind the last error came %q", got)
	}
}

// Guards against usual clients that make room for those that have said nothing.
func TestNeverSpokenMakeRoomFirst(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) { r.in.clients.keep, r.in.clients.most = 2, 2 })
	usual := r.client()
	if usual.send("PING"); usual.line() != "+PONG" {
		t.Fatal("not served")
	}
	silent := r.client()
	r.until("both are open", func() bool { return r.in.clients.open() == 2 })
	r.do(func() { // the first command of a connection that has just come may be on its way
		for c := range r.in.clients.all {
			c.usedAt -= 2 * youngS
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
func TestCrowdsLeaveRoomForThoseWhoAsk(t *testing.T) {
	const keep = 8
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) { r.in.clients.keep, r.in.clients.most = keep, 3*keep })
	usual := r.client()
	usual.send(look("first")...)
	get(t, r.mod.requests)
	r.do(func() { r.in.Fail("first") })
	if got := usual.line(); got != "-ERR failed" {
		t.Fatal(got)
	}
	var silent []*wire
	for i := range 2 * keep {
		c := r.client()
		if i%2 == 0 {
			silent = append(silent, c)
			r.until("it is taken", func() bool { return r.in.clients.open() > 0 })
		} else if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("not served")
		}
		r.do(func() { // the first command of a connection that has just come may be on its way
			for c := range r.in.clients.all {
				c.usedAt -= 2 * youngS
			}
		})
	}
	r.until("the crowd is held to the bound", func() bool { return r.in.clients.open() <= keep })
	for i, c := range silent[:len(silent)/2] {
		if c.line() != "" {
			t.Errorf("silent connection %d of the crowd is open", i)
		}
	}
	if usual.send("PING"); usual.line() != "+PONG" {
		t.Error("who had asked was closed for the crowd")
	}
	var busy []*wire
	for i := range 2 * keep { // all at work: more than may idle
		c := r.client()
		c.send(look(fmt.Sprint("b", i))...)
		get(t, r.mod.requests)
		busy = append(busy, c)
	}
	r.do(func() {
		for i := range busy {
			r.in.Fail(fmt.Sprint("b", i))
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
func TestWhatIsOnItsWayToTheLoopIsNotClosed(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) { r.in.clients.keep, r.in.clients.most = 2, 4 })
	for range 2 {
		c := r.client()
		if c.send("PING"); c.line() != "+PONG" {
			t.Fatal("not served")
		}
	}
	r.do(func() {
		all := r.in.clients.all
		for c := range all { // as a reader does with each command, before the loop hears of it
			c.permits <- struct{}{}
		}
		if r.in.clients.full(r.in, nil) || len(all) != 2 {
			t.Errorf("%d of 2 connections are left", len(all))
		}
		for c := range all {
			<-c.permits
		}
		if r.in.clients.full(r.in, nil) || len(all) != 1 {
			t.Errorf("%d connections are left where one idles too many", len(all))
		}
	})
}

// The bound on idle connections lies well below the third of all descriptors that clients have for requests.
func TestIdleConnectionsLeaveTheClientsThirdFree(t *testing.T) {
	for _, sockets := range []int{64, 256, 384, 1024} {
		for _, door := range []string{"", "127.0.0.1:1"} {
			var s clientSet
			s.init(Config{Sockets: sockets, Console: door}.free())
			if s.keep > sockets/3*4/5 || s.keep >= s.most && s.most > 8 {
				t.Errorf("%d descriptors: %d idle connections, %d at work", sockets, s.keep, s.most)
			}
		}
	}
}

// Guards against clients that ask once and keep their connection for good.
func TestIdleConnectionsEnd(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), nil)
	busy, idle := r.client(), r.client()
	busy.send(look("a")...)
	get(t, r.mod.requests)
	idle.send("PING")
	idle.line()
	r.do(func() { r.in.now += idleMost + 1; r.in.clients.sweep(r.in) })
	if idle.line() != "" {
		t.Error("the idle connection is open")
	}
	r.do(func() { r.in.Fail("a") })
	if got := busy.line(); got != "-ERR failed" {
		t.Errorf("the connection with an open request got %q", got)
	}
}

// Guards against memory that an answered request holds until its deadline, an hour away if its client
// says so: timers, the command's bytes and what the budget lent for them.
func TestAnAnsweredRequestHoldsNothing(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(0))
	timers, left := r.base()
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	req := (*request)(nil)
	r.do(func() { req = r.in.requests["a"] })
	if busy, less := r.base(); busy != timers+2 || less >= left {
		t.Errorf("%d timers and %d bytes while it is open, %d and %d before", busy, less, timers, left)
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	get(t, r.mod.outcomes)
	if again, now := r.base(); again != timers || now != left || req.args != nil {
		t.Errorf("%d timers and %d bytes afterwards, %d and %d before, arguments %q", again, now, timers, left, req.args)
	}
}

// Guards the memory: what is unfinished or waits has one bound for all connections together.
func TestInputHasOneBudget(t *testing.T) {
	r := start(t, testConfig("127.0.0.1:1"), func(r *rig) { r.in.input.left.Store(30_000) })
	big := func(id string) string {
		return command("CALL.POST", customer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 10_000))
	}
	c := r.client()
	io.WriteString(c, big("a")+big("b")+big("c"))
	get(t, r.mod.requests)
	r.until("all three have come, and no more is taken", func() bool {
		for x := range r.in.clients.all {
			return len(x.slots) == 3 && r.in.input.left.Load() < 20_000 // an answer waits for those before it
		}
		return false
	})
	d := r.client()
	io.WriteString(d, "*5\r\n$60000\r\n"+strings.Repeat("x", 59_000))
	if got := d.line(); got != "-ERR no room for more input" || d.line() != "" {
		t.Errorf("half a command beyond the budget got %q", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		r.do(func() { r.in.Fail(id) })
	}
	for i := range 3 {
		if got := c.line(); got != "-ERR failed" && got != "-BUSY 1000" {
			t.Errorf("answer %d is %q", i, got)
		}
	}
	c.Close()
	r.until("all is given back", func() bool { return r.in.input.left.Load() == 30_000 })
}

// Guards against numbers and names that mean the same in more than one way, or not what they say: a
// backend may read them otherwise, and a customer's other spelling would be another customer.
func TestOnlyCanonicalCalls(t *testing.T) {
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
	for _, id := range []string{"a b", "a\x00", "a\r\n", "\xff", "\u00a0", strings.Repeat("x", maxID+1)} {
		if parse(customer, id, good) == nil {
			t.Errorf("id %q passes", id)
		}
	}
	for _, more := range []string{",x=\r\n", ",x=\xff", ",x=" + strings.Repeat("y", maxFields), ",k=", ",r=2"} {
		if parse(customer, "a", good+more) == nil {
			t.Errorf("%.40q passes", fmt.Sprint("...", more))
		}
	}
}
