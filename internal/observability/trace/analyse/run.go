// Package analyse joins the traces of all gateways of a run and tells who refused what, for which reason, and how much of the quota was
// free at that moment by the first sends of all of them.
package analyse

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/policy"
)

// Record is a decision with whose it was, and the account's true rooms just before it: what a gateway would have known that saw
// every first send of every gateway at once. Units; they mean nothing where Counted is false.
type Record struct {
	reason.Decision
	Gateway         int
	Name            string
	Counted         bool    // the account has a plan with a rate
	WindowFree      float64 // left in its window
	WithinHardLimit bool    // its ceiling held the units
}

// Fits tells that the units would have been inside quota and ceiling.
func (r Record) Fits() bool { return r.Counted && r.Units <= r.WindowFree && r.WithinHardLimit }

// Run is all that was traced.
type Run struct {
	Records   []Record // by time
	Plans     map[string]policy.Plan
	Classes   map[string]policy.Class
	Start     float64 // the earliest record's time
	Lost      uint64
	Truncated int // files that end in the middle of a record
	Files     int
}

// Load reads and joins files.
func Load(paths []string) (*Run, error) {
	var files []*trace.File
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		t, err := trace.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		files = append(files, t)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no traces given")
	}
	return Join(files), nil
}

// Join merges files by time, and plays again what each account spent.
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

// window is an account's store of units: full at first, filled at a rate up to a burst.
type window struct{ room, at float64 }

func (w *window) now(at, rate, burst float64) float64 {
	w.room = min(burst, w.room+rate*(at-w.at))
	w.at = at
	return w.room
}

func (run *Run) replay() {
	type account struct{ quota, ceiling window }
	accounts := map[uint32]*account{}
	for i := range run.Records {
		r := &run.Records[i]
		p, ok := run.Plans[r.Plan]
		if !ok || p.Rate <= 0 || r.Account == 0 {
			continue
		}
		a := accounts[r.Account]
		if a == nil {
			a = &account{window{p.Burst, r.At}, window{p.HardLimitBurst, r.At}}
			accounts[r.Account] = a
		}
		r.Counted, r.WithinHardLimit = true, true
		r.WindowFree = a.quota.now(r.At, p.Rate, p.Burst)
		if p.HardLimitRate > 0 {
			r.WithinHardLimit = r.Units <= a.ceiling.now(r.At, p.HardLimitRate, p.HardLimitBurst)
		}
		if r.Step == reason.StepSent && r.Attempt == 0 {
			if r.Units <= r.WindowFree { // beyond the quota nothing is taken from it
				a.quota.room -= r.Units
			}
			a.ceiling.room -= r.Units
		}
	}
}

// Value is what a request's good answer earns inside the quota.
func (run *Run) Value(r Record) float64 {
	price := 1.0
	if p, ok := run.Plans[r.Plan]; ok {
		price = p.Weight
	}
	return run.Classes[r.Class].PriorityWeight * price * r.Units
}
