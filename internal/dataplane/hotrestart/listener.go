package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Listener accepts links from successors.
type Listener struct {
	listener *net.UnixListener
}

// Listen listens at path. It removes the socket file that an earlier process left there, or still listens at. The error is ErrForeignFile if
// there is another kind of file.
func Listen(path string) (l *Listener, err error) {
	err = withAddress(path, func(address string) error {
		l, err = listen(address)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("hot restart: %s: %w", path, err)
	}
	return l, nil
}

func listen(address string) (*Listener, error) {
	if err := removeSocket(address); err != nil {
		return nil, err
	}
	l, err := net.ListenUnix(network, &net.UnixAddr{Name: address, Net: network})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // when this listener closes, the file may be the successor's
	if err := os.Chmod(address, 0o600); err != nil {
		l.Close()
		return nil, err
	}
	return &Listener{listener: l}, nil
}

// removeSocket removes the socket file at an address, if there is one.
func removeSocket(address string) error {
	info, err := os.Lstat(address)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode().Type() != os.ModeSocket:
		return ErrForeignFile
	}
	return os.Remove(address)
}

// Accept waits for the next link from a process of the same user; links from other users are closed. It returns an error once the listener
// is closed.
func (l *Listener) Accept() (*Link, error) {
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return nil, err
		}
		if fromSameUser(conn) {
			return &Link{conn: conn}, nil
		}
		conn.Close()
	}
}

// Close closes the listener; the socket file stays.
func (l *Listener) Close() { l.listener.Close() }

// fromSameUser reports whether the process at the other end has the user id of this process.
func fromSameUser(conn *net.UnixConn) (same bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		credentials, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(credentials.Uid) == os.Getuid()
	})
	return same && err == nil
}
