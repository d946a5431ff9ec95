package oracle

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"eiderspread/policy"

	"pgregory.net/rapid"
)

var loadClasses = []policy.Class{{Name: "cheap", LatencyObjectiveS: 0.5, DeadlineS: 2, PriorityWeight: 1}, {Name: "dear", LatencyObjectiveS: 1.5, DeadlineS: 4, PriorityWeight: 5}}
var loadPlans = []policy.Plan{{Name: "large", Rate: 1000, Burst: 1000, Weight: 2}, {Name: "small", Rate: 1000, Burst: 1000, Weight: 1}}

// requestSpec describes one request of a history. Times are in seconds.
type requestSpec struct {
	at, served float64 // sending, and the time from it to the answer; served 0: rejected
	class      int
	plan       int
	account    string
}

func loadHistory(end float64, list []requestSpec) *History {
	h := NewHistoryWithClock(func() time.Duration { return duration(end) })
	h.Incarnations = []Incarnation{{Node: "z1", StartedAt: -time.Hour, Capacity: 1}}
	for i, x := range list {
		request := &Request{ID: fmt.Sprint(i), Account: x.account, Class: loadClasses[x.class].Name, Plan: loadPlans[x.plan].Name, Units: 1, SentAt: duration(x.at),
			Deadline: duration(x.at + 4), Result: Rejected, Answers: 1, AnsweredAt: duration(x.at)}
		request.OriginalID = request.ID
		if x.served > 0 {
			request.Result, request.AnsweredAt = Served, duration(x.at+x.served)
			h.Attempts = append(h.Attempts, &Attempt{ID: request.ID, Account: request.Account, Class: request.Class, Plan: request.Plan, Units: 1, At: request.SentAt, End: request.AnsweredAt, AnsweredAt: request.AnsweredAt,
				Started: true, Outcome: "served", Work: 0.1})
		}
		h.Requests = append(h.Requests, request)
	}
	return h
}

func loadOf(h *History, peak Peak) *Load {
	return Check(h, Config{Classes: loadClasses, Plans: loadPlans, Overload: true, Peak: peak}).Load
}

// Guards the upper bound of the goal: no schedule on one core, by order of arrival or by priority weight, may exceed it.
func TestUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 120).Draw(t, "n")
		byWeight := rapid.Bool().Draw(t, "highest weight first")
		var list []requestSpec
		at := 0.0
		for i := range n {
			at += rapid.Float64Range(0, 0.1).Draw(t, "gap")
			list = append(list, requestSpec{at: at, class: rapid.IntRange(0, 1).Draw(t, "class"), plan: rapid.IntRange(0, 1).Draw(t, "plan"), account: fmt.Sprint(i % 7)})
		}
		done := make([]bool, n)
		for free := 0.0; ; { // one core, 0.1 s of work for each request
			next := -1
			for i := range list {
				if done[i] || list[i].at > free || free+0.1 > list[i].at+loadClasses[list[i].class].LatencyObjectiveS {
					continue
				}
				if next < 0 || byWeight && list[i].class > list[next].class {
					next = i
				}
			}
			if next >= 0 {
				free += 0.1
				done[next], list[next].served = true, free-list[next].at
				continue
			}
			later := slices.IndexFunc(list, func(x requestSpec) bool { return x.at > free })
			if later < 0 {
				break
			}
			free = list[later].at
		}
		if l := loadOf(loadHistory(at+5, list), Peak{}); l.Goal > l.UpperBound+1e-9 {
			t.Fatalf("got goal %.4f, want at most the upper bound %.4f", l.Goal, l.UpperBound)
		}
	})
}

// Guards the figures of a run under overload: with a demand of twice the capacity, of one class and plan, the upper bound is about
// a half. Starved accounts, slow answers and the recovery are measured.
func TestReport_MeasureLoad(t *testing.T) {
	var list []requestSpec
	for i := range 400 { // 20 s, 20 a second at 0.1 s of work each on one core
		x := requestSpec{at: 0.05 * float64(i), class: 1, account: "even"}
		if i%2 == 1 {
			x.account = "odd"
		} else {
			x.served = 0.2
		}
		list = append(list, x)
	}
	l := loadOf(loadHistory(30, list), Peak{From: 0, To: 15 * time.Second})
	if math.Abs(l.UpperBound-0.5) > 0.06 || math.Abs(l.Goal-0.5) > 1e-6 || math.Abs(l.Demand-2) > 0.1 || l.StarvedAccounts != 1 || l.WorstDecile != 0 || l.RecoveryS != -1 || l.SlowFraction != 0 {
		t.Errorf("half of the requests served: got %+v, want upper bound and goal 0.5, demand 2, one starved account, worst decile 0, no recovery, no slow answer", l)
	}
	for i := range list {
		if list[i].at >= 15 {
			list[i].served = 1 // in time, but slower than half of the latency objective of 1.5 s
		}
	}
	l = loadOf(loadHistory(30, list), Peak{From: 0, To: 15 * time.Second})
	if l.RecoveryS != 0 || l.StarvedAccounts != 0 || l.SlowFraction < 0.3 {
		t.Errorf("all requests served from 15 s on: got %+v, want recovery after 0 s, no starved account and a slow fraction of at least 0.3", l)
	}
}
