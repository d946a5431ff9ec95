// Package policy is the decision coordinator of one gateway. It admits, queues, sends, retries and rejects
// requests, so that every account keeps to the quota of its plan over all gateways and backends get no more
// than they can serve.
//
// # Use
//
// New returns a Gateway. Its caller (an ingress, a planner or the simulation) reports events through the
// Handle and Update methods, one at a time, and carries out what the Gateway asks for through Actions. A
// Gateway has no clock, no source of randomness and no connection of its own: the time (Unix seconds, never
// decreasing) and the seed are arguments, so that the same events give the same actions. A Gateway is not
// safe for concurrent use.
//
// Attempt.LatestStart states what must still hold when an attempt is written to a backend; whoever writes
// checks it again. Drain is the schedule by which an ingress sends its clients away for an operator. Both
// stand apart from Gateway.
//
// # Design
//
// Each account hashes to one owner among its gateways. The owner keeps the only count (a ledger) against the
// whole quota. The other gateways, its members, report what they admitted in batches, admit from their share
// of what the owner last reported, request units where that share does not decide, and fall back to a local
// window while the owner is silent. Under a limit on concurrent attempts the owner leases slots; under a hard
// limit each gateway has a local bucket, and the first gateway on the account's ring a shared one.
//
// One file holds one concern:
//
//	gateway.go              state of a gateway, constructor, timer, classes
//	request.go              states of a request, its arrival, queue and final answer
//	client_retry.go         recognizing a client's own retries
//	admission.go            quota verdict on a new request
//	account.go              state of an account, its owner on the ring, eviction
//	quota_owner.go          ledger, member reports, grants
//	quota_member.go         reports, quota requests, owner replies, local window
//	concurrency_limit.go    slots of accounts with a limit on concurrent attempts
//	hard_limit.go           buckets of accounts with a hard rate limit
//	peer_messages.go        messages and gossip between gateways
//	backend.go              list of backends, load reports, probes
//	selection.go            choice of a backend
//	slow_start.go           budget of a backend that has just started
//	retry.go                attempts, retries, hedging, outcomes
//	outlier_detection.go    error scores, ejection, unresponsive backends
//	adaptive_limit.go       limit on attempts in flight at all backends
//	attempt_guard.go        check directly before an attempt is written
//	drain.go                schedule of a drained ingress
//	snapshot.go             state handed to a successor process
//	decision_trace.go       records of decisions and their reasons
package policy
