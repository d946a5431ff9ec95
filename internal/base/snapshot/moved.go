package snapshot

import "eiderspread/internal/decision/config"

// ForwarderState is a part of what a forwarder knows, for the process that goes on for it; each part has life and handles. Times are the
// old process's, in Unix seconds by its clock; whoever takes them over knows how the clocks differ.
type ForwarderState struct {
	Incarnation  uint64            `json:"Life"`    // the forwarder's, as planners know it
	LastHandle   uint64            `json:"Handles"` // the last that a request was told under
	LossyAt      float64           `json:"Lossy"`
	Cells        []CellPromise     `json:"Cells,omitempty"`
	Cordons      map[string]Cordon `json:"Words,omitempty"` // on nodes that operators hold
	UsageReports []UsageReport     `json:"Tales,omitempty"`
	Requests     []OpenRequest     `json:"Open,omitempty"`
}

// CellPromise is a promise: to whom, under which epoch, until when.
type CellPromise struct {
	Epoch         uint64  `json:"Epoch"`
	Holder        int     `json:"Holder"`
	Incarnation   uint64  `json:"Life"`
	PromisedUntil float64 `json:"Until"`
}

// Cordon is the latest that was heard of a held node.
type Cordon struct {
	Version uint64 `json:"Version"`
	Held    bool   `json:"Held"`
}

// UsageReport is what a leader last told of an account's window.
type UsageReport struct {
	Account    string  `json:"Customer"`
	Plan       int     `json:"Plan"`
	Epoch      uint64  `json:"Epoch"`
	Sequence   uint32  `json:"Seq"`
	Debt       float64 `json:"Debt"`
	ReportedAt float64 `json:"At"`
}

// OpenRequest is a request that is owed an answer, or that has attempts out: Sent and Done by attempt.
type OpenRequest struct {
	config.Request
	ReceivedAt   float64   `json:"Came"`
	SentAt       []float64 `json:"Sent,omitempty"`
	AttemptDone  []bool    `json:"Done,omitempty"`
	UnitsCounted bool      `json:"Counted,omitempty"`
	MayHaveRun   bool      `json:"Ran,omitempty"`
	FirstRunAt   float64   `json:"RanAt,omitempty"`
	Completed    bool      `json:"Over,omitempty"`
}

const (
	maxPartBytes       = 64 << 10 // of a part, about
	entryOverheadBytes = 200      // bytes of an entry beside its names
)

// Split cuts what a forwarder knows into parts that each fit a message of the link.
func (m ForwarderState) Split() (parts []Part) {
	head := ForwarderState{Incarnation: m.Incarnation, LastHandle: m.LastHandle, LossyAt: m.LossyAt}
	current, size := head, 0
	cut := func(more int) {
		if size += more; size > maxPartBytes {
			done := current
			parts = append(parts, Part{Forwarder: &done})
			current, size = head, more
		}
	}
	for _, c := range m.Cells {
		cut(entryOverheadBytes)
		current.Cells = append(current.Cells, c)
	}
	for id, cordon := range m.Cordons {
		if cut(entryOverheadBytes + len(id)); current.Cordons == nil {
			current.Cordons = map[string]Cordon{}
		}
		current.Cordons[id] = cordon
	}
	for _, report := range m.UsageReports {
		cut(entryOverheadBytes + len(report.Account))
		current.UsageReports = append(current.UsageReports, report)
	}
	for _, request := range m.Requests {
		cut(2*entryOverheadBytes + len(request.ID) + len(request.Class) + len(request.Plan) + len(request.Account) + 32*len(request.SentAt))
		current.Requests = append(current.Requests, request)
	}
	return append(parts, Part{Forwarder: &current})
}

// Join puts parts together again. The order of cells, tales and requests is that of Split.
func Join(parts []Part) (m ForwarderState, ok bool) {
	m.Cordons = map[string]Cordon{}
	for _, p := range parts {
		forwarder := p.Forwarder
		if forwarder == nil {
			return ForwarderState{}, false
		}
		m.Incarnation, m.LastHandle, m.LossyAt = forwarder.Incarnation, forwarder.LastHandle, forwarder.LossyAt
		m.Cells, m.UsageReports, m.Requests = append(m.Cells, forwarder.Cells...), append(m.UsageReports, forwarder.UsageReports...), append(m.Requests, forwarder.Requests...)
		for id, cordon := range forwarder.Cordons {
			m.Cordons[id] = cordon
		}
	}
	return m, len(parts) > 0
}

// Shift moves all times by the difference of two clocks.
func (m *ForwarderState) Shift(by float64) {
	m.LossyAt += by
	for i := range m.Cells {
		m.Cells[i].PromisedUntil += by
	}
	for i := range m.UsageReports {
		m.UsageReports[i].ReportedAt += by
	}
	for i := range m.Requests {
		m.Requests[i].Shift(by)
	}
}

// Shift moves a request's times.
func (o *OpenRequest) Shift(by float64) {
	o.DeadlineAt += by
	o.ReceivedAt += by
	o.FirstRunAt += by
	for i := range o.SentAt {
		o.SentAt[i] += by
	}
}

// Event is what the old process tells of its requests after all went over: a request that was read late, an attempt's end, or a
// client that has gone.
type Event struct {
	Request      *config.Request `json:"Request,omitempty"`
	Outcome      *config.Outcome `json:"Outcome,omitempty"`
	Disconnected string          `json:"Gone,omitempty"`
}

// OrderKind is what the new process wants done to a request of the old one.
type OrderKind byte

// The kinds of orders.
const (
	OrderSend OrderKind = iota
	OrderReject
	OrderFail
	OrderCancel
	OrderCordon // of a node, by operators: ID is its, Held tells whether it is held or called back
)

// Order is one. Number is the attempt's; Wait a time-out or a hint, in seconds.
type Order struct {
	Kind     OrderKind `json:"Kind"`
	ID       string    `json:"ID"`
	Backend  string    `json:"Server,omitempty"`
	Attempt  int       `json:"Number,omitempty"`
	DelayS   float64   `json:"Wait,omitempty"`
	Cordoned bool      `json:"Held,omitempty"`
}
