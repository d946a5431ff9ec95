// Package ingress carries out on real sockets what the decision module asks for, and reports to it what came of it. It decides nothing about
// quotas, backends or retries.
//
// # Goroutines
//
// One goroutine, the event loop, owns the Ingress, its decider and all state that is not documented to belong to another goroutine. There is
// one reader per connection (readLoop); it blocks in reads and posts what it read to the loop as an event, with the time at which the last
// byte came. Writes are tried on the loop without blocking; what a socket does not take at once goes to a goroutine of its own, and nothing
// else writes to that connection until it is done. Fields say who owns them; "of any goroutine" means atomic or immutable.
//
// # Times
//
// Times are float64 Unix seconds of the ingress's clock, which never goes back; names of durations in seconds end in S.
//
// # Files
//
//	ingress.go, event_loop.go, timers.go   the Ingress and its loop
//	decider.go                             what the loop and the decision module ask of each other
//	accept.go, client_*.go                 connections of clients: accepting, reading, writing, closing, limits
//	request.go, attempt.go, send_guard.go  a request, its attempts, and the check right before each write to a backend
//	backend_*.go, duplicate_filter.go      the pool of connections to backends
//	large_value*.go                        values that are streamed
//	drain.go, drain_log.go, shutdown.go    a drain by operators, SIGTERM; reload.go: SIGHUP
//	hot_restart*.go, decider_migration.go  handing over to another process
//	discovery.go, cordon.go, admin.go      the endpoint list and what operators change of it
//	peers.go                               datagrams to and from the other ingresses
//	status.go, telemetry.go, tracing.go    what is reported: the status page, counters by reason, traces of decisions
//	deadlines.go                           deadlines of sockets
package ingress
