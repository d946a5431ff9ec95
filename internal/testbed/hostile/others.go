package hostile

import (
	"sync"
	"time"
)

const (
	otherClients  = 4
	otherInterval = 20 * time.Millisecond
	// otherLimit is how long the answer of a client that behaves may take, beside a backend that answers at once. The rule is the
	// request's own time, which is longer.
	otherLimit = time.Second
)

// watchOthers has some clients send a request now and then on connections of their own, until stop is called. Their answers are recorded, and
// each one that is not a value, or slow, breaks a rule.
// With mayReject the case overloads the backends, so that others may be rejected too.
func (r *Rig) watchOthers(res *Result, mayReject bool) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for range otherClients {
		all.Go(func() {
			account := newRequest(otherClass).Account
			var c *client
			for {
				select {
				case <-done:
					return
				case <-time.After(otherInterval):
				}
				q := newRequest(otherClass)
				q.Account, q.Wait = account, seconds(otherWaitS)
				var a answer
				c, a = r.requestAgain(c, q)
				res.other(a)
				waits := mayReject && (a.outcome == Served || a.outcome == Rejected)
				if !waits && (a.outcome != Served || a.after > otherLimit) {
					res.breach("another client's request: %s %s after %v", a.outcome, a.text, a.after.Round(time.Millisecond))
				}
				if c != nil && (a.outcome == Cut || a.outcome == Late) {
					c.Close()
					c = nil
				}
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}
