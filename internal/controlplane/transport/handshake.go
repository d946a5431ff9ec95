package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"
)

// Version is the version of the encoding and meaning of records. A peer rejects a link from a peer of another version.
const Version = 1

// dialTimeoutFactor is the longest duration of connecting, and of the TLS handshake, in idle timeouts of the link.
const dialTimeoutFactor = 4

// ErrHandshake is wrapped by all errors that reject a peer's hello.
var ErrHandshake = errors.New("handshake rejected")

// Hello is the first record that each side of a link sends; it identifies the sender.
type Hello struct {
	Fleet       string // name of the sender's fleet
	Cells       int    // number of cells into which the fleet's accounts are divided
	Number      int    // the sender's number among the forwarders or among the planners, from 0
	Incarnation uint64 // identifies the sender's process
}

// Message returns the hello as a message.
func (h Hello) Message() Message {
	return Message{Kind: KindHello, Plan: Version, Name: h.Fleet, Number: uint32(h.Number), Epoch: h.Incarnation, Cell: uint16(h.Cells)}
}

// ParseHello decodes the first message of a link. An error wraps ErrHandshake.
func ParseHello(msg *Message) (Hello, error) {
	if msg.Kind != KindHello {
		return Hello{}, fmt.Errorf("%w: first message is of kind %d, want a hello (%d)", ErrHandshake, msg.Kind, KindHello)
	}
	if msg.Plan != Version {
		return Hello{}, fmt.Errorf("%w: link version is %d, want %d", ErrHandshake, msg.Plan, Version)
	}
	return Hello{Fleet: msg.Name, Cells: int(msg.Cell), Number: int(msg.Number), Incarnation: msg.Epoch}, nil
}

// DialTimeout returns the timeout for connecting a link with the given idle timeout. Handshake may take as long again.
func DialTimeout(idleTimeout time.Duration) time.Duration { return dialTimeoutFactor * idleTimeout }

// Handshake runs the TLS handshake of a link with the timeout DialTimeout. It closes the connection if the handshake fails.
func Handshake(ctx context.Context, conn *tls.Conn, idleTimeout time.Duration) error {
	err := conn.SetDeadline(time.Now().Add(DialTimeout(idleTimeout)))
	if err == nil {
		err = conn.HandshakeContext(ctx)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.NetConn().Close() // the handshake's error is returned instead
	}
	return err
}
