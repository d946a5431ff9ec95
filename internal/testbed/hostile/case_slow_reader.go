package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readingClients  = 12
	readPieceBytes  = 4 << 10
	readWarmUp      = 700 * time.Millisecond // from the first requests until the event
	readOn          = 2 * time.Second        // after the event, for which clients that send on do so
	readPatience    = 6 * time.Second        // without a byte, after which a client gives up
	workStep        = 60 * time.Millisecond
	maxUnreadEnd    = 3 << 20                // bytes of one client, at an end
	maxUnreadOn     = 10 << 20               // the same, where connections go on: more than the kernel holds
	maxInFlight     = 150                    // requests of one client
	minReadingTime  = 400 * time.Millisecond // of all that a client has not read at the event
	maxReadingEnd   = 2 * time.Second        // the same, at an end: less than the shortest time that is left
	maxReadingOn    = 30 * time.Second       // the same, where connections go on: far more than a process has left that is replaced
	leaveAfter      = 5 * time.Second        // after such an event, the time from which clients leave in the middle of their answers
	sendAfterKill   = time.Second            // for which clients send on after the time of SIGKILL
	operatorsDrain  = 4 * time.Second        // for which operators wait for a drain
	drainSlack      = 250 * time.Millisecond
	maxCommands     = 32                         // that a client has not written yet: no more than it has in flight
	earliestKill    = 3*time.Second + killMargin // longest deadline of the classes, and the margin
	secondEventTime = 300 * time.Millisecond     // between the two events of a series
)

// readerEvent is what happens to the ingress while clients read slowly.
type readerEvent struct {
	name, what string
	ends       bool // the ingress ends or drains: connections end between two answers
	happen     func(r *Rig, res *Result)
}

func init() {
	for _, e := range []readerEvent{
		{"term", "it gets SIGTERM, and SIGKILL at the earliest time", true, (*Rig).termWhileRead},
		{"drain", "it is drained", true, (*Rig).drainWhileRead},
		{"upgrade", "it is upgraded", false, func(r *Rig, res *Result) { r.upgradeWhileRead(res, 1, 0) }},
		{"upgrades", "it is upgraded twice in a row", false, func(r *Rig, res *Result) { r.upgradeWhileRead(res, 2, 0) }},
		{"upgrade-term", "it is upgraded, and the new process gets SIGTERM", true, func(r *Rig, res *Result) {
			r.upgradeWhileRead(res, 1, 0)
			r.termWhileRead(res)
		}},
		{"drain-upgrade", "it is drained, and upgraded meanwhile", true, func(r *Rig, res *Result) {
			r.callWhileRead(res, "/v1/ingress/drain")
			r.upgradeWhileRead(res, 1, secondEventTime)
		}},
		{"reload", "it reads its configuration again", false, func(r *Rig, _ *Result) { r.ingress().HUP() }},
		{"reload-term", "it reads its configuration again and gets SIGTERM", true, func(r *Rig, res *Result) {
			r.ingress().HUP()
			r.termWhileRead(res)
		}},
	} {
		register(Case{Name: "slow-reader-" + e.name, What: "clients read their answers slowly and send on, while " + e.what, Alone: true,
			play: func(r *Rig, res *Result, _ time.Duration) { playSlowReader(r, res, e) }})
	}
}

func (r *Rig) termWhileRead(*Result) { r.ingress().TermAndKillAt(earliestKill, func() {}) }

func (r *Rig) upgradeWhileRead(res *Result, times int, after time.Duration) {
	time.Sleep(after)
	for range times {
		if err := r.ingress().Replace(); err != nil {
			res.breach("upgrade: %v", err)
		}
	}
}

func (r *Rig) callWhileRead(res *Result, path string) {
	if status, err := r.ingress().Call(context.Background(), http.MethodPost, path); err != nil || status != http.StatusOK {
		res.breach("%s: status %d, error %v", path, status, err)
	}
}

func (r *Rig) drainWhileRead(res *Result) {
	r.callWhileRead(res, "/v1/ingress/drain")
	time.Sleep(operatorsDrain + drainSlack)
}

// readerProfile is how a client reads and sends, as drawn.
type readerProfile struct {
	size     int           // of a value
	inFlight int           // requests that are sent at once
	reading  time.Duration // that inFlight answers take to read
	sendsOn  bool          // sends another request for each answer that it has read
	small    bool          // its kernel holds little
	work     time.Duration // of a backend, before it writes the answer
}

func (p readerProfile) String() string {
	return fmt.Sprintf("%d x %d bytes in %v, sends on %t, small buffer %t, work %v", p.inFlight, p.size, p.reading, p.sendsOn, p.small, p.work)
}

func drawReaderProfile(rng *rand.Rand, longest time.Duration, maxUnread int) readerProfile {
	sizes := []int{100, 1 << 10, 20 << 10, 60 << 10, 64 << 10, 65 << 10, 200 << 10, 1 << 20, 3 << 20}
	p := readerProfile{size: sizes[rng.IntN(len(sizes))], sendsOn: rng.IntN(2) == 0, small: rng.IntN(2) == 0}
	p.work = time.Duration(rng.IntN(4)) * workStep
	p.inFlight = 1 + rng.IntN(max(1, min(maxInFlight, maxUnread/p.size)))
	p.reading = minReadingTime + time.Duration(rng.Int64N(int64(longest-minReadingTime)))
	return p
}

// pacedConn reads a connection steadily, at a number of bytes a second.
type pacedConn struct {
	net.Conn
	perSecond float64
	began     time.Time
	read      int
}

// Read implements io.Reader.
func (p *pacedConn) Read(b []byte) (int, error) {
	_ = p.SetReadDeadline(time.Now().Add(readPatience))
	n, err := p.Conn.Read(b[:min(len(b), readPieceBytes)])
	p.read += n
	if behind := time.Since(p.began) - p.due(); behind > readWarmUp { // nothing came for a while: what comes next is read at the same pace
		p.began = p.began.Add(behind)
	} else {
		time.Sleep(-behind)
	}
	return n, err
}

// due returns the time that the bytes which were read take.
func (p *pacedConn) due() time.Duration { return seconds(float64(p.read) / p.perSecond) }

// slowReading is a run of playSlowReader.
type slowReading struct {
	rig       *Rig
	res       *Result
	event     readerEvent
	stopAt    atomic.Int64 // when clients stop to send, in Unix nanoseconds; 0: not yet known
	leaveAt   atomic.Int64 // when clients leave that still read, in Unix nanoseconds; 0: not yet known, or never
	happening atomic.Bool
}

// playSlowReader has clients read answers of all sizes slowly, and checks that each request that has run gets its answer: what a client has
// not read is still owed to it.
func playSlowReader(r *Rig, res *Result, event readerEvent) {
	s := &slowReading{rig: r, res: res, event: event}
	sendOn, longest, maxUnread := readOn, maxReadingOn, maxUnreadOn
	if event.ends {
		sendOn, longest, maxUnread = earliestKill+sendAfterKill, maxReadingEnd, maxUnreadEnd
	}
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 84))
	var profiles [readingClients]readerProfile
	for i := range profiles {
		profiles[i] = drawReaderProfile(rng, longest, maxUnread)
	}
	profileOf := sync.Map{} // by account
	for _, b := range r.Backends {
		b.setAnswerer(func(c net.Conn, call Call) error {
			drawn, _ := profileOf.Load(call.Account)
			p := drawn.(readerProfile)
			time.Sleep(p.work)
			_, err := io.WriteString(c, encodeAnswer(valueOf(call.ID, p.size)))
			return err
		})
	}
	var all sync.WaitGroup
	for _, p := range profiles {
		account := newRequest(otherClass).Account
		profileOf.Store(account, p)
		all.Go(func() { s.readAnswers(p, account) })
	}
	time.Sleep(readWarmUp)
	s.happening.Store(true)
	if !event.ends {
		s.leaveAt.Store(time.Now().Add(leaveAfter).UnixNano())
	}
	s.stopAt.Store(time.Now().Add(sendOn).UnixNano())
	event.happen(r, res)
	all.Wait()
	if event.ends && !r.ingress().Up() {
		if err := r.ingress().Start(); err != nil { // a program that does not run counts as a crash
			res.breach("start after the end: %v", err)
		}
	}
}

// readAnswers is a client.
func (s *slowReading) readAnswers(p readerProfile, account string) {
	c, err := s.rig.dial(p.small)
	if err != nil {
		s.res.breach("connect: %v", err)
		return
	}
	defer c.Close()
	if !p.small {
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	slow := &pacedConn{Conn: c.Conn, perSecond: float64(p.inFlight*p.size) / p.reading.Seconds(), began: time.Now()}
	c.r = bufio.NewReaderSize(slow, readPieceBytes)
	var unread []Request
	commands := make(chan string, maxCommands) // written apart, as a client that waits for its write would not read
	defer close(commands)
	go func() {
		for text := range commands {
			_, _ = io.WriteString(c, text) // an error shows at the next read
		}
	}()
	send := func(n int) {
		var text strings.Builder
		for range n {
			q := newRequest(otherClass)
			q.Account = account
			unread = append(unread, q)
			text.WriteString(q.encode())
		}
		commands <- text.String()
	}
	send(p.inFlight)
	for counted := false; len(unread) > 0; unread = unread[1:] {
		if s.happening.Load() && !counted {
			counted = true
			s.res.occasion()
		}
		a := c.readReply()
		if leaveAt := s.leaveAt.Load(); leaveAt > 0 && time.Now().UnixNano() > leaveAt && (a.outcome != Cut || a.timedOut) {
			return
		}
		if !s.judge(p, a, unread) {
			return
		}
		stopAt := s.stopAt.Load()
		if p.sendsOn && (stopAt == 0 || time.Now().UnixNano() < stopAt) {
			send(1)
		}
	}
}

// judge checks the answer to the first of the requests that are unread, and reports whether the connection goes on.
func (s *slowReading) judge(p readerProfile, a answer, unread []Request) (goesOn bool) {
	q := unread[0]
	if a.outcome != Cut {
		s.res.count(a.outcome)
		if a.outcome == Served && a.value != valueOf(q.ID, p.size) {
			s.res.breach("%v: %s was served another value of %d bytes", p, q.ID, len(a.value))
		}
		return true
	}
	ran := 0
	for _, q := range unread {
		if len(s.rig.callsOf(q.ID)) > 0 {
			ran++
		}
	}
	orderly := a.closed && s.happening.Load() && s.event.ends
	if ran > 0 || !orderly {
		s.res.count(Cut)
		s.res.breach("%v: the connection ended with %d requests without an answer, of which %d have run: %s, value begun %t", p, len(unread), ran, a.text, a.begun)
	}
	return false
}
