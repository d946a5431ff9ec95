package oracle

import (
	"testing"
	"time"
)

// Guards the rule on stale membership: a notice that a node is in service is a violation unless the observer can still hold such a
// state from its sources.
func TestReport_CheckMembership(t *testing.T) {
	s := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	base := func() *History {
		h := NewHistoryWithClock(func() time.Duration { return time.Hour })
		h.SourceStates = []Notice{{EtcdSource, "z", "in_service", 0, 0}}
		h.Notices = []Notice{{DiscoverySource("f0"), "z", "in_service", 0, 0}, {"f0", "z", "in_service", s(0.1), 0}}
		return h
	}
	etcd := func(h *History, state string, at float64) {
		h.SourceStates = append(h.SourceStates, Notice{EtcdSource, "z", state, s(at), 0})
	}
	notify := func(h *History, state string, at float64) {
		h.Notices = append(h.Notices, Notice{"f0", "z", state, s(at), 0})
	}
	for name, tc := range map[string]struct {
		violations int
		occasions  int
		modify     func(h *History)
	}{
		"in service in both sources": {0, 1, func(h *History) {}},
		"back after its drain mark is removed": {0, 2, func(h *History) {
			etcd(h, "terminating", 10)
			notify(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			notify(h, "in_service", 20.1)
		}},
		"back although it is marked as draining": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			notify(h, "terminating", 10.1)
			notify(h, "in_service", 20)
		}},
		"back although discovery says that it drains": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "terminating", s(10), 0})
			notify(h, "terminating", 10.1)
			notify(h, "in_service", 20)
		}},
		"in service in etcd within the TTL": {0, 2, func(h *History) {
			etcd(h, "terminating", 10)
			notify(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			etcd(h, "terminating", 20.5)
			notify(h, "in_service", 21)
		}},
		"in service in etcd longer ago than the TTL": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			notify(h, "terminating", 10.1)
			etcd(h, "in_service", 20)
			etcd(h, "terminating", 20.5)
			notify(h, "in_service", 24)
		}},
		"in service in etcd when an outage began": {0, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "terminating", s(10), 0})
			notify(h, "terminating", 10.1)
			h.SourceOutages = []SourceOutage{{"f0", EtcdSource, s(15), s(40)}}
			etcd(h, "terminating", 16)
			h.Notices = append(h.Notices, Notice{DiscoverySource("f0"), "z", "in_service", s(30), 0})
			notify(h, "in_service", 30.1)
		}},
		"in service in etcd during an outage only": {1, 2, func(h *History) {
			etcd(h, "terminating", 10)
			notify(h, "terminating", 10.1)
			h.SourceOutages = []SourceOutage{{"f0", EtcdSource, s(15), s(20)}}
			etcd(h, "in_service", 18)
			etcd(h, "terminating", 19)
			notify(h, "in_service", 20.1)
		}},
		"removed from etcd": {1, 2, func(h *History) {
			etcd(h, "terminated", 10)
			notify(h, "terminated", 10.1)
			notify(h, "in_service", 20)
		}},
		"never in any source": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{"f0", "y", "in_service", s(5), 0})
		}},
		"in the discovery of another observer only": {1, 2, func(h *History) {
			h.Notices = append(h.Notices, Notice{DiscoverySource("f1"), "y", "in_service", s(1), 0}, Notice{"f0", "y", "in_service", s(5), 0})
		}},
	} {
		h := base()
		tc.modify(h)
		cfg := testConfig()
		cfg.MembershipTTLS = 2.5
		rep := Check(h, cfg)
		if rep.ViolationCounts[RuleFreshMembership] != tc.violations || rep.Occasions[RuleFreshMembership] != tc.occasions {
			t.Errorf("%s: got %d violations and %d occasions, want %d and %d: %+v", name, rep.ViolationCounts[RuleFreshMembership], rep.Occasions[RuleFreshMembership], tc.violations, tc.occasions, rep.Violations)
		}
	}
}
