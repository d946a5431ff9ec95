// Package settings reads the settings object that the simulator's first message and a
// real ingress's configuration both carry.
package settings

import (
	"encoding/json"
	"fmt"

	"eiderspread/policy"
)

// wireSettings is the settings object as the wire words it; unknown keys are skipped.
type wireSettings struct {
	Balancers  int    `json:"balancers"`
	Self       int    `json:"me"`
	MyZone     string `json:"myZone"`
	FamilyInfo struct {
		MaxUnits   int     `json:"maxUnits"`
		PeerIntake float64 `json:"peerIntake"`
		TruedUp    bool    `json:"truedUp"`
	} `json:"familyInfo"`
	Feedback struct {
		How string `json:"how"`
	} `json:"feedback"`
	Limits struct {
		Cancel         bool    `json:"cancel"`
		ConnIdleS      float64 `json:"connIdleS"`
		DialTimeoutS   float64 `json:"dialTimeoutS"`
		MostHeld       int     `json:"mostHeld"`
		MaxAttempts    int     `json:"maxAttempts"`
		MaxRetryAfterS float64 `json:"maxRetryAfterS"`
		ParallelTries  bool    `json:"parallelTries"`
		PeerMessages   bool    `json:"peerMessages"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retryAfter"`
	} `json:"limits"`
	Packages []struct {
		Name         string  `json:"name"`
		UnitsPerS    float64 `json:"unitsPerS"`
		PeakUnits    float64 `json:"peakUnits"`
		Parallel     int     `json:"parallel"`
		Pays         float64 `json:"pays"`
		ExtraWorth   float64 `json:"extraWorth"`
		ExcessCost   float64 `json:"excessCost"`
		HardRate     float64 `json:"hardRate"`
		CapDepth     float64 `json:"capDepth"`
		CeilingSlack float64 `json:"ceilingSlack"`
	} `json:"packages"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Profiles []struct {
		Name       string  `json:"name"`
		AimS       float64 `json:"aimS"`
		AimStretch float64 `json:"aimStretch"`
		DeadlineS  float64 `json:"deadlineS"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		KeyTTLS    float64 `json:"keyTtlS"`
		LateWorth  float64 `json:"lateWorth"`
		Stream     bool    `json:"stream"`
		Worth      float64 `json:"worth"`
	} `json:"profiles"`
	Rules struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		FallMultiple float64 `json:"fallMultiple"`
		FallS        float64 `json:"fallS"`
	} `json:"rules"`
	ScoreParts struct {
		WorstTenant float64 `json:"worstTenant"`
	} `json:"scoreParts"`
	TickS float64 `json:"tickS"`
}

var effects = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.KeyedIdempotent, "fragile": policy.NonIdempotent}

var keyScopes = map[string]policy.KeyScope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone,
	"cell": policy.ScopeCell}

// Settings is what the module is told, and beside it what only a real ingress has to know.
type Settings struct {
	policy.Settings
	ConnIdleS       float64 // a backend closes a connection that has stood idle for so long
	DialTimeoutS    float64 // a connection not made by then has failed
	MaxOpenRequests int     // open requests at most; 0: no such limit
}

// Parse translates the settings; whether they make sense is for policy.New to say.
func Parse(text []byte) (Settings, error) {
	var w wireSettings
	if err := json.Unmarshal(text, &w); err != nil {
		return Settings{}, err
	}
	s := Settings{ConnIdleS: w.Limits.ConnIdleS, DialTimeoutS: w.Limits.DialTimeoutS, MaxOpenRequests: w.Limits.MostHeld}
	s.Settings = policy.Settings{
		Self: w.Self, Gateways: w.Balancers, Zone: w.MyZone,
		MaxRequestUnits: w.FamilyInfo.MaxUnits, UnitsFromResponse: w.FamilyInfo.TruedUp, PeerMessageRate: w.FamilyInfo.PeerIntake,
		PeerMessages: w.Limits.PeerMessages, ProbesAllowed: w.Limits.Probes, CancelAllowed: w.Limits.Cancel,
		HedgingAllowed: w.Limits.ParallelTries, RetryAfterAllowed: w.Limits.RetryAfter,
		MaxAttempts: w.Limits.MaxAttempts, MaxRetryAfterS: w.Limits.MaxRetryAfterS,
		LoadReportInProbe: w.Feedback.How == "probe", LoadReportInResponse: w.Feedback.How == "answers",
		ResponseSlackS: w.Rules.AnswerSlackS, SlowStartMinFraction: w.Rules.ColdFrom, SlowStartS: w.Rules.ColdS,
		CollapseMultiple: w.Rules.FallMultiple, CollapseWindowS: w.Rules.FallS,
		MinBatchIntervalS: w.TickS, CrossZoneCost: w.Prices.CrossZone, WorstPlanWeight: w.ScoreParts.WorstTenant,
	}
	for _, p := range w.Profiles {
		effect, ok := effects[p.Effect]
		if !ok {
			return s, fmt.Errorf("class %s: unknown effect %q", p.Name, p.Effect)
		}
		scope, ok := keyScopes[p.KeyScope]
		if !ok {
			return s, fmt.Errorf("class %s: unknown keyScope %q", p.Name, p.KeyScope)
		}
		s.Classes = append(s.Classes, policy.Class{Name: p.Name, LatencyObjectiveS: p.AimS, ObjectiveWorkFactor: p.AimStretch,
			DeadlineS: p.DeadlineS, PriorityWeight: p.Worth, LateWeightFraction: p.LateWorth, Idempotency: effect, KeyScope: scope,
			KeyTTLS: p.KeyTTLS, Stream: p.Stream})
	}
	for _, p := range w.Packages {
		s.Plans = append(s.Plans, policy.Plan{Name: p.Name, Rate: p.UnitsPerS, Burst: p.PeakUnits,
			MaxConcurrency: p.Parallel, Weight: p.Pays, OverQuotaWeightFraction: p.ExtraWorth, OverQuotaCostFraction: p.ExcessCost,
			HardLimitRate: p.HardRate, HardLimitBurst: p.CapDepth, HardLimitSlack: p.CeilingSlack})
	}
	return s, nil
}

// NoLoad is a load report in which nothing was reported yet.
var NoLoad = policy.Load{InFlight: -1, Queue: -1, Utilization: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}

// SetLoad puts a value into a load report by its name in the settings; unknown names are passed over.
func SetLoad(r *policy.Load, name string, v float64) {
	switch name {
	case "busy_reqs":
		r.InFlight = v
	case "pending":
		r.Queue = v
	case "cpu_share":
		r.Utilization = v
	case "svc_ms":
		r.ServiceMS = v
	case "served_ps":
		r.ServedPerS = v
	case "failed_ps":
		r.FailedPerS = v
	}
}
