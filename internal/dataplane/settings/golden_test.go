package settings

import (
	"encoding/json"
	"testing"

	"eiderspread/internal/testbed/golden"
	"eiderspread/policy"
)

// Guards against unintended changes of the keys in the settings object, and of the field that each key sets.
func TestGoldenSettings(t *testing.T) {
	var w wireSettings
	golden.Fill(&w)
	w.LoadReports.CarriedBy, w.Classes, w.Plans = "probe", w.Classes[:1], w.Plans[:1]
	w.Classes[0].Idempotency, w.Classes[0].KeyScope = "dedup", "cell"
	text, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(golden.Check(t, "settings.json", text))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "settings", got, Settings{ConnIdleS: 13.25, DialTimeoutS: 14.25, MaxOpenRequests: 15, Settings: policy.Settings{
		Gateways: 2, Self: 3, Zone: "textxxxxEa", MaxRequestUnits: 6, PeerMessageRate: 7.25, UnitsFromResponse: true, CancelAllowed: true, MaxAttempts: 16, MaxRetryAfterS: 17.25,
		HedgingAllowed: true, PeerMessages: true, ProbesAllowed: true, RetryAfterAllowed: true, LoadReportInProbe: true, ResponseSlackS: 71.25, SlowStartMinFraction: 72.25, SlowStartS: 73.25,
		CollapseMultiple: 74.25, CollapseWindowS: 75.25, MinBatchIntervalS: 78.25, CrossZoneCost: 46.25, WorstPlanWeight: 77.25,
		Plans: []policy.Plan{{Name: "textxxxxYa", Rate: 25.25, Burst: 26.25, MaxConcurrency: 27, Weight: 28.25, OverQuotaWeightFraction: 29.25, OverQuotaCostFraction: 30.25,
			HardLimitRate: 31.25, HardLimitBurst: 32.25, HardLimitSlack: 33.25}},
		Classes: []policy.Class{{Name: "textxxxxXb", LatencyObjectiveS: 50.25, ObjectiveWorkFactor: 51.25, DeadlineS: 52.25, Idempotency: policy.KeyedIdempotent, KeyScope: policy.ScopeCell,
			KeyTTLS: 55.25, LateWeightFraction: 56.25, Stream: true, PriorityWeight: 58.25}}}})
}
