package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	pipelineClients        = 24
	pipelineMaxDepth       = 12                     // requests in flight on a connection
	pipelineMaxPause       = 25 * time.Millisecond  // of a client between an answer and the next request
	pipelinePingFraction   = 0.1                    // of the commands
	pipelineSlowFraction   = 0.2                    // of the requests, whose answers other answers wait for
	pipelineSlowWork       = 900 * time.Millisecond // at most
	pipelineQuickWork      = 40 * time.Millisecond  // at most
	pipelineLargeFraction  = 0.05                   // of the values
	pipelineHalvesFraction = 0.3                    // of the clients, that send a command in two parts
	pipelineHalvesPause    = 120 * time.Millisecond // at most, between the parts
	killVisible            = 200 * time.Millisecond // after a process was killed, until clients that read at once have read the reset
	refusedPause           = 2 * time.Millisecond   // of a client that was refused a connection
	otherClientsStream     = 1000                   // first random stream of the clients beside the usual ones
	pipelineStopAfter      = 500 * time.Millisecond // after the event, when clients stop
)

func init() {
	for _, e := range []pipelineEvent{
		{name: "term", what: "gets SIGTERM, and SIGKILL at the earliest time", ends: true, happen: (*pipelineRun).terminate},
		{name: "upgrade", what: "is upgraded twice in a row", happen: func(d *pipelineRun) { d.rig.upgradeWhileRead(d.res, 2, 0) }},
		{name: "reload", what: "reads its configuration again", happen: func(d *pipelineRun) { d.rig.ingress().HUP() }},
	} {
		registerPipeline(e.name+"-pipeline", e)
	}
}

func registerPipeline(name string, e pipelineEvent) {
	register(Case{Name: name, What: "an ingress " + e.what + " while clients keep many commands in flight and come again", Alone: true,
		play: func(r *Rig, res *Result, _ time.Duration) { playPipeline(r, res, e) }})
}

// pipelineEvent is what happens to the ingress while clients keep commands in flight.
type pipelineEvent struct {
	name, what string
	ends       bool // the ingress ends: clients that can't connect any more go elsewhere, and do not come again
	happen     func(d *pipelineRun)
	others     []pipelineProfile // clients beside the usual ones
}

// pipelineProfile is how a client uses its connections.
type pipelineProfile struct {
	maxPause    time.Duration // between an answer and the next request
	halvesPause time.Duration // at most, between the two parts of a command; 0: it sends whole commands
	readPause   time.Duration // between two answers that it reads
	rests       bool          // it sends nothing
}

func drawPipelineProfile(rng *rand.Rand) pipelineProfile {
	p := pipelineProfile{maxPause: pipelineMaxPause}
	if rng.Float64() < pipelineHalvesFraction {
		p.halvesPause = pipelineHalvesPause
	}
	return p
}

// pipelineRun is a run of playPipeline.
type pipelineRun struct {
	rig     *Rig
	res     *Result
	ends    bool         // see pipelineEvent
	refuses atomic.Bool  // the ingress may refuse connections: clients try again a moment later, as if they had no other ingress
	kills   atomic.Int64 // when a process was last killed without notice, which resets the connections that it has, in Unix nanoseconds; 0: never
	mu      sync.Mutex
	open    map[*pipelinedConn]bool
	stop    chan struct{}
}

// pipelinedCommand is a command of a client that is not answered.
type pipelinedCommand struct {
	request  *Request // nil: PING
	sentAt   time.Time
	complete bool // its last byte is sent
	crossed  bool // it was sent whole on an earlier connection, whose end it crossed
}

// pipelinedConn is a connection of a client that keeps commands in flight.
type pipelinedConn struct {
	net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	pause    time.Duration // between two answers that the client reads
	done     chan struct{} // closed when the connection has ended, after which endErr is set

	mu           sync.Mutex
	inFlight     []pipelinedCommand
	resetOnWrite bool // a write has reported a reset, which the reader then does not see
	earlyAnswers int  // answers that came before their commands: rejections by an ingress that was about to close the connection
	endErr       error
}

// add records a command that is about to be sent, unless its answer is here already.
func (k *pipelinedConn) add(c pipelinedCommand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.earlyAnswers > 0 {
		k.earlyAnswers--
		return
	}
	k.inFlight = append(k.inFlight, c)
}

// markComplete records that the last byte of the newest command is sent.
func (k *pipelinedConn) markComplete() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.inFlight) > 0 { // else it is answered
		last := &k.inFlight[len(k.inFlight)-1]
		last.complete, last.sentAt = true, time.Now()
	}
}

func (k *pipelinedConn) first() pipelinedCommand {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.inFlight) == 0 {
		return pipelinedCommand{}
	}
	return k.inFlight[0]
}

func (k *pipelinedConn) removeFirst() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.inFlight) == 0 {
		k.earlyAnswers++
		return
	}
	k.inFlight = k.inFlight[1:]
}

func (k *pipelinedConn) depth() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.inFlight)
}

// hasEnded reports whether the client has read the end of the connection.
func (k *pipelinedConn) hasEnded() bool { return isClosed(k.done) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// playPipeline has an event happen to the ingress. No command that was sent may be lost: an end between two answers may be crossed by a command
// once, which its client sends again on a new connection.
func playPipeline(r *Rig, res *Result, e pipelineEvent) {
	backendRng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	var mu sync.Mutex
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			mu.Lock()
			work, size := drawPipelineWork(backendRng)
			mu.Unlock()
			time.Sleep(work)
			return writeInPieces(c, encodeAnswer(valueOf(call.ID, size)), pipelineQuickWork)
		})
	}
	d := &pipelineRun{rig: r, res: res, ends: e.ends, open: map[*pipelinedConn]bool{}, stop: make(chan struct{})}
	var wg sync.WaitGroup
	for i := range pipelineClients {
		rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(2+i)))
		wg.Go(func() { d.client(rng, drawPipelineProfile(rng)) })
	}
	for i := range e.others {
		wg.Go(func() { d.client(rand.New(rand.NewPCG(r.cfg.Seed, uint64(otherClientsStream+i))), e.others[i]) })
	}
	time.Sleep(readWarmUp)
	d.countInFlight()
	e.happen(d)
	time.Sleep(pipelineStopAfter)
	close(d.stop)
	wg.Wait()
}

// countInFlight counts an occasion for each connection with commands in flight.
func (d *pipelineRun) countInFlight() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.open {
		if k.depth() > 0 {
			d.res.occasion()
		}
	}
}

// terminate ends the ingress, and starts it again: a program that does not run counts as a crash.
func (d *pipelineRun) terminate() {
	d.rig.termWhileRead(d.res)
	if err := d.rig.ingress().Start(); err != nil {
		d.res.breach("start: %v", err)
	}
}

// drawPipelineWork draws the time that a backend takes for a call, and the size of its value.
func drawPipelineWork(rng *rand.Rand) (work time.Duration, size int) {
	work, size = time.Duration(rng.Int64N(int64(pipelineQuickWork))), 100
	if rng.Float64() < pipelineSlowFraction {
		work = time.Duration(rng.Int64N(int64(pipelineSlowWork)))
	}
	if rng.Float64() < pipelineLargeFraction {
		size = 200 << 10
	}
	return work, size
}

// client sends requests on one connection after another, until stop is closed.
func (d *pipelineRun) client(rng *rand.Rand, profile pipelineProfile) {
	var again []pipelinedCommand
	for {
		mayBeRefused := d.refuses.Load() // asked first: the client may be held up after it was refused
		conn, err := net.DialTimeout("tcp", d.rig.ingress().Listen, dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) && mayBeRefused && !d.stopped() {
			again = nil // its client sends it elsewhere
			time.Sleep(refusedPause)
			continue
		}
		if err != nil {
			if !d.ends && !mayBeRefused {
				d.res.breach("no connection: %v", err)
			}
			return
		}
		k := &pipelinedConn{Conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now(), pause: profile.readPause, done: make(chan struct{})}
		d.mu.Lock()
		d.open[k] = true
		d.mu.Unlock()
		go d.read(k)
		d.write(k, rng, profile, again)
		conn.Close()
		<-k.done
		again = d.atEnd(k)
		d.mu.Lock()
		delete(d.open, k)
		d.mu.Unlock()
		if d.stopped() {
			return
		}
	}
}

// stopped reports whether the clients have to stop.
func (d *pipelineRun) stopped() bool { return isClosed(d.stop) }

// write keeps a number of commands in flight on a connection until it ends or the client has stopped, those of again first.
func (d *pipelineRun) write(k *pipelinedConn, rng *rand.Rand, profile pipelineProfile, again []pipelinedCommand) {
	depth := 1 + rng.IntN(pipelineMaxDepth)
	for !k.hasEnded() {
		if d.stopped() {
			if k.depth() == 0 {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		if profile.rests || len(again) == 0 && k.depth() >= depth {
			time.Sleep(time.Duration(rng.Int64N(int64(profile.maxPause))))
			continue
		}
		c := pipelinedCommand{sentAt: time.Now()}
		switch {
		case len(again) > 0:
			c.request, c.crossed, again = again[0].request, again[0].crossed, again[1:]
		case rng.Float64() >= pipelinePingFraction:
			q := newRequest([]string{"zone-check", otherClass, "slot-hold", "courier-send"}[rng.IntN(4)])
			c.request = &q
		}
		k.add(c)
		k.send(c, rng, profile.halvesPause)
	}
	for _, c := range again { // not sent on this connection
		k.add(c)
	}
}

// send sends a command, in two parts if there is a pause between them. A failed write shows at the reader.
func (k *pipelinedConn) send(c pipelinedCommand, rng *rand.Rand, pause time.Duration) {
	text := encodeCommand("PING")
	if c.request != nil {
		text = c.request.encode()
	}
	if pause > 0 {
		half := 1 + rng.IntN(len(text)-1)
		_, _ = io.WriteString(k, text[:half])
		text = text[half:]
		select {
		case <-k.done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(pause)))):
		}
	}
	_, err := io.WriteString(k, text)
	if err == nil {
		k.markComplete()
	}
	k.resetOnWrite = k.resetOnWrite || errors.Is(err, syscall.ECONNRESET)
}

// wasKilled reports whether a reset of the connection is that of a process that was killed. A client that reads slowly finds it late.
func (d *pipelineRun) wasKilled(k *pipelinedConn) bool {
	killedAt := time.Unix(0, d.kills.Load())
	return k.openedAt.Before(killedAt) && time.Since(killedAt) < killVisible+pipelineMaxDepth*k.pause &&
		(errors.Is(k.endErr, syscall.ECONNRESET) || errors.Is(k.endErr, errPartAnswer) && k.resetOnWrite)
}

// read reads the answers on a connection until it ends, with a pause behind each.
func (d *pipelineRun) read(k *pipelinedConn) {
	_ = k.SetReadDeadline(time.Now().Add(readPatience + operatorsDrain)) // the next read reports an error
	err := error(nil)
	for err == nil {
		if err = d.readAnswer(k); err == nil {
			k.removeFirst()
			time.Sleep(k.pause)
		}
	}
	k.mu.Lock()
	k.endErr = err
	k.mu.Unlock()
	close(k.done)
}

var errPartAnswer = errors.New("the connection ended within an answer")

// readAnswer reads the answer to the first command in flight.
func (d *pipelineRun) readAnswer(k *pipelinedConn) error {
	line, err := k.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return errPartAnswer
	}
	if err != nil {
		return err
	}
	line = strings.TrimSpace(line)
	first := k.first()
	switch {
	case first.request == nil:
		return nil
	case strings.HasPrefix(line, "-BUSY"):
		d.res.count(Rejected)
		return nil
	case line[0] != '$':
		d.res.count(Failed)
		return nil
	}
	size := 0
	if _, err := fmt.Sscanf(line, "$%d", &size); err != nil {
		return err
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(k.reader, value); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errPartAnswer
	} else if err != nil {
		return err
	}
	if d.res.count(Served); string(value[:size]) != valueOf(first.request.ID, size) {
		d.res.breach("%s is served with the value of another request", first.request.ID)
	}
	return nil
}

// atEnd checks the commands that were in flight when a connection ended, and returns the requests that are to be sent again.
func (d *pipelineRun) atEnd(k *pipelinedConn) (again []pipelinedCommand) {
	for i, c := range k.inFlight {
		if c.request == nil {
			continue
		}
		d.res.occasion()
		age := time.Since(c.sentAt).Round(time.Millisecond)
		switch {
		case c.complete && d.wasKilled(k): // the request may have run: its client does not send it again
		case c.complete && !errors.Is(k.endErr, io.EOF):
			d.res.count(Cut)
			d.res.breach("%s %s, command %d of %d, sent %v before: %v", c.request.Class, c.request.ID, i+1, len(k.inFlight), age, k.endErr)
		case c.complete && c.crossed:
			d.res.count(Cut)
			d.res.breach("%s %s, command %d of %d, sent %v before: crossed a second end of a connection, opened %v before", c.request.Class, c.request.ID, i+1,
				len(k.inFlight), age, time.Since(k.openedAt).Round(time.Millisecond))
		default:
			again = append(again, pipelinedCommand{request: c.request, crossed: c.crossed || c.complete})
		}
	}
	return again
}
