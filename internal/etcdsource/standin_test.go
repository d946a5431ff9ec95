package etcdsource

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"

	"cometpond/internal/member"
)

const patience = 20 * time.Second

// standIn is an etcd that does on command what a real one can't be made to do: it stalls without a word, lies about its
// state, sends events twice, and loses revisions between a read and a watch.
type standIn struct {
	etcdserverpb.UnimplementedKVServer
	etcdserverpb.UnimplementedWatchServer

	mu        sync.Mutex
	head      Header
	kvs       []*mvccpb.KeyValue
	onWatch   func(w etcdserverpb.Watch_WatchServer, from int64) // what a new watch brings after its creation
	silent    bool                                               // no progress is told
	afterRead func()                                             // with mu held, after each read of the whole
	reads     int
	watches   chan int64 // from which revision
}

func (s *standIn) header() *etcdserverpb.ResponseHeader {
	return &etcdserverpb.ResponseHeader{ClusterId: s.head.Cluster, Revision: s.head.Revision, RaftTerm: s.head.Term}
}

func (s *standIn) Range(_ context.Context, r *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &etcdserverpb.RangeResponse{Header: s.header(), Count: int64(len(s.kvs))}
	if !r.CountOnly {
		s.reads++
		out.Kvs = s.kvs
		if s.afterRead != nil {
			s.afterRead()
		}
	}
	return out, nil
}

func (s *standIn) Watch(w etcdserverpb.Watch_WatchServer) error {
	for {
		r, err := w.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		head, silent, onWatch := s.header(), s.silent, s.onWatch
		s.mu.Unlock()
		switch {
		case r.GetCreateRequest() != nil:
			from := r.GetCreateRequest().StartRevision
			w.Send(&etcdserverpb.WatchResponse{Header: head, Created: true})
			if onWatch != nil {
				onWatch(w, from)
			}
			select {
			case s.watches <- from:
			default:
			}
		case r.GetProgressRequest() != nil && !silent:
			w.Send(&etcdserverpb.WatchResponse{Header: head, WatchId: -1})
		}
	}
}

func (s *standIn) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func pbKV(rev int64, key, value string) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{Key: []byte("/p/" + key), Value: []byte(value), ModRevision: rev, CreateRevision: rev, Version: 1}
}

// recorder takes what a source says.
type recorder struct {
	whole, change, broken, bad chan string
	alive                      chan struct{}
}

func (r *recorder) Whole(nodes []member.Node, why string) { r.whole <- says(nodes) }
func (r *recorder) Change(nodes []member.Node)            { r.change <- says(nodes) }
func (r *recorder) Broken(why error)                      { r.broken <- why.Error() }
func (r *recorder) Bad(key, why string)                   { r.bad <- key }
func (r *recorder) Alive() {
	select {
	case r.alive <- struct{}{}:
	default:
	}
}

func get[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func follow(t *testing.T, s *standIn) (*Source, *recorder) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	etcdserverpb.RegisterKVServer(srv, s)
	etcdserverpb.RegisterWatchServer(srv, s)
	go srv.Serve(l)
	t.Cleanup(srv.Stop)
	r := &recorder{whole: make(chan string, 100), change: make(chan string, 100), broken: make(chan string, 100), bad: make(chan string, 100),
		alive: make(chan struct{}, 1)}
	s.watches = make(chan int64, 100)
	src := New(Config{Endpoints: []string{"http://" + l.Addr().String()}, Prefix: "/p/", Progress: 50 * time.Millisecond, Timeout: 5 * time.Second,
		RetryMost: 40 * time.Millisecond}, r)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); src.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return src, r
}

const a1 = `{"addr":"127.0.0.1:1","weight":1}`

// Guards against a watch that is open and silent: it ends within a stated time and goes on where it was, without a new
// read.
func TestSilentStall(t *testing.T) {
	s := &standIn{head: Header{1, 10, 1}, kvs: []*mvccpb.KeyValue{pbKV(5, "nodes/a", a1)}}
	_, r := follow(t, s)
	get(t, r.whole)
	get(t, r.alive)
	s.set(func() { s.silent = true })
	get(t, r.broken)
	s.set(func() { s.silent = false })
	for from := range s.watches {
		if from != 11 {
			t.Fatalf("watched from %d", from)
		}
		if len(s.watches) == 0 {
			break
		}
	}
	get(t, r.alive)
	get(t, r.alive)
	s.set(func() {
		if s.reads != 1 {
			t.Errorf("%d reads of the whole", s.reads)
		}
	})
}

// Guards against a gap: what was compacted away between read and watch is read whole again, and what vanished goes.
func TestCompactedBetweenReadAndWatch(t *testing.T) {
	s := &standIn{head: Header{1, 10, 1}, kvs: []*mvccpb.KeyValue{pbKV(5, "nodes/a", a1), pbKV(6, "nodes/b", a1)}}
	s.onWatch = func(w etcdserverpb.Watch_WatchServer, from int64) {
		if from > 20 {
			return
		}
		s.set(func() {
			s.head.Revision = 30
			s.kvs = []*mvccpb.KeyValue{pbKV(5, "nodes/a", a1), pbKV(25, "drain/a", "{}")}
		})
		w.Send(&etcdserverpb.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: 21})
	}
	src, r := follow(t, s)
	if got := get(t, r.whole); got != "a 127.0.0.1:1 up, b 127.0.0.1:1 up" {
		t.Errorf("first %q", got)
	}
	if got := get(t, r.whole); got != "a 127.0.0.1:1 draining" {
		t.Errorf("then %q", got)
	}
	if st := src.Status(); st.Compacted != 1 || st.Reads != 2 {
		t.Errorf("status %+v", st)
	}
}

// Guards the view against a member that answers from an older state: it is not taken back by it.
func TestLyingOldMember(t *testing.T) {
	s := &standIn{head: Header{1, 100, 5}, kvs: []*mvccpb.KeyValue{pbKV(50, "nodes/a", a1), pbKV(60, "drain/a", "{}")}}
	first := true
	s.onWatch = func(w etcdserverpb.Watch_WatchServer, from int64) {
		if !first {
			return
		}
		first = false // the connection breaks, and the next member is behind
		s.set(func() {
			s.head, s.kvs = Header{1, 55, 4}, []*mvccpb.KeyValue{pbKV(50, "nodes/a", a1)}
			left := confirmMost - 1 // so often it lies, then a member that is up to date answers
			s.afterRead = func() {
				if left--; left == 0 {
					s.head, s.kvs = Header{1, 101, 5}, []*mvccpb.KeyValue{pbKV(50, "nodes/a", a1), pbKV(60, "drain/a", "{}")}
				}
			}
		})
		w.Send(&etcdserverpb.WatchResponse{Header: s.header(), Canceled: true, CancelReason: "gone"})
	}
	src, r := follow(t, s)
	get(t, r.whole)
	get(t, r.broken)
	get(t, r.alive)
	for len(r.whole) > 0 {
		if got := <-r.whole; got != "a 127.0.0.1:1 draining" {
			t.Errorf("the view went back to %q", got)
		}
	}
	if st := src.Status(); st.Revision < 100 || st.Refused == 0 {
		t.Errorf("status %+v", st)
	}
}

// Guards against a cluster that was put back in the middle of a stream, and against events that come twice.
func TestRevisionsResetAndRepeats(t *testing.T) {
	s := &standIn{head: Header{1, 10, 1}, kvs: []*mvccpb.KeyValue{pbKV(5, "nodes/a", a1)}}
	first := true
	s.onWatch = func(w etcdserverpb.Watch_WatchServer, from int64) {
		if !first {
			return
		}
		first = false
		put := &mvccpb.Event{Kv: pbKV(11, "drain/a", "{}")}
		s.set(func() { s.head.Revision = 11 })
		w.Send(&etcdserverpb.WatchResponse{Header: s.header(), Events: []*mvccpb.Event{put}})
		w.Send(&etcdserverpb.WatchResponse{Header: s.header(), Events: []*mvccpb.Event{put}})
		s.set(func() { s.head, s.kvs = Header{1, 3, 1}, []*mvccpb.KeyValue{pbKV(2, "nodes/b", a1)} })
		w.Send(&etcdserverpb.WatchResponse{Header: s.header(), WatchId: -1})
	}
	src, r := follow(t, s)
	get(t, r.whole)
	if got := get(t, r.change); got != "a 127.0.0.1:1 draining" {
		t.Errorf("changed: %q", got)
	}
	if got := get(t, r.whole); got != "b 127.0.0.1:1 up" {
		t.Errorf("after the reset: %q", got)
	}
	if st := src.Status(); st.Replaced != 1 || st.Refused != confirmMost-1 || st.Repeats > 1 || len(r.change) != 0 {
		t.Errorf("status %+v, %d changes more", st, len(r.change))
	}
}
