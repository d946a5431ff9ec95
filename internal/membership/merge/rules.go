package merge

import (
	"fmt"
	"math"
)

const (
	firstFlapDelayS = 1.0  // wait before the second return within FlapWindowS; it doubles with each further one
	recheckSlackS   = 1e-6 // by which a recheck comes after the moment that it waits for, so that the moment is over
)

const (
	reasonKnownBefore = "known from before"
	reasonOrphaned    = "no current source knows it"
)

// entry is a node of the list with what the rules need of its past.
type entry struct {
	Entry
	lastKnownAt float64 // when a current source last knew it, or all sources were stale
	leftUpAt    float64 // when it last stopped being up, or was removed
	returnedAt  float64 // when it was last up again
	returnCount int     // returns within FlapWindowS of each other
	upNotBefore float64 // it may be up again from then on
}

// finding is what the sources together say of a node.
type finding struct {
	state     State
	reason    string
	byCurrent bool // a current source knows the node
}

// mergeNode applies the rules to one node. changed reports whether its entry is new or has another state or identity.
func (m *Merger) mergeNode(id string, anyCurrent bool) (_ Entry, changed bool) {
	e := m.entries[id]
	n, ok := m.identify(id, e)
	if !ok {
		return Entry{}, false
	}
	f := m.strictest(n)
	if e == nil {
		if f.state == Removed {
			return Entry{}, false
		}
		e = &entry{lastKnownAt: m.now}
		m.entries[id] = e
	} else {
		f = m.withdrawOrphan(e, f, anyCurrent)
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

// identify finds which node an ID stands for now: by rule 2 the latest start that a current source lists, else the one in the list.
func (m *Merger) identify(id string, e *entry) (n Node, ok bool) {
	n, listed := m.latestReport(id)
	switch {
	case !listed && e == nil:
		return Node{}, false
	case !listed:
		return e.Node, true
	case e == nil:
		return n, true
	case !sameNode(n.Identity, e.Identity) && n.StartedMS < e.StartedMS: // of an earlier start
		return e.Node, true
	case n.StartedMS == 0 && sameNode(n.Identity, e.Identity): // a report without a start is on the same node
		n.Identity = e.Identity
	}
	return n, true
}

// latestReport is the report of the latest start among those of current sources that have an address and aren't Removed.
func (m *Merger) latestReport(id string) (n Node, ok bool) {
	for _, s := range m.byName {
		report, has := s.reports[id]
		if has && s.state == sourceCurrent && report.State != Removed && report.Addr != "" && (!ok || report.StartedMS > n.StartedMS) {
			n, ok = report, true
		}
	}
	return n, ok
}

// strictest is rule 1: the strictest report on a node over all sources, the first by name among equals.
func (m *Merger) strictest(n Node) finding {
	f := finding{state: Up}
	for _, s := range m.byName {
		report, ok := s.reportOn(n.Identity)
		if !ok {
			continue
		}
		current := s.state == sourceCurrent
		f.byCurrent = f.byCurrent || current
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

// withdrawOrphan is rule 4.
func (m *Merger) withdrawOrphan(e *entry, f finding, anyCurrent bool) finding {
	if f.byCurrent || !anyCurrent {
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
		m.recheckAt(orphanedAt + recheckSlackS)
	}
	return f
}

// mayNotReturn reports whether a node that isn't up must stay so though it is reported up: by rule 3 for want of a current source, or by
// rule 5 as its wait isn't over.
func (m *Merger) mayNotReturn(e *entry, identity Identity, f finding) bool {
	if e.State == Up || f.state != Up || !sameNode(identity, e.Identity) {
		return false
	}
	if f.byCurrent && m.now < e.upNotBefore {
		m.recheckAt(e.upNotBefore)
	}
	return !f.byCurrent || m.now < e.upNotBefore
}

// trackFlapping updates the times and counts of rule 5 for a node whose state is about to change.
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
