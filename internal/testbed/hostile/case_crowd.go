package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	crowdSize     = 400
	crowdInterval = 3 * time.Millisecond
	pieceInterval = 100 * time.Millisecond
	largeBody     = 60 << 10
	// badClientLimit is how long a client that does not finish its request may wait for its error or the end of its connection.
	badClientLimit = 3 * time.Second
)

func init() {
	register(Case{Name: "crowd-slow-writers", What: "hundreds of clients write large requests slowly", play: playSlowWriters})
	register(Case{Name: "crowd-half-requests", What: "hundreds of clients stop half way through a large request and stay", play: playHalfRequests})
	register(Case{Name: "crowd-many-fields", What: "hundreds of clients send requests of very many short fields or arguments", play: playManyFields})
	register(Case{Name: "crowd-slow-readers", What: "hundreds of clients read long answers slowly", play: playSlowReaders})
	register(Case{Name: "crowd-pipelined-readers", What: "hundreds of clients pipeline requests with long answers and read them slowly", play: playPipelinedReaders})
	register(Case{Name: "crowd-large-requests", What: "hundreds of clients pipeline large requests to backends that do not answer", Overloads: true, play: playLargeRequests})
}

// crowd runs a client's part on crowdSize connections at once, which begin one after the other with an interval between them.
func (r *Rig) crowd(res *Result, smallBuffers bool, interval time.Duration, part func(i int, c *client)) {
	var all sync.WaitGroup
	for i := range crowdSize {
		time.Sleep(interval)
		all.Go(func() {
			c, err := r.dial(smallBuffers)
			if err != nil {
				res.breach("connect: %v", err)
				return
			}
			defer c.Close()
			part(i, c)
		})
	}
	all.Wait()
}

// largeRequest returns a request of a class that has a body, with a large one.
func largeRequest() Request {
	q := newRequest("courier-send")
	q.Body = strings.Repeat("x", largeBody)
	return q
}

// awaitEnd reads the answer of a client that did not finish its request, and checks that it or the end of the connection comes in time.
func awaitEnd(c *client, res *Result, began time.Time) {
	_ = c.SetReadDeadline(time.Now().Add(2 * badClientLimit))
	a := c.readReply()
	res.count(a.outcome)
	if after := time.Since(began); after > badClientLimit {
		res.breach("a client in the middle of its request: %s %s after %v", a.outcome, a.text, after.Round(time.Millisecond))
	}
}

func playSlowWriters(r *Rig, res *Result, _ time.Duration) {
	r.crowd(res, false, crowdInterval, func(_ int, c *client) {
		began := time.Now()
		text := largeRequest().encode()
		done := make(chan struct{})
		go func() {
			defer close(done)
			awaitEnd(c, res, began)
		}()
		res.occasion()
		for len(text) > 0 {
			n := min(len(text), largeBody/50) // the whole would take 5 s
			if _, err := io.WriteString(c, text[:n]); err != nil {
				break
			}
			text = text[n:]
			select {
			case <-done:
				return
			case <-time.After(pieceInterval):
			}
		}
		<-done
	})
}

func playHalfRequests(r *Rig, res *Result, _ time.Duration) {
	r.crowd(res, false, crowdInterval, func(_ int, c *client) {
		text := largeRequest().encode()
		if _, err := io.WriteString(c, text[:len(text)/2]); err != nil {
			res.breach("half a request: %v", err)
			return
		}
		res.occasion()
		awaitEnd(c, res, time.Now())
	})
}

func playManyFields(r *Rig, res *Result, length time.Duration) {
	end := time.Now().Add(length)
	r.crowd(res, false, crowdInterval, func(i int, c *client) {
		for time.Now().Before(end) {
			q := newRequest("zone-check")
			var text string
			switch i % 4 {
			case 0: // as many fields as are allowed
				q.ExtraFields = strings.Repeat(",a=1", 240)[:920]
				text = q.encode()
			case 1: // far more
				q.ExtraFields = strings.Repeat(",a=1", 15<<10)
				text = q.encode()
			case 2: // arguments
				text = encodeCommand(strings.Split(strings.Repeat("a ", 15)+"a", " ")...)
			case 3: // an array that announces more
				text = "*1000000\r\n" + strings.Repeat("$1\r\na\r\n", 8<<10)
			}
			began := time.Now()
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			res.occasion()
			a := c.readAnswer(began, q.Wait)
			if res.count(a.outcome); a.outcome == Late {
				res.breach("kind %d: %s %s after %v", i%4, a.outcome, a.text, a.after.Round(time.Millisecond))
			}
			if a.outcome == Cut {
				return
			}
			time.Sleep(pieceInterval)
		}
	})
}

// slowReader reads a connection in small pieces with pauses.
type slowReader struct{ net.Conn }

const slowPieceBytes = 1 << 10

// Read implements io.Reader.
func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(pieceInterval)
	return s.Conn.Read(b[:min(len(b), slowPieceBytes)])
}

// readSlowly reads the answers to a number of requests slowly until end, and records those that are whole. Those that are not by then are
// counted as served if they have begun. The connection must not end before.
func readSlowly(c *client, res *Result, answers int, end time.Time) {
	slow := &client{Conn: c.Conn, r: bufio.NewReaderSize(slowReader{c.Conn}, slowPieceBytes)}
	_ = c.SetReadDeadline(end)
	for range answers {
		a := slow.readReply()
		if a.timedOut || a.closed { // closed between two answers: the client would send the rest again on a new connection
			return
		}
		if res.count(a.outcome); a.outcome == Cut {
			res.breach("a client that reads slowly: cut off after %d answers: %s", slow.answers, a.text)
			return
		}
	}
}

// answerLong has all backends answer the calls that are not of other clients with values of size bytes.
func (r *Rig) answerLong(size func(Call) int) {
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			if call.Class == otherClass {
				return serveID(c, call)
			}
			_, err := io.WriteString(c, encodeAnswer(strings.Repeat("v", size(call))))
			return err
		})
	}
}

func playSlowReaders(r *Rig, res *Result, length time.Duration) {
	const small, large = 60 << 10, 1 << 20
	r.answerLong(func(call Call) int {
		if call.Class == "zone-check" {
			return large
		}
		return small
	})
	end := time.Now().Add(length)
	r.crowd(res, true, crowdInterval, func(i int, c *client) {
		q := newRequest([]string{"zone-check", "slot-hold"}[i%2])
		if _, err := io.WriteString(c, q.encode()); err != nil {
			res.breach("request: %v", err)
			return
		}
		res.occasion()
		readSlowly(c, res, 1, end)
	})
}

// playPipelinedReaders has each client send one request after the other without waiting for its answers, at a pace that backends can serve.
func playPipelinedReaders(r *Rig, res *Result, length time.Duration) {
	const commands = 16
	r.answerLong(func(Call) int { return largeBody })
	end := time.Now().Add(length)
	r.crowd(res, true, crowdInterval, func(_ int, c *client) {
		go func() {
			for range commands {
				if _, err := io.WriteString(c, newRequest("zone-check").encode()); err != nil {
					return // the reader finds out too
				}
				res.occasion()
				time.Sleep(length / (2 * commands))
			}
		}()
		readSlowly(c, res, commands, end)
	})
}

func playLargeRequests(r *Rig, res *Result, length time.Duration) {
	const commands = 12
	end := time.Now().Add(length)
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			if call.Class == otherClass {
				return serveID(c, call)
			}
			time.Sleep(2 * seconds(waitS))
			return fmt.Errorf("no answer to %s", call.ID)
		})
	}
	r.crowd(res, false, 0, func(_ int, c *client) {
		for time.Now().Before(end) {
			var text strings.Builder
			var wait time.Duration
			for range commands {
				q := largeRequest()
				text.WriteString(q.encode())
				wait = q.Wait
			}
			began := time.Now()
			go func() { _, _ = io.WriteString(c, text.String()) }()
			for range commands {
				a := c.readAnswer(began, wait+seconds(2*waitS))
				switch {
				case a.closed && c.answers%commands == 0:
					return // the ingress closed the connection between two requests
				case strings.Contains(a.text, "no whole command in time"):
					return // this machine was too slow to write a request in the time that the ingress allows
				}
				res.occasion()
				if res.count(a.outcome); a.outcome == Cut || a.outcome == Late {
					res.breach("%s %s after %v", a.outcome, a.text, a.after.Round(time.Millisecond))
					return
				}
			}
		}
	})
}
