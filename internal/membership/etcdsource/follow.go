// Package etcdsource learns zone nodes and their draining marks from etcd. follow.go decides what is to be believed of
// what etcd answers, without I/O; source.go is the client round it. docs/membership.md states the rules, and
// docs/etcd-schema.md the keys and values.
package etcdsource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"eiderspread/internal/membership/merge"
)

const (
	nodesPrefix = "nodes/"
	drainPrefix = "drain/"
	maxIDBytes  = 128
	// confirmReads reads in a row must tell of a revision or a term that fell, before the view goes back: one member may
	// be old, while a read that the cluster agrees on is not.
	confirmReads = 3
	// confirmMembers of them must have told it where more endpoints than one are named: one that lies, lies as often as it is asked.
	confirmMembers = 2
)

// Header is what etcd says of an answer.
type Header struct {
	Cluster  uint64 `json:"Cluster"`
	Revision int64  `json:"Revision"`
	Term     uint64 `json:"Term"`
	Member   uint64 `json:"Member"` // that answered
}

// KV is one key under the prefix, which is cut off; Deleted among changes only.
type KV struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Deleted  bool
}

// nodeValue is a node's value. Unknown fields are refused.
type nodeValue struct {
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// ReadResult is what a read of the whole comes to.
type ReadResult int

// The verdicts.
const (
	ReadAccepted ReadResult = iota // the view is this one now
	ReadReplaced                   // so it is, and it is of another cluster, or one that was put back
	ReadRejected                   // from an old member: ask again
)

// follower keeps the view at a revision. It is not safe for concurrent use.
type follower struct {
	synced           bool
	header           Header
	nodes            map[string]nodeValue // the last good one of each
	drains           map[string]bool
	invalid          map[string]string // keys whose value can't be read, and why
	regressions      int               // reads in a row that told of a lower revision
	regressedMembers map[uint64]bool   // the members that told it
	requiredMembers  int               // so many must
	fullReads        int               // of the whole that were taken
	duplicateEvents  int               // events that had been taken in already
}

func newFollower(members int) *follower {
	return &follower{nodes: map[string]nodeValue{}, drains: map[string]bool{}, invalid: map[string]string{}, regressedMembers: map[uint64]bool{}, requiredMembers: members}
}

// parseValue reads a node's value.
func parseValue(text []byte) (nodeValue, error) {
	var v nodeValue
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, err
	}
	if d.More() {
		return v, errors.New("more than one value")
	}
	if _, err := netip.ParseAddrPort(v.Addr); err != nil {
		return v, fmt.Errorf("addr: %w", err)
	}
	if v.StartedMS < 0 || v.Cell < 0 || !(v.Weight >= 0 && v.Weight <= 1e6) {
		return v, errors.New("a number is out of range")
	}
	return v, nil
}

// parseKey takes a key apart; ok is false for what is no node's.
func parseKey(key string) (dir, id string, ok bool) {
	for _, dir := range []string{nodesPrefix, drainPrefix} {
		if id, found := strings.CutPrefix(key, dir); found {
			ok := id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' })
			return dir, id, ok
		}
	}
	return "", "", false
}

// applyFull takes the whole at a revision.
func (f *follower) applyFull(h Header, kvs []KV) ReadResult {
	verdict := ReadAccepted
	switch {
	case !f.synced:
	case h.Cluster != f.header.Cluster:
		verdict = ReadReplaced
	case h.Term < f.header.Term, h.Revision < f.header.Revision:
		f.regressedMembers[h.Member] = true
		if f.regressions++; f.regressions < confirmReads || len(f.regressedMembers) < f.requiredMembers {
			return ReadRejected
		}
		verdict = ReadReplaced
	}
	good := f.nodes
	f.synced, f.header, f.regressions = true, h, 0
	clear(f.regressedMembers)
	f.nodes, f.drains, f.invalid = map[string]nodeValue{}, map[string]bool{}, map[string]string{}
	for _, kv := range kvs {
		f.applyKey(kv, good)
	}
	f.fullReads++
	return verdict
}

// applyKey takes one key in. A node whose value can't be read keeps its last good one, of those in good.
func (f *follower) applyKey(kv KV, good map[string]nodeValue) (id string, ok bool) {
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
			if v, ok = good[id]; !ok {
				return "", false
			}
		}
		f.nodes[id] = v
	}
	return id, true
}

// node is what the view says of a node. A mark on a node that etcd does not list is a word on its id alone.
func (f *follower) node(id string) merge.Node {
	n := merge.Node{Identity: merge.Identity{ID: id}}
	v, listed := f.nodes[id]
	if listed {
		n.Addr, n.StartedMS, n.Zone, n.Cell, n.Weight = v.Addr, v.StartedMS, v.Zone, v.Cell, v.Weight
	}
	if f.drains[id] {
		n.State = merge.Draining
	}
	return n
}

// allNodes is the view.
func (f *follower) allNodes() (list []merge.Node) {
	ids := map[string]bool{}
	for id := range f.nodes {
		ids[id] = true
	}
	for id := range f.drains {
		ids[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		list = append(list, f.node(id))
	}
	return list
}

var errStaleState = errors.New("etcd answers from an older state")

// applyEvents takes in what one answer of a watch brought, and returns the words that changed. Of a node that changed in several of
// its revisions the last word alone is told: a mark that was taken back and set again while the watch was down is no moment in
// which the node was up. An answer of another cluster or of an older term ends the watch. The header's revision is the store's
// when the answer was made: more events up to it may be on their way in further answers, so that only events and progress
// move the view on.
func (f *follower) applyEvents(h Header, kvs []KV) (words []merge.Node, err error) {
	if h.Cluster != f.header.Cluster || h.Term < f.header.Term {
		return nil, errStaleState
	}
	f.header.Term = h.Term
	behind := f.header.Revision // what the view had when the answer came
	seen := map[string]int{}
	gone := map[string]bool{} // nodes that were listed and are not any more
	for _, kv := range kvs {
		if kv.Revision <= behind {
			f.duplicateEvents++
			continue
		}
		f.header.Revision = max(f.header.Revision, kv.Revision)
		key, isNode := strings.CutPrefix(kv.Key, nodesPrefix)
		_, listed := f.nodes[key]
		id, ok := f.applyKey(kv, f.nodes)
		if !ok {
			continue
		}
		if isNode {
			gone[id] = kv.Deleted && (listed || gone[id])
		}
		w := f.node(id)
		if gone[id] {
			w.State = merge.Removed
		}
		if i, twice := seen[id]; twice {
			words[i] = w
			continue
		}
		seen[id] = len(words)
		words = append(words, w)
	}
	return words, nil
}

// applyProgress takes in that nothing has changed up to a revision.
func (f *follower) applyProgress(h Header) error {
	if h.Cluster != f.header.Cluster || h.Term < f.header.Term || h.Revision < f.header.Revision {
		return errStaleState
	}
	f.header = h
	return nil
}
