package policy

import (
	"encoding/binary"
	"math"
)

// The bytes of a message between gateways: a header, then records of fixed
// size. What goes in, when and to whom is decided in policy.go.

const (
	msgVersion = 2
	msgHeader  = 5
	msgCount   = 4 // where the number of records stands
	msgItem    = 5
	loadItem   = 255  // in place of a class: the item is a server's use
	itemStep   = 0.02 // seconds
	msgRecord  = 17
	msgLimit   = 256
	holdStep   = 0.05 // seconds
)

// record is what two gateways tell each other of one customer. From a member to
// the owner, Total is the member's count, Rate what it is asked for, Room the room
// it last heard. From the owner, Total is the count it has taken in or set aside,
// Rate what all others are asked for, Room the room left of the whole quota.
type record struct {
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
}

func appendHeader(b []byte, boot uint8, seq uint16) []byte {
	return append(b, msgVersion, boot, byte(seq>>8), byte(seq), 0)
}

func clamp(x, lo, hi float64) float64 { return min(max(x, lo), hi) }

func appendRecord(b []byte, r record) []byte {
	head := byte(r.Plan & 15)
	for i, on := range []bool{r.Owner, r.Known, r.Flag} {
		if on {
			head |= 1 << (7 - i)
		}
	}
	b = append(binary.BigEndian.AppendUint32(b, r.Key), head)
	b = binary.BigEndian.AppendUint16(b, uint16(int64(math.Floor(r.Total*4+0.5))))
	b = binary.BigEndian.AppendUint16(b, uint16(int16(clamp(r.Room*4, -256, 32000))))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(r.Rate*4, 0, math.MaxUint16)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(float64(r.Out), 0, math.MaxUint16)))
	first := math.Ceil(r.First * 4)
	if r.Owner {
		first = math.Ceil(r.Hold / holdStep)
	}
	return append(b, byte(clamp(r.Unacked*4, 0, 255)), byte(clamp(math.Ceil(r.Want*4), 0, 255)),
		byte(clamp(first, 0, 255)), byte(clamp(r.Cheap*255, 0, 255)))
}

// Count is the message by which something that is no gateway hands counts to a customer's owner, in the place of
// a member: total units in all, of which fresh (63 at most) are new to the owner if it knows no member of this boot.
func Count(boot uint8, seq uint16, customer string, plan int, total, fresh float64, out int) []byte {
	b := appendRecord(appendHeader(nil, boot, seq), record{Key: uint32(hashOf(customer) >> 32), Plan: plan,
		Total: total, Unacked: fresh, Out: out})
	b[msgCount] = 1
	return b
}

func appendItem(b []byte, n item, now float64) []byte {
	b = binary.BigEndian.AppendUint16(b, n.server)
	return append(b, byte(n.class), byte(clamp(n.value*255, 0, 255)), byte(clamp((now-n.at)/itemStep, 0, 255)))
}

// parseMessage returns false for anything that is not a whole message of this version.
func parseMessage(b []byte, now float64) (boot uint8, seq uint16, recs []record, items []item, ok bool) {
	if len(b) < msgHeader || len(b) > msgLimit || b[0] != msgVersion {
		return 0, 0, nil, nil, false
	}
	boot, seq = b[1], binary.BigEndian.Uint16(b[2:])
	n := int(b[msgCount])
	b = b[msgHeader:]
	if len(b) < n*msgRecord || (len(b)-n*msgRecord)%msgItem != 0 {
		return 0, 0, nil, nil, false
	}
	for ; n > 0; n, b = n-1, b[msgRecord:] {
		r := record{
			Key: binary.BigEndian.Uint32(b), Plan: int(b[4] & 15), Owner: b[4]>>7 == 1, Known: b[4]>>6&1 == 1,
			Flag: b[4]>>5&1 == 1, Total: float64(binary.BigEndian.Uint16(b[5:])) / 4,
			Room: float64(int16(binary.BigEndian.Uint16(b[7:]))) / 4,
			Rate: float64(binary.BigEndian.Uint16(b[9:])) / 4, Out: int(binary.BigEndian.Uint16(b[11:])),
			Unacked: float64(b[13]) / 4, Want: float64(b[14]) / 4, Cheap: float64(b[16]) / 255,
		}
		if r.Owner {
			r.Hold = float64(b[15]) * holdStep
		} else {
			r.First = float64(b[15]) / 4
		}
		recs = append(recs, r)
	}
	for ; len(b) > 0; b = b[msgItem:] {
		items = append(items, item{binary.BigEndian.Uint16(b), int(b[2]), float64(b[3]) / 255,
			now - float64(b[4])*itemStep})
	}
	return boot, seq, recs, items, true
}
