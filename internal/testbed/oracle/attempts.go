package oracle

import (
	"time"

	"eiderspread/policy"
)

// endOf returns when an attempt was over for its sender, by the backend's record or by the end of its connection; 0: it never
// was.
func (h *History) endOf(attempt *Attempt) time.Duration {
	end := attempt.End
	if attempt.AnsweredAt > 0 && attempt.AnsweredAt < end { // the sender has its answer, whatever the backend does afterwards
		end = attempt.AnsweredAt
	}
	for _, at := range h.ConnectionEnds[attempt.Conn] {
		if at >= attempt.At {
			if end == 0 || at < end {
				end = at
			}
			break
		}
	}
	return end
}

// abandonedBefore reports whether the sender had closed an attempt's connection by a time before the attempt arrived: the
// bytes of the next attempt overtook it, and the two never were open together.
func (h *History) abandonedBefore(attempt *Attempt, at time.Duration) bool {
	ends := h.ConnectionEnds[attempt.Conn]
	return len(ends) > 0 && ends[0] < attempt.At && ends[0] <= at
}

// checkAttempts holds the rules on the attempts of one request, in the order of their arrival. The request is nil where no
// client sent it.
func (r *Report) checkAttempts(h *History, cfg Config, class policy.Class, attempts []*Attempt, request *Request) {
	effects, started := 0, 0
	for i, attempt := range attempts {
		if attempt.Started {
			if started++; !attempt.KnownKey {
				effects++
			}
		}
		if attempt.MayHaveRun() && !attempt.served() && class.Idempotency != policy.Idempotent && (request == nil || request.DisconnectedAt == 0) {
			r.occasion(RuleNoDuplicateEffect, class.Name+" that may have run, unserved")
		}
		if i > 0 {
			r.checkRetry(h, cfg, class, attempts[i-1], attempt, request)
		}
	}
	id, first := attempts[0].ID, attempts[0].At
	if cfg.MaxAttempts > 0 {
		if len(attempts) >= cfg.MaxAttempts {
			r.occasion(RuleAttemptLimit, "tries with as many attempts as are allowed")
		}
		if len(attempts) > cfg.MaxAttempts {
			r.violation(RuleAttemptLimit, attempts[cfg.MaxAttempts].At, "%s came to nodes %d times, %d are allowed", id, len(attempts), cfg.MaxAttempts)
		}
	}
	if class.Idempotency == policy.NonIdempotent && started > 1 {
		r.violation(RuleNoDuplicateEffect, first, "%s ran %d times", id, started)
	}
	if class.Idempotency == policy.KeyedIdempotent && effects > 1 {
		r.violation(RuleNoDuplicateEffect, first, "%s had %d effects", id, effects)
	}
}

// checkRetry holds the rules on one retry, by the attempt before it.
func (r *Report) checkRetry(h *History, cfg Config, class policy.Class, before, attempt *Attempt, request *Request) {
	r.occasion(RuleOneOpenAttempt, "further attempts")
	r.Retries[class.Name+" after "+before.Outcome]++
	overlap := duration(cfg.MaxOverlapS)
	if end := h.endOf(before); (end == 0 || end > attempt.At+overlap) && !h.abandonedBefore(attempt, before.At) {
		r.violation(RuleOneOpenAttempt, attempt.At, "%s came to %s while out at %s (%s, from %.3f to %.3f s)", attempt.ID, attempt.Node, before.Node, before.Outcome, before.At.Seconds(), end.Seconds())
	}
	if class.Idempotency == policy.NonIdempotent && before.MayHaveRun() {
		r.violation(RuleNoDuplicateEffect, attempt.At, "%s came to %s though it may have run: %s at %s", attempt.ID, attempt.Node, before.Outcome, before.Node)
	}
	if request != nil && request.AnsweredAt > 0 && request.Result != Disconnected && attempt.At > request.AnsweredAt+overlap {
		r.violation(RuleOneAnswer, attempt.At, "%s came to %s %v after its final answer", attempt.ID, attempt.Node, attempt.At-request.AnsweredAt)
	}
}
