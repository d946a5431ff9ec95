package oracle

import (
	"math"
	"time"
)

// fewRequests is the number of requests below which withChanceSlack allows more.
const fewRequests = 30

// withChanceSlack returns a work budget plus the slack that operators allow for random variation. If N requests of mean work fit
// the budget, the slack is the work of 2*sqrt(N)+2 requests, or of 3*sqrt(N)+3 if N is below fewRequests.
func withChanceSlack(budget, mean float64) float64 {
	n := budget / max(mean, epsilon)
	slack := 2*math.Sqrt(n) + 2
	if n < fewRequests {
		slack = 3*math.Sqrt(n) + 3
	}
	return (n + slack) * mean
}

// checkSlowStart checks the work that all ingresses together sent to each starting backend against its budget.
func (r *Report) checkSlowStart(h *History, cfg Config) {
	if cfg.SlowStartFactor <= 0 {
		return
	}
	warmUps := make([][]*Attempt, len(h.Incarnations))
	for _, attempt := range h.Attempts {
		if n := h.Incarnations[attempt.Incarnation]; (attempt.At - n.StartedAt).Seconds() < n.WarmUpS {
			warmUps[attempt.Incarnation] = append(warmUps[attempt.Incarnation], attempt)
			r.occasion(RuleSlowStart, "attempts at backends in slow start")
		}
	}
	for i, attempts := range warmUps {
		r.checkWarmUp(cfg, h.Incarnations[i], attempts)
	}
}

// checkWarmUp checks the attempts that one incarnation received during its warm-up against its budget. It stops at the first
// violation.
func (r *Report) checkWarmUp(cfg Config, incarnation Incarnation, attempts []*Attempt) {
	window := duration(cfg.SlowStartWindowS)
	from, sum, mean := 0, 0.0, 0.0
	for _, attempt := range attempts {
		mean += attempt.Work / float64(len(attempts))
	}
	for _, attempt := range attempts {
		sum += attempt.Work
		for attempts[from].At < attempt.At-window {
			sum -= attempts[from].Work
			from++
		}
		age := attempt.At - incarnation.StartedAt
		budget := cfg.SlowStartFactor * incarnation.Capacity * incarnation.warmUpFraction(age.Seconds()) * cfg.SlowStartWindowS
		allowed := budget * (1 + cfg.SlowStartSlack)
		if cfg.SlowStartRandomSlack {
			allowed = withChanceSlack(budget, mean)
		}
		r.utilization("backend's slow-start budget", sum/budget)
		if sum > allowed {
			r.violation(RuleSlowStart, attempt.At, "%s, %v after its start, was sent %.2f core seconds of work within %v, its budget is %.2f", incarnation.Node, age.Round(time.Millisecond), sum, window, budget)
			break
		}
	}
}
