// Package nodes is a gateway's table of the servers that it was told of: by their ids in order, and by the short hash by which gateways speak of
// them. It does no I/O and decides nothing: which server gets a request is package policy's.
package nodes

import (
	"cmp"
	"maps"
	"slices"

	"eiderspread/internal/peermsg"
	"eiderspread/internal/terms"
)

// Entry is what the table needs of a server; the caller's own type embeds it.
type Entry struct {
	terms.Server
	Hash   uint16
	Listed bool // in the list of the moment, drained or not
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
			t.entry(s).Hash = uint16(peermsg.Point(told.ID))
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
