package testbed

import (
	"context"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/dataplane/ingress"
	"eiderspread/internal/testbed/oracle"
)

// Guards load shedding by the fleet as a whole: four ingresses receive nearly three times their nodes' capacity and are split into
// halves in the middle of the peak. Every ingress must reject requests at admission, and the rules hold. Without fleet-wide load
// shedding no ingress rejects at admission.
func TestOverloadWithASplit(t *testing.T) {
	cfg := testFleetConfig(t, 4)
	cfg.Planners, cfg.Operator = 0, "[overload]\non = true\n"
	cfg.Node.Cores = 1
	sc := Scenario{FleetConfig: cfg, Length: 14 * time.Second}
	if err := ApplyScenario("overload", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	sc.Faults = []Fault{{At: 5 * time.Second, For: 2 * time.Second, Kind: "peers"}}
	sc.MinOccasions = map[string]int{oracle.RuleNoRequestLost: 1}
	// The bounds are wide because the peak lasts only five seconds and there are few large accounts: chance alone moves the worst plan
	// by a third. The full figures come from testbed overload.
	sc.LoadSheddingBounds = oracle.LoadSheddingBounds{MinBoundFraction: 0.5, MinFairness: 0.4, MaxRecoveryS: 60, MaxSpread: 1, MaxSwing: 1, MaxStarved: 0.6, MaxWasted: 0.5}
	var log strings.Builder
	rejecting := 0
	_, rep, err := RunAndInspect(sc, &log, sc.Peak.To-500*time.Millisecond, func(f *Fleet) {
		for _, p := range f.Forwarders {
			var st ingress.Status
			if err := p.ReadStatus(context.Background(), &st); err != nil || st.Overload == nil {
				t.Errorf("status of %s: %+v, error %v; want its load-shedding state", p.Name, st, err)
				continue
			}
			sum := 0
			for _, n := range st.Overload.Rejected {
				sum += n
			}
			if sum > 0 {
				rejecting++
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if rejecting < 4 {
		t.Errorf("%d ingresses reject requests at admission, want all 4", rejecting)
	}
	if l := rep.Load; l == nil || l.Demand < 1.8 || l.Goal > l.UpperBound {
		t.Errorf("load %+v, want a demand of at least 1.8 and a goal of at most the upper bound", rep.Load)
	}
}

// Guards the oracle's quota check on sockets: if half of the ingresses can't decode the others' messages and the oracle is not told, it
// must report quota violations; the same run without this fault must have none.
func TestQuotaCheckOnSockets(t *testing.T) {
	for kind, violated := range map[string]bool{"babel": true, "": false} {
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
		if got := rep.ViolationCounts[oracle.RuleQuota] > 0; got != violated {
			t.Errorf("fault %q: %d quota violations, want violations: %v; all violations: %v", kind, rep.ViolationCounts[oracle.RuleQuota], violated, rep.Violations)
		}
	}
}
