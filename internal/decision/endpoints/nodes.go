// Package nodes is a gateway's table of the servers that it was told of: by their ids in order, and by the short hash by which gateways speak of
// them. It does no I/O and decides nothing: which server gets a request is package policy's.
package endpoints

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/subset"
)

// Endpoint is what the table needs of a server; the caller's own type embeds it.
type Endpoint struct {
	config.Backend
	RingPoint uint64 // a hash of its id
	ShortHash uint16 // the part of it by which gateways speak of the server
	Listed    bool   // in the list of the moment, drained or not
}

// WarmFraction is the least part of its capacity that the server must have by now: from at its start, all after coldS seconds.
func (e *Endpoint) WarmFraction(now, coldS, from float64) float64 {
	age := now - e.StartedAt
	if e.StartedAt <= 0 || age >= coldS || coldS <= 0 {
		return 1
	}
	return from + (1-from)*max(age, 0)/coldS
}

// Table holds servers of the caller's type.
type Table[T any] struct {
	ByID           map[string]*T
	Listed         []*T // those listed, by id
	byShortHash    map[uint16]*T
	endpointOf     func(*T) *Endpoint
	preferred      []*T
	preferredStale bool // near is of a former list
}

// NewTable returns an empty table; entry finds the Entry in a server.
func NewTable[T any](entry func(*T) *Endpoint) Table[T] {
	return Table[T]{ByID: map[string]*T{}, byShortHash: map[uint16]*T{}, endpointOf: entry}
}

// Update takes in a list, whole or only what changed. It calls fresh for a server never seen, and restarted for each that has started anew.
func (t *Table[T]) Update(list []config.Backend, whole bool, fresh func() *T, restarted func(*T)) {
	for _, s := range t.Listed {
		e := t.endpointOf(s)
		e.Listed = e.Listed && !whole
	}
	for _, told := range list {
		s := t.ByID[told.ID]
		if s == nil {
			s = fresh()
			t.ByID[told.ID] = s
			t.endpointOf(s).RingPoint = peerprotocol.HashPoint(told.ID)
			t.endpointOf(s).ShortHash = min(uint16(t.endpointOf(s).RingPoint), peerprotocol.MaxBackendHash)
			t.indexShortHash(s)
		} else if told.StartedAt > t.endpointOf(s).StartedAt {
			restarted(s)
		}
		e := t.endpointOf(s)
		e.Backend, e.Listed = told, told.State != config.Removed
	}
	t.Listed = t.Listed[:0]
	for _, s := range t.ByID {
		if t.endpointOf(s).Listed {
			t.Listed = append(t.Listed, s)
		}
	}
	slices.SortFunc(t.Listed, func(a, b *T) int { return cmp.Compare(t.endpointOf(a).ID, t.endpointOf(b).ID) })
	t.preferredStale = true
}

// Preferred is the part of the listed servers that gateway me prefers, size of them, those of its own zone first where that is asked; servers that drain
// keep their places as long as they are listed, and are passed over by the caller.
func (t *Table[T]) Preferred(me, size int, zone string, own bool) []*T {
	if !t.preferredStale && len(t.preferred) == min(size, len(t.Listed)) {
		return t.preferred
	}
	ids, from := make([]uint64, 0, len(t.Listed)), make([]*T, 0, len(t.Listed))
	t.preferred = t.preferred[:0]
	for _, here := range []bool{true, false} {
		ids, from = ids[:0], from[:0]
		for _, s := range t.Listed {
			if e := t.endpointOf(s); (!own || e.Zone == zone) == here {
				ids, from = append(ids, e.RingPoint), append(from, s)
			}
		}
		for _, i := range subset.Rendezvous(ids, me, 0, size-len(t.preferred)) {
			t.preferred = append(t.preferred, from[i])
		}
	}
	t.preferredStale = false
	return t.preferred
}

// indexShortHash finds a server by its hash. Of two with the same one, what is told of either is not used.
func (t *Table[T]) indexShortHash(s *T) {
	hash := t.endpointOf(s).ShortHash
	if _, twice := t.byShortHash[hash]; twice {
		s = nil
	}
	t.byShortHash[hash] = s
}

// ByShortHash is the server of a hash; nil if there is none, or more than one.
func (t *Table[T]) ByShortHash(hash uint16) *T { return t.byShortHash[hash] }

// Len is how many are kept, and how many hashes.
func (t *Table[T]) Len() (servers, hashes int) { return len(t.ByID), len(t.byShortHash) }

// Prune drops servers that are not listed any more and not in use.
func (t *Table[T]) Prune(used func(*T) bool) {
	before := len(t.ByID)
	maps.DeleteFunc(t.ByID, func(_ string, s *T) bool { return !t.endpointOf(s).Listed && !used(s) })
	if len(t.ByID) == before {
		return
	}
	clear(t.byShortHash)
	for _, s := range t.ByID {
		t.indexShortHash(s)
	}
}
