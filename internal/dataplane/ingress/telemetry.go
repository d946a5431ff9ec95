package ingress

import (
	"log/slog"
	"time"
)

// countsInterval is the interval at which counts of faults are logged, if there are new ones. The lines on single faults are limited in number,
// see logLimiter.
const countsInterval = 10 * time.Second

// closeReason says why this ingress closed a client's connection.
type closeReason uint8

const (
	closeUnset        closeReason = iota // not closed yet
	closeByClient                        // the client closed or reset it
	closeIdleTimeout                     // the connection was idle for too long
	closeDrained                         // operators drain the ingress, and no request was open on the connection
	closeShutdown                        // the process shuts down, and no request was open on the connection
	closeShutdownEnd                     // the shutdown expired
	closeBadInput                        // the client's input was invalid, incomplete for too long or beyond the input budget
	closeNoCapacity                      // closed to make room for another connection, or rejected for lack of room
	closeSlowReader                      // the client does not read its answers
	closeNoMemory                        // given to no connection; the status keeps its name
	closeWriteFailed                     // a write to the client failed
	closeValueFailed                     // a large value ended before it was complete
	closeHandedOver                      // the connection was transferred to the successor
	closeReasonsCount int         = iota
)

var closeReasonNames = [closeReasonsCount]string{
	"unset", "by_client", "idle_timeout", "drained", "shutdown", "shutdown_end", "bad_input", "no_capacity", "slow_reader", "no_memory",
	"write_failed", "value_failed", "handed_over",
}

func (r closeReason) String() string { return closeReasonNames[r] }

// rejectReason says why the ingress rejected a request without passing it to the decision module.
type rejectReason uint8

const (
	rejectNoCapacity   rejectReason = iota // too many client connections
	rejectNoMemory                         // the input budget is exhausted
	rejectOpenLimit                        // the settings' limit on open requests is reached
	rejectOpenID                           // a request with this ID is open, or may have run
	rejectDraining                         // a drain has lasted for 1.9 s or more, or a shutdown or hot restart has expired
	rejectReasonsCount int          = iota
)

var rejectReasonNames = [rejectReasonsCount]string{"no_capacity", "no_memory", "open_limit", "open_id", "draining"}

func (r rejectReason) String() string { return rejectReasonNames[r] }

// unsentReason says why an attempt that the decision module requested was not written to a backend.
type unsentReason uint8

const (
	unsentAttemptLimit       unsentReason = iota // the limit on attempts of a request is reached
	unsentBackendState                           // the backend drains, is removed, has moved or is unknown
	unsentRequestCompleted                       // the request has its final answer, or its client has disconnected
	unsentTooLate                                // the attempt's deadline or latest start has passed
	unsentClientDisconnected                     // the client was found to have disconnected
	unsentNoConnection                           // the limit on connections to backends is reached
	unsentReasonsCount       int          = iota
)

var unsentReasonNames = [unsentReasonsCount]string{"attempt_limit", "backend_state", "request_over", "too_late", "client_gone", "no_connection"}

func (r unsentReason) String() string { return unsentReasonNames[r] }

// ingressCounters counts the events that an ingress reports in its status. Loop only.
type ingressCounters struct {
	accepted    int // client connections
	requests    int // accepted requests
	attempts    int // requested by the decider
	retries     int // of these: second and later attempts of a request
	cutByDrain  int // requests ended late in a drain, because the answers of others waited behind theirs
	closed      [closeReasonsCount]int
	rejected    [rejectReasonsCount]int
	unsent      [unsentReasonsCount]int
	ended       [attemptEndsCount]int
	endedLogged int // sum of ended when it was last logged

	retired       [retireReasonsCount]int // connections to backends that were closed
	retiredLogged int                     // sum of retired, but for retireEnded, when it was last logged
}

// CounterStatus is the counters of an ingress on its status page. Reasons that never occurred are left out.
type CounterStatus struct {
	Accepted   int            `json:"accepted"`          // client connections
	Requests   int            `json:"taken"`             // requests that the ingress did not reject itself
	Attempts   int            `json:"attempts"`          // requested by the decision module
	Retries    int            `json:"retries"`           // of these: second and later attempts of a request
	CutByDrain int            `json:"cut,omitempty"`     // requests ended late in a drain, because the answers of others waited behind theirs
	Closed     map[string]int `json:"closed,omitempty"`  // client connections, by reason
	Rejected   map[string]int `json:"refused,omitempty"` // requests not passed to the decision module, by reason
	Unsent     map[string]int `json:"unsent,omitempty"`  // attempts not written to a backend, by reason
}

func (n *ingressCounters) status() CounterStatus {
	return CounterStatus{n.accepted, n.requests, n.attempts, n.retries, n.cutByDrain, countsByName(n.closed[:], closeReasonNames[:]),
		countsByName(n.rejected[:], rejectReasonNames[:]), countsByName(n.unsent[:], unsentReasonNames[:])}
}

// countsByName returns the counts above 0, by name.
func countsByName(counts []int, names []string) map[string]int {
	named := map[string]int{}
	for i, count := range counts {
		if count > 0 {
			named[names[i]] = count
		}
	}
	return named
}

// logCounts logs how many attempts have ended without a whole reply, and how many connections to backends were closed in doubt about their
// replies, since the start, by reason, if any has since the last call. Loop only.
func (in *Ingress) logCounts() {
	n := &in.counters
	n.endedLogged = in.logNewCounts("attempts ended without a whole reply, since the start", n.ended[:], attemptEndNames[:], n.endedLogged)
	n.retiredLogged = in.logNewCounts("connections to backends closed for their replies, since the start", n.retired[firstFault:],
		retireReasonNames[firstFault:], n.retiredLogged)
}

// suspectConns returns how many connections to backends were closed for their replies, by reason.
func (n *ingressCounters) suspectConns() map[string]int {
	return countsByName(n.retired[firstFault:], retireReasonNames[firstFault:])
}

// logNewCounts logs the counts above 0 by name, unless their sum is logged, and returns the sum.
func (in *Ingress) logNewCounts(message string, counts []int, names []string, logged int) (sum int) {
	var attrs []any
	for i, count := range counts {
		if sum += count; count > 0 {
			attrs = append(attrs, slog.Int(names[i], count))
		}
	}
	if sum > logged {
		in.log.Info(message, attrs...)
	}
	return sum
}
