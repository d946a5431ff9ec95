package lab

import (
	"sync"
	"time"
)

// Attempt is one command that came whole to a node.
type Attempt struct {
	ID, Node, Account, Class, Plan string
	Units                          float64
	At, End                        time.Duration // since the start of the history; End 0: still open
	Began, Repeat                  bool          // its work was begun; its key was known, so that it had no effect
	How                            string        // ok, full, gone
}

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
}

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
)

// Told is one change of a node's state as it was written to one party.
type Told struct {
	Party, Node, State string
	At                 time.Duration
}

// Outage is a time in which a forwarder was killed or paused: what it held is its clients' to try again.
type Outage struct {
	Forwarder int
	From, To  time.Duration
}

// History is what nodes, clients and the roster saw. All of it is kept: a run is bounded in time.
type History struct {
	mu       sync.Mutex
	start    time.Time
	Attempts []*Attempt
	Tries    []*Try
	Told     []Told
	Outages  []Outage
	Faults   []Fault
}

// Fault is something that the laboratory did.
type Fault struct {
	At   time.Duration
	What string
}

// NewHistory starts an empty history.
func NewHistory() *History { return &History{start: time.Now()} }

// Now is the time since the history's start.
func (h *History) Now() time.Duration { return time.Since(h.start) }

func (h *History) attempt(id, node, account, class, plan string, units float64) *Attempt {
	a := &Attempt{ID: id, Node: node, Account: account, Class: class, Plan: plan, Units: units}
	h.mu.Lock()
	defer h.mu.Unlock()
	a.At = h.Now()
	h.Attempts = append(h.Attempts, a)
	return a
}

func (h *History) began(a *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Began = true
}

func (h *History) repeated(a *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Repeat = true
}

func (h *History) ended(a *Attempt, began bool, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.End, a.How = h.Now(), how
	a.Began = a.Began || began
}

func (h *History) told(party, node, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Told = append(h.Told, Told{party, node, state, h.Now()})
}

func (h *History) sent(t *Try) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Tries = append(h.Tries, t)
}

func (h *History) answered(t *Try, r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r != Broken {
		t.Answers++
	}
	if t.Result == Open {
		t.Result = r
		t.Answered = h.Now()
	}
}

func (h *History) fault(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Faults = append(h.Faults, Fault{h.Now(), what})
}

func (h *History) outage(f int, from, to time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Outages = append(h.Outages, Outage{f, from, to})
}

// Lock stops the recording for as long as an auditor reads.
func (h *History) Lock() func() {
	h.mu.Lock()
	return h.mu.Unlock
}
