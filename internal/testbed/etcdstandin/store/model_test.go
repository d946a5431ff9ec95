package store

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

var modelSteps = flag.Int("model-steps", 20000, "number of random calls in the model test")

// referenceModel is a simple implementation of the store: it keeps a full map of the keys for every revision.
type referenceModel struct {
	past      []map[string]cell // indexed by revision - 1
	compacted int64
	leases    map[int64]int64 // expiry time in seconds, by lease ID
}

type cell struct {
	value                       string
	create, mod, version, lease int64
}

func (n *referenceModel) rev() int64             { return int64(len(n.past)) }
func (n *referenceModel) now() map[string]cell   { return n.past[len(n.past)-1] }
func (n *referenceModel) push(m map[string]cell) { n.past = append(n.past, m) }

func (n *referenceModel) set(m map[string]cell, key, value string, lease int64) {
	old := m[key]
	c := cell{value, old.create, n.rev() + 1, old.version + 1, lease}
	if old.version == 0 {
		c.create = c.mod
	}
	m[key] = c
}

func (n *referenceModel) list(m map[string]cell, from, end string) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		in := k >= from && k < end
		switch end {
		case "":
			in = k == from
		case "\x00":
			in = k >= from
		}
		if in {
			out = append(out, fmt.Sprint(k, m[k]))
		}
	}
	return fmt.Sprint(out)
}

func rangeText(r *pb.RangeResponse) string {
	var out []string
	for _, kv := range r.Kvs {
		out = append(out, fmt.Sprint(string(kv.Key), cell{string(kv.Value), kv.CreateRevision, kv.ModRevision, kv.Version, kv.Lease}))
	}
	return fmt.Sprint(out)
}

// diffText returns the changes between two revisions as text, sorted by key.
func diffText(before, after map[string]cell) (list []string) {
	keys := map[string]bool{}
	for k := range before {
		keys[k] = true
	}
	for k := range after {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		a, was := before[k]
		b, is := after[k]
		switch {
		case was && !is:
			list = append(list, "del "+k+" "+a.value)
		case is && a != b:
			list = append(list, "put "+k+" "+b.value)
		}
	}
	return list
}

func eventText(events []*mvccpb.Event) (list []string) {
	for _, e := range events {
		if e.Type == mvccpb.DELETE {
			list = append(list, "del "+string(e.Kv.Key)+" "+string(e.PrevKv.Value))
		} else {
			list = append(list, "put "+string(e.Kv.Key)+" "+string(e.Kv.Value))
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmpKey(a[4:], b[4:]) })
	return list
}

func cmpKey(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Guards the store: random calls return the same results as the reference model, and the logged records replay to the same state.
func TestModel(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { compareWithModel(t, seed, *modelSteps/4) })
	}
}

func compareWithModel(t *testing.T, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 9))
	var file []Record
	s := New(func(r Record) { file = append(file, r) })
	n := &referenceModel{past: []map[string]cell{{}}, leases: map[int64]int64{}}
	key := func() string { return string(rune('a'+rng.IntN(5))) + []string{"", "/x", "/y"}[rng.IntN(3)] }
	rangeEnd := func(k string) string { return []string{"", "\x00", k + "0", k + "\xff"}[rng.IntN(4)] }
	now := int64(0)
	lease := func() int64 {
		if rng.IntN(3) > 0 || len(n.leases) == 0 {
			return 0
		}
		ids := slices.Sorted(maps.Keys(n.leases))
		return ids[rng.IntN(len(ids))]
	}
	inside := func(m map[string]cell, from, end string) (keys []string) {
		for k := range m {
			if Within([]byte(k), []byte(from), []byte(end)) {
				keys = append(keys, k)
			}
		}
		return keys
	}
	seen := map[string]int{}
	for i := range steps {
		at := time.Duration(now) * time.Second
		what := []string{"put", "put", "put", "delete", "txn", "txn", "range", "range", "old", "compact", "grant", "revoke", "alive", "time", "trim"}[rng.IntN(15)]
		seen[what]++
		switch what {
		case "put":
			k, l := key(), lease()
			_, err := s.Put(&pb.PutRequest{Key: []byte(k), Value: fmt.Append(nil, i), Lease: l})
			if err != nil {
				t.Fatal(err)
			}
			m := maps.Clone(n.now())
			n.set(m, k, fmt.Sprint(i), l)
			n.push(m)
		case "delete":
			k := key()
			end := rangeEnd(k)
			r, err := s.Delete(&pb.DeleteRangeRequest{Key: []byte(k), RangeEnd: []byte(end)})
			deleted := inside(n.now(), k, end)
			if err != nil || r.Deleted != int64(len(deleted)) {
				t.Fatalf("step %d, delete: got %v, %v, want deletion of %v", i, r, err, deleted)
			}
			if len(deleted) > 0 {
				m := maps.Clone(n.now())
				for _, k := range deleted {
					delete(m, k)
				}
				n.push(m)
			}
		case "txn":
			a, b, d := key(), key(), key()
			r, err := s.Txn(&pb.TxnRequest{
				Compare: []*pb.Compare{{Key: []byte(a), Target: pb.Compare_VERSION, Result: pb.Compare_GREATER, TargetUnion: &pb.Compare_Version{Version: 1}}},
				Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(b), Value: fmt.Append(nil, "s", i)}}},
					{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(d)}}}},
				Failure: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(d), Value: fmt.Append(nil, "f", i)}}}}})
			if b == d { // rejected, whichever branch the comparison selects
				if !errors.Is(err, rpctypes.ErrGRPCDuplicateKey) {
					t.Fatalf("step %d, txn: got error %v, want %v", i, err, rpctypes.ErrGRPCDuplicateKey)
				}
				break
			}
			if err != nil || r.Succeeded != (n.now()[a].version > 1) {
				t.Fatalf("step %d, txn: got %v, %v, want Succeeded %v", i, r, err, n.now()[a].version > 1)
			}
			m := maps.Clone(n.now())
			if r.Succeeded {
				n.set(m, b, fmt.Sprint("s", i), 0)
				delete(m, d)
			} else {
				n.set(m, d, fmt.Sprint("f", i), 0)
			}
			n.push(m)
		case "range", "old":
			k := key()
			end, rev := rangeEnd(k), int64(0)
			if what == "old" {
				rev = 1 + rng.Int64N(n.rev()+1)
			}
			r, err := s.Range(&pb.RangeRequest{Key: []byte(k), RangeEnd: []byte(end), Revision: rev}, s.View())
			switch {
			case rev > n.rev():
				if !errors.Is(err, rpctypes.ErrGRPCFutureRev) {
					t.Fatalf("step %d, range at revision %d: got error %v, want %v", i, rev, err, rpctypes.ErrGRPCFutureRev)
				}
			case rev > 0 && rev < n.compacted:
				if !errors.Is(err, rpctypes.ErrGRPCCompacted) {
					t.Fatalf("step %d, range at revision %d: got error %v, want %v", i, rev, err, rpctypes.ErrGRPCCompacted)
				}
			default:
				if rev == 0 {
					rev = n.rev()
				}
				if want := n.list(n.past[rev-1], k, end); err != nil || rangeText(r) != want {
					t.Fatalf("step %d, range at revision %d, %q to %q: got %v, %v, want %v", i, rev, k, end, rangeText(r), err, want)
				}
			}
		case "compact":
			if rng.IntN(10) > 0 {
				break
			}
			rev := 1 + rng.Int64N(n.rev()+1)
			err := s.Compact(rev)
			switch {
			case rev <= n.compacted:
				if !errors.Is(err, rpctypes.ErrGRPCCompacted) {
					t.Fatalf("step %d, compact %d: got error %v, want %v", i, rev, err, rpctypes.ErrGRPCCompacted)
				}
			case rev > n.rev():
				if !errors.Is(err, rpctypes.ErrGRPCFutureRev) {
					t.Fatalf("step %d, compact %d: got error %v, want %v", i, rev, err, rpctypes.ErrGRPCFutureRev)
				}
			case err != nil:
				t.Fatal(err)
			default:
				n.compacted = rev
			}
		case "trim":
			s.Trim(n.compacted)
		case "grant":
			if len(n.leases) < 5 {
				ttl := 1 + rng.Int64N(300)
				id, err := s.Grant(at, 0, ttl)
				if err != nil || n.leases[id] != 0 {
					t.Fatalf("step %d, grant: got ID %d, %v, want an unused ID", i, id, err)
				}
				n.leases[id] = now + ttl
			}
		case "revoke", "alive", "time":
			ended := func(id int64) {
				delete(n.leases, id)
				m := maps.Clone(n.now())
				for k, c := range m {
					if c.lease == id {
						delete(m, k)
					}
				}
				if len(m) < len(n.now()) {
					n.push(m)
				}
			}
			id := lease()
			switch {
			case what == "time":
				now += rng.Int64N(60)
				s.Expire(time.Duration(now) * time.Second)
				for _, id := range slices.Sorted(maps.Keys(n.leases)) {
					if n.leases[id] <= now {
						ended(id)
					}
				}
			case id == 0:
			case what == "revoke":
				if err := s.Revoke(id); err != nil {
					t.Fatal(err)
				}
				ended(id)
			default:
				n.leases[id] = now + s.KeepAlive(at, id)
			}
		}
		if s.View() != (View{n.rev(), n.compacted}) {
			t.Fatalf("step %d, %s: got view %+v, want revision %d, compacted %d", i, what, s.View(), n.rev(), n.compacted)
		}
		if from := max(n.compacted, 2) + rng.Int64N(5); from <= n.rev() { // the events of a revision equal the difference to the previous revision
			if got, want := eventText(s.Events(from, from)), diffText(n.past[from-2], n.past[from-1]); !reflect.DeepEqual(got, want) {
				t.Fatalf("step %d: events of revision %d: got %q, want %q", i, from, got, want)
			}
		}
	}
	for _, what := range []string{"put", "txn", "old", "compact", "revoke", "time", "trim"} {
		if seen[what] == 0 {
			t.Errorf("no %q call among the random calls, want at least one", what)
		}
	}
	replayed := New(nil)
	for _, r := range file { // encoded as JSON, as in the file
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var back Record
		if err := json.Unmarshal(text, &back); err != nil {
			t.Fatal(err)
		}
		replayed.Replay(0, back)
	}
	all := &pb.RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}}
	a, _ := s.Range(all, s.View())
	b, _ := replayed.Range(all, replayed.View())
	if rangeText(a) != rangeText(b) || replayed.View() != s.View() || !reflect.DeepEqual(replayed.Leases(), s.Leases()) {
		t.Errorf("replayed records: got view %+v, keys %v, leases %v, want %+v, %v, %v", replayed.View(), rangeText(b), replayed.Leases(), s.View(), rangeText(a), s.Leases())
	}
}
