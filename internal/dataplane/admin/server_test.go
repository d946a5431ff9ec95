package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// fakeHandler records calls and returns the error that a test sets.
type fakeHandler struct {
	mu    sync.Mutex
	calls []string
	err   error
	block bool // whether calls block until their context ends
}

func (h *fakeHandler) call(ctx context.Context, text string) error {
	h.mu.Lock()
	h.calls = append(h.calls, text)
	err, block := h.err, h.block
	h.mu.Unlock()
	if block {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}
func (h *fakeHandler) Ready(ctx context.Context) error { return h.call(ctx, "ready") }
func (h *fakeHandler) Suspend(ctx context.Context, id string) error {
	return h.call(ctx, "suspend "+id)
}
func (h *fakeHandler) Resume(ctx context.Context, id string) error {
	return h.call(ctx, "resume "+id)
}
func (h *fakeHandler) Drain(ctx context.Context) error    { return h.call(ctx, "drain") }
func (h *fakeHandler) Activate(ctx context.Context) error { return h.call(ctx, "activate") }

// serve starts a server with a fakeHandler.
func serve(t *testing.T) (*Server, *fakeHandler) {
	h := &fakeHandler{}
	s, err := Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, h
}

// request makes one call with the method and path in head, and returns the HTTP status.
func request(t *testing.T, s *Server, head string) int {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout)) // the next read reports an error
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\n\r\n", head)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(head, err)
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Errorf("%s: the connection stays open after the answer", head)
	}
	return resp.StatusCode
}

func TestServer_Routes(t *testing.T) {
	s, h := serve(t)
	for _, c := range []struct {
		head, call string
		err        error
		want       int
	}{
		{"GET /v1/readyz", "ready", nil, 200},
		{"GET /v1/readyz", "ready", errors.New("not yet"), 503},
		{"POST /v1/backends/s-1/suspend", "suspend s-1", nil, 200},
		{"POST /v1/backends/s-1/resume", "resume s-1", nil, 200},
		{"POST /v1/backends/a%2Fb/resume", "resume a/b", nil, 200},
		{"POST /v1/backends/s-1/suspend", "suspend s-1", fmt.Errorf("%w: s-1", ErrUnknown), 404},
		{"POST /v1/ingress/drain", "drain", nil, 200},
		{"POST /v1/ingress/activate", "activate", nil, 200},
		{"GET /v1/ingress/drain", "", nil, 405},
		{"GET /v1/backends/s-1/suspend", "", nil, 405},
		{"POST /v1/backends//suspend", "", nil, 404},
		{"POST /v1/backends/s-1/suspend/", "", nil, 404},
		{"POST /v1/backends/s-1", "", nil, 404},
		{"POST /v1//ingress/drain", "", nil, 404},
		{"POST /v1/backends/" + strings.Repeat("x", maxIDLen+1) + "/suspend", "", nil, 404},
		{"GET /", "", nil, 404},
	} {
		h.mu.Lock()
		h.calls, h.err = nil, c.err
		h.mu.Unlock()
		got := request(t, s, c.head)
		if calls := strings.Join(h.calls, ";"); got != c.want || calls != c.call {
			t.Errorf("%s: %d and %q, want %d and %q", c.head, got, calls, c.want, c.call)
		}
	}
}

// Guards against connections that block other callers: any number of them may send nothing or only part of a call,
// and a complete call is still answered.
func TestServer_SilentConnectionsEvicted(t *testing.T) {
	s, _ := serve(t)
	var silent []net.Conn
	for i := range 3 * MaxConns {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "POST /v1/ingr")
		}
		silent = append(silent, c)
	}
	if got := request(t, s, "GET /v1/readyz"); got != 200 {
		t.Fatalf("readyz beside silent connections: status %d, want 200", got)
	}
	for _, c := range silent { // the server closes each of them in the end
		_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // the next read reports an error
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a silent connection is still open after %v", testTimeout)
		}
	}
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	if len(s.listener.conns) > MaxConns {
		t.Fatalf("%d connections are open, want %d at most", len(s.listener.conns), MaxConns)
	}
}

// Guards against a call that hangs while the ingress is too busy to carry it out: it is answered with 503 at its timeout.
func TestServer_HandlerTimeout(t *testing.T) {
	s, h := serve(t)
	h.block = true
	if got := request(t, s, "POST /v1/ingress/drain"); got != 503 {
		t.Fatalf("drain with a blocked handler: status %d, want 503", got)
	}
}

func TestListen_BadAddress(t *testing.T) {
	if _, err := Listen("nowhere", &fakeHandler{}); err == nil {
		t.Fatal("Listen accepts the address \"nowhere\", want an error")
	}
}
