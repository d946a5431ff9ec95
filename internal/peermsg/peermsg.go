// Package peermsg is the encoding of the messages between gateways: a header, then records of fixed size, then items.
// What goes in, when and to whom is decided in package policy. It does no I/O.
package peermsg

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// The form of a message.
const (
	Version   = 2
	HeaderLen = 5
	CountAt   = 4 // where the number of records stands
	ItemLen   = 5
	LoadItem  = 255  // in place of a class: the item is a server's use
	itemStep  = 0.02 // seconds
	RecordLen = 17
	Limit     = 256
	holdStep  = 0.05 // seconds
)

// Record is what two gateways tell each other of one customer. From a member to
// the owner, Total is the member's count, Rate what it is asked for, Room the room
// it last heard. From the owner, Total is the count it has taken in or set aside,
// Rate what all others are asked for, Room the room left of the whole quota.
type Record struct {
	Key     uint32  // 32 bits of the customer's hash
	Plan    int     // the plan's place in the settings, 15 at most
	Owner   bool    // the sender speaks as the owner
	Known   bool    // Room stands for something heard or counted
	Flag    bool    // member: the owner is the first on the ring; owner: the grant is paid from its ceiling
	Total   float64 // units, in quarters, modulo 16384
	Room    float64 // units, in quarters, -64 to 8k
	Rate    float64 // units a second, in quarters, up to 16k
	Out     int     // attempts out now, up to 65535
	Unacked float64 // units not yet taken in by any owner, up to 63.75; member only
	Want    float64 // units of requests that wait, up to 63.75; owner: above 0 if it answers such a report
	First   float64 // of the first of them, up to 63.75; member only
	Cheap   float64 // how cheap it is, 0 to 1; member only
	Hold    float64 // seconds until it is worth asking again, up to 12.75; owner only
	Lends   bool    // the sender knows places that are lent for a time; versions before do not
	Places  int     // lent from now on, beside those that the member has; owner that lends only
	Lease   float64 // seconds for which they are, or a member that lends and wants nothing asks for its attempts, up to 12.75
}

// AppendHeader begins a message; the number of its records is to be set at CountAt.
func AppendHeader(b []byte, boot uint8, seq uint16) []byte {
	return append(b, Version, boot, byte(seq>>8), byte(seq), 0)
}

// Clamp holds x between lo and hi.
func Clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

// AppendRecord appends a record.
func AppendRecord(b []byte, r Record) []byte {
	head := byte(r.Plan & 15)
	for i, on := range []bool{r.Owner, r.Known, r.Flag, r.Lends} {
		if on {
			head |= 1 << (7 - i)
		}
	}
	b = append(binary.BigEndian.AppendUint32(b, r.Key), head)
	b = binary.BigEndian.AppendUint16(b, uint16(int64(math.Floor(r.Total*4+0.5))))
	b = binary.BigEndian.AppendUint16(b, uint16(int16(Clamp(r.Room*4, -256, 32000))))
	b = binary.BigEndian.AppendUint16(b, uint16(Clamp(r.Rate*4, 0, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, uint16(Clamp(float64(r.Out), 0, math.MaxUint16)))
	unacked, first, cheap := r.Unacked*4, math.Ceil(r.First*4), r.Cheap*255
	lease := math.Floor(r.Lease/holdStep + 1e-9) // rounded towards less time
	switch {
	case r.Owner:
		unacked, first, cheap = lease, math.Ceil(r.Hold/holdStep), float64(r.Places)
	case r.Lends && r.Want <= 0:
		first = lease
	}
	return append(b, byte(Clamp(unacked, 0, 255)), byte(Clamp(math.Ceil(r.Want*4), 0, 255)),
		byte(Clamp(first, 0, 255)), byte(Clamp(cheap, 0, 255)))
}

// Count is the message by which something that is no gateway hands counts to a customer's owner, in the place of
// a member: total units in all, of which fresh (63 at most) are new to the owner if it knows no member of this boot.
func Count(boot uint8, seq uint16, customer string, plan int, total, fresh float64, out int) []byte {
	b := AppendRecord(AppendHeader(nil, boot, seq), Record{Key: uint32(Point(customer) >> 32), Plan: plan,
		Total: total, Unacked: fresh, Out: out})
	b[CountAt] = 1
	return b
}

// Item is news of a server: how sick it is for a class, by the class's tag, or with LoadItem its use.
type Item struct {
	Server    uint16
	Class     int
	Value, At float64
}

// ServerMost is the largest hash of a server; the one above is stateServer.
const ServerMost = stateServer - 1

// stateServer stands in place of a server's hash in an item that tells of the sender's own level of overload. Versions before take it for the use
// of a server that they don't know.
const stateServer = math.MaxUint16

// AppendState appends the sender's level of overload, from 0 to 1, and its phase, where there is room.
func AppendState(b []byte, level float64, phase uint8) []byte {
	if len(b)+ItemLen > Limit {
		return b
	}
	return append(b, stateServer>>8, stateServer&255, LoadItem, byte(math.Round(Clamp(level, 0, 1)*255)), phase)
}

// Belie puts another level and phase into what AppendState wrote into a message, if it has that: for laboratories whose gateways lie.
func Belie(b []byte, level float64, phase uint8) {
	if len(b) < HeaderLen || b[0] != Version {
		return
	}
	for at := HeaderLen + int(b[CountAt])*RecordLen; at+ItemLen <= len(b); at += ItemLen {
		if b[at] == stateServer>>8 && b[at+1] == stateServer&255 && b[at+2] == LoadItem {
			b[at+3], b[at+4] = byte(math.Round(Clamp(level, 0, 1)*255)), phase
		}
	}
}

// State tells whether an item is what AppendState wrote, and reads it; now is the time that it was parsed at.
func (n Item) State(now float64) (level float64, phase uint8, ok bool) {
	return n.Value, uint8(math.Round((now - n.At) / itemStep)), n.Server == stateServer && n.Class == LoadItem
}

// Tag stands for a class's name.
func Tag(class string) int { return int(Point(class) % LoadItem) }

// Mix spreads the bits of x (the finaliser of splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Point is a name's point on the ring.
func Point(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Mix(h.Sum64())
}

// AppendItem appends an item, behind all records.
func AppendItem(b []byte, n Item, now float64) []byte {
	b = binary.BigEndian.AppendUint16(b, n.Server)
	return append(b, byte(n.Class), byte(Clamp(n.Value*255, 0, 255)), byte(Clamp((now-n.At)/itemStep, 0, 255)))
}

// newsKept bounds News.
const newsKept = 64

// News is what is to be told to other gateways of servers, newest last.
type News []Item

// Add puts an item on it; the oldest leave.
func (n *News) Add(x Item) {
	if *n = append(*n, x); len(*n) > newsKept {
		*n = (*n)[1:]
	}
}

// Append fills the room left in a message with the newest items, so many at most and none older than so many seconds.
func (n News) Append(b []byte, most int, now, within float64) []byte {
	for i := len(n) - 1; i >= max(0, len(n)-most) && len(b)+ItemLen <= Limit; i-- {
		if now-n[i].At < within {
			b = AppendItem(b, n[i], now)
		}
	}
	return b
}

// Parse returns false for anything that is not a whole message of this version.
func Parse(b []byte, now float64) (boot uint8, seq uint16, recs []Record, items []Item, ok bool) {
	if len(b) < HeaderLen || len(b) > Limit || b[0] != Version {
		return 0, 0, nil, nil, false
	}
	boot, seq = b[1], binary.BigEndian.Uint16(b[2:])
	n := int(b[CountAt])
	b = b[HeaderLen:]
	if len(b) < n*RecordLen || (len(b)-n*RecordLen)%ItemLen != 0 {
		return 0, 0, nil, nil, false
	}
	for ; n > 0; n, b = n-1, b[RecordLen:] {
		r := Record{
			Key: binary.BigEndian.Uint32(b), Plan: int(b[4] & 15), Owner: b[4]>>7 == 1, Known: b[4]>>6&1 == 1,
			Flag: b[4]>>5&1 == 1, Lends: b[4]>>4&1 == 1, Total: float64(binary.BigEndian.Uint16(b[5:])) / 4,
			Room: float64(int16(binary.BigEndian.Uint16(b[7:]))) / 4,
			Rate: float64(binary.BigEndian.Uint16(b[9:])) / 4, Out: int(binary.BigEndian.Uint16(b[11:])),
			Want: float64(b[14]) / 4,
		}
		switch {
		case r.Owner:
			if r.Hold = float64(b[15]) * holdStep; r.Lends {
				r.Lease, r.Places = float64(b[13])*holdStep, int(b[16])
			}
		case r.Lends && b[14] == 0:
			r.Lease, r.Unacked, r.Cheap = float64(b[15])*holdStep, float64(b[13])/4, float64(b[16])/255
		default:
			r.First, r.Unacked, r.Cheap = float64(b[15])/4, float64(b[13])/4, float64(b[16])/255
		}
		recs = append(recs, r)
	}
	for ; len(b) > 0; b = b[ItemLen:] {
		items = append(items, Item{binary.BigEndian.Uint16(b), int(b[2]), float64(b[3]) / 255,
			now - float64(b[4])*itemStep})
	}
	return boot, seq, recs, items, true
}

// Order tells old messages of one sender from new ones, by its life and its sequence numbers.
type Order struct {
	Boot uint8
	Seq  uint16
}

// Late tells whether a message is older than one taken in already, or comes twice; if not, it is taken in.
func (o *Order) Late(boot uint8, seq uint16) bool {
	if boot == o.Boot && o.Seq != 0 && int16(seq-o.Seq) <= 0 {
		return true
	}
	o.Boot, o.Seq = boot, seq
	return false
}
