package ingress

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"eiderspread/internal/dataplane/inputbuffer"
	"eiderspread/internal/dataplane/sockets"
)

// maxPipelinedCommands bounds the commands of one connection that are unanswered, or whose answers the socket has not accepted yet. It bounds
// the unread answers too: further commands are not read while the client does not read.
const maxPipelinedCommands = 32

// recentlyOpenedS is for how many seconds the first command of a new connection is assumed to be in transit.
const recentlyOpenedS = 0.2

// lastClientConnID is the number of the newest client connection of this process.
var lastClientConnID atomic.Uint64

// connState is the stage of a client connection.
type connState uint8

const (
	connOpen    connState = iota
	connClosing           // no further answer is added; input is read and dropped until the client closes its side
	connClosed
)

func (s connState) String() string { return [...]string{"open", "closing", "closed"}[s] }

// readerState is the state of the reader goroutine of a client connection.
type readerState uint8

const (
	readerRunning      readerState = iota
	readerStopping                 // asked to stop between two commands
	readerStopped                  // ended; the loop owns the input that it read and did not use
	readerTransferring             // ended; the connection is being transferred to the successor
)

func (s readerState) String() string {
	return [...]string{"running", "stopping", "stopped", "transferring"}[s]
}

// answerSlot holds the place of one answer; the answers of a connection go out in the order of its commands.
type answerSlot struct {
	request    *request    // nil: answered without the decider, or begun by the predecessor
	answer     []byte      // nil until it is final
	value      *largeValue // streamed in place of answer
	closeAfter bool        // the connection closes after this answer
	reserved   bool        // the bytes of answer are reserved, see reserveOutput
}

// clientConn is the state of one client connection.
type clientConn struct {
	connID           uint64 // unique within this process, for the log
	conn             *net.TCPConn
	rawConn          syscall.RawConn
	socket           *sockets.Reader // reads from conn for the reader; the loop asks whether it waits
	pipelinePermits  chan struct{}   // one for each command until its answer is written; acquired by the reader, released by the loop
	done             chan struct{}   // closed when the connection is closed
	stopReading      chan struct{}   // closed to stop the reader; the loop creates a new channel for the next reader
	receivingCommand atomic.Bool     // part of a command has arrived and the client may be sending the rest; set by the reader
	sentToSuccessor  atomic.Bool     // the successor may have the connection; set by sendToSuccessor

	// Owned by the reader, and by the loop once the reader has stopped.
	input          inputbuffer.Buffer
	badCommands    int
	commandLimiter *rate.Limiter // the client's own rate of commands
	sharedCommands int           // commands that it may still post of those taken from the shared rate
	deadlineSet    bool          // a read deadline is set for the next whole command

	// Loop only from here on.
	state       connState
	reader      readerState
	closeReason closeReason // set when the close is decided

	closeWhenStopped closeReason // the reader is being stopped for this close; closeUnset: for none
	droppedCalls     int         // calls that were read after the half close

	answerSlots   []*answerSlot    // in the order of the commands; at most maxPipelinedCommands + 1
	batchBuffer   []byte           // reused for the answers that are written together; in use while writing is set
	reservedBytes int              // of the budgets, for answers that are being written or wait for that
	writing       bool             // a goroutine writes answers, or a large value is streamed
	output        *backgroundWrite // the answers that a goroutine writes; nil: none does

	acceptedAt    float64
	lastUsedAt    float64 // when a request was accepted or an answer became final; initially acceptedAt
	lastCallAt    float64 // when the last call arrived that was accepted, or rejected for a drain or shutdown; 0: none
	lastRequestAt float64 // when the last accepted request arrived
	requestCount  int     // accepted requests
	unackedBytes  int     // that the client's kernel had not acknowledged when idleTooLong last looked
	lastReadAt    float64 // when idleTooLong last found that the client had read; 0: never

	lag       deliveryLag // measured while connections are to be closed
	lagging   bool        // see policy.ClientLags
	hasLagged bool        // since connections are to be closed: its requests are rejected

	commandReceived bool // a request was accepted, or a command or input answered
	callReceived    bool // a call was accepted, or rejected for a drain or shutdown
	discardDone     bool // the input behind the last answer needs no further discarding before the close
	overCapacity    bool // beyond the limit on connections: its calls are rejected while the limit is reached
}

// newClientConn returns the state of a connection that is not read yet. The caller holds one of the table's connPermits for it.
func (in *Ingress) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := resetOnProcessExit(conn); err != nil {
		return nil, err
	}
	return &clientConn{connID: lastClientConnID.Add(1), conn: conn, rawConn: raw, socket: sockets.NewReader(raw, nil),
		pipelinePermits: make(chan struct{}, maxPipelinedCommands), done: make(chan struct{}), stopReading: make(chan struct{}),
		input: inputbuffer.New(&in.inputBudget), commandLimiter: newClientLimiter()}, nil
}

// idle reports whether the client waits for no answer. Commands that have not reached the loop yet do not count.
func (c *clientConn) idle() bool {
	return len(c.answerSlots) == 0 && !c.writing
}

// quiescent reports whether the client waits for no answer, and no command is queued between the reader and the loop, which may be behind.
// Commands on a closing connection do not count: they are dropped.
func (c *clientConn) quiescent() bool {
	return c.idle() && (c.state == connClosing || len(c.pipelinePermits) == 0)
}

// fullyAnswered reports whether every command that has arrived is answered and the client is not in the middle of sending one. Closing the
// connection then loses no request, except one that arrives at that very moment.
func (c *clientConn) fullyAnswered() bool {
	return c.quiescent() && !c.receivingCommand.Load() && c.silent()
}

// recentlyOpened reports whether the connection is new and has sent no command yet: closing it may lose a request in transit.
func (c *clientConn) recentlyOpened(in *Ingress) bool {
	return !c.commandReceived && c.state != connClosing && in.now-c.lastUsedAt < recentlyOpenedS
}

// disconnected reports whether the client has closed its side of the connection. It asks the kernel, because the reader does not read
// while the pipeline is full, after it was stopped, and while an error is the last answer.
func (c *clientConn) disconnected() bool {
	return c.state == connClosed || sockets.PeerClosed(c.rawConn)
}

// inputProcessed reports whether every byte that has arrived is known to the loop: none waits in the socket, the reader has none in hand, and
// no command is queued. The order matters, as input moves on from one of these places to the next.
func (c *clientConn) inputProcessed() bool {
	return c.silent() && c.socket.Waiting() && len(c.pipelinePermits) == 0
}

// setCloseReason records why the connection is to be closed. The first reason is kept.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.closeReason == closeUnset {
		c.closeReason = reason
	}
}

// startCommandDeadline sets the read deadline by which a whole command must have arrived. It is called by the reader, or before the reader
// starts.
func (c *clientConn) startCommandDeadline(in *Ingress) {
	c.deadlineSet = true
	setReadDeadline(c.conn, time.Now().Add(in.clients.commandTimeout))
}

// silent reports whether the client has not closed the connection and no byte waits in the socket to be read.
func (c *clientConn) silent() bool { return sockets.OpenAndSilent(c.rawConn) }
