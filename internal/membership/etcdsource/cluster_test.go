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

// Guards against a transaction that is applied twice or in part: its fragmented watch response is cut when the leader changes and the
// stream breaks.
func TestSource_LeaderChangesWithinFragments(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, FragmentBytes: 300, Election: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", nodeJSON)
	var fragments, brokenStreams atomic.Int32
	s.SetScript(etcdstandin.Script{OnSend: func(r *etcdserverpb.WatchResponse) error {
		if r.Fragment && fragments.Add(1) == 3 {
			brokenStreams.Add(1)
			s.ChangeLeader()
			return status.Error(codes.Unavailable, "the connection broke")
		}
		return nil
	}})
	src, r := startSourceAt(t, s.Addrs())
	receive(t, r.full)
	receive(t, r.resumed)
	all := map[string]string{}
	for i := range 40 {
		all[fmt.Sprintf("/p/nodes/n%02d", i)] = nodeJSON
	}
	s.Do(all)
	if got := receive(t, r.updates); strings.Count(got, "up") != 40 {
		t.Errorf("got %d nodes up in %q, want 40", strings.Count(got, "up"), got)
	}
	for src.Status().Revision < s.Head().Revision {
		time.Sleep(time.Millisecond)
	}
	if len(r.updates) != 0 || brokenStreams.Load() != 1 || src.Status().DuplicateEvents != 0 {
		t.Errorf("got %d further updates and %d broken streams, want 0 and 1; want no duplicate events in status %+v",
			len(r.updates), brokenStreams.Load(), src.Status())
	}
}

// Guards against a source that trusts a member in a minority: that member still reports that it is healthy and answers serializable reads.
// The source must close its watch because there is no leader, report that, and catch up from the other members.
func TestSource_MemberInMinority(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, Election: 50 * time.Millisecond, RequestTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", nodeJSON)
	src, r := startSourceAt(t, s.Addrs()[:1]) // the source knows only this member
	receive(t, r.full)
	receive(t, r.resumed)
	s.Isolate(0, true)
	s.Set("/p/drain/a", "{}")
	if got := receive(t, r.interruptions); !strings.Contains(got, "no leader") {
		t.Errorf("the watch ended with %q, want a \"no leader\" error", got)
	}
	for len(r.resumed) > 0 {
		<-r.resumed
	}
	receive(t, r.interruptions) // the next session fails too: the member answers no request that needs a quorum
	select {
	case <-r.resumed:
		t.Error("the source reported that it is up to date, want it to stay interrupted")
	default:
	}
	if len(r.updates) != 0 || len(r.full) != 0 {
		t.Errorf("got %d updates and %d full reads from the member in a minority, want none", len(r.updates), len(r.full))
	}
	src.Reconfigure(Config{Endpoints: urls(s.Addrs()[1:])})
	if got := receive(t, r.updates); got != "a 127.0.0.1:1 draining" {
		t.Errorf("update from the other members is %q, want node a draining", got)
	}
	receive(t, r.resumed)
}

// Guards against nodes that are missed when one transaction changes a thousand of them, also after a compaction while the watch is down.
func TestSource_ThousandChangesAtOnce(t *testing.T) {
	s := startStandIn(t, etcdstandin.Head{Cluster: 1, Revision: 10, Term: 1})
	nodes, drainMarks, deletions := map[string]string{}, map[string]string{}, map[string]string{}
	for i := range 1000 {
		nodes[fmt.Sprintf("/p/nodes/n%d", i)] = nodeJSON
		drainMarks[fmt.Sprintf("/p/drain/n%d", i)] = "{}"
		deletions[fmt.Sprintf("/p/drain/n%d", i)] = ""
	}
	s.Do(nodes)
	_, r := startSource(t, s)
	if got := receive(t, r.full); strings.Count(got, " up") != 1000 {
		t.Errorf("got %d nodes up at first, want 1000", strings.Count(got, " up"))
	}
	s.Do(drainMarks)
	if got := receive(t, r.updates); strings.Count(got, "draining") != 1000 {
		t.Errorf("got %d nodes draining, want 1000", strings.Count(got, "draining"))
	}
	s.Stop()
	s.Do(deletions)
	s.Do(drainMarks)
	s.Do(deletions)
	s.CompactAll()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	for {
		select {
		case got := <-r.full:
			if strings.Count(got, " up") != 1000 {
				t.Errorf("got %d nodes up after the compaction, want 1000", strings.Count(got, " up"))
			}
			return
		case got := <-r.updates: // the compaction kept the revisions that this update needs
			if strings.Count(got, " up") == 1000 {
				return
			}
		case <-time.After(testTimeout):
			t.Fatalf("no update with 1000 nodes up within %v", testTimeout)
		}
	}
}

// Guards against a source that stays with a lagging member, which still reports progress up to its own revision. A quorum read shows
// that the member is behind, and the source must switch to another one.
func TestSource_LaggingMember(t *testing.T) {
	s, err := etcdstandin.Open(etcdstandin.Config{Members: 3, Election: 20 * time.Millisecond, RequestTimeout: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("/p/nodes/a", nodeJSON)
	src, r := startSourceAt(t, s.Addrs())
	receive(t, r.full)
	receive(t, r.resumed)
	receive(t, r.resumed)
	for i := range 2 { // two members lag, among them the one with the watch; the third is up to date
		s.Lag((int(src.Status().Member)-1+i)%3, true)
	}
	s.Set("/p/drain/a", "{}")
	if got := receive(t, r.updates); got != "a 127.0.0.1:1 draining" {
		t.Errorf("update from the third member is %q, want node a draining", got)
	}
	if len(r.interruptions) == 0 {
		t.Error("no watch was interrupted, so the watch was not at a lagging member and the test proves nothing")
	}
}
