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

// fakeMigratingDecider is a decider that migrates; it records what it is asked.
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

// fleetMemberConfig is a configuration of a forwarder with an admin address.
func fleetMemberConfig(t *testing.T, backends ...string) ingressconfig.Config {
	cfg := adminConfig(t, backends...)
	cfg.FleetMember = true
	return cfg
}

func openRequest(id string) snapshot.OpenRequest {
	return snapshot.OpenRequest{Request: policy.Request{ID: id, Class: "look"}}
}

// Guards requests that the old process of a forwarder holds: the new one decides on them, each is answered where it was asked, and the
// old process ends with the last of them.
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
		t.Fatalf("%+v", m)
	}
	successor.onLoop(func() { successor.ingress.Send("served", "s0", 0) })
	b := receive(t, conns)
	b.command()
	if o := receive(t, oldDecider.ordered); o.Kind != snapshot.OrderSend || o.ID != "served" {
		t.Errorf("%+v was not written down", o)
	}
	write(b, servedReply)
	if served.line() != "$1" || served.line() != "v" {
		t.Error("the answer did not come")
	}
	if o := receive(t, newDecider.outcomes); o.ID != "served" || o.Status != policy.OK || !o.Completed {
		t.Errorf("the new process hears %+v", o)
	}
	successor.onLoop(func() { successor.ingress.Reject("refused", 0.5) })
	if refused.line() != "-BUSY 500" {
		t.Error("not refused")
	}
	successor.onLoop(func() { successor.ingress.Send("late", "s0", 0) }) // the old process knows nothing of it any more
	if o := receive(t, newDecider.outcomes); o.ID != "late" || o.Status != policy.NotSent || !o.Completed {
		t.Errorf("%+v", o)
	}
	predecessor.onLoop(func() {
		predecessor.ingress.handleDisconnect(predecessor.ingress.requests["left"].client, closeByClient)
	}) // a reader that rests hears of no hang-up
	if receive(t, newDecider.disconnects) != "left" {
		t.Error("a client that has gone is not told of")
	}
	receive(t, predecessor.ended)
	successor.waitFor("nothing is left of it", func() bool {
		return successor.ingress.predecessor == nil && successor.ingress.predecessorRequests == nil
	})
}

// Guards a request of which the old process reads the rest after all went over, and a client that asks the new one for it again.
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
	predecessor.onLoop(func() { // as if its reader had been that late
		predecessor.ingress.decider.HandleRequest(predecessor.ingress.now, policy.Request{ID: "second", Class: "look"})
	})
	if q := receive(t, newDecider.requests); q.ID != "second" {
		t.Errorf("%+v", q)
	}
	again := successor.client()
	again.send(lookCommand("first")...)
	if !strings.HasPrefix(again.line(), "-ERR") {
		t.Error("a request that is open was taken twice")
	}
	successor.onLoop(func() { successor.ingress.Fail("first") })
	if w.line() != "-ERR failed" {
		t.Error("not failed")
	}
}

// Guards fencing against a new process that dies, and against one that only seems to: the old one takes back what it may, once nobody
// else has the lock.
func TestRelay_DeciderReclaimedUnderLock(t *testing.T) {
	cfg := fleetMemberConfig(t, "127.0.0.1:1")
	var m *fakeMigratingDecider
	r := startIngress(t, cfg, func(r *testIngress) { m = newFakeMigratingDecider(r, openRequest("open")) })
	w := r.client()
	w.send(lookCommand("open")...)
	receive(t, m.requests)
	path, err := hotrestart.SocketPath(os.TempDir(), cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	otherLock := hotrestart.NewLock(os.TempDir(), cfg.Name)
	if otherLock.TryAcquire() == nil {
		t.Fatal("a running forwarder has no lock")
	}
	link := dialAsSuccessor(t, path)
	noError(t, link.Send(hotrestart.Ready, nil, testTimeout))
	if _, err := link.Expect(hotrestart.Snapshot, 0, testTimeout); err != nil {
		t.Fatal(err)
	}
	if _, err := link.Expect(hotrestart.Proceed, 0, testTimeout); err != nil {
		t.Fatal(err)
	}
	if err := otherLock.TryAcquire(); err != nil { // the new process runs on, though its link breaks
		t.Fatal(err)
	}
	link.Close()
	r.waitFor("the link's end was heard", func() bool { return r.ingress.successor.stage == handoverNone })
	r.onLoop(func() {
		if _, migrated := r.ingress.decider.(*eventRelay); !migrated || len(m.reclaimed) > 0 {
			t.Error("taken back while another process may speak for this forwarder")
		}
	})
	otherLock.Release()
	receive(t, m.reclaimed)
	r.waitFor("the gateway is its own again", func() bool { return r.ingress.decider == Decider(m) })
	r.onLoop(func() { r.ingress.Reject("open", 0) })
	if !strings.HasPrefix(w.line(), "-BUSY") {
		t.Error("a request was lost on the way there and back")
	}
}

// Guards against a second process that would speak for a forwarder whose old process has not let go.
func TestRelay_NoServiceWithoutLock(t *testing.T) {
	cfg := fleetMemberConfig(t, "127.0.0.1:1")
	otherLock := hotrestart.NewLock(os.TempDir(), cfg.Name)
	if err := otherLock.TryAcquire(); err != nil {
		t.Fatal(err)
	}
	if _, err := newIngress(cfg, slog.New(slog.NewTextHandler(io.Discard, nil))); err == nil || !strings.Contains(err.Error(), "lock") {
		t.Errorf("started beside another: %v", err)
	}
	otherLock.Release()
	r := startIngress(t, cfg, func(r *testIngress) { newFakeMigratingDecider(r) })
	cfg.Listen = r.ingress.listener.Addr().String()
	r.onLoop(func() {}) // it listens for a successor
	in, err := newIngress(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.onLoop(func() { r.ingress.successor.stage = handoverPausing }) // it won't hand over
	if err := in.serve(context.Background(), nil, newFakeDecider()); err == nil {
		t.Error("served though nothing was handed over")
	}
	r.onLoop(func() { r.ingress.successor.stage = handoverNone })
	if w := r.client(); true {
		w.send("PING")
		if w.line() != "+PONG" {
			t.Error("the running process suffered by it")
		}
	}
}

// Guards the new process against the death of the old one: what that had out is broken off, once.
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
	predecessor.onLoop(func() { predecessor.ingress.successor.link.Close() }) // as far as the new process can tell
	if receive(t, newDecider.disconnects) != "a" {
		t.Error("its request is still waited for")
	}
	if o := receive(t, newDecider.outcomes); o.ID != "a" || o.Status != policy.Reset || !o.Completed {
		t.Errorf("%+v", o)
	}
	select {
	case o := <-newDecider.outcomes:
		t.Errorf("and once more: %+v", o)
	case <-time.After(10 * time.Millisecond):
	}
}
