// Package topology holds the parameters on which all forwarders and planners of a fleet must agree: its size, its lease times and timeouts,
// the cell of each account, and the order in which planners claim a cell. docs/two-levels.md gives the reasons.
package topology

import (
	"cmp"
	"fmt"

	"eiderspread/policy"
)

// Params must be the same at every forwarder and planner. Check replaces a zero cell count or time with its default.
type Params struct {
	Name           string  // of the fleet
	Forwarders     int     // a majority of them is the quorum
	Planners       int     // at most 64
	Cells          int     // parts into which accounts are divided; a planner leads whole cells; each is one gateway to the decision modules
	LeaseS         float64 // duration of a forwarder's promise, in seconds
	HeartbeatS     float64 // interval of lease renewals, and the longest silence on a working link, in seconds
	LinkTimeoutS   float64 // seconds without data after which a link is closed
	LeaderWaitS    float64 // longest time that a request waits for a planner to lead its cell, in seconds
	FailsafeDelayS float64 // seconds without a link to any planner after which a forwarder rejects all requests at once
}

// Defaults of Params.
const (
	defaultCells          = 6
	defaultLeaseS         = 0.4
	defaultHeartbeatS     = 0.05
	defaultLinkTimeoutS   = 0.25
	defaultLeaderWaitS    = 0.7
	defaultFailsafeDelayS = 0.04
)

// Bounds of Params.
const (
	maxNameBytes  = 64
	maxForwarders = 4096
	maxPlanners   = 64
	minCells      = 2 // counts of earlier leaders are passed to a cell's module in the name of another cell
	maxCells      = 1024
	maxTimeS      = 60
	// minHeartbeats is the least number of heartbeats in a lease and in a link's timeout, so that the loss of one does no harm.
	minHeartbeats = 3
)

const (
	// LeaderLeaseFraction is the fraction of a lease for which a planner leads, so that its leadership ends before the promises that
	// it is based on. The remaining 5% allow for clocks whose speeds differ by 5%.
	LeaderLeaseFraction = 0.95
	// ClaimStaggerS is the delay, in seconds, between the claims of two successive planners in a cell's order.
	ClaimStaggerS = 0.04
)

// ParamError reports a parameter that is missing or out of range.
type ParamError struct {
	Key     string // in the configuration file
	Problem string
}

// Error implements error.
func (e *ParamError) Error() string { return e.Key + " " + e.Problem }

// Check fills in defaults, then checks the parameters. Its error is a *ParamError.
func (p *Params) Check() error {
	p.Cells = cmp.Or(p.Cells, defaultCells)
	for _, param := range []struct {
		key      string
		value    *float64
		defaultS float64
	}{
		{"lease_ms", &p.LeaseS, defaultLeaseS},
		{"beat_ms", &p.HeartbeatS, defaultHeartbeatS},
		{"silence_ms", &p.LinkTimeoutS, defaultLinkTimeoutS},
		{"wait_ms", &p.LeaderWaitS, defaultLeaderWaitS},
		{"failsafe_ms", &p.FailsafeDelayS, defaultFailsafeDelayS},
	} {
		*param.value = cmp.Or(*param.value, param.defaultS)
		if !(*param.value > 0 && *param.value <= maxTimeS) { // also rejects NaN
			return &ParamError{param.key, fmt.Sprintf("is %.6g, must be above 0 and at most %.6g", *param.value*msPerSecond, maxTimeS*msPerSecond)}
		}
	}
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes:
		return &ParamError{"fleet", fmt.Sprintf("is %q, must be a name of 1 to %d bytes", p.Name, maxNameBytes)}
	case p.Forwarders < 1 || p.Forwarders > maxForwarders:
		return &ParamError{"forwarders", fmt.Sprintf("is %d, must be 1 to %d", p.Forwarders, maxForwarders)}
	case p.Planners < 1 || p.Planners > maxPlanners:
		return &ParamError{"planners", fmt.Sprintf("is %d, must be 1 to %d", p.Planners, maxPlanners)}
	case p.Cells < minCells || p.Cells > maxCells:
		return &ParamError{"cells", fmt.Sprintf("is %d, must be %d to %d", p.Cells, minCells, maxCells)}
	case p.LinkTimeoutS < minHeartbeats*p.HeartbeatS:
		return &ParamError{"silence_ms", "must be at least three times beat_ms"}
	case p.LeaseS < minHeartbeats*p.HeartbeatS:
		return &ParamError{"lease_ms", "must be at least three times beat_ms"}
	}
	return nil
}

// LongestWindowS returns the longest time, in seconds, that the empty quota window of any plan takes to refill; at least 1. Units that were
// used longer ago no longer count.
func LongestWindowS(plans []policy.Plan) float64 {
	longestS := 1.0
	for _, plan := range plans {
		if plan.Rate > 0 {
			longestS = max(longestS, plan.Burst/plan.Rate)
		}
	}
	return longestS
}
