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
	// maxMissedProgress is how many progress intervals a watch may be silent, or behind the cluster, before it is given up.
	maxMissedProgress = 3
	// agreementEveryTicks is how many progress intervals lie between two reads of the revision that the cluster agrees on.
	agreementEveryTicks = 4
	// maxAgreementFailures is how many of these reads in a row may fail.
	maxAgreementFailures = 3
)

// The reasons for which a watch is given up, beside errStaleState and those of the client.
var (
	errWatchEnded  = errors.New("the watch has ended")
	errWatchSilent = errors.New("the watch is silent")
	errWatchBehind = errors.New("the watch is behind the cluster")
	errNoAgreement = errors.New("the cluster does not agree on a revision")
)

// watch is one watch of a source. A member that lags reports progress too, as far as it is; so the cluster is read from now and then for
// the revision that it agrees on, and a watch that doesn't get there is given up.
type watch struct {
	source     *Source
	client     *clientv3.Client
	target     int64     // the revision from which on the view is up to date
	targetAt   time.Time // since when the view has been behind target
	heardAt    time.Time // the last answer
	ticks      int
	agreements chan agreement // one read at a time
	reading    bool           // such a read is under way
	failures   int            // of these reads, in a row
}

// agreement is the outcome of a read of the cluster's revision.
type agreement struct {
	header Header
	err    error
}

// watch reports changes behind the view's revision until something ends the watch; its error is never nil. From revision target on the view
// is up to date.
func (s *Source) watch(ctx context.Context, client *clientv3.Client, target int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	responses := client.Watch(ctx, s.cfg.Prefix, clientv3.WithPrefix(), clientv3.WithRev(s.follower.header.Revision+1),
		clientv3.WithProgressNotify(), clientv3.WithFragment())
	ticker := time.NewTicker(s.cfg.ProgressInterval)
	defer ticker.Stop()
	now := time.Now()
	w := &watch{source: s, client: client, target: target, targetAt: now, heardAt: now, agreements: make(chan agreement, 1)}
	for {
		var err error
		select {
		case a := <-w.agreements:
			err = w.applyAgreement(a)
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

// applyResponse takes in one answer of the watch.
func (w *watch) applyResponse(r clientv3.WatchResponse) error {
	if r.CompactRevision > 0 {
		return rpctypes.ErrCompacted
	}
	if err := r.Err(); err != nil {
		return err
	}
	w.heardAt = time.Now()
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

// applyEvents reports the events of an answer.
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

// applyAgreement takes in the revision that the cluster agrees on.
func (w *watch) applyAgreement(a agreement) error {
	w.reading = false
	if a.err != nil { // the member that was read from may be the one that lags; the next read goes to the next one
		if w.failures++; w.failures == maxAgreementFailures {
			return fmt.Errorf("%w: %w", errNoAgreement, a.err)
		}
		return nil
	}
	w.failures = 0
	if a.header.olderThan(w.source.follower.header) { // the next session finds out why, if this watch ends
		return nil
	}
	if w.source.follower.header.Revision >= w.target {
		w.targetAt = time.Now()
	}
	w.target = max(w.target, a.header.Revision)
	return nil
}

// tick gives the watch up if it is silent or behind, and requests progress.
func (w *watch) tick(ctx context.Context) error {
	limit := maxMissedProgress * w.source.cfg.ProgressInterval
	if silent := time.Since(w.heardAt); silent > limit {
		return fmt.Errorf("%w for %v", errWatchSilent, silent.Round(time.Millisecond))
	}
	if behind := time.Since(w.targetAt); w.source.follower.header.Revision < w.target && behind > limit {
		return fmt.Errorf("%w: at revision %d, agreed on %d %v ago", errWatchBehind, w.source.follower.header.Revision, w.target, behind.Round(time.Millisecond))
	}
	if w.ticks++; w.ticks%agreementEveryTicks == 0 && !w.reading {
		w.reading = true
		go func() {
			h, err := w.source.fetchHeader(ctx, w.client)
			w.agreements <- agreement{h, err}
		}()
	}
	go func() { // it may block until the watch ends
		_ = w.client.RequestProgress(ctx) // the answer comes as a response of the watch; without one the watch is silent
	}()
	return nil
}
