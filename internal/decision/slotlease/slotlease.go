// Package slotlease leases the concurrency slots of an account whose plan caps its attempts in flight. A slot
// is the right to have one attempt in flight for a limited time. The account's owner is the lessor: it keeps a
// Table of the slots leased to members and a queue of the members that wait for a slot. Each member keeps its
// MemberLeases. A slot becomes free when a report returns it or when its lease expires, so that neither a lost
// report nor a dead member occupies it forever. A member whose attempt outlasts the lease renews the lease.
//
// Messages carry durations, never times of day, because the gateways' clocks differ. The package does no I/O;
// times are in seconds of the caller's clock.
package slotlease

import "math"

const (
	// GraceS is how much longer than the lease the lessor counts a slot as taken, in seconds. It covers the time
	// that the grant needs to reach the member.
	GraceS = 0.08
	// RenewBeforeS is how long before a lease expires the member renews it if its attempt is still in flight, in
	// seconds.
	RenewBeforeS = 0.1
	// ReportLeaseS is the lease of slots that a member reports as in use and of slots that are granted without a
	// request, in seconds.
	ReportLeaseS = 0.5
	// MaxLeaseS is the longest lease, in seconds.
	MaxLeaseS = 12.0
)

// LeaseS returns the lease for one attempt in seconds, given the mean latency and its mean deviation. Most
// attempts end within it. A longer lease saves renewals, but a slot stays unused for longer when the report of
// its attempt's end is lost.
func LeaseS(meanLatencyS, meanDeviationS float64) float64 {
	return min(meanLatencyS+meanDeviationS/2+RenewBeforeS, MaxLeaseS)
}

// PrefetchCount returns how many of the free slots a member is granted before it requests any. Half of the free
// slots are divided among the members in proportion to demand and rounded down, so that the shares of all
// members fit into that half. The other half is left to requests. demand is the member's and totalDemand that of
// all gateways, in units per second.
func PrefetchCount(free int, demand, totalDemand float64) int {
	if free < 2 || totalDemand <= 0 || demand <= 0 {
		return 0
	}
	return int(math.Floor(float64(free) / 2 * min(demand/totalDemand, 1)))
}
