package hotrestart

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// TCPConn makes a connection of a descriptor, which it closes. The error of a socket that is something else is ErrWrongSocket. The address
// isn't checked: a connection that its client has reset has none, and may hold the rest of a value.
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
	return nil, fmt.Errorf("%w: %T in place of a TCP connection", ErrWrongSocket, conn)
}

// TCPListener makes a listener of a descriptor, which it closes. The error of one that does not listen at addr is ErrWrongSocket.
func TCPListener(f *os.File, addr string) (*net.TCPListener, error) {
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.TCPListener](l, l.Addr(), addr)
}

// UDPConn makes a datagram socket of a descriptor, which it closes. The error of one that is not bound to addr is ErrWrongSocket.
func UDPConn(f *os.File, addr string) (*net.UDPConn, error) {
	defer f.Close()
	conn, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return boundTo[*net.UDPConn](conn, conn.LocalAddr(), addr)
}

// boundTo returns socket as a T if it is one and its address is want; else it closes it.
func boundTo[T io.Closer](socket io.Closer, addr net.Addr, want string) (T, error) {
	typed, ok := socket.(T)
	if ok && addr.String() == want {
		return typed, nil
	}
	socket.Close()
	var none T
	return none, fmt.Errorf("%w: %T at %s, want %T at %s", ErrWrongSocket, socket, addr, none, want)
}

// isListener reports whether a TCP socket listens, and true where the kernel doesn't tell.
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

// withDescriptors calls f with the descriptors of all conns behind fds; no conn is closed while f runs.
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

// openFiles makes files of the descriptors in a socket's control messages. Control messages without descriptors are skipped.
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
