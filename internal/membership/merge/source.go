package merge

import "math"

// removedRetentionS is for how long, in s, a node that no source lists any more stays known as removed: another source may be so late.
const removedRetentionS = 60

// sourceState says how far a source's reports are up to date.
type sourceState int

const (
	sourceUnsynced sourceState = iota // never listed all in this process
	sourceCurrent                     // listed all, and has reported every change since
	sourceStale                       // was current; changes may be missing
)

// source is what one source has reported.
type source struct {
	name        string
	state       sourceState
	lastHeardAt float64         // while current
	reports     map[string]Node // by ID, the last of each; a deletion is Removed
	idReports   map[string]Node // by ID: reports without an address, on whatever is behind the ID; never Up
	deferred    map[string]Node // by ID: reports that take something back and came while it wasn't current
}

func newSource(name string) *source {
	return &source{name: name, lastHeardAt: math.Inf(-1), reports: map[string]Node{}, idReports: map[string]Node{}, deferred: map[string]Node{}}
}

// apply takes in one report. One without an address removes the node that the source listed, or is kept for the ID.
func (s *source) apply(n Node) {
	switch {
	case n.Addr != "":
		s.reports[n.ID] = n
		delete(s.idReports, n.ID) // the report holds it as well
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

// relaxes reports whether n takes back something that the source has reported.
func (s *source) relaxes(n Node) bool {
	report, ok := s.reports[n.ID]
	idReport, onID := s.idReports[n.ID]
	return ok && n.Addr != "" && sameNode(report.Identity, n.Identity) && n.State < report.State || onID && n.State < idReport.State
}

// reportOn is the strictest report of the source that applies to a node.
func (s *source) reportOn(n Identity) (report Node, ok bool) {
	report, ok = s.reports[n.ID]
	ok = ok && sameNode(report.Identity, n)
	if idReport, onID := s.idReports[n.ID]; onID && (!ok || idReport.State > report.State) {
		return idReport, true
	}
	return report, ok
}

// lists reports whether the source has the ID, or will have it once it is current.
func (s *source) lists(id string) bool {
	report, ok := s.reports[id]
	waiting, deferred := s.deferred[id]
	return ok && report.State != Removed || deferred && waiting.State != Removed
}

// sameNode reports whether a report on a applies to b.
func sameNode(a, b Identity) bool {
	return a.ID == b.ID && (a.StartedMS == 0 || b.StartedMS == 0 || a.StartedMS == b.StartedMS) && a.Addr == b.Addr
}

// markStale marks a current source stale. What only it knows begins to age (rule 4).
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

// forgetRemoved drops nodes that were removed long ago, and then the reports on them, unless some source lists them.
func (m *Merger) forgetRemoved() {
	listed := func(id string) bool {
		for _, s := range m.byName {
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
	for _, s := range m.byName {
		for id, report := range s.reports {
			if report.State == Removed && m.entries[id] == nil && !listed(id) {
				delete(s.reports, id)
			}
		}
	}
}
