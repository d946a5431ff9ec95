package testbed

import (
	"net"
	"sync"
	"time"
)

// Way is what becomes of what a link carries.
type Way struct {
	Cut    bool          // no byte passes, without a word: open connections stay open and silent, new ones are taken and silent too
	Back   bool          // with Cut: only what comes back from the far end is lost
	Refuse bool          // new connections are reset at once
	Delay  time.Duration // on each piece, in both directions
}

// Hooks are told what a link sees; each may be nil. They are called by goroutines of the link.
type Hooks struct {
	NearEnd   func(far string)  // the near end has ended a connection whose far end has this address, which the far end may not see
	Unreached func(near string) // a connection from this address reached nobody
}

// Link is a TCP link between two parties that can be cut without a word, slowed, refused and healed.
type Link struct {
	listener net.Listener
	hooks    Hooks

	mu     sync.Mutex
	target string
	way    Way
	conns  map[net.Conn]bool
	heal   chan struct{} // closed when the cut ends
	cutAt  time.Time     // when the last cut ended, or goes on
}

// CutSince tells whether the link was cut at some time after t.
func (k *Link) CutSince(t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.way.Cut || k.cutAt.After(t)
}

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) { return NewLinkWith(to, Hooks{}) }

// NewLinkWith opens a link that tells what it sees.
func NewLinkWith(to string, hooks Hooks) (*Link, error) {
	l, err := net.Listen("tcp", ownAddr(0))
	if err != nil {
		return nil, err
	}
	k := &Link{target: to, listener: l, hooks: hooks, conns: map[net.Conn]bool{}, heal: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Addr is the near end.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Close ends the link.
func (k *Link) Close() {
	k.listener.Close()
	k.Heal()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

// Cut stops all bytes.
func (k *Link) Cut() { k.Set(Way{Cut: true}) }

// Heal ends whatever was set: connections that a cut met are reset.
func (k *Link) Heal() { k.Set(Way{}) }

// Set says what becomes of what the link carries from now on.
func (k *Link) Set(w Way) {
	k.mu.Lock()
	defer k.mu.Unlock()
	healed := k.way.Cut && !w.Cut
	k.way = w
	if !healed {
		return
	}
	k.cutAt = time.Now()
	for c := range k.conns {
		reset(c)
	}
	close(k.heal)
	k.heal = make(chan struct{})
}

func (k *Link) state() (way Way, heal chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.way, k.heal
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
		c, err := k.listener.Accept()
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
	way, heal := k.state()
	switch {
	case way.Refuse:
		k.unreached(near)
		return
	case way.Cut && !way.Back:
		<-heal
		return
	}
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		k.unreached(near)
		return
	}
	defer far.Close()
	k.keep(far, true)
	defer k.keep(far, false)
	done := make(chan struct{}, 2)
	go func() {
		k.pump(far, near, false)
		if k.hooks.NearEnd != nil {
			k.hooks.NearEnd(far.LocalAddr().String())
		}
		done <- struct{}{}
	}()
	go func() { k.pump(near, far, true); done <- struct{}{} }()
	<-done
	if way, heal := k.state(); way.Cut { // the end of one side is not to be seen at the other
		<-heal
	}
}

func (k *Link) unreached(near net.Conn) {
	if k.hooks.Unreached != nil {
		k.hooks.Unreached(near.RemoteAddr().String())
	}
	reset(near)
}

// pump moves bytes one way to the end of its source. What comes in a cut is lost, and so is the connection.
func (k *Link) pump(to, from net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		way, _ := k.state()
		lost = lost || way.Cut && (back || !way.Back)
		if way.Delay > 0 {
			time.Sleep(way.Delay)
		}
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Break resets all open connections; new ones are taken as before.
func (k *Link) Break() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}
