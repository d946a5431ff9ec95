// Package admin is the operators' HTTP/1.1 interface at an address of its own, one call a connection. It decides nothing; what a call asks for
// is a Handler's to carry out. Every answer leaves within a second, also while others that have connected say nothing.
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
	"time"
)

const (
	// MaxConns bounds the connections; beyond it the one that has been silent for longest is closed.
	MaxConns = 16

	callTimeout    = 900 * time.Millisecond // from the connection to the answer
	maxHeaderBytes = 8 << 10
	maxIDLen       = 256 // bytes of a backend's id
)

// ErrUnknown is what a Handler returns for an id that nobody knows: the answer is 404.
var ErrUnknown = errors.New("unknown id")

// Handler carries calls out. Each method returns once what was asked for holds, or with an error: ErrUnknown is answered by 404, any other by
// 503. Methods are called concurrently.
type Handler interface {
	// Ready returns nil as long as clients are accepted.
	Ready(ctx context.Context) error
	// Suspend cordons the backend of an id.
	Suspend(ctx context.Context, id string) error
	// Resume takes that back.
	Resume(ctx context.Context, id string) error
	// Drain lets go of all clients.
	Drain(ctx context.Context) error
	// Activate accepts clients again.
	Activate(ctx context.Context) error
}

// Server answers calls until it is closed.
type Server struct {
	handler    Handler
	httpServer http.Server
	listener   *boundedListener
}

// Listen opens the interface at addr. Serve answers at it.
func Listen(addr string, handler Handler) (*Server, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	s := &Server{handler: handler, listener: &boundedListener{Listener: l, conns: map[*boundedConn]struct{}{}}}
	s.httpServer = http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout,
		WriteTimeout: 2 * callTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.httpServer.Serve(s.listener) } // it says that the server was closed

// Close ends the server and all its connections.
func (s *Server) Close() { s.httpServer.Close() }

// connKey is the key of a call's connection in its context.
type connKey struct{}

// call carries out one call.
type call func(context.Context) error

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
func (s *Server) route(r *http.Request) (do call, method string) {
	switch path := r.URL.EscapedPath(); path {
	case "/v1/readyz":
		return s.handler.Ready, http.MethodGet
	case "/v1/ingress/drain":
		return s.handler.Drain, http.MethodPost
	case "/v1/ingress/activate":
		return s.handler.Activate, http.MethodPost
	default:
		return s.routeBackend(path), http.MethodPost
	}
}

// routeBackend finds what a path below /v1/backends asks for; nil where there is nothing.
func (s *Server) routeBackend(path string) call {
	rest, ok := strings.CutPrefix(path, "/v1/backends/")
	escaped, verb, hasVerb := strings.Cut(rest, "/")
	id, err := url.PathUnescape(escaped)
	if !ok || !hasVerb || err != nil || id == "" || len(id) > maxIDLen {
		return nil
	}
	switch verb {
	case "suspend":
		return func(ctx context.Context) error { return s.handler.Suspend(ctx, id) }
	case "resume":
		return func(ctx context.Context) error { return s.handler.Resume(ctx, id) }
	}
	return nil
}
