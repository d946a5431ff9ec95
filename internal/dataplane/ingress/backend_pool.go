package ingress

import (
	"net"
	"slices"
	"time"

	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

const (
	// idleRetireFraction of the settings' ConnIdleS is how long a connection may stay idle. A backend closes it after ConnIdleS, and
	// an attempt that is written after that ends with a reset.
	idleRetireFraction = 0.5
	// replyEndTimeout is how long a reply may take to end once its large value is written to the client. The attempt counts as in flight until
	// then, as the backend may still be busy with it.
	replyEndTimeout = 250 * time.Millisecond
)

// backend is a backend of the endpoint list, with its connections. The event loop owns it.
type backend struct {
	discovery.Endpoint
	state           policy.BackendState
	idleConns       []*backendConn // ordered by idleSince, oldest first
	waitingAttempts []*attempt     // for a connection that is being dialed, oldest first
	pendingDials    int

	lastWriteAt     float64 // when an attempt was last written to it
	drainNotifiedAt float64 // when discovery reported that it drains or is removed; 0 while it is up
}

// backendPool holds the backends of the endpoint list and limits the connections to them. The event loop owns it, except for the
// fields that never change.
type backendPool struct {
	byID          map[string]*backend
	openConns     int // including pending dials
	maxConns      int
	maxConnsAlone int // maxConns outside of a hot restart, while no other process of this ingress has connections

	// These never change once the loop runs.
	idleTimeoutS    float64
	replyLimits     replyLimits
	replyEndTimeout time.Duration
	dial            func(addr string) (net.Conn, error)
	onLastByte      func() // for tests; called by writeRest between the write of the last byte and its record as writeComplete
}

func (p *backendPool) init(cfg ingressconfig.Config) {
	p.byID = map[string]*backend{}
	p.maxConnsAlone = max(8, freeDescriptors(cfg)*3/8)
	p.maxConns = p.maxConnsAlone
	p.replyLimits = replyLimits{duplicateWindowS, noValueWindowS, noValueRestS}
	p.replyEndTimeout = replyEndTimeout
	p.onLastByte = func() {}
	p.idleTimeoutS = cfg.Settings.ConnIdleS * idleRetireFraction
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	p.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
	if cfg.Dial != nil {
		p.dial = func(addr string) (net.Conn, error) { return cfg.Dial(addr, timeout) }
	}
}

// anyUp reports whether at least one backend is up.
func (p *backendPool) anyUp() bool {
	for _, backend := range p.byID {
		if backend.state == policy.Up {
			return true
		}
	}
	return false
}

// applyList applies a full endpoint list, or changes to it. Attempts that wait for a connection to a backend that is no longer up
// are returned to the decider as not sent. notifiedAt is when discovery or an operator
// changed the list.
func (p *backendPool) applyList(in *Ingress, list discovery.List, notifiedAt float64) {
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		p.applyEndpoint(in, endpoint, notifiedAt)
	}
	for id, backend := range p.byID {
		if list.Full && !listed[id] {
			backend.state = policy.Removed
			in.checkBackendDrain(backend, notifiedAt)
			p.retireConns(in, backend)
		}
		if backend.state == policy.Removed {
			delete(p.byID, id) // its attempts refer to it until they end
		}
	}
}

// applyEndpoint applies one entry of an endpoint list. A backend that has moved or restarted gets new connections.
func (p *backendPool) applyEndpoint(in *Ingress, endpoint discovery.Endpoint, notifiedAt float64) {
	known := p.byID[endpoint.ID]
	if known == nil {
		known = &backend{}
		p.byID[endpoint.ID] = known
	}
	replaced := known.Addr != endpoint.Addr || known.StartedMS != endpoint.StartedMS
	known.Endpoint, known.state = endpoint, discovery.StateByName[endpoint.State]
	if known.state == policy.Up {
		known.drainNotifiedAt = 0
	} else if known.drainNotifiedAt == 0 {
		known.drainNotifiedAt = notifiedAt
		in.checkBackendDrain(known, notifiedAt)
	}
	if replaced || known.state != policy.Up {
		p.retireConns(in, known)
	}
}

// retireConns closes a backend's idle connections and, unless it is up, ends the attempts that wait for a connection to it as not sent.
func (p *backendPool) retireConns(in *Ingress, backend *backend) {
	in.closeIdleConns(backend)
	if backend.state == policy.Up {
		return
	}
	for len(backend.waitingAttempts) > 0 {
		in.finishUnsent(backend.waitingAttempts[0], unsentBackendState)
	}
}

// sweep closes connections that have been idle for longer than idleTimeoutS.
func (p *backendPool) sweep(in *Ingress) {
	for _, backend := range p.byID {
		for len(backend.idleConns) > 0 && in.now-backend.idleConns[0].replies.idleSince > p.idleTimeoutS {
			in.closeBackendConn(backend.idleConns[0])
		}
	}
}

// closeIdleConns closes all idle connections to a backend.
func (in *Ingress) closeIdleConns(backend *backend) {
	for len(backend.idleConns) > 0 {
		in.closeBackendConn(backend.idleConns[len(backend.idleConns)-1])
	}
}

// evictIdleConn closes the connection that has been idle longest, of all backends, and reports whether there was one.
func (in *Ingress) evictIdleConn() bool {
	var oldest *backendConn
	for _, backend := range in.backends.byID {
		if len(backend.idleConns) > 0 && (oldest == nil || backend.idleConns[0].replies.idleSince < oldest.replies.idleSince) {
			oldest = backend.idleConns[0]
		}
	}
	if oldest != nil {
		in.closeBackendConn(oldest)
	}
	return oldest != nil
}

// takeIdleConn removes a connection from the pool that may carry the next command, and returns it; nil if there is none. With mustRunOnce
// the command must not run twice. It closes connections that must not carry a command: those with unread bytes, which nobody asked for, and
// those that the backend has ended, even if their readers have not noticed either yet.
func (in *Ingress) takeIdleConn(backend *backend, mustRunOnce bool) *backendConn {
	for {
		i := selectIdle(backend.idleConns, in.now, mustRunOnce, in.backends.replyLimits)
		if i < 0 {
			return nil
		}
		c := backend.idleConns[i]
		if c.replies.isRetired() || in.now-c.replies.idleSince > in.backends.idleTimeoutS || !c.silent() {
			in.closeBackendConn(c)
			continue
		}
		backend.idleConns = slices.Delete(backend.idleConns, i, i+1)
		return c
	}
}

// assignConn gives a connection to the first waiting attempt that may still be written, or to the pool if there is none.
func (in *Ingress) assignConn(c *backendConn) {
	backend := c.backend
	for len(backend.waitingAttempts) > 0 {
		a := backend.waitingAttempts[0]
		backend.waitingAttempts = backend.waitingAttempts[1:]
		if reason, unsendable := in.unsendable(a); unsendable {
			in.finishUnsent(a, reason)
			continue
		}
		if in.writeAttempt(c, a) {
			return
		}
	}
	in.poolConn(c)
}

// poolConn puts a connection into the pool, or closes it if it is not usable. The connection does not
// go to a waiting attempt: that has a dial pending, and a duplicate of the last reply may still arrive on this connection.
func (in *Ingress) poolConn(c *backendConn) {
	c.attempt = nil
	if !in.usable(c) {
		in.closeBackendConn(c)
		return
	}
	c.replies.idleSince = in.now
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// usable reports whether the connection may carry another command: its backend is up, and has neither moved nor restarted since the dial.
func (in *Ingress) usable(c *backendConn) bool {
	return !c.closed && !c.replies.isRetired() && c.backend.state == policy.Up && c.dialedEndpoint.Addr == c.backend.Addr &&
		c.dialedEndpoint.StartedMS == c.backend.StartedMS
}
