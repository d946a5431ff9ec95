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

// writeProgress is how far the command of an attempt has gone out. A backend begins a command with its last byte.
type writeProgress int32

const (
	writePartial   writeProgress = iota // its last byte has not gone out
	writeLastByte                       // a goroutine writes its last byte
	writeComplete                       // all of it has
	writeAbandoned                      // its last byte never will
)

func (p writeProgress) String() string {
	return [...]string{"partial", "last byte", "complete", "abandoned"}[p]
}

// writeState is a writeProgress that several goroutines use.
type writeState struct{ value atomic.Int32 }

func (s *writeState) load() writeProgress { return writeProgress(s.value.Load()) }

func (s *writeState) store(p writeProgress) { s.value.Store(int32(p)) }

// advance goes from one progress to another, and reports whether it stood there.
func (s *writeState) advance(from, to writeProgress) bool {
	return s.value.CompareAndSwap(int32(from), int32(to))
}

// backendConn is a connection to a backend. It carries one attempt at a time.
type backendConn struct {
	backend        *backend
	dialedEndpoint discovery.Endpoint // as the backend stood when it was dialled
	conn           *net.TCPConn
	rawConn        syscall.RawConn
	replyExpected  atomic.Bool // set by the loop with each command, cleared by the reader with the reply
	unusable       atomic.Bool // not to be used for another command; of any goroutine
	written        writeState  // how far the attempt's command is; of any goroutine
	writeMu        sync.Mutex  // held while a write that the loop does not wait for goes on

	// Loop only from here on.
	attempt     *attempt // nil: none has been written since it was pooled
	idleSince   float64
	reuseDelayS float64 // how long it is left alone from then on
	closed      bool
}

// abandonWrite sees to it that the last byte of the attempt's command never goes out, and reports whether that is so: false means that the
// command may run.
func (c *backendConn) abandonWrite() bool {
	return c.written.advance(writePartial, writeAbandoned) || c.written.load() == writeAbandoned
}

// silent reports whether the backend has not ended the connection and no byte of it waits to be read.
func (c *backendConn) silent() bool { return sockets.OpenAndSilent(c.rawConn) }

// writeAttempt sends the command of an attempt, if that is still allowed: at once what the socket takes, the rest on a goroutine of its own,
// which ends with the connection. Nothing else writes to a backend.
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
	c.replyExpected.Store(true)
	n, err := sockets.WriteNonBlocking(c.rawConn, command)
	switch {
	case err != nil:
		in.finishDeferred(a, policy.ConnectFailed)
	case n == len(command):
		c.written.store(writeComplete)
	default:
		in.writeRestOf(c, a, bytes.Clone(command[n:]))
	}
	in.verifyWritten(a)
	return true
}

// writeRestOf starts to write what the socket did not take at once of an attempt's command.
func (in *Ingress) writeRestOf(c *backendConn, a *attempt, rest []byte) {
	onLastByte, latestStart := in.backends.onLastByte, a.latestStart
	var client syscall.RawConn
	if a.request != nil {
		client = a.request.client.rawConn
	}
	mayEnd := func() bool { return in.clock.Now() <= latestStart && (client == nil || !sockets.PeerClosed(client)) }
	c.writeMu.Lock() // only its own reader takes it besides, for a moment at its end
	go func() {
		defer c.writeMu.Unlock()
		if !c.writeRest(c.conn, rest, mayEnd, onLastByte) {
			c.conn.Close() // its reader reports it
		}
	}()
}

// writeRest writes the rest of a command, and reports whether all of it is out. That the last byte may be out is recorded before it goes: an
// attempt that ends in between would else be taken for one that never ran, and its request be sent again. Where mayEnd says no, as the latest
// start has passed meanwhile, the last byte does not go.
func (c *backendConn) writeRest(to io.Writer, rest []byte, mayEnd func() bool, onLastByte func()) bool {
	last := len(rest) - 1
	if _, err := to.Write(rest[:last]); err != nil || !mayEnd() || !c.written.advance(writePartial, writeLastByte) {
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

// awaitWriter returns once no goroutine writes to the connection any more: whether the command was written to its end decides what the
// connection's end means.
func (c *backendConn) awaitWriter() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
}

// closeBackendConn closes a connection and takes it out of the pool.
func (in *Ingress) closeBackendConn(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	c.unusable.Store(true)
	c.conn.Close()
	in.backends.openConns--
	c.backend.idleConns = slices.DeleteFunc(c.backend.idleConns, func(i *backendConn) bool { return i == c })
}
