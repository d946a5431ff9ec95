// Package oracle is the testbed's invariant checker. A History records what backends, clients and discovery observe in a run,
// and Check checks it against the rules. The package knows nothing of the internals of forwarders, planners and ingresses, nor
// whether time was real or virtual.
package oracle

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// History is all that backends, clients and sources of membership observed in a run. Its methods may be called concurrently;
// its fields may be read after the run, or under Lock.
type History struct {
	mu                sync.Mutex
	clock             func() time.Duration
	Attempts          []*Attempt     // in order of arrival
	Requests          []*Request     `json:"Tries"`
	Notices           []Notice       `json:"Told"`
	SourceStates      []Notice       `json:"True"` // states that sources of membership hold; Observer is the source
	ViewChecks        []ViewCheck    `json:"Views"`
	SourceOutages     []SourceOutage `json:"Blind"`
	Outages           []Outage
	Restarts          []Outage    // orderly restarts of forwarders, from the shutdown until they were back
	PeerFaults        []PeerFault `json:"Peers"`
	HotRestarts       []Outage    `json:"Replaced"` // hot restarts: nothing may be lost
	Cordons           []Cordon    `json:"HeldNodes"`
	Faults            []Fault
	Incarnations      []Incarnation              `json:"Lives"`
	ConnectionEnds    map[string][]time.Duration `json:"ConnEnds"` // by a connection's address: when its sender ended it, in order; the backend may not notice
	Ended             time.Duration              // end of the recording; 0: it goes on
	LoadLevels        []LoadLevels               `json:"Levels"`
	Slowdowns         []Slowdown                 `json:"Slows"`
	DrainResults      []DrainResult              `json:"Emptied"`
	IngressViolations []IngressViolations        `json:"Counted"`
	MaxLateness       time.Duration              `json:"Late"` // longest delay of the testbed itself
}

// NewHistory returns an empty history that starts now, by the machine's clock.
func NewHistory() *History {
	start := time.Now()
	return NewHistoryWithClock(func() time.Duration { return time.Since(start) })
}

// NewHistoryWithClock returns an empty history with the given clock, which counts from 0.
func NewHistoryWithClock(clock func() time.Duration) *History {
	return &History{clock: clock, ConnectionEnds: map[string][]time.Duration{}}
}

// ResetClock sets the history's time to 0 and has it follow the machine's clock. Only incarnations may have been recorded before.
func (h *History) ResetClock() {
	start := time.Now()
	h.locked(func() { h.clock = func() time.Duration { return time.Since(start) } })
}

// Now returns the time since the history's start. For a history from ReadHistory, it returns the end of the recording.
func (h *History) Now() time.Duration {
	if h.clock == nil {
		return h.Ended
	}
	return h.clock()
}

// Lock blocks recording until the returned function is called.
func (h *History) Lock() (unlock func()) {
	h.mu.Lock()
	return h.mu.Unlock
}

func (h *History) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// AddIncarnation records the start of a backend and returns its index.
func (h *History) AddIncarnation(incarnation Incarnation) (index int) {
	h.locked(func() {
		index = len(h.Incarnations)
		h.Incarnations = append(h.Incarnations, incarnation)
	})
	return index
}

// IncarnationCrashed records that a backend crashed under load.
func (h *History) IncarnationCrashed(index int) {
	h.locked(func() { h.Incarnations[index].CrashedAt = h.Now() })
}

// AttemptReceived records an attempt whose last byte has arrived.
func (h *History) AttemptReceived(attempt *Attempt) {
	h.locked(func() {
		attempt.At = h.Now()
		h.Attempts = append(h.Attempts, attempt)
	})
}

// AttemptStarted records that the backend began an attempt with the given work, in core seconds, and whether the attempt's
// idempotency key was already known.
func (h *History) AttemptStarted(attempt *Attempt, work float64, knownKey bool) {
	h.locked(func() { attempt.Started, attempt.KnownKey, attempt.Work = true, knownKey, work })
}

// SetAttemptWork records the work of an attempt, in core seconds.
func (h *History) SetAttemptWork(attempt *Attempt, work float64) {
	h.locked(func() { attempt.Work = work })
}

// AttemptAnswered records that the backend has written the answer to an attempt.
func (h *History) AttemptAnswered(attempt *Attempt) {
	h.locked(func() { attempt.AnsweredAt = h.Now() })
}

// AttemptEnded records the end of an attempt at its backend.
func (h *History) AttemptEnded(attempt *Attempt, outcome string) {
	h.locked(func() { attempt.End, attempt.Outcome = h.Now(), outcome })
}

// ConnectionEnded records that the sender on a connection has ended it.
func (h *History) ConnectionEnded(conn string) {
	h.locked(func() { h.ConnectionEnds[conn] = append(h.ConnectionEnds[conn], h.Now()) })
}

// RequestSent records a request that a client sends.
func (h *History) RequestSent(request *Request) {
	h.locked(func() { h.Requests = append(h.Requests, request) })
}

// RequestAnswered records a complete answer; with ConnectionLost the end of the connection, with Disconnected that the client
// closed it. It counts each answer, but keeps the first result only.
func (h *History) RequestAnswered(request *Request, result Result) {
	h.locked(func() {
		if result != ConnectionLost && result != Disconnected {
			request.Answers++
		}
		if request.Result == Pending {
			request.Result = result
			request.AnsweredAt = h.Now()
			if result == Disconnected {
				request.DisconnectedAt = request.AnsweredAt
			}
		}
	})
}

// RequestResent records that a client sends a request once more on a new connection.
func (h *History) RequestResent(request *Request) {
	h.locked(func() { request.resentAt = h.Now() })
}

// HasResult reports whether a request has the given result by now.
func (h *History) HasResult(request *Request, result Result) (has bool) {
	h.locked(func() { has = request.Result == result })
	return has
}

// NodeNotified records that an observer was notified of a node's state.
func (h *History) NodeNotified(observer, node, state string) {
	h.NodeStartNotified(observer, node, state, 0)
}

// NodeStartNotified records that an observer was notified of the state of one incarnation of a node, by its start in Unix
// milliseconds.
func (h *History) NodeStartNotified(observer, node, state string, startMS int64) {
	h.locked(func() { h.Notices = append(h.Notices, Notice{observer, node, state, h.Now(), startMS}) })
}

// KnownNodes returns the nodes that an observer was notified of, except those whose last state is terminated, with the start of
// each in Unix milliseconds.
func (h *History) KnownNodes(observer string) map[string]int64 {
	last := map[string]int64{}
	h.locked(func() {
		for _, notice := range h.Notices {
			if notice.Observer != observer {
				continue
			}
			if last[notice.Node] = notice.StartMS; notice.State == stateTerminated {
				delete(last, notice.Node)
			}
		}
	})
	return last
}

// LastStates returns the last state of each node that an observer was notified of.
func (h *History) LastStates(observer string) map[string]string {
	last := map[string]string{}
	h.locked(func() {
		for _, notice := range h.Notices {
			if notice.Observer == observer {
				last[notice.Node] = notice.State
			}
		}
	})
	return last
}

// SourceChanged records the state of a node that a source of membership holds from now on; startMS as in NodeStartNotified.
func (h *History) SourceChanged(source, node, state string, startMS int64) {
	h.locked(func() { h.SourceStates = append(h.SourceStates, Notice{source, node, state, h.Now(), startMS}) })
}

// BeginSourceOutage records that observers can't reach a source from now on, until end is called.
func (h *History) BeginSourceOutage(source string, observers []string) (end func()) {
	from := 0
	h.locked(func() {
		from = len(h.SourceOutages)
		for _, observer := range observers {
			h.SourceOutages = append(h.SourceOutages, SourceOutage{observer, source, h.Now(), 0})
		}
	})
	return func() {
		h.locked(func() {
			for i := range observers {
				h.SourceOutages[from+i].To = h.Now()
			}
		})
	}
}

// AddViewCheck records a comparison of the observers' views with the sources.
func (h *History) AddViewCheck(v ViewCheck) {
	h.locked(func() { h.ViewChecks = append(h.ViewChecks, v) })
}

// SetCordon records that operators cordon a node at an ingress from now on, or uncordon it.
func (h *History) SetCordon(ingress, node string, on bool) {
	h.locked(func() {
		if on {
			h.Cordons = append(h.Cordons, Cordon{Ingress: ingress, Node: node, From: h.Now()})
			return
		}
		for i := range h.Cordons {
			if c := &h.Cordons[i]; c.Ingress == ingress && c.Node == node && c.To == 0 {
				c.To = h.Now()
			}
		}
	})
}

// AddHotRestart records a hot restart of a forwarder.
func (h *History) AddHotRestart(forwarder int, from, to time.Duration) {
	h.locked(func() { h.HotRestarts = append(h.HotRestarts, Outage{forwarder, from, to}) })
}

// AddRestart records an orderly restart of a forwarder. The forwarder has to answer all requests that it had accepted, and is
// notified of all nodes again.
func (h *History) AddRestart(forwarder int, from, to time.Duration) {
	h.locked(func() { h.Restarts = append(h.Restarts, Outage{forwarder, from, to}) })
}

// AddOutage records that a forwarder was killed or paused.
func (h *History) AddOutage(forwarder int, from, to time.Duration) {
	h.locked(func() { h.Outages = append(h.Outages, Outage{forwarder, from, to}) })
}

// AddFault records a fault that the testbed injected.
func (h *History) AddFault(what string) {
	h.locked(func() { h.Faults = append(h.Faults, Fault{h.Now(), what}) })
}

// BeginPeerFault records that messages between ingresses are lost from now on, until end is called.
func (h *History) BeginPeerFault(sides int, lossRate float64) (end func()) {
	n := 0
	h.locked(func() {
		n = len(h.PeerFaults)
		h.PeerFaults = append(h.PeerFaults, PeerFault{From: h.Now(), Sides: sides, LossRate: lossRate})
	})
	return func() { h.locked(func() { h.PeerFaults[n].To = h.Now() }) }
}

// BeginSlowdown records that every backend is slower by a factor from now on, until end is called.
func (h *History) BeginSlowdown(factor float64) (end func()) {
	n := 0
	h.locked(func() {
		n = len(h.Slowdowns)
		h.Slowdowns = append(h.Slowdowns, Slowdown{From: h.Now(), Factor: factor})
	})
	return func() { h.locked(func() { h.Slowdowns[n].To = h.Now() }) }
}

// AddLoadLevels records the load-shedding levels as they are now.
func (h *History) AddLoadLevels(values []float64) {
	h.locked(func() { h.LoadLevels = append(h.LoadLevels, LoadLevels{h.Now(), values}) })
}

// AddDrainResult records the state of a drain whose allowed time ends now.
func (h *History) AddDrainResult(d DrainResult) {
	h.locked(func() {
		d.At = h.Now()
		h.DrainResults = append(h.DrainResults, d)
	})
}

// AddIngressViolations records the rule violations that an ingress detected itself.
func (h *History) AddIngressViolations(v IngressViolations) {
	h.locked(func() { h.IngressViolations = append(h.IngressViolations, v) })
}

// ObserveLateness records a delay of the testbed itself. The longest one counts.
func (h *History) ObserveLateness(d time.Duration) {
	h.locked(func() { h.MaxLateness = max(h.MaxLateness, d) })
}

// record is the stored form of a run: all that Check needs.
type record struct {
	Rules   Config
	History *History
}

// WriteHistory stores a run for ReadHistory, and ends the recording.
func WriteHistory(w io.Writer, h *History, cfg Config) error {
	defer h.Lock()()
	h.Ended = h.Now()
	return json.NewEncoder(w).Encode(record{cfg, h})
}

// ReadHistory reads what WriteHistory stored.
func ReadHistory(r io.Reader) (*History, Config, error) {
	rec := record{History: &History{}}
	if err := json.NewDecoder(r).Decode(&rec); err != nil {
		return nil, Config{}, fmt.Errorf("decode recorded history: %w", err)
	}
	return rec.History, rec.Rules, nil
}
