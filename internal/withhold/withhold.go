// Package withhold decides which backends the operators of a two-level fleet hold, so that a hold said yes to at any planner binds
// whichever planner leads afterwards. Each id is a register: the word with the greatest version holds. Forwarders keep the words (Words),
// a planner that operators call reads and writes them at a majority (Caller). No I/O; time comes in as a value, in seconds.
//
// Why a majority of forwarders is enough is in docs/two-levels-by-hand.md: a planner that leads rests on promises of a majority, one of
// which was given, on the same link, behind the word.
package withhold

import (
	"errors"
	"maps"
	"slices"
)

// Most bounds the ids of a Words, and the calls of a Caller that are under way together.
const (
	Most      = 4096
	MostCalls = 64
)

// Errors of a call.
var (
	ErrMany    = errors.New("too many backends are held, or too many calls are under way")
	ErrNoWord  = errors.New("too few forwarders answered in time: it may hold or not, call again")
	ErrUnknown = errors.New("no backend of this id is listed or held")
)

// Word is what was last said of an id. Of two words the one of the greater version holds; a version is made by one planner's call alone.
type Word struct {
	Version uint64
	Held    bool
}

const plannerBits = 6 // of a version, for the planner that made it: fleet.Params allows 64

// next is a version above another, made by a planner.
func next(above uint64, planner int) uint64 {
	return (above>>plannerBits+1)<<plannerBits | uint64(planner)
}

// Words are the latest words that somebody has heard, at most Most of them. The zero value is empty.
type Words struct{ by map[string]Word }

// Get returns the latest word on an id; its zero value where there is none.
func (w *Words) Get(id string) Word { return w.by[id] }

// Merge takes a word in and tells whether it was newer, and held differently from before. A new id beyond the bound is not taken.
func (w *Words) Merge(id string, x Word) (newer, changed bool) {
	old, known := w.by[id]
	if x.Version <= old.Version || !known && len(w.by) >= Most {
		return false, false
	}
	if w.by == nil {
		w.by = map[string]Word{}
	}
	w.by[id] = x
	return true, old.Held != x.Held
}

// Each calls f for every word, by id.
func (w *Words) Each(f func(id string, x Word)) {
	for _, id := range slices.Sorted(maps.Keys(w.by)) {
		f(id, w.by[id])
	}
}

// Held lists what is held, by id.
func (w *Words) Held() (ids []string) {
	w.Each(func(id string, x Word) {
		if x.Held {
			ids = append(ids, id)
		}
	})
	return ids
}

// Out is what a Caller asks for. It is used while one of its methods runs.
type Out interface {
	Ask(forwarder int, call uint64, id string)          // wants the forwarder's word
	Tell(forwarder int, call uint64, id string, x Word) // wants it merged, and the forwarder's word back
	Heard(id string, x Word)                            // a newer word was heard, here or there; it holds from now on
}

// Caller is a planner's side. It is not safe for concurrent use.
type Caller struct {
	me, majority int
	settle       float64
	words        Words
	up           []bool // forwarders that understand holds
	out          Out
	calls        map[uint64]*call // at most MostCalls
	last         uint64
}

// call is one operator's call: it reads the latest version at a majority, writes a greater one there, and then waits until every lead that
// began without it has ended.
type call struct {
	id      string
	held    bool
	word    Word // Version 0: still reading
	most    uint64
	said    []bool
	n       int
	settled float64 // when it holds everywhere, 0: not known yet
	ends    float64
	done    func(error)
}

// NewCaller returns the side of planner me, with no forwarder linked. settle is for how long a lead may go on without a majority: a lease.
func NewCaller(me, forwarders, majority int, settle float64, out Out) *Caller {
	return &Caller{me: me, majority: majority, settle: settle, up: make([]bool, forwarders), out: out, calls: map[uint64]*call{}}
}

// Words are the latest words heard here.
func (c *Caller) Words() *Words { return &c.words }

// LinkUp takes a link to a forwarder that understands holds: it hears all words.
func (c *Caller) LinkUp(f int) {
	c.up[f] = true
	c.words.Each(func(id string, x Word) { c.out.Tell(f, 0, id, x) })
	for _, n := range c.order() {
		c.send(f, n)
	}
}

// LinkDown takes the link's end. What it acknowledged counts: the word was taken in, and if it forgets, it has a new life, which promises
// nothing for a lease.
func (c *Caller) LinkDown(f int) { c.up[f] = false }

func (c *Caller) order() []uint64 { return slices.Sorted(maps.Keys(c.calls)) }

func (c *Caller) send(f int, n uint64) {
	k := c.calls[n]
	switch {
	case !c.up[f] || k.said[f]:
	case k.word.Version == 0:
		c.out.Ask(f, n, k.id)
	default:
		c.out.Tell(f, n, k.id, k.word)
	}
}

// Call begins an operator's call, which ends by done: nil once it holds, whichever planner leads. It is not called before Call returns.
func (c *Caller) Call(now, within float64, id string, held bool, done func(error)) error {
	if len(c.calls) >= MostCalls || c.words.Get(id).Version == 0 && len(c.words.by) >= Most {
		return ErrMany
	}
	c.last++
	c.calls[c.last] = &call{id: id, held: held, most: c.words.Get(id).Version, said: make([]bool, len(c.up)), ends: now + within, done: done}
	for f := range c.up {
		c.send(f, c.last)
	}
	return nil
}

// Word takes a forwarder's word: the answer to a call, or with call 0 news.
func (c *Caller) Word(now float64, f int, n uint64, id string, x Word) {
	c.merge(id, x)
	k := c.calls[n]
	if k == nil || k.id != id || k.said[f] || k.settled > 0 {
		return
	}
	if k.word.Version > 0 && x.Version < k.word.Version {
		return // an answer to the reading that came late
	}
	k.said[f] = true
	k.n++
	k.most = max(k.most, x.Version)
	if k.n < c.majority {
		return
	}
	if k.word.Version > 0 {
		k.settled = now + c.settle
		return
	}
	k.word, k.n = Word{next(max(k.most, c.words.Get(id).Version), c.me), k.held}, 0
	clear(k.said)
	c.merge(id, k.word)
	for f := range c.up {
		c.send(f, n)
	}
}

func (c *Caller) merge(id string, x Word) {
	if newer, _ := c.words.Merge(id, x); newer {
		c.out.Heard(id, x)
	}
}

// Tick ends the calls that hold and those whose time is over.
func (c *Caller) Tick(now float64) {
	for _, n := range c.order() {
		switch k := c.calls[n]; {
		case k.settled > 0 && now >= k.settled:
			delete(c.calls, n)
			k.done(nil)
		case now >= k.ends:
			delete(c.calls, n)
			k.done(ErrNoWord)
		}
	}
}
