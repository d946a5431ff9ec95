// Package store implements the state of the etcd stand-in: keys with all their versions, transactions, compaction and
// leases, as etcd's published API defines them. It does no I/O; callers pass the time as a value. Errors are those of etcd's
// package rpctypes. A Store is not safe for concurrent use.
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

// Limits, with the defaults that etcd documents.
const (
	MaxTxnOps   = 128
	MaxRequest  = 3 << 19       // bytes (1.5 MiB)
	MaxLeaseTTL = 9_000_000_000 // seconds
)

// View is the point in the history from which a member answers reads.
type View struct {
	Revision  int64 // last applied revision
	Compacted int64 // compacted revision; reads below it fail
}

// Record is one commit as the append-only file stores it: the resulting changes, not the request.
type Record struct {
	Revision int64   `json:"rev,omitempty"` // revision that Writes get
	Writes   []Write `json:"writes,omitempty"`
	Compact  int64   `json:"compact,omitempty"`
	Grant    int64   `json:"grant,omitempty"`  // ID of the granted lease
	TTL      int64   `json:"ttl,omitempty"`    // seconds
	Revoke   int64   `json:"revoke,omitempty"` // ID of the revoked lease
}

// Write is a put or deletion of one key.
type Write struct {
	Key    []byte `json:"k"`
	Value  []byte `json:"v,omitempty"`
	Lease  int64  `json:"l,omitempty"`
	Delete bool   `json:"d,omitempty"`
}

// Store is the state of one cluster with its history, back to the last Trim.
type Store struct {
	rev, compacted int64
	keys           []string // keys of hist, sorted
	hist           map[string][]*mvccpb.KeyValue
	events         []*mvccpb.Event // ordered by revision; bounded by Trim
	leases         map[int64]*lease
	lastLease      int64
	log            func(Record)
	record         Record // record of the commit in progress
}

type lease struct {
	ttl       int64 // seconds
	expiresAt time.Duration
	keys      map[string]bool
}

// New returns an empty store at revision 1, like a new etcd cluster. It passes each commit to log, which may be nil.
func New(log func(Record)) *Store {
	if log == nil {
		log = func(Record) {}
	}
	return &Store{rev: 1, hist: map[string][]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, log: log}
}

// View returns the latest point of the history.
func (s *Store) View() View { return View{s.rev, s.compacted} }

// Reset replaces the state by kvs, without history before rev and without leases.
func (s *Store) Reset(rev int64, kvs []*mvccpb.KeyValue) {
	s.rev, s.compacted = rev, rev
	s.keys, s.hist, s.events, s.leases = nil, map[string][]*mvccpb.KeyValue{}, nil, map[int64]*lease{}
	for _, kv := range kvs {
		s.hist[string(kv.Key)] = []*mvccpb.KeyValue{kv}
		s.keys = append(s.keys, string(kv.Key))
	}
	sort.Strings(s.keys)
}

// isTombstone reports whether an entry of a key's history is a deletion.
func isTombstone(kv *mvccpb.KeyValue) bool { return kv.Version == 0 }

// keyAt returns a key as of a revision, or nil if it did not exist.
func (s *Store) keyAt(key string, rev int64) *mvccpb.KeyValue {
	h := s.hist[key]
	i := sort.Search(len(h), func(i int) bool { return h[i].ModRevision > rev })
	if i == 0 || isTombstone(h[i-1]) {
		return nil
	}
	return h[i-1]
}

// Within reports whether a key lies in the range [from, end). An empty end selects the key from only, "\0" all keys >= from.
func Within(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// rangeAt returns the keys of a range that existed at a revision, sorted by key.
func (s *Store) rangeAt(from, end []byte, rev int64) (list []*mvccpb.KeyValue) {
	for i := sort.SearchStrings(s.keys, string(from)); i < len(s.keys) && Within([]byte(s.keys[i]), from, end); i++ {
		if kv := s.keyAt(s.keys[i], rev); kv != nil {
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

func (v View) checkRevision(rev int64) error {
	switch {
	case rev > v.Revision:
		return rpctypes.ErrGRPCFutureRev
	case rev > 0 && rev < v.Compacted:
		return rpctypes.ErrGRPCCompacted
	}
	return nil
}

// Range answers a read from a view. The caller sets the header of the response.
func (s *Store) Range(r *pb.RangeRequest, v View) (*pb.RangeResponse, error) {
	if err := checkRange(r); err != nil {
		return nil, err
	}
	if err := v.checkRevision(r.Revision); err != nil {
		return nil, err
	}
	rev := v.Revision
	if r.Revision > 0 {
		rev = r.Revision
	}
	list := s.rangeAt(r.Key, r.RangeEnd, rev)
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

func compareInts(a, b int64) int {
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
		return func(a, b *mvccpb.KeyValue) int { return compareInts(a.Version, b.Version) }
	case pb.RangeRequest_CREATE:
		return func(a, b *mvccpb.KeyValue) int { return compareInts(a.CreateRevision, b.CreateRevision) }
	case pb.RangeRequest_MOD:
		return func(a, b *mvccpb.KeyValue) int { return compareInts(a.ModRevision, b.ModRevision) }
	case pb.RangeRequest_VALUE:
		return func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Value, b.Value) }
	}
	return func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) }
}

// Events returns the events of all revisions between from and to, both included, in order. Callers must not modify them.
func (s *Store) Events(from, to int64) []*mvccpb.Event {
	lo := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= from })
	hi := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision > to })
	return s.events[lo:max(lo, hi)]
}

// ---- writes: each request is validated completely before anything is changed ----

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

// checkPutState does the checks of a put that depend on the current state.
func (s *Store) checkPutState(r *pb.PutRequest) error {
	if (r.IgnoreValue || r.IgnoreLease) && s.keyAt(string(r.Key), s.rev) == nil {
		return rpctypes.ErrGRPCKeyNotFound
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return rpctypes.ErrGRPCLeaseNotFound
	}
	return nil
}

// write applies one change at the revision in progress.
func (s *Store) write(w Write) {
	key, rev := string(w.Key), s.rev+1
	old := s.keyAt(key, rev)
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

// commit completes a change and logs its record. All writes of the change share one new revision; without writes the revision
// stays.
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
	old := s.keyAt(string(r.Key), s.rev+1)
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

func (s *Store) deleteRange(r *pb.DeleteRangeRequest) *pb.DeleteRangeResponse {
	out := &pb.DeleteRangeResponse{}
	for _, kv := range s.rangeAt(r.Key, r.RangeEnd, s.rev+1) {
		s.write(Write{Key: kv.Key, Delete: true})
		out.Deleted++
		if r.PrevKv {
			out.PrevKvs = append(out.PrevKvs, kv)
		}
	}
	return out
}

// Put writes a key.
func (s *Store) Put(r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := s.checkPut(r); err != nil {
		return nil, err
	}
	if err := s.checkPutState(r); err != nil {
		return nil, err
	}
	defer s.commit()
	return s.put(r), nil
}

// Delete removes a key or range.
func (s *Store) Delete(r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if len(r.Key) == 0 {
		return nil, rpctypes.ErrGRPCEmptyKey
	}
	defer s.commit()
	return s.deleteRange(r), nil
}

// Txn evaluates the comparisons and applies one of the two lists of operations as one revision.
func (s *Store) Txn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := s.checkTxn(r); err != nil {
		return nil, err
	}
	if _, _, err := checkDuplicateKeys(r.Success); err != nil {
		return nil, err
	}
	if _, _, err := checkDuplicateKeys(r.Failure); err != nil {
		return nil, err
	}
	// Checks that depend on the state are done for the chosen branches only, before anything is written.
	paths := s.evalBranches(r)
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

// checkDuplicateKeys returns an error if a list of operations puts a key twice, or puts and deletes it. Both branches of an
// inner transaction may put the same key, as only one of them is applied.
func checkDuplicateKeys(ops []*pb.RequestOp) (puts map[string]bool, dels []*pb.DeleteRangeRequest, err error) {
	puts = map[string]bool{}
	deleted := func(key string) bool {
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
		then, delsThen, err := checkDuplicateKeys(t.Success)
		if err != nil {
			return nil, nil, err
		}
		other, delsElse, err := checkDuplicateKeys(t.Failure)
		if err != nil {
			return nil, nil, err
		}
		for key := range then {
			if puts[key] || deleted(key) {
				return nil, nil, rpctypes.ErrGRPCDuplicateKey
			}
		}
		for key := range other {
			if puts[key] || deleted(key) {
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
			if puts[string(p.Key)] || deleted(string(p.Key)) {
				return nil, nil, rpctypes.ErrGRPCDuplicateKey
			}
			puts[string(p.Key)] = true
		}
	}
	return puts, dels, nil
}

// evalBranches returns whether the comparisons hold, for a transaction and the inner transactions in its chosen branches, in
// order. All comparisons see the state before the transaction.
func (s *Store) evalBranches(r *pb.TxnRequest) (list []bool) {
	ok := true
	for _, c := range r.Compare {
		ok = ok && s.compareHolds(c)
	}
	list = append(list, ok)
	for _, op := range chosenOps(r, ok) {
		if t := op.GetRequestTxn(); t != nil {
			list = append(list, s.evalBranches(t)...)
		}
	}
	return list
}

func chosenOps(r *pb.TxnRequest, ok bool) []*pb.RequestOp {
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
		for _, op := range chosenOps(r, ok) {
			var err error
			switch {
			case op.GetRequestRange() != nil:
				err = s.View().checkRevision(op.GetRequestRange().Revision)
			case op.GetRequestPut() != nil:
				err = s.checkPutState(op.GetRequestPut())
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
		for _, op := range chosenOps(r, out.Succeeded) {
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
				got := s.deleteRange(op.GetRequestDeleteRange())
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

// compareHolds reports whether a comparison holds for every key of its range. For a missing single key, revisions, version and
// lease are taken as 0, and a comparison of the value does not hold.
func (s *Store) compareHolds(c *pb.Compare) bool {
	list := s.rangeAt(c.Key, c.RangeEnd, s.rev)
	if len(list) == 0 {
		if len(c.RangeEnd) > 0 {
			return true // an empty range has no key that fails the comparison
		}
		if c.Target == pb.Compare_VALUE {
			return false
		}
		list = []*mvccpb.KeyValue{{}}
	}
	return !slices.ContainsFunc(list, func(kv *mvccpb.KeyValue) bool { return !compare(c, kv) })
}

func compare(c *pb.Compare, kv *mvccpb.KeyValue) bool {
	order := 0
	switch c.Target {
	case pb.Compare_CREATE:
		order = compareInts(kv.CreateRevision, c.GetCreateRevision())
	case pb.Compare_MOD:
		order = compareInts(kv.ModRevision, c.GetModRevision())
	case pb.Compare_VERSION:
		order = compareInts(kv.Version, c.GetVersion())
	case pb.Compare_LEASE:
		order = compareInts(kv.Lease, c.GetLease())
	case pb.Compare_VALUE:
		order = bytes.Compare(kv.Value, c.GetValue())
	}
	switch c.Result {
	case pb.Compare_EQUAL:
		return order == 0
	case pb.Compare_NOT_EQUAL:
		return order != 0
	case pb.Compare_LESS:
		return order < 0
	}
	return order > 0
}

// Compact makes reads below rev fail. Trim later deletes the history.
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

// Trim deletes history that no member serves any more: versions that were replaced by revision rev, and events before rev. It
// never deletes history that is not compacted.
func (s *Store) Trim(rev int64) {
	rev = min(rev, s.compacted)
	lo := sort.Search(len(s.events), func(i int) bool { return s.events[i].Kv.ModRevision >= rev })
	if lo == 0 {
		return
	}
	s.events = append([]*mvccpb.Event(nil), s.events[lo:]...)
	s.keys = slices.DeleteFunc(s.keys, func(key string) bool {
		h := s.hist[key]
		i := sort.Search(len(h), func(i int) bool { return h[i].ModRevision > rev }) - 1 // the last version at rev
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

// Grant creates a lease that expires ttl seconds after now (at least 1) and returns its ID. With id 0 it assigns a free ID.
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
	s.leases[id] = &lease{ttl: ttl, expiresAt: now + time.Duration(ttl)*time.Second, keys: map[string]bool{}}
	s.record.Grant, s.record.TTL = id, ttl
	s.commit()
	return id, nil
}

// Revoke ends a lease and deletes its keys in one revision.
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

// KeepAlive renews a lease for its full TTL. It returns the TTL in seconds, 0 if the lease does not exist.
func (s *Store) KeepAlive(now time.Duration, id int64) int64 {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expiresAt = now + time.Duration(l.ttl)*time.Second
	return l.ttl
}

// Lease returns the remaining time of a lease, its granted TTL in seconds and its keys. granted is 0 if the lease does not exist.
func (s *Store) Lease(now time.Duration, id int64) (left time.Duration, granted int64, keys []string) {
	l := s.leases[id]
	if l == nil {
		return 0, 0, nil
	}
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return l.expiresAt - now, l.ttl, keys
}

// Leases returns the IDs of all leases, sorted.
func (s *Store) Leases() (ids []int64) {
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Extend renews all leases for their full TTL, as a new leader does.
func (s *Store) Extend(now time.Duration) {
	for id := range s.leases {
		s.KeepAlive(now, id)
	}
}

// Expire revokes the expired leases, and returns when the next lease expires. ok is false if there is no lease left.
func (s *Store) Expire(now time.Duration) (next time.Duration, ok bool) {
	for _, id := range s.Leases() {
		if l := s.leases[id]; l.expiresAt <= now {
			_ = s.Revoke(id)
		} else if !ok || l.expiresAt < next {
			next, ok = l.expiresAt, true
		}
	}
	return next, ok
}

// ---- the file ----

// Replay applies a commit from the file. A lease starts with its full TTL at now.
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
