// Package admin serves the operators' HTTP/1.1 interface on a separate address, with one call per connection. It only routes calls; a
// Handler carries them out. A complete call is answered within a second, even while other connections stay silent.
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
	// MaxConns limits the open connections. Beyond it, the oldest connection that has not sent its call yet is closed.
	MaxConns = 16

	callTimeout    = 900 * time.Millisecond // for reading a call, and again for carrying it out
	maxHeaderBytes = 8 << 10
	maxIDLen       = 256 // bytes of a backend's id
)

// ErrUnknown is returned by a Handler for the id of a backend that does not exist. The answer is 404.
var ErrUnknown = errors.New("unknown id")

// Handler carries out calls. Each method returns nil once the call has taken effect. An error that wraps ErrUnknown is answered with 404,
// any other error with 503. Methods are called concurrently.
type Handler interface {
	// Ready returns nil as long as the ingress accepts clients.
	Ready(ctx context.Context) error
	// Suspend cordons the backend with the id.
	Suspend(ctx context.Context, id string) error
	// Resume uncordons the backend with the id.
	Resume(ctx context.Context, id string) error
	// Drain begins to disconnect all clients.
	Drain(ctx context.Context) error
	// Activate ends a drain and accepts clients again.
	Activate(ctx context.Context) error
}

// Server serves the interface until it is closed.
type Server struct {
	handler    Handler
	httpServer http.Server
	listener   *boundedListener
}

// Listen opens the interface at addr, an IP address with a port. Connections are answered once Serve runs.
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

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.httpServer.Serve(s.listener) } // returns http.ErrServerClosed after Close

// Close stops the server and closes all its connections.
func (s *Server) Close() { s.httpServer.Close() }

// connKey is the context key of the connection on which a call arrived.
type connKey struct{}

// call carries out one call on the Handler.
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

// route returns the call that the path of r names and its HTTP method. The call is nil if the path is unknown.
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

// routeBackend returns the call for a path /v1/backends/ID/suspend or /v1/backends/ID/resume, nil for any other path.
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
