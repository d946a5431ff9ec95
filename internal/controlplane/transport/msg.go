// Package link is what forwarders and planners say to each other: records in frames, and the connection that
// carries them. Its bounds hold in both directions; what breaks one ends the connection with one clear error.
// Who may say what, and what follows, is decided in packages forward and planner.
package transport

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
	MaxFrameBytes = 64 << 10 // bytes of a frame, its length aside
	MaxNameBytes  = 128      // bytes of a name; a longer one is cut off by Append
)

// Kind tells what a record says.
type Kind uint8

// The kindCount of records, with the fields that each uses. F: forwarder to planner, P: planner to forwarder.
const (
	KindHello           Kind = 1 + iota // both: Plan (Version), Name (the fleet's), N (own number), Epoch (own life), Cell (how many cells)
	KindView                            // F: Cell, Epoch and N of what is promised (N: planner), Wait (left), Want (who asks for it)
	KindGrant                           // F: Cell, Epoch, Round
	KindUsageReport                     // F: Cell, Epoch, Name (customer), Plan, Handle (epoch) and Round of a Send, its Value, Wait (age), N (as in Outs)
	KindUsageReportEnd                  // F: Cell, Epoch, Flag (nothing was left out)
	KindRequest                         // F: Cell, Epoch, Handle, Class, Plan, Name (customer), Wait, Value (units), Flag (retry)
	KindOutcome                         // F: Handle, N (attempt), Class (status), Flag (over), Wait (spent), Load, HasLoad
	KindDisconnected                    // F: Handle
	KindProbeResult                     // F: Cell, Epoch, Name (server), Class (status), Wait (spent), Load, HasLoad
	KindClaim                           // P: Cell, Epoch, Round
	KindLead                            // P: Cell, Epoch: the claim is held by a majority
	KindRelease                         // P: Cell, Epoch
	KindHandbackRequest                 // P: Cell: asks for a cell that another holds
	KindSend                            // P: Cell, Epoch, Handle, Name (server), Wait (time-out; 0: none), Round (of the customer's passes), Value (its window's debt)
	KindReject                          // P: Cell, Epoch, Handle, Wait (hint)
	KindFail                            // P: Cell, Epoch, Handle
	KindCancel                          // P: Cell, Epoch, Handle, N (attempt)
	KindWithdraw                        // F: Handle: nothing more is said of it, it goes to another leader
	KindOrphans                         // F: Cell, Epoch, Name (customer), Plan, N: attempts out here that this leader did not decide
	KindProbe                           // P: Cell, Epoch, Name (server)
	KindHeartbeat                       // both: nothing else to say
	KindCordonRead                      // P: Handle (call), Name (server): wants the forwarder's word
	KindCordonWrite                     // P: Handle (call, 0: news), Name (server), Epoch (version), Flag (held): is to be merged
	KindCordonState                     // F: Handle (call, 0: news), Name (server), Epoch (version), Flag (held)
	kindCount
)

// Peers of the version before holds by hand end a link on a record that they don't know. So each side first says by a record that
// such a peer ignores that it knows them: a forwarder by a Gone of this handle, a planner by a Release of this cell.
const (
	CordonCapableHandle = 1<<63 | 1
	CordonCapableCell   = 1<<16 - 1
)

// Planners tell each other of overload by way of forwarders, in records that those of the versions before ignore: a Release of this cell, which a
// forwarder passes on to the other planners as a Gone of its Epoch.
const ShedLevelCell = 1<<16 - 2

// shedLevelMark stands in the upper bits of the handle of such a Gone; no request has it.
const shedLevelMark = 3 << 62

// NewShedLevel is what the module of a cell says of overload: a level from 0 to 1 and a phase.
func NewShedLevel(cell int, level float64, phase uint8) Message {
	encoded := uint64(uint16(cell))<<16 | uint64(math.Round(min(max(level, 0), 1)*math.MaxUint8))<<8 | uint64(phase)
	return Message{Kind: KindRelease, Cell: ShedLevelCell, Epoch: shedLevelMark | encoded}
}

// ShedLevel reads such a word from a Gone; it tells whether it was one.
func (m *Message) ShedLevel() (cell int, level float64, phase uint8, ok bool) {
	return int(uint16(m.Handle >> 16)), float64(uint8(m.Handle>>8)) / math.MaxUint8, uint8(m.Handle), m.Kind == KindDisconnected && m.Handle>>62 == shedLevelMark>>62
}

// Message is one record. Times are in seconds (microseconds on the link, 4,294 s at most, 0 at least), units in
// hundredths on the link. Load holds the fields of policy.Load in their order.
type Message struct {
	Kind      Kind
	Cell      uint16
	Epoch     uint64
	Handle    uint64
	Round     uint32
	Number    uint32
	Requester uint16 // a planner's number and one, 0: nobody
	Class     uint8
	Plan      uint8
	Flag      bool
	HasLoad   bool
	DurationS float64
	Units     float64
	Name      string
	Load      [6]float64
}

// field is one part of a record on the link.
type field uint8

const (
	fieldCell field = iota
	fieldEpoch
	fieldHandle
	fieldRound
	fieldNumber
	fieldRequester
	fieldClass
	fieldPlan
	fieldFlag
	fieldDuration
	fieldUnits
	fieldName
	fieldLoad
)

// layout holds the fields of each kind in their order: the one place that says what is on the link.
var layout = [kindCount][]field{
	KindHello:           {fieldPlan, fieldName, fieldNumber, fieldEpoch, fieldCell},
	KindView:            {fieldCell, fieldEpoch, fieldNumber, fieldDuration, fieldRequester},
	KindGrant:           {fieldCell, fieldEpoch, fieldRound},
	KindUsageReport:     {fieldCell, fieldEpoch, fieldName, fieldPlan, fieldHandle, fieldRound, fieldUnits, fieldDuration, fieldNumber},
	KindUsageReportEnd:  {fieldCell, fieldEpoch, fieldFlag},
	KindRequest:         {fieldCell, fieldEpoch, fieldHandle, fieldClass, fieldPlan, fieldName, fieldDuration, fieldUnits, fieldFlag},
	KindOutcome:         {fieldHandle, fieldNumber, fieldClass, fieldFlag, fieldDuration, fieldLoad},
	KindDisconnected:    {fieldHandle},
	KindProbeResult:     {fieldCell, fieldEpoch, fieldName, fieldClass, fieldDuration, fieldLoad},
	KindClaim:           {fieldCell, fieldEpoch, fieldRound},
	KindLead:            {fieldCell, fieldEpoch},
	KindRelease:         {fieldCell, fieldEpoch},
	KindHandbackRequest: {fieldCell},
	KindSend:            {fieldCell, fieldEpoch, fieldHandle, fieldName, fieldDuration, fieldRound, fieldUnits},
	KindReject:          {fieldCell, fieldEpoch, fieldHandle, fieldDuration},
	KindFail:            {fieldCell, fieldEpoch, fieldHandle},
	KindCancel:          {fieldCell, fieldEpoch, fieldHandle, fieldNumber},
	KindWithdraw:        {fieldHandle},
	KindOrphans:         {fieldCell, fieldEpoch, fieldName, fieldPlan, fieldNumber},
	KindProbe:           {fieldCell, fieldEpoch, fieldName},
	KindHeartbeat:       {},
	KindCordonRead:      {fieldHandle, fieldName},
	KindCordonWrite:     {fieldHandle, fieldName, fieldEpoch, fieldFlag},
	KindCordonState:     {fieldHandle, fieldName, fieldEpoch, fieldFlag},
}

var (
	errTruncated   = errors.New("record ends early")
	errNameTooLong = errors.New("text too long")
)

func clampU32(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(min(math.Round(x), math.MaxUint32))
}

// AppendMessage appends a record. Text beyond its bound is cut off: callers check before.
func AppendMessage(b []byte, msg *Message) []byte {
	b = append(b, byte(msg.Kind))
	for _, f := range layout[msg.Kind] {
		switch f {
		case fieldCell:
			b = binary.AppendUvarint(b, uint64(msg.Cell))
		case fieldEpoch:
			b = binary.AppendUvarint(b, msg.Epoch)
		case fieldHandle:
			b = binary.AppendUvarint(b, msg.Handle)
		case fieldRound:
			b = binary.AppendUvarint(b, uint64(msg.Round))
		case fieldNumber:
			b = binary.AppendUvarint(b, uint64(msg.Number))
		case fieldRequester:
			b = binary.AppendUvarint(b, uint64(msg.Requester))
		case fieldClass:
			b = append(b, msg.Class)
		case fieldPlan:
			b = append(b, msg.Plan)
		case fieldFlag:
			b = append(b, boolByte(msg.Flag))
		case fieldDuration:
			b = binary.AppendUvarint(b, uint64(clampU32(msg.DurationS*1e6)))
		case fieldUnits:
			b = binary.AppendUvarint(b, uint64(clampU32(msg.Units*100)))
		case fieldName:
			name := msg.Name[:min(len(msg.Name), MaxNameBytes)]
			b = append(append(b, byte(len(name))), name...)
		case fieldLoad:
			if b = append(b, boolByte(msg.HasLoad)); msg.HasLoad {
				for _, v := range msg.Load {
					b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(v)))
				}
			}
		}
	}
	return b
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// recordReader takes values off a record and keeps the first error.
type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail(errTruncated)
		return 0
	}
	r.rest = r.rest[n:]
	if v > limit {
		r.fail(fmt.Errorf("number %d over %d", v, limit))
		return 0
	}
	return v
}

func (r *recordReader) take(n int) []byte {
	if len(r.rest) < n {
		r.fail(errTruncated)
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *recordReader) boolean() bool {
	v := r.take(1)[0]
	if v > 1 {
		r.fail(fmt.Errorf("flag %d", v))
	}
	return v == 1
}

func (r *recordReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// next reads the first record.
func (r *recordReader) next(msg *Message) {
	*msg = Message{Kind: Kind(r.take(1)[0])}
	if r.err == nil && (msg.Kind == 0 || msg.Kind >= kindCount) {
		r.fail(fmt.Errorf("unknown record %d", msg.Kind))
	}
	if r.err != nil {
		return
	}
	for _, f := range layout[msg.Kind] {
		switch f {
		case fieldCell:
			msg.Cell = uint16(r.uvarint(math.MaxUint16))
		case fieldEpoch:
			msg.Epoch = r.uvarint(math.MaxUint64)
		case fieldHandle:
			msg.Handle = r.uvarint(math.MaxUint64)
		case fieldRound:
			msg.Round = uint32(r.uvarint(math.MaxUint32))
		case fieldNumber:
			msg.Number = uint32(r.uvarint(math.MaxUint32))
		case fieldRequester:
			msg.Requester = uint16(r.uvarint(math.MaxUint16))
		case fieldClass:
			msg.Class = r.take(1)[0]
		case fieldPlan:
			msg.Plan = r.take(1)[0]
		case fieldFlag:
			msg.Flag = r.boolean()
		case fieldDuration:
			msg.DurationS = float64(r.uvarint(math.MaxUint32)) / 1e6
		case fieldUnits:
			msg.Units = float64(r.uvarint(math.MaxUint32)) / 100
		case fieldName:
			n := int(r.take(1)[0])
			if n > MaxNameBytes {
				r.fail(errNameTooLong)
			}
			msg.Name = string(r.take(n))
		case fieldLoad:
			if msg.HasLoad = r.boolean(); msg.HasLoad {
				for i := range msg.Load {
					v := float64(math.Float32frombits(binary.BigEndian.Uint32(r.take(4))))
					if math.IsNaN(v) || math.IsInf(v, 0) {
						r.fail(errors.New("a load that is no number"))
					}
					msg.Load[i] = v
				}
			}
		}
		if r.err != nil {
			return
		}
	}
}

// ParseFrame reads the records of a frame, all or none.
func ParseFrame(frame []byte) ([]Message, error) {
	var msgs []Message
	for r := (recordReader{rest: frame}); len(r.rest) > 0; {
		var msg Message
		if r.next(&msg); r.err != nil {
			return nil, fmt.Errorf("record %d: %w", len(msgs), r.err)
		}
		msgs = append(msgs, msg)
	}
	return msgs, nil
}
