package oracle

import (
	"slices"
	"time"

	"eiderspread/policy"
)

// What a fleet lets in beyond its accounts' quotas has a price. It is put beside that of a policy of which each ingress sees the true count as
// it stood a little while ago, and knows what it let in itself since: what messages between them can come to.

const (
	delayedViewS = 0.3 // how late that policy sees
	maxCostGap   = 0.1 // how much more than under it may be lost on a quiet day
)

// OverQuotaCost is a share of the worth that was asked for inside quotas.
type OverQuotaCost struct{ Actual, Delayed float64 }

// delayedView is the window of one account as that policy sees it.
type delayedView struct {
	window *bucket
	recent []admission // let in within delayedViewS
}

type admission struct {
	sample
	ingress int
}

// admit tells whether an ingress lets so much in.
func (l *delayedView) admit(at time.Duration, ingress int, units float64) bool {
	for len(l.recent) > 0 && l.recent[0].at+delayedViewS <= at.Seconds() {
		l.window.take(duration(l.recent[0].at+delayedViewS), l.recent[0].units)
		l.recent = l.recent[1:]
	}
	l.window.advance(at)
	own := 0.0
	for _, n := range l.recent {
		if n.ingress == ingress {
			own += n.units
		}
	}
	if l.window.available-own < units {
		return false
	}
	l.recent = append(l.recent, admission{sample{at.Seconds(), units}, ingress})
	return true
}

// take takes units from the window if it holds them.
func (b *bucket) take(at time.Duration, units float64) bool {
	if b.advance(at); b.available < units {
		return false
	}
	b.available -= units
	return true
}

// checkOverQuotaCost prices what came to nodes beyond rates and bursts, and what that policy would have let in of the same tries. Accounts under a cap
// are left out: what is out, and so beyond, goes by the nodes' speed.
func (r *Report) checkOverQuotaCost(h *History, cfg Config, classes map[string]policy.Class, plans map[string]policy.Plan) {
	type account struct {
		real, asked, late *bucket // late: the true window beside that policy's
		seen              delayedView
	}
	all := map[string]*account{}
	of := func(name string, plan policy.Plan) *account {
		if all[name] == nil {
			all[name] = &account{real: newBucket(plan.Rate, plan.Burst), asked: newBucket(plan.Rate, plan.Burst), late: newBucket(plan.Rate, plan.Burst),
				seen: delayedView{window: newBucket(plan.Rate, plan.Burst)}}
		}
		return all[name]
	}
	counts := func(plan policy.Plan) bool { return plan.Rate > 0 && plan.MaxConcurrency == 0 }
	worth := func(class string, plan policy.Plan, units float64) float64 {
		return classes[class].PriorityWeight * plan.Weight * units
	}
	inside, sent := 0.0, map[string]bool{}
	for _, attempt := range h.Attempts { // in the order of their coming
		plan := plans[attempt.Plan]
		if key := attempt.ID + "/" + attempt.Account; counts(plan) && !sent[key] {
			sent[key] = true
			if !of(attempt.Account, plan).real.take(attempt.At, attempt.Units) {
				r.OverQuotaCost.Actual += worth(attempt.Class, plan, attempt.Units) * plan.OverQuotaCostFraction
			}
		}
	}
	requests := slices.SortedStableFunc(slices.Values(h.Requests), func(a, b *Request) int { return int(a.SentAt - b.SentAt) })
	for _, request := range requests {
		plan := plans[request.Plan]
		if !counts(plan) {
			continue
		}
		x := of(request.Account, plan)
		if x.asked.take(request.SentAt, request.Units) {
			inside += worth(request.Class, plan, request.Units)
		}
		if x.seen.admit(request.SentAt, request.Forwarder, request.Units) && !x.late.take(request.SentAt, request.Units) {
			r.OverQuotaCost.Delayed += worth(request.Class, plan, request.Units) * plan.OverQuotaCostFraction
		}
	}
	r.OverQuotaCost.Actual /= max(inside, 1e-9)
	r.OverQuotaCost.Delayed /= max(inside, 1e-9)
	if len(h.Outages)+len(h.Restarts)+len(h.PeerFaults) > 0 || len(all) == 0 {
		return // no quiet day
	}
	if r.OverQuotaCost.Actual > 0 || r.OverQuotaCost.Delayed > 0 {
		r.occasion(RuleQuota, "quiet runs on which something went beyond")
	}
	if r.OverQuotaCost.Actual > r.OverQuotaCost.Delayed+maxCostGap {
		r.violation(RuleQuota, h.Now(), "what went beyond quotas on a quiet day costs %.3f of the worth asked for inside, %.3f under a policy that sees all late",
			r.OverQuotaCost.Actual, r.OverQuotaCost.Delayed)
	}
}
