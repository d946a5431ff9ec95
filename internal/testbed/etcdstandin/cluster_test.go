package etcdstandin

import (
	"context"
	"crypto/tls"

	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"eiderspread/internal/testbed/certs"
)

// openThree starts a cluster of three members and returns a client for each of them.
func openThree(t *testing.T) (*clusterTest, []*clientv3.Client) {
	a := open(t, Config{Members: 3, Election: 20 * time.Millisecond, RequestTimeout: 100 * time.Millisecond})
	var list []*clientv3.Client
	for _, addr := range a.c.Addrs() {
		list = append(list, client(t, clientv3.Config{Endpoints: []string{addr}, MaxUnaryRetries: 1}))
	}
	return a, list
}

// Guards a member in a minority, here the isolated leader: linearizable reads and writes fail, serializable reads return old data,
// watches receive no events, and watches that require a leader end. The majority continues under another leader.
func TestMinority(t *testing.T) {
	a, m := openThree(t)
	a.put("a", "1")
	plain := m[0].Watch(a.ctx, "a", clientv3.WithRev(2))
	withLeader := m[0].Watch(clientv3.WithRequireLeader(a.ctx), "a", clientv3.WithRev(2))
	a.events(plain, 1)
	a.events(withLeader, 1)
	a.c.Isolate(0, true) // the leader
	_, err := m[0].Get(a.ctx, "a")
	a.fails(err, rpctypes.ErrTimeout)
	_, err = m[0].Put(a.ctx, "a", "lost")
	a.fails(err, rpctypes.ErrTimeout)
	if r := <-withLeader; r.Err() == nil {
		t.Errorf("watch that requires a leader: got %+v, want error %v", r, rpctypes.ErrNoLeader)
	} else {
		a.fails(r.Err(), rpctypes.ErrNoLeader)
	}
	r, err := m[1].Put(a.ctx, "a", "2")
	a.ok(err)
	a.eq([]any{r.Header.Revision, r.Header.RaftTerm}, []any{int64(3), uint64(3)})
	old, err := m[0].Get(a.ctx, "a", clientv3.WithSerializable())
	a.ok(err)
	a.eq([]any{kvs(old), old.Header.Revision, old.Header.RaftTerm}, []any{"a=1", int64(2), uint64(2)})
	a.ok(m[0].RequestProgress(a.ctx)) // the isolated member still reports progress at its old revision
	if r := <-plain; !r.IsProgressNotify() || r.Header.Revision != 2 {
		t.Errorf("got %+v, want a progress notification at revision 2", r)
	}
	a.c.Isolate(0, false)
	a.eq(a.events(plain, 1), "PUT a=2@3")
	now, err := m[0].Get(a.ctx, "a")
	a.ok(err)
	a.eq(kvs(now), "a=2")
}

// Guards a cluster that loses its majority: writes fail, and succeed again once a majority is back.
func TestNoMajority(t *testing.T) {
	a, m := openThree(t)
	a.put("a", "1")
	a.c.StopMember(1)
	a.c.StopMember(2)
	_, err := m[0].Put(a.ctx, "a", "2")
	a.fails(err, rpctypes.ErrTimeout)
	a.ok(a.c.StartMember(1))
	for {
		if _, err = m[0].Put(a.ctx, "a", "3"); err == nil {
			break
		}
		a.fails(err, rpctypes.ErrTimeout)
	}
	a.eq(a.get("a").Header.Revision, int64(3))
}

// Guards a lagging member: linearizable reads fail until it has caught up, serializable reads return old data.
func TestLag(t *testing.T) {
	a, m := openThree(t)
	a.c.Lag(2, true)
	a.put("a", "1")
	old, err := m[2].Get(a.ctx, "a", clientv3.WithSerializable())
	a.ok(err)
	a.eq(old.Count, int64(0))
	_, err = m[2].Get(a.ctx, "a")
	a.fails(err, rpctypes.ErrTimeout)
	a.ok(func() error { _, err := a.cli.Compact(a.ctx, 2); return err }())
	a.c.Lag(2, false)
	now, err := m[2].Get(a.ctx, "a")
	a.ok(err)
	a.eq(kvs(now), "a=1")
}

// Guards ServeStale: the member answers linearizable reads, too, from the older revision and term.
func TestServeStale(t *testing.T) {
	a, m := openThree(t)
	a.put("a", "1")
	a.put("a", "2")
	a.c.ServeStale(1, 2, 1)
	old, err := m[1].Get(a.ctx, "a")
	a.ok(err)
	a.eq([]any{kvs(old), old.Header.Revision, old.Header.RaftTerm}, []any{"a=1", int64(2), uint64(1)})
	a.c.ServeStale(1, 0, 0)
	now, err := m[1].Get(a.ctx, "a")
	a.ok(err)
	a.eq([]any{kvs(now), now.Header.RaftTerm}, []any{"a=2", uint64(2)})
}

// Guards a leader change: the term increases, no write is lost, and leases are renewed for their full TTL.
func TestLeaderChange(t *testing.T) {
	a, m := openThree(t)
	l, err := a.cli.Grant(a.ctx, 1000)
	a.ok(err)
	a.put("a", "1", clientv3.WithLease(l.ID))
	a.c.AdvanceClock(999 * time.Second)
	was := a.c.Counts().LeaderChanges
	a.c.ChangeLeader()
	for a.c.Counts().LeaderChanges == was {
		time.Sleep(time.Millisecond)
	}
	r, err := m[2].Get(a.ctx, "a")
	a.ok(err)
	a.eq(r.Header.RaftTerm, uint64(3))
	a.c.AdvanceClock(999 * time.Second)
	a.eq(a.get("a").Count, int64(1))
	st, err := m[2].Status(a.ctx, a.c.Addrs()[2])
	a.ok(err)
	if st.Leader == 1 {
		t.Error("got leader 1 after the change, want another member")
	}
}

// Guards the file: a restart restores all commits and drops an incomplete last line; any other invalid line is an error.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "etcd.log")
	a := open(t, Config{File: path})
	a.put("a", "1")
	a.put("b", "1")
	a.txn(nil, ops{opPut("a", "2"), opDel("b")}, nil)
	a.ok(a.compact(3))
	a.ok(a.c.Close())
	text, err := os.ReadFile(path)
	a.ok(err)
	a.ok(os.WriteFile(path, append(text, `{"rev":5,"wri`...), 0o600))
	b := open(t, Config{File: path})
	r := b.get("", prefix())
	b.eq([]any{kvs(r), r.Header.Revision, r.Kvs[0].CreateRevision, r.Kvs[0].Version}, []any{"a=2", int64(4), int64(2), int64(2)})
	_, err = b.cli.Get(b.ctx, "a", clientv3.WithRev(2))
	b.fails(err, rpctypes.ErrCompacted)
	b.eq(b.put("c", "1"), int64(5))
	b.ok(b.c.Close())
	c := open(t, Config{File: path})
	c.eq(kvs(c.get("", prefix())), "a=2 c=1")
	c.ok(c.c.Close())
	a.ok(os.WriteFile(path, []byte("no\n"+string(text)), 0o600))
	if _, err := Open(Config{File: path}); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("got error %v, want one about line 1", err)
	}
}

// Guards users and tokens: calls without a token fail, and the client replaces an expired or dropped token, also for a watch.
func TestTokens(t *testing.T) {
	c, err := Open(Config{Users: map[string]string{"u": "secret"}, TokenTTL: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := &clusterTest{t, c, client(t, clientv3.Config{Endpoints: c.Addrs(), Username: "u", Password: "secret"}), ctx}
	a.put("a", "1")
	_, err = client(t, clientv3.Config{Endpoints: c.Addrs()}).Get(ctx, "a")
	a.fails(err, rpctypes.ErrUserEmpty)
	if _, err := clientv3.New(clientv3.Config{Endpoints: c.Addrs(), Username: "u", Password: "wrong", DialTimeout: testTimeout}); err == nil {
		t.Error("a wrong password was accepted")
	}
	c.AdvanceClock(2 * time.Minute)
	a.put("a", "2")
	c.InvalidateTokens()
	w := a.cli.Watch(ctx, "a", clientv3.WithRev(2))
	a.eq(a.events(w, 2), "PUT a=1@2, PUT a=2@3")
	_, err = client(t, clientv3.Config{Endpoints: c.Addrs()}).Grant(ctx, 5)
	a.fails(err, rpctypes.ErrUserEmpty)
	open := open(t, Config{})
	_, err = open.cli.Authenticate(ctx, "u", "secret")
	open.fails(err, rpctypes.ErrAuthNotEnabled)
}

// Guards TLS: a client without a certificate gets no response.
func TestTLS(t *testing.T) {
	ca, err := certs.New(t.TempDir(), "lab")
	if err != nil {
		t.Fatal(err)
	}
	config := func(name string) *tls.Config {
		id, err := ca.Issue(name)
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := id.Config()
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	mine := config("membershipagent")
	c, err := Open(Config{TLS: config("etcd")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a := &clusterTest{t, c, client(t, clientv3.Config{Endpoints: []string{"https://" + c.Addr()}, TLS: mine}), ctx}
	a.eq(a.put("a", "1"), int64(2))
	bare := client(t, clientv3.Config{Endpoints: []string{"https://" + c.Addr()}, TLS: &tls.Config{RootCAs: mine.RootCAs}})
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	if _, err := bare.Get(short, "a"); err == nil {
		t.Error("a client without a certificate got a response")
	}
}

// Guards a stream that ends in the middle of a fragmented message: the client resumes after its last complete revision, misses no
// event and delivers no partial revision.
func TestStreamEndsBetweenFragments(t *testing.T) {
	a := open(t, Config{FragmentBytes: 300})
	broken := status.Error(codes.Unavailable, "the connection broke")
	parts := 0
	a.c.SetScript(Script{OnSend: func(r *pb.WatchResponse) error {
		if parts++; parts == 3 {
			return broken
		}
		return nil
	}})
	w := a.cli.Watch(a.ctx, "a", prefix(), clientv3.WithRev(2), clientv3.WithFragment())
	var list ops
	for i := range 30 {
		list = append(list, opPut(fmt.Sprintf("a%02d", i), strings.Repeat("x", 50)))
	}
	a.txn(nil, list, nil)
	if r := <-w; len(r.Events) != 30 || r.Err() != nil {
		t.Errorf("got %d events, %v, want 30 events of one revision", len(r.Events), r.Err())
	}
	if parts < 5 {
		t.Errorf("got %d fragments, want at least 5: the stream did not end in the middle of a message", parts)
	}
}
