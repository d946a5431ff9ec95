package topology

import (
	"errors"
	"math"
	"slices"
	"testing"

	"eiderspread/policy"
)

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
			t.Errorf("%s: got %v", tc.key, err)
		}
	}
}

// Each cell has an order of all planners, and the planners are first in as many cells as can be.
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
					t.Fatalf("%d planners, cell %d: ranks %v", planners, cellID, ranks)
				}
			}
		}
		for planner, cells := range first {
			if cells != 4 {
				t.Errorf("%d planners: planner %d is first in %d cells of %d", planners, planner, cells, params.Cells)
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
			t.Errorf("%+v: got %v, want %v", tc.plans, got, tc.want)
		}
	}
}

// A lead ends before the promises on which it rests even if the planner's clock is slow by 5% against the forwarders'.
func TestLeadFraction(t *testing.T) {
	if slowness := 1.05; LeadFraction*slowness > 1 {
		t.Errorf("a lead of %v of a lease may outlast a promise", LeadFraction)
	}
}
