package ingress

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptRetryDelay = 5 * time.Millisecond // after a failure, most likely for want of descriptors
	acceptQueuePoll  = 2 * time.Millisecond // how long no connection may come before a listener that is to close is empty
)

// acceptLoop accepts connections until the listener is closed, or pause and with it the listener's deadline, or until the accept queue is
// empty at a shutdown.
func (in *Ingress) acceptLoop(l *net.TCPListener, pause chan struct{}) {
	emptyPolls := 0 // in a row, while the accept queue is drained
	for {
		select {
		case <-pause:
			in.post(in.clock.Now(), func() { in.startTransfers(pause) }) // behind the last connection that was accepted
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
		case !in.shutdown.drainingAcceptQueue.Load(): // a deadline of the hand-over
		case emptyPolls == 0:
			emptyPolls++
			setAcceptDeadline(l, time.Now().Add(acceptQueuePoll))
		default: // closed any earlier, connections in the queue would be reset
			l.Close()
			in.post(at, func() { in.shutdown.acceptQueuePending = false })
			return
		}
	}
}

// acceptClient accepts one connection, which is not read yet.
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
