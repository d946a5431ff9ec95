package settings

import (
	"encoding/json"
	"testing"

	"eiderspread/internal/lab/golden"
	"eiderspread/policy"
)

// Guards the keys of the settings, and which value each of them is.
func TestGoldenSettings(t *testing.T) {
	var w wireSettings
	golden.Fill(&w)
	w.Feedback.How, w.Profiles, w.Packages = "probe", w.Profiles[:1], w.Packages[:1]
	w.Profiles[0].Effect, w.Profiles[0].KeyScope = "dedup", "cell"
	text, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse(golden.Check(t, "settings.json", text))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "settings", got, Settings{ConnIdleS: 13.25, DialTimeoutS: 14.25, MostHeld: 15, Settings: policy.Settings{
		Gateways: 2, Me: 3, Zone: "textxxxxEa", MaxUnits: 6, PeerIntake: 7.25, TrueUp: true, Cancel: true, MaxAttempts: 16, MaxRetryAfterS: 17.25,
		Parallel: true, Peers: true, Probes: true, RetryAfter: true, ReportByProbe: true, AnswerSlackS: 71.25, ColdFrom: 72.25, ColdS: 73.25,
		FallMultiple: 74.25, FallS: 75.25, TickS: 78.25, CrossZonePrice: 46.25, WorstPlanWeight: 77.25,
		Plans: []policy.Plan{{Name: "textxxxxYa", Rate: 25.25, Burst: 26.25, Parallel: 27, Price: 28.25, ExtraWorth: 29.25, ExcessCost: 30.25,
			CeilingRate: 31.25, CeilingBurst: 32.25, CeilingSlack: 33.25}},
		Classes: []policy.Class{{Name: "textxxxxXb", AimS: 50.25, AimStretch: 51.25, DeadlineS: 52.25, Effect: policy.Keyed, KeyScope: policy.ScopeCell,
			KeyTTLS: 55.25, LateWorth: 56.25, Stream: true, Worth: 58.25}}}})
}
