package etcdsource

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"eiderspread/internal/membership/merge"
)

// Config says where etcd is and how it is followed.
type Config struct {
	Endpoints        []string
	Prefix           string // ends with /
	User             string
	Password         string
	TLS              *tls.Config
	ProgressInterval time.Duration // how often a watch is asked how far it is: silence for three times that ends it
	ReadTimeout      time.Duration // of a read
	MaxRetryDelay    time.Duration // between two tries, at most; the wait is drawn from half of it on
}

// Sink takes what the source learns, in order. It is called by one goroutine.
type Sink interface {
	ReplaceAll(nodes []merge.Node, why string) // all, at one revision; why it was read anew
	Update(nodes []merge.Node)                 // what one answer changed: one revision or several, of which the last word on each node is told
	Resumed()                                  // up to date, with nothing new
	Interrupted(why error)                     // there may be gaps until the next Whole
	InvalidValue(key, why string)              // a value that can't be read; its node keeps its last good one
}

// Status is how a source stands.
type Status struct {
	Header
	FullReads       int `json:"Reads"`
	DuplicateEvents int `json:"Repeats"`
	Compacted       int `json:"Compacted"`
	Replaced        int `json:"Replaced"`
	Rejected        int `json:"Refused"`
	Breaks          int `json:"Breaks"`
	InvalidValues   int `json:"Bad"`
}

// Source follows etcd. Run owns it but for Status.
type Source struct {
	cfg             Config
	sink            Sink
	follower        *follower
	reportedInvalid map[string]string // bad values that were told
	configs         chan Config       // of one place: the newest that was asked for

	mu     sync.Mutex
	status Status
}

// NewSource makes a source; Run starts it.
func NewSource(cfg Config, sink Sink) *Source {
	return &Source{cfg: cfg, sink: sink, follower: newFollower(min(len(cfg.Endpoints), confirmMembers)), reportedInvalid: map[string]string{}, configs: make(chan Config, 1)}
}

// Reconfigure has the source go on with other endpoints, user, password and certificates, from where it is: what it has told stays,
// and only if the new endpoints are of another cluster, or lack what comes next, is the whole read again. Safe for concurrent use.
func (s *Source) Reconfigure(cfg Config) {
	for {
		select {
		case s.configs <- cfg:
			return
		default:
		}
		select { // an older one that nobody has taken yet
		case <-s.configs:
		default:
		}
	}
}

// applyConfig takes new endpoints over.
func (s *Source) applyConfig(cfg Config) {
	s.cfg.Endpoints, s.cfg.User, s.cfg.Password, s.cfg.TLS = cfg.Endpoints, cfg.User, cfg.Password, cfg.TLS
	s.follower.requiredMembers = min(len(cfg.Endpoints), confirmMembers)
}

// Status is safe for concurrent use.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *Source) updateStatus(change func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.status)
	s.status.Header, s.status.FullReads, s.status.DuplicateEvents, s.status.InvalidValues = s.follower.header, s.follower.fullReads, s.follower.duplicateEvents, len(s.follower.invalid)
}

// NewClient connects to etcd as a source does; it is the caller's to close.
func (c Config) NewClient(ctx context.Context) (*clientv3.Client, error) {
	return clientv3.New(clientv3.Config{Context: ctx, Endpoints: c.Endpoints, Username: c.User, Password: c.Password, TLS: c.TLS,
		DialTimeout: c.ReadTimeout, DialKeepAliveTime: c.ProgressInterval, DialKeepAliveTimeout: c.ProgressInterval, PermitWithoutStream: true,
		Logger: zap.NewNop()})
}

// Run follows etcd until ctx ends. Each break is followed by a wait that grows and is drawn by chance, so that a fleet
// does not come back all at once. After a break the watch goes on behind the last revision; only where that can't
// be, the whole is read again.
func (s *Source) Run(ctx context.Context) {
	wait := s.cfg.MaxRetryDelay / 16
	why := "start"
	for ctx.Err() == nil {
		began := time.Now()
		round, end := context.WithCancel(ctx)
		next := make(chan Config, 1)
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			select {
			case cfg := <-s.configs:
				next <- cfg
				end()
			case <-round.Done():
			}
		}()
		err := s.runSession(round, &why)
		end()
		<-watched
		if ctx.Err() != nil {
			return
		}
		select {
		case cfg := <-next:
			s.applyConfig(cfg)
			wait = s.cfg.MaxRetryDelay / 16
			s.sink.Interrupted(errors.New("moved to other endpoints"))
			continue
		default:
		}
		s.updateStatus(func(st *Status) { st.Breaks++ })
		s.sink.Interrupted(err)
		if time.Since(began) > s.cfg.MaxRetryDelay {
			wait = s.cfg.MaxRetryDelay / 16
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2+1)):
		case cfg := <-s.configs:
			s.applyConfig(cfg)
		case <-ctx.Done():
		}
		wait = min(2*wait, s.cfg.MaxRetryDelay)
	}
}

// runSession is one client's life: the whole, if it is needed, then the watch to its end.
func (s *Source) runSession(ctx context.Context, why *string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, err := s.cfg.NewClient(ctx)
	if err != nil {
		return err
	}
	defer client.Close()
	target := int64(0) // up to date from there on
	if *why == "" {
		// A cluster that was replaced would let the watch wait for a revision that is far off.
		h, _, err := s.fetch(ctx, client, true)
		if err != nil {
			return err
		}
		if was := s.follower.header; h.Cluster != was.Cluster || h.Revision < was.Revision || h.Term < was.Term {
			*why = fmt.Sprintf("cluster %x at revision %d, term %d, in place of %x at %d, term %d", h.Cluster, h.Revision, h.Term,
				was.Cluster, was.Revision, was.Term)
		}
		target = h.Revision
	}
	if *why != "" {
		if err := s.syncFull(ctx, client, *why); err != nil {
			return err
		}
		*why = ""
	}
	err = s.watch(ctx, client, target)
	switch {
	case errors.Is(err, rpctypes.ErrCompacted):
		s.updateStatus(func(st *Status) { st.Compacted++ })
		*why = fmt.Sprintf("revision %d was compacted away", s.follower.header.Revision+1)
	case errors.Is(err, errStaleState):
		*why = err.Error()
	}
	return err
}

// fetch reads the whole, or only the header, with the cluster's agreement: a minority does not answer.
func (s *Source) fetch(ctx context.Context, client *clientv3.Client, only bool) (Header, []KV, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ReadTimeout)
	defer cancel()
	opts := []clientv3.OpOption{clientv3.WithPrefix()}
	if only {
		opts = append(opts, clientv3.WithCountOnly())
	}
	r, err := client.Get(ctx, s.cfg.Prefix, opts...)
	if err != nil {
		return Header{}, nil, err
	}
	var kvs []KV
	for _, kv := range r.Kvs {
		kvs = append(kvs, s.toKV(kv, false))
	}
	return headerOf(r.Header), kvs, nil
}

func headerOf(h *etcdserverpb.ResponseHeader) Header {
	return Header{Cluster: h.ClusterId, Revision: h.Revision, Term: h.RaftTerm, Member: h.MemberId}
}

func (s *Source) toKV(kv *mvccpb.KeyValue, deleted bool) KV {
	return KV{Key: strings.TrimPrefix(string(kv.Key), s.cfg.Prefix), Value: kv.Value, Revision: kv.ModRevision, Deleted: deleted}
}

// syncFull takes the whole in, and says so.
func (s *Source) syncFull(ctx context.Context, client *clientv3.Client, why string) error {
	h, kvs, err := s.fetch(ctx, client, false)
	if err != nil {
		return err
	}
	switch s.follower.applyFull(h, kvs) {
	case ReadRejected:
		s.updateStatus(func(st *Status) { st.Rejected++ })
		return fmt.Errorf("%w: revision %d in place of %d", errStaleState, h.Revision, s.follower.header.Revision)
	case ReadReplaced:
		s.updateStatus(func(st *Status) { st.Replaced++ })
		why = "another cluster, or an older state, was put in its place: " + why
	}
	s.updateStatus(func(*Status) {})
	s.sink.ReplaceAll(s.follower.allNodes(), why)
	s.reportInvalid()
	return nil
}

// reportInvalid names values that can't be read, each once.
func (s *Source) reportInvalid() {
	for key, why := range s.follower.invalid {
		if s.reportedInvalid[key] != why {
			s.reportedInvalid[key] = why
			s.sink.InvalidValue(key, why)
		}
	}
	for key := range s.reportedInvalid {
		if _, ok := s.follower.invalid[key]; !ok {
			delete(s.reportedInvalid, key)
		}
	}
}

// agreementEveryTicks times the time between two questions for progress, a watch asks what revision the cluster agrees on.
const agreementEveryTicks = 4

// maxAgreementFailures of them in a row may fail.
const maxAgreementFailures = 3

// watch follows changes behind the view's revision. It ends with an error. From target on it is up to date. A member that lags tells
// progress too, as far as it is: so the cluster is asked now and then how far it is, and a watch that does not come so far is ended.
func (s *Source) watch(ctx context.Context, client *clientv3.Client, target int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	events := client.Watch(ctx, s.cfg.Prefix, clientv3.WithPrefix(), clientv3.WithRev(s.follower.header.Revision+1),
		clientv3.WithProgressNotify(), clientv3.WithFragment())
	ask := time.NewTicker(s.cfg.ProgressInterval)
	defer ask.Stop()
	heard := time.Now()
	agreed := make(chan error, 1) // one question at a time
	var asked Header              // what it brought; set before agreed is sent to
	asks, asking, failed := 0, false, 0
	targetAt := heard // when the target was set that is not reached yet
	for {
		select {
		case err := <-agreed:
			asking = false
			if err != nil { // the member that was asked may be the one that lags: the next one is asked next time
				if failed++; failed == maxAgreementFailures {
					return fmt.Errorf("the cluster does not agree: %w", err)
				}
				break
			}
			failed = 0
			if asked.Cluster != s.follower.header.Cluster || asked.Revision < s.follower.header.Revision || asked.Term < s.follower.header.Term {
				break // an older state, or another cluster's: the next session looks into it, if this watch ends
			}
			if s.follower.header.Revision >= target {
				targetAt = time.Now()
			}
			target = max(target, asked.Revision)
		case r, ok := <-events:
			switch {
			case !ok:
				return errors.New("the watch has ended")
			case r.CompactRevision > 0:
				return rpctypes.ErrCompacted
			case r.Err() != nil:
				return r.Err()
			}
			heard = time.Now()
			h := headerOf(r.Header)
			if r.IsProgressNotify() {
				if err := s.follower.applyProgress(h); err != nil {
					return err
				}
				s.updateStatus(func(*Status) {})
				if s.follower.header.Revision >= target {
					s.sink.Resumed()
				}
				continue
			}
			kvs := make([]KV, 0, len(r.Events))
			for _, e := range r.Events {
				kvs = append(kvs, s.toKV(e.Kv, e.Type == mvccpb.DELETE))
			}
			words, err := s.follower.applyEvents(h, kvs)
			if len(words) > 0 {
				s.sink.Update(words)
			}
			s.updateStatus(func(*Status) {})
			s.reportInvalid()
			if err != nil {
				return err
			}
			if s.follower.header.Revision >= target {
				s.sink.Resumed()
			}
		case <-ask.C:
			if silent := time.Since(heard); silent > 3*s.cfg.ProgressInterval {
				return fmt.Errorf("the watch is silent for %v", silent.Round(time.Millisecond))
			}
			if behind := time.Since(targetAt); s.follower.header.Revision < target && behind > 3*s.cfg.ProgressInterval {
				return fmt.Errorf("the watch is at revision %d, the cluster agreed on %d %v ago", s.follower.header.Revision, target, behind.Round(time.Millisecond))
			}
			if asks++; asks%agreementEveryTicks == 0 && !asking {
				asking = true
				go func() {
					h, _, err := s.fetch(ctx, client, true)
					asked = h
					agreed <- err
				}()
			}
			go client.RequestProgress(ctx) // its answer comes as an event; it may block, until the watch ends
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
