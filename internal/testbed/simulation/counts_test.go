package simulation

import (
	"fmt"
	"testing"

	"eiderspread/internal/testbed/oracle"
)

// Guards against errors of shared counts, in a fleet without planners, that exceed their bounds, and against counts that reject much of
// what an exact count admits. Accounts use up to all of 4 or 80 ingresses, some far beyond their quotas, without faults and while ingresses
// are partitioned, lose messages and die. Earlier code, which suspected an owner after two lost reports at any loss rate, forgave debts,
// and divided hard limits into parts smaller than a request, failed: with 80 ingresses and no faults it rejected 2.1% of the units, and it
// admitted more than twice as much beyond the quotas.
func TestSharedCountsWithManyIngresses(t *testing.T) {
	for _, tc := range []struct {
		name      string
		ingresses int
		withheld  float64 // fraction of the units that an exact count admits, at most
		beyond    float64 // sum of the accounts' largest excesses, as a fraction of the same units, at most
	}{
		{"crowd", 4, 0.005, 0.012},
		{"crowd", 80, 0.018, 0.012},
		{"crowd-split", 80, 0.05, 0.06},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ideal, withheld, beyond := 0.0, 0.0, 0.0
			for seed := range uint64(3) {
				cfg, err := MakeOf(tc.name, false, tc.ingresses, seed+1, 20)
				if err != nil {
					t.Fatal(err)
				}
				r := New(cfg).Run()
				if r.ViolationCounts[oracle.RuleQuota]+r.ViolationCounts[oracle.RuleHardLimit]+r.ViolationCounts[oracle.RuleMaxConcurrency] > 0 || r.Occasions[oracle.RuleQuota] < 1000 || r.Occasions[oracle.RuleHardLimit] < 30 {
					t.Errorf("seed %d: violations %v, want none of quotas, hard limits and concurrency limits; occasions %v, want 1000 of quotas and 30 of hard limits: %v", seed+1, r.ViolationCounts, r.Occasions, r.Violations)
				}
				ideal, withheld = ideal+r.IdealUnits, withheld+r.WithheldUnits
				for _, o := range r.Overshoots {
					beyond += o.Units
				}
			}
			t.Logf("%d ingresses: an exact count admits %.0f units; %.2f%% withheld, %.2f%% admitted in excess", tc.ingresses, ideal, 100*withheld/ideal, 100*beyond/ideal)
			if withheld > tc.withheld*ideal || beyond > tc.beyond*ideal {
				t.Errorf("%d ingresses: of %.0f units %.2f%% were withheld and %.2f%% admitted in excess, want at most %.2f%% and %.2f%%", tc.ingresses, ideal, 100*withheld/ideal, 100*beyond/ideal, 100*tc.withheld, 100*tc.beyond)
			}
		})
	}
}

// Guards against failures of a shared count that leave their error bound, one failure at a time, and against a simulation in which failures
// have no effect: in a partition both sides admit a full quota.
func TestSharedCountFailuresKeepErrorBounds(t *testing.T) {
	for _, n := range []int{4, 12} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			worst := map[string]float64{}
			for _, failure := range CountFailures {
				beyond, short, err := WorstCountErrors(failure, n, 2)
				if err != nil {
					t.Fatal(err)
				}
				for length, m := range beyond {
					if worst[failure] = max(worst[failure], m.Units); m.Units > m.Allowed {
						t.Errorf("%s: %.1f units in excess of the quota in %d s, want at most %.1f", failure, m.Units, length, m.Allowed)
					}
				}
				for length, m := range short {
					if m.Units > m.Allowed {
						t.Errorf("%s: %.1f units of the quota denied in %d s, want at most %.1f", failure, m.Units, length, m.Allowed)
					}
				}
			}
			if worst["split in two"] < worst["none"]+25 {
				t.Errorf("a partition of 5 s has no effect: largest excess by failure %v, want 25 units more than without a failure", worst)
			}
		})
	}
	if _, _, err := WorstCountErrors("rain", 4, 1); err == nil {
		t.Error("WorstCountErrors accepted an unknown failure, want an error")
	}
}
