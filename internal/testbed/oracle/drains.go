package oracle

import (
	"slices"
	"time"
)

const (
	// replacementGrace is how long after the begin of a hot restart a notice need not bind both processes, as one of them may
	// have been notified alone.
	replacementGrace = 2 * time.Second
	// recentWork is how long before a drain or cordon a send makes it an occasion.
	recentWork = time.Second
)

// link is a pair of an ingress and a node.
type link struct{ ingress, node string }

// linkOf returns the link on which an attempt of a request was sent.
func linkOf(request *Request, attempt *Attempt) link {
	return link{IngressName(request.Forwarder), attempt.Node}
}

// checkDrains looks for sends to a node too long after the forwarder was notified that it drains or is gone.
func (r *Report) checkDrains(h *History, cfg Config, requests map[string]*Request) {
	notices := map[link][]Notice{}
	restarts := map[string][]time.Duration{} // when an ingress came back and knew only its last list
	for _, o := range append(slices.Clone(h.Outages), h.Restarts...) {
		ingress := IngressName(o.Forwarder)
		restarts[ingress] = append(restarts[ingress], o.To)
	}
	for _, notice := range h.Notices {
		k := link{notice.Observer, notice.Node}
		notices[k] = append(notices[k], notice)
	}
	grace := duration(cfg.DrainGraceS) + deliveryGrace
	sends := map[link][]time.Duration{}
	for _, attempt := range h.Attempts {
		request := requests[attempt.key()]
		if request == nil {
			continue
		}
		k := linkOf(request, attempt)
		sends[k] = append(sends[k], attempt.At)
		last := Notice{State: stateInService}
		for _, notice := range notices[k] {
			forgotten := func(restart time.Duration) bool { return notice.At < restart && restart < attempt.At }
			if notice.At < attempt.At && !slices.ContainsFunc(restarts[notice.Observer], forgotten) {
				last = notice
			}
		}
		if last.State != stateInService && attempt.At > h.bindingFrom(request.Forwarder, last.At)+grace {
			r.violation(RuleDrain, attempt.At, "%s came to %s %v after forwarder %d was told %q", attempt.ID, attempt.Node, attempt.At-last.At, request.Forwarder, last.State)
		}
	}
	for _, notice := range h.Notices {
		if notice.State == stateInService {
			continue
		}
		recent := func(at time.Duration) bool { return at < notice.At && at > notice.At-recentWork }
		if slices.ContainsFunc(sends[link{notice.Observer, notice.Node}], recent) {
			r.occasion(RuleDrain, "told "+notice.State+" with work in the second before")
		}
	}
}

// bindingFrom returns from when on a forwarder has to comply with a notice.
func (h *History) bindingFrom(forwarder int, notified time.Duration) time.Duration {
	from := notified
	for _, o := range h.Replacements {
		if o.Forwarder == forwarder && notified >= o.From && notified < o.From+replacementGrace {
			from = max(from, o.From+replacementGrace)
		}
	}
	return from
}

// checkCordons looks for sends to cordoned nodes, which neither discovery nor a new process of the ingress may allow. It also
// counts the requests in flight during hot restarts.
func (r *Report) checkCordons(h *History, cfg Config, requests map[string]*Request) {
	sent := map[link][]*Attempt{}
	for _, attempt := range h.Attempts {
		if request := requests[attempt.key()]; request != nil {
			k := linkOf(request, attempt)
			sent[k] = append(sent[k], attempt)
		}
	}
	grace := duration(cfg.DrainGraceS) + deliveryGrace
	for _, cordon := range h.Cordons {
		recent := false
		for _, attempt := range sent[link{cordon.Ingress, cordon.Node}] {
			recent = recent || attempt.At < cordon.From && attempt.At > cordon.From-recentWork
			if attempt.At > cordon.From+grace && (cordon.To == 0 || attempt.At < cordon.To) {
				r.violation(RuleCordon, attempt.At, "%s came to %s %v after operators took it out at %s", attempt.ID, attempt.Node, attempt.At-cordon.From, cordon.Ingress)
			}
		}
		if recent {
			r.occasion(RuleCordon, "held with work in the second before")
		}
	}
	for _, o := range h.Replacements {
		for _, request := range h.Requests {
			if request.Forwarder == o.Forwarder && request.SentAt < o.To && request.AnsweredAt > o.From {
				r.occasion(RuleReplacement, "tries under way while their program was replaced")
			}
		}
	}
}

// checkDrainEnds looks for clients' connections that a drained ingress still held at the end of the allowed time.
func (r *Report) checkDrainEnds(h *History) {
	for _, d := range h.DrainResults {
		r.occasion(RuleDrainEnd, "drains that came to the end of their time")
		for _, state := range d.OpenConnections {
			r.violation(RuleDrainEnd, d.At, "%s still holds a client's connection, %s", IngressName(d.Forwarder), state)
		}
	}
}

// checkSelfReports reports the broken rules that ingresses counted themselves.
func (r *Report) checkSelfReports(h *History) {
	for _, v := range h.IngressViolations {
		r.occasion(RuleIngressSelfCheck, "logs of ingresses")
		for _, line := range v.Lines {
			r.violation(RuleIngressSelfCheck, h.Now(), "%s: %s", v.Ingress, line)
		}
	}
}
