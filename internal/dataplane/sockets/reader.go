package sockets

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"
)

// Reader reads from a TCP connection. Other goroutines can ask whether it may hold bytes that it has taken from the socket: at any time,
// received bytes are either in the socket, or Waiting reports false, or their reader has called Read again. One goroutine calls Read at a time.
type Reader struct {
	raw     syscall.RawConn
	busy    atomic.Bool
	tryRead func(fd uintptr) (done bool) // allocated once

	beforeRead func() // called directly before each read from the socket; nil: nothing is

	// Of the read under way.
	space []byte
	n     int
	err   error
}

// NewReader returns a Reader, which does not count as waiting before its first Read waits. It calls beforeRead, unless that is nil, directly
// before each read from the socket.
func NewReader(raw syscall.RawConn, beforeRead func()) *Reader {
	r := &Reader{raw: raw, beforeRead: beforeRead}
	r.busy.Store(true)
	r.tryRead = r.readNonBlocking
	return r
}

// Waiting reports whether the goroutine that calls Read waits for bytes. It has then processed all that it has read. To find out whether
// received bytes are unprocessed, first ask whether bytes wait in the socket, then call Waiting.
func (r *Reader) Waiting() bool { return !r.busy.Load() }

// Read implements io.Reader. The connection's read deadline applies.
func (r *Reader) Read(b []byte) (int, error) {
	r.space, r.n, r.err = b, 0, nil
	err := r.raw.Read(r.tryRead)
	switch {
	case err != nil:
		return 0, err
	case r.err != nil:
		return 0, r.err
	case r.n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return r.n, nil
}

// readNonBlocking reads what has been received, and reports false if nothing has. The reader counts as busy before it takes bytes.
func (r *Reader) readNonBlocking(fd uintptr) bool {
	r.busy.Store(true)
	for {
		if r.beforeRead != nil {
			r.beforeRead()
		}
		r.n, r.err = syscall.Read(int(fd), r.space)
		switch {
		case errors.Is(r.err, syscall.EINTR):
		case errors.Is(r.err, syscall.EAGAIN):
			r.busy.Store(false)
			return false
		default:
			return true
		}
	}
}
