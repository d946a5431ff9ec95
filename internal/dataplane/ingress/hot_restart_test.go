package ingress

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"eiderspread/policy"
)

// Guards connections of every kind while a process is replaced: idle, with an open request, with half a command read, with half a command
// behind an open request, and new. Each is answered, none is refused or closed, and backends that operators cordoned stay cordoned.
func TestHotRestart_TransfersClients(t *testing.T) {
	addr, conns := listenBackend(t)
	other, otherConns := listenBackend(t)
	go serveBackend(otherConns)
	cfg := adminConfig(t, addr, other)
	predecessor := startIngress(t, cfg, sendTo(0))
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	if predecessor.call("POST", "/v1/backends/s1/suspend") != 200 {
		t.Fatal("backend s1 was not suspended")
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
		t.Error("readyz: want the new process ready and the old one not ready")
	}
	for s := (policy.Backend{}); s.State != policy.Draining; {
		s = backendIn(t, receive(t, successor.decider.lists), "s1")
	}
	fresh := successor.client()
	fresh.send("PING")
	if fresh.line() != "+PONG" {
		t.Error("new connection: got no +PONG from the new process")
	}
	idle.send("PING")
	if idle.line() != "+PONG" {
		t.Error("idle connection: got no +PONG after the hand-over")
	}
	write(half, text[30:])
	if q := receive(t, successor.decider.requests); q.ID != "half" {
		t.Errorf("new process got request %+v, want half", q)
	}
	hb := receive(t, conns)
	if hb.command() == nil {
		t.Fatal("request half was not sent to the backend")
	}
	write(hb, servedReply)
	if half.line() != "$1" || half.line() != "v" {
		t.Error("request half: the client did not get the value")
	}
	select {
	case <-predecessor.ended:
		t.Fatal("the old process ended with a request open")
	default:
	}
	write(b, servedReply)
	if busy.line() != "$1" || busy.line() != "v" {
		t.Error("request busy: the client did not get the value from the old process")
	}
	receive(t, predecessor.ended)
	write(busy, command(lookCommand("behind")...)[50:])
	if q := receive(t, successor.decider.requests); q.ID != "behind" {
		t.Errorf("new process got request %+v, want behind", q)
	}
	successor.waitFor("the link has ended", func() bool { return successor.ingress.predecessor == nil })
	if successor.call("POST", "/v1/backends/s1/resume") != 200 {
		t.Error("backend s1, suspended before the hand-over, can't be resumed at the new process")
	}
}

// Guards the shutdown of a process that got SIGTERM during a hand-over and whose successor then dies: it answers its open requests and
// ends; it accepts no connections again.
func TestHotRestart_SuccessorDiesAfterSIGTERM(t *testing.T) {
	for _, order := range []string{"after it leaves", "before"} {
		t.Run(order, func(t *testing.T) {
			// The test calls stopAccepting itself.
			r := startIngress(t, adminConfig(t, "127.0.0.1:1"), func(r *testIngress) { r.ingress.acceptFor = time.Hour })
			open, idle := r.client(), r.client()
			idle.send("PING")
			idle.line()
			open.send(lookCommand("open")...)
			receive(t, r.decider.requests)
			link := r.startHandover()
			r.terminate()
			r.waitFor("the shutdown is requested", func() bool { return r.ingress.shutdown.requested })
			die := func() {
				link.Close()
				r.waitFor("the loop has handled the death of the successor", func() bool { return r.ingress.successor.stage == handoverNone })
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
				t.Error("request open: the client did not get -ERR failed")
			}
			receive(t, r.ended)
			if r.ingress.shutdown.expired {
				t.Error("the shutdown expired after its last request was answered, as if it waited for the paused listener")
			}
		})
	}
}

// Guards the limit on descriptors while an ingress runs as two processes: the connections of the other process count.
func TestHotRestart_ConnectionsElsewhereCountAgainstLimit(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), func(r *testIngress) {
		r.ingress.clients.evictIdleFrom, r.ingress.clients.maxOpen, r.ingress.clients.predecessorConns = 2, 2, 1
	})
	first := (*testConn)(nil)
	for i := range 2 {
		w := r.client()
		if i == 0 {
			first = w
		}
		w.send("PING")
		if w.line() != "+PONG" {
			t.Fatalf("client %d got no +PONG", i)
		}
		r.waitForSettledClients()
	}
	if r.onLoop(func() {
		if n := r.ingress.clients.open(); n != 1 {
			t.Errorf("%d connections in this process and 1 in the other, want 1 and 1", n)
		}
	}); first.line() != "" {
		t.Error("the connection that was idle longest was not closed")
	}
}

// Guards clients against a new process that dies before or right after it took over: the old process continues to serve all of them.
func TestHotRestart_SuccessorDies(t *testing.T) {
	addr, conns := listenBackend(t)
	go serveBackend(conns)
	r := startIngress(t, adminConfig(t, addr), func(r *testIngress) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID != "open" { // stays open, so that the old process does not end
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
	for round := range 3 {
		link := dialAsSuccessor(t, r.ingress.cfg.Name)
		var endTimer *timer
		if round > 0 { // the first new process dies before it is ready
			completeHandover(t, link)
			if r.call("GET", "/v1/readyz") == 200 {
				t.Error("readyz: the old process is ready though it does not accept connections")
			}
			r.onLoop(func() { endTimer = r.ingress.successor.endTimer })
		}
		maxConns := 0
		link.Close() // connections that were transferred by now are lost
		// endTimer must be stopped: it would end the process.
		r.waitFor("the old process accepts connections again", func() bool {
			maxConns = r.ingress.backends.maxConns
			return r.ingress.acceptingClients.Load() && r.ingress.successor.stage == handoverNone && (endTimer == nil || endTimer.index < 0)
		})
		if want := freeDescriptors(r.ingress.cfg) * 3 / 8; maxConns != want {
			t.Errorf("limit of %d connections to backends, want %d as before the hand-over", maxConns, want)
		}
		late := r.client()
		late.send(lookCommand(fmt.Sprint("late", round))...)
		if late.line() != "$1" || late.line() != "v" {
			t.Fatalf("round %d: a new connection did not get the value", round)
		}
	}
}

// Guards against two readers of one connection (postmortem of 2026-12-03): a successor that dies before the old process knows that a connection
// has reached it may have read a request from it. The old process closes such a connection, and serves one that it has not sent.
func TestHotRestart_SuccessorDiesWithUnconfirmedTransfer(t *testing.T) {
	for name, sent := range map[string]bool{"sent": true, "queued": false} {
		t.Run(name, func(t *testing.T) {
			r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
			open := r.client() // its request keeps the old process running
			open.send(lookCommand("open")...)
			receive(t, r.decider.requests)
			link := r.startHandover()
			r.waitForReadersStopped()
			r.onLoop(func() { // as if the successor had died between the send and its confirmation
				for c := range r.ingress.clients.conns {
					c.reader = readerTransferring
					c.sentToSuccessor.Store(sent)
				}
			})
			link.Close()
			r.waitFor("the death is handled", func() bool { return r.ingress.successor.stage == handoverNone })
			r.onLoop(func() { r.ingress.Fail("open") })
			if got := open.line(); got == "-ERR failed" && sent || got != "-ERR failed" && !sent {
				t.Errorf("connection %s to the successor: the client read %q", name, got)
			}
		})
	}
}

// Guards against a client that is disconnected by a hot restart because the new process has no memory left at that moment (review/3): the part
// of a command that comes with the connection is kept.
func TestHotRestart_ClientResumedWithoutMemory(t *testing.T) {
	r := startIngress(t, testConfig("127.0.0.1:1"), nil)
	client, accepted := tcpPair(t)
	text := command("CALL.POST", customer, "big", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", 20_000))
	available := int(r.ingress.inputBudget.Available())
	r.ingress.inputBudget.Reserve(available)
	r.ingress.clients.connPermits <- struct{}{}
	if err := r.ingress.resumeClient(accepted, []byte(text[:10_000]), nil); err != nil {
		t.Fatal(err)
	}
	r.ingress.inputBudget.Release(available)
	write(client, text[10_000:])
	if q := receive(t, r.decider.requests); q.ID != "big" {
		t.Errorf("got request %+v, want big", q)
	}
	r.onLoop(func() { r.ingress.Fail("big") })
	client.line()
	r.waitFor("the whole budget is released", func() bool { return int(r.ingress.inputBudget.Available()) == available })
}

// Guards the running process against a hand-over to a process with another listen address, which must not start.
func TestHotRestart_OtherListenAddressRejected(t *testing.T) {
	cfg := adminConfig(t, "127.0.0.1:1")
	r := startIngress(t, cfg, nil)
	r.onLoop(func() {}) // by then, it serves and listens for a successor
	cfg.Listen = "127.0.0.1:1"
	if _, err := newIngress(cfg, r.ingress.log); err == nil || !strings.Contains(err.Error(), "does not hand over") {
		t.Fatalf("start with another listen address: got error %v, want a failed hand-over", err)
	}
	w := r.client()
	if w.send("PING"); w.line() != "+PONG" {
		t.Fatal("the running process does not answer PING after the failed hand-over")
	}
}

// Guards a process that is replaced while its own predecessor still drains. Idle connections reach the third process through the second,
// the first answers its open request, and each process ends only after its predecessor.
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
		t.Fatal("idle connection: got no +PONG from the third process")
	}
	select {
	case <-second.ended:
		t.Fatal("the second process ended before the first, which has an open request: the first would serve again")
	default:
	}
	write(b, servedReply)
	if busy.line() != "$1" || busy.line() != "v" {
		t.Fatal("request busy: the client did not get the value from the first process")
	}
	receive(t, first.ended)
	receive(t, second.ended)
	busy.send(lookCommand("again")...)
	if q := receive(t, third.decider.requests); q.ID != "again" {
		t.Errorf("third process got request %+v, want again", q)
	}
	third.waitFor("the link to the predecessor has ended", func() bool { return third.ingress.predecessor == nil })
}

// Guards connections that stay open through ten replacements in a row.
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
				t.Fatalf("client %d did not get the value from process %d", i, n)
			}
		}
		next := startIngress(t, cfg, sendTo(0))
		next.waitFor("the next serves", next.ingress.acceptingClients.Load)
		receive(t, current.ended)
		next.waitFor("the link has ended", func() bool { return next.ingress.predecessor == nil })
		current = next
	}
}

// Guards against a goroutine that each lost successor leaves behind for the rest of the process.
func TestHotRestart_LostSuccessorLeavesNoSender(t *testing.T) {
	senders := func() int {
		stacks := make([]byte, 1<<20)
		return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "sendToSuccessor(")
	}
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	open := r.client() // its request keeps the process running
	open.send(lookCommand("open")...)
	receive(t, r.decider.requests)
	before := senders()
	link := r.startHandover()
	r.waitForReadersStopped()
	link.Close()
	r.waitFor("the death is handled", func() bool { return r.ingress.successor.stage == handoverNone })
	r.waitFor("the sender has ended", func() bool { return senders() <= before })
}

// Guards against a process without clients that ends before it has sent its successor its state, which then serves without it, or not at all
// (found with report cd2502 in upgrades late in a drain).
func TestHotRestart_ProcessWithoutClientsSendsItsState(t *testing.T) {
	r := startIngress(t, adminConfig(t, "127.0.0.1:1"), nil)
	r.onLoop(func() {
		r.ingress.shutdown.closingClients, r.ingress.accept = true, nil
		r.ingress.successor.stage = handoverActive
		if r.ingress.shutdownComplete() {
			t.Error("the process ends before it has sent its state")
		}
		r.ingress.handleProceeded(r.ingress.successor.link)
		if !r.ingress.shutdownComplete() {
			t.Error("the process goes on although it has sent its state and has no clients")
		}
	})
}
