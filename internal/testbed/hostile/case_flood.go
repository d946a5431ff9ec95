package hostile

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

func init() {
	for _, f := range floods {
		register(Case{Name: "flood-" + f.name, What: "clients send at full speed, each on one connection: " + f.what, Overloads: f.clients > 1,
			play: func(r *Rig, res *Result, length time.Duration) { playFlood(r, res, length, f) }})
	}
}

// flood is what one client sends at full speed.
type flood struct {
	name, what string
	command    func(n int) string
	deaf       bool // does not read the answers
	clients    int  // that do so at once; 0: one
}

const floodBatch = 64 // commands in one write

var floods = []flood{
	{name: "ping", what: "PING", command: func(int) string { return encodeCommand("PING") }},
	{name: "ping-deaf", what: "PING, without reading the answers", deaf: true, command: func(int) string { return encodeCommand("PING") }},
	{name: "one-account", what: "requests of one account beyond its quota", command: func(int) string {
		q := newRequest("zone-check")
		q.Plan, q.Account = planBasic, "00000000000000aa"
		return q.encode()
	}},
	{name: "new-accounts", what: "requests of ever new accounts", command: func(int) string {
		q := newRequest("zone-check")
		q.Plan = planBasic
		return q.encode()
	}},
	{name: "new-accounts-shared", what: "requests of ever new accounts, which belong to several ingresses", command: func(int) string {
		q := newRequest("zone-check")
		q.Plan = planBasic
		return strings.Replace(q.encode(), "spread=1", "spread=2", 1)
	}},
	{name: "new-accounts-crowd", what: "requests of ever new accounts, by many clients", clients: 40, command: func(int) string {
		q := newRequest("zone-check")
		q.Plan = planBasic
		return q.encode()
	}},
	{name: "unsound", what: "commands of unknown names and unsound fields, on new connections once they are ended", command: func(n int) string {
		if n%2 == 0 {
			return encodeCommand(fmt.Sprint("NAME", lastID.Add(1)))
		}
		q := newRequest("zone-check")
		q.Class = fmt.Sprint("class", n)
		return q.encode()
	}},
	{name: "expired", what: "requests with 1 ms left, of ever new accounts", command: func(int) string {
		q := newRequest("zone-check")
		q.Plan, q.Wait = planBasic, time.Millisecond
		return q.encode()
	}},
	{name: "no-quota", what: "requests without a quota, which backends answer at once", command: func(int) string { return newRequest("zone-check").encode() }},
}

func playFlood(r *Rig, res *Result, length time.Duration, f flood) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for range max(1, f.clients) {
		all.Go(func() { r.floodUntil(end, res, f) })
	}
	all.Wait()
}

// batchTimes are the times at which the batches of a flood have been written.
type batchTimes struct {
	mu   sync.Mutex
	list []time.Time
}

func (b *batchTimes) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, time.Now())
}

// of returns when the command with a number was written; now, if its batch is not written whole yet.
func (b *batchTimes) of(command int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if batch := command / floodBatch; batch < len(b.list) {
		return b.list[batch]
	}
	return time.Now()
}

// floodUntil is the part of one client. It opens a new connection whenever the ingress ends the last one.
func (r *Rig) floodUntil(end time.Time, res *Result, f flood) {
	for n := 0; time.Now().Before(end); {
		c, err := r.dial(false)
		if err != nil {
			res.breach("connect: %v", err)
			return
		}
		_ = c.SetDeadline(end)
		read := make(chan struct{})
		var sentAt batchTimes
		go func() {
			defer close(read)
			for count := 0; !f.deaf; count++ {
				a := c.readReply()
				if a.outcome == Cut {
					return
				}
				// No breach: how much of what its own kernel holds is read in time depends on the machine.
				if time.Since(sentAt.of(count)) > seconds(waitS+lateS) {
					a.outcome = Late
				}
				res.count(a.outcome)
			}
		}()
		for time.Now().Before(end) {
			var batch strings.Builder
			for range floodBatch {
				res.occasion()
				batch.WriteString(f.command(n))
				n++
			}
			_, err := io.WriteString(c, batch.String())
			sentAt.add() // a request is taken once its last byte is written
			if err != nil {
				break
			}
		}
		c.Close()
		<-read
	}
}
