package oracle

import (
	"slices"
	"time"

	"eiderspread/policy"
)

// Admissions beyond quotas have a cost. It is compared with the cost under a reference policy, in which each ingress knows the
// exact count of delayedViewS ago and its own admissions since then. Messages between ingresses can achieve that.
const (
	delayedViewS = 0.3 // seconds
	maxCostGap   = 0.1 // most that OverQuotaCost.Actual may exceed OverQuotaCost.Delayed by in a run without faults
)

// OverQuotaCost is the cost of what was admitted beyond quotas, as a fraction of the weight requested inside quotas.
type OverQuotaCost struct {
	Actual  float64
	Delayed float64 // of the reference policy
}

// delayedView is the quota of one account as the reference policy sees it.
type delayedView struct {
	window     *bucket
	admissions []admission // of the last delayedViewS
}

type admission struct {
	sample
	ingress int
}

// admit reports whether an ingress admits a request under the reference policy, and records the admission.
func (v *delayedView) admit(at time.Duration, ingress int, units float64) bool {
	for len(v.admissions) > 0 && v.admissions[0].at+delayedViewS <= at.Seconds() {
		v.window.take(duration(v.admissions[0].at+delayedViewS), v.admissions[0].units)
		v.admissions = v.admissions[1:]
	}
	v.window.advance(at)
	own := 0.0
	for _, a := range v.admissions {
		if a.ingress == ingress {
			own += a.units
		}
	}
	if v.window.available-own < units {
		return false
	}
	v.admissions = append(v.admissions, admission{sample{at.Seconds(), units}, ingress})
	return true
}

// costReplay replays one account's quota three times.
type costReplay struct {
	actual    *bucket // takes what was sent to backends
	requested *bucket // takes what clients requested
	delayed   *bucket // takes what the reference policy admits
	reference delayedView
}

// costReplays are the replays of all accounts.
type costReplays map[string]*costReplay

func (c costReplays) of(account string, plan policy.Plan) *costReplay {
	if c[account] == nil {
		quota := func() *bucket { return newBucket(plan.Rate, plan.Burst) }
		c[account] = &costReplay{actual: quota(), requested: quota(), delayed: quota(), reference: delayedView{window: quota()}}
	}
	return c[account]
}

// checkOverQuotaCost measures the cost of units that were sent to backends beyond rate and burst, and the cost under the
// reference policy for the same requests. In a run without faults it checks the difference. Accounts with a concurrency limit
// are left out, as their excess depends on the backends' speed.
func (r *Report) checkOverQuotaCost(h *History, classes map[string]policy.Class, plans map[string]policy.Plan) {
	replays := costReplays{}
	included := func(plan policy.Plan) bool { return plan.Rate > 0 && plan.MaxConcurrency == 0 }
	weight := func(class string, plan policy.Plan, units float64) float64 {
		return classes[class].PriorityWeight * plan.Weight * units
	}
	inside, sent := 0.0, map[string]bool{}
	for _, attempt := range h.Attempts { // in the order of their arrival
		plan := plans[attempt.Plan]
		if key := attempt.key(); included(plan) && !sent[key] {
			sent[key] = true
			if !replays.of(attempt.Account, plan).actual.take(attempt.At, attempt.Units) {
				r.OverQuotaCost.Actual += weight(attempt.Class, plan, attempt.Units) * plan.OverQuotaCostFraction
			}
		}
	}
	requests := slices.SortedStableFunc(slices.Values(h.Requests), func(a, b *Request) int { return int(a.SentAt - b.SentAt) })
	for _, request := range requests {
		plan := plans[request.Plan]
		if !included(plan) {
			continue
		}
		replay := replays.of(request.Account, plan)
		if replay.requested.take(request.SentAt, request.Units) {
			inside += weight(request.Class, plan, request.Units)
		}
		if replay.reference.admit(request.SentAt, request.Forwarder, request.Units) && !replay.delayed.take(request.SentAt, request.Units) {
			r.OverQuotaCost.Delayed += weight(request.Class, plan, request.Units) * plan.OverQuotaCostFraction
		}
	}
	r.OverQuotaCost.Actual /= max(inside, epsilon)
	r.OverQuotaCost.Delayed /= max(inside, epsilon)
	if len(h.Outages)+len(h.Restarts)+len(h.PeerFaults) > 0 || len(replays) == 0 {
		return // the bound is for runs without faults
	}
	if r.OverQuotaCost.Actual > 0 || r.OverQuotaCost.Delayed > 0 {
		r.occasion(RuleQuota, "fault-free runs with admissions beyond quotas")
	}
	if r.OverQuotaCost.Actual > r.OverQuotaCost.Delayed+maxCostGap {
		r.violation(RuleQuota, h.Now(), "without faults, admissions beyond quotas cost %.3f of the weight requested inside quotas, %.3f under the reference policy",
			r.OverQuotaCost.Actual, r.OverQuotaCost.Delayed)
	}
}
