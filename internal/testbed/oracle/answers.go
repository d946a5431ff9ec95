package oracle

import (
	"slices"
	"time"

	"eiderspread/policy"
)

const (
	// rejectionDelay is how long after the end of a request's last attempt its rejection still counts as prompt.
	rejectionDelay = 100 * time.Millisecond
	// disconnectGraceS is how many seconds after its client has disconnected a queued request may still be sent.
	disconnectGraceS = 0.3
)

// checkAnswers holds the rules on what clients receive: one answer each, in time and their own, and no rejection of a request
// that may have run. The attempts are by request.
func (r *Report) checkAnswers(h *History, cfg Config, classes map[string]policy.Class, attemptsOf map[string][]*Attempt) {
	now := h.Now()
	for _, request := range h.Requests {
		r.Results[request.Result]++
		attempts := attemptsOf[request.key()]
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return !a.served() }) {
			r.occasion(RuleNoRequestLost, "tries that met trouble")
		}
		if len(attempts) > 1 {
			r.occasion(RuleOneAnswer, "tries with several attempts")
		}
		if slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.Outcome == outcomeCopy || a.Outcome == outcomeLate }) {
			r.occasion(RuleOneAnswer, "late answers and copies")
		}
		r.checkDisconnected(request, attempts, cfg)
		if request.BatchIndex > 1 && request.Answers > 0 {
			r.occasion(RuleAnswerOrder, "answers behind others on a connection")
		}
		r.checkResult(h, cfg, now, request, attempts)
		if request.Result == Served && !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.AnsweredAt > 0 }) {
			r.violation(RuleOneAnswer, request.AnsweredAt, "%s was served though no node has", request.ID)
		}
		if classes[request.Class].Idempotency != policy.NonIdempotent || request.Result == Served || request.Result == Disconnected {
			continue
		}
		if i := slices.IndexFunc(attempts, (*Attempt).MayHaveRun); i >= 0 {
			r.occasion(RuleNoDuplicateEffect, "final answers of unsafe tries that may have run, unserved")
			if request.Result == Rejected {
				r.violation(RuleNoDuplicateEffect, request.AnsweredAt, "%s was refused though it may have run: %s at %s", request.ID, attempts[i].Outcome, attempts[i].Node)
			}
		}
	}
}

// checkResult holds the rules on one request's result and its time. It reports the first violation only.
func (r *Report) checkResult(h *History, cfg Config, now time.Duration, request *Request, attempts []*Attempt) {
	due := request.Deadline + duration(cfg.AnswerGraceS)
	excused := slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Forwarder == request.Forwarder && o.From <= due && o.To >= request.SentAt
	})
	pipelined := request.BatchIndex >= 2 // its answer may have to queue behind others
	switch {
	case request.Answers > 1:
		r.violation(RuleOneAnswer, request.AnsweredAt, "%s has %d answers", request.ID, request.Answers)
	case request.Result == ForeignReply && request.BatchIndex > 0:
		r.violation(RuleAnswerOrder, request.AnsweredAt, "%s, number %d of its connection, was served with another's value", request.ID, request.BatchIndex)
	case request.Result == ForeignReply:
		r.violation(RuleOneAnswer, request.AnsweredAt, "%s was served with another's value", request.ID)
	case request.Result == Disconnected, request.NotAccepted, excused:
	case (request.Result == Pending || request.Result == ConnectionLost) && due < now:
		r.violation(RuleNoRequestLost, request.SentAt, "%s at forwarder %d has no answer", request.ID, request.Forwarder)
	case pipelined:
	case h.rejectedLate(cfg, request, attempts):
		r.violation(RuleNoRequestLost, request.AnsweredAt, "%s got its final answer at its deadline, with nothing under way", request.ID)
	case request.Answers == 1 && request.AnsweredAt > due:
		r.violation(RuleNoRequestLost, request.AnsweredAt, "%s was answered %v late", request.ID, request.AnsweredAt-request.Deadline)
	}
}

// rejectedLate reports whether a request was rejected or failed only after its deadline, though no attempt was in flight.
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

// checkDisconnected looks for attempts that were sent after the client of a queued request had disconnected.
func (r *Report) checkDisconnected(request *Request, attempts []*Attempt, cfg Config) {
	if request.DisconnectedAt == 0 {
		return
	}
	if !slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.At <= request.DisconnectedAt }) {
		r.occasion(RuleDisconnectedClient, "clients that left while their request waited")
	}
	for _, attempt := range attempts {
		if attempt.At > request.DisconnectedAt+duration(disconnectGraceS+cfg.MaxOverlapS) {
			r.violation(RuleDisconnectedClient, attempt.At, "%s came to %s %v after its client had left", attempt.ID, attempt.Node, attempt.At-request.DisconnectedAt)
		}
	}
}
