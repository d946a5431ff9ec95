package hotrestart

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// pair returns both sides of a link, and the path of its socket.
func pair(t *testing.T) (a, b *Link, path string) {
	t.Helper()
	path = SocketPath(t.TempDir(), "n")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if a, err = Dial(path); a == nil || err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return a, b, path
}

func setDeadline(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// Guards the transfer of sockets: a connection continues at the receiver without losing a byte though the sender closes its copy, and a
// listener is transferred with the connections in its accept queue.
func TestLink_PassesSockets(t *testing.T) {
	a, b, _ := pair(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		setDeadline(t, c)
		write(t, c, text)
		return c
	}
	accepted := dial("unread")
	serverConn, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	queued := dial("queued")
	if err := b.Send(Client, []byte("rest"), testTimeout, serverConn); err != nil {
		t.Fatal(err)
	}
	if err := b.Send(Sockets, nil, testTimeout, l); err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	serverConn.Close()
	l.Close()
	m, err := a.Expect(Client, 1, testTimeout)
	if err != nil || string(m.Body) != "rest" {
		t.Fatalf("got client message %+v, error %v, want body %q", m, err, "rest")
	}
	c, err := TCPConn(m.Files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	m, err = a.Expect(Sockets, 1, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	l2, err := TCPListener(m.Files[0], addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l2.Close()
	late := dial("late")
	for i, want := range []struct {
		client net.Conn
		text   string
	}{{accepted, "unread"}, {queued, "queued"}, {late, "late"}} {
		server := net.Conn(c)
		if i > 0 {
			if server, err = l2.Accept(); err != nil {
				t.Fatal(err)
			}
			defer server.Close()
		}
		setDeadline(t, server)
		got := make([]byte, len(want.text))
		if _, err := io.ReadFull(server, got); err != nil || string(got) != want.text {
			t.Fatalf("connection %d: server got %q, want %q: %v", i, got, want.text, err)
		}
		write(t, server, "back")
		if _, err := io.ReadFull(want.client, got[:4]); err != nil || string(got[:4]) != "back" {
			t.Fatalf("connection %d: client got %q, want %q: %v", i, got[:4], "back", err)
		}
	}
}

// Guards against descriptors that leak when a message of the wrong kind, with too few descriptors or with a wrong socket is received.
func TestLink_MalformedMessagesLeakNothing(t *testing.T) {
	a, b, _ := pair(t)
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	open := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip(err)
		}
		return len(list)
	}
	send := func(kind Kind, conns ...syscall.Conn) {
		t.Helper()
		if err := b.Send(kind, nil, testTimeout, conns...); err != nil {
			t.Fatal(err)
		}
	}
	before := open()
	for range 20 {
		send(Proceed, l, l)
		if _, err := a.Expect(Sockets, 1, testTimeout); !errors.Is(err, ErrUnexpected) {
			t.Fatalf("message of another kind: got error %v, want %v", err, ErrUnexpected)
		}
		send(Sockets, l)
		if _, err := a.Expect(Sockets, 2, testTimeout); !errors.Is(err, ErrUnexpected) {
			t.Fatalf("message with too few descriptors: got error %v, want %v", err, ErrUnexpected)
		}
		send(Sockets, l)
		m, err := a.Expect(Sockets, 1, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := TCPListener(m.Files[0], "127.0.0.1:1"); !errors.Is(err, ErrWrongSocket) || !strings.Contains(err.Error(), "want *net.TCPListener at 127.0.0.1:1") {
			t.Fatalf("listener at another address: got error %v, want %v with the wanted address", err, ErrWrongSocket)
		}
		send(Client, l)
		if m, err = a.Receive(testTimeout); err != nil {
			t.Fatal(err)
		}
		if _, err := TCPConn(m.Files[0]); !errors.Is(err, ErrWrongSocket) {
			t.Fatalf("listener in place of a connection: got error %v, want %v", err, ErrWrongSocket)
		}
	}
	if after := open(); after > before {
		t.Errorf("%d descriptors are open, %d were before", after, before)
	}
	if err := b.Send(Client, make([]byte, MaxBodyBytes+1), testTimeout); !errors.Is(err, ErrTooLarge) {
		t.Errorf("message of MaxBodyBytes+1: got error %v, want %v", err, ErrTooLarge)
	}
	if err := b.Send(Client, bytes.Repeat([]byte("x"), MaxBodyBytes), testTimeout); err != nil {
		t.Error(err)
	}
	if m, err := a.Receive(testTimeout); err != nil || len(m.Body) != MaxBodyBytes {
		t.Errorf("got a body of %d bytes, error %v, want %d bytes", len(m.Body), err, MaxBodyBytes)
	}
	b.Close()
	if _, err := a.Receive(testTimeout); !errors.Is(err, io.EOF) {
		t.Errorf("receive after the other side closed the link: got error %v, want %v", err, io.EOF)
	}
}

// Guards starts next to the socket file of a killed process or of a running predecessor, and against socket paths that lie outside the
// directory.
func TestSocketPath(t *testing.T) {
	dir := t.TempDir()
	path := SocketPath(dir, "n")
	if l, err := Dial(path); l != nil || !errors.Is(err, ErrNoListener) {
		t.Fatalf("dial without a socket file: got %v, %v, want no link and %v", l, err, ErrNoListener)
	}
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_SEQPACKET, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}), syscall.Close(fd)); err != nil { // as left by a killed process
		t.Fatal(err)
	}
	if l, err := Dial(path); l != nil || !errors.Is(err, ErrNoListener) {
		t.Fatalf("dial without a listener: got %v, %v, want no link and %v", l, err, ErrNoListener)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path) // a new process, while the old one still has its listener
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if l, err := Dial(path); l == nil || err != nil {
		t.Fatal("new process not reachable after the old one closed its listener:", err)
	}
	second.Close()
	if p := SocketPath(dir, "../../n"); filepath.Dir(p) != dir {
		t.Errorf("name with slashes: got path %s, want one in %s", p, dir)
	}
}
