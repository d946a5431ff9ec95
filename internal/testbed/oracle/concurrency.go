package oracle

import (
	"sort"
	"time"

	"eiderspread/internal/decision/errorbound"
	"eiderspread/internal/decision/hashring"
	"eiderspread/policy"
)

// concurrencyChange is the start (by 1) or end (by -1) of an attempt.
type concurrencyChange struct {
	at time.Duration
	by int
}

// checkMaxConcurrency checks the open attempts of each account against its plan's concurrency limit: within the error bound if
// cfg.AccountGateways is set, and within cfg.ConcurrencyFactor if that is set.
func (r *Report) checkMaxConcurrency(h *History, cfg Config, plans map[string]policy.Plan) {
	changes, limits := map[string][]concurrencyChange{}, map[string]int{} // by account
	for _, attempt := range h.Attempts {
		if plan := plans[attempt.Plan]; plan.MaxConcurrency > 0 {
			end := h.endOf(attempt)
			if end == 0 {
				end = h.Now()
			}
			limits[attempt.Account] = plan.MaxConcurrency
			changes[attempt.Account] = append(changes[attempt.Account], concurrencyChange{attempt.At, 1}, concurrencyChange{end, -1})
		}
	}
	var ring hashring.Ring
	requested := map[string][]sample{} // requests by account
	if len(cfg.AccountGateways) > 0 {
		ring = hashring.New(cfg.Gateways, hashring.PointsPerGateway(cfg.Gateways))
		for _, request := range h.Requests {
			requested[request.Account] = append(requested[request.Account], sample{request.SentAt.Seconds(), 1})
		}
	}
	for account, list := range changes {
		sort.Slice(list, func(i, j int) bool {
			return list[i].at < list[j].at || list[i].at == list[j].at && list[i].by < list[j].by
		})
		var allowed func(at time.Duration) (slots float64, faults []errorbound.Fault)
		if len(cfg.AccountGateways) > 0 {
			bounds := errorbound.Account{Gateways: cfg.AccountGateways[account].Count, MaxConcurrent: limits[account], RequestRate: peakRate(requested[account])}
			faults := faultsOf(h, cfg, ring, account)
			allowed = func(at time.Duration) (float64, []errorbound.Fault) {
				return errorbound.SlotExcessWithin(bounds, faults, at.Seconds())
			}
		}
		r.checkAccountConcurrency(cfg, account, limits[account], list, allowed)
	}
}

// checkAccountConcurrency replays the changes of one account's concurrency. The function allowed returns how many attempts may
// be open beyond the limit at a time, and the faults that permit them; nil: no error bound applies.
func (r *Report) checkAccountConcurrency(cfg Config, account string, limit int, changes []concurrencyChange, allowed func(time.Duration) (float64, []errorbound.Fault)) {
	open, most, mostAt, violated := 0, 0, time.Duration(0), false
	before := time.Duration(0)
	for _, change := range changes {
		r.SlotS += float64(min(open, limit)) * (change.at - before).Seconds()
		r.ExcessSlotS += float64(max(open-limit, 0)) * (change.at - before).Seconds()
		before = change.at
		if open += change.by; open > most {
			most, mostAt = open, change.at
		}
		if allowed == nil || open <= limit || change.by < 0 {
			continue
		}
		slots, faults := allowed(change.at)
		r.utilization("bound of open slots", float64(open-limit)/max(slots, 1))
		if float64(open-limit) > max(slots, 1) && !violated {
			violated = true
			r.violation(RuleMaxConcurrency, change.at, "%s had %d open attempts, its concurrency limit is %d and %.1f beyond it are allowed (%v)", account, open, limit, slots, faults)
		}
	}
	r.utilization("concurrency limit", float64(most)/float64(limit))
	if most >= limit {
		r.occasion(RuleMaxConcurrency, "accounts at their concurrency limit")
	}
	if cfg.ConcurrencyFactor > 0 && float64(most) > cfg.ConcurrencyFactor*float64(limit) {
		r.violation(RuleMaxConcurrency, mostAt, "%s had %d open attempts, its concurrency limit is %d", account, most, limit)
	}
}
