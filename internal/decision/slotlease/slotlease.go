// Package slotlease leases the concurrency slots of an account whose attempts in flight are capped. A
// slot is the right to have one attempt in flight for a time. The account's owner is the lessor: it keeps
// a Table of the slots leased to members and a queue of members that wait for one; a member keeps its
// MemberLeases. A slot is returned by a report, or by its lease's end, so that neither a lost report nor
// a dead member keeps it; a member with a longer attempt renews.
//
// Only lengths of time are sent, never times of day, as clocks differ. The package does no I/O; times are
// seconds of the caller's clock.
package slotlease

import "math"

const (
	// GraceS is for how much longer than leased the lessor counts a slot as taken, in seconds: the time
	// that the grant needs to reach the member.
	GraceS = 0.08
	// RenewBeforeS is how long before the lease's end a member renews it while its attempt is in flight, in
	// seconds.
	RenewBeforeS = 0.1
	// ReportLeaseS is the lease of slots that a member reports as in use, and of those that are granted
	// without a request, in seconds.
	ReportLeaseS = 0.5
	// MaxLeaseS bounds every lease, in seconds.
	MaxLeaseS = 12.0
)

// LeaseS returns the lease for one attempt in seconds, from the mean latency and its mean deviation. Most
// attempts end within it. A longer lease saves renewals, but leaves slots unused where the report of an
// attempt's end is lost.
func LeaseS(meanLatencyS, meanDeviationS float64) float64 {
	return min(meanLatencyS+meanDeviationS/2+RenewBeforeS, MaxLeaseS)
}

// PrefetchCount returns how many of the free slots a member is granted before it requests any: its part of
// half of them by demand (units per second, its own and that of all gateways), rounded down so that the
// parts of all members fit. The other half is left to requests.
func PrefetchCount(free int, demand, totalDemand float64) int {
	if free < 2 || totalDemand <= 0 || demand <= 0 {
		return 0
	}
	return int(math.Floor(float64(free) / 2 * min(demand/totalDemand, 1)))
}
