package oracle

import "time"

// DrainResult is one drain of an ingress by operators, as it stood at the end of the time that they allow.
type DrainResult struct {
	Forwarder       int
	At              time.Duration // the end of that time
	OpenConnections []string      `json:"Held"` // connections of clients that break the rule, each with how
}

// AddDrainResult records the end of the time for a drain.
func (h *History) AddDrainResult(e DrainResult) {
	h.locked(func() {
		e.At = h.Now()
		h.DrainResults = append(h.DrainResults, e)
	})
}

// IngressViolations is what an ingress counted of rules that it broke itself, by its own log.
type IngressViolations struct {
	Party string
	Lines []string `json:"Broken"` // lines, as many as the log holds
}

// AddIngressViolations records what an ingress counted.
func (h *History) AddIngressViolations(c IngressViolations) {
	h.locked(func() { h.IngressViolations = append(h.IngressViolations, c) })
}

// checkDrainEnds looks for clients that a drained ingress still held.
func (r *Report) checkDrainEnds(h *History) {
	for _, e := range h.DrainResults {
		r.occasion(RuleDrainEnd, "drains that came to the end of their time")
		for _, how := range e.OpenConnections {
			r.violation(RuleDrainEnd, e.At, "%s still holds a client's connection, %s", PartyName(e.Forwarder), how)
		}
	}
}

// checkSelfReports looks for what ingresses counted themselves.
func (r *Report) checkSelfReports(h *History) {
	for _, c := range h.IngressViolations {
		r.occasion(RuleIngressSelfCheck, "logs of ingresses")
		for _, line := range c.Lines {
			r.violation(RuleIngressSelfCheck, h.Now(), "%s: %s", c.Party, line)
		}
	}
}
