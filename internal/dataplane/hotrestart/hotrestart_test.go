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

// pair is a link and its other side.
func pair(t *testing.T) (a, b *Link, path string) {
	t.Helper()
	path, err := SocketPath(t.TempDir(), "n")
	if err != nil {
		t.Fatal(err)
	}
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

// Guards what the replacement rests on: a connection goes on at the receiver with every byte, while the sender closes it,
// and a listener's queue is taken over with it.
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
		t.Fatal(m, err)
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
			t.Fatalf("%q, want %q: %v", got, want.text, err)
		}
		write(t, server, "back")
		if _, err := io.ReadFull(want.client, got[:4]); err != nil || string(got[:4]) != "back" {
			t.Fatalf("%q came back: %v", got[:4], err)
		}
	}
}

// Guards the descriptors of a process that is told nonsense: each that came is closed.
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
			t.Fatal("another kind was taken:", err)
		}
		send(Sockets, l)
		if _, err := a.Expect(Sockets, 2, testTimeout); !errors.Is(err, ErrUnexpected) {
			t.Fatal("too few descriptors were taken:", err)
		}
		send(Sockets, l)
		m, err := a.Expect(Sockets, 1, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := TCPListener(m.Files[0], "127.0.0.1:1"); !errors.Is(err, ErrWrongSocket) || !strings.Contains(err.Error(), "want *net.TCPListener at 127.0.0.1:1") {
			t.Fatal(err)
		}
		send(Client, l)
		if m, err = a.Receive(testTimeout); err != nil {
			t.Fatal(err)
		}
		if _, err := TCPConn(m.Files[0]); !errors.Is(err, ErrWrongSocket) {
			t.Fatal("a listener passes for a connection:", err)
		}
	}
	if after := open(); after > before {
		t.Errorf("%d descriptors, %d before", after, before)
	}
	if err := b.Send(Client, make([]byte, MaxBodyBytes+1), testTimeout); !errors.Is(err, ErrTooLarge) {
		t.Error("an overlong message was sent:", err)
	}
	if err := b.Send(Client, bytes.Repeat([]byte("x"), MaxBodyBytes), testTimeout); err != nil {
		t.Error(err)
	}
	if m, err := a.Receive(testTimeout); err != nil || len(m.Body) != MaxBodyBytes {
		t.Error(len(m.Body), err)
	}
	b.Close()
	if _, err := a.Receive(testTimeout); !errors.Is(err, io.EOF) {
		t.Error("the end of the link is no error:", err)
	}
}

// Guards starts beside what a killed process left, and against paths that the system would cut.
func TestSocketPath(t *testing.T) {
	dir := t.TempDir()
	path, _ := SocketPath(dir, "n")
	if l, err := Dial(path); l != nil || err != nil {
		t.Fatal("nothing is there:", l, err)
	}
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_SEQPACKET, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}), syscall.Close(fd)); err != nil { // as a killed process leaves it
		t.Fatal(err)
	}
	if l, err := Dial(path); l != nil || err != nil {
		t.Fatal("nobody listens:", l, err)
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
		t.Fatal("the old process took the new one's path away:", err)
	}
	second.Close()
	if _, err := SocketPath(strings.Repeat("x", 100), "n"); !errors.Is(err, ErrPathTooLong) {
		t.Error("a path that is too long is no error:", err)
	}
	if p, _ := SocketPath(dir, "../../n"); filepath.Dir(p) != dir {
		t.Error("a name leads out of the folder:", p)
	}
}
