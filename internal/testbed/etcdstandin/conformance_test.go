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

const patience = 30 * time.Second

// at is one conformance row's cluster and client.
type at struct {
	*testing.T
	c   *Cluster
	cli *clientv3.Client
	ctx context.Context
}

func open(t *testing.T, cfg Config) *at {
	t.Helper()
	c, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return &at{t, c, client(t, clientv3.Config{Endpoints: c.Addrs()[:1]}), ctx}
}

func client(t *testing.T, cfg clientv3.Config) *clientv3.Client {
	t.Helper()
	cfg.Logger, cfg.DialTimeout = zap.NewNop(), patience
	cli, err := clientv3.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cli.Close() })
	return cli
}

func (a *at) ok(err error) {
	a.Helper()
	if err != nil {
		a.Fatal(err)
	}
}

func (a *at) fails(err, want error) {
	a.Helper()
	if !errors.Is(rpctypes.Error(err), rpctypes.Error(want)) {
		a.Errorf("got %v, want %v", err, want)
	}
}

func (a *at) eq(got, want any) {
	a.Helper()
	if !reflect.DeepEqual(got, want) {
		a.Errorf("got %v, want %v", got, want)
	}
}

func (a *at) put(k, v string, opts ...clientv3.OpOption) int64 {
	a.Helper()
	r, err := a.cli.Put(a.ctx, k, v, opts...)
	a.ok(err)
	return r.Header.Revision
}

func (a *at) del(k string, opts ...clientv3.OpOption) *clientv3.DeleteResponse {
	a.Helper()
	r, err := a.cli.Delete(a.ctx, k, opts...)
	a.ok(err)
	return r
}

func (a *at) get(k string, opts ...clientv3.OpOption) *clientv3.GetResponse {
	a.Helper()
	r, err := a.cli.Get(a.ctx, k, opts...)
	a.ok(err)
	return r
}

// kvs words an answer: key=value, in order.
func kvs(r *clientv3.GetResponse) string {
	var s []string
	for _, kv := range r.Kvs {
		s = append(s, string(kv.Key)+"="+string(kv.Value))
	}
	return strings.Join(s, " ")
}

// events reads n events of a watch, worded with their revisions.
func (a *at) events(w clientv3.WatchChan, n int) string {
	a.Helper()
	var s []string
	for len(s) < n {
		select {
		case r, ok := <-w:
			if !ok || r.Err() != nil {
				a.Fatalf("the watch ended after %v: %v", s, r.Err())
			}
			for _, e := range r.Events {
				prev := ""
				if e.PrevKv != nil {
					prev = "<" + string(e.PrevKv.Value)
				}
				s = append(s, fmt.Sprintf("%s %s=%s@%d%s", e.Type, e.Kv.Key, e.Kv.Value, e.Kv.ModRevision, prev))
			}
		case <-a.ctx.Done():
			a.Fatalf("only %v came", s)
		}
	}
	return strings.Join(s, ", ")
}

func (a *at) compact(rev int64) error {
	_, err := a.cli.Compact(a.ctx, rev)
	return err
}

func (a *at) txn(cmps []clientv3.Cmp, then, other []clientv3.Op) *clientv3.TxnResponse {
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

// rows are etcd's published API guarantees, each as one small run against the stand-in through the official client.
var rows = []struct {
	guarantee string
	run       func(a *at)
}{
	// Revisions.
	{"a new cluster is at revision 1", func(a *at) { a.eq(a.get("a").Header.Revision, int64(1)) }},
	{"each write is the next revision", func(a *at) { a.eq([]int64{a.put("a", "1"), a.put("b", "1"), a.put("a", "1")}, []int64{2, 3, 4}) }},
	{"a read moves no revision", func(a *at) { a.put("a", "1"); a.get("a"); a.eq(a.put("a", "2"), int64(3)) }},
	{"a deletion of nothing moves no revision", func(a *at) { a.eq(a.del("a").Header.Revision, int64(1)) }},
	{"a transaction that writes nothing moves no revision", func(a *at) { a.eq(a.txn(nil, ops{opGet("a")}, nil).Header.Revision, int64(1)) }},
	{"create revision, mod revision and version of a key", func(a *at) {
		a.put("a", "1")
		a.put("b", "1")
		a.put("a", "2")
		kv := a.get("a").Kvs[0]
		a.eq([]int64{kv.CreateRevision, kv.ModRevision, kv.Version}, []int64{2, 4, 2})
	}},
	{"a deletion ends a key's life: the next begins anew", func(a *at) {
		a.put("a", "1")
		a.del("a")
		a.put("a", "2")
		kv := a.get("a").Kvs[0]
		a.eq([]int64{kv.CreateRevision, kv.ModRevision, kv.Version}, []int64{4, 4, 1})
	}},
	// Reads.
	{"a key that is not there is no error", func(a *at) { r := a.get("a"); a.eq([]int64{r.Count, int64(len(r.Kvs))}, []int64{0, 0}) }},
	{"an empty key is refused", func(a *at) { _, err := a.cli.Get(a.ctx, ""); a.fails(err, rpctypes.ErrEmptyKey) }},
	{"a range holds its begin and not its end", func(a *at) {
		for _, k := range []string{"a", "b", "c"} {
			a.put(k, k)
		}
		a.eq(kvs(a.get("a", clientv3.WithRange("c"))), "a=a b=b")
	}},
	{"a prefix holds all keys that begin so", func(a *at) {
		for _, k := range []string{"p", "p/", "p/a", "p0", "q"} {
			a.put(k, "")
		}
		a.eq(kvs(a.get("p/", prefix())), "p/= p/a=")
	}},
	{"from a key on to the end", func(a *at) {
		a.put("a", "")
		a.put("b", "")
		a.put("c", "")
		a.eq(kvs(a.get("b", clientv3.WithFromKey())), "b= c=")
	}},
	{"all keys", func(a *at) { a.put("a", ""); a.put("z", ""); a.eq(kvs(a.get("", prefix())), "a= z=") }},
	{"a limit cuts, says so, and counts all", func(a *at) {
		for i := range 5 {
			a.put(fmt.Sprint("k", i), "")
		}
		r := a.get("k", prefix(), clientv3.WithLimit(2))
		a.eq([]any{kvs(r), r.More, r.Count}, []any{"k0= k1=", true, int64(5)})
	}},
	{"a limit that all fit in says nothing of more", func(a *at) { a.put("a", ""); a.eq(a.get("a", prefix(), clientv3.WithLimit(1)).More, false) }},
	{"count only", func(a *at) {
		a.put("a", "")
		a.put("b", "")
		r := a.get("a", clientv3.WithFromKey(), clientv3.WithCountOnly())
		a.eq([]int64{r.Count, int64(len(r.Kvs))}, []int64{2, 0})
	}},
	{"keys only", func(a *at) { a.put("a", "v"); a.eq(kvs(a.get("a", clientv3.WithKeysOnly())), "a=") }},
	{"answers are in the order of keys", func(a *at) {
		for _, k := range []string{"c", "a", "b"} {
			a.put(k, "")
		}
		a.eq(kvs(a.get("a", clientv3.WithFromKey())), "a= b= c=")
	}},
	{"sorted by value, from the last", func(a *at) {
		a.put("a", "1")
		a.put("b", "3")
		a.put("c", "2")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithSort(clientv3.SortByValue, clientv3.SortDescend))), "b=3 c=2 a=1")
	}},
	{"sorted by mod revision", func(a *at) {
		a.put("a", "")
		a.put("b", "")
		a.put("a", "")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithSort(clientv3.SortByModRevision, clientv3.SortAscend))), "b= a=")
	}},
	{"bounds on mod revisions", func(a *at) {
		a.put("a", "")
		a.put("b", "")
		a.put("c", "")
		a.eq(kvs(a.get("a", clientv3.WithFromKey(), clientv3.WithMinModRev(3), clientv3.WithMaxModRev(3))), "b=")
	}},
	{"a read at an old revision sees what stood then", func(a *at) {
		a.put("a", "1")
		a.put("a", "2")
		a.del("a")
		a.eq([]string{kvs(a.get("a", clientv3.WithRev(2))), kvs(a.get("a", clientv3.WithRev(3))), kvs(a.get("a", clientv3.WithRev(4)))}, []string{"a=1", "a=2", ""})
	}},
	{"the header of an old read is of now", func(a *at) {
		a.put("a", "1")
		a.put("a", "2")
		a.eq(a.get("a", clientv3.WithRev(2)).Header.Revision, int64(3))
	}},
	{"a read of a revision to come is refused", func(a *at) { _, err := a.cli.Get(a.ctx, "a", clientv3.WithRev(2)); a.fails(err, rpctypes.ErrFutureRev) }},
	// Writes.
	{"the previous value of a put", func(a *at) {
		a.put("a", "1")
		r, err := a.cli.Put(a.ctx, "a", "2", clientv3.WithPrevKV())
		a.ok(err)
		a.eq(string(r.PrevKv.Value), "1")
	}},
	{"a put that keeps the value", func(a *at) {
		a.put("a", "1")
		a.put("a", "", clientv3.WithIgnoreValue())
		r := a.get("a")
		a.eq([]any{kvs(r), r.Kvs[0].Version}, []any{"a=1", int64(2)})
	}},
	{"a put that keeps the value of nothing is refused", func(a *at) {
		_, err := a.cli.Put(a.ctx, "a", "", clientv3.WithIgnoreValue())
		a.fails(err, rpctypes.ErrKeyNotFound)
	}},
	{"a range is deleted as one revision, with what was there", func(a *at) {
		a.put("a1", "x")
		a.put("a2", "y")
		r := a.del("a", prefix(), clientv3.WithPrevKV())
		a.eq([]any{r.Deleted, len(r.PrevKvs), r.Header.Revision}, []any{int64(2), 2, int64(4)})
	}},
	{"a request that is too large is refused", func(a *at) {
		_, err := a.cli.Put(a.ctx, "a", strings.Repeat("x", 3<<19))
		a.fails(err, rpctypes.ErrRequestTooLarge)
	}},
	// Transactions.
	{"a transaction is one revision", func(a *at) {
		r := a.txn(nil, ops{opPut("a", "1"), opPut("b", "1"), opDel("c")}, nil)
		a.eq([]any{r.Header.Revision, a.get("a").Kvs[0].ModRevision, a.get("b").Kvs[0].ModRevision}, []any{int64(2), int64(2), int64(2)})
	}},
	{"a comparison chooses the branch", func(a *at) {
		a.put("a", "1")
		r := a.txn(cmps{clientv3.Compare(clientv3.Value("a"), "=", "2")}, ops{opPut("b", "then")}, ops{opPut("b", "else")})
		a.eq([]any{r.Succeeded, kvs(a.get("b"))}, []any{false, "b=else"})
	}},
	{"all comparisons have to hold", func(a *at) {
		a.put("a", "1")
		c := clientv3.Compare(clientv3.Value("a"), "=", "1")
		a.eq([]bool{a.txn(cmps{c, c}, nil, nil).Succeeded, a.txn(cmps{c, clientv3.Compare(clientv3.Value("a"), ">", "1")}, nil, nil).Succeeded}, []bool{true, false})
	}},
	{"create and mod revision, version and lease compare", func(a *at) {
		a.put("b", "")
		a.put("a", "1")
		a.put("a", "2")
		for _, c := range (cmps{clientv3.Compare(clientv3.CreateRevision("a"), "=", 3), clientv3.Compare(clientv3.ModRevision("a"), "=", 4),
			clientv3.Compare(clientv3.Version("a"), "=", 2), clientv3.Compare(clientv3.LeaseValue("a"), "=", 0), clientv3.Compare(clientv3.ModRevision("a"), "<", 5),
			clientv3.Compare(clientv3.ModRevision("a"), ">", 3), clientv3.Compare(clientv3.ModRevision("a"), "!=", 3), clientv3.Compare(clientv3.Value("a"), "<", "3")}) {
			a.eq(a.txn(cmps{c}, nil, nil).Succeeded, true)
		}
	}},
	{"a key that is not there compares as 0", func(a *at) {
		a.eq(a.txn(cmps{clientv3.Compare(clientv3.CreateRevision("a"), "=", 0), clientv3.Compare(clientv3.Version("a"), "=", 0)}, nil, nil).Succeeded, true)
	}},
	{"a key that is not there has no value", func(a *at) {
		a.eq(a.txn(cmps{clientv3.Compare(clientv3.Value("a"), "!=", "x")}, nil, nil).Succeeded, false)
	}},
	{"a comparison with a range holds for each key of it", func(a *at) {
		a.put("a1", "x")
		a.put("a2", "y")
		c := clientv3.Compare(clientv3.Value("a"), "=", "x").WithPrefix()
		was := a.txn(cmps{c}, nil, nil).Succeeded
		a.put("a2", "x")
		a.eq([]bool{was, a.txn(cmps{c}, nil, nil).Succeeded}, []bool{false, true})
	}},
	{"comparisons see the state before", func(a *at) {
		inner := opTxn(cmps{clientv3.Compare(clientv3.Version("a"), "=", 0)}, ops{opPut("b", "unseen")}, ops{opPut("b", "seen")})
		a.txn(nil, ops{opPut("a", "1"), inner}, nil)
		a.eq(kvs(a.get("b")), "b=unseen")
	}},
	{"a read in a transaction sees the writes before it", func(a *at) {
		r := a.txn(nil, ops{opGet("a"), opPut("a", "1"), opGet("a")}, nil)
		a.eq([]int64{r.Responses[0].GetResponseRange().Count, r.Responses[2].GetResponseRange().Count}, []int64{0, 1})
	}},
	{"transactions nest", func(a *at) {
		a.put("a", "1")
		in := opTxn(cmps{clientv3.Compare(clientv3.Value("a"), "=", "1")}, ops{opPut("b", "in")}, ops{opPut("b", "out")})
		r := a.txn(nil, ops{in, opPut("c", "1")}, nil)
		a.eq([]any{kvs(a.get("b")), r.Responses[0].GetResponseTxn().Succeeded, r.Header.Revision}, []any{"b=in", true, int64(3)})
	}},
	{"a key is put once in a transaction", func(a *at) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opPut("a", "2")).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"a key is not put and deleted in a transaction", func(a *at) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a1", "1"), opDel("a", prefix())).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"a key is put in both branches of an inner transaction", func(a *at) {
		a.txn(nil, ops{opTxn(nil, ops{opPut("a", "1")}, ops{opPut("a", "2")})}, nil)
		a.eq(kvs(a.get("a")), "a=1")
	}},
	{"a key is not put inside and outside", func(a *at) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "0"), opTxn(nil, ops{opPut("a", "1")}, nil)).Commit()
		a.fails(err, rpctypes.ErrDuplicateKey)
	}},
	{"128 operations at most", func(a *at) {
		var list ops
		for i := range 129 {
			list = append(list, opPut(fmt.Sprint(i), ""))
		}
		_, err := a.cli.Txn(a.ctx).Then(list...).Commit()
		a.fails(err, rpctypes.ErrTooManyOps)
		a.txn(nil, list[:128], nil)
	}},
	{"a transaction that is refused does nothing", func(a *at) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opPut("b", "1", clientv3.WithLease(77))).Commit()
		a.fails(err, rpctypes.ErrLeaseNotFound)
		a.eq(a.get("a").Header.Revision, int64(1))
		a.eq(a.get("a").Count, int64(0))
	}},
	{"a read of a revision to come fails the whole transaction", func(a *at) {
		_, err := a.cli.Txn(a.ctx).Then(opPut("a", "1"), opGet("a", clientv3.WithRev(9))).Commit()
		a.fails(err, rpctypes.ErrFutureRev)
		a.eq(a.get("a").Count, int64(0))
	}},
	// Compaction.
	{"reads below a compacted revision fail, at it they don't", func(a *at) {
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.ok(a.compact(3))
		_, err := a.cli.Get(a.ctx, "a", clientv3.WithRev(2))
		a.fails(err, rpctypes.ErrCompacted)
		a.eq(kvs(a.get("a", clientv3.WithRev(3))), "a=2")
	}},
	{"a revision is compacted once", func(a *at) { a.put("a", "1"); a.ok(a.compact(2)); a.fails(a.compact(2), rpctypes.ErrCompacted) }},
	{"a revision to come is not compacted", func(a *at) { a.fails(a.compact(2), rpctypes.ErrFutureRev) }},
	{"compaction moves no revision and takes no key", func(a *at) {
		a.put("a", "1")
		a.put("b", "1")
		a.put("b", "2")
		a.ok(a.compact(4))
		r := a.get("a", clientv3.WithFromKey())
		a.eq([]any{r.Header.Revision, kvs(r)}, []any{int64(4), "a=1 b=2"})
	}},
	{"a watch from below is ended with the compacted revision", func(a *at) {
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.ok(a.compact(4))
		r := <-a.cli.Watch(a.ctx, "a", clientv3.WithRev(2))
		a.eq([]any{r.CompactRevision, r.Canceled}, []any{int64(4), true})
		a.fails(r.Err(), rpctypes.ErrCompacted)
	}},
	{"a watch from the compacted revision has no gap", func(a *at) {
		a.put("a", "1")
		a.del("a")
		a.put("a", "3")
		a.ok(a.compact(3))
		a.eq(a.events(a.cli.Watch(a.ctx, "a", clientv3.WithRev(3)), 2), "DELETE a=@3, PUT a=3@4")
	}},
	// Watches.
	{"a watch tells each change once, in order, from its revision on", func(a *at) {
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
	{"a watch from now on tells nothing of before", func(a *at) {
		a.put("a", "1")
		w := a.cli.Watch(a.ctx, "a", clientv3.WithCreatedNotify())
		<-w
		a.put("a", "2")
		a.eq(a.events(w, 1), "PUT a=2@3")
	}},
	{"a transaction's changes come as one answer", func(a *at) {
		w := a.cli.Watch(a.ctx, "a", prefix(), clientv3.WithRev(2))
		a.txn(nil, ops{opPut("a1", "1"), opPut("b", "1"), opPut("a2", "1")}, nil)
		a.eq(len((<-w).Events), 2)
	}},
	{"a watch from a revision to come waits for it", func(a *at) {
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(4))
		a.put("a", "1")
		a.put("a", "2")
		a.put("a", "3")
		a.eq(a.events(w, 1), "PUT a=3@4")
	}},
	{"previous values", func(a *at) {
		w := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithPrevKV())
		a.put("a", "1")
		a.put("a", "2")
		a.del("a")
		a.eq(a.events(w, 3), "PUT a=1@2, PUT a=2@3<1, DELETE a=@4<2")
	}},
	{"filters leave out puts or deletions", func(a *at) {
		p, d := a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithFilterDelete()), a.cli.Watch(a.ctx, "a", clientv3.WithRev(2), clientv3.WithFilterPut())
		a.put("a", "1")
		a.del("a")
		a.put("a", "2")
		a.del("a")
		a.eq([]string{a.events(p, 2), a.events(d, 2)}, []string{"PUT a=1@2, PUT a=2@4", "DELETE a=@3, DELETE a=@5"})
	}},
	{"several watches on a stream", func(a *at) {
		x, y := a.cli.Watch(a.ctx, "x", clientv3.WithRev(2)), a.cli.Watch(a.ctx, "y", clientv3.WithRev(2))
		a.put("y", "1")
		a.put("x", "1")
		a.eq([]string{a.events(x, 1), a.events(y, 1)}, []string{"PUT x=1@3", "PUT y=1@2"})
		if n := a.c.Counts().Watches; n != 2 {
			a.Errorf("%d watches", n)
		}
	}},
	{"a watch that is ended leaves the others alone", func(a *at) {
		ctx, cancel := context.WithCancel(a.ctx)
		x, y := a.cli.Watch(ctx, "x", clientv3.WithCreatedNotify()), a.cli.Watch(a.ctx, "y", clientv3.WithRev(2))
		<-x
		cancel()
		for range x {
		}
		a.put("y", "1")
		a.eq(a.events(y, 1), "PUT y=1@2")
	}},
	{"progress on request is told behind all changes up to it", func(a *at) {
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
	{"a message that is too large comes in parts to whoever takes them, and is whole", func(a *at) {
		w := a.cli.Watch(a.ctx, "a", prefix(), clientv3.WithRev(2), clientv3.WithFragment())
		var list ops
		for i := range 20 {
			list = append(list, opPut(fmt.Sprintf("a%02d", i), strings.Repeat("x", 100)))
		}
		a.txn(nil, list, nil)
		a.eq(len((<-w).Events), 20)
	}},
	// Leases.
	{"a lease's keys go with it, as one revision", func(a *at) {
		l, err := a.cli.Grant(a.ctx, 100)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.put("b", "1", clientv3.WithLease(l.ID))
		w := a.cli.Watch(a.ctx, "", prefix(), clientv3.WithRev(4))
		_, err = a.cli.Revoke(a.ctx, l.ID)
		a.ok(err)
		a.eq(a.events(w, 2), "DELETE a=@4, DELETE b=@4")
	}},
	{"a lease ends when its time is over", func(a *at) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.c.Jump(999 * time.Second)
		a.eq(a.get("a").Count, int64(1))
		a.c.Jump(2 * time.Second)
		a.eq(a.get("a").Count, int64(0))
	}},
	{"a lease that is kept alive has its whole time again", func(a *at) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.c.Jump(999 * time.Second)
		k, err := a.cli.KeepAliveOnce(a.ctx, l.ID)
		a.ok(err)
		a.c.Jump(999 * time.Second)
		a.eq([]int64{k.TTL, a.get("a").Count}, []int64{1000, 1})
	}},
	{"a put without the lease takes the key from it", func(a *at) {
		l, err := a.cli.Grant(a.ctx, 1000)
		a.ok(err)
		a.put("a", "1", clientv3.WithLease(l.ID))
		a.put("a", "2")
		_, err = a.cli.Revoke(a.ctx, l.ID)
		a.ok(err)
		a.eq(kvs(a.get("a")), "a=2")
	}},
	{"what is left of a lease, and its keys", func(a *at) {
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
	{"a lease that is not there", func(a *at) {
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
	// The rest.
	{"status names member, leader, term and revision", func(a *at) {
		a.put("a", "1")
		r, err := a.cli.Status(a.ctx, a.c.Addr())
		a.ok(err)
		a.eq([]any{r.Leader, r.Header.MemberId, r.RaftTerm, r.Header.Revision}, []any{uint64(1), uint64(1), uint64(2), int64(2)})
	}},
	{"the member list has the clients' addresses", func(a *at) {
		a.ok(a.cli.Sync(a.ctx))
		a.eq(a.cli.Endpoints(), []string{"http://" + a.c.Addr()})
	}},
	{"what it does not do is said to be unimplemented", func(a *at) {
		_, err := a.cli.UserList(a.ctx)
		if err == nil || !strings.Contains(err.Error(), "Unimplemented") {
			a.Error(err)
		}
	}},
}

// Guards the stand-in itself: what it is taken for must hold, or what is proved against it is not.
func TestConformance(t *testing.T) {
	if len(rows) < 60 {
		t.Errorf("only %d rows", len(rows))
	}
	for _, r := range rows {
		t.Run(strings.ReplaceAll(r.guarantee, " ", "_"), func(t *testing.T) {
			t.Parallel()
			r.run(open(t, Config{FragmentBytes: 500}))
		})
	}
}
