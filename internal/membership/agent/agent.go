// Package agent is the program on a machine that merges the endpoint lists of a roster and of etcd into one and serves it, in the roster's
// protocol, to the ingress, forwarder or planner beside it, which then need no etcd client.
//
// One loop owns the merged list. Sources post what they report to it; changes go to the publisher, which serves them, and to the state
// file, which keeps what is known across restarts.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"time"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/membership/etcdsource"
	"eiderspread/internal/membership/merge"
)

const (
	eventQueueSize    = 256
	tickInterval      = 100 * time.Millisecond
	readHeaderTimeout = time.Second
)

// Agent is one agent. Its loop, which is Run's goroutine, owns merger, changed and the calls of writer.
type Agent struct {
	cfg       Config
	log       *slog.Logger
	clock     monotime.Clock
	merger    *merge.Merger
	publisher *publisher
	events    chan func(now float64) // to be run by the loop
	done      chan struct{}          // closed when the loop has ended
	etcd      *etcdsource.Source
	listener  net.Listener

	writer        *stateWriter // nil: no state file
	changed       bool         // what is known differs from what was last given to writer
	serveDeadline float64      // from then on the list is served by those sources that are current
}

// Open makes an agent and its listener. It reads the state file, if there is one.
func Open(cfg Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan func(float64), eventQueueSize), done: make(chan struct{})}
	var saved savedState
	if cfg.State != "" {
		var err error
		if saved, err = loadState(cfg.State); err != nil {
			return nil, err
		}
		a.writer = newStateWriter(cfg.State, func(err error) { log.Error("state file not written", "error", err) })
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
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	a.listener = listener
	return a, nil
}

// Reload takes over, from a configuration that was read again, where etcd is and how one logs in there. The list and its version stay.
// restart reports whether more differs, which takes a restart.
func (a *Agent) Reload(cfg Config) (restart bool) {
	a.etcd.Reconfigure(cfg.Etcd)
	was := a.cfg
	was.Etcd.Endpoints, was.Etcd.User, was.Etcd.Password, was.Etcd.TLS = cfg.Etcd.Endpoints, cfg.Etcd.User, cfg.Etcd.Password, cfg.Etcd.TLS
	return !reflect.DeepEqual(was, cfg)
}

// Addr is where the list is served. It is safe for concurrent use, as EtcdStatus and EndpointList are.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// EtcdStatus is the state of the etcd source.
func (a *Agent) EtcdStatus() etcdsource.Status { return a.etcd.Status() }

// EndpointList is the merged list as it is served.
func (a *Agent) EndpointList() discovery.List { return a.publisher.fullList() }

// Run serves until ctx ends. Its error is that of the status listener.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(a.done)
	list := a.serve(ctx, a.listener, a.publisher)
	defer list.Close()
	if a.cfg.Status != "" {
		l, err := net.Listen("tcp", a.cfg.Status)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		status := a.serve(ctx, l, http.HandlerFunc(a.serveStatus))
		defer status.Close()
	}
	if a.writer != nil {
		stop := a.startWriter()
		defer stop()
	}
	go a.etcd.Run(ctx)
	if a.cfg.Roster != "" {
		go a.watchRoster(ctx)
	}
	a.loop(ctx)
	return nil
}

// serve answers HTTP on a listener until the server is closed.
func (a *Agent) serve(ctx context.Context, l net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("HTTP server ended", "address", l.Addr().String(), "error", err)
		}
	}()
	return server
}

// startWriter begins to write the state file; stop writes what has changed since and ends it.
func (a *Agent) startWriter() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		a.writer.run(end)
	}()
	return func() {
		if a.changed && a.publisher.isReady() {
			a.writer.replace(a.state())
		}
		close(end)
		<-ended
	}
}

// loop runs events and looks after time until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	logged := map[string]bool{} // by source: whether it was current
	for {
		select {
		case run := <-a.events:
			run(a.clock.Now())
			a.saveIfChanged()
		case <-ticker.C:
			a.publish(a.merger.Tick(a.clock.Now()))
			a.publisher.setSourceAge(a.maxSourceAge())
			a.saveIfChanged()
			a.serveIfReady()
		case <-ctx.Done():
			return
		}
		a.logSources(ctx, logged)
	}
}

// post has the loop run f, unless it has ended.
func (a *Agent) post(f func(now float64)) {
	select {
	case a.events <- f:
	case <-a.done:
	}
}

// publish passes changes on.
func (a *Agent) publish(changes []merge.Entry) {
	a.changed = a.changed || len(changes) > 0
	a.publisher.publish(changes)
	a.serveIfReady()
}

// serveIfReady has the list served once all sources are current, or one is and the time to wait for the others is over. An ingress must
// not be given an empty list by an agent that has just started, nor one without the stricter reports of another source.
func (a *Agent) serveIfReady() {
	all, some := true, false
	for _, s := range a.merger.SourceStatuses() {
		all, some = all && s.Current, some || s.Current
	}
	if all || some && a.clock.Now() >= a.serveDeadline {
		a.publisher.markReady()
	}
}

// saveIfChanged gives what is known to the writer if it has changed and would be written at once.
func (a *Agent) saveIfChanged() {
	if a.writer != nil && a.changed && a.publisher.isReady() && a.writer.idle() {
		a.changed = false
		a.writer.next <- a.state()
	}
}

// state is what is to be kept across a restart.
func (a *Agent) state() savedState {
	return savedState{a.publisher.currentVersion(), a.merger.Snapshot()}
}

// logSources logs each source that became current or stale; logged holds what was logged last.
func (a *Agent) logSources(ctx context.Context, logged map[string]bool) {
	for _, s := range a.merger.SourceStatuses() {
		if was, known := logged[s.Name]; known && was == s.Current {
			continue
		}
		logged[s.Name] = s.Current
		level, message := slog.LevelInfo, "source is current"
		if !s.Current {
			level, message = slog.LevelError, "source is stale"
		}
		a.log.Log(ctx, level, message, "name", s.Name, "age_s", finiteAge(s.AgeS))
	}
}
