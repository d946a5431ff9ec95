package simulation

import (
	"testing"

	"eiderspread/internal/testbed/node"
)

// runWithFailingNode plays a calm fleet in which one of six nodes errs on two of three from 4 s on, and returns its share of what was sent from 6 s on, the
// share of unsafe requests that failed, and the service.
func runWithFailingNode(t *testing.T, two bool, seed uint64, load float64) (share, failed, service float64) {
	t.Helper()
	cfg, err := Make("calm", two, seed, 20)
	if err != nil {
		t.Fatal(err)
	}
	for i := range cfg.Accounts {
		cfg.Accounts[i].Rate *= load
	}
	cfg.QuotaSlack = -1 // under load what is counted waits for long
	s := New(cfg)
	s.after(4, func() {
		n := s.nodes[int(seed)%len(s.nodes)]
		n.withModel(func(m *node.Model) {
			m.Advance(s.now)
			w := node.Conditions{}
			w.Fractions[node.Error] = 0.65
			m.SetConditions(w)
		})
	})
	bad := s.nodes[int(seed)%len(s.nodes)].id
	rep := s.Run()
	if len(rep.ViolationCounts) > 0 {
		t.Errorf("%v", rep.ViolationCounts)
	}
	all, there, unsafe, lost := 0.0, 0.0, 0.0, 0.0
	for _, a := range s.Hist.Attempts {
		if a.At.Seconds() < 6 {
			continue
		}
		if all++; a.Node == bad {
			there++
		}
		if a.Class == "courier-send" {
			unsafe++
			if a.Outcome != "served" {
				lost++
			}
		}
	}
	return there / all, lost / unsafe, rep.Service
}

// Guards against a node that errs on most, but not on all, and so looks well again after each answer. A sixth of what is sent would be its
// part. Unsafe requests, which an error costs, keep off longer.
func TestNodeThatErrsInPart(t *testing.T) {
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
		t.Logf("two levels %v, load %v: %.3f of what was sent came to it, %.4f of unsafe requests failed, service %.4f", tc.two, tc.load, share, failed, service)
		if share > 0.04 || failed > 0.01 {
			t.Errorf("two levels %v, load %v: %.3f of what was sent came to it, %.3f of unsafe requests failed", tc.two, tc.load, share, failed)
		}
	}
}
