package simulation

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/oracle"
)

var schedules = flag.Int("schedules", 2, "how many schedules of each scenario and number of levels are run")

// runScenario simulates a scenario and returns the run and its report.
func runScenario(t *testing.T, name string, two bool, seed uint64, length float64) (*Sim, *oracle.Report) {
	t.Helper()
	cfg, err := Make(name, two, seed, length)
	if err != nil {
		t.Fatal(err)
	}
	s := New(cfg)
	return s, s.Run()
}

func reportText(r *oracle.Report) string {
	var b strings.Builder
	r.Print(&b)
	return b.String()
}

// Guards against violations of the oracle's rules by the decision code of one and of two levels, under all faults at once and with several
// seeds: fencing, hand-over, recovery, further attempts, quotas, hard limits, drains and slow start. Over the seeds of a scenario, each rule
// under test must have had occasions to be broken.
func TestSchedules(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	for _, tc := range []struct {
		name string
		two  bool
		seen []string
	}{
		{"storm", true, []string{oracle.RuleNoRequestLost, oracle.RuleOneAnswer, oracle.RuleOneOpenAttempt, oracle.RuleNoDuplicateEffect, oracle.RuleDrain, oracle.RuleSlowStart, oracle.RuleQuota, oracle.RuleHardLimit}},
		{"storm", false, []string{oracle.RuleNoRequestLost, oracle.RuleOneAnswer, oracle.RuleOneOpenAttempt, oracle.RuleNoDuplicateEffect, oracle.RuleDrain, oracle.RuleSlowStart, oracle.RuleQuota, oracle.RuleHardLimit}},
		{"programs", true, []string{oracle.RuleNoDuplicateEffect, oracle.RuleOneOpenAttempt}},
		{"ceilings", true, []string{oracle.RuleQuota, oracle.RuleHardLimit}},
		{"ceilings", false, []string{oracle.RuleQuota, oracle.RuleHardLimit}},
		{"capped", true, []string{oracle.RuleMaxConcurrency}},
		{"keys", true, []string{oracle.RuleNoDuplicateEffect}},
		{"cold", false, []string{oracle.RuleSlowStart}},
	} {
		t.Run(fmt.Sprint(tc.name, " two levels ", tc.two), func(t *testing.T) {
			t.Parallel()
			seen, leads := map[string]int{}, 0
			for seed := range uint64(*schedules) {
				s, r := runScenario(t, tc.name, tc.two, seed+1, 12)
				if len(r.ViolationCounts) > 0 {
					t.Errorf("seed %d: violations %v, want none\n%s%v", seed+1, r.ViolationCounts, reportText(r), s.cfg.Faults)
				}
				for rule, n := range r.Occasions {
					seen[rule] += n
				}
				leads += s.LeaderObservations
			}
			for _, rule := range tc.seen {
				if seen[rule] < *schedules {
					t.Errorf("rule %q had %d occasions in %d schedules, want at least one per schedule", rule, seen[rule], *schedules)
				}
			}
			if tc.two && leads == 0 {
				t.Error("no cell had a leader in any schedule")
			}
		})
	}
}

// Guards against runs that can't be repeated: the same seed must give exactly the same run.
func TestSeedsRepeat(t *testing.T) {
	for _, two := range []bool{true, false} {
		var was string
		for range 2 {
			s, r := runScenario(t, "storm", two, 7, 8)
			got := fmt.Sprint(s.LeaderObservations, s.seq, r.Requests, r.Attempts, r.Results, r.Service, r.Utilization, r.Occasions)
			if was != "" && got != was {
				t.Fatalf("two runs with the same seed differ, two levels %v:\n%s\n%s", two, was, got)
			}
			was = got
		}
	}
}

// Guards against losses without faults: requests within the quotas have to be served.
func TestCalm(t *testing.T) {
	for _, two := range []bool{true, false} {
		_, r := runScenario(t, "calm", two, 1, 20)
		if len(r.ViolationCounts) > 0 || r.Requests < 500 || r.Service < 0.9 || r.Results[oracle.Failed] > r.Requests/50 {
			t.Errorf("two levels %v: want no violations, at least 500 requests, a service of 0.9 and at most 2%% failed requests:\n%s", two, reportText(r))
		}
	}
}

// Guards against schedules that can't detect missing fencing: without it, they must find cells with two leaders and exceeded quotas.
func TestUnfencedFleetViolatesRules(t *testing.T) {
	if topology.FencingEnabled {
		t.Skip("needs a build with the tag unfenced")
	}
	twoLeaders, quotas := 0, 0
	for seed := range uint64(10) {
		cfg, err := Make("programs", true, seed+1, 30)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Exact = true // no node is slow in this scenario
		r := New(cfg).Run()
		if r.ViolationCounts["one leader"] > 0 {
			twoLeaders++
		}
		if r.ViolationCounts[oracle.RuleQuota] > 0 {
			quotas++
		}
	}
	if twoLeaders < 5 || quotas < 3 {
		t.Errorf("of 10 seeds %d had two leaders of a cell, want at least 5; %d exceeded a quota, want at least 3", twoLeaders, quotas)
	}
}

// Guards against a Shrink that leaves unneeded entries, or that drops needed ones.
func TestShrink(t *testing.T) {
	list := make([]int, 100)
	for i := range list {
		list[i] = i
	}
	tried := 0
	got := Shrink(list, func(l []int) bool {
		tried++
		return slices.Contains(l, 17) && slices.Contains(l, 18) && slices.Contains(l, 91)
	})
	if !slices.Equal(got, []int{17, 18, 91}) || tried > 200 {
		t.Errorf("Shrink = %v after %d calls of fails, want [17 18 91] after at most 200", got, tried)
	}
	if got := Shrink(list, func([]int) bool { return true }); len(got) != 0 {
		t.Errorf("Shrink = %v for a run that fails without faults, want none", got)
	}
	cfg, err := Make("programs", true, 3, 10)
	if err != nil {
		t.Fatal(err)
	}
	faults := Shrink(cfg.Faults, func(l []testbed.Fault) bool {
		return slices.ContainsFunc(l, func(x testbed.Fault) bool { return x == cfg.Faults[0] })
	})
	if !slices.Equal(faults, cfg.Faults[:1]) {
		t.Errorf("Shrink = %v, want the one needed fault %v", faults, cfg.Faults[:1])
	}
}
