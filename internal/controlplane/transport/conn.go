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
	// MaxQueuedBytes bounds what is queued to be written to one peer.
	MaxQueuedBytes = 1 << 20
	// frameHeaderBytes is the size of a frame's length, which is written before it.
	frameHeaderBytes = 4
	// readBufferBytes is the size of a read buffer before a larger frame arrives.
	readBufferBytes = 4 << 10
	// maxIdleQueueBytes is the largest write buffer that is kept for the next frames.
	maxIdleQueueBytes = 2 * MaxFrameBytes
)

// ErrSlowPeer ends a link whose peer does not read what it is sent.
var ErrSlowPeer = errors.New("peer does not read")

// Conn is one connection between a forwarder and a planner. Messages are gathered while a write is under way and go out together as soon
// as it is done, so that an idle link adds no delay and a busy one makes few writes. Its methods are safe for concurrent use.
type Conn struct {
	conn        net.Conn
	idleTimeout time.Duration // the link ends if nothing is read, or a write does not end, for so long

	mu     sync.Mutex
	queued []byte // records to be framed; MaxQueuedBytes at most
	closed bool
	err    error         // why it was closed
	wake   chan struct{} // holds one value if queued or closed has changed

	BytesIn, BytesOut atomic.Uint64 // with the lengths of frames
}

// NewConn takes a connection over and starts its writer. Serve reads from it.
func NewConn(conn net.Conn, idleTimeout time.Duration) *Conn {
	c := &Conn{conn: conn, idleTimeout: idleTimeout, wake: make(chan struct{}, 1)}
	go c.writeLoop()
	return c
}

// Writable reports whether the peer keeps up: less than half of what may be queued is.
func (c *Conn) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.queued) < MaxQueuedBytes/2
}

// Send queues messages. It closes the connection with ErrSlowPeer if too much is queued.
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

// Close ends the connection. The reason of the first call is the one that Serve returns.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.err, c.queued = true, reason, nil
	}
	c.mu.Unlock()
	_ = c.conn.Close() // nothing can be done about a connection that can't be closed
	c.wakeWriter()
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// completeRecords returns how many bytes of complete records b starts with, MaxFrameBytes at most.
func completeRecords(b []byte) int {
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

// writeLoop writes what is queued until the connection is closed.
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
			n := completeRecords(rest)
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

// Serve reads frames and calls handle with the messages of each until the link ends. It returns why that happened: an error that wraps
// ErrMalformed, one of the connection, or the reason of Close.
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

// readFrame reads a frame into buf, or into a larger buffer.
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
		return nil, fmt.Errorf("%w: frame of %d bytes", ErrMalformed, n)
	}
	if cap(buf) < n {
		buf = make([]byte, 0, n)
	}
	buf = buf[:n]
	_, err := io.ReadFull(c.conn, buf)
	return buf, err
}
