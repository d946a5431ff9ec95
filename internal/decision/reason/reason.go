// Package reason defines the record of a decision in the decision trace, with its steps and reasons. Both lists are exhaustive, so that
// the counts per reason add up to the number of decisions. Their numbers and names are stored in trace files and don't change. The package
// does no I/O and makes no decisions.
package reason

// Step is the stage of a request, or an owner's reply, that a decision records.
type Step uint8

// The steps of a request, and an owner's replies to quota requests of other gateways.
const (
	StepArrived        Step = iota // a client's request was accepted for processing
	StepQuotaRequested             // the request waits for a reply of the account's owner
	StepQueued                     // the request waits for a backend
	StepSent                       // an attempt was sent
	StepEnded                      // an attempt ended
	StepRejected                   // final answer; the client can retry safely
	StepFailed                     // final answer; a retry may run the request twice
	StepGranted                    // this gateway, as owner, granted units to another gateway
	StepDenied                     // this gateway, as owner, denied units to another gateway
	stepCount
)

// Reason is the reason for a step.
type Reason uint8

// The reasons.
const (
	None                 Reason = iota
	NoPlan                      // the request has no plan, so that no quota applies
	OwnerCount                  // this gateway owns the account, and its window holds the units
	QuotaShare                  // the units fit this gateway's share of the owner's last reply
	StaleReplyFits              // the owner's last reply is stale, but every gateway of the account could admit the units
	NoRateLimit                 // the plan has no rate quota
	Granted                     // the owner granted the units
	LocalWindow                 // the owner does not reply, and the local window holds the units
	Retry                       // a further attempt of the request
	WindowExhausted             // the owner's window does not hold the units
	PriorityReserve             // the rest of the owner's window is reserved for higher priorities, as demand exceeds the rate
	ConcurrencyLimit            // the plan's limit of attempts in flight is reached
	HardLimitLocal              // the hard limit's local bucket does not hold the units
	HardLimitExhausted          // no bucket of the hard limit at this gateway will hold the units in time
	HardLimitUnpaidGrant        // the owner granted the units, but no bucket of the hard limit will hold them in time
	OwnerBackoff                // the owner denied units and requested a backoff that has not ended
	ReplyExhausted              // the owner's last reply is recent and leaves too few units
	ReplyShareTooSmall          // the units exceed this gateway's share of a recent reply
	ReplyStale                  // the owner's last reply is too old to admit the units
	Denied                      // the owner denied the units
	LocalWindowExhausted        // the owner does not reply, and the local window does not hold the units
	OwnerSilent                 // the owner did not reply in time
	AdaptiveLimit               // the adaptive limit of attempts in flight is reached
	NoBackend                   // no backend that is up can take the request
	ObjectiveMissed             // the request can no longer meet its latency objective
	LatestStartPassed           // the request was not written to a backend by its latest start
	AttemptLimit                // the request has had its maximum number of attempts
	MayHaveRun                  // a further attempt could run the request twice
	UnknownClass                // the request's class is not configured
	Prefetched                  // the owner granted the units in advance
	WaitQueue                   // the owner leased no slot for the request in time
	LoadShed                    // the fleet is overloaded and sheds requests of this priority
	reasonCount
)

var stepNames = [stepCount]string{
	StepArrived: "came", StepQuotaRequested: "ask", StepQueued: "queue", StepSent: "send", StepEnded: "back", StepRejected: "refuse",
	StepFailed: "fail", StepGranted: "grant", StepDenied: "turn",
}

var reasonNames = [reasonCount]string{
	None: "none", NoPlan: "no-plan", OwnerCount: "own-count", QuotaShare: "split", StaleReplyFits: "old-word", NoRateLimit: "no-rate",
	Granted: "granted", LocalWindow: "local", Retry: "again", WindowExhausted: "own-room", PriorityReserve: "kept",
	ConcurrencyLimit: "cap", HardLimitLocal: "ceiling-part", HardLimitExhausted: "ceiling-both", HardLimitUnpaidGrant: "ceiling-grant",
	OwnerBackoff: "held", ReplyExhausted: "word-room", ReplyShareTooSmall: "word-small", ReplyStale: "word-stale", Denied: "denied",
	LocalWindowExhausted: "local-room", OwnerSilent: "silent", AdaptiveLimit: "limit", NoBackend: "no-server",
	ObjectiveMissed: "aim-gone", LatestStartPassed: "half-gone", AttemptLimit: "attempts", MayHaveRun: "may-have-run",
	UnknownClass: "no-class", Prefetched: "ahead", WaitQueue: "line", LoadShed: "shed",
}

// String returns the step's name in traces.
func (s Step) String() string {
	if s < stepCount {
		return stepNames[s]
	}
	return "?"
}

// String returns the reason's name in traces.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "?"
}

// Reasons returns all reasons in numerical order.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Decision is the record of one decision. Fields that do not apply are zero.
type Decision struct {
	At                  float64 `cbor:"1,keyasint"` // Unix seconds of the gateway's clock
	Step                Step    `cbor:"2,keyasint"`
	Reason              Reason  `cbor:"3,keyasint,omitempty"`
	ID                  string  `cbor:"4,keyasint,omitempty"` // id of the request
	Account             uint32  `cbor:"5,keyasint,omitempty"` // hash of the account's name
	Class               string  `cbor:"6,keyasint,omitempty"`
	Plan                string  `cbor:"7,keyasint,omitempty"`
	Units               float64 `cbor:"8,keyasint,omitempty"`
	RemainingS          float32 `cbor:"9,keyasint,omitempty"`  // seconds until the client's deadline
	ObjectiveRemainingS float32 `cbor:"10,keyasint,omitempty"` // seconds until the deadline of the latency objective
	MeanLatencyS        float32 `cbor:"11,keyasint,omitempty"` // mean latency of the class, seconds
	ClientRetry         bool    `cbor:"12,keyasint,omitempty"` // the request is classified as a client retry
	Owner               int     `cbor:"13,keyasint,omitempty"` // number of the account's current owner
	PrimaryOwner        int     `cbor:"14,keyasint,omitempty"` // number of the owner when all gateways are reachable
	WindowAvailable     float32 `cbor:"15,keyasint,omitempty"` // units in the window, as known to this gateway
	ReplyAgeS           float32 `cbor:"16,keyasint,omitempty"` // age of the owner's reply with WindowAvailable, seconds; 0 at the owner
	LocalDemand         float32 `cbor:"17,keyasint,omitempty"` // units per second requested at this gateway
	OtherDemand         float32 `cbor:"18,keyasint,omitempty"` // units per second requested at other gateways
	HardLimitLocal      float32 `cbor:"19,keyasint,omitempty"` // units in the hard limit's local bucket
	HardLimitShared     float32 `cbor:"20,keyasint,omitempty"` // units in the hard limit's shared bucket, if this gateway keeps it
	InFlight            int     `cbor:"21,keyasint,omitempty"` // attempts from this gateway: of the account; with StepQueued: of all accounts
	InFlightLimit       float32 `cbor:"22,keyasint,omitempty"` // with StepQueued: this gateway's adaptive limit of attempts in flight
	Attempt             int     `cbor:"23,keyasint,omitempty"` // index of the step's attempt; if the step concerns no single attempt: number of attempts so far
	Backend             string  `cbor:"24,keyasint,omitempty"`
	Status              int     `cbor:"25,keyasint,omitempty"` // with StepEnded: policy.Status of the attempt
	Requester           int     `cbor:"26,keyasint,omitempty"` // with StepGranted and StepDenied: number of the requesting gateway
}
