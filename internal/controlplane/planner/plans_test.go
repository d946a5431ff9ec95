package planner

import "eiderspread/policy"

var simClasses = []policy.Class{
	{Name: "look", LatencyObjectiveS: 0.5, DeadlineS: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
	{Name: "hold", LatencyObjectiveS: 1, DeadlineS: 4, PriorityWeight: 3, Idempotency: policy.KeyedIdempotent, KeyTTLS: 4},
	{Name: "bill", LatencyObjectiveS: 1.5, DeadlineS: 4, PriorityWeight: 5, Idempotency: policy.NonIdempotent},
}

var simPlans = []policy.Plan{
	{Name: "small", Rate: 4, Burst: 12, Weight: 1},
	{Name: "capped", Rate: 9, Burst: 18, Weight: 1, MaxConcurrency: 4},
	{Name: "chain", Rate: 30, Burst: 60, Weight: 1, HardLimitRate: 55, HardLimitBurst: 110, HardLimitSlack: 11},
}
