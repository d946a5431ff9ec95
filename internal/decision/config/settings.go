package config

import (
	"fmt"

	"eiderspread/internal/decision/loadshed"
)

// Idempotency specifies whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	KeyedIdempotent                    // backends in the KeyScope drop repeated requests for KeyTTLS
	NonIdempotent                      // must not run twice
)

// KeyScope is the group of backends within which repeats of a request with an idempotency key are dropped.
type KeyScope int

// The scopes of an idempotency key.
const (
	ScopeAll  KeyScope = iota // all backends
	ScopeZone                 // the backends of one zone
	ScopeCell                 // the backends of one cell of a zone
)

// Same reports whether two backends are in the same group of the scope.
func (s KeyScope) Same(a, b Backend) bool {
	return s == ScopeAll || a.Zone == b.Zone && (s == ScopeZone || a.Cell == b.Cell)
}

// Class is the configuration of one class of requests. It is stored in trace files under the names of its tags.
type Class struct {
	Name                string      `json:"Name"`
	LatencyObjectiveS   float64     `json:"AimS"`       // latency up to which an answer earns the full weight, seconds
	ObjectiveWorkFactor float64     `json:"AimStretch"` // multiple of the request's own work, in seconds, that is added to the objective
	DeadlineS           float64     `json:"DeadlineS"`  // total time that a client waits, including its retries, seconds
	PriorityWeight      float64     `json:"Worth"`      // weight of a unit relative to other classes
	LateWeightFraction  float64     `json:"LateWorth"`  // fraction of the weight that an answer after the objective earns
	Idempotency         Idempotency `json:"Effect"`
	KeyScope            KeyScope    `json:"KeyScope"` // scope of the key, for KeyedIdempotent
	KeyTTLS             float64     `json:"KeyTTLS"`  // seconds from the first attempt that may have run, for KeyedIdempotent
	Stream              bool        `json:"Stream"`   // backends stream their answers
}

// Plan is the quota of each account of the plan, over all gateways. It is stored in trace files under the names of its tags.
type Plan struct {
	Name                    string  `json:"Name"`
	Rate                    float64 `json:"Rate"`         // units per second by which the quota's window refills; 0: no rate quota
	Burst                   float64 `json:"Burst"`        // capacity of the window in units
	MaxConcurrency          int     `json:"Parallel"`     // maximum number of attempts in flight; 0: no concurrency quota
	Weight                  float64 `json:"Price"`        // factor on the priority weight of classes
	OverQuotaWeightFraction float64 `json:"ExtraWorth"`   // fraction of the weight earned beyond the quota; not used by decisions
	OverQuotaCostFraction   float64 `json:"ExcessCost"`   // fraction of the weight that a request sent beyond it costs; not used by decisions
	HardLimitRate           float64 `json:"CeilingRate"`  // units per second by which the hard limit's bucket refills; 0: no hard limit
	HardLimitBurst          float64 `json:"CeilingBurst"` // capacity of the bucket in units
	HardLimitSlack          float64 `json:"CeilingSlack"` // units by which the bucket may be overdrawn; not used by decisions
}

// Settings is the configuration of a gateway. Only Classes and MaxAttempts change while the gateway runs (WithClasses).
type Settings struct {
	Self     int // number of this gateway, from 0
	Gateways int // number of gateways in the fleet
	Zone     string
	Classes  []Class
	Plans    []Plan

	MaxAccounts       int     // highest number of accounts that requests may add; 0: no limit
	MaxRequestUnits   int     // units of the largest request
	UnitsFromResponse bool    // a request's units are an estimate; an outcome with status OK carries the actual units
	PeerMessageRate   float64 // messages per second that a gateway accepts from its peers; 0: no limit

	TimedIncarnation     bool    // the incarnation in peer messages follows the time of the start, for processes that read one clock
	PeerMessages         bool    // gateways may exchange peer messages
	ProbesAllowed        bool    // backends may be probed
	CancelAllowed        bool    // attempts may be cancelled
	HedgingAllowed       bool    // two attempts of a request may be in flight at once
	RetryAfterAllowed    bool    // rejected clients receive a Retry-After hint
	MaxAttempts          int     // maximum number of attempts of a request; below 1 counts as 1
	MaxRetryAfterS       float64 // longest Retry-After hint that clients honour, seconds
	LoadReportInProbe    bool    // backends report their load in answers to probes only
	LoadReportInResponse bool    // backends report their load in all answers

	ResponseSlackS       float64 // time after a client's deadline within which a final answer still counts, seconds
	SlowStartMinFraction float64 // minimum fraction of its capacity that a backend has at its start
	SlowStartS           float64 // time after its start at which a backend has its full capacity, seconds
	CollapseMultiple     float64 // multiple of its current capacity beyond which a backend in slow start collapses; not used by decisions
	CollapseWindowS      float64 // period over which the work sent to a backend is added up for CollapseMultiple, seconds

	LoadShedding loadshed.Config // zero value: off

	MinBatchIntervalS float64 // minimum time between two batches of events, seconds; not used by decisions
	CrossZoneCost     float64 // score points that an attempt in another zone costs
	WorstPlanWeight   float64 // weight of the worst-served plan in the score; not used by decisions
}

// maxPlans is the number of plans that a peer message can distinguish.
const maxPlans = 16

// InvalidError reports an invalid setting.
type InvalidError struct {
	Setting string // the kind of setting: gateways, me, classes, class or plans, plan
	Problem string
}

// Error returns the problem in words for an operator.
func (e *InvalidError) Error() string { return e.Problem }

func invalid(setting, format string, args ...any) error {
	return &InvalidError{Setting: setting, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidError, or the error of loadshed.Config.Check, if a setting is invalid.
func (s Settings) Validate() error {
	switch {
	case s.Gateways < 1:
		return invalid("gateways", "gateways is %d, want at least 1", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return invalid("me", "me is %d, want 0 to %d", s.Self, s.Gateways-1)
	case len(s.Classes) == 0:
		return invalid("classes", "no classes given")
	case len(s.Plans) > maxPlans:
		return invalid("plans", "%d plans given, %d at most", len(s.Plans), maxPlans)
	}
	if err := s.LoadShedding.Check(); err != nil {
		return err
	}
	for _, class := range s.Classes {
		if !(class.DeadlineS > 0) || !(class.LatencyObjectiveS > 0) || class.PriorityWeight < 0 {
			return invalid("class", "class %q: aim and deadline must be above 0, and worth must not be below 0", class.Name)
		}
	}
	for _, plan := range s.Plans {
		if plan.Rate < 0 || plan.Rate > 0 && plan.Burst <= 0 || plan.MaxConcurrency < 0 || plan.HardLimitRate < 0 || plan.Weight < 0 {
			return invalid("plan", "plan %q: rates must not be below 0, and a rate needs a burst", plan.Name)
		}
	}
	return nil
}

// WithClasses returns the settings with replaced classes and MaxAttempts. knownClasses is the number of class names seen since the start.
// It returns an *InvalidError if knownClasses and the number of new classes add up to more than maxClasses, or the error of Validate.
func (s Settings) WithClasses(classes []Class, maxAttempts, knownClasses, maxClasses int) (Settings, error) {
	s.Classes, s.MaxAttempts = classes, maxAttempts
	if knownClasses+len(classes) > maxClasses {
		return s, invalid("classes", "%d classes known since the start and %d new ones, want at most %d", knownClasses, len(classes), maxClasses)
	}
	return s, s.Validate()
}
