package oracle

import (
	"fmt"
	"testing"
	"time"

	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// counted is a history of one account of 10 units a second and a burst of 20 through four gateways, of which units a second are asked for and a
// share of the tries is let in.
func counted(perS int, let func(i int, at time.Duration) bool) *History {
	h := New()
	for i := range perS * 30 {
		at := time.Second * time.Duration(i) / time.Duration(perS)
		id := fmt.Sprint(i)
		t := &Try{ID: id, First: id, Account: "a", Plan: "p", Class: "c", Units: 1, Sent: at, Answered: at, Answers: 1, Deadline: at + time.Second, Result: Served}
		if h.Tries = append(h.Tries, t); let(i, at) {
			h.Attempts = append(h.Attempts, &Attempt{ID: id, Account: "a", Plan: "p", Class: "c", Units: 1, At: at, End: at, Answered: at, How: "served"})
			continue
		}
		t.Result, t.Why = Refused, int(reason.Denied)
	}
	h.Ended = 31 * time.Second
	h.clock = nil
	return h
}

func TestCountsAreJudged(t *testing.T) {
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
		{"a half beyond the rate all the time", Quotas, func() *History { return counted(40, func(i int, _ time.Duration) bool { return i%8 < 3 }) }},
		{"a burst of five times the burst", Quotas, func() *History {
			return counted(100, func(_ int, at time.Duration) bool { return at < time.Second })
		}},
		{"the same while its gateways are split in four sides", "", func() *History {
			h := counted(100, func(_ int, at time.Duration) bool {
				return at < time.Second || at > 4*time.Second && at.Milliseconds()%100 == 0
			})
			h.Peers = append(h.Peers, PeerTrouble{From: 0, To: 3 * time.Second, Sides: 4})
			return h
		}},
		{"a half of what the quota holds", Used, func() *History { return counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 }) }},
		{"the same in a silence that goes on", "", func() *History {
			h := counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			h.Peers = append(h.Peers, PeerTrouble{Loss: 1})
			return h
		}},
		{"a half refused for nodes' sake", "", func() *History {
			h := counted(8, func(i int, _ time.Duration) bool { return i%2 == 0 })
			for _, x := range h.Tries {
				x.Why = int(reason.AdaptiveLimit)
			}
			return h
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rep := Audit(tc.h(), Rules{Plans: []policy.Plan{plan}, Homes: map[string]Home{"a": {0, 4}}, Gateways: 4})
			if tc.rule != "" && rep.Counts[tc.rule] == 0 || tc.rule == "" && rep.Counts[Quotas]+rep.Counts[Used] > 0 {
				t.Errorf("broken: %v (%v)", rep.Counts, rep.Breaches)
			}
		})
	}
}
