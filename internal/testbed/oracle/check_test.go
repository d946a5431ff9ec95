package oracle

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderspread/policy"
)

var (
	testClasses = []policy.Class{
		{Name: "zone-check", LatencyObjectiveS: 0.5, DeadlineS: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
		{Name: "slot-hold", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: policy.KeyedIdempotent, KeyTTLS: 4},
		{Name: "courier-send", LatencyObjectiveS: 1.5, DeadlineS: 4, PriorityWeight: 5, Idempotency: policy.NonIdempotent},
	}
	testPlans = []policy.Plan{
		{Name: "comptoir", Rate: 2, Burst: 9, Weight: 0.8, OverQuotaCostFraction: 1},
		{Name: "resto", Rate: 9, Burst: 18, Weight: 1.1, MaxConcurrency: 6},
		{Name: "chaine", Rate: 38, Burst: 76, Weight: 1.6, HardLimitRate: 68, HardLimitBurst: 137, HardLimitSlack: 14},
	}
)

func testConfig() Config {
	return Config{Classes: testClasses, Plans: testPlans, DrainGraceS: 0.25, AnswerGraceS: 0.25, MaxOverlapS: 0.1, HardLimitSlackS: 0.15, LargestRequest: 6, SlowStartFactor: 3, SlowStartWindowS: 1}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// cleanHistory is a history of n served requests, a second apart, that breaks nothing.
func cleanHistory(n int) *History {
	h := NewHistoryWithClock(func() time.Duration { return time.Hour })
	h.Incarnations = []Incarnation{{Node: "z1", StartedAt: -time.Hour, Capacity: 4, WarmUpFrom: 0.25, WarmUpS: 8}, {Node: "z2", Capacity: 4, WarmUpFrom: 0.25, WarmUpS: 8}}
	for i := range n {
		class := testClasses[i%3].Name
		id, at := fmt.Sprint("r", i), time.Duration(i)*time.Second
		h.Requests = append(h.Requests, &Request{ID: id, OriginalID: id, Account: "a", Class: class, Plan: "chaine", Units: 1, SentAt: at,
			Deadline: at + 2*time.Second, AnsweredAt: at + ms(50), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "a", Class: class, Plan: "chaine", Units: 1,
			At: at + ms(1), AnsweredAt: at + ms(49), End: at + ms(49), Started: true, Outcome: "served"})
	}
	return h
}

// Guards that each planted violation is found, by its rule, and nothing in a clean history.
func TestCheck_Violations(t *testing.T) {
	if rep := Check(cleanHistory(30), testConfig()); len(rep.Violations) != 0 || rep.Service != 1 || len(rep.Overshoots) != 0 {
		t.Fatalf("a clean history: %+v", rep)
	}
	bill := func(h *History) (*Request, *Attempt) { return h.Requests[2], h.Attempts[2] } // a courier-send
	for name, tc := range map[string]struct {
		rule  string
		plant func(h *History)
	}{
		"no answer":       {"no request lost", func(h *History) { h.Requests[4].Result, h.Requests[4].Answers = Pending, 0 }},
		"broken off":      {"no request lost", func(h *History) { h.Requests[4].Result, h.Requests[4].Answers = ConnectionLost, 0 }},
		"late answer":     {"no request lost", func(h *History) { h.Requests[4].AnsweredAt = h.Requests[4].Deadline + ms(300) }},
		"two answers":     {"one answer", func(h *History) { h.Requests[4].Answers = 2 }},
		"another's value": {"one answer", func(h *History) { h.Requests[4].Result = ForeignReply }},
		"made-up value":   {"one answer", func(h *History) { h.Attempts[4].AnsweredAt = 0 }},
		"sent for who left": {RuleDisconnectedClient, func(h *History) {
			h.Requests[4].Result, h.Requests[4].Answers, h.Requests[4].DisconnectedAt = Disconnected, 0, h.Requests[4].SentAt+ms(10)
			h.Attempts[4].At = h.Requests[4].DisconnectedAt + ms(450)
		}},
		"beyond quotas on a quiet day": {RuleQuota, func(h *History) {
			for i := range 60 { // of an account with 9 units, by hand: a policy that sees late lets in more than that, for 0.3 s
				id := fmt.Sprint("x", i)
				h.Requests = append(h.Requests, &Request{ID: id, OriginalID: id, Account: "b", Class: "zone-check", Plan: "comptoir", Units: 1, SentAt: ms(100 * i),
					Deadline: ms(100*i + 2000), AnsweredAt: ms(100*i + 20), Answers: 1, Result: Served})
				h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "b", Class: "zone-check", Plan: "comptoir", Units: 1, At: ms(100*i + 1),
					End: ms(100*i + 9), AnsweredAt: ms(100*i + 9), Started: true, Outcome: "served", Node: "z1"})
			}
		}},
		"out of order": {RuleAnswerOrder, func(h *History) { h.Requests[4].Result, h.Requests[4].BatchIndex = ForeignReply, 2 }},
		"sent after its answer": {RuleOneAnswer, func(h *History) {
			b := *h.Attempts[0]
			b.At, b.End = ms(300), ms(400)
			h.Attempts = append(h.Attempts, &b)
		}},
		"sent again after a reset": {RuleNoDuplicateEffect, func(h *History) { // though it did not run
			_, attempt := bill(h)
			b := *attempt
			attempt.Outcome, attempt.Started, attempt.AnsweredAt, attempt.End = "reset unrun", false, 0, attempt.At+ms(1)
			b.At = attempt.At + ms(10)
			h.Attempts = append(h.Attempts, &b)
		}},
		"cold node pushed over": {RuleSlowStart, func(h *History) {
			for i := range 31 { // of 30 tenths that it may be sent within a second right after its start
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					AnsweredAt: ms(i + 9), Started: true, Outcome: "served", Node: "z2", Incarnation: 1, Work: 0.1})
			}
		}},
		"cap on open attempts": {RuleMaxConcurrency, func(h *History) {
			for i := range 13 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "resto", Units: 1, At: ms(i), End: ms(i + 99),
					Started: true, Outcome: "served", Node: "z1"})
			}
		}},
		"ran twice": {"no effect twice", func(h *History) {
			_, attempt := bill(h)
			b := *attempt
			attempt.Outcome, attempt.AnsweredAt = "reset", 0
			b.At, b.End, b.AnsweredAt = attempt.End+ms(20), attempt.End+ms(30), attempt.End+ms(30)
			h.Requests[2].AnsweredAt = b.End
			h.Attempts = append(h.Attempts, &b)
		}},
		"refused though it ran": {"no effect twice", func(h *History) {
			try, attempt := bill(h)
			try.Result, attempt.Outcome = Rejected, "reset"
		}},
		"key used twice": {"no effect twice", func(h *History) {
			b := *h.Attempts[1]
			h.Attempts[1].Outcome, h.Attempts[1].AnsweredAt = "silent", 0
			b.At, b.End, b.AnsweredAt = b.End+ms(4200), b.End+ms(4300), b.End+ms(4300)
			h.Requests[1].AnsweredAt, h.Requests[1].Deadline = b.End, b.End
			h.Attempts = append(h.Attempts, &b)
		}},
		"two attempts out": {"one attempt out", func(h *History) {
			b := *h.Attempts[0]
			h.Attempts[0].End, h.Attempts[0].Outcome, h.Attempts[0].AnsweredAt = ms(400), "gone", 0
			b.Node, b.At, b.End, b.AnsweredAt = "z2", ms(40), ms(90), ms(90)
			h.Requests[0].AnsweredAt = ms(91)
			h.Attempts = append(h.Attempts, &b)
		}},
		"sent after a drain": {"drains kept", func(h *History) {
			h.Notices = append(h.Notices, Notice{"f0", "z1", "terminating", 5*time.Second - ms(320), 0})
			h.Attempts = h.Attempts[:6]
		}},
		"over the quota": {"quotas kept", func(h *History) {
			for i := range 90 { // of 76 that fit
				attempt := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Started: true, Outcome: "served", Node: "z1"}
				h.Attempts = append(h.Attempts, attempt)
			}
		}},
		"over the ceiling": {"ceilings kept", func(h *History) {
			for i := range 200 {
				attempt := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Started: true, Outcome: "served", Node: "z1"}
				h.Attempts = append(h.Attempts, attempt)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := cleanHistory(6)
			tc.plant(h)
			cfg := testConfig()
			if name == "over the quota" {
				cfg.QuotaSlack = 6
			}
			if name == "cap on open attempts" {
				cfg.ConcurrencyFactor = 2
			}
			rep := Check(h, cfg)
			if rep.ViolationCounts[tc.rule] == 0 || rep.Verdict() == nil {
				t.Errorf("not found: %+v", rep.ViolationCounts)
			}
			for rule := range rep.ViolationCounts {
				if rule != tc.rule {
					t.Errorf("%s is reported, too: %+v", rule, rep.Violations)
				}
			}
		})
	}
}

// Guards against reports of what is no violation.
func TestCheck_NoViolation(t *testing.T) {
	for name, plant := range map[string]func(h *History){
		"forwarder killed": func(h *History) {
			h.Requests[4].Result, h.Requests[4].Answers = ConnectionLost, 0
			h.Outages = append(h.Outages, Outage{0, h.Requests[4].SentAt + ms(10), h.Requests[4].SentAt + ms(900)})
		},
		"key used again in time": func(h *History) {
			b := *h.Attempts[1]
			h.Attempts[1].Outcome, h.Attempts[1].AnsweredAt = "silent", 0
			b.At, b.End, b.AnsweredAt, b.KnownKey = b.End+ms(200), b.End+ms(300), b.End+ms(300), true
			h.Requests[1].AnsweredAt = b.End
			h.Attempts = append(h.Attempts, &b)
		},
		"turned away and sent again": func(h *History) {
			attempt := h.Attempts[2]
			b := *attempt
			attempt.Outcome, attempt.Started, attempt.AnsweredAt, attempt.End = "full", false, 0, attempt.At+ms(1)
			b.At = attempt.At + ms(10)
			h.Attempts = append(h.Attempts, &b)
		},
		"its end was not to be seen": func(h *History) { // by the node: the ingress ended the connection in a cut
			b := *h.Attempts[0]
			h.Attempts[0].End, h.Attempts[0].Outcome, h.Attempts[0].AnsweredAt, h.Attempts[0].Conn = 0, "", 0, "c"
			h.ConnectionEnds["c"] = []time.Duration{0, ms(30)}
			b.Node, b.At, b.End, b.AnsweredAt = "z2", ms(131), ms(140), ms(140)
			h.Requests[0].AnsweredAt = ms(141)
			h.Attempts = append(h.Attempts, &b)
		},
		"sent as it hung up": func(h *History) {
			h.Requests[4].Result, h.Requests[4].Answers, h.Requests[4].DisconnectedAt = Disconnected, 0, h.Requests[4].SentAt
			h.Attempts[4].At += ms(250)
		},
		"hung up": func(h *History) {
			h.Requests[4].Result, h.Requests[4].Answers, h.Requests[4].DisconnectedAt = Disconnected, 0, h.Requests[4].SentAt
		},
		"behind others on its connection": func(h *History) {
			h.Requests[4].BatchIndex, h.Requests[4].AnsweredAt = 2, h.Requests[4].Deadline+ms(900)
		},
		"told in an earlier life": func(h *History) {
			h.Notices = append(h.Notices, Notice{"f0", "z1", "terminated", ms(100), 0})
			h.Outages = append(h.Outages, Outage{0, ms(150), ms(160)})
			h.Attempts = append(h.Attempts[:0], h.Attempts[1:]...)
			h.Requests = append(h.Requests[:0], h.Requests[1:]...)
		},
		"warm": func(h *History) {
			for i := range 40 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(9000 + i), End: ms(9009 + i),
					AnsweredAt: ms(9009 + i), Started: true, Outcome: "served", Node: "z2", Incarnation: 1, Work: 0.1})
			}
		},
		"sent within the grace": func(h *History) {
			h.Notices = append(h.Notices, Notice{"f0", "z1", "terminating", 5*time.Second - ms(200), 0})
			h.Attempts = h.Attempts[:6]
		},
		"told to another": func(h *History) {
			h.Notices = append(h.Notices, Notice{"f1", "z1", "terminating", 0, 0})
		},
		"up to the ceiling": func(h *History) {
			for i := range 150 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine",
					Units: 1, At: ms(i), End: ms(i + 9), Started: true, Outcome: "served", Node: "z1"})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := cleanHistory(6)
			plant(h)
			if rep := Check(h, testConfig()); len(rep.Violations) != 0 {
				t.Errorf("%+v", rep.Violations)
			}
		})
	}
}

// Guards the figures: overshoot in units and percent, and service of what was requested inside quotas.
func TestCheck_Figures(t *testing.T) {
	h := cleanHistory(0)
	for i := range 12 { // 9 units fit comptoir's window
		id := fmt.Sprint("c", i)
		h.Requests = append(h.Requests, &Request{ID: id, OriginalID: id, Account: "c", Class: "zone-check", Plan: "comptoir", Units: 1, SentAt: ms(i),
			Deadline: ms(2000), AnsweredAt: ms(i + 20), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "c", Class: "zone-check", Plan: "comptoir", Units: 1,
			At: ms(i), End: ms(i + 9), Started: true, Outcome: "served"})
	}
	for i := range 4 { // half of what is asked comes in time
		id := fmt.Sprint("d", i)
		h.Requests = append(h.Requests, &Request{ID: id, OriginalID: id, Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1, SentAt: ms(i),
			Deadline: ms(2000), AnsweredAt: ms(i + 20 + i%2*600), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1,
			At: ms(i), End: ms(i + 9), Started: true, Outcome: "served"})
	}
	rep := Check(h, testConfig())
	if len(rep.Overshoots) != 1 || rep.Overshoots[0].Account != "c" || rep.Overshoots[0].Units < 2.97 || rep.Overshoots[0].Units > 3 {
		t.Errorf("overshoot %+v", rep.Overshoots)
	}
	if want := (9.0 + 2) / 13; rep.Service < want-0.01 || rep.Service > want+0.01 {
		t.Errorf("service %v, want %v", rep.Service, want)
	}
}

// Guards that too few occasions to break a rule, and a testbed that was late, fail the verdict.
func TestReport_VerdictNeedsOccasions(t *testing.T) {
	cfg := testConfig()
	cfg.MinOccasions = map[string]int{RuleNoDuplicateEffect: 1}
	if rep := Check(cleanHistory(30), cfg); rep.Verdict() == nil || !strings.Contains(rep.Verdict().Error(), "not seen") {
		t.Errorf("without occasions: %v", rep.Verdict())
	}
	h := cleanHistory(30)
	h.Attempts[2].Outcome, h.Attempts[2].AnsweredAt = "reset", 0
	h.Requests[2].Result = Failed
	if rep := Check(h, cfg); rep.Verdict() != nil || rep.Occasions[RuleNoDuplicateEffect] == 0 {
		t.Errorf("with one: %v, %v", rep.Verdict(), rep.Occasions)
	}
	cfg.MaxLateness = time.Millisecond
	h.MaxLateness = 2 * time.Millisecond
	if rep := Check(h, cfg); rep.Verdict() == nil || !strings.Contains(rep.Verdict().Error(), "void") {
		t.Errorf("late: %v", rep.Verdict())
	}
}

// Guards stored runs: they give the same report when they are checked again.
func TestReadHistory_SameReport(t *testing.T) {
	h, cfg := cleanHistory(30), testConfig()
	h.Requests[5].Answers = 2
	h.ConnectionEnds["c"] = []time.Duration{1}
	want := Check(h, cfg)
	var file bytes.Buffer
	if err := WriteHistory(&file, h, cfg); err != nil {
		t.Fatal(err)
	}
	again, cfg, err := ReadHistory(&file)
	if err != nil {
		t.Fatal(err)
	}
	if got := Check(again, cfg); !reflect.DeepEqual(got, want) || got.ViolationCounts[RuleOneAnswer] != 1 {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if _, _, err := ReadHistory(strings.NewReader("{")); err == nil {
		t.Error("half a file is read")
	}
}

// Guards that a notice during a hot restart binds replacementGrace after its begin, neither sooner nor later, and that a cordon
// binds at once, and across restarts.
func TestReport_CheckCordons(t *testing.T) {
	h := NewHistory()
	h.Replacements = []Outage{{Forwarder: 1, From: 10 * time.Second, To: 10200 * time.Millisecond}}
	for told, want := range map[time.Duration]time.Duration{9 * time.Second: 9 * time.Second, 10 * time.Second: 12 * time.Second,
		11900 * time.Millisecond: 12 * time.Second, 12 * time.Second: 12 * time.Second, 13 * time.Second: 13 * time.Second} {
		if got := h.bindingFrom(1, told); got != want {
			t.Errorf("told at %v: binds at %v, want %v", told, got, want)
		}
	}
	if h.bindingFrom(0, 11*time.Second) != 11*time.Second {
		t.Error("another forwarder was replaced")
	}
	h.Cordons = []Cordon{{Ingress: IngressName(1), Node: "z", From: 20 * time.Second, To: 25 * time.Second}}
	h.Restarts = []Outage{{Forwarder: 1, From: 21 * time.Second, To: 22 * time.Second}}
	requests := map[string]*Request{}
	for id, at := range map[string]time.Duration{"before": 19500 * time.Millisecond, "grace": 20200 * time.Millisecond, "held": 23 * time.Second, "after": 26 * time.Second} {
		requests[id+"/a"] = &Request{ID: id, Account: "a", Forwarder: 1}
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "a", Node: "z", At: at})
	}
	rep := &Report{ViolationCounts: map[string]int{}, Occasions: map[string]int{}, OccasionDetails: map[string]int{}}
	rep.checkCordons(h, Config{DrainGraceS: 0.25}, requests)
	if len(rep.Violations) != 1 || rep.Occasions[RuleCordon] != 1 || !strings.Contains(rep.Violations[0].Detail, "held") {
		t.Errorf("%+v, %d seen", rep.Violations, rep.Occasions[RuleCordon])
	}
}

// Guards an abandoned attempt whose bytes arrive after those of the next one: only one was open at a time. An attempt that is
// abandoned later than the next one arrived is a violation.
func TestCheck_OvertakenAttempt(t *testing.T) {
	for name, x := range map[string]struct {
		endedAt  time.Duration // the overtaken one's connection
		breaches int
	}{"given up before": {ms(90), 0}, "given up behind it": {ms(105), 1}} {
		h := NewHistoryWithClock(func() time.Duration { return 0 })
		first := &Attempt{ID: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Node: "z1", Conn: "c1", At: ms(110), End: ms(110), Outcome: "gone", Started: true}
		next := &Attempt{ID: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Node: "z2", Conn: "c2", At: ms(100), End: ms(500), AnsweredAt: ms(500), Outcome: "served", Started: true}
		h.Attempts = []*Attempt{next, first}
		h.Incarnations = []Incarnation{{Node: "z1", StartedAt: -1, Capacity: 9}}
		h.Requests = []*Request{{ID: "a", OriginalID: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Deadline: 2 * time.Second, AnsweredAt: ms(501), Answers: 1, Result: Served}}
		h.ConnectionEnds["c1"] = []time.Duration{x.endedAt}
		rep := Check(h, testConfig())
		if rep.ViolationCounts[RuleOneOpenAttempt] != x.breaches {
			t.Errorf("%s: %v", name, rep.Violations)
		}
	}
}

// Guards the slack of a starting backend's budget, by the operators' documentation.
func TestWithChanceSlack(t *testing.T) {
	for _, x := range []struct{ budget, mean, want float64 }{{100, 1, 122}, {25, 1, 43}, {10, 0.1, 12.2}} {
		if got := withChanceSlack(x.budget, x.mean); got < x.want-0.01 || got > x.want+0.01 {
			t.Errorf("%+v: %v", x, got)
		}
	}
}
