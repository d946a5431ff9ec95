package ingress

import (
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// closeReason says why this ingress closed a client's connection.
type closeReason uint8

const (
	closeUnset        closeReason = iota // not closed yet
	closeByClient                        // the client closed or reset it
	closeIdleTimeout                     // it stood idle for too long
	closeDrained                         // operators drain the ingress and nothing was open on it
	closeShutdown                        // the process ends and nothing was open on it
	closeShutdownEnd                     // the time for the shutdown was over
	closeBadInput                        // what the client sent can't be read, or did not come in time
	closeNoCapacity                      // to make room for another connection, or for want of room
	closeSlowReader                      // the client does not read its answers
	closeNoMemory                        // no memory for what the client sent or does not read
	closeWriteFailed                     // a write to the client failed
	closeValueFailed                     // a large value broke off
	closeHandedOver                      // another process has it now
	closeReasonsCount int         = iota
)

var closeReasonNames = [closeReasonsCount]string{
	"unset", "by_client", "idle_timeout", "drained", "shutdown", "shutdown_end", "bad_input", "no_capacity", "slow_reader", "no_memory",
	"write_failed", "value_failed", "handed_over",
}

func (r closeReason) String() string { return closeReasonNames[r] }

// rejectReason says why the ingress refused a request before the decision module had it.
type rejectReason uint8

const (
	rejectNoCapacity   rejectReason = iota // too many client connections
	rejectNoMemory                         // too much input waits
	rejectOpenLimit                        // as many requests are open as the settings allow
	rejectOpenID                           // a request of this id is open
	rejectDraining                         // the ingress is being drained and this connection has to end
	rejectReasonsCount int          = iota
)

var rejectReasonNames = [rejectReasonsCount]string{"no_capacity", "no_memory", "open_limit", "open_id", "draining"}

func (r rejectReason) String() string { return rejectReasonNames[r] }

// unsentReason says why an attempt that the module asked for was not written to a backend.
type unsentReason uint8

const (
	unsentAttemptLimit       unsentReason = iota // as many attempts were made as are allowed
	unsentBackendState                           // the backend drains, is gone or has moved
	unsentRequestCompleted                       // the request has its final answer
	unsentTooLate                                // its time is over
	unsentClientDisconnected                     // its client has left
	unsentNoConnection                           // no connection to the backend may be made
	unsentReasonsCount       int          = iota
)

var unsentReasonNames = [unsentReasonsCount]string{"attempt_limit", "backend_state", "request_over", "too_late", "client_gone", "no_connection"}

func (r unsentReason) String() string { return unsentReasonNames[r] }

// ingressCounters are what an ingress counts of its own acts. Loop only.
type ingressCounters struct {
	accepted   int
	requests   int // requests
	attempts   int // that were asked for
	retries    int // of these: further ones of a request
	cutByDrain int // requests that were ended at the end of a drain, for others that waited behind them
	closed     [closeReasonsCount]int
	rejected   [rejectReasonsCount]int
	unsent     [unsentReasonsCount]int
}

// CounterStatus is counters for people: each reason by its name, those that never occurred left out.
type CounterStatus struct {
	Accepted   int            `json:"accepted"`          // connections of clients
	Requests   int            `json:"taken"`             // requests
	Attempts   int            `json:"attempts"`          // that the decision module asked for
	Retries    int            `json:"retries"`           // of these: further ones of a request
	CutByDrain int            `json:"cut,omitempty"`     // requests that were ended at the end of a drain, for others that waited behind them
	Closed     map[string]int `json:"closed,omitempty"`  // connections of clients, by reason
	Rejected   map[string]int `json:"refused,omitempty"` // requests that the decision module never had, by reason
	Unsent     map[string]int `json:"unsent,omitempty"`  // attempts that were not written, by reason
}

func (n *ingressCounters) status() CounterStatus {
	return CounterStatus{n.accepted, n.requests, n.attempts, n.retries, n.cutByDrain, countsByName(n.closed[:], closeReasonNames[:]),
		countsByName(n.rejected[:], rejectReasonNames[:]), countsByName(n.unsent[:], unsentReasonNames[:])}
}

func countsByName(counts []int, names []string) map[string]int {
	named := map[string]int{}
	for i, count := range counts {
		if count > 0 {
			named[names[i]] = count
		}
	}
	return named
}

// lastClientConnID numbers the connections of clients within this process.
var lastClientConnID atomic.Uint64

// maxDrainLogLines bounds the lines of one drain or shutdown on single connections.
const maxDrainLogLines = 60

// draining tells that clients are being sent away, by operators or as the process ends.
func (in *Ingress) draining() bool { return in.drain.Active() || in.closingClients }

// logClientConn writes a line on one connection while the ingress drains, at most maxDrainLogLines a drain.
func (in *Ingress) logClientConn(event string, c *clientConn, more ...any) {
	if !in.draining() || in.drainLogLines >= maxDrainLogLines {
		return
	}
	in.drainLogLines++
	fields := []any{"conn", c.connID, "age", roundToMillis(in.now - c.acceptedAt), "requests", c.requestCount, "open", len(c.answerSlots)}
	if c.lastCallAt > 0 {
		fields = append(fields, "last_asked_ago", roundToMillis(in.now-c.lastCallAt))
	}
	in.log.Info(event, append(fields, more...)...)
}

// logOpenConns writes a line on each connection that is still open at the end of the time for a drain, and why it is.
func (in *Ingress) logOpenConns() {
	in.log.Warn("drain time is over", "connections", in.clients.open(), "requests", len(in.requests), "looks", in.drain.sweeps,
		"longest_gap", roundToMillis(in.drain.longestSweepGap), "pings", in.drain.rejectedPings, "pings_behind_answers", in.drain.rejectedPingsQueued)
	for c := range in.clients.conns {
		in.logClientConn("connection outlived the drain", c, "reader_stopped", c.readerStopRequested, "parked", c.readerStopped, "ending", c.closing,
			"writing", c.writing, "unread_bytes", unreadBytes(c))
	}
}

// unreadBytes is how much the kernel holds of what the client sent; -1 if it can't be told.
func unreadBytes(c *clientConn) int {
	unread := -1
	c.rawConn.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// roundToMillis rounds a span to milliseconds, for the log.
func roundToMillis(span float64) float64 { return float64(int(span*1000+0.5)) / 1000 }
