// Package peermsg is the encoding of the messages between gateways: a header, then records of fixed size, then items.
// What goes in, when and to whom is decided in package policy. It does no I/O.
package peerprotocol

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The form of a message.
const (
	Version           = 2
	HeaderLen         = 5
	RecordCountOffset = 4 // where the number of records stands
	EntryLen          = 5
	UtilizationTag    = 255  // in place of a class: the item is a server's use
	entryAgeStepS     = 0.02 // seconds
	RecordLen         = 17
	MaxLen            = 256
	durationStepS     = 0.05 // seconds
)

// Record is what two gateways tell each other of one customer. From a member to
// the owner, Total is the member's count, Rate what it is asked for, Room the room
// it last heard. From the owner, Total is the count it has taken in or set aside,
// Rate what all others are asked for, Room the room left of the whole quota.
type Record struct {
	AccountKey     uint32  // 32 bits of the customer's hash
	Plan           int     // the plan's place in the settings, 15 at most
	FromOwner      bool    // the sender speaks as the owner
	Known          bool    // Room stands for something heard or counted
	SharedBucket   bool    // member: the owner is the first on the ring; owner: the grant is paid from its ceiling
	Total          float64 // units, in quarters, modulo 16384
	Available      float64 // units, in quarters, -64 to 8k
	Demand         float64 // units a second, in quarters, up to 16k
	InFlight       int     // attempts out now, up to 65535
	Unacked        float64 // units not yet taken in by any owner, up to 63.75; member only
	Requested      float64 // units of requests that wait, up to 63.75; owner: above 0 if it answers such a report
	FirstRequested float64 // of the first of them, up to 63.75; member only
	LowPriority    float64 // how cheap it is, 0 to 1; member only
	BackoffS       float64 // seconds until it is worth asking again, up to 12.75; owner only
	Leases         bool    // the sender knows places that are lent for a time; versions before do not
	Slots          int     // lent from now on, beside those that the member has; owner that lends only
	LeaseS         float64 // seconds for which they are, or a member that lends and wants nothing asks for its attempts, up to 12.75
}

// AppendHeader begins a message; the number of its records is to be set at RecordCountOffset.
func AppendHeader(message []byte, incarnation uint8, sequence uint16) []byte {
	return append(message, Version, incarnation, byte(sequence>>8), byte(sequence), 0)
}

// Clamp holds x between lo and hi.
func Clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// AppendRecord appends a record.
func AppendRecord(message []byte, record Record) []byte {
	head := byte(record.Plan & 15)
	for i, on := range []bool{record.FromOwner, record.Known, record.SharedBucket, record.Leases} {
		if on {
			head |= 1 << (7 - i)
		}
	}
	message = append(binary.BigEndian.AppendUint32(message, record.AccountKey), head)
	message = binary.BigEndian.AppendUint16(message, uint16(int64(math.Floor(record.Total*4+0.5))))
	message = binary.BigEndian.AppendUint16(message, uint16(int16(Clamp(record.Available*4, -256, 32000))))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(record.Demand*4, 0, math.MaxUint16)))
	message = binary.BigEndian.AppendUint16(message, uint16(Clamp(float64(record.InFlight), 0, math.MaxUint16)))
	unacked, first, lowPriority := record.Unacked*4, math.Ceil(record.FirstRequested*4), record.LowPriority*255
	lease := math.Floor(record.LeaseS/durationStepS + 1e-9) // rounded towards less time
	switch {
	case record.FromOwner:
		unacked, first, lowPriority = lease, math.Ceil(record.BackoffS/durationStepS), float64(record.Slots)
	case record.Leases && record.Requested <= 0:
		first = lease
	}
	return append(message, byte(Clamp(unacked, 0, 255)), byte(Clamp(math.Ceil(record.Requested*4), 0, 255)),
		byte(Clamp(first, 0, 255)), byte(Clamp(lowPriority, 0, 255)))
}

// MemberReport is the message by which something that is no gateway hands counts to a customer's owner, in the place of
// a member: total units in all, of which fresh (63 at most) are new to the owner if it knows no member of this boot.
func MemberReport(incarnation uint8, sequence uint16, account string, plan int, total, fresh float64, out int) []byte {
	message := AppendRecord(AppendHeader(nil, incarnation, sequence), Record{AccountKey: uint32(HashPoint(account) >> 32), Plan: plan,
		Total: total, Unacked: fresh, InFlight: out})
	message[RecordCountOffset] = 1
	return message
}

// GossipEntry is news of a server: how sick it is for a class, by the class's tag, or with UtilizationTag its use.
type GossipEntry struct {
	BackendHash uint16
	ClassTag    int
	Value, At   float64
}

// MaxBackendHash is the largest hash of a server; the one above is loadShedHash.
const MaxBackendHash = loadShedHash - 1

// loadShedHash stands in place of a server's hash in an item that tells of the sender's own level of overload. Versions before take it for the use
// of a server that they don't know.
const loadShedHash = math.MaxUint16

// AppendLoadShedState appends the sender's level of overload, from 0 to 1, and its phase, where there is room.
func AppendLoadShedState(message []byte, level float64, phase uint8) []byte {
	if len(message)+EntryLen > MaxLen {
		return message
	}
	return append(message, loadShedHash>>8, loadShedHash&255, UtilizationTag, byte(math.Round(Clamp(level, 0, 1)*255)), phase)
}

// OverwriteLoadShedState puts another level and phase into what AppendLoadShedState wrote into a message, if it has that: for laboratories whose gateways lie.
func OverwriteLoadShedState(message []byte, level float64, phase uint8) {
	if len(message) < HeaderLen || message[0] != Version {
		return
	}
	for at := HeaderLen + int(message[RecordCountOffset])*RecordLen; at+EntryLen <= len(message); at += EntryLen {
		if message[at] == loadShedHash>>8 && message[at+1] == loadShedHash&255 && message[at+2] == UtilizationTag {
			message[at+3], message[at+4] = byte(math.Round(Clamp(level, 0, 1)*255)), phase
		}
	}
}

// LoadShedState tells whether an item is what AppendLoadShedState wrote, and reads it; now is the time that it was parsed at.
func (e GossipEntry) LoadShedState(now float64) (level float64, phase uint8, ok bool) {
	return e.Value, uint8(math.Round((now - e.At) / entryAgeStepS)), e.BackendHash == loadShedHash && e.ClassTag == UtilizationTag
}

// ClassTag stands for a class's name.
func ClassTag(class string) int { return int(HashPoint(class) % UtilizationTag) }

// Mix64 spreads the bits of x (the finaliser of splitmix64).
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HashPoint is a name's point on the ring.
func HashPoint(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix64(h.Sum64())
}

// AppendGossipEntry appends an item, behind all records.
func AppendGossipEntry(message []byte, entry GossipEntry, now float64) []byte {
	message = binary.BigEndian.AppendUint16(message, entry.BackendHash)
	return append(message, byte(entry.ClassTag), byte(Clamp(entry.Value*255, 0, 255)), byte(Clamp((now-entry.At)/entryAgeStepS, 0, 255)))
}

// maxGossipEntries bounds News.
const maxGossipEntries = 64

// Gossip is what is to be told to other gateways of servers, newest last.
type Gossip []GossipEntry

// Add puts an item on it; the oldest leave.
func (g *Gossip) Add(entry GossipEntry) {
	if *g = append(*g, entry); len(*g) > maxGossipEntries {
		*g = (*g)[1:]
	}
}

// AppendNewest fills the room left in a message with the newest items, so many at most and none older than so many seconds.
func (g Gossip) AppendNewest(message []byte, most int, now, within float64) []byte {
	for i := len(g) - 1; i >= max(0, len(g)-most) && len(message)+EntryLen <= MaxLen; i-- {
		if now-g[i].At < within {
			message = AppendGossipEntry(message, g[i], now)
		}
	}
	return message
}

// Parse returns false for anything that is not a whole message of this version.
func Parse(message []byte, now float64) (incarnation uint8, sequence uint16, records []Record, entries []GossipEntry, ok bool) {
	if len(message) < HeaderLen || len(message) > MaxLen || message[0] != Version {
		return 0, 0, nil, nil, false
	}
	incarnation, sequence = message[1], binary.BigEndian.Uint16(message[2:])
	n := int(message[RecordCountOffset])
	message = message[HeaderLen:]
	if len(message) < n*RecordLen || (len(message)-n*RecordLen)%EntryLen != 0 {
		return 0, 0, nil, nil, false
	}
	for ; n > 0; n, message = n-1, message[RecordLen:] {
		record := Record{
			AccountKey: binary.BigEndian.Uint32(message), Plan: int(message[4] & 15), FromOwner: message[4]>>7 == 1, Known: message[4]>>6&1 == 1,
			SharedBucket: message[4]>>5&1 == 1, Leases: message[4]>>4&1 == 1, Total: float64(binary.BigEndian.Uint16(message[5:])) / 4,
			Available: float64(int16(binary.BigEndian.Uint16(message[7:]))) / 4,
			Demand:    float64(binary.BigEndian.Uint16(message[9:])) / 4, InFlight: int(binary.BigEndian.Uint16(message[11:])),
			Requested: float64(message[14]) / 4,
		}
		switch {
		case record.FromOwner:
			if record.BackoffS = float64(message[15]) * durationStepS; record.Leases {
				record.LeaseS, record.Slots = float64(message[13])*durationStepS, int(message[16])
			}
		case record.Leases && message[14] == 0:
			record.LeaseS, record.Unacked, record.LowPriority = float64(message[15])*durationStepS, float64(message[13])/4, float64(message[16])/255
		default:
			record.FirstRequested, record.Unacked, record.LowPriority = float64(message[15])/4, float64(message[13])/4, float64(message[16])/255
		}
		records = append(records, record)
	}
	for ; len(message) > 0; message = message[EntryLen:] {
		entries = append(entries, GossipEntry{binary.BigEndian.Uint16(message), int(message[2]), float64(message[3]) / 255,
			now - float64(message[4])*entryAgeStepS})
	}
	return incarnation, sequence, records, entries, true
}

// SequenceTracker tells old messages of one sender from new ones, by its life and its sequence numbers.
type SequenceTracker struct {
	Incarnation uint8
	Sequence    uint16
}

// Stale tells whether a message is older than one taken in already, or comes twice; if not, it is taken in.
func (t *SequenceTracker) Stale(incarnation uint8, sequence uint16) bool {
	if incarnation == t.Incarnation && t.Sequence != 0 && int16(sequence-t.Sequence) <= 0 {
		return true
	}
	t.Incarnation, t.Sequence = incarnation, sequence
	return false
}
