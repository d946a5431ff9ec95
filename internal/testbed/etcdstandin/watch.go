package etcdstandin

import (
	"slices"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/protobuf/proto"

	"eiderspread/internal/testbed/etcdstandin/store"
)

// watch is one watch of a stream.
type watch struct {
	id      int64
	request *pb.WatchCreateRequest
	next    int64 // the first revision whose events have not been queued
}

// stream holds the watches of one gRPC stream. One goroutine (sendLoop) sends all responses in order, so that a progress
// notification, which states that all events up to its revision were sent, follows these events.
type stream struct {
	member            *member
	raw               pb.Watch_WatchServer
	open              []*watch            // guarded by Cluster.mu
	pending           []*pb.WatchResponse // responses to send, guarded by Cluster.mu; at most one per request that the client sent without reading
	progressRequested bool                // the client requested a progress notification; guarded by Cluster.mu
	wakeup            chan struct{}       // its capacity is 1; a value makes sendLoop look for something to send
}

func (w *stream) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Watch implements the Watch service.
func (m *member) Watch(raw pb.Watch_WatchServer) error {
	c := m.cluster
	w := &stream{member: m, raw: raw, wakeup: make(chan struct{}, 1)}
	sent := make(chan error, 1)
	go func() { sent <- w.sendLoop() }()
	type got struct {
		r   *pb.WatchRequest
		err error
	}
	in := make(chan got)
	go func() {
		for {
			r, err := raw.Recv()
			select {
			case in <- got{r, err}:
				if err != nil {
					return
				}
			case <-raw.Context().Done():
				return
			}
		}
	}()
	last := int64(0)
	for {
		var r *pb.WatchRequest
		select {
		case g := <-in:
			if g.err != nil {
				return g.err
			}
			r = g.r
		case err := <-sent:
			return err
		case <-raw.Context().Done():
			return raw.Context().Err()
		}
		switch {
		case r.GetCreateRequest() != nil:
			w.create(r.GetCreateRequest(), &last)
		case r.GetCancelRequest() != nil:
			id := r.GetCancelRequest().WatchId
			c.mu.Lock()
			before := len(w.open)
			w.open = slices.DeleteFunc(w.open, func(k *watch) bool { return k.id == id })
			if len(w.open) < before {
				w.pending = append(w.pending, &pb.WatchResponse{Header: m.header(), WatchId: id, Canceled: true})
			}
			c.mu.Unlock()
		case r.GetProgressRequest() != nil:
			c.mu.Lock()
			w.progressRequested = !c.script.Silent
			c.mu.Unlock()
		}
		w.wake()
	}
}

// create opens a watch, or queues a response that refuses it. last is the next watch ID to assign.
func (w *stream) create(r *pb.WatchCreateRequest, last *int64) {
	m, c := w.member, w.member.cluster
	denied := c.checkToken(w.raw.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	refuse := func(id int64, reason string) {
		w.pending = append(w.pending, &pb.WatchResponse{Header: m.header(), WatchId: id, Created: true, Canceled: true, CancelReason: reason})
	}
	if denied != nil {
		refuse(r.WatchId, rpctypes.ErrorDesc(denied))
		return
	}
	taken := func(id int64) bool { return slices.ContainsFunc(w.open, func(k *watch) bool { return k.id == id }) }
	k := &watch{id: r.WatchId, request: r, next: r.StartRevision}
	if k.id == 0 {
		for k.id = *last; taken(k.id); k.id++ {
		}
		*last = k.id + 1
	} else if taken(k.id) {
		refuse(-1, "mvcc: duplicate watch ID provided on the WatchStream")
		return
	}
	if len(r.Key) == 0 { // the client sends an empty key for "all keys"
		r.Key = []byte{0}
	}
	c.watches++
	if k.next == 0 {
		k.next = m.view.Revision + 1
	}
	created := &pb.WatchResponse{Header: m.header(), WatchId: k.id, Created: true}
	if script := c.script.OnWatch; script != nil { // sendLoop sends nothing for this watch yet, as it is not in w.open
		c.mu.Unlock()
		_ = w.raw.Send(created)
		script(w.raw, k.next)
		c.mu.Lock()
	} else {
		w.pending = append(w.pending, created)
	}
	w.open = append(w.open, k)
}

// sendLoop sends responses, events and progress notifications to the client, until a send fails or the stream ends.
func (w *stream) sendLoop() error {
	m, c := w.member, w.member.cluster
	tick := time.NewTicker(c.cfg.Progress)
	defer tick.Stop()
	notify := false
	for {
		c.mu.Lock()
		due := w.pending
		w.pending = nil
		for _, k := range slices.Clone(w.open) {
			list, ended := w.nextEvents(k)
			if ended {
				w.open = slices.DeleteFunc(w.open, func(o *watch) bool { return o == k })
			}
			if notify && len(list) == 0 && k.request.ProgressNotify && !c.script.Silent {
				list = append(list, &pb.WatchResponse{Header: m.header(), WatchId: k.id})
			}
			due = append(due, list...)
		}
		notify = false
		if w.progressRequested {
			w.progressRequested = false
			due = append(due, &pb.WatchResponse{Header: m.header(), WatchId: -1})
		}
		changed, script := c.changed, c.script.OnSend
		c.mu.Unlock()
		for _, r := range due {
			if script != nil && len(r.Events) > 0 {
				if err := script(r); err != nil {
					return err
				}
			}
			if err := w.raw.Send(r); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-w.wakeup:
		case <-tick.C:
			notify = true
		case <-w.raw.Context().Done():
			return w.raw.Context().Err()
		}
	}
}

// nextEvents returns the messages with the events that are new to the watch, up to the member's own view. ended is true if the
// watch is cancelled because its next revision is compacted. The caller holds Cluster.mu.
func (w *stream) nextEvents(k *watch) (due []*pb.WatchResponse, ended bool) {
	m := w.member
	if k.next < m.view.Compacted {
		return []*pb.WatchResponse{{Header: m.header(), WatchId: k.id, Canceled: true, CompactRevision: m.view.Compacted,
			CancelReason: rpctypes.ErrorDesc(rpctypes.ErrGRPCCompacted)}}, true
	}
	var current *pb.WatchResponse
	at, revs := int64(0), 0
	for _, e := range m.cluster.store.Events(k.next, m.view.Revision) {
		if !store.Within(e.Kv.Key, k.request.Key, k.request.RangeEnd) || slices.Contains(k.request.Filters, filterOf(e)) {
			continue
		}
		if e.Kv.ModRevision != at {
			at = e.Kv.ModRevision
			if revs++; current == nil || revs > m.cluster.cfg.BatchRevs {
				current, revs = &pb.WatchResponse{Header: m.header(), WatchId: k.id}, 1
				due = append(due, current)
			}
		}
		event := &mvccpb.Event{Type: e.Type, Kv: e.Kv}
		if k.request.PrevKv {
			event.PrevKv = e.PrevKv
		}
		current.Events = append(current.Events, event)
	}
	k.next = max(k.next, m.view.Revision+1)
	if k.request.Fragment {
		var parts []*pb.WatchResponse
		for _, r := range due {
			parts = append(parts, fragments(r, m.cluster.cfg.FragmentBytes)...)
		}
		due = parts
	}
	return due, false
}

func filterOf(e *mvccpb.Event) pb.WatchCreateRequest_FilterType {
	if e.Type == mvccpb.DELETE {
		return pb.WatchCreateRequest_NODELETE
	}
	return pb.WatchCreateRequest_NOPUT
}

// fragments splits a message whose events exceed maxBytes; all parts but the last have Fragment set.
func fragments(r *pb.WatchResponse, maxBytes int) (parts []*pb.WatchResponse) {
	size := 0
	var current *pb.WatchResponse
	for _, e := range r.Events {
		n := proto.Size(e)
		if current == nil || size+n > maxBytes {
			if current != nil {
				current.Fragment = true
			}
			current, size = &pb.WatchResponse{Header: r.Header, WatchId: r.WatchId}, 0
			parts = append(parts, current)
		}
		current.Events = append(current.Events, e)
		size += n
	}
	if parts == nil {
		return []*pb.WatchResponse{r}
	}
	return parts
}
