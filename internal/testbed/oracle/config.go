package oracle

import (
	"time"

	"eiderspread/policy"
)

// The names of the rules in a Report. Recorded runs store them as keys of Config.MinOccasions.
const (
	RuleNoRequestLost      = "no request lost"
	RuleOneAnswer          = "one answer"
	RuleAnswerOrder        = "answers in order"
	RuleOneOpenAttempt     = "one attempt out" // open at a time for a request
	RuleAttemptLimit       = "attempts limited"
	RuleNoDuplicateEffect  = "no effect twice"
	RuleDrain              = "drains kept"
	RuleCordon             = "nodes that operators hold left alone"    // cordoned nodes receive no attempts
	RuleHotRestart         = "nothing lost when a program is replaced" // counts occasions only: a lost request breaks another rule
	RuleSlowStart          = "cold nodes stand"                        // starting backends receive no more than their slow-start budget
	RuleQuota              = "quotas kept"
	RuleQuotaUsable        = "quotas can be used" // rejections because of a quota stay within the error bound
	RuleMaxConcurrency     = "caps kept"
	RuleHardLimit          = "ceilings kept"
	RuleFreshMembership    = "none on a stale word"  // no node is in service by states that its sources no longer hold
	RuleViewsAgree         = "views equal the truth" // of the membership sources, after a fault
	RuleLoadShedding       = "overload shed as one"  // checked if Config.LoadShedding is set
	RuleDisconnectedClient = "nothing sent for who left"
	RuleDrainEnd           = "a drained ingress lets go of its clients"
	RuleIngressSelfCheck   = "no broken rule counted by an ingress"
)

// RuleNames are all rules, in the order of a report.
var RuleNames = []string{
	RuleNoRequestLost, RuleOneAnswer, RuleAnswerOrder, RuleOneOpenAttempt, RuleAttemptLimit, RuleNoDuplicateEffect, RuleDrain,
	RuleSlowStart, RuleQuota, RuleQuotaUsable, RuleMaxConcurrency, RuleHardLimit, RuleFreshMembership, RuleViewsAgree, RuleCordon,
	RuleHotRestart, RuleLoadShedding, RuleDisconnectedClient, RuleDrainEnd, RuleIngressSelfCheck,
}

// Config holds the bounds that Check applies. Fields that end in S are seconds.
type Config struct {
	Classes              []policy.Class
	Plans                []policy.Plan
	DrainGraceS          float64                 `json:"DrainS"`    // for sends after a drain notice, in addition to deliveryGrace
	AnswerGraceS         float64                 `json:"AnswerS"`   // for answers after the deadline
	LateRejectionS       float64                 `json:"HeldS"`     // after the deadline, in which a rejection with no attempt in flight may still come; 0: not checked
	MaxAttempts          int                     `json:"Attempts"`  // most attempts of a request that may reach backends; 0: not checked
	MaxOverlapS          float64                 `json:"OverlapS"`  // allowed overlap of two attempts of a request, as backends notice the end of one late
	HardLimitSlackS      float64                 `json:"CeilingS"`  // seconds of the hard limit's rate that are added to its slack
	LargestRequest       float64                 `json:"SlackUnit"` // units
	QuotaSlack           float64                 `json:"Quota"`     // units beyond a quota that are allowed; 0: not checked
	QuotaSlackS          float64                 `json:"QuotaS"`    // seconds of the quota's rate that are added, as admitted requests may be queued for a backend
	AccountGateways      map[string]GatewayRange `json:"Homes"`     // by account: its gateways, for the checks against the error bound; empty: not checked
	Gateways             int                     // number of gateways that AccountGateways refers to
	ConcurrencyFactor    float64                 `json:"CapX"`         // most open attempts, as a multiple of the concurrency limit; 0: not checked
	ClockRate            float64                 `json:"Drift"`        // rate of the fastest clock, seconds per second; 0 means 1
	SlowStartFactor      float64                 `json:"FallMultiple"` // work that may be sent to a starting backend, as a multiple of its capacity at that moment; 0: not checked
	SlowStartWindowS     float64                 `json:"FallS"`        // window over which that work is summed
	MembershipTTLS       float64                 `json:"StaleS"`       // how long membership data counts as fresh; 0: not checked
	SlowStartRandomSlack bool                    `json:"ColdChance"`   // withChanceSlack applies in place of SlowStartSlack
	SlowStartSlack       float64                 `json:"ColdSlack"`    // fraction of the slow-start budget that is allowed beyond it
	MinOccasions         map[string]int          `json:"Floors"`       // by rule; a run with fewer does not show that the rule holds
	Overload             bool                    // whether Report.Load is measured
	LoadShedding         *LoadSheddingBounds     `json:"Shed"` // nil: not checked
	Peak                 Peak                    // time of the overload; zero: not known
	MaxLateness          time.Duration           `json:"LateMost"` // of the testbed, beyond which a run is void; 0: no bound
}

// GatewayRange is the gateways that receive an account's requests: Count gateways from index First on, modulo Config.Gateways.
type GatewayRange struct {
	First int
	Count int `json:"Entries"`
}

// Peak is the time in which clients request more work than backends can do.
type Peak struct{ From, To time.Duration }

// LoadSheddingBounds are the bounds that a run under overload has to meet. docs/overload.md gives the reasons.
type LoadSheddingBounds struct {
	MinBoundFraction float64 `json:"Share"`   // Load.Goal over Load.UpperBound
	MinFairness      float64 `json:"Even"`    // Load.Fairness
	MaxRecoveryS     float64 `json:"Back"`    // Load.RecoveryS, seconds
	MaxSpread        float64 `json:"Spread"`  // LevelSpread.Spread
	MaxSwing         float64 `json:"Swing"`   // LevelSpread.Swing
	MaxStarved       float64 `json:"Starved"` // Load.StarvedAccounts over Load.FrequentAccounts
	MaxWasted        float64 `json:"Gone"`    // Load.WastedFraction
}

// DefaultLoadSheddingBounds are the bounds of docs/overload.md with a margin for random variation in single runs of 25 s.
var DefaultLoadSheddingBounds = LoadSheddingBounds{
	MinBoundFraction: 0.78, MinFairness: 0.75, MaxRecoveryS: 5, MaxSpread: 0.45, MaxSwing: 0.7, MaxStarved: 0.2, MaxWasted: 0.1,
}
