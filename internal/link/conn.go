package link

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

// MaxWaiting bounds the bytes that wait to be written to one peer.
const MaxWaiting = 1 << 20

// ErrBehind tells that a peer does not take what it is sent.
var ErrBehind = errors.New("peer does not read")

// Conn is one connection between a forwarder and a planner. Records are gathered while a write is under way and
// go out as soon as it is over, so that an idle link adds no waiting and a busy one few writes.
type Conn struct {
	conn    net.Conn
	silence time.Duration // without a byte from the peer for so long, or a write that takes so long, it ends

	mu     sync.Mutex
	buf    []byte // of records, to be framed; MaxWaiting at most
	closed bool
	err    error
	wake   chan struct{} // 1

	In, Out atomic.Uint64 // bytes, frames' lengths included
}

// NewConn takes a connection over. Its writer's goroutine ends with it; Serve reads.
func NewConn(c net.Conn, silence time.Duration) *Conn {
	l := &Conn{conn: c, silence: silence, wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// Room tells whether the peer keeps up: less than half of what may wait does.
func (l *Conn) Room() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && len(l.buf) < MaxWaiting/2
}

// Send queues records; over the bound the link ends.
func (l *Conn) Send(msgs ...Msg) {
	l.mu.Lock()
	if !l.closed {
		for i := range msgs {
			l.buf = Append(l.buf, &msgs[i])
		}
	}
	over := len(l.buf) > MaxWaiting
	l.mu.Unlock()
	if over {
		l.Close(ErrBehind)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the link, for the first reason given.
func (l *Conn) Close(why error) {
	l.mu.Lock()
	if !l.closed {
		l.closed, l.err, l.buf = true, why, nil
	}
	l.mu.Unlock()
	l.conn.Close()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// split returns how many bytes of whole records, MaxFrame at most, b starts with.
func split(b []byte) int {
	if len(b) <= MaxFrame {
		return len(b)
	}
	n := 0
	for r := (reader{b: b}); ; {
		var m Msg
		if r.next(&m); r.err != nil || len(b)-len(r.b) > MaxFrame {
			return n
		}
		n = len(b) - len(r.b)
	}
}

func (l *Conn) write() {
	var spare []byte
	for range l.wake {
		l.mu.Lock()
		b, closed := l.buf, l.closed
		l.buf = spare[:0]
		l.mu.Unlock()
		if closed {
			return
		}
		for rest := b; len(rest) > 0; {
			n := split(rest)
			var head [4]byte
			binary.BigEndian.PutUint32(head[:], uint32(n))
			l.conn.SetWriteDeadline(time.Now().Add(l.silence))
			bufs := net.Buffers{head[:], rest[:n]}
			if _, err := bufs.WriteTo(l.conn); err != nil {
				l.Close(fmt.Errorf("write: %w", err))
				return
			}
			l.Out.Add(uint64(n) + 4)
			rest = rest[n:]
		}
		if spare = b; cap(spare) > 2*MaxFrame {
			spare = nil
		}
	}
}

// Serve reads frames and hands on their records until the link ends, and tells why it did.
func (l *Conn) Serve(take func([]Msg)) error {
	buf := make([]byte, 0, 4<<10)
	for {
		var head [4]byte
		l.conn.SetReadDeadline(time.Now().Add(l.silence))
		_, err := io.ReadFull(l.conn, head[:])
		n := int(binary.BigEndian.Uint32(head[:]))
		if err == nil && (n <= 0 || n > MaxFrame) {
			err = fmt.Errorf("frame of %d bytes", n)
		}
		var msgs []Msg
		if err == nil {
			if cap(buf) < n {
				buf = make([]byte, 0, n)
			}
			buf = buf[:n]
			if _, err = io.ReadFull(l.conn, buf); err == nil {
				msgs, err = Parse(buf)
			}
		}
		if err != nil {
			l.Close(err)
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.err
		}
		l.In.Add(uint64(n) + 4)
		take(msgs)
	}
}
