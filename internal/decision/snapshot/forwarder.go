package snapshot

import "eiderspread/internal/decision/config"

// ForwarderState is a forwarder's state, or one of the parts that Split makes of it; each part has Incarnation, LastHandle
// and IncompleteAt. The process that takes the state over converts its times to its own clock with Shift.
type ForwarderState struct {
	Incarnation  uint64            `json:"Life"`            // the forwarder's, as planners know it
	LastHandle   uint64            `json:"Handles"`         // the last handle under which a request was submitted to a planner
	IncompleteAt float64           `json:"Lossy"`           // when a usage report was last left out, because of a restart or a full table
	Cells        []CellPromise     `json:"Cells,omitempty"` // by cell
	Cordons      map[string]Cordon `json:"Words,omitempty"` // by backend's ID
	UsageReports []UsageReport     `json:"Tales,omitempty"`
	Requests     []OpenRequest     `json:"Open,omitempty"`
}

// CellPromise is a forwarder's promise for a cell to follow no other leader than Holder until PromisedUntil.
type CellPromise struct {
	Epoch         uint64  `json:"Epoch"`
	Holder        int     `json:"Holder"` // the planner; -1: none yet
	Incarnation   uint64  `json:"Life"`   // the planner's
	PromisedUntil float64 `json:"Until"`
}

// Cordon is the latest register of a backend that operators have cordoned or uncordoned.
type Cordon struct {
	Version  uint64 `json:"Version"`
	Cordoned bool   `json:"Held"`
}

// UsageReport is a leader's latest report of an account's quota window.
type UsageReport struct {
	Account    string  `json:"Customer"`
	Plan       int     `json:"Plan"` // index of the plan in the settings
	Epoch      uint64  `json:"Epoch"`
	Sequence   uint32  `json:"Seq"`
	Debt       float64 `json:"Debt"` // units taken and not yet refilled
	ReportedAt float64 `json:"At"`
}

// OpenRequest is a request that still waits for its answer or has attempts in flight. SentAt and AttemptDone have one element for each
// attempt.
type OpenRequest struct {
	config.Request
	ReceivedAt   float64   `json:"Came"`
	SentAt       []float64 `json:"Sent,omitempty"`
	AttemptDone  []bool    `json:"Done,omitempty"`
	UnitsCounted bool      `json:"Counted,omitempty"` // its units are charged to the account
	MayHaveRun   bool      `json:"Ran,omitempty"`
	FirstRunAt   float64   `json:"RanAt,omitempty"` // when the first attempt that may have run was sent
	Completed    bool      `json:"Over,omitempty"`  // its final answer has been given
}

const (
	targetPartBytes    = 64 << 10 // estimated size beyond which a part is full; half of what a message may carry
	entryOverheadBytes = 200      // estimate of an entry's JSON form without its strings
	attemptBytes       = 32       // estimate of an attempt's JSON form
)

// Split divides the state into parts that each fit a message of the link.
func (s ForwarderState) Split() []Part {
	var parts []Part
	head := ForwarderState{Incarnation: s.Incarnation, LastHandle: s.LastHandle, IncompleteAt: s.IncompleteAt}
	current, size := head, 0
	reserve := func(bytes int) {
		if size += bytes; size > targetPartBytes {
			full := current
			parts = append(parts, Part{Forwarder: &full})
			current, size = head, bytes
		}
	}
	for _, promise := range s.Cells {
		reserve(entryOverheadBytes)
		current.Cells = append(current.Cells, promise)
	}
	for id, cordon := range s.Cordons {
		reserve(entryOverheadBytes + len(id))
		if current.Cordons == nil {
			current.Cordons = map[string]Cordon{}
		}
		current.Cordons[id] = cordon
	}
	for _, report := range s.UsageReports {
		reserve(entryOverheadBytes + len(report.Account))
		current.UsageReports = append(current.UsageReports, report)
	}
	for _, r := range s.Requests {
		reserve(2*entryOverheadBytes + len(r.ID) + len(r.Class) + len(r.Plan) + len(r.Account) + attemptBytes*len(r.SentAt))
		current.Requests = append(current.Requests, r)
	}
	return append(parts, Part{Forwarder: &current})
}

// Join puts the parts that Split made together again, with their lists in the order of the parts. ok is false if there are no parts or one
// of them is not a forwarder's.
func Join(parts []Part) (s ForwarderState, ok bool) {
	s.Cordons = map[string]Cordon{}
	for _, p := range parts {
		f := p.Forwarder
		if f == nil {
			return ForwarderState{}, false
		}
		s.Incarnation, s.LastHandle, s.IncompleteAt = f.Incarnation, f.LastHandle, f.IncompleteAt
		s.Cells = append(s.Cells, f.Cells...)
		s.UsageReports = append(s.UsageReports, f.UsageReports...)
		s.Requests = append(s.Requests, f.Requests...)
		for id, cordon := range f.Cordons {
			s.Cordons[id] = cordon
		}
	}
	return s, len(parts) > 0
}

// Shift adds by, the difference between two clocks in seconds, to all times.
func (s *ForwarderState) Shift(by float64) {
	s.IncompleteAt += by
	for i := range s.Cells {
		s.Cells[i].PromisedUntil += by
	}
	for i := range s.UsageReports {
		s.UsageReports[i].ReportedAt += by
	}
	for i := range s.Requests {
		s.Requests[i].Shift(by)
	}
}

// Shift adds by, the difference between two clocks in seconds, to all times of the request.
func (r *OpenRequest) Shift(by float64) {
	r.DeadlineAt += by
	r.ReceivedAt += by
	r.FirstRunAt += by
	for i := range r.SentAt {
		r.SentAt[i] += by
	}
}
