// Package agent is the program on a machine that joins roster and etcd into one list of zone nodes and serves it, in
// the roster's own protocol, to the ingress, forwarder or planner beside it. Those link no etcd client.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"net/netip"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/etcdsource"
	"eiderspread/internal/membership/merge"
)

const (
	eventQueueSize = 256
	tickInterval   = 100 * time.Millisecond
	etcdName       = "etcd"
	rosterName     = "roster"
)

// File is the operator's file, deploy/etcd.toml.
type File struct {
	Listen         string                         `toml:"listen"`
	Status         string                         `toml:"status"`
	Roster         string                         `toml:"roster"` // empty: etcd alone
	State          string                         `toml:"state"`  // file that keeps what is known across restarts; empty: none
	StartTimeoutMS float64                        `toml:"start_ms"`
	Endpoints      []string                       `toml:"endpoints"`
	Prefix         string                         `toml:"prefix"`
	User           string                         `toml:"user"`
	PasswordFile   string                         `toml:"password_file"`
	TLS            struct{ Cert, Key, CA string } `toml:"tls"`
	ProgressMS     float64                        `toml:"progress_ms"`
	StaleMS        float64                        `toml:"stale_ms"`
	RosterStaleMS  float64                        `toml:"roster_stale_ms"`
	OrphanMS       float64                        `toml:"orphan_ms"`
	TimeoutMS      float64                        `toml:"timeout_ms"`
	MaxRetryMS     float64                        `toml:"retry_ms"`
	FlapMS         float64                        `toml:"flap_ms"`
	MaxFlapDelayMS float64                        `toml:"flap_most_ms"`
}

// Config is the file, checked.
type Config struct {
	Listen, Status, Roster, State string

	StartTimeoutS float64 // a start waits so long for all sources, before it serves by those that are current
	Etcd          etcdsource.Config
	Merge         merge.Config
}

// ReadFile reads and checks the operator's file and all that it names.
func ReadFile(path string) (Config, error) {
	f := File{ProgressMS: 500, StaleMS: 2000, RosterStaleMS: 5000, OrphanMS: 10000, TimeoutMS: 2000, MaxRetryMS: 2000, FlapMS: 60000, MaxFlapDelayMS: 30000, StartTimeoutMS: 3000}
	if err := operatorconfig.Decode(path, &f); err != nil {
		return Config{}, err
	}
	c, err := f.check()
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (f File) check() (Config, error) {
	ms := func(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
	c := Config{Listen: f.Listen, Status: f.Status, Roster: f.Roster, State: f.State, StartTimeoutS: f.StartTimeoutMS / 1e3,
		Etcd: etcdsource.Config{Endpoints: f.Endpoints, Prefix: f.Prefix, User: f.User, ProgressInterval: ms(f.ProgressMS), ReadTimeout: ms(f.TimeoutMS),
			MaxRetryDelay: ms(f.MaxRetryMS)},
		Merge: merge.Config{StaleAfterS: map[string]float64{etcdName: f.StaleMS / 1e3}, OrphanAfterS: f.OrphanMS / 1e3, FlapWindowS: f.FlapMS / 1e3,
			MaxFlapDelayS: f.MaxFlapDelayMS / 1e3}}
	for name, a := range map[string]string{"listen": f.Listen, "status": f.Status, "roster": f.Roster} {
		if _, err := netip.ParseAddrPort(a); err != nil && (a != "" || name == "listen") {
			return c, fmt.Errorf("%s: %w", name, err)
		}
	}
	for name, x := range map[string]float64{"progress_ms": f.ProgressMS, "stale_ms": f.StaleMS, "roster_stale_ms": f.RosterStaleMS, "orphan_ms": f.OrphanMS,
		"timeout_ms": f.TimeoutMS, "retry_ms": f.MaxRetryMS, "flap_ms": f.FlapMS, "flap_most_ms": f.MaxFlapDelayMS, "start_ms": f.StartTimeoutMS} {
		if !(x >= 1 && x <= 3.6e6) {
			return c, fmt.Errorf("%s must be 1 to 3600000", name)
		}
	}
	switch {
	case len(f.Endpoints) == 0:
		return c, errors.New("endpoints are missing")
	case !strings.HasSuffix(f.Prefix, "/"):
		return c, errors.New("prefix must end with /")
	case f.StaleMS < 3*f.ProgressMS:
		return c, errors.New("stale_ms must be three times progress_ms at least")
	}
	if f.Roster != "" {
		c.Merge.StaleAfterS[rosterName] = f.RosterStaleMS / 1e3
	}
	if f.PasswordFile != "" {
		text, err := os.ReadFile(f.PasswordFile)
		if err != nil {
			return c, fmt.Errorf("password_file: %w", err)
		}
		c.Etcd.Password = strings.TrimSpace(string(text))
	}
	if f.State != "" {
		if _, err := loadState(f.State); err != nil {
			return c, err
		}
		if i, err := os.Stat(filepath.Dir(f.State)); err != nil || !i.IsDir() {
			return c, fmt.Errorf("state: %s is no folder", filepath.Dir(f.State))
		}
	}
	var err error
	if c.Etcd.TLS, err = transport.Identity(f.TLS).Config(); err != nil {
		return c, fmt.Errorf("tls: %w", err)
	}
	return c, nil
}

// Agent is one agent. Its loop alone owns the core.
type Agent struct {
	cfg       Config
	log       *slog.Logger
	clock     monotime.Clock
	merger    *merge.Merger
	publisher *publisher
	events    chan func(now float64)
	done      chan struct{}
	etcd      *etcdsource.Source
	listener  net.Listener

	writer        *stateWriter // nil: nothing is kept
	dirty         bool         // what is known has changed since it was kept
	serveDeadline float64      // from then on the list is served by those sources that are current
}

// Open makes an agent and its listener.
func Open(cfg Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan func(float64), eventQueueSize), done: make(chan struct{})}
	saved, err := savedState{}, error(nil)
	if cfg.State != "" {
		if saved, err = loadState(cfg.State); err != nil {
			return nil, err
		}
		a.writer = &stateWriter{path: cfg.State, next: make(chan savedState, 1), logError: func(err error) { log.Error("what is known is not kept", "error", err) }}
	}
	now := a.clock.Now()
	a.merger = merge.NewMerger(cfg.Merge, now, saved.Merged.Entries)
	a.merger.Restore(saved.Merged)
	a.publisher = newPublisher(max(time.Now().UnixMilli(), saved.Version+1))
	a.serveDeadline = now + cfg.StartTimeoutS
	for _, e := range a.merger.Entries() {
		a.publisher.endpoints[e.ID] = toEndpoint(e)
	}
	a.publisher.ready = len(saved.Merged.Entries) > 0
	a.etcd = etcdsource.NewSource(cfg.Etcd, etcdSink{a})
	if a.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return a, nil
}

// Reload takes over from a configuration that was read again where etcd is and how one is known there. The list, its version
// and all else stay; Reload says whether more differs, which a restart takes over.
func (a *Agent) Reload(cfg Config) (more bool) {
	a.etcd.Reconfigure(cfg.Etcd)
	was := a.cfg
	was.Etcd.Endpoints, was.Etcd.User, was.Etcd.Password, was.Etcd.TLS = cfg.Etcd.Endpoints, cfg.Etcd.User, cfg.Etcd.Password, cfg.Etcd.TLS
	return !reflect.DeepEqual(was, cfg)
}

// Addr is where the list is served.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// EtcdStatus tells how etcd's part stands.
func (a *Agent) EtcdStatus() etcdsource.Status { return a.etcd.Status() }

// EndpointList is the joined list as it is served.
func (a *Agent) EndpointList() discovery.List { return a.publisher.fullList() }

func (a *Agent) post(do func(now float64)) {
	select {
	case a.events <- do:
	case <-a.done:
	}
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(a.done)
	srv := &http.Server{Handler: a.publisher, ReadHeaderTimeout: time.Second, BaseContext: func(net.Listener) context.Context { return ctx }}
	defer srv.Close()
	go srv.Serve(a.listener)
	if a.cfg.Status != "" {
		l, err := net.Listen("tcp", a.cfg.Status)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		st := &http.Server{Handler: http.HandlerFunc(a.status), ReadHeaderTimeout: time.Second}
		defer st.Close()
		go st.Serve(l)
	}
	if a.writer != nil {
		kept := make(chan struct{})
		end := make(chan struct{})
		go func() { defer close(kept); a.writer.run(end) }()
		defer func() {
			if a.dirty && a.publisher.isReady() { // the last word, in the place of one that waits
				select {
				case <-a.writer.next:
				default:
				}
				a.writer.next <- savedState{a.publisher.currentVersion(), a.merger.Snapshot()}
			}
			close(end)
			<-kept
		}()
	}
	go a.etcd.Run(ctx)
	if a.cfg.Roster != "" {
		w := discovery.NewWatcher(a.cfg.Roster, -1, func(l discovery.List) { a.post(func(now float64) { a.applyRoster(now, l) }) },
			func(what string, args ...any) { a.log.Warn("roster: "+what, args...) })
		w.OnAlive = func() { a.post(func(now float64) { a.publish(a.merger.MarkResumed(now, rosterName)) }) }
		go w.Run(ctx, nil)
	}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	current := map[string]bool{}
	for {
		select {
		case do := <-a.events:
			do(a.clock.Now())
			a.saveIfChanged()
		case <-t.C:
			a.publish(a.merger.Tick(a.clock.Now()))
			a.publisher.setSourceAge(a.maxSourceAge())
			a.saveIfChanged()
			a.serveIfReady()
		case <-ctx.Done():
			return nil
		}
		for _, s := range a.merger.SourceStatuses() { // loudly, both ways
			if was, known := current[s.Name]; !known || was != s.Current {
				current[s.Name] = s.Current
				level := slog.LevelInfo
				if !s.Current {
					level = slog.LevelError
				}
				a.log.Log(ctx, level, "source", "name", s.Name, "current", s.Current, "age_s", min(s.AgeS, 1e9))
			}
		}
	}
}

// publish tells of changes.
func (a *Agent) publish(changed []merge.Entry) {
	a.dirty = a.dirty || len(changed) > 0
	a.publisher.publish(changed)
	a.serveIfReady()
}

// serveIfReady has the list served for the first time once all sources are current, or one is and the time to wait is over: an ingress
// must not be told an empty list by an agent that has just come, nor one without what another source has to say against it.
func (a *Agent) serveIfReady() {
	all, any := true, false
	for _, s := range a.merger.SourceStatuses() {
		all, any = all && s.Current, any || s.Current
	}
	if all || any && a.clock.Now() >= a.serveDeadline {
		a.publisher.markReady()
	}
}

// saveIfChanged hands what is known to the keeper if it has changed.
func (a *Agent) saveIfChanged() {
	if a.writer != nil && a.dirty && a.publisher.isReady() && a.writer.ready() {
		a.dirty = false
		a.writer.next <- savedState{a.publisher.currentVersion(), a.merger.Snapshot()}
	}
}

// maxSourceAge is for how long the source has been silent that has been so the longest, in seconds.
func (a *Agent) maxSourceAge() (s float64) {
	for _, src := range a.merger.SourceStatuses() {
		s = max(s, min(src.AgeS, 1e9))
	}
	return s
}

func (a *Agent) applyRoster(now float64, l discovery.List) {
	var nodes []merge.Node
	for _, t := range l.Endpoints {
		n := merge.Node{Identity: merge.Identity{ID: t.ID, Addr: t.Addr, StartedMS: t.StartedMS}, Zone: t.Zone, Cell: t.Cell, Weight: t.Weight}
		for state, word := range stateNames {
			if word == t.State {
				n.State = state
			}
		}
		nodes = append(nodes, n)
	}
	a.dirty = true // words, if not the list
	if l.Full {
		a.publish(a.merger.ReplaceAll(now, rosterName, nodes))
	} else {
		a.publish(a.merger.Update(now, rosterName, nodes))
	}
}

// etcdSink hands what etcd's source learns to the loop.
type etcdSink struct{ agent *Agent }

func (s etcdSink) ReplaceAll(nodes []merge.Node, why string) {
	s.agent.log.Info("etcd read whole", "nodes", len(nodes), "why", why)
	s.agent.post(func(now float64) {
		s.agent.dirty = true
		s.agent.publish(s.agent.merger.ReplaceAll(now, etcdName, nodes))
	})
}
func (s etcdSink) Update(nodes []merge.Node) {
	s.agent.post(func(now float64) {
		s.agent.dirty = true
		s.agent.publish(s.agent.merger.Update(now, etcdName, nodes))
	})
}
func (s etcdSink) Resumed() {
	s.agent.post(func(now float64) { s.agent.publish(s.agent.merger.MarkResumed(now, etcdName)) })
}
func (s etcdSink) Interrupted(why error) {
	s.agent.log.Warn("etcd watch broken", "error", why)
}
func (s etcdSink) InvalidValue(key, why string) {
	s.agent.log.Error("value refused", "key", key, "why", why)
}

// Status is what an agent tells people.
type Status struct {
	Etcd    etcdsource.Status    `json:"etcd"`
	Sources []merge.SourceStatus `json:"sources"`
	Nodes   []NodeStatus         `json:"nodes"`
}

// NodeStatus is one node, and why it stands as it does.
type NodeStatus struct {
	ID     string `json:"ID"`
	Addr   string `json:"Addr"`
	State  string `json:"State"`
	Reason string `json:"Why"`
}

func (a *Agent) status(w http.ResponseWriter, r *http.Request) {
	got := make(chan Status, 1)
	a.post(func(now float64) {
		st := Status{Etcd: a.etcd.Status(), Sources: a.merger.SourceStatuses()}
		for i := range st.Sources {
			st.Sources[i].AgeS = min(st.Sources[i].AgeS, 1e9)
		}
		for _, e := range a.merger.Entries() {
			st.Nodes = append(st.Nodes, NodeStatus{e.ID, e.Addr, e.State.String(), e.Reason})
		}
		got <- st
	})
	select {
	case st := <-got:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
	case <-a.done:
	case <-r.Context().Done():
	}
}
