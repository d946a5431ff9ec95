// Package etcdsource follows backends and their drain marks in etcd. A follower decides, without I/O, which of etcd's responses to accept.
// A Source runs the etcd client for a follower and reports to a Sink. docs/etcd-schema.md describes the keys and values, and
// docs/membership.md the rules.
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

// firstDelayDivisor divides Config.MaxRetryDelay: the quotient is the first delay after a failed session.
const firstDelayDivisor = 16

// errReconfigured is reported to the sink when a source switches to a configuration given to Reconfigure.
var errReconfigured = errors.New("etcd endpoints or credentials were reconfigured")

// Config says how to connect to etcd and how to follow it.
type Config struct {
	Endpoints        []string
	Prefix           string // of all keys; ends with /
	User             string // empty: no authentication
	Password         string
	TLS              *tls.Config   // nil: no TLS
	ProgressInterval time.Duration // between two requests for a watch's progress; a watch that is silent for three of them is closed
	ReadTimeout      time.Duration
	MaxRetryDelay    time.Duration // upper bound of the delay between two sessions; a delay doubles up to it, with jitter over its upper half
}

// Sink receives the reports of a source, in order, from one goroutine.
type Sink interface {
	// ReplaceAll receives all nodes at one revision, and the reason for the full read.
	ReplaceAll(nodes []merge.Node, reason string)
	// Update receives the last report on each node that changed in one or several revisions.
	Update(nodes []merge.Node)
	// Resumed says that the reports are complete up to now.
	Resumed()
	// Interrupted says that changes may be missing from now until the next call of ReplaceAll or Resumed, and why.
	Interrupted(err error)
	// InvalidValue names a key that is invalid or has an invalid value, and why; its node keeps the last valid value.
	InvalidValue(key, reason string)
}

// Status is the state of a source. Its counts, except InvalidValues, start at zero with the source.
type Status struct {
	Header              // of the view
	FullReads       int `json:"Reads"`
	DuplicateEvents int `json:"Repeats"`
	Compacted       int `json:"Compacted"` // watches that ended because their next revision was compacted away
	Replaced        int `json:"Replaced"`  // full reads that replaced the view with another cluster's state or a restored one
	Rejected        int `json:"Refused"`   // full reads that were rejected because their state was older than the view
	SessionErrors   int `json:"Breaks"`    // sessions that ended with an error
	InvalidValues   int `json:"Bad"`       // keys that are invalid or have an invalid value at present
}

// Source follows etcd. It belongs to the goroutine of Run, except for Reconfigure and Status, which are safe for concurrent use.
type Source struct {
	cfg             Config
	sink            Sink
	follower        *follower
	reportedInvalid map[string]string // by key: the reason that was last passed to the sink
	resyncReason    string            // why the next session begins with a full read; empty: it watches from the view's revision on
	configs         chan Config       // one slot, for the latest configuration given to Reconfigure

	mu     sync.Mutex
	status Status
}

// NewSource returns a source that does nothing until Run.
func NewSource(cfg Config, sink Sink) *Source {
	return &Source{cfg: cfg, sink: sink, follower: newFollower(requiredMembers(cfg)), reportedInvalid: map[string]string{}, resyncReason: "start",
		configs: make(chan Config, 1)}
}

// requiredMembers returns how many members must confirm an older state.
func requiredMembers(cfg Config) int { return min(len(cfg.Endpoints), confirmMembers) }

// NewClient connects to etcd; the caller closes the client.
func (c Config) NewClient(ctx context.Context) (*clientv3.Client, error) {
	return clientv3.New(clientv3.Config{Context: ctx, Endpoints: c.Endpoints, Username: c.User, Password: c.Password, TLS: c.TLS,
		DialTimeout: c.ReadTimeout, DialKeepAliveTime: c.ProgressInterval, DialKeepAliveTimeout: c.ProgressInterval, PermitWithoutStream: true,
		Logger: zap.NewNop()})
}

// Reconfigure makes the source switch to the endpoints, user, password and certificates of cfg. The source keeps its view, and reads all
// keys again only if the new endpoints belong to another cluster or lack the revisions after the view's.
func (s *Source) Reconfigure(cfg Config) {
	for {
		select {
		case s.configs <- cfg:
			return
		default:
		}
		select { // discard an older configuration that was not received yet
		case <-s.configs:
		default:
		}
	}
}

// applyConfig applies the settings that Reconfigure may change.
func (s *Source) applyConfig(cfg Config) {
	s.cfg.Endpoints, s.cfg.User, s.cfg.Password, s.cfg.TLS = cfg.Endpoints, cfg.User, cfg.Password, cfg.TLS
	s.follower.requiredMembers = requiredMembers(cfg)
}

// Status returns the state of the source.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// updateStatus calls f, which may be nil, on the status and copies the view's state into it.
func (s *Source) updateStatus(f func(*Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != nil {
		f(&s.status)
	}
	s.status.Header, s.status.InvalidValues = s.follower.header, len(s.follower.invalid)
	s.status.FullReads, s.status.DuplicateEvents = s.follower.fullReads, s.follower.duplicateEvents
}

// Run follows etcd until ctx ends. After a session that ended with an error, it waits with exponential backoff and jitter, so that the
// agents of a fleet don't all reconnect at the same time.
func (s *Source) Run(ctx context.Context) {
	delay := s.cfg.MaxRetryDelay / firstDelayDivisor
	for ctx.Err() == nil {
		start := time.Now()
		newConfig, err := s.runUntilReconfigured(ctx)
		if ctx.Err() != nil {
			return
		}
		if newConfig != nil {
			s.applyConfig(*newConfig)
			delay = s.cfg.MaxRetryDelay / firstDelayDivisor
			s.sink.Interrupted(errReconfigured)
			continue
		}
		s.updateStatus(func(status *Status) { status.SessionErrors++ })
		s.sink.Interrupted(err)
		if time.Since(start) > s.cfg.MaxRetryDelay {
			delay = s.cfg.MaxRetryDelay / firstDelayDivisor
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

// runUntilReconfigured runs one session until it ends or Reconfigure is called. In the second case it returns the new configuration.
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

// reportInvalid reports the view's invalid keys to the sink, each again only if its reason changes.
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
