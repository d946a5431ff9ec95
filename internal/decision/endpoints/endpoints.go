// Package endpoints is a gateway's table of the backends in its endpoint list: by id, and by the short hash
// with which gateways name them in gossip. It does no I/O; which backend gets a request is decided in package
// policy.
package endpoints

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/subset"
)

// Endpoint is what the table keeps of a backend. The caller's own backend type embeds it.
type Endpoint struct {
	config.Backend
	RingPoint uint64 // hash of the id
	ShortHash uint16 // part of RingPoint, the backend's name in gossip
	Listed    bool   // in the current endpoint list, draining or not
}

// WarmFraction returns the part of its capacity, from initial to 1, that the backend must be able to serve by
// now: it grows linearly over slowStartS seconds after its start. It is 1 if the start is unknown (StartedAt 0)
// or slowStartS is not above 0.
func (e *Endpoint) WarmFraction(now, slowStartS, initial float64) float64 {
	age := now - e.StartedAt
	if e.StartedAt <= 0 || age >= slowStartS || slowStartS <= 0 {
		return 1
	}
	return initial + (1-initial)*max(age, 0)/slowStartS
}

// Table holds backends of the caller's type T. Backends that leave the list stay in the table until Prune
// drops them.
type Table[T any] struct {
	ByID   map[string]*T // listed or not
	Listed []*T          // by id

	byShortHash    map[uint16]*T // nil for a hash that two backends share
	endpointOf     func(*T) *Endpoint
	preferred      []*T // cached result of Preferred
	preferredStale bool // the list has changed since
}

// NewTable returns an empty table; endpointOf returns the Endpoint that a backend embeds.
func NewTable[T any](endpointOf func(*T) *Endpoint) Table[T] {
	return Table[T]{ByID: map[string]*T{}, byShortHash: map[uint16]*T{}, endpointOf: endpointOf}
}

// Update applies an endpoint list: the full list, or only the endpoints that changed. It calls create for each
// backend not in the table, and restarted for each whose process has started anew.
func (t *Table[T]) Update(list []config.Backend, full bool, create func() *T, restarted func(*T)) {
	for _, b := range t.Listed {
		e := t.endpointOf(b)
		e.Listed = e.Listed && !full
	}
	for _, update := range list {
		b := t.ByID[update.ID]
		if b == nil {
			b = t.add(update.ID, create())
		} else if update.StartedAt > t.endpointOf(b).StartedAt {
			restarted(b)
		}
		e := t.endpointOf(b)
		e.Backend, e.Listed = update, update.State != config.Removed
	}
	t.Listed = t.Listed[:0]
	for _, b := range t.ByID {
		if t.endpointOf(b).Listed {
			t.Listed = append(t.Listed, b)
		}
	}
	slices.SortFunc(t.Listed, func(a, b *T) int { return cmp.Compare(t.endpointOf(a).ID, t.endpointOf(b).ID) })
	t.preferredStale = true
}

func (t *Table[T]) add(id string, b *T) *T {
	t.ByID[id] = b
	e := t.endpointOf(b)
	e.RingPoint = peerprotocol.HashPoint(id)
	e.ShortHash = min(uint16(e.RingPoint), peerprotocol.MaxBackendHash)
	t.indexShortHash(b)
	return b
}

// Preferred returns the subset of the listed backends that this gateway prefers, size of them at most, those
// of its own zone first if zoneFirst is set. Draining backends keep their places while they are listed; the
// caller passes over them. The result is valid until the next call.
func (t *Table[T]) Preferred(gateway, size int, zone string, zoneFirst bool) []*T {
	if !t.preferredStale && len(t.preferred) == min(size, len(t.Listed)) {
		return t.preferred
	}
	points, candidates := make([]uint64, 0, len(t.Listed)), make([]*T, 0, len(t.Listed))
	t.preferred = t.preferred[:0]
	for _, local := range []bool{true, false} {
		points, candidates = points[:0], candidates[:0]
		for _, b := range t.Listed {
			if e := t.endpointOf(b); (!zoneFirst || e.Zone == zone) == local {
				points, candidates = append(points, e.RingPoint), append(candidates, b)
			}
		}
		for _, i := range subset.Rendezvous(points, gateway, 0, size-len(t.preferred)) {
			t.preferred = append(t.preferred, candidates[i])
		}
	}
	t.preferredStale = false
	return t.preferred
}

// indexShortHash makes a backend known by its short hash. Of two with the same one neither is known by it.
func (t *Table[T]) indexShortHash(b *T) {
	hash := t.endpointOf(b).ShortHash
	if _, taken := t.byShortHash[hash]; taken {
		b = nil
	}
	t.byShortHash[hash] = b
}

// ByShortHash returns the backend of a short hash; nil if there is none, or more than one.
func (t *Table[T]) ByShortHash(hash uint16) *T { return t.byShortHash[hash] }

// Len returns how many backends are in the table, and how many short hashes they have.
func (t *Table[T]) Len() (backends, shortHashes int) { return len(t.ByID), len(t.byShortHash) }

// Prune drops backends that are neither listed nor in use.
func (t *Table[T]) Prune(inUse func(*T) bool) {
	before := len(t.ByID)
	maps.DeleteFunc(t.ByID, func(_ string, b *T) bool { return !t.endpointOf(b).Listed && !inUse(b) })
	if len(t.ByID) == before {
		return
	}
	clear(t.byShortHash)
	for _, b := range t.ByID {
		t.indexShortHash(b)
	}
}
