package topology

import (
	"errors"
	"math"
	"slices"
	"testing"

	"eiderspread/policy"
)

// Guards the defaults of a configuration that sets only the required keys.
func TestParams_CheckFillsDefaults(t *testing.T) {
	params := Params{Name: "f", Forwarders: 3, Planners: 2}
	if err := params.Check(); err != nil {
		t.Fatal(err)
	}
	want := Params{Name: "f", Forwarders: 3, Planners: 2, Cells: defaultCells, LeaseS: defaultLeaseS, HeartbeatS: defaultHeartbeatS,
		LinkTimeoutS: defaultLinkTimeoutS, LeaderWaitS: defaultLeaderWaitS, FailsafeDelayS: defaultFailsafeDelayS}
	if params != want {
		t.Errorf("got %+v, want %+v", params, want)
	}
}

// Guards the error for a value out of range: it names the key as the configuration file has it.
func TestParams_CheckNamesTheKey(t *testing.T) {
	for _, tc := range []struct {
		key    string
		change func(*Params)
	}{
		{"fleet", func(p *Params) { p.Name = "" }},
		{"forwarders", func(p *Params) { p.Forwarders = maxForwarders + 1 }},
		{"planners", func(p *Params) { p.Planners = maxPlanners + 1 }},
		{"cells", func(p *Params) { p.Cells = 1 }},
		{"lease_ms", func(p *Params) { p.LeaseS = 2.9 * defaultHeartbeatS }},
		{"silence_ms", func(p *Params) { p.LinkTimeoutS = 2.9 * defaultHeartbeatS }},
		{"beat_ms", func(p *Params) { p.HeartbeatS = -1 }},
		{"wait_ms", func(p *Params) { p.LeaderWaitS = math.NaN() }},
		{"failsafe_ms", func(p *Params) { p.FailsafeDelayS = maxTimeS + 1 }},
	} {
		params := Params{Name: "f", Forwarders: 3, Planners: 2}
		tc.change(&params)
		if err, ok := errors.AsType[*ParamError](params.Check()); !ok || err.Key != tc.key {
			t.Errorf("got error %v, want a *ParamError for key %s", err, tc.key)
		}
	}
}

// Guards the order of claims: each cell has every planner exactly once in its order, and each planner is first in the same number of cells.
func TestParams_Rank(t *testing.T) {
	for planners := 1; planners <= 5; planners++ {
		params := Params{Planners: planners, Cells: 4 * planners}
		first := make([]int, planners)
		for cellID := range params.Cells {
			var ranks []int
			for planner := range planners {
				rank := params.Rank(cellID, planner)
				ranks = append(ranks, rank)
				if rank == 0 {
					first[planner]++
				}
			}
			slices.Sort(ranks)
			for rank, got := range ranks {
				if got != rank {
					t.Fatalf("%d planners, cell %d: ranks are %v, want each of 0 to %d once", planners, cellID, ranks, planners-1)
				}
			}
		}
		for planner, cells := range first {
			if cells != 4 {
				t.Errorf("%d planners: planner %d is first in %d of %d cells, want 4", planners, planner, cells, params.Cells)
			}
		}
	}
}

func TestLongestWindowS(t *testing.T) {
	for _, tc := range []struct {
		plans []policy.Plan
		want  float64
	}{
		{nil, 1},
		{[]policy.Plan{{Rate: 100, Burst: 10}}, 1},
		{[]policy.Plan{{Rate: 4, Burst: 12}, {Rate: 30, Burst: 60}, {Burst: 1000}}, 3},
	} {
		if got := LongestWindowS(tc.plans); got != tc.want {
			t.Errorf("plans %+v: got %v s, want %v s", tc.plans, got, tc.want)
		}
	}
}

// Guards against two leaders of one cell: a planner's leadership ends before the promises that it is based on, even if its clock runs 5%
// slower than the forwarders' clocks.
func TestLeaderLeaseFraction(t *testing.T) {
	if slowness := 1.05; LeaderLeaseFraction*slowness > 1 {
		t.Errorf("leadership for %v of a lease may outlast a promise, want at most 1/%v", LeaderLeaseFraction, slowness)
	}
}
