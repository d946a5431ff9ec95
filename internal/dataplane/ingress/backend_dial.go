package ingress

import (
	"errors"
	"net"
	"slices"
	"syscall"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// dialForAttempt dials a new connection, which the attempt waits for. At the limit on connections it closes an idle one, and returns
// false if there is none.
func (in *Ingress) dialForAttempt(a *attempt) bool {
	if in.backends.openConns >= in.backends.maxConns && !in.evictIdleConn() {
		return false
	}
	a.backend.waitingAttempts = append(a.backend.waitingAttempts, a)
	a.backend.pendingDials++
	in.backends.openConns++
	go in.dialBackend(a.backend, a.backend.Endpoint)
	return true
}

// dialBackend dials one connection and posts the result to the loop. It runs on a goroutine of its own, at most until the dial times out.
func (in *Ingress) dialBackend(backend *backend, endpoint discovery.Endpoint) {
	conn, err := in.backends.dial(endpoint.Addr)
	var c *backendConn
	if err == nil {
		if c, err = newBackendConn(backend, endpoint, conn.(*net.TCPConn)); err != nil {
			conn.Close()
		}
	}
	in.post(in.clock.Now(), func() { in.handleDialed(backend, c, err) })
}

// handleDialed handles the result of a dial. A new connection goes to the attempt that has waited longest. If more attempts wait
// than dials are pending after that, they get idle connections or, without one, end.
func (in *Ingress) handleDialed(backend *backend, c *backendConn, err error) {
	backend.pendingDials--
	status := in.useDialedConn(backend, c, err)
	for len(backend.waitingAttempts) > backend.pendingDials {
		if c := in.takeIdleConn(backend, slices.ContainsFunc(backend.waitingAttempts, (*attempt).mustRunOnce)); c != nil {
			in.assignConn(c)
			continue
		}
		in.finishAttempt(backend.waitingAttempts[0], callprotocol.Result{Status: status}, in.now)
	}
}

// useDialedConn gives a new connection to a waiting attempt or to the pool, or handles the dial's error if c is nil. It returns the
// status with which attempts end that get no connection.
func (in *Ingress) useDialedConn(backend *backend, c *backendConn, err error) policy.Status {
	if c == nil {
		in.backends.openConns--
		in.logFault("dial failed", "backend", backend.ID, "error", err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return policy.NotSent // this host lacks file descriptors or ports: the error says nothing about the backend
		}
		return policy.ConnectFailed
	}
	if in.usable(c) {
		in.assignConn(c)
		go c.readLoop(in) // after the write of the first command: it must know of the command when it first reads
		return policy.ConnectFailed
	}
	in.closeBackendConn(c)
	if c.dialedEndpoint.Addr != backend.Addr {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
