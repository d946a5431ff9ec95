// Package agent merges the endpoint lists of a discovery service and of etcd into one list and serves it, in the discovery protocol, to the
// ingress, forwarder or planner on the same machine, so that these need no etcd client.
//
// One goroutine, the loop, owns the merged list. The sources post their reports to it. The loop passes changes to the publisher, which
// serves them, and to the state file, which preserves the list and all reports across restarts.
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

// Agent merges its sources and serves the result. The loop, which runs in Run's goroutine, owns merger and unsaved and calls writer.
type Agent struct {
	cfg       Config
	log       *slog.Logger
	clock     monotime.Clock
	merger    *merge.Merger
	publisher *publisher
	events    chan func(now float64) // functions for the loop to run
	done      chan struct{}          // closed when the loop has ended
	etcd      *etcdsource.Source
	listener  net.Listener

	writer        *stateWriter // nil: there is no state file
	unsaved       bool         // the state has changed since it was last passed to writer
	serveDeadline float64      // from this time on one current source is enough to serve the list
}

// Open returns an agent that listens on cfg.Listen, with the state of its state file, if there is one. Run serves it.
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

// Reload applies the etcd endpoints, user, password and TLS certificates of a new configuration. The list and its version stay. restart
// reports whether other settings differ as well; these are applied only by a restart.
func (a *Agent) Reload(cfg Config) (restart bool) {
	a.etcd.Reconfigure(cfg.Etcd)
	was := a.cfg
	was.Etcd.Endpoints, was.Etcd.User, was.Etcd.Password, was.Etcd.TLS = cfg.Etcd.Endpoints, cfg.Etcd.User, cfg.Etcd.Password, cfg.Etcd.TLS
	return !reflect.DeepEqual(was, cfg)
}

// Addr returns the address that serves the list. Addr, EtcdStatus and EndpointList are safe for concurrent use.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// EtcdStatus returns the status of the etcd source.
func (a *Agent) EtcdStatus() etcdsource.Status { return a.etcd.Status() }

// EndpointList returns the merged list in the form in which it is served, also before it is served.
func (a *Agent) EndpointList() discovery.List { return a.publisher.fullList() }

// Run serves until ctx ends. It fails only if the status address can't be listened on.
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
	if a.cfg.Discovery != "" {
		go a.watchDiscovery(ctx)
	}
	a.loop(ctx)
	return nil
}

// serve starts an HTTP server on a listener. The caller closes the server.
func (a *Agent) serve(ctx context.Context, l net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			a.log.Error("HTTP server ended", "address", l.Addr().String(), "error", err)
		}
	}()
	return server
}

// startWriter starts the goroutine that writes the state file. stop writes the state once more if it has changed, then ends the goroutine.
func (a *Agent) startWriter() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		a.writer.run(end)
	}()
	return func() {
		if a.unsaved && a.publisher.isReady() {
			a.writer.replace(a.state())
		}
		close(end)
		<-ended
	}
}

// loop runs posted functions and, at each tick, the work that is due by time, until ctx ends.
func (a *Agent) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	logged := map[string]bool{} // by source name: whether it was current when last logged
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

// post queues f for the loop, which calls it with its current time in s. After the loop has ended, f is dropped.
func (a *Agent) post(f func(now float64)) {
	select {
	case a.events <- f:
	case <-a.done:
	}
}

// publish passes changed entries to the publisher and marks the state as unsaved.
func (a *Agent) publish(changes []merge.Entry) {
	a.unsaved = a.unsaved || len(changes) > 0
	a.publisher.publish(changes)
	a.serveIfReady()
}

// serveIfReady starts to serve the list once all sources are current, or once one is current and serveDeadline has passed. An agent that
// has just started must not give an ingress an empty list, or a list that lacks the stricter reports of another source.
func (a *Agent) serveIfReady() {
	all, some := true, false
	for _, s := range a.merger.SourceStatuses() {
		all, some = all && s.Current, some || s.Current
	}
	if all || some && a.clock.Now() >= a.serveDeadline {
		a.publisher.markReady()
	}
}

// saveIfChanged passes the state to the writer if it has changed, the list is being served and the writer is idle.
func (a *Agent) saveIfChanged() {
	if a.writer != nil && a.unsaved && a.publisher.isReady() && a.writer.idle() {
		a.unsaved = false
		a.writer.next <- a.state()
	}
}

// state returns the state to preserve across a restart.
func (a *Agent) state() savedState {
	return savedState{a.publisher.currentVersion(), a.merger.Snapshot()}
}

// logSources logs each source that became current or stale. logged holds, by source name, the state that was last logged.
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
