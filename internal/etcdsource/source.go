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

	"eiderspread/internal/member"
)

// Config says where etcd is and how it is followed.
type Config struct {
	Endpoints []string
	Prefix    string // ends with /
	User      string
	Password  string
	TLS       *tls.Config
	Progress  time.Duration // how often a watch is asked how far it is: silence for three times that ends it
	Timeout   time.Duration // of a read
	RetryMost time.Duration // between two tries, at most; the wait is drawn from half of it on
}

// Sink takes what the source learns, in order. It is called by one goroutine.
type Sink interface {
	Whole(nodes []member.Node, why string) // all, at one revision; why it was read anew
	Change(nodes []member.Node)            // what one answer changed: one revision or several, of which the last word on each node is told
	Alive()                                // up to date, with nothing new
	Broken(why error)                      // there may be gaps until the next Whole
	Bad(key, why string)                   // a value that can't be read; its node keeps its last good one
}

// Status is how a source stands.
type Status struct {
	Header
	Reads, Repeats, Compacted, Replaced, Refused, Breaks int
	Bad                                                  int
}

// Source follows etcd. Run owns it but for Status.
type Source struct {
	cfg  Config
	sink Sink
	f    *follower
	told map[string]string // bad values that were told
	move chan Config       // of one place: the newest that was asked for

	mu     sync.Mutex
	status Status
}

// New makes a source; Run starts it.
func New(cfg Config, sink Sink) *Source {
	return &Source{cfg: cfg, sink: sink, f: newFollower(min(len(cfg.Endpoints), confirmMembers)), told: map[string]string{}, move: make(chan Config, 1)}
}

// Move has the source go on with other endpoints, user, password and certificates, from where it is: what it has told stays,
// and only if the new endpoints are of another cluster, or lack what comes next, is the whole read again. Safe for concurrent use.
func (s *Source) Move(cfg Config) {
	for {
		select {
		case s.move <- cfg:
			return
		default:
		}
		select { // an older one that nobody has taken yet
		case <-s.move:
		default:
		}
	}
}

// moved takes new endpoints over.
func (s *Source) moved(cfg Config) {
	s.cfg.Endpoints, s.cfg.User, s.cfg.Password, s.cfg.TLS = cfg.Endpoints, cfg.User, cfg.Password, cfg.TLS
	s.f.members = min(len(cfg.Endpoints), confirmMembers)
}

// Status is safe for concurrent use.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *Source) note(change func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.status)
	s.status.Header, s.status.Reads, s.status.Repeats, s.status.Bad = s.f.head, s.f.Reads, s.f.Repeats, len(s.f.bad)
}

// Client connects to etcd as a source does; it is the caller's to close.
func (c Config) Client(ctx context.Context) (*clientv3.Client, error) {
	return clientv3.New(clientv3.Config{Context: ctx, Endpoints: c.Endpoints, Username: c.User, Password: c.Password, TLS: c.TLS,
		DialTimeout: c.Timeout, DialKeepAliveTime: c.Progress, DialKeepAliveTimeout: c.Progress, PermitWithoutStream: true,
		Logger: zap.NewNop()})
}

// Run follows etcd until ctx ends. Each break is followed by a wait that grows and is drawn by chance, so that a fleet
// does not come back all at once. After a break the watch goes on behind the last revision; only where that can't
// be, the whole is read again.
func (s *Source) Run(ctx context.Context) {
	wait := s.cfg.RetryMost / 16
	why := "start"
	for ctx.Err() == nil {
		began := time.Now()
		round, end := context.WithCancel(ctx)
		next := make(chan Config, 1)
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			select {
			case cfg := <-s.move:
				next <- cfg
				end()
			case <-round.Done():
			}
		}()
		err := s.session(round, &why)
		end()
		<-watched
		if ctx.Err() != nil {
			return
		}
		select {
		case cfg := <-next:
			s.moved(cfg)
			wait = s.cfg.RetryMost / 16
			s.sink.Broken(errors.New("moved to other endpoints"))
			continue
		default:
		}
		s.note(func(st *Status) { st.Breaks++ })
		s.sink.Broken(err)
		if time.Since(began) > s.cfg.RetryMost {
			wait = s.cfg.RetryMost / 16
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2+1)):
		case cfg := <-s.move:
			s.moved(cfg)
		case <-ctx.Done():
		}
		wait = min(2*wait, s.cfg.RetryMost)
	}
}

// session is one client's life: the whole, if it is needed, then the watch to its end.
func (s *Source) session(ctx context.Context, why *string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, err := s.cfg.Client(ctx)
	if err != nil {
		return err
	}
	defer client.Close()
	target := int64(0) // up to date from there on
	if *why == "" {
		// A cluster that was replaced would let the watch wait for a revision that is far off.
		h, _, err := s.get(ctx, client, true)
		if err != nil {
			return err
		}
		if was := s.f.head; h.Cluster != was.Cluster || h.Revision < was.Revision || h.Term < was.Term {
			*why = fmt.Sprintf("cluster %x at revision %d, term %d, in place of %x at %d, term %d", h.Cluster, h.Revision, h.Term,
				was.Cluster, was.Revision, was.Term)
		}
		target = h.Revision
	}
	if *why != "" {
		if err := s.readAll(ctx, client, *why); err != nil {
			return err
		}
		*why = ""
	}
	err = s.watch(ctx, client, target)
	switch {
	case errors.Is(err, rpctypes.ErrCompacted):
		s.note(func(st *Status) { st.Compacted++ })
		*why = fmt.Sprintf("revision %d was compacted away", s.f.head.Revision+1)
	case errors.Is(err, errOld):
		*why = err.Error()
	}
	return err
}

// get reads the whole, or only the header, with the cluster's agreement: a minority does not answer.
func (s *Source) get(ctx context.Context, client *clientv3.Client, only bool) (Header, []KV, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
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
		kvs = append(kvs, s.kv(kv, false))
	}
	return headerOf(r.Header), kvs, nil
}

func headerOf(h *etcdserverpb.ResponseHeader) Header {
	return Header{Cluster: h.ClusterId, Revision: h.Revision, Term: h.RaftTerm, Member: h.MemberId}
}

func (s *Source) kv(kv *mvccpb.KeyValue, deleted bool) KV {
	return KV{Key: strings.TrimPrefix(string(kv.Key), s.cfg.Prefix), Value: kv.Value, Revision: kv.ModRevision, Deleted: deleted}
}

// readAll takes the whole in, and says so.
func (s *Source) readAll(ctx context.Context, client *clientv3.Client, why string) error {
	h, kvs, err := s.get(ctx, client, false)
	if err != nil {
		return err
	}
	switch s.f.read(h, kvs) {
	case Refused:
		s.note(func(st *Status) { st.Refused++ })
		return fmt.Errorf("%w: revision %d in place of %d", errOld, h.Revision, s.f.head.Revision)
	case Replaced:
		s.note(func(st *Status) { st.Replaced++ })
		why = "another cluster, or an older state, was put in its place: " + why
	}
	s.note(func(*Status) {})
	s.sink.Whole(s.f.whole(), why)
	s.tellBad()
	return nil
}

// tellBad names values that can't be read, each once.
func (s *Source) tellBad() {
	for key, why := range s.f.bad {
		if s.told[key] != why {
			s.told[key] = why
			s.sink.Bad(key, why)
		}
	}
	for key := range s.told {
		if _, ok := s.f.bad[key]; !ok {
			delete(s.told, key)
		}
	}
}

// agreeEvery times the time between two questions for progress, a watch asks what revision the cluster agrees on.
const agreeEvery = 4

// agreeTries of them in a row may fail.
const agreeTries = 3

// watch follows changes behind the view's revision. It ends with an error. From target on it is up to date. A member that lags tells
// progress too, as far as it is: so the cluster is asked now and then how far it is, and a watch that does not come so far is ended.
func (s *Source) watch(ctx context.Context, client *clientv3.Client, target int64) error {
	ctx, cancel := context.WithCancel(clientv3.WithRequireLeader(ctx))
	defer cancel()
	events := client.Watch(ctx, s.cfg.Prefix, clientv3.WithPrefix(), clientv3.WithRev(s.f.head.Revision+1),
		clientv3.WithProgressNotify(), clientv3.WithFragment())
	ask := time.NewTicker(s.cfg.Progress)
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
				if failed++; failed == agreeTries {
					return fmt.Errorf("the cluster does not agree: %w", err)
				}
				break
			}
			failed = 0
			if asked.Cluster != s.f.head.Cluster || asked.Revision < s.f.head.Revision || asked.Term < s.f.head.Term {
				break // an older state, or another cluster's: the next session looks into it, if this watch ends
			}
			if s.f.head.Revision >= target {
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
				if err := s.f.progress(h); err != nil {
					return err
				}
				s.note(func(*Status) {})
				if s.f.head.Revision >= target {
					s.sink.Alive()
				}
				continue
			}
			kvs := make([]KV, 0, len(r.Events))
			for _, e := range r.Events {
				kvs = append(kvs, s.kv(e.Kv, e.Type == mvccpb.DELETE))
			}
			words, err := s.f.events(h, kvs)
			if len(words) > 0 {
				s.sink.Change(words)
			}
			s.note(func(*Status) {})
			s.tellBad()
			if err != nil {
				return err
			}
			if s.f.head.Revision >= target {
				s.sink.Alive()
			}
		case <-ask.C:
			if silent := time.Since(heard); silent > 3*s.cfg.Progress {
				return fmt.Errorf("the watch is silent for %v", silent.Round(time.Millisecond))
			}
			if behind := time.Since(targetAt); s.f.head.Revision < target && behind > 3*s.cfg.Progress {
				return fmt.Errorf("the watch is at revision %d, the cluster agreed on %d %v ago", s.f.head.Revision, target, behind.Round(time.Millisecond))
			}
			if asks++; asks%agreeEvery == 0 && !asking {
				asking = true
				go func() {
					h, _, err := s.get(ctx, client, true)
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
