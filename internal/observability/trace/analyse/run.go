// Package analyse joins the traces of all gateways of a run and sums their decisions: which gateway rejected what, for which
// reason, and whether the account's quota and hard limit had the units at that moment, by the first attempts of all
// gateways.
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

// Record is a decision with its gateway, and with what a gateway would have known of the account that saw the first
// attempts of all gateways at once.
type Record struct {
	reason.Decision
	Gateway         int
	Name            string  // of the gateway
	Counted         bool    // the account's plan has a rate; if not, the fields below mean nothing
	WindowFree      float64 // units that were available in the account's window just before
	WithinHardLimit bool    // the account's hard limit had the units
}

// Fits reports whether the units were within quota and hard limit.
func (r Record) Fits() bool { return r.Counted && r.Units <= r.WindowFree && r.WithinHardLimit }

// Rejected reports whether the record is a final answer by the gateway itself: a rejection or a failure.
func Rejected(r Record) bool { return r.Step == reason.StepRejected || r.Step == reason.StepFailed }

// Run is what the traces of one run hold.
type Run struct {
	Records   []Record // by time
	Plans     map[string]policy.Plan
	Classes   map[string]policy.Class
	Start     float64 // time of the first record, Unix seconds
	Lost      uint64  // decisions that are in no file, as a ring was full
	Truncated int     // files that end within a record
	Files     int
}

// Load reads trace files and joins them.
func Load(paths []string) (*Run, error) {
	if len(paths) == 0 {
		return nil, errors.New("no traces given")
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
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// Join merges files by time, and replays what each account used.
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
			run.Records = append(run.Records, Record{Decision: d, Gateway: f.Gateway, Name: f.Name})
		}
	}
	slices.SortStableFunc(run.Records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	if len(run.Records) > 0 {
		run.Start = run.Records[0].At
	}
	run.replay()
	return run
}

// replay counts each account's window and hard limit over all gateways, both full at the account's first record. First
// attempts are charged; one that does not fit the window takes nothing from it.
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
		r.Counted, r.WithinHardLimit = true, true
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

// Value returns what a timely answer to the request earns within the quota: units by the weights of class and plan.
func (run *Run) Value(r Record) float64 {
	planWeight := 1.0
	if p, ok := run.Plans[r.Plan]; ok {
		planWeight = p.Weight
	}
	return run.Classes[r.Class].PriorityWeight * planWeight * r.Units
}
