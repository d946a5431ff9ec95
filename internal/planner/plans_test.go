package planner

import "eiderspread/policy"

var simClasses = []policy.Class{
	{Name: "look", AimS: 0.5, DeadlineS: 2, Worth: 1, Effect: policy.Safe},
	{Name: "hold", AimS: 1, DeadlineS: 4, Worth: 3, Effect: policy.Keyed, KeyTTLS: 4},
	{Name: "bill", AimS: 1.5, DeadlineS: 4, Worth: 5, Effect: policy.Unsafe},
}

var simPlans = []policy.Plan{
	{Name: "small", Rate: 4, Burst: 12, Price: 1},
	{Name: "capped", Rate: 9, Burst: 18, Price: 1, Parallel: 4},
	{Name: "chain", Rate: 30, Burst: 60, Price: 1, CeilingRate: 55, CeilingBurst: 110, CeilingSlack: 11},
}
