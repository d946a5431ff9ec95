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

// fakeHandler records calls and answers with what a test says.
type fakeHandler struct {
	mu    sync.Mutex
	calls []string
	err   error
	block bool // until the call's context ends
}

func (in *fakeHandler) call(ctx context.Context, text string) error {
	in.mu.Lock()
	in.calls = append(in.calls, text)
	err, block := in.err, in.block
	in.mu.Unlock()
	if block {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}
func (in *fakeHandler) Ready(ctx context.Context) error { return in.call(ctx, "ready") }
func (in *fakeHandler) Suspend(ctx context.Context, id string) error {
	return in.call(ctx, "suspend "+id)
}
func (in *fakeHandler) Resume(ctx context.Context, id string) error {
	return in.call(ctx, "resume "+id)
}
func (in *fakeHandler) Drain(ctx context.Context) error    { return in.call(ctx, "drain") }
func (in *fakeHandler) Activate(ctx context.Context) error { return in.call(ctx, "activate") }

func serve(t *testing.T) (*Server, *fakeHandler) {
	in := &fakeHandler{}
	s, err := Listen("127.0.0.1:0", in)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, in
}

// request makes one call and returns its status.
func request(t *testing.T, s *Server, head string) int {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout)) // an error shows in the next read
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\n\r\n", head)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(head, err)
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Error("the connection is kept")
	}
	return resp.StatusCode
}

func TestServer_Routes(t *testing.T) {
	s, in := serve(t)
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
		in.mu.Lock()
		in.calls, in.err = nil, c.err
		in.mu.Unlock()
		got := request(t, s, c.head)
		if calls := strings.Join(in.calls, ";"); got != c.want || calls != c.call {
			t.Errorf("%s: %d and %q, want %d and %q", c.head, got, calls, c.want, c.call)
		}
	}
}

// Guards the door against callers that say nothing, or half a call, in any number.
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
		t.Fatal(got)
	}
	for _, c := range silent { // each of them ends too
		_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // an error shows in the next read
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a silent caller is kept")
		}
	}
	s.listener.mutex.Lock()
	defer s.listener.mutex.Unlock()
	if len(s.listener.conns) > MaxConns {
		t.Fatal(len(s.listener.conns), "connections")
	}
}

// Guards a call whose ingress does not come to it: no is said in time.
func TestServer_HandlerTimeout(t *testing.T) {
	s, in := serve(t)
	in.block = true
	if got := request(t, s, "POST /v1/ingress/drain"); got != 503 {
		t.Fatal(got)
	}
}

func TestListen_BadAddress(t *testing.T) {
	if _, err := Listen("nowhere", &fakeHandler{}); err == nil {
		t.Fatal("taken")
	}
}
