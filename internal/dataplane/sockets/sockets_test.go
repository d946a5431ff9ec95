package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// pair is two ends of one connection.
func pair(t *testing.T) (near, far *net.TCPConn, raw syscall.RawConn) {
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

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: ", what)
		}
	}
}

func TestStateOfConnection(t *testing.T) {
	near, far, raw := pair(t)
	if !OpenAndSilent(raw) || PeerClosed(raw) || UnreadBytes(raw) != 0 || EndsWithin(near, 1) {
		t.Error("a new connection is not open and silent")
	}
	if _, err := far.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "bytes", func() bool { return UnreadBytes(raw) == 3 })
	if OpenAndSilent(raw) || PeerClosed(raw) || EndsWithin(near, 4) {
		t.Error("a connection with bytes is silent, or has ended")
	}
	if err := far.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the end behind bytes", func() bool { return PeerClosed(raw) })
	if !EndsWithin(near, 4) || EndsWithin(near, 3) {
		t.Error("three bytes are left")
	}
	var got [3]byte
	if _, err := near.Read(got[:]); err != nil || string(got[:]) != "abc" {
		t.Fatalf("%q, %v: a look took bytes", got, err)
	}
	if OpenAndSilent(raw) || !PeerClosed(raw) {
		t.Error("an ended connection is open")
	}
	near.Close()
	if OpenAndSilent(raw) || !PeerClosed(raw) || !EndsWithin(near, 1) || UnreadBytes(raw) != -1 {
		t.Error("a closed connection is open")
	}
}

func TestWriteNonBlocking(t *testing.T) {
	near, far, raw := pair(t)
	if err := near.SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<20)
	total := 0
	for range 1000 { // nobody reads: the socket is full at some time
		n, err := WriteNonBlocking(raw, chunk)
		if err != nil {
			t.Fatal(err)
		}
		if total += n; n == 0 {
			break
		}
	}
	if n, err := WriteNonBlocking(raw, chunk); n != 0 || err != nil || total == 0 {
		t.Errorf("a full socket took %d bytes of %d, %v", n, total, err)
	}
	far.Close()
	near.Close()
	if _, err := WriteNonBlocking(raw, chunk); err == nil {
		t.Error("a closed connection takes bytes")
	}
}
