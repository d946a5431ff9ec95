package oracle

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"eiderspread/policy"
)

// deliveryGrace allows for attempts that were on their way to a backend when a notice or a cordon arrived.
const deliveryGrace = 50 * time.Millisecond

// epsilon is the smallest divisor, for quotients whose divisor may be 0.
const epsilon = 1e-9

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Check checks a history against the rules, with the bounds of cfg. It locks the history.
func Check(h *History, cfg Config) *Report {
	defer h.Lock()()
	r := newReport(cfg.MinOccasions)
	if cfg.MaxLateness > 0 && h.MaxLateness > cfg.MaxLateness {
		r.Void = fmt.Sprintf("the testbed itself was up to %v late, at most %v is allowed", h.MaxLateness.Round(time.Millisecond), cfg.MaxLateness)
	}
	classes, plans := map[string]policy.Class{}, map[string]policy.Plan{}
	for _, class := range cfg.Classes {
		classes[class.Name] = class
	}
	for _, plan := range cfg.Plans {
		if cfg.ClockRate > 0 {
			plan.Rate, plan.HardLimitRate = plan.Rate*cfg.ClockRate, plan.HardLimitRate*cfg.ClockRate
		}
		plans[plan.Name] = plan
	}
	attempts := map[string][]*Attempt{} // by Request.key
	for _, attempt := range h.Attempts {
		attempts[attempt.key()] = append(attempts[attempt.key()], attempt)
	}
	requests := map[string]*Request{}
	for _, request := range h.Requests {
		requests[request.key()] = request
	}
	r.Requests, r.Attempts = len(h.Requests), len(h.Attempts)
	for key, list := range attempts {
		if requests[key] == nil {
			r.Void = fmt.Sprintf("%s reached %s, but no client of the testbed sent it", list[0].ID, list[0].Node)
		}
	}
	r.checkAnswers(h, cfg, classes, attempts)
	r.checkDrainEnds(h)
	r.checkSelfReports(h)
	for _, key := range slices.Sorted(maps.Keys(attempts)) {
		r.checkAttempts(h, cfg, classes[attempts[key][0].Class], attempts[key], requests[key])
	}
	r.checkDrains(h, cfg, requests)
	r.checkCordons(h, cfg, requests)
	r.checkMembership(h, cfg)
	r.checkSlowStart(h, cfg)
	r.checkMaxConcurrency(h, cfg, plans)
	inside := r.checkQuotas(h, cfg, plans)
	r.checkSharedCounts(h, cfg)
	r.checkOverQuotaCost(h, classes, plans)
	r.countDemand(h, plans)
	r.measureService(h, classes, plans, inside)
	if cfg.Overload {
		r.measureLoad(h, cfg, classes, plans)
	}
	sort.SliceStable(r.Violations, func(i, j int) bool { return r.Violations[i].At < r.Violations[j].At })
	return r
}
