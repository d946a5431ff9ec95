package etcdsource

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
)

// runSession connects a client, reads all keys if that is needed, and watches until the watch ends. Its error is never nil.
func (s *Source) runSession(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, err := s.cfg.NewClient(ctx)
	if err != nil {
		return err
	}
	defer client.Close()
	var target int64
	if s.resyncReason == "" {
		// If the cluster was replaced, a watch might wait for a revision that the new cluster reaches only much later.
		h, err := s.fetchHeader(ctx, client)
		if err != nil {
			return err
		}
		if view := s.follower.header; h.olderThan(view) {
			s.resyncReason = fmt.Sprintf("cluster %x at revision %d, term %d; the view is of cluster %x at revision %d, term %d",
				h.Cluster, h.Revision, h.Term, view.Cluster, view.Revision, view.Term)
		}
		target = h.Revision
	}
	if s.resyncReason != "" {
		if err := s.syncFull(ctx, client); err != nil {
			return err
		}
		s.resyncReason = ""
	}
	err = s.runWatch(ctx, client, target)
	switch {
	case errors.Is(err, rpctypes.ErrCompacted):
		s.updateStatus(func(status *Status) { status.Compacted++ })
		s.resyncReason = fmt.Sprintf("revision %d was compacted away", s.follower.header.Revision+1)
	case errors.Is(err, errStaleState):
		s.resyncReason = err.Error()
	}
	return err
}

// syncFull reads all keys, applies them to the view and reports the view to the sink.
func (s *Source) syncFull(ctx context.Context, client *clientv3.Client) error {
	h, kvs, err := s.fetchAll(ctx, client)
	if err != nil {
		return err
	}
	reason := s.resyncReason
	switch s.follower.applyFull(h, kvs) {
	case readRejected:
		s.updateStatus(func(status *Status) { status.Rejected++ })
		return fmt.Errorf("%w: got revision %d, term %d; the view is at revision %d, term %d", errStaleState, h.Revision, h.Term,
			s.follower.header.Revision, s.follower.header.Term)
	case readReplaced:
		s.updateStatus(func(status *Status) { status.Replaced++ })
		reason = "cluster replaced or restored to an older state: " + reason
	case readAccepted:
		s.updateStatus(nil)
	}
	s.sink.ReplaceAll(s.follower.allNodes(), reason)
	s.reportInvalid()
	return nil
}

// fetchHeader reads the cluster's current revision. Like all reads here, it is linearizable: a member without a connection to the others
// does not answer it.
func (s *Source) fetchHeader(ctx context.Context, client *clientv3.Client) (Header, error) {
	r, err := s.get(ctx, client, clientv3.WithCountOnly())
	if err != nil {
		return Header{}, err
	}
	return toHeader(r.Header), nil
}

// fetchAll reads all keys under the prefix.
func (s *Source) fetchAll(ctx context.Context, client *clientv3.Client) (Header, []keyValue, error) {
	r, err := s.get(ctx, client)
	if err != nil {
		return Header{}, nil, err
	}
	var kvs []keyValue
	for _, kv := range r.Kvs {
		kvs = append(kvs, s.toKeyValue(kv, false))
	}
	return toHeader(r.Header), kvs, nil
}

func (s *Source) get(ctx context.Context, client *clientv3.Client, options ...clientv3.OpOption) (*clientv3.GetResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ReadTimeout)
	defer cancel()
	return client.Get(ctx, s.cfg.Prefix, append(options, clientv3.WithPrefix())...)
}

func toHeader(h *etcdserverpb.ResponseHeader) Header {
	return Header{Cluster: h.ClusterId, Revision: h.Revision, Term: h.RaftTerm, Member: h.MemberId}
}

func (s *Source) toKeyValue(kv *mvccpb.KeyValue, deleted bool) keyValue {
	return keyValue{Key: strings.TrimPrefix(string(kv.Key), s.cfg.Prefix), Value: kv.Value, Revision: kv.ModRevision, Deleted: deleted}
}
