package planner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/observability/trace"
)

const (
	// eventQueueSize bounds the events that are queued for the event loop. A goroutine that posts to a full queue blocks.
	eventQueueSize = 1024
	// drainDelay is how long a planner that shuts down keeps its links open, so that the forwarders can read its releases.
	drainDelay = 300 * time.Millisecond
	// maxLogLinesPerSecond bounds the log lines that Server.Log writes; it drops the others.
	maxLogLinesPerSecond = 20
	// spareConnSlots is the number of connections accepted beyond two for each forwarder, for peers that are about to be rejected.
	spareConnSlots = 8
	// acceptRetryDelay is the pause after a failed accept: the process is out of file descriptors, and other connections must end first.
	acceptRetryDelay = 5 * time.Millisecond
)

var errShuttingDown = errors.New("planner is shutting down")

// Server runs a planner on the network. Only its event loop, which Serve runs, accesses the core and the links.
type Server struct {
	cfg         FileConfig
	log         *slog.Logger
	clock       monotime.Clock
	core        *Core
	events      chan func(now float64)
	done        chan struct{} // closed when the event loop has ended
	listener    net.Listener
	tls         *tls.Config // nil: links are unencrypted
	incarnation uint64      // of this process; chosen at random at its start

	links     []*transport.Conn // by forwarder; nil: none; used only on the event loop
	connSlots chan struct{}     // acquired before each accept and released when the connection ends

	closedBytesIn, closedBytesOut atomic.Uint64 // of links that have ended

	logSecond int64 // the second in which logLines are counted; used only on the event loop
	logLines  int   // lines logged in that second; used only on the event loop
}

// Run opens a planner and serves until ctx ends. It then releases the planner's cells before it returns.
func Run(ctx context.Context, cfg FileConfig, log *slog.Logger) error {
	s, err := Open(cfg, log)
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// Open returns a planner that listens for forwarders but does not serve them before Serve is called.
func Open(cfg FileConfig, log *slog.Logger) (*Server, error) {
	s := &Server{
		cfg:         cfg,
		log:         log,
		clock:       monotime.NewClock(),
		events:      make(chan func(float64), eventQueueSize),
		done:        make(chan struct{}),
		incarnation: rand.Uint64(),
		links:       make([]*transport.Conn, cfg.Forwarders),
		connSlots:   make(chan struct{}, 2*cfg.Forwarders+spareConnSlots),
	}
	var err error
	if s.tls, err = cfg.TLS.Config(); err != nil {
		return nil, err
	}
	settings := cfg.Ingress.Settings.Settings
	settings.MaxAccounts = cfg.Ingress.MaxAccounts()
	coreConfig := Config{Params: cfg.Params, Number: cfg.Number, Settings: settings, Seed: cfg.Ingress.Seed ^ s.incarnation}
	if s.core, err = NewCore(coreConfig, s.clock.Now(), s); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", cfg.ListenAddr); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// SendToForwarder implements Output.
func (s *Server) SendToForwarder(forwarder int, msgs ...transport.Message) {
	if link := s.links[forwarder]; link != nil {
		link.Send(msgs...)
	}
}

// Log implements Output. It drops lines beyond maxLogLinesPerSecond. It must run on the event loop.
func (s *Server) Log(text string, args ...any) {
	if second := int64(s.clock.Now()); second != s.logSecond {
		s.logSecond, s.logLines = second, 0
	}
	if s.logLines++; s.logLines <= maxLogLinesPerSecond {
		s.log.Info(text, args...)
	}
}

// post queues fn to run on the event loop, and blocks while the queue is full. It drops fn if the loop has ended.
func (s *Server) post(fn func(now float64)) {
	select {
	case s.events <- fn:
	case <-s.done:
	}
}

// postLog queues a log line to be written by the event loop.
func (s *Server) postLog(text string, args ...any) {
	s.post(func(float64) { s.Log(text, args...) })
}

// Serve runs the planner until ctx ends and the planner has released its cells.
func (s *Server) Serve(ctx context.Context) error {
	defer s.listener.Close()
	// The goroutines that feed the event loop must outlive ctx: they run until the cells have been released.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if s.cfg.StatusAddr != "" {
		srv, err := s.listenStatus()
		if err != nil {
			return err
		}
		defer srv.Close()
	}
	if s.cfg.AdminAddr != "" {
		api, err := admin.Listen(s.cfg.AdminAddr, &adminAPI{s})
		if err != nil {
			return err
		}
		go api.Serve()
		defer api.Close()
	}
	if s.cfg.TraceFolder != "" {
		recorder, err := s.startTrace(serveCtx)
		if err != nil {
			return err
		}
		defer func() {
			cancel()
			recorder.Wait()
		}()
	}
	s.core.UpdateBackends(s.clock.Now(), s.cfg.Ingress.InitialEndpoints.Backends(), true)
	go s.followDiscovery(serveCtx)
	go s.acceptLoop()
	defer close(s.done)
	s.loop(ctx)
	return nil
}

// loop handles events until drainDelay after ctx has ended, so that the forwarders have time to read the releases of the cells.
func (s *Server) loop(ctx context.Context) {
	tick := time.NewTicker(time.Duration(TickIntervalS * float64(time.Second)))
	defer tick.Stop()
	ctxDone := ctx.Done()
	var drainElapsed <-chan time.Time
	for {
		select {
		case fn := <-s.events:
			fn(s.clock.Now())
		case <-tick.C:
			s.core.Tick(s.clock.Now())
		case <-ctxDone:
			ctxDone = nil
			s.log.Info("planner is draining")
			s.core.Drain(s.clock.Now())
			drainElapsed = time.After(drainDelay)
		case <-drainElapsed:
			for _, link := range s.links {
				if link != nil {
					link.Close(errShuttingDown)
				}
			}
			return
		}
	}
}

// listenStatus serves the status page until the returned server is closed.
func (s *Server) listenStatus() (*http.Server, error) {
	listener, err := net.Listen("tcp", s.cfg.StatusAddr)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(s.handleStatus), ReadHeaderTimeout: time.Second}
	go func() {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("status server failed", "error", err)
		}
	}()
	return srv, nil
}

// startTrace starts to record the modules' decisions. The recorder runs until ctx ends.
func (s *Server) startTrace(ctx context.Context) (*trace.Recorder, error) {
	settings := s.cfg.Ingress.Settings
	recorder, err := trace.Start(ctx, s.cfg.TraceFolder, s.cfg.TraceMB, trace.Header{
		Name:      fmt.Sprint("planner-", s.cfg.Number),
		Gateway:   s.cfg.Number,
		Gateways:  s.cfg.Planners,
		StartedAt: s.clock.Now(),
		Plans:     settings.Plans,
		Classes:   settings.Classes,
	}, s.log)
	if err != nil {
		return nil, err
	}
	s.core.SetTracer(recorder.Put)
	return recorder, nil
}

// followDiscovery applies changes of the endpoint list on the event loop until ctx ends.
func (s *Server) followDiscovery(ctx context.Context) {
	apply := func(list discovery.List) {
		s.post(func(now float64) { s.core.UpdateBackends(now, list.Backends(), list.Full) })
	}
	discovery.NewWatcher(s.cfg.Ingress.Discovery, s.cfg.Ingress.InitialEndpoints.Version, apply, s.postLog).Run(ctx, nil)
}
