// Package etcdstandin is a stand-in for an etcd cluster, written from etcd's published API. All members share one store
// (package store) and listen on loopback addresses; each member has its own applied revision. Besides the behavior that etcd
// guarantees, tests can inject faults that break the guarantees or delay clients: leader changes, members that lag, are
// isolated in a minority or serve stale data, compacted history, a restored or wiped state, expired tokens.
// docs/etcd-standin.md is the design note.
package etcdstandin

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"eiderspread/internal/testbed/etcdstandin/store"
)

// Config configures a Cluster. Zero values select the defaults.
type Config struct {
	Listen         []string          // addresses of the members; empty: Members free ports on loopback
	Members        int               // number of members if Listen is empty; default 1
	File           string            // append-only file of the commits; empty: state in memory only
	TLS            *tls.Config       // for client connections; nil: no TLS
	Users          map[string]string // passwords by user name; empty: no authentication
	TokenTTL       time.Duration     // default 5 minutes
	Election       time.Duration     // time without a leader until the next one is elected; default 200 ms
	RequestTimeout time.Duration     // of requests that need a leader; default 2 s
	BatchRevs      int               // maximum revisions in one message to a watch that catches up; default 1000
	FragmentBytes  int               // maximum size of a message to a watch that accepts fragments; default 1.5 MiB
	Progress       time.Duration     // interval of progress notifications to watches that request them; default 10 minutes
}

// Head identifies the state of a cluster that a response was served from.
type Head struct {
	Cluster  uint64
	Revision int64
	Term     uint64
}

// KV is a key with its current value.
type KV struct {
	Key, Value string
	Revision   int64 // of its last change
}

// Script injects faults into the reads and watches of a Cluster. The Cluster calls the functions without holding its lock.
type Script struct {
	Silent    bool                                     // suppresses all progress notifications
	AfterRead func()                                   // called after each read of keys
	OnWatch   func(w pb.Watch_WatchServer, from int64) // called after a watch is created, before its events; from is its first revision
	OnSend    func(r *pb.WatchResponse) error          // called before each message with events; an error ends the stream
}

// Cluster is a cluster of one or more members. It is safe for concurrent use.
type Cluster struct {
	cfg Config

	mu            sync.Mutex
	id            uint64
	term          uint64
	store         *store.Store
	members       []*member
	leader        int           // index into members; -1: none
	elections     int           // incremented by each election, so that the timer of an earlier election has no effect
	changed       chan struct{} // closed and replaced by applyCommits
	start         time.Time
	skew          time.Duration // offset of the cluster's clock, see AdvanceClock
	expiryTimer   *time.Timer
	tokens        map[string]token // at most maxTokens; expire removes expired ones
	lastToken     int
	file          *os.File
	fileErr       error
	reads         int
	watches       int
	writes        int
	leaderChanges int
	script        Script
}

type token struct {
	user      string
	expiresAt time.Duration
}

// member is one endpoint of a cluster. Cluster.mu guards its fields.
type member struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	pb.UnimplementedAuthServer
	pb.UnimplementedMaintenanceServer
	pb.UnimplementedClusterServer

	cluster     *Cluster
	number      int
	addr        string
	srv         *grpc.Server // nil while the member is stopped
	cut         bool         // isolated from the other members
	lagging     bool         // does not apply commits
	servesStale bool         // answers from an old view as if it were up to date
	lostAt      time.Time    // when it lost its leader; zero while it has one
	term        uint64
	view        store.View
}

// New starts an empty cluster of one member on a free loopback port.
func New() (*Cluster, error) { return Open(Config{}) }

// Open starts a cluster. If cfg.File is set, it first replays the commits in that file.
func Open(cfg Config) (*Cluster, error) {
	if len(cfg.Listen) == 0 {
		for range max(cfg.Members, 1) {
			cfg.Listen = append(cfg.Listen, "127.0.0.1:0")
		}
	}
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&cfg.TokenTTL, 5*time.Minute)
	setDefault(&cfg.Election, 200*time.Millisecond)
	setDefault(&cfg.RequestTimeout, 2*time.Second)
	setDefault(&cfg.Progress, 10*time.Minute)
	if cfg.BatchRevs == 0 {
		cfg.BatchRevs = 1000
	}
	if cfg.FragmentBytes == 0 {
		cfg.FragmentBytes = store.MaxRequest
	}
	c := &Cluster{cfg: cfg, id: 1, term: 2, leader: -1, changed: make(chan struct{}), start: time.Now(), tokens: map[string]token{}}
	c.store = store.New(c.appendRecord)
	if cfg.File != "" {
		if err := c.load(); err != nil {
			return nil, err
		}
	}
	c.expiryTimer = time.AfterFunc(time.Hour, c.expire)
	for i, addr := range cfg.Listen {
		c.members = append(c.members, &member{cluster: c, number: i, addr: addr})
	}
	if err := c.Start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// now returns the cluster's time since its start, including the offset set by AdvanceClock. The caller holds c.mu.
func (c *Cluster) now() time.Duration { return time.Since(c.start) + c.skew }

// AdvanceClock moves the cluster's clock by d, which may be negative. Leases and tokens expire by this clock.
func (c *Cluster) AdvanceClock(d time.Duration) {
	c.mu.Lock()
	c.skew += d
	c.mu.Unlock()
	c.expire()
}

// expire removes expired leases and tokens, and resets expiryTimer to the next lease expiry, or to an hour at most.
func (c *Cluster) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.store.View()
	next, ok := c.store.Expire(c.now())
	if c.store.View() != before {
		c.applyCommits()
	}
	for id, t := range c.tokens {
		if t.expiresAt <= c.now() {
			delete(c.tokens, id)
		}
	}
	if !ok {
		next = c.now() + time.Hour
	}
	c.expiryTimer.Reset(min(max(next-c.now(), time.Millisecond), time.Hour))
}

// ---- the file ----

// appendRecord writes a commit to the file before the client is answered. The caller holds c.mu.
func (c *Cluster) appendRecord(r store.Record) {
	if c.file == nil {
		return
	}
	text, err := json.Marshal(r)
	if err == nil {
		_, err = c.file.Write(append(text, '\n'))
	}
	if err == nil {
		err = c.file.Sync()
	}
	if err != nil && c.fileErr == nil {
		c.fileErr = fmt.Errorf("%s: %w", c.cfg.File, err)
	}
}

// Err returns the first error in writing the file, or nil. Records that cannot be written are kept in memory only.
func (c *Cluster) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fileErr
}

// load replays the file. It truncates an incomplete last line; any other invalid line is an error.
func (c *Cluster) load() error {
	f, err := os.OpenFile(c.cfg.File, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	in, validBytes, n := bufio.NewReader(f), int64(0), 0
	for {
		line, err := in.ReadBytes('\n')
		if err != nil { // end of the file; line is empty or incomplete
			break
		}
		n++
		var r store.Record
		if err := json.Unmarshal(line, &r); err != nil {
			f.Close()
			return fmt.Errorf("%s, line %d: %w", c.cfg.File, n, err)
		}
		c.store.Replay(c.now(), r)
		validBytes += int64(len(line))
	}
	if err := f.Truncate(validBytes); err != nil {
		f.Close()
		return err
	}
	if _, err := f.Seek(validBytes, 0); err != nil {
		f.Close()
		return err
	}
	c.file = f
	return nil
}

// ---- members ----

// Addr returns the address of the first member. It does not change in a restart.
func (c *Cluster) Addr() string { return c.Addrs()[0] }

// Addrs returns the addresses of all members.
func (c *Cluster) Addrs() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		list = append(list, m.addr)
	}
	return list
}

// Start starts all members that are stopped. The state is the one before the stop.
func (c *Cluster) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if err := c.startMember(m); err != nil {
			return err
		}
	}
	if c.elections == 0 || len(c.members) == 1 { // a new cluster, or one of a single member, has a leader immediately
		c.setLeader(0)
	} else {
		c.checkLeader()
	}
	return nil
}

// StartMember starts member i if it is stopped.
func (c *Cluster) StartMember(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.startMember(c.members[i]); err != nil {
		return err
	}
	c.checkLeader()
	return nil
}

func (c *Cluster) startMember(m *member) error {
	if m.srv != nil {
		return nil
	}
	var l net.Listener
	var err error
	for range 200 { // an address that was just closed may still be in use for a moment
		if l, err = net.Listen("tcp", m.addr); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.addr = l.Addr().String()
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(store.MaxRequest + 512<<10), grpc.UnaryInterceptor(m.unary), grpc.StreamInterceptor(m.stream)}
	if c.cfg.TLS != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(c.cfg.TLS)))
	}
	m.srv = grpc.NewServer(opts...)
	pb.RegisterKVServer(m.srv, m)
	pb.RegisterWatchServer(m.srv, m)
	pb.RegisterLeaseServer(m.srv, m)
	pb.RegisterAuthServer(m.srv, m)
	pb.RegisterMaintenanceServer(m.srv, m)
	pb.RegisterClusterServer(m.srv, m)
	m.lostAt = time.Now()
	go func() { _ = m.srv.Serve(l) }()
	return nil
}

// Stop stops all members abruptly, as a crash does. The state is kept.
func (c *Cluster) Stop() {
	for i := range c.members {
		c.StopMember(i)
	}
}

// Close stops the cluster and closes its file. It returns write errors of the file, see Err.
func (c *Cluster) Close() error {
	c.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiryTimer.Stop()
	if c.file == nil {
		return c.fileErr
	}
	return errors.Join(c.fileErr, c.file.Close())
}

// StopMember stops member i abruptly, as a crash does.
func (c *Cluster) StopMember(i int) {
	c.mu.Lock()
	m := c.members[i]
	srv := m.srv
	m.srv = nil
	if srv != nil {
		c.checkLeader()
	}
	c.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Isolate isolates member i from the other members, or ends the isolation. Clients still reach the member.
func (c *Cluster) Isolate(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].cut = on
	c.checkLeader()
}

// Lag stops member i from applying commits, or lets it catch up.
func (c *Cluster) Lag(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].lagging = on
	c.applyCommits()
}

// ServeStale makes member i answer all reads, linearizable ones included, from an older revision and term as if they were
// current. A revision of 0 ends this.
func (c *Cluster) ServeStale(i int, rev int64, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[i]
	m.servesStale = rev > 0
	if m.servesStale {
		m.view.Revision, m.view.Compacted, m.term = rev, min(m.view.Compacted, rev), term
	}
	c.applyCommits()
}

// ChangeLeader makes the leader step down. After Config.Election without a leader, another member is elected if possible.
func (c *Cluster) ChangeLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.leader
	c.leader = -1
	c.scheduleElection(previous)
}

// inMajority reports whether the member runs and reaches a majority of the members. The caller holds Cluster.mu.
func (m *member) inMajority() bool { return m.srv != nil && !m.cut && m.cluster.majority() }

func (c *Cluster) majority() bool {
	n := 0
	for _, m := range c.members {
		if m.srv != nil && !m.cut {
			n++
		}
	}
	return n > len(c.members)/2
}

// checkLeader keeps the leader while it is in the majority, and otherwise schedules an election. The caller holds c.mu.
func (c *Cluster) checkLeader() {
	if c.leader >= 0 && c.members[c.leader].inMajority() {
		c.applyCommits()
		return
	}
	c.leader = -1
	c.scheduleElection(-1)
}

// scheduleElection elects a leader after Config.Election, and elects member exclude only if no other member is eligible. The
// caller holds c.mu.
func (c *Cluster) scheduleElection(exclude int) {
	now := time.Now()
	for _, m := range c.members {
		if m.lostAt.IsZero() {
			m.lostAt = now
		}
	}
	c.applyCommits()
	c.elections++
	election := c.elections
	time.AfterFunc(c.cfg.Election, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.elections != election || c.leader >= 0 {
			return
		}
		candidate := -1
		for k := range c.members {
			i := (k + election) % len(c.members)
			if c.members[i].inMajority() && (candidate < 0 || candidate == exclude) {
				candidate = i
			}
		}
		if candidate >= 0 {
			c.setLeader(candidate)
		}
	})
}

// setLeader makes member i the leader of a new term and renews all leases; the first leader keeps the initial term. The caller
// holds c.mu.
func (c *Cluster) setLeader(i int) {
	if c.elections > 0 {
		c.term++
		c.leaderChanges++
		c.store.Extend(c.now())
	}
	c.elections++
	c.leader = i
	c.applyCommits()
}

// hasLeader reports whether the cluster has a leader that the member reaches. The caller holds Cluster.mu.
func (m *member) hasLeader() bool { return m.cluster.leader >= 0 && m.inMajority() }

// applyCommits updates the term of every member that has a leader, and its view unless it lags. Members that serve stale data
// keep both. It then trims the history that no member needs and wakes all waiters. The caller holds c.mu.
func (c *Cluster) applyCommits() {
	floor := c.store.View().Compacted
	for _, m := range c.members {
		if m.hasLeader() {
			m.lostAt = time.Time{}
			if !m.servesStale {
				m.term = c.term
				if !m.lagging {
					m.view = c.store.View()
				}
			}
		} else if m.lostAt.IsZero() {
			m.lostAt = time.Now()
		}
		floor = min(floor, max(m.view.Compacted, 1))
	}
	c.store.Trim(floor)
	close(c.changed)
	c.changed = make(chan struct{})
}

// wait blocks until ok returns true; ok is called with Cluster.mu held. On success wait returns nil with Cluster.mu held. On
// an error it returns without the lock: timeoutErr after Config.RequestTimeout, or the error of ctx.
func (m *member) wait(ctx context.Context, ok func() bool, timeoutErr error) error {
	c := m.cluster
	timeout := time.NewTimer(c.cfg.RequestTimeout)
	defer timeout.Stop()
	c.mu.Lock()
	for !ok() {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return timeoutErr
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
	}
	return nil
}

// ---- state access for tests ----

// Wipe replaces this cluster by a new, empty one with another cluster ID. Call it while all members are stopped, as an operator would.
func (c *Cluster) Wipe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restore(Head{Cluster: c.id + 1, Revision: 1, Term: 2}, nil)
}

// Restore replaces the state, without any history before h.Revision. It does not write to the file.
func (c *Cluster) Restore(h Head, kvs ...KV) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restore(h, kvs)
}

func (c *Cluster) restore(h Head, kvs []KV) {
	var list []*mvccpb.KeyValue
	for _, kv := range kvs {
		list = append(list, &mvccpb.KeyValue{Key: []byte(kv.Key), Value: []byte(kv.Value), CreateRevision: kv.Revision, ModRevision: kv.Revision, Version: 1})
	}
	c.id, c.term = h.Cluster, h.Term
	c.store.Reset(h.Revision, list)
	for _, m := range c.members {
		m.view, m.term, m.servesStale = c.store.View(), h.Term, false
	}
	c.applyCommits()
}

// SetScript replaces the script of faults.
func (c *Cluster) SetScript(s Script) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.script = s
}

// Counts holds the number of reads of keys, watches and writes by clients, and of leader changes.
type Counts struct {
	Reads, Watches, Writes, LeaderChanges int
}

// Counts returns the counters.
func (c *Cluster) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{c.reads, c.watches, c.writes, c.leaderChanges}
}

// Reads returns the number of reads of keys, without count-only reads.
func (c *Cluster) Reads() int { return c.Counts().Reads }

// Compacted returns the revision of the last compaction. Reads below it fail.
func (c *Cluster) Compacted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.View().Compacted
}

// Head returns the cluster ID and the latest revision and term.
func (c *Cluster) Head() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Head{c.id, c.store.View().Revision, c.term}
}

// Set writes a key, also without a leader.
func (c *Cluster) Set(key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.store.Put(&pb.PutRequest{Key: []byte(key), Value: []byte(value)})
	c.applyCommits()
}

// Delete removes a key, also without a leader.
func (c *Cluster) Delete(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.store.Delete(&pb.DeleteRangeRequest{Key: []byte(key)})
	c.applyCommits()
}

// Do writes all keys in one revision, also without a leader. An empty value deletes the key.
func (c *Cluster) Do(values map[string]string) {
	var ops []*pb.RequestOp
	for k, v := range values {
		if v == "" {
			ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(k)}}})
		} else {
			ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(k), Value: []byte(v)}}})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(ops) > 0 { // nested transactions, as each list holds MaxTxnOps operations (128) at most
		var outer []*pb.RequestOp
		for len(ops) > 0 && len(outer) < store.MaxTxnOps {
			n := min(len(ops), store.MaxTxnOps)
			outer = append(outer, &pb.RequestOp{Request: &pb.RequestOp_RequestTxn{RequestTxn: &pb.TxnRequest{Success: ops[:n]}}})
			ops = ops[n:]
		}
		_, _ = c.store.Txn(&pb.TxnRequest{Success: outer})
	}
	c.applyCommits()
}

// CompactAll compacts at the latest revision.
func (c *Cluster) CompactAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.store.Compact(c.store.View().Revision)
	c.applyCommits()
}

// State returns all keys in order, and their revision.
func (c *Cluster) State() ([]KV, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	got, err := c.store.Range(&pb.RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}}, c.store.View())
	if err != nil {
		return nil, 0
	}
	var list []KV
	for _, kv := range got.Kvs {
		list = append(list, KV{string(kv.Key), string(kv.Value), kv.ModRevision})
	}
	return list, c.store.View().Revision
}
