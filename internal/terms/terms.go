// Package terms is what a gateway's settings say (classes, plans, limits) and what it is told of requests and servers. Plain values; settings are
// checked; nothing is decided here.
package terms

import (
	"fmt"

	"eiderspread/internal/overload"
)

// Effect tells whether a class of request may run more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped by a group of servers for a time
	Unsafe               // must not run twice
)

// Scope is the group of servers that drops the repeats of a keyed request.
type Scope int

// The scopes of a key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of request. Times are in seconds.
type Class struct {
	Name       string  `json:"Name"`
	AimS       float64 `json:"AimS"`       // an answer within this time earns its full worth
	AimStretch float64 `json:"AimStretch"` // the aim grows by this multiple of the request's own work
	DeadlineS  float64 `json:"DeadlineS"`
	Worth      float64 `json:"Worth"`
	LateWorth  float64 `json:"LateWorth"` // share of the worth after the aim
	Effect     Effect  `json:"Effect"`
	KeyScope   Scope   `json:"KeyScope"`
	KeyTTLS    float64 `json:"KeyTTLS"`
	Stream     bool    `json:"Stream"`
}

// Plan describes the quota that each customer of the plan holds over all gateways.
type Plan struct {
	Name         string  `json:"Name"`
	Rate         float64 `json:"Rate"`        // units a second; 0: no such quota
	Burst        float64 `json:"Burst"`       // the most units the quota holds
	Parallel     int     `json:"Parallel"`    // attempts out at once; 0: no such quota
	Price        float64 `json:"Price"`       // factor on the worth
	ExtraWorth   float64 `json:"ExtraWorth"`  // share of the worth earned beyond the quota
	ExcessCost   float64 `json:"ExcessCost"`  // share of the worth that sending on beyond the quota costs
	CeilingRate  float64 `json:"CeilingRate"` // 0: no ceiling
	CeilingBurst float64 `json:"CeilingBurst"`
	CeilingSlack float64 `json:"CeilingSlack"`
}

// Settings are fixed for the life of a Gateway. Times are in seconds.
type Settings struct {
	Me, Gateways int
	Zone         string
	Classes      []Class
	Plans        []Plan

	MaxUnits   int
	TrueUp     bool    // units are a guess, the true ones come with the answer
	PeerIntake float64 // messages a second that a gateway takes in

	Peers, Probes, Cancel, Parallel, RetryAfter bool
	MaxAttempts                                 int
	MaxRetryAfterS                              float64
	ReportByProbe, ReportByAnswer               bool

	AnswerSlackS, ColdFrom, ColdS, FallMultiple, FallS float64

	Overload overload.Config // off by default

	TickS           float64 // the least time between two batches of events
	CrossZonePrice  float64
	WorstPlanWeight float64 // weight of the worst-served plan in the goal
}

// Check tells what is wrong with the settings.
func (s Settings) Check() error {
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.Gateways)
	case s.Me < 0 || s.Me >= s.Gateways:
		return fmt.Errorf("me is %d, want 0 to %d", s.Me, s.Gateways-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > 16:
		return fmt.Errorf("%d plans given, 16 at most", len(s.Plans))
	}
	if err := s.Overload.Check(); err != nil {
		return err
	}
	for _, c := range s.Classes {
		if !(c.DeadlineS > 0) || !(c.AimS > 0) || c.Worth < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", c.Name)
		}
	}
	for _, p := range s.Plans {
		if p.Rate < 0 || p.Rate > 0 && p.Burst <= 0 || p.Parallel < 0 || p.CeilingRate < 0 || p.Price < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", p.Name)
		}
	}
	return nil
}

// Retuned are the settings with other classes and attempts, or what is wrong with them. Of classes so many are known since the start, and at most
// so many may be.
func (s Settings) Retuned(classes []Class, attempts, known, most int) (Settings, error) {
	s.Classes, s.MaxAttempts = classes, attempts
	if known+len(classes) > most {
		return s, fmt.Errorf("%d classes were known since the start, and %d come: too many", known, len(classes))
	}
	return s, s.Check()
}

// State is what the list of servers says of a server.
type State int

// The states of a server.
const (
	Up State = iota
	Draining
	Removed
)

// Server is an entry of the list of servers.
type Server struct {
	ID, Zone string
	Cell     int
	State    State
	Weight   float64
	SinceS   float64 // when its process started; 0: long ago
}

// Same tells whether two servers are of one group of the scope: they drop the repeats of the same key.
func (s Scope) Same(a, b Server) bool {
	return s == ScopeAll || a.Zone == b.Zone && (s == ScopeZone || a.Cell == b.Cell)
}

// Request is a client's request that this gateway now owes one final answer.
type Request struct {
	ID        string  `json:"ID"`
	Class     string  `json:"Class"`
	Plan      string  `json:"Plan"`
	Customer  string  `json:"Customer"`
	DeadlineS float64 `json:"DeadlineS"` // clock time at which the client gives up
	First     int     `json:"First"`
	Entries   int     `json:"Entries"` // the customer's gateways: Entries in a row from First
	Units     float64 `json:"Units"`
	Retry     bool    `json:"Retry"`
}

// Status is the way an attempt or a probe ended.
type Status int

// The ways an attempt ends.
const (
	OK            Status = iota
	Error                // the server answered with an error; may have run
	Full                 // turned away unseen; did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // never reached the server; did not run
	Reset                // the connection broke; may have run
	Cancelled            // called off; may have run
	Moot                 // not sent
)

// Load is a server's load report. Fields that were not reported are below 0.
type Load struct {
	InFlight   float64 `json:"InFlight"`
	Queue      float64 `json:"Queue"`
	Util       float64 `json:"Util"`
	ServiceMS  float64 `json:"ServiceMS"`
	ServedPerS float64 `json:"ServedPerS"`
	FailedPerS float64 `json:"FailedPerS"`
}

// Outcome ends one attempt. Over tells that the request needs no answer any more.
type Outcome struct {
	ID      string  `json:"ID"`
	Server  string  `json:"Server"`
	Attempt int     `json:"Attempt"`
	Status  Status  `json:"Status"`
	Over    bool    `json:"Over"`
	SpentS  float64 `json:"SpentS"`
	Units   float64 `json:"Units"` // the true units, with TrueUp and OK
	Load    *Load   `json:"Load"`
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Server string
	Status Status
	SpentS float64
	Load   *Load
}
