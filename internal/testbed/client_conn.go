package testbed

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/sockets"
)

// clientConn is a client's connection to a forwarder.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   time.Time // when it was returned to the pool
	incarnation int       // of the forwarder's program when the connection was opened
	used        bool      // it has carried a request
	forwarder   int
	clients     *Clients

	// Guarded by Clients.mu.
	sentAt        time.Time // when the last request was sent
	awaitingReply bool      // that request has no reply yet
}

// Close closes the connection.
func (k *clientConn) Close() error {
	k.clients.mu.Lock()
	delete(k.clients.openConns, k)
	k.clients.mu.Unlock()
	return k.Conn.Close()
}

// setAwaiting records that a request is about to be sent on the connection, or that all its requests are answered.
func (k *clientConn) setAwaiting(awaiting bool) {
	k.clients.mu.Lock()
	defer k.clients.mu.Unlock()
	if k.awaitingReply = awaiting; awaiting {
		k.sentAt = time.Now()
	}
}

// closedByPeer reports whether the peer has closed or reset the connection. It peeks at the socket, so it consumes no data and doesn't
// depend on what the reader has buffered.
func (k *clientConn) closedByPeer() (ended bool) {
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended || err != nil
}

// overdueConns returns the connections that a draining forwarder should have closed, each with a description: connections that
// are idle, and connections whose pending request was sent less than recent ago.
func (c *Clients) overdueConns(forwarder int, recent time.Duration) map[*clientConn]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	overdue := map[*clientConn]string{}
	for k := range c.openConns {
		switch {
		case k.forwarder != forwarder || k.closedByPeer():
		case !k.awaitingReply:
			overdue[k] = "idle"
		case k.awaitingReply && time.Since(k.sentAt) < recent:
			overdue[k] = "with a request sent " + time.Since(k.sentAt).Round(time.Millisecond).String() + " ago"
		}
	}
	return overdue
}

// reachedConns returns the descriptions of connections of overdueConns, but for those that the link had taken and the ingress refused.
func (c *Clients) reachedConns(overdue map[*clientConn]string) (descriptions []string) {
	for k, description := range overdue {
		if !c.front.Unreached(k.LocalAddr().String()) {
			descriptions = append(descriptions, description)
		}
	}
	return descriptions
}

var errIngressLeaving = errors.New("the front opens no new connections to an ingress that is leaving")

// maxConnIdle is how long a connection may stay in the pool. It is shorter than the forwarders' idle timeout, so that a
// forwarder doesn't close a connection while a request is on its way.
const maxConnIdle = 4 * time.Second

// reusable reports whether a pooled connection can carry another request: it was not idle for too long, the peer has not closed
// it, and there is no unread data.
func (k *clientConn) reusable() bool {
	if time.Since(k.idleSince) > maxConnIdle {
		return false
	}
	conn, ok := k.Conn.(*net.TCPConn)
	if !ok || k.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && sockets.OpenAndSilent(raw)
}

// hasIdleConn reports whether the pool has a connection to forwarder f.
func (c *Clients) hasIdleConn(f int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idleConns[f]) > 0
}

// acquire takes a connection to forwarder f from the pool, or opens one if the pool has none or fresh is set.
func (c *Clients) acquire(f int, fresh bool) (*clientConn, error) {
	for !fresh {
		c.mu.Lock()
		list := c.idleConns[f]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		k := list[len(list)-1]
		c.idleConns[f] = list[:len(list)-1]
		c.mu.Unlock()
		// A connection to an earlier process is dead, even if its end has not arrived here.
		if k.incarnation == c.front.Incarnation(f) && k.reusable() {
			return k, nil
		}
		k.Close()
	}
	incarnation := c.front.Incarnation(f)
	if c.front.IsLeaving(f) {
		return nil, errIngressLeaving
	}
	conn, err := net.DialTimeout("tcp", c.front.Addr(f), time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{Conn: conn, reader: bufio.NewReader(conn), incarnation: incarnation, forwarder: f, clients: c}
	c.mu.Lock()
	c.openConns[k] = true
	c.mu.Unlock()
	return k, nil
}

// release returns an answered request's connection to the pool.
func (c *Clients) release(f int, k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.idleSince, k.used, k.awaitingReply = time.Now(), true, false
	c.idleConns[f] = append(c.idleConns[f], k)
}

// roundTrip sends a command and returns the value of its reply, or the line of an error reply. The error is io.EOF only if the connection
// was closed in an orderly way before the first byte of the reply.
func (k *clientConn) roundTrip(command string) (string, error) {
	k.setAwaiting(true)
	if _, err := io.WriteString(k, command); err != nil {
		return "", err
	}
	return k.readReply()
}

// readReply reads one reply and returns its value, or the line of a reply that is not a bulk string. The error is io.EOF only if the
// connection ended before the first byte.
func (k *clientConn) readReply() (string, error) {
	line, err := k.reader.ReadString('\n')
	if line != "" && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil || !strings.HasPrefix(line, "$") {
		return strings.TrimRight(line, "\r\n"), err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return "", err
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(k.reader, value); errors.Is(err, io.EOF) {
		return "", io.ErrUnexpectedEOF
	} else if err != nil {
		return "", err
	}
	return string(value[:n]), nil
}
