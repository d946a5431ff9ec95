package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a TCP link between two parties that can be cut without a word, slowed and healed.
type Link struct {
	to string
	l  net.Listener

	mu    sync.Mutex
	cut   bool
	delay time.Duration
	conns map[net.Conn]bool
	heal  chan struct{} // closed when the cut ends
}

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{to: to, l: l, conns: map[net.Conn]bool{}, heal: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Addr is the near end.
func (k *Link) Addr() string { return k.l.Addr().String() }

// Close ends the link.
func (k *Link) Close() {
	k.l.Close()
	k.Heal()
}

// Cut stops all bytes. Open connections stay open and silent, new ones are taken and stay silent too.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = true
}

// Slow delays what is sent from now on, in both directions.
func (k *Link) Slow(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Heal ends a cut: connections that it met are reset.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = 0
	if !k.cut {
		return
	}
	k.cut = false
	for c := range k.conns {
		c.Close()
	}
	close(k.heal)
	k.heal = make(chan struct{})
}

func (k *Link) state() (cut bool, delay time.Duration, heal chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut, k.delay, k.heal
}

func (k *Link) keep(c net.Conn, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on {
		k.conns[c] = true
	} else {
		delete(k.conns, c)
	}
}

func (k *Link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *Link) serve(near net.Conn) {
	defer near.Close()
	k.keep(near, true)
	defer k.keep(near, false)
	if cut, _, heal := k.state(); cut {
		<-heal
		return
	}
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer far.Close()
	k.keep(far, true)
	defer k.keep(far, false)
	done := make(chan struct{}, 2)
	go func() { k.pump(far, near); done <- struct{}{} }()
	go func() { k.pump(near, far); done <- struct{}{} }()
	<-done
	if cut, _, heal := k.state(); cut { // the end of one side is not to be seen at the other
		<-heal
	}
}

// pump moves bytes one way. In a cut it holds what it has.
func (k *Link) pump(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		cut, delay, heal := k.state()
		if cut {
			<-heal
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
