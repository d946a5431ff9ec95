package planner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"eiderspread/internal/base/monotime"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/observability/trace"
)

const (
	eventQueueSize = 1024
	// drainDelay is how long a planner that leaves goes on reading, so that its releases are read.
	drainDelay           = 300 * time.Millisecond
	maxLogLinesPerSecond = 20
)

// Server is a planner on sockets. Its loop alone owns the host.
type Server struct {
	cfg         FileConfig
	log         *slog.Logger
	clock       monotime.Clock
	core        *Core
	events      chan func(now float64)
	done        chan struct{}
	listener    net.Listener
	tls         *tls.Config
	incarnation uint64

	links                         []*transport.Conn // by forwarder; loop only
	connSlots                     chan struct{}     // a place for each connection, taken before it is accepted
	closedBytesIn, closedBytesOut atomic.Uint64     // bytes of links that have ended
	logSecond                     int64             // the second of the notes, and how many there were; loop only
	logLines                      int
}

// Run serves until ctx ends, and then gives up its cells.
func Run(ctx context.Context, cfg FileConfig, log *slog.Logger) error {
	s, err := Open(cfg, log)
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// Open makes a planner and its listener; nothing is read yet.
func Open(cfg FileConfig, log *slog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, clock: monotime.NewClock(), events: make(chan func(float64), eventQueueSize),
		done: make(chan struct{}), incarnation: rand.Uint64(), links: make([]*transport.Conn, cfg.Forwarders),
		connSlots: make(chan struct{}, 2*cfg.Forwarders+8)}
	var err error
	if s.tls, err = cfg.TLS.Config(); err != nil {
		return nil, err
	}
	if s.core, err = NewCore(Config{Params: cfg.Params, Number: cfg.Number, Settings: cfg.Ingress.Settings.Settings,
		Seed: cfg.Ingress.Seed ^ s.incarnation}, s.clock.Now(), s); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", cfg.ListenAddr); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// SendToForwarder implements Out.
func (s *Server) SendToForwarder(forwarder int, msgs ...transport.Message) {
	if c := s.links[forwarder]; c != nil {
		c.Send(msgs...)
	}
}

// Log implements Out.
func (s *Server) Log(text string, args ...any) {
	if second := int64(s.clock.Now()); second != s.logSecond {
		s.logSecond, s.logLines = second, 0
	}
	if s.logLines++; s.logLines <= maxLogLinesPerSecond {
		s.log.Info(text, args...)
	}
}

func (s *Server) post(do func(now float64)) {
	select {
	case s.events <- do:
	case <-s.done:
	}
}

// Serve runs until ctx ends and the cells are given up.
func (s *Server) Serve(ctx context.Context) error {
	serveCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	defer s.listener.Close()
	if s.cfg.StatusAddr != "" {
		l, err := net.Listen("tcp", s.cfg.StatusAddr)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(s.handleStatus), ReadHeaderTimeout: time.Second}
		go srv.Serve(l)
		defer srv.Close()
	}
	if s.cfg.AdminAddr != "" {
		c, err := admin.Listen(s.cfg.AdminAddr, &adminAPI{s})
		if err != nil {
			return err
		}
		go c.Serve()
		defer c.Close()
	}
	if s.cfg.TraceFolder != "" {
		settings := s.cfg.Ingress.Settings
		recorder, err := trace.Start(serveCtx, s.cfg.TraceFolder, s.cfg.TraceMB, trace.Header{Name: fmt.Sprint("planner-", s.cfg.Number), Gateway: s.cfg.Number, Gateways: s.cfg.Planners,
			StartedAt: s.clock.Now(), Plans: settings.Plans, Classes: settings.Classes}, s.log)
		if err != nil {
			return err
		}
		defer recorder.Wait() // after life has ended
		defer end()
		s.core.SetTracer(recorder.Put)
	}
	s.core.UpdateBackends(s.clock.Now(), s.cfg.Ingress.InitialEndpoints.Backends(), true)
	go discovery.NewWatcher(s.cfg.Ingress.Discovery, s.cfg.Ingress.InitialEndpoints.Version, func(t discovery.List) {
		s.post(func(now float64) { s.core.UpdateBackends(now, t.Backends(), t.Full) })
	}, func(what string, args ...any) {
		s.post(func(float64) { s.Log(what, args...) })
	}).Run(serveCtx, nil)
	go s.acceptLoop()
	defer close(s.done)
	tick := time.NewTicker(time.Duration(TickIntervalS * float64(time.Second)))
	defer tick.Stop()
	leave := ctx.Done()
	var stop <-chan time.Time
	for {
		select {
		case do := <-s.events:
			do(s.clock.Now())
		case <-tick.C:
			s.core.Tick(s.clock.Now())
		case <-leave:
			leave = nil
			s.log.Info("leaving")
			s.core.Drain(s.clock.Now())
			stop = time.After(drainDelay)
		case <-stop:
			for _, c := range s.links {
				if c != nil {
					c.Close(errors.New("planner ends"))
				}
			}
			return nil
		}
	}
}

func (s *Server) acceptLoop() {
	for {
		select {
		case s.connSlots <- struct{}{}:
		case <-s.done:
			return
		}
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			<-s.connSlots
			s.post(func(float64) { s.Log("accept failed", "error", err) })
			time.Sleep(5 * time.Millisecond) // out of descriptors: others must end first
			continue
		}
		go func() {
			defer func() { <-s.connSlots }()
			s.serveLink(conn)
		}()
	}
}

// serveLink runs one link to its end.
func (s *Server) serveLink(conn net.Conn) {
	silence := time.Duration(s.cfg.LinkTimeoutS * float64(time.Second))
	if s.tls != nil {
		t := tls.Server(conn, s.tls)
		conn.SetDeadline(time.Now().Add(4 * silence))
		if err := t.Handshake(); err != nil {
			conn.Close()
			s.post(func(float64) { s.Log("link refused", "error", err) })
			return
		}
		conn.SetDeadline(time.Time{})
		conn = t
	}
	l := transport.NewConn(conn, silence)
	forwarder := -1
	err := l.Serve(func(msgs []transport.Message) {
		if forwarder < 0 {
			hello := msgs[0]
			n, err := s.checkHello(conn, hello)
			if err != nil {
				l.Close(err)
				return
			}
			forwarder, msgs = n, msgs[1:]
			s.post(func(now float64) { s.addLink(now, forwarder, hello.Epoch, l) })
		}
		s.post(func(now float64) {
			if s.links[forwarder] != l {
				return
			}
			for i := range msgs {
				s.core.HandleMessage(now, forwarder, &msgs[i])
			}
		})
	})
	s.post(func(now float64) {
		if forwarder >= 0 && s.links[forwarder] == l {
			s.removeLink(now, forwarder)
		}
		s.Log("link ended", "forwarder", forwarder, "error", err)
	})
}

// checkHello checks the first record of a link.
func (s *Server) checkHello(conn net.Conn, msg transport.Message) (int, error) {
	switch {
	case msg.Kind != transport.KindHello:
		return 0, errors.New("no hello")
	case msg.Plan != transport.Version:
		return 0, fmt.Errorf("link version %d, want %d", msg.Plan, transport.Version)
	case msg.Name != s.cfg.Name:
		return 0, fmt.Errorf("a forwarder of fleet %q", msg.Name)
	case int(msg.Number) >= s.cfg.Forwarders:
		return 0, fmt.Errorf("forwarder %d of %d", msg.Number, s.cfg.Forwarders)
	case int(msg.Cell) != s.cfg.Cells:
		return 0, fmt.Errorf("%d cells, want %d", msg.Cell, s.cfg.Cells)
	}
	if t, ok := conn.(*tls.Conn); ok {
		name := t.ConnectionState().PeerCertificates[0].Subject.CommonName
		if i := slices.Index(s.cfg.ForwarderNames, name); i != int(msg.Number) {
			return 0, fmt.Errorf("certificate of %q is not on the list as forwarder %d", name, msg.Number)
		}
	}
	return int(msg.Number), nil
}

func (s *Server) addLink(now float64, forwarder int, incarnation uint64, l *transport.Conn) {
	if s.links[forwarder] != nil {
		old := s.links[forwarder]
		s.removeLink(now, forwarder)
		old.Close(errors.New("another link of this forwarder"))
	}
	s.links[forwarder] = l
	l.Send(transport.Message{Kind: transport.KindHello, Plan: transport.Version, Name: s.cfg.Name, Number: uint32(s.cfg.Number), Epoch: s.incarnation,
		Cell: uint16(s.cfg.Cells)})
	s.core.LinkUp(now, forwarder, incarnation)
}

func (s *Server) removeLink(now float64, forwarder int) {
	s.closedBytesIn.Add(s.links[forwarder].BytesIn.Load())
	s.closedBytesOut.Add(s.links[forwarder].BytesOut.Load())
	s.links[forwarder] = nil
	s.core.LinkDown(now, forwarder)
}

// Status is what a planner tells people.
type Status struct {
	Kind     string       `json:"kind"`
	Number   int          `json:"number"`
	Links    int          `json:"links"`
	Requests int          `json:"requests"`
	BytesIn  uint64       `json:"bytes_in"`
	BytesOut uint64       `json:"bytes_out"`
	Stats    Stats        `json:"stats"`
	Cordoned []string     `json:"held"`  // backends, by operators
	Ready    bool         `json:"ready"` // claims cells, and is linked to a majority
	Cells    []CellStatus `json:"cells"`
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	result := make(chan Status, 1)
	s.post(func(now float64) {
		status := Status{Kind: "planner", Number: s.cfg.Number, Stats: s.core.Stats, BytesIn: s.closedBytesIn.Load(), BytesOut: s.closedBytesOut.Load()}
		s.core.now = now
		status.Cordoned, status.Ready = s.core.Cordoned(), s.core.Ready()
		status.Cells, status.Links, status.Requests = s.core.CellStatuses()
		for _, c := range s.links {
			if c != nil {
				status.BytesIn += c.BytesIn.Load()
				status.BytesOut += c.BytesOut.Load()
			}
		}
		result <- status
	})
	select {
	case status := <-result:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status)
	case <-s.done:
	case <-r.Context().Done():
	}
}
