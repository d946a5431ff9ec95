package peerprotocol

import (
	"encoding/binary"
	"math"
)

// The form of a message.
const (
	Version           = 2
	HeaderLen         = 5
	RecordCountOffset = 4 // of the byte that counts the records
	RecordLen         = 17
	EntryLen          = 5
	MaxLen            = 256

	durationStepS = 0.05 // seconds, unit of durations
	unitSteps     = 4    // steps of a unit
)

// The bits of a record's fifth byte; the lower four are the plan.
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
	Leases     bool   // the sender knows slot leases; earlier versions don't

	// Total is the member's count of units since its start: what it admitted or, from the owner, what the owner has counted or
	// set aside for it. In quarters, modulo 16384.
	Total float64
	// Known reports whether Available was counted, or was received from an owner.
	Known bool
	// Available is the units left in the window, as the sender knows it. In quarters, -64 to 8000.
	Available float64
	// Demand is units a second that arrive at the member or, from the owner, at all other gateways. In quarters, up to 16383.
	Demand float64
	// InFlight is attempts of the member or, from the owner, of all other gateways. Up to 65535.
	InFlight int

	// Requested is units of the member's pending requests or, from the owner, above 0 in the reply to them. Up to 63.75.
	Requested float64
	// FirstRequested is units of the first pending request, up to 63.75. Of members.
	FirstRequested float64
	// LowPriority of the first pending request, 0 to 1. Of members.
	LowPriority float64
	// Unacked is units that no owner has counted yet, up to 63.75. Of members.
	Unacked float64
	// SharedBucket reports, from a member, that the owner keeps the hard limit's shared bucket and, from the owner, that the
	// grant was paid from it.
	SharedBucket bool
	// BackoffS is seconds until another quota request makes sense, up to 12.75. Of owners.
	BackoffS float64
	// Slots is how many slots are leased from now on, beside those that the member has. Of owners that lease.
	Slots int
	// LeaseS is seconds for which Slots are leased or units are granted in advance or, from a member that requests no units,
	// for which it needs slots for its attempts. Up to 12.75.
	LeaseS float64
}

// Clamp is x, or the nearer of lo and hi if it lies outside of them.
func Clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// clampByte is x rounded down, within a byte.
func clampByte(x float64) byte { return byte(Clamp(x, 0, math.MaxUint8)) }

// AppendHeader begins a message. The number of its records is to be set at RecordCountOffset.
func AppendHeader(message []byte, incarnation uint8, sequence uint16) []byte {
	return append(message, Version, incarnation, byte(sequence>>8), byte(sequence), 0)
}

// AppendRecord appends a record.
func AppendRecord(message []byte, record Record) []byte {
	message = append(binary.BigEndian.AppendUint32(message, record.AccountKey), record.head())
	message = binary.BigEndian.AppendUint16(message, uint16(int64(math.Floor(record.Total*unitSteps+0.5))))
	message = binary.BigEndian.AppendUint16(message, uint16(int16(Clamp(record.Available*unitSteps, -256, 32000))))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(record.Demand*unitSteps, 0, math.MaxUint16)))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(float64(record.InFlight), 0, math.MaxUint16)))
	requested := clampByte(math.Ceil(record.Requested * unitSteps))
	leaseSteps := math.Floor(record.LeaseS/durationStepS + 1e-9) // rounded down: the lessor's slots end later
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

// head is a record's fifth byte.
func (r Record) head() byte {
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

// MemberReport is a message that reports an account's units to its owner in the place of a member, for a sender that is no
// gateway: total units in all, of which unacked ones (63 at most) are new to an owner that knows no member of this incarnation.
func MemberReport(incarnation uint8, sequence uint16, account string, plan int, total, unacked float64, inFlight int) []byte {
	message := AppendRecord(AppendHeader(nil, incarnation, sequence), Record{AccountKey: uint32(HashPoint(account) >> 32), Plan: plan,
		Total: total, Unacked: unacked, InFlight: inFlight})
	message[RecordCountOffset] = 1
	return message
}

// Parse reads a message that was received at now, in Unix seconds. It returns false for anything but a complete message of this
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
