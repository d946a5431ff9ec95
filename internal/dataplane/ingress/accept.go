package ingress

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept, most likely for lack of file descriptors
	acceptQueuePoll  = 2 * time.Millisecond // duration of an accept poll at a shutdown; two in a row without a connection close the listener
)

// acceptLoop accepts connections until the listener is closed, the event loop has ended, pause is closed, or the accept queue is empty at a
// shutdown. To interrupt a blocked accept, pause is closed together with an expired deadline on the listener.
func (in *Ingress) acceptLoop(l *net.TCPListener, pause chan struct{}) {
	emptyPolls := 0 // consecutive polls without a connection, at a shutdown
	for {
		select {
		case <-pause:
			in.post(in.clock.Now(), func() { in.startTransfers(pause) }) // queued behind the event of the last accepted connection
			return
		default:
		}
		select {
		case in.clients.connPermits <- struct{}{}:
		case <-pause:
			continue
		case <-in.done:
			return
		}
		c, err := in.acceptClient(l)
		at := in.clock.Now()
		if err == nil {
			emptyPolls = 0
			c.startCommandDeadline(in)
			in.post(at, func() { in.addClient(c) })
			go c.readLoop(in)
			continue
		}
		<-in.clients.connPermits
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			in.post(at, func() { in.logFault("accept failed", "error", err) })
			time.Sleep(acceptRetryDelay)
		case !in.shutdown.drainingAcceptQueue.Load(): // the deadline belongs to a hand-over
		case emptyPolls == 0:
			emptyPolls++
			setAcceptDeadline(l, time.Now().Add(acceptQueuePoll))
		default: // an earlier close would reset the connections in the accept queue
			l.Close()
			in.post(at, func() { in.shutdown.acceptQueuePending = false })
			return
		}
	}
}

// acceptClient accepts one connection. Nothing is read from it yet.
func (in *Ingress) acceptClient(l *net.TCPListener) (*clientConn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c, err := in.newClientConn(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}
