package etcdsource

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
)

const (
	// maxMissedProgress is how many progress intervals a watch may be silent, or behind the cluster, before it is closed.
	maxMissedProgress = 3
	// quorumReadTicks is the number of progress intervals between two quorum reads of the cluster's revision.
	quorumReadTicks = 4
	// maxQuorumReadFailures is the number of failed quorum reads in a row that closes the watch.
	maxQuorumReadFailures = 3
)

// The reasons for closing a watch, besides errStaleState and the errors of the client.
var (
	errWatchEnded  = errors.New("the etcd client closed the watch")
	errWatchSilent = errors.New("no response from the watch")
	errWatchBehind = errors.New("the watch is behind the cluster")
	errQuorumReads = errors.New("quorum reads of the revision failed")
)

// watch is one watch of a source. A lagging member reports progress too, up to its own revision. So the watch regularly reads the cluster's
// revision with a quorum read, and is closed if it does not reach that revision in time.
type watch struct {
	source         *Source
	client         *clientv3.Client
	target         int64     // revision from which on the view is up to date
	targetAt       time.Time // time since which the view has been behind target
	lastResponseAt time.Time // time of the last response
	ticks          int
	quorumReads    chan quorumRead // outcomes; at most one read at a time
	readPending    bool            // a quorum read is in progress
	failures       int             // failed quorum reads in a row
}

// quorumRead is the outcome of a quorum read of the cluster's revision.
type quorumRead struct {
	header Header
	err    error
}

// runWatch reports the changes after the view's revision until the watch ends; its error is never nil. The view counts as up to date from
// revision target on.
func (s *Source) runWatch(ctx context.Context, client *clientv3.Client, target int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	responses := client.Watch(ctx, s.cfg.Prefix, clientv3.WithPrefix(), clientv3.WithRev(s.follower.header.Revision+1),
		clientv3.WithProgressNotify(), clientv3.WithFragment())
	ticker := time.NewTicker(s.cfg.ProgressInterval)
	defer ticker.Stop()
	now := time.Now()
	w := &watch{source: s, client: client, target: target, targetAt: now, lastResponseAt: now, quorumReads: make(chan quorumRead, 1)}
	for {
		var err error
		select {
		case read := <-w.quorumReads:
			err = w.applyQuorumRead(read)
		case r, ok := <-responses:
			if !ok {
				return errWatchEnded
			}
			err = w.applyResponse(r)
		case <-ticker.C:
			err = w.tick(ctx)
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// applyResponse applies one response of the watch.
func (w *watch) applyResponse(r clientv3.WatchResponse) error {
	if r.CompactRevision > 0 {
		return rpctypes.ErrCompacted
	}
	if err := r.Err(); err != nil {
		return err
	}
	w.lastResponseAt = time.Now()
	if r.IsProgressNotify() {
		if err := w.source.follower.applyProgress(toHeader(r.Header)); err != nil {
			return err
		}
		w.source.updateStatus(nil)
	} else if err := w.applyEvents(r); err != nil {
		return err
	}
	if w.source.follower.header.Revision >= w.target {
		w.source.sink.Resumed()
	}
	return nil
}

// applyEvents applies the events of a response to the view and reports the nodes that changed.
func (w *watch) applyEvents(r clientv3.WatchResponse) error {
	kvs := make([]keyValue, 0, len(r.Events))
	for _, e := range r.Events {
		kvs = append(kvs, w.source.toKeyValue(e.Kv, e.Type == mvccpb.DELETE))
	}
	nodes, err := w.source.follower.applyEvents(toHeader(r.Header), kvs)
	if len(nodes) > 0 {
		w.source.sink.Update(nodes)
	}
	w.source.updateStatus(nil)
	w.source.reportInvalid()
	return err
}

// applyQuorumRead raises target to the revision of a quorum read. Its error closes the watch.
func (w *watch) applyQuorumRead(read quorumRead) error {
	w.readPending = false
	if read.err != nil { // this member may be the lagging one; the next read goes to another
		if w.failures++; w.failures == maxQuorumReadFailures {
			return fmt.Errorf("%w: %w", errQuorumReads, read.err)
		}
		return nil
	}
	w.failures = 0
	if read.header.olderThan(w.source.follower.header) { // if this watch ends, the next session finds out why
		return nil
	}
	if w.source.follower.header.Revision >= w.target {
		w.targetAt = time.Now()
	}
	w.target = max(w.target, read.header.Revision)
	return nil
}

// tick returns an error if the watch is silent or behind. Else it requests progress and, every quorumReadTicks, starts a quorum read.
func (w *watch) tick(ctx context.Context) error {
	limit := maxMissedProgress * w.source.cfg.ProgressInterval
	if silent := time.Since(w.lastResponseAt); silent > limit {
		return fmt.Errorf("%w for %v", errWatchSilent, silent.Round(time.Millisecond))
	}
	if behind := time.Since(w.targetAt); w.source.follower.header.Revision < w.target && behind > limit {
		return fmt.Errorf("%w: view at revision %d, want %d, behind for %v", errWatchBehind, w.source.follower.header.Revision, w.target,
			behind.Round(time.Millisecond))
	}
	if w.ticks++; w.ticks%quorumReadTicks == 0 && !w.readPending {
		w.readPending = true
		go func() {
			h, err := w.source.fetchHeader(ctx, w.client)
			w.quorumReads <- quorumRead{h, err}
		}()
	}
	go func() { // RequestProgress may block until the watch ends
		_ = w.client.RequestProgress(ctx) // the result is a response of the watch; if none comes, the watch counts as silent
	}()
	return nil
}
