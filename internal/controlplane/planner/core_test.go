package planner

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

var testClasses = []policy.Class{
	{Name: "look", LatencyObjectiveS: 0.5, DeadlineS: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
	{Name: "hold", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: policy.KeyedIdempotent, KeyTTLS: 4},
	{Name: "bill", LatencyObjectiveS: 1.5, DeadlineS: 4, PriorityWeight: 5, Idempotency: policy.NonIdempotent},
}

var testPlans = []policy.Plan{
	{Name: "small", Rate: 4, Burst: 12, Weight: 1},
	{Name: "capped", Rate: 9, Burst: 18, Weight: 1, MaxConcurrency: 4},
	{Name: "chain", Rate: 30, Burst: 60, Weight: 1, HardLimitRate: 55, HardLimitBurst: 110, HardLimitSlack: 11},
}

// recordingOutput encodes what is sent, as a link would, and keeps the sends.
type recordingOutput struct {
	buf   []byte
	sends []transport.Message
}

func (d *recordingOutput) SendToForwarder(_ int, msgs ...transport.Message) {
	for i := range msgs {
		if d.buf = transport.AppendMessage(d.buf, &msgs[i]); msgs[i].Kind == transport.KindSend {
			d.sends = append(d.sends, msgs[i])
		}
	}
}
func (d *recordingOutput) Log(string, ...any) {}

// newTestCore returns a core that leads all cells of a fleet with 20 forwarders, and a function that renews its leases.
func newTestCore(tb testing.TB, plan policy.Plan) (*Core, *recordingOutput, func(now float64)) {
	p := topology.Params{Name: "b", Forwarders: 20, Planners: 1, Cells: 6}
	if err := p.Check(); err != nil {
		tb.Fatal(err)
	}
	out, now := &recordingOutput{}, 1000.0
	core, err := NewCore(Config{Params: p, Seed: 1, Settings: policy.Settings{Gateways: 1, CancelAllowed: true, MaxAttempts: 5, MaxRetryAfterS: 1,
		Classes: testClasses, Plans: []policy.Plan{plan}}}, now, out)
	if err != nil {
		tb.Fatal(err)
	}
	var backends []policy.Backend
	for i := range 50 {
		backends = append(backends, policy.Backend{ID: fmt.Sprint("z", i), Weight: 1})
	}
	core.UpdateBackends(now, backends, true)
	for forwarder := range p.Forwarders {
		core.LinkUp(now, forwarder, 1)
		for cellID := range p.Cells {
			core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindView, Cell: uint16(cellID)})
		}
	}
	core.Tick(now)
	renew := func(now float64) {
		for cellID := range p.Cells {
			lease := &core.leases.cells[cellID]
			for forwarder := range p.Forwarders {
				core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindGrant, Cell: uint16(cellID), Epoch: lease.epoch, Round: lease.round})
			}
		}
	}
	renew(now)
	return core, out, renew
}

// What a forwarder had in flight counts towards the account's cap beyond its link's end, until the forwarder reports otherwise or starts
// anew.
func TestLinkDown_InFlightAttemptsKeepCountingTowardsCap(t *testing.T) {
	core, out, renew := newTestCore(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, MaxConcurrency: 2, Weight: 1})
	handle := uint64(0)
	cellID := uint16(core.cfg.CellOf("c"))
	request := func(now float64, forwarder int) (sent bool) {
		out.sends = nil
		handle++
		core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: handle, Name: "c", DurationS: 2, Units: 1})
		if sent = len(out.sends) > 0; !sent { // it waits for the cap; its client disconnects
			core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindDisconnected, Handle: handle})
		}
		return sent
	}
	reportOrphans := func(now float64, forwarder, n int) {
		core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindOrphans, Cell: cellID, Epoch: core.cells[cellID].epoch, Name: "c", Number: uint32(n)})
	}
	for range 2 {
		if !request(1000, 0) {
			t.Fatal("a request within the cap is not sent")
		}
	}
	if request(1000, 1) {
		t.Fatal("the cap does not hold to begin with")
	}
	core.LinkDown(1000.1, 0)
	if request(1000.1, 1) {
		t.Error("the cap is free as soon as a link breaks")
	}
	core.LinkUp(1000.1, 0, 1)
	if reportOrphans(1000.1, 0, 1); !request(1000.1, 1) || request(1000.1, 1) {
		t.Error("the forwarder reports one of two in flight")
	}
	core.LinkDown(1000.2, 0)
	core.LinkDown(1000.2, 1)
	core.LinkUp(1000.2, 1, 2) // a new incarnation: its attempts ended with the old one
	if !request(1000.2, 1) || request(1000.2, 1) {
		t.Error("attempts of a dead forwarder count on")
	}
	core.Tick(1000.2)
	renew(1000.2)
	core.HandleMessage(1000.2, 1, &transport.Message{Kind: transport.KindWithdraw, Handle: handle - 1})
	if !request(1000.2, 1) {
		t.Error("a withdrawn request holds its slot")
	}
}

// Two forwarders may use the same handle at the same time.
func TestRequests_SameHandleAtTwoForwarders(t *testing.T) {
	core, out, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, Weight: 1})
	cellID := uint16(core.cfg.CellOf("c"))
	for forwarder := range 2 {
		core.HandleMessage(1000, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: 7, Name: "c", DurationS: 2, Units: 1})
		core.HandleMessage(1000, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: 7, Name: "c", DurationS: 2, Units: 1})
	}
	if len(out.sends) != 2 || core.Stats.Requests != 2 {
		t.Fatalf("%d sends of %d requests", len(out.sends), core.Stats.Requests)
	}
	core.HandleMessage(1000.1, 0, &transport.Message{Kind: transport.KindOutcome, Handle: 7, Flag: true})
	if core.requests[0][7] != nil || core.requests[1][7] == nil {
		t.Error("one request's end is taken for the other's")
	}
}

// BenchmarkCore measures a planner's work for a served request: reading the records, the module, writing the records. System calls of
// the links are not in it.
func BenchmarkCore(b *testing.B) {
	core, out, renew := newTestCore(b, policy.Plan{Name: "wide", Rate: 1e6, Burst: 1e6, Weight: 1})
	p, now := core.cfg.Params, 1000.0
	b.ReportAllocs()
	b.ResetTimer()
	var frame []byte
	for i := range b.N {
		if now += 0.0001; i%100 == 0 { // 10,000 requests a second, with the ticks and renewals of a second
			core.Tick(now)
			renew(now)
		}
		forwarder, cellID := i%p.Forwarders, uint16(i%p.Cells)
		frame = transport.AppendMessage(frame[:0], &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: uint64(i + 1),
			Name: fmt.Sprintf("%016x", i%5000), DurationS: 2, Units: 1})
		msgs, _ := transport.ParseFrame(frame)
		core.HandleMessage(now, forwarder, &msgs[0])
		for _, msg := range out.sends {
			frame = transport.AppendMessage(frame[:0], &transport.Message{Kind: transport.KindOutcome, Handle: msg.Handle, Flag: true, DurationS: 0.05, HasLoad: true})
			msgs, _ := transport.ParseFrame(frame)
			core.HandleMessage(now, forwarder, &msgs[0])
		}
		out.sends, out.buf = out.sends[:0], out.buf[:0]
	}
	if core.Stats.Sends < uint64(b.N)*9/10 {
		b.Errorf("%d of %d were sent", core.Stats.Sends, b.N)
	}
}

// An id that the transport would cut off would cordon another backend.
func TestSetCordoned_RejectsIDsTooLongForLink(t *testing.T) {
	core, _, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1, Burst: 1, Weight: 1})
	for n, ok := range map[int]bool{transport.MaxNameBytes: true, transport.MaxNameBytes + 1: false} {
		id := strings.Repeat("z", n)
		core.UpdateBackends(1000, []policy.Backend{{ID: id}}, false)
		if err := core.SetCordoned(1000, 0.8, id, true, func(error) {}); (err == nil) != ok {
			t.Errorf("%d bytes: %v", n, err)
		}
	}
}

// Until the forwarders have reported, an account's quota window counts as empty at the start of the lead.
func TestRequests_WaitForUsageReports(t *testing.T) {
	core, out, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1, Burst: 4, Weight: 1})
	cellID := core.cfg.CellOf("c")
	request := func(now float64, handle uint64) {
		core.HandleMessage(now, 0, &transport.Message{Kind: transport.KindRequest, Cell: uint16(cellID), Epoch: core.cells[cellID].epoch, Handle: handle,
			Name: "c", DurationS: 2, Units: 1})
	}
	request(1000.01, 1)
	if len(out.sends) != 0 {
		t.Fatal("units are admitted that another leader may have admitted")
	}
	for forwarder := range core.cfg.Forwarders {
		core.HandleMessage(1000.02, forwarder, &transport.Message{Kind: transport.KindUsageReportEnd, Cell: uint16(cellID),
			Epoch: core.cells[cellID].epoch, Flag: true})
	}
	request(1000.03, 2)
	if len(out.sends) == 0 {
		t.Error("the window is not handed back after all forwarders have reported")
	}
}

// A cordoned backend is draining to the modules. Once uncordoned, it counts as started then until a later start is reported.
func TestCordonOverlay(t *testing.T) {
	overlay := cordonOverlay{cordonedAt: map[string]float64{}, uncordonedAt: map[string]float64{}}
	backend := func(state policy.BackendState, startedAt float64) policy.Backend {
		return policy.Backend{ID: "z1", State: state, StartedAt: startedAt}
	}
	expect := func(step string, given, want policy.Backend) {
		t.Helper()
		if got := overlay.apply(given); got != want {
			t.Errorf("%s: got %+v, want %+v", step, got, want)
		}
	}
	expect("without a cordon", backend(policy.Up, 1), backend(policy.Up, 1))
	overlay.update(10, "z1", true)
	expect("cordoned", backend(policy.Up, 1), backend(policy.Draining, 1))
	expect("cordoned and restarted", backend(policy.Up, 11), backend(policy.Draining, 11))
	overlay.update(20, "z1", false)
	expect("uncordoned", backend(policy.Up, 1), backend(policy.Up, 20))
	expect("uncordoned, its start is reported", backend(policy.Up, 15), backend(policy.Up, 15))
	overlay.update(30, "z1", true)
	expect("cordoned again", backend(policy.Up, 15), backend(policy.Draining, 15))
}
