package hostile

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	copyClients       = 48
	copyFraction      = 0.2                    // of the answers that come a second time
	copyLatest        = 200 * time.Millisecond // after the end of the first answer
	busyFraction      = 0.1                    // of the calls that backends turn away
	newReportFraction = 0.5                    // of the copies that hold a newer load report
	copyWork          = 30 * time.Millisecond  // of a backend for a call, at most
	copyWriteTime     = 500 * time.Millisecond // of a large value, at most
	copyWritePieces   = 8
	largeAnswer       = 64 << 10
	maxPause          = 300 * time.Millisecond // at most, of the ingress
	pauseInterval     = 700 * time.Millisecond // on average
	largestValue      = 4 << 20
	oneOfLargest      = 200 // requests has the largest value
	servedFraction    = 0.8 // of the requests, at least
)

// copySizes are the sizes of values but for the largest one, which oneOfLargest requests have. Each request has one of them, by its id.
var copySizes = []int{0, 20, 20, 200, 200, 200, 1 << 10, 1 << 10, 1 << 10, 1 << 10, 4 << 10, 20 << 10, 60 << 10, 64 << 10, 65 << 10, 70 << 10, 300 << 10}

func init() {
	register(Case{Name: "late-copies", What: "backends send answers a second time, late, while the ingress is held up", Alone: true, play: playLateCopies})
}

// copyingBackends is a run of playLateCopies: backends of all sizes of answers, which send some a second time.
type copyingBackends struct {
	mu     sync.Mutex
	rng    *rand.Rand
	res    *Result
	ran    map[string]int // by id, the calls that were not turned away
	copies int
	conns  map[net.Conn]*copyingConn
}

// copyingConn is a connection of a backend.
type copyingConn struct {
	writing sync.Mutex
	working bool // on a call that is not answered; guarded by copyingBackends.mu
}

// copyPlan is what a backend does with a call, as drawn.
type copyPlan struct {
	busy, twice, newReport bool
	work, writing, late    time.Duration
}

func (b *copyingBackends) plan(c net.Conn, call Call) (copyPlan, *copyingConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	conn := b.conns[c]
	if conn == nil {
		conn = &copyingConn{}
		b.conns[c] = conn
	}
	conn.working = true
	p := copyPlan{busy: b.rng.Float64() < busyFraction, twice: b.rng.Float64() < copyFraction, newReport: b.rng.Float64() < newReportFraction,
		work: time.Duration(b.rng.Int64N(int64(copyWork))), writing: time.Duration(b.rng.Int64N(int64(copyWriteTime))),
		late: time.Duration(b.rng.Int64N(int64(copyLatest)))}
	if !p.busy {
		b.ran[call.ID]++
	}
	return p, conn
}

// answer implements Answerer.
func (b *copyingBackends) answer(c net.Conn, call Call) error {
	p, conn := b.plan(c, call)
	time.Sleep(p.work)
	reply, again := "-BUSY\r\n", "-BUSY\r\n"
	if !p.busy {
		value := valueOf(call.ID, copySize(call.ID))
		reply, again = replyWithReport(value, 1), replyWithReport(value, 1)
		if p.newReport {
			again = replyWithReport(value, 2)
		}
	}
	conn.writing.Lock()
	defer conn.writing.Unlock()
	b.mu.Lock()
	conn.working = false
	b.mu.Unlock()
	if p.twice {
		defer time.AfterFunc(p.late, func() { b.writeDuplicate(c, conn, again) })
	}
	return writeInPieces(c, reply, p.writing)
}

// writeDuplicate writes an answer a second time, unless another one is being written.
func (b *copyingBackends) writeDuplicate(c net.Conn, conn *copyingConn, reply string) {
	if !conn.writing.TryLock() {
		return
	}
	defer conn.writing.Unlock()
	b.mu.Lock()
	b.copies++
	working := conn.working
	b.mu.Unlock()
	if _, err := io.WriteString(c, reply); err == nil && working {
		b.res.occasion() // the ingress waits for another answer on this connection
	}
}

// replyWithReport returns the reply with a value and a load report.
func replyWithReport(value string, inflight int) string {
	report := fmt.Sprintf("inflight=%d,queue=0", inflight)
	return fmt.Sprintf("%s%s\r\n$-1\r\n$%d\r\n%s\r\n", answerHead(len(value)), value, len(report), report)
}

// writeInPieces writes a large reply in pieces, over the given time, and a small one at once.
func writeInPieces(c net.Conn, reply string, over time.Duration) error {
	piece := len(reply)
	if piece > largeAnswer {
		piece = len(reply)/copyWritePieces + 1
	}
	for len(reply) > 0 {
		n := min(piece, len(reply))
		if _, err := io.WriteString(c, reply[:n]); err != nil {
			return err
		}
		if reply = reply[n:]; len(reply) > 0 {
			time.Sleep(over / copyWritePieces)
		}
	}
	return nil
}

// copySize returns the size of the value of a request.
func copySize(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	if drawn := int(h.Sum32() >> 8); drawn%oneOfLargest > 0 {
		return copySizes[drawn%len(copySizes)]
	}
	return largestValue
}

// playLateCopies has clients send requests one after another for the given time. No client may be served with the value of another request, and no
// courier-send may run twice.
func playLateCopies(r *Rig, res *Result, length time.Duration) {
	b := &copyingBackends{rng: rand.New(rand.NewPCG(r.cfg.Seed, 1)), res: res, ran: map[string]int{}, conns: map[net.Conn]*copyingConn{}}
	for _, backend := range r.Backends {
		backend.setAnswerer(b.answer)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range copyClients {
		wg.Go(func() { r.sendOneByOneUntil(res, b, end, rand.New(rand.NewPCG(r.cfg.Seed, uint64(2+i)))) })
	}
	r.pauseUntil(end, rand.New(rand.NewPCG(r.cfg.Seed, 0)))
	wg.Wait()
	b.check()
}

// pauseUntil stops the ingress now and then.
func (r *Rig) pauseUntil(end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * pauseInterval))))
		r.ingress().Pause()
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
		r.ingress().Resume()
	}
}

// sendOneByOneUntil is one client of playLateCopies.
func (r *Rig) sendOneByOneUntil(res *Result, b *copyingBackends, end time.Time, rng *rand.Rand) {
	var c *client
	for time.Now().Before(end) {
		q := newRequest([]string{"zone-check", "zone-check", "slot-hold", "courier-send"}[rng.IntN(4)])
		var a answer
		c, a = r.requestAgain(c, q)
		res.count(a.outcome)
		switch {
		case a.outcome == Served && a.value != valueOf(q.ID, copySize(q.ID)):
			res.breach("%s %s is served with %d bytes, %.40q", q.Class, q.ID, len(a.value), a.value)
		case a.outcome == Rejected:
			time.Sleep(retryAfter(a.text))
		case a.outcome == Late:
			res.breach("%s %s: %s %s after %v", q.Class, q.ID, a.outcome, a.text, a.after.Round(time.Millisecond))
		case a.outcome == Cut:
			res.breach("%s %s: %s %s after %v", q.Class, q.ID, a.outcome, a.text, a.after.Round(time.Millisecond))
			c = nil
		}
		if q.Class == "courier-send" {
			b.checkRan(q.ID)
		}
	}
}

// retryAfter returns the time after which a rejection, -BUSY MS, lets a client send again.
func retryAfter(rejection string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(rejection, "-BUSY "))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// checkRan records a breach if the request has run more than once.
func (b *copyingBackends) checkRan(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.ran[id]; n > 1 {
		b.res.breach("courier-send %s ran %d times", id, n)
	}
}

// check records a breach if few requests were served.
func (b *copyingBackends) check() {
	served, all := b.res.Outcomes[Served], 0
	for _, n := range b.res.Outcomes {
		all += n
	}
	if float64(served) < servedFraction*float64(all) {
		b.res.breach("%d of %d requests were served; %d answers came twice", served, all, b.copies)
	}
}
