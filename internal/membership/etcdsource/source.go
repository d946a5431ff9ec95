// Package etcdsource follows backends and their drain marks in etcd. A follower decides, without I/O, what to believe of etcd's answers; a
// Source is the client around it, which reports to a Sink. docs/etcd-schema.md states keys and values, docs/membership.md the rules.
package etcdsource

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"eiderspread/internal/membership/merge"
)

// firstDelayFraction is the part of Config.MaxRetryDelay that the delays after breaks begin with.
const firstDelayFraction = 16

// errMoved is reported when a source goes on with other endpoints.
var errMoved = errors.New("moved to other endpoints")

// Config says where etcd is and how it is followed.
type Config struct {
	Endpoints        []string
	Prefix           string // of all keys; ends with /
	User             string // empty: no log-in
	Password         string
	TLS              *tls.Config   // nil: none
	ProgressInterval time.Duration // of requests for a watch's progress; after three without an answer the watch is given up
	ReadTimeout      time.Duration
	MaxRetryDelay    time.Duration // between two sessions; delays grow up to it, each drawn from its upper half
}

// Sink gets what a source learns, in order, from one goroutine.
type Sink interface {
	// ReplaceAll gets all nodes, at one revision, and why they were read anew.
	ReplaceAll(nodes []merge.Node, reason string)
	// Update gets the nodes that changed in one or several revisions, with the last report on each.
	Update(nodes []merge.Node)
	// Resumed says that everything up to now was reported.
	Resumed()
	// Interrupted says that changes may be missing until the next call of ReplaceAll or Resumed.
	Interrupted(err error)
	// InvalidValue names a key whose value can't be read; its node keeps the last valid one.
	InvalidValue(key, reason string)
}

// Status is the state of a source. Reads and breaks are counted since its start.
type Status struct {
	Header              // of the view
	FullReads       int `json:"Reads"`
	DuplicateEvents int `json:"Repeats"`
	Compacted       int `json:"Compacted"` // watches that ended as their next revision was compacted away
	Replaced        int `json:"Replaced"`  // full reads by which another cluster or a restored state replaced the view
	Rejected        int `json:"Refused"`   // full reads of an older state
	Breaks          int `json:"Breaks"`    // sessions that ended by an error
	InvalidValues   int `json:"Bad"`       // keys whose value can't be read now
}

// Source follows etcd. Run's goroutine owns it; Reconfigure and Status are safe for concurrent use.
type Source struct {
	cfg             Config
	sink            Sink
	follower        *follower
	reportedInvalid map[string]string // by key: the reason that the sink was given
	resyncReason    string            // why the next session begins with a full read; empty: it goes on behind the view
	configs         chan Config       // of one place: the newest that Reconfigure was given

	mu     sync.Mutex
	status Status
}

// NewSource makes a source; Run starts it.
func NewSource(cfg Config, sink Sink) *Source {
	return &Source{cfg: cfg, sink: sink, follower: newFollower(requiredMembers(cfg)), reportedInvalid: map[string]string{}, resyncReason: "start",
		configs: make(chan Config, 1)}
}

// requiredMembers is how many members must confirm an older state.
func requiredMembers(cfg Config) int { return min(len(cfg.Endpoints), confirmMembers) }

// NewClient connects to etcd; the caller closes the client.
func (c Config) NewClient(ctx context.Context) (*clientv3.Client, error) {
	return clientv3.New(clientv3.Config{Context: ctx, Endpoints: c.Endpoints, Username: c.User, Password: c.Password, TLS: c.TLS,
		DialTimeout: c.ReadTimeout, DialKeepAliveTime: c.ProgressInterval, DialKeepAliveTimeout: c.ProgressInterval, PermitWithoutStream: true,
		Logger: zap.NewNop()})
}

// Reconfigure has the source go on with the endpoints, user, password and certificates of cfg. The view stays; it is read anew only if the
// new endpoints are of another cluster, or lack the revisions behind it.
func (s *Source) Reconfigure(cfg Config) {
	for {
		select {
		case s.configs <- cfg:
			return
		default:
		}
		select { // an older one that wasn't taken yet
		case <-s.configs:
		default:
		}
	}
}

// applyConfig takes over what Reconfigure may change.
func (s *Source) applyConfig(cfg Config) {
	s.cfg.Endpoints, s.cfg.User, s.cfg.Password, s.cfg.TLS = cfg.Endpoints, cfg.User, cfg.Password, cfg.TLS
	s.follower.requiredMembers = requiredMembers(cfg)
}

// Status is the state of the source.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// updateStatus brings the status up to the view, and changes it by f, which may be nil.
func (s *Source) updateStatus(f func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != nil {
		f(&s.status)
	}
	s.status.Header, s.status.InvalidValues = s.follower.header, len(s.follower.invalid)
	s.status.FullReads, s.status.DuplicateEvents = s.follower.fullReads, s.follower.duplicateEvents
}

// Run follows etcd until ctx ends. After a session that ended by an error it waits, with a backoff that is drawn at random, so that the
// agents of a fleet don't come back all at once.
func (s *Source) Run(ctx context.Context) {
	delay := s.cfg.MaxRetryDelay / firstDelayFraction
	for ctx.Err() == nil {
		start := time.Now()
		newConfig, err := s.runUntilReconfigured(ctx)
		if ctx.Err() != nil {
			return
		}
		if newConfig != nil {
			s.applyConfig(*newConfig)
			delay = s.cfg.MaxRetryDelay / firstDelayFraction
			s.sink.Interrupted(errMoved)
			continue
		}
		s.updateStatus(func(status *Status) { status.Breaks++ })
		s.sink.Interrupted(err)
		if time.Since(start) > s.cfg.MaxRetryDelay {
			delay = s.cfg.MaxRetryDelay / firstDelayFraction
		}
		select {
		case <-time.After(delay/2 + rand.N(delay/2+1)):
		case cfg := <-s.configs:
			s.applyConfig(cfg)
		case <-ctx.Done():
		}
		delay = min(2*delay, s.cfg.MaxRetryDelay)
	}
}

// runUntilReconfigured runs one session to its end, or until there is another configuration, which it returns.
func (s *Source) runUntilReconfigured(ctx context.Context) (*Config, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan *Config, 1)
	go func() {
		select {
		case cfg := <-s.configs:
			received <- &cfg
			cancel()
		case <-ctx.Done():
			received <- nil
		}
	}()
	err := s.runSession(ctx)
	cancel()
	return <-received, err
}

// reportInvalid names keys whose value can't be read to the sink, each once a reason.
func (s *Source) reportInvalid() {
	for key, reason := range s.follower.invalid {
		if s.reportedInvalid[key] != reason {
			s.reportedInvalid[key] = reason
			s.sink.InvalidValue(key, reason)
		}
	}
	for key := range s.reportedInvalid {
		if _, ok := s.follower.invalid[key]; !ok {
			delete(s.reportedInvalid, key)
		}
	}
}
