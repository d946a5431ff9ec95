// Package topology holds what all forwarders and planners of a fleet must agree on: its size, its times, which cell an account is in, and
// in which order planners claim a cell. docs/two-levels.md gives the reasons.
package topology

import (
	"cmp"
	"fmt"

	"eiderspread/policy"
)

// Params are the same at every forwarder and planner. A zero cell count or time gets its default from Check.
type Params struct {
	Name           string  // the fleet's
	Forwarders     int     // a majority of them is the quorum
	Planners       int     // at most 64
	Cells          int     // accounts are divided into cells, and a planner leads whole cells; each is a gateway to the decision modules
	LeaseS         float64 // how long a forwarder's promise lasts, in seconds
	HeartbeatS     float64 // time between two renewals of a lease, and the longest silence on a working link, in seconds
	LinkTimeoutS   float64 // a link from which nothing is read for so many seconds is closed
	LeaderWaitS    float64 // how many seconds a request waits for a planner to lead its cell
	FailsafeDelayS float64 // with no link to any planner for so many seconds, a forwarder rejects all requests at once
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
	minCells      = 2 // a module takes a cell's counts from another one
	maxCells      = 1024
	maxTimeS      = 60
	// minHeartbeats is how many heartbeats fit at least into a lease and into a link's time-out, so that a lost one does no harm.
	minHeartbeats = 3
)

const (
	// LeadFraction is the part of a lease for which a planner leads: its lead ends before the promises on which it rests. The rest allows
	// for clocks whose speeds differ by 5%.
	LeadFraction = 0.95
	// ClaimStaggerS is by how many seconds later each further planner in a cell's order claims the cell.
	ClaimStaggerS = 0.04
)

// ParamError is a parameter that is out of its range or missing.
type ParamError struct {
	Key     string // in the operators' files
	Problem string
}

// Error implements error.
func (e *ParamError) Error() string { return e.Key + " " + e.Problem }

// Check fills in defaults. An error is a *ParamError.
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
		if !(*param.value > 0 && *param.value <= maxTimeS) { // NaN, too
			return &ParamError{param.key, "must be above 0 and a minute at most"}
		}
	}
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes:
		return &ParamError{"fleet", fmt.Sprintf("must be a name of 1 to %d bytes", maxNameBytes)}
	case p.Forwarders < 1 || p.Forwarders > maxForwarders:
		return &ParamError{"forwarders", fmt.Sprintf("must be 1 to %d", maxForwarders)}
	case p.Planners < 1 || p.Planners > maxPlanners:
		return &ParamError{"planners", fmt.Sprintf("must be 1 to %d", maxPlanners)}
	case p.Cells < minCells || p.Cells > maxCells:
		return &ParamError{"cells", fmt.Sprintf("must be %d to %d", minCells, maxCells)}
	case p.LinkTimeoutS < minHeartbeats*p.HeartbeatS:
		return &ParamError{"silence_ms", "must be three times beat_ms at least"}
	case p.LeaseS < minHeartbeats*p.HeartbeatS:
		return &ParamError{"lease_ms", "must be three times beat_ms at least"}
	}
	return nil
}

// LongestWindowS returns the longest time, in seconds and at least 1, in which the empty quota window of any plan fills. What was used
// longer ago does not matter.
func LongestWindowS(plans []policy.Plan) float64 {
	longestS := 1.0
	for _, plan := range plans {
		if plan.Rate > 0 {
			longestS = max(longestS, plan.Burst/plan.Rate)
		}
	}
	return longestS
}
