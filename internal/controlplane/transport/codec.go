package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// On the wire, durations are in microseconds and units in hundredths.
const (
	microsPerSecond   = 1e6
	hundredthsPerUnit = 100
)

// field identifies a field of an encoded record.
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

// layout lists the fields of each kind of record in wire order. On the wire they follow the byte that holds the kind.
var layout = [kindCount][]field{
	KindHello:              {fieldPlan, fieldName, fieldNumber, fieldEpoch, fieldCell},
	KindPromiseReport:      {fieldCell, fieldEpoch, fieldNumber, fieldDuration, fieldRequester},
	KindGrant:              {fieldCell, fieldEpoch, fieldRound},
	KindUsageReport:        {fieldCell, fieldEpoch, fieldName, fieldPlan, fieldHandle, fieldRound, fieldUnits, fieldDuration, fieldNumber},
	KindUsageReportEnd:     {fieldCell, fieldEpoch, fieldFlag},
	KindRequest:            {fieldCell, fieldEpoch, fieldHandle, fieldClass, fieldPlan, fieldName, fieldDuration, fieldUnits, fieldFlag},
	KindOutcome:            {fieldHandle, fieldNumber, fieldClass, fieldFlag, fieldDuration, fieldLoad},
	KindDisconnected:       {fieldHandle},
	KindProbeResult:        {fieldCell, fieldEpoch, fieldName, fieldClass, fieldDuration, fieldLoad},
	KindClaim:              {fieldCell, fieldEpoch, fieldRound},
	KindLeaderAnnouncement: {fieldCell, fieldEpoch},
	KindRelease:            {fieldCell, fieldEpoch},
	KindHandbackRequest:    {fieldCell},
	KindSend:               {fieldCell, fieldEpoch, fieldHandle, fieldName, fieldDuration, fieldRound, fieldUnits},
	KindReject:             {fieldCell, fieldEpoch, fieldHandle, fieldDuration},
	KindFail:               {fieldCell, fieldEpoch, fieldHandle},
	KindCancel:             {fieldCell, fieldEpoch, fieldHandle, fieldNumber},
	KindWithdraw:           {fieldHandle},
	KindOrphans:            {fieldCell, fieldEpoch, fieldName, fieldPlan, fieldNumber},
	KindProbe:              {fieldCell, fieldEpoch, fieldName},
	KindHeartbeat:          {},
	KindCordonRead:         {fieldHandle, fieldName},
	KindCordonWrite:        {fieldHandle, fieldName, fieldEpoch, fieldFlag},
	KindCordonState:        {fieldHandle, fieldName, fieldEpoch, fieldFlag},
}

// ErrMalformed is wrapped by all errors for bytes that are not a valid frame or record.
var ErrMalformed = errors.New("malformed")

var (
	errTruncated   = fmt.Errorf("%w: record is truncated", ErrMalformed)
	errNameTooLong = fmt.Errorf("%w: name is longer than %d bytes", ErrMalformed, MaxNameBytes)
	errInvalidLoad = fmt.Errorf("%w: load value is NaN or infinite", ErrMalformed)
)

// clampUint32 rounds value to the nearest uint32. Values outside that range are clamped to it, and NaN becomes 0.
func clampUint32(value float64) uint32 {
	if !(value > 0) {
		return 0
	}
	return uint32(min(math.Round(value), math.MaxUint32))
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// AppendMessage appends the encoding of msg to b. It truncates a name to MaxNameBytes; a caller that needs the whole name checks its length
// first.
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
			b = binary.AppendUvarint(b, uint64(clampUint32(msg.DurationS*microsPerSecond)))
		case fieldUnits:
			b = binary.AppendUvarint(b, uint64(clampUint32(msg.Units*hundredthsPerUnit)))
		case fieldName:
			name := msg.Name[:min(len(msg.Name), MaxNameBytes)]
			b = append(append(b, byte(len(name))), name...)
		case fieldLoad:
			b = appendLoad(b, msg)
		}
	}
	return b
}

func appendLoad(b []byte, msg *Message) []byte {
	b = append(b, boolByte(msg.HasLoad))
	if msg.HasLoad {
		for _, value := range msg.Load {
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(value)))
		}
	}
	return b
}

// recordReader decodes the records of a frame from front to back and keeps the first error. Values that are read after an error are
// meaningless.
type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) uvarint(limit uint64) uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail(errTruncated)
		return 0
	}
	r.rest = r.rest[n:]
	if value > limit {
		r.fail(fmt.Errorf("%w: number %d exceeds the maximum %d", ErrMalformed, value, limit))
		return 0
	}
	return value
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
	value := r.take(1)[0]
	if value > 1 {
		r.fail(fmt.Errorf("%w: flag is %d, want 0 or 1", ErrMalformed, value))
	}
	return value == 1
}

func (r *recordReader) name() string {
	n := int(r.take(1)[0])
	if n > MaxNameBytes {
		r.fail(errNameTooLong)
	}
	return string(r.take(n))
}

func (r *recordReader) load(msg *Message) {
	msg.HasLoad = r.boolean()
	if !msg.HasLoad {
		return
	}
	for i := range msg.Load {
		value := float64(math.Float32frombits(binary.BigEndian.Uint32(r.take(4))))
		if math.IsNaN(value) || math.IsInf(value, 0) {
			r.fail(errInvalidLoad)
		}
		msg.Load[i] = value
	}
}

func (r *recordReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// next decodes the next record into msg.
func (r *recordReader) next(msg *Message) {
	*msg = Message{Kind: Kind(r.take(1)[0])}
	if r.err == nil && (msg.Kind == 0 || msg.Kind >= kindCount) {
		r.fail(fmt.Errorf("%w: unknown message kind %d", ErrMalformed, msg.Kind))
	}
	if r.err != nil {
		return
	}
	for _, f := range layout[msg.Kind] {
		if r.field(f, msg); r.err != nil {
			return
		}
	}
}

func (r *recordReader) field(f field, msg *Message) {
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
		msg.DurationS = float64(r.uvarint(math.MaxUint32)) / microsPerSecond
	case fieldUnits:
		msg.Units = float64(r.uvarint(math.MaxUint32)) / hundredthsPerUnit
	case fieldName:
		msg.Name = r.name()
	case fieldLoad:
		r.load(msg)
	}
}

// ParseFrame decodes all records of a frame. If one is invalid, it returns no messages and an error that wraps ErrMalformed.
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
