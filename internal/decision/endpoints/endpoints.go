// Package endpoints provides a gateway's table of backends, indexed by id and by the short hash that identifies a
// backend in gossip. It does no I/O; package policy selects the backend for a request.
package endpoints

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/config"
	"eiderspread/internal/decision/subset"
)

// Endpoint is the table's state of one backend. The caller's backend type embeds it.
type Endpoint struct {
	config.Backend
	RingPoint uint64 // hash of the id
	ShortHash uint16 // low 16 bits of RingPoint, at most peerprotocol.MaxBackendHash; identifies the backend in gossip
	Listed    bool   // the backend is in the current endpoint list, possibly draining
}

// WarmFraction returns the fraction of its capacity, from initial to 1, that the backend is expected to serve in
// its slow start: it grows linearly over the slowStartS seconds after the backend's start. It is 1 if the start is
// unknown (StartedAt 0) or slowStartS is not above 0.
func (e *Endpoint) WarmFraction(now, slowStartS, initial float64) float64 {
	age := now - e.StartedAt
	if e.StartedAt <= 0 || age >= slowStartS || slowStartS <= 0 {
		return 1
	}
	return initial + (1-initial)*max(age, 0)/slowStartS
}

// Table holds backends of the caller's type T. Backends that leave the endpoint list stay in the table until
// Prune drops them.
type Table[T any] struct {
	ByID   map[string]*T // all backends, listed or not
	Listed []*T          // listed backends, sorted by id

	byShortHash    map[uint16]*T // nil for a hash that two backends share
	endpointOf     func(*T) *Endpoint
	preferred      []*T // cached result of Preferred
	preferredStale bool // the endpoint list has changed since preferred was computed
}

// NewTable returns an empty table. endpointOf must return the Endpoint that a backend embeds.
func NewTable[T any](endpointOf func(*T) *Endpoint) Table[T] {
	return Table[T]{ByID: map[string]*T{}, byShortHash: map[uint16]*T{}, endpointOf: endpointOf}
}

// Update applies an endpoint list: the full list if full is set, otherwise only the changed endpoints. It calls
// create for each backend that is not in the table, and restarted for each backend with a newer StartedAt.
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

// Preferred returns the subset of the listed backends that this gateway prefers, at most size backends, those of
// its own zone first if zoneFirst is set. Draining backends stay in the subset while they are listed; the caller
// skips them. The result is valid until the next call.
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

// indexShortHash indexes a backend by its short hash. If another backend has the same hash, it identifies neither.
func (t *Table[T]) indexShortHash(b *T) {
	hash := t.endpointOf(b).ShortHash
	if _, taken := t.byShortHash[hash]; taken {
		b = nil
	}
	t.byShortHash[hash] = b
}

// ByShortHash returns the backend with a short hash; nil if no backend or more than one has it.
func (t *Table[T]) ByShortHash(hash uint16) *T { return t.byShortHash[hash] }

// Len returns the number of backends in the table and the number of their distinct short hashes.
func (t *Table[T]) Len() (backends, shortHashes int) { return len(t.ByID), len(t.byShortHash) }

// Prune drops the backends that are neither listed nor in use.
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
