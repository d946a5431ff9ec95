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

	"eiderspread/internal/console"
	"eiderspread/internal/link"
	"eiderspread/internal/mono"
	"eiderspread/internal/roster"
	"eiderspread/internal/trace"
)

const (
	eventQueue = 1024
	// leaveFor is how long a planner that leaves goes on reading, so that its releases are read.
	leaveFor       = 300 * time.Millisecond
	notesPerSecond = 20
)

// Server is a planner on sockets. Its loop alone owns the host.
type Server struct {
	cfg      File
	log      *slog.Logger
	clock    mono.Clock
	host     *Host
	events   chan func(now float64)
	done     chan struct{}
	listener net.Listener
	tls      *tls.Config
	life     uint64

	conns   []*link.Conn  // by forwarder; loop only
	room    chan struct{} // a place for each connection, taken before it is accepted
	in, out atomic.Uint64 // bytes of links that have ended
	noted   int64         // the second of the notes, and how many there were; loop only
	notes   int
}

// Run serves until ctx ends, and then gives up its cells.
func Run(ctx context.Context, cfg File, log *slog.Logger) error {
	s, err := Open(cfg, log)
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// Open makes a planner and its listener; nothing is read yet.
func Open(cfg File, log *slog.Logger) (*Server, error) {
	s := &Server{cfg: cfg, log: log, clock: mono.New(), events: make(chan func(float64), eventQueue),
		done: make(chan struct{}), life: rand.Uint64(), conns: make([]*link.Conn, cfg.Forwarders),
		room: make(chan struct{}, 2*cfg.Forwarders+8)}
	var err error
	if s.tls, err = cfg.TLS.Config(); err != nil {
		return nil, err
	}
	if s.host, err = NewHost(Config{Params: cfg.Params, Number: cfg.Number, Settings: cfg.Base.Settings.Settings,
		Seed: cfg.Base.Seed ^ s.life}, s.clock.Now(), s); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Link implements Out.
func (s *Server) Link(f int, msgs ...link.Msg) {
	if c := s.conns[f]; c != nil {
		c.Send(msgs...)
	}
}

// Log implements Out.
func (s *Server) Log(text string, args ...any) {
	if second := int64(s.clock.Now()); second != s.noted {
		s.noted, s.notes = second, 0
	}
	if s.notes++; s.notes <= notesPerSecond {
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
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	defer s.listener.Close()
	if s.cfg.Status != "" {
		l, err := net.Listen("tcp", s.cfg.Status)
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(s.status), ReadHeaderTimeout: time.Second}
		go srv.Serve(l)
		defer srv.Close()
	}
	if s.cfg.Console != "" {
		c, err := console.Listen(s.cfg.Console, &door{s})
		if err != nil {
			return err
		}
		go c.Serve()
		defer c.Close()
	}
	if s.cfg.Trace != "" {
		set := s.cfg.Base.Settings
		to, err := trace.Start(life, s.cfg.Trace, s.cfg.TraceMB, trace.Header{Name: fmt.Sprint("planner-", s.cfg.Number), Me: s.cfg.Number, Gateways: s.cfg.Planners,
			Started: s.clock.Now(), Plans: set.Plans, Classes: set.Classes}, s.log)
		if err != nil {
			return err
		}
		defer to.Wait() // after life has ended
		defer end()
		s.host.Trace(to.Put)
	}
	s.host.Servers(s.clock.Now(), s.cfg.Base.Known.Policy(), true)
	go roster.New(s.cfg.Base.Discovery, s.cfg.Base.Known.Version, func(t roster.List) {
		s.post(func(now float64) { s.host.Servers(now, t.Policy(), t.Full) })
	}, func(what string, args ...any) {
		s.post(func(float64) { s.Log(what, args...) })
	}).Run(life, nil)
	go s.accept()
	defer close(s.done)
	tick := time.NewTicker(time.Duration(TickS * float64(time.Second)))
	defer tick.Stop()
	leave := ctx.Done()
	var stop <-chan time.Time
	for {
		select {
		case do := <-s.events:
			do(s.clock.Now())
		case <-tick.C:
			s.host.Tick(s.clock.Now())
		case <-leave:
			leave = nil
			s.log.Info("leaving")
			s.host.Leave(s.clock.Now())
			stop = time.After(leaveFor)
		case <-stop:
			for _, c := range s.conns {
				if c != nil {
					c.Close(errors.New("planner ends"))
				}
			}
			return nil
		}
	}
}

func (s *Server) accept() {
	for {
		select {
		case s.room <- struct{}{}:
		case <-s.done:
			return
		}
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			<-s.room
			s.post(func(float64) { s.Log("accept failed", "error", err) })
			time.Sleep(5 * time.Millisecond) // out of descriptors: others must end first
			continue
		}
		go func() {
			defer func() { <-s.room }()
			s.serve(conn)
		}()
	}
}

// serve runs one link to its end.
func (s *Server) serve(conn net.Conn) {
	silence := time.Duration(s.cfg.SilenceS * float64(time.Second))
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
	l := link.NewConn(conn, silence)
	f := -1
	err := l.Serve(func(msgs []link.Msg) {
		if f < 0 {
			hello := msgs[0]
			n, err := s.greeted(conn, hello)
			if err != nil {
				l.Close(err)
				return
			}
			f, msgs = n, msgs[1:]
			s.post(func(now float64) { s.linked(now, f, hello.Epoch, l) })
		}
		s.post(func(now float64) {
			if s.conns[f] != l {
				return
			}
			for i := range msgs {
				s.host.Msg(now, f, &msgs[i])
			}
		})
	})
	s.post(func(now float64) {
		if f >= 0 && s.conns[f] == l {
			s.unlinked(now, f)
		}
		s.Log("link ended", "forwarder", f, "error", err)
	})
}

// greeted checks the first record of a link.
func (s *Server) greeted(conn net.Conn, m link.Msg) (int, error) {
	switch {
	case m.Kind != link.Hello:
		return 0, errors.New("no hello")
	case m.Plan != link.Version:
		return 0, fmt.Errorf("link version %d, want %d", m.Plan, link.Version)
	case m.Name != s.cfg.Name:
		return 0, fmt.Errorf("a forwarder of fleet %q", m.Name)
	case int(m.N) >= s.cfg.Forwarders:
		return 0, fmt.Errorf("forwarder %d of %d", m.N, s.cfg.Forwarders)
	case int(m.Cell) != s.cfg.Cells:
		return 0, fmt.Errorf("%d cells, want %d", m.Cell, s.cfg.Cells)
	}
	if t, ok := conn.(*tls.Conn); ok {
		name := t.ConnectionState().PeerCertificates[0].Subject.CommonName
		if i := slices.Index(s.cfg.Allowed, name); i != int(m.N) {
			return 0, fmt.Errorf("certificate of %q is not on the list as forwarder %d", name, m.N)
		}
	}
	return int(m.N), nil
}

func (s *Server) linked(now float64, f int, life uint64, l *link.Conn) {
	if s.conns[f] != nil {
		old := s.conns[f]
		s.unlinked(now, f)
		old.Close(errors.New("another link of this forwarder"))
	}
	s.conns[f] = l
	l.Send(link.Msg{Kind: link.Hello, Plan: link.Version, Name: s.cfg.Name, N: uint32(s.cfg.Number), Epoch: s.life,
		Cell: uint16(s.cfg.Cells)})
	s.host.LinkUp(now, f, life)
}

func (s *Server) unlinked(now float64, f int) {
	s.in.Add(s.conns[f].In.Load())
	s.out.Add(s.conns[f].Out.Load())
	s.conns[f] = nil
	s.host.LinkDown(now, f)
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
	Held     []string     `json:"held"`  // backends, by operators
	Ready    bool         `json:"ready"` // claims cells, and is linked to a majority
	Cells    []CellStatus `json:"cells"`
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	got := make(chan Status, 1)
	s.post(func(now float64) {
		st := Status{Kind: "planner", Number: s.cfg.Number, Stats: s.host.Stats, BytesIn: s.in.Load(), BytesOut: s.out.Load()}
		s.host.now = now
		st.Held, st.Ready = s.host.Held(), s.host.Ready()
		st.Cells, st.Links, st.Requests = s.host.Cells()
		for _, c := range s.conns {
			if c != nil {
				st.BytesIn += c.In.Load()
				st.BytesOut += c.Out.Load()
			}
		}
		got <- st
	})
	select {
	case st := <-got:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
	case <-s.done:
	case <-r.Context().Done():
	}
}
