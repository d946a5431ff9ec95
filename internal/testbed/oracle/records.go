package oracle

import (
	"fmt"
	"time"
)

// Attempt is one request that a backend has read in full, as the backend recorded it. All times count from the start of the
// history.
type Attempt struct {
	ID, Node, Account, Class, Plan string
	Units                          float64       // quota units
	At, End                        time.Duration // received and ended; End 0: still open
	Started                        bool          `json:"Began"`  // the backend began the work
	KnownKey                       bool          `json:"Repeat"` // its idempotency key was known, so that it had no further effect
	Outcome                        string        `json:"How"`    // a node.Fate, such as outcomeServed, or another end, such as that of the connection
	Work                           float64       // core seconds
	Incarnation                    int           `json:"Life"` // of the backend: index in History.Incarnations
	Conn                           string        // address of its connection, the key in History.ConnectionEnds
	AnsweredAt                     time.Duration `json:"Answered"` // the backend wrote its answer; 0: none
}

// The outcomes of attempts that the checker distinguishes.
const (
	outcomeServed   = "served"
	outcomeRejected = "full" // the backend rejected it, with the promise of no effect
	outcomeLate     = "late"
	outcomeCopy     = "copy" // the backend answered twice
)

// MayHaveRun reports whether the sender must assume that the attempt had an effect, even if the backend knows that it had none.
func (a *Attempt) MayHaveRun() bool { return a.Outcome != outcomeRejected }

// served reports whether the backend served the attempt.
func (a *Attempt) served() bool { return a.Outcome == outcomeServed }

// key identifies the request that the attempt belongs to, as Request.key does.
func (a *Attempt) key() string { return a.ID + "/" + a.Account }

// Request is one request of a client. A client's own retry is a request with another ID and the same OriginalID. All times
// count from the start of the history.
type Request struct {
	ID, Account, Class, Plan string
	Forwarder                int
	OriginalID               string        `json:"First"` // ID of the original request; its own ID if it is no retry
	Units                    float64       // quota units
	SentAt                   time.Duration `json:"Sent"`
	Deadline                 time.Duration
	AnsweredAt               time.Duration `json:"Answered"` // 0: never
	Answers                  int           // complete answers that the client read
	Result                   Result
	DisconnectedAt           time.Duration `json:"Left"`    // the client closed the connection; 0: it did not
	BatchIndex               int           `json:"Batch"`   // position among pipelined requests of one connection, from 1; 0: alone
	NotAccepted              bool          `json:"Untaken"` // no forwarder accepted the connection
	Queued                   bool          // admitted, then queued for a backend, where the testbed knows it
	Reason                   int           `json:"Why"` // reason.Reason of a rejection, where the testbed knows it

	resentAt time.Duration // the client sent it once more on a new connection; 0: it did not, or the history was read from a file
}

func (r *Request) key() string { return r.ID + "/" + r.Account }

// resent describes for a violation that the client sent the request once more; "" if it did not. A second attempt of such a request can be
// the forwarder's or the client's.
func (r *Request) resent() string {
	if r == nil || r.resentAt == 0 {
		return ""
	}
	return fmt.Sprintf(", resent by its client at %.3f s", r.resentAt.Seconds())
}

// original reports whether the request is not a client's retry.
func (r *Request) original() bool { return r.ID == r.OriginalID }

// Result is how a request ended for its client.
type Result int

// The results of a request.
const (
	Pending        Result = iota
	Served                // the answer is the request's own value
	Rejected              // -BUSY
	Failed                // any other error
	ConnectionLost        // the connection ended without an answer
	ForeignReply          // the answer is the value of another request
	Disconnected          // the client closed the connection first
)

// Notice is one change of a node's state as an observer was notified of it, or as a source of membership holds it.
type Notice struct {
	Observer    string `json:"Party"` // an ingress, or the name of the source
	Node, State string
	At          time.Duration
	StartMS     int64 `json:"Start"` // start of the node's incarnation, Unix milliseconds; 0: not stated, or any
}

// Outage is a time in which a forwarder was killed or paused, so that clients have to retry its open requests. Also used for
// History.Restarts and History.HotRestarts, in which no request may be lost.
type Outage struct {
	Forwarder int
	From, To  time.Duration
}

// Cordon is a time in which operators cordoned a node at an ingress, from the ingress's confirmation to the uncordon.
type Cordon struct {
	Ingress  string `json:"Party"`
	Node     string
	From, To time.Duration // To 0: it goes on
}

// Incarnation is one run of a backend's process.
type Incarnation struct {
	Node       string
	StartedAt  time.Duration `json:"Started"` // below 0: before the history
	Capacity   float64       // core seconds per second when warm
	WarmUpFrom float64       `json:"ColdFrom"` // fraction of Capacity at the start
	WarmUpS    float64       `json:"ColdS"`    // seconds until Capacity is reached; 0: no warm-up
	CrashedAt  time.Duration `json:"FellAt"`   // 0: it did not crash
}

// warmUpFraction returns the fraction of its capacity that an incarnation of a certain age has.
func (n Incarnation) warmUpFraction(ageS float64) float64 {
	return n.WarmUpFrom + (1-n.WarmUpFrom)*ageS/n.WarmUpS
}

// Fault is a fault that the testbed injected.
type Fault struct {
	At   time.Duration
	What string
}

// ViewCheck is one comparison of all observers' views with the sources, after a fault had ended.
type ViewCheck struct {
	Fault       string        `json:"After"`
	At          time.Duration // end of the fault
	Convergence time.Duration `json:"Took"`  // until all views were equal
	Mismatch    string        `json:"Wrong"` // what did not become equal in time; "": all did
}

// SourceOutage is a time in which an observer could not reach a source of membership.
type SourceOutage struct {
	Observer string `json:"Party"`
	Source   string
	From, To time.Duration // To 0: it goes on
}

// PeerFault is a time in which messages between ingresses were lost.
type PeerFault struct {
	From, To time.Duration // To 0: it goes on
	Sides    int           // sides of a network partition; 0: none
	LossRate float64       `json:"Loss"` // fraction of messages lost
}

// LoadLevels are the load-shedding levels of all ingresses, or hash cells, at one time: 0 to 1 each, below 0 where unknown.
type LoadLevels struct {
	At     time.Duration
	Values []float64 `json:"Of"`
}

// Slowdown is a time in which every backend was slower by a factor.
type Slowdown struct {
	From, To time.Duration // To 0: it goes on
	Factor   float64       `json:"X"`
}

// DrainResult is one drain of an ingress by operators, at the end of the time that they allow.
type DrainResult struct {
	Forwarder       int
	At              time.Duration // end of the allowed time
	OpenConnections []string      `json:"Held"` // clients' connections that are still open against the rule, each with its state
}

// IngressViolations are the rule violations that an ingress detected itself and wrote to its log.
type IngressViolations struct {
	Ingress string   `json:"Party"`
	Lines   []string `json:"Broken"` // of the log
}

// IngressName is the name of a forwarder's ingress in notices, cordons and logs.
func IngressName(forwarder int) string { return fmt.Sprint("f", forwarder) }
