// Package merge joins what several sources report of backends into one endpoint list, by rules that say how far each source can be trusted:
//
//  1. The strictest report wins, a stale source's too: removed before draining before up.
//  2. Only a current source's report brings a node into the list.
//  3. A stale source takes back nothing: its milder reports count once it is current again.
//  4. A node that only stale sources know gets no new work after Config.OrphanAfterS, unless all sources are stale.
//  5. A node that keeps coming back waits ever longer before it is up again.
//
// The reasons for them are in docs/membership.md. The package does no I/O. Times are Unix seconds, given with each call, that never go back.
package merge

import (
	"maps"
	"math"
	"slices"
)

// State is the state of a node, the stricter the greater. Its values are stored in agents' state files.
type State int

// The states.
const (
	Up       State = iota // may get new work
	Draining              // gets no new work
	Removed               // is gone
)

// String is the state's name, for status pages and logs.
func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Identity tells nodes apart: a backend that was restarted, a new one at an old address, an old ID at a new address.
type Identity struct {
	ID        string `json:"ID"`
	Addr      string `json:"Addr"`      // of a report, empty: it is on the ID alone, whatever is behind it
	StartedMS int64  `json:"StartedMS"` // Unix time in ms; 0: not known, which matches every start
}

// Node is what a source reports of a node, or what holds by all of them.
type Node struct {
	Identity
	State  State   `json:"State"`
	Zone   string  `json:"Zone"`
	Cell   int     `json:"Cell"`
	Weight float64 `json:"Weight"`
}

// Entry is one node of the merged list, and the reason for its state.
type Entry struct {
	Node
	Reason string
}

// Config says how far sources are trusted. Times are in s.
type Config struct {
	StaleAfterS   map[string]float64 // by source's name: silent for so long it is stale
	OrphanAfterS  float64            // rule 4
	FlapWindowS   float64            // rule 5: returns within this time of each other count as flapping
	MaxFlapDelayS float64            // rule 5: the longest wait before a return
}

// sweepIntervalS is how often removed nodes are looked through for those to forget.
const sweepIntervalS = 1

// Merger joins sources. It belongs to one goroutine.
type Merger struct {
	cfg           Config
	now           float64
	sources       map[string]*source
	byName        []*source         // all of them, in the order of their names
	entries       map[string]*entry // by ID; removed ones until they are forgotten
	nextRecheckAt float64           // when time alone may change a node's state
	nextSweepAt   float64
}

// NewMerger returns a merger with the sources of cfg.StaleAfterS, none of which has reported. known is an earlier list; its nodes keep their
// state while no source is current.
func NewMerger(cfg Config, now float64, known []Node) *Merger {
	m := &Merger{cfg: cfg, now: now, sources: map[string]*source{}, entries: map[string]*entry{}}
	for _, name := range slices.Sorted(maps.Keys(cfg.StaleAfterS)) {
		s := newSource(name)
		m.sources[name], m.byName = s, append(m.byName, s)
	}
	for _, n := range known {
		if n.State != Removed {
			m.entries[n.ID] = &entry{Entry: Entry{n, reasonKnownBefore}, lastKnownAt: now}
		}
	}
	return m
}

// ReplaceAll takes in all that the named source lists, at one revision, after which the source is current. A node that it reported before
// and does not list is removed. It returns the entries that changed, as the other events do.
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
	s.state, s.lastHeardAt = sourceCurrent, m.now
	return m.mergeAll()
}

// Update takes in what changed in the named source at one revision, behind all that it reported before. Of a source that isn't current,
// reports that take something back are deferred (rule 3), and it stays as it is.
func (m *Merger) Update(now float64, name string, nodes []Node) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	var ids []string
	for _, n := range nodes {
		if s.state != sourceCurrent && s.relaxes(n) {
			s.deferred[n.ID] = n
			continue
		}
		delete(s.deferred, n.ID)
		s.apply(n)
		ids = append(ids, n.ID)
	}
	if s.state == sourceCurrent {
		s.lastHeardAt = m.now
	}
	slices.Sort(ids)
	return m.mergeNodes(slices.Compact(ids))
}

// MarkResumed notes that the named source has reported everything up to now, without a gap. It is current then, if it ever listed all.
func (m *Merger) MarkResumed(now float64, name string) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	if s.state == sourceUnsynced {
		return nil
	}
	before := s.state
	s.state, s.lastHeardAt = sourceCurrent, m.now
	for _, n := range s.deferred {
		s.apply(n)
	}
	clear(s.deferred)
	if before == sourceCurrent {
		return nil // Update has returned what changed
	}
	return m.mergeAll()
}

// MarkInterrupted makes the named source stale at once, as Tick does after a silence of more than its StaleAfterS. The agent does not call it
// for an interrupted watch: most interruptions are shorter than that. Tests call it for a source that is stale at a given time.
func (m *Merger) MarkInterrupted(now float64, name string) []Entry {
	m.now = max(m.now, now)
	m.markStale(m.sources[name])
	return m.mergeAll()
}

// Tick finds sources that became stale by silence and nodes whose state changes by time; call it a few times a second.
func (m *Merger) Tick(now float64) []Entry {
	m.now = max(m.now, now)
	anyStale := false
	for _, s := range m.byName {
		if s.state == sourceCurrent && m.now > s.lastHeardAt+m.cfg.StaleAfterS[s.name] {
			m.markStale(s)
			anyStale = true
		}
	}
	var changed []Entry
	if anyStale || m.now >= m.nextRecheckAt {
		changed = m.mergeAll()
	}
	if m.now >= m.nextSweepAt {
		m.nextSweepAt = m.now + sweepIntervalS
		m.forgetRemoved()
	}
	return changed
}

// Entries is the merged list, by ID, without removed nodes.
func (m *Merger) Entries() []Entry {
	var list []Entry
	for _, id := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[id]; e.State != Removed {
			list = append(list, e.Entry)
		}
	}
	return list
}

// IsCurrent reports whether the named source is current.
func (m *Merger) IsCurrent(name string) bool { return m.sources[name].state == sourceCurrent }

// SourceStatus is a source's part of a status page.
type SourceStatus struct {
	Name    string  `json:"Name"`
	Current bool    `json:"Current"`
	AgeS    float64 `json:"AgeS"`  // since it last reported anything; infinite if it never did
	Reports int     `json:"Words"` // nodes that it has reported, removed ones included
}

// SourceStatuses lists the sources by name.
func (m *Merger) SourceStatuses() []SourceStatus {
	var list []SourceStatus
	for _, s := range m.byName {
		list = append(list, SourceStatus{s.name, s.state == sourceCurrent, max(m.now-s.lastHeardAt, 0), len(s.reports)})
	}
	return list
}

// anyCurrent reports whether some source is current.
func (m *Merger) anyCurrent() bool {
	return slices.ContainsFunc(m.byName, func(s *source) bool { return s.state == sourceCurrent })
}

// recheckAt has all nodes merged anew at the given time, or earlier.
func (m *Merger) recheckAt(at float64) { m.nextRecheckAt = min(m.nextRecheckAt, at) }

// mergeAll applies the rules to every node and returns what changed, removed nodes included.
func (m *Merger) mergeAll() []Entry {
	ids := map[string]bool{}
	for id := range m.entries {
		ids[id] = true
	}
	for _, s := range m.byName {
		for id, n := range s.reports {
			if n.State != Removed {
				ids[id] = true
			}
		}
	}
	m.nextRecheckAt = math.Inf(1)
	return m.mergeNodes(slices.Sorted(maps.Keys(ids)))
}

// mergeNodes applies the rules to some nodes, in their order, and returns what changed.
func (m *Merger) mergeNodes(ids []string) []Entry {
	var changed []Entry
	anyCurrent := m.anyCurrent()
	for _, id := range ids {
		if e, ok := m.mergeNode(id, anyCurrent); ok {
			changed = append(changed, e)
		}
	}
	return changed
}
