package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/sockets"
)

const (
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept, most likely for lack of file descriptors
	// acceptQueuePoll is the duration of an accept poll while the queue is emptied. Two in a row without a connection end it, unless the kernel has
	// one: a process that was stopped finds its poll over before it has asked.
	acceptQueuePoll = 2 * time.Millisecond
	// acceptQueueTime is how long the queue is emptied in this way. Clients that come again at once could fill it for ever: from then on one moment
	// without a connection is enough.
	acceptQueueTime = 100 * time.Millisecond
)

// listenerState is what the listener of clients is good for.
type listenerState uint8

const (
	listenerClosed listenerState = iota
	listenerBound                // it has its address; whether it listens is not known
	listenerOpen                 // it listens
)

// acceptRun is one run of acceptLoop. The loop owns the reference to it; its fields may be used by any goroutine.
type acceptRun struct {
	listener *net.TCPListener
	pause    chan struct{} // closed for a hand-over: the successor accepts what is in the queue
	abort    chan struct{} // closed to end the run whatever is in the queue
	endingAt atomic.Int64  // Unix nanoseconds; from then on the run ends, and closes the listener, once the accept queue is empty; 0: not yet
}

func (r *acceptRun) ending() bool { return r.endingAt.Load() != 0 }

// queueEmptiedLate reports whether a run that has been ending for long finds no connection in the queue, or can't know.
func (r *acceptRun) queueEmptiedLate() bool {
	return r.ending() && time.Since(time.Unix(0, r.endingAt.Load())) > acceptQueueTime && acceptQueueLength(r.listener) <= 0
}

// startAccepting accepts connections: the listener listens, and a goroutine runs acceptLoop. It fails if the address is in use.
func (in *Ingress) startAccepting() error {
	if in.accept != nil {
		return nil
	}
	if err := in.startListening(); err != nil {
		return err
	}
	setAcceptDeadline(in.listener, time.Time{})
	in.accept = &acceptRun{listener: in.listener, pause: make(chan struct{}), abort: make(chan struct{})}
	go in.acceptLoop(in.accept)
	return nil
}

// startListening has the kernel accept connections, if it does not.
func (in *Ingress) startListening() error {
	if in.listenerState == listenerOpen {
		return nil
	}
	if err := in.keepAddress(); err != nil {
		return err
	}
	raw, err := in.listener.SyscallConn()
	if err == nil {
		err = sockets.StartListening(raw)
	}
	if err == nil {
		in.listenerState = listenerOpen
	}
	return err
}

// resumeAccepting is startAccepting, again and again until it succeeds, unless the process no longer accepts clients. The listener of a
// successor that has just died may still have the address.
func (in *Ingress) resumeAccepting() {
	if in.shutdown.closingClients || in.successor.stage != handoverNone || !in.drain.Accepts(in.now) {
		return
	}
	in.stopTimer(in.acceptRetry)
	if err := in.startAccepting(); err != nil {
		in.logFault("no connections are accepted", "error", err)
		in.acceptRetry = in.after(acceptRetryDelay.Seconds(), in.resumeAccepting)
	}
	in.acceptingClients.Store(in.accept != nil && !in.drain.Active())
}

// keepAddress replaces a closed listener by one that has its address and does not listen, so that no other socket gets the address.
func (in *Ingress) keepAddress() error {
	if in.listenerState != listenerClosed {
		return nil
	}
	addr, err := net.ResolveTCPAddr("tcp", in.cfg.Listen)
	if err != nil {
		return err
	}
	listener, err := sockets.BindTCP(addr)
	if err != nil {
		return err
	}
	in.listener, in.listenerState = listener, listenerBound
	return nil
}

// endAccepting accepts what is in the kernel's queue, closes the listener and calls handleAcceptEnded.
func (in *Ingress) endAccepting() {
	if in.accept != nil && in.accept.endingAt.CompareAndSwap(0, time.Now().UnixNano()) {
		setAcceptDeadline(in.accept.listener, time.Now().Add(acceptQueuePoll))
	}
}

// abortAccepting closes the listener, whatever is in the kernel's queue.
func (in *Ingress) abortAccepting() {
	run := in.accept
	if run == nil {
		return
	}
	in.log.Warn("accept queue not empty in time", "length", acceptQueueLength(run.listener))
	run.listener.Close()
	close(run.abort)
	in.handleAcceptEnded(run)
}

// handleAcceptEnded continues once a run has ended and its listener is closed.
func (in *Ingress) handleAcceptEnded(run *acceptRun) {
	if in.accept != run {
		return
	}
	in.accept, in.listenerState = nil, listenerClosed
	in.log.Info("no connections are accepted any more")
	if in.shutdown.requested && in.successor.stage == handoverNone {
		in.closeIdleClients()
		return
	}
	if err := in.keepAddress(); err != nil {
		in.logFault("address not kept", "error", err)
	}
	if in.successor.stage == handoverPausing {
		in.startTransfers()
		return
	}
	in.resumeAccepting() // if the drain was cancelled meanwhile
}

// acceptLoop accepts connections until the event loop has ended, the run is paused or aborted, or its accept queue is empty when it is to end.
// To interrupt a blocked accept, pause is closed together with an expired deadline on the listener.
func (in *Ingress) acceptLoop(run *acceptRun) {
	emptyPolls := 0 // consecutive polls without a connection, when the run is to end
	for {
		select {
		case <-run.pause:
			in.post(in.clock.Now(), func() { in.handleAcceptPaused(run) }) // queued behind the event of the last accepted connection
			return
		default:
		}
		select {
		case in.clients.connPermits <- struct{}{}:
		case <-run.pause:
			continue
		case <-run.abort:
			return
		case <-in.done:
			return
		}
		c, err := in.acceptClient(run.listener)
		at := in.clock.Now()
		if err == nil {
			emptyPolls = 0
			c.startCommandDeadline(in)
			in.post(at, func() { in.addClient(c) })
			go c.readLoop(in)
			if run.queueEmptiedLate() {
				in.closeListener(run, at)
				return
			}
			continue
		}
		<-in.clients.connPermits
		switch {
		case errors.Is(err, net.ErrClosed):
			in.post(at, func() { in.handleAcceptPaused(run) })
			return
		case run.ending() && (errors.Is(err, syscall.EINVAL) || emptyPolls > 0 && acceptQueueLength(run.listener) <= 0):
			in.closeListener(run, at) // an earlier close would reset what is in the queue
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			in.post(at, func() { in.logFault("accept failed", "error", err) })
			time.Sleep(acceptRetryDelay)
		case run.ending():
			emptyPolls++
			setAcceptDeadline(run.listener, time.Now().Add(acceptQueuePoll))
		} // else the deadline belongs to a hand-over
	}
}

// closeListener closes the listener of a run that ends at a time.
func (in *Ingress) closeListener(run *acceptRun, at float64) {
	run.listener.Close()
	in.post(at, func() { in.handleAcceptEnded(run) })
}

// acceptQueueLength returns the number of connections that the kernel has accepted on a listener and this process has not, or -1 if it is not
// known.
func acceptQueueLength(listener *net.TCPListener) int {
	raw, err := listener.SyscallConn()
	if err != nil {
		return -1
	}
	return sockets.AcceptQueueLength(raw)
}

// handleAcceptPaused continues a hand-over once the loop has all accepted connections.
func (in *Ingress) handleAcceptPaused(run *acceptRun) {
	if in.accept != run {
		return
	}
	in.accept = nil
	in.startTransfers()
	in.resumeAccepting() // if the hand-over has ended meanwhile
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
