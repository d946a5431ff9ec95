// Package sockets queries the state of TCP connections and writes to them, without blocking and without consuming input. All functions may
// be called while another goroutine reads or writes the connection.
package sockets

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// OpenAndSilent reports whether neither side has closed the connection and no byte is waiting to be read.
func OpenAndSilent(raw syscall.RawConn) bool {
	var one [1]byte
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && wouldBlock(err)
}

// PeerClosed reports whether the peer has closed its side of the connection, even if unread bytes precede the end. A connection that was
// closed locally counts as closed by the peer.
func PeerClosed(raw syscall.RawConn) (closed bool) {
	var one [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case wouldBlock(err):
		case err != nil || n == 0:
			closed = true
		default: // unread bytes hide a possible end
			closed = peerSentFIN(fd)
		}
	})
	return closed || controlErr != nil
}

// PeerClosedBefore reports whether the peer has closed its side of the connection and fewer than n bytes are left to read. It is also true
// for a connection that was closed locally.
func PeerClosedBefore(conn *net.TCPConn, n int) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	ends := false
	controlErr := raw.Control(func(fd uintptr) {
		if !peerSentFIN(fd) {
			return
		}
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		ends = err == nil && unread < n
	})
	return controlErr != nil || ends
}

// UnreadBytes returns the number of received bytes that are waiting in the kernel to be read, or -1 if it is not known.
func UnreadBytes(raw syscall.RawConn) int { return queuedBytes(raw, unix.SIOCINQ) }

// UnackedBytes returns the number of written bytes that the peer's kernel has not acknowledged, or -1 if it is not known.
func UnackedBytes(raw syscall.RawConn) int { return queuedBytes(raw, unix.SIOCOUTQ) }

// AcceptQueueLength returns the number of connections that the kernel has accepted on a listener and the process has not, or -1 if it is not
// known.
func AcceptQueueLength(raw syscall.RawConn) int {
	length := -1
	controlErr := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked) // the kernel reports the queue of a listener in this field
		}
	})
	if controlErr != nil {
		return -1
	}
	return length
}

// SendProgress tells how far a connection's output has come, in bytes since the connection was opened.
type SendProgress struct {
	Written uint64 // by this side
	Acked   uint64 // by the peer's kernel
}

// ReadSendProgress returns the progress of a connection's output. It reports false if that is not known.
func ReadSendProgress(raw syscall.RawConn) (p SendProgress, ok bool) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		unacked, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		p, ok = SendProgress{Written: info.Bytes_acked + uint64(max(unacked, 0)), Acked: info.Bytes_acked}, err == nil
	})
	return p, ok && controlErr == nil
}

func queuedBytes(raw syscall.RawConn, request uint) int {
	queued := -1
	controlErr := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
			queued = n
		}
	})
	if controlErr != nil {
		return -1
	}
	return queued
}

// WriteNonBlocking writes as many bytes of b as the socket buffer accepts at once, and returns their number. If the buffer is full, it
// returns 0 and no error.
func WriteNonBlocking(raw syscall.RawConn, b []byte) (n int, err error) {
	writeErr := raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				return true
			}
		}
	})
	switch {
	case writeErr != nil:
		return 0, writeErr
	case errors.Is(err, syscall.EAGAIN):
		return 0, nil
	}
	return max(n, 0), err
}

func wouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// peerSentFIN reports whether the peer has closed its side, whether or not unread bytes precede the end.
func peerSentFIN(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}
