// Package takeover is the link by which a new process of an ingress gets the sockets of the one that it replaces. It
// carries them over a Unix socket, as descriptors, and decides nothing: when to ask, to stop and to go on is the
// processes' to say.
//
//	new  -> old  hello   the version that it speaks
//	old  -> new  sockets the listener of clients and, where there are peers, their datagram socket
//	new  -> old  ready   everything else is done
//	old  -> new  kept    a part of what its decision module knows
//	old  -> new  go      the old one takes nothing more; with the list of backends as it knows it, and how many clients it has
//	old  -> new  client  a client's connection on which nothing is open, and what was read from it and not used
//	old  -> new  value   a client's connection with a large value on its way there, and the backend's that it comes from
//
// and, where all that decides has moved to the new process, until the old one's last request has ended
//
//	old  -> new  event   a request that was read late, an attempt's end, a client that has gone
//	new  -> old  order   what is to be done to a request that the old one holds
//
// The link's end is the old process's, or the new one's; each side knows what that means by what came before it.
package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Kind is a message's.
type Kind byte

// The kinds of messages.
const (
	Hello      Kind = 'H'
	Sockets    Kind = 'S'
	Ready      Kind = 'R'
	Snapshot   Kind = 'K'
	Proceed    Kind = 'G'
	Client     Kind = 'C'
	LargeValue Kind = 'V'
	Event      Kind = 'E'
	Order      Kind = 'O'
)

const (
	// Version is what Hello carries.
	Version = 1
	// MaxBodyBytes bounds what a message carries beside descriptors.
	MaxBodyBytes  = 128 << 10
	maxFDs        = 2
	maxSocketPath = 100 // a Unix socket's path may have some more
)

// Message is one message; its files are the receiver's to close.
type Message struct {
	Kind  Kind
	Body  []byte
	Files []*os.File
}

// SocketPath is where the process of a name is asked, in a folder that both processes have.
func SocketPath(dir, name string) (string, error) {
	path := filepath.Join(dir, "eiderspread-"+filepath.Base("/"+name)+".sock")
	if len(path) > maxSocketPath {
		return "", fmt.Errorf("takeover: %s is too long for a socket", path)
	}
	return path, nil
}

// Link is one side of a link. One goroutine sends and one receives.
type Link struct {
	conn *net.UnixConn
	buf  []byte
}

// Dial asks the process that listens at path. It returns nil without an error when there is none.
func Dial(path string) (*Link, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	switch {
	case errors.Is(err, os.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return &Link{conn: conn}, nil
}

// Listener waits for a new process.
type Listener struct{ l *net.UnixListener }

// Listen takes path over from whoever had it; that one's file stays until then.
func Listen(path string) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("takeover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then it may be the next process's
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("takeover: %w", err)
	}
	return &Listener{l}, nil
}

// Accept waits for the next link, of a process of the same user.
func (l *Listener) Accept() (*Link, error) {
	for {
		conn, err := l.l.AcceptUnix()
		if err != nil {
			return nil, err
		}
		if sameUser(conn) {
			return &Link{conn: conn}, nil
		}
		conn.Close()
	}
}

// Close ends the listener; the file stays.
func (l *Listener) Close() { l.l.Close() }

func sameUser(conn *net.UnixConn) (same bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(cred.Uid) == os.Getuid()
	})
	return same
}

// Close ends the link.
func (l *Link) Close() { l.conn.Close() }

// Send sends a message with the descriptors of conns, which stay the sender's, by a deadline.
func (l *Link) Send(kind Kind, body []byte, by time.Duration, conns ...syscall.Conn) error {
	if len(body) > MaxBodyBytes || len(conns) > maxFDs {
		return fmt.Errorf("takeover: message of %d bytes and %d descriptors", len(body), len(conns))
	}
	l.conn.SetWriteDeadline(time.Now().Add(by))
	return withFDs(conns, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = syscall.UnixRights(fds...)
		}
		_, _, err := l.conn.WriteMsgUnix(append([]byte{byte(kind)}, body...), rights, nil)
		return err
	})
}

// withFDs calls do with the descriptors of all conns, none of which is closed meanwhile.
func withFDs(conns []syscall.Conn, fds []int, do func([]int) error) error {
	if len(conns) == 0 {
		return do(fds)
	}
	raw, err := conns[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = withFDs(conns[1:], append(fds, int(fd)), do) }); err != nil {
		return err
	}
	return inner
}

// Receive waits for the next message, for no longer than most if that is above 0.
func (l *Link) Receive(most time.Duration) (Message, error) {
	if l.buf == nil {
		l.buf = make([]byte, MaxBodyBytes+1)
	}
	deadline := time.Time{}
	if most > 0 {
		deadline = time.Now().Add(most)
	}
	l.conn.SetReadDeadline(deadline)
	oob := make([]byte, syscall.CmsgSpace(4*maxFDs))
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(l.buf, oob)
	if err != nil {
		return Message{}, err
	}
	files, err := parseFiles(oob[:oobn])
	switch {
	case err != nil:
	case n == 0:
		err = errors.New("takeover: the link has ended")
	case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		err = errors.New("takeover: a message was cut")
	default:
		return Message{Kind(l.buf[0]), append([]byte(nil), l.buf[1:n]...), files}, nil
	}
	for _, f := range files {
		f.Close()
	}
	return Message{}, err
}

func parseFiles(oob []byte) (list []*os.File, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for _, m := range msgs {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			list = append(list, os.NewFile(uintptr(fd), "taken over"))
		}
	}
	return list, nil
}

// Expect is Receive for a message that must be of a kind and bring so many descriptors at least.
func (l *Link) Expect(kind Kind, fds int, most time.Duration) (Message, error) {
	m, err := l.Receive(most)
	if err != nil {
		return m, err
	}
	if m.Kind != kind || len(m.Files) < fds {
		m.Close()
		return m, fmt.Errorf("takeover: message %q with %d descriptors, want %q with %d", m.Kind, len(m.Files), kind, fds)
	}
	return m, nil
}

// Close closes the descriptors that came with a message.
func (m Message) Close() {
	for _, f := range m.Files {
		f.Close()
	}
}

// TCPConn makes a connection of a descriptor, which is closed.
func TCPConn(f *os.File) (*net.TCPConn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok && !isListener(t) { // one that its peer has reset has no address any more, and may hold the rest of a value
		return t, nil
	}
	c.Close()
	return nil, errors.New("takeover: not a TCP connection")
}

// isListener tells that a socket is a listener's.
func isListener(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	is := 1
	if bad := raw.Control(func(fd uintptr) { is, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN) }); bad != nil || err != nil {
		return true
	}
	return is != 0
}

// TCPListener makes a listener of a descriptor, which is closed, if it listens at addr.
func TCPListener(f *os.File, addr string) (*net.TCPListener, error) {
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.TCPListener](l, l.Addr(), addr)
}

// UDPConn makes a datagram socket of a descriptor, which is closed, if it is bound to addr.
func UDPConn(f *os.File, addr string) (*net.UDPConn, error) {
	defer f.Close()
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.UDPConn](c, c.LocalAddr(), addr)
}

// boundTo returns a socket as what it must be, if it is bound where it must be; else it is closed.
func boundTo[T io.Closer](s io.Closer, is net.Addr, want string) (T, error) {
	t, ok := s.(T)
	if ok && is.String() == want {
		return t, nil
	}
	s.Close()
	var none T
	return none, fmt.Errorf("takeover: the running process has %T at %s, not %T at %s", s, is, none, want)
}
