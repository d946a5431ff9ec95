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

func (s *backendPool) init(cfg ingressconfig.Config) {
	s.byID = map[string]*backend{}
	s.maxConnsAlone = max(8, freeDescriptors(cfg)*3/8)
	s.maxConns = s.maxConnsAlone
	s.duplicateWindowS = duplicateWindowS
	s.onLastByte = func() {}
	s.idleTimeoutS = cfg.Settings.ConnIdleS * idleRetireFraction
	timeout := time.Duration(cfg.Settings.DialTimeoutS * float64(time.Second))
	s.dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, timeout) }
	if cfg.Dial != nil {
		s.dial = func(addr string) (net.Conn, error) { return cfg.Dial(addr, timeout) }
	}
}

// anyUp reports whether there is a backend that a request could be sent to.
func (s *backendPool) anyUp() bool {
	for _, be := range s.byID {
		if be.state == policy.Up {
			return true
		}
	}
	return false
}

// applyList takes in a full list, or changes of one. An attempt that waits for a dial to a backend that may get nothing new is given back to
// the decider at once.
func (s *backendPool) applyList(in *Ingress, list discovery.List, notifiedAt float64) {
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		s.applyEndpoint(in, endpoint, notifiedAt)
	}
	for id, be := range s.byID {
		if list.Full && !listed[id] {
			be.state = policy.Removed
			in.checkBackendDrain(be, notifiedAt)
			s.retireConns(in, be)
		}
		if be.state == policy.Removed {
			delete(s.byID, id) // its attempts keep it until they end
		}
	}
}

// applyEndpoint takes in one entry of a list.
func (s *backendPool) applyEndpoint(in *Ingress, endpoint discovery.Endpoint, notifiedAt float64) {
	be := s.byID[endpoint.ID]
	if be == nil {
		be = &backend{}
		s.byID[endpoint.ID] = be
	}
	replaced := be.Addr != endpoint.Addr || be.StartedMS != endpoint.StartedMS
	be.Endpoint, be.state = endpoint, discovery.StateByName[endpoint.State]
	if be.state == policy.Up {
		be.drainNotifiedAt = 0
	} else if be.drainNotifiedAt == 0 {
		be.drainNotifiedAt = notifiedAt
		in.checkBackendDrain(be, notifiedAt)
	}
	if replaced || be.state != policy.Up {
		s.retireConns(in, be)
	}
}

// retireConns closes a backend's idle connections and, unless it is up, gives back what waits for a dial.
func (s *backendPool) retireConns(in *Ingress, be *backend) {
	in.closeIdleConns(be)
	if be.state == policy.Up {
		return
	}
	for len(be.waitingAttempts) > 0 {
		in.finishUnsent(be.waitingAttempts[0], unsentBackendState)
	}
}

// sweep closes the connections that have idled for too long.
func (s *backendPool) sweep(in *Ingress) {
	for _, be := range s.byID {
		for len(be.idleConns) > 0 && in.now-be.idleConns[0].idleSince > s.idleTimeoutS {
			in.closeBackendConn(be.idleConns[0])
		}
	}
}

// closeIdleConns closes all idle connections to a backend.
func (in *Ingress) closeIdleConns(be *backend) {
	for len(be.idleConns) > 0 {
		in.closeBackendConn(be.idleConns[len(be.idleConns)-1])
	}
}

// evictIdleConn closes the connection that idles for longest, and reports whether there was one.
func (in *Ingress) evictIdleConn() bool {
	var oldest *backendConn
	for _, be := range in.backends.byID {
		if len(be.idleConns) > 0 && (oldest == nil || be.idleConns[0].idleSince < oldest.idleSince) {
			oldest = be.idleConns[0]
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
func (in *Ingress) takeIdleConn(be *backend) *backendConn {
	for len(be.idleConns) > 0 {
		i := len(be.idleConns) - 1
		for i >= 0 && in.now-be.idleConns[i].idleSince < be.idleConns[i].reuseDelayS {
			i--
		}
		if i < 0 {
			i = slices.IndexFunc(be.idleConns, func(c *backendConn) bool { return c.reuseDelayS <= reuseDelayS })
		}
		if i < 0 {
			return nil
		}
		c := be.idleConns[i]
		if c.unusable.Load() || in.now-c.idleSince > in.backends.idleTimeoutS || !c.silent() {
			in.closeBackendConn(c)
			continue
		}
		be.idleConns = slices.Delete(be.idleConns, i, i+1)
		return c
	}
	return nil
}

// assignConn gives a connection to the first attempt that waits and may still be written, else to the pool.
func (in *Ingress) assignConn(c *backendConn) {
	be := c.backend
	for len(be.waitingAttempts) > 0 {
		a := be.waitingAttempts[0]
		be.waitingAttempts = be.waitingAttempts[1:]
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
