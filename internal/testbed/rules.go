package testbed

import (
	"cmp"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// What the settings state of nodes that have just started; nodes keep to it or do better.
const (
	StatedSlowStartMinFraction = 0.26
	StatedSlowStartS           = 10.0
	StatedMultiple             = 3.0
	StatedFallS                = 1.0
)

// MaxAttempts is how often a request may be sent to nodes.
const MaxAttempts = 5

// SlowStartSlack is the share of a cold node's budget that chance and the network's delays may add.
const SlowStartSlack = 0.03

// QuotaSlack is the stated slack of two levels, in units; docs/two-levels.md. One level states none.
const QuotaSlack = 6.0

// QuotaSeconds of its rate may an account be beyond its quota on top: what the module has counted waits in it for a server,
// for as long as the longest aim at most, while the window fills again.
func QuotaSeconds(exact bool, classes []policy.Class) (s float64) {
	for _, c := range classes {
		if !exact {
			s = max(s, c.LatencyObjectiveS)
		}
	}
	return s
}

// Rules are those that the fleet's history is judged by.
func (f *Fleet) Rules() oracle.Config {
	quota, caps := 0.0, 0.0
	if len(f.Planners) > 0 {
		quota, caps = QuotaSlack, 2
	}
	quota, caps = cmp.Or(f.cfg.Quota, quota), cmp.Or(f.cfg.CapX, caps)
	var homes map[string]oracle.GatewayRange
	if len(f.Planners) == 0 && f.cfg.Quota >= 0 {
		homes = Homes(f.accounts)
	}
	var stated *oracle.LoadSheddingBounds
	if f.cfg.MeasureOverload && f.cfg.Operator != "" {
		stated = &f.cfg.Stated
	}
	return oracle.Config{LoadShedding: stated, Homes: homes, Gateways: f.cfg.Forwarders, Overload: f.cfg.MeasureOverload, Peak: f.cfg.Peak, QuotaSlack: quota, QuotaSlackS: QuotaSeconds(f.cfg.Exact, f.cfg.Classes), Classes: f.cfg.Classes, Plans: f.cfg.Plans, DrainGraceS: 0.25 + f.cfg.SlowS, AnswerGraceS: 0.25 + f.cfg.SlowS + f.cfg.StallS,
		LateRejectionS: 0.03 + f.cfg.SlowS + f.cfg.StallS, MaxOverlapS: 0.1 + f.cfg.SlowS + f.cfg.StallS, HardLimitSlackS: 0.15, LargestRequest: 6, ConcurrencyFactor: caps, MaxAttempts: MaxAttempts, SlowStartFactor: f.cfg.Node.FallMultiple, SlowStartWindowS: f.cfg.Node.FallS,
		SlowStartSlack: SlowStartSlack, SlowStartChance: f.cfg.StallS > 0, MembershipTTLS: f.cfg.StaleS, MaxLateness: 90*time.Millisecond + seconds(f.cfg.SlowS)}
}
