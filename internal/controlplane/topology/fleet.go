// Package fleet holds what forwarders and planners of one fleet must agree on: its size, its times, which cell a
// customer is in and which planner comes first for a cell. docs/two-levels.md gives the reasons.
package topology

import (
	"cmp"
	"fmt"
	"hash/fnv"

	"eiderspread/policy"
)

// Params are the same at every forwarder and planner. Times are in seconds. A field of 0 gets its default.
type Params struct {
	Name           string
	Forwarders     int // a majority of which is the quorum
	Planners       int
	Cells          int     // what one planner owns or not; the gateways in the module's sense
	LeaseS         float64 // how long a forwarder holds to a promise
	HeartbeatS     float64 // how often promises are renewed and every link says something
	LinkTimeoutS   float64 // without a byte for so long a link is closed
	LeaderWaitS    float64 // how long a request waits for a planner to lead its cell
	FailsafeDelayS float64 // with no link to any planner for so long all requests are refused at once
}

// Defaults, in seconds.
const (
	defaultCells          = 6
	defaultLeaseS         = 0.4
	defaultHeartbeatS     = 0.05
	defaultLinkTimeoutS   = 0.25
	defaultLeaderWaitS    = 0.7
	defaultFailsafeDelayS = 0.04
	// LeadFraction of a lease, by which a planner's lead ends before the promises that it rests on. The rest
	// allows clocks to differ by 5% in their speed over one lease.
	LeadFraction = 0.95
	// ClaimStaggerS is by how much later each further planner in a cell's order claims it.
	ClaimStaggerS = 0.04
	maxForwarders = 4096
)

// Check fills in defaults and tells what is wrong.
func (p *Params) Check() error {
	p.Cells = cmp.Or(p.Cells, defaultCells)
	for _, t := range []struct {
		name  string
		value *float64
		or    float64
	}{{"lease_ms", &p.LeaseS, defaultLeaseS}, {"beat_ms", &p.HeartbeatS, defaultHeartbeatS}, {"silence_ms", &p.LinkTimeoutS, defaultLinkTimeoutS},
		{"wait_ms", &p.LeaderWaitS, defaultLeaderWaitS}, {"failsafe_ms", &p.FailsafeDelayS, defaultFailsafeDelayS}} {
		if *t.value = cmp.Or(*t.value, t.or); !(*t.value > 0 && *t.value <= 60) {
			return fmt.Errorf("%s must be above 0 and a minute at most", t.name)
		}
	}
	switch {
	case p.Name == "" || len(p.Name) > 64:
		return fmt.Errorf("fleet must be a name of 1 to 64 bytes")
	case p.Forwarders < 1 || p.Forwarders > maxForwarders:
		return fmt.Errorf("forwarders must be 1 to %d", maxForwarders)
	case p.Planners < 1 || p.Planners > 64:
		return fmt.Errorf("planners must be 1 to 64")
	case p.Cells < 2 || p.Cells > 1024:
		return fmt.Errorf("cells must be 2 to 1024")
	case p.LinkTimeoutS < 3*p.HeartbeatS:
		return fmt.Errorf("silence_ms must be three times beat_ms at least")
	case p.LeaseS < 3*p.HeartbeatS:
		return fmt.Errorf("lease_ms must be three times beat_ms at least")
	}
	return nil
}

// Majority of the forwarders: any two share one.
func (p Params) Majority() int {
	if !Fenced {
		return 1
	}
	return p.Forwarders/2 + 1
}

// CellOf is the cell of a customer.
func (p Params) CellOf(account string) int {
	hasher := fnv.New64a()
	hasher.Write([]byte(account))
	hash := hasher.Sum64() // FNV's low bits alone are poor for names that differ in their last letter
	hash ^= hash >> 32
	hash *= 0x9fb21c651e98df25
	hash ^= hash >> 28
	return int(hash % uint64(p.Cells))
}

// Rank is the place of a planner in a cell's order, from 0. Planners next to each other in number take over
// different cells of one that fails.
func (p Params) Rank(cell, planner int) int {
	rotation := cell / p.Planners
	rank := (planner - cell%p.Planners + p.Planners) % p.Planners
	if rank > 0 && p.Planners > 2 { // the others stand in another order every turn
		rank = 1 + (rank-1+rotation)%(p.Planners-1)
	}
	return rank
}

// LongestWindowS is the longest time in which an empty window of any plan fills, and so how far back a tale goes.
func LongestWindowS(plans []policy.Plan) float64 {
	longestS := 1.0
	for _, p := range plans {
		if p.Rate > 0 {
			longestS = max(longestS, p.Burst/p.Rate)
		}
	}
	return longestS
}
