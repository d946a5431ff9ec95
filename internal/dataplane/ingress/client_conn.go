package ingress

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
)

// maxPipelinedCommands bounds the commands of one connection that may be open.
const maxPipelinedCommands = 32

// recentlyOpenedS is for how many seconds the first command of a new connection may be on its way.
const recentlyOpenedS = 0.2

// lastClientConnID numbers the connections of clients within this process.
var lastClientConnID atomic.Uint64

// connState is how far a client's connection is on its way to its end.
type connState uint8

const (
	connOpen    connState = iota
	connClosing           // the last answer is written; what still comes is read and dropped, and the client's end is waited for
	connClosed
)

func (s connState) String() string { return [...]string{"open", "closing", "closed"}[s] }

// readerState is what the reader of a client's connection does.
type readerState uint8

const (
	readerRunning      readerState = iota
	readerStopping                 // it has to stop between two commands
	readerStopped                  // it has; the loop owns what it read and did not use
	readerTransferring             // the connection is on its way to the process that replaces this one
)

func (s readerState) String() string {
	return [...]string{"running", "stopping", "stopped", "transferring"}[s]
}

// answerSlot is the place of one answer in its connection's order.
type answerSlot struct {
	request    *request    // nil where the answer was known at once
	answer     []byte      // nil until it is final
	value      *largeValue // in place of an answer: it is streamed
	closeAfter bool        // the connection ends with it
}

// clientConn is one client's connection.
type clientConn struct {
	connID           uint64 // within this process, for the log
	conn             *net.TCPConn
	rawConn          syscall.RawConn
	pipelinePermits  chan struct{} // one for each open command; taken by the reader, given back by the loop
	done             chan struct{} // closed with the connection
	stopReading      chan struct{} // closed to stop the reader; the loop makes a new one for the next reader
	receivingCommand atomic.Bool   // a part of a command has come, its client may be writing on; set by the reader

	// The reader's, and the loop's once the reader has stopped.
	input       inputbuffer.Buffer
	badCommands int
	deadlineSet bool // for the next whole command

	// Loop only from here on.
	state       connState
	reader      readerState
	closeReason closeReason // from the decision to close on

	answerSlots   []*answerSlot // in the order of the commands; maxPipelinedCommands and one at most
	pendingOutput []byte        // what the socket has not taken yet
	reservedBytes int           // of the input budget, for what is pending or being written
	writing       bool          // a goroutine writes, or a large value is streamed

	acceptedAt    float64
	lastUsedAt    float64 // when a request was accepted or an answer became final; at first, acceptedAt
	lastCallAt    float64 // when a call came last, accepted or rejected; 0: none has
	lastRequestAt float64 // when a request came last that was accepted
	requestCount  int     // requests that were accepted

	commandReceived bool // a whole command has come
	callReceived    bool // a call has come
	discardDone     bool // what came behind the last answer has been read for long enough
	overCapacity    bool // beyond the bound on connections: calls are rejected while that holds
}

// newClientConn makes a client of a connection that is not read yet. The caller has a permit of the table for it.
func (in *Ingress) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{connID: lastClientConnID.Add(1), conn: conn, rawConn: raw, pipelinePermits: make(chan struct{}, maxPipelinedCommands),
		done: make(chan struct{}), stopReading: make(chan struct{}), input: inputbuffer.New(&in.inputBudget)}, nil
}

// idle reports whether the client waits for no answer. What its reader has not come to yet does not count.
func (c *clientConn) idle() bool {
	return len(c.answerSlots) == 0 && len(c.pendingOutput) == 0 && !c.writing
}

// quiescent reports whether the client waits for no answer, and no command that its reader has read is on its way to the loop, which may be
// behind.
func (c *clientConn) quiescent() bool {
	return c.idle() && (c.state == connClosing || len(c.pipelinePermits) == 0)
}

// fullyAnswered reports whether all that has come on the connection is answered, and its client is not in the middle of a command: a
// connection that closes then owes nothing, but for what comes in that very moment.
func (c *clientConn) fullyAnswered() bool {
	return c.quiescent() && !c.receivingCommand.Load() && c.silent()
}

// recentlyOpened reports whether the connection has just come and has said nothing yet: to close it may lose a request.
func (c *clientConn) recentlyOpened(in *Ingress) bool {
	return !c.commandReceived && c.state != connClosing && in.now-c.lastUsedAt < recentlyOpenedS
}

// disconnected reports whether the client has ended its side of the connection. Its reader may not know, as it does not read while the
// pipeline is full, once it was stopped, and while an error is its last answer.
func (c *clientConn) disconnected() bool {
	return c.state == connClosed || sockets.PeerClosed(c.rawConn)
}

// setCloseReason notes why the connection is to end; the first reason stands.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.closeReason == closeUnset {
		c.closeReason = reason
	}
}

// startCommandDeadline sets the time by which a whole command must have come. It is for whoever starts the reader.
func (c *clientConn) startCommandDeadline(in *Ingress) {
	c.deadlineSet = true
	setReadDeadline(c.conn, time.Now().Add(in.clients.commandTimeout))
}

// silent reports whether the client has not ended the connection and no byte of it waits to be read.
func (c *clientConn) silent() bool { return sockets.OpenAndSilent(c.rawConn) }
