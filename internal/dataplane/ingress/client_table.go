package ingress

import (
	"time"

	"eiderspread/internal/dataplane/admin"
	"eiderspread/internal/dataplane/ingressconfig"
)

const (
	clientIdleTimeoutS = 10.0               // for which a connection may stand idle
	acceptSlack        = 8                  // connections accepted that the loop has not come to
	reservedFDs        = 32                 // for the listener, discovery, peers, the slack and the runtime
	adminFDs           = admin.MaxConns + 8 // for operators' calls, the link to another process and files
)

// freeDescriptors is how many file descriptors there are for connections of clients and to backends.
func freeDescriptors(cfg ingressconfig.Config) int {
	if cfg.AdminAddr != "" {
		return cfg.MaxDescriptors - reservedFDs - adminFDs
	}
	return cfg.MaxDescriptors - reservedFDs
}

// clientTable bounds the connections of clients. Those on which something is open may be as many as descriptors allow; idle ones are kept up
// to a bound well below the third of the descriptors that clients have for requests: else many connections without requests could use up the
// descriptors, and connections with requests would not be accepted. Loop only, but for connPermits and commandTimeout.
type clientTable struct {
	conns           map[*clientConn]struct{}
	evictIdleFrom   int           // from so many connections on, idle ones are closed for new ones
	maxOpen         int           // from so many on, a new connection's calls are rejected
	maxOverCapacity int           // so many more are taken, to be rejected with an answer
	openElsewhere   int           // connections of this ingress that the predecessor still has; they count too
	connPermits     chan struct{} // one for each connection, taken before it is accepted

	commandTimeout time.Duration // for the first command of a connection, and for a whole one; never changes
}

func (t *clientTable) init(descriptors int) {
	t.conns = map[*clientConn]struct{}{}
	t.maxOpen = max(8, descriptors/2)
	t.evictIdleFrom = max(8, descriptors/4)
	t.maxOverCapacity = max(2, descriptors/8)
	t.commandTimeout = commandTimeout
	t.connPermits = make(chan struct{}, t.maxOpen+t.maxOverCapacity+acceptSlack)
}

func (t *clientTable) open() int { return len(t.conns) }

// addClient takes a new connection into the table. One beyond all bounds is rejected unread, but with an answer.
func (in *Ingress) addClient(c *clientConn) {
	c.lastUsedAt, c.acceptedAt = in.now, in.now
	in.counters.accepted++
	c.overCapacity = in.clients.atCapacity(in, c)
	in.clients.conns[c] = struct{}{}
	if c.overCapacity && in.clients.open()+in.clients.openElsewhere > in.clients.maxOpen+in.clients.maxOverCapacity {
		in.logFault("client rejected: too many connections", "open", in.clients.open())
		in.counters.rejected[rejectNoCapacity]++
		c.setCloseReason(closeNoCapacity)
		in.answerImmediately(c, in.busyReply(in.cfg.Settings.MaxRetryAfterS), true)
	}
}

// sweep closes what has idled for long, so that clients that keep a connection for good hold none of the memory either. A connection that has
// never sent a command is its reader's to answer.
func (t *clientTable) sweep(in *Ingress) {
	for c := range t.conns {
		if c.state == connClosing && c.idle() && in.now-c.lastUsedAt > discardTimeout.Seconds() {
			in.closeClient(c, closeIdleTimeout)
		} else if c.commandReceived && c.quiescent() && in.now-c.lastUsedAt > clientIdleTimeoutS && c.silent() {
			in.closeGracefully(c, closeIdleTimeout)
		}
	}
}

// closeIdle ends each connection that waits for no answer, but for those whose first command is on its way.
func (t *clientTable) closeIdle(in *Ingress) {
	for c := range t.conns {
		if c.fullyAnswered() && c.reader != readerTransferring && !c.recentlyOpened(in) {
			in.closeGracefully(c, closeShutdown)
		}
	}
}

// atCapacity reports whether more connections are open, the newcomer aside, than may be served, after idle ones were closed for it.
func (t *clientTable) atCapacity(in *Ingress, newcomer *clientConn) bool {
	var excluded map[*clientConn]bool // commands wait on them that their readers have not come to
	for {
		others := len(t.conns) + t.openElsewhere
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
		if candidate.state != connClosing && (!candidate.silent() || !in.halfCloseIfSilent(candidate)) {
			if excluded == nil {
				excluded = map[*clientConn]bool{}
			}
			excluded[candidate] = true
			continue
		}
		in.closeClient(candidate, closeNoCapacity)
	}
}

// evictionCandidate is the connection to close first for another one: of the lowest rank, and of these unused for longest. It is nil if there
// is none.
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

// evictionRank orders the connections that may be closed for others, lowest first: those that were sent their last answer, those that have
// sent nothing, those that have sent nothing but PING, the other idle ones.
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
