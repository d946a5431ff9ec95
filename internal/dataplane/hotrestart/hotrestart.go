// Package hotrestart implements the link over which a new process takes over the sockets, the state and the open connections of the process
// that it replaces. The link carries messages and file descriptors over a Unix socket. The package only carries messages; the two processes
// decide which messages to send and when, and when to stop and resume their work.
//
// The messages, in their order (P is the predecessor, S the successor):
//
//	S -> P  Hello       the version of this protocol
//	P -> S  Sockets     descriptors: the listener of clients and, where gateways are peers, their datagram socket
//	S -> P  Ready       all other preparation is done; with what this version accepts, see AcceptsAnswers
//	P -> S  Snapshot    a part of the decision module's state; any number of messages
//	P -> S  Drain       operators drain the predecessor, and the successor goes on with it; with the time at which that began; only to a
//	                    successor that takes it, see TakesDrain
//	P -> S  Proceed     the predecessor has stopped accepting connections; with its endpoint list and its number of clients
//	P -> S  Answer      a final answer that is not written, of the client connection that the next Client or LargeValue brings; any
//	                    number of messages, in the order of the answers; behind the large value, if there is one
//	P -> S  NextValue   descriptor: a backend connection with a large value that takes the place of an Answer
//	P -> S  Client      descriptor: a client connection without open requests; with the bytes that were read from it and not used
//	P -> S  LargeValue  descriptors: a client connection with a large value under way, and the backend connection that it comes from
//
// If the successor takes over the decisions on the predecessor's requests, these messages follow until the last of these requests has
// ended:
//
//	P -> S  Event       a request that the predecessor handles after the hand-over of decisions, the end of an attempt,
//	                    a client that disconnected
//	S -> P  Order       an action on a request that the predecessor holds
//
// The link ends when either process ends, or when one side closes it because the other side receives no message in time. The end of the
// link is therefore no proof that the other process has ended; what it means depends on the messages that were received before.
package hotrestart

import (
	"errors"
	"fmt"
	"os"
)

// Version is the protocol's version, which Hello carries.
const Version = 1

// AcceptsAnswers is a bit of the first byte of Ready's body: the successor accepts Answer and NextValue. An empty body has no bits set.
const AcceptsAnswers = 1

// TakesDrain is another bit: the successor goes on with a drain of its predecessor, and a listener that it gets may not listen.
const TakesDrain = 2

// MaxBodyBytes is the maximum length of a message's body, in bytes.
const MaxBodyBytes = 128 << 10

// maxDescriptors is the largest number of descriptors in one message.
const maxDescriptors = 2

// Errors of this package. Errors of sockets and files are returned as well, most of them wrapped.
var (
	ErrTruncated   = errors.New("hot restart: message longer than the receive buffer")
	ErrTooLarge    = errors.New("hot restart: message exceeds the limits")
	ErrUnexpected  = errors.New("hot restart: unexpected message")
	ErrWrongSocket = errors.New("hot restart: descriptor is not the expected socket")
	ErrLocked      = errors.New("hot restart: another process of this name holds the lock")
	ErrNoListener  = errors.New("hot restart: no process listens for a successor")
	ErrForeignFile = errors.New("hot restart: not a socket")
)

// Kind is the kind of a message, which is the message's first byte.
type Kind byte

// The kinds of messages; the package comment says who sends which.
const (
	Hello      Kind = 'H'
	Sockets    Kind = 'S'
	Ready      Kind = 'R'
	Snapshot   Kind = 'K'
	Proceed    Kind = 'G'
	Client     Kind = 'C'
	LargeValue Kind = 'V'
	Answer     Kind = 'A'
	NextValue  Kind = 'W'
	Drain      Kind = 'D'
	Event      Kind = 'E'
	Order      Kind = 'O'
)

// String is the kind's name, for logs.
func (k Kind) String() string {
	switch k {
	case Hello:
		return "hello"
	case Sockets:
		return "sockets"
	case Ready:
		return "ready"
	case Snapshot:
		return "snapshot"
	case Proceed:
		return "proceed"
	case Client:
		return "client"
	case LargeValue:
		return "large value"
	case Answer:
		return "answer"
	case NextValue:
		return "next value"
	case Event:
		return "event"
	case Order:
		return "order"
	}
	return fmt.Sprintf("kind %q", byte(k))
}

// Message is one message. The receiver owns its files and closes them, by Close or one by one.
type Message struct {
	Kind  Kind
	Body  []byte // MaxBodyBytes at most
	Files []*os.File
}

// Close closes the files that came with the message.
func (m Message) Close() {
	for _, f := range m.Files {
		f.Close()
	}
}
