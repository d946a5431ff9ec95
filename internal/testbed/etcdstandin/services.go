package etcdstandin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// header returns a response header at the member's own view. The caller holds Cluster.mu.
func (m *member) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: m.cluster.id, MemberId: uint64(m.number) + 1, Revision: m.view.Revision, RaftTerm: m.term}
}

// ---- checks of every call ----

func firstMetadata(ctx context.Context, key string) string {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

func requiresLeader(ctx context.Context) bool {
	return firstMetadata(ctx, rpctypes.MetadataRequireLeaderKey) == rpctypes.MetadataHasLeader
}

// checkToken returns an error if the cluster has users and the call carries no valid token.
func (c *Cluster) checkToken(ctx context.Context) error {
	if len(c.cfg.Users) == 0 {
		return nil
	}
	id := firstMetadata(ctx, rpctypes.TokenFieldNameGRPC)
	if id == "" {
		return rpctypes.ErrGRPCUserEmpty
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tokens[id]; !ok || t.expiresAt <= c.now() {
		return rpctypes.ErrGRPCInvalidAuthToken
	}
	return nil
}

// needsNoToken reports whether a method may be called without a token.
func needsNoToken(method string) bool { return strings.HasSuffix(method, "/Authenticate") }

func (m *member) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if requiresLeader(ctx) && m.leaderless() {
		return nil, rpctypes.ErrGRPCNoLeader
	}
	if !needsNoToken(info.FullMethod) {
		if err := m.cluster.checkToken(ctx); err != nil {
			return nil, err
		}
	}
	return next(ctx, req)
}

// leaderless reports whether the member has had no leader for longer than Config.Election. It is false for a member that serves
// stale data.
func (m *member) leaderless() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return !m.hasLeader() && !m.servesStale && !m.lostAt.IsZero() && time.Since(m.lostAt) > m.cluster.cfg.Election
}

// stream is the interceptor of streams. It ends streams that require a leader once the member is leaderless. It does not check
// the token of watch streams, as create checks it for each watch.
func (m *member) stream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if !strings.HasSuffix(info.FullMethod, "/Watch") {
		if err := m.cluster.checkToken(s.Context()); err != nil {
			return err
		}
	}
	if !requiresLeader(s.Context()) {
		return next(srv, s)
	}
	if m.leaderless() {
		return rpctypes.ErrGRPCNoLeader
	}
	ctx, cancel := context.WithCancelCause(s.Context())
	defer cancel(nil)
	go func() {
		t := time.NewTicker(max(m.cluster.cfg.Election/4, time.Millisecond))
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if m.leaderless() {
					cancel(rpctypes.ErrGRPCNoLeader)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	err := next(srv, &leaderStream{s, ctx})
	if cause := context.Cause(ctx); errors.Is(cause, rpctypes.ErrGRPCNoLeader) {
		return cause
	}
	return err
}

// leaderStream is a stream whose context is cancelled when the member has lost its leader.
type leaderStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s *leaderStream) Context() context.Context { return s.ctx }

// ---- KV ----

// waitLinearizable waits until the member can answer a linearizable read: it has a leader and has applied all commits up to
// the arrival of the call. It returns nil with Cluster.mu held, or an error without the lock.
func (m *member) waitLinearizable(ctx context.Context) error {
	m.cluster.mu.Lock()
	rev, id := m.cluster.store.View().Revision, m.cluster.id
	m.cluster.mu.Unlock()
	return m.wait(ctx, func() bool { return m.servesStale || m.hasLeader() && (m.view.Revision >= rev || m.cluster.id != id) }, rpctypes.ErrGRPCTimeout)
}

// waitForLeader waits until the member has a leader, and counts a write. It returns nil with Cluster.mu held, or an error
// without the lock.
func (m *member) waitForLeader(ctx context.Context) error {
	if err := m.wait(ctx, m.hasLeader, rpctypes.ErrGRPCTimeout); err != nil {
		return err
	}
	m.cluster.writes++
	return nil
}

// Range implements the KV service.
func (m *member) Range(ctx context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	c := m.cluster
	if r.Serializable {
		c.mu.Lock()
	} else if err := m.waitLinearizable(ctx); err != nil {
		return nil, err
	}
	out, err := c.store.Range(r, m.view)
	if err == nil {
		out.Header = m.header()
	}
	after := c.script.AfterRead
	if r.CountOnly {
		after = nil
	} else {
		c.reads++
	}
	c.mu.Unlock()
	if after != nil {
		after()
	}
	return out, err
}

// finishWrite applies the commit of a write and returns the header of its response, at the revision of the commit. The caller
// holds Cluster.mu.
func (m *member) finishWrite() *pb.ResponseHeader {
	c := m.cluster
	c.applyCommits()
	next, ok := c.store.Expire(c.now())
	if ok {
		c.expiryTimer.Reset(max(next-c.now(), time.Millisecond))
	}
	h := m.header()
	h.Revision, h.RaftTerm = c.store.View().Revision, c.term
	return h
}

// Put implements the KV service.
func (m *member) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	out, err := m.cluster.store.Put(r)
	if err != nil {
		return nil, err
	}
	out.Header = m.finishWrite()
	return out, nil
}

// DeleteRange implements the KV service.
func (m *member) DeleteRange(ctx context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	out, err := m.cluster.store.Delete(r)
	if err != nil {
		return nil, err
	}
	out.Header = m.finishWrite()
	return out, nil
}

// Txn implements the KV service.
func (m *member) Txn(ctx context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	out, err := m.cluster.store.Txn(r)
	if err != nil {
		return nil, err
	}
	out.Header = m.finishWrite()
	return out, nil
}

// Compact implements the KV service.
func (m *member) Compact(ctx context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.Compact(r.Revision); err != nil {
		return nil, err
	}
	return &pb.CompactionResponse{Header: m.finishWrite()}, nil
}

// ---- Lease ----

// LeaseGrant implements the Lease service.
func (m *member) LeaseGrant(ctx context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	id, err := m.cluster.store.Grant(m.cluster.now(), r.ID, r.TTL)
	if err != nil {
		return nil, err
	}
	_, ttl, _ := m.cluster.store.Lease(m.cluster.now(), id)
	return &pb.LeaseGrantResponse{Header: m.finishWrite(), ID: id, TTL: ttl}, nil
}

// LeaseRevoke implements the Lease service.
func (m *member) LeaseRevoke(ctx context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if err := m.waitForLeader(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	if err := m.cluster.store.Revoke(r.ID); err != nil {
		return nil, err
	}
	return &pb.LeaseRevokeResponse{Header: m.finishWrite()}, nil
}

// LeaseKeepAlive implements the Lease service.
func (m *member) LeaseKeepAlive(w pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := w.Recv()
		if err != nil {
			return err
		}
		if err := m.waitForLeader(w.Context()); err != nil {
			return err
		}
		out := &pb.LeaseKeepAliveResponse{ID: r.ID, TTL: m.cluster.store.KeepAlive(m.cluster.now(), r.ID), Header: m.header()}
		m.cluster.mu.Unlock()
		if err := w.Send(out); err != nil {
			return err
		}
	}
}

// LeaseTimeToLive implements the Lease service.
func (m *member) LeaseTimeToLive(ctx context.Context, r *pb.LeaseTimeToLiveRequest) (*pb.LeaseTimeToLiveResponse, error) {
	if err := m.waitLinearizable(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	left, granted, keys := m.cluster.store.Lease(m.cluster.now(), r.ID)
	out := &pb.LeaseTimeToLiveResponse{Header: m.header(), ID: r.ID, TTL: int64(left / time.Second), GrantedTTL: granted}
	if granted == 0 {
		out.TTL = -1
	}
	if r.Keys {
		for _, key := range keys {
			out.Keys = append(out.Keys, []byte(key))
		}
	}
	return out, nil
}

// LeaseLeases implements the Lease service.
func (m *member) LeaseLeases(ctx context.Context, _ *pb.LeaseLeasesRequest) (*pb.LeaseLeasesResponse, error) {
	if err := m.waitLinearizable(ctx); err != nil {
		return nil, err
	}
	defer m.cluster.mu.Unlock()
	out := &pb.LeaseLeasesResponse{Header: m.header()}
	for _, id := range m.cluster.store.Leases() {
		out.Leases = append(out.Leases, &pb.LeaseStatus{ID: id})
	}
	return out, nil
}

// ---- Auth, Maintenance, Cluster: the calls used by the client and tools ----

const maxTokens = 10000 // then Authenticate drops all tokens

// Authenticate implements the Auth service.
func (m *member) Authenticate(_ context.Context, r *pb.AuthenticateRequest) (*pb.AuthenticateResponse, error) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cfg.Users) == 0 {
		return nil, rpctypes.ErrGRPCAuthNotEnabled
	}
	if want, ok := c.cfg.Users[r.Name]; !ok || want != r.Password {
		return nil, rpctypes.ErrGRPCAuthFailed
	}
	if len(c.tokens) >= maxTokens {
		clear(c.tokens)
	}
	c.lastToken++
	id := fmt.Sprintf("%s.%d", r.Name, c.lastToken)
	c.tokens[id] = token{r.Name, c.now() + c.cfg.TokenTTL}
	return &pb.AuthenticateResponse{Header: m.header(), Token: id}, nil
}

// InvalidateTokens invalidates all tokens.
func (c *Cluster) InvalidateTokens() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.tokens)
}

// Status implements the Maintenance service.
func (m *member) Status(context.Context, *pb.StatusRequest) (*pb.StatusResponse, error) {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &pb.StatusResponse{Header: m.header(), Version: "3.7.0", RaftTerm: m.term, RaftIndex: uint64(c.store.View().Revision),
		RaftAppliedIndex: uint64(m.view.Revision), StorageVersion: "3.7.0"}
	if m.hasLeader() {
		out.Leader = uint64(c.leader) + 1
	} else {
		out.Errors = []string{rpctypes.ErrorDesc(rpctypes.ErrGRPCNoLeader)}
	}
	return out, nil
}

// MemberList implements the Cluster service.
func (m *member) MemberList(ctx context.Context, r *pb.MemberListRequest) (*pb.MemberListResponse, error) {
	c := m.cluster
	if r.Linearizable {
		if err := m.waitLinearizable(ctx); err != nil {
			return nil, err
		}
	} else {
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	scheme := "http://"
	if c.cfg.TLS != nil {
		scheme = "https://"
	}
	out := &pb.MemberListResponse{Header: m.header()}
	for _, o := range c.members {
		out.Members = append(out.Members, &pb.Member{ID: uint64(o.number) + 1, Name: fmt.Sprint("m", o.number), ClientURLs: []string{scheme + o.addr}})
	}
	return out, nil
}
