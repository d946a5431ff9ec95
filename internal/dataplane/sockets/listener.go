package sockets

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// listenBacklog is the length asked for the kernel's queue of accepted connections, which the kernel limits to its own bound.
const listenBacklog = 1 << 15

// BindTCP returns a listener that has an address and does not listen: the kernel refuses connections to it until StartListening, and gives the
// address to no other socket.
func BindTCP(addr *net.TCPAddr) (*net.TCPListener, error) {
	family, sockaddr := unix.AF_INET, unix.Sockaddr(nil)
	if ip := addr.IP.To4(); ip != nil {
		sockaddr = &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}
	} else {
		family, sockaddr = unix.AF_INET6, &unix.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP.To16())}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // net.FileListener has a copy
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, sockaddr); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// Listens reports whether the kernel accepts connections on a listener.
func Listens(raw syscall.RawConn) bool {
	listens := 0
	controlErr := raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err == nil {
			listens = n
		}
	})
	return controlErr == nil && listens != 0
}

// StartListening has the kernel accept connections on a listener of BindTCP. It has no effect on one that listens.
func StartListening(raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) { err = os.NewSyscallError("listen", unix.Listen(int(fd), listenBacklog)) })
	if controlErr != nil {
		return controlErr
	}
	return err
}
