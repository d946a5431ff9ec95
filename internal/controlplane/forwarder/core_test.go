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

// fixture is a core whose calls of Output are recorded: "p1 grant" and the like to planners, "send a z1" and the like to the ingress.
type fixture struct {
	t           *testing.T
	core        *Core
	now         float64
	calls       []string
	lastMessage transport.Message // to a planner
	writable    bool
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: 1000, writable: true}
	p := topology.Params{Name: "t", Forwarders: 3, Planners: 3, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	f.core = NewCore(Config{Params: p, Classes: classes, Plans: []policy.Plan{{Name: "basic", Rate: 5, Burst: 10}}, MaxRetryAfterS: 1}, f.now, f)
	f.now++ // past what an earlier process may have promised
	return f
}

func (f *fixture) record(format string, args ...any) {
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

func (f *fixture) SendToPlanner(planner int, msgs ...transport.Message) {
	for _, msg := range msgs {
		if msg.Kind == transport.KindView || msg.Handle == transport.CordonCapableHandle {
			continue // sent all the time
		}
		names := map[transport.Kind]string{transport.KindGrant: "grant", transport.KindUsageReport: "usage", transport.KindUsageReportEnd: "usage-end", transport.KindRequest: "request",
			transport.KindOutcome: "outcome", transport.KindDisconnected: "disconnected", transport.KindWithdraw: "withdraw", transport.KindOrphans: "orphans", transport.KindCordonState: "cordon"}
		f.record("p%d %s", planner, names[msg.Kind])
		f.lastMessage = msg
	}
}
func (f *fixture) SetCordoned(id string, cordoned bool)    { f.record("cordon %s %v", id, cordoned) }
func (f *fixture) PlannerWritable(int) bool                { return f.writable }
func (f *fixture) Send(id, server string, float64 float64) { f.record("send %s %s", id, server) }
func (f *fixture) Reject(id string, hint float64) {
	if hint < 0.5 || hint > 1 {
		f.t.Errorf("hint of %v", hint)
	}
	f.record("reject %s", id)
}
func (f *fixture) Fail(id string)              { f.record("fail %s", id) }
func (f *fixture) Cancel(id string, n int)     { f.record("cancel %s %d", id, n) }
func (f *fixture) SetTimer(uint64, float64)    {}
func (f *fixture) Probe(s string)              { f.record("probe %s", s) }
func (f *fixture) SendPeerMessage(int, []byte) {}
func (f *fixture) Log(string)                  {}

// expect compares the calls since the last time.
func (f *fixture) expect(list ...string) {
	f.t.Helper()
	if got, want := strings.Join(f.calls, "; "), strings.Join(list, "; "); got != want {
		f.t.Errorf("got %q, want %q", got, want)
	}
	f.calls = nil
}

func (f *fixture) receive(planner int, msg transport.Message) {
	f.core.HandleMessage(f.now, planner, &msg)
}

// testAccount is the account of all requests.
const testAccount = "00000000b4d65521"

func (f *fixture) cellID() uint16 { return uint16(f.core.cfg.CellOf(testAccount)) }

// elect has a planner lead the account's cell under an epoch.
func (f *fixture) elect(planner int, epoch uint64) {
	f.t.Helper()
	if !f.core.planners[planner].linked {
		f.core.LinkUp(f.now, planner, uint64(planner)+7)
	}
	f.receive(planner, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: epoch, Round: 1})
	f.receive(planner, transport.Message{Kind: transport.KindLead, Cell: f.cellID(), Epoch: epoch})
	if cell := f.core.cells[f.cellID()]; !cell.hasLeader || cell.holder != planner || cell.epoch != epoch {
		f.t.Fatalf("planner %d does not lead: %+v", planner, cell)
	}
}

func (f *fixture) request(id, class string) {
	f.core.HandleRequest(f.now, policy.Request{ID: id, Class: class, Plan: "basic", Account: testAccount, DeadlineAt: f.now + 4, Units: 2})
}

// decideSend has a planner send the request that was submitted last.
func (f *fixture) decideSend(planner int, epoch uint64, server string, seq uint32) {
	f.receive(planner, transport.Message{Kind: transport.KindSend, Cell: f.cellID(), Epoch: epoch, Handle: f.core.lastHandle, Name: server, DurationS: 1, Round: seq, Units: 2})
}

func (f *fixture) attemptEnds(id string, n int, status policy.Status) {
	f.core.HandleOutcome(f.now, policy.Outcome{ID: id, Attempt: n, Status: status, Completed: status == policy.OK})
}

// A promise is given to no other planner while it lasts, and former leaders are not followed.
func TestPromise_OnePlannerAtATime(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 5)
	f.expect("p0 grant", "p0 usage-end")
	f.core.LinkUp(f.now, 1, 8)
	claim := func(planner int, epoch uint64) {
		f.receive(planner, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: epoch, Round: 2})
	}
	claim(1, 6)
	f.expect() // the promise to 0 lasts
	f.now += 0.3
	claim(0, 5)
	f.expect("p0 grant")
	f.now += 0.3
	claim(1, 6)
	f.expect() // it was renewed
	f.now += 0.2
	claim(1, 5)
	f.expect() // it has run out, but no epoch comes twice
	claim(1, 6)
	f.expect("p1 grant", "p1 usage-end")
	claim(0, 5)
	claim(0, 7)
	f.expect()
	f.receive(0, transport.Message{Kind: transport.KindLead, Cell: f.cellID(), Epoch: 5})
	if f.core.cells[f.cellID()].hasLeader {
		t.Error("a former leader is followed")
	}
	f.receive(1, transport.Message{Kind: transport.KindLead, Cell: f.cellID(), Epoch: 6})
	f.receive(0, transport.Message{Kind: transport.KindRelease, Cell: f.cellID(), Epoch: 6}) // not its own to release
	claim(0, 7)
	f.expect()
	f.receive(1, transport.Message{Kind: transport.KindRelease, Cell: f.cellID(), Epoch: 6})
	claim(0, 7)
	f.expect("p0 grant", "p0 usage-end")
	f.core.LinkDown(f.now, 0)
	f.core.LinkUp(f.now, 0, 99) // another incarnation: it knows nothing of the promise
	claim(0, 7)
	claim(0, 8)
	f.expect()
	f.now += 0.5
	claim(0, 8)
	f.expect("p0 grant", "p0 usage-end")
}

// A forwarder that has forgotten by a restart what it promised gives no promise while an earlier one may last.
func TestPromise_NoneForALeaseAfterStart(t *testing.T) {
	f := newFixture(t)
	f.now--
	f.core.LinkUp(f.now, 0, 7)
	for ; f.now < 1000+f.core.cfg.LeaseS; f.now += 0.05 {
		f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 70})
		f.expect()
	}
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 70})
	f.expect("p0 grant", "p0 usage-end")
}

// A decision of a former leader changes nothing.
func TestExecute_IgnoresFormerLeaders(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 1)
	f.request("a", "bill")
	old := f.core.lastHandle
	late := func() {
		for _, kind := range []transport.Kind{transport.KindSend, transport.KindReject, transport.KindFail, transport.KindCancel, transport.KindProbe} {
			f.receive(0, transport.Message{Kind: kind, Cell: f.cellID(), Epoch: 1, Handle: old, Name: "z1"})
			f.receive(0, transport.Message{Kind: kind, Cell: f.cellID(), Epoch: 1, Handle: f.core.lastHandle, Name: "z1"})
		}
	}
	f.calls = nil
	f.now += 0.45 // the promise has run out, and no tick has come since
	late()
	f.expect()
	f.core.Tick(f.now)
	f.expect("p0 withdraw")
	late()
	f.elect(1, 2)
	f.expect("p1 grant", "p1 usage-end", "p1 request")
	late()
	f.expect()
	f.decideSend(1, 2, "z2", 1)
	f.expect("send a z2")
	late()
	f.attemptEnds("a", 0, policy.OK)
	f.expect("p1 outcome")
	late()
	f.decideSend(1, 2, "z2", 1) // completed: its own leader is late, too
	f.expect()
	if f.core.Stats.StaleActions == 0 || len(f.core.requests) != 0 || len(f.core.submitted) != 0 {
		t.Errorf("stale %d, open %d, submitted %d", f.core.Stats.StaleActions, len(f.core.requests), len(f.core.submitted))
	}
}

// Requests whose leader dies go on by their class and by the end of their attempt.
func TestLeaderChange_InFlightRequests(t *testing.T) {
	for _, tc := range []struct {
		class  string
		status policy.Status
		after  float64 // between the attempt and its end
		want   string  // calls when the attempt ends under a new leader
	}{
		{"bill", policy.OK, 0, "p1 orphans"},
		{"bill", policy.ConnectFailed, 0, "p1 orphans; p1 request"},
		{"bill", policy.Rejected, 0, "p1 orphans; p1 request"},
		{"bill", policy.NotSent, 0, "p1 orphans; p1 request"},
		{"bill", policy.Reset, 0, "p1 orphans; fail a"},
		{"bill", policy.Timeout, 0, "p1 orphans; fail a"},
		{"bill", policy.Error, 0, "p1 orphans; fail a"},
		{"look", policy.Reset, 0, "p1 orphans; p1 request"},
		{"look", policy.Timeout, 1, "p1 orphans; p1 request"},
		{"hold", policy.Reset, 0.5, "p1 orphans; p1 request"},
		{"hold", policy.Reset, 3.5, "p1 orphans; reject a"}, // the key is not remembered for long enough
		{"zone", policy.Reset, 0, "p1 orphans; fail a"},     // the successor does not know the zone
	} {
		t.Run(fmt.Sprint(tc.class, tc.status, tc.after), func(t *testing.T) {
			f := newFixture(t)
			f.elect(0, 1)
			f.request("a", tc.class)
			f.decideSend(0, 1, "z1", 1)
			f.expect("p0 grant", "p0 usage-end", "p0 request", "send a z1")
			f.core.LinkDown(f.now, 0)
			f.expect()
			f.now += 0.5
			f.elect(1, 2)
			f.expect("p1 grant", "p1 usage", "p1 orphans", "p1 usage-end", "p1 orphans") // it is in flight: nobody else may send it
			if f.lastMessage.Number != 1 {
				t.Errorf("%d orphaned attempts are reported, want 1", f.lastMessage.Number)
			}
			for left := tc.after; left > 0; left -= 0.25 {
				f.now += 0.25
				f.receive(1, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 2, Round: 3})
			}
			f.calls = nil
			f.attemptEnds("a", 0, tc.status)
			f.expect(strings.Split(tc.want, "; ")...)
			if strings.HasSuffix(tc.want, "request") && f.lastMessage.Units != 0 {
				t.Errorf("its %v units are counted twice", f.lastMessage.Units)
			}
		})
	}
}

// What was never sent waits for the successor, with all of its units, and not forever.
func TestLeaderChange_UnsentRequestsWait(t *testing.T) {
	f := newFixture(t)
	f.core.LinkUp(f.now, 1, 8)
	f.elect(0, 1)
	f.request("a", "bill")
	f.core.LinkDown(f.now, 0)
	f.request("b", "look")
	f.calls = nil
	f.now += 0.5
	f.core.Tick(f.now)
	f.expect()
	f.elect(1, 2)
	f.expect("p1 grant", "p1 usage-end", "p1 request", "p1 request")
	if f.lastMessage.Units != 2 {
		t.Errorf("units %v", f.lastMessage.Units)
	}
	f.core.LinkDown(f.now, 1)
	f.core.LinkUp(f.now, 2, 9)
	f.now += f.core.cfg.LeaderWaitS + 0.01
	f.core.Tick(f.now)
	if got := strings.Join(f.calls, "; "); got != "reject a; reject b" && got != "reject b; reject a" {
		t.Errorf("got %q", got)
	}
	f.calls = nil
	f.request("c", "look")
	f.expect("reject c") // the cell has been leaderless for as long as a request waits
}

// Without any planner for the stated time, waiting and new requests are rejected, and attempts in flight go on.
func TestFailsafe_RejectsWithoutPlanners(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 1)
	f.request("out", "bill")
	f.decideSend(0, 1, "z1", 1)
	f.request("told", "bill")
	f.core.LinkDown(f.now, 0)
	f.request("new", "look")
	f.calls = nil
	f.now += f.core.cfg.FailsafeDelayS - 0.001
	f.core.Tick(f.now)
	f.expect()
	f.now += 0.002
	f.core.Tick(f.now)
	if n := len(f.calls); n != 2 {
		t.Errorf("%q", f.calls)
	}
	f.calls = nil
	f.request("late", "look")
	f.expect("reject late")
	f.attemptEnds("out", 0, policy.Reset)
	f.expect("fail out")
	if _, failsafe := f.core.CountLed(); failsafe != 2 {
		t.Errorf("%d cells in fail-safe", failsafe)
	}
	f.now += 0.5
	f.elect(1, 2)
	f.calls = nil
	f.request("again", "look")
	f.expect("p1 request")
}

// Whatever a planner decides, no two attempts are in flight, and nothing that may have run is rejected.
func TestExecute_MisbehavingPlanner(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 1)
	f.request("a", "bill")
	f.decideSend(0, 1, "z1", 1)
	f.calls = nil
	f.decideSend(0, 1, "z2", 1)
	f.expect("p0 outcome")
	if f.lastMessage.Number != 1 || policy.Status(f.lastMessage.Class) != policy.NotSent {
		t.Errorf("sent %+v", f.lastMessage)
	}
	f.attemptEnds("a", 0, policy.Reset)
	f.receive(0, transport.Message{Kind: transport.KindReject, Cell: f.cellID(), Epoch: 1, Handle: f.core.lastHandle, DurationS: 1})
	f.expect("p0 outcome", "fail a")
	f.receive(0, transport.Message{Kind: transport.KindCancel, Cell: f.cellID(), Epoch: 1, Handle: f.core.lastHandle, Number: 1 << 31})
	f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: 60000, Epoch: 1})
	f.receive(0, transport.Message{Kind: transport.KindSend, Cell: 60000, Epoch: 1})
	f.expect()
}

// Requests for a planner that does not keep up are rejected, not queued.
func TestRequest_RejectedWhenLinkNotWritable(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 1)
	f.calls, f.writable = nil, false
	f.request("a", "bill")
	f.expect("reject a")
}

// A usage report has the latest admission of each account, and says if something is missing.
func TestUsageReport_LatestAdmissionAndCompleteness(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 1)
	if f.lastMessage.Kind != transport.KindUsageReportEnd || f.lastMessage.Flag {
		t.Errorf("the report of a forwarder that has just started is complete: %+v", f.lastMessage)
	}
	f.now += 10
	f.elect(0, 2)
	if !f.lastMessage.Flag {
		t.Error("the report is not complete")
	}
	for i, seq := range []uint32{3, 1} { // the later admission comes first
		id := fmt.Sprint("a", i)
		f.request(id, "look")
		f.receive(0, transport.Message{Kind: transport.KindSend, Cell: f.cellID(), Epoch: 2, Handle: f.core.lastHandle, Name: "z", DurationS: 1, Round: seq, Units: float64(seq)})
		f.attemptEnds(id, 0, policy.OK)
	}
	f.now += 0.5
	f.core.LinkUp(f.now, 1, 8)
	f.calls = nil
	var report transport.Message
	f.receive(1, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 3})
	f.expect("p1 grant", "p1 usage", "p1 usage-end")
	f.core.reportUsage(int(f.cellID()))
	f.core.usage.each(f.now, func(_ string, usage windowUsage) {
		report.Round, report.Units, report.Handle = usage.seq, usage.debt, usage.epoch
	})
	if report.Round != 3 || report.Units != 3 || report.Handle != 2 {
		t.Errorf("the report is of %+v", report)
	}
	f.core.usage.maxAccounts = 0
	f.core.usage.record("other", windowUsage{at: f.now})
	if f.core.usage.complete(f.now) || !f.core.usage.complete(f.now+f.core.usage.spanS) {
		t.Error("a gap is not reported, or for too long")
	}
}

// The request of an attempt that outlives its leader and does not end is answered while its client still listens.
func TestOverdue_SilentOrphanedAttempt(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 64)
	f.request("b", "bill")
	f.decideSend(0, 64, "z1", 1)
	f.core.LinkDown(f.now, 0)
	f.calls = nil
	f.now += 4 - TickIntervalS/2
	f.core.Tick(f.now)
	f.expect("fail b")
	f.now += 5
	f.core.Tick(f.now)
	f.attemptEnds("b", 0, policy.Timeout)
	f.expect()
}

// A request that its leader never decides on is answered once, while its client still listens.
func TestOverdue_SubmittedAndNeverAnswered(t *testing.T) {
	f := newFixture(t)
	f.elect(0, 64)
	f.request("a", "look")
	f.request("b", "bill")
	f.decideSend(0, 64, "z1", 2)
	f.calls = nil
	for ; f.now < 1000+1+2-2*TickIntervalS; f.now += TickIntervalS { // the leader's promise is renewed all the time
		f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 64, Round: 1})
		f.core.Tick(f.now)
	}
	for _, x := range f.calls {
		if strings.HasPrefix(x, "reject") || strings.HasPrefix(x, "fail") {
			t.Fatalf("ended too early: %v", f.calls)
		}
	}
	for ; f.now < 1000+1+5; f.now += TickIntervalS {
		f.receive(0, transport.Message{Kind: transport.KindClaim, Cell: f.cellID(), Epoch: 64, Round: 1})
		f.core.Tick(f.now)
	}
	answers := 0
	for _, x := range f.calls {
		if strings.HasPrefix(x, "reject a") || strings.HasPrefix(x, "fail b") {
			answers++
		} else if strings.HasPrefix(x, "reject") || strings.HasPrefix(x, "fail") {
			t.Errorf("%s", x)
		}
	}
	if answers != 2 {
		t.Errorf("%d answers: %v", answers, f.calls)
	}
}

// The limit of attempts holds across leaders, each of which counts only its own.
func TestAttemptLimit_AcrossLeaders(t *testing.T) {
	f := newFixture(t)
	f.core.cfg.MaxAttempts = 3
	f.elect(0, 1)
	f.request("a", "look")
	f.request("b", "look")
	for _, id := range []string{"a", "a", "b", "b"} {
		f.core.lastHandle = f.core.requests[id].handle
		f.decideSend(0, 1, "z1", 1)
		f.attemptEnds(id, len(f.core.requests[id].attempts)-1, policy.Reset)
	}
	f.core.lastHandle = 2
	f.core.LinkDown(f.now, 0)
	f.now += f.core.cfg.LeaseS + 0.01
	f.calls = nil
	f.elect(1, 2)
	f.expect("p1 grant", "p1 usage", "p1 usage-end", "p1 request", "p1 request")
	for h := range 2 {
		f.core.lastHandle = uint64(3 + h)
		f.decideSend(1, 2, "z2", 1)
	}
	f.expect("send a z2", "send b z2")
	f.attemptEnds("a", 2, policy.Rejected)
	f.expect("p1 outcome")
	f.core.lastHandle = 3
	f.decideSend(1, 2, "z3", 2) // the second of this leader's, the fourth in all
	f.expect("p1 disconnected", "reject a")
	f.core.LinkDown(f.now, 1)
	f.calls = nil
	f.attemptEnds("b", 2, policy.Reset)
	f.expect("reject b") // it is not submitted again
}

// A load-shedding level is relayed to all planners but the one that sent it.
func TestRelayShedLevel(t *testing.T) {
	f := newFixture(t)
	for planner := range 3 {
		f.core.LinkUp(f.now, planner, 1)
	}
	f.receive(1, transport.NewShedLevel(3, 0.6, 7))
	f.expect("p0 disconnected", "p2 disconnected")
	if cellID, _, phase, ok := f.lastMessage.ShedLevel(); !ok || cellID != 3 || phase != 7 {
		t.Errorf("cell %d, phase %d, %v", cellID, phase, ok)
	}
}

// A newer state of a cordon register binds at once and goes to every planner that knows cordons; an older one changes nothing.
func TestHandleCordon(t *testing.T) {
	f := newFixture(t)
	for planner := range 3 {
		f.core.LinkUp(f.now, planner, 1)
		if planner < 2 {
			f.receive(planner, transport.Message{Kind: transport.KindRelease, Cell: transport.CordonCapableCell})
		}
	}
	f.receive(0, transport.Message{Kind: transport.KindCordonWrite, Handle: 9, Name: "z1", Epoch: 64, Flag: true})
	f.expect("cordon z1 true", "p0 cordon", "p1 cordon", "p0 cordon")
	if f.lastMessage.Handle != 9 || f.lastMessage.Epoch != 64 || !f.lastMessage.Flag {
		t.Errorf("answered by %+v", f.lastMessage)
	}
	f.receive(1, transport.Message{Kind: transport.KindCordonWrite, Handle: 9, Name: "z1", Epoch: 63})
	f.expect("p1 cordon")
	f.receive(1, transport.Message{Kind: transport.KindCordonRead, Handle: 10, Name: "z1"})
	f.expect("p1 cordon")
	if f.lastMessage.Epoch != 64 || !f.lastMessage.Flag {
		t.Errorf("answered by %+v", f.lastMessage)
	}
	f.receive(2, transport.Message{Kind: transport.KindRelease, Cell: transport.CordonCapableCell})
	f.expect("p2 cordon")
}
