package simulation

import (
	"testing"

	"eiderspread/internal/testbed/oracle"
)

// Guards caps on open attempts at size: accounts of a cap of two through up to two thirds of 80 ingresses, 7% of their messages lost. With places
// kept for three seconds after a grant plan resto got 0.982 of its share here and 0.42 of it on the operators' largest day; lent twice, caps break.
func TestCapsOfManyIngresses(t *testing.T) {
	for _, tc := range []struct {
		name           string
		resto          float64 // service of the capped plan, at least
		beyond         float64 // share of the time of attempts beyond caps, at most
		full, connects float64 // accounts that came to their cap, at least; connections an attempt, at most
	}{
		{"places", 0.985, 0.02, 40, 0.55},
		{"places-slow", 0.78, 0.045, 60, 0.65},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cfg, err := MakeOf(tc.name, false, 80, 1, 10)
			if err != nil {
				t.Fatal(err)
			}
			r := New(cfg).Run()
			beyond, connects := r.ExcessSlotS/r.SlotS, float64(r.Handshakes)/float64(r.Attempts)
			t.Logf("resto %.3f, %.1f%% of the time of attempts beyond caps, %d accounts at their cap, %.2f connections an attempt", r.ServiceByPlan["resto"], 100*beyond,
				r.Occasions[oracle.RuleMaxConcurrency], connects)
			if r.ViolationCounts[oracle.RuleMaxConcurrency]+r.ViolationCounts[oracle.RuleHardLimit]+r.ViolationCounts[oracle.RuleQuota] > 0 {
				t.Errorf("%v: %v", r.ViolationCounts, r.Violations)
			}
			if r.ServiceByPlan["resto"] < tc.resto || beyond > tc.beyond || float64(r.Occasions[oracle.RuleMaxConcurrency]) < tc.full || connects > tc.connects {
				t.Error("out of its bounds")
			}
		})
	}
}
