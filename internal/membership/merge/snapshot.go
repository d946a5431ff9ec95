package merge

import (
	"maps"
	"slices"
)

// Snapshot is what a Merger knows, in the form that an agent stores across restarts.
type Snapshot struct {
	Entries []Node            `json:"List"`  // the merged list
	Reports map[string][]Node `json:"Words"` // by source's name; those without an address are on the ID alone
}

// Snapshot returns what is known now.
func (m *Merger) Snapshot() Snapshot {
	snapshot := Snapshot{Reports: map[string][]Node{}}
	for _, e := range m.Entries() {
		snapshot.Entries = append(snapshot.Entries, e.Node)
	}
	for _, s := range m.byName {
		for _, reports := range []map[string]Node{s.reports, s.idReports, s.deferred} {
			for _, id := range slices.Sorted(maps.Keys(reports)) {
				snapshot.Reports[s.name] = append(snapshot.Reports[s.name], reports[id])
			}
		}
	}
	return snapshot
}

// Restore takes in what sources had reported before a restart. They count as stale until each has listed all again; of several reports on
// a node the strictest holds. Call it first; the snapshot's entries go to NewMerger.
func (m *Merger) Restore(snapshot Snapshot) {
	for name, reports := range snapshot.Reports {
		s := m.sources[name]
		if s == nil {
			continue
		}
		for _, n := range reports {
			if !s.relaxes(n) {
				s.apply(n)
			}
		}
	}
}
