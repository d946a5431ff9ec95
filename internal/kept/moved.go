package kept

import "eiderspread/internal/terms"

// Moved is a part of what a forwarder knows, for the process that goes on for it; each part has life and handles. Times are the
// old process's, in Unix seconds by its clock; whoever takes them over knows how the clocks differ.
type Moved struct {
	Life    uint64 // the forwarder's, as planners know it
	Handles uint64 // the last that a request was told under
	Lossy   float64
	Cells   []Cell          `json:",omitempty"`
	Words   map[string]Word `json:",omitempty"` // on nodes that operators hold
	Tales   []Tale          `json:",omitempty"`
	Open    []Open          `json:",omitempty"`
}

// Cell is a promise: to whom, under which epoch, until when.
type Cell struct {
	Epoch  uint64
	Holder int
	Life   uint64
	Until  float64
}

// Word is the latest that was heard of a held node.
type Word struct {
	Version uint64
	Held    bool
}

// Tale is what a leader last told of an account's window.
type Tale struct {
	Customer string
	Plan     int
	Epoch    uint64
	Seq      uint32
	Debt, At float64
}

// Open is a request that is owed an answer, or that has attempts out: Sent and Done by attempt.
type Open struct {
	terms.Request
	Came    float64
	Sent    []float64 `json:",omitempty"`
	Done    []bool    `json:",omitempty"`
	Counted bool      `json:",omitempty"`
	Ran     bool      `json:",omitempty"`
	RanAt   float64   `json:",omitempty"`
	Over    bool      `json:",omitempty"`
}

const (
	partBytes = 64 << 10 // of a part, about
	entry     = 200      // bytes of an entry beside its names
)

// Split cuts what a forwarder knows into parts that each fit a message of the link.
func (m Moved) Split() (parts []Part) {
	head := Moved{Life: m.Life, Handles: m.Handles, Lossy: m.Lossy}
	now, size := head, 0
	cut := func(more int) {
		if size += more; size > partBytes {
			done := now
			parts = append(parts, Part{Moved: &done})
			now, size = head, more
		}
	}
	for _, c := range m.Cells {
		cut(entry)
		now.Cells = append(now.Cells, c)
	}
	for id, w := range m.Words {
		if cut(entry + len(id)); now.Words == nil {
			now.Words = map[string]Word{}
		}
		now.Words[id] = w
	}
	for _, t := range m.Tales {
		cut(entry + len(t.Customer))
		now.Tales = append(now.Tales, t)
	}
	for _, o := range m.Open {
		cut(2*entry + len(o.ID) + len(o.Class) + len(o.Plan) + len(o.Account) + 32*len(o.Sent))
		now.Open = append(now.Open, o)
	}
	return append(parts, Part{Moved: &now})
}

// Join puts parts together again. The order of cells, tales and requests is that of Split.
func Join(parts []Part) (m Moved, ok bool) {
	m.Words = map[string]Word{}
	for _, p := range parts {
		x := p.Moved
		if x == nil {
			return Moved{}, false
		}
		m.Life, m.Handles, m.Lossy = x.Life, x.Handles, x.Lossy
		m.Cells, m.Tales, m.Open = append(m.Cells, x.Cells...), append(m.Tales, x.Tales...), append(m.Open, x.Open...)
		for id, w := range x.Words {
			m.Words[id] = w
		}
	}
	return m, len(parts) > 0
}

// Shift moves all times by the difference of two clocks.
func (m *Moved) Shift(by float64) {
	m.Lossy += by
	for i := range m.Cells {
		m.Cells[i].Until += by
	}
	for i := range m.Tales {
		m.Tales[i].At += by
	}
	for i := range m.Open {
		m.Open[i].Shift(by)
	}
}

// Shift moves a request's times.
func (o *Open) Shift(by float64) {
	o.DeadlineAt += by
	o.Came += by
	o.RanAt += by
	for i := range o.Sent {
		o.Sent[i] += by
	}
}

// Event is what the old process tells of its requests after all went over: a request that was read late, an attempt's end, or a
// client that has gone.
type Event struct {
	Request *terms.Request `json:",omitempty"`
	Outcome *terms.Outcome `json:",omitempty"`
	Gone    string         `json:",omitempty"`
}

// OrderKind is what the new process wants done to a request of the old one.
type OrderKind byte

// The kinds of orders.
const (
	Send OrderKind = iota
	Refuse
	Fail
	Cancel
	Hold // of a node, by operators: ID is its, Held tells whether it is held or called back
)

// Order is one. Number is the attempt's; Wait a time-out or a hint, in seconds.
type Order struct {
	Kind   OrderKind
	ID     string
	Server string  `json:",omitempty"`
	Number int     `json:",omitempty"`
	Wait   float64 `json:",omitempty"`
	Held   bool    `json:",omitempty"`
}
