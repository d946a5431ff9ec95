package etcdsource

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"eiderspread/internal/membership/merge"
)

const (
	// confirmReads in a row must answer with a revision or a term below the view's before it is replaced by what they read: one member may
	// lag, while a cluster that was restored from a backup answers so every time.
	confirmReads = 3
	// confirmMembers different ones must have answered so, where more endpoints than one are configured: a member that lies does so every
	// time that it is read from.
	confirmMembers = 2
)

// errStaleState is the error of an answer that is of another cluster or of an older state than the view.
var errStaleState = errors.New("etcd answers from an older state")

// Header is what etcd states with an answer.
type Header struct {
	Cluster  uint64 `json:"Cluster"`
	Revision int64  `json:"Revision"`
	Term     uint64 `json:"Term"`
	Member   uint64 `json:"Member"` // that answered
}

// olderThan reports whether a state of h is of another cluster than one of view, or of an earlier time.
func (h Header) olderThan(view Header) bool {
	return h.Cluster != view.Cluster || h.Revision < view.Revision || h.Term < view.Term
}

// keyValue is one key, without the configured prefix, as it stands or as it changed.
type keyValue struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Deleted  bool  // of a change
}

// readResult says what became of a full read.
type readResult int

const (
	readAccepted readResult = iota // the view is what was read
	readReplaced                   // so it is, of another cluster or of a state that was restored
	readRejected                   // it is of an older state: read again
)

// String is the result's name.
func (r readResult) String() string { return [...]string{"accepted", "replaced", "rejected"}[r] }

// follower is the view of the keys at one revision. It does no I/O and belongs to one goroutine.
type follower struct {
	synced           bool // a full read was accepted
	header           Header
	nodes            map[string]nodeValue // by ID, the last valid value of each
	drains           map[string]bool      // by ID
	invalid          map[string]string    // by key: why its value can't be read
	regressions      int                  // full reads in a row of an older state
	regressedMembers map[uint64]bool      // that answered these
	requiredMembers  int                  // so many must, before an older state is accepted
	fullReads        int                  // accepted
	duplicateEvents  int
}

func newFollower(requiredMembers int) *follower {
	return &follower{nodes: map[string]nodeValue{}, drains: map[string]bool{}, invalid: map[string]string{}, regressedMembers: map[uint64]bool{},
		requiredMembers: requiredMembers}
}

// applyFull takes in all keys at a revision.
func (f *follower) applyFull(h Header, kvs []keyValue) readResult {
	result := readAccepted
	switch {
	case !f.synced:
	case h.Cluster != f.header.Cluster:
		result = readReplaced
	case h.olderThan(f.header):
		f.regressedMembers[h.Member] = true
		if f.regressions++; f.regressions < confirmReads || len(f.regressedMembers) < f.requiredMembers {
			return readRejected
		}
		result = readReplaced
	}
	lastValid := f.nodes
	f.synced, f.header, f.regressions = true, h, 0
	clear(f.regressedMembers)
	f.nodes, f.drains, f.invalid = map[string]nodeValue{}, map[string]bool{}, map[string]string{}
	for _, kv := range kvs {
		f.applyKey(kv, lastValid)
	}
	f.fullReads++
	return result
}

// applyKey takes in one key. A node whose value is invalid keeps the one that it has in lastValid. It returns the node whose report may have
// changed; ok is false if there is none.
func (f *follower) applyKey(kv keyValue, lastValid map[string]nodeValue) (id string, ok bool) {
	dir, id, ok := parseKey(kv.Key)
	if !ok {
		if dir != "" {
			f.invalid[kv.Key] = "not a node's id"
		}
		return "", false
	}
	delete(f.invalid, kv.Key)
	switch {
	case dir == drainPrefix && kv.Deleted:
		delete(f.drains, id)
	case dir == drainPrefix:
		f.drains[id] = true
	case kv.Deleted:
		delete(f.nodes, id)
	default:
		v, err := parseValue(kv.Value)
		if err != nil {
			f.invalid[kv.Key] = err.Error()
			if v, ok = lastValid[id]; !ok {
				return "", false
			}
		}
		f.nodes[id] = v
	}
	return id, true
}

// node is the view's report on a node. One on a drain mark whose node etcd does not list is on the ID alone.
func (f *follower) node(id string) merge.Node {
	n := merge.Node{Identity: merge.Identity{ID: id}}
	if v, listed := f.nodes[id]; listed {
		n.Addr, n.StartedMS, n.Zone, n.Cell, n.Weight = v.Addr, v.StartedMS, v.Zone, v.Cell, v.Weight
	}
	if f.drains[id] {
		n.State = merge.Draining
	}
	return n
}

// allNodes are the view's reports, by ID.
func (f *follower) allNodes() []merge.Node {
	ids := map[string]bool{}
	for id := range f.nodes {
		ids[id] = true
	}
	for id := range f.drains {
		ids[id] = true
	}
	var list []merge.Node
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		list = append(list, f.node(id))
	}
	return list
}

// applyEvents takes in what one answer of a watch changed, and returns the reports on the nodes that changed. On a node that changed in
// several of the answer's revisions there is one report, the last: a drain mark that was taken back and set again while the watch was down
// is no moment in which the node was up.
//
// An answer of another cluster or an older term is errStaleState. The header's revision is the store's when the answer was made; as more
// events up to it may follow, only events and progress move the view on.
func (f *follower) applyEvents(h Header, kvs []keyValue) ([]merge.Node, error) {
	if h.Cluster != f.header.Cluster || h.Term < f.header.Term {
		return nil, errStaleState
	}
	f.header.Term = h.Term
	var reports []merge.Node
	before := f.header.Revision
	index := map[string]int{}    // by ID: the place in reports
	removed := map[string]bool{} // by ID: it was listed, and isn't any more
	for _, kv := range kvs {
		if kv.Revision <= before {
			f.duplicateEvents++
			continue
		}
		f.header.Revision = max(f.header.Revision, kv.Revision)
		nodeID, isNode := strings.CutPrefix(kv.Key, nodesPrefix)
		_, listed := f.nodes[nodeID]
		id, ok := f.applyKey(kv, f.nodes)
		if !ok {
			continue
		}
		if isNode {
			removed[id] = kv.Deleted && (listed || removed[id])
		}
		report := f.node(id)
		if removed[id] {
			report.State = merge.Removed
		}
		if i, again := index[id]; again {
			reports[i] = report
			continue
		}
		index[id] = len(reports)
		reports = append(reports, report)
	}
	return reports, nil
}

// applyProgress takes in that nothing has changed up to a revision; an older one is errStaleState.
func (f *follower) applyProgress(h Header) error {
	if h.olderThan(f.header) {
		return errStaleState
	}
	f.header = h
	return nil
}
