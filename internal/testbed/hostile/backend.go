package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"eiderspread/internal/testbed"
)

// bodyLimit is above the length of any argument of a call.
const bodyLimit = 64 << 10

// Call is a request as a backend has received it.
type Call struct {
	ID, Account, Class, Key string
	ReceivedAt              time.Time // of its last byte
}

// Answerer writes the answer to a call. The connection is closed after an error.
type Answerer func(c net.Conn, call Call) error

// Backend is a stand-in for a backend. It begins a call when its last byte has come, and writes what its Answerer writes.
type Backend struct {
	id, addr string
	listener net.Listener

	mu       sync.Mutex
	answer   Answerer
	pause    time.Duration     // before each further read within a large command
	received map[string][]Call // by ID
	conns    map[net.Conn]bool
	killedAt time.Time // when its last process died; zero: it has not
	cut      int       // connections that ended while the Answerer still wrote
}

// startBackend starts a backend at addr, or at an address of its own if addr is empty. It serves every call with its id.
func startBackend(id, addr string) (*Backend, error) {
	if addr == "" {
		var err error
		if addr, err = testbed.FreeAddr(); err != nil {
			return nil, err
		}
	}
	l, err := listenBackend(addr)
	if err != nil {
		return nil, err
	}
	b := &Backend{id: id, addr: addr, listener: l, answer: serveID, received: map[string][]Call{}, conns: map[net.Conn]bool{}}
	go b.accept(l)
	return b, nil
}

// listenBackend listens with small buffers.
func listenBackend(addr string) (net.Listener, error) {
	smallBuffer := func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw) }
	return (&net.ListenConfig{Control: smallBuffer}).Listen(context.Background(), "tcp", addr)
}

// setReceiveBuffer makes the kernel hold little of what a peer sends, so that a slow reader shows at the peer.
func setReceiveBuffer(raw syscall.RawConn) error {
	var err error
	if closed := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); closed != nil {
		return closed
	}
	return err
}

// serveID answers a call at once with its id.
func serveID(c net.Conn, call Call) error {
	_, err := io.WriteString(c, encodeAnswer(call.ID))
	return err
}

// encodeAnswer returns the reply with a value.
func encodeAnswer(value string) string {
	return answerHead(len(value)) + value + answerEnd
}

// answerHead returns the bytes of a reply in front of a value of size bytes.
func answerHead(size int) string { return "*3\r\n$" + strconv.Itoa(size) + "\r\n" }

// answerEnd are the bytes of a reply behind its value: no figures on use, no load report.
const answerEnd = "\r\n$-1\r\n$-1\r\n"

// setAnswerer replaces the Answerer for the calls that come from now on.
func (b *Backend) setAnswerer(answer Answerer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
}

// setPause makes the backend read large commands slowly.
func (b *Backend) setPause(pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause = pause
}

// pacedReader reads a connection of a backend, the first bytes of each command at once and the rest at the backend's pace.
type pacedReader struct {
	net.Conn
	backend *Backend
	read    int // bytes since the last command
}

const (
	pacedAfterBytes = 2 << 10
	pacedReadBytes  = 1 << 10
)

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	if p.read >= pacedAfterBytes {
		p.backend.mu.Lock()
		pause := p.backend.pause
		p.backend.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
			b = b[:min(len(b), pacedReadBytes)]
		}
	}
	n, err := p.Conn.Read(b)
	p.read += n
	return n, err
}

// calls returns the calls of an id that have come whole.
func (b *Backend) calls(id string) []Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[id]
}

// diedDuring reports whether the backend's process died after it had received a call of the id.
func (b *Backend) diedDuring(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	calls := b.received[id]
	return len(calls) > 0 && b.killedAt.After(calls[0].ReceivedAt)
}

// cutAnswers returns the number of answers whose connection ended while they were written.
func (b *Backend) cutAnswers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

func (b *Backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				b.mu.Lock()
				delete(b.conns, c)
				b.mu.Unlock()
			}()
			b.serve(c)
		}()
	}
}

// serve answers the commands of one connection in order until it ends.
func (b *Backend) serve(c net.Conn) {
	paced := &pacedReader{Conn: c, backend: b}
	for r := bufio.NewReader(paced); ; {
		paced.read = 0
		args, err := readCommand(r)
		if err != nil {
			return
		}
		if len(args) < 4 || !strings.HasPrefix(args[0], "CALL.") {
			if _, err := io.WriteString(c, "-NOPERM\r\n"); err != nil {
				return
			}
			continue
		}
		call := Call{ID: args[2], Account: args[1], ReceivedAt: time.Now()}
		for part := range strings.SplitSeq(args[3], ",") {
			switch name, value, _ := strings.Cut(part, "="); name {
			case "c":
				call.Class = value
			case "k":
				call.Key = value
			}
		}
		b.mu.Lock()
		b.received[call.ID] = append(b.received[call.ID], call)
		answer := b.answer
		b.mu.Unlock()
		if err := answer(c, call); err != nil {
			b.mu.Lock()
			b.cut++
			b.mu.Unlock()
			return
		}
	}
}

// readCommand reads an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	count, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, 0, 5)
	for range count {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		if size > bodyLimit {
			return nil, fmt.Errorf("argument of %d bytes, want at most %d", size, bodyLimit)
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(r, arg); err != nil {
			return nil, err
		}
		args = append(args, string(arg[:size]))
	}
	return args, nil
}

// readNumber reads a line of a type and a number.
func readNumber(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("got line %q, want type %q", line, kind)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// kill ends the backend as the death of its process does: its connections are reset and new ones are refused.
func (b *Backend) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.killedAt = time.Now()
	b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// replace kills the backend and starts a new process at its address. What it has received is kept, as the rules are on requests.
func (b *Backend) replace() error {
	b.kill()
	l, err := listenBackend(b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener = l
	b.mu.Unlock()
	go b.accept(l)
	return nil
}

func (b *Backend) close() { b.kill() }
