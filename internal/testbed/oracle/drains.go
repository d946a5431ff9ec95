package oracle

import (
	"slices"
	"time"
)

const (
	// hotRestartGrace is how long after the start of a hot restart a notice need not take effect, as only one of the two
	// processes may have received it.
	hotRestartGrace = 2 * time.Second
	// recentAttemptWindow is the time before a drain or cordon in which an attempt must have reached the node for it to count as an
	// occasion.
	recentAttemptWindow = time.Second
)

// link identifies a node as one ingress sees it.
type link struct{ ingress, node string }

// linkOf returns the link on which an attempt of a request was sent.
func linkOf(request *Request, attempt *Attempt) link {
	return link{IngressName(request.Forwarder), attempt.Node}
}

// checkDrains reports attempts that reached a node too long after the forwarder was notified that the node drains or is gone.
func (r *Report) checkDrains(h *History, cfg Config, requests map[string]*Request) {
	notices := map[link][]Notice{}
	restarts := map[string][]time.Duration{} // when an ingress was back with only its last list: earlier notices bind it no longer
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
			r.violation(RuleDrain, attempt.At, "%s reached %s %v after forwarder %d was notified of state %q", attempt.ID, attempt.Node, attempt.At-last.At, request.Forwarder, last.State)
		}
	}
	for _, notice := range h.Notices {
		if notice.State == stateInService {
			continue
		}
		recent := func(at time.Duration) bool { return at < notice.At && at > notice.At-recentAttemptWindow }
		if slices.ContainsFunc(sends[link{notice.Observer, notice.Node}], recent) {
			r.occasion(RuleDrain, "notified of "+notice.State+" within a second after an attempt")
		}
	}
}

// bindingFrom returns the time from which a forwarder has to comply with a notice that arrived at notified.
func (h *History) bindingFrom(forwarder int, notified time.Duration) time.Duration {
	from := notified
	for _, o := range h.HotRestarts {
		if o.Forwarder == forwarder && notified >= o.From && notified < o.From+hotRestartGrace {
			from = max(from, o.From+hotRestartGrace)
		}
	}
	return from
}

// checkCordons reports attempts that reached a cordoned node. Neither discovery nor a new process of the ingress may lift a
// cordon. It also counts the requests in flight during hot restarts, as occasions of RuleHotRestart.
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
			recent = recent || attempt.At < cordon.From && attempt.At > cordon.From-recentAttemptWindow
			if attempt.At > cordon.From+grace && (cordon.To == 0 || attempt.At < cordon.To) {
				r.violation(RuleCordon, attempt.At, "%s reached %s %v after operators cordoned it at %s", attempt.ID, attempt.Node, attempt.At-cordon.From, cordon.Ingress)
			}
		}
		if recent {
			r.occasion(RuleCordon, "cordoned within a second after an attempt")
		}
	}
	for _, o := range h.HotRestarts {
		for _, request := range h.Requests {
			if request.Forwarder == o.Forwarder && request.SentAt < o.To && request.AnsweredAt > o.From {
				r.occasion(RuleHotRestart, "requests in flight during a hot restart")
			}
		}
	}
}

// checkDrainEnds reports clients' connections that a drained ingress still held at the end of the allowed time.
func (r *Report) checkDrainEnds(h *History) {
	for _, d := range h.DrainResults {
		r.occasion(RuleDrainEnd, "drains at the end of their allowed time")
		for _, state := range d.OpenConnections {
			r.violation(RuleDrainEnd, d.At, "%s still holds a client's connection after its drain: %s", IngressName(d.Forwarder), state)
		}
	}
}

// checkSelfReports reports the rule violations that ingresses detected themselves.
func (r *Report) checkSelfReports(h *History) {
	for _, v := range h.IngressViolations {
		r.occasion(RuleIngressSelfCheck, "ingress logs checked")
		for _, line := range v.Lines {
			r.violation(RuleIngressSelfCheck, h.Now(), "%s: %s", v.Ingress, line)
		}
	}
}
