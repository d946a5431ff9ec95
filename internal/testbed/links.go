package testbed

import (
	"net"
	"sync"
	"time"
)

// LinkState is the state of a link.
type LinkState struct {
	Cut    bool          // drop all bytes; open connections stay open, new ones are accepted and carry nothing
	Back   bool          // with Cut: drop only the bytes from the far end
	Refuse bool          // reset new connections at once
	Delay  time.Duration // of each chunk of bytes, in both directions
}

// Hooks are the callbacks of a link; each may be nil. The goroutines of the link call them.
type Hooks struct {
	NearEnd   func(far string)  // the near end has ended a connection; far is its address at the far end, which may not notice
	Unreached func(near string) // a connection from the address near did not reach the far end
}

// Link is a TCP proxy between two parties. It can drop bytes while connections stay open, delay them and refuse connections.
type Link struct {
	listener net.Listener
	hooks    Hooks

	mu       sync.Mutex
	target   string // address of the far end
	way      LinkState
	conns    map[net.Conn]bool // open connections of both ends
	healed   chan struct{}     // closed and replaced when a cut ends
	healedAt time.Time         // when the last cut ended
}

// CutSince tells whether the link was cut at any time after t.
func (k *Link) CutSince(t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.way.Cut || k.healedAt.After(t)
}

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) { return NewLinkWith(to, Hooks{}) }

// NewLinkWith opens a link with callbacks to an address.
func NewLinkWith(to string, hooks Hooks) (*Link, error) {
	l, err := net.Listen("tcp", hostAddr(0))
	if err != nil {
		return nil, err
	}
	k := &Link{target: to, listener: l, hooks: hooks, conns: map[net.Conn]bool{}, healed: make(chan struct{})}
	go k.accept()
	return k, nil
}

// Addr returns the address of the near end.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Close closes the link and its connections.
func (k *Link) Close() {
	k.listener.Close()
	k.Heal()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

// Cut drops all bytes from now on, in both directions.
func (k *Link) Cut() { k.Set(LinkState{Cut: true}) }

// Heal ends the effect of Set. If the link was cut, all open connections are reset.
func (k *Link) Heal() { k.Set(LinkState{}) }

// Set changes the state of the link. At the end of a cut all open connections are reset.
func (k *Link) Set(w LinkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	endsCut := k.way.Cut && !w.Cut
	k.way = w
	if !endsCut {
		return
	}
	k.healedAt = time.Now()
	for c := range k.conns {
		reset(c)
	}
	close(k.healed)
	k.healed = make(chan struct{})
}

func (k *Link) state() (way LinkState, healed chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.way, k.healed
}

// track adds a connection to the open ones, or removes it.
func (k *Link) track(c net.Conn, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if open {
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
	k.track(near, true)
	defer k.track(near, false)
	way, healed := k.state()
	switch {
	case way.Refuse:
		k.rejectUnreached(near)
		return
	case way.Cut && !way.Back:
		<-healed
		return
	}
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		k.rejectUnreached(near)
		return
	}
	defer far.Close()
	k.track(far, true)
	defer k.track(far, false)
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
	if way, healed := k.state(); way.Cut { // a cut also hides from one end that the other has closed
		<-healed
	}
}

// rejectUnreached resets a connection that does not reach the far end.
func (k *Link) rejectUnreached(near net.Conn) {
	if k.hooks.Unreached != nil {
		k.hooks.Unreached(near.RemoteAddr().String())
	}
	reset(near)
}

// pump copies bytes in one direction until the source ends. Once it has read during a cut, it drops all that follows on the connection.
func (k *Link) pump(to, from net.Conn, reverse bool) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		way, _ := k.state()
		lost = lost || way.Cut && (reverse || !way.Back)
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

// Break resets all open connections. New ones are accepted as before.
func (k *Link) Break() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}
