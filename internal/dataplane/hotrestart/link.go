package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// network is a socket type that preserves message boundaries and passes descriptors; Linux has it.
const network = "unixpacket"

// Link is one side of a link. One goroutine may send while another one receives; any goroutine may call Close.
type Link struct {
	conn   *net.UnixConn
	buffer []byte // of Receive; allocated by its first call
}

// Dial connects to the process that listens at path. The error is ErrNoListener if none does.
func Dial(path string) (link *Link, err error) {
	err = withAddress(path, func(address string) error {
		conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: address, Net: network})
		link = &Link{conn: conn}
		return err
	})
	switch {
	case errors.Is(err, os.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("%w at %s: %w", ErrNoListener, path, err)
	case err != nil:
		return nil, fmt.Errorf("hot restart: %s: %w", path, err)
	}
	return link, nil
}

// Close ends the link.
func (l *Link) Close() { l.conn.Close() }

// Send sends a message with the descriptors of conns, within timeout. The sender keeps conns open. If the message exceeds the limits, Send
// returns ErrTooLarge and sends nothing.
func (l *Link) Send(kind Kind, body []byte, timeout time.Duration, conns ...syscall.Conn) error {
	if len(body) > MaxBodyBytes || len(conns) > maxDescriptors {
		return fmt.Errorf("%w: %v of %d bytes and %d descriptors, want at most %d and %d", ErrTooLarge, kind, len(body), len(conns), MaxBodyBytes, maxDescriptors)
	}
	if err := l.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return withDescriptors(conns, nil, func(fds []int) error {
		var rights []byte
		if len(fds) > 0 {
			rights = syscall.UnixRights(fds...)
		}
		_, _, err := l.conn.WriteMsgUnix(append([]byte{byte(kind)}, body...), rights, nil)
		return err
	})
}

// Receive waits for the next message, for timeout at most; with 0 it waits without a limit. The error is io.EOF once the other side has
// closed the link, ErrTruncated, or an error of the socket. Descriptors that came with an unusable message are closed.
func (l *Link) Receive(timeout time.Duration) (Message, error) {
	if l.buffer == nil {
		l.buffer = make([]byte, 1+MaxBodyBytes)
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := l.conn.SetReadDeadline(deadline); err != nil {
		return Message{}, err
	}
	control := make([]byte, syscall.CmsgSpace(4*maxDescriptors)) // a descriptor is an int32
	n, controlLen, flags, _, err := l.conn.ReadMsgUnix(l.buffer, control)
	if err != nil {
		return Message{}, err
	}
	files, err := openFiles(control[:controlLen])
	switch {
	case err != nil:
	case n == 0:
		err = io.EOF
	case flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0:
		err = ErrTruncated
	}
	if err != nil {
		Message{Files: files}.Close()
		return Message{}, err
	}
	return Message{Kind: Kind(l.buffer[0]), Body: append([]byte(nil), l.buffer[1:n]...), Files: files}, nil
}

// Expect receives a message that must be of the given kind and have at least the given number of descriptors. For any other message it
// returns ErrUnexpected.
func (l *Link) Expect(kind Kind, descriptors int, timeout time.Duration) (Message, error) {
	m, err := l.Receive(timeout)
	if err != nil {
		return m, err
	}
	if m.Kind != kind || len(m.Files) < descriptors {
		m.Close()
		return m, fmt.Errorf("%w: %v with %d descriptors, want %v with at least %d", ErrUnexpected, m.Kind, len(m.Files), kind, descriptors)
	}
	return m, nil
}
