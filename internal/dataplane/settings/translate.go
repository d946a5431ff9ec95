package settings

import "eiderspread/policy"

// idempotencies maps the values that the setting "effect" of a class may have to idempotencies.
var idempotencies = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.KeyedIdempotent, "fragile": policy.NonIdempotent}

// keyScopes maps the values that the setting "keyScope" of a class may have to key scopes; without a value it is ScopeAll.
var keyScopes = map[string]policy.KeyScope{"": policy.ScopeAll, "all": policy.ScopeAll, "zone": policy.ScopeZone,
	"cell": policy.ScopeCell}

// policySettings returns the settings without classes and plans.
func (w wireSettings) policySettings() policy.Settings {
	return policy.Settings{
		Self: w.Self, Gateways: w.Gateways, Zone: w.Zone,
		MaxRequestUnits: w.Units.MaxRequestUnits, UnitsFromResponse: w.Units.UnitsFromResponse, PeerMessageRate: w.Units.PeerMessageRate,
		PeerMessages: w.Limits.PeerMessages, ProbesAllowed: w.Limits.ProbesAllowed, CancelAllowed: w.Limits.CancelAllowed,
		HedgingAllowed: w.Limits.HedgingAllowed, RetryAfterAllowed: w.Limits.RetryAfterAllowed,
		MaxAttempts: w.Limits.MaxAttempts, MaxRetryAfterS: w.Limits.MaxRetryAfterS,
		LoadReportInProbe: w.LoadReports.CarriedBy == "probe", LoadReportInResponse: w.LoadReports.CarriedBy == "answers",
		ResponseSlackS: w.Rules.ResponseSlackS, SlowStartMinFraction: w.Rules.SlowStartMinFraction, SlowStartS: w.Rules.SlowStartS,
		CollapseMultiple: w.Rules.CollapseMultiple, CollapseWindowS: w.Rules.CollapseWindowS,
		MinBatchIntervalS: w.MinBatchIntervalS, CrossZoneCost: w.Costs.CrossZoneCost, WorstPlanWeight: w.Weights.WorstPlanWeight,
	}
}

func (p wireClass) class() (policy.Class, error) {
	idempotency, ok := idempotencies[p.Idempotency]
	if !ok {
		return policy.Class{}, &UnknownValueError{p.Name, "effect", p.Idempotency}
	}
	scope, ok := keyScopes[p.KeyScope]
	if !ok {
		return policy.Class{}, &UnknownValueError{p.Name, "keyScope", p.KeyScope}
	}
	return policy.Class{Name: p.Name, LatencyObjectiveS: p.LatencyObjectiveS, ObjectiveWorkFactor: p.ObjectiveWorkFactor,
		DeadlineS: p.DeadlineS, PriorityWeight: p.PriorityWeight, LateWeightFraction: p.LateWeightFraction, Idempotency: idempotency, KeyScope: scope,
		KeyTTLS: p.KeyTTLS, Stream: p.Stream}, nil
}

func (p wirePlan) plan() policy.Plan {
	return policy.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst,
		MaxConcurrency: p.MaxConcurrency, Weight: p.Weight, OverQuotaWeightFraction: p.OverQuotaWeightFraction, OverQuotaCostFraction: p.OverQuotaCostFraction,
		HardLimitRate: p.HardLimitRate, HardLimitBurst: p.HardLimitBurst, HardLimitSlack: p.HardLimitSlack}
}
