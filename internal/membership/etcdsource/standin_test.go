package etcdsource

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"eiderspread/internal/membership/merge"
	"eiderspread/internal/testbed/etcdstandin"
)

const testTimeout = 20 * time.Second

func pbKV(rev int64, key, value string) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{Key: []byte("/p/" + key), Value: []byte(value), ModRevision: rev, CreateRevision: rev, Version: 1}
}

func storedKey(rev int64, key, value string) etcdstandin.KV {
	return etcdstandin.KV{Key: "/p/" + key, Value: value, Revision: rev}
}

// recorder is a Sink that passes the reports of a source to its test, until the test ends.
type recorder struct {
	ctx                                   context.Context
	full, updates, interruptions, invalid chan string
	resumed                               chan struct{}
}

func (r *recorder) record(reports chan<- string, text string) {
	select {
	case reports <- text:
	case <-r.ctx.Done():
	}
}

func (r *recorder) ReplaceAll(nodes []merge.Node, _ string) { r.record(r.full, describe(nodes)) }
func (r *recorder) Update(nodes []merge.Node)               { r.record(r.updates, describe(nodes)) }
func (r *recorder) Interrupted(err error)                   { r.record(r.interruptions, err.Error()) }
func (r *recorder) InvalidValue(key, _ string)              { r.record(r.invalid, key) }
func (r *recorder) Resumed() {
	select {
	case r.resumed <- struct{}{}:
	default:
	}
}

// send sends a response on a watch.
func send(t *testing.T, w etcdserverpb.Watch_WatchServer, r *etcdserverpb.WatchResponse) {
	t.Helper()
	if err := w.Send(r); err != nil {
		t.Error(err)
	}
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("nothing received within %v", testTimeout)
		panic("unreachable")
	}
}

// startStandIn starts a stand-in cluster with the given revision, term and keys.
func startStandIn(t *testing.T, h etcdstandin.Head, kvs ...etcdstandin.KV) *etcdstandin.Cluster {
	t.Helper()
	s, err := etcdstandin.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	s.Restore(h, kvs...)
	return s
}

func urls(addrs []string) (list []string) {
	for _, a := range addrs {
		list = append(list, "http://"+a)
	}
	return list
}

func startSource(t *testing.T, s *etcdstandin.Cluster) (*Source, *recorder) {
	t.Helper()
	return startSourceAt(t, s.Addrs())
}

func startSourceAt(t *testing.T, addrs []string) (*Source, *recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{ctx: ctx, full: make(chan string, 100), updates: make(chan string, 100), interruptions: make(chan string, 100),
		invalid: make(chan string, 100), resumed: make(chan struct{}, 1)}
	src := NewSource(Config{Endpoints: urls(addrs), Prefix: "/p/", ProgressInterval: 50 * time.Millisecond, ReadTimeout: 5 * time.Second,
		MaxRetryDelay: 40 * time.Millisecond}, r)
	done := make(chan struct{})
	go func() { defer close(done); src.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return src, r
}

const nodeJSON = `{"addr":"127.0.0.1:1","weight":1}`

// Guards against a watch that is open but silent: the source must close it in bounded time, and watch again from the same revision without
// a full read.
func TestSource_SilentStall(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, storedKey(5, "nodes/a", nodeJSON))
	watches := make(chan int64, 100)
	from := func(_ etcdserverpb.Watch_WatchServer, from int64) {
		select {
		case watches <- from:
		default:
		}
	}
	s.SetScript(etcdstandin.Script{OnWatch: from})
	_, r := startSource(t, s)
	receive(t, r.full)
	receive(t, r.resumed)
	s.SetScript(etcdstandin.Script{OnWatch: from, Silent: true})
	receive(t, r.interruptions)
	s.SetScript(etcdstandin.Script{OnWatch: from})
	for from := range watches {
		if from != 11 {
			t.Fatalf("watch starts at revision %d, want 11", from)
		}
		if len(watches) == 0 {
			break
		}
	}
	receive(t, r.resumed)
	receive(t, r.resumed)
	if s.Reads() != 1 {
		t.Errorf("got %d full reads, want 1", s.Reads())
	}
}

// Guards against changes that are missed because their revisions are compacted between the full read and the watch: the source must read all
// keys again and remove the nodes that are gone.
func TestSource_CompactedBetweenReadAndWatch(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, storedKey(5, "nodes/a", nodeJSON), storedKey(6, "nodes/b", nodeJSON))
	once := sync.OnceFunc(func() {
		s.Set("/p/drain/a", "{}")
		s.Delete("/p/nodes/b")
		s.CompactAll()
	})
	s.SetScript(etcdstandin.Script{OnWatch: func(etcdserverpb.Watch_WatchServer, int64) { once() }})
	src, r := startSource(t, s)
	if got := receive(t, r.full); got != "a 127.0.0.1:1 up, b 127.0.0.1:1 up" {
		t.Errorf("first full read is %q, want nodes a and b up", got)
	}
	if got := receive(t, r.full); got != "a 127.0.0.1:1 draining" {
		t.Errorf("second full read is %q, want only node a, draining", got)
	}
	if st := src.Status(); st.Compacted != 1 || st.FullReads != 2 {
		t.Errorf("got status %+v, want 1 compacted watch and 2 full reads", st)
	}
}

// Guards against a view that goes back because a member answers with an older state.
func TestSource_LyingStaleMember(t *testing.T) {
	a, mark := storedKey(50, "nodes/a", nodeJSON), storedKey(60, "drain/a", "{}")
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 100, Term: 5}, a, mark)
	left := confirmReads - 1 // this many reads return the older state, then an up-to-date member answers
	lie := func() {
		if left--; left == 0 {
			s.Restore(etcdstandin.Head{Cluster: 1, Revision: 101, Term: 5}, a, mark)
		}
	}
	s.SetScript(etcdstandin.Script{OnWatch: func(w etcdserverpb.Watch_WatchServer, _ int64) { // the watch ends, and the next member has an older state
		s.Restore(etcdstandin.Head{Cluster: 1, Revision: 55, Term: 4}, a)
		s.SetScript(etcdstandin.Script{AfterRead: lie})
		send(t, w, &etcdserverpb.WatchResponse{Header: &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 55, RaftTerm: 4}, Canceled: true,
			CancelReason: "gone"})
	}})
	src, r := startSource(t, s)
	receive(t, r.full)
	receive(t, r.interruptions)
	receive(t, r.resumed)
	for len(r.full) > 0 {
		if got := <-r.full; got != "a 127.0.0.1:1 draining" {
			t.Errorf("the view went back to %q, want node a draining", got)
		}
	}
	if st := src.Status(); st.Revision < 100 || st.Rejected == 0 {
		t.Errorf("got status %+v, want revision 100 or later and at least one rejected read", st)
	}
}

// Guards against a cluster that is never accepted after it was reset to an older state during a watch, and against events that are applied
// twice because they were sent twice.
func TestSource_ResetAndDuplicateRevisions(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, storedKey(5, "nodes/a", nodeJSON))
	s.SetScript(etcdstandin.Script{OnWatch: func(w etcdserverpb.Watch_WatchServer, _ int64) {
		s.SetScript(etcdstandin.Script{})
		put := &mvccpb.Event{Kv: pbKV(11, "drain/a", "{}")}
		head := &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 11, RaftTerm: 1}
		send(t, w, &etcdserverpb.WatchResponse{Header: head, Events: []*mvccpb.Event{put}})
		send(t, w, &etcdserverpb.WatchResponse{Header: head, Events: []*mvccpb.Event{put}})
		s.Restore(etcdstandin.Head{Cluster: 1, Revision: 3, Term: 1}, storedKey(2, "nodes/b", nodeJSON))
		send(t, w, &etcdserverpb.WatchResponse{Header: &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 3, RaftTerm: 1}, WatchId: -1})
	}})
	src, r := startSource(t, s)
	receive(t, r.full)
	if got := receive(t, r.updates); got != "a 127.0.0.1:1 draining" {
		t.Errorf("update is %q, want node a draining", got)
	}
	if got := receive(t, r.full); got != "b 127.0.0.1:1 up" {
		t.Errorf("full read after the reset is %q, want only node b, up", got)
	}
	if st := src.Status(); st.Replaced != 1 || st.Rejected != confirmReads-1 || st.DuplicateEvents > 1 || len(r.updates) != 0 {
		t.Errorf("got status %+v and %d further updates, want 1 replaced and %d rejected reads, at most 1 duplicate event, no further update", st,
			len(r.updates), confirmReads-1)
	}
}
