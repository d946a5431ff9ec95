package hostile

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() {
	register(Case{Name: "leave-pipelined", What: "clients close their connections with much unread, of requests and of answers", Overloads: true, play: playLeavePipelined})
	register(Case{Name: "leave-and-return", What: "clients leave and send a request of the same id again on another connection", play: playLeaveAndReturn})
	register(Case{Name: "leave-and-return-upgrade", What: "clients leave, the ingress is replaced by a new process, and they send a request of the same id again",
		play: playLeaveAndReturnUpgrade})
}

const (
	sendAfterCloseLimit = 150 * time.Millisecond // the rule's 0.1 s and its margin on sockets
	slowWork            = 150 * time.Millisecond // of a backend for one request
)

// workSlowly has all backends take slowWork for each call of a class, and then answer with its id.
func (r *Rig) workSlowly(class string) {
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			if call.Class == class {
				time.Sleep(slowWork)
			}
			return serveID(c, call)
		})
	}
}

// callsOf returns the calls of an id at all backends.
func (r *Rig) callsOf(id string) (calls []Call) {
	for _, b := range r.Backends {
		calls = append(calls, b.calls(id)...)
	}
	return calls
}

// leaving is how a client leaves.
type leaving struct {
	after     time.Duration // it has sent its requests
	halfClose bool          // closes its sending side first, and the whole a second later
}

// playLeavePipelined has clients send many requests at once and leave. No request may be sent on afterwards.
func playLeavePipelined(r *Rig, res *Result, _ time.Duration) {
	const clients, requests = 4, 300
	r.workSlowly("courier-send")
	for _, way := range []leaving{{0, false}, {5 * time.Millisecond, false}, {60 * time.Millisecond, false}, {200 * time.Millisecond, false},
		{0, true}, {5 * time.Millisecond, true}, {60 * time.Millisecond, true}} {
		var all sync.WaitGroup
		for range clients {
			all.Go(func() { r.leavePipelined(res, requests, way) })
		}
		all.Wait()
	}
}

func (r *Rig) leavePipelined(res *Result, requests int, way leaving) {
	c, err := r.dial(false)
	if err != nil {
		res.breach("connect: %v", err)
		return
	}
	var ids []string
	var text strings.Builder
	for range requests {
		q := newRequest("courier-send")
		ids = append(ids, q.ID)
		text.WriteString(q.encode())
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		res.breach("requests: %v", err)
		return
	}
	time.Sleep(way.after)
	left := time.Now()
	if way.halfClose {
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		time.Sleep(time.Second)
	}
	c.Close()
	time.Sleep(seconds(waitS))
	res.occasion()
	late, runs := 0, 0
	for _, id := range ids {
		for _, call := range r.callsOf(id) {
			if runs++; call.ReceivedAt.After(left.Add(sendAfterCloseLimit)) {
				late++
			}
		}
	}
	if late > 0 {
		res.breach("left %v after sending, half close %t: %d of %d requests that ran came to a backend over %v after that", way.after, way.halfClose, late, runs,
			sendAfterCloseLimit)
	}
}

// returnDelays are the times after which a client comes again: while the first attempt runs, and after its end.
var returnDelays = []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 2 * slowWork, 4 * slowWork}

// playLeaveAndReturn has clients leave and send the same request again. It may come to backends once.
func playLeaveAndReturn(r *Rig, res *Result, _ time.Duration) {
	r.workSlowly("courier-send")
	var all sync.WaitGroup
	for range 10 {
		for _, delay := range returnDelays {
			all.Go(func() {
				q := newRequest("courier-send")
				r.sendAndLeave(res, q, slowWork/3)
				time.Sleep(delay)
				r.sendAgain(res, q)
			})
			time.Sleep(10 * time.Millisecond)
		}
	}
	all.Wait()
}

// playLeaveAndReturnUpgrade is playLeaveAndReturn with a hot restart in between.
func playLeaveAndReturnUpgrade(r *Rig, res *Result, _ time.Duration) {
	r.workSlowly("courier-send")
	for _, before := range []time.Duration{0, slowWork / 2, 2 * slowWork} { // from the first request until the restart
		var requests []Request
		for range 8 {
			q := newRequest("courier-send")
			requests = append(requests, q)
			r.sendAndLeave(res, q, slowWork/6)
		}
		time.Sleep(before)
		if err := r.ingress().Replace(); err != nil {
			res.breach("hot restart: %v", err)
			return
		}
		for i, q := range requests {
			if i == len(requests)/2 {
				time.Sleep(2 * slowWork)
			}
			r.sendAgain(res, q)
		}
	}
}

// sendAndLeave sends a request and closes the connection after a while.
func (r *Rig) sendAndLeave(res *Result, q Request, after time.Duration) {
	c, err := r.dial(false)
	if err != nil {
		res.breach("connect: %v", err)
		return
	}
	if _, err := io.WriteString(c, q.encode()); err != nil {
		res.breach("request: %v", err)
	}
	time.Sleep(after)
	c.Close()
}

// sendAgain sends a request that a client has sent before, and checks that it comes to backends once.
func (r *Rig) sendAgain(res *Result, q Request) {
	_, a := r.requestAgain(nil, q)
	res.occasion()
	if res.count(a.outcome); a.outcome == Cut || a.outcome == Late {
		res.breach("the same request again: %s %s after %v", a.outcome, a.text, a.after.Round(time.Millisecond))
	}
	time.Sleep(slowWork / 3)
	if calls := r.callsOf(q.ID); len(calls) > 1 {
		res.breach("the request came to backends %d times, the last %v after the first; the second was answered: %s", len(calls),
			calls[len(calls)-1].ReceivedAt.Sub(calls[0].ReceivedAt).Round(time.Millisecond), a.outcome)
	}
}
