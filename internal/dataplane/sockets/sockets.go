// Package sockets asks the kernel about TCP connections without waiting and without taking a byte from them. All functions may be called
// while another goroutine reads or writes the connection.
package sockets

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// OpenAndSilent reports whether the peer has not ended the connection and no byte waits to be read on it.
func OpenAndSilent(raw syscall.RawConn) bool {
	var one [1]byte
	var err error
	closed := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && wouldBlock(err)
}

// PeerClosed reports whether the peer has ended its side, whatever of its bytes nobody has read yet. A connection that is closed here
// counts as ended.
func PeerClosed(raw syscall.RawConn) (closed bool) {
	var one [1]byte
	failed := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case wouldBlock(err):
		case err != nil || n == 0:
			closed = true
		default: // bytes before the end
			closed = peerSentFIN(fd)
		}
	})
	return closed || failed != nil
}

// EndsWithin reports whether the peer has ended its side and fewer than n bytes are left to be read. A connection that is closed here
// counts as ended.
func EndsWithin(conn *net.TCPConn, n int) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ends := false
	failed := raw.Control(func(fd uintptr) {
		if !peerSentFIN(fd) {
			return
		}
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		ends = err == nil && unread < n
	})
	return failed != nil || ends
}

// UnreadBytes is how many bytes the kernel holds of what the peer sent; -1 if that is not known.
func UnreadBytes(raw syscall.RawConn) int {
	unread := -1
	failed := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	if failed != nil {
		return -1
	}
	return unread
}

// WriteNonBlocking writes what the socket takes at once and returns how much that is. A full socket is no error.
func WriteNonBlocking(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				return true
			}
		}
	})
	switch {
	case closed != nil:
		return 0, closed
	case errors.Is(err, syscall.EAGAIN):
		return 0, nil
	}
	return max(n, 0), err
}

func wouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// peerSentFIN reports whether the peer's end has come, in front of or behind bytes that wait.
func peerSentFIN(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}
