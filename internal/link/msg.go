// Package link is what forwarders and planners say to each other: records in frames, and the connection that
// carries them. Its bounds hold in both directions; what breaks one ends the connection with one clear error.
// Who may say what, and what follows, is decided in packages forward and planner.
package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Version is told in Hello; a peer of another version is refused.
const Version = 1

// Bounds of a frame and of what stands in it.
const (
	MaxFrame = 64 << 10 // bytes of a frame, its length aside
	MaxText  = 128      // bytes of a name; a longer one is cut off by Append
)

// Kind tells what a record says.
type Kind uint8

// The kinds of records, with the fields that each uses. F: forwarder to planner, P: planner to forwarder.
const (
	Hello   Kind = 1 + iota // both: Plan (Version), Name (the fleet's), N (own number), Epoch (own life), Cell (how many cells)
	View                    // F: Cell, Epoch and N of what is promised (N: planner), Wait (left), Want (who asks for it)
	Grant                   // F: Cell, Epoch, Round
	Tale                    // F: Cell, Epoch, Name (customer), Plan, Handle (epoch) and Round of a Send, its Value, Wait (age), N (as in Outs)
	TaleEnd                 // F: Cell, Epoch, Flag (nothing was left out)
	Request                 // F: Cell, Epoch, Handle, Class, Plan, Name (customer), Wait, Value (units), Flag (retry)
	Outcome                 // F: Handle, N (attempt), Class (status), Flag (over), Wait (spent), Load, HasLoad
	Gone                    // F: Handle
	Probed                  // F: Cell, Epoch, Name (server), Class (status), Wait (spent), Load, HasLoad
	Claim                   // P: Cell, Epoch, Round
	Lead                    // P: Cell, Epoch: the claim is held by a majority
	Release                 // P: Cell, Epoch
	Want                    // P: Cell: asks for a cell that another holds
	Send                    // P: Cell, Epoch, Handle, Name (server), Wait (time-out; 0: none), Round (of the customer's passes), Value (its window's debt)
	Refuse                  // P: Cell, Epoch, Handle, Wait (hint)
	Fail                    // P: Cell, Epoch, Handle
	Cancel                  // P: Cell, Epoch, Handle, N (attempt)
	Untold                  // F: Handle: nothing more is said of it, it goes to another leader
	Outs                    // F: Cell, Epoch, Name (customer), Plan, N: attempts out here that this leader did not decide
	Probe                   // P: Cell, Epoch, Name (server)
	Beat                    // both: nothing else to say
	HoldAsk                 // P: Handle (call), Name (server): wants the forwarder's word
	Hold                    // P: Handle (call, 0: news), Name (server), Epoch (version), Flag (held): is to be merged
	HoldIs                  // F: Handle (call, 0: news), Name (server), Epoch (version), Flag (held)
	kinds
)

// Peers of the version before holds by hand end a link on a record that they don't know. So each side first says by a record that
// such a peer ignores that it knows them: a forwarder by a Gone of this handle, a planner by a Release of this cell.
const (
	KnowsHoldsHandle = 1<<63 | 1
	KnowsHoldsCell   = 1<<16 - 1
)

// Planners tell each other of overload by way of forwarders, in records that those of the versions before ignore: a Release of this cell, which a
// forwarder passes on to the other planners as a Gone of its Epoch.
const OverloadCell = 1<<16 - 2

// overloadMark stands in the upper bits of the handle of such a Gone; no request has it.
const overloadMark = 3 << 62

// OverloadOf is what the module of a cell says of overload: a level from 0 to 1 and a phase.
func OverloadOf(cell int, level float64, phase uint8) Msg {
	word := uint64(uint16(cell))<<16 | uint64(math.Round(min(max(level, 0), 1)*math.MaxUint8))<<8 | uint64(phase)
	return Msg{Kind: Release, Cell: OverloadCell, Epoch: overloadMark | word}
}

// Overload reads such a word from a Gone; it tells whether it was one.
func (m *Msg) Overload() (cell int, level float64, phase uint8, ok bool) {
	return int(uint16(m.Handle >> 16)), float64(uint8(m.Handle>>8)) / math.MaxUint8, uint8(m.Handle), m.Kind == Gone && m.Handle>>62 == overloadMark>>62
}

// Msg is one record. Times are in seconds (microseconds on the link, 4,294 s at most, 0 at least), units in
// hundredths on the link. Load holds the fields of policy.Load in their order.
type Msg struct {
	Kind    Kind
	Cell    uint16
	Epoch   uint64
	Handle  uint64
	Round   uint32
	N       uint32
	Want    uint16 // a planner's number and one, 0: nobody
	Class   uint8
	Plan    uint8
	Flag    bool
	HasLoad bool
	Wait    float64
	Value   float64
	Name    string
	Load    [6]float64
}

// field is one part of a record on the link.
type field uint8

const (
	fCell field = iota
	fEpoch
	fHandle
	fRound
	fN
	fWant
	fClass
	fPlan
	fFlag
	fWait
	fValue
	fName
	fLoad
)

// layout holds the fields of each kind in their order: the one place that says what is on the link.
var layout = [kinds][]field{
	Hello:   {fPlan, fName, fN, fEpoch, fCell},
	View:    {fCell, fEpoch, fN, fWait, fWant},
	Grant:   {fCell, fEpoch, fRound},
	Tale:    {fCell, fEpoch, fName, fPlan, fHandle, fRound, fValue, fWait, fN},
	TaleEnd: {fCell, fEpoch, fFlag},
	Request: {fCell, fEpoch, fHandle, fClass, fPlan, fName, fWait, fValue, fFlag},
	Outcome: {fHandle, fN, fClass, fFlag, fWait, fLoad},
	Gone:    {fHandle},
	Probed:  {fCell, fEpoch, fName, fClass, fWait, fLoad},
	Claim:   {fCell, fEpoch, fRound},
	Lead:    {fCell, fEpoch},
	Release: {fCell, fEpoch},
	Want:    {fCell},
	Send:    {fCell, fEpoch, fHandle, fName, fWait, fRound, fValue},
	Refuse:  {fCell, fEpoch, fHandle, fWait},
	Fail:    {fCell, fEpoch, fHandle},
	Cancel:  {fCell, fEpoch, fHandle, fN},
	Untold:  {fHandle},
	Outs:    {fCell, fEpoch, fName, fPlan, fN},
	Probe:   {fCell, fEpoch, fName},
	Beat:    {},
	HoldAsk: {fHandle, fName},
	Hold:    {fHandle, fName, fEpoch, fFlag},
	HoldIs:  {fHandle, fName, fEpoch, fFlag},
}

var (
	errShort = errors.New("record ends early")
	errText  = errors.New("text too long")
)

func clampU32(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(min(math.Round(x), math.MaxUint32))
}

// Append appends a record. Text beyond its bound is cut off: callers check before.
func Append(b []byte, m *Msg) []byte {
	b = append(b, byte(m.Kind))
	for _, f := range layout[m.Kind] {
		switch f {
		case fCell:
			b = binary.AppendUvarint(b, uint64(m.Cell))
		case fEpoch:
			b = binary.AppendUvarint(b, m.Epoch)
		case fHandle:
			b = binary.AppendUvarint(b, m.Handle)
		case fRound:
			b = binary.AppendUvarint(b, uint64(m.Round))
		case fN:
			b = binary.AppendUvarint(b, uint64(m.N))
		case fWant:
			b = binary.AppendUvarint(b, uint64(m.Want))
		case fClass:
			b = append(b, m.Class)
		case fPlan:
			b = append(b, m.Plan)
		case fFlag:
			b = append(b, bit(m.Flag))
		case fWait:
			b = binary.AppendUvarint(b, uint64(clampU32(m.Wait*1e6)))
		case fValue:
			b = binary.AppendUvarint(b, uint64(clampU32(m.Value*100)))
		case fName:
			name := m.Name[:min(len(m.Name), MaxText)]
			b = append(append(b, byte(len(name))), name...)
		case fLoad:
			if b = append(b, bit(m.HasLoad)); m.HasLoad {
				for _, v := range m.Load {
					b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v)))
				}
			}
		}
	}
	return b
}

func bit(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// reader takes values off a record and keeps the first error.
type reader struct {
	b   []byte
	err error
}

func (r *reader) uint(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail(errShort)
		return 0
	}
	r.b = r.b[n:]
	if v > most {
		r.fail(fmt.Errorf("number %d over %d", v, most))
		return 0
	}
	return v
}

func (r *reader) bytes(n int) []byte {
	if len(r.b) < n {
		r.fail(errShort)
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) flag() bool {
	v := r.bytes(1)[0]
	if v > 1 {
		r.fail(fmt.Errorf("flag %d", v))
	}
	return v == 1
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.b = nil
}

// next reads the first record.
func (r *reader) next(m *Msg) {
	*m = Msg{Kind: Kind(r.bytes(1)[0])}
	if r.err == nil && (m.Kind == 0 || m.Kind >= kinds) {
		r.fail(fmt.Errorf("unknown record %d", m.Kind))
	}
	if r.err != nil {
		return
	}
	for _, f := range layout[m.Kind] {
		switch f {
		case fCell:
			m.Cell = uint16(r.uint(math.MaxUint16))
		case fEpoch:
			m.Epoch = r.uint(math.MaxUint64)
		case fHandle:
			m.Handle = r.uint(math.MaxUint64)
		case fRound:
			m.Round = uint32(r.uint(math.MaxUint32))
		case fN:
			m.N = uint32(r.uint(math.MaxUint32))
		case fWant:
			m.Want = uint16(r.uint(math.MaxUint16))
		case fClass:
			m.Class = r.bytes(1)[0]
		case fPlan:
			m.Plan = r.bytes(1)[0]
		case fFlag:
			m.Flag = r.flag()
		case fWait:
			m.Wait = float64(r.uint(math.MaxUint32)) / 1e6
		case fValue:
			m.Value = float64(r.uint(math.MaxUint32)) / 100
		case fName:
			n := int(r.bytes(1)[0])
			if n > MaxText {
				r.fail(errText)
			}
			m.Name = string(r.bytes(n))
		case fLoad:
			if m.HasLoad = r.flag(); m.HasLoad {
				for i := range m.Load {
					v := float64(math.Float32frombits(binary.BigEndian.Uint32(r.bytes(4))))
					if math.IsNaN(v) || math.IsInf(v, 0) {
						r.fail(errors.New("a load that is no number"))
					}
					m.Load[i] = v
				}
			}
		}
		if r.err != nil {
			return
		}
	}
}

// Parse reads the records of a frame, all or none.
func Parse(frame []byte) ([]Msg, error) {
	var msgs []Msg
	for r := (reader{b: frame}); len(r.b) > 0; {
		var m Msg
		if r.next(&m); r.err != nil {
			return nil, fmt.Errorf("record %d: %w", len(msgs), r.err)
		}
		msgs = append(msgs, m)
	}
	return msgs, nil
}
