package oracle

import (
	"cmp"
	"slices"
	"time"

	"eiderspread/policy"
)

const (
	// hardLimitSlack is the fraction of a hard limit's burst that is allowed beyond it.
	hardLimitSlack = 0.1
	// unitRounding is the excess, in units, that may be due to rounding.
	unitRounding = 1e-6
)

// quotaReplay replays what was sent for one account against its buckets.
type quotaReplay struct {
	plan              policy.Plan
	quota             *bucket // overdrawn by units beyond the quota
	hardLimit         *bucket // overdrawn by units beyond the hard limit
	inside            *bucket // takes only units inside the quota
	excess            float64 // most units beyond the quota so far
	excessAt          time.Duration
	quotaViolated     bool
	hardLimitViolated bool
}

// checkQuotas replays the first attempts of all requests, in order of arrival, against each account's quota and hard limit.
// It returns the keys of the requests that were inside their quotas when they were sent to a backend.
func (r *Report) checkQuotas(h *History, cfg Config, plans map[string]policy.Plan) (inside map[string]bool) {
	inside = map[string]bool{}
	accounts := map[string]*quotaReplay{}
	seen := map[string]bool{}
	for _, attempt := range h.Attempts {
		key := attempt.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		replay := accounts[attempt.Account]
		if replay == nil {
			plan := plans[attempt.Plan]
			replay = &quotaReplay{plan: plan, quota: newBucket(plan.Rate, plan.Burst),
				hardLimit: newBucket(plan.HardLimitRate, plan.HardLimitBurst), inside: newBucket(plan.Rate, plan.Burst)}
			accounts[attempt.Account] = replay
		}
		if replay.plan.Rate > 0 {
			r.replayQuota(cfg, replay, attempt)
		}
		if replay.inside.advance(attempt.At); replay.plan.Rate == 0 || replay.inside.available >= attempt.Units {
			inside[key] = true
			replay.inside.available -= attempt.Units
		}
		if replay.plan.HardLimitRate > 0 {
			r.replayHardLimit(cfg, replay, attempt)
		}
	}
	for name, replay := range accounts {
		if replay.excess > 0 {
			r.Overshoots = append(r.Overshoots, Overshoot{name, replay.plan.Name, replay.excess, 100 * replay.excess / replay.plan.Burst, replay.excessAt})
		}
	}
	slices.SortFunc(r.Overshoots, func(a, b Overshoot) int { return cmp.Compare(b.Percent, a.Percent) })
	return inside
}

// replayQuota takes an attempt from its account's quota. It reports the first violation of an account.
func (r *Report) replayQuota(cfg Config, replay *quotaReplay, attempt *Attempt) {
	replay.quota.overdraw(attempt.At, attempt.Units)
	if excess := -replay.quota.available; excess > replay.excess+unitRounding {
		replay.excess, replay.excessAt = excess, attempt.At
	}
	r.utilization("quota", (replay.plan.Burst-replay.quota.available)/replay.plan.Burst)
	if slack := cfg.QuotaSlack + cfg.QuotaSlackS*replay.plan.Rate; cfg.QuotaSlack > 0 && replay.excess > slack && !replay.quotaViolated {
		replay.quotaViolated = true
		r.violation(RuleQuota, attempt.At, "%s is %.1f units over its quota, slack %.1f", attempt.Account, replay.excess, slack)
	}
}

// replayHardLimit takes an attempt from its account's hard limit. It reports the first violation of an account.
func (r *Report) replayHardLimit(cfg Config, replay *quotaReplay, attempt *Attempt) {
	plan := replay.plan
	replay.hardLimit.overdraw(attempt.At, attempt.Units)
	slack := max(plan.HardLimitSlack, hardLimitSlack*plan.HardLimitBurst, cfg.LargestRequest) + cfg.HardLimitSlackS*plan.HardLimitRate
	r.utilization("hard limit and slack", (plan.HardLimitBurst-replay.hardLimit.available)/(plan.HardLimitBurst+slack))
	if replay.hardLimit.available < -slack && !replay.hardLimitViolated {
		replay.hardLimitViolated = true
		r.violation(RuleHardLimit, attempt.At, "%s is %.1f units over its hard limit, slack %.1f", attempt.Account, -replay.hardLimit.available, slack)
	}
}

// countDemand counts the requests beyond quotas and hard limits as occasions to exceed them.
func (r *Report) countDemand(h *History, plans map[string]policy.Plan) {
	type limits struct{ quota, hardLimit *bucket }
	accounts := map[string]*limits{}
	for _, request := range h.Requests { // nearly in the order of their sending
		plan := plans[request.Plan]
		account := accounts[request.Account]
		if account == nil {
			account = &limits{newBucket(plan.Rate, plan.Burst), newBucket(plan.HardLimitRate, plan.HardLimitBurst)}
			accounts[request.Account] = account
		}
		if account.quota.rate > 0 && !account.quota.take(request.SentAt, request.Units) {
			r.occasion(RuleQuota, "requests beyond the quota")
		}
		if account.hardLimit.rate > 0 && !account.hardLimit.take(request.SentAt, request.Units) {
			r.occasion(RuleHardLimit, "requests beyond the hard limit")
		}
	}
}
