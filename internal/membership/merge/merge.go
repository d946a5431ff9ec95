// Package merge combines the reports of several sources on backends into one endpoint list. Five rules state how far a source is trusted:
//
//  1. The strictest report wins, also if its source is stale: removed over draining over up.
//  2. Only the report of a current source adds a node to the list.
//  3. A stale source does not relax an earlier report: its less strict reports apply once the source is current again.
//  4. A node that only stale sources know gets no new work after Config.OrphanAfterS, unless all sources are stale.
//  5. A flapping node waits before it is up again, with a delay that doubles at each return up to Config.MaxFlapDelayS.
//
// docs/membership.md explains the reasons for the rules. The package does no I/O. The caller passes the current time to each call, in Unix
// seconds; it must not go back.
package merge

import (
	"maps"
	"math"
	"slices"
)

// State is the state of a node. A stricter state has a greater value. The values are stored in agents' state files.
type State int

// The states.
const (
	Up       State = iota // may get new work
	Draining              // gets no new work
	Removed               // no longer exists
)

// String returns the state's name, for status pages and logs.
func (s State) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Identity distinguishes nodes that share an ID or an address: a restarted backend, a new backend at an old address, an old ID at a new
// address.
type Identity struct {
	ID        string `json:"ID"`
	Addr      string `json:"Addr"`      // empty in a report: it applies to any node with the ID
	StartedMS int64  `json:"StartedMS"` // Unix time in ms; 0: unknown, matches any start time
}

// Node is a source's report about a node, or a node of the merged list.
type Node struct {
	Identity
	State  State   `json:"State"`
	Zone   string  `json:"Zone"`
	Cell   int     `json:"Cell"`
	Weight float64 `json:"Weight"`
}

// Entry is a node of the merged list, with the reason for its state.
type Entry struct {
	Node
	Reason string
}

// Config holds the parameters of the merge rules. All times are in seconds.
type Config struct {
	StaleAfterS   map[string]float64 // by source name: a source becomes stale after this silence
	MarksIDs      map[string]bool    // by source name: Draining is a mark on the ID, which ends only when the source reports the ID without it
	OrphanAfterS  float64            // rule 4: time until an orphaned node drains
	FlapWindowS   float64            // rule 5: a node flaps if it stops being up within this time after a return
	MaxFlapDelayS float64            // rule 5: upper bound of the delay before a return
}

// sweepIntervalS is the time, in s, between two searches for removed nodes that can be deleted.
const sweepIntervalS = 1

// Merger merges the reports of all sources. It is not safe for concurrent use.
type Merger struct {
	cfg           Config
	now           float64
	sources       map[string]*source
	sortedSources []*source         // by name
	entries       map[string]*entry // by ID; removed nodes stay until forgetRemoved deletes them
	nextRecheckAt float64           // next time at which a node's state may change without a report
	nextSweepAt   float64
}

// NewMerger returns a merger for the sources named in cfg.StaleAfterS, without any reports. known is a list from an earlier run; its nodes
// keep their state while no source is current.
func NewMerger(cfg Config, now float64, known []Node) *Merger {
	m := &Merger{cfg: cfg, now: now, sources: map[string]*source{}, entries: map[string]*entry{}}
	for _, name := range slices.Sorted(maps.Keys(cfg.StaleAfterS)) {
		s := newSource(name, cfg.MarksIDs[name])
		m.sources[name], m.sortedSources = s, append(m.sortedSources, s)
	}
	for _, n := range known {
		if n.State != Removed {
			m.entries[n.ID] = &entry{Entry: Entry{n, reasonKnownBefore}, lastKnownAt: now}
		}
	}
	return m
}

// ReplaceAll applies a full list of the named source, read at one revision, and marks the source current. A node that the source reported
// before and that is not in the list is removed by this source. Like the other event methods, it returns the entries that changed.
func (m *Merger) ReplaceAll(now float64, name string, nodes []Node) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	listed := map[string]bool{}
	clear(s.idReports)
	clear(s.deferred)
	for _, n := range nodes {
		listed[n.ID] = n.Addr != ""
		for _, part := range s.parts(n) {
			s.apply(part)
		}
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

// Update applies the changes of one revision of the named source, which follows all revisions that it reported before. If the source is not
// current, reports that relax an earlier report are deferred (rule 3), and the source does not become current.
func (m *Merger) Update(now float64, name string, nodes []Node) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	var ids []string
	for _, n := range nodes {
		for _, part := range s.parts(n) {
			s.applyOrDefer(part)
		}
		ids = append(ids, n.ID)
	}
	if s.state == sourceCurrent {
		s.lastHeardAt = m.now
	}
	slices.Sort(ids)
	return m.mergeNodes(slices.Compact(ids))
}

// MarkResumed records that the named source has reported all changes up to now, without a gap. The source becomes current and its deferred
// reports are applied, unless it has never sent a full list.
func (m *Merger) MarkResumed(now float64, name string) []Entry {
	m.now = max(m.now, now)
	s := m.sources[name]
	if s.state == sourceUnsynced {
		return nil
	}
	before := s.state
	s.state, s.lastHeardAt = sourceCurrent, m.now
	for _, n := range s.deferredReports() {
		s.apply(n)
	}
	clear(s.deferred)
	if before == sourceCurrent {
		return nil // Update has already returned the changes
	}
	return m.mergeAll()
}

// MarkInterrupted marks the named source stale at once, as Tick does after a silence of more than its StaleAfterS. The agent does not call
// it for an interrupted watch, because most interruptions are shorter than that. Tests call it to make a source stale at a given time.
func (m *Merger) MarkInterrupted(now float64, name string) []Entry {
	m.now = max(m.now, now)
	m.markStale(m.sources[name])
	return m.mergeAll()
}

// Tick marks silent sources stale and applies state changes that are due by time. Call it a few times a second.
func (m *Merger) Tick(now float64) []Entry {
	m.now = max(m.now, now)
	anyStale := false
	for _, s := range m.sortedSources {
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

// Entries returns the merged list sorted by ID, without removed nodes.
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

// SourceStatus is the status of one source on the status page.
type SourceStatus struct {
	Name    string  `json:"Name"`
	Current bool    `json:"Current"`
	AgeS    float64 `json:"AgeS"`  // time in s since its last report or progress while current; +Inf if none
	Reports int     `json:"Words"` // number of nodes that it has reported, removed ones included
}

// SourceStatuses returns the status of each source, sorted by name.
func (m *Merger) SourceStatuses() []SourceStatus {
	var list []SourceStatus
	for _, s := range m.sortedSources {
		list = append(list, SourceStatus{s.name, s.state == sourceCurrent, max(m.now-s.lastHeardAt, 0), len(s.reports)})
	}
	return list
}

// anyCurrent reports whether at least one source is current.
func (m *Merger) anyCurrent() bool {
	return slices.ContainsFunc(m.sortedSources, func(s *source) bool { return s.state == sourceCurrent })
}

// scheduleRecheck makes Tick merge all nodes again at the given time, unless an earlier recheck is scheduled.
func (m *Merger) scheduleRecheck(at float64) { m.nextRecheckAt = min(m.nextRecheckAt, at) }

// mergeAll applies the rules to every node and returns the changed entries, including removed nodes.
func (m *Merger) mergeAll() []Entry {
	ids := map[string]bool{}
	for id := range m.entries {
		ids[id] = true
	}
	for _, s := range m.sortedSources {
		for id, n := range s.reports {
			if n.State != Removed {
				ids[id] = true
			}
		}
	}
	m.nextRecheckAt = math.Inf(1)
	return m.mergeNodes(slices.Sorted(maps.Keys(ids)))
}

// mergeNodes applies the rules to the given nodes, in order, and returns the changed entries.
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
