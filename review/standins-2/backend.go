package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// attempt is a command that a backend has got whole.
type attempt struct {
	backend *backend
	args    []string // command, customer, id, fields, body
	at      time.Time
	conn    string // the ingress's address of the connection
}

func (a attempt) id() string { return a.args[2] }

// backend stands in for a zone node. It begins a command when its last byte has come, and answers those of a connection in order.
type backend struct {
	rig  *rig
	id   string
	addr string

	// serve answers one command on c. It returns an error to end the connection.
	serve func(c net.Conn, a attempt) error
	// begin, if set, takes the place of serve: it does the work of one command, which is begun at once behind others of its connection,
	// and returns what writes the answer. Answers are written in the order of the commands.
	begin func(a attempt) (write func(c net.Conn) error)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	attempts []attempt
}

// newBackend starts a backend that answers each command with its id after work.
func (r *rig) newBackend(id string, work time.Duration) *backend {
	b := &backend{rig: r, id: id}
	b.serve = func(c net.Conn, a attempt) error {
		time.Sleep(work)
		_, err := c.Write(answer(a.id() + " by " + id))
		return err
	}
	must(b.listen("127.0.0.1:0"))
	return b
}

// answer returns the answer of a backend with a value and a load report.
func answer(value string) []byte {
	load := fmt.Sprintf("util=0.30,qps=20,latency_ms=%.3f", 40+float64(time.Now().UnixNano()%1000)/1000)
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load)
}

func (b *backend) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.addr, b.conns = l, l.Addr().String(), map[net.Conn]bool{}
	b.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serveConn(c)
		}
	}()
	return nil
}

// end ends the backend's process: its connections are reset, and new ones are refused.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	before := make(chan struct{}) // closed once the answer to the command before is written
	close(before)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		at := time.Now()
		switch {
		case len(args) >= 4 && (args[0] == "CALL.GET" || args[0] == "CALL.POST"):
			a := attempt{b, args, at, c.RemoteAddr().String()}
			b.mu.Lock()
			b.attempts = append(b.attempts, a)
			b.mu.Unlock()
			b.rig.note("attempt at %s from %s: %s %s", b.id, a.conn, a.id(), args[3])
			if b.begin == nil {
				err = b.serve(c, a)
				break
			}
			previous, written := before, make(chan struct{})
			before = written
			go func() {
				write := b.begin(a)
				<-previous
				if write(c) != nil {
					c.Close()
				}
				close(written)
			}()
		case args[0] == "PING":
			_, err = c.Write([]byte("+PONG\r\n"))
		case args[0] == "INFO":
			_, err = c.Write([]byte("$9\r\nutil=0.30\r\n"))
		default:
			_, err = c.Write([]byte("-ERR unknown\r\n"))
		}
		if err != nil {
			return
		}
	}
}

// all returns the attempts so far.
func (b *backend) all() []attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]attempt(nil), b.attempts...)
}

// startBackends starts n backends and returns them with their entries in discovery's list.
func (r *rig) startBackends(n int, work time.Duration) (all []*backend, entries []server) {
	for i := range n {
		b := r.newBackend(fmt.Sprintf("s-%08x", 0x5be2a000+i), work)
		all = append(all, b)
		entries = append(entries, server{ID: b.id, Addr: b.addr, Zone: "qc-1", Kind: "gen-a", State: "in_service", Weight: 1})
	}
	return all, entries
}
