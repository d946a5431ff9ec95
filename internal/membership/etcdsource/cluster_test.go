package etcdsource

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"eiderspread/internal/testbed/etcdstandin"
)

// Guards a message in parts against a leader that changes in its middle, when the stream breaks too: the source sees the whole
// transaction once, and nothing of it twice or by halves.
func TestSource_LeaderChangesWithinFragments(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, FragmentBytes: 300, Election: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", a1)
	var parts, breaks atomic.Int32
	s.SetScript(etcdstandin.Script{OnSend: func(r *etcdserverpb.WatchResponse) error {
		if r.Fragment && parts.Add(1) == 3 {
			breaks.Add(1)
			s.ChangeLeader()
			return status.Error(codes.Unavailable, "the connection broke")
		}
		return nil
	}})
	src, r := followOf(t, s.Addrs())
	get(t, r.whole)
	get(t, r.alive)
	all := map[string]string{}
	for i := range 40 {
		all[fmt.Sprintf("/p/nodes/n%02d", i)] = a1
	}
	s.Do(all)
	if got := get(t, r.change); strings.Count(got, "up") != 40 {
		t.Errorf("%q", got)
	}
	for src.Status().Revision < s.Head().Revision {
		time.Sleep(time.Millisecond)
	}
	if len(r.change) != 0 || breaks.Load() != 1 || src.Status().DuplicateEvents != 0 {
		t.Errorf("%d changes more, %d breaks, %+v", len(r.change), breaks.Load(), src.Status())
	}
}

// Guards against a member in a minority: it goes on saying that all is well, and answers serializable reads. The source ends
// its watch there for want of a leader, says so, and is up to date again by the others.
func TestSource_MemberInMinority(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, Election: 50 * time.Millisecond, RequestTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", a1)
	src, r := followOf(t, s.Addrs()[:1]) // it knows this one alone
	get(t, r.whole)
	get(t, r.alive)
	s.Cut(0, true)
	s.Set("/p/drain/a", "{}")
	if got := get(t, r.broken); !strings.Contains(got, "no leader") {
		t.Errorf("ended by %q", got)
	}
	for len(r.alive) > 0 {
		<-r.alive
	}
	get(t, r.broken) // and again: the member answers nothing that needs agreement
	select {
	case <-r.alive:
		t.Error("the source says that it is up to date")
	default:
	}
	if len(r.change) != 0 || len(r.whole) != 0 {
		t.Error("something was told")
	}
	src.Reconfigure(Config{Endpoints: urls(s.Addrs()[1:])})
	if got := get(t, r.change); got != "a 127.0.0.1:1 draining" {
		t.Errorf("by the others: %q", got)
	}
	get(t, r.alive)
}

// Guards a thousand nodes that are flipped in one transaction, after a compaction and with the watch down as well.
func TestSource_ThousandChangesAtOnce(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1})
	nodes, marks, none := map[string]string{}, map[string]string{}, map[string]string{}
	for i := range 1000 {
		nodes[fmt.Sprintf("/p/nodes/n%d", i)] = a1
		marks[fmt.Sprintf("/p/drain/n%d", i)] = "{}"
		none[fmt.Sprintf("/p/drain/n%d", i)] = ""
	}
	s.Do(nodes)
	_, r := follow(t, s)
	if got := get(t, r.whole); strings.Count(got, " up") != 1000 {
		t.Errorf("%d up", strings.Count(got, " up"))
	}
	s.Do(marks)
	if got := get(t, r.change); strings.Count(got, "draining") != 1000 {
		t.Errorf("%d drain", strings.Count(got, "draining"))
	}
	s.Stop()
	s.Do(none)
	s.Do(marks)
	s.Do(none)
	s.CompactAll()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	for {
		select {
		case got := <-r.whole:
			if strings.Count(got, " up") != 1000 {
				t.Errorf("%d up after the compaction", strings.Count(got, " up"))
			}
			return
		case got := <-r.change: // the compaction left what this answer needed
			if strings.Count(got, " up") == 1000 {
				return
			}
		case <-time.After(testTimeout):
			t.Fatal("nothing came")
		}
	}
}

// Guards against a member that lags: it goes on telling progress, as far as it is. The cluster's own word shows that it is behind,
// and the source goes to another.
func TestSource_LaggingMember(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, Election: 20 * time.Millisecond, RequestTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", a1)
	src, r := followOf(t, s.Addrs())
	get(t, r.whole)
	get(t, r.alive)
	get(t, r.alive)
	for i := range 2 { // whichever two lag, the third has it
		s.Lag((int(src.Status().Member)-1+i)%3, true)
	}
	s.Set("/p/drain/a", "{}")
	if got := get(t, r.change); got != "a 127.0.0.1:1 draining" {
		t.Errorf("by the third: %q", got)
	}
	if len(r.broken) == 0 {
		t.Error("the watch at the member that lags was not ended: the run shows nothing")
	}
}
