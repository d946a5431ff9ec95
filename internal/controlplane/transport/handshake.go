package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"
)

// Version is the version of the records and of what they mean. Peers of different versions reject each other's links.
const Version = 1

// handshakeTimeouts is how many idle timeouts of a link its TLS handshake may take.
const handshakeTimeouts = 4

// ErrHandshake is wrapped by the errors of a peer that is not the one expected.
var ErrHandshake = errors.New("handshake rejected")

// Hello identifies each side of a link in its first record.
type Hello struct {
	Fleet       string
	Cells       int    // how many the fleet's accounts are divided into
	Number      int    // the sender's among the forwarders, or among the planners
	Incarnation uint64 // of the sender's process
}

// Message returns the record of a hello.
func (h Hello) Message() Message {
	return Message{Kind: KindHello, Plan: Version, Name: h.Fleet, Number: uint32(h.Number), Epoch: h.Incarnation, Cell: uint16(h.Cells)}
}

// ParseHello reads a link's first record. An error wraps ErrHandshake.
func ParseHello(msg *Message) (Hello, error) {
	if msg.Kind != KindHello {
		return Hello{}, fmt.Errorf("%w: the link does not begin with a hello", ErrHandshake)
	}
	if msg.Plan != Version {
		return Hello{}, fmt.Errorf("%w: link version %d, want %d", ErrHandshake, msg.Plan, Version)
	}
	return Hello{Fleet: msg.Name, Cells: int(msg.Cell), Number: int(msg.Number), Incarnation: msg.Epoch}, nil
}

// DialTimeout returns how long it may take to make a link of an idle timeout: to connect, and again for Handshake.
func DialTimeout(idleTimeout time.Duration) time.Duration { return handshakeTimeouts * idleTimeout }

// Handshake runs the TLS handshake of a link within DialTimeout. It closes the connection if that fails.
func Handshake(ctx context.Context, conn *tls.Conn, idleTimeout time.Duration) error {
	err := conn.SetDeadline(time.Now().Add(DialTimeout(idleTimeout)))
	if err == nil {
		err = conn.HandshakeContext(ctx)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.NetConn().Close() // the error of the handshake is the one that matters
	}
	return err
}
