package testbed

import (
	"context"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/testbed/oracle"
)

// Four ingresses that are asked for nearly three times what their nodes can do, split in halves in the middle of it: what is turned away is
// turned away at the doors of all, and the rules hold. Without it no ingress turns anything away at its door.
func TestOverloadWithASplit(t *testing.T) {
	cfg := testFleetConfig(t, 4)
	cfg.Planners, cfg.Operator = 0, "[overload]\non = true\n"
	cfg.Node.Cores = 1
	sc := Scenario{FleetConfig: cfg, Length: 14 * time.Second}
	if err := Make("overload", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	sc.Faults = []Fault{{At: 5 * time.Second, For: 2 * time.Second, Kind: "peers"}}
	sc.Floors = map[string]int{oracle.RuleNoRequestLost: 1}
	// A peak of five seconds and a handful of large accounts: lots alone move the worst plan by a third. The full figures are testbed overload's.
	sc.Stated = oracle.LoadSheddingBounds{MinBoundFraction: 0.5, MinFairness: 0.4, MaxRecoveryS: 60, MaxSpread: 1, MaxSwing: 1, MaxStarved: 0.6, MaxWasted: 0.5}
	var log strings.Builder
	doors := 0
	_, rep, err := RunAndInspect(sc, &log, sc.Peak.To-500*time.Millisecond, func(f *Fleet) {
		for _, p := range f.Forwarders {
			var st ingress.Status
			if err := p.ReadStatus(context.Background(), &st); err != nil || st.Overload == nil {
				t.Errorf("%s: %v, status %+v", p.Name, err, st)
				continue
			}
			sum := 0
			for _, n := range st.Overload.Rejected {
				sum += n
			}
			if sum > 0 {
				doors++
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if doors < 4 {
		t.Errorf("%d of 4 ingresses turn requests away at the door", doors)
	}
	if l := rep.Load; l == nil || l.Demand < 1.8 || l.Goal > l.UpperBound {
		t.Errorf("%+v", rep.Load)
	}
}

// The judge of shared counts on sockets: where half of the ingresses can't read the others' words, and nobody told the auditor, the
// verdict is lost by quotas; with words understood the same run holds.
func TestJudgeOfQuotasOnSockets(t *testing.T) {
	for kind, lost := range map[string]bool{"babel": true, "": false} {
		cfg := testFleetConfig(t, 4)
		cfg.Planners, cfg.Exact, cfg.Nodes = 0, true, 8
		sc := Scenario{FleetConfig: cfg, Length: 7 * time.Second}
		for _, a := range Accounts(8, 0, 1, 4, 4, 1) {
			a.First, a.FloodX = 0, 0
			if a.Rate = 10; a.Plan == "chaine" {
				a.Rate = 76
			}
			sc.Accounts = append(sc.Accounts, a)
		}
		if kind != "" {
			sc.Faults = []Fault{{At: 50 * time.Millisecond, For: time.Hour, Kind: kind}}
		}
		_, rep, err := Run(sc, &strings.Builder{})
		if err != nil {
			t.Fatal(err)
		}
		if got := rep.ViolationCounts[oracle.RuleQuota] > 0; got != lost {
			t.Errorf("%q: %d breaches of quotas (%v)", kind, rep.ViolationCounts[oracle.RuleQuota], rep.Violations)
		}
	}
}
