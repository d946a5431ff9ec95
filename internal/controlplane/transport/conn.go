package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxQueuedBytes is the limit of the encoded records that are queued for one peer. Conn.Send closes the connection when they exceed it.
	MaxQueuedBytes = 1 << 20
	// frameHeaderBytes is the size of the length that precedes each frame.
	frameHeaderBytes = 4
	// readBufferBytes is the initial capacity of the read buffer; a larger frame makes it grow.
	readBufferBytes = 4 << 10
	// maxIdleQueueBytes is the largest capacity with which a write buffer is kept for reuse.
	maxIdleQueueBytes = 2 * MaxFrameBytes
)

// ErrSlowPeer is the reason with which a link is closed when its peer reads too slowly and more than MaxQueuedBytes are queued for it.
var ErrSlowPeer = errors.New("send queue is full: the peer reads too slowly")

// Conn is one connection between a forwarder and a planner. Messages that are sent during a write are queued and written together as soon as
// that write ends, so an idle link adds no delay and a busy link makes few writes. Its methods are safe for concurrent use, except that only
// one Serve may run.
type Conn struct {
	conn        net.Conn
	idleTimeout time.Duration // the connection is closed if reading or writing a frame takes longer

	mu     sync.Mutex
	queued []byte // encoded records that are not framed yet; at most MaxQueuedBytes
	closed bool
	err    error         // the reason of the first Close
	wake   chan struct{} // capacity 1; a value tells writeLoop that queued or closed has changed

	BytesIn, BytesOut atomic.Uint64 // including frame headers
}

// NewConn takes ownership of a connection and starts to write to it. The caller runs Serve to read from it. The connection is closed if
// no whole frame is read, or a write does not end, within idleTimeout.
func NewConn(conn net.Conn, idleTimeout time.Duration) *Conn {
	c := &Conn{conn: conn, idleTimeout: idleTimeout, wake: make(chan struct{}, 1)}
	go c.writeLoop()
	return c
}

// Writable reports whether the peer keeps up: the connection is open and less than half of MaxQueuedBytes are queued.
func (c *Conn) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.queued) < MaxQueuedBytes/2
}

// Send queues messages to be written in order, or drops them if the connection is closed. It closes the connection with ErrSlowPeer if more
// than MaxQueuedBytes are then queued.
func (c *Conn) Send(msgs ...Message) {
	c.mu.Lock()
	if !c.closed {
		for i := range msgs {
			c.queued = AppendMessage(c.queued, &msgs[i])
		}
	}
	overflow := len(c.queued) > MaxQueuedBytes
	c.mu.Unlock()
	if overflow {
		c.Close(ErrSlowPeer)
		return
	}
	c.wakeWriter()
}

// Close closes the connection and drops queued messages. Serve returns the reason of the first call.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.err, c.queued = true, reason, nil
	}
	c.mu.Unlock()
	_ = c.conn.Close() // there is no way to recover from a failed close
	c.wakeWriter()
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// completeRecordBytes returns the length of the longest prefix of b that consists of complete records and fits into one frame.
func completeRecordBytes(b []byte) int {
	if len(b) <= MaxFrameBytes {
		return len(b)
	}
	n := 0
	for r := (recordReader{rest: b}); ; {
		var msg Message
		if r.next(&msg); r.err != nil || len(b)-len(r.rest) > MaxFrameBytes {
			return n
		}
		n = len(b) - len(r.rest)
	}
}

// writeLoop writes queued records until the connection is closed.
func (c *Conn) writeLoop() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		records, closed := c.queued, c.closed
		c.queued = spare[:0]
		c.mu.Unlock()
		if closed {
			return
		}
		for rest := records; len(rest) > 0; {
			n := completeRecordBytes(rest)
			if err := c.writeFrame(rest[:n]); err != nil {
				c.Close(fmt.Errorf("write: %w", err))
				return
			}
			rest = rest[n:]
		}
		if spare = records; cap(spare) > maxIdleQueueBytes {
			spare = nil
		}
	}
}

func (c *Conn) writeFrame(records []byte) error {
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(records)))
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return err
	}
	buffers := net.Buffers{header[:], records}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return err
	}
	c.BytesOut.Add(uint64(len(records)) + frameHeaderBytes)
	return nil
}

// Serve reads frames and calls handle with the messages of each, until the connection ends. It returns the reason: an error that wraps
// ErrMalformed, an error of the connection, or the reason that was given to Close.
func (c *Conn) Serve(handle func([]Message)) error {
	buf := make([]byte, 0, readBufferBytes)
	for {
		var err error
		buf, err = c.readFrame(buf)
		var msgs []Message
		if err == nil {
			msgs, err = ParseFrame(buf)
		}
		if err != nil {
			c.Close(err)
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.err
		}
		c.BytesIn.Add(uint64(len(buf)) + frameHeaderBytes)
		handle(msgs)
	}
}

// readFrame reads one frame into buf, or into a new buffer if buf is too small, and returns it.
func (c *Conn) readFrame(buf []byte) ([]byte, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return nil, err
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:]))
	if n <= 0 || n > MaxFrameBytes {
		return nil, fmt.Errorf("%w: frame length is %d bytes, want 1 to %d", ErrMalformed, n, MaxFrameBytes)
	}
	if cap(buf) < n {
		buf = make([]byte, 0, n)
	}
	buf = buf[:n]
	_, err := io.ReadFull(c.conn, buf)
	return buf, err
}
