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

func at(rev int64, key, value string) etcdstandin.KV {
	return etcdstandin.KV{Key: "/p/" + key, Value: value, Revision: rev}
}

// recorder takes what a source reports, until its test has ended.
type recorder struct {
	ctx                        context.Context
	whole, change, broken, bad chan string
	alive                      chan struct{}
}

func (r *recorder) put(reports chan<- string, text string) {
	select {
	case reports <- text:
	case <-r.ctx.Done():
	}
}

func (r *recorder) ReplaceAll(nodes []merge.Node, _ string) { r.put(r.whole, describe(nodes)) }
func (r *recorder) Update(nodes []merge.Node)               { r.put(r.change, describe(nodes)) }
func (r *recorder) Interrupted(err error)                   { r.put(r.broken, err.Error()) }
func (r *recorder) InvalidValue(key, _ string)              { r.put(r.bad, key) }
func (r *recorder) Resumed() {
	select {
	case r.alive <- struct{}{}:
	default:
	}
}

// send writes an answer into a watch.
func send(t *testing.T, w etcdserverpb.Watch_WatchServer, r *etcdserverpb.WatchResponse) {
	t.Helper()
	if err := w.Send(r); err != nil {
		t.Error(err)
	}
}

func get[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// startStandIn starts a cluster in a state.
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

func follow(t *testing.T, s *etcdstandin.Cluster) (*Source, *recorder) {
	t.Helper()
	return followOf(t, s.Addrs())
}

func followOf(t *testing.T, addrs []string) (*Source, *recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{ctx: ctx, whole: make(chan string, 100), change: make(chan string, 100), broken: make(chan string, 100), bad: make(chan string, 100),
		alive: make(chan struct{}, 1)}
	src := NewSource(Config{Endpoints: urls(addrs), Prefix: "/p/", ProgressInterval: 50 * time.Millisecond, ReadTimeout: 5 * time.Second,
		MaxRetryDelay: 40 * time.Millisecond}, r)
	done := make(chan struct{})
	go func() { defer close(done); src.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return src, r
}

const a1 = `{"addr":"127.0.0.1:1","weight":1}`

// Guards against a watch that is open and silent: it ends within a stated time and goes on where it was, without a new
// read.
func TestSource_SilentStall(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, at(5, "nodes/a", a1))
	watches := make(chan int64, 100)
	from := func(_ etcdserverpb.Watch_WatchServer, from int64) {
		select {
		case watches <- from:
		default:
		}
	}
	s.SetScript(etcdstandin.Script{OnWatch: from})
	_, r := follow(t, s)
	get(t, r.whole)
	get(t, r.alive)
	s.SetScript(etcdstandin.Script{OnWatch: from, Silent: true})
	get(t, r.broken)
	s.SetScript(etcdstandin.Script{OnWatch: from})
	for from := range watches {
		if from != 11 {
			t.Fatalf("watched from %d", from)
		}
		if len(watches) == 0 {
			break
		}
	}
	get(t, r.alive)
	get(t, r.alive)
	if s.Reads() != 1 {
		t.Errorf("%d reads of the whole", s.Reads())
	}
}

// Guards against a gap: what was compacted away between read and watch is read whole again, and what vanished goes.
func TestSource_CompactedBetweenReadAndWatch(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, at(5, "nodes/a", a1), at(6, "nodes/b", a1))
	once := sync.OnceFunc(func() {
		s.Set("/p/drain/a", "{}")
		s.Delete("/p/nodes/b")
		s.CompactAll()
	})
	s.SetScript(etcdstandin.Script{OnWatch: func(etcdserverpb.Watch_WatchServer, int64) { once() }})
	src, r := follow(t, s)
	if got := get(t, r.whole); got != "a 127.0.0.1:1 up, b 127.0.0.1:1 up" {
		t.Errorf("first %q", got)
	}
	if got := get(t, r.whole); got != "a 127.0.0.1:1 draining" {
		t.Errorf("then %q", got)
	}
	if st := src.Status(); st.Compacted != 1 || st.FullReads != 2 {
		t.Errorf("status %+v", st)
	}
}

// Guards the view against a member that answers from an older state: it is not taken back by it.
func TestSource_LyingStaleMember(t *testing.T) {
	a, mark := at(50, "nodes/a", a1), at(60, "drain/a", "{}")
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 100, Term: 5}, a, mark)
	left := confirmReads - 1 // so often it lies, then a member that is up to date answers
	lie := func() {
		if left--; left == 0 {
			s.Restore(etcdstandin.Head{Cluster: 1, Revision: 101, Term: 5}, a, mark)
		}
	}
	s.SetScript(etcdstandin.Script{OnWatch: func(w etcdserverpb.Watch_WatchServer, _ int64) { // the connection breaks, and the next member is behind
		s.Restore(etcdstandin.Head{Cluster: 1, Revision: 55, Term: 4}, a)
		s.SetScript(etcdstandin.Script{AfterRead: lie})
		send(t, w, &etcdserverpb.WatchResponse{Header: &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 55, RaftTerm: 4}, Canceled: true,
			CancelReason: "gone"})
	}})
	src, r := follow(t, s)
	get(t, r.whole)
	get(t, r.broken)
	get(t, r.alive)
	for len(r.whole) > 0 {
		if got := <-r.whole; got != "a 127.0.0.1:1 draining" {
			t.Errorf("the view went back to %q", got)
		}
	}
	if st := src.Status(); st.Revision < 100 || st.Rejected == 0 {
		t.Errorf("status %+v", st)
	}
}

// Guards against a cluster that was put back in the middle of a stream, and against events that come twice.
func TestSource_ResetAndDuplicateRevisions(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1}, at(5, "nodes/a", a1))
	s.SetScript(etcdstandin.Script{OnWatch: func(w etcdserverpb.Watch_WatchServer, _ int64) {
		s.SetScript(etcdstandin.Script{})
		put := &mvccpb.Event{Kv: pbKV(11, "drain/a", "{}")}
		head := &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 11, RaftTerm: 1}
		send(t, w, &etcdserverpb.WatchResponse{Header: head, Events: []*mvccpb.Event{put}})
		send(t, w, &etcdserverpb.WatchResponse{Header: head, Events: []*mvccpb.Event{put}})
		s.Restore(etcdstandin.Head{Cluster: 1, Revision: 3, Term: 1}, at(2, "nodes/b", a1))
		send(t, w, &etcdserverpb.WatchResponse{Header: &etcdserverpb.ResponseHeader{ClusterId: 1, Revision: 3, RaftTerm: 1}, WatchId: -1})
	}})
	src, r := follow(t, s)
	get(t, r.whole)
	if got := get(t, r.change); got != "a 127.0.0.1:1 draining" {
		t.Errorf("changed: %q", got)
	}
	if got := get(t, r.whole); got != "b 127.0.0.1:1 up" {
		t.Errorf("after the reset: %q", got)
	}
	if st := src.Status(); st.Replaced != 1 || st.Rejected != confirmReads-1 || st.DuplicateEvents > 1 || len(r.change) != 0 {
		t.Errorf("status %+v, %d changes more", st, len(r.change))
	}
}
