package simulation

import (
	"fmt"
	"testing"

	"eiderspread/internal/testbed/oracle"
)

// Guards the shared count of one level at size: accounts through up to all of 4 and of 80 ingresses, some far beyond their quotas, in calm and
// while ingresses are split, lose messages and die. What is let in stays in the error budget, and of what a count without fault would let in
// little is withheld. With owners silent after two lost reports whatever is lost, debts forgiven and ceilings in parts that hold no request, 80
// ingresses withheld 2.1% in calm and let in more than twice as much beyond.
func TestCountsOfManyIngresses(t *testing.T) {
	for _, tc := range []struct {
		name      string
		ingresses int
		withheld  float64 // share, at most
		beyond    float64 // sum of accounts' worst moments, of what is to be let in, at most
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
					t.Errorf("seed %d: %v, %v occasions: %v", seed+1, r.ViolationCounts, r.Occasions, r.Violations)
				}
				ideal, withheld = ideal+r.IdealUnits, withheld+r.WithheldUnits
				for _, o := range r.Overshoots {
					beyond += o.Units
				}
			}
			t.Logf("%d ingresses: %.0f units, %.2f%% withheld, %.2f%% beyond", tc.ingresses, ideal, 100*withheld/ideal, 100*beyond/ideal)
			if withheld > tc.withheld*ideal || beyond > tc.beyond*ideal {
				t.Errorf("%d ingresses: of %.0f units %.2f%% were withheld and %.2f%% let in beyond", tc.ingresses, ideal, 100*withheld/ideal, 100*beyond/ideal)
			}
		})
	}
}

// Each failure of a shared count by itself stays in its budget, and can be told from none: a split lets both sides' windows in.
func TestFailuresOfACountKeepTheirBudgets(t *testing.T) {
	for _, n := range []int{4, 12} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			worst := map[string]float64{}
			for _, failure := range CountFailures {
				beyond, short, err := CountWorst(failure, n, 2)
				if err != nil {
					t.Fatal(err)
				}
				for length, m := range beyond {
					if worst[failure] = max(worst[failure], m.Units); m.Units > m.Allowed {
						t.Errorf("%s: %.1f units beyond in %d s, %.1f allowed", failure, m.Units, length, m.Allowed)
					}
				}
				for length, m := range short {
					if m.Units > m.Allowed {
						t.Errorf("%s: %.1f units withheld in %d s, %.1f allowed", failure, m.Units, length, m.Allowed)
					}
				}
			}
			if worst["split in two"] < worst["none"]+25 {
				t.Errorf("a split of five seconds shows nothing: %v", worst)
			}
		})
	}
	if _, _, err := CountWorst("rain", 4, 1); err == nil {
		t.Error("an unknown failure was played")
	}
}
