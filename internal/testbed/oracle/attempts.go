package oracle

import (
	"time"

	"eiderspread/policy"
)

// endOf returns when an attempt ended for its sender: by the backend's record, or by the end of its connection if that is
// earlier; 0: it is still open.
func (h *History) endOf(attempt *Attempt) time.Duration {
	end := attempt.End
	if attempt.AnsweredAt > 0 && attempt.AnsweredAt < end { // the answer ends the attempt for its sender, even if the backend goes on
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

// abandonedBefore reports whether the sender had ended an attempt's connection by a time, although the attempt arrived only
// after that end: the bytes of the next attempt overtook it, and the two were never open at once.
func (h *History) abandonedBefore(attempt *Attempt, at time.Duration) bool {
	ends := h.ConnectionEnds[attempt.Conn]
	return len(ends) > 0 && ends[0] < attempt.At && ends[0] <= at
}

// checkAttempts checks the attempts of one request, in order of arrival. The request is nil if no client of the testbed sent
// it.
func (r *Report) checkAttempts(h *History, cfg Config, class policy.Class, attempts []*Attempt, request *Request) {
	effects, started := 0, 0
	for i, attempt := range attempts {
		if attempt.Started {
			if started++; !attempt.KnownKey {
				effects++
			}
		}
		if attempt.MayHaveRun() && !attempt.served() && class.Idempotency != policy.Idempotent && (request == nil || request.DisconnectedAt == 0) {
			r.occasion(RuleNoDuplicateEffect, class.Name+" attempts that may have run, not served")
		}
		if i > 0 {
			r.checkRetry(h, cfg, class, attempts[i-1], attempt, request)
		}
	}
	id, first := attempts[0].ID, attempts[0].At
	if cfg.MaxAttempts > 0 {
		if len(attempts) >= cfg.MaxAttempts {
			r.occasion(RuleAttemptLimit, "requests with at least as many attempts as are allowed")
		}
		if len(attempts) > cfg.MaxAttempts {
			r.violation(RuleAttemptLimit, attempts[cfg.MaxAttempts].At, "%s reached backends %d times, %d are allowed", id, len(attempts), cfg.MaxAttempts)
		}
	}
	if class.Idempotency == policy.NonIdempotent && started > 1 {
		r.violation(RuleNoDuplicateEffect, first, "%s is not idempotent and ran %d times%s", id, started, request.resent())
	}
	if class.Idempotency == policy.KeyedIdempotent && effects > 1 {
		r.violation(RuleNoDuplicateEffect, first, "%s had %d effects under one idempotency key%s", id, effects, request.resent())
	}
}

// checkRetry checks one retry against the attempt before it.
func (r *Report) checkRetry(h *History, cfg Config, class policy.Class, before, attempt *Attempt, request *Request) {
	r.occasion(RuleOneOpenAttempt, "retries")
	r.Retries[class.Name+" after "+before.Outcome]++
	overlap := duration(cfg.MaxOverlapS)
	if end := h.endOf(before); (end == 0 || end > attempt.At+overlap) && !h.abandonedBefore(attempt, before.At) {
		r.violation(RuleOneOpenAttempt, attempt.At, "%s reached %s while its attempt at %s was open (%s, from %.3f to %.3f s)", attempt.ID, attempt.Node, before.Node, before.Outcome, before.At.Seconds(), end.Seconds())
	}
	if class.Idempotency == policy.NonIdempotent && before.MayHaveRun() {
		r.violation(RuleNoDuplicateEffect, attempt.At, "%s reached %s although it may have run: outcome %s at %s%s", attempt.ID, attempt.Node, before.Outcome, before.Node, request.resent())
	}
	if request != nil && request.AnsweredAt > 0 && request.Result != Disconnected && attempt.At > request.AnsweredAt+overlap {
		r.violation(RuleOneAnswer, attempt.At, "%s reached %s %v after its final answer", attempt.ID, attempt.Node, attempt.At-request.AnsweredAt)
	}
}
