package ingress

import "hash/maphash"

const (
	// duplicateWindowS is for how many seconds after a value the same bytes on its connection are treated as its duplicate. The values of
	// different requests differ, and so do the load reports beside them. A reply without a value may legitimately repeat: its connection is
	// not reused for duplicateWindowS, so that a duplicate is not taken for the reply to the next command.
	duplicateWindowS = 0.1
	// duplicateHistory is the number of previous values that a value is compared with.
	duplicateHistory = 4
)

var hashSeed = maphash.MakeSeed()

// duplicateFilter remembers the last values received on a connection. Owned by the connection's reader.
type duplicateFilter struct {
	entries [duplicateHistory]struct {
		hash       uint64
		receivedAt float64
	}
	next int // index of the oldest entry
}

// seen reports whether the same value, or start of a large value, was received less than withinS seconds before at. If not, it is recorded.
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
