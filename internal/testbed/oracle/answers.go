package oracle

import (
	"slices"
	"time"

	"eiderspread/policy"
)

const (
	// rejectionDelay is how long after the end of a request's last attempt its rejection still counts as prompt.
	rejectionDelay = 100 * time.Millisecond
	// disconnectGraceS is how long, in seconds, a queued request may still be sent after its client has disconnected.
	disconnectGraceS = 0.3
)

// checkAnswers checks what clients receive: each request gets one answer, in time and with its own value, and a non-idempotent
// request that may have run is not rejected. It also counts the results. attemptsOf has the attempts by Request.key.
func (r *Report) checkAnswers(h *History, cfg Config, classes map[string]policy.Class, attemptsOf map[string][]*Attempt) {
	now := h.Now()
	for _, request := range h.Requests {
		r.Results[request.Result]++
		attempts := attemptsOf[request.key()]
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return !a.served() }) {
			r.occasion(RuleNoRequestLost, "requests with an attempt that was not served")
		}
		if len(attempts) > 1 {
			r.occasion(RuleOneAnswer, "requests with several attempts")
		}
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Outcome == outcomeCopy || a.Outcome == outcomeLate }) {
			r.occasion(RuleOneAnswer, "late and duplicate answers")
		}
		r.checkDisconnected(h, request, attempts, cfg)
		if request.BatchIndex > 1 && request.Answers > 0 {
			r.occasion(RuleAnswerOrder, "answers to pipelined requests after the first")
		}
		r.checkResult(h, cfg, now, request, attempts)
		if request.Result == Served && !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.AnsweredAt > 0 }) {
			r.violation(RuleOneAnswer, request.AnsweredAt, "%s was served although no backend answered it", request.ID)
		}
		if classes[request.Class].Idempotency != policy.NonIdempotent || request.Result == Served || request.Result == Disconnected {
			continue
		}
		if i := slices.IndexFunc(attempts, (*Attempt).MayHaveRun); i >= 0 {
			r.occasion(RuleNoDuplicateEffect, "final answers to non-idempotent requests that may have run, not served")
			if request.Result == Rejected {
				r.violation(RuleNoDuplicateEffect, request.AnsweredAt, "%s was rejected although it may have run: outcome %s at %s%s", request.ID, attempts[i].Outcome, attempts[i].Node, request.resent())
			}
		}
	}
}

// checkResult checks the result of one request and the time of its answer. It reports at most one violation.
func (r *Report) checkResult(h *History, cfg Config, now time.Duration, request *Request, attempts []*Attempt) {
	due := request.Deadline + duration(cfg.AnswerGraceS)
	excused := slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Forwarder == request.Forwarder && o.From <= due && o.To >= request.SentAt
	})
	pipelined := request.BatchIndex >= 2 // its answer may have to wait for those of earlier requests
	switch {
	case request.Answers > 1:
		r.violation(RuleOneAnswer, request.AnsweredAt, "%s received %d answers, expected one", request.ID, request.Answers)
	case request.Result == ForeignReply && request.BatchIndex > 0:
		r.violation(RuleAnswerOrder, request.AnsweredAt, "%s, number %d on its connection, received the value of another request", request.ID, request.BatchIndex)
	case request.Result == ForeignReply:
		r.violation(RuleOneAnswer, request.AnsweredAt, "%s received the value of another request", request.ID)
	case request.Result == Disconnected, request.NotAccepted, excused:
	case (request.Result == Pending || request.Result == ConnectionLost) && due < now:
		r.violation(RuleNoRequestLost, request.SentAt, "%s at forwarder %d received no answer", request.ID, request.Forwarder)
	case pipelined:
	case h.rejectedLate(cfg, request, attempts):
		r.violation(RuleNoRequestLost, request.AnsweredAt, "%s was rejected or failed only after its deadline, although no attempt was in flight", request.ID)
	case request.Answers == 1 && request.AnsweredAt > due:
		r.violation(RuleNoRequestLost, request.AnsweredAt, "%s was answered %v after its deadline", request.ID, request.AnsweredAt-request.Deadline)
	}
}

// rejectedLate reports whether a request was rejected or failed more than cfg.LateRejectionS after its deadline, although no
// attempt was in flight within rejectionDelay before that.
func (h *History) rejectedLate(cfg Config, request *Request, attempts []*Attempt) bool {
	if cfg.LateRejectionS <= 0 || request.Result != Rejected && request.Result != Failed ||
		request.AnsweredAt <= request.Deadline+duration(cfg.LateRejectionS) {
		return false
	}
	return !slices.ContainsFunc(attempts, func(a *Attempt) bool {
		end := h.endOf(a)
		return end == 0 || end > request.AnsweredAt-rejectionDelay
	})
}

// checkDisconnected reports attempts that reached a backend too long after the request's client had disconnected. If the forwarder was cut
// off or paused then, the time counts from the end of that.
func (r *Report) checkDisconnected(h *History, request *Request, attempts []*Attempt, cfg Config) {
	if request.DisconnectedAt == 0 {
		return
	}
	noticeableAt := request.DisconnectedAt
	for _, o := range h.Outages {
		if o.Forwarder == request.Forwarder && o.From <= request.DisconnectedAt {
			noticeableAt = max(noticeableAt, o.To)
		}
	}
	if !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.At <= request.DisconnectedAt }) {
		r.occasion(RuleDisconnectedClient, "clients that disconnected before an attempt reached a backend")
	}
	for _, attempt := range attempts {
		if attempt.At > noticeableAt+duration(disconnectGraceS+cfg.MaxOverlapS) {
			r.violation(RuleDisconnectedClient, attempt.At, "%s reached %s %v after its client had disconnected", attempt.ID, attempt.Node, attempt.At-request.DisconnectedAt)
		}
	}
}
