package merge

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// removedRetentionS is the minimum time, in s, for which a removed node that no source lists is remembered as removed: a report of another
// source may arrive that late and must not bring the node back.
const removedRetentionS = 60

// sourceState states whether a source's reports are up to date.
type sourceState int

const (
	sourceUnsynced sourceState = iota // has not sent a full list to this process
	sourceCurrent                     // has sent a full list and every change since
	sourceStale                       // was current; changes may be missing since
)

// source holds the reports of one source.
type source struct {
	name        string
	marksIDs    bool // see Config.MarksIDs
	state       sourceState
	lastHeardAt float64                 // last time that the source reported anything while current; -Inf: never
	reports     map[string]Node         // by ID: the last report on each node; a deletion is Removed
	idReports   map[string]Node         // by ID: the last report without an address, which applies to any node with that ID; its state is never Up
	deferred    map[deferredReport]Node // reports that relax an earlier one, received while the source was not current
}

// deferredReport identifies what a deferred report is about: a node, or any node with an ID.
type deferredReport struct {
	id   string
	onID bool
}

func newSource(name string, marksIDs bool) *source {
	return &source{name: name, marksIDs: marksIDs, lastHeardAt: math.Inf(-1), reports: map[string]Node{}, idReports: map[string]Node{},
		deferred: map[deferredReport]Node{}}
}

// parts returns the reports that a report of the source consists of. If the source marks IDs, a report with an address says that the node
// exists, and whether its ID is marked. The mark does not end with the node's start or address.
func (s *source) parts(n Node) []Node {
	if !s.marksIDs || n.Addr == "" || n.State == Removed {
		return []Node{n}
	}
	mark := Node{Identity: Identity{ID: n.ID}, State: n.State}
	n.State = Up
	return []Node{n, mark}
}

// applyOrDefer stores one report, or defers it if it relaxes an earlier one and the source is not current (rule 3).
func (s *source) applyOrDefer(n Node) {
	about := deferredReport{id: n.ID, onID: n.Addr == "" && n.State != Removed}
	if s.state != sourceCurrent && s.relaxes(n) {
		s.deferred[about] = n
		return
	}
	delete(s.deferred, about)
	s.apply(n)
}

// deferredReports returns the deferred reports by ID, those on nodes first.
func (s *source) deferredReports() []Node {
	var list []Node
	for _, about := range slices.SortedFunc(maps.Keys(s.deferred), func(a, b deferredReport) int {
		if a.onID != b.onID {
			return map[bool]int{false: -1, true: 1}[a.onID]
		}
		return cmp.Compare(a.id, b.id)
	}) {
		list = append(list, s.deferred[about])
	}
	return list
}

// apply stores one report. A report without an address applies to the ID: Removed marks the node that the source listed as removed, Up
// deletes the stored report on the ID, and any other state is stored for the ID.
func (s *source) apply(n Node) {
	switch {
	case n.Addr != "":
		s.reports[n.ID] = n
		if !s.marksIDs {
			delete(s.idReports, n.ID) // n already includes a drain mark on the ID
		}
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

// relaxes reports whether n is less strict than an earlier report of the source on the same node or ID.
func (s *source) relaxes(n Node) bool {
	report, ok := s.reports[n.ID]
	idReport, onID := s.idReports[n.ID]
	if s.marksIDs && n.Addr != "" {
		onID = false
	}
	return ok && n.Addr != "" && sameNode(report.Identity, n.Identity) && n.State < report.State || onID && n.State < idReport.State
}

// reportOn returns the strictest report of the source that applies to a node.
func (s *source) reportOn(n Identity) (report Node, ok bool) {
	report, ok = s.reports[n.ID]
	ok = ok && sameNode(report.Identity, n)
	if idReport, onID := s.idReports[n.ID]; onID && (!ok || idReport.State > report.State) {
		return idReport, true
	}
	return report, ok
}

// lists reports whether the source lists the ID as not removed, or has a deferred report on it other than Removed.
func (s *source) lists(id string) bool {
	report, ok := s.reports[id]
	waiting, deferred := s.deferred[deferredReport{id: id}]
	return ok && report.State != Removed || deferred && waiting.State != Removed
}

// sameNode reports whether a report on a applies to b. An unknown start time matches any.
func sameNode(a, b Identity) bool {
	return a.ID == b.ID && (a.StartedMS == 0 || b.StartedMS == 0 || a.StartedMS == b.StartedMS) && a.Addr == b.Addr
}

// markStale marks a current source stale. The orphan timeout (rule 4) of nodes that no other current source reports starts now.
func (m *Merger) markStale(s *source) {
	if s.state != sourceCurrent {
		return
	}
	for id, e := range m.entries {
		if report, ok := s.reports[id]; ok && sameNode(report.Identity, e.Identity) {
			e.lastKnownAt = m.now
		}
	}
	s.state = sourceStale
}

// forgetRemoved deletes nodes that were removed more than max(FlapWindowS, removedRetentionS) ago, and then the Removed reports on nodes
// that are not in the list, unless some source lists the ID.
func (m *Merger) forgetRemoved() {
	listed := func(id string) bool {
		for _, s := range m.sortedSources {
			if s.lists(id) {
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
	for _, s := range m.sortedSources {
		for id, report := range s.reports {
			if report.State == Removed && m.entries[id] == nil && !listed(id) {
				delete(s.reports, id)
			}
		}
	}
}
