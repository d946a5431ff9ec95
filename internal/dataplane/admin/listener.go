package admin

import (
	"net"
	"sync"
	"time"
)

// boundedListener limits the open connections to MaxConns. When a connection arrives beyond the limit, the listener closes the oldest
// connection whose call has not started. If calls run on all connections, it closes the new one instead.
type boundedListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[*boundedConn]struct{} // under mutex; MaxConns at most
}

type boundedConn struct {
	net.Conn
	listener    *boundedListener
	acceptedAt  time.Time
	callStarted bool // the header of its call has been read, and the handler runs; under listener.mutex
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		c.Close()
	}
}

// admit adds a connection to the open ones, and closes the oldest connection whose call has not started if there are too many. It returns
// nil if calls run on all open connections; each of these calls ends within callTimeout.
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
	admitted := &boundedConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.conns[admitted] = struct{}{}
	l.mutex.Unlock()
	if full {
		oldest.Close()
	}
	return admitted
}

// markCallStarted protects the connection from being closed in favor of a new one.
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
