package ingress

// closeReason says why this ingress closed a client's connection.
type closeReason uint8

const (
	closeUnset        closeReason = iota // not closed yet
	closeByClient                        // the client closed or reset it
	closeIdleTimeout                     // it was idle for too long
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

// rejectReason says why the ingress rejected a request that the decision module never had.
type rejectReason uint8

const (
	rejectNoCapacity   rejectReason = iota // too many client connections
	rejectNoMemory                         // too much input waits
	rejectOpenLimit                        // as many requests are open as the settings allow
	rejectOpenID                           // a request of this id is open
	rejectDraining                         // 1.9 s or more into a drain, or the time of a shutdown or hot restart is over
	rejectReasonsCount int          = iota
)

var rejectReasonNames = [rejectReasonsCount]string{"no_capacity", "no_memory", "open_limit", "open_id", "draining"}

func (r rejectReason) String() string { return rejectReasonNames[r] }

// unsentReason says why an attempt that the module asked for was not written to a backend.
type unsentReason uint8

const (
	unsentAttemptLimit       unsentReason = iota // as many attempts were made as are allowed
	unsentBackendState                           // the backend drains, is removed or has moved
	unsentRequestCompleted                       // the request has its final answer
	unsentTooLate                                // its time is over
	unsentClientDisconnected                     // its client has disconnected
	unsentNoConnection                           // no connection to the backend may be made
	unsentReasonsCount       int          = iota
)

var unsentReasonNames = [unsentReasonsCount]string{"attempt_limit", "backend_state", "request_over", "too_late", "client_gone", "no_connection"}

func (r unsentReason) String() string { return unsentReasonNames[r] }

// ingressCounters are what an ingress counts of its own acts. Loop only.
type ingressCounters struct {
	accepted   int // connections of clients
	requests   int // that were accepted
	attempts   int // that the decider asked for
	retries    int // of these: a request's second and later ones
	cutByDrain int // requests that were ended at the end of a drain, for others that waited behind them
	closed     [closeReasonsCount]int
	rejected   [rejectReasonsCount]int
	unsent     [unsentReasonsCount]int
}

// CounterStatus is what an ingress counts, for people: each reason by its name, those that never occurred left out.
type CounterStatus struct {
	Accepted   int            `json:"accepted"`          // connections of clients
	Requests   int            `json:"taken"`             // that the ingress did not reject itself
	Attempts   int            `json:"attempts"`          // that the decision module asked for
	Retries    int            `json:"retries"`           // of these: a request's second and later ones
	CutByDrain int            `json:"cut,omitempty"`     // requests that were ended at the end of a drain, for others that waited behind them
	Closed     map[string]int `json:"closed,omitempty"`  // connections of clients, by reason
	Rejected   map[string]int `json:"refused,omitempty"` // requests that the decision module never had, by reason
	Unsent     map[string]int `json:"unsent,omitempty"`  // attempts that were not written, by reason
}

func (n *ingressCounters) status() CounterStatus {
	return CounterStatus{n.accepted, n.requests, n.attempts, n.retries, n.cutByDrain, countsByName(n.closed[:], closeReasonNames[:]),
		countsByName(n.rejected[:], rejectReasonNames[:]), countsByName(n.unsent[:], unsentReasonNames[:])}
}

// countsByName names the counts that are above 0.
func countsByName(counts []int, names []string) map[string]int {
	named := map[string]int{}
	for i, count := range counts {
		if count > 0 {
			named[names[i]] = count
		}
	}
	return named
}
