// Package console is the operators' door: HTTP/1.1 at an address of its own, one call a connection. It decides nothing;
// what a call asks for is an Ingress's to carry out. Every answer leaves within a second, also while others that have
// connected say nothing.
package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// callMost bounds a call from its connection to its answer.
	callMost = 900 * time.Millisecond
	// Conns bounds the connections; beyond it the one that has been silent for longest is closed.
	Conns     = 16
	headerMax = 8 << 10
	idMax     = 256
)

// ErrUnknown is what an Ingress returns for an id that nobody holds: the answer is 404.
var ErrUnknown = errors.New("unknown id")

// Ingress carries calls out. Each returns once what was asked for holds, or with an error.
type Ingress interface {
	Ready(ctx context.Context) error // nil as long as clients are taken
	Suspend(ctx context.Context, id string) error
	Resume(ctx context.Context, id string) error
	Drain(ctx context.Context) error
	Activate(ctx context.Context) error
}

// Server answers calls until it is closed.
type Server struct {
	in   Ingress
	http http.Server
	list *listener
}

// Listen opens the door at addr. Serve answers at it.
func Listen(addr string, in Ingress) (*Server, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s := &Server{in: in, list: &listener{Listener: l, open: map[*conn]struct{}{}}}
	s.http = http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: callMost, ReadTimeout: callMost,
		WriteTimeout: 2 * callMost, MaxHeaderBytes: headerMax, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is where the door is.
func (s *Server) Addr() net.Addr { return s.list.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() { s.http.Serve(s.list) }

// Close ends the server and all its connections.
func (s *Server) Close() { s.http.Close() }

type connKey struct{}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callMost)
	defer cancel()
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.asked()
	}
	do, method := s.route(r)
	switch {
	case do == nil:
		http.Error(w, "no such call", http.StatusNotFound)
		return
	case r.Method != method:
		w.Header().Set("Allow", method)
		http.Error(w, "the method is "+method, http.StatusMethodNotAllowed)
		return
	}
	switch err := do(ctx); {
	case err == nil:
		fmt.Fprintln(w, "yes")
	case errors.Is(err, ErrUnknown):
		http.Error(w, "no: "+err.Error(), http.StatusNotFound)
	default:
		http.Error(w, "no: "+err.Error(), http.StatusServiceUnavailable)
	}
}

// route finds what a path asks for, and by which method; nil where there is nothing.
func (s *Server) route(r *http.Request) (do func(context.Context) error, method string) {
	switch path := r.URL.EscapedPath(); path {
	case "/v1/readyz":
		return s.in.Ready, http.MethodGet
	case "/v1/ingress/drain":
		return s.in.Drain, http.MethodPost
	case "/v1/ingress/activate":
		return s.in.Activate, http.MethodPost
	default:
		rest, ok := strings.CutPrefix(path, "/v1/backends/")
		escaped, verb, two := strings.Cut(rest, "/")
		id, err := url.PathUnescape(escaped)
		if !ok || !two || err != nil || id == "" || len(id) > idMax {
			return nil, ""
		}
		switch verb {
		case "suspend":
			return func(ctx context.Context) error { return s.in.Suspend(ctx, id) }, http.MethodPost
		case "resume":
			return func(ctx context.Context) error { return s.in.Resume(ctx, id) }, http.MethodPost
		}
	}
	return nil, ""
}

// listener bounds the connections. A newcomer always gets in: the one that has been silent for longest makes room.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{} // Conns at the most
}

type conn struct {
	net.Conn
	of   *listener
	at   time.Time
	busy bool // its call was read whole; under of.mu
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	var oldest *conn
	for o := range l.open {
		if !o.busy && (oldest == nil || o.at.Before(oldest.at)) {
			oldest = o
		}
	}
	full := len(l.open) >= Conns
	if full && oldest == nil { // calls that are being carried out, all of them: each ends within callMost
		l.mu.Unlock()
		c.Close()
		return l.Accept()
	}
	mine := &conn{Conn: c, of: l, at: time.Now()}
	l.open[mine] = struct{}{}
	l.mu.Unlock()
	if full {
		oldest.Close()
	}
	return mine, nil
}

func (c *conn) asked() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.busy = true
}

func (c *conn) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}
