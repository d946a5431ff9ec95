package lab

import (
	"fmt"
	"testing"
	"time"
)

func testRules() Rules {
	return Rules{Classes: LabClasses, Plans: LabPlans, DrainS: 0.25, AnswerS: 0.25, OverlapS: 0.1, CeilingS: 0.15, SlackUnit: 6,
		PartyOf: func(f int) string { return fmt.Sprint("f", f) }}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// clean is a history of n served requests, a second apart, that breaks nothing.
func clean(n int) *History {
	h := NewHistory()
	h.start = h.start.Add(-time.Hour)
	for i := range n {
		class := LabClasses[i%3].Name
		id, at := fmt.Sprint("r", i), time.Duration(i)*time.Second
		h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "a", Class: class, Plan: "chaine", Units: 1, Sent: at,
			Deadline: at + 2*time.Second, Answered: at + ms(50), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "a", Class: class, Plan: "chaine", Units: 1,
			At: at + ms(1), End: at + ms(49), Began: true, How: "ok"})
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
		"made-up value":   {"one answer", func(h *History) { h.Attempts[4].How = "gone" }},
		"ran twice": {"no effect twice", func(h *History) {
			_, a := bill(h)
			b := *a
			b.At, b.End = a.End+ms(200), a.End+ms(300)
			h.Attempts = append(h.Attempts, &b)
		}},
		"refused though it ran": {"no effect twice", func(h *History) { try, _ := bill(h); try.Result = Refused }},
		"key used twice": {"no effect twice", func(h *History) {
			b := *h.Attempts[1]
			b.At, b.End = b.End+ms(4200), b.End+ms(4300)
			h.Attempts = append(h.Attempts, &b)
		}},
		"two attempts out": {"one attempt out", func(h *History) {
			b := *h.Attempts[0]
			h.Attempts[0].End, h.Attempts[0].How = ms(400), "gone"
			b.Node, b.At, b.End = "z2", ms(40), ms(90)
			h.Attempts = append(h.Attempts, &b)
		}},
		"sent after a drain": {"drains kept", func(h *History) {
			h.Told = append(h.Told, Told{"f0", "z1", "terminating", 5*time.Second - ms(320)})
			h.Attempts = h.Attempts[:6]
		}},
		"over the quota": {"quotas kept", func(h *History) {
			for i := range 90 { // of 76 that fit
				a := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Began: true, How: "ok", Node: "z1"}
				h.Attempts = append(h.Attempts, a)
			}
		}},
		"over the ceiling": {"ceilings kept", func(h *History) {
			for i := range 200 {
				a := &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine", Units: 1, At: ms(i), End: ms(i + 9),
					Began: true, How: "ok", Node: "z1"}
				h.Attempts = append(h.Attempts, a)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := clean(6)
			tc.plant(h)
			rules := testRules()
			if name == "over the quota" {
				rules.Quota = QuotaSlack
			}
			rep := Audit(h, rules)
			if rep.Counts[tc.rule] == 0 {
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
			b.At, b.End, b.Repeat = b.End+ms(200), b.End+ms(300), true
			h.Attempts = append(h.Attempts, &b)
		},
		"sent within the grace": func(h *History) {
			h.Told = append(h.Told, Told{"f0", "z1", "terminating", 5*time.Second - ms(200)})
			h.Attempts = h.Attempts[:6]
		},
		"told to another": func(h *History) {
			h.Told = append(h.Told, Told{"f1", "z1", "terminating", 0})
		},
		"up to the ceiling": func(h *History) {
			for i := range 150 {
				h.Attempts = append(h.Attempts, &Attempt{ID: fmt.Sprint("x", i), Account: "b", Class: "zone-check", Plan: "chaine",
					Units: 1, At: ms(i), End: ms(i + 9), Began: true, How: "ok", Node: "z1"})
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
			At: ms(i), End: ms(i + 9), Began: true, How: "ok"})
	}
	for i := range 4 { // half of what is asked comes in time
		id := fmt.Sprint("d", i)
		h.Tries = append(h.Tries, &Try{ID: id, First: id, Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1, Sent: ms(i),
			Deadline: ms(2000), Answered: ms(i + 20 + i%2*600), Answers: 1, Result: Served})
		h.Attempts = append(h.Attempts, &Attempt{ID: id, Node: "z1", Account: "d", Class: "zone-check", Plan: "comptoir", Units: 1,
			At: ms(i), End: ms(i + 9), Began: true, How: "ok"})
	}
	rep := Audit(h, testRules())
	if len(rep.Overshoots) != 1 || rep.Overshoots[0].Account != "c" || rep.Overshoots[0].Units < 2.97 || rep.Overshoots[0].Units > 3 {
		t.Errorf("overshoot %+v", rep.Overshoots)
	}
	if want := (9.0 + 2) / 13; rep.Service < want-0.01 || rep.Service > want+0.01 {
		t.Errorf("service %v, want %v", rep.Service, want)
	}
}
