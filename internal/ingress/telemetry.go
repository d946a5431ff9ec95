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

// refuseReason says why the ingress refused a request before the decision module had it.
type refuseReason uint8

const (
	refuseNoCapacity   refuseReason = iota // too many client connections
	refuseNoMemory                         // too much input waits
	refuseOpenLimit                        // as many requests are open as the settings allow
	refuseOpenID                           // a request of this id is open
	refuseDraining                         // the ingress is being drained and this connection has to end
	refuseReasonsCount int          = iota
)

var refuseReasonNames = [refuseReasonsCount]string{"no_capacity", "no_memory", "open_limit", "open_id", "draining"}

func (r refuseReason) String() string { return refuseReasonNames[r] }

// unsentReason says why an attempt that the module asked for was not written to a backend.
type unsentReason uint8

const (
	unsentAttemptLimit unsentReason = iota // as many attempts were made as are allowed
	unsentBackendState                     // the backend drains, is gone or has moved
	unsentRequestOver                      // the request has its final answer
	unsentTooLate                          // its time is over
	unsentClientGone                       // its client has left
	unsentNoConnection                     // no connection to the backend may be made
	unsentReasonsCount int          = iota
)

var unsentReasonNames = [unsentReasonsCount]string{"attempt_limit", "backend_state", "request_over", "too_late", "client_gone", "no_connection"}

func (r unsentReason) String() string { return unsentReasonNames[r] }

// counters are what an ingress counts of its own acts. Loop only.
type counters struct {
	accepted int
	taken    int // requests
	attempts int // that were asked for
	retries  int // of these: further ones of a request
	cut      int // requests that were ended at the end of a drain, for others that waited behind them
	closed   [closeReasonsCount]int
	refused  [refuseReasonsCount]int
	unsent   [unsentReasonsCount]int
}

// CounterStatus is counters for people: each reason by its name, those that never occurred left out.
type CounterStatus struct {
	Accepted int            `json:"accepted"`          // connections of clients
	Taken    int            `json:"taken"`             // requests
	Attempts int            `json:"attempts"`          // that the decision module asked for
	Retries  int            `json:"retries"`           // of these: further ones of a request
	Cut      int            `json:"cut,omitempty"`     // requests that were ended at the end of a drain, for others that waited behind them
	Closed   map[string]int `json:"closed,omitempty"`  // connections of clients, by reason
	Refused  map[string]int `json:"refused,omitempty"` // requests that the decision module never had, by reason
	Unsent   map[string]int `json:"unsent,omitempty"`  // attempts that were not written, by reason
}

func (n *counters) status() CounterStatus {
	return CounterStatus{n.accepted, n.taken, n.attempts, n.retries, n.cut, byName(n.closed[:], closeReasonNames[:]),
		byName(n.refused[:], refuseReasonNames[:]), byName(n.unsent[:], unsentReasonNames[:])}
}

func byName(counts []int, names []string) map[string]int {
	named := map[string]int{}
	for i, count := range counts {
		if count > 0 {
			named[names[i]] = count
		}
	}
	return named
}

// connectionIDs numbers the connections of clients within this process.
var connectionIDs atomic.Uint64

// drainLogLines bounds the lines of one drain or shutdown on single connections.
const drainLogLines = 60

// draining tells that clients are being sent away, by operators or as the process ends.
func (in *Ingress) draining() bool { return in.drain.On() || in.leaving }

// logConnection writes a line on one connection while the ingress drains, at most drainLogLines a drain.
func (in *Ingress) logConnection(event string, c *client, more ...any) {
	if !in.draining() || in.drainLines >= drainLogLines {
		return
	}
	in.drainLines++
	fields := []any{"conn", c.id, "age", seconds(in.now - c.acceptedAt), "requests", c.requestCount, "open", len(c.slots)}
	if c.askedAt > 0 {
		fields = append(fields, "last_asked_ago", seconds(in.now-c.askedAt))
	}
	in.log.Info(event, append(fields, more...)...)
}

// logRemaining writes a line on each connection that is still open at the end of the time for a drain, and why it is.
func (in *Ingress) logRemaining() {
	in.log.Warn("drain time is over", "connections", in.clients.open(), "requests", len(in.requests), "looks", in.drain.looks,
		"longest_gap", seconds(in.drain.longestGap), "pings", in.drain.pings, "pings_behind_answers", in.drain.pingsBehind)
	for c := range in.clients.all {
		in.logConnection("connection outlived the drain", c, "reader_stopped", c.halted, "parked", c.parked, "ending", c.ending,
			"writing", c.writing, "unread_bytes", unreadBytes(c))
	}
}

// unreadBytes is how much the kernel holds of what the client sent; -1 if it can't be told.
func unreadBytes(c *client) int {
	unread := -1
	c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// seconds rounds a span to milliseconds, for the log.
func seconds(span float64) float64 { return float64(int(span*1000+0.5)) / 1000 }
