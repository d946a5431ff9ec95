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

	"eiderspread/internal/member"
)

const (
	nodesDir = "nodes/"
	drainDir = "drain/"
	maxID    = 128
	// confirmMost reads in a row must tell of a revision or a term that fell, before the view goes back: one member may
	// be old, while a read that the cluster agrees on is not.
	confirmMost = 3
	// confirmMembers of them must have told it where more endpoints than one are named: one that lies, lies as often as it is asked.
	confirmMembers = 2
)

// Header is what etcd says of an answer.
type Header struct {
	Cluster  uint64
	Revision int64
	Term     uint64
	Member   uint64 // that answered
}

// KV is one key under the prefix, which is cut off; Deleted among changes only.
type KV struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
	Deleted  bool
}

// value is a node's value. Unknown fields are refused.
type value struct {
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Verdict is what a read of the whole comes to.
type Verdict int

// The verdicts.
const (
	Taken    Verdict = iota // the view is this one now
	Replaced                // so it is, and it is of another cluster, or one that was put back
	Refused                 // from an old member: ask again
)

// follower keeps the view at a revision. It is not safe for concurrent use.
type follower struct {
	known   bool
	head    Header
	nodes   map[string]value // the last good one of each
	drains  map[string]bool
	bad     map[string]string // keys whose value can't be read, and why
	fell    int               // reads in a row that told of a lower revision
	fellBy  map[uint64]bool   // the members that told it
	members int               // so many must
	Reads   int               // of the whole that were taken
	Repeats int               // events that had been taken in already
}

func newFollower(members int) *follower {
	return &follower{nodes: map[string]value{}, drains: map[string]bool{}, bad: map[string]string{}, fellBy: map[uint64]bool{}, members: members}
}

// parseValue reads a node's value.
func parseValue(text []byte) (value, error) {
	var v value
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

// split takes a key apart; ok is false for what is no node's.
func split(key string) (dir, id string, ok bool) {
	for _, dir := range []string{nodesDir, drainDir} {
		if id, found := strings.CutPrefix(key, dir); found {
			ok := id != "" && len(id) <= maxID && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' })
			return dir, id, ok
		}
	}
	return "", "", false
}

// read takes the whole at a revision.
func (f *follower) read(h Header, kvs []KV) Verdict {
	verdict := Taken
	switch {
	case !f.known:
	case h.Cluster != f.head.Cluster:
		verdict = Replaced
	case h.Term < f.head.Term, h.Revision < f.head.Revision:
		f.fellBy[h.Member] = true
		if f.fell++; f.fell < confirmMost || len(f.fellBy) < f.members {
			return Refused
		}
		verdict = Replaced
	}
	good := f.nodes
	f.known, f.head, f.fell = true, h, 0
	clear(f.fellBy)
	f.nodes, f.drains, f.bad = map[string]value{}, map[string]bool{}, map[string]string{}
	for _, kv := range kvs {
		f.set(kv, good)
	}
	f.Reads++
	return verdict
}

// set takes one key in. A node whose value can't be read keeps its last good one, of those in good.
func (f *follower) set(kv KV, good map[string]value) (id string, ok bool) {
	dir, id, ok := split(kv.Key)
	if !ok {
		if dir != "" {
			f.bad[kv.Key] = "not a node's id"
		}
		return "", false
	}
	delete(f.bad, kv.Key)
	switch {
	case dir == drainDir && kv.Deleted:
		delete(f.drains, id)
	case dir == drainDir:
		f.drains[id] = true
	case kv.Deleted:
		delete(f.nodes, id)
	default:
		v, err := parseValue(kv.Value)
		if err != nil {
			f.bad[kv.Key] = err.Error()
			if v, ok = good[id]; !ok {
				return "", false
			}
		}
		f.nodes[id] = v
	}
	return id, true
}

// word is what the view says of a node. A mark on a node that etcd does not list is a word on its id alone.
func (f *follower) word(id string) member.Node {
	n := member.Node{Identity: member.Identity{ID: id}}
	v, listed := f.nodes[id]
	if listed {
		n.Addr, n.StartedMS, n.Zone, n.Cell, n.Weight = v.Addr, v.StartedMS, v.Zone, v.Cell, v.Weight
	}
	if f.drains[id] {
		n.State = member.Draining
	}
	return n
}

// whole is the view.
func (f *follower) whole() (list []member.Node) {
	ids := map[string]bool{}
	for id := range f.nodes {
		ids[id] = true
	}
	for id := range f.drains {
		ids[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		list = append(list, f.word(id))
	}
	return list
}

var errOld = errors.New("etcd answers from an older state")

// events takes in what one answer of a watch brought, and returns the words that changed. Of a node that changed in several of
// its revisions the last word alone is told: a mark that was taken back and set again while the watch was down is no moment in
// which the node was up. An answer of another cluster or of an older term ends the watch. The header's revision is the store's
// when the answer was made: more events up to it may be on their way in further answers, so that only events and progress
// move the view on.
func (f *follower) events(h Header, kvs []KV) (words []member.Node, err error) {
	if h.Cluster != f.head.Cluster || h.Term < f.head.Term {
		return nil, errOld
	}
	f.head.Term = h.Term
	behind := f.head.Revision // what the view had when the answer came
	seen := map[string]int{}
	gone := map[string]bool{} // nodes that were listed and are not any more
	for _, kv := range kvs {
		if kv.Revision <= behind {
			f.Repeats++
			continue
		}
		f.head.Revision = max(f.head.Revision, kv.Revision)
		key, isNode := strings.CutPrefix(kv.Key, nodesDir)
		_, listed := f.nodes[key]
		id, ok := f.set(kv, f.nodes)
		if !ok {
			continue
		}
		if isNode {
			gone[id] = kv.Deleted && (listed || gone[id])
		}
		w := f.word(id)
		if gone[id] {
			w.State = member.Gone
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

// progress takes in that nothing has changed up to a revision.
func (f *follower) progress(h Header) error {
	if h.Cluster != f.head.Cluster || h.Term < f.head.Term || h.Revision < f.head.Revision {
		return errOld
	}
	f.head = h
	return nil
}
