package etcdstandin

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

const testTimeout = 30 * time.Second

// clusterTest is a test with its stand-in cluster and a client of the first member.
type clusterTest struct {
	*testing.T
	c   *Cluster
	cli *clientv3.Client
	ctx context.Context
}

func open(t *testing.T, cfg Config) *clusterTest {
	t.Helper()
	c, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return &clusterTest{t, c, client(t, clientv3.Config{Endpoints: c.Addrs()[:1]}), ctx}
}

func client(t *testing.T, cfg clientv3.Config) *clientv3.Client {
	t.Helper()
	cfg.Logger, cfg.DialTimeout = zap.NewNop(), testTimeout
	cli, err := clientv3.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cli.Close() })
	return cli
}

func (a *clusterTest) ok(err error) {
	a.Helper()
	if err != nil {
		a.Fatal(err)
	}
}

func (a *clusterTest) fails(err, want error) {
	a.Helper()
	if !errors.Is(rpctypes.Error(err), rpctypes.Error(want)) {
		a.Errorf("got %v, want %v", err, want)
	}
}

func (a *clusterTest) eq(got, want any) {
	a.Helper()
	if !reflect.DeepEqual(got, want) {
		a.Errorf("got %v, want %v", got, want)
	}
}

func (a *clusterTest) put(k, v string, opts ...clientv3.OpOption) int64 {
	a.Helper()
	r, err := a.cli.Put(a.ctx, k, v, opts...)
	a.ok(err)
	return r.Header.Revision
}

func (a *clusterTest) del(k string, opts ...clientv3.OpOption) *clientv3.DeleteResponse {
	a.Helper()
	r, err := a.cli.Delete(a.ctx, k, opts...)
	a.ok(err)
	return r
}

func (a *clusterTest) get(k string, opts ...clientv3.OpOption) *clientv3.GetResponse {
	a.Helper()
	r, err := a.cli.Get(a.ctx, k, opts...)
	a.ok(err)
	return r
}

// kvs formats a response as key=value, in order.
func kvs(r *clientv3.GetResponse) string {
	var s []string
	for _, kv := range r.Kvs {
		s = append(s, string(kv.Key)+"="+string(kv.Value))
	}
	return strings.Join(s, " ")
}

// events reads n events from a watch and formats them with their revisions, and previous values if present.
func (a *clusterTest) events(w clientv3.WatchChan, n int) string {
	a.Helper()
	var s []string
	for len(s) < n {
		select {
		case r, ok := <-w:
			if !ok || r.Err() != nil {
				a.Fatalf("watch ended after %d of %d events %v: %v", len(s), n, s, r.Err())
			}
			for _, e := range r.Events {
				prev := ""
				if e.PrevKv != nil {
					prev = "<" + string(e.PrevKv.Value)
				}
				s = append(s, fmt.Sprintf("%s %s=%s@%d%s", e.Type, e.Kv.Key, e.Kv.Value, e.Kv.ModRevision, prev))
			}
		case <-a.ctx.Done():
			a.Fatalf("timeout after %d of %d events: %v", len(s), n, s)
		}
	}
	return strings.Join(s, ", ")
}

func (a *clusterTest) compact(rev int64) error {
	_, err := a.cli.Compact(a.ctx, rev)
	return err
}

func (a *clusterTest) txn(cmps []clientv3.Cmp, then, other []clientv3.Op) *clientv3.TxnResponse {
	a.Helper()
	r, err := a.cli.Txn(a.ctx).If(cmps...).Then(then...).Else(other...).Commit()
	a.ok(err)
	return r
}

type (
	cmps = []clientv3.Cmp
	ops  = []clientv3.Op
)

var (
	opPut, opGet, opDel, opTxn = clientv3.OpPut, clientv3.OpGet, clientv3.OpDelete, clientv3.OpTxn
	prefix                     = clientv3.WithPrefix
)

// rows are guarantees of etcd's published API, each with a check that runs against the stand-in through the official client.
var rows = []struct {
	guarantee string
	run       func(a *clusterTest)
}{
	// Revisions.
	{"a new cluster is at revision 1", func(a *clusterTest) { a.eq(a.get("a").Header.Revision, int64(1)) }},
	{"each write creates the next revision", func(a *clusterTest) {
		a.eq([]int64{a.put("a", "1"), a.put("b", "1"), a.put("a", "1")}, []int64{2, 3, 4})
	}},
	{"a read does not change the revision", func(a *clusterTest) { a.put("a", "1"); a.get("a"); a.eq(a.put("a", "2"), int64(3)) }},
	{"a deletion of no key does not change the revision", func(a *clusterTest) { a.eq(a.del("a").Header.Revision, int64(1)) }},
	{"a transaction without writes does not change the revision", func(a *clusterTest) { a.eq(a.txn(nil, ops{opGet("a")}, nil).Header.Revision, int64(1)) }},
	{"create revision, mod revision and version of a key", func(a *clusterTest) {
		a.put("a", "1")
		a.put("b", "1")
		a.put("a", "2")
		kv := a.get("a").Kvs[0]
		a.eq([]int64{kv.CreateRevision, kv.ModRevision, kv.Version}, []int64{2, 4, 2})
	}},
	{"a key that is put again after its deletion starts at version 1", func(a *clusterTest) {
		a.put("a", "1")
		a.del("a")
		a.put("a", "2")
		kv := a.get("a").Kvs[0]
		a.eq([]int64{kv.CreateRevision, kv.ModRevision, kv.Version}, []int64{4, 4, 1})
	}},
	// Reads.
	{"a read of a missing key is no error", func(a *clusterTest) { r := a.get("a"); a.eq([]int64{r.Count, int64(len(r.Kvs))}, []int64{0, 0}) }},
	{"an empty key is refused", func(a *clusterTest) { _, err := a.cli.Get(a.ctx, ""); a.fails(err, rpctypes.ErrEmptyKey) }},
	{"a range includes its begin and excludes its end", func(a *clusterTest) {
		for _, k := range []string{"a", "b", "c"} {
			a.put(k, k)
		}
		a.eq(kvs(a.get("a", clientv3.WithRange("c"))), "a=a b=b")
	}},
	{"a prefix selects all keys that begin with it", func(a *clusterTest) {
		for _, k := range []string{"p", "p/", "p/a", "p0", "q"} {
			a.put(k, "")
		}
		a.eq(kvs(a.get("p/", prefix())), "p/= p/a=")
	}},
	{"a read from a key to the end", func(a *clusterTest) {
		a.put("a", "")
		a.put("b", "")
		a.put("c", "")
		a.eq(kvs(a.get("b", clientv3.WithFromKey())), "b= c=")
	}},
	{"all keys", func(a *clusterTest) { a.put("a", ""); a.put("z", ""); a.eq(kvs(a.get("", prefix())), "a= z=") }},
	{"a limit truncates, sets More and counts all keys", func(a *clusterTest) {
		for i := range 5 {
			a.put(fmt.Sprint("k", i), "")
		}
		r := a.get("k", prefix(), clientv3.WithLimit(2))
		a.eq([]any{kvs(r), r.More, r.Count}, []any{"k0= k1=", true, int64(5)})
	}},
	{"a limit that all keys fit in does not set More", func(a *clusterTest) { a.put("a", ""); a.eq(a.get("a", prefix(), clientv3.WithLimit(1)).More, false) }},
	{"count only", func(a *clusterTest) {
		a.put("a", "")
		a.put("b", "")
		r := a.get("a", clientv3.WithFromKey(), clientv3.WithCountOnly())
		a.eq([]int64{r.Count, int64(len(r.Kvs))}, []int64{2, 0})
	}},
	{"keys only", func(a *clusterTest) { a.put("a", "v"); a.eq(kvs(a.get("a", clientv3.WithKeysOnly())), "a=") }},
	{"keys are returned in order", func(a *clusterTest) {
		for _, k := range []string{"c", "a", "b"} {
			a.put(k, "")
		}
		a.eq(kvs(a.get("a", clientv3.WithFromKey())), "a= b= c=")
	}},
	{"sorted by value, descending", func(a *clusterTest) {
		a.put("a", "1")
		a.put("b", "3")
		a.put("c", "2")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithSort(clientv3.SortByValue, clientv3.SortDescend))), "b=3 c=2 a=1")
	}},
	{"sorted by mod revision", func(a *clusterTest) {
		a.put("a", "")
		a.put("b", "")
		a.put("a", "")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithSort(clientv3.SortByModRevision, clientv3.SortAscend))), "b= a=")
	}},
	{"bounds on mod revisions", func(a *clusterTest) {
		a.put("a", "")
		a.put("b", "")
		a.put("c", "")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithMinModRev(3), clientv3.WithMaxModRev(3))), "b=")
	}},
	{"a read at an old revision returns the state at that revision", func(a *clusterTest) {
		a.put("a", "1")
		a.put("a", "2")
		a.del("a")
		a.eq([]string{kvs(a.get("a", clientv3.WithRev(2))), kvs(a.get("a", clientv3.WithRev(3))), kvs(a.get("a", clientv3.WithRev(4)))}, []string{"a=1", "a=2", ""})
	}},
	{"the header of a read at an old revision has the current revision", func(a *clusterTest) {
		a.put("a", "1")
		a.put("a", "2")
		a.eq(a.get("a", clientv3.WithRev(2)).Header.Revision, int64(3))
	}},
	{"a read at a future revision is refused", func(a *clusterTest) {
		_, err := a.cli.Get(a.ctx, "a", clientv3.WithRev(2))
		a.fails(err, rpctypes.ErrFutureRev)
	}},
	// Writes.
	{"the previous value of a put", func(a *clusterTest) {
		a.put("a", "1")
		r, err := a.cli.Put(a.ctx, "a", "2", clientv3.WithPrevKV())
		a.ok(err)
		a.eq(string(r.PrevKv.Value), "1")
	}},
	{"a put that keeps the value", func(a *clusterTest) {
		a.put("a", "1")
		a.put("a", "", clientv3.WithIgnoreValue())
		r := a.get("a")
		a.eq([]any{kvs(r), r.Kvs[0].Version}, []any{"a=1", int64(2)})
	}},
	{"a put that keeps the value of a missing key is refused", func(a *clusterTest) {
		_, err := a.cli.Put(a.ctx, "a", "", clientv3.WithIgnoreValue())
		a.fails(err, rpctypes.ErrKeyNotFound)
	}},
	{"a range is deleted as one revision, and its previous values are returned", func(a *clusterTest) {
		a.put("a1", "x")
		a.put("a2", "y")
		r := a.del("a", prefix(), clientv3.WithPrevKV())
		a.eq([]any{r.Deleted, len(r.PrevKvs), r.Header.Revision}, []any{int64(2), 2, int64(4)})
	}},
	{"a request that is too large is refused", func(a *clusterTest) {
		_, err := a.cli.Put(a.ctx, "a", strings.Repeat("x", 3<<19))
		a.fails(err, rpctypes.ErrRequestTooLarge)
	}},
	// Transactions.
	{"a transaction is one revision", func(a *clusterTest) {
		r := a.txn(nil, ops{opPut("a", "1"), opPut("b", "1"), opDel("c")}, nil)
		a.eq([]any{r.Header.Revision, a.get("a").Kvs[0].ModRevision, a.get("b").Kvs[0].ModRevision}, []any{int64(2), int64(2), int64(2)})
	}},
	{"a comparison chooses the branch", func(a *clusterTest) {
		a.put("a", "1")
		r := a.txn(cmps{clientv3.Compare(clientv3.Value("a"), "=", "2")}, ops{opPut("b", "then")}, ops{opPut("b", "else")})
		a.eq([]any{r.Succeeded, kvs(a.get("b"))}, []any{false, "b=else"})
	}},
	{"all comparisons have to hold", func(a *clusterTest) {
		a.put("a", "1")
		c := clientv3.Compare(clientv3.Value("a"), "=", "1")
		a.eq([]bool{a.txn(cmps{c, c}, nil, nil).Succeeded, a.txn(cmps{c, clientv3.Compare(clientv3.Value("a"), ">", "1")}, nil, nil).Succeeded}, []bool{true, false})
	}},
	{"create and mod revision, version and lease compare", func(a *clusterTest) {
		a.put("b", "")
		a.put("a", "1")
		a.put("a", "2")
		for _, c := range (cmps{clientv3.Compare(clientv3.CreateRevision("a"), "=", 3), clientv3.Compare(clientv3.ModRevision("a"), "=", 4),
			clientv3.Compare(clientv3.Version("a"), "=", 2), clientv3.Compare(clientv3.LeaseValue("a"), "=", 0), clientv3.Compare(clientv3.ModRevision("a"), "<", 5),
			clientv3.Compare(clientv3.ModRevision("a"), ">", 3), clientv3.Compare(clientv3.ModRevision("a"), "!=", 3), clientv3.Compare(clientv3.Value("a"), "<", "3")}) {
			a.eq(a.txn(cmps{c}, nil, nil).Succeeded, true)
		}
	}},
	{"a missing key compares as 0", func(a *clusterTest) {
		a.eq(a.txn(cmps{clientv3.Compare(clientv3.CreateRevision("a"), "=", 0), clientv3.Compare(clientv3.Version("a"), "=", 0)}, nil, nil).Succeeded, true)
	}},
	{"a missing key has no value", func(a *clusterTest) {
		a.eq(a.txn(cmps{clientv3.Compare(clientv3.Value("a"), "!=", "x")}, nil, nil).Succeeded, false)
	}},
	{"a comparison with a range holds for each key of it", func(a *clusterTest) {
		a.put("a1", "x")
		a.put("a2", "y")
		c := clientv3.Compare(clientv3.Value("a"), "=", "x").WithPrefix()
		was := a.txn(cmps{c}, nil, nil).Succeeded
		a.put("a2", "x")
		a.eq([]bool{was, a.txn(cmps{c}, nil, nil).Succeeded}, []bool{false, true})
	}},
	{"comparisons see the state before the transaction", func(a *clusterTest) {
		inner := opTxn(cmps{clientv3.Compare(clientv3.Version("a"), "=", 0)}, ops{opPut("b", "unseen")}, ops{opPut("b", "seen")})
		a.txn(nil, ops{opPut("a", "1"), inner}, nil)
		a.eq(kvs(a.get("b")), "b=unseen")
	}},
	{"a read in a transaction sees the writes before it", func(a *clusterTest) {
		r := a.txn(nil, ops{opGet("a"), opPut("a", "1"), opGet("a")}, nil)
		a.eq([]int64{r.Responses[0].GetResponseRange().Count, r.Responses[2].GetResponseRange().Count}, []int64{0, 1})
	}},
	{"transactions nest", func(a *clusterTest) {
		a.put("a", "1")
		in := opTxn(cmps{clientv3.Compare(clientv3.Value("a"), "=", "1")}, ops{opPut("b", "in")}, ops{opPut("b", "out")})
		r := a.txn(nil, ops{in, opPut("c", "1")}, nil)
		a.eq([]any{kvs(a.get("b")), r.Responses[0].GetResponseTxn().Succeeded, r.Header.Revision}, []any{"b=in", true, int64(3)})
	}},
	{"a transaction that puts a key twice is refused", func(a *clusterTest) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opPut("a", "2")).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"a transaction that puts and deletes a key is refused", func(a *clusterTest) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a1", "1"), opDel("a", prefix())).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"both branches of an inner transaction may put the same key", func(a *clusterTest) {
		a.txn(nil, ops{opTxn(nil, ops{opPut("a", "1")}, ops{opPut("a", "2")})}, nil)
		a.eq(kvs(a.get("a")), "a=1")
	}},
	{"a key put in a transaction and in its inner transaction is refused", func(a *clusterTest) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "0"), opTxn(nil, ops{opPut("a", "1")}, nil)).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"at most 128 operations in a transaction", func(a *clusterTest) {
		var list ops
		for i := range 129 {
			list = append(list, opPut(fmt.Sprint(i), ""))
		}
		_, err := a.cli.Txn(a.ctx).Then(list...).Commit()
		a.fails(err, rpctypes.ErrTooManyOps)
		a.txn(nil, list[:128], nil)
	}},
	{"a refused transaction changes nothing", func(a *clusterTest) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opPut("b", "1", clientv3.WithLease(77))).Commit()
		a.fails(err, rpctypes.ErrLeaseNotFound)
		a.eq(a.get("a").Header.Revision, int64(1))
		a.eq(a.get("a").Count, int64(0))
	}},
	{"a read at a future revision fails the whole transaction", func(a *clusterTest) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opGet("a", clientv3.WithRev(9))).Commit()
		a.fails(err, rpctypes.ErrFutureRev)
		a.eq(a.get("a").Count, int64(0))
	}},
	// Compaction.
	{"reads below the compacted revision fail, reads at it succeed", func(a *clusterTest) {
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.ok(a.compact(3))
		_, err := a.cli.Get(a.ctx, "a", clientv3.WithRev(2))
		a.fails(err, rpctypes.ErrCompacted)
		a.eq(kvs(a.get("a", clientv3.WithRev(3))), "a=2")
	}},
	{"a second compaction at the same revision fails", func(a *clusterTest) {
		a.put("a", "1")
		a.ok(a.compact(2))
		a.fails(a.compact(2), rpctypes.ErrCompacted)
	}},
	{"a compaction at a future revision fails", func(a *clusterTest) { a.fails(a.compact(2), rpctypes.ErrFutureRev) }},
	{"compaction changes neither the revision nor current keys", func(a *clusterTest) {
		a.put("a", "1")
		a.put("b", "1")
		a.put("b", "2")
		a.ok(a.compact(4))
		r := a.get("a", clientv3.WithFromKey())
		a.eq([]any{r.Header.Revision, kvs(r)}, []any{int64(4), "a=1 b=2"})
	}},
	{"a watch from below the compacted revision is cancelled with that revision", func(a *clusterTest) {
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.ok(a.compact(4))
		r := <-a.cli.Watch(a.ctx, "a", clientv3.WithRev(2))
		a.eq([]any{r.CompactRevision, r.Canceled}, []any{int64(4), true})
		a.fails(r.Err(), rpctypes.ErrCompacted)
	}},
	{"a watch from the compacted revision has no gap", func(a *clusterTest) {
		a.put("a", "1")
		a.del("a")
		a.put("a", "3")
		a.ok(a.compact(3))
		a.eq(a.events(a.cli.Watch(a.ctx, "a", clientv3.WithRev(3)), 2), "DELETE a=@3, PUT a=3@4")
	}},
	// Watches.
	{"a watch reports each change once, in order, from its start revision", func(a *clusterTest) {
		for i := range 50 {
			a.put("a", fmt.Sprint(i))
		}
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2))
		var want []string
		for i := range 100 {
			if i >= 50 {
				a.put("a", fmt.Sprint(i))
			}
			want = append(want, fmt.Sprintf("PUT a=%d@%d", i, i+2))
		}
		a.eq(a.events(w, 100), strings.Join(want, ", "))
	}},
	{"a watch without a start revision reports no earlier changes", func(a *clusterTest) {
		a.put("a", "1")
		w := a.cli.Watch(a.ctx, "a", clientv3.WithCreatedNotify())
		<-w
		a.put("a", "2")
		a.eq(a.events(w, 1), "PUT a=2@3")
	}},
	{"a transaction's changes are sent in one response", func(a *clusterTest) {
		w := a.cli.Watch(a.ctx, "a", prefix(), clientv3.WithRev(2))
		a.txn(nil, ops{opPut("a1", "1"), opPut("b", "1"), opPut("a2", "1")}, nil)
		a.eq(len((<-w).Events), 2)
	}},
	{"a watch from a future revision waits for it", func(a *clusterTest) {
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(4))
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.eq(a.events(w, 1), "PUT a=3@4")
	}},
	{"a watch reports previous values", func(a *clusterTest) {
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithPrevKV())
		a.put("a", "1")
		a.put("a", "2")
		a.del("a")
		a.eq(a.events(w, 3), "PUT a=1@2, PUT a=2@3<1, DELETE a=@4<2")
	}},
	{"filters leave out puts or deletions", func(a *clusterTest) {
		p, d := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithFilterDelete()), a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithFilterPut())
		a.put("a", "1")
		a.del("a")
		a.put("a", "2")
		a.del("a")
		a.eq([]string{a.events(p, 2), a.events(d, 2)}, []string{"PUT a=1@2, PUT a=2@4", "DELETE a=@3, DELETE a=@5"})
	}},
	{"several watches on a stream", func(a *clusterTest) {
		x, y := a.cli.Watch(a.ctx, "x", clientv3.WithRev(2)), a.cli.Watch(a.ctx, "y", clientv3.WithRev(2))
		a.put("y", "1")
		a.put("x", "1")
		a.eq([]string{a.events(x, 1), a.events(y, 1)}, []string{"PUT x=1@3", "PUT y=1@2"})
		if n := a.c.Counts().Watches; n != 2 {
			a.Errorf("got %d watches, want 2", n)
		}
	}},
	{"a cancelled watch does not affect other watches", func(a *clusterTest) {
		ctx, cancel := context.WithCancel(a.ctx)
		x, y := a.cli.Watch(ctx, "x", clientv3.WithCreatedNotify()), a.cli.Watch(a.ctx, "y", clientv3.WithRev(2))
		<-x
		cancel()
		for range x {
		}
		a.put("y", "1")
		a.eq(a.events(y, 1), "PUT y=1@2")
	}},
	{"a requested progress notification follows all changes up to its revision", func(a *clusterTest) {
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2))
		for i := range 20 {
			a.put("a", fmt.Sprint(i))
		}
		a.ok(a.cli.RequestProgress(a.ctx))
		last := int64(0)
		for r := range w {
			for _, e := range r.Events {
				last = e.Kv.ModRevision
			}
			if r.IsProgressNotify() {
				a.eq([]int64{last, r.Header.Revision}, []int64{21, 21})
				return
			}
		}
	}},
	{"a large message is sent in fragments to a client that accepts them, and is complete", func(a *clusterTest) {
		w := a.cli.Watch(a.ctx, "a", prefix(), clientv3.WithRev(2), clientv3.WithFragment())
		var list ops
		for i := range 20 {
			list = append(list, opPut(fmt.Sprintf("a%02d", i), strings.Repeat("x", 100)))
		}
		a.txn(nil, list, nil)
		a.eq(len((<-w).Events), 20)
	}},
	// Leases.
	{"revoking a lease deletes its keys as one revision", func(a *clusterTest) {
		l, err := a.cli.Grant(a.ctx, 100)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.put("b", "1", clientv3.WithLease(l.ID))
		w := a.cli.Watch(a.ctx, "", prefix(), clientv3.WithRev(4))
		_, err = a.cli.Revoke(a.ctx, l.ID)
		a.ok(err)
		a.eq(a.events(w, 2), "DELETE a=@4, DELETE b=@4")
	}},
	{"a lease expires after its TTL", func(a *clusterTest) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.c.AdvanceClock(999 * time.Second)
		a.eq(a.get("a").Count, int64(1))
		a.c.AdvanceClock(2 * time.Second)
		a.eq(a.get("a").Count, int64(0))
	}},
	{"a keepalive renews a lease for its full TTL", func(a *clusterTest) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.c.AdvanceClock(999 * time.Second)
		k, err := a.cli.KeepAliveOnce(a.ctx, l.ID)
		a.ok(err)
		a.c.AdvanceClock(999 * time.Second)
		a.eq([]int64{k.TTL, a.get("a").Count}, []int64{1000, 1})
	}},
	{"a put without the lease detaches the key", func(a *clusterTest) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.put("a", "2")
		_, err = a.cli.Revoke(a.ctx, l.ID)
		a.ok(err)
		a.eq(kvs(a.get("a")), "a=2")
	}},
	{"time to live and keys of a lease", func(a *clusterTest) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		r, err := a.cli.TimeToLive(a.ctx, l.ID, clientv3.WithAttachedKeys())
		a.ok(err)
		a.eq([]any{r.GrantedTTL, len(r.Keys), r.TTL > 900}, []any{int64(1000), 1, true})
		all, err := a.cli.Leases(a.ctx)
		a.ok(err)
		a.eq(len(all.Leases), 1)
	}},
	{"calls for a missing lease", func(a *clusterTest) {
		_, err := a.cli.Revoke(a.ctx, 5)
		a.fails(err, rpctypes.ErrLeaseNotFound)
		_, err = a.cli.Put(a.ctx, "a", "1", clientv3.WithLease(5))
		a.fails(err, rpctypes.ErrLeaseNotFound)
		_, err = a.cli.KeepAliveOnce(a.ctx, 5)
		a.fails(err, rpctypes.ErrLeaseNotFound)
		r, err := a.cli.TimeToLive(a.ctx, 5)
		a.ok(err)
		a.eq(r.TTL, int64(-1))
	}},
	// Other calls.
	{"status names member, leader, term and revision", func(a *clusterTest) {
		a.put("a", "1")
		r, err := a.cli.Status(a.ctx, a.c.Addr())
		a.ok(err)
		a.eq([]any{r.Leader, r.Header.MemberId, r.RaftTerm, r.Header.Revision}, []any{uint64(1), uint64(1), uint64(2), int64(2)})
	}},
	{"the member list has the client addresses", func(a *clusterTest) {
		a.ok(a.cli.Sync(a.ctx))
		a.eq(a.cli.Endpoints(), []string{"http://" + a.c.Addr()})
	}},
	{"unsupported calls return Unimplemented", func(a *clusterTest) {
		_, err := a.cli.UserList(a.ctx)
		if err == nil || !strings.Contains(err.Error(), "Unimplemented") {
			a.Errorf("got error %v, want Unimplemented", err)
		}
	}},
}

// Guards the stand-in against differences from etcd's published API: tests that use the stand-in would then prove nothing about
// etcd.
func TestConformance(t *testing.T) {
	if len(rows) < 60 {
		t.Errorf("got %d rows, want at least 60", len(rows))
	}
	for _, r := range rows {
		t.Run(strings.ReplaceAll(r.guarantee, " ", "_"), func(t *testing.T) {
			t.Parallel()
			r.run(open(t, Config{FragmentBytes: 500}))
		})
	}
}
