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

	"eiderspread/internal/etcdsource"
	"eiderspread/internal/link"
	"eiderspread/internal/member"
	"eiderspread/internal/mono"
	"eiderspread/internal/operator"
	"eiderspread/internal/roster"
)

const (
	eventQueue = 256
	tick       = 100 * time.Millisecond
	etcdName   = "etcd"
	rosterName = "roster"
)

// File is the operator's file, deploy/etcd.toml.
type File struct {
	Listen       string
	Status       string
	Roster       string  // empty: etcd alone
	State        string  // file that keeps what is known across restarts; empty: none
	StartMS      float64 `toml:"start_ms"`
	Endpoints    []string
	Prefix       string
	User         string
	PasswordFile string `toml:"password_file"`
	TLS          struct{ Cert, Key, CA string }
	ProgressMS   float64 `toml:"progress_ms"`
	StaleMS      float64 `toml:"stale_ms"`
	RosterMS     float64 `toml:"roster_stale_ms"`
	OrphanMS     float64 `toml:"orphan_ms"`
	TimeoutMS    float64 `toml:"timeout_ms"`
	RetryMS      float64 `toml:"retry_ms"`
	FlapMS       float64 `toml:"flap_ms"`
	FlapMostMS   float64 `toml:"flap_most_ms"`
}

// Config is the file, checked.
type Config struct {
	Listen, Status, Roster, State string

	StartS float64 // a start waits so long for all sources, before it serves by those that are current
	Etcd   etcdsource.Config
	Member member.Config
}

// ReadFile reads and checks the operator's file and all that it names.
func ReadFile(path string) (Config, error) {
	f := File{ProgressMS: 500, StaleMS: 2000, RosterMS: 5000, OrphanMS: 10000, TimeoutMS: 2000, RetryMS: 2000, FlapMS: 60000, FlapMostMS: 30000, StartMS: 3000}
	if err := operator.Decode(path, &f); err != nil {
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
	c := Config{Listen: f.Listen, Status: f.Status, Roster: f.Roster, State: f.State, StartS: f.StartMS / 1e3,
		Etcd: etcdsource.Config{Endpoints: f.Endpoints, Prefix: f.Prefix, User: f.User, Progress: ms(f.ProgressMS), Timeout: ms(f.TimeoutMS),
			RetryMost: ms(f.RetryMS)},
		Member: member.Config{StaleS: map[string]float64{etcdName: f.StaleMS / 1e3}, OrphanS: f.OrphanMS / 1e3, FlapS: f.FlapMS / 1e3,
			FlapMost: f.FlapMostMS / 1e3}}
	for name, a := range map[string]string{"listen": f.Listen, "status": f.Status, "roster": f.Roster} {
		if _, err := netip.ParseAddrPort(a); err != nil && (a != "" || name == "listen") {
			return c, fmt.Errorf("%s: %w", name, err)
		}
	}
	for name, x := range map[string]float64{"progress_ms": f.ProgressMS, "stale_ms": f.StaleMS, "roster_stale_ms": f.RosterMS, "orphan_ms": f.OrphanMS,
		"timeout_ms": f.TimeoutMS, "retry_ms": f.RetryMS, "flap_ms": f.FlapMS, "flap_most_ms": f.FlapMostMS, "start_ms": f.StartMS} {
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
		c.Member.StaleS[rosterName] = f.RosterMS / 1e3
	}
	if f.PasswordFile != "" {
		text, err := os.ReadFile(f.PasswordFile)
		if err != nil {
			return c, fmt.Errorf("password_file: %w", err)
		}
		c.Etcd.Password = strings.TrimSpace(string(text))
	}
	if f.State != "" {
		if _, err := recall(f.State); err != nil {
			return c, err
		}
		if i, err := os.Stat(filepath.Dir(f.State)); err != nil || !i.IsDir() {
			return c, fmt.Errorf("state: %s is no folder", filepath.Dir(f.State))
		}
	}
	var err error
	if c.Etcd.TLS, err = link.Identity(f.TLS).Config(); err != nil {
		return c, fmt.Errorf("tls: %w", err)
	}
	return c, nil
}

// Agent is one agent. Its loop alone owns the core.
type Agent struct {
	cfg    Config
	log    *slog.Logger
	clock  mono.Clock
	core   *member.Core
	pub    *publisher
	events chan func(now float64)
	done   chan struct{}
	source *etcdsource.Source
	listen net.Listener

	keeper  *keeper // nil: nothing is kept
	dirty   bool    // what is known has changed since it was kept
	serveBy float64 // from then on the list is served by those sources that are current
}

// Open makes an agent and its listener.
func Open(cfg Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, clock: mono.NewClock(), events: make(chan func(float64), eventQueue), done: make(chan struct{})}
	was, err := memory{}, error(nil)
	if cfg.State != "" {
		if was, err = recall(cfg.State); err != nil {
			return nil, err
		}
		a.keeper = &keeper{path: cfg.State, next: make(chan memory, 1), note: func(err error) { log.Error("what is known is not kept", "error", err) }}
	}
	now := a.clock.Now()
	a.core = member.New(cfg.Member, now, was.Known.List)
	a.core.Remember(was.Known)
	a.pub = newPublisher(max(time.Now().UnixMilli(), was.Version+1))
	a.serveBy = now + cfg.StartS
	for _, e := range a.core.List() {
		a.pub.list[e.ID] = target(e)
	}
	a.pub.ready = len(was.Known.List) > 0
	a.source = etcdsource.New(cfg.Etcd, sink{a})
	if a.listen, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return a, nil
}

// Reload takes over from a configuration that was read again where etcd is and how one is known there. The list, its version
// and all else stay; Reload says whether more differs, which a restart takes over.
func (a *Agent) Reload(cfg Config) (more bool) {
	a.source.Move(cfg.Etcd)
	was := a.cfg
	was.Etcd.Endpoints, was.Etcd.User, was.Etcd.Password, was.Etcd.TLS = cfg.Etcd.Endpoints, cfg.Etcd.User, cfg.Etcd.Password, cfg.Etcd.TLS
	return !reflect.DeepEqual(was, cfg)
}

// Addr is where the list is served.
func (a *Agent) Addr() string { return a.listen.Addr().String() }

// Source tells how etcd's part stands.
func (a *Agent) Source() etcdsource.Status { return a.source.Status() }

// List is the joined list as it is served.
func (a *Agent) List() roster.List { return a.pub.whole() }

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
	srv := &http.Server{Handler: a.pub, ReadHeaderTimeout: time.Second, BaseContext: func(net.Listener) context.Context { return ctx }}
	defer srv.Close()
	go srv.Serve(a.listen)
	if a.cfg.Status != "" {
		l, err := net.Listen("tcp", a.cfg.Status)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		st := &http.Server{Handler: http.HandlerFunc(a.status), ReadHeaderTimeout: time.Second}
		defer st.Close()
		go st.Serve(l)
	}
	if a.keeper != nil {
		kept := make(chan struct{})
		end := make(chan struct{})
		go func() { defer close(kept); a.keeper.run(end) }()
		defer func() {
			if a.dirty && a.pub.begun() { // the last word, in the place of one that waits
				select {
				case <-a.keeper.next:
				default:
				}
				a.keeper.next <- memory{a.pub.at(), a.core.Memory()}
			}
			close(end)
			<-kept
		}()
	}
	go a.source.Run(ctx)
	if a.cfg.Roster != "" {
		w := roster.New(a.cfg.Roster, -1, func(l roster.List) { a.post(func(now float64) { a.roster(now, l) }) },
			func(what string, args ...any) { a.log.Warn("roster: "+what, args...) })
		w.Alive = func() { a.post(func(now float64) { a.publish(a.core.Resumed(now, rosterName)) }) }
		go w.Run(ctx, nil)
	}
	t := time.NewTicker(tick)
	defer t.Stop()
	current := map[string]bool{}
	for {
		select {
		case do := <-a.events:
			do(a.clock.Now())
			a.keep()
		case <-t.C:
			a.publish(a.core.Tick(a.clock.Now()))
			a.pub.aged(a.age())
			a.keep()
			a.begin()
		case <-ctx.Done():
			return nil
		}
		for _, s := range a.core.Sources() { // loudly, both ways
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
func (a *Agent) publish(changed []member.Entry) {
	a.dirty = a.dirty || len(changed) > 0
	a.pub.publish(changed)
	a.begin()
}

// begin has the list served for the first time once all sources are current, or one is and the time to wait is over: an ingress
// must not be told an empty list by an agent that has just come, nor one without what another source has to say against it.
func (a *Agent) begin() {
	all, any := true, false
	for _, s := range a.core.Sources() {
		all, any = all && s.Current, any || s.Current
	}
	if all || any && a.clock.Now() >= a.serveBy {
		a.pub.serve()
	}
}

// keep hands what is known to the keeper if it has changed.
func (a *Agent) keep() {
	if a.keeper != nil && a.dirty && a.pub.begun() && a.keeper.ready() {
		a.dirty = false
		a.keeper.next <- memory{a.pub.at(), a.core.Memory()}
	}
}

// age is for how long the source has been silent that has been so the longest, in seconds.
func (a *Agent) age() (s float64) {
	for _, src := range a.core.Sources() {
		s = max(s, min(src.AgeS, 1e9))
	}
	return s
}

func (a *Agent) roster(now float64, l roster.List) {
	var nodes []member.Node
	for _, t := range l.Servers {
		n := member.Node{Identity: member.Identity{ID: t.ID, Addr: t.Addr, StartedMS: t.StartedMS}, Zone: t.Zone, Cell: t.Cell, Weight: t.Weight}
		for state, word := range words {
			if word == t.State {
				n.State = state
			}
		}
		nodes = append(nodes, n)
	}
	a.dirty = true // words, if not the list
	if l.Full {
		a.publish(a.core.Whole(now, rosterName, nodes))
	} else {
		a.publish(a.core.Change(now, rosterName, nodes))
	}
}

// sink hands what etcd's source learns to the loop.
type sink struct{ a *Agent }

func (s sink) Whole(nodes []member.Node, why string) {
	s.a.log.Info("etcd read whole", "nodes", len(nodes), "why", why)
	s.a.post(func(now float64) {
		s.a.dirty = true
		s.a.publish(s.a.core.Whole(now, etcdName, nodes))
	})
}
func (s sink) Change(nodes []member.Node) {
	s.a.post(func(now float64) {
		s.a.dirty = true
		s.a.publish(s.a.core.Change(now, etcdName, nodes))
	})
}
func (s sink) Alive() {
	s.a.post(func(now float64) { s.a.publish(s.a.core.Resumed(now, etcdName)) })
}
func (s sink) Broken(why error) {
	s.a.log.Warn("etcd watch broken", "error", why)
}
func (s sink) Bad(key, why string) { s.a.log.Error("value refused", "key", key, "why", why) }

// Status is what an agent tells people.
type Status struct {
	Etcd    etcdsource.Status     `json:"etcd"`
	Sources []member.SourceStatus `json:"sources"`
	Nodes   []NodeStatus          `json:"nodes"`
}

// NodeStatus is one node, and why it stands as it does.
type NodeStatus struct {
	ID, Addr, State, Why string
}

func (a *Agent) status(w http.ResponseWriter, r *http.Request) {
	got := make(chan Status, 1)
	a.post(func(now float64) {
		st := Status{Etcd: a.source.Status(), Sources: a.core.Sources()}
		for i := range st.Sources {
			st.Sources[i].AgeS = min(st.Sources[i].AgeS, 1e9)
		}
		for _, e := range a.core.List() {
			st.Nodes = append(st.Nodes, NodeStatus{e.ID, e.Addr, e.State.String(), e.Why})
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
