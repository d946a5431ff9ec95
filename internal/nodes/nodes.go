// Package nodes is a gateway's table of the servers that it was told of: by their ids in order, and by the short hash by which gateways speak of
// them. It does no I/O and decides nothing: which server gets a request is package policy's.
package nodes

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/peermsg"
	"eiderspread/internal/subset"
	"eiderspread/internal/terms"
)

// Entry is what the table needs of a server; the caller's own type embeds it.
type Entry struct {
	terms.Server
	Point  uint64 // a hash of its id
	Hash   uint16 // the part of it by which gateways speak of the server
	Listed bool   // in the list of the moment, drained or not
}

// Warm is the least part of its capacity that the server must have by now: from at its start, all after coldS seconds.
func (e *Entry) Warm(now, coldS, from float64) float64 {
	age := now - e.SinceS
	if e.SinceS <= 0 || age >= coldS || coldS <= 0 {
		return 1
	}
	return from + (1-from)*max(age, 0)/coldS
}

// Table holds servers of the caller's type.
type Table[T any] struct {
	By     map[string]*T
	Order  []*T // those listed, by id
	byHash map[uint16]*T
	entry  func(*T) *Entry
	near   []*T
	stale  bool // near is of a former list
}

// New returns an empty table; entry finds the Entry in a server.
func New[T any](entry func(*T) *Entry) Table[T] {
	return Table[T]{By: map[string]*T{}, byHash: map[uint16]*T{}, entry: entry}
}

// List takes in a list, whole or only what changed. It calls fresh for a server never seen, and restarted for each that has started anew.
func (t *Table[T]) List(list []terms.Server, whole bool, fresh func() *T, restarted func(*T)) {
	for _, s := range t.Order {
		e := t.entry(s)
		e.Listed = e.Listed && !whole
	}
	for _, told := range list {
		s := t.By[told.ID]
		if s == nil {
			s = fresh()
			t.By[told.ID] = s
			t.entry(s).Point = peermsg.Point(told.ID)
			t.entry(s).Hash = min(uint16(t.entry(s).Point), peermsg.ServerMost)
			t.index(s)
		} else if told.SinceS > t.entry(s).SinceS {
			restarted(s)
		}
		e := t.entry(s)
		e.Server, e.Listed = told, told.State != terms.Removed
	}
	t.Order = t.Order[:0]
	for _, s := range t.By {
		if t.entry(s).Listed {
			t.Order = append(t.Order, s)
		}
	}
	slices.SortFunc(t.Order, func(a, b *T) int { return cmp.Compare(t.entry(a).ID, t.entry(b).ID) })
	t.stale = true
}

// Near is the part of the listed servers that gateway me prefers, size of them, those of its own zone first where that is asked; servers that drain
// keep their places as long as they are listed, and are passed over by the caller.
func (t *Table[T]) Near(me, size int, zone string, own bool) []*T {
	if !t.stale && len(t.near) == min(size, len(t.Order)) {
		return t.near
	}
	ids, from := make([]uint64, 0, len(t.Order)), make([]*T, 0, len(t.Order))
	t.near = t.near[:0]
	for _, here := range []bool{true, false} {
		ids, from = ids[:0], from[:0]
		for _, s := range t.Order {
			if e := t.entry(s); (!own || e.Zone == zone) == here {
				ids, from = append(ids, e.Point), append(from, s)
			}
		}
		for _, i := range subset.Rendezvous(ids, me, 0, size-len(t.near)) {
			t.near = append(t.near, from[i])
		}
	}
	t.stale = false
	return t.near
}

// index finds a server by its hash. Of two with the same one, what is told of either is not used.
func (t *Table[T]) index(s *T) {
	hash := t.entry(s).Hash
	if _, twice := t.byHash[hash]; twice {
		s = nil
	}
	t.byHash[hash] = s
}

// Heard is the server of a hash; nil if there is none, or more than one.
func (t *Table[T]) Heard(hash uint16) *T { return t.byHash[hash] }

// Len is how many are kept, and how many hashes.
func (t *Table[T]) Len() (servers, hashes int) { return len(t.By), len(t.byHash) }

// Forget drops servers that are not listed any more and not in use.
func (t *Table[T]) Forget(used func(*T) bool) {
	before := len(t.By)
	maps.DeleteFunc(t.By, func(_ string, s *T) bool { return !t.entry(s).Listed && !used(s) })
	if len(t.By) == before {
		return
	}
	clear(t.byHash)
	for _, s := range t.By {
		t.index(s)
	}
}
