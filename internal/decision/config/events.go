package config

// BackendState is what the list of backends says of a backend.
type BackendState int

// The states of a backend.
const (
	Up       BackendState = iota
	Draining              // gets no new attempts
	Removed               // no longer listed
)

// Backend is an entry of the list of backends.
type Backend struct {
	ID, Zone  string
	Cell      int // within the zone
	State     BackendState
	Weight    float64
	StartedAt float64 // of its process, in Unix seconds; 0: long ago
}

// Request is a client's request, which gets one final answer. It goes to a successor process under the names of its tags.
type Request struct {
	ID           string  `json:"ID"`
	Class        string  `json:"Class"`
	Plan         string  `json:"Plan"`
	Account      string  `json:"Customer"`
	DeadlineAt   float64 `json:"DeadlineS"` // when the client gives up, in Unix seconds
	FirstGateway int     `json:"First"`     // the account's gateways are GatewayCount ones from this number on, modulo all
	GatewayCount int     `json:"Entries"`   // 0: all
	Units        float64 `json:"Units"`
	Retry        bool    `json:"Retry"` // the client says that it is a retry; carried along, and not used by decisions
}

// Status is how an attempt or a probe ended.
type Status int

// The ways in which an attempt or a probe ends.
const (
	OK            Status = iota
	Error                // the backend answered with an error; may have run
	Rejected             // the backend rejected it before it ran
	Timeout              // no answer in time; may have run
	ConnectFailed        // no connection; did not run
	Reset                // the connection broke; may have run
	Cancelled            // given up; may have run
	NotSent              // never written; did not run
)

// NeverRan reports whether an attempt that ended so has certainly not run at its backend.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// Load is a backend's load report. Values that were not reported are below 0.
type Load struct {
	InFlight    float64 `json:"InFlight"`   // requests being served
	Queue       float64 `json:"Queue"`      // requests waiting
	Utilization float64 `json:"Util"`       // of its cores, 0 to 1
	ServiceMS   float64 `json:"ServiceMS"`  // milliseconds, of recent requests
	ServedPerS  float64 `json:"ServedPerS"` // requests a second
	FailedPerS  float64 `json:"FailedPerS"` // errors a second
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID        string  `json:"ID"` // of the request
	Backend   string  `json:"Server"`
	Attempt   int     `json:"Attempt"` // index among the request's attempts
	Status    Status  `json:"Status"`
	Completed bool    `json:"Over"` // the request needs no answer any more
	LatencyS  float64 `json:"SpentS"`
	Units     float64 `json:"Units"` // the true ones, with Settings.UnitsFromResponse and OK; 0: unknown
	Load      *Load   `json:"Load"`  // nil: no load report
}

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Backend  string
	Status   Status
	LatencyS float64
	Load     *Load // nil: no load report
}
