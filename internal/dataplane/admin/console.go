// Package console is the operators' door: HTTP/1.1 at an address of its own, one call a connection. It decides nothing;
// what a call asks for is an Ingress's to carry out. Every answer leaves within a second, also while others that have
// connected say nothing.
package admin

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
	// callTimeout bounds a call from its connection to its answer.
	callTimeout = 900 * time.Millisecond
	// MaxConns bounds the connections; beyond it the one that has been silent for longest is closed.
	MaxConns       = 16
	maxHeaderBytes = 8 << 10
	maxIDLen       = 256
)

// ErrUnknown is what an Ingress returns for an id that nobody holds: the answer is 404.
var ErrUnknown = errors.New("unknown id")

// Handler carries calls out. Each returns once what was asked for holds, or with an error.
type Handler interface {
	Ready(ctx context.Context) error // nil as long as clients are taken
	Suspend(ctx context.Context, id string) error
	Resume(ctx context.Context, id string) error
	Drain(ctx context.Context) error
	Activate(ctx context.Context) error
}

// Server answers calls until it is closed.
type Server struct {
	handler    Handler
	httpServer http.Server
	listener   *boundedListener
}

// Listen opens the door at addr. Serve answers at it.
func Listen(addr string, in Handler) (*Server, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s := &Server{handler: in, listener: &boundedListener{Listener: l, conns: map[*boundedConn]struct{}{}}}
	s.httpServer = http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout,
		WriteTimeout: 2 * callTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is where the door is.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() { s.httpServer.Serve(s.listener) }

// Close ends the server and all its connections.
func (s *Server) Close() { s.httpServer.Close() }

type connKey struct{}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if c, ok := r.Context().Value(connKey{}).(*boundedConn); ok {
		c.markCallStarted()
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
		return s.handler.Ready, http.MethodGet
	case "/v1/ingress/drain":
		return s.handler.Drain, http.MethodPost
	case "/v1/ingress/activate":
		return s.handler.Activate, http.MethodPost
	default:
		rest, ok := strings.CutPrefix(path, "/v1/backends/")
		escaped, verb, two := strings.Cut(rest, "/")
		id, err := url.PathUnescape(escaped)
		if !ok || !two || err != nil || id == "" || len(id) > maxIDLen {
			return nil, ""
		}
		switch verb {
		case "suspend":
			return func(ctx context.Context) error { return s.handler.Suspend(ctx, id) }, http.MethodPost
		case "resume":
			return func(ctx context.Context) error { return s.handler.Resume(ctx, id) }, http.MethodPost
		}
	}
	return nil, ""
}

// boundedListener bounds the connections. A newcomer always gets in: the one that has been silent for longest makes room.
type boundedListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[*boundedConn]struct{} // Conns at the most
}

type boundedConn struct {
	net.Conn
	listener    *boundedListener
	acceptedAt  time.Time
	callStarted bool // its call was read whole; under of.mu
}

func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	var oldest *boundedConn
	for o := range l.conns {
		if !o.callStarted && (oldest == nil || o.acceptedAt.Before(oldest.acceptedAt)) {
			oldest = o
		}
	}
	full := len(l.conns) >= MaxConns
	if full && oldest == nil { // calls that are being carried out, all of them: each ends within callTimeout
		l.mutex.Unlock()
		c.Close()
		return l.Accept()
	}
	mine := &boundedConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.conns[mine] = struct{}{}
	l.mutex.Unlock()
	if full {
		oldest.Close()
	}
	return mine, nil
}

func (c *boundedConn) markCallStarted() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.callStarted = true
}

func (c *boundedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
