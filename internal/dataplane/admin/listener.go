package admin

import (
	"net"
	"sync"
	"time"
)

// boundedListener bounds the connections to MaxConns. A new one always gets in, unless calls are being carried out on all others: the one that has
// been silent for longest is closed for it.
type boundedListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[*boundedConn]struct{} // under mutex; MaxConns at most
}

type boundedConn struct {
	net.Conn
	listener    *boundedListener
	acceptedAt  time.Time
	callStarted bool // its call was read to its end; under listener.mutex
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if mine := l.admit(c); mine != nil {
			return mine, nil
		}
		c.Close()
	}
}

// admit takes a connection among the open ones, and closes another for it if there are too many; nil where none may be closed: calls are being
// carried out on all of them, each of which ends within callTimeout.
func (l *boundedListener) admit(c net.Conn) *boundedConn {
	l.mutex.Lock()
	var oldest *boundedConn
	for o := range l.conns {
		if !o.callStarted && (oldest == nil || o.acceptedAt.Before(oldest.acceptedAt)) {
			oldest = o
		}
	}
	full := len(l.conns) >= MaxConns
	if full && oldest == nil {
		l.mutex.Unlock()
		return nil
	}
	mine := &boundedConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.conns[mine] = struct{}{}
	l.mutex.Unlock()
	if full {
		oldest.Close()
	}
	return mine
}

// markCallStarted keeps the connection from being closed for another one.
func (c *boundedConn) markCallStarted() {
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	c.callStarted = true
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
