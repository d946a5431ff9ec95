package etcdsource

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/membership/merge"
)

func header(cluster uint64, rev int64, term uint64) Header {
	return Header{Cluster: cluster, Revision: rev, Term: term}
}

func kv(rev int64, key, v string) keyValue {
	return keyValue{Key: key, Value: []byte(v), Revision: rev}
}

func put(rev int64, id string, port int) keyValue {
	return kv(rev, "nodes/"+id, fmt.Sprintf(`{"addr":"127.0.0.1:%d","weight":1}`, port))
}

func deleted(rev int64, key string) keyValue { return keyValue{Key: key, Revision: rev, Deleted: true} }

func describe(list []merge.Node) string {
	var s []string
	for _, n := range list {
		s = append(s, fmt.Sprintf("%s %s %s", n.ID, n.Addr, n.State))
	}
	return strings.Join(s, ", ")
}

// Guards the reading of values: one bad one takes no node away, and is named.
func TestFollower_InvalidValueKeepsLastGood(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1), kv(6, "nodes/b", "{"), kv(7, "nodes/c d", "{}"), kv(8, "other/x", "y")})
	if got := describe(f.allNodes()); got != "a 127.0.0.1:1 up" || len(f.invalid) != 2 {
		t.Fatalf("%q, bad %v", got, f.invalid)
	}
	for i, bad := range []string{"", "7", `{"addr":"nowhere"}`, `{"addr":"127.0.0.1:1","state":"up"}`, `{"addr":"127.0.0.1:1"} {}`,
		`{"addr":"127.0.0.1:1","weight":-1}`, `{"addr":"127.0.0.1:1","weight":1e9}`, `{"addr":"127.0.0.1:1","started_ms":-5}`, `{"addr":"127.0.0.1:1","cell":"x"}`} {
		b, err := f.applyEvents(header(1, 11+int64(i), 1), []keyValue{kv(11+int64(i), "nodes/a", bad)})
		if err != nil || describe(b) != "a 127.0.0.1:1 up" || f.invalid["nodes/a"] == "" {
			t.Errorf("%q: %v, %v, bad %v", bad, b, err, f.invalid)
		}
	}
	f.applyFull(header(1, 50, 1), []keyValue{kv(20, "nodes/a", "{")}) // a read of the whole does not forget it either
	if got := describe(f.allNodes()); got != "a 127.0.0.1:1 up" {
		t.Errorf("after a read: %q", got)
	}
	if _, err := f.applyEvents(header(1, 51, 1), []keyValue{put(51, "a", 2)}); err != nil || len(f.invalid) != 0 || describe(f.allNodes()) != "a 127.0.0.1:2 up" {
		t.Errorf("after a good value: bad %v, %q", f.invalid, describe(f.allNodes()))
	}
}

// Guards the order of events: none twice, what one answer brings is told as it stands behind it, and marks on nodes that etcd
// does not list.
func TestFollower_Events(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1), put(6, "b", 2)})
	for i, tc := range []struct {
		at   int64
		kvs  []keyValue
		want string
	}{
		{11, []keyValue{put(9, "a", 9), kv(11, "drain/a", "{}"), deleted(11, "nodes/b")}, "a 127.0.0.1:1 draining, b  gone"},
		{12, []keyValue{kv(12, "drain/z", "{}")}, "z  draining"},
		{13, []keyValue{deleted(13, "drain/z"), deleted(13, "drain/a")}, "z  up, a 127.0.0.1:1 up"},
		{13, []keyValue{deleted(13, "drain/a")}, ""},
		{14, []keyValue{kv(14, "nodes/c", "{"), deleted(14, "nodes/nobody")}, "nobody  up"},
		{18, []keyValue{kv(15, "drain/a", "{}"), deleted(16, "drain/a"), kv(18, "drain/a", "{}")}, "a 127.0.0.1:1 draining"}, // never up
		{21, []keyValue{deleted(19, "nodes/a"), put(20, "a", 5), deleted(21, "drain/a")}, "a 127.0.0.1:5 up"},
		{24, []keyValue{deleted(22, "nodes/a"), kv(23, "drain/a", "{}"), deleted(24, "drain/a")}, "a  gone"},
	} {
		got, err := f.applyEvents(header(1, tc.at, 1), tc.kvs)
		if err != nil || describe(got) != tc.want {
			t.Errorf("%d: %q, %v, want %q", i, describe(got), err, tc.want)
		}
	}
	if f.duplicateEvents != 2 {
		t.Errorf("%d repeats", f.duplicateEvents)
	}
}

// Guards against a gap in a long history: a watch that catches up gets it in several answers, each with the store's own
// revision in its header, and none of them is taken for a repeat.
func TestFollower_HistoryInSeveralAnswers(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1)})
	for rev := int64(11); rev <= 13; rev++ {
		b, err := f.applyEvents(header(1, 13, 1), []keyValue{put(rev, fmt.Sprint("n", rev), 2)})
		if err != nil || len(b) != 1 || f.header.Revision != rev {
			t.Errorf("%d: %v, %v, at %d", rev, b, err, f.header.Revision)
		}
	}
	if f.duplicateEvents != 0 || len(f.allNodes()) != 4 {
		t.Errorf("repeats %d, %q", f.duplicateEvents, describe(f.allNodes()))
	}
}

// Guards the view against one member that lies as often as it is asked: where several are named, one is not enough.
func TestFollower_OneLyingMember(t *testing.T) {
	f := newFollower(2)
	f.applyFull(header(1, 100, 5), []keyValue{put(5, "a", 1)})
	old := Header{Cluster: 1, Revision: 50, Term: 5, Member: 3}
	for i := range 10 {
		if got := f.applyFull(old, nil); got != readRejected {
			t.Fatalf("read %d: %v", i, got)
		}
	}
	old.Member = 1
	if got := f.applyFull(old, nil); got != readReplaced {
		t.Errorf("by two members: %v", got)
	}
}

// Guards the view against what is old: a member that lags, and the reverse, a cluster that really was put back.
func TestFollower_StaleAndReplacedClusters(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 100, 5), []keyValue{put(5, "a", 1)})
	if _, err := f.applyEvents(header(1, 101, 4), []keyValue{deleted(101, "nodes/a")}); err == nil {
		t.Error("an event of an older term is taken")
	}
	if _, err := f.applyEvents(header(2, 101, 5), []keyValue{deleted(101, "nodes/a")}); err == nil {
		t.Error("an event of another cluster is taken")
	}
	for _, h := range []Header{header(1, 99, 5), header(1, 100, 4), header(2, 200, 5)} {
		if f.applyProgress(h) == nil {
			t.Errorf("progress of %+v is taken", h)
		}
	}
	for i, tc := range []struct {
		h    Header
		want readResult
	}{{header(1, 99, 5), readRejected}, {header(1, 50, 3), readRejected}, {header(1, 101, 5), readAccepted}, {header(1, 50, 5), readRejected}, {header(1, 51, 5), readRejected},
		{header(1, 52, 5), readReplaced}, {header(1, 52, 5), readAccepted}, {header(9, 3, 1), readReplaced}} {
		if got := f.applyFull(tc.h, nil); got != tc.want {
			t.Errorf("read %d: %v, want %v", i, got, tc.want)
		}
		if (tc.want == readRejected) != (f.header != tc.h) {
			t.Errorf("read %d: at %+v", i, f.header)
		}
	}
}
