package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// nearEndTimeout bounds the wait for the near end to close a connection that the far end has closed.
const nearEndTimeout = time.Second

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

	mu     sync.Mutex
	target string // address of the far end
	way    LinkState
	conns  map[net.Conn]bool // open connections of both ends
	healed chan struct{}     // closed and replaced when a cut ends
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
	toFar := linkWriter{conn: far}
	farEnd := make(chan error, 1)
	nearEnd := make(chan struct{})
	go func() {
		_ = k.pump(&toFar, near, false) // both ends are closed, however the near end has ended
		if k.hooks.NearEnd != nil {
			k.hooks.NearEnd(far.LocalAddr().String())
		}
		close(nearEnd)
	}()
	go func() { farEnd <- k.pump(near, far, true) }()
	select {
	case <-nearEnd:
		k.awaitHeal() // a cut also hides from one end that the other has closed
	case err := <-farEnd:
		k.awaitHeal()
		passEnd(near, errors.Is(err, syscall.ECONNRESET) || toFar.wasReset())
		<-nearEnd
	}
}

// awaitHeal returns when the link is not cut.
func (k *Link) awaitHeal() {
	if way, healed := k.state(); way.Cut {
		<-healed
	}
}

// linkWriter writes to one end of a link. The kernel reports a reset once, to a read or to a write: linkWriter records that a write got it.
type linkWriter struct {
	conn  net.Conn
	mu    sync.Mutex // held while a write is under way
	reset bool
}

// Write implements io.Writer.
func (w *linkWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(b)
	w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// wasReset reports whether a write found the connection reset.
func (w *linkWriter) wasReset() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reset
}

// passEnd ends the near side of a connection in the same way as its far end did: with a reset, or orderly. After an orderly end the near end
// has nearEndTimeout to close, because a close over its unread bytes would reset the connection.
func passEnd(near net.Conn, wasReset bool) {
	if wasReset {
		reset(near)
		return
	}
	if t, ok := near.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails if the near end has closed, too
	}
	_ = near.SetReadDeadline(time.Now().Add(nearEndTimeout)) // fails only then
}

// rejectUnreached resets a connection that does not reach the far end.
func (k *Link) rejectUnreached(near net.Conn) {
	if k.hooks.Unreached != nil {
		k.hooks.Unreached(near.RemoteAddr().String())
	}
	reset(near)
}

// pump copies bytes in one direction until the source ends, and returns the error of its last read, io.EOF for an orderly end. Bytes that
// can't be written are dropped. Once pump has read during a cut, it drops all that follows on the connection.
func (k *Link) pump(to io.Writer, from net.Conn, reverse bool) error {
	buf := make([]byte, 32<<10)
	lost := false
	var writeErr error
	for {
		n, err := from.Read(buf)
		way, _ := k.state()
		lost = lost || way.Cut && (reverse || !way.Back)
		if way.Delay > 0 {
			time.Sleep(way.Delay)
		}
		if n > 0 && !lost && writeErr == nil {
			_, writeErr = to.Write(buf[:n])
		}
		if err != nil {
			return err
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
