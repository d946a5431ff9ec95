// Package terms is what a gateway's settings say (classes, plans, limits) and what it is told of requests and servers. Plain values; settings are
// checked; nothing is decided here.
package config

import (
	"fmt"

	"eiderspread/internal/decision/loadshed"
)

// Idempotency tells whether a class of request may run more than once.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may run any number of times
	KeyedIdempotent                    // repeats are dropped by a group of servers for a time
	NonIdempotent                      // must not run twice
)

// KeyScope is the group of servers that drops the repeats of a keyed request.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of request. Times are in seconds.
type Class struct {
	Name                string      `json:"Name"`
	LatencyObjectiveS   float64     `json:"AimS"`       // an answer within this time earns its full worth
	ObjectiveWorkFactor float64     `json:"AimStretch"` // the aim grows by this multiple of the request's own work
	DeadlineS           float64     `json:"DeadlineS"`
	PriorityWeight      float64     `json:"Worth"`
	LateWeightFraction  float64     `json:"LateWorth"` // share of the worth after the aim
	Idempotency         Idempotency `json:"Effect"`
	KeyScope            KeyScope    `json:"KeyScope"`
	KeyTTLS             float64     `json:"KeyTTLS"`
	Stream              bool        `json:"Stream"`
}

// Plan describes the quota that each customer of the plan holds over all gateways.
type Plan struct {
	Name                    string  `json:"Name"`
	Rate                    float64 `json:"Rate"`        // units a second; 0: no such quota
	Burst                   float64 `json:"Burst"`       // the most units the quota holds
	MaxConcurrency          int     `json:"Parallel"`    // attempts out at once; 0: no such quota
	Weight                  float64 `json:"Price"`       // factor on the worth
	OverQuotaWeightFraction float64 `json:"ExtraWorth"`  // share of the worth earned beyond the quota
	OverQuotaCostFraction   float64 `json:"ExcessCost"`  // share of the worth that sending on beyond the quota costs
	HardLimitRate           float64 `json:"CeilingRate"` // 0: no ceiling
	HardLimitBurst          float64 `json:"CeilingBurst"`
	HardLimitSlack          float64 `json:"CeilingSlack"`
}

// Settings are fixed for the life of a Gateway. Times are in seconds.
type Settings struct {
	Self, Gateways int
	Zone           string
	Classes        []Class
	Plans          []Plan

	MaxRequestUnits   int
	UnitsFromResponse bool    // units are a guess, the true ones come with the answer
	PeerMessageRate   float64 // messages a second that a gateway takes in

	PeerMessages, ProbesAllowed, CancelAllowed, HedgingAllowed, RetryAfterAllowed bool
	MaxAttempts                                                                   int
	MaxRetryAfterS                                                                float64
	LoadReportInProbe, LoadReportInResponse                                       bool

	ResponseSlackS, SlowStartMinFraction, SlowStartS, CollapseMultiple, CollapseWindowS float64

	LoadShedding loadshed.Config // off by default

	MinBatchIntervalS float64 // the least time between two batches of events
	CrossZoneCost     float64
	WorstPlanWeight   float64 // weight of the worst-served plan in the goal
}

// Validate tells what is wrong with the settings.
func (s Settings) Validate() error {
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return fmt.Errorf("me is %d, want 0 to %d", s.Self, s.Gateways-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > 16:
		return fmt.Errorf("%d plans given, 16 at most", len(s.Plans))
	}
	if err := s.LoadShedding.Check(); err != nil {
		return err
	}
	for _, class := range s.Classes {
		if !(class.DeadlineS > 0) || !(class.LatencyObjectiveS > 0) || class.PriorityWeight < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", class.Name)
		}
	}
	for _, plan := range s.Plans {
		if plan.Rate < 0 || plan.Rate > 0 && plan.Burst <= 0 || plan.MaxConcurrency < 0 || plan.HardLimitRate < 0 || plan.Weight < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", plan.Name)
		}
	}
	return nil
}

// WithClasses are the settings with other classes and attempts, or what is wrong with them. Of classes so many are known since the start, and at most
// so many may be.
func (s Settings) WithClasses(classes []Class, attempts, known, most int) (Settings, error) {
	s.Classes, s.MaxAttempts = classes, attempts
	if known+len(classes) > most {
		return s, fmt.Errorf("%d classes were known since the start, and %d come: too many", known, len(classes))
	}
	return s, s.Validate()
}

// BackendState is what the list of servers says of a server.
type BackendState int

// The states of a server.
const (
	Up BackendState = iota
	Draining
	Removed
)

// Backend is an entry of the list of servers.
type Backend struct {
	ID, Zone  string
	Cell      int
	State     BackendState
	Weight    float64
	StartedAt float64 // when its process started; 0: long ago
}

// Same tells whether two servers are of one group of the scope: they drop the repeats of the same key.
func (s KeyScope) Same(a, b Backend) bool {
	return s == ScopeAll || a.Zone == b.Zone && (s == ScopeZone || a.Cell == b.Cell)
}

// Request is a client's request that this gateway now owes one final answer.
type Request struct {
	ID           string  `json:"ID"`
	Class        string  `json:"Class"`
	Plan         string  `json:"Plan"`
	Account      string  `json:"Customer"`
	DeadlineAt   float64 `json:"DeadlineS"` // clock time at which the client gives up
	FirstGateway int     `json:"First"`
	GatewayCount int     `json:"Entries"` // the customer's gateways: Entries in a row from First
	Units        float64 `json:"Units"`
	Retry        bool    `json:"Retry"`
}

// Status is the way an attempt or a probe ended.
type Status int

// The ways an attempt ends.
const (
	OK            Status = iota
	Error                // the server answered with an error; may have run
	Rejected             // turned away unseen; did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // never reached the server; did not run
	Reset                // the connection broke; may have run
	Cancelled            // called off; may have run
	NotSent              // not sent
)

// Load is a server's load report. Fields that were not reported are below 0.
type Load struct {
	InFlight    float64 `json:"InFlight"`
	Queue       float64 `json:"Queue"`
	Utilization float64 `json:"Util"`
	ServiceMS   float64 `json:"ServiceMS"`
	ServedPerS  float64 `json:"ServedPerS"`
	FailedPerS  float64 `json:"FailedPerS"`
}

// Outcome ends one attempt. Over tells that the request needs no answer any more.
type Outcome struct {
	ID        string  `json:"ID"`
	Backend   string  `json:"Server"`
	Attempt   int     `json:"Attempt"`
	Status    Status  `json:"Status"`
	Completed bool    `json:"Over"`
	LatencyS  float64 `json:"SpentS"`
	Units     float64 `json:"Units"` // the true units, with UnitsFromResponse and OK
	Load      *Load   `json:"Load"`
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Backend  string
	Status   Status
	LatencyS float64
	Load     *Load
}
