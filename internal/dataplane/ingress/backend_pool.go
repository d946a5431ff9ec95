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
	// idleRetireFraction of the settings' ConnIdleS is how long a connection may idle: a backend closes it after ConnIdleS, and a request that is
	// written after that ends as a reset.
	idleRetireFraction = 0.5
	// reuseDelayS is how long a connection is left alone after an answer, if there is another one: a duplicate of the answer comes right behind
	// it, and is seen before the next command goes out.
	reuseDelayS = 0.005
)

// backend is a backend of the endpoint list and its connections. Loop only.
type backend struct {
	discovery.Endpoint
	state           policy.BackendState
	idleConns       []*backendConn // the one that idles for longest first
	waitingAttempts []*attempt     // for a dial, oldest first
	pendingDials    int

	lastWriteAt     float64 // when it was last sent to
	drainNotifiedAt float64 // when discovery said that it drains or is removed; 0: it serves
}

// backendPool holds the backends of the endpoint list, by id. Loop only, but for the fields that never change.
type backendPool struct {
	byID          map[string]*backend
	openConns     int // dials among them
	maxConns      int
	maxConnsAlone int // what maxConns is while no other process serves for this ingress

	// These never change once the loop runs.
	idleTimeoutS     float64
	duplicateWindowS float64
	dial             func(addr string) (net.Conn, error)
	onLastByte       func() // for tests: the last byte of a command that did not go out at once is out, and that is not recorded yet
}

func (p *backendPool) init(cfg ingressconfig.Config) {
	p.byID = map[string]*backend{}
	p.maxConnsAlone = max(8, freeDescriptors(cfg)*3/8)
	p.maxConns = p.maxConnsAlone
	p.duplicateWindowS = duplicateWindowS
	p.onLastByte = func() {}
	p.idleTimeoutS = cfg.Settings.ConnIdleS * idleRetireFraction
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	p.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
	if cfg.Dial != nil {
		p.dial = func(addr string) (net.Conn, error) { return cfg.Dial(addr, timeout) }
	}
}

// anyUp reports whether there is a backend that a request could be sent to.
func (p *backendPool) anyUp() bool {
	for _, backend := range p.byID {
		if backend.state == policy.Up {
			return true
		}
	}
	return false
}

// applyList takes in a full list, or changes of one. An attempt that waits for a dial to a backend that may get nothing new is given back to
// the decider at once.
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
			delete(p.byID, id) // its attempts keep it until they end
		}
	}
}

// applyEndpoint takes in one entry of a list.
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

// retireConns closes a backend's idle connections and, unless it is up, gives back what waits for a dial.
func (p *backendPool) retireConns(in *Ingress, backend *backend) {
	in.closeIdleConns(backend)
	if backend.state == policy.Up {
		return
	}
	for len(backend.waitingAttempts) > 0 {
		in.finishUnsent(backend.waitingAttempts[0], unsentBackendState)
	}
}

// sweep closes the connections that have idled for too long.
func (p *backendPool) sweep(in *Ingress) {
	for _, backend := range p.byID {
		for len(backend.idleConns) > 0 && in.now-backend.idleConns[0].idleSince > p.idleTimeoutS {
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

// evictIdleConn closes the connection that idles for longest, and reports whether there was one.
func (in *Ingress) evictIdleConn() bool {
	var oldest *backendConn
	for _, backend := range in.backends.byID {
		if len(backend.idleConns) > 0 && (oldest == nil || backend.idleConns[0].idleSince < oldest.idleSince) {
			oldest = backend.idleConns[0]
		}
	}
	if oldest != nil {
		in.closeBackendConn(oldest)
	}
	return oldest != nil
}

// takeIdleConn takes a connection out of the pool, nil if there is none of use: the one used last of those whose delay is over, else the one
// that has idled for longest, unless its last answer was no value. One on which bytes wait that nobody asked for, or that has ended though its
// reader has not come to it yet, must not get a command.
func (in *Ingress) takeIdleConn(backend *backend) *backendConn {
	for len(backend.idleConns) > 0 {
		i := len(backend.idleConns) - 1
		for i >= 0 && in.now-backend.idleConns[i].idleSince < backend.idleConns[i].reuseDelayS {
			i--
		}
		if i < 0 {
			i = slices.IndexFunc(backend.idleConns, func(c *backendConn) bool { return c.reuseDelayS <= reuseDelayS })
		}
		if i < 0 {
			return nil
		}
		c := backend.idleConns[i]
		if c.unusable.Load() || in.now-c.idleSince > in.backends.idleTimeoutS || !c.silent() {
			in.closeBackendConn(c)
			continue
		}
		backend.idleConns = slices.Delete(backend.idleConns, i, i+1)
		return c
	}
	return nil
}

// assignConn gives a connection to the first attempt that waits and may still be written, else to the pool.
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
	in.poolConn(c, reuseDelayS)
}

// poolConn puts a connection into the pool, where it is left alone for reuseDelay seconds. It does not go to an attempt that waits: that one has a
// dial under way, and a duplicate of the answer may be right behind.
func (in *Ingress) poolConn(c *backendConn, reuseDelay float64) {
	c.attempt = nil
	if !in.usable(c) {
		in.closeBackendConn(c)
		return
	}
	c.idleSince, c.reuseDelayS = in.now, reuseDelay
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// usable reports whether the connection may carry another command: its backend still stands where it was dialled and may be sent to.
func (in *Ingress) usable(c *backendConn) bool {
	return !c.closed && !c.unusable.Load() && c.backend.state == policy.Up && c.dialedEndpoint.Addr == c.backend.Addr &&
		c.dialedEndpoint.StartedMS == c.backend.StartedMS
}
