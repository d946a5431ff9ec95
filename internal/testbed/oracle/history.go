// Package oracle is the testbed's invariant checker: a History of what backends, clients and discovery saw, and an Audit that
// holds the rules against it. It knows nothing of how forwarders, planners and ingresses work, nor whether time was real.
package oracle

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Attempt is one command that came whole to a node, as the node recorded it.
type Attempt struct {
	ID, Node, Account, Class, Plan string
	Units                          float64
	At, End                        time.Duration // since the start of the history; End 0: still open
	Started                        bool          `json:"Began"`  // its work was begun; its key was known, so that it had no effect
	KnownKey                       bool          `json:"Repeat"` // its work was begun; its key was known, so that it had no effect
	Outcome                        string        `json:"How"`    // served, full, gone, ... : a node.Fate, or how it ended without
	Work                           float64       // seconds of a core that it stands for
	Incarnation                    int           `json:"Life"` // of the node: place in History.Lives
	Conn                           string        // it came on, for ConnectionEnds
	AnsweredAt                     time.Duration `json:"Answered"` // the node's answer was written; 0: none was
}

// MayHaveRun tells what whoever sent it must take for possible, whatever the node knows.
func (a *Attempt) MayHaveRun() bool { return a.Outcome != "full" }

// Request is one request of a client.
type Request struct {
	ID, Account, Class, Plan string
	Forwarder                int
	OriginalID               string `json:"First"` // the first try's ID, its own for a first one
	Units                    float64
	SentAt                   time.Duration `json:"Sent"`
	Deadline                 time.Duration
	AnsweredAt               time.Duration `json:"Answered"` // 0: never
	Answers                  int           // whole answers that were read for it
	Result                   Result
	DisconnectedAt           time.Duration `json:"Left"`    // the client hung up, 0: it did not
	BatchIndex               int           `json:"Batch"`   // place in a batch on one connection, from 1; 0: it was alone
	NotAccepted              bool          `json:"Untaken"` // nobody took its connection
	Queued                   bool          // it was let in and waited for a server, where the laboratory was told
	Reason                   int           `json:"Why"` // the module's why.Reason for a refusal, where the laboratory was told
}

func (t *Request) key() string { return t.ID + "/" + t.Account }

// Result is how a try ended for its client.
type Result int

// The ways in which a try ends.
const (
	Pending        Result = iota
	Served                // with its own value
	Rejected              // -BUSY
	Failed                // any other error
	ConnectionLost        // the connection ended without an answer
	ForeignReply          // a value that is not its own
	Disconnected          // its client had hung up
)

// Notice is one change of a node's state as it was written to one party.
type Notice struct {
	Party, Node, State string
	At                 time.Duration
	StartMS            int64 `json:"Start"` // of the node, Unix milliseconds; 0: not said, or any
}

// Outage is a time in which a forwarder was killed or paused: what it held is its clients' to try again.
type Outage struct {
	Forwarder int
	From, To  time.Duration
}

// Cordon is a time in which operators held a node at a party, from that one's yes to the call back.
type Cordon struct {
	Party, Node string
	From, To    time.Duration // To 0: it goes on
}

// Incarnation is one life of a node.
type Incarnation struct {
	Node       string
	StartedAt  time.Duration `json:"Started"` // below 0: long ago
	Capacity   float64       // seconds of a core that it does in a second when warm
	WarmUpFrom float64       `json:"ColdFrom"`
	WarmUpS    float64       `json:"ColdS"`
	CrashedAt  time.Duration `json:"FellAt"` // 0: it did not
}

// Fault is something that the laboratory did.
type Fault struct {
	At   time.Duration
	What string
}

// History is what nodes, clients and the roster saw. All of it is kept: a run is bounded in time.
type History struct {
	mu                sync.Mutex
	clock             func() time.Duration
	Attempts          []*Attempt
	Requests          []*Request     `json:"Tries"`
	Notices           []Notice       `json:"Told"`
	SourceStates      []Notice       `json:"True"`  // what sources of membership hold, by source in place of the party
	ViewChecks        []ViewCheck    `json:"Views"` // comparisons of what parties see with what sources hold
	SourceOutages     []SourceOutage `json:"Blind"` // when parties could hear nothing of a source
	Outages           []Outage
	Restarts          []Outage
	PeerFaults        []PeerFault `json:"Peers"`
	Replacements      []Outage    `json:"Replaced"`  // programs replaced beside themselves: nothing may be lost by it
	Cordons           []Cordon    `json:"HeldNodes"` // of nodes by operators
	Faults            []Fault
	Incarnations      []Incarnation              `json:"Lives"`
	ConnectionEnds    map[string][]time.Duration `json:"ConnEnds"` // when whoever sent on a connection ended it, which the node may not see; by its address, in order
	Ended             time.Duration              // when recording ended, 0: it goes on
	LoadLevels        []LoadLevels               `json:"Levels"`  // of overload
	Slowdowns         []Slowdown                 `json:"Slows"`   // of all nodes
	DrainResults      []DrainResult              `json:"Emptied"` // drains of ingresses by operators
	IngressViolations []IngressViolations        `json:"Counted"` // by ingresses, of rules that they broke
	MaxLateness       time.Duration              `json:"Late"`    // the worst lateness of the laboratory itself
}

// NewHistory starts an empty history by the machine's clock.
func NewHistory() *History {
	start := time.Now()
	return NewHistoryWithClock(func() time.Duration { return time.Since(start) })
}

// ResetClock counts time from 0 again, before anything but lives of nodes was recorded.
func (h *History) ResetClock() {
	start := time.Now()
	h.locked(func() { h.clock = func() time.Duration { return time.Since(start) } })
}

// NewHistoryWithClock starts an empty history by another clock, which counts from 0.
func NewHistoryWithClock(clock func() time.Duration) *History {
	return &History{clock: clock, ConnectionEnds: map[string][]time.Duration{}}
}

// Now is the time since the history's start.
func (h *History) Now() time.Duration {
	if h.clock == nil {
		return h.Ended
	}
	return h.clock()
}

func (h *History) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// AddIncarnation records the start of a node and returns its place.
func (h *History) AddIncarnation(l Incarnation) (n int) {
	h.locked(func() {
		n = len(h.Incarnations)
		h.Incarnations = append(h.Incarnations, l)
	})
	return n
}

// IncarnationCrashed records that a node fell over.
func (h *History) IncarnationCrashed(life int) {
	h.locked(func() { h.Incarnations[life].CrashedAt = h.Now() })
}

// AttemptReceived records an attempt whose last byte has come now.
func (h *History) AttemptReceived(attempt *Attempt) {
	h.locked(func() {
		attempt.At = h.Now()
		h.Attempts = append(h.Attempts, attempt)
	})
}

// AttemptStarted records that an attempt's work was begun.
func (h *History) AttemptStarted(attempt *Attempt, work float64, repeat bool) {
	h.locked(func() { attempt.Started, attempt.KnownKey, attempt.Work = true, repeat, work })
}

// SetAttemptWork records the work that an attempt stands for.
func (h *History) SetAttemptWork(attempt *Attempt, work float64) {
	h.locked(func() { attempt.Work = work })
}

// AttemptAnswered records that a node has written its answer.
func (h *History) AttemptAnswered(attempt *Attempt) {
	h.locked(func() { attempt.AnsweredAt = h.Now() })
}

// AttemptEnded records the end of an attempt at its node.
func (h *History) AttemptEnded(attempt *Attempt, how string) {
	h.locked(func() { attempt.End, attempt.Outcome = h.Now(), how })
}

// ConnectionEnded records that whoever sent on a connection has ended it.
func (h *History) ConnectionEnded(conn string) {
	h.locked(func() { h.ConnectionEnds[conn] = append(h.ConnectionEnds[conn], h.Now()) })
}

// NodeNotified records that a party was told of a node's state.
func (h *History) NodeNotified(party, node, state string) { h.NodeStartNotified(party, node, state, 0) }

// NodeStartNotified is Tell of one start of a node.
func (h *History) NodeStartNotified(party, node, state string, start int64) {
	h.locked(func() { h.Notices = append(h.Notices, Notice{party, node, state, h.Now(), start}) })
}

// SetCordon records that operators hold a node at a party from now on, or do not any more.
func (h *History) SetCordon(party, node string, on bool) {
	h.locked(func() {
		if on {
			h.Cordons = append(h.Cordons, Cordon{Party: party, Node: node, From: h.Now()})
			return
		}
		for i := range h.Cordons {
			if x := &h.Cordons[i]; x.Party == party && x.Node == node && x.To == 0 {
				x.To = h.Now()
			}
		}
	})
}

// AddReplacement records that a forwarder's program was replaced beside itself.
func (h *History) AddReplacement(f int, from, to time.Duration) {
	h.locked(func() { h.Replacements = append(h.Replacements, Outage{f, from, to}) })
}

// ViewCheck is one comparison of all parties' views with the truth, after a fault was mended.
type ViewCheck struct {
	Fault       string        `json:"After"` // the fault
	At          time.Duration // of its end
	Convergence time.Duration `json:"Took"`  // until all were equal
	Mismatch    string        `json:"Wrong"` // what did not come to be equal in time, "" if all did
}

// AddViewCheck records a comparison.
func (h *History) AddViewCheck(v ViewCheck) {
	h.locked(func() { h.ViewChecks = append(h.ViewChecks, v) })
}

// SourceOutage is a time in which a party could hear nothing of a source.
type SourceOutage struct {
	Party, Source string
	From, To      time.Duration // To 0: it goes on
}

// SourceChanged records that a source holds a node to stand so from now on.
func (h *History) SourceChanged(source, node, state string, start int64) {
	h.locked(func() { h.SourceStates = append(h.SourceStates, Notice{source, node, state, h.Now(), start}) })
}

// BeginSourceOutage records that parties can hear nothing of a source from now on, until the function that it returns is called.
func (h *History) BeginSourceOutage(source string, parties []string) (end func()) {
	from := 0
	h.locked(func() {
		from = len(h.SourceOutages)
		for _, p := range parties {
			h.SourceOutages = append(h.SourceOutages, SourceOutage{p, source, h.Now(), 0})
		}
	})
	return func() {
		h.locked(func() {
			for i := range parties {
				h.SourceOutages[from+i].To = h.Now()
			}
		})
	}
}

// KnownNodes are the nodes that a party was told of and that are not gone as far as it knows, with the start of each.
func (h *History) KnownNodes(party string) map[string]int64 {
	last := map[string]int64{}
	h.locked(func() {
		for _, t := range h.Notices {
			if t.Party != party {
				continue
			}
			if last[t.Node] = t.StartMS; t.State == "terminated" {
				delete(last, t.Node)
			}
		}
	})
	return last
}

// LastStates is the state of each node as a party was last told it.
func (h *History) LastStates(party string) map[string]string {
	last := map[string]string{}
	h.locked(func() {
		for _, t := range h.Notices {
			if t.Party == party {
				last[t.Node] = t.State
			}
		}
	})
	return last
}

// RequestSent records a try.
func (h *History) RequestSent(request *Request) {
	h.locked(func() { h.Requests = append(h.Requests, request) })
}

// RequestAnswered records a whole answer, or with Broken the end of the connection, with Left that the client hung up.
func (h *History) RequestAnswered(request *Request, r Result) {
	h.locked(func() {
		if r != ConnectionLost && r != Disconnected {
			request.Answers++
		}
		if request.Result == Pending {
			request.Result = r
			request.AnsweredAt = h.Now()
			if r == Disconnected {
				request.DisconnectedAt = request.AnsweredAt
			}
		}
	})
}

// HasResult tells whether a try stands so by now.
func (h *History) HasResult(request *Request, r Result) (is bool) {
	h.locked(func() { is = request.Result == r })
	return is
}

// AddRestart records that a forwarder was ended in order and came back: it owes what it had taken all the same, but is told
// the list of nodes anew.
func (h *History) AddRestart(f int, from, to time.Duration) {
	h.locked(func() { h.Restarts = append(h.Restarts, Outage{f, from, to}) })
}

// AddFault records something that the laboratory did.
func (h *History) AddFault(what string) {
	h.locked(func() { h.Faults = append(h.Faults, Fault{h.Now(), what}) })
}

// AddOutage records that a forwarder was down.
func (h *History) AddOutage(f int, from, to time.Duration) {
	h.locked(func() { h.Outages = append(h.Outages, Outage{f, from, to}) })
}

// ObserveLateness records how late the laboratory itself was.
func (h *History) ObserveLateness(d time.Duration) {
	h.locked(func() { h.MaxLateness = max(h.MaxLateness, d) })
}

// Lock stops the recording for as long as an auditor reads.
func (h *History) Lock() func() {
	h.mu.Lock()
	return h.mu.Unlock
}

// PartyName is the roster's name of a forwarder.
func PartyName(forwarder int) string { return fmt.Sprint("f", forwarder) }

// record is what a file holds: all that it takes to judge a run again.
type record struct {
	Rules   Config
	History *History
}

// WriteHistory keeps a run for Read.
func WriteHistory(w io.Writer, h *History, cfg Config) error {
	defer h.Lock()()
	h.Ended = h.Now()
	return json.NewEncoder(w).Encode(record{cfg, h})
}

// ReadHistory takes back what Write kept.
func ReadHistory(r io.Reader) (*History, Config, error) {
	rec := record{History: &History{}}
	if err := json.NewDecoder(r).Decode(&rec); err != nil {
		return nil, Config{}, fmt.Errorf("history: %w", err)
	}
	return rec.History, rec.Rules, nil
}
