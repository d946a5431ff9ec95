// Package analyse joins the decision traces of all gateways of a run and sums the decisions: which gateway rejected which
// requests, and for which reason. It replays the first attempts of all gateways to tell whether the account's quota and hard
// limit had the units at the time of each decision.
package analyse

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

// Record is a decision with its gateway and the state of the account's window and hard limit at that time. The state is
// replayed from the first attempts of all gateways, so it can differ from what the gateway knew.
type Record struct {
	reason.Decision
	Gateway         int // number of the gateway
	GatewayName     string
	HasQuota        bool    // whether the account's plan has a rate; if not, the fields below are zero
	WindowFree      float64 // units in the account's window just before the decision
	WithinHardLimit bool    // whether the account's hard limit had the units
}

// Fits reports whether the account's quota and hard limit had the units of the record. It is false for an account without a quota.
func (r Record) Fits() bool { return r.HasQuota && r.Units <= r.WindowFree && r.WithinHardLimit }

// RejectedOrFailed reports whether the gateway itself ended the request with this record, by a rejection or a failure.
func RejectedOrFailed(r Record) bool {
	return r.Step == reason.StepRejected || r.Step == reason.StepFailed
}

// Run holds the joined trace files of one run.
type Run struct {
	Records   []Record // in order of time
	Plans     map[string]policy.Plan
	Classes   map[string]policy.Class
	Start     float64 // time of the first record, Unix seconds
	Lost      uint64  // decisions that are in no file because a gateway's ring was full
	Truncated int     // number of truncated files
	Files     int
}

// Load reads trace files and joins them.
func Load(paths []string) (*Run, error) {
	if len(paths) == 0 {
		return nil, errors.New("no trace files found in the arguments")
	}
	files := make([]*trace.File, len(paths))
	for i, path := range paths {
		var err error
		if files[i], err = readFile(path); err != nil {
			return nil, err
		}
	}
	return Join(files), nil
}

func readFile(path string) (*trace.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	file, err := trace.Read(f)
	if err != nil {
		return nil, fmt.Errorf("read trace file %s: %w", path, err)
	}
	return file, nil
}

// Join merges the records of all files in order of time and replays the use of each account.
func Join(files []*trace.File) *Run {
	run := &Run{Plans: map[string]policy.Plan{}, Classes: map[string]policy.Class{}, Files: len(files)}
	for _, f := range files {
		for _, p := range f.Plans {
			run.Plans[p.Name] = p
		}
		for _, c := range f.Classes {
			run.Classes[c.Name] = c
		}
		run.Lost += f.Lost
		if f.Truncated {
			run.Truncated++
		}
		for _, d := range f.Decisions {
			run.Records = append(run.Records, Record{Decision: d, Gateway: f.Gateway, GatewayName: f.Name})
		}
	}
	slices.SortStableFunc(run.Records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	if len(run.Records) > 0 {
		run.Start = run.Records[0].At
	}
	run.replay()
	return run
}

// replay sets HasQuota, WindowFree and WithinHardLimit of all records. It charges the first attempts of all gateways to each
// account's window and hard limit, which are both full at the account's first record. A first attempt with more units than the
// window has takes nothing from the window, but is charged to the hard limit.
func (run *Run) replay() {
	type usage struct{ window, hardLimit quota.Bucket }
	accounts := map[uint32]*usage{}
	for i := range run.Records {
		r := &run.Records[i]
		p, ok := run.Plans[r.Plan]
		if !ok || p.Rate <= 0 || r.Account == 0 {
			continue
		}
		u := accounts[r.Account]
		if u == nil {
			u = &usage{quota.Bucket{Level: p.Burst, UpdatedAt: r.At}, quota.Bucket{Level: p.HardLimitBurst, UpdatedAt: r.At}}
			accounts[r.Account] = u
		}
		r.HasQuota, r.WithinHardLimit = true, true
		r.WindowFree = u.window.Refill(r.At, p.Rate, p.Burst)
		if p.HardLimitRate > 0 {
			r.WithinHardLimit = r.Units <= u.hardLimit.Refill(r.At, p.HardLimitRate, p.HardLimitBurst)
		}
		if r.Step == reason.StepSent && r.Attempt == 0 {
			if r.Units <= r.WindowFree {
				u.window.Level -= r.Units
			}
			u.hardLimit.Level -= r.Units
		}
	}
}

// Value returns the value of answering the request in time and within the quota: its units times the weights of its class and
// plan. The weight of an unknown plan is 1, that of an unknown class 0.
func (run *Run) Value(r Record) float64 {
	planWeight := 1.0
	if p, ok := run.Plans[r.Plan]; ok {
		planWeight = p.Weight
	}
	return run.Classes[r.Class].PriorityWeight * planWeight * r.Units
}
