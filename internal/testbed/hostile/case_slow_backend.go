package hostile

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() {
	register(Case{Name: "slow-answers", What: "backends write answers of all sizes slowly, within the time that clients wait", play: playSlowAnswers})
	register(Case{Name: "slow-answers-crowd", What: "many backends write answers of the largest size that is buffered slowly, all at once", Overloads: true,
		play: playSlowAnswersCrowd})
	register(Case{Name: "endless-answers", What: "backends begin answers and never end them", play: playEndlessAnswers})
	register(Case{Name: "slow-request-readers", What: "backends read large requests slowly, or stop in their middle", play: playSlowRequestReaders})
}

// pausedAnswer is an answer that a backend writes with a pause: first bytes of the value come with the head, the rest in pieces from pause on
// until end, both as fractions of the time that the client waits.
type pausedAnswer struct {
	class      string
	size       int
	first      int // headOnly: no byte of the value, splitHead: the first byte of the head alone
	pause, end float64
}

const (
	answerPieces   = 8
	answersAtATime = 20 // far fewer than the backends' concurrency limits: the cases are not about overload
)

// Values of pausedAnswer.first.
const (
	headOnly  = 0
	splitHead = -1
)

// write writes the answer to a call.
func (p pausedAnswer) write(c net.Conn, value string, wait time.Duration) error {
	began := time.Now()
	whole := answerHead(len(value)) + value
	first := len(whole) - len(value) + p.first
	if p.first == splitHead {
		first = 1
	}
	if _, err := io.WriteString(c, whole[:first]); err != nil {
		return err
	}
	rest := whole[first:]
	for i := range answerPieces {
		at := p.pause + (p.end-p.pause)*float64(i)/(answerPieces-1)
		time.Sleep(time.Until(began.Add(time.Duration(at * float64(wait)))))
		n := len(rest) / (answerPieces - i)
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := io.WriteString(c, answerEnd)
	return err
}

// pausedAnswers returns answers of small, medium and large size, which pause before or in their value, for each class.
func pausedAnswers() (list []pausedAnswer) {
	for _, class := range classes {
		if class.Name == otherClass {
			continue
		}
		for _, size := range []int{1 << 10, 60 << 10, 190 << 10} {
			for _, first := range []int{splitHead, headOnly, 900, 3 << 10} {
				for _, pause := range []float64{0.05, 0.5, 0.7} {
					if first < size {
						list = append(list, pausedAnswer{class.Name, size, first, pause, max(pause, 0.8)})
					}
				}
			}
		}
	}
	return list
}

// playSlowAnswers sends a request for each of pausedAnswers. Each has to be served whole: its backend goes on writing, and ends in the time of
// the request.
func playSlowAnswers(r *Rig, res *Result, _ time.Duration) {
	playAnswers(r, res, pausedAnswers(), answersAtATime, func(p pausedAnswer, a answer, value string) {
		if a.outcome != Served || a.value != value {
			res.breach("%+v: %s %s, %d bytes, after %v", p, a.outcome, a.text, len(a.value), a.after.Round(time.Millisecond))
		}
	})
	r.checkNoneCut(res)
}

// checkNoneCut records a breach for each backend whose connections ended while it wrote answers.
func (r *Rig) checkNoneCut(res *Result) {
	for _, b := range r.Backends {
		if n := b.cutAnswers(); n > 0 {
			res.breach("%d answers of backend %s were cut off while it wrote them", n, b.id)
		}
	}
}

// playSlowAnswersCrowd sends requests whose answers together take more memory than there is for input, if each had a buffer of its own size.
// An answer that has begun has to come whole; a request that is never sent may be rejected.
func playSlowAnswersCrowd(r *Rig, res *Result, _ time.Duration) {
	const answers, atATime = 400, 200
	var list []pausedAnswer
	for range answers {
		list = append(list, pausedAnswer{class: otherClass, size: 64 << 10, first: 40 << 10, pause: 0.5, end: 0.9})
	}
	playAnswers(r, res, list, atATime, func(p pausedAnswer, a answer, value string) {
		if a.outcome != Rejected && (a.outcome != Served || a.value != value) {
			res.breach("%+v: %s %s, %d bytes, after %v", p, a.outcome, a.text, len(a.value), a.after.Round(time.Millisecond))
		}
	})
	r.checkNoneCut(res)
}

// playEndlessAnswers sends requests whose answers begin and never end. Each has to get its final answer in its time, unless a large value has
// begun: then its client sees that it does not end.
func playEndlessAnswers(r *Rig, res *Result, _ time.Duration) {
	var list []pausedAnswer
	for _, p := range pausedAnswers() {
		if p.pause == 0.05 && (p.size <= 64<<10 || p.first < 2<<10) {
			p.pause, p.end = 20, 21
			list = append(list, p)
		}
	}
	playAnswers(r, res, list, answersAtATime, func(p pausedAnswer, a answer, _ string) {
		if a.outcome != Failed && a.outcome != Rejected || a.after > seconds(waitS+answerSlackS) {
			res.breach("%+v: %s %s, %d bytes, after %v", p, a.outcome, a.text, len(a.value), a.after.Round(time.Millisecond))
		}
	})
}

// valueOf returns the value of size bytes that backends give for a request.
func valueOf(id string, size int) string { return strings.Repeat(id+":", size/len(id)+1)[:size] }

// playAnswers sends a request for each answer, some at a time, and checks what its client got.
func playAnswers(r *Rig, res *Result, list []pausedAnswer, atATime int, check func(p pausedAnswer, a answer, value string)) {
	var mu sync.Mutex
	paused := map[string]pausedAnswer{}
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			mu.Lock()
			p, ok := paused[call.ID]
			mu.Unlock()
			if !ok {
				return serveID(c, call)
			}
			return p.write(c, valueOf(call.ID, p.size), seconds(waitS))
		})
	}
	var all sync.WaitGroup
	permits := make(chan struct{}, atATime)
	for _, p := range list {
		q := newRequest(p.class)
		mu.Lock()
		paused[q.ID] = p
		mu.Unlock()
		res.occasion()
		permits <- struct{}{}
		all.Go(func() {
			defer func() { <-permits }()
			c, err := r.dial(false)
			if err != nil {
				res.breach("connect: %v", err)
				return
			}
			defer c.Close()
			a := c.request(q)
			res.count(a.outcome)
			check(p, a, valueOf(q.ID, p.size))
		})
	}
	all.Wait()
}

// playSlowRequestReaders sends large requests to backends that read them slowly, some in the time of the request and some beyond it. Each has
// to get its final answer in time, and a request that may not run twice comes whole once at most.
func playSlowRequestReaders(r *Rig, res *Result, _ time.Duration) {
	const requests = 60
	pauses := []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 5 * time.Second}
	for i, b := range r.Backends {
		b.setPause(pauses[i%len(pauses)])
		defer b.setPause(0)
	}
	var all sync.WaitGroup
	for i := range requests {
		q := newRequest([]string{"courier-send", "slot-hold"}[i%2])
		q.Body = strings.Repeat("x", 60<<10)
		res.occasion()
		all.Go(func() {
			c, err := r.dial(false)
			if err != nil {
				res.breach("connect: %v", err)
				return
			}
			defer c.Close()
			a := c.request(q)
			res.count(a.outcome)
			runs := 0
			for _, b := range r.Backends {
				runs += len(b.calls(q.ID))
			}
			if runs > 1 && q.Class == "courier-send" {
				res.breach("%s came whole %d times", q.Class, runs)
			}
			if a.after > q.Wait+seconds(answerSlackS) || a.outcome == Cut {
				res.breach("%s: %s %s after %v", q.Class, a.outcome, a.text, a.after.Round(time.Millisecond))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
}

// answerSlackS is how long after its time a final answer may come, in seconds: what the settings allow, and the rule's margin on sockets.
const answerSlackS = 0.1
