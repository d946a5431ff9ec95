package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// tcpPair returns the two ends of a TCP connection, and the raw connection of the near end.
func tcpPair(t *testing.T) (near, far *net.TCPConn, raw syscall.RawConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); accepted.Close() })
	near, far = accepted.(*net.TCPConn), c.(*net.TCPConn)
	if raw, err = near.SyscallConn(); err != nil {
		t.Fatal(err)
	}
	return near, far, raw
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout after %v waiting for: %s", testTimeout, what)
		}
	}
}

func TestStateOfConnection(t *testing.T) {
	near, far, raw := tcpPair(t)
	if !OpenAndSilent(raw) || PeerClosed(raw) || UnreadBytes(raw) != 0 || PeerClosedBefore(near, 1) {
		t.Error("a new connection is not reported as open, silent and empty")
	}
	if _, err := far.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "3 unread bytes", func() bool { return UnreadBytes(raw) == 3 })
	if OpenAndSilent(raw) || PeerClosed(raw) || PeerClosedBefore(near, 4) {
		t.Error("a connection with 3 unread bytes is reported as silent or closed by the peer")
	}
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the end of the peer after unread bytes", func() bool { return PeerClosed(raw) })
	if !PeerClosedBefore(near, 4) || PeerClosedBefore(near, 3) {
		t.Error("PeerClosedBefore does not report the end after exactly 3 unread bytes")
	}
	var got [3]byte
	if _, err := near.Read(got[:]); err != nil || string(got[:]) != "abc" {
		t.Fatalf("read %q, error %v, want \"abc\": the queries have consumed input", got, err)
	}
	if OpenAndSilent(raw) || !PeerClosed(raw) {
		t.Error("a connection that the peer has closed is reported as open")
	}
	near.Close()
	if OpenAndSilent(raw) || !PeerClosed(raw) || !PeerClosedBefore(near, 1) || UnreadBytes(raw) != -1 {
		t.Error("a connection that was closed locally is reported as open")
	}
}

func TestWriteNonBlocking(t *testing.T) {
	near, far, raw := tcpPair(t)
	if err := near.SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<20)
	total := 0
	for range 1000 { // the peer reads nothing, so that the socket buffer fills up
		n, err := WriteNonBlocking(raw, chunk)
		if err != nil {
			t.Fatal(err)
		}
		if total += n; n == 0 {
			break
		}
	}
	if n, err := WriteNonBlocking(raw, chunk); n != 0 || err != nil || total == 0 {
		t.Errorf("write to a full socket: %d bytes, error %v, want 0 bytes and no error; %d bytes were written before", n, err, total)
	}
	far.Close()
	near.Close()
	if _, err := WriteNonBlocking(raw, chunk); err == nil {
		t.Error("a write to a closed connection succeeds, want an error")
	}
}

// Guards the figure by which a drain's log tells connections that only the kernel has accepted.
func TestAcceptQueueLength(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for want := range 3 {
		if got := AcceptQueueLength(raw); got != want {
			t.Errorf("after %d connections: got %d", want, got)
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
}
