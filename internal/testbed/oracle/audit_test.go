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

func testRules() Rules {
	return Rules{Classes: testClasses, Plans: testPlans, DrainS: 0.25, AnswerS: 0.25, OverlapS: 0.1, CeilingS: 0.15, SlackUnit: 6, FallMultiple: 3, FallS: 1}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// clean is a history of n served requests, a second apart, that breaks nothing.
func clean(n int) *History {
	h := NewAt(func() time.Duration { return time.Hour })
	h.Lives = []Life{{Node: "z1", Started: -time.Hour, Capacity: 4, ColdFrom: 0.25, ColdS: 8}, {Node: "z2", Capacity: 4, ColdFrom: 0.25, ColdS: 8}}
	for i := range n {
		class := testClasses[i%3].Name
		id, at := fmt.Sprint("r", i), time.Duration(i)*time.Second
		h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "a", Class: class, Plan: "chaine", Units: 1, Sent: at,
			Deadline: at + 2*time.Second, Answered: at + ms(50), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "a", Class: class, Plan: "chaine", Units: 1,
			At: at + ms(1), Answered: at + ms(49), End: at + ms(49), Began: true, How: "served"})
	}
	return h
}

// The auditor must find each planted breach, by its rule, and nothing in a clean history.
func TestAuditFindsPlantedBreaches(t *testing.T) {
	if rep := Audit(clean(30), testRules()); len(rep.Breaches) != 0 || rep.Service != 1 || len(rep.Overshoots) != 0 {
		t.Fatalf("a clean history: %+v", rep)
	}
	bill := func(h *History) (*Try, *Attempt) { return h.Tries[2], h.Attempts[2] } // a courier-send
	for name, tc := range map[string]struct {
		rule  string
		plant func(h *History)
	}{
		"no answer":       {"no request lost", func(h *History) { h.Tries[4].Result, h.Tries[4].Answers = Open, 0 }},
		"broken off":      {"no request lost", func(h *History) { h.Tries[4].Result, h.Tries[4].Answers = Broken, 0 }},
		"late answer":     {"no request lost", func(h *History) { h.Tries[4].Answered = h.Tries[4].Deadline + ms(300) }},
		"two answers":     {"one answer", func(h *History) { h.Tries[4].Answers = 2 }},
		"another's value": {"one answer", func(h *History) { h.Tries[4].Result = Alien }},
		"made-up value":   {"one answer", func(h *History) { h.Attempts[4].Answered = 0 }},
		"sent for who left": {Gone, func(h *History) {
			h.Tries[4].Result, h.Tries[4].Answers, h.Tries[4].Left = Left, 0, h.Tries[4].Sent+ms(10)
			h.Attempts[4].At = h.Tries[4].Left + ms(450)
		}},
		"beyond quotas on a quiet day": {Quotas, func(h *History) {
			for i := range 60 { // of an account with 9 units, by hand: a policy that sees late lets in more than that, for 0.3 s
				id := fmt.Sprint("x", i)
				h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "b", Class: "zone-check", Plan: "comptoir", Units: 1, Sent: ms(100 * i),
					Deadline: ms(100*i + 2000), Answered: ms(100*i + 20), Answers: 1, Result: Served})
				h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "b", Class: "zone-check", Plan: "comptoir", Units: 1, At: ms(100*i + 1),
					End: ms(100*i + 9), Answered: ms(100*i + 9), Began: true, How: "served", Node: "z1"})
			}
		}},
		"out of order": {Order, func(h *History) { h.Tries[4].Result, h.Tries[4].Batch = Alien, 2 }},
		"sent after its answer": {Answer, func(h *History) {
			b := *h.Attempts[0]
			b.At, b.End = ms(300), ms(400)
			h.Attempts = append(h.Attempts, &b)
		}},
		"sent again after a reset": {Twice, func(h *History) { // though it did not run
			_, a := bill(h)
			b := *a
			a.How, a.Began, a.Answered, a.End = "reset unrun", false, 0, a.At+ms(1)
			b.At = a.At + ms(10)
			h.Attempts = append(h.Attempts, &b)
		}},
		"cold node pushed over": {Cold, func(h *History) {
			for i := range 31 { // of 30 tenths that it may be sent within a second right after its start
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Answered: ms(i + 9), Began: true, How: "served", Node: "z2", Life: 1, Work: 0.1})
			}
		}},
		"cap on open attempts": {Caps, func(h *History) {
			for i := range 13 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "resto", Units: 1, At: ms(i), End: ms(i + 99),
					Began: true, How: "served", Node: "z1"})
			}
		}},
		"ran twice": {"no effect twice", func(h *History) {
			_, a := bill(h)
			b := *a
			a.How, a.Answered = "reset", 0
			b.At, b.End, b.Answered = a.End+ms(20), a.End+ms(30), a.End+ms(30)
			h.Tries[2].Answered = b.End
			h.Attempts = append(h.Attempts, &b)
		}},
		"refused though it ran": {"no effect twice", func(h *History) {
			try, a := bill(h)
			try.Result, a.How = Refused, "reset"
		}},
		"key used twice": {"no effect twice", func(h *History) {
			b := *h.Attempts[1]
			h.Attempts[1].How, h.Attempts[1].Answered = "silent", 0
			b.At, b.End, b.Answered = b.End+ms(4200), b.End+ms(4300), b.End+ms(4300)
			h.Tries[1].Answered, h.Tries[1].Deadline = b.End, b.End
			h.Attempts = append(h.Attempts, &b)
		}},
		"two attempts out": {"one attempt out", func(h *History) {
			b := *h.Attempts[0]
			h.Attempts[0].End, h.Attempts[0].How, h.Attempts[0].Answered = ms(400), "gone", 0
			b.Node, b.At, b.End, b.Answered = "z2", ms(40), ms(90), ms(90)
			h.Tries[0].Answered = ms(91)
			h.Attempts = append(h.Attempts, &b)
		}},
		"sent after a drain": {"drains kept", func(h *History) {
			h.Told = append(h.Told, Told{"f0", "z1", "terminating", 5*time.Second - ms(320), 0})
			h.Attempts = h.Attempts[:6]
		}},
		"over the quota": {"quotas kept", func(h *History) {
			for i := range 90 { // of 76 that fit
				a := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Began: true, How: "served", Node: "z1"}
				h.Attempts = append(h.Attempts, a)
			}
		}},
		"over the ceiling": {"ceilings kept", func(h *History) {
			for i := range 200 {
				a := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Began: true, How: "served", Node: "z1"}
				h.Attempts = append(h.Attempts, a)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := clean(6)
			tc.plant(h)
			rules := testRules()
			if name == "over the quota" {
				rules.Quota = 6
			}
			if name == "cap on open attempts" {
				rules.CapX = 2
			}
			rep := Audit(h, rules)
			if rep.Counts[tc.rule] == 0 || rep.Verdict() == nil {
				t.Errorf("not found: %+v", rep.Counts)
			}
			for rule := range rep.Counts {
				if rule != tc.rule {
					t.Errorf("%s is reported, too: %+v", rule, rep.Breaches)
				}
			}
		})
	}
}

// What is no breach must not be reported as one.
func TestAuditExcuses(t *testing.T) {
	for name, plant := range map[string]func(h *History){
		"forwarder killed": func(h *History) {
			h.Tries[4].Result, h.Tries[4].Answers = Broken, 0
			h.Outages = append(h.Outages, Outage{0, h.Tries[4].Sent + ms(10), h.Tries[4].Sent + ms(900)})
		},
		"key used again in time": func(h *History) {
			b := *h.Attempts[1]
			h.Attempts[1].How, h.Attempts[1].Answered = "silent", 0
			b.At, b.End, b.Answered, b.Repeat = b.End+ms(200), b.End+ms(300), b.End+ms(300), true
			h.Tries[1].Answered = b.End
			h.Attempts = append(h.Attempts, &b)
		},
		"turned away and sent again": func(h *History) {
			a := h.Attempts[2]
			b := *a
			a.How, a.Began, a.Answered, a.End = "full", false, 0, a.At+ms(1)
			b.At = a.At + ms(10)
			h.Attempts = append(h.Attempts, &b)
		},
		"its end was not to be seen": func(h *History) { // by the node: the ingress ended the connection in a cut
			b := *h.Attempts[0]
			h.Attempts[0].End, h.Attempts[0].How, h.Attempts[0].Answered, h.Attempts[0].Conn = 0, "", 0, "c"
			h.ConnEnds["c"] = []time.Duration{0, ms(30)}
			b.Node, b.At, b.End, b.Answered = "z2", ms(131), ms(140), ms(140)
			h.Tries[0].Answered = ms(141)
			h.Attempts = append(h.Attempts, &b)
		},
		"sent as it hung up": func(h *History) {
			h.Tries[4].Result, h.Tries[4].Answers, h.Tries[4].Left = Left, 0, h.Tries[4].Sent
			h.Attempts[4].At += ms(250)
		},
		"hung up": func(h *History) { h.Tries[4].Result, h.Tries[4].Answers, h.Tries[4].Left = Left, 0, h.Tries[4].Sent },
		"behind others on its connection": func(h *History) {
			h.Tries[4].Batch, h.Tries[4].Answered = 2, h.Tries[4].Deadline+ms(900)
		},
		"told in an earlier life": func(h *History) {
			h.Told = append(h.Told, Told{"f0", "z1", "terminated", ms(100), 0})
			h.Outages = append(h.Outages, Outage{0, ms(150), ms(160)})
			h.Attempts = append(h.Attempts[:0], h.Attempts[1:]...)
			h.Tries = append(h.Tries[:0], h.Tries[1:]...)
		},
		"warm": func(h *History) {
			for i := range 40 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(9000 + i), End: ms(9009 + i),
					Answered: ms(9009 + i), Began: true, How: "served", Node: "z2", Life: 1, Work: 0.1})
			}
		},
		"sent within the grace": func(h *History) {
			h.Told = append(h.Told, Told{"f0", "z1", "terminating", 5*time.Second - ms(200), 0})
			h.Attempts = h.Attempts[:6]
		},
		"told to another": func(h *History) {
			h.Told = append(h.Told, Told{"f1", "z1", "terminating", 0, 0})
		},
		"up to the ceiling": func(h *History) {
			for i := range 150 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine",
					Units: 1, At: ms(i), End: ms(i + 9), Began: true, How: "served", Node: "z1"})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := clean(6)
			plant(h)
			if rep := Audit(h, testRules()); len(rep.Breaches) != 0 {
				t.Errorf("%+v", rep.Breaches)
			}
		})
	}
}

// Guards the figures: overshoot in units and percent, and service of what was asked inside quotas.
func TestAuditFigures(t *testing.T) {
	h := clean(0)
	for i := range 12 { // 9 units fit comptoir's window
		id := fmt.Sprint("c", i)
		h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "c", Class: "zone-check", Plan: "comptoir", Units: 1, Sent: ms(i),
			Deadline: ms(2000), Answered: ms(i + 20), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "c", Class: "zone-check", Plan: "comptoir", Units: 1,
			At: ms(i), End: ms(i + 9), Began: true, How: "served"})
	}
	for i := range 4 { // half of what is asked comes in time
		id := fmt.Sprint("d", i)
		h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1, Sent: ms(i),
			Deadline: ms(2000), Answered: ms(i + 20 + i%2*600), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1,
			At: ms(i), End: ms(i + 9), Began: true, How: "served"})
	}
	rep := Audit(h, testRules())
	if len(rep.Overshoots) != 1 || rep.Overshoots[0].Account != "c" || rep.Overshoots[0].Units < 2.97 || rep.Overshoots[0].Units > 3 {
		t.Errorf("overshoot %+v", rep.Overshoots)
	}
	if want := (9.0 + 2) / 13; rep.Service < want-0.01 || rep.Service > want+0.01 {
		t.Errorf("service %v, want %v", rep.Service, want)
	}
}

// Guards against verdicts that rest on nothing: a rule without its floor of occasions loses it, and so does a late laboratory.
func TestVerdictNeedsOccasions(t *testing.T) {
	rules := testRules()
	rules.Floors = map[string]int{Twice: 1}
	if rep := Audit(clean(30), rules); rep.Verdict() == nil || !strings.Contains(rep.Verdict().Error(), "not seen") {
		t.Errorf("without occasions: %v", rep.Verdict())
	}
	h := clean(30)
	h.Attempts[2].How, h.Attempts[2].Answered = "reset", 0
	h.Tries[2].Result = Failed
	if rep := Audit(h, rules); rep.Verdict() != nil || rep.Seen[Twice] == 0 {
		t.Errorf("with one: %v, %v", rep.Verdict(), rep.Seen)
	}
	rules.LateMost = time.Millisecond
	h.Late = 2 * time.Millisecond
	if rep := Audit(h, rules); rep.Verdict() == nil || !strings.Contains(rep.Verdict().Error(), "void") {
		t.Errorf("late: %v", rep.Verdict())
	}
}

// Guards kept runs: judged again they give the same report.
func TestHistoryIsJudgedAgain(t *testing.T) {
	h, rules := clean(30), testRules()
	h.Tries[5].Answers = 2
	h.ConnEnds["c"] = []time.Duration{1}
	want := Audit(h, rules)
	var file bytes.Buffer
	if err := Write(&file, h, rules); err != nil {
		t.Fatal(err)
	}
	again, rules, err := Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if got := Audit(again, rules); !reflect.DeepEqual(got, want) || got.Counts[Answer] != 1 {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if _, _, err := Read(strings.NewReader("{")); err == nil {
		t.Error("half a file is read")
	}
}

// News that came while a program was replaced binds 2 s after that began, and neither sooner nor later; what operators hold binds
// at once, and over restarts.
func TestReplacementsAndHolds(t *testing.T) {
	h := New()
	h.Replaced = []Outage{{Forwarder: 1, From: 10 * time.Second, To: 10200 * time.Millisecond}}
	for told, want := range map[time.Duration]time.Duration{9 * time.Second: 9 * time.Second, 10 * time.Second: 12 * time.Second,
		11900 * time.Millisecond: 12 * time.Second, 12 * time.Second: 12 * time.Second, 13 * time.Second: 13 * time.Second} {
		if got := h.binds(1, told); got != want {
			t.Errorf("told at %v: binds at %v, want %v", told, got, want)
		}
	}
	if h.binds(0, 11*time.Second) != 11*time.Second {
		t.Error("another forwarder was replaced")
	}
	h.HeldNodes = []Hold{{Party: Party(1), Node: "z", From: 20 * time.Second, To: 25 * time.Second}}
	h.Restarts = []Outage{{Forwarder: 1, From: 21 * time.Second, To: 22 * time.Second}}
	tries := map[string]*Try{}
	for id, at := range map[string]time.Duration{"before": 19500 * time.Millisecond, "grace": 20200 * time.Millisecond, "held": 23 * time.Second, "after": 26 * time.Second} {
		tries[id+"/a"] = &Try{ID: id, Account: "a", Forwarder: 1}
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "a", Node: "z", At: at})
	}
	rep := &Report{Counts: map[string]int{}, Seen: map[string]int{}, Occasions: map[string]int{}}
	rep.operators(h, Rules{DrainS: 0.25}, tries)
	if len(rep.Breaches) != 1 || rep.Seen[Held] != 1 || !strings.Contains(rep.Breaches[0].What, "held") {
		t.Errorf("%+v, %d seen", rep.Breaches, rep.Seen[Held])
	}
}

// Guards an attempt that was given up, and whose bytes came behind those of the next one: on open connections there was one at a time. One that is
// given up later than the next one came is a breach.
func TestAttemptThatWasOvertaken(t *testing.T) {
	for name, x := range map[string]struct {
		endedAt  time.Duration // the overtaken one's connection
		breaches int
	}{"given up before": {ms(90), 0}, "given up behind it": {ms(105), 1}} {
		h := NewAt(func() time.Duration { return 0 })
		first := &Attempt{ID: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Node: "z1", Conn: "c1", At: ms(110), End: ms(110), How: "gone", Began: true}
		next := &Attempt{ID: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Node: "z2", Conn: "c2", At: ms(100), End: ms(500), Answered: ms(500), How: "served", Began: true}
		h.Attempts = []*Attempt{next, first}
		h.Lives = []Life{{Node: "z1", Started: -1, Capacity: 9}}
		h.Tries = []*Try{{ID: "a", First: "a", Account: "x", Class: "zone-check", Plan: "comptoir", Units: 1, Deadline: 2 * time.Second, Answered: ms(501), Answers: 1, Result: Served}}
		h.ConnEnds["c1"] = []time.Duration{x.endedAt}
		rep := Audit(h, testRules())
		if rep.Counts[Out] != x.breaches {
			t.Errorf("%s: %v", name, rep.Breaches)
		}
	}
}

// Guards the slack of a cold node's budget by the operators' page.
func TestChance(t *testing.T) {
	for _, x := range []struct{ budget, mean, want float64 }{{100, 1, 122}, {25, 1, 43}, {10, 0.1, 12.2}} {
		if got := chance(x.budget, x.mean); got < x.want-0.01 || got > x.want+0.01 {
			t.Errorf("%+v: %v", x, got)
		}
	}
}
