package oracle

import (
	"time"

	"eiderspread/policy"
)

// The rules, as a Report names them.
const (
	RuleNoRequestLost      = "no request lost"
	RuleOneAnswer          = "one answer"
	RuleAnswerOrder        = "answers in order"
	RuleOneOpenAttempt     = "one attempt out"
	RuleAttemptLimit       = "attempts limited"
	RuleNoDuplicateEffect  = "no effect twice"
	RuleDrain              = "drains kept"
	RuleCordon             = "nodes that operators hold left alone"
	RuleReplacement        = "nothing lost when a program is replaced" // only counts occasions: a loss breaks another rule
	RuleSlowStart          = "cold nodes stand"
	RuleQuota              = "quotas kept"
	RuleQuotaUsable        = "quotas can be used" // rejections for quota's sake stay within the error bound
	RuleMaxConcurrency     = "caps kept"
	RuleHardLimit          = "ceilings kept"
	RuleFreshMembership    = "none on a stale word"
	RuleViewsAgree         = "views equal the truth"
	RuleLoadShedding       = "overload shed as one" // Config.LoadShedding
	RuleDisconnectedClient = "nothing sent for who left"
	RuleDrainEnd           = "a drained ingress lets go of its clients"
	RuleIngressSelfCheck   = "no broken rule counted by an ingress"
)

// RuleNames are all rules, in the order of a report.
var RuleNames = []string{
	RuleNoRequestLost, RuleOneAnswer, RuleAnswerOrder, RuleOneOpenAttempt, RuleAttemptLimit, RuleNoDuplicateEffect, RuleDrain,
	RuleSlowStart, RuleQuota, RuleQuotaUsable, RuleMaxConcurrency, RuleHardLimit, RuleFreshMembership, RuleViewsAgree, RuleCordon,
	RuleReplacement, RuleLoadShedding, RuleDisconnectedClient, RuleDrainEnd, RuleIngressSelfCheck,
}

// Config holds the bounds that Check applies. Fields that end in S are seconds.
type Config struct {
	Classes           []policy.Class
	Plans             []policy.Plan
	DrainGraceS       float64                 `json:"DrainS"`    // for sends after the notice of a drain; deliveryGrace comes on top
	AnswerGraceS      float64                 `json:"AnswerS"`   // for answers after the deadline
	LateRejectionS    float64                 `json:"HeldS"`     // after the deadline, a rejection with no attempt in flight was delayed without need; 0: not checked
	MaxAttempts       int                     `json:"Attempts"`  // per request, that reach backends; 0: not checked
	MaxOverlapS       float64                 `json:"OverlapS"`  // apparent overlap of two attempts, as backends notice an end late
	HardLimitSlackS   float64                 `json:"CeilingS"`  // seconds of the hard limit's rate that are added to its slack
	LargestRequest    float64                 `json:"SlackUnit"` // units
	QuotaSlack        float64                 `json:"Quota"`     // units beyond a quota that are allowed; 0: not checked
	QuotaSlackS       float64                 `json:"QuotaS"`    // seconds of the quota's rate that are added: admitted requests queue for a backend
	Homes             map[string]GatewayRange // by account, whose quota is checked against the error bound; empty: no check
	Gateways          int                     // that Homes refer to
	ConcurrencyFactor float64                 `json:"CapX"`         // of a concurrency limit that may be in flight; 0: not checked
	ClockRate         float64                 `json:"Drift"`        // of the fastest clock, seconds per second; 0 means 1
	SlowStartFactor   float64                 `json:"FallMultiple"` // of a starting backend's capacity that may be sent to it; 0: not checked
	SlowStartWindowS  float64                 `json:"FallS"`        // over which that work is summed
	MembershipTTLS    float64                 `json:"StaleS"`       // for which membership data counts as fresh; 0: not checked
	SlowStartChance   bool                    `json:"ColdChance"`   // withChanceSlack applies in place of SlowStartSlack
	SlowStartSlack    float64                 `json:"ColdSlack"`    // fraction of the slow-start budget that is allowed beyond it
	MinOccasions      map[string]int          `json:"Floors"`       // by rule; a run with fewer shows nothing
	Overload          bool                    // whether Report.Load is measured
	LoadShedding      *LoadSheddingBounds     `json:"Shed"` // nil: not checked
	Peak              Peak                    // the overload; zero: not known
	MaxLateness       time.Duration           `json:"LateMost"` // of the testbed, beyond which a run is void; 0: no bound
}

// GatewayRange is the gateways through which an account's requests come in: Count of them from First on, around the ring.
type GatewayRange struct {
	First int
	Count int `json:"Entries"`
}

// Peak is a time in which clients request more than backends can do.
type Peak struct{ From, To time.Duration }

// LoadSheddingBounds is what a run under overload has to reach. docs/overload.md has the reasons.
type LoadSheddingBounds struct {
	MinBoundFraction float64 `json:"Share"`   // Load.Goal over Load.UpperBound
	MinFairness      float64 `json:"Even"`    // Load.Fairness
	MaxRecoveryS     float64 `json:"Back"`    // Load.RecoveryS, seconds
	MaxSpread        float64 `json:"Spread"`  // LevelSpread.Spread
	MaxSwing         float64 `json:"Swing"`   // LevelSpread.Swing
	MaxStarved       float64 `json:"Starved"` // Load.StarvedAccounts over Load.FrequentAccounts
	MaxWasted        float64 `json:"Gone"`    // Load.WastedFraction
}

// DefaultLoadSheddingBounds are the bounds of docs/overload.md with a margin for chance in single runs of 25 s.
var DefaultLoadSheddingBounds = LoadSheddingBounds{
	MinBoundFraction: 0.78, MinFairness: 0.75, MaxRecoveryS: 5, MaxSpread: 0.45, MaxSwing: 0.7, MaxStarved: 0.2, MaxWasted: 0.1,
}
