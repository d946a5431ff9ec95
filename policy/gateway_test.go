package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"eiderspread/internal/base/peerprotocol"
)

// action is a recorded call of an Actions method.
type action struct {
	kind, id, backend string
	to, attempt       int
	value             float64
	data              []byte
}

// recorder implements Actions and records the calls of one gateway.
type recorder struct{ actions []action }

func (r *recorder) Send(id, backend string, t float64) {
	r.actions = append(r.actions, action{kind: "send", id: id, backend: backend, value: t})
}

func (r *recorder) Reject(id string, x float64) {
	r.actions = append(r.actions, action{kind: "reject", id: id, value: x})
}

func (r *recorder) Fail(id string) { r.actions = append(r.actions, action{kind: "fail", id: id}) }

func (r *recorder) Cancel(id string, n int) {
	r.actions = append(r.actions, action{kind: "cancel", id: id, attempt: n})
}

func (r *recorder) SetTimer(uint64, float64) {}

func (r *recorder) Probe(backend string) {
	r.actions = append(r.actions, action{kind: "probe", backend: backend})
}

func (r *recorder) SendPeerMessage(to int, message []byte) {
	r.actions = append(r.actions, action{kind: "message", to: to, data: append([]byte(nil), message...)})
}

func (r *recorder) Log(string) {}

// actionsOf returns the recorded actions of a kind, for one request ID, or for all if id is "".
func (r *recorder) actionsOf(kind, id string) (list []action) {
	for _, a := range r.actions {
		if a.kind == kind && (id == "" || a.id == id) {
			list = append(list, a)
		}
	}
	return list
}

func testSettings() Settings {
	return Settings{
		Self: 0, Gateways: 2, Zone: "a", MaxRequestUnits: 4, PeerMessageRate: 40, PeerMessages: true, CancelAllowed: true, HedgingAllowed: true,
		MaxAttempts: 3, MaxRetryAfterS: 0.5, ResponseSlackS: 0.01,
		SlowStartMinFraction: 0.2, SlowStartS: 10, CollapseMultiple: 3, CollapseWindowS: 1, MinBatchIntervalS: 0.002,
		Classes: []Class{
			{Name: "read", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "put", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: KeyedIdempotent, KeyScope: ScopeZone, KeyTTLS: 2},
			{Name: "cell", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: KeyedIdempotent, KeyScope: ScopeCell, KeyTTLS: 2},
			{Name: "any", LatencyObjectiveS: 3, DeadlineS: 4, PriorityWeight: 3, Idempotency: KeyedIdempotent, KeyScope: ScopeAll, KeyTTLS: 0.5},
			{Name: "pay", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Name: "basic", Rate: 2, Burst: 8, Weight: 1, OverQuotaCostFraction: 1},
			{Name: "capped", Rate: 10, Burst: 20, Weight: 1, OverQuotaCostFraction: 1, HardLimitRate: 20, HardLimitBurst: 40, HardLimitSlack: 4},
			{Name: "open", MaxConcurrency: 2, Weight: 1, OverQuotaCostFraction: 1},
			{Name: "wide", Rate: 1000, Burst: 4000, Weight: 1},
		},
	}
}

func newTestGateway(t *testing.T, change func(*Settings)) (*Gateway, *recorder) {
	t.Helper()
	settings, r := testSettings(), &recorder{}
	if change != nil {
		change(&settings)
	}
	g, err := New(settings, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.UpdateBackends(100, []Backend{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
	return g, r
}

func singleGateway(settings *Settings) { settings.Gateways = 1 }

func submit(g *Gateway, now float64, id, class, plan string, units float64) {
	deadlineS := 2.0
	if class != "read" {
		deadlineS = 4
	}
	g.HandleRequest(now, Request{ID: id, Class: class, Plan: plan, Account: "c-" + plan, DeadlineAt: now + deadlineS,
		FirstGateway: 0, GatewayCount: g.settings.Gateways, Units: units})
}

// UpdateClasses must not change the idempotency of requests in progress: a request that may have run could run
// twice. New requests get the new classes, and the new attempt limit applies to all requests.
func TestUpdateClasses_ActiveRequestsKeepTheirClass(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	submit(g, 100, "old-read", "read", "wide", 1)
	submit(g, 100, "old-pay", "pay", "wide", 1)
	submit(g, 100, "old-any", "any", "wide", 1)
	classes := slices.Clone(g.settings.Classes)
	classes[0].Idempotency = NonIdempotent // stricter than before
	classes[4].Idempotency = Idempotent    // less strict than before
	classes = append(slices.Delete(classes, 3, 4), Class{Name: "new", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 2, Idempotency: NonIdempotent})
	if err := g.UpdateClasses(100.1, classes, 2); err != nil {
		t.Fatal(err)
	}
	submit(g, 100.1, "new-read", "read", "wide", 1)
	submit(g, 100.1, "new", "new", "wide", 1)
	submit(g, 100.1, "gone", "any", "wide", 1)
	actionAfterError := func(id string) string {
		first := r.actionsOf("send", id)[0]
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{ID: id, Backend: first.backend, Status: Error, LatencyS: 0.1})
		for _, kind := range []string{"send", "fail", "reject"} {
			if len(r.actionsOf(kind, id)) > 0 {
				return kind
			}
		}
		return "nothing"
	}
	if len(r.actionsOf("send", "gone")) > 0 {
		t.Error("a request of a removed class was sent")
	}
	sent := slices.Clone(r.actions)
	for id, want := range map[string]string{"old-read": "send", "old-pay": "fail", "old-any": "send", "new-read": "fail", "new": "fail"} {
		r.actions = sent
		if got := actionAfterError(id); got != want {
			t.Errorf("request %s: action after an error is %s, want %s", id, got, want)
		}
	}
	// The new limit is two attempts, and the second one has ended.
	r.actions = nil
	g.HandleOutcome(100.3, Outcome{ID: "old-read", Backend: "s1", Attempt: 1, Status: Rejected, LatencyS: 0.01})
	if len(r.actionsOf("send", "old-read")) > 0 || len(r.actionsOf("reject", "old-read")) != 1 {
		t.Error("request old-read was not rejected after its last allowed attempt")
	}
}

// Measured statistics belong to a class name: an update that reorders classes must not assign them to another
// class. Statistics of removed classes are kept, so that the number of class names must be bounded.
func TestUpdateClasses_StateFollowsName(t *testing.T) {
	g, _ := newTestGateway(t, singleGateway)
	g.recordFailure(g.backends.ByID["s2"], g.classes["pay"], 1)
	g.classes["pay"].meanLatency = 0.7
	all := slices.Clone(g.settings.Classes)
	if err := g.UpdateClasses(100, []Class{{Name: "x", LatencyObjectiveS: 1, DeadlineS: 1}, all[4]}, 3); err != nil {
		t.Fatal(err)
	}
	if g.backends.ByID["s2"].ErrorScore(g.classes["pay"].index, g.now) < 0.9 || g.classes["pay"].meanLatency != 0.7 ||
		g.backends.ByID["s2"].ErrorScore(g.classes["x"].index, g.now) != 0 {
		t.Error("statistics of class pay were lost or assigned to another class")
	}
	for i := 0; ; i++ {
		if err := g.UpdateClasses(100, []Class{{Name: fmt.Sprint("c", i), LatencyObjectiveS: 1, DeadlineS: 1}}, 3); err != nil {
			break
		}
		if i > maxClassNames {
			t.Fatal("the number of class names is not bounded")
		}
	}
	for _, bad := range [][]Class{nil, {{Name: "x", LatencyObjectiveS: 1}}} {
		if g.UpdateClasses(100, bad, 3) == nil {
			t.Errorf("invalid classes %+v were accepted, want an error", bad)
		}
	}
}

// newPair returns two gateways connected by a network without message loss. pump runs the timers of both and
// delivers their messages.
func newPair(t *testing.T) (g [2]*Gateway, r [2]*recorder, pump func(now float64)) {
	for i := range 2 {
		g[i], r[i] = newTestGateway(t, func(settings *Settings) { settings.Self = i })
	}
	seen := [2]int{}
	return g, r, func(now float64) {
		for i := range 2 {
			g[i].HandleTimer(now, 1)
		}
		for i := range 2 {
			for ; seen[i] < len(r[i].actions); seen[i]++ {
				if a := r[i].actions[seen[i]]; a.kind == "message" {
					g[1-i].HandlePeerMessage(now, i, a.data)
				}
			}
		}
	}
}

// answerAll answers all attempts sent since the last call with OK, and returns their request IDs.
func answerAll(g *Gateway, r *recorder, seen *int, now float64) (ids []string) {
	for ; *seen < len(r.actions); *seen++ {
		if a := r.actions[*seen]; a.kind == "send" {
			ids = append(ids, a.id)
			g.HandleOutcome(now, Outcome{ID: a.id, Backend: a.backend, Status: OK, Completed: true, LatencyS: 0.05})
		}
	}
	return ids
}

func withGateways(n int) func(*Settings) { return func(settings *Settings) { settings.Gateways = n } }

func TestInvalidInput_IsIgnored(t *testing.T) {
	g, r := newTestGateway(t, nil)
	n := len(r.actions)
	good := peerprotocol.AppendRecord(peerprotocol.AppendHeader(nil, 1, 1), record{AccountKey: 5, Plan: 15})
	for i := range good {
		g.HandlePeerMessage(100, 1, good[:i])
	}
	g.HandlePeerMessage(100, 9, good)
	g.HandlePeerMessage(100, -1, good)
	g.HandlePeerMessage(100, 1, append([]byte{peerprotocol.Version + 1}, good[1:]...))
	good[peerprotocol.RecordCountOffset] = 1
	g.HandlePeerMessage(100, 1, good)
	g.HandlePeerMessage(100, 1, append(good, 1, 2, 3))
	g.HandlePeerMessage(100, 1, make([]byte, 4000))
	g.HandleOutcome(100, Outcome{ID: "none", Backend: "s1"})
	g.HandleDisconnect(100, "none")
	g.HandleResponseStart(100, "none", 0)
	g.HandleProbeResult(100, ProbeResult{Backend: "none"})
	g.HandleTimer(100, 77)
	if len(r.actions) != n {
		t.Fatalf("actions after invalid input: %v, want none", r.actions[n:])
	}
}

func TestNew_InvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"gateways": func(settings *Settings) { settings.Gateways = 0 },
		"16 at":    func(settings *Settings) { settings.Plans = make([]Plan, 17) },
		"me is":    func(settings *Settings) { settings.Self = 2 },
		"classes":  func(settings *Settings) { settings.Classes = nil },
		"deadline": func(settings *Settings) { settings.Classes[0].DeadlineS = 0 },
		"burst":    func(settings *Settings) { settings.Plans[0].Burst = 0 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1, 0, &recorder{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that contains %q, got %v", want, err)
		}
	}
}

func TestDeterminism_SameEventsSameActions(t *testing.T) {
	var logs [2]string
	for k := range logs {
		g, r := newTestGateway(t, nil)
		for i := range 300 {
			now := 100 + float64(i)*0.01
			id := fmt.Sprint("q", i)
			g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "wide", Account: fmt.Sprint("c", i%37), DeadlineAt: now + 2,
				GatewayCount: 2, Units: 1})
			for n, a := range r.actionsOf("send", id) {
				g.HandleOutcome(now, Outcome{ID: id, Backend: a.backend, Attempt: n, Status: Status(i % 4), LatencyS: 0.05})
			}
			g.HandleTimer(now, 1)
		}
		logs[k] = fmt.Sprint(r.actions)
	}
	if logs[0] != logs[1] {
		t.Fatal("two runs with the same events and seed produced different actions")
	}
}
