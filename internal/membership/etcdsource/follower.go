package etcdsource

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"eiderspread/internal/membership/merge"
)

const (
	// confirmReads is how many full reads in a row must return a revision or a term below the view's before the last of them replaces the
	// view. One member may lag, but a cluster that was restored from a backup returns an older state on every read.
	confirmReads = 3
	// confirmMembers is how many different members must have answered these reads if more than one endpoint is configured: a faulty member
	// returns an older state every time that it is read from.
	confirmMembers = 2
)

// errStaleState is the error for a response from another cluster or with an older state than the view.
var errStaleState = errors.New("etcd returned a state that is older or of another cluster")

// Header is the cluster state that etcd sends with each response.
type Header struct {
	Cluster  uint64 `json:"Cluster"`
	Revision int64  `json:"Revision"`
	Term     uint64 `json:"Term"`
	Member   uint64 `json:"Member"` // ID of the member that responded
}

// olderThan reports whether h is from another cluster than view or has a lower revision or term.
func (h Header) olderThan(view Header) bool {
	return h.Cluster != view.Cluster || h.Revision < view.Revision || h.Term < view.Term
}

// keyValue is one key, without the configured prefix, from a full read or from an event.
type keyValue struct {
	Key      string
	Value    []byte
	Revision int64 // revision at which the key last changed
	Deleted  bool  // the event deletes the key; false in a full read
}

// readResult is the outcome of a full read.
type readResult int

const (
	readAccepted readResult = iota // the view is now the state that was read
	readReplaced                   // the same, but the state is another cluster's or was restored from an older one
	readRejected                   // the state that was read is older than the view, which is unchanged: read again
)

// String returns the result's name.
func (r readResult) String() string { return [...]string{"accepted", "replaced", "rejected"}[r] }

// follower keeps the view: the state of the keys at one revision. It does no I/O and belongs to one goroutine.
type follower struct {
	synced           bool                 // a full read has been accepted
	header           Header               // header of the view
	nodes            map[string]nodeValue // by ID: the last valid value
	drains           map[string]bool      // by ID: the nodes with a drain mark
	invalid          map[string]string    // by key: why the key or its value is invalid
	regressions      int                  // full reads in a row that returned an older state
	regressedMembers map[uint64]bool      // members that answered the reads counted by regressions
	requiredMembers  int                  // size of regressedMembers from which on an older state is accepted
	fullReads        int                  // full reads that were accepted
	duplicateEvents  int                  // events at or below the view's revision, which were ignored
}

func newFollower(requiredMembers int) *follower {
	return &follower{nodes: map[string]nodeValue{}, drains: map[string]bool{}, invalid: map[string]string{}, regressedMembers: map[uint64]bool{},
		requiredMembers: requiredMembers}
}

// applyFull replaces the view with all keys at one revision, unless that state is older than the view and not yet confirmed.
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

// applyKey applies one key to the view. A node whose value is invalid keeps its value in lastValid, if any. applyKey returns the ID of the
// node whose report may have changed; ok is false if there is none.
func (f *follower) applyKey(kv keyValue, lastValid map[string]nodeValue) (id string, ok bool) {
	dir, id, ok := parseKey(kv.Key)
	if !ok {
		if dir != "" {
			f.invalid[kv.Key] = "key does not end in a valid node ID"
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

// node returns the view's report on a node. For a drain mark without a listed node, the report has only the ID and the state.
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

// allNodes returns the view's reports on all nodes, sorted by ID.
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

// applyEvents applies the events of one watch response and returns the reports on the nodes that changed. A node that changed in several
// revisions of the response gets one report, the last: if a drain mark was deleted and set again while the watch was down, the node must
// not be reported as up in between.
//
// A response from another cluster or with an older term is errStaleState. The header's revision is the store's at the time of the response,
// and more events up to it may follow, so only events and progress notifications advance the view's revision.
func (f *follower) applyEvents(h Header, kvs []keyValue) ([]merge.Node, error) {
	if h.Cluster != f.header.Cluster || h.Term < f.header.Term {
		return nil, errStaleState
	}
	f.header.Term = h.Term
	var reports []merge.Node
	before := f.header.Revision
	index := map[string]int{}    // by ID: the index in reports
	removed := map[string]bool{} // by ID: the node was listed and its key is deleted
	marked := map[string]bool{}  // by ID, of changed drain marks: whether there was one before
	for _, kv := range kvs {
		if kv.Revision <= before {
			f.duplicateEvents++
			continue
		}
		f.header.Revision = max(f.header.Revision, kv.Revision)
		nodeID, isNode := strings.CutPrefix(kv.Key, nodesPrefix)
		_, listed := f.nodes[nodeID]
		if markID, isMark := strings.CutPrefix(kv.Key, drainPrefix); isMark {
			if _, changed := marked[markID]; !changed {
				marked[markID] = f.drains[markID]
			}
		}
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
	return append(reports, f.marksOfRemoved(reports, marked)...), nil
}

// marksOfRemoved returns reports on the drain marks of nodes that are reported as removed, if the marks differ from those before: the report
// on a removed node says nothing of its mark.
func (f *follower) marksOfRemoved(reports []merge.Node, markedBefore map[string]bool) (marks []merge.Node) {
	for _, n := range reports {
		before, changed := markedBefore[n.ID]
		if n.State != merge.Removed || !changed || before == f.drains[n.ID] {
			continue
		}
		mark := merge.Node{Identity: merge.Identity{ID: n.ID}}
		if f.drains[n.ID] {
			mark.State = merge.Draining
		}
		marks = append(marks, mark)
	}
	return marks
}

// applyProgress applies a progress notification, which states that there are no other events up to its revision. It returns errStaleState
// if h is older than the view, or of another cluster.
func (f *follower) applyProgress(h Header) error {
	if h.olderThan(f.header) {
		return errStaleState
	}
	f.header = h
	return nil
}
