package hotrestart

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// TCPConn returns the TCP connection of a received descriptor, and closes f. The error for any other socket is ErrWrongSocket. The address
// isn't checked: a connection that its client has reset has none, and may still hold the rest of a large value.
func TCPConn(f *os.File) (*net.TCPConn, error) {
	defer f.Close()
	conn, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && !isListener(tcp) {
		return tcp, nil
	}
	conn.Close()
	return nil, fmt.Errorf("%w: got %T, want a connected TCP socket", ErrWrongSocket, conn)
}

// TCPListener returns the listener of a received descriptor, and closes f. The error for a socket that does not listen at addr is
// ErrWrongSocket.
func TCPListener(f *os.File, addr string) (*net.TCPListener, error) {
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.TCPListener](l, l.Addr(), addr)
}

// UDPConn returns the datagram socket of a received descriptor, and closes f. The error for a socket that is not bound to addr is
// ErrWrongSocket.
func UDPConn(f *os.File, addr string) (*net.UDPConn, error) {
	defer f.Close()
	conn, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.UDPConn](conn, conn.LocalAddr(), addr)
}

// boundTo returns socket as a T if it is one and its address is want. Otherwise it closes socket and returns ErrWrongSocket.
func boundTo[T io.Closer](socket io.Closer, addr net.Addr, want string) (T, error) {
	typed, ok := socket.(T)
	if ok && addr.String() == want {
		return typed, nil
	}
	socket.Close()
	var none T
	return none, fmt.Errorf("%w: got %T at %s, want %T at %s", ErrWrongSocket, socket, addr, none, want)
}

// isListener reports whether a TCP socket listens; true if the kernel returns an error.
func isListener(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var accepts int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		accepts, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	})
	return err != nil || optionErr != nil || accepts != 0
}

// withDescriptors calls f with fds and the descriptors of all conns appended to it. None of conns is closed while f runs.
func withDescriptors(conns []syscall.Conn, fds []int, f func([]int) error) error {
	if len(conns) == 0 {
		return f(fds)
	}
	raw, err := conns[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = withDescriptors(conns[1:], append(fds, int(fd)), f) })
	if err != nil {
		return err
	}
	return inner
}

// openFiles returns the descriptors in a socket's control messages as files, closed on exec. Control messages without descriptors are
// skipped.
func openFiles(control []byte) ([]*os.File, error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	var files []*os.File
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "inherited socket"))
		}
	}
	return files, nil
}
