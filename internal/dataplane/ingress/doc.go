// Package ingress runs a gateway on real sockets: it carries out the actions of the decision module and reports their outcomes to it. It
// makes no decisions about quotas, backends or retries.
//
// # Goroutines
//
// One goroutine, the event loop, owns the Ingress, its decider and all state that is not documented to belong to another goroutine. Each
// connection has one reader goroutine (readLoop). It blocks in reads and posts complete messages to the loop as events, with the arrival
// time of the last byte. The loop writes without blocking. If a socket does not accept all bytes at once, a separate goroutine writes the
// rest, and nothing else writes to that connection until it has finished. A large value is written to its client by the reader goroutine
// of the backend's connection, once the loop allows it. The comments on fields name their owner; "of any goroutine" means atomic or
// immutable.
//
// # Times
//
// Times are float64 Unix seconds of the ingress's clock, which never goes backward. Names of durations in seconds end in S.
//
// # Files
//
//	ingress.go, event_loop.go, timers.go   the Ingress and its loop
//	decider.go                             the interfaces between the loop and the decision module
//	accept.go, client_*.go                 client connections: accepting, reading, writing, closing, limits
//	ran_requests.go                        the ids of requests that must not run again
//	request.go, attempt*.go, send_guard.go a request, its attempts, and the rules checked at writes and closes
//	backend_*.go, duplicate_filter.go      the pool of backend connections, and the detection of duplicate replies
//	large_value*.go                        large values, which are streamed
//	drain.go, drain_log.go, shutdown.go    drain by operators; shutdown on SIGTERM
//	reload.go                              classes and attempts of a reloaded configuration
//	hot_restart*.go, decider_migration.go  hand-over from the old process to the new one
//	answer_transfer.go                     answers that move to the new process, as their clients have not read them
//	client_delivery.go                     what clients have not received when their connections are closed
//	discovery.go, cordon.go, admin.go      the endpoint list and configuration reloads, cordons, operators' calls
//	peers.go                               datagrams to and from the other ingresses
//	status.go, telemetry.go, tracing.go    the status page, counters by reason, traces of decisions
//	deadlines.go, stall_detector.go        socket deadlines, and clients that do not read
//	await_space.go                         readers that wait for memory
package ingress
