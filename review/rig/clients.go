package main

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// pool is the front's connections to one ingress: one request at a time on each; more are opened when all are busy.
type pool struct {
	f    *fleet
	in   *ingress
	mu   sync.Mutex
	idle []*poolConn
}

type poolConn struct {
	net.Conn
	r    *bufio.Reader
	used bool // it has carried a request
}

func (p *pool) take() (*poolConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return p.dial()
}

func (p *pool) dial() (*poolConn, error) {
	c, err := net.DialTimeout("tcp4", p.in.listen, time.Second)
	if err != nil {
		return nil, err
	}
	return &poolConn{Conn: c, r: bufio.NewReaderSize(c, 64<<10)}, nil
}

func (p *pool) put(c *poolConn) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// outcome is how a request ended for its client.
type outcome struct {
	answer reply
	err    error // no whole answer came
	late   bool  // none came in the time that the client waits, and lateness beyond it
	took   time.Duration
}

// do sends a request and waits for its answer, for the client's time and extra. If a kept connection ends without an answer, the request is
// sent once more on a new one, as the protocol says.
func (p *pool) do(k call, spread, first int, extra time.Duration) outcome {
	c, err := p.take()
	if err != nil {
		return outcome{err: err}
	}
	kept := c.used
	o := p.send(c, k, spread, first, extra)
	if o.err == nil || o.late || !kept {
		return o
	}
	p.f.rec.log("%s is sent once more on a new connection: %v", k.id, o.err)
	if c, err = p.dial(); err != nil {
		return outcome{err: err}
	}
	return p.send(c, k, spread, first, extra)
}

// send sends a request on a connection, and keeps the connection once the whole answer is there.
func (p *pool) send(c *poolConn, k call, spread, first int, extra time.Duration) outcome {
	began := time.Now()
	c.used = true
	c.SetDeadline(began.Add(k.d + extra))
	_, err := c.Write(k.encode(spread, first))
	var v reply
	if err == nil {
		v, err = readReply(c.r)
	}
	o := outcome{answer: v, err: err, took: time.Since(began)}
	if err == nil {
		c.SetDeadline(time.Time{})
		p.put(c)
		return o
	}
	c.Close()
	var netErr net.Error
	o.late = errors.As(err, &netErr) && netErr.Timeout()
	return o
}

// classWork is the work of a request, within the ranges of the site file.
func classWork(class string) time.Duration {
	between := func(low, high int) time.Duration {
		return time.Duration(low*1000+rand.IntN((high-low)*1000)) * time.Microsecond
	}
	switch class {
	case "zone-check":
		return between(36, 62)
	case "slot-hold":
		return between(78, 140)
	}
	return between(120, 210)
}

// randomCall is a request with the shares of the site's classes, of one of the accounts of chaine.
func randomCall(accounts int) call {
	account := 0x10 + rand.Uint64N(uint64(accounts))
	switch x := rand.Float64(); {
	case x < 0.37:
		return newCall(account, "chaine", "zone-check", 1, 2*time.Second)
	case x < 0.71:
		return newCall(account, "chaine", "slot-hold", 2, 4*time.Second)
	}
	return newCall(account, "chaine", "courier-send", 3, 4*time.Second)
}
