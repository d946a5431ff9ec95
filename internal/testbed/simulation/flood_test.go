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

// Guards against units lost in a flood right after a start, as in the first seconds of run r640a3f: an account of plan chaine requests five
// times its quota just after all ingresses have started, when its local parts of the hard limit are nearly empty and its whole quota is free.
// What quota and hard limit admit has to be sent, the most valuable requests first, although they arrive unevenly through three ingresses.
// Queued requests may be sent a little after the flood.
func TestFloodAfterStartUsesQuotaAndHardLimit(t *testing.T) {
	plan := policy.Plan{Name: "chaine", Rate: 80, Burst: 118, Weight: 1.6, OverQuotaCostFraction: 0.8, HardLimitRate: 150, HardLimitBurst: 233, HardLimitSlack: 23}
	sent, worth, admissible := 0.0, 0.0, 0.0
	for seed := range uint64(8) {
		cfg, err := MakeOf("calm", false, 4, seed+1, 4)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Plans = []policy.Plan{plan}
		cfg.NodeConditions, cfg.Nodes = node.Conditions{}, 12
		cfg.Accounts = []testbed.Account{{Name: "one", Plan: "chaine", Rate: 70, First: 0, Spread: 3}}
		const restart, flood, floodEnd = 1.5, 1.8, 3.0
		for i := range 4 {
			cfg.Faults = append(cfg.Faults, testbed.Fault{At: time.Duration(restart * float64(time.Second)), For: 200 * time.Millisecond, Kind: "forwarder", A: i})
		}
		cfg.Faults = append(cfg.Faults, testbed.Fault{At: time.Duration(flood * float64(time.Second)), For: time.Duration((floodEnd - flood) / 2 * float64(time.Second)), Kind: "flood", X: 0.4})
		files := make([]*trace.File, cfg.Forwarders)
		for i := range files {
			files[i] = &trace.File{Header: trace.Header{Gateway: i, Plans: cfg.Plans, Classes: cfg.Classes}}
		}
		cfg.Trace = func(i int, d reason.Decision) { files[i].Decisions = append(files[i].Decisions, d) }
		report := New(cfg).Run()
		if len(report.ViolationCounts) > 0 {
			t.Fatalf("seed %d: rules violated: %v", seed, report.Verdict())
		}
		requested := 0.0
		run, arrived := analyse.Join(files), map[string]bool{}
		for _, r := range run.Records {
			switch {
			case r.Step == reason.StepArrived && r.At >= flood && r.At < floodEnd:
				requested += r.Units
				arrived[r.ID] = true
			case r.Step == reason.StepSent && r.Attempt == 0 && arrived[r.ID]:
				sent += r.Units
				worth += run.Value(r)
			}
		}
		if requested < 300 {
			t.Fatalf("seed %d: %v units requested, want at least 300 for a flood", seed, requested)
		}
		admissible += min(plan.Burst+plan.Rate*(floodEnd-flood), plan.HardLimitRate*(floodEnd-restart-0.2)) // of the quota, and of a hard limit whose bucket starts empty
	}
	t.Logf("%.0f of %.0f units were sent, worth %.0f", sent, admissible, worth)
	if sent < admissible || worth < 9000 { // with immediate rejections and grants that were paid in full or not at all: 1,484 units, worth 6,598
		t.Errorf("%.0f units worth %.0f were sent, want at least the %.0f units that quota and hard limit admit in that time, worth 9000", sent, worth, admissible)
	}
}
