// Package member joins what several sources say of zone nodes into one list, and knows how far each can be trusted.
// It does no I/O and takes time as a value; docs/membership.md states the rules.
package merge

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
	Removed
)

func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Identity tells nodes apart: a restarted one, a new one at an old address, an old id at a new address. StartedMS is
// Unix milliseconds; 0 in a source's word stands for every start.
type Identity struct {
	ID        string `json:"ID"`
	Addr      string `json:"Addr"`
	StartedMS int64  `json:"StartedMS"`
}

// Node is a source's word on a node.
type Node struct {
	Identity
	State  State   `json:"State"`
	Zone   string  `json:"Zone"`
	Cell   int     `json:"Cell"`
	Weight float64 `json:"Weight"`
}

// Config states how the sources are to be trusted. Times are in seconds.
type Config struct {
	StaleAfterS  map[string]float64 // by source: without a word for so long it is stale
	OrphanAfterS float64            // a node that no current source knows gets no new work after so long
	FlapWindowS  float64            // returns within this time of each other count as flapping
	MaxFlapHoldS float64            // the longest wait of a node that returns
}

// Entry is one node of the joined list, and why it stands as it does.
type Entry struct {
	Node
	Reason string
}

const recheckSlackS = 1e-6 // seconds: what is over after a time is looked at right behind it

// removedRetentionS at least the word gone is kept, in seconds, once no source lists the node: another source may be so late with its own.
const removedRetentionS = 60

const firstFlapHoldS = 1.0 // seconds that the second return within FlapWindowS waits; each further one twice as long

// Merger joins sources. It is not safe for concurrent use; times are Unix seconds that never go back.
type Merger struct {
	cfg           Config
	now           float64
	sources       map[string]*source
	entries       map[string]*entry // by id
	nextRecheckAt float64           // when time alone may change a node
	nextSweepAt   float64
}

type source struct {
	name        string
	current     bool // has read the whole, and speaks
	synced      bool // has read the whole, ever
	lastHeardAt float64
	reports     map[string]Node // by id: the last of each; a deletion is Gone
	idReports   map[string]Node // by id: words on the id alone that are not up
	deferred    map[string]Node // milder words of a time in which it was stale
}

type entry struct {
	Entry
	leftUpAt    float64 // when it last left Up
	returnCount int     // within FlapWindowS of each other
	returnedAt  float64 // of the last return
	holdUntil   float64 // no return before
	lastKnownAt float64 // when a current source last knew it
}

// NewMerger returns a core that knows nothing but the known list, which may be old: its nodes stand as they are for as long
// as no source is current.
func NewMerger(cfg Config, now float64, known []Node) *Merger {
	m := &Merger{cfg: cfg, now: now, sources: map[string]*source{}, entries: map[string]*entry{}}
	for name := range cfg.StaleAfterS {
		m.sources[name] = &source{name: name, lastHeardAt: math.Inf(-1), reports: map[string]Node{}, idReports: map[string]Node{}, deferred: map[string]Node{}}
	}
	for _, n := range known {
		if n.State != Removed {
			m.entries[n.ID] = &entry{Entry: Entry{n, "known from before"}, lastKnownAt: now}
		}
	}
	return m
}

// ReplaceAll takes all that a source lists, at one revision. What it named before and does not list is gone; a mark that it
// does not name any more is taken back.
func (m *Merger) ReplaceAll(now float64, name string, nodes []Node) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	listed := map[string]bool{}
	clear(s.idReports)
	clear(s.deferred)
	for _, n := range nodes {
		listed[n.ID] = n.Addr != ""
		s.apply(n)
	}
	for id, n := range s.reports {
		if !listed[id] {
			n.State = Removed
			s.reports[id] = n
		}
	}
	s.current, s.synced, s.lastHeardAt = true, true, m.now
	return m.mergeAll()
}

// apply takes one word in. One without an address is on the id alone: gone if the node is deleted, else a mark.
func (s *source) apply(n Node) {
	switch {
	case n.Addr != "":
		s.reports[n.ID] = n
		delete(s.idReports, n.ID) // the word holds it, too
	case n.State == Removed:
		if report, ok := s.reports[n.ID]; ok {
			report.State = Removed
			s.reports[n.ID] = report
		}
	case n.State == Up:
		delete(s.idReports, n.ID)
	default:
		s.idReports[n.ID] = n
	}
}

// relaxes tells that a word takes something back that the source has said.
func (s *source) relaxes(n Node) bool {
	report, ok := s.reports[n.ID]
	idReport, marked := s.idReports[n.ID]
	return ok && (n.Addr != "" && sameNode(report.Identity, n.Identity)) && n.State < report.State || marked && n.State < idReport.State
}

// Update takes what changed at one revision, behind all that the source has told. A source that is not current has
// gaps: its changes make it no more current, and count only where they are stricter, the others once it is.
func (m *Merger) Update(now float64, name string, nodes []Node) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	var ids []string
	for _, n := range nodes {
		if !s.current && s.relaxes(n) {
			s.deferred[n.ID] = n // rule 3
			continue
		}
		delete(s.deferred, n.ID)
		s.apply(n)
		ids = append(ids, n.ID)
	}
	if s.current {
		s.lastHeardAt = m.now
	}
	slices.Sort(ids)
	return m.mergeNodes(slices.Compact(ids))
}

// MarkResumed takes a source's word that it has told all up to now, without a gap.
func (m *Merger) MarkResumed(now float64, name string) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	if !s.synced {
		return nil
	}
	was := s.current
	s.current, s.lastHeardAt = true, m.now
	for _, n := range s.deferred {
		s.apply(n)
	}
	clear(s.deferred)
	if was {
		return nil // nothing new: Change has told the rest
	}
	return m.mergeAll()
}

// MarkInterrupted notes that a source may have gaps from now on: it is stale until it has told the whole.
func (m *Merger) MarkInterrupted(now float64, name string) []Entry {
	m.now = max(m.now, now)
	m.markStale(m.sources[name])
	return m.mergeAll()
}

// Tick looks after silence and waits; call it a few times a second.
func (m *Merger) Tick(now float64) []Entry {
	m.now = max(m.now, now)
	flipped := false
	for _, s := range m.sources {
		if s.current && m.now > s.lastHeardAt+m.cfg.StaleAfterS[s.name] {
			m.markStale(s)
			flipped = true
		}
	}
	var changed []Entry
	if flipped || m.now >= m.nextRecheckAt {
		changed = m.mergeAll()
	}
	if m.now >= m.nextSweepAt {
		m.nextSweepAt = m.now + 1
		m.forgetRemoved()
	}
	return changed
}

// markStale takes a source's word from now on for what it is: what only it knows begins to age.
func (m *Merger) markStale(s *source) {
	if !s.current {
		return
	}
	for id, e := range m.entries {
		if report, ok := s.reports[id]; ok && sameNode(report.Identity, e.Identity) {
			e.lastKnownAt = m.now
		}
	}
	s.current = false
}

// forgetRemoved forgets nodes that went long ago, and words on them once no source lists them.
func (m *Merger) forgetRemoved() {
	listed := func(id string) bool {
		for _, s := range m.sources {
			report, ok := s.reports[id]
			p, waits := s.deferred[id]
			if ok && report.State != Removed || waits && p.State != Removed {
				return true
			}
		}
		return false
	}
	for id, e := range m.entries {
		if e.State == Removed && m.now > e.leftUpAt+max(m.cfg.FlapWindowS, removedRetentionS) && !listed(id) {
			delete(m.entries, id)
		}
	}
	for _, s := range m.sources {
		for id, report := range s.reports {
			if report.State == Removed && m.entries[id] == nil && !listed(id) {
				delete(s.reports, id)
			}
		}
	}
}

// Snapshot is what a Core knows, to be kept across a restart of its program.
type Snapshot struct {
	Entries []Node            `json:"List"`  // as it stands
	Reports map[string][]Node `json:"Words"` // by source; those without an address are on the id alone
}

// Snapshot is what is known now.
func (m *Merger) Snapshot() Snapshot {
	snapshot := Snapshot{Reports: map[string][]Node{}}
	for _, e := range m.Entries() {
		snapshot.Entries = append(snapshot.Entries, e.Node)
	}
	for name, s := range m.sources {
		for _, of := range []map[string]Node{s.reports, s.idReports, s.deferred} {
			for _, id := range slices.Sorted(maps.Keys(of)) {
				snapshot.Reports[name] = append(snapshot.Reports[name], of[id])
			}
		}
	}
	return snapshot
}

// Restore takes back what sources had said before a restart: their words are those of stale sources, until each has read the
// whole again. Call it before anything else; the list that was kept goes to New.
func (m *Merger) Restore(snapshot Snapshot) {
	for name, words := range snapshot.Reports {
		if s := m.sources[name]; s != nil {
			for _, n := range words {
				if !s.relaxes(n) {
					s.apply(n)
				}
			}
		}
	}
}

// IsCurrent tells whether a source is.
func (m *Merger) IsCurrent(name string) bool { return m.sources[name].current }

// Entries is the joined list, by id.
func (m *Merger) Entries() (list []Entry) {
	for _, id := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[id]; e.State != Removed {
			list = append(list, e.Entry)
		}
	}
	return list
}

// sameNode tells whether a word on a is one on b, too.
func sameNode(a, b Identity) bool {
	return a.ID == b.ID && (a.StartedMS == 0 || b.StartedMS == 0 || a.StartedMS == b.StartedMS) && a.Addr == b.Addr
}

// latestReport is the identity that an id stands for now: of current sources' words that are not gone the latest start, else
// that of the list.
func (m *Merger) latestReport(id string) (n Node, found bool) {
	for _, name := range slices.Sorted(maps.Keys(m.sources)) {
		s := m.sources[name]
		if report, ok := s.reports[id]; ok && s.current && report.State != Removed && report.Addr != "" && (!found || report.StartedMS > n.StartedMS) {
			n, found = report, true
		}
	}
	return n, found
}

// mergeAll applies the rules to every node and returns what changed, nodes that went included.
func (m *Merger) mergeAll() []Entry {
	ids := map[string]bool{}
	for id := range m.entries {
		ids[id] = true
	}
	for _, s := range m.sources {
		for id, report := range s.reports {
			if report.State != Removed {
				ids[id] = true
			}
		}
	}
	m.nextRecheckAt = math.Inf(1)
	return m.mergeNodes(slices.Sorted(maps.Keys(ids)))
}

// mergeNodes applies the rules to some nodes, in their order.
func (m *Merger) mergeNodes(ids []string) (changed []Entry) {
	anyCurrent := false
	for _, s := range m.sources {
		anyCurrent = anyCurrent || s.current
	}
	for _, id := range ids {
		if e, ok := m.mergeNode(id, anyCurrent); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// mergeNode applies the rules to one node.
func (m *Merger) mergeNode(id string, anyCurrent bool) (Entry, bool) {
	e := m.entries[id]
	n, brought := m.latestReport(id)
	if !brought {
		if e == nil {
			return Entry{}, false // rule 2
		}
		n = e.Node
	} else if e != nil && !sameNode(n.Identity, e.Identity) && n.StartedMS < e.StartedMS {
		n = e.Node // old news of an earlier start
	} else if e != nil && n.StartedMS == 0 && sameNode(n.Identity, e.Identity) {
		n.Identity = e.Identity // a word without a start is no other identity
	}
	state, why, current := Up, "", false
	for _, name := range slices.Sorted(maps.Keys(m.sources)) {
		s := m.sources[name]
		report, ok := s.reports[id]
		ok = ok && sameNode(report.Identity, n.Identity)
		if idReport, marked := s.idReports[id]; marked && (!ok || idReport.State > report.State) {
			report, ok = idReport, true
		}
		if !ok {
			continue
		}
		current = current || s.current
		if report.State > state || why == "" {
			trust := ""
			if !s.current {
				trust = ", which is stale"
			}
			state, why = report.State, fmt.Sprintf("%s by %s%s", report.State, name, trust)
		}
	}
	if why == "" {
		state, why = n.State, "known from before"
	}
	if e != nil && (current || !anyCurrent) {
		e.lastKnownAt = m.now
	}
	if e != nil && !current && anyCurrent && state == Up {
		if m.now > e.lastKnownAt+m.cfg.OrphanAfterS {
			state, why = Draining, "no current source knows it"
		} else {
			m.nextRecheckAt = min(m.nextRecheckAt, e.lastKnownAt+m.cfg.OrphanAfterS+recheckSlackS)
		}
	}
	if e != nil && e.State != Up && state == Up && sameNode(n.Identity, e.Identity) {
		switch {
		case !current:
			return Entry{}, false // rule 3
		case m.now < e.holdUntil:
			m.nextRecheckAt = min(m.nextRecheckAt, e.holdUntil)
			return Entry{}, false // rule 5
		}
	}
	if e == nil {
		if state == Removed {
			return Entry{}, false
		}
		e = &entry{lastKnownAt: m.now}
		m.entries[id] = e
	} else if e.Identity == n.Identity && e.State == state {
		e.Reason = why
		return Entry{}, false
	}
	if state == Removed {
		e.leftUpAt = m.now
	}
	if e.Identity == n.Identity && e.State == Up && state != Up {
		e.leftUpAt = m.now
		if m.now > e.returnedAt+m.cfg.FlapWindowS {
			e.returnCount = 0
		}
		if e.returnCount > 0 {
			e.holdUntil = m.now + min(firstFlapHoldS*math.Exp2(float64(e.returnCount-1)), m.cfg.MaxFlapHoldS)
		}
	}
	if e.Identity == n.Identity && e.State != Up && state == Up {
		e.returnCount++
		e.returnedAt = m.now
	}
	n.State = state
	e.Entry = Entry{n, why}
	return e.Entry, true
}

// SourceStatuses lists the sources and whether each is current, for people.
func (m *Merger) SourceStatuses() (list []SourceStatus) {
	for name, s := range m.sources {
		list = append(list, SourceStatus{name, s.current, max(m.now-s.lastHeardAt, 0), len(s.reports)})
	}
	slices.SortFunc(list, func(a, b SourceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// SourceStatus is a source for people.
type SourceStatus struct {
	Name    string  `json:"Name"`
	Current bool    `json:"Current"`
	AgeS    float64 `json:"AgeS"` // since its last word
	Reports int     `json:"Words"`
}
