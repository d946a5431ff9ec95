package oracle

import (
	"fmt"
	"testing"
	"time"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// sharedCountHistory returns a history of 30 s of one account, which sends perS requests per second of one unit each. The function
// admit selects the requests that are admitted; the others are denied by the quota.
func sharedCountHistory(perS int, admit func(i int, at time.Duration) bool) *History {
	h := NewHistory()
	for i := range perS * 30 {
		at := time.Second * time.Duration(i) / time.Duration(perS)
		id := fmt.Sprint(i)
		request := &Request{ID: id, OriginalID: id, Account: "a", Plan: "p", Class: "c", Units: 1, SentAt: at, AnsweredAt: at, Answers: 1, Deadline: at + time.Second, Result: Served}
		if h.Requests = append(h.Requests, request); admit(i, at) {
			h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "a", Plan: "p", Class: "c", Units: 1, At: at, End: at, AnsweredAt: at, Outcome: "served"})
			continue
		}
		request.Result, request.Reason = Rejected, int(reason.Denied)
	}
	h.Ended = 31 * time.Second
	h.clock = nil
	return h
}

// Guards against excess and shortfall that the error bound of a shared count does not explain, and against false alarms where it
// does. The account has 10 units per second and a burst of 20, through four gateways.
func TestReport_CheckSharedCounts(t *testing.T) {
	plan := policy.Plan{Name: "p", Rate: 10, Burst: 20, Weight: 1}
	available := 20.0
	exact := func(perS int) func(int, time.Duration) bool {
		available = 20
		return func(int, time.Duration) bool {
			if available = min(20, available+10/float64(perS)); available < 1 {
				return false
			}
			available--
			return true
		}
	}
	for _, tc := range []struct {
		name string
		rule string
		h    func() *History
	}{
		{"an exact count", "", func() *History { return sharedCountHistory(40, exact(40)) }},
		{"all requests inside the quota", "", func() *History { return sharedCountHistory(8, func(int, time.Duration) bool { return true }) }},
		{"one and a half times the rate all the time", RuleQuota, func() *History { return sharedCountHistory(40, func(i int, _ time.Duration) bool { return i%8 < 3 }) }},
		{"five times the burst in the first second", RuleQuota, func() *History {
			return sharedCountHistory(100, func(_ int, at time.Duration) bool { return at < time.Second })
		}},
		{"the same during a network partition into four sides", "", func() *History {
			h := sharedCountHistory(100, func(_ int, at time.Duration) bool {
				return at < time.Second || at > 4*time.Second && at.Milliseconds()%100 == 0
			})
			h.PeerFaults = append(h.PeerFaults, PeerFault{From: 0, To: 3 * time.Second, Sides: 4})
			return h
		}},
		{"half of what the quota holds", RuleQuotaUsable, func() *History { return sharedCountHistory(8, func(i int, _ time.Duration) bool { return i%2 == 0 }) }},
		{"the same while all messages are lost", "", func() *History {
			h := sharedCountHistory(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			h.PeerFaults = append(h.PeerFaults, PeerFault{LossRate: 1})
			return h
		}},
		{"half rejected because of backends", "", func() *History {
			h := sharedCountHistory(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			for _, request := range h.Requests {
				request.Reason = int(reason.AdaptiveLimit)
			}
			return h
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rep := Check(tc.h(), Config{Plans: []policy.Plan{plan}, AccountGateways: map[string]GatewayRange{"a": {0, 4}}, Gateways: 4})
			if tc.rule != "" && rep.ViolationCounts[tc.rule] == 0 || tc.rule == "" && rep.ViolationCounts[RuleQuota]+rep.ViolationCounts[RuleQuotaUsable] > 0 {
				t.Errorf("got violations %v (%v), want one of %q, or none if that is empty", rep.ViolationCounts, rep.Violations, tc.rule)
			}
		})
	}
}
