package ingress

import (
	"bytes"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// writeProgress is how much of an attempt's command has been written. A backend runs a command once it has received the last byte.
type writeProgress int32

const (
	writePartial   writeProgress = iota // the last byte has not been written
	writeLastByte                       // a goroutine is writing the last byte
	writeComplete                       // the whole command has been written
	writeAbandoned                      // the last byte will never be written
)

func (p writeProgress) String() string {
	return [...]string{"partial", "last byte", "complete", "abandoned"}[p]
}

// writeState is a writeProgress that is safe for concurrent use.
type writeState struct{ value atomic.Int32 }

func (s *writeState) load() writeProgress { return writeProgress(s.value.Load()) }

func (s *writeState) store(p writeProgress) { s.value.Store(int32(p)) }

// advance changes the progress from one value to another, and reports whether it had the first value.
func (s *writeState) advance(from, to writeProgress) bool {
	return s.value.CompareAndSwap(int32(from), int32(to))
}

// backendConn is a connection to a backend. It carries one attempt at a time.
type backendConn struct {
	backend        *backend
	dialedEndpoint discovery.Endpoint // the backend's endpoint when the connection was dialed
	conn           *net.TCPConn
	rawConn        syscall.RawConn
	socket         *sockets.Reader // reads from conn for the reader
	replies        replyMatcher
	written        writeState // how much of the attempt's command has been written; of any goroutine
	writeMu        sync.Mutex // held while a goroutine writes the rest of a command

	// Set by the reader, and reset by the loop before it writes a command.
	replyBytes   atomic.Int64  // bytes of the reply that have arrived, up to those of a large value that is streamed
	valueBegunAt atomic.Uint64 // bits of the time at which a reply with a value began to arrive, 0 before

	// The event loop owns the fields below.
	attempt *attempt // whose command was written last; nil for a new or pooled connection
	closed  bool
}

// abandonWrite keeps the last byte of the attempt's command from being written. It returns false if that byte may already have been
// written: the command may run then.
func (c *backendConn) abandonWrite() bool {
	return c.written.advance(writePartial, writeAbandoned) || c.written.load() == writeAbandoned
}

// newBackendConn returns the state of a connection that was dialed to an endpoint of a backend.
func newBackendConn(backend *backend, endpoint discovery.Endpoint, conn *net.TCPConn) (*backendConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &backendConn{backend: backend, dialedEndpoint: endpoint, conn: conn, rawConn: raw}
	c.socket = sockets.NewReader(raw, c.replies.noteBeforeRead)
	return c, nil
}

// silent reports whether the backend has neither ended the connection nor sent bytes that are still unread.
func (c *backendConn) silent() bool { return sockets.OpenAndSilent(c.rawConn) }

// writeAttempt writes the command of an attempt to a connection. It writes what the socket takes without blocking, and starts a
// goroutine for the rest, which ends with the connection at the latest. It returns false, and leaves the connection unused, if the
// attempt may no longer be written. Every write to a backend starts here.
func (in *Ingress) writeAttempt(c *backendConn, a *attempt) bool {
	if !in.authorizeWrite(a) {
		return false
	}
	in.writeBuffer = in.appendCommand(in.writeBuffer[:0], a)
	command := in.writeBuffer
	if cap(in.writeBuffer) > 4*inputbuffer.ReadSize {
		in.writeBuffer = nil
	}
	a.conn, c.attempt = c, a
	c.written.store(writePartial)
	c.replyBytes.Store(0)
	c.valueBegunAt.Store(0)
	c.replies.expect(in.now)
	n, err := sockets.WriteNonBlocking(c.rawConn, command)
	switch {
	case err != nil:
		in.finishDeferred(a, policy.ConnectFailed)
	case n == len(command):
		c.written.store(writeComplete)
	default:
		in.writeRestInBackground(c, a, bytes.Clone(command[n:]))
	}
	in.verifyWritten(a)
	return true
}

// writeRestInBackground starts a goroutine that writes the part of an attempt's command that the socket did not take without blocking.
func (in *Ingress) writeRestInBackground(c *backendConn, a *attempt, rest []byte) {
	onLastByte, latestStart := in.backends.onLastByte, a.latestStart
	var client syscall.RawConn
	if a.request != nil {
		client = a.request.client.rawConn
	}
	mayFinish := func() bool { return in.clock.Now() <= latestStart && (client == nil || !sockets.PeerClosed(client)) }
	c.writeMu.Lock() // uncontended: only the connection's reader locks it too, briefly, after the connection has ended
	go func() {
		defer c.writeMu.Unlock()
		if !c.writeRest(c.conn, rest, mayFinish, onLastByte) {
			c.conn.Close() // its reader then reports the failure
		}
	}()
}

// writeRest writes the rest of a command, and reports whether all of it has been written. It records writeLastByte before it writes
// the last byte: if the attempt ended between the write and a later record, it would be reported as never run, and its request would
// be sent again. The last byte is not written if mayFinish returns false: the latest start has passed meanwhile, or the client has
// disconnected.
func (c *backendConn) writeRest(to io.Writer, rest []byte, mayFinish func() bool, onLastByte func()) bool {
	last := len(rest) - 1
	if _, err := to.Write(rest[:last]); err != nil || !mayFinish() || !c.written.advance(writePartial, writeLastByte) {
		return false
	}
	if _, err := to.Write(rest[last:]); err != nil {
		c.written.store(writePartial)
		return false
	}
	onLastByte()
	c.written.store(writeComplete)
	return true
}

// awaitWriter waits until no goroutine writes to the connection any more. Only then is it known whether the whole command was written, and
// so whether an attempt whose connection has ended may have run.
func (c *backendConn) awaitWriter() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
}

// closeBackendConn closes a connection and removes it from the pool. It does nothing if the connection is already closed.
func (in *Ingress) closeBackendConn(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	c.replies.retire(retireEnded)
	in.counters.retired[c.replies.reason()]++
	c.conn.Close()
	in.backends.openConns--
	c.backend.idleConns = slices.DeleteFunc(c.backend.idleConns, func(i *backendConn) bool { return i == c })
}
