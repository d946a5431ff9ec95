package merge

import (
	"maps"
	"slices"
)

// Snapshot is the state of a Merger that an agent stores across restarts.
type Snapshot struct {
	Entries []Node            `json:"List"`  // the merged list
	Reports map[string][]Node `json:"Words"` // by source name; a report without an address applies to any node with the ID
}

// Snapshot returns the merged list and all reports, deferred ones included.
func (m *Merger) Snapshot() Snapshot {
	snapshot := Snapshot{Reports: map[string][]Node{}}
	for _, e := range m.Entries() {
		snapshot.Entries = append(snapshot.Entries, e.Node)
	}
	for _, s := range m.sortedSources {
		for _, reports := range []map[string]Node{s.reports, s.idReports} {
			for _, id := range slices.Sorted(maps.Keys(reports)) {
				snapshot.Reports[s.name] = append(snapshot.Reports[s.name], reports[id])
			}
		}
		snapshot.Reports[s.name] = append(snapshot.Reports[s.name], s.deferredReports()...)
	}
	return snapshot
}

// Restore applies the reports that sources had sent before a restart. A source is not current until it has sent a full list again. Of
// several reports on a node the strictest applies. Call Restore before any other method; pass the snapshot's entries to NewMerger.
func (m *Merger) Restore(snapshot Snapshot) {
	for name, reports := range snapshot.Reports {
		s := m.sources[name]
		if s == nil {
			continue
		}
		for _, n := range reports {
			for _, part := range s.parts(n) {
				if !s.relaxes(part) {
					s.apply(part)
				}
			}
		}
	}
}
