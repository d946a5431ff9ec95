package ingress

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/policy"
)

// dialAsSuccessor is a new process that has been given the sockets.
func dialAsSuccessor(t *testing.T, path string) *hotrestart.Link {
	t.Helper()
	link, err := hotrestart.Dial(path)
	if link == nil || err != nil {
		t.Fatal(err)
	}
	noError(t, link.Send(hotrestart.Hello, []byte{hotrestart.Version}, testTimeout))
	m, err := link.Expect(hotrestart.Sockets, 1, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	m.Close()
	return link
}

// completeHandover has it say that it is ready, and waits for the word to go on.
func completeHandover(t *testing.T, link *hotrestart.Link) {
	t.Helper()
	noError(t, link.Send(hotrestart.Ready, nil, testTimeout))
	if _, err := link.Expect(hotrestart.Proceed, 0, testTimeout); err != nil {
		t.Fatal(err)
	}
}

// Guards every kind of connection while a process is replaced: idle, busy, with half a command read, with a command
// behind an open one, new. Each is answered, none is refused or closed, and what is held stays held.
func TestHotRestart_TransfersClients(t *testing.T) {
	addr, conns := listenBackend(t)
	other, otherConns := listenBackend(t)
	go serveBackend(otherConns)
	cfg := adminConfig(t, addr, other)
	predecessor := startIngress(t, cfg, sendTo(0))
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	if predecessor.call("POST", "/v1/backends/s1/suspend") != 200 {
		t.Fatal("no")
	}
	idle, half, busy := predecessor.client(), predecessor.client(), predecessor.client()
	idle.send("PING")
	idle.line()
	text := command(lookCommand("half")...)
	write(half, text[:30])
	busy.send(lookCommand("busy")...)
	b := receive(t, conns)
	b.command()
	write(busy, command(lookCommand("behind")...)[:50])
	predecessor.waitFor("the halves have been read", func() bool { return len(predecessor.ingress.requests) == 1 })

	successor := startIngress(t, cfg, func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) { r.ingress.Send(q.ID, "s0", 0) }
	})
	successor.waitFor("the new process is ready", successor.ingress.acceptingClients.Load)
	if predecessor.call("GET", "/v1/readyz") == 200 || successor.call("GET", "/v1/readyz") != 200 {
		t.Error("not the new process alone is ready")
	}
	for s := (policy.Backend{}); s.State != policy.Draining; {
		s = backendIn(t, receive(t, successor.decider.lists), "s1")
	}
	fresh := successor.client()
	fresh.send("PING")
	if fresh.line() != "+PONG" {
		t.Error("a new connection is not served")
	}
	idle.send("PING")
	if idle.line() != "+PONG" {
		t.Error("an idle connection was not passed on")
	}
	write(half, text[30:])
	if q := receive(t, successor.decider.requests); q.ID != "half" {
		t.Errorf("%+v came in place of the request in two halves", q)
	}
	hb := receive(t, conns)
	if hb.command() == nil {
		t.Fatal("not sent")
	}
	write(hb, servedReply)
	if half.line() != "$1" || half.line() != "v" {
		t.Error("the request in two halves was not answered")
	}
	select {
	case <-predecessor.ended:
		t.Fatal("the old process ended with a request open")
	default:
	}
	write(b, servedReply)
	if busy.line() != "$1" || busy.line() != "v" {
		t.Error("the old process did not answer what it had taken")
	}
	receive(t, predecessor.ended)
	write(busy, command(lookCommand("behind")...)[50:])
	if q := receive(t, successor.decider.requests); q.ID != "behind" {
		t.Errorf("%+v", q)
	}
	successor.waitFor("the link has ended", func() bool { return successor.ingress.predecessor == nil })
	if successor.call("POST", "/v1/backends/s1/resume") != 200 {
		t.Error("what was held before can't be called back")
	}
}

// Guards the end of a process that was asked to end, and of which the successor has died: it answers what it holds, and does
// not come back to life.
func TestHotRestart_SuccessorDiesAfterSIGTERM(t *testing.T) {
	for _, order := range []string{"after it leaves", "before"} {
		t.Run(order, func(t *testing.T) {
			r := startIngress(t, adminConfig(t, "127.0.0.1:1"), func(r *testIngress) { r.ingress.acceptFor = time.Hour }) // until the test says so
			open, idle := r.client(), r.client()
			idle.send("PING")
			idle.line()
			open.send(lookCommand("open")...)
			receive(t, r.decider.requests)
			path, _ := hotrestart.SocketPath(os.TempDir(), r.ingress.cfg.Name)
			link := dialAsSuccessor(t, path)
			completeHandover(t, link)
			r.terminate()
			r.waitFor("it has heard the signal", func() bool { return r.ingress.shutdown.requested })
			die := func() {
				link.Close()
				r.waitFor("it knows that its successor has died", func() bool { return r.ingress.successor.stage == handoverNone })
			}
			if order == "before" {
				die()
				r.onLoop(r.ingress.stopAccepting)
			} else {
				r.onLoop(r.ingress.stopAccepting)
				die()
			}
			r.onLoop(func() { r.ingress.Fail("open") })
			if open.line() != "-ERR failed" {
				t.Error("what it had taken was not answered")
			}
			receive(t, r.ended)
			if r.ingress.shutdown.expired {
				t.Error("it waited for a listener that rests")
			}
		})
	}
}

// Guards the descriptors of an ingress that runs as two processes: what the other one still has counts.
func TestHotRestart_ConnectionsElsewhereCountAgainstLimit(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen, r.ingress.clients.openElsewhere = 2, 2, 1
	})
	first := (*testConn)(nil)
	for i := range 2 {
		w := r.client()
		if i == 0 {
			first = w
		}
		w.send("PING")
		if w.line() != "+PONG" {
			t.Fatal("not served")
		}
	}
	if r.onLoop(func() {
		if n := r.ingress.clients.open(); n != 1 {
			t.Errorf("%d connections here and one elsewhere, 2 may be", n)
		}
	}); first.line() != "" {
		t.Error("the one that idles longest was not closed")
	}
}

// Guards clients against a new process that dies right after it took over: the old one goes on with all of them.
func TestHotRestart_SuccessorDies(t *testing.T) {
	addr, conns := listenBackend(t)
	go serveBackend(conns)
	r := startIngress(t, adminConfig(t, addr), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID != "open" { // which keeps the old process
				r.ingress.Send(q.ID, "s0", 0)
			}
		}
	})
	idle, half, busy := r.client(), r.client(), r.client()
	busy.send(lookCommand("open")...)
	receive(t, r.decider.requests)
	idle.send("PING")
	idle.line()
	text := command(lookCommand("half")...)
	write(half, text[:30])
	path, err := hotrestart.SocketPath(os.TempDir(), r.ingress.cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		link := dialAsSuccessor(t, path)
		var limit *timer
		if round > 0 { // the first dies before it is ready
			completeHandover(t, link)
			if r.call("GET", "/v1/readyz") == 200 {
				t.Error("ready with nobody at the listener")
			}
			r.onLoop(func() { limit = r.ingress.successor.endTimer })
		}
		most := 0
		link.Close() // with what was passed on meanwhile
		r.waitFor("the old process goes on", func() bool {
			most = r.ingress.backends.maxConns
			return r.ingress.acceptingClients.Load() && r.ingress.successor.stage == handoverNone && (limit == nil || limit.index < 0) // else all ends by it
		})
		if want := freeDescriptors(r.ingress.cfg) * 3 / 8; most != want {
			t.Errorf("%d connections to backends, want %d again", most, want)
		}
		late := r.client()
		late.send(lookCommand(fmt.Sprint("late", round))...)
		if late.line() != "$1" || late.line() != "v" {
			t.Fatal("a new connection is not served")
		}
	}
}

// Guards the running process against one of other addresses.
func TestHotRestart_OtherListenAddressRejected(t *testing.T) {
	cfg := adminConfig(t, "127.0.0.1:1")
	r := startIngress(t, cfg, nil)
	r.onLoop(func() {}) // it serves, and listens for a successor
	cfg.Listen = "127.0.0.1:1"
	if _, err := newIngress(cfg, r.ingress.log); err == nil || !strings.Contains(err.Error(), "does not hand over") {
		t.Fatal(err)
	}
	w := r.client()
	if w.send("PING"); w.line() != "+PONG" {
		t.Fatal("the running process suffered by it")
	}
}

// Guards chains: a process that is replaced while the one before it still ends. Idle connections come to the last one by way of the
// middle one, what the first holds is answered, and each ends when all before it have.
func TestHotRestart_WhilePredecessorStillDrains(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := adminConfig(t, addr)
	first := startIngress(t, cfg, sendTo(0))
	cfg.Listen = first.ingress.listener.Addr().String()
	busy, idle := first.client(), first.client()
	idle.send("PING")
	idle.line()
	busy.send(lookCommand("busy")...)
	b := receive(t, conns)
	b.command()
	second := startIngress(t, cfg, sendTo(0))
	second.waitFor("the second serves", second.ingress.acceptingClients.Load)
	third := startIngress(t, cfg, nil)
	third.waitFor("the third serves", third.ingress.acceptingClients.Load)
	idle.send("PING")
	if idle.line() != "+PONG" {
		t.Fatal("an idle connection did not come through")
	}
	select {
	case <-second.ended:
		t.Fatal("the second ended while the first has a request open: the first would go on by itself")
	default:
	}
	write(b, servedReply)
	if busy.line() != "$1" || busy.line() != "v" {
		t.Fatal("not answered")
	}
	receive(t, first.ended)
	receive(t, second.ended)
	busy.send(lookCommand("again")...)
	if q := receive(t, third.decider.requests); q.ID != "again" {
		t.Errorf("%+v came to the third", q)
	}
	third.waitFor("nothing is left of the others", func() bool { return third.ingress.predecessor == nil })
}

// Guards ten replacements in a row, with connections that live through all of them.
func TestHotRestart_TenInARow(t *testing.T) {
	addr, conns := listenBackend(t)
	go serveBackend(conns)
	cfg := adminConfig(t, addr)
	current := startIngress(t, cfg, sendTo(0))
	cfg.Listen = current.ingress.listener.Addr().String()
	var clients []*testConn
	for range 5 {
		clients = append(clients, current.client())
	}
	for n := range 10 {
		for i, w := range clients {
			w.send(lookCommand(fmt.Sprint("r", n, "-", i))...)
			if w.line() != "$1" || w.line() != "v" {
				t.Fatalf("client %d is not served by process %d", i, n)
			}
		}
		next := startIngress(t, cfg, sendTo(0))
		next.waitFor("the next serves", next.ingress.acceptingClients.Load)
		receive(t, current.ended)
		next.waitFor("the link has ended", func() bool { return next.ingress.predecessor == nil })
		current = next
	}
}
