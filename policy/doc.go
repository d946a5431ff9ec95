// Package policy is the decision logic of one gateway. It admits, queues, sends, retries and rejects
// requests, so that every account stays within the quota of its plan across all gateways, and no backend
// receives more than it can serve.
//
// # Use
//
// New returns a Gateway. Its caller (an ingress, a planner or the simulation) reports one event at a time
// through the Handle and Update methods, and carries out the decisions that the Gateway passes to Actions.
// A Gateway has no clock, no source of randomness and no connections of its own: the caller passes the time
// (Unix seconds, never decreasing) and a seed, so that the same events produce the same actions. A Gateway is
// not safe for concurrent use.
//
// Attempt.LatestStart returns the latest time at which an attempt may be written to a backend, and the rule
// that forbids a later write. The process that writes the attempt checks it directly before the write. Drain
// is the schedule by which a drained ingress rejects requests and closes client connections. Both are
// independent of Gateway.
//
// # Design
//
// Each account hashes to one owner among its gateways. The owner keeps the only count against the whole
// quota, in a ledger. The other gateways are the account's members. A member reports the units that it
// admitted in batches, and admits requests from its share of the units that the owner last reported as
// available. If that share does not decide a request, the member requests units from the owner. While the
// owner does not reply, the member admits requests from a local window. Under a limit on concurrent attempts
// the owner leases slots to members. Under a hard limit each gateway has a local bucket, and the primary
// owner, the first of the account's gateways on the ring, has a shared bucket.
//
// Each file covers one concern:
//
//	gateway.go              state of a gateway, constructor, timer, classes
//	request.go              phases of a request, its arrival, queue and final answer
//	client_retry.go         detection of client retries
//	admission.go            admission of a new request
//	account.go              state of an account, its owner on the ring, eviction
//	quota_owner.go          ledger, member reports, grants
//	quota_member.go         reports, quota requests, owner replies, local window
//	concurrency_limit.go    slot leases of accounts with a limit on concurrent attempts
//	hard_limit.go           buckets of accounts with a hard rate limit
//	peer_messages.go        messages and gossip between gateways
//	backend.go              endpoint list, load reports, probes
//	selection.go            selection of a backend
//	slow_start.go           budget of a backend in slow start
//	retry.go                attempts, retries, hedging, outcomes
//	outlier_detection.go    error scores, ejection, unresponsive backends
//	adaptive_limit.go       limit on attempts in flight at all backends
//	attempt_guard.go        latest start of an attempt, checked directly before the write
//	drain.go                schedule of a drained ingress
//	snapshot.go             state transferred to a successor process
//	decision_trace.go       trace of decisions and their reasons
package policy
