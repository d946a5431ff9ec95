package simulation

import (
	"testing"

	"eiderspread/internal/testbed/node"
)

// runWithFailingNode runs a fleet without other faults in which one of six nodes answers 65% of its attempts with an error from 4 s on. Of the
// time from 6 s on it returns the node's share of all attempts and the share of failed attempts of unsafe requests, and the run's service.
func runWithFailingNode(t *testing.T, two bool, seed uint64, load float64) (share, failed, service float64) {
	t.Helper()
	cfg, err := Make("calm", two, seed, 20)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Accounts {
		cfg.Accounts[i].Rate *= load
	}
	cfg.QuotaSlack = -1 // quotas are not checked: under load admitted requests queue for long
	s := New(cfg)
	s.after(4, func() {
		n := s.nodes[int(seed)%len(s.nodes)]
		n.withModel(func(m *node.Model) {
			m.Advance(s.now)
			conditions := node.Conditions{}
			conditions.Fractions[node.Error] = 0.65
			m.SetConditions(conditions)
		})
	})
	bad := s.nodes[int(seed)%len(s.nodes)].id
	report := s.Run()
	if len(report.ViolationCounts) > 0 {
		t.Errorf("seed %d: violations %v, want none", seed, report.ViolationCounts)
	}
	attempts, toBad, unsafe, unsafeFailed := 0.0, 0.0, 0.0, 0.0
	for _, a := range s.Hist.Attempts {
		if a.At.Seconds() < 6 {
			continue
		}
		if attempts++; a.Node == bad {
			toBad++
		}
		if a.Class == "courier-send" {
			unsafe++
			if a.Outcome != "served" {
				unsafeFailed++
			}
		}
	}
	return toBad / attempts, unsafeFailed / unsafe, report.Service
}

// Guards against a node that fails most attempts, but not all, and counts as healthy again after each success. Its fair share of the attempts
// is a sixth. Requests that are unsafe to repeat are lost by an error, so they avoid the node for longer.
func TestPartlyFailingNodeGetsFewAttempts(t *testing.T) {
	for _, tc := range []struct {
		two  bool
		load float64
	}{{false, 1}, {true, 1}, {false, 2.5}, {true, 2.5}} {
		var share, failed, service float64
		const seeds = 6
		for seed := range uint64(seeds) {
			a, b, c := runWithFailingNode(t, tc.two, seed+1, tc.load)
			share, failed, service = share+a/seeds, failed+b/seeds, service+c/seeds
		}
		t.Logf("two levels %v, load %v: the node got %.3f of all attempts, %.4f of unsafe requests failed, service %.4f", tc.two, tc.load, share, failed, service)
		if share > 0.04 || failed > 0.01 {
			t.Errorf("two levels %v, load %v: the node got %.3f of all attempts, want at most 0.04; %.3f of the attempts of unsafe requests failed, want at most 0.01", tc.two, tc.load, share, failed)
		}
	}
}
