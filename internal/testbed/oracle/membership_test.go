package oracle

import (
	"testing"
	"time"
)

// Guards the rule on stale membership: a state that an observer can still hold is allowed, one that no source holds any more is a
// violation.
func TestReport_CheckMembership(t *testing.T) {
	s := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	base := func() *History {
		h := NewHistoryWithClock(func() time.Duration { return time.Hour })
		h.SourceStates = []Notice{{EtcdSource, "z", "in_service", 0, 0}}
		h.Notices = []Notice{{DiscoverySource("f0"), "z", "in_service", 0, 0}, {"f0", "z", "in_service", s(0.1), 0}}
		return h
	}
	etcd := func(h *History, state string, at float64) {
		h.SourceStates = append(h.SourceStates, Notice{EtcdSource, "z", state, s(at), 0})
	}
	told := func(h *History, state string, at float64) {
		h.Notices = append(h.Notices, Notice{"f0", "z", state, s(at), 0})
	}
	for name, tc := range map[string]struct {
		bad  int
		seen int
		play func(h *History)
	}{
		"as it is": {0, 1, func(h *History) {}},
		"back with its mark taken back": {0, 2, func(h *History) {
			etcd(h, "terminating", 10)
			told(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			told(h, "in_service", 20.1)
		}},
		"back although it is marked": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			told(h, "terminating", 10.1)
			told(h, "in_service", 20)
		}},
		"back although its roster says that it drains": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "terminating", s(10), 0})
			told(h, "terminating", 10.1)
			told(h, "in_service", 20)
		}},
		"a moment late": {0, 2, func(h *History) {
			etcd(h, "terminating", 10)
			told(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			etcd(h, "terminating", 20.5)
			told(h, "in_service", 21)
		}},
		"long past": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			told(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			etcd(h, "terminating", 20.5)
			told(h, "in_service", 24)
		}},
		"what was held when etcd fell silent still counts": {0, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "terminating", s(10), 0})
			told(h, "terminating", 10.1)
			h.SourceOutages = []SourceOutage{{"f0", EtcdSource, s(15), s(40)}}
			etcd(h, "terminating", 16)
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "in_service", s(30), 0})
			told(h, "in_service", 30.1)
		}},
		"what came and went meanwhile does not": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			told(h, "terminating", 10.1)
			h.SourceOutages = []SourceOutage{{"f0", EtcdSource, s(15), s(20)}}
			etcd(h, "in_service", 18)
			etcd(h, "terminating", 19)
			told(h, "in_service", 20.1)
		}},
		"gone from etcd": {1, 2, func(h *History) {
			etcd(h, "terminated", 10)
			told(h, "terminated", 10.1)
			told(h, "in_service", 20)
		}},
		"nobody ever held it": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{"f0", "y", "in_service", s(5), 0})
		}},
		"another party's roster": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f1"), "y", "in_service", s(1), 0}, Notice{"f0", "y", "in_service", s(5), 0})
		}},
	} {
		h := base()
		tc.play(h)
		cfg := testConfig()
		cfg.MembershipTTLS = 2.5
		rep := Check(h, cfg)
		if rep.ViolationCounts[RuleFreshMembership] != tc.bad || rep.Occasions[RuleFreshMembership] != tc.seen {
			t.Errorf("%s: %d breaches, %d occasions, want %d and %d: %+v", name, rep.ViolationCounts[RuleFreshMembership], rep.Occasions[RuleFreshMembership], tc.bad, tc.seen, rep.Violations)
		}
	}
}
