package oracle

import (
	"fmt"
	"testing"
	"time"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// counted returns a history of one account, of 10 units per second and a burst of 20, through four gateways: perS requests per
// second of one unit each, of which admit selects those that are admitted.
func counted(perS int, admit func(i int, at time.Duration) bool) *History {
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

func TestReport_CheckSharedCounts(t *testing.T) {
	plan := policy.Plan{Name: "p", Rate: 10, Burst: 20, Weight: 1}
	room := 20.0
	exact := func(perS int) func(int, time.Duration) bool {
		room = 20
		return func(int, time.Duration) bool {
			if room = min(20, room+10/float64(perS)); room < 1 {
				return false
			}
			room--
			return true
		}
	}
	for _, tc := range []struct {
		name string
		rule string
		h    func() *History
	}{
		{"an exact count", "", func() *History { return counted(40, exact(40)) }},
		{"everything inside", "", func() *History { return counted(8, func(int, time.Duration) bool { return true }) }},
		{"a half beyond the rate all the time", RuleQuota, func() *History { return counted(40, func(i int, _ time.Duration) bool { return i%8 < 3 }) }},
		{"a burst of five times the burst", RuleQuota, func() *History {
			return counted(100, func(_ int, at time.Duration) bool { return at < time.Second })
		}},
		{"the same while its gateways are split in four sides", "", func() *History {
			h := counted(100, func(_ int, at time.Duration) bool {
				return at < time.Second || at > 4*time.Second && at.Milliseconds()%100 == 0
			})
			h.PeerFaults = append(h.PeerFaults, PeerFault{From: 0, To: 3 * time.Second, Sides: 4})
			return h
		}},
		{"a half of what the quota holds", RuleQuotaUsable, func() *History { return counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 }) }},
		{"the same in a silence that goes on", "", func() *History {
			h := counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			h.PeerFaults = append(h.PeerFaults, PeerFault{LossRate: 1})
			return h
		}},
		{"a half refused for nodes' sake", "", func() *History {
			h := counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			for _, x := range h.Requests {
				x.Reason = int(reason.AdaptiveLimit)
			}
			return h
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rep := Check(tc.h(), Config{Plans: []policy.Plan{plan}, Homes: map[string]GatewayRange{"a": {0, 4}}, Gateways: 4})
			if tc.rule != "" && rep.ViolationCounts[tc.rule] == 0 || tc.rule == "" && rep.ViolationCounts[RuleQuota]+rep.ViolationCounts[RuleQuotaUsable] > 0 {
				t.Errorf("broken: %v (%v)", rep.ViolationCounts, rep.Violations)
			}
		})
	}
}
