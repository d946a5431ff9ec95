// Package member joins what several sources say of zone nodes into one list, and knows how far each can be trusted.
// It does no I/O and takes time as a value; docs/membership.md states the rules.
package member

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// State is what a source says of a node, the stricter the greater.
type State int

// The states, from the mildest.
const (
	Up State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Identity tells nodes apart: a restarted one, a new one at an old address, an old id at a new address. StartedMS is
// Unix milliseconds; 0 in a source's word stands for every start.
type Identity struct {
	ID, Addr  string
	StartedMS int64
}

// Node is a source's word on a node.
type Node struct {
	Identity
	State  State
	Zone   string
	Cell   int
	Weight float64
}

// Config states how the sources are to be trusted. Times are in seconds.
type Config struct {
	StaleS   map[string]float64 // by source: without a word for so long it is stale
	OrphanS  float64            // a node that no current source knows gets no new work after so long
	FlapS    float64            // returns within this time of each other count as flapping
	FlapMost float64            // the longest wait of a node that returns
}

// Entry is one node of the joined list, and why it stands as it does.
type Entry struct {
	Node
	Why string
}

const dueSlack = 1e-6 // seconds: what is over after a time is looked at right behind it

// goneS at least the word gone is kept, in seconds, once no source lists the node: another source may be so late with its own.
const goneS = 60

const flapFirst = 1.0 // seconds that the second return within FlapS waits; each further one twice as long

// Core joins sources. It is not safe for concurrent use; times are Unix seconds that never go back.
type Core struct {
	cfg     Config
	now     float64
	sources map[string]*source
	list    map[string]*entry // by id
	due     float64           // when time alone may change a node
	sweepAt float64
}

type source struct {
	name    string
	current bool // has read the whole, and speaks
	read    bool // has read the whole, ever
	heardAt float64
	words   map[string]Node // by id: the last of each; a deletion is Gone
	marks   map[string]Node // by id: words on the id alone that are not up
	pending map[string]Node // milder words of a time in which it was stale
}

type entry struct {
	Entry
	outAt   float64 // when it last left Up
	returns int     // within FlapS of each other
	backAt  float64 // of the last return
	holdTo  float64 // no return before
	knownAt float64 // when a current source last knew it
}

// New returns a core that knows nothing but the known list, which may be old: its nodes stand as they are for as long
// as no source is current.
func New(cfg Config, now float64, known []Node) *Core {
	c := &Core{cfg: cfg, now: now, sources: map[string]*source{}, list: map[string]*entry{}}
	for name := range cfg.StaleS {
		c.sources[name] = &source{name: name, heardAt: math.Inf(-1), words: map[string]Node{}, marks: map[string]Node{}, pending: map[string]Node{}}
	}
	for _, n := range known {
		if n.State != Gone {
			c.list[n.ID] = &entry{Entry: Entry{n, "known from before"}, knownAt: now}
		}
	}
	return c
}

// Whole takes all that a source lists, at one revision. What it named before and does not list is gone; a mark that it
// does not name any more is taken back.
func (c *Core) Whole(now float64, name string, nodes []Node) []Entry {
	c.now = max(c.now, now)
	s := c.sources[name]
	listed := map[string]bool{}
	clear(s.marks)
	clear(s.pending)
	for _, n := range nodes {
		listed[n.ID] = n.Addr != ""
		s.set(n)
	}
	for id, n := range s.words {
		if !listed[id] {
			n.State = Gone
			s.words[id] = n
		}
	}
	s.current, s.read, s.heardAt = true, true, c.now
	return c.join()
}

// set takes one word in. One without an address is on the id alone: gone if the node is deleted, else a mark.
func (s *source) set(n Node) {
	switch {
	case n.Addr != "":
		s.words[n.ID] = n
		delete(s.marks, n.ID) // the word holds it, too
	case n.State == Gone:
		if w, ok := s.words[n.ID]; ok {
			w.State = Gone
			s.words[n.ID] = w
		}
	case n.State == Up:
		delete(s.marks, n.ID)
	default:
		s.marks[n.ID] = n
	}
}

// milder tells that a word takes something back that the source has said.
func (s *source) milder(n Node) bool {
	w, ok := s.words[n.ID]
	m, marked := s.marks[n.ID]
	return ok && (n.Addr != "" && covers(w.Identity, n.Identity)) && n.State < w.State || marked && n.State < m.State
}

// Change takes what changed at one revision, behind all that the source has told. A source that is not current has
// gaps: its changes make it no more current, and count only where they are stricter, the others once it is.
func (c *Core) Change(now float64, name string, nodes []Node) []Entry {
	c.now = max(c.now, now)
	s := c.sources[name]
	var ids []string
	for _, n := range nodes {
		if !s.current && s.milder(n) {
			s.pending[n.ID] = n // rule 3
			continue
		}
		delete(s.pending, n.ID)
		s.set(n)
		ids = append(ids, n.ID)
	}
	if s.current {
		s.heardAt = c.now
	}
	slices.Sort(ids)
	return c.joinOf(slices.Compact(ids))
}

// Resumed takes a source's word that it has told all up to now, without a gap.
func (c *Core) Resumed(now float64, name string) []Entry {
	c.now = max(c.now, now)
	s := c.sources[name]
	if !s.read {
		return nil
	}
	was := s.current
	s.current, s.heardAt = true, c.now
	for _, n := range s.pending {
		s.set(n)
	}
	clear(s.pending)
	if was {
		return nil // nothing new: Change has told the rest
	}
	return c.join()
}

// Broken notes that a source may have gaps from now on: it is stale until it has told the whole.
func (c *Core) Broken(now float64, name string) []Entry {
	c.now = max(c.now, now)
	c.stale(c.sources[name])
	return c.join()
}

// Tick looks after silence and waits; call it a few times a second.
func (c *Core) Tick(now float64) []Entry {
	c.now = max(c.now, now)
	flipped := false
	for _, s := range c.sources {
		if s.current && c.now > s.heardAt+c.cfg.StaleS[s.name] {
			c.stale(s)
			flipped = true
		}
	}
	var changed []Entry
	if flipped || c.now >= c.due {
		changed = c.join()
	}
	if c.now >= c.sweepAt {
		c.sweepAt = c.now + 1
		c.sweep()
	}
	return changed
}

// stale takes a source's word from now on for what it is: what only it knows begins to age.
func (c *Core) stale(s *source) {
	if !s.current {
		return
	}
	for id, e := range c.list {
		if w, ok := s.words[id]; ok && covers(w.Identity, e.Identity) {
			e.knownAt = c.now
		}
	}
	s.current = false
}

// sweep forgets nodes that went long ago, and words on them once no source lists them.
func (c *Core) sweep() {
	listed := func(id string) bool {
		for _, s := range c.sources {
			w, ok := s.words[id]
			p, waits := s.pending[id]
			if ok && w.State != Gone || waits && p.State != Gone {
				return true
			}
		}
		return false
	}
	for id, e := range c.list {
		if e.State == Gone && c.now > e.outAt+max(c.cfg.FlapS, goneS) && !listed(id) {
			delete(c.list, id)
		}
	}
	for _, s := range c.sources {
		for id, w := range s.words {
			if w.State == Gone && c.list[id] == nil && !listed(id) {
				delete(s.words, id)
			}
		}
	}
}

// Memory is what a Core knows, to be kept across a restart of its program.
type Memory struct {
	List  []Node            // as it stands
	Words map[string][]Node // by source; those without an address are on the id alone
}

// Memory is what is known now.
func (c *Core) Memory() Memory {
	m := Memory{Words: map[string][]Node{}}
	for _, e := range c.List() {
		m.List = append(m.List, e.Node)
	}
	for name, s := range c.sources {
		for _, of := range []map[string]Node{s.words, s.marks, s.pending} {
			for _, id := range slices.Sorted(maps.Keys(of)) {
				m.Words[name] = append(m.Words[name], of[id])
			}
		}
	}
	return m
}

// Remember takes back what sources had said before a restart: their words are those of stale sources, until each has read the
// whole again. Call it before anything else; the list that was kept goes to New.
func (c *Core) Remember(m Memory) {
	for name, words := range m.Words {
		if s := c.sources[name]; s != nil {
			for _, n := range words {
				if !s.milder(n) {
					s.set(n)
				}
			}
		}
	}
}

// Current tells whether a source is.
func (c *Core) Current(name string) bool { return c.sources[name].current }

// List is the joined list, by id.
func (c *Core) List() (list []Entry) {
	for _, id := range slices.Sorted(maps.Keys(c.list)) {
		if e := c.list[id]; e.State != Gone {
			list = append(list, e.Entry)
		}
	}
	return list
}

// covers tells whether a word on a is one on b, too.
func covers(a, b Identity) bool {
	return a.ID == b.ID && (a.StartedMS == 0 || b.StartedMS == 0 || a.StartedMS == b.StartedMS) && a.Addr == b.Addr
}

// newest is the identity that an id stands for now: of current sources' words that are not gone the latest start, else
// that of the list.
func (c *Core) newest(id string) (n Node, found bool) {
	for _, name := range slices.Sorted(maps.Keys(c.sources)) {
		s := c.sources[name]
		if w, ok := s.words[id]; ok && s.current && w.State != Gone && w.Addr != "" && (!found || w.StartedMS > n.StartedMS) {
			n, found = w, true
		}
	}
	return n, found
}

// join applies the rules to every node and returns what changed, nodes that went included.
func (c *Core) join() []Entry {
	ids := map[string]bool{}
	for id := range c.list {
		ids[id] = true
	}
	for _, s := range c.sources {
		for id, w := range s.words {
			if w.State != Gone {
				ids[id] = true
			}
		}
	}
	c.due = math.Inf(1)
	return c.joinOf(slices.Sorted(maps.Keys(ids)))
}

// joinOf applies the rules to some nodes, in their order.
func (c *Core) joinOf(ids []string) (changed []Entry) {
	anyCurrent := false
	for _, s := range c.sources {
		anyCurrent = anyCurrent || s.current
	}
	for _, id := range ids {
		if e, ok := c.one(id, anyCurrent); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// one applies the rules to one node.
func (c *Core) one(id string, anyCurrent bool) (Entry, bool) {
	e := c.list[id]
	n, brought := c.newest(id)
	if !brought {
		if e == nil {
			return Entry{}, false // rule 2
		}
		n = e.Node
	} else if e != nil && !covers(n.Identity, e.Identity) && n.StartedMS < e.StartedMS {
		n = e.Node // old news of an earlier start
	} else if e != nil && n.StartedMS == 0 && covers(n.Identity, e.Identity) {
		n.Identity = e.Identity // a word without a start is no other identity
	}
	state, why, current := Up, "", false
	for _, name := range slices.Sorted(maps.Keys(c.sources)) {
		s := c.sources[name]
		w, ok := s.words[id]
		ok = ok && covers(w.Identity, n.Identity)
		if m, marked := s.marks[id]; marked && (!ok || m.State > w.State) {
			w, ok = m, true
		}
		if !ok {
			continue
		}
		current = current || s.current
		if w.State > state || why == "" {
			trust := ""
			if !s.current {
				trust = ", which is stale"
			}
			state, why = w.State, fmt.Sprintf("%s by %s%s", w.State, name, trust)
		}
	}
	if why == "" {
		state, why = n.State, "known from before"
	}
	if e != nil && (current || !anyCurrent) {
		e.knownAt = c.now
	}
	if e != nil && !current && anyCurrent && state == Up {
		if c.now > e.knownAt+c.cfg.OrphanS {
			state, why = Draining, "no current source knows it"
		} else {
			c.due = min(c.due, e.knownAt+c.cfg.OrphanS+dueSlack)
		}
	}
	if e != nil && e.State != Up && state == Up && covers(n.Identity, e.Identity) {
		switch {
		case !current:
			return Entry{}, false // rule 3
		case c.now < e.holdTo:
			c.due = min(c.due, e.holdTo)
			return Entry{}, false // rule 5
		}
	}
	if e == nil {
		if state == Gone {
			return Entry{}, false
		}
		e = &entry{knownAt: c.now}
		c.list[id] = e
	} else if e.Identity == n.Identity && e.State == state {
		e.Why = why
		return Entry{}, false
	}
	if state == Gone {
		e.outAt = c.now
	}
	if e.Identity == n.Identity && e.State == Up && state != Up {
		e.outAt = c.now
		if c.now > e.backAt+c.cfg.FlapS {
			e.returns = 0
		}
		if e.returns > 0 {
			e.holdTo = c.now + min(flapFirst*math.Exp2(float64(e.returns-1)), c.cfg.FlapMost)
		}
	}
	if e.Identity == n.Identity && e.State != Up && state == Up {
		e.returns++
		e.backAt = c.now
	}
	n.State = state
	e.Entry = Entry{n, why}
	return e.Entry, true
}

// Sources lists the sources and whether each is current, for people.
func (c *Core) Sources() (list []SourceStatus) {
	for name, s := range c.sources {
		list = append(list, SourceStatus{name, s.current, max(c.now-s.heardAt, 0), len(s.words)})
	}
	slices.SortFunc(list, func(a, b SourceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// SourceStatus is a source for people.
type SourceStatus struct {
	Name    string
	Current bool
	AgeS    float64 // since its last word
	Words   int
}
