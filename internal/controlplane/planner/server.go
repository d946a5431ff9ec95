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
	// eventQueueSize bounds the events that wait for the loop; whoever posts a further one waits.
	eventQueueSize = 1024
	// drainDelay is how long a planner that ends goes on serving its links, so that forwarders read its releases.
	drainDelay = 300 * time.Millisecond
	// maxLogLinesPerSecond bounds what Server.Log writes.
	maxLogLinesPerSecond = 20
	// spareConnSlots are connections beyond two for each forwarder, for peers that are about to be rejected.
	spareConnSlots = 8
	// acceptRetryDelay is the pause after a failed accept: the process is out of descriptors, and others must end first.
	acceptRetryDelay = 5 * time.Millisecond
)

var errPlannerEnds = errors.New("planner ends")

// Server is a planner on sockets. Its loop, in Serve, alone owns the core and the links.
type Server struct {
	cfg         FileConfig
	log         *slog.Logger
	clock       monotime.Clock
	core        *Core
	events      chan func(now float64)
	done        chan struct{} // closed when the loop has ended
	listener    net.Listener
	tls         *tls.Config // nil: links are in the clear
	incarnation uint64      // of this process, drawn at its start

	links     []*transport.Conn // by forwarder, nil: none; loop only
	connSlots chan struct{}     // one is taken before each accept and given back when the connection ends

	closedBytesIn, closedBytesOut atomic.Uint64 // of links that have ended

	logSecond int64 // the second to which logLines belongs; loop only
	logLines  int   // lines logged in that second; loop only
}

// Run serves until ctx ends, and then gives up its cells.
func Run(ctx context.Context, cfg FileConfig, log *slog.Logger) error {
	s, err := Open(cfg, log)
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// Open returns a planner that listens for forwarders and does not serve them yet.
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
	coreConfig := Config{Params: cfg.Params, Number: cfg.Number, Settings: cfg.Ingress.Settings.Settings, Seed: cfg.Ingress.Seed ^ s.incarnation}
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

// Log implements Output. Lines beyond maxLogLinesPerSecond are dropped. Loop only.
func (s *Server) Log(text string, args ...any) {
	if second := int64(s.clock.Now()); second != s.logSecond {
		s.logSecond, s.logLines = second, 0
	}
	if s.logLines++; s.logLines <= maxLogLinesPerSecond {
		s.log.Info(text, args...)
	}
}

// post has the loop run do, unless the loop has ended. It waits while the queue is full.
func (s *Server) post(do func(now float64)) {
	select {
	case s.events <- do:
	case <-s.done:
	}
}

// postLog has the loop log a line.
func (s *Server) postLog(text string, args ...any) {
	s.post(func(float64) { s.Log(text, args...) })
}

// Serve runs until ctx ends and the cells have been given up.
func (s *Server) Serve(ctx context.Context) error {
	defer s.listener.Close()
	// What serves the loop ends after the cells have been given up, not with ctx.
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

// loop handles events until ctx has ended and the forwarders have had time to read that the cells are given up.
func (s *Server) loop(ctx context.Context) {
	tick := time.NewTicker(time.Duration(TickIntervalS * float64(time.Second)))
	defer tick.Stop()
	ended := ctx.Done()
	var drained <-chan time.Time
	for {
		select {
		case do := <-s.events:
			do(s.clock.Now())
		case <-tick.C:
			s.core.Tick(s.clock.Now())
		case <-ended:
			ended = nil
			s.log.Info("planner is draining")
			s.core.Drain(s.clock.Now())
			drained = time.After(drainDelay)
		case <-drained:
			for _, link := range s.links {
				if link != nil {
					link.Close(errPlannerEnds)
				}
			}
			return
		}
	}
}

// listenStatus serves the status until the returned server is closed.
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

// startTrace records the modules' decisions until ctx ends.
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

// followDiscovery passes the endpoint list's changes to the loop until ctx ends.
func (s *Server) followDiscovery(ctx context.Context) {
	apply := func(list discovery.List) {
		s.post(func(now float64) { s.core.UpdateBackends(now, list.Backends(), list.Full) })
	}
	discovery.NewWatcher(s.cfg.Ingress.Discovery, s.cfg.Ingress.InitialEndpoints.Version, apply, s.postLog).Run(ctx, nil)
}
