package ingress

import "hash/maphash"

const (
	// duplicateWindowS is how long after a value the same bytes on its connection are taken for its duplicate. Values of requests differ, as do the
	// load reports beside them. A reply that is no value may well come twice: its connection is left alone for so long, so that a duplicate
	// meets no other command.
	duplicateWindowS = 0.1
	// duplicateHistory is how many values back a duplicate may be of.
	duplicateHistory = 4
)

var hashSeed = maphash.MakeSeed()

// duplicateFilter knows the last values that came on a connection. Of the connection's reader.
type duplicateFilter struct {
	entries [duplicateHistory]struct {
		hash       uint64
		receivedAt float64
	}
	next int // the oldest entry
}

// seen reports whether a value, or the start of a large one, came before within so many seconds; if not it is recorded.
func (f *duplicateFilter) seen(value []byte, at, withinS float64) bool {
	hash := maphash.Bytes(hashSeed, value)
	for _, e := range f.entries {
		if e.hash == hash && at-e.receivedAt < withinS {
			return true
		}
	}
	f.entries[f.next].hash, f.entries[f.next].receivedAt = hash, at
	f.next = (f.next + 1) % duplicateHistory
	return false
}
