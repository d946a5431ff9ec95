package ingress

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/kept"
	"eiderspread/internal/takeover"
	"eiderspread/policy"
)

// mover is a gateway that moves; it writes down what it is asked.
type mover struct {
	*module
	moved   []kept.Part
	settled chan []kept.Part
	ordered chan kept.Order
	back    chan struct{}
}

func newMover(r *rig, open ...kept.Open) *mover {
	m := &mover{module: r.mod, settled: make(chan []kept.Part, 1), ordered: make(chan kept.Order, 64), back: make(chan struct{}, 1)}
	m.moved = kept.Moved{Life: 7, Open: open}.Split()
	r.gate = m
	return m
}

func (m *mover) Move(float64) []kept.Part { return m.moved }
func (m *mover) Settle(_, _ float64, parts []kept.Part) error {
	m.settled <- parts
	return nil
}
func (m *mover) Ordered(_ float64, o kept.Order) { m.ordered <- o }
func (m *mover) TakeBack(float64)                { m.back <- struct{}{} }

// member is a configuration of a forwarder with a door.
func member(t *testing.T, backends ...string) Config {
	cfg := withDoor(t, backends...)
	cfg.Member = true
	return cfg
}

func openOf(id string) kept.Open { return kept.Open{Request: policy.Request{ID: id, Class: "look"}} }

const answer = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

// Guards requests that the old process of a forwarder holds: the new one decides on them, each is answered where it was asked, and the
// old process ends with the last of them.
func TestOldProcessDoesWhatTheNewOneDecides(t *testing.T) {
	addr, conns := listen(t)
	cfg := member(t, addr)
	var was, is *mover
	old := start(t, cfg, func(r *rig) { was = newMover(r, openOf("served"), openOf("refused"), openOf("left"), openOf("late")) })
	cfg.Listen = old.in.listener.Addr().String()
	served, refused, left := old.client(), old.client(), old.client()
	for id, w := range map[string]*wire{"served": served, "refused": refused, "left": left} {
		w.send(look(id)...)
		get(t, was.requests)
	}
	young := start(t, cfg, func(r *rig) { is = newMover(r) })
	if m, ok := kept.Join(get(t, is.settled)); !ok || len(m.Open) != 4 || m.Life != 7 {
		t.Fatalf("%+v", m)
	}
	young.do(func() { young.in.Send("served", "s0", 0) })
	b := get(t, conns)
	b.command()
	if o := get(t, was.ordered); o.Kind != kept.Send || o.ID != "served" {
		t.Errorf("%+v was not written down", o)
	}
	io.WriteString(b, answer)
	if served.line() != "$1" || served.line() != "v" {
		t.Error("the answer did not come")
	}
	if o := get(t, is.outcomes); o.ID != "served" || o.Status != policy.OK || !o.Over {
		t.Errorf("the new process hears %+v", o)
	}
	young.do(func() { young.in.Refuse("refused", 0.5) })
	if refused.line() != "-BUSY 500" {
		t.Error("not refused")
	}
	young.do(func() { young.in.Send("late", "s0", 0) }) // the old process knows nothing of it any more
	if o := get(t, is.outcomes); o.ID != "late" || o.Status != policy.Moot || !o.Over {
		t.Errorf("%+v", o)
	}
	old.do(func() { old.in.clientGone(old.in.requests["left"].client, closeByClient) }) // a reader that rests hears of no hang-up
	if get(t, is.gone) != "left" {
		t.Error("a client that has gone is not told of")
	}
	get(t, old.end)
	young.until("nothing is left of it", func() bool { return young.in.heir == nil && young.in.elders == nil })
}

// Guards a request of which the old process reads the rest after all went over, and a client that asks the new one for it again.
func TestRequestReadLate(t *testing.T) {
	cfg := member(t, "127.0.0.1:1")
	var was, is *mover
	old := start(t, cfg, func(r *rig) { was = newMover(r, openOf("first")) })
	cfg.Listen = old.in.listener.Addr().String()
	w := old.client()
	w.send(look("first")...)
	get(t, was.requests)
	young := start(t, cfg, func(r *rig) { is = newMover(r) })
	get(t, is.settled)
	old.do(func() { // as if its reader had been that late
		old.in.gate.Request(old.in.now, policy.Request{ID: "second", Class: "look"})
	})
	if q := get(t, is.requests); q.ID != "second" {
		t.Errorf("%+v", q)
	}
	again := young.client()
	again.send(look("first")...)
	if !strings.HasPrefix(again.line(), "-ERR") {
		t.Error("a request that is open was taken twice")
	}
	young.do(func() { young.in.Fail("first") })
	if w.line() != "-ERR failed" {
		t.Error("not failed")
	}
}

// Guards fencing against a new process that dies, and against one that only seems to: the old one takes back what it may, once nobody
// else has the lock.
func TestTakenBackUnderTheLock(t *testing.T) {
	cfg := member(t, "127.0.0.1:1")
	var m *mover
	r := start(t, cfg, func(r *rig) { m = newMover(r, openOf("open")) })
	w := r.client()
	w.send(look("open")...)
	get(t, m.requests)
	path, err := takeover.Path(os.TempDir(), cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	other := takeover.NewLock(os.TempDir(), cfg.Name)
	if other.Take() == nil {
		t.Fatal("a running forwarder has no lock")
	}
	link := successor(t, path)
	link.Send(takeover.Ready, nil, patience)
	if _, err := link.Expect(takeover.Kept, 0, patience); err != nil {
		t.Fatal(err)
	}
	if _, err := link.Expect(takeover.Go, 0, patience); err != nil {
		t.Fatal(err)
	}
	if err := other.Take(); err != nil { // the new process runs on, though its link breaks
		t.Fatal(err)
	}
	link.Close()
	r.until("the link's end was heard", func() bool { return r.in.heirs.stage == none })
	r.do(func() {
		if _, quiet := r.in.gate.(*relay); !quiet || len(m.back) > 0 {
			t.Error("taken back while another process may speak for this forwarder")
		}
	})
	other.Release()
	get(t, m.back)
	r.until("the gateway is its own again", func() bool { return r.in.gate == Gateway(m) })
	r.do(func() { r.in.Refuse("open", 0) })
	if !strings.HasPrefix(w.line(), "-BUSY") {
		t.Error("a request was lost on the way there and back")
	}
}

// Guards against a second process that would speak for a forwarder whose old process has not let go.
func TestNobodyServesWithoutTheLock(t *testing.T) {
	cfg := member(t, "127.0.0.1:1")
	other := takeover.NewLock(os.TempDir(), cfg.Name)
	if err := other.Take(); err != nil {
		t.Fatal(err)
	}
	if _, err := open(cfg, slog.New(slog.NewTextHandler(io.Discard, nil))); err == nil || !strings.Contains(err.Error(), "lock") {
		t.Errorf("started beside another: %v", err)
	}
	other.Release()
	r := start(t, cfg, func(r *rig) { newMover(r) })
	cfg.Listen = r.in.listener.Addr().String()
	r.do(func() {}) // it listens for a successor
	in, err := open(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	r.do(func() { r.in.heirs.stage = stopping }) // it won't hand over
	if err := in.serve(context.Background(), nil, newModule()); err == nil {
		t.Error("served though nothing was handed over")
	}
	r.do(func() { r.in.heirs.stage = none })
	if w := r.client(); true {
		w.send("PING")
		if w.line() != "+PONG" {
			t.Error("the running process suffered by it")
		}
	}
}

// Guards the new process against the death of the old one: what that had out is broken off, once.
func TestOldProcessDies(t *testing.T) {
	addr, conns := listen(t)
	cfg := member(t, addr)
	old := start(t, cfg, func(r *rig) { newMover(r, openOf("a")) })
	cfg.Listen = old.in.listener.Addr().String()
	w := old.client()
	w.send(look("a")...)
	get(t, old.mod.requests)
	var is *mover
	young := start(t, cfg, func(r *rig) { is = newMover(r) })
	get(t, is.settled)
	young.do(func() { young.in.Send("a", "s0", 0) })
	get(t, conns).command()
	old.do(func() { old.in.heirs.link.Close() }) // as far as the new process can tell
	if get(t, is.gone) != "a" {
		t.Error("its request is still waited for")
	}
	if o := get(t, is.outcomes); o.ID != "a" || o.Status != policy.Reset || !o.Over {
		t.Errorf("%+v", o)
	}
	select {
	case o := <-is.outcomes:
		t.Errorf("and once more: %+v", o)
	case <-time.After(10 * time.Millisecond):
	}
}
