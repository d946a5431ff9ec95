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

// recordingOutput is an Output that encodes the messages sent, as a link does, and records those of KindSend.
type recordingOutput struct {
	buf   []byte
	sends []transport.Message
}

func (o *recordingOutput) SendToForwarder(_ int, msgs ...transport.Message) {
	for i := range msgs {
		if o.buf = transport.AppendMessage(o.buf, &msgs[i]); msgs[i].Kind == transport.KindSend {
			o.sends = append(o.sends, msgs[i])
		}
	}
}
func (o *recordingOutput) Log(string, ...any) {}

// newTestCore returns a core that leads all cells of a fleet with 20 forwarders, its output, and a function that renews its leases.
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
			core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindPromiseReport, Cell: uint16(cellID)})
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

// Guards against exceeding an account's concurrency limit after a link breaks. The forwarder's attempts remain in flight, so they must
// count until the forwarder reports another number or restarts.
func TestLinkDown_InFlightAttemptsKeepCountingTowardsCap(t *testing.T) {
	core, out, renew := newTestCore(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, MaxConcurrency: 2, Weight: 1})
	handle := uint64(0)
	cellID := uint16(core.cfg.CellOf("c"))
	request := func(now float64, forwarder int) (sent bool) {
		out.sends = nil
		handle++
		core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: handle, Name: "c", DurationS: 2, Units: 1})
		if sent = len(out.sends) > 0; !sent { // it waits for a free slot until its client disconnects
			core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindDisconnected, Handle: handle})
		}
		return sent
	}
	reportOrphans := func(now float64, forwarder, n int) {
		core.HandleMessage(now, forwarder, &transport.Message{Kind: transport.KindOrphans, Cell: cellID, Epoch: core.cells[cellID].epoch, Name: "c", Number: uint32(n)})
	}
	for range 2 {
		if !request(1000, 0) {
			t.Fatal("a request within the concurrency limit was not sent")
		}
	}
	if request(1000, 1) {
		t.Fatal("a request beyond the concurrency limit was sent before any link broke")
	}
	core.LinkDown(1000.1, 0)
	if request(1000.1, 1) {
		t.Error("a request was sent right after the link broke, want the forwarder's two attempts to fill the limit")
	}
	core.LinkUp(1000.1, 0, 1)
	if reportOrphans(1000.1, 0, 1); !request(1000.1, 1) || request(1000.1, 1) {
		t.Error("after the forwarder reported one orphaned attempt, want exactly one more request to be sent")
	}
	core.LinkDown(1000.2, 0)
	core.LinkDown(1000.2, 1)
	core.LinkUp(1000.2, 1, 2) // a new incarnation: its attempts ended with the old one
	if !request(1000.2, 1) || request(1000.2, 1) {
		t.Error("after a forwarder restarted with a new incarnation, want exactly one more request to be sent")
	}
	core.Tick(1000.2)
	renew(1000.2)
	core.HandleMessage(1000.2, 1, &transport.Message{Kind: transport.KindWithdraw, Handle: handle - 1})
	if !request(1000.2, 1) {
		t.Error("no request was sent after another was withdrawn, want the withdrawn request to free its slot")
	}
}

// Guards against mixing up the requests of two forwarders, which may use the same handle at the same time.
func TestRequests_SameHandleAtTwoForwarders(t *testing.T) {
	core, out, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1e6, Burst: 1e6, Weight: 1})
	cellID := uint16(core.cfg.CellOf("c"))
	for forwarder := range 2 {
		core.HandleMessage(1000, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: 7, Name: "c", DurationS: 2, Units: 1})
		core.HandleMessage(1000, forwarder, &transport.Message{Kind: transport.KindRequest, Cell: cellID, Epoch: core.cells[cellID].epoch, Handle: 7, Name: "c", DurationS: 2, Units: 1})
	}
	if len(out.sends) != 2 || core.Stats.Requests != 2 {
		t.Fatalf("got %d sends and %d requests, want 2 and 2", len(out.sends), core.Stats.Requests)
	}
	core.HandleMessage(1000.1, 0, &transport.Message{Kind: transport.KindOutcome, Handle: 7, Flag: true})
	if core.requests[0][7] != nil || core.requests[1][7] == nil {
		t.Errorf("after the outcome from forwarder 0: request open at forwarder 0: %v, at forwarder 1: %v, want false and true",
			core.requests[0][7] != nil, core.requests[1][7] != nil)
	}
}

// BenchmarkCore measures a planner's work for one served request: decoding the records, running the module and encoding the records. It
// leaves out the system calls of the links.
func BenchmarkCore(b *testing.B) {
	core, out, renew := newTestCore(b, policy.Plan{Name: "wide", Rate: 1e6, Burst: 1e6, Weight: 1})
	p, now := core.cfg.Params, 1000.0
	b.ReportAllocs()
	b.ResetTimer()
	var frame []byte
	for i := range b.N {
		if now += 0.0001; i%100 == 0 { // 10,000 requests per second, with one tick and one lease renewal every 10 ms
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
		b.Errorf("got %d sends for %d requests, want at least 90%%", core.Stats.Sends, b.N)
	}
}

// Guards against cordoning the wrong backend: the transport truncates longer ids, and a truncated id may be the one of another backend.
func TestSetCordoned_RejectsIDsTooLongForLink(t *testing.T) {
	core, _, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1, Burst: 1, Weight: 1})
	for n, ok := range map[int]bool{transport.MaxNameBytes: true, transport.MaxNameBytes + 1: false} {
		id := strings.Repeat("z", n)
		core.UpdateBackends(1000, []policy.Backend{{ID: id}}, false)
		if err := core.SetCordoned(1000, 0.8, id, true, func(error) {}); (err == nil) != ok {
			t.Errorf("SetCordoned with an id of %d bytes returned %v, want success: %v", n, err, ok)
		}
	}
}

// Guards against exceeding a quota after a change of leaders: the previous leader may have admitted units that the new one does not know
// of. Until all forwarders have reported, the planner must assume that at the start of its leadership no units were left in an account's
// quota window.
func TestRequests_WaitForUsageReports(t *testing.T) {
	core, out, _ := newTestCore(t, policy.Plan{Name: "p", Rate: 1, Burst: 4, Weight: 1})
	cellID := core.cfg.CellOf("c")
	request := func(now float64, handle uint64) {
		core.HandleMessage(now, 0, &transport.Message{Kind: transport.KindRequest, Cell: uint16(cellID), Epoch: core.cells[cellID].epoch, Handle: handle,
			Name: "c", DurationS: 2, Units: 1})
	}
	request(1000.01, 1)
	if len(out.sends) != 0 {
		t.Fatal("a request was sent before the usage reports, want the window to count as empty")
	}
	for forwarder := range core.cfg.Forwarders {
		core.HandleMessage(1000.02, forwarder, &transport.Message{Kind: transport.KindUsageReportEnd, Cell: uint16(cellID),
			Epoch: core.cells[cellID].epoch, Flag: true})
	}
	request(1000.03, 2)
	if len(out.sends) == 0 {
		t.Error("no request was sent after all forwarders reported no usage, want the window to be available")
	}
}

// Guards the backend state that modules see: a cordoned backend is draining. After its cordon is lifted, the time of the lifting is taken
// as its start time, until discovery reports a start after the cordon began.
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
