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

// Guards against a node that is lost or changed because its value is invalid: the node keeps its last valid value, and the key is reported.
func TestFollower_InvalidValueKeepsLastGood(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1), kv(6, "nodes/b", "{"), kv(7, "nodes/c d", "{}"), kv(8, "other/x", "y")})
	if got := describe(f.allNodes()); got != "a 127.0.0.1:1 up" || len(f.invalid) != 2 {
		t.Fatalf("got nodes %q and invalid keys %v, want node a up and two invalid keys", got, f.invalid)
	}
	for i, bad := range []string{"", "7", `{"addr":"nowhere"}`, `{"addr":"127.0.0.1:1","state":"up"}`, `{"addr":"127.0.0.1:1"} {}`,
		`{"addr":"127.0.0.1:1","weight":-1}`, `{"addr":"127.0.0.1:1","weight":1e9}`, `{"addr":"127.0.0.1:1","started_ms":-5}`, `{"addr":"127.0.0.1:1","cell":"x"}`} {
		reports, err := f.applyEvents(header(1, 11+int64(i), 1), []keyValue{kv(11+int64(i), "nodes/a", bad)})
		if err != nil || describe(reports) != "a 127.0.0.1:1 up" || f.invalid["nodes/a"] == "" {
			t.Errorf("value %q: got reports %v, error %v, invalid keys %v; want node a unchanged and its key invalid", bad, reports, err, f.invalid)
		}
	}
	f.applyFull(header(1, 50, 1), []keyValue{kv(20, "nodes/a", "{")}) // a full read keeps the last valid value too
	if got := describe(f.allNodes()); got != "a 127.0.0.1:1 up" {
		t.Errorf("after a full read with an invalid value: got %q, want node a unchanged", got)
	}
	if _, err := f.applyEvents(header(1, 51, 1), []keyValue{put(51, "a", 2)}); err != nil || len(f.invalid) != 0 || describe(f.allNodes()) != "a 127.0.0.1:2 up" {
		t.Errorf("after a valid value: error %v, invalid keys %v, nodes %q; want node a at port 2 and no invalid keys", err, f.invalid,
			describe(f.allNodes()))
	}
}

// Guards against events that are applied twice, against reports of states between the events of one response, and against drain marks
// that are lost because etcd does not list their nodes.
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
		{18, []keyValue{kv(15, "drain/a", "{}"), deleted(16, "drain/a"), kv(18, "drain/a", "{}")}, "a 127.0.0.1:1 draining"}, // never reported as up
		{21, []keyValue{deleted(19, "nodes/a"), put(20, "a", 5), deleted(21, "drain/a")}, "a 127.0.0.1:5 up"},
		{24, []keyValue{deleted(22, "nodes/a"), kv(23, "drain/a", "{}"), deleted(24, "drain/a")}, "a  gone"},
		{26, []keyValue{put(25, "a", 5), kv(26, "drain/a", "{}")}, "a 127.0.0.1:5 draining"},
		{28, []keyValue{deleted(27, "nodes/a"), deleted(28, "drain/a")}, "a  gone, a  up"}, // the mark ends too
		{29, []keyValue{put(29, "a", 5)}, "a 127.0.0.1:5 up"},
		{31, []keyValue{kv(30, "drain/a", "{}"), deleted(31, "nodes/a")}, "a  gone, a  draining"},
	} {
		got, err := f.applyEvents(header(1, tc.at, 1), tc.kvs)
		if err != nil || describe(got) != tc.want {
			t.Errorf("response %d: got reports %q, error %v; want %q", i, describe(got), err, tc.want)
		}
	}
	if f.duplicateEvents != 2 {
		t.Errorf("got %d duplicate events, want 2", f.duplicateEvents)
	}
}

// Guards against a gap when a watch catches up on a long history: it arrives in several responses, each with the store's current revision in
// the header, and none of their events may be ignored as a duplicate.
func TestFollower_HistoryInSeveralAnswers(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 10, 1), []keyValue{put(5, "a", 1)})
	for rev := int64(11); rev <= 13; rev++ {
		reports, err := f.applyEvents(header(1, 13, 1), []keyValue{put(rev, fmt.Sprint("n", rev), 2)})
		if err != nil || len(reports) != 1 || f.header.Revision != rev {
			t.Errorf("event at revision %d: got reports %v, error %v, view at revision %d; want one report and the view at the event's revision",
				rev, reports, err, f.header.Revision)
		}
	}
	if f.duplicateEvents != 0 || len(f.allNodes()) != 4 {
		t.Errorf("got %d duplicate events and nodes %q, want 0 and 4 nodes", f.duplicateEvents, describe(f.allNodes()))
	}
}

// Guards against one faulty member that replaces the view by returning an older state again and again: with several endpoints, a second
// member has to confirm it.
func TestFollower_OneLyingMember(t *testing.T) {
	f := newFollower(2)
	f.applyFull(header(1, 100, 5), []keyValue{put(5, "a", 1)})
	old := Header{Cluster: 1, Revision: 50, Term: 5, Member: 3}
	for i := range 10 {
		if got := f.applyFull(old, nil); got != readRejected {
			t.Fatalf("read %d from one member: got %v, want %v", i, got, readRejected)
		}
	}
	old.Member = 1
	if got := f.applyFull(old, nil); got != readReplaced {
		t.Errorf("read from a second member: got %v, want %v", got, readReplaced)
	}
}

// Guards against a lagging member that takes the view back to an older state, and against a restored cluster that is never accepted.
func TestFollower_StaleAndReplacedClusters(t *testing.T) {
	f := newFollower(1)
	f.applyFull(header(1, 100, 5), []keyValue{put(5, "a", 1)})
	if _, err := f.applyEvents(header(1, 101, 4), []keyValue{deleted(101, "nodes/a")}); err == nil {
		t.Error("an event with an older term was accepted, want an error")
	}
	if _, err := f.applyEvents(header(2, 101, 5), []keyValue{deleted(101, "nodes/a")}); err == nil {
		t.Error("an event from another cluster was accepted, want an error")
	}
	for _, h := range []Header{header(1, 99, 5), header(1, 100, 4), header(2, 200, 5)} {
		if f.applyProgress(h) == nil {
			t.Errorf("progress to %+v was accepted, want an error: the view is at %+v", h, f.header)
		}
	}
	for i, tc := range []struct {
		h    Header
		want readResult
	}{{header(1, 99, 5), readRejected}, {header(1, 50, 3), readRejected}, {header(1, 101, 5), readAccepted}, {header(1, 50, 5), readRejected}, {header(1, 51, 5), readRejected},
		{header(1, 52, 5), readReplaced}, {header(1, 52, 5), readAccepted}, {header(9, 3, 1), readReplaced}} {
		if got := f.applyFull(tc.h, nil); got != tc.want {
			t.Errorf("read %d: got %v, want %v", i, got, tc.want)
		}
		if (tc.want == readRejected) != (f.header != tc.h) {
			t.Errorf("read %d was %v, but the view is at %+v and the read at %+v", i, tc.want, f.header, tc.h)
		}
	}
}
