package simulation

import (
	"testing"
	"time"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/internal/observability/trace/analyse"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/node"
	"eiderspread/policy"
)

// The loss of r640a3f's first seconds without sockets: an account of chaine asks for five times its quota just after all ingresses have begun,
// when the parts of its ceiling are nearly empty and its whole window is free. What the ceiling and the window let in must be sent, though
// it comes unevenly through three ingresses; the dearest first. What waits may be sent a little after the flood.
func TestFloodAfterAStartIsServedAsFarAsCeilingsReach(t *testing.T) {
	plan := policy.Plan{Name: "chaine", Rate: 80, Burst: 118, Weight: 1.6, OverQuotaCostFraction: 0.8, HardLimitRate: 150, HardLimitBurst: 233, HardLimitSlack: 23}
	sum, worth, most := 0.0, 0.0, 0.0
	for seed := range uint64(8) {
		cfg, err := MakeOf("calm", false, 4, seed+1, 4)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Plans = []policy.Plan{plan}
		cfg.NodeConditions, cfg.Nodes = node.Conditions{}, 12
		cfg.Accounts = []testbed.Account{{Name: "one", Plan: "chaine", Rate: 70, First: 0, Spread: 3}}
		const restart, flood, over = 1.5, 1.8, 3.0
		for i := range 4 {
			cfg.Faults = append(cfg.Faults, testbed.Fault{At: time.Duration(restart * float64(time.Second)), For: 200 * time.Millisecond, Kind: "forwarder", A: i})
		}
		cfg.Faults = append(cfg.Faults, testbed.Fault{At: time.Duration(flood * float64(time.Second)), For: time.Duration((over - flood) / 2 * float64(time.Second)), Kind: "flood", X: 0.4})
		files := make([]*trace.File, cfg.Forwarders)
		for i := range files {
			files[i] = &trace.File{Header: trace.Header{Gateway: i, Plans: cfg.Plans, Classes: cfg.Classes}}
		}
		cfg.Trace = func(i int, d reason.Decision) { files[i].Decisions = append(files[i].Decisions, d) }
		rep := New(cfg).Run()
		if len(rep.ViolationCounts) > 0 {
			t.Fatalf("seed %d: %v", seed, rep.Verdict())
		}
		asked := 0.0
		run, came := analyse.Join(files), map[string]bool{}
		for _, r := range run.Records {
			switch {
			case r.Step == reason.StepArrived && r.At >= flood && r.At < over:
				asked += r.Units
				came[r.ID] = true
			case r.Step == reason.StepSent && r.Attempt == 0 && came[r.ID]:
				sum += r.Units
				worth += run.Value(r)
			}
		}
		if asked < 300 {
			t.Fatalf("seed %d: no flood, %v units asked", seed, asked)
		}
		most += min(plan.Burst+plan.Rate*(over-flood), plan.HardLimitRate*(over-restart-0.2)) // of the window, and of a ceiling that begins empty
	}
	t.Logf("%.0f of %.0f units, worth %.0f", sum, most, worth)
	if sum < most || worth < 9000 { // with refusals at once and grants paid whole or not at all: 1,484 units, worth 6,598
		t.Errorf("%.0f units worth %.0f were sent, of %.0f that window and ceiling held in that time", sum, worth, most)
	}
}
