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
	Began, Repeat                  bool          // its work was begun; its key was known, so that it had no effect
	How                            string        // served, full, gone, ... : a node.Fate, or how it ended without
	Work                           float64       // seconds of a core that it stands for
	Life                           int           // of the node: place in History.Lives
	Conn                           string        // it came on, for ConnEnds
	Answered                       time.Duration // the node's answer was written; 0: none was
}

// MayHaveRun tells what whoever sent it must take for possible, whatever the node knows.
func (a *Attempt) MayHaveRun() bool { return a.How != "full" }

// Try is one request of a client.
type Try struct {
	ID, Account, Class, Plan string
	Forwarder                int
	First                    string // the first try's ID, its own for a first one
	Units                    float64
	Sent, Deadline           time.Duration
	Answered                 time.Duration // 0: never
	Answers                  int           // whole answers that were read for it
	Result                   Result
	Left                     time.Duration // the client hung up, 0: it did not
	Batch                    int           // place in a batch on one connection, from 1; 0: it was alone
	Untaken                  bool          // nobody took its connection
	Queued                   bool          // it was let in and waited for a server, where the laboratory was told
	Why                      int           // the module's why.Reason for a refusal, where the laboratory was told
}

func (t *Try) key() string { return t.ID + "/" + t.Account }

// Result is how a try ended for its client.
type Result int

// The ways in which a try ends.
const (
	Open    Result = iota
	Served         // with its own value
	Refused        // -BUSY
	Failed         // any other error
	Broken         // the connection ended without an answer
	Alien          // a value that is not its own
	Left           // its client had hung up
)

// Told is one change of a node's state as it was written to one party.
type Told struct {
	Party, Node, State string
	At                 time.Duration
	Start              int64 // of the node, Unix milliseconds; 0: not said, or any
}

// Outage is a time in which a forwarder was killed or paused: what it held is its clients' to try again.
type Outage struct {
	Forwarder int
	From, To  time.Duration
}

// Hold is a time in which operators held a node at a party, from that one's yes to the call back.
type Hold struct {
	Party, Node string
	From, To    time.Duration // To 0: it goes on
}

// Life is one life of a node.
type Life struct {
	Node     string
	Started  time.Duration // below 0: long ago
	Capacity float64       // seconds of a core that it does in a second when warm
	ColdFrom float64
	ColdS    float64
	FellAt   time.Duration // 0: it did not
}

// Fault is something that the laboratory did.
type Fault struct {
	At   time.Duration
	What string
}

// History is what nodes, clients and the roster saw. All of it is kept: a run is bounded in time.
type History struct {
	mu        sync.Mutex
	clock     func() time.Duration
	Attempts  []*Attempt
	Tries     []*Try
	Told      []Told
	True      []Told  // what sources of membership hold, by source in place of the party
	Views     []View  // comparisons of what parties see with what sources hold
	Blind     []Blind // when parties could hear nothing of a source
	Outages   []Outage
	Restarts  []Outage
	Peers     []PeerTrouble
	Replaced  []Outage // programs replaced beside themselves: nothing may be lost by it
	HeldNodes []Hold   // of nodes by operators
	Faults    []Fault
	Lives     []Life
	ConnEnds  map[string][]time.Duration // when whoever sent on a connection ended it, which the node may not see; by its address, in order
	Ended     time.Duration              // when recording ended, 0: it goes on
	Levels    []Levels                   // of overload
	Slows     []Slowed                   // of all nodes
	Emptied   []Emptied                  // drains of ingresses by operators
	Counted   []Count                    // by ingresses, of rules that they broke
	Late      time.Duration              // the worst lateness of the laboratory itself
}

// New starts an empty history by the machine's clock.
func New() *History {
	start := time.Now()
	return NewAt(func() time.Duration { return time.Since(start) })
}

// Again counts time from 0 again, before anything but lives of nodes was recorded.
func (h *History) Again() {
	start := time.Now()
	h.do(func() { h.clock = func() time.Duration { return time.Since(start) } })
}

// NewAt starts an empty history by another clock, which counts from 0.
func NewAt(clock func() time.Duration) *History {
	return &History{clock: clock, ConnEnds: map[string][]time.Duration{}}
}

// Now is the time since the history's start.
func (h *History) Now() time.Duration {
	if h.clock == nil {
		return h.Ended
	}
	return h.clock()
}

func (h *History) do(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// Life records the start of a node and returns its place.
func (h *History) Life(l Life) (n int) {
	h.do(func() {
		n = len(h.Lives)
		h.Lives = append(h.Lives, l)
	})
	return n
}

// Fell records that a node fell over.
func (h *History) Fell(life int) { h.do(func() { h.Lives[life].FellAt = h.Now() }) }

// Came records an attempt whose last byte has come now.
func (h *History) Came(a *Attempt) {
	h.do(func() {
		a.At = h.Now()
		h.Attempts = append(h.Attempts, a)
	})
}

// Began records that an attempt's work was begun.
func (h *History) Began(a *Attempt, work float64, repeat bool) {
	h.do(func() { a.Began, a.Repeat, a.Work = true, repeat, work })
}

// Weighed records the work that an attempt stands for.
func (h *History) Weighed(a *Attempt, work float64) { h.do(func() { a.Work = work }) }

// Wrote records that a node has written its answer.
func (h *History) Wrote(a *Attempt) { h.do(func() { a.Answered = h.Now() }) }

// Done records the end of an attempt at its node.
func (h *History) Done(a *Attempt, how string) { h.do(func() { a.End, a.How = h.Now(), how }) }

// ConnEnd records that whoever sent on a connection has ended it.
func (h *History) ConnEnd(conn string) {
	h.do(func() { h.ConnEnds[conn] = append(h.ConnEnds[conn], h.Now()) })
}

// Tell records that a party was told of a node's state.
func (h *History) Tell(party, node, state string) { h.TellOf(party, node, state, 0) }

// TellOf is Tell of one start of a node.
func (h *History) TellOf(party, node, state string, start int64) {
	h.do(func() { h.Told = append(h.Told, Told{party, node, state, h.Now(), start}) })
}

// Hold records that operators hold a node at a party from now on, or do not any more.
func (h *History) Hold(party, node string, on bool) {
	h.do(func() {
		if on {
			h.HeldNodes = append(h.HeldNodes, Hold{Party: party, Node: node, From: h.Now()})
			return
		}
		for i := range h.HeldNodes {
			if x := &h.HeldNodes[i]; x.Party == party && x.Node == node && x.To == 0 {
				x.To = h.Now()
			}
		}
	})
}

// Replace records that a forwarder's program was replaced beside itself.
func (h *History) Replace(f int, from, to time.Duration) {
	h.do(func() { h.Replaced = append(h.Replaced, Outage{f, from, to}) })
}

// View is one comparison of all parties' views with the truth, after a fault was mended.
type View struct {
	After string        // the fault
	At    time.Duration // of its end
	Took  time.Duration // until all were equal
	Wrong string        // what did not come to be equal in time, "" if all did
}

// Compared records a comparison.
func (h *History) Compared(v View) { h.do(func() { h.Views = append(h.Views, v) }) }

// Blind is a time in which a party could hear nothing of a source.
type Blind struct {
	Party, Source string
	From, To      time.Duration // To 0: it goes on
}

// Holds records that a source holds a node to stand so from now on.
func (h *History) Holds(source, node, state string, start int64) {
	h.do(func() { h.True = append(h.True, Told{source, node, state, h.Now(), start}) })
}

// Blinded records that parties can hear nothing of a source from now on, until the function that it returns is called.
func (h *History) Blinded(source string, parties []string) (end func()) {
	from := 0
	h.do(func() {
		from = len(h.Blind)
		for _, p := range parties {
			h.Blind = append(h.Blind, Blind{p, source, h.Now(), 0})
		}
	})
	return func() {
		h.do(func() {
			for i := range parties {
				h.Blind[from+i].To = h.Now()
			}
		})
	}
}

// ToldOf are the nodes that a party was told of and that are not gone as far as it knows, with the start of each.
func (h *History) ToldOf(party string) map[string]int64 {
	last := map[string]int64{}
	h.do(func() {
		for _, t := range h.Told {
			if t.Party != party {
				continue
			}
			if last[t.Node] = t.Start; t.State == "terminated" {
				delete(last, t.Node)
			}
		}
	})
	return last
}

// LastTold is the state of each node as a party was last told it.
func (h *History) LastTold(party string) map[string]string {
	last := map[string]string{}
	h.do(func() {
		for _, t := range h.Told {
			if t.Party == party {
				last[t.Node] = t.State
			}
		}
	})
	return last
}

// Sent records a try.
func (h *History) Sent(t *Try) { h.do(func() { h.Tries = append(h.Tries, t) }) }

// Answer records a whole answer, or with Broken the end of the connection, with Left that the client hung up.
func (h *History) Answer(t *Try, r Result) {
	h.do(func() {
		if r != Broken && r != Left {
			t.Answers++
		}
		if t.Result == Open {
			t.Result = r
			t.Answered = h.Now()
			if r == Left {
				t.Left = t.Answered
			}
		}
	})
}

// Is tells whether a try stands so by now.
func (h *History) Is(t *Try, r Result) (is bool) {
	h.do(func() { is = t.Result == r })
	return is
}

// Restart records that a forwarder was ended in order and came back: it owes what it had taken all the same, but is told
// the list of nodes anew.
func (h *History) Restart(f int, from, to time.Duration) {
	h.do(func() { h.Restarts = append(h.Restarts, Outage{f, from, to}) })
}

// Fault records something that the laboratory did.
func (h *History) Fault(what string) {
	h.do(func() { h.Faults = append(h.Faults, Fault{h.Now(), what}) })
}

// Outage records that a forwarder was down.
func (h *History) Outage(f int, from, to time.Duration) {
	h.do(func() { h.Outages = append(h.Outages, Outage{f, from, to}) })
}

// Lateness records how late the laboratory itself was.
func (h *History) Lateness(d time.Duration) { h.do(func() { h.Late = max(h.Late, d) }) }

// Lock stops the recording for as long as an auditor reads.
func (h *History) Lock() func() {
	h.mu.Lock()
	return h.mu.Unlock
}

// Party is the roster's name of a forwarder.
func Party(forwarder int) string { return fmt.Sprint("f", forwarder) }

// record is what a file holds: all that it takes to judge a run again.
type record struct {
	Rules   Rules
	History *History
}

// Write keeps a run for Read.
func Write(w io.Writer, h *History, rules Rules) error {
	defer h.Lock()()
	h.Ended = h.Now()
	return json.NewEncoder(w).Encode(record{rules, h})
}

// Read takes back what Write kept.
func Read(r io.Reader) (*History, Rules, error) {
	rec := record{History: &History{}}
	if err := json.NewDecoder(r).Decode(&rec); err != nil {
		return nil, Rules{}, fmt.Errorf("history: %w", err)
	}
	return rec.History, rec.Rules, nil
}
