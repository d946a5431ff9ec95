package config

import (
	"fmt"

	"eiderspread/internal/decision/loadshed"
)

// Idempotency is whether a class of requests may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	KeyedIdempotent                    // backends within the KeyScope drop repeats, for KeyTTLS
	NonIdempotent                      // must not run twice
)

// KeyScope is the group of backends that drops the repeats of a request with an idempotency key.
type KeyScope int

// The scopes of an idempotency key.
const (
	ScopeAll  KeyScope = iota // all backends
	ScopeZone                 // those of one zone
	ScopeCell                 // those of one cell of a zone
)

// Same reports whether two backends are in one group of the scope.
func (s KeyScope) Same(a, b Backend) bool {
	return s == ScopeAll || a.Zone == b.Zone && (s == ScopeZone || a.Cell == b.Cell)
}

// Class is the configuration of one class of requests. It is stored in trace files under the names of its tags.
type Class struct {
	Name                string      `json:"Name"`
	LatencyObjectiveS   float64     `json:"AimS"`       // seconds, within which an answer earns the full weight
	ObjectiveWorkFactor float64     `json:"AimStretch"` // multiple of the request's own work that is added to the objective
	DeadlineS           float64     `json:"DeadlineS"`  // seconds that a client waits in all, over its retries
	PriorityWeight      float64     `json:"Worth"`      // of a unit, against other classes
	LateWeightFraction  float64     `json:"LateWorth"`  // fraction of the weight that an answer after the objective earns
	Idempotency         Idempotency `json:"Effect"`
	KeyScope            KeyScope    `json:"KeyScope"` // of KeyedIdempotent
	KeyTTLS             float64     `json:"KeyTTLS"`  // seconds from the first attempt that may have run, of KeyedIdempotent
	Stream              bool        `json:"Stream"`   // answers are streamed
}

// Plan is the quota of each account of the plan, over all gateways. It is stored in trace files under the names of its tags.
type Plan struct {
	Name                    string  `json:"Name"`
	Rate                    float64 `json:"Rate"`         // units a second by which the quota's window fills; 0: no such quota
	Burst                   float64 `json:"Burst"`        // units that the window holds
	MaxConcurrency          int     `json:"Parallel"`     // attempts in flight at once; 0: no such quota
	Weight                  float64 `json:"Price"`        // factor on the priority weight of classes
	OverQuotaWeightFraction float64 `json:"ExtraWorth"`   // fraction of the weight that a request earns beyond the quota; not used by decisions
	OverQuotaCostFraction   float64 `json:"ExcessCost"`   // fraction of the weight that a request costs when sent beyond the quota; not used by decisions
	HardLimitRate           float64 `json:"CeilingRate"`  // units a second by which the hard limit's bucket fills; 0: no hard limit
	HardLimitBurst          float64 `json:"CeilingBurst"` // units that the bucket holds
	HardLimitSlack          float64 `json:"CeilingSlack"` // units by which the bucket may be overdrawn; not used by decisions
}

// Settings are a Gateway's configuration. Only classes and MaxAttempts change during its life (WithClasses).
type Settings struct {
	Self     int // number of this gateway, from 0
	Gateways int
	Zone     string
	Classes  []Class
	Plans    []Plan

	MaxRequestUnits   int     // units of the largest request
	UnitsFromResponse bool    // units of a request are an estimate; the OK outcome has the true ones
	PeerMessageRate   float64 // messages a second that a gateway accepts from its peers; 0: no limit

	PeerMessages         bool    // gateways may send each other messages
	ProbesAllowed        bool    // backends may be probed
	CancelAllowed        bool    // attempts may be cancelled
	HedgingAllowed       bool    // two attempts of a request may be in flight at once
	RetryAfterAllowed    bool    // clients get a hint when to retry
	MaxAttempts          int     // of a request; below 1 stands for 1
	MaxRetryAfterS       float64 // seconds, the longest hint that clients heed
	LoadReportInProbe    bool    // backends report their load in answers to probes alone
	LoadReportInResponse bool    // backends report their load in all answers

	ResponseSlackS       float64 // seconds after a client's deadline, within which a final answer still counts
	SlowStartMinFraction float64 // of its capacity, that a backend has at its start at least
	SlowStartS           float64 // seconds from its start, after which a backend has all of its capacity
	CollapseMultiple     float64 // times its present capacity, of which a backend in slow start collapses; not used by decisions
	CollapseWindowS      float64 // seconds, over which that counts

	LoadShedding loadshed.Config // zero: off

	MinBatchIntervalS float64 // seconds between two batches of events, at least; not used by decisions
	CrossZoneCost     float64 // points that an attempt in another zone costs
	WorstPlanWeight   float64 // weight of the plan that is served worst, in the goal; not used by decisions
}

// maxPlans is how many plans a peer message can distinguish.
const maxPlans = 16

// InvalidError says what is wrong with the settings.
type InvalidError struct {
	Setting string // the kind of setting: gateways, me, classes, class or plans, plan
	Problem string
}

// Error is the problem, in words for an operator.
func (e *InvalidError) Error() string { return e.Problem }

func invalid(setting, format string, args ...any) error {
	return &InvalidError{Setting: setting, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidError, or the error of the load-shedding settings, if something is wrong.
func (s Settings) Validate() error {
	switch {
	case s.Gateways < 1:
		return invalid("gateways", "gateways is %d, want 1 at least", s.Gateways)
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
			return invalid("class", "class %q: aim and deadline must be above 0 and worth not below", class.Name)
		}
	}
	for _, plan := range s.Plans {
		if plan.Rate < 0 || plan.Rate > 0 && plan.Burst <= 0 || plan.MaxConcurrency < 0 || plan.HardLimitRate < 0 || plan.Weight < 0 {
			return invalid("plan", "plan %q: rates must not be below 0, and a rate needs a burst", plan.Name)
		}
	}
	return nil
}

// WithClasses returns the settings with other classes and attempts. knownClasses is how many class names are known since the start;
// with the new ones there must be no more than maxClasses. Errors are those of Validate.
func (s Settings) WithClasses(classes []Class, maxAttempts, knownClasses, maxClasses int) (Settings, error) {
	s.Classes, s.MaxAttempts = classes, maxAttempts
	if knownClasses+len(classes) > maxClasses {
		return s, invalid("classes", "%d classes were known since the start, and %d come: too many", knownClasses, len(classes))
	}
	return s, s.Validate()
}
