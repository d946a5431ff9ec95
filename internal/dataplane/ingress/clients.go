package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"eiderspread/internal/dataplane/admin"
)

const (
	maxPipelinedCommands  = 32              // commands of one connection that may be open
	maxUnreadAnswerBytes  = 1 << 20         // bytes that a client may leave unread
	commandTimeout        = 2 * time.Second // an answer is owed to what can't be read within 3 s
	maxBadCommands        = 8               // bad commands of one connection; then it is closed
	discardTimeout        = 2 * time.Second // how long a refused client's bytes are read and dropped
	maxDiscardBytes       = 1 << 20         // and how many
	clientIdleTimeoutS    = 10.0            // seconds for which a connection may stand idle
	acceptRetryDelay      = 5 * time.Millisecond
	acceptQueuePoll       = 2 * time.Millisecond // how long nothing may come before the listener closes
	halfCloseTimeoutS     = 0.3                  // how long a connection whose sending side has ended waits for the client's end, while nothing else does
	disconnectCheckAfterS = 0.1                  // what waited for longer is sent only after a look whether its client is still there
	recentlyOpenedS       = 0.2                  // seconds in which the first command of a new connection may be on its way
	immediateReadS        = 0.001                // a read that takes longer has waited for its bytes
	readerLagS            = 0.005                // a reader that is so far behind, as too many commands were open, can't tell when what it reads has come
	acceptSlack           = 8                    // connections accepted that the loop has not come to
	reservedFDs           = 32                   // for the listener, discovery, peers, the slack and the runtime
	adminFDs              = admin.MaxConns + 8   // for the operators' door, the link to another process and files
)

var clientWriteTimeout = 5 * time.Second // for how long; tests make it shorter

// answerSlot is the place of one answer in its connection's order.
type answerSlot struct {
	request    *request    // nil where the answer was known at once
	answer     []byte      // nil until it is final
	value      *largeValue // in place of an answer: it is passed on as it comes
	closeAfter bool        // the connection ends with it
}

// clientConn is one client's connection.
type clientConn struct {
	connID          uint64 // of this process, for the log
	conn            *net.TCPConn
	rawConn         syscall.RawConn
	pipelinePermits chan struct{} // bounds the open commands; taken by the reader
	done            chan struct{} // closed with the connection
	stopReading     chan struct{} // closed by halt: nothing more is to be read
	// a part of a command has come: its client may be writing on. Set by the reader
	receivingCommand atomic.Bool

	// Its reader's, and the loop's once it is parked.
	input       readBuffer
	badCommands int
	deadlineSet bool // a deadline for the next whole command is set

	// Loop only.
	acceptedAt    float64
	requestCount  int         // requests taken on it
	lastRequestAt float64     // when the last of them came
	lastCallAt    float64     // when a request came last, taken or refused
	closeReason   closeReason // of its end, from the decision on

	answerSlots         []*answerSlot // no more than permits, and one
	pendingOutput       []byte        // what the socket has not taken yet
	reservedBytes       int           // of the budget, for what is pending or being written
	writing             bool          // a goroutine writes what was pending
	lastUsedAt          float64
	commandReceived     bool // a whole command has come
	closing             bool // the last answer is written, what still comes is read and dropped
	discardDone         bool // for long enough
	overCapacity        bool // beyond the bound: what it asks is refused while that holds
	callReceived        bool // a call has come
	readerStopRequested bool // its reader was told to stop
	readerStopped       bool // and has
	transferring        bool // on its way to the process that replaces this one
	closed              bool
}

// idle tells that the client waits for nothing. What its reader has not come to yet counts.
func (c *clientConn) idle() bool {
	return len(c.answerSlots) == 0 && len(c.pendingOutput) == 0 && !c.writing
}

// quiescent tells that the connection may be closed for others: nothing is open on it, and no command that its reader has taken is still on
// its way to the loop, which may be behind by some.
func (c *clientConn) quiescent() bool { return c.idle() && (c.closing || len(c.pipelinePermits) == 0) }

// fullyAnswered tells that all that has come on the connection is answered, and that its client is not in the middle of a request: a connection that
// ends then owes nothing, but for what comes in that very moment.
func (c *clientConn) fullyAnswered() bool {
	return c.quiescent() && !c.receivingCommand.Load() && openAndSilent(c.rawConn)
}

// clientTable bounds the connections of clients. Those on which something is open may be as many as descriptors allow; those that idle are
// kept up to a bound well below the third of the descriptors that clients have for requests: a crowd that connects and asks nothing would
// else hold the room of those who ask, and their requests would not even get here.
type clientTable struct {
	conns         map[*clientConn]struct{}
	evictIdleFrom int // from so many on, what idles makes room
	maxOpen       int // from so many on, what can't have room is refused
	// connections of this ingress that another process still has: they count for those that are taken anew
	openElsewhere   int
	maxOverCapacity int           // so many more are taken, to be refused in words
	connPermits     chan struct{} // a place for each connection, taken before it is accepted

	commandTimeout time.Duration // how long one may take for its first command, and for a whole one
}

func (s *clientTable) init(free int) {
	s.conns = map[*clientConn]struct{}{}
	s.maxOpen = max(8, free/2)
	s.evictIdleFrom = max(8, free/4)
	s.maxOverCapacity = max(2, free/8)
	s.commandTimeout = commandTimeout
	s.connPermits = make(chan struct{}, s.maxOpen+s.maxOverCapacity+acceptSlack)
}

// freeDescriptors is how many descriptors there are for connections of clients and to backends.
func (c Config) freeDescriptors() int {
	if c.AdminAddr != "" {
		return c.MaxDescriptors - reservedFDs - adminFDs
	}
	return c.MaxDescriptors - reservedFDs
}

func (s *clientTable) open() int { return len(s.conns) }

// sweep closes what has idled for long, so that clients that keep a connection for good hold none of
// the memory either. What has never spoken is its reader's to answer.
func (s *clientTable) sweep(in *Ingress) {
	for c := range s.conns {
		if c.closing && c.idle() && in.now-c.lastUsedAt > discardTimeout.Seconds() {
			in.closeClient(c, closeIdleTimeout)
		} else if c.commandReceived && c.quiescent() && in.now-c.lastUsedAt > clientIdleTimeoutS && openAndSilent(c.rawConn) {
			in.closeGracefully(c, closeIdleTimeout)
		}
	}
}

// closeIdle ends each connection that waits for no answer, but for those whose first command is on its way.
func (s *clientTable) closeIdle(in *Ingress) {
	for c := range s.conns {
		if c.fullyAnswered() && !c.transferring && !c.recentlyOpened(in) {
			in.closeGracefully(c, closeShutdown)
		}
	}
}

// closeGracefully ends a connection on which nothing is open: our side first. Between a look whether it is silent and a close a command may come, and
// a close on bytes that nobody has read is a reset, which can take the answer before it along. Its client sends such a command again.
func (in *Ingress) closeGracefully(c *clientConn, reason closeReason) {
	if c.closed || c.closing {
		return
	}
	c.setCloseReason(reason)
	c.closing, c.discardDone = true, true
	if err := c.conn.CloseWrite(); err != nil {
		in.handleDisconnect(c, reason)
		return
	}
	in.after(halfCloseTimeoutS, func() { in.closeClient(c, reason) })
}

// evictionRank orders the connections that may be closed for others: first those that were told their last
// answer, then those that have said nothing, then those that have never asked for anything but a PING, then those that idle.
func (c *clientConn) evictionRank() int {
	switch {
	case c.closing:
		return 0
	case !c.commandReceived:
		return 1
	case !c.callReceived:
		return 2
	}
	return 3
}

// recentlyOpened tells that a connection has just come and has said nothing yet: to close it may lose a request.
func (c *clientConn) recentlyOpened(in *Ingress) bool {
	return !c.commandReceived && !c.closing && in.now-c.lastUsedAt < recentlyOpenedS
}

// atCapacity tells that more connections are open, the newcomer aside, than may be served, after those that idle
// were closed to make room: the lowest rank first, and of it those unused for longest.
func (s *clientTable) atCapacity(in *Ingress, newcomer *clientConn) bool {
	var excluded map[*clientConn]bool // what its reader has not come to yet would be lost
	for {
		others := len(s.conns) + s.openElsewhere
		if _, counted := s.conns[newcomer]; counted {
			others--
		}
		if others < s.evictIdleFrom {
			return false
		}
		var candidate *clientConn
		for c := range s.conns {
			if c == newcomer || !c.quiescent() || c.recentlyOpened(in) || excluded[c] {
				continue
			}
			if candidate == nil || c.evictionRank() < candidate.evictionRank() || c.evictionRank() == candidate.evictionRank() && c.lastUsedAt < candidate.lastUsedAt {
				candidate = c
			}
		}
		switch {
		case candidate == nil:
			return others >= s.maxOpen
		case !candidate.closing && !openAndSilent(candidate.rawConn):
			if excluded == nil {
				excluded = map[*clientConn]bool{}
			}
			excluded[candidate] = true
		case !candidate.closing && !in.halfCloseIfSilent(candidate): // a command came in that moment
			if excluded == nil {
				excluded = map[*clientConn]bool{}
			}
			excluded[candidate] = true
		default:
			in.closeClient(candidate, closeNoCapacity)
		}
	}
}

// halfCloseIfSilent ends our side of a connection that is to be closed at once, and tells that nothing has come on it meanwhile. What has is read
// and dropped behind the end.
func (in *Ingress) halfCloseIfSilent(c *clientConn) bool {
	c.setCloseReason(closeNoCapacity)
	if err := c.conn.CloseWrite(); err != nil || openAndSilent(c.rawConn) {
		return true
	}
	c.closing, c.discardDone = true, true
	in.after(halfCloseTimeoutS, func() { in.closeClient(c, closeNoCapacity) })
	return false
}

// newClientConn makes a client of a connection that is not read yet. Its place in the room is the caller's to take.
func (in *Ingress) newClientConn(conn *net.TCPConn) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{connID: lastClientConnID.Add(1), conn: conn, rawConn: raw, pipelinePermits: make(chan struct{}, maxPipelinedCommands), done: make(chan struct{}),
		stopReading: make(chan struct{}), input: readBuffer{budget: &in.inputBudget}}, nil
}

// startCommandDeadline sets the time by which a whole command must have come. It is for whoever starts the reader.
func (c *clientConn) startCommandDeadline(in *Ingress) {
	c.deadlineSet = true
	c.conn.SetReadDeadline(time.Now().Add(in.clients.commandTimeout))
}

// acceptLoop takes connections until the listener is closed, or pause and with it the listener's deadline, or until there is none with last and
// the deadline.
func (in *Ingress) acceptLoop(l *net.TCPListener, pause chan struct{}) {
	accepted := true
	for {
		select {
		case <-pause:
			in.post(in.clock.Now(), func() { in.startTransfers(pause) }) // behind all that was taken
			return
		default:
		}
		select {
		case in.clients.connPermits <- struct{}{}:
		case <-pause:
			continue
		case <-in.done:
			return
		}
		conn, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			<-in.clients.connPermits
			return
		}
		var c *clientConn
		if err == nil {
			if c, err = in.newClientConn(conn); err != nil {
				conn.Close()
			}
		}
		at := in.clock.Now()
		if err != nil {
			<-in.clients.connPermits
			if errors.Is(err, os.ErrDeadlineExceeded) {
				if in.drainingAcceptQueue.Load() && !accepted { // all that the kernel had accepted is taken: a close resets what it still has
					l.Close()
					in.post(at, func() { in.acceptQueuePending = false })
					return
				} else if in.drainingAcceptQueue.Load() {
					accepted = false
					l.SetDeadline(time.Now().Add(acceptQueuePoll))
				}
				continue
			}
			in.post(at, func() { in.logFault("accept failed", "error", err) })
			time.Sleep(acceptRetryDelay) // out of descriptors: others must end first
			continue
		}
		accepted = true
		c.startCommandDeadline(in)
		in.post(at, func() { in.addClient(c) })
		go c.readLoop(in)
	}
}

func (in *Ingress) addClient(c *clientConn) {
	c.lastUsedAt, c.acceptedAt = in.now, in.now
	in.counters.accepted++
	c.overCapacity = in.clients.atCapacity(in, c)
	in.clients.conns[c] = struct{}{}
	if c.overCapacity && in.clients.open()+in.clients.openElsewhere > in.clients.maxOpen+in.clients.maxOverCapacity { // refused unread, but in words
		in.logFault("client turned away: too many connections", "open", in.clients.open())
		in.counters.rejected[rejectNoCapacity]++
		c.setCloseReason(closeNoCapacity)
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), true)
	}
}

// readLoop parses what the client sends, and posts each command with the time of its last byte. Its
// deadline runs while a command is unfinished, and until there was one at all.
func (c *clientConn) readLoop(in *Ingress) {
	readerStopped := false
	defer func() {
		if !readerStopped {
			c.input.release()
		}
	}()
	unprocessed := len(c.input.data) > 0 // by whoever read this connection before
	emptyAt := in.clock.Now()
	for {
		if c.stopReadingRequested() {
			readerStopped = true
			in.post(in.clock.Now(), func() { in.handleReaderStopped(c) })
			return
		}
		var err error
		at := in.clock.Now()
		if !unprocessed {
			space := c.input.space()
			if space == nil {
				c.rejectInput(in, in.clock.Now(), errInputBudget)
				return
			}
			var n int
			began := in.clock.Now()
			n, err = c.conn.Read(space)
			c.input.advance(n)
			if at = in.clock.Now(); at-began > immediateReadS { // it waited: what it got has come just now
				emptyAt = at
			}
		}
		unprocessed = false
		if at-emptyAt > readerLagS { // what was there may have come at any time since this reader was last up to date
			at = emptyAt
		}
		used, ok := c.postCommands(in, at)
		if !ok {
			return
		}
		unfinished := used < len(c.input.data)
		c.receivingCommand.Store(unfinished)
		c.input.discard(used)
		switch {
		case c.stopReadingRequested() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.rejectInput(in, at, errors.New("no whole command in time"))
			return
		case err != nil:
			in.post(at, func() { in.handleDisconnect(c, closeByClient) })
			return
		case unfinished && (used > 0 || !c.deadlineSet):
			c.deadlineSet = true
			c.conn.SetReadDeadline(time.Now().Add(in.clients.commandTimeout))
		case !unfinished && c.deadlineSet:
			c.deadlineSet = false
			c.conn.SetReadDeadline(time.Time{})
		}
	}
}

// postCommands posts the whole commands that have come and returns their length, or false when the
// connection has ended or is about to.
func (c *clientConn) postCommands(in *Ingress, at float64) (used int, ok bool) {
	var space [8][]byte
	for used < len(c.input.data) && !c.stopReadingRequested() {
		args, size, cause := parseCommand(c.input.data[used:], space[:0])
		if cause != nil {
			c.rejectInput(in, at, fmt.Errorf("Protocol error: %w", cause))
			return 0, false
		}
		if size == 0 {
			break
		}
		select {
		case c.pipelinePermits <- struct{}{}:
		case <-c.stopReading:
			return used, true
		case <-c.done:
			return 0, false
		}
		if cause := c.postCommand(in, at, args); cause != nil {
			if c.badCommands++; c.badCommands == maxBadCommands {
				<-c.pipelinePermits // the last answer takes none
				c.rejectInput(in, at, cause)
				return 0, false
			}
			answer := errorReply(cause)
			in.post(at, func() { in.answerImmediately(c, answer, false) })
		}
		used += size
	}
	return used, true
}

func errorReply(cause error) []byte { return redcon.AppendError(nil, "ERR "+cause.Error()) }

// rejectInput answers what can't be taken and ends the connection. What still comes is read for a while:
// closing on unread bytes would reset the connection and might take the answer with it.
func (c *clientConn) rejectInput(in *Ingress, at float64, cause error) {
	answer := errorReply(cause)
	c.input.release()
	in.post(at, func() {
		c.setCloseReason(closeBadInput)
		in.answerImmediately(c, answer, true)
	})
	c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes))
	gone := n < maxDiscardBytes && !errors.Is(err, os.ErrDeadlineExceeded)
	in.post(in.clock.Now(), func() {
		if c.discardDone = true; gone || c.idle() {
			in.handleDisconnect(c, closeBadInput)
		} // else once the answers before the last one are written
	})
}

// postCommand posts one whole command, or returns what is wrong with it, worded for the client.
func (c *clientConn) postCommand(in *Ingress, at float64, args [][]byte) error {
	switch {
	case len(args) == 0:
		return errors.New("empty command")
	case bytes.EqualFold(args[0], []byte("CALL.GET")), bytes.EqualFold(args[0], []byte("CALL.POST")):
		call, err := in.vocabulary.Load().parseCall(args)
		if err != nil {
			return err
		}
		if !in.inputBudget.reserve(call.size) {
			in.post(at, func() {
				in.logFault("request refused: too much input waits", "bytes", call.size)
				in.counters.rejected[rejectNoMemory]++
				in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), false)
			})
			return nil
		}
		call.copyArgs()
		in.post(at, func() { in.acceptRequest(c, call, at) })
	case bytes.EqualFold(args[0], []byte("PING")):
		in.post(at, func() { in.answerPing(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}

// answerImmediately answers a command that never reaches the module.
func (in *Ingress) answerImmediately(c *clientConn, answer []byte, last bool) {
	if c.closed || c.closing {
		return
	}
	c.commandReceived = true
	c.answerSlots = append(c.answerSlots, &answerSlot{answer: answer, closeAfter: last})
	in.flushAnswers(c)
}

// flushAnswers writes the answers that are due, in the order of their commands.
func (in *Ingress) flushAnswers(c *clientConn) {
	if c.closed {
		return
	}
	n, bytes := 0, len(c.pendingOutput)
	for n < len(c.answerSlots) && c.answerSlots[n].answer != nil && !c.closing {
		c.pendingOutput = append(c.pendingOutput, c.answerSlots[n].answer...)
		c.closing = c.answerSlots[n].closeAfter
		n++
		select {
		case <-c.pipelinePermits:
		default: // the last answer took none
		}
	}
	if n == 0 {
		in.leaseClient(c)
		return
	}
	clear(c.answerSlots[:n])
	c.answerSlots = c.answerSlots[:copy(c.answerSlots, c.answerSlots[n:])]
	c.lastUsedAt = in.now
	if !c.writing {
		in.writePending(c)
	} else if !in.reserveOutput(c, len(c.pendingOutput)-bytes) || len(c.pendingOutput) > maxUnreadAnswerBytes {
		in.logFault("client dropped: it does not read its answers")
		in.handleDisconnect(c, closeSlowReader)
	}
}

// reserveOutput takes from the budget for what the client has not read.
func (in *Ingress) reserveOutput(c *clientConn, n int) bool {
	if !in.inputBudget.reserve(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// writePending writes what is pending: at once what the socket takes, the rest on a goroutine of its own, which
// ends with its deadline or the connection.
func (in *Ingress) writePending(c *clientConn) {
	in.inputBudget.release(c.reservedBytes)
	c.reservedBytes = 0
	n, err := writeNonBlocking(c.rawConn, c.pendingOutput)
	if err != nil {
		in.handleDisconnect(c, closeWriteFailed)
		return
	}
	rest := c.pendingOutput[n:]
	if len(rest) == 0 {
		if c.pendingOutput = c.pendingOutput[:0]; cap(c.pendingOutput) > 4*readBufferSize {
			c.pendingOutput = nil
		}
		in.afterAnswersWritten(c)
		return
	}
	if !in.reserveOutput(c, len(rest)) {
		in.logFault("client dropped: too many answers are unread")
		in.handleDisconnect(c, closeNoMemory)
		return
	}
	c.writing, c.pendingOutput = true, nil
	go func() {
		c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		_, err := c.conn.Write(rest)
		c.conn.SetWriteDeadline(time.Time{}) // else it would end a write that comes later
		in.post(in.clock.Now(), func() {
			c.writing = false
			switch {
			case c.closed:
			case err != nil:
				in.handleDisconnect(c, closeSlowReader)
			default:
				in.writePending(c)
			}
		})
	}()
}

// afterAnswersWritten ends a connection on which nothing more is owed, if it is to end.
func (in *Ingress) afterAnswersWritten(c *clientConn) {
	switch {
	case c.closing && !c.discardDone:
		c.conn.CloseWrite()
	case c.closing:
		in.closeClient(c, in.drainCloseReason())
	case c.readerStopped && len(c.answerSlots) == 0:
		in.releaseStoppedClient(c)
	case c.callReceived && in.drain.CloseAfterResponse(in.now) && c.fullyAnswered():
		in.closeGracefully(c, closeDrained)
	case in.closingClients && in.successor.stage == handoverNone && c.fullyAnswered(): // else what waits there is served before
		in.closeGracefully(c, closeShutdown)
	default:
		in.leaseClient(c)
	}
}

// stopReader has the connection's reader stop between two commands. What it has read and not used, and what waits in the
// socket, is left for whoever settles the connection.
func (c *clientConn) stopReader() {
	if c.readerStopRequested || c.closed {
		return
	}
	c.readerStopRequested = true
	close(c.stopReading)
	c.conn.SetReadDeadline(time.Unix(1, 0)) // the reader looks at stop after each deadline of its own
}

func (c *clientConn) stopReadingRequested() bool {
	select {
	case <-c.stopReading:
		return true
	default:
		return false
	}
}

// handleReaderStopped takes over the connection of a reader that has stopped.
func (in *Ingress) handleReaderStopped(c *clientConn) {
	if c.closed {
		c.input.release()
		return
	}
	if c.readerStopped = true; c.idle() {
		in.releaseStoppedClient(c)
	} // else once its answers are written
}

// releaseStoppedClient passes on or ends a parked connection on which nothing is open. Its client hears the end first, and what still comes is read and dropped for a
// while: a close over bytes that nobody has read would reset the connection, and might take the last answer with it.
func (in *Ingress) releaseStoppedClient(c *clientConn) {
	if c.transferring || in.transferClient(c) {
		return
	}
	if in.successor.stage != handoverActive && !c.closing { // nobody takes it over any more: what lies unread is owed an answer here
		in.restartReader(c)
		return
	}
	c.setCloseReason(in.drainCloseReason())
	c.closing, c.discardDone = true, true
	c.conn.CloseWrite()
	go func() {
		c.conn.SetReadDeadline(time.Now().Add(discardTimeout / 2))
		io.Copy(io.Discard, io.LimitReader(c.conn, maxDiscardBytes))
		in.post(in.clock.Now(), func() { in.closeClient(c, c.closeReason) })
	}()
}

// disconnected tells that the client has ended its side of the connection, whatever of its bytes nobody has read yet. Its reader does not read while
// the pipeline is full, once it was stopped, and while an error is its last answer.
func (c *clientConn) disconnected() bool { return c.closed || peerClosed(c.rawConn) }

// peerClosed is gone, of any goroutine.
func peerClosed(raw syscall.RawConn) (gone bool) {
	var one [1]byte
	cause := raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || n == 0:
			gone = true
		default: // bytes before the end
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			gone = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
		}
	})
	return gone || cause != nil
}

// waitedAndDisconnected tells that a request has waited and its client has gone meanwhile; nothing may be sent for it then. The module hears of it when
// its event method has returned.
func (in *Ingress) waitedAndDisconnected(r *request) bool {
	c := r.client
	if in.now-r.receivedAt < disconnectCheckAfterS || !c.disconnected() {
		return false
	}
	in.deferred = append(in.deferred, func() { in.handleDisconnect(c, closeByClient) })
	return true
}

// handleDisconnect takes a client's hang-up: nothing is owed for what it had asked.
func (in *Ingress) handleDisconnect(c *clientConn, reason closeReason) {
	if c.closed {
		return
	}
	slots := c.answerSlots
	in.closeClient(c, reason)
	for _, s := range slots {
		if s.request != nil && !s.request.completed {
			in.completeRequest(s.request)
			in.decider.HandleDisconnect(in.now, s.request.ID)
		}
	}
}

// setCloseReason notes why the connection is to end; the first reason stands.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.closeReason == closeUnset {
		c.closeReason = reason
	}
}

// drainCloseReason is the reason of an end that a drain or a shutdown brings.
func (in *Ingress) drainCloseReason() closeReason {
	if in.closingClients {
		return closeShutdown
	}
	return closeDrained
}

func (in *Ingress) closeClient(c *clientConn, reason closeReason) {
	if c.closed {
		return
	}
	c.setCloseReason(reason)
	in.counters.closed[c.closeReason]++
	in.checkClientClose(c)
	if c.lastCallAt > 0 { // else a front's PING, of which there are many
		in.logClientConn("connection closed", c, "reason", c.closeReason, "ended_by_us_first", c.closing)
	}
	c.closed = true
	in.inputBudget.release(c.reservedBytes)
	c.answerSlots, c.pendingOutput, c.reservedBytes = nil, nil, 0
	close(c.done)
	if c.readerStopped {
		c.input.release()
	}
	c.conn.Close()
	delete(in.clients.conns, c)
	<-in.clients.connPermits
}

// writeNonBlocking writes what the socket takes without waiting.
func writeNonBlocking(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	switch {
	case closed != nil:
		return 0, closed
	case err == syscall.EAGAIN:
		return 0, nil
	}
	return max(n, 0), err
}
