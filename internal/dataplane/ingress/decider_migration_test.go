package ingress

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/hotrestart"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/decision/snapshot"
	"eiderspread/policy"
)

// fakeMigratingDecider is a fakeDecider that migrates, and records the calls of MigratingDecider's methods.
type fakeMigratingDecider struct {
	*fakeDecider
	migrated  []snapshot.Part
	resumed   chan []snapshot.Part
	ordered   chan snapshot.Order
	reclaimed chan struct{}
}

func newFakeMigratingDecider(r *testIngress, open ...snapshot.OpenRequest) *fakeMigratingDecider {
	m := &fakeMigratingDecider{fakeDecider: r.decider, resumed: make(chan []snapshot.Part, 1), ordered: make(chan snapshot.Order, 64), reclaimed: make(chan struct{}, 1)}
	m.migrated = snapshot.ForwarderState{Incarnation: 7, Requests: open}.Split()
	r.otherDecider = m
	return m
}

func (m *fakeMigratingDecider) Migrate(float64) []snapshot.Part { return m.migrated }

func (m *fakeMigratingDecider) Resume(_, _ float64, parts []snapshot.Part) error {
	m.resumed <- parts
	return nil
}

func (m *fakeMigratingDecider) RecordOrder(_ float64, o snapshot.Order) { m.ordered <- o }

func (m *fakeMigratingDecider) Reclaim(float64) { m.reclaimed <- struct{}{} }

// fleetMemberConfig returns the configuration of a forwarder with an admin address.
func fleetMemberConfig(t *testing.T, backends ...string) ingressconfig.Config {
	cfg := adminConfig(t, backends...)
	cfg.FleetMember = true
	return cfg
}

func openRequest(id string) snapshot.OpenRequest {
	return snapshot.OpenRequest{Request: policy.Request{ID: id, Class: "look"}}
}

// Guards requests that the old process of a forwarder holds when it is replaced: the new process decides on them, the old process answers
// them on their connections, and ends with the last of them.
func TestRelay_PredecessorExecutesOrders(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := fleetMemberConfig(t, addr)
	var oldDecider, newDecider *fakeMigratingDecider
	predecessor := startIngress(t, cfg, func(r *testIngress) {
		oldDecider = newFakeMigratingDecider(r, openRequest("served"), openRequest("refused"), openRequest("left"), openRequest("late"))
	})
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	served, refused, left := predecessor.client(), predecessor.client(), predecessor.client()
	for id, w := range map[string]*testConn{"served": served, "refused": refused, "left": left} {
		w.send(lookCommand(id)...)
		receive(t, oldDecider.requests)
	}
	successor := startIngress(t, cfg, func(r *testIngress) { newDecider = newFakeMigratingDecider(r) })
	if m, ok := snapshot.Join(receive(t, newDecider.resumed)); !ok || len(m.Requests) != 4 || m.Incarnation != 7 {
		t.Fatalf("resumed from %+v, want 4 requests and incarnation 7", m)
	}
	successor.onLoop(func() { successor.ingress.Send("served", "s0", 0) })
	b := receive(t, conns)
	b.command()
	if o := receive(t, oldDecider.ordered); o.Kind != snapshot.OrderSend || o.ID != "served" {
		t.Errorf("old decider recorded order %+v, want a send of request served", o)
	}
	write(b, servedReply)
	if served.line() != "$1" || served.line() != "v" {
		t.Error("request served: the client did not get the value")
	}
	if o := receive(t, newDecider.outcomes); o.ID != "served" || o.Status != policy.OK || !o.Completed {
		t.Errorf("new decider got outcome %+v, want OK and completed for request served", o)
	}
	successor.onLoop(func() { successor.ingress.Reject("refused", 0.5) })
	if refused.line() != "-BUSY 500" {
		t.Error("request refused: the client did not get -BUSY 500")
	}
	successor.onLoop(func() { successor.ingress.Send("late", "s0", 0) }) // the old process does not have this request
	if o := receive(t, newDecider.outcomes); o.ID != "late" || o.Status != policy.NotSent || !o.Completed {
		t.Errorf("new decider got outcome %+v, want NotSent and completed for request late", o)
	}
	predecessor.onLoop(func() { // a stopped reader does not notice that the client closes the connection
		predecessor.ingress.handleDisconnect(predecessor.ingress.requests["left"].client, closeByClient)
	})
	if receive(t, newDecider.disconnects) != "left" {
		t.Error("request left: the new decider was not notified of the disconnect")
	}
	receive(t, predecessor.ended)
	successor.waitFor("the link and the predecessor's requests have ended", func() bool {
		return successor.ingress.predecessor == nil && successor.ingress.predecessorRequests == nil
	})
}

// Guards a request whose last bytes the old process reads after the hand-over: the new process decides on it. Guards also against a second
// request with the id of one that the old process holds.
func TestRelay_RequestReadAfterHandover(t *testing.T) {
	cfg := fleetMemberConfig(t, "127.0.0.1:1")
	var oldDecider, newDecider *fakeMigratingDecider
	predecessor := startIngress(t, cfg, func(r *testIngress) { oldDecider = newFakeMigratingDecider(r, openRequest("first")) })
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	w := predecessor.client()
	w.send(lookCommand("first")...)
	receive(t, oldDecider.requests)
	successor := startIngress(t, cfg, func(r *testIngress) { newDecider = newFakeMigratingDecider(r) })
	receive(t, newDecider.resumed)
	predecessor.onLoop(func() { // as if the reader had posted it late
		predecessor.ingress.decider.HandleRequest(predecessor.ingress.now, policy.Request{ID: "second", Class: "look"})
	})
	if q := receive(t, newDecider.requests); q.ID != "second" {
		t.Errorf("new decider got request %+v, want second", q)
	}
	again := successor.client()
	again.send(lookCommand("first")...)
	if !strings.HasPrefix(again.line(), "-ERR") {
		t.Error("request first was accepted a second time while it is open")
	}
	successor.onLoop(func() { successor.ingress.Fail("first") })
	if w.line() != "-ERR failed" {
		t.Error("request first: the client did not get -ERR failed")
	}
}

// Guards the fencing of a new process whose link breaks, as it died or only seems to have died: the old process reclaims its decider only
// once no other process holds the member lock.
func TestRelay_DeciderReclaimedUnderLock(t *testing.T) {
	cfg := fleetMemberConfig(t, "127.0.0.1:1")
	var m *fakeMigratingDecider
	r := startIngress(t, cfg, func(r *testIngress) { m = newFakeMigratingDecider(r, openRequest("open")) })
	w := r.client()
	w.send(lookCommand("open")...)
	receive(t, m.requests)
	otherLock := hotrestart.NewLock(os.TempDir(), cfg.Name)
	if otherLock.TryAcquire() == nil {
		t.Fatal("a running forwarder does not hold the member lock")
	}
	link := dialAsSuccessor(t, cfg.Name)
	noError(t, link.Send(hotrestart.Ready, nil, testTimeout))
	if _, err := link.Expect(hotrestart.Snapshot, 0, testTimeout); err != nil {
		t.Fatal(err)
	}
	if _, err := link.Expect(hotrestart.Proceed, 0, testTimeout); err != nil {
		t.Fatal(err)
	}
	if err := otherLock.TryAcquire(); err != nil { // as if the new process continued to run after its link broke
		t.Fatal(err)
	}
	link.Close()
	r.waitFor("the loop has handled the end of the link", func() bool { return r.ingress.successor.stage == handoverNone })
	r.onLoop(func() {
		if _, migrated := r.ingress.decider.(*eventRelay); !migrated || len(m.reclaimed) > 0 {
			t.Error("decider reclaimed while another process holds the member lock")
		}
	})
	otherLock.Release()
	receive(t, m.reclaimed)
	r.waitFor("the decider is back in place of the relay", func() bool { return r.ingress.decider == Decider(m) })
	r.onLoop(func() { r.ingress.Reject("open", 0) })
	if !strings.HasPrefix(w.line(), "-BUSY") {
		t.Error("request open: the client got no -BUSY after the decider was reclaimed")
	}
}

// Guards against a second process that serves for a forwarder while the old process holds the member lock or does not hand over.
func TestRelay_NoServiceWithoutLock(t *testing.T) {
	cfg := fleetMemberConfig(t, "127.0.0.1:1")
	otherLock := hotrestart.NewLock(os.TempDir(), cfg.Name)
	if err := otherLock.TryAcquire(); err != nil {
		t.Fatal(err)
	}
	if _, err := newIngress(cfg, slog.New(slog.NewTextHandler(io.Discard, nil))); err == nil || !strings.Contains(err.Error(), "lock") {
		t.Errorf("start while another process holds the lock: got error %v, want one about the lock", err)
	}
	otherLock.Release()
	r := startIngress(t, cfg, func(r *testIngress) { newFakeMigratingDecider(r) })
	cfg.Listen = r.ingress.listener.Addr().String()
	r.onLoop(func() {}) // when this call has returned, the ingress listens for a successor
	in, err := newIngress(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.onLoop(func() { r.ingress.successor.stage = handoverPausing }) // it rejects a hand-over in this state
	if err := in.serve(context.Background(), nil, newFakeDecider()); err == nil {
		t.Error("new process served without a hand-over")
	}
	r.onLoop(func() { r.ingress.successor.stage = handoverNone })
	if w := r.client(); true {
		w.send("PING")
		if w.line() != "+PONG" {
			t.Error("the running process does not answer PING after the rejected hand-over")
		}
	}
}

// Guards the new process against the death of the old one: the decider is notified exactly once that the requests of the old process ended.
func TestRelay_PredecessorDies(t *testing.T) {
	addr, conns := listenBackend(t)
	cfg := fleetMemberConfig(t, addr)
	predecessor := startIngress(t, cfg, func(r *testIngress) { newFakeMigratingDecider(r, openRequest("a")) })
	cfg.Listen = predecessor.ingress.listener.Addr().String()
	w := predecessor.client()
	w.send(lookCommand("a")...)
	receive(t, predecessor.decider.requests)
	var newDecider *fakeMigratingDecider
	successor := startIngress(t, cfg, func(r *testIngress) { newDecider = newFakeMigratingDecider(r) })
	receive(t, newDecider.resumed)
	successor.onLoop(func() { successor.ingress.Send("a", "s0", 0) })
	receive(t, conns).command()
	predecessor.onLoop(func() { predecessor.ingress.successor.link.Close() }) // to the new process, this is the death of the old one
	if receive(t, newDecider.disconnects) != "a" {
		t.Error("the new decider was not notified of the disconnect of request a")
	}
	if o := receive(t, newDecider.outcomes); o.ID != "a" || o.Status != policy.Reset || !o.Completed {
		t.Errorf("got outcome %+v, want Reset and completed for request a", o)
	}
	select {
	case o := <-newDecider.outcomes:
		t.Errorf("got a second outcome %+v, want one", o)
	case <-time.After(10 * time.Millisecond):
	}
}
