package hostile

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Result is what a case found.
type Result struct {
	mu          sync.Mutex
	Occasions   int             // how often the case did what it is about
	Outcomes    map[Outcome]int // what its clients got
	Others      map[Outcome]int // what the other clients got meanwhile
	SlowestMS   int64           // slowest answer of the other clients
	PeakMB      float64         // highest resident memory of a program, of those that serve clients
	PlannerMB   float64         // the same of planners
	LimitMB     int
	Breaches    []string // rules that were broken
	breachCount int
}

func newResult() *Result {
	return &Result{Outcomes: map[Outcome]int{}, Others: map[Outcome]int{}}
}

// maxBreaches is the number of breaches that are kept; further ones are counted.
const maxBreaches = 8

// breach records a broken rule.
func (r *Result) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breachCount++
	if len(r.Breaches) < maxBreaches {
		r.Breaches = append(r.Breaches, fmt.Sprintf(format, args...))
	}
}

// count records what a client got.
func (r *Result) count(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[o]++
}

// occasion records an occasion.
func (r *Result) occasion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Occasions++
}

// other records the answer that another client got.
func (r *Result) other(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Others[a.outcome]++
	r.SlowestMS = max(r.SlowestMS, a.after.Milliseconds())
}

// addMemory records the memory of the rig's programs. A program that has ended breaks a rule.
func (r *Result) addMemory(rig *Rig) {
	r.LimitMB = rig.cfg.MemoryMB
	const mb = 1 << 20
	for _, p := range rig.programs() {
		if !p.Up() {
			r.breach("%s has ended", p.Name)
		}
		peak := float64(p.PeakRSS()) / mb
		if slices.Contains(rig.fleet.Planners, p) {
			r.PlannerMB = max(r.PlannerMB, peak)
		} else {
			r.PeakMB = max(r.PeakMB, peak)
		}
		if peak > float64(rig.cfg.MemoryMB) {
			r.breach("%s used %.1f MB of memory, its limit is %d", p.Name, peak, rig.cfg.MemoryMB)
		}
	}
}

// String returns the figures in one line, and a line for each breach.
func (r *Result) String() string {
	text := fmt.Sprintf("occasions %d, got %s, memory %.1f MB (planner %.1f) of %d, others %s, slowest %v", r.Occasions, countsText(r.Outcomes), r.PeakMB,
		r.PlannerMB, r.LimitMB, countsText(r.Others), time.Duration(r.SlowestMS)*time.Millisecond)
	if r.breachCount > 0 {
		text += fmt.Sprintf(", %d BREACHES", r.breachCount)
	}
	for _, b := range r.Breaches {
		text += "\n    " + b
	}
	return text
}

// Broken reports whether a rule was broken.
func (r *Result) Broken() bool { return r.breachCount > 0 }

// BreachCount returns how often a rule was broken.
func (r *Result) BreachCount() int { return r.breachCount }

func countsText(counts map[Outcome]int) string {
	if len(counts) == 0 {
		return "nothing"
	}
	var parts []string
	for _, o := range []Outcome{Served, Rejected, Failed, Cut, Late} {
		if n := counts[o]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, o))
		}
	}
	return strings.Join(parts, " ")
}
