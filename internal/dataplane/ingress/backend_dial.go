package ingress

import (
	"errors"
	"net"
	"syscall"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// dialForAttempt has the attempt wait for a new connection; false if there may be no more of them.
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

// dialBackend makes one connection. Its goroutine ends with the dial's timeout at the latest.
func (in *Ingress) dialBackend(backend *backend, endpoint discovery.Endpoint) {
	conn, err := in.backends.dial(endpoint.Addr)
	var c *backendConn
	if err == nil {
		c = &backendConn{backend: backend, dialedEndpoint: endpoint, conn: conn.(*net.TCPConn)}
		if c.rawConn, err = c.conn.SyscallConn(); err != nil {
			conn.Close()
			c = nil
		}
	}
	in.post(in.clock.Now(), func() { in.handleDialed(backend, c, err) })
}

// handleDialed gives a new connection to the attempt that has waited longest. Where there is none, attempts that no dial is left for end, or
// take an idle connection.
func (in *Ingress) handleDialed(backend *backend, c *backendConn, err error) {
	backend.pendingDials--
	status := in.takeDialed(backend, c, err)
	for len(backend.waitingAttempts) > backend.pendingDials {
		if c := in.takeIdleConn(backend); c != nil {
			in.assignConn(c)
			continue
		}
		in.finishAttempt(backend.waitingAttempts[0], callprotocol.Result{Status: status}, in.now)
	}
}

// takeDialed puts a new connection to use. It returns how attempts end that waited for a connection in vain.
func (in *Ingress) takeDialed(backend *backend, c *backendConn, err error) policy.Status {
	if c == nil {
		in.backends.openConns--
		in.logFault("dial failed", "backend", backend.ID, "error", err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return policy.NotSent // for want of something here: it says nothing of the backend
		}
		return policy.ConnectFailed
	}
	go c.readLoop(in)
	if in.usable(c) {
		in.assignConn(c)
		return policy.ConnectFailed
	}
	in.closeBackendConn(c)
	if !c.unusable.Load() || c.dialedEndpoint.Addr != backend.Addr {
		return policy.NotSent
	}
	return policy.ConnectFailed
}
