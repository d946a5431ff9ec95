// Package reason names the steps of a decision and the reasons for it, and is the record of one decision. The lists are closed: a
// table over all reasons adds up to all decisions. Numbers and names are stored in trace files and don't change. The package does
// no I/O and decides nothing.
package reason

// Step is what was decided, or what came of it.
type Step uint8

// The steps of a request, and an owner's replies to quota requests of other gateways.
const (
	StepArrived        Step = iota // a client's request was taken
	StepQuotaRequested             // it waits for the account's owner
	StepQueued                     // it waits for a backend
	StepSent                       // an attempt was sent
	StepEnded                      // an attempt ended
	StepRejected                   // final: a retry is harmless
	StepFailed                     // final: promises nothing
	StepGranted                    // this gateway, as owner, granted units to another one
	StepDenied                     // this gateway, as owner, denied units to another one
	stepCount
)

// Reason is why a step was taken.
type Reason uint8

// The reasons.
const (
	None                 Reason = iota
	NoPlan                      // no quota counts the request
	OwnerCount                  // this gateway owns the account, and its window has the units
	QuotaShare                  // the units fit this gateway's share of the owner's last reply
	StaleReplyFits              // the reply is old, and the units fit all the same
	NoRateLimit                 // the plan has no rate
	Granted                     // the owner granted the units
	LocalWindow                 // the owner is silent: the local window has the units
	Retry                       // a further attempt
	WindowExhausted             // the owner's window does not have the units
	PriorityReserve             // the owner's window keeps the rest for higher priorities, while demand is over the rate
	ConcurrencyLimit            // as many attempts are in flight as the plan allows
	HardLimitLocal              // the hard limit's local bucket is empty
	HardLimitExhausted          // the hard limit's local and shared buckets are empty
	HardLimitUnpaidGrant        // the owner granted the units, but no bucket of the hard limit pays
	OwnerBackoff                // the owner denied units a moment ago, with a backoff
	ReplyExhausted              // the owner's last reply is fresh and has no units left
	ReplyShareTooSmall          // the units are beyond this gateway's share of a fresh reply
	ReplyStale                  // the owner's last reply is too old
	Denied                      // the owner denied the units
	LocalWindowExhausted        // the owner is silent, and the local window does not have the units
	OwnerSilent                 // the owner did not reply in time
	AdaptiveLimit               // as many attempts are in flight as the adaptive limit allows
	NoBackend                   // no backend is up that can take it
	ObjectiveMissed             // its latency objective can't be met any more
	LatestStartPassed           // it was not written to a backend by its latest start
	AttemptLimit                // it had as many attempts as are allowed
	MayHaveRun                  // a retry could run it twice
	UnknownClass                // its class is not configured
	Prefetched                  // the owner granted the units in advance
	WaitQueue                   // the owner leased no slot for it in time
	LoadShed                    // the fleet is overloaded, and sheds requests of its priority
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

// String is the step's name in traces.
func (s Step) String() string {
	if s < stepCount {
		return stepNames[s]
	}
	return "?"
}

// String is the reason's name in traces.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "?"
}

// Reasons are all reasons, in their order.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Decision is the record of one decision. What does not apply is zero.
type Decision struct {
	At                  float64 `cbor:"1,keyasint"` // Unix seconds by the gateway's clock
	Step                Step    `cbor:"2,keyasint"`
	Reason              Reason  `cbor:"3,keyasint,omitempty"`
	ID                  string  `cbor:"4,keyasint,omitempty"` // of the request
	Account             uint32  `cbor:"5,keyasint,omitempty"` // hash of the account's name
	Class               string  `cbor:"6,keyasint,omitempty"`
	Plan                string  `cbor:"7,keyasint,omitempty"`
	Units               float64 `cbor:"8,keyasint,omitempty"`
	RemainingS          float32 `cbor:"9,keyasint,omitempty"`  // seconds until the client gives up
	ObjectiveRemainingS float32 `cbor:"10,keyasint,omitempty"` // seconds until the latency objective is missed
	MeanLatencyS        float32 `cbor:"11,keyasint,omitempty"` // seconds that the class is expected to take
	ClientRetry         bool    `cbor:"12,keyasint,omitempty"` // taken for the client's own retry
	Owner               int     `cbor:"13,keyasint,omitempty"` // gateway that counts the account
	PrimaryOwner        int     `cbor:"14,keyasint,omitempty"` // gateway that counts it when all are reachable
	WindowAvailable     float32 `cbor:"15,keyasint,omitempty"` // units in the window, as this gateway knows it
	ReplyAgeS           float32 `cbor:"16,keyasint,omitempty"` // seconds since the owner's reply that this is from; 0 at the owner
	LocalDemand         float32 `cbor:"17,keyasint,omitempty"` // units a second that arrive here
	OtherDemand         float32 `cbor:"18,keyasint,omitempty"` // units a second that arrive at other gateways
	HardLimitLocal      float32 `cbor:"19,keyasint,omitempty"` // units in the hard limit's local bucket
	HardLimitShared     float32 `cbor:"20,keyasint,omitempty"` // units in its shared bucket, where that is kept here
	InFlight            int     `cbor:"21,keyasint,omitempty"` // attempts from here: of the account, or with StepQueued of all
	InFlightLimit       float32 `cbor:"22,keyasint,omitempty"` // attempts that may be in flight from here, with StepQueued
	Attempt             int     `cbor:"23,keyasint,omitempty"` // index of the attempt, or how many there were
	Backend             string  `cbor:"24,keyasint,omitempty"`
	Status              int     `cbor:"25,keyasint,omitempty"` // of StepEnded: policy.Status
	Requester           int     `cbor:"26,keyasint,omitempty"` // of StepGranted and StepDenied: the other gateway
}
