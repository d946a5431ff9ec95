package testbed

import (
	"cmp"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Slow-start limits of nodes as the settings state them; the stand-in nodes keep to these limits or do better.
const (
	StatedSlowStartMinFraction = 0.26 // fraction of the full capacity right after the start
	StatedSlowStartS           = 10.0 // seconds until the full capacity is reached
	StatedFallMultiple         = 3.0  // a cold node fails under more than this multiple of its capacity (setting fallMultiple)
	StatedFallS                = 1.0  // seconds over which that work is summed (setting fallS)
)

// MaxAttempts is the maximum number of attempts per request.
const MaxAttempts = 5

// SlowStartSlack is the fraction of a cold node's budget that chance and network delays may add to the work sent to it.
const SlowStartSlack = 0.03

// QuotaSlack is how far an account may exceed its quota in a fleet of two levels, in units; see docs/two-levels.md. For fleets of
// one level no slack is stated.
const QuotaSlack = 6.0

// QuotaSeconds returns the excess over its quota that an account is allowed in addition to QuotaSlack, as a number of seconds
// at the quota's rate. A request that is already counted may wait for a backend for up to the longest latency objective, while
// the account's window refills. If exact is set, the result is 0.
func QuotaSeconds(exact bool, classes []policy.Class) (s float64) {
	for _, c := range classes {
		if !exact {
			s = max(s, c.LatencyObjectiveS)
		}
	}
	return s
}

// Rules returns the configuration with which the oracle checks the fleet's history.
func (f *Fleet) Rules() oracle.Config {
	quota, concurrency := 0.0, 0.0
	if len(f.Planners) > 0 {
		quota, concurrency = QuotaSlack, 2
	}
	quota, concurrency = cmp.Or(f.cfg.QuotaSlack, quota), cmp.Or(f.cfg.ConcurrencyFactor, concurrency)
	var gateways map[string]oracle.GatewayRange
	if len(f.Planners) == 0 && f.cfg.QuotaSlack >= 0 {
		gateways = AccountGateways(f.accounts)
	}
	var bounds *oracle.LoadSheddingBounds
	if f.cfg.MeasureOverload && f.cfg.Operator != "" {
		bounds = &f.cfg.LoadSheddingBounds
	}
	return oracle.Config{LoadShedding: bounds, AccountGateways: gateways, Gateways: f.cfg.Forwarders, Overload: f.cfg.MeasureOverload, Peak: f.cfg.Peak, QuotaSlack: quota, QuotaSlackS: QuotaSeconds(f.cfg.Exact, f.cfg.Classes), Classes: f.cfg.Classes, Plans: f.cfg.Plans, DrainGraceS: 0.25 + f.cfg.SlowS, AnswerGraceS: 0.25 + f.cfg.SlowS + f.cfg.StallS,
		LateRejectionS: 0.03 + f.cfg.SlowS + f.cfg.StallS, MaxOverlapS: 0.1 + f.cfg.SlowS + f.cfg.StallS, HardLimitSlackS: 0.15, LargestRequest: 6, ConcurrencyFactor: concurrency, MaxAttempts: MaxAttempts, SlowStartFactor: f.cfg.Node.FallMultiple, SlowStartWindowS: f.cfg.Node.FallS,
		SlowStartSlack: SlowStartSlack, SlowStartRandomSlack: f.cfg.StallS > 0, MembershipTTLS: f.cfg.StaleS, MaxLateness: 90*time.Millisecond + seconds(f.cfg.SlowS)}
}
