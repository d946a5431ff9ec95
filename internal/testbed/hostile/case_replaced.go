package hostile

import (
	"net"
	"sync"
	"time"
)

func init() {
	register(Case{Name: "replaced-backends", What: "backends die in the middle of requests, and new processes come up at their addresses at once", Overloads: true,
		play: playReplacedBackends})
	register(Case{Name: "replaced-programs", What: "planners, or the other ingress, are killed and new processes come up at their addresses at once", Overloads: true,
		play: playReplacedPrograms})
}

const replaceInterval = 250 * time.Millisecond

// sendUntil has clients send requests of all classes one after the other until end. A request that must not run twice may come to backends
// once, and each has to get its final answer in time, unless the ingress itself dies.
func (r *Rig) sendUntil(res *Result, end time.Time) {
	const clients = 12
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			var c *client
			for time.Now().Before(end) {
				q := newRequest([]string{"courier-send", "slot-hold", "zone-check"}[i%3])
				q.Plan = planBasic
				var a answer
				c, a = r.requestAgain(c, q)
				res.occasion()
				res.count(a.outcome)
				if a.outcome == Cut || a.outcome == Late {
					res.breach("%s: %s %s after %v", q.Class, a.outcome, a.text, a.after.Round(time.Millisecond))
					c = nil
				}
				if calls := r.callsOf(q.ID); q.Class == "courier-send" && len(calls) > 1 {
					res.breach("%s came to backends %d times", q.Class, len(calls))
				}
			}
		})
	}
	all.Wait()
}

func playReplacedBackends(r *Rig, res *Result, length time.Duration) {
	end := time.Now().Add(length)
	answer := func(c net.Conn, call Call) error {
		if call.Class != otherClass {
			time.Sleep(slowWork)
		}
		return serveID(c, call)
	}
	for _, b := range r.Backends {
		b.setAnswerer(answer)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(end); i++ {
			old := r.Backends[i%len(r.Backends)]
			if err := old.replace(); err != nil {
				res.breach("new process at %s: %v", old.addr, err)
			}
			time.Sleep(replaceInterval / 10)
		}
	}()
	r.sendUntil(res, end)
	<-done
}

func playReplacedPrograms(r *Rig, res *Result, length time.Duration) {
	end := time.Now().Add(length)
	r.workSlowly("courier-send")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; time.Now().Before(end); i++ {
			p := r.fleet.Forwarders[1]
			if n := len(r.fleet.Planners); n > 0 {
				p = r.fleet.Planners[i%n]
			}
			p.Kill()
			if err := p.Start(); err != nil {
				res.breach("start %s: %v", p.Name, err)
			}
			time.Sleep(2 * replaceInterval)
		}
	}()
	r.sendUntil(res, end)
	<-done
}
