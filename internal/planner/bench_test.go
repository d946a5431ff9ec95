package planner

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
	"eiderspread/policy"
)

// discard answers every Send at once on the next turn, through the codec as a link would.
type discard struct {
	buf   []byte
	sends []link.Msg
}

func (d *discard) Link(_ int, msgs ...link.Msg) {
	for i := range msgs {
		if d.buf = link.Append(d.buf, &msgs[i]); msgs[i].Kind == link.Send {
			d.sends = append(d.sends, msgs[i])
		}
	}
}
func (d *discard) Log(string, ...any) {}

// newBenchHost makes a host that leads all cells, for 20 forwarders, and what renews its leads.
func newBenchHost(tb testing.TB, plan policy.Plan) (*Host, *discard, func(now float64)) {
	p := fleet.Params{Name: "b", Forwarders: 20, Planners: 1, Cells: 6}
	if err := p.Check(); err != nil {
		tb.Fatal(err)
	}
	out, now := &discard{}, 1000.0
	h, err := NewHost(Config{Params: p, Seed: 1, Settings: policy.Settings{Gateways: 1, Cancel: true, MaxAttempts: 5, MaxRetryAfterS: 1,
		Classes: simClasses, Plans: []policy.Plan{plan}}}, now, out)
	if err != nil {
		tb.Fatal(err)
	}
	var list []policy.Server
	for i := range 50 {
		list = append(list, policy.Server{ID: fmt.Sprint("z", i), Weight: 1})
	}
	h.Servers(now, list, true)
	for f := range p.Forwarders {
		h.LinkUp(now, f, 1)
		for c := range p.Cells {
			h.Msg(now, f, &link.Msg{Kind: link.View, Cell: uint16(c)})
		}
	}
	h.Tick(now)
	renew := func(now float64) {
		for c := range p.Cells {
			k := &h.leases.cells[c]
			for f := range p.Forwarders {
				h.Msg(now, f, &link.Msg{Kind: link.Grant, Cell: uint16(c), Epoch: k.epoch, Round: k.round})
			}
		}
	}
	renew(now)
	return h, out, renew
}

// Guards a cap on open attempts against links that break: what a forwarder had out is out still, until it says that
// it is not, or begins anew.
func TestCapsOutliveLinks(t *testing.T) {
	h, out, renew := newBenchHost(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, Parallel: 2, Price: 1})
	handle := uint64(0)
	cell := uint16(h.cfg.CellOf("c"))
	ask := func(now float64, f int) (sent bool) {
		out.sends = nil
		handle++
		h.Msg(now, f, &link.Msg{Kind: link.Request, Cell: cell, Epoch: h.cells[cell].epoch, Handle: handle, Name: "c", Wait: 2, Value: 1})
		if sent = len(out.sends) > 0; !sent { // it waits for the cap: its client hangs up
			h.Msg(now, f, &link.Msg{Kind: link.Gone, Handle: handle})
		}
		return sent
	}
	outs := func(now float64, f, n int) {
		h.Msg(now, f, &link.Msg{Kind: link.Outs, Cell: cell, Epoch: h.cells[cell].epoch, Name: "c", N: uint32(n)})
	}
	if !ask(1000, 0) || !ask(1000, 0) || ask(1000, 1) {
		t.Fatal("the cap does not hold to begin with")
	}
	h.LinkDown(1000.1, 0)
	if ask(1000.1, 1) {
		t.Error("the cap is free as soon as a link breaks")
	}
	h.LinkUp(1000.1, 0, 1)
	if outs(1000.1, 0, 1); !ask(1000.1, 1) || ask(1000.1, 1) {
		t.Error("one of two is out by the forwarder's word")
	}
	h.LinkDown(1000.2, 0)
	h.LinkDown(1000.2, 1)
	h.LinkUp(1000.2, 1, 2) // a new life: what it had out ended with it
	if !ask(1000.2, 1) || ask(1000.2, 1) {
		t.Error("a forwarder that died holds what it had out")
	}
	h.Tick(1000.2)
	renew(1000.2)
	h.Msg(1000.2, 1, &link.Msg{Kind: link.Untold, Handle: handle - 1})
	if !ask(1000.2, 1) {
		t.Error("what is told no more holds its place")
	}
}

// Guards requests of two forwarders that look alike: the same handle, and the same id that a client may well give both.
func TestSameRequestAtTwoForwarders(t *testing.T) {
	h, out, _ := newBenchHost(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, Price: 1})
	cell := uint16(h.cfg.CellOf("c"))
	for f := range 2 {
		h.Msg(1000, f, &link.Msg{Kind: link.Request, Cell: cell, Epoch: h.cells[cell].epoch, Handle: 7, Name: "c", Wait: 2, Value: 1})
		h.Msg(1000, f, &link.Msg{Kind: link.Request, Cell: cell, Epoch: h.cells[cell].epoch, Handle: 7, Name: "c", Wait: 2, Value: 1})
	}
	if len(out.sends) != 2 || h.Stats.Requests != 2 {
		t.Fatalf("%d sends of %d requests", len(out.sends), h.Stats.Requests)
	}
	h.Msg(1000.1, 0, &link.Msg{Kind: link.Outcome, Handle: 7, Flag: true})
	if h.reqs[0][7] != nil || h.reqs[1][7] == nil {
		t.Error("one's end is taken for the other's")
	}
}

// BenchmarkHost is a planner's share of a served request: the records read, the module, the records written. Not in it
// are the system calls of the links, which batches share.
func BenchmarkHost(b *testing.B) {
	h, out, renew := newBenchHost(b, policy.Plan{Name: "wide", Rate: 1e6, Burst: 1e6, Price: 1})
	p, now := h.cfg.Params, 1000.0
	b.ReportAllocs()
	b.ResetTimer()
	var frame []byte
	for i := range b.N {
		if now += 0.0001; i%100 == 0 { // 10,000 requests a second, with all else that a second holds
			h.Tick(now)
			renew(now)
		}
		f, cell := i%p.Forwarders, uint16(i%p.Cells)
		frame = link.Append(frame[:0], &link.Msg{Kind: link.Request, Cell: cell, Epoch: h.cells[cell].epoch, Handle: uint64(i + 1),
			Name: fmt.Sprintf("%016x", i%5000), Wait: 2, Value: 1})
		msgs, _ := link.Parse(frame)
		h.Msg(now, f, &msgs[0])
		for _, m := range out.sends {
			frame = link.Append(frame[:0], &link.Msg{Kind: link.Outcome, Handle: m.Handle, Flag: true, Wait: 0.05, HasLoad: true})
			msgs, _ := link.Parse(frame)
			h.Msg(now, f, &msgs[0])
		}
		out.sends, out.buf = out.sends[:0], out.buf[:0]
	}
	if h.Stats.Sends < uint64(b.N)*9/10 {
		b.Errorf("%d of %d were sent", h.Stats.Sends, b.N)
	}
}

// Guards holds whose id a link would cut off: the yes would be for another id, and bind nobody.
func TestLongIDsAreNotHeld(t *testing.T) {
	h, _, _ := newBenchHost(t, policy.Plan{Name: "p", Rate: 1, Burst: 1, Price: 1})
	for n, ok := range map[int]bool{link.MaxText: true, link.MaxText + 1: false} {
		id := strings.Repeat("z", n)
		h.Servers(1000, []policy.Server{{ID: id}}, false)
		if err := h.Hold(1000, 0.8, id, true, func(error) {}); (err == nil) != ok {
			t.Errorf("%d bytes: %v", n, err)
		}
	}
}
