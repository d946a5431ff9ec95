package peerprotocol

import (
	"encoding/binary"
	"math"
)

// The format of a message. Lengths and offsets are in bytes.
const (
	Version           = 2
	HeaderLen         = 5
	RecordCountOffset = 4 // of the byte that holds the number of records
	RecordLen         = 17
	EntryLen          = 5
	MaxLen            = 256

	durationStepS = 0.05 // seconds, unit of durations
	unitSteps     = 4    // steps in a unit
)

// The flags in a record's fifth byte; its lower four bits are the plan.
const (
	flagFromOwner = 1 << (7 - iota)
	flagKnown
	flagSharedBucket
	flagLeases
	planMask = 15
)

// Record is what two gateways exchange about one account: a member's report to the owner, or the owner's reply.
type Record struct {
	AccountKey uint32 // upper half of the account's HashPoint
	Plan       int    // index of the plan in the settings, 15 at most
	FromOwner  bool   // the sender is the owner
	Leases     bool   // the sender supports slot leases; earlier versions don't

	// Total is the count of the member's units since its start: from the member, those that it admitted; from the owner, those that
	// the owner has counted or set aside for the member. In quarters of a unit, modulo 16384.
	Total float64
	// Known reports whether Available was counted, or was received from an owner.
	Known bool
	// Available is the number of units left in the window, as the sender knows it. In quarters of a unit, -64 to 8000.
	Available float64
	// Demand is the units a second that arrive at the member or, from the owner, at all other gateways. In quarters of a unit, up to
	// 16383.
	Demand float64
	// InFlight is the number of attempts in flight of the member or, from the owner, of all other gateways. Up to 65535.
	InFlight int

	// Requested is the units of the member's pending requests. From the owner, it is above 0 in the reply to them. Up to 63.75.
	Requested float64
	// FirstRequested is the units of the member's first pending request, up to 63.75. Only members set it.
	FirstRequested float64
	// LowPriority is that of the member's first pending request, 0 to 1. Only members set it.
	LowPriority float64
	// Unacked is the units that no owner has counted yet, up to 63.75. Only members set it.
	Unacked float64
	// SharedBucket reports, from a member, that the owner keeps the hard limit's shared bucket and, from the owner, that the
	// grant was taken from that bucket.
	SharedBucket bool
	// BackoffS is for how many seconds the member should not request quota again, up to 12.75. Only owners set it.
	BackoffS float64
	// Slots is the number of slots leased from now on, in addition to those that the member has. Only owners that lease slots set it.
	Slots int
	// LeaseS is a time in seconds, up to 12.75: from the owner, for which Slots are leased or units are granted in advance; from a
	// member that requests no units, for which it needs slots for its attempts.
	LeaseS float64
}

// Clamp returns x, limited to the range from lo to hi.
func Clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// clampByte returns x rounded down and limited to the range of a byte.
func clampByte(x float64) byte { return byte(Clamp(x, 0, math.MaxUint8)) }

// AppendHeader begins a message. The caller sets the number of records at RecordCountOffset.
func AppendHeader(message []byte, incarnation uint8, sequence uint16) []byte {
	return append(message, Version, incarnation, byte(sequence>>8), byte(sequence), 0)
}

// AppendRecord appends a record.
func AppendRecord(message []byte, record Record) []byte {
	message = append(binary.BigEndian.AppendUint32(message, record.AccountKey), record.flagsAndPlan())
	message = binary.BigEndian.AppendUint16(message, uint16(int64(math.Floor(record.Total*unitSteps+0.5))))
	message = binary.BigEndian.AppendUint16(message, uint16(int16(Clamp(record.Available*unitSteps, -256, 32000))))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(record.Demand*unitSteps, 0, math.MaxUint16)))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(float64(record.InFlight), 0, math.MaxUint16)))
	requested := clampByte(math.Ceil(record.Requested * unitSteps))
	leaseSteps := math.Floor(record.LeaseS/durationStepS + 1e-9) // rounded down, so that the member's lease ends before the lessor's
	if record.FromOwner {
		return append(message, clampByte(leaseSteps), requested, clampByte(math.Ceil(record.BackoffS/durationStepS)),
			clampByte(float64(record.Slots)))
	}
	first := math.Ceil(record.FirstRequested * unitSteps)
	if record.Leases && record.Requested <= 0 {
		first = leaseSteps
	}
	return append(message, clampByte(record.Unacked*unitSteps), requested, clampByte(first), clampByte(record.LowPriority*255))
}

// flagsAndPlan returns a record's fifth byte.
func (r Record) flagsAndPlan() byte {
	head := byte(r.Plan & planMask)
	if r.FromOwner {
		head |= flagFromOwner
	}
	if r.Known {
		head |= flagKnown
	}
	if r.SharedBucket {
		head |= flagSharedBucket
	}
	if r.Leases {
		head |= flagLeases
	}
	return head
}

// parseRecord reads a record of RecordLen bytes.
func parseRecord(b []byte) Record {
	head := b[4]
	record := Record{
		AccountKey:   binary.BigEndian.Uint32(b),
		Plan:         int(head & planMask),
		FromOwner:    head&flagFromOwner != 0,
		Known:        head&flagKnown != 0,
		SharedBucket: head&flagSharedBucket != 0,
		Leases:       head&flagLeases != 0,
		Total:        float64(binary.BigEndian.Uint16(b[5:])) / unitSteps,
		Available:    float64(int16(binary.BigEndian.Uint16(b[7:]))) / unitSteps,
		Demand:       float64(binary.BigEndian.Uint16(b[9:])) / unitSteps,
		InFlight:     int(binary.BigEndian.Uint16(b[11:])),
		Requested:    float64(b[14]) / unitSteps,
	}
	if record.FromOwner {
		record.BackoffS = float64(b[15]) * durationStepS
		if record.Leases {
			record.LeaseS, record.Slots = float64(b[13])*durationStepS, int(b[16])
		}
		return record
	}
	record.Unacked, record.LowPriority = float64(b[13])/unitSteps, float64(b[16])/255
	if record.Leases && record.Requested == 0 {
		record.LeaseS = float64(b[15]) * durationStepS
	} else {
		record.FirstRequested = float64(b[15]) / unitSteps
	}
	return record
}

// MemberReport returns a message that reports an account's units to its owner in place of a member, from a sender that is not a
// gateway. total counts all units; unacked of them (63 at most) are new to an owner that knows no member of this incarnation.
func MemberReport(incarnation uint8, sequence uint16, account string, plan int, total, unacked float64, inFlight int) []byte {
	message := AppendRecord(AppendHeader(nil, incarnation, sequence), Record{AccountKey: uint32(HashPoint(account) >> 32), Plan: plan,
		Total: total, Unacked: unacked, InFlight: inFlight})
	message[RecordCountOffset] = 1
	return message
}

// Parse reads a message that was received at now, in Unix seconds. ok is false for anything but a complete message of this
// version.
func Parse(message []byte, now float64) (incarnation uint8, sequence uint16, records []Record, entries []GossipEntry, ok bool) {
	if len(message) < HeaderLen || len(message) > MaxLen || message[0] != Version {
		return 0, 0, nil, nil, false
	}
	incarnation, sequence = message[1], binary.BigEndian.Uint16(message[2:])
	count, rest := int(message[RecordCountOffset]), message[HeaderLen:]
	if len(rest) < count*RecordLen || (len(rest)-count*RecordLen)%EntryLen != 0 {
		return 0, 0, nil, nil, false
	}
	for ; count > 0; count, rest = count-1, rest[RecordLen:] {
		records = append(records, parseRecord(rest))
	}
	for ; len(rest) > 0; rest = rest[EntryLen:] {
		entries = append(entries, parseEntry(rest, now))
	}
	return incarnation, sequence, records, entries, true
}
