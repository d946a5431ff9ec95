// Package store is the state of the project's stand-in for etcd: keys with all their versions, transactions, compaction and
// leases, as etcd's published API words them. It does no I/O and takes time as a value. Errors are those of the client's
// rpctypes. A Store is not safe for concurrent use.
package store

import (
	"bytes"
	"slices"
	"sort"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// Bounds as etcd states them by default.
const (
	MaxTxnOps   = 128
	MaxRequest  = 3 << 19 // bytes: 1.5 MiB
	MaxLeaseTTL = 9_000_000_000
)

// View is a point in the history from which reads are answered: a member's own.
type View struct {
	Revision  int64 // the last that was applied
	Compacted int64 // reads below it fail
}

// Record is one commit as the append-only file keeps it: what was resolved, not what was asked.
type Record struct {
	Revision int64   `json:"rev,omitempty"` // of Writes
	Writes   []Write `json:"writes,omitempty"`
	Compact  int64   `json:"compact,omitempty"`
	Grant    int64   `json:"grant,omitempty"` // a lease's id
	TTL      int64   `json:"ttl,omitempty"`   // seconds
	Revoke   int64   `json:"revoke,omitempty"`
}

// Write is one key's change.
type Write struct {
	Key    []byte `json:"k"`
	Value  []byte `json:"v,omitempty"`
	Lease  int64  `json:"l,omitempty"`
	Delete bool   `json:"d,omitempty"`
}

// Store is one cluster's state with its history, as far back as Trim has left it.
type Store struct {
	rev, compacted int64
	keys           []string // of hist, in order
	hist           map[string][]*mvccpb.KeyValue
	events         []*mvccpb.Event // in order of revisions; bounded by Trim
	leases         map[int64]*lease
	lastLease      int64
	log            func(Record)
	record         Record // of the commit under way
}

type lease struct {
	ttl  int64 // seconds
	ends time.Duration
	keys map[string]bool
}

// New returns an empty store at revision 1, as etcd begins. Each commit is handed to log, which may be nil.
func New(log func(Record)) *Store {
	if log == nil {
		log = func(Record) {}
	}
	return &Store{rev: 1, hist: map[string][]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, log: log}
}

// View is the newest point of the history.
func (s *Store) View() View { return View{s.rev, s.compacted} }

// Reset puts a state in the place of what is there, with no history before its revision.
func (s *Store) Reset(rev int64, kvs []*mvccpb.KeyValue) {
	s.rev, s.compacted = rev, rev
	s.keys, s.hist, s.events, s.leases = nil, map[string][]*mvccpb.KeyValue{}, nil, map[int64]*lease{}
	for _, kv := range kvs {
		s.hist[string(kv.Key)] = []*mvccpb.KeyValue{kv}
		s.keys = append(s.keys, string(kv.Key))
	}
	sort.Strings(s.keys)
}

// isTombstone tells a deletion from a value in a key's history.
func isTombstone(kv *mvccpb.KeyValue) bool { return kv.Version == 0 }

// at is a key as it stood at a revision, nil if it was not there.
func (s *Store) at(key string, rev int64) *mvccpb.KeyValue {
	h := s.hist[key]
	i := sort.Search(len(h), func(i int) bool { return h[i].ModRevision > rev })
	if i == 0 || isTombstone(h[i-1]) {
		return nil
	}
	return h[i-1]
}

// Within tells whether a key lies in [from, end); an empty end means from alone, "\0" all from it on.
func Within(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// in lists what stood in a range at a revision, by key.
func (s *Store) in(from, end []byte, rev int64) (list []*mvccpb.KeyValue) {
	for i := sort.SearchStrings(s.keys, string(from)); i < len(s.keys) && Within([]byte(s.keys[i]), from, end); i++ {
		if kv := s.at(s.keys[i], rev); kv != nil {
			list = append(list, kv)
		}
	}
	return list
}

// ---- reads ----

func checkRange(r *pb.RangeRequest) error {
	if len(r.Key) == 0 {
		return rpctypes.ErrGRPCEmptyKey
	}
	if pb.RangeRequest_SortOrder_name[int32(r.SortOrder)] == "" || pb.RangeRequest_SortTarget_name[int32(r.SortTarget)] == "" {
		return rpctypes.ErrGRPCInvalidSortOption
	}
	return nil
}

func (v View) check(rev int64) error {
	switch {
	case rev > v.Revision:
		return rpctypes.ErrGRPCFutureRev
	case rev > 0 && rev < v.Compacted:
		return rpctypes.ErrGRPCCompacted
	}
	return nil
}

// Range answers a read from a view. The header is the caller's.
func (s *Store) Range(r *pb.RangeRequest, v View) (*pb.RangeResponse, error) {
	if err := checkRange(r); err != nil {
		return nil, err
	}
	if err := v.check(r.Revision); err != nil {
		return nil, err
	}
	rev := v.Revision
	if r.Revision > 0 {
		rev = r.Revision
	}
	list := s.in(r.Key, r.RangeEnd, rev)
	out := &pb.RangeResponse{Count: int64(len(list))}
	if r.CountOnly {
		return out, nil
	}
	list = slices.DeleteFunc(list, func(kv *mvccpb.KeyValue) bool {
		return r.MinModRevision > 0 && kv.ModRevision < r.MinModRevision || r.MaxModRevision > 0 && kv.ModRevision > r.MaxModRevision ||
			r.MinCreateRevision > 0 && kv.CreateRevision < r.MinCreateRevision || r.MaxCreateRevision > 0 && kv.CreateRevision > r.MaxCreateRevision
	})
	order := r.SortOrder
	if order == pb.RangeRequest_NONE && r.SortTarget != pb.RangeRequest_KEY {
		order = pb.RangeRequest_ASCEND
	}
	if order != pb.RangeRequest_NONE {
		by := sortBy(r.SortTarget)
		slices.SortStableFunc(list, func(a, b *mvccpb.KeyValue) int {
			if order == pb.RangeRequest_DESCEND {
				a, b = b, a
			}
			return by(a, b)
		})
	}
	if r.Limit > 0 && int64(len(list)) > r.Limit {
		list, out.More = list[:r.Limit], true
	}
	for _, kv := range list {
		if r.KeysOnly {
			kv = &mvccpb.KeyValue{Key: kv.Key, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision, Version: kv.Version, Lease: kv.Lease}
		}
		out.Kvs = append(out.Kvs, kv)
	}
	return out, nil
}

func order(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func sortBy(t pb.RangeRequest_SortTarget) func(a, b *mvccpb.KeyValue) int {
	switch t {
	case pb.RangeRequest_VERSION:
		return func(a, b *mvccpb.KeyValue) int { return order(a.Version, b.Version) }
	case pb.RangeRequest_CREATE:
		return func(a, b *mvccpb.KeyValue) int { return order(a.CreateRevision, b.CreateRevision) }
	case pb.RangeRequest_MOD:
		return func(a, b *mvccpb.KeyValue) int { return order(a.ModRevision, b.ModRevision) }
	case pb.RangeRequest_VALUE:
		return func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Value, b.Value) }
	}
	return func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) }
}

// Events are those of revisions from, up to and with, to, in order. They are not to be changed.
func (s *Store) Events(from, to int64) []*mvccpb.Event {
	lo := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= from })
	hi := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision > to })
	return s.events[lo:max(lo, hi)]
}

// ---- writes: each is checked whole before anything is changed ----

func (s *Store) checkPut(r *pb.PutRequest) error {
	switch {
	case len(r.Key) == 0:
		return rpctypes.ErrGRPCEmptyKey
	case len(r.Key)+len(r.Value) > MaxRequest:
		return rpctypes.ErrGRPCRequestTooLarge
	case r.IgnoreValue && len(r.Value) > 0:
		return rpctypes.ErrGRPCValueProvided
	case r.IgnoreLease && r.Lease != 0:
		return rpctypes.ErrGRPCLeaseProvided
	}
	return nil
}

// checkState is what of a put hangs on the state.
func (s *Store) checkState(r *pb.PutRequest) error {
	if (r.IgnoreValue || r.IgnoreLease) && s.at(string(r.Key), s.rev) == nil {
		return rpctypes.ErrGRPCKeyNotFound
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return rpctypes.ErrGRPCLeaseNotFound
	}
	return nil
}

// write takes one change at the revision under way.
func (s *Store) write(w Write) {
	key, rev := string(w.Key), s.rev+1
	old := s.at(key, rev)
	kv := &mvccpb.KeyValue{Key: w.Key, ModRevision: rev}
	e := &mvccpb.Event{Type: mvccpb.DELETE, Kv: kv, PrevKv: old}
	if !w.Delete {
		kv.Value, kv.Lease, kv.CreateRevision, kv.Version = w.Value, w.Lease, rev, 1
		if old != nil {
			kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		}
		e.Type = mvccpb.PUT
	}
	if old != nil && s.leases[old.Lease] != nil {
		delete(s.leases[old.Lease].keys, key)
	}
	if l := s.leases[w.Lease]; l != nil && !w.Delete {
		l.keys[key] = true
	}
	if _, known := s.hist[key]; !known {
		i := sort.SearchStrings(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.hist[key] = append(s.hist[key], kv)
	s.events = append(s.events, e)
	s.record.Writes = append(s.record.Writes, w)
}

// commit ends a change: one revision for all that was written, none if nothing was.
func (s *Store) commit() {
	if len(s.record.Writes) > 0 {
		s.rev++
		s.record.Revision = s.rev
	}
	if r := s.record; r.Revision+r.Compact+r.Grant+r.Revoke != 0 {
		s.log(r)
	}
	s.record = Record{}
}

func (s *Store) put(r *pb.PutRequest) *pb.PutResponse {
	old := s.at(string(r.Key), s.rev+1)
	w := Write{Key: r.Key, Value: r.Value, Lease: r.Lease}
	if r.IgnoreValue && old != nil {
		w.Value = old.Value
	}
	if r.IgnoreLease && old != nil {
		w.Lease = old.Lease
	}
	s.write(w)
	out := &pb.PutResponse{}
	if r.PrevKv {
		out.PrevKv = old
	}
	return out
}

func (s *Store) remove(r *pb.DeleteRangeRequest) *pb.DeleteRangeResponse {
	out := &pb.DeleteRangeResponse{}
	for _, kv := range s.in(r.Key, r.RangeEnd, s.rev+1) {
		s.write(Write{Key: kv.Key, Delete: true})
		out.Deleted++
		if r.PrevKv {
			out.PrevKvs = append(out.PrevKvs, kv)
		}
	}
	return out
}

// Put sets a key.
func (s *Store) Put(r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := s.checkPut(r); err != nil {
		return nil, err
	}
	if err := s.checkState(r); err != nil {
		return nil, err
	}
	defer s.commit()
	return s.put(r), nil
}

// Delete removes a range.
func (s *Store) Delete(r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	defer s.commit()
	return s.remove(r), nil
}

// Txn does one of two lists of operations, as one revision.
func (s *Store) Txn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := s.checkTxn(r); err != nil {
		return nil, err
	}
	if _, _, err := intervals(r.Success); err != nil {
		return nil, err
	}
	if _, _, err := intervals(r.Failure); err != nil {
		return nil, err
	}
	// What hangs on the state is checked for the branches that will be taken, before anything is written.
	paths := s.paths(r)
	if err := s.checkOps(r, paths); err != nil {
		return nil, err
	}
	defer s.commit()
	return s.txn(r, paths), nil
}

func (s *Store) checkTxn(r *pb.TxnRequest) error {
	if max(len(r.Compare), len(r.Success), len(r.Failure)) > MaxTxnOps {
		return rpctypes.ErrGRPCTooManyOps
	}
	for _, c := range r.Compare {
		if len(c.Key) == 0 {
			return rpctypes.ErrGRPCEmptyKey
		}
	}
	for _, op := range append(slices.Clone(r.Success), r.Failure...) {
		var err error
		switch {
		case op.GetRequestRange() != nil:
			err = checkRange(op.GetRequestRange())
		case op.GetRequestPut() != nil:
			err = s.checkPut(op.GetRequestPut())
		case op.GetRequestDeleteRange() != nil:
			if len(op.GetRequestDeleteRange().Key) == 0 {
				err = rpctypes.ErrGRPCEmptyKey
			}
		case op.GetRequestTxn() != nil:
			err = s.checkTxn(op.GetRequestTxn())
		default:
			err = rpctypes.ErrGRPCKeyNotFound
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// intervals refuses a list of operations that writes a key twice: a put with a put or with a deletion. Puts in the two
// branches of one inner transaction may meet, as only one of them is done.
func intervals(ops []*pb.RequestOp) (puts map[string]bool, dels []*pb.DeleteRangeRequest, err error) {
	puts = map[string]bool{}
	hit := func(key string) bool {
		return slices.ContainsFunc(dels, func(d *pb.DeleteRangeRequest) bool { return Within([]byte(key), d.Key, d.RangeEnd) })
	}
	for _, op := range ops {
		if d := op.GetRequestDeleteRange(); d != nil {
			dels = append(dels, d)
		}
	}
	for _, op := range ops {
		t := op.GetRequestTxn()
		if t == nil {
			continue
		}
		then, delsThen, err := intervals(t.Success)
		if err != nil {
			return nil, nil, err
		}
		other, delsElse, err := intervals(t.Failure)
		if err != nil {
			return nil, nil, err
		}
		for key := range then {
			if puts[key] || hit(key) {
				return nil, nil, rpctypes.ErrGRPCDuplicateKey
			}
		}
		for key := range other {
			if puts[key] || hit(key) {
				return nil, nil, rpctypes.ErrGRPCDuplicateKey
			}
		}
		for key := range then {
			puts[key] = true
		}
		for key := range other {
			puts[key] = true
		}
		dels = append(append(dels, delsThen...), delsElse...)
	}
	for _, op := range ops {
		if p := op.GetRequestPut(); p != nil {
			if puts[string(p.Key)] || hit(string(p.Key)) {
				return nil, nil, rpctypes.ErrGRPCDuplicateKey
			}
			puts[string(p.Key)] = true
		}
	}
	return puts, dels, nil
}

// paths says for a transaction and those in it, in order, which branch is taken: all compare with the state before.
func (s *Store) paths(r *pb.TxnRequest) (list []bool) {
	ok := true
	for _, c := range r.Compare {
		ok = ok && s.compareHolds(c)
	}
	list = append(list, ok)
	for _, op := range branch(r, ok) {
		if t := op.GetRequestTxn(); t != nil {
			list = append(list, s.paths(t)...)
		}
	}
	return list
}

func branch(r *pb.TxnRequest, ok bool) []*pb.RequestOp {
	if ok {
		return r.Success
	}
	return r.Failure
}

func (s *Store) checkOps(r *pb.TxnRequest, paths []bool) error {
	var walk func(r *pb.TxnRequest) error
	walk = func(r *pb.TxnRequest) error {
		ok := paths[0]
		paths = paths[1:]
		for _, op := range branch(r, ok) {
			var err error
			switch {
			case op.GetRequestRange() != nil:
				err = s.View().check(op.GetRequestRange().Revision)
			case op.GetRequestPut() != nil:
				err = s.checkState(op.GetRequestPut())
			case op.GetRequestTxn() != nil:
				err = walk(op.GetRequestTxn())
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	return walk(r)
}

func (s *Store) txn(r *pb.TxnRequest, paths []bool) *pb.TxnResponse {
	var walk func(r *pb.TxnRequest) *pb.TxnResponse
	walk = func(r *pb.TxnRequest) *pb.TxnResponse {
		out := &pb.TxnResponse{Succeeded: paths[0]}
		paths = paths[1:]
		for _, op := range branch(r, out.Succeeded) {
			res := &pb.ResponseOp{}
			switch {
			case op.GetRequestRange() != nil:
				v := s.View()
				if len(s.record.Writes) > 0 {
					v.Revision++
				}
				got, _ := s.Range(op.GetRequestRange(), v)
				got.Header = &pb.ResponseHeader{Revision: v.Revision}
				res.Response = &pb.ResponseOp_ResponseRange{ResponseRange: got}
			case op.GetRequestPut() != nil:
				got := s.put(op.GetRequestPut())
				got.Header = &pb.ResponseHeader{Revision: s.rev + 1}
				res.Response = &pb.ResponseOp_ResponsePut{ResponsePut: got}
			case op.GetRequestDeleteRange() != nil:
				got := s.remove(op.GetRequestDeleteRange())
				got.Header = &pb.ResponseHeader{Revision: s.rev + 1}
				res.Response = &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: got}
			case op.GetRequestTxn() != nil:
				res.Response = &pb.ResponseOp_ResponseTxn{ResponseTxn: walk(op.GetRequestTxn())}
			}
			out.Responses = append(out.Responses, res)
		}
		return out
	}
	return walk(r)
}

// compareHolds tells whether a comparison holds for each key of its range. A key that is not there compares as 0, and has no value.
func (s *Store) compareHolds(c *pb.Compare) bool {
	list := s.in(c.Key, c.RangeEnd, s.rev)
	if len(list) == 0 {
		if len(c.RangeEnd) > 0 {
			return true // no key of the range contradicts
		}
		if c.Target == pb.Compare_VALUE {
			return false
		}
		list = []*mvccpb.KeyValue{{}}
	}
	return !slices.ContainsFunc(list, func(kv *mvccpb.KeyValue) bool { return !compare(c, kv) })
}

func compare(c *pb.Compare, kv *mvccpb.KeyValue) bool {
	by := 0
	switch c.Target {
	case pb.Compare_CREATE:
		by = order(kv.CreateRevision, c.GetCreateRevision())
	case pb.Compare_MOD:
		by = order(kv.ModRevision, c.GetModRevision())
	case pb.Compare_VERSION:
		by = order(kv.Version, c.GetVersion())
	case pb.Compare_LEASE:
		by = order(kv.Lease, c.GetLease())
	case pb.Compare_VALUE:
		by = bytes.Compare(kv.Value, c.GetValue())
	}
	switch c.Result {
	case pb.Compare_EQUAL:
		return by == 0
	case pb.Compare_NOT_EQUAL:
		return by != 0
	case pb.Compare_LESS:
		return by < 0
	}
	return by > 0
}

// Compact forgets for readers what was before a revision. What lies below Trim's is dropped for good.
func (s *Store) Compact(rev int64) error {
	switch {
	case rev <= s.compacted:
		return rpctypes.ErrGRPCCompacted
	case rev > s.rev:
		return rpctypes.ErrGRPCFutureRev
	}
	s.compacted = rev
	s.record.Compact = rev
	s.commit()
	return nil
}

// Trim drops history that nobody can ask for: versions that were replaced before a revision, events before it. It is
// never more than what was compacted away.
func (s *Store) Trim(rev int64) {
	rev = min(rev, s.compacted)
	lo := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= rev })
	if lo == 0 {
		return
	}
	s.events = append([]*mvccpb.Event(nil), s.events[lo:]...)
	s.keys = slices.DeleteFunc(s.keys, func(key string) bool {
		h := s.hist[key]
		i := sort.Search(len(h), func(i int) bool { return h[i].ModRevision > rev }) - 1 // the last at rev
		if i > 0 {
			h = append([]*mvccpb.KeyValue(nil), h[i:]...)
			s.hist[key] = h
		}
		if len(h) == 1 && isTombstone(h[0]) && h[0].ModRevision < rev {
			delete(s.hist, key)
			return true
		}
		return false
	})
}

// ---- leases ----

// Grant makes a lease of ttl seconds at a time, with an id of its own if id is 0.
func (s *Store) Grant(now time.Duration, id, ttl int64) (int64, error) {
	switch {
	case ttl > MaxLeaseTTL:
		return 0, rpctypes.ErrGRPCLeaseTTLTooLarge
	case id != 0 && s.leases[id] != nil:
		return 0, rpctypes.ErrGRPCLeaseExist
	}
	for id == 0 {
		if s.lastLease++; s.leases[s.lastLease] == nil {
			id = s.lastLease
		}
	}
	ttl = max(ttl, 1)
	s.leases[id] = &lease{ttl: ttl, ends: now + time.Duration(ttl)*time.Second, keys: map[string]bool{}}
	s.record.Grant, s.record.TTL = id, ttl
	s.commit()
	return id, nil
}

// Revoke ends a lease; its keys go as one revision.
func (s *Store) Revoke(id int64) error {
	l := s.leases[id]
	if l == nil {
		return rpctypes.ErrGRPCLeaseNotFound
	}
	var keys []string
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	delete(s.leases, id)
	for _, key := range keys {
		s.write(Write{Key: []byte(key), Delete: true})
	}
	s.record.Revoke = id
	s.commit()
	return nil
}

// KeepAlive gives a lease its whole time again and returns it in seconds, 0 if there is no such lease.
func (s *Store) KeepAlive(now time.Duration, id int64) int64 {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.ends = now + time.Duration(l.ttl)*time.Second
	return l.ttl
}

// Lease tells what is left of a lease, what it was granted, and its keys; granted is 0 if there is none.
func (s *Store) Lease(now time.Duration, id int64) (left time.Duration, granted int64, keys []string) {
	l := s.leases[id]
	if l == nil {
		return 0, 0, nil
	}
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return l.ends - now, l.ttl, keys
}

// Leases lists all leases, in order.
func (s *Store) Leases() (ids []int64) {
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Extend gives all leases their whole time, as a new leader does.
func (s *Store) Extend(now time.Duration) {
	for id := range s.leases {
		s.KeepAlive(now, id)
	}
}

// Expire ends the leases whose time is over, and returns when the next one's is; ok is false if there is none.
func (s *Store) Expire(now time.Duration) (next time.Duration, ok bool) {
	for _, id := range s.Leases() {
		if l := s.leases[id]; l.ends <= now {
			_ = s.Revoke(id)
		} else if !ok || l.ends < next {
			next, ok = l.ends, true
		}
	}
	return next, ok
}

// ---- the file ----

// Replay takes a kept commit in. Leases get their whole time anew.
func (s *Store) Replay(now time.Duration, r Record) {
	log := s.log
	s.log = func(Record) {}
	defer func() { s.log = log }()
	if r.Grant != 0 {
		_, _ = s.Grant(now, r.Grant, r.TTL)
	}
	if r.Revoke != 0 {
		delete(s.leases, r.Revoke)
	}
	if len(r.Writes) > 0 {
		s.rev = r.Revision - 1
		for _, w := range r.Writes {
			s.write(w)
		}
	}
	if r.Compact > 0 {
		_ = s.Compact(r.Compact)
	}
	s.commit()
}
