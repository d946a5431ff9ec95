// Package why names what the decision module decides and for which reason. The lists are closed: a table over all reasons adds
// up to all decisions. Records are plain values; the package does no I/O and decides nothing.
package reason

// Step is what was decided, or what came of it.
type Step uint8

// The stepCount of a request, and an owner's answers to other gateways.
const (
	StepArrived        Step = iota // a client's request was taken
	StepQuotaRequested             // it waits for the owner's word
	StepQueued                     // it waits for a server
	StepSent                       // an attempt went out
	StepEnded                      // an attempt ended
	StepRejected                   // final: trying again is harmless
	StepFailed                     // final: promises nothing
	StepGranted                    // this gateway, as owner, set units aside for another one
	StepDenied                     // this gateway, as owner, turned another one's request down
	stepCount
)

// Reason tells why.
type Reason uint8

// The reasons. Those up to Granted let a request in, the others keep it waiting or end it.
const (
	None                 Reason = iota
	NoPlan                      // no quota counts it
	OwnerCount                  // this gateway owns the account, and its count has room
	QuotaShare                  // the units fit this gateway's split of the owner's last word
	StaleReplyFits              // the word is old, and the units fit all the same
	NoRateLimit                 // the plan has no rate
	Granted                     // the owner set the units aside
	LocalWindow                 // nobody answers: they fit this gateway's part alone
	Retry                       // a further attempt
	WindowExhausted             // owner: its count has no room for the units
	PriorityReserve             // owner: the room is kept for dearer classes while demand is over the rate
	ConcurrencyLimit            // so many attempts are out as the plan allows
	HardLimitLocal              // this gateway's part of the ceiling is used up
	HardLimitExhausted          // this gateway's part and the shared part are used up
	HardLimitUnpaidGrant        // the owner granted, but no part of the ceiling pays
	OwnerBackoff                // the owner said no a moment ago and asked for silence
	ReplyExhausted              // the owner's fresh word has no room
	ReplyShareTooSmall          // the units are beyond this gateway's split of a fresh word
	ReplyStale                  // the owner's word is too old to be split
	Denied                      // the owner was asked and said no
	LocalWindowExhausted        // nobody answers, and this gateway's part alone has no room
	OwnerSilent                 // the owner has not answered in time
	AdaptiveLimit               // as much is out at all servers as may be
	NoBackend                   // no server is up with room for it
	ObjectiveMissed             // its aim can't be met any more
	LatestStartPassed           // half of its time is over and nothing was written
	AttemptLimit                // so many attempts were made as are allowed
	MayHaveRun                  // a repeat could run it twice
	UnknownClass                // its class is not known
	Prefetched                  // the owner had set units aside before they were asked for
	WaitQueue                   // no place came free for it in the owner's line
	LoadShed                    // the fleet is asked for more than it can do: it is not this request's turn
	reasonCount
)

var stepNames = [stepCount]string{"came", "ask", "queue", "send", "back", "refuse", "fail", "grant", "turn"}

var reasonNames = [reasonCount]string{"none", "no-plan", "own-count", "split", "old-word", "no-rate", "granted", "local", "again", "own-room", "kept",
	"cap", "ceiling-part", "ceiling-both", "ceiling-grant", "held", "word-room", "word-small", "word-stale", "denied", "local-room", "silent",
	"limit", "no-server", "aim-gone", "half-gone", "attempts", "may-have-run", "no-class", "ahead", "line", "shed"}

// String is the step's name.
func (s Step) String() string {
	if s < stepCount {
		return stepNames[s]
	}
	return "?"
}

// String is the reason's name.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "?"
}

// Reasons are all there are, in their order.
func Reasons() (list []Reason) {
	for r := range reasonCount {
		list = append(list, r)
	}
	return list
}

// Decision is one record. Times are in seconds, At by the gateway's own clock; rooms in units. What does not apply is zero.
type Decision struct {
	At                  float64 `cbor:"1,keyasint"`
	Step                Step    `cbor:"2,keyasint"`
	Reason              Reason  `cbor:"3,keyasint,omitempty"`
	ID                  string  `cbor:"4,keyasint,omitempty"`
	Account             uint32  `cbor:"5,keyasint,omitempty"` // the module's key of the customer, a hash of its name
	Class               string  `cbor:"6,keyasint,omitempty"`
	Plan                string  `cbor:"7,keyasint,omitempty"`
	Units               float64 `cbor:"8,keyasint,omitempty"`
	RemainingS          float32 `cbor:"9,keyasint,omitempty"`  // until the client gives up
	ObjectiveRemainingS float32 `cbor:"10,keyasint,omitempty"` // until an answer earns nothing
	MeanLatencyS        float32 `cbor:"11,keyasint,omitempty"` // that the class is taken to need
	ClientRetry         bool    `cbor:"12,keyasint,omitempty"` // taken for a client's later try
	Owner               int     `cbor:"13,keyasint,omitempty"` // who counts the account, by this gateway's ring
	PrimaryOwner        int     `cbor:"14,keyasint,omitempty"` // who counts it when all are there
	WindowAvailable     float32 `cbor:"15,keyasint,omitempty"` // of the window, as this gateway sees it
	ReplyAgeS           float32 `cbor:"16,keyasint,omitempty"` // of the owner's word that the room is from; 0 at the owner
	LocalDemand         float32 `cbor:"17,keyasint,omitempty"` // units a second asked for here
	OtherDemand         float32 `cbor:"18,keyasint,omitempty"` // and elsewhere
	HardLimitLocal      float32 `cbor:"19,keyasint,omitempty"` // left of this gateway's part of the ceiling
	HardLimitShared     float32 `cbor:"20,keyasint,omitempty"` // left of the shared part, where it is here
	InFlight            int     `cbor:"21,keyasint,omitempty"` // attempts out here: of the account, or of all for Limit and NoBackend
	InFlightLimit       float32 `cbor:"22,keyasint,omitempty"` // attempts that may be out here
	Attempt             int     `cbor:"23,keyasint,omitempty"`
	Backend             string  `cbor:"24,keyasint,omitempty"`
	Status              int     `cbor:"25,keyasint,omitempty"` // of Back: policy.Status
	Requester           int     `cbor:"26,keyasint,omitempty"` // of Grant and Turn: who asked
}
