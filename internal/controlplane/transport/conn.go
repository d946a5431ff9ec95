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

// MaxQueuedBytes bounds the bytes that wait to be written to one peer.
const MaxQueuedBytes = 1 << 20

// ErrSlowPeer tells that a peer does not take what it is sent.
var ErrSlowPeer = errors.New("peer does not read")

// Conn is one connection between a forwarder and a planner. Records are gathered while a write is under way and
// go out as soon as it is over, so that an idle link adds no waiting and a busy one few writes.
type Conn struct {
	conn        net.Conn
	idleTimeout time.Duration // without a byte from the peer for so long, or a write that takes so long, it ends

	mu     sync.Mutex
	queued []byte // of records, to be framed; MaxQueuedBytes at most
	closed bool
	err    error
	wake   chan struct{} // 1

	BytesIn, BytesOut atomic.Uint64 // bytes, frames' lengths included
}

// NewConn takes a connection over. Its writer's goroutine ends with it; Serve reads.
func NewConn(c net.Conn, idleTimeout time.Duration) *Conn {
	conn := &Conn{conn: c, idleTimeout: idleTimeout, wake: make(chan struct{}, 1)}
	go conn.writeLoop()
	return conn
}

// Writable tells whether the peer keeps up: less than half of what may wait does.
func (c *Conn) Writable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && len(c.queued) < MaxQueuedBytes/2
}

// Send queues records; over the bound the link ends.
func (c *Conn) Send(msgs ...Message) {
	c.mu.Lock()
	if !c.closed {
		for i := range msgs {
			c.queued = AppendMessage(c.queued, &msgs[i])
		}
	}
	over := len(c.queued) > MaxQueuedBytes
	c.mu.Unlock()
	if over {
		c.Close(ErrSlowPeer)
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close ends the link, for the first reason given.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.err, c.queued = true, reason, nil
	}
	c.mu.Unlock()
	c.conn.Close()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// completeRecords returns how many bytes of whole records, MaxFrameBytes at most, b starts with.
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

func (c *Conn) writeLoop() {
	var spare []byte
	for range c.wake {
		c.mu.Lock()
		b, closed := c.queued, c.closed
		c.queued = spare[:0]
		c.mu.Unlock()
		if closed {
			return
		}
		for rest := b; len(rest) > 0; {
			n := completeRecords(rest)
			var head [4]byte
			binary.BigEndian.PutUint32(head[:], uint32(n))
			c.conn.SetWriteDeadline(time.Now().Add(c.idleTimeout))
			bufs := net.Buffers{head[:], rest[:n]}
			if _, err := bufs.WriteTo(c.conn); err != nil {
				c.Close(fmt.Errorf("write: %w", err))
				return
			}
			c.BytesOut.Add(uint64(n) + 4)
			rest = rest[n:]
		}
		if spare = b; cap(spare) > 2*MaxFrameBytes {
			spare = nil
		}
	}
}

// Serve reads frames and hands on their records until the link ends, and tells why it did.
func (c *Conn) Serve(handle func([]Message)) error {
	buf := make([]byte, 0, 4<<10)
	for {
		var head [4]byte
		c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout))
		_, err := io.ReadFull(c.conn, head[:])
		n := int(binary.BigEndian.Uint32(head[:]))
		if err == nil && (n <= 0 || n > MaxFrameBytes) {
			err = fmt.Errorf("frame of %d bytes", n)
		}
		var msgs []Message
		if err == nil {
			if cap(buf) < n {
				buf = make([]byte, 0, n)
			}
			buf = buf[:n]
			if _, err = io.ReadFull(c.conn, buf); err == nil {
				msgs, err = ParseFrame(buf)
			}
		}
		if err != nil {
			c.Close(err)
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.err
		}
		c.BytesIn.Add(uint64(n) + 4)
		handle(msgs)
	}
}
