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

var schedules = flag.Int("schedules", 2, "how many schedules of each scenario and shape are played")

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

// Guards the decision parts of both shapes under all faults at once, many seeds: fencing, hand-over, recovery, further
// attempts, quotas, ceilings, drains and cold nodes. Over the seeds of a scenario each rule must have had its occasions.
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
					t.Errorf("seed %d: %v\n%s%v", seed+1, r.ViolationCounts, reportText(r), s.cfg.Faults)
				}
				for rule, n := range r.Occasions {
					seen[rule] += n
				}
				leads += s.LeaderObservations
			}
			for _, rule := range tc.seen {
				if seen[rule] < *schedules {
					t.Errorf("%q had %d occasions in %d schedules: they show nothing", rule, seen[rule], *schedules)
				}
			}
			if tc.two && leads == 0 {
				t.Error("no cell was seen led")
			}
		})
	}
}

// Guards against schedules that can't be played again: the same seed must give the same run to the letter.
func TestSeedsRepeat(t *testing.T) {
	for _, two := range []bool{true, false} {
		var was string
		for range 2 {
			s, r := runScenario(t, "storm", two, 7, 8)
			got := fmt.Sprint(s.LeaderObservations, s.seq, r.Requests, r.Attempts, r.Results, r.Service, r.Utilization, r.Occasions)
			if was != "" && got != was {
				t.Fatalf("one seed, two runs:\n%s\n%s", was, got)
			}
			was = got
		}
	}
}

// Without faults nothing may be lost: what fits a quota is served.
func TestCalm(t *testing.T) {
	for _, two := range []bool{true, false} {
		_, r := runScenario(t, "calm", two, 1, 20)
		if len(r.ViolationCounts) > 0 || r.Requests < 500 || r.Service < 0.9 || r.Results[oracle.Failed] > r.Requests/50 {
			t.Errorf("two levels %v:\n%s", two, reportText(r))
		}
	}
}

// The same schedules must find breaches where planners are not fenced, or they show nothing.
func TestUnfencedFleetIsFoundOut(t *testing.T) {
	if topology.FencingEnabled {
		t.Skip("for builds with the tag unfenced")
	}
	leaders, windows := 0, 0
	for seed := range uint64(10) {
		cfg, err := Make("programs", true, seed+1, 30)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Exact = true // nothing is slow
		r := New(cfg).Run()
		if r.ViolationCounts["one leader"] > 0 {
			leaders++
		}
		if r.ViolationCounts[oracle.RuleQuota] > 0 {
			windows++
		}
	}
	if leaders < 5 || windows < 3 {
		t.Errorf("of 10 seeds %d had two leaders, %d went beyond a window", leaders, windows)
	}
}

// Guards the cutting down of failing schedules: what is left is needed, all of it.
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
		t.Errorf("%v after %d tries", got, tried)
	}
	if got := Shrink(list, func([]int) bool { return true }); len(got) != 0 {
		t.Errorf("what fails without faults needs %v", got)
	}
	cfg, err := Make("programs", true, 3, 10)
	if err != nil {
		t.Fatal(err)
	}
	faults := Shrink(cfg.Faults, func(l []testbed.Fault) bool {
		return slices.ContainsFunc(l, func(x testbed.Fault) bool { return x == cfg.Faults[0] })
	})
	if !slices.Equal(faults, cfg.Faults[:1]) {
		t.Errorf("%v", faults)
	}
}
