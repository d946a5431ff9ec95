// Package etcd is the project's own stand-in for an etcd cluster, written from the published API: keys with revisions,
// transactions, compaction, leases and watches, in memory, on a loopback address. Beside what a cluster promises it
// does on command what breaks those promises or tries a client's patience: it stalls without a word, loses history, is
// put back to an older state, and answers as a member that lags.
//
// What it is not yet: several members, past revisions in reads, authentication, TLS.
package etcd

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
)

// Head tells which state of which cluster an answer is of.
type Head struct {
	Cluster  uint64
	Revision int64
	Term     uint64
}

// KV is a key as it stands.
type KV struct {
	Key, Value string
	Revision   int64 // of its last change
}

// Server is one cluster of one member. Its methods may be called by any goroutine.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer

	mu        sync.Mutex
	addr      string
	srv       *grpc.Server
	head      Head
	keys      map[string]*mvccpb.KeyValue
	events    []*mvccpb.Event // after the compacted revision, in order; bounded by Compact alone: runs are short
	compacted int64
	changed   chan struct{} // closed and replaced with each change
	leases    map[int64]*lease
	nextLease int64
	reads     int
	watches   int

	// Script is what goes wrong; see SetScript.
	script Script
}

// Script makes a Server do what a cluster would not. Its functions run without locks.
type Script struct {
	Silent    bool                                     // no progress is told
	AfterRead func()                                   // after each read of keys
	OnWatch   func(w pb.Watch_WatchServer, from int64) // after a watch's creation, before its events
}

type lease struct {
	ttl   time.Duration
	ends  *time.Timer
	holds map[string]bool
}

// New starts a cluster without keys at a loopback address of its own.
func New() (*Server, error) {
	s := &Server{head: Head{Cluster: 1, Revision: 1, Term: 2}, keys: map[string]*mvccpb.KeyValue{}, changed: make(chan struct{}),
		leases: map[int64]*lease{}, addr: "127.0.0.1:0"}
	return s, s.Start()
}

// Addr is where clients connect; the same after a restart.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start serves again after a Stop, with the state as it was.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.srv = grpc.NewServer()
	pb.RegisterKVServer(s.srv, s)
	pb.RegisterWatchServer(s.srv, s)
	pb.RegisterLeaseServer(s.srv, s)
	go s.srv.Serve(l)
	return nil
}

// Stop ends the server as a crash would; its state stays.
func (s *Server) Stop() {
	s.mu.Lock()
	srv := s.srv
	s.srv = nil
	s.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Wipe puts a new, empty cluster in the place of this one. Call it while stopped, as operators would.
func (s *Server) Wipe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(Head{Cluster: s.head.Cluster + 1, Revision: 1, Term: 2}, nil)
}

// Restore puts a state in the place of what is there, with no history before it.
func (s *Server) Restore(h Head, kvs ...KV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(h, kvs)
}

func (s *Server) restore(h Head, kvs []KV) {
	s.head, s.keys, s.events, s.compacted = h, map[string]*mvccpb.KeyValue{}, nil, h.Revision
	for _, l := range s.leases {
		l.ends.Stop()
	}
	s.leases = map[int64]*lease{}
	for _, kv := range kvs {
		s.keys[kv.Key] = &mvccpb.KeyValue{Key: []byte(kv.Key), Value: []byte(kv.Value), CreateRevision: kv.Revision, ModRevision: kv.Revision,
			Version: 1}
	}
	s.wake()
}

// SetScript says what goes wrong from now on.
func (s *Server) SetScript(c Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = c
}

// Reads counts the reads of keys, Watches the watches that were opened.
func (s *Server) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Watches counts the watches that were opened.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Head is the state as it is.
func (s *Server) Head() Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Set writes a key, Delete removes one, both as a client would.
func (s *Server) Set(key, value string) {
	s.Put(context.Background(), &pb.PutRequest{Key: []byte(key), Value: []byte(value)})
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.DeleteRange(context.Background(), &pb.DeleteRangeRequest{Key: []byte(key)})
}

// CompactAll forgets all history.
func (s *Server) CompactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.events = s.head.Revision, nil
}

// State is all keys as they stand, in order, with the revision that they are of.
func (s *Server) State() ([]KV, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []KV
	for k, v := range s.keys {
		list = append(list, KV{k, string(v.Value), v.ModRevision})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.head.Revision
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.head.Cluster, MemberId: 1, Revision: s.head.Revision, RaftTerm: s.head.Term}
}

// within tells whether a key lies in [from, end); an empty end means from alone, "\0" all behind it.
func within(key, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, from)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// ---- KV ----

func (s *Server) rangeOf(r *pb.RangeRequest) (*pb.RangeResponse, error) {
	switch {
	case r.Revision > s.head.Revision:
		return nil, rpctypes.ErrGRPCFutureRev
	case r.Revision > 0 && r.Revision < s.head.Revision: // no past is kept
		return nil, rpctypes.ErrGRPCCompacted
	}
	out := &pb.RangeResponse{Header: s.header()}
	for _, kv := range s.keys {
		if within(kv.Key, r.Key, r.RangeEnd) {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	out.Count = int64(len(out.Kvs))
	slices.SortFunc(out.Kvs, func(a, b *mvccpb.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	if r.Limit > 0 && out.Count > r.Limit {
		out.Kvs, out.More = out.Kvs[:r.Limit], true
	}
	if r.CountOnly {
		out.Kvs = nil
	}
	return out, nil
}

// Range implements the KV service: the state as it is, by key.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	out, err := s.rangeOf(r)
	after := s.script.AfterRead
	if r.CountOnly {
		after = nil
	} else {
		s.reads++
	}
	s.mu.Unlock()
	if after != nil {
		after()
	}
	return out, err
}

// put and remove change keys at a revision; s.mu is held.
func (s *Server) put(r *pb.PutRequest, rev int64) error {
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return rpctypes.ErrGRPCLeaseNotFound
	}
	old := s.keys[string(r.Key)]
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, CreateRevision: rev, ModRevision: rev, Version: 1, Lease: r.Lease}
	if old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		if l := s.leases[old.Lease]; l != nil {
			delete(l.holds, string(r.Key))
		}
	}
	if r.Lease != 0 {
		s.leases[r.Lease].holds[string(r.Key)] = true
	}
	s.keys[string(r.Key)] = kv
	s.events = append(s.events, &mvccpb.Event{Type: mvccpb.PUT, Kv: kv, PrevKv: old})
	return nil
}

func (s *Server) remove(r *pb.DeleteRangeRequest, rev int64) (n int64) {
	var gone []string
	for k := range s.keys {
		if within([]byte(k), r.Key, r.RangeEnd) {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	for _, k := range gone {
		old := s.keys[k]
		if l := s.leases[old.Lease]; l != nil {
			delete(l.holds, k)
		}
		delete(s.keys, k)
		s.events = append(s.events, &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(k), ModRevision: rev}, PrevKv: old})
	}
	return int64(len(gone))
}

// commit takes what was written at the next revision, if anything was.
func (s *Server) commit(rev int64) {
	if n := len(s.events); n > 0 && s.events[n-1].Kv.ModRevision == rev && rev > s.head.Revision {
		s.head.Revision = rev
		s.wake()
	}
}

// Put implements the KV service.
func (s *Server) Put(_ context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.head.Revision + 1
	if err := s.put(r, rev); err != nil {
		return nil, err
	}
	s.commit(rev)
	return &pb.PutResponse{Header: s.header()}, nil
}

// DeleteRange implements the KV service.
func (s *Server) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := s.head.Revision + 1
	n := s.remove(r, rev)
	s.commit(rev)
	return &pb.DeleteRangeResponse{Header: s.header(), Deleted: n}, nil
}

func (s *Server) holds(c *pb.Compare) bool {
	kv := s.keys[string(c.Key)]
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	order := 0
	compare := func(a, b int64) int {
		switch {
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	}
	switch c.Target {
	case pb.Compare_CREATE:
		order = compare(kv.CreateRevision, c.GetCreateRevision())
	case pb.Compare_MOD:
		order = compare(kv.ModRevision, c.GetModRevision())
	case pb.Compare_VERSION:
		order = compare(kv.Version, c.GetVersion())
	case pb.Compare_LEASE:
		order = compare(kv.Lease, c.GetLease())
	case pb.Compare_VALUE:
		if len(kv.Key) == 0 {
			return false // no value of a key that is not there compares
		}
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

// Txn implements the KV service: all that it writes is one revision.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &pb.TxnResponse{Succeeded: true}
	for _, c := range r.Compare {
		out.Succeeded = out.Succeeded && s.holds(c)
	}
	ops := r.Success
	if !out.Succeeded {
		ops = r.Failure
	}
	puts := map[string]bool{}
	for _, op := range ops { // what is refused is refused before anything is done
		if p := op.GetRequestPut(); p != nil {
			if puts[string(p.Key)] {
				return nil, rpctypes.ErrGRPCDuplicateKey
			}
			puts[string(p.Key)] = true
			if p.Lease != 0 && s.leases[p.Lease] == nil {
				return nil, rpctypes.ErrGRPCLeaseNotFound
			}
		}
	}
	rev := s.head.Revision + 1
	for _, op := range ops {
		res := &pb.ResponseOp{}
		switch {
		case op.GetRequestRange() != nil:
			got, err := s.rangeOf(op.GetRequestRange())
			if err != nil {
				return nil, err
			}
			res.Response = &pb.ResponseOp_ResponseRange{ResponseRange: got}
		case op.GetRequestPut() != nil:
			s.put(op.GetRequestPut(), rev)
			res.Response = &pb.ResponseOp_ResponsePut{ResponsePut: &pb.PutResponse{Header: s.header()}}
		case op.GetRequestDeleteRange() != nil:
			n := s.remove(op.GetRequestDeleteRange(), rev)
			res.Response = &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: &pb.DeleteRangeResponse{Header: s.header(), Deleted: n}}
		}
		out.Responses = append(out.Responses, res)
	}
	s.commit(rev)
	out.Header = s.header()
	return out, nil
}

// Compact implements the KV service.
func (s *Server) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Revision <= s.compacted:
		return nil, rpctypes.ErrGRPCCompacted
	case r.Revision > s.head.Revision:
		return nil, rpctypes.ErrGRPCFutureRev
	}
	s.compacted = r.Revision
	s.events = slices.DeleteFunc(s.events, func(e *mvccpb.Event) bool { return e.Kv.ModRevision <= r.Revision })
	return &pb.CompactionResponse{Header: s.header()}, nil
}

// ---- Watch ----

// watch is one watch of a stream.
type watch struct {
	id   int64
	r    *pb.WatchCreateRequest
	next int64 // the first revision that it has not been told
}

// stream is one connection's watches. All that it is told goes out in one order by one goroutine, so that progress,
// which says that all up to a revision has been told, says so behind it.
type stream struct {
	raw    pb.Watch_WatchServer
	open   []*watch            // with Server.mu held
	due    []*pb.WatchResponse // answers to requests, with Server.mu held
	asked  bool                // progress is asked for, with Server.mu held
	wakeup chan struct{}       // of one place
}

func (w *stream) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Watch implements the Watch service.
func (s *Server) Watch(raw pb.Watch_WatchServer) error {
	w := &stream{raw: raw, wakeup: make(chan struct{}, 1)}
	sender := make(chan struct{})
	go func() {
		defer close(sender)
		s.follow(w)
	}()
	defer func() { <-sender }()
	for id := int64(0); ; {
		r, err := raw.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		switch {
		case r.GetCreateRequest() != nil:
			k := &watch{id: id, r: r.GetCreateRequest(), next: r.GetCreateRequest().StartRevision}
			id++
			s.watches++
			if k.next == 0 {
				k.next = s.head.Revision + 1
			}
			created := &pb.WatchResponse{Header: s.header(), WatchId: k.id, Created: true}
			if script := s.script.OnWatch; script != nil { // the sender has nothing to send for it yet
				s.mu.Unlock()
				raw.Send(created)
				script(raw, k.next)
				s.mu.Lock()
			} else {
				w.due = append(w.due, created)
			}
			w.open = append(w.open, k)
		case r.GetCancelRequest() != nil:
			gone := r.GetCancelRequest().WatchId
			w.open = slices.DeleteFunc(w.open, func(k *watch) bool { return k.id == gone })
			w.due = append(w.due, &pb.WatchResponse{Header: s.header(), WatchId: gone, Canceled: true})
		case r.GetProgressRequest() != nil:
			w.asked = !s.script.Silent
		}
		s.mu.Unlock()
		w.wake()
	}
}

// follow tells a stream's watches of what happens, one transaction a message.
func (s *Server) follow(w *stream) {
	for {
		s.mu.Lock()
		due := w.due
		w.due = nil
		for _, k := range slices.Clone(w.open) {
			due = append(due, s.news(k)...)
			if k.next <= s.compacted {
				w.open = slices.DeleteFunc(w.open, func(o *watch) bool { return o == k })
			}
		}
		if w.asked {
			w.asked = false
			due = append(due, &pb.WatchResponse{Header: s.header(), WatchId: -1})
		}
		changed := s.changed
		s.mu.Unlock()
		for _, r := range due {
			if w.raw.Send(r) != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-w.wakeup:
		case <-w.raw.Context().Done():
			return
		}
	}
}

// news is what a watch has not been told yet; s.mu is held.
func (s *Server) news(k *watch) (due []*pb.WatchResponse) {
	if k.next <= s.compacted {
		return []*pb.WatchResponse{{Header: s.header(), WatchId: k.id, Canceled: true, CompactRevision: s.compacted + 1,
			CancelReason: rpctypes.ErrCompacted.Error()}}
	}
	at := int64(0)
	for _, e := range s.events {
		if e.Kv.ModRevision < k.next || !within(e.Kv.Key, k.r.Key, k.r.RangeEnd) {
			continue
		}
		if e.Kv.ModRevision != at {
			at = e.Kv.ModRevision
			due = append(due, &pb.WatchResponse{Header: s.header(), WatchId: k.id})
		}
		told := &mvccpb.Event{Type: e.Type, Kv: e.Kv}
		if k.r.PrevKv {
			told.PrevKv = e.PrevKv
		}
		last := due[len(due)-1]
		last.Events = append(last.Events, told)
	}
	k.next = max(k.next, s.head.Revision+1)
	return due
}

// ---- Leases ----

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := r.ID
	if id == 0 {
		id = s.nextLease
	}
	if s.leases[id] != nil {
		return nil, rpctypes.ErrGRPCLeaseExist
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, holds: map[string]bool{}, ends: time.AfterFunc(ttl, func() { s.revoke(id) })}
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}, nil
}

func (s *Server) revoke(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.ends.Stop()
	delete(s.leases, id)
	rev := s.head.Revision + 1
	for k := range l.holds {
		s.remove(&pb.DeleteRangeRequest{Key: []byte(k)}, rev)
	}
	s.commit(rev)
	return true
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if !s.revoke(r.ID) {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	return &pb.LeaseRevokeResponse{Header: &pb.ResponseHeader{}}, nil
}

// LeaseKeepAlive implements the Lease service.
func (s *Server) LeaseKeepAlive(w pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := w.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		out := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID}
		if l := s.leases[r.ID]; l != nil && l.ends.Stop() {
			l.ends.Reset(l.ttl)
			out.TTL = int64(l.ttl / time.Second)
		}
		s.mu.Unlock()
		if err := w.Send(out); err != nil {
			return err
		}
	}
}
