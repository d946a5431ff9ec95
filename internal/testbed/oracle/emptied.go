package oracle

import "time"

// Emptied is one drain of an ingress by operators, as it stood at the end of the time that they allow.
type Emptied struct {
	Forwarder int
	At        time.Duration // the end of that time
	Held      []string      // connections of clients that break the rule, each with how
}

// Empty records the end of the time for a drain.
func (h *History) Empty(e Emptied) {
	h.do(func() {
		e.At = h.Now()
		h.Emptied = append(h.Emptied, e)
	})
}

// Count is what an ingress counted of rules that it broke itself, by its own log.
type Count struct {
	Party  string
	Broken []string // lines, as many as the log holds
}

// Counts records what an ingress counted.
func (h *History) Counts(c Count) { h.do(func() { h.Counted = append(h.Counted, c) }) }

// emptied looks for clients that a drained ingress still held.
func (rep *Report) emptied(h *History) {
	for _, e := range h.Emptied {
		rep.saw(DrainEnd, "drains that came to the end of their time")
		for _, how := range e.Held {
			rep.breach(DrainEnd, e.At, "%s still holds a client's connection, %s", Party(e.Forwarder), how)
		}
	}
}

// counted looks for what ingresses counted themselves.
func (rep *Report) counted(h *History) {
	for _, c := range h.Counted {
		rep.saw(OwnCount, "logs of ingresses")
		for _, line := range c.Broken {
			rep.breach(OwnCount, h.Now(), "%s: %s", c.Party, line)
		}
	}
}
