package ingress

import (
	"time"

	"golang.org/x/time/rate"

	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/dataplane/ingressconfig"
	"eiderspread/internal/dataplane/sockets"
)

const (
	clientIdleTimeoutS = 10.0               // seconds after which an idle connection is closed
	acceptSlack        = 8                  // accepted connections that the loop may not have handled yet
	reservedFDs        = 32                 // file descriptors for the listener, discovery, peers, acceptSlack and the runtime
	adminFDs           = admin.MaxConns + 8 // file descriptors for operators' calls, the link to another process and files
)

// freeDescriptors returns the number of file descriptors available for client and backend connections.
func freeDescriptors(cfg ingressconfig.Config) int {
	if cfg.AdminAddr != "" {
		return cfg.MaxDescriptors - reservedFDs - adminFDs
	}
	return cfg.MaxDescriptors - reservedFDs
}

// clientTable limits the client connections. There may be as many connections with open commands as the descriptors allow. The limit on idle
// ones lies well below the third of the descriptors that clients have for requests: otherwise many connections without requests could use
// up the descriptors, and connections with requests would not be accepted. Loop only, except for connPermits,
// sharedLimiter and commandTimeout.
type clientTable struct {
	conns            map[*clientConn]struct{}
	evictIdleFrom    int           // from this many connections on, idle ones are closed for new ones
	maxOpen          int           // from this many connections on, the calls of a new one are rejected
	maxOverCapacity  int           // connections accepted beyond maxOpen, so that their calls are rejected with an answer
	predecessorConns int           // connections of this ingress that the predecessor still holds; they count toward the limits
	connPermits      chan struct{} // one for each connection, acquired before it is accepted

	sharedLimiter  *rate.Limiter // of commands beyond the clients' own rates; any goroutine may use it
	commandTimeout time.Duration // for the first command of a connection, and for each incomplete one; never changes
}

func (t *clientTable) init(descriptors int) {
	t.conns = map[*clientConn]struct{}{}
	t.maxOpen = max(8, descriptors/2)
	t.evictIdleFrom = max(8, descriptors/4)
	t.maxOverCapacity = max(2, descriptors/8)
	t.commandTimeout = commandTimeout
	t.sharedLimiter = newSharedLimiter()
	t.connPermits = make(chan struct{}, t.maxOpen+t.maxOverCapacity+acceptSlack)
}

func (t *clientTable) open() int { return len(t.conns) }

// full reports whether no further connection can be accepted.
func (t *clientTable) full() bool { return len(t.connPermits) == cap(t.connPermits) }

// inTransfer returns the number of connections that are queued for a successor, or sent to it and not confirmed yet.
func (t *clientTable) inTransfer() (n int) {
	for c := range t.conns {
		if c.reader == readerTransferring {
			n++
		}
	}
	return n
}

// addClient adds a new connection to the table. A connection beyond all limits gets a rejection as its only answer, whatever it sends.
func (in *Ingress) addClient(c *clientConn) {
	c.lastUsedAt, c.acceptedAt = in.now, in.now
	in.counters.accepted++
	c.overCapacity = in.clients.atCapacity(in, c)
	in.clients.conns[c] = struct{}{}
	if c.overCapacity && in.clients.open()+in.clients.predecessorConns > in.clients.maxOpen+in.clients.maxOverCapacity {
		in.logFault("client rejected: too many connections", "open", in.clients.open())
		in.counters.rejected[rejectNoCapacity]++
		c.setCloseReason(closeNoCapacity)
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), true)
	}
}

// sweep closes connections that have been idle for too long, so that clients that never close their connections do not hold memory. A
// connection that has never sent a command is left to its reader, which answers it when commandTimeout is over.
func (t *clientTable) sweep(in *Ingress) {
	for c := range t.conns {
		if c.state == connClosing && c.idle() && in.now-c.lastUsedAt > discardTimeout.Seconds() && (c.delivered() || in.idleTooLong(c)) {
			in.closeClient(c, closeIdleTimeout)
		} else if c.commandReceived && c.quiescent() && in.idleTooLong(c) && c.silent() {
			in.closeGracefully(c, closeIdleTimeout)
		}
	}
}

// idleTooLong reports whether nothing was open on a connection for clientIdleTimeoutS, and its client has not read either. A client that reads
// slowly may need that long for answers that the kernel holds: if it sent a command after the close, the reset would destroy them.
func (in *Ingress) idleTooLong(c *clientConn) bool {
	idleS := in.now - max(c.lastUsedAt, c.lastReadAt)
	if idleS <= clientIdleTimeoutS/2 {
		return false
	}
	before := c.unackedBytes
	if c.unackedBytes = sockets.UnackedBytes(c.rawConn); c.unackedBytes >= 0 && c.unackedBytes < before {
		c.lastReadAt = in.now
		return false
	}
	return idleS > clientIdleTimeoutS
}

// closeIdle closes each fully answered connection, except those that are being transferred, whose first command may be in transit, or whose
// client lags behind its answers: what it sends meanwhile is rejected.
func (t *clientTable) closeIdle(in *Ingress) {
	for c := range t.conns {
		if c.fullyAnswered() && !c.lagging && c.reader != readerTransferring && !c.recentlyOpened(in) {
			in.closeGracefully(c, closeShutdown)
		}
	}
}

// atCapacity closes idle connections while evictIdleFrom or more are open besides newcomer, and reports whether maxOpen or more are left
// then.
func (t *clientTable) atCapacity(in *Ingress, newcomer *clientConn) bool {
	var excluded map[*clientConn]bool // candidates whose clients have not received everything, or whose readers have input to process
	for {
		others := len(t.conns) + t.predecessorConns
		if _, counted := t.conns[newcomer]; counted {
			others--
		}
		if others < t.evictIdleFrom {
			return false
		}
		candidate := t.evictionCandidate(in, newcomer, excluded)
		if candidate == nil {
			return others >= t.maxOpen
		}
		if !candidate.delivered() || candidate.state != connClosing && (!candidate.inputProcessed() || !in.halfCloseIfSilent(candidate)) {
			if excluded == nil {
				excluded = map[*clientConn]bool{}
			}
			excluded[candidate] = true
			continue
		}
		in.closeClient(candidate, closeNoCapacity)
	}
}

// evictionCandidate returns the connection to close first for another one: among those of the lowest evictionRank the one unused for
// longest; nil if there is none.
func (t *clientTable) evictionCandidate(in *Ingress, newcomer *clientConn, excluded map[*clientConn]bool) (candidate *clientConn) {
	for c := range t.conns {
		if c == newcomer || !c.quiescent() || c.recentlyOpened(in) || excluded[c] {
			continue
		}
		if candidate == nil || c.evictionRank() < candidate.evictionRank() ||
			c.evictionRank() == candidate.evictionRank() && c.lastUsedAt < candidate.lastUsedAt {
			candidate = c
		}
	}
	return candidate
}

// evictionRank orders the connections that may be closed for others, lowest first: those with their last answer sent, those that have sent
// nothing, those that have sent nothing but PING, the other idle ones.
func (c *clientConn) evictionRank() int {
	switch {
	case c.state == connClosing:
		return 0
	case !c.commandReceived:
		return 1
	case !c.callReceived:
		return 2
	}
	return 3
}
