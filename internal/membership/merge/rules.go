package merge

import (
	"fmt"
	"math"
)

const (
	firstFlapDelayS = 1.0  // delay of the second return within FlapWindowS; doubles at each further return
	recheckSlackS   = 1e-6 // added to the time of a recheck, because the deadline must have passed by then
)

const (
	reasonKnownBefore = "known from before"
	reasonOrphaned    = "no current source knows it"
)

// entry is a node of the list with the history that the rules need. Times are Unix seconds.
type entry struct {
	Entry
	lastKnownAt float64 // last time that a current source reported the node, or that all sources were stale
	leftUpAt    float64 // last time that the node stopped being up or was removed
	returnedAt  float64 // last time that the node returned to up
	returnCount int     // number of returns since the node last stopped being up after more than FlapWindowS
	upNotBefore float64 // earliest time of the node's next return
}

// mergedReport is the strictest report of all sources on a node.
type mergedReport struct {
	state          State
	reason         string
	knownToCurrent bool // a current source has reported the node
}

// mergeNode applies the rules to one node and returns its entry. changed reports whether the entry is new or its state or identity differs.
func (m *Merger) mergeNode(id string, anyCurrent bool) (_ Entry, changed bool) {
	e := m.entries[id]
	n, ok := m.resolveNode(id, e)
	if !ok {
		return Entry{}, false
	}
	f := m.strictestReport(n)
	if e == nil {
		if f.state == Removed {
			return Entry{}, false
		}
		e = &entry{lastKnownAt: m.now}
		m.entries[id] = e
	} else {
		f = m.drainOrphan(e, f, anyCurrent)
		if m.mayNotReturn(e, n.Identity, f) {
			return Entry{}, false
		}
		if e.Identity == n.Identity && e.State == f.state {
			e.Reason = f.reason
			return Entry{}, false
		}
		m.trackFlapping(e, n.Identity, f.state)
	}
	n.State = f.state
	e.Entry = Entry{n, f.reason}
	return e.Entry, true
}

// resolveNode returns the node that an ID refers to now: the one with the latest start that a current source lists (rule 2), otherwise the
// node of the merged list. ok is false if there is neither.
func (m *Merger) resolveNode(id string, e *entry) (n Node, ok bool) {
	n, listed := m.latestReport(id)
	switch {
	case !listed && e == nil:
		return Node{}, false
	case !listed:
		return e.Node, true
	case e == nil:
		return n, true
	case !sameNode(n.Identity, e.Identity) && n.StartedMS < e.StartedMS: // the report is about an earlier start
		return e.Node, true
	case n.StartedMS == 0 && sameNode(n.Identity, e.Identity): // a report without a start time is about the same node
		n.Identity = e.Identity
	}
	return n, true
}

// latestReport returns the report with the latest start time among those of current sources that have an address and are not Removed.
func (m *Merger) latestReport(id string) (n Node, ok bool) {
	for _, s := range m.sortedSources {
		report, has := s.reports[id]
		if has && s.state == sourceCurrent && report.State != Removed && report.Addr != "" && (!ok || report.StartedMS > n.StartedMS) {
			n, ok = report, true
		}
	}
	return n, ok
}

// strictestReport implements rule 1: it returns the strictest report on a node over all sources. Among equally strict reports, the one of
// the first source by name wins. A node without any report keeps the state of n.
func (m *Merger) strictestReport(n Node) mergedReport {
	f := mergedReport{state: Up}
	for _, s := range m.sortedSources {
		report, ok := s.reportOn(n.Identity)
		if !ok {
			continue
		}
		current := s.state == sourceCurrent
		f.knownToCurrent = f.knownToCurrent || current
		if report.State > f.state || f.reason == "" {
			f.state, f.reason = report.State, fmt.Sprintf("%s by %s", report.State, s.name)
			if !current {
				f.reason += ", which is stale"
			}
		}
	}
	if f.reason == "" {
		f.state, f.reason = n.State, reasonKnownBefore
	}
	return f
}

// drainOrphan implements rule 4: it turns up into draining for a node that no current source has reported for OrphanAfterS, while some
// source is current.
func (m *Merger) drainOrphan(e *entry, f mergedReport, anyCurrent bool) mergedReport {
	if f.knownToCurrent || !anyCurrent {
		e.lastKnownAt = m.now
		return f
	}
	if f.state != Up {
		return f
	}
	orphanedAt := e.lastKnownAt + m.cfg.OrphanAfterS
	if m.now > orphanedAt {
		f.state, f.reason = Draining, reasonOrphaned
	} else {
		m.scheduleRecheck(orphanedAt + recheckSlackS)
	}
	return f
}

// mayNotReturn reports whether a node that is not up must stay so although it is reported up: because no current source reports it (rule 3)
// or because its flap delay has not passed (rule 5).
func (m *Merger) mayNotReturn(e *entry, identity Identity, f mergedReport) bool {
	if e.State == Up || f.state != Up || !sameNode(identity, e.Identity) {
		return false
	}
	if f.knownToCurrent && m.now < e.upNotBefore {
		m.scheduleRecheck(e.upNotBefore)
	}
	return !f.knownToCurrent || m.now < e.upNotBefore
}

// trackFlapping updates the times and counts of rule 5 for a node whose state or identity is about to change. A new identity is another
// node, so it does not count as a return.
func (m *Merger) trackFlapping(e *entry, identity Identity, state State) {
	if state == Removed {
		e.leftUpAt = m.now
	}
	if e.Identity != identity {
		return
	}
	switch {
	case e.State == Up && state != Up:
		e.leftUpAt = m.now
		if m.now > e.returnedAt+m.cfg.FlapWindowS {
			e.returnCount = 0
		}
		if e.returnCount > 0 {
			e.upNotBefore = m.now + min(firstFlapDelayS*math.Exp2(float64(e.returnCount-1)), m.cfg.MaxFlapDelayS)
		}
	case e.State != Up && state == Up:
		e.returnCount++
		e.returnedAt = m.now
	}
}
