// Package etcdstandin is the project's own stand-in for an etcd cluster, written from the published API: one state (package store)
// behind several members on loopback addresses, each with its own point in the history that it has applied. Beside what a
// cluster promises it does on command what breaks those promises or tries a client's patience: leaders change, members lag,
// are cut off in a minority or lie, history is compacted, the state is put back or wiped, tokens run out.
// docs/etcd-standin.md is its design note.
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

// Config says what cluster to make. Zero values stand for the defaults.
type Config struct {
	Listen         []string          // addresses of the members; none: Members of its own choice on loopback
	Members        int               // 1 if 0 and Listen is empty
	File           string            // an append-only file that keeps what is committed; empty: memory alone
	TLS            *tls.Config       // for clients
	Users          map[string]string // passwords by user; empty: no authentication
	TokenTTL       time.Duration     // 5 minutes
	Election       time.Duration     // without a leader before another is elected, 200 ms
	RequestTimeout time.Duration     // of what needs a leader, 2 s
	BatchRevs      int               // revisions in one message to a watch that catches up, 1000
	FragmentBytes  int               // of a message to a watch that takes fragments, 1.5 MiB
	Progress       time.Duration     // how often watches that want it are told how far they are, 10 minutes
}

// Head tells which state of which cluster an answer is of.
type Head struct {
	Cluster  uint64
	Revision int64
	Term     uint64
}

// KV is a key as it stands.
type KV struct {
	Key, Value string
	Revision   int64 // of its last change
}

// Script makes a Cluster do what a cluster would not. Its functions run without locks.
type Script struct {
	Silent    bool                                     // no progress is told
	AfterRead func()                                   // after each read of keys
	OnWatch   func(w pb.Watch_WatchServer, from int64) // after a watch's creation, before its events
	OnSend    func(r *pb.WatchResponse) error          // before each message of events; an error breaks the stream
}

// Cluster is a cluster of one or more members. Its methods may be called by any goroutine.
type Cluster struct {
	cfg Config

	mu        sync.Mutex
	id        uint64
	term      uint64
	store     *store.Store
	members   []*member
	leader    int // -1: none
	elections int // outdates timers
	changed   chan struct{}
	start     time.Time
	skew      time.Duration // of the cluster's clock
	expiry    *time.Timer
	tokens    map[string]token // bounded by sweep
	lastToken int
	file      *os.File
	fileErr   error
	reads     int
	watches   int
	writes    int
	changes   int // of leaders
	script    Script
}

type token struct {
	user string
	ends time.Duration
}

// member is one endpoint. Its fields belong to Cluster.mu.
type member struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	pb.UnimplementedAuthServer
	pb.UnimplementedMaintenanceServer
	pb.UnimplementedClusterServer

	cluster *Cluster
	number  int
	addr    string
	srv     *grpc.Server // nil: down
	cut     bool         // from the other members
	lags    bool         // applies nothing
	lies    bool         // answers as if it were up to date
	lostAt  time.Time    // since when it has no leader
	term    uint64
	view    store.View
}

// New starts a cluster of one member without keys at a loopback address of its own.
func New() (*Cluster, error) { return Open(Config{}) }

// Open starts a cluster, with what its file holds if it names one.
func Open(cfg Config) (*Cluster, error) {
	if len(cfg.Listen) == 0 {
		for range max(cfg.Members, 1) {
			cfg.Listen = append(cfg.Listen, "127.0.0.1:0")
		}
	}
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&cfg.TokenTTL, 5*time.Minute)
	def(&cfg.Election, 200*time.Millisecond)
	def(&cfg.RequestTimeout, 2*time.Second)
	def(&cfg.Progress, 10*time.Minute)
	if cfg.BatchRevs == 0 {
		cfg.BatchRevs = 1000
	}
	if cfg.FragmentBytes == 0 {
		cfg.FragmentBytes = store.MaxRequest
	}
	c := &Cluster{cfg: cfg, id: 1, term: 2, leader: -1, changed: make(chan struct{}), start: time.Now(), tokens: map[string]token{}}
	c.store = store.New(c.keep)
	if cfg.File != "" {
		if err := c.load(); err != nil {
			return nil, err
		}
	}
	c.expiry = time.AfterFunc(time.Hour, c.expire)
	for i, addr := range cfg.Listen {
		c.members = append(c.members, &member{cluster: c, number: i, addr: addr})
	}
	if err := c.Start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// now is the cluster's clock; c.mu is held.
func (c *Cluster) now() time.Duration { return time.Since(c.start) + c.skew }

// Jump moves the cluster's clock, by which leases and tokens run out.
func (c *Cluster) Jump(d time.Duration) {
	c.mu.Lock()
	c.skew += d
	c.mu.Unlock()
	c.expire()
}

// expire ends leases and tokens whose time is over, and comes back when the next is.
func (c *Cluster) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.store.View()
	next, ok := c.store.Expire(c.now())
	if c.store.View() != before {
		c.advance()
	}
	for id, t := range c.tokens {
		if t.ends <= c.now() {
			delete(c.tokens, id)
		}
	}
	if !ok {
		next = c.now() + time.Hour
	}
	c.expiry.Reset(min(max(next-c.now(), time.Millisecond), time.Hour))
}

// ---- the file ----

// keep writes a commit before anybody is answered; c.mu is held.
func (c *Cluster) keep(r store.Record) {
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

// Err is what went wrong with the file, if anything did: what is committed after it is kept in memory alone.
func (c *Cluster) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fileErr
}

// load takes the file in. A torn last line is cut off; any other fault is an error.
func (c *Cluster) load() error {
	f, err := os.OpenFile(c.cfg.File, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	in, good, n := bufio.NewReader(f), int64(0), 0
	for {
		line, err := in.ReadBytes('\n')
		if err != nil { // the last line, torn or empty
			break
		}
		n++
		var r store.Record
		if err := json.Unmarshal(line, &r); err != nil {
			f.Close()
			return fmt.Errorf("%s, line %d: %w", c.cfg.File, n, err)
		}
		c.store.Replay(c.now(), r)
		good += int64(len(line))
	}
	if err := f.Truncate(good); err != nil {
		f.Close()
		return err
	}
	if _, err := f.Seek(good, 0); err != nil {
		f.Close()
		return err
	}
	c.file = f
	return nil
}

// ---- members ----

// Addr is where clients reach the first member; the same after a restart.
func (c *Cluster) Addr() string { return c.Addrs()[0] }

// Addrs are the members' addresses.
func (c *Cluster) Addrs() (list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		list = append(list, m.addr)
	}
	return list
}

// Start has all members that are down serve again, with the state as it was.
func (c *Cluster) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if err := c.startMember(m); err != nil {
			return err
		}
	}
	if c.elections == 0 || len(c.members) == 1 { // a cluster that begins has its leader at once
		c.lead(0)
	} else {
		c.elect()
	}
	return nil
}

// StartMember starts one member if it is down.
func (c *Cluster) StartMember(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.startMember(c.members[i]); err != nil {
		return err
	}
	c.elect()
	return nil
}

func (c *Cluster) startMember(m *member) error {
	if m.srv != nil {
		return nil
	}
	var l net.Listener
	var err error
	for range 200 { // an address that was just left may be in use for a moment
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

// Stop ends all members as a crash would; the state stays.
func (c *Cluster) Stop() {
	for i := range c.members {
		c.StopMember(i)
	}
}

// Close ends the cluster for good.
func (c *Cluster) Close() error {
	c.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry.Stop()
	if c.file == nil {
		return c.fileErr
	}
	return errors.Join(c.fileErr, c.file.Close())
}

// StopMember ends one member as a crash would.
func (c *Cluster) StopMember(i int) {
	c.mu.Lock()
	m := c.members[i]
	srv := m.srv
	m.srv = nil
	if srv != nil {
		c.elect()
	}
	c.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Cut takes a member from the others, or brings it back. Its clients still reach it.
func (c *Cluster) Cut(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].cut = on
	c.elect()
}

// Lag has a member apply nothing more, or catch up.
func (c *Cluster) Lag(i int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[i].lags = on
	c.advance()
}

// Lie has a member answer, also what needs the cluster's agreement, from an older revision and term as if that were all there
// is; a revision of 0 ends it.
func (c *Cluster) Lie(i int, rev int64, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[i]
	m.lies = rev > 0
	if m.lies {
		m.view.Revision, m.view.Compacted, m.term = rev, min(m.view.Compacted, rev), term
	}
	c.advance()
}

// ChangeLeader has the leader step down: for the time of an election there is none, then another one.
func (c *Cluster) ChangeLeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.leader
	c.leader = -1
	c.electAfter(was)
}

// together tells that a member can reach the majority; c.mu is held.
func (m *member) together() bool { return m.srv != nil && !m.cut && m.cluster.majority() }

func (c *Cluster) majority() bool {
	n := 0
	for _, m := range c.members {
		if m.srv != nil && !m.cut {
			n++
		}
	}
	return n > len(c.members)/2
}

// elect looks whether the leader can stay, and has another one elected after a while if not; c.mu is held.
func (c *Cluster) elect() {
	if c.leader >= 0 && c.members[c.leader].together() {
		c.advance()
		return
	}
	c.leader = -1
	c.electAfter(-1)
}

// electAfter has a leader elected after an election's time, another one than not if there is one; c.mu is held.
func (c *Cluster) electAfter(not int) {
	now := time.Now()
	for _, m := range c.members {
		if m.lostAt.IsZero() {
			m.lostAt = now
		}
	}
	c.advance()
	c.elections++
	this := c.elections
	time.AfterFunc(c.cfg.Election, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.elections != this || c.leader >= 0 {
			return
		}
		choice := -1
		for k := range c.members {
			i := (k + this) % len(c.members)
			if c.members[i].together() && (choice < 0 || choice == not) {
				choice = i
			}
		}
		if choice >= 0 {
			c.lead(choice)
		}
	})
}

// lead makes a member the leader of the next term; c.mu is held.
func (c *Cluster) lead(i int) {
	if c.elections > 0 {
		c.term++
		c.changes++
		c.store.Extend(c.now())
	}
	c.elections++
	c.leader = i
	c.advance()
}

// led tells that a member has a leader; c.mu is held.
func (m *member) led() bool { return m.cluster.leader >= 0 && m.together() }

// advance has every member that can apply what was committed, drops what no member needs any more, and wakes whoever waits;
// c.mu is held.
func (c *Cluster) advance() {
	floor := c.store.View().Compacted
	for _, m := range c.members {
		if m.led() {
			m.lostAt = time.Time{}
			if !m.lies {
				m.term = c.term
				if !m.lags {
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

// wait blocks until ok holds, and returns with c.mu held and nil, or without it and with an error.
func (m *member) wait(ctx context.Context, ok func() bool, why error) error {
	c := m.cluster
	late := time.NewTimer(c.cfg.RequestTimeout)
	defer late.Stop()
	c.mu.Lock()
	for !ok() {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-late.C:
			return why
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
	}
	return nil
}

// ---- the state, for tests ----

// Wipe puts a new, empty cluster in the place of this one. Call it while stopped, as operators would.
func (c *Cluster) Wipe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restore(Head{Cluster: c.id + 1, Revision: 1, Term: 2}, nil)
}

// Restore puts a state in the place of what is there, with no history before it. The file does not keep it.
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
		m.view, m.term, m.lies = c.store.View(), h.Term, false
	}
	c.advance()
}

// SetScript says what goes wrong from now on.
func (c *Cluster) SetScript(s Script) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.script = s
}

// Counts tells what clients have done, and how often a leader was elected.
type Counts struct {
	Reads, Watches, Writes, Leaders int
}

// Counts tells what clients have done.
func (c *Cluster) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{c.reads, c.watches, c.writes, c.changes}
}

// Reads counts the reads of keys.
func (c *Cluster) Reads() int { return c.Counts().Reads }

// Compacted is the revision below which history is forgotten.
func (c *Cluster) Compacted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.View().Compacted
}

// Head is the state as it is.
func (c *Cluster) Head() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Head{c.id, c.store.View().Revision, c.term}
}

// Set writes a key, Delete removes one, both whether there is a leader or not.
func (c *Cluster) Set(key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.store.Put(&pb.PutRequest{Key: []byte(key), Value: []byte(value)})
	c.advance()
}

// Delete removes a key.
func (c *Cluster) Delete(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.store.Delete(&pb.DeleteRangeRequest{Key: []byte(key)})
	c.advance()
}

// Do makes several changes as one revision: an empty value deletes.
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
	for len(ops) > 0 { // nested, as a list holds 128 at most
		var outer []*pb.RequestOp
		for len(ops) > 0 && len(outer) < store.MaxTxnOps {
			n := min(len(ops), store.MaxTxnOps)
			outer = append(outer, &pb.RequestOp{Request: &pb.RequestOp_RequestTxn{RequestTxn: &pb.TxnRequest{Success: ops[:n]}}})
			ops = ops[n:]
		}
		_, _ = c.store.Txn(&pb.TxnRequest{Success: outer})
	}
	c.advance()
}

// CompactAll forgets all history.
func (c *Cluster) CompactAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.store.Compact(c.store.View().Revision)
	c.advance()
}

// State is all keys as they stand, in order, with the revision that they are of.
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
