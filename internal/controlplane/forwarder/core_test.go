package forwarder

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

var classes = []policy.Class{
	{Name: "look", LatencyObjectiveS: 0.5, DeadlineS: 2, Idempotency: policy.Idempotent},
	{Name: "hold", LatencyObjectiveS: 1, DeadlineS: 4, Idempotency: policy.KeyedIdempotent, KeyTTLS: 4},
	{Name: "bill", LatencyObjectiveS: 1.5, DeadlineS: 4, Idempotency: policy.NonIdempotent},
	{Name: "zone", LatencyObjectiveS: 1, DeadlineS: 4, Idempotency: policy.KeyedIdempotent, KeyScope: policy.ScopeZone, KeyTTLS: 4},
}

// testCore is a core whose outputs are written down: "p1 claim ..." to planners, "send a z1" and the like to the ingress.
type testCore struct {
	t           *testing.T
	core        *Core
	now         float64
	calls       []string
	lastMessage transport.Message // to a planner
	writable    bool
}

func newTestCore(t *testing.T) *testCore {
	core := &testCore{t: t, now: 1000, writable: true}
	p := topology.Params{Name: "t", Forwarders: 3, Planners: 3, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	core.core = NewCore(Config{Params: p, Classes: classes, Plans: []policy.Plan{{Name: "basic", Rate: 5, Burst: 10}}, MaxRetryAfterS: 1}, core.now, core)
	core.now++ // past what an earlier life may have promised
	return core
}

func (t *testCore) record(format string, args ...any) {
	t.calls = append(t.calls, fmt.Sprintf(format, args...))
}

func (t *testCore) SendToPlanner(planner int, msgs ...transport.Message) {
	for _, msg := range msgs {
		if msg.Kind == transport.KindView || msg.Handle == transport.CordonCapableHandle {
			continue // said all the time
		}
		names := map[transport.Kind]string{transport.KindGrant: "grant", transport.KindUsageReport: "tale", transport.KindUsageReportEnd: "end", transport.KindRequest: "request",
			transport.KindOutcome: "outcome", transport.KindDisconnected: "gone", transport.KindWithdraw: "untold", transport.KindOrphans: "outs", transport.KindCordonState: "holdis"}
		t.record("p%d %s", planner, names[msg.Kind])
		t.lastMessage = msg
	}
}
func (t *testCore) SetCordoned(id string, cordoned bool)    { t.record("hold %s %v", id, cordoned) }
func (t *testCore) PlannerWritable(int) bool                { return t.writable }
func (t *testCore) Send(id, server string, float64 float64) { t.record("send %s %s", id, server) }
func (t *testCore) Reject(id string, hint float64) {
	if hint < 0.5 || hint > 1 {
		t.t.Errorf("hint of %v", hint)
	}
	t.record("refuse %s", id)
}
func (t *testCore) Fail(id string)              { t.record("fail %s", id) }
func (t *testCore) Cancel(id string, n int)     { t.record("cancel %s %d", id, n) }
func (t *testCore) SetTimer(uint64, float64)    {}
func (t *testCore) Probe(s string)              { t.record("probe %s", s) }
func (t *testCore) SendPeerMessage(int, []byte) {}
func (t *testCore) Log(string)                  {}

// expect compares what was said since the last time.
func (t *testCore) expect(list ...string) {
	t.t.Helper()
	if got, want := strings.Join(t.calls, "; "), strings.Join(list, "; "); got != want {
		t.t.Errorf("got %q, want %q", got, want)
	}
	t.calls = nil
}

func (t *testCore) receive(planner int, msg transport.Message) {
	t.core.HandleMessage(t.now, planner, &msg)
}

// cell of the one customer that the tests ask for.
const testAccount = "00000000b4d65521"

func (t *testCore) cellID() uint16 { return uint16(t.core.cfg.CellOf(testAccount)) }

// elect has planner p lead the cell by an epoch.
func (t *testCore) elect(planner int, epoch uint64) {
	t.t.Helper()
	if !t.core.planners[planner].linked {
		t.core.LinkUp(t.now, planner, uint64(planner)+7)
	}
	t.receive(planner, transport.Message{Kind: transport.KindClaim, Cell: t.cellID(), Epoch: epoch, Round: 1})
	t.receive(planner, transport.Message{Kind: transport.KindLead, Cell: t.cellID(), Epoch: epoch})
	if cell := t.core.cells[t.cellID()]; !cell.hasLeader || cell.holder != planner || cell.epoch != epoch {
		t.t.Fatalf("planner %d does not lead: %+v", planner, cell)
	}
}

func (t *testCore) request(id, class string) {
	t.core.HandleRequest(t.now, policy.Request{ID: id, Class: class, Plan: "basic", Account: testAccount, DeadlineAt: t.now + 4, Units: 2})
}

// decideSend has planner p send the request that was told last.
func (t *testCore) decideSend(planner int, epoch uint64, server string, seq uint32) {
	t.receive(planner, transport.Message{Kind: transport.KindSend, Cell: t.cellID(), Epoch: epoch, Handle: t.core.lastHandle, Name: server, DurationS: 1, Round: seq, Units: 2})
}

func (t *testCore) attemptEnds(id string, n int, status policy.Status) {
	t.core.HandleOutcome(t.now, policy.Outcome{ID: id, Attempt: n, Status: status, Completed: status == policy.OK})
}

// Guards fencing: promises that are given away while they run, and old news that is followed.
func TestPromise_OnePlannerAtATime(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 5)
	core.expect("p0 grant", "p0 end")
	core.core.LinkUp(core.now, 1, 8)
	claim := func(planner int, epoch uint64) {
		core.receive(planner, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: epoch, Round: 2})
	}
	claim(1, 6)
	core.expect() // the promise to 0 runs
	core.now += 0.3
	claim(0, 5)
	core.expect("p0 grant")
	core.now += 0.3
	claim(1, 6)
	core.expect() // it was renewed
	core.now += 0.2
	claim(1, 5)
	core.expect() // it ran out, but no epoch comes twice
	claim(1, 6)
	core.expect("p1 grant", "p1 end")
	claim(0, 5)
	claim(0, 7)
	core.expect()
	core.receive(0, transport.Message{Kind: transport.KindLead, Cell: core.cellID(), Epoch: 5})
	if core.core.cells[core.cellID()].hasLeader {
		t.Error("an old leader's word is taken")
	}
	core.receive(1, transport.Message{Kind: transport.KindLead, Cell: core.cellID(), Epoch: 6})
	core.receive(0, transport.Message{Kind: transport.KindRelease, Cell: core.cellID(), Epoch: 6}) // not its to give up
	claim(0, 7)
	core.expect()
	core.receive(1, transport.Message{Kind: transport.KindRelease, Cell: core.cellID(), Epoch: 6})
	claim(0, 7)
	core.expect("p0 grant", "p0 end")
	core.core.LinkDown(core.now, 0)
	core.core.LinkUp(core.now, 0, 99) // another life: it knows nothing of the promise
	claim(0, 7)
	claim(0, 8)
	core.expect()
	core.now += 0.5
	claim(0, 8)
	core.expect("p0 grant", "p0 end")
}

// Guards against a forwarder that forgets by a restart what it promised: it promises nothing for as long as an earlier
// promise may hold.
func TestPromise_NoneForALeaseAfterStart(t *testing.T) {
	core := newTestCore(t)
	core.now--
	core.core.LinkUp(core.now, 0, 7)
	for ; core.now < 1000+core.core.cfg.LeaseS; core.now += 0.05 {
		core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 70})
		core.expect()
	}
	core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 70})
	core.expect("p0 grant", "p0 end")
}

// Guards against a late action of an old leader: it changes nothing, whatever it says.
func TestExecute_IgnoresFormerLeaders(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 1)
	core.request("a", "bill")
	old := core.core.lastHandle
	late := func() {
		for _, kind := range []transport.Kind{transport.KindSend, transport.KindReject, transport.KindFail, transport.KindCancel, transport.KindProbe} {
			core.receive(0, transport.Message{Kind: kind, Cell: core.cellID(), Epoch: 1, Handle: old, Name: "z1"})
			core.receive(0, transport.Message{Kind: kind, Cell: core.cellID(), Epoch: 1, Handle: core.core.lastHandle, Name: "z1"})
		}
	}
	core.calls = nil
	core.now += 0.45 // the promise has run out, though nobody has looked yet
	late()
	core.expect()
	core.core.Tick(core.now)
	core.expect("p0 untold")
	late()
	core.elect(1, 2)
	core.expect("p1 grant", "p1 end", "p1 request")
	late()
	core.expect()
	core.decideSend(1, 2, "z2", 1)
	core.expect("send a z2")
	late()
	core.attemptEnds("a", 0, policy.OK)
	core.expect("p1 outcome")
	late()
	core.decideSend(1, 2, "z2", 1) // over: its own leader is late, too
	core.expect()
	if core.core.Stats.StaleActions == 0 || len(core.core.requests) != 0 || len(core.core.submitted) != 0 {
		t.Errorf("stale %d, open %d, told %d", core.core.Stats.StaleActions, len(core.core.requests), len(core.core.submitted))
	}
}

// Guards requests under way when their leader dies: how each goes on, by class and by what became of its attempt.
func TestLeaderChange_InFlightRequests(t *testing.T) {
	for _, tc := range []struct {
		class  string
		status policy.Status
		after  float64 // between the attempt and its end
		want   string  // said when the attempt ends with a new leader
	}{
		{"bill", policy.OK, 0, "p1 outs"},
		{"bill", policy.ConnectFailed, 0, "p1 outs; p1 request"},
		{"bill", policy.Rejected, 0, "p1 outs; p1 request"},
		{"bill", policy.NotSent, 0, "p1 outs; p1 request"},
		{"bill", policy.Reset, 0, "p1 outs; fail a"},
		{"bill", policy.Timeout, 0, "p1 outs; fail a"},
		{"bill", policy.Error, 0, "p1 outs; fail a"},
		{"look", policy.Reset, 0, "p1 outs; p1 request"},
		{"look", policy.Timeout, 1, "p1 outs; p1 request"},
		{"hold", policy.Reset, 0.5, "p1 outs; p1 request"},
		{"hold", policy.Reset, 3.5, "p1 outs; refuse a"}, // the key is not remembered for long enough
		{"zone", policy.Reset, 0, "p1 outs; fail a"},     // the successor does not know the group
	} {
		t.Run(fmt.Sprint(tc.class, tc.status, tc.after), func(t *testing.T) {
			core := newTestCore(t)
			core.elect(0, 1)
			core.request("a", tc.class)
			core.decideSend(0, 1, "z1", 1)
			core.expect("p0 grant", "p0 end", "p0 request", "send a z1")
			core.core.LinkDown(core.now, 0)
			core.expect()
			core.now += 0.5
			core.elect(1, 2)
			core.expect("p1 grant", "p1 tale", "p1 outs", "p1 end", "p1 outs") // it is out: nobody else may send it
			for left := tc.after; left > 0; left -= 0.25 {
				core.now += 0.25
				core.receive(1, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 2, Round: 3})
			}
			core.calls = nil
			core.attemptEnds("a", 0, tc.status)
			core.expect(strings.Split(tc.want, "; ")...)
			if strings.HasSuffix(tc.want, "request") && core.lastMessage.Units != 0 {
				t.Errorf("its %v units are counted twice", core.lastMessage.Units)
			}
		})
	}
}

// Guards what was never sent: it waits for the successor, with all of its units, and not for ever.
func TestLeaderChange_UnsentRequestsWait(t *testing.T) {
	core := newTestCore(t)
	core.core.LinkUp(core.now, 1, 8)
	core.elect(0, 1)
	core.request("a", "bill")
	core.core.LinkDown(core.now, 0)
	core.request("b", "look")
	core.calls = nil
	core.now += 0.5
	core.core.Tick(core.now)
	core.expect()
	core.elect(1, 2)
	core.expect("p1 grant", "p1 end", "p1 request", "p1 request")
	if core.lastMessage.Units != 2 {
		t.Errorf("units %v", core.lastMessage.Units)
	}
	core.core.LinkDown(core.now, 1)
	core.core.LinkUp(core.now, 2, 9)
	core.now += core.core.cfg.LeaderWaitS + 0.01
	core.core.Tick(core.now)
	if got := strings.Join(core.calls, "; "); got != "refuse a; refuse b" && got != "refuse b; refuse a" {
		t.Errorf("got %q", got)
	}
	core.calls = nil
	core.request("c", "look")
	core.expect("refuse c") // the cell has been without a leader for as long as one waits
}

// Guards the stated time of the fail-safe: without any planner what waits and what comes is refused, what is out goes
// on.
func TestFailsafe_RejectsWithoutPlanners(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 1)
	core.request("out", "bill")
	core.decideSend(0, 1, "z1", 1)
	core.request("told", "bill")
	core.core.LinkDown(core.now, 0)
	core.request("new", "look")
	core.calls = nil
	core.now += core.core.cfg.FailsafeDelayS - 0.001
	core.core.Tick(core.now)
	core.expect()
	core.now += 0.002
	core.core.Tick(core.now)
	if n := len(core.calls); n != 2 {
		t.Errorf("%q", core.calls)
	}
	core.calls = nil
	core.request("late", "look")
	core.expect("refuse late")
	core.attemptEnds("out", 0, policy.Reset)
	core.expect("fail out")
	if _, failsafe := core.core.CountLed(); failsafe != 2 {
		t.Errorf("%d cells in the fail-safe", failsafe)
	}
	core.now += 0.5
	core.elect(1, 2)
	core.calls = nil
	core.request("again", "look")
	core.expect("p1 request")
}

// Guards against two attempts at once, and a refusal that is not true, whatever a planner says.
func TestExecute_MisbehavingPlanner(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 1)
	core.request("a", "bill")
	core.decideSend(0, 1, "z1", 1)
	core.calls = nil
	core.decideSend(0, 1, "z2", 1)
	core.expect("p0 outcome")
	if core.lastMessage.Number != 1 || policy.Status(core.lastMessage.Class) != policy.NotSent {
		t.Errorf("told %+v", core.lastMessage)
	}
	core.attemptEnds("a", 0, policy.Reset)
	core.receive(0, transport.Message{Kind: transport.KindReject, Cell: core.cellID(), Epoch: 1, Handle: core.core.lastHandle, DurationS: 1})
	core.expect("p0 outcome", "fail a")
	core.receive(0, transport.Message{Kind: transport.KindCancel, Cell: core.cellID(), Epoch: 1, Handle: core.core.lastHandle, Number: 1 << 31})
	core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: 60000, Epoch: 1})
	core.receive(0, transport.Message{Kind: transport.KindSend, Cell: 60000, Epoch: 1})
	core.expect()
}

// Guards against a queue in place of a refusal, where a planner does not keep up.
func TestRequest_RejectedWhenLinkNotWritable(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 1)
	core.calls, core.writable = nil, false
	core.request("a", "bill")
	core.expect("refuse a")
}

// Guards against tales that tell less than was passed on: the latest pass, and never a gap that is not said.
func TestUsageReport_LatestAdmissionAndCompleteness(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 1)
	if core.lastMessage.Kind != transport.KindUsageReportEnd || core.lastMessage.Flag {
		t.Errorf("a forwarder that has just started tells all: %+v", core.lastMessage)
	}
	core.now += 10
	core.elect(0, 2)
	if !core.lastMessage.Flag {
		t.Error("the tale is not complete")
	}
	for i, seq := range []uint32{3, 1} { // the later pass comes first
		id := fmt.Sprint("a", i)
		core.request(id, "look")
		core.receive(0, transport.Message{Kind: transport.KindSend, Cell: core.cellID(), Epoch: 2, Handle: core.core.lastHandle, Name: "z", DurationS: 1, Round: seq, Units: float64(seq)})
		core.attemptEnds(id, 0, policy.OK)
	}
	core.now += 0.5
	core.core.LinkUp(core.now, 1, 8)
	core.calls = nil
	var report transport.Message
	core.receive(1, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 3})
	core.expect("p1 grant", "p1 tale", "p1 end")
	core.core.reportUsage(int(core.cellID()))
	core.core.usage.each(core.now, func(_ string, usage windowUsage) {
		report.Round, report.Units, report.Handle = usage.seq, usage.debt, usage.epoch
	})
	if report.Round != 3 || report.Units != 3 || report.Handle != 2 {
		t.Errorf("the tale is of %+v", report)
	}
	core.core.usage.maxAccounts = 0
	core.core.usage.record("other", windowUsage{at: core.now})
	if core.core.usage.complete(core.now) || !core.core.usage.complete(core.now+core.core.usage.spanS) {
		t.Error("what was left out is not told, or for too long")
	}
}

// Guards against an attempt that outlives its leader in silence: its request is ended while its client still listens.
func TestOverdue_SilentOrphanedAttempt(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 64)
	core.request("b", "bill")
	core.decideSend(0, 64, "z1", 1)
	core.core.LinkDown(core.now, 0)
	core.calls = nil
	core.now += 4 - TickIntervalS/2
	core.core.Tick(core.now)
	core.expect("fail b")
	core.now += 5
	core.core.Tick(core.now)
	core.attemptEnds("b", 0, policy.Timeout)
	core.expect()
}

// Guards against a leader that says nothing more, as one whose lead has run out: what it was told is ended while its client
// still listens, once, and nothing that comes later changes that.
func TestOverdue_SubmittedAndNeverAnswered(t *testing.T) {
	core := newTestCore(t)
	core.elect(0, 64)
	core.request("a", "look")
	core.request("b", "bill")
	core.decideSend(0, 64, "z1", 2)
	core.calls = nil
	for ; core.now < 1000+1+2-2*TickIntervalS; core.now += TickIntervalS { // the leader's promise is renewed all the time
		core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 64, Round: 1})
		core.core.Tick(core.now)
	}
	for _, x := range core.calls {
		if strings.HasPrefix(x, "refuse") || strings.HasPrefix(x, "fail") {
			t.Fatalf("ended too early: %v", core.calls)
		}
	}
	for ; core.now < 1000+1+5; core.now += TickIntervalS {
		core.receive(0, transport.Message{Kind: transport.KindClaim, Cell: core.cellID(), Epoch: 64, Round: 1})
		core.core.Tick(core.now)
	}
	answers := 0
	for _, x := range core.calls {
		if strings.HasPrefix(x, "refuse a") || strings.HasPrefix(x, "fail b") {
			answers++
		} else if strings.HasPrefix(x, "refuse") || strings.HasPrefix(x, "fail") {
			t.Errorf("%s", x)
		}
	}
	if answers != 2 {
		t.Errorf("%d answers: %v", answers, core.calls)
	}
}

// Guards the limit of attempts over a change of leaders, each of which counts its own alone.
func TestAttemptLimit_AcrossLeaders(t *testing.T) {
	core := newTestCore(t)
	core.core.cfg.MaxAttempts = 3
	core.elect(0, 1)
	core.request("a", "look")
	core.request("b", "look")
	for _, id := range []string{"a", "a", "b", "b"} {
		core.core.lastHandle = core.core.requests[id].handle
		core.decideSend(0, 1, "z1", 1)
		core.attemptEnds(id, len(core.core.requests[id].attemptDone)-1, policy.Reset)
	}
	core.core.lastHandle = 2
	core.core.LinkDown(core.now, 0)
	core.now += core.core.cfg.LeaseS + 0.01
	core.calls = nil
	core.elect(1, 2)
	core.expect("p1 grant", "p1 tale", "p1 end", "p1 request", "p1 request")
	for h := range 2 {
		core.core.lastHandle = uint64(3 + h)
		core.decideSend(1, 2, "z2", 1)
	}
	core.expect("send a z2", "send b z2")
	core.attemptEnds("a", 2, policy.Rejected)
	core.expect("p1 outcome")
	core.core.lastHandle = 3
	core.decideSend(1, 2, "z3", 2) // the third of this leader's, the fourth in all
	core.expect("p1 gone", "refuse a")
	core.core.LinkDown(core.now, 1)
	core.calls = nil
	core.attemptEnds("b", 2, policy.Reset)
	core.expect("refuse b") // no leader is asked any more
}
