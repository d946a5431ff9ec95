package hostile

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderspread/policy"
)

func init() {
	register(Case{Name: "soak", What: "misbehaving peers, restarts and reloads drawn from a seed, then signals in series and SIGKILL at the earliest time", Alone: true,
		Classes: shortClasses(), play: playSoak})
}

const (
	soakClients       = 16
	maxBufferedValue  = 64 << 10               // bytes of a value that is passed on once it is whole
	soakDisturbance   = 400 * time.Millisecond // mean time between two disturbances
	newConnectionTime = 300 * time.Millisecond // for which clients open connections to an ingress that leaves
	killMargin        = 700 * time.Millisecond // SIGKILL comes no sooner than this and the longest deadline after SIGTERM
)

// shortClasses are the classes with deadlines that let SIGKILL come soon.
func shortClasses() []policy.Class {
	short := append([]policy.Class(nil), classes...)
	for i := range short {
		short[i].DeadlineS = min(short[i].DeadlineS, waitS)
		short[i].LatencyObjectiveS = min(short[i].LatencyObjectiveS, waitS/2)
	}
	return short
}

// soak is a run of playSoak.
type soak struct {
	rig    *Rig
	res    *Result
	mu     sync.Mutex
	rng    *rand.Rand
	paused map[string]pausedAnswer // by request
	ending atomic.Bool             // SIGTERM is about to be sent
	termAt atomic.Int64            // when the series of signals began, in Unix nanoseconds; 0: not yet
	killAt atomic.Int64            // when SIGKILL was sent, in Unix nanoseconds; 0: not yet
}

// playSoak has clients send requests whose answers are written in all ways, beside misbehaving clients and disturbances, and ends the ingress
// while they go on. Each request has to get its final answer in time, or an orderly close in its place. Its client then sends it once more.
func playSoak(r *Rig, res *Result, length time.Duration) {
	s := &soak{rig: r, res: res, rng: rand.New(rand.NewPCG(r.cfg.Seed, 71)), paused: map[string]pausedAnswer{}}
	for _, b := range r.Backends {
		b.setAnswerer(s.answer)
	}
	end := time.Now().Add(length)
	done := make(chan struct{})
	var all sync.WaitGroup
	for range soakClients {
		all.Go(func() { s.sendUntil(done) })
	}
	var abuse sync.WaitGroup
	if s.draw(2) == 0 {
		abuse.Go(func() { r.floodUntil(end, newResult(), floods[s.draw(len(floods))]) })
	}
	if s.draw(2) == 0 {
		abuse.Go(func() { s.crowd(end) })
	}
	if s.draw(2) == 0 {
		abuse.Go(func() { s.leaveUntil(end) })
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.draw(2 * int(soakDisturbance))))
		s.disturb()
	}
	abuse.Wait()
	s.res.addMemory(r) // before the end, as the figures are those of a process
	s.termAt.Store(time.Now().UnixNano())
	s.ending.Store(true)
	killAfter := seconds(waitS) + killMargin
	r.ingress().TermAndKillAt(killAfter, func() { s.killAt.Store(time.Now().UnixNano()) })
	close(done)
	all.Wait()
	if err := r.ingress().Start(); err != nil { // a program that does not run counts as a crash
		res.breach("start after the end: %v", err)
	}
}

// leavingFor returns the time since the series of signals began; 0 before.
func (s *soak) leavingFor() time.Duration {
	at := s.termAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// draw returns a random number below n.
func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// answer writes the answer to a call in the way that was drawn for its request.
func (s *soak) answer(c net.Conn, call Call) error {
	s.mu.Lock()
	p, ok := s.paused[call.ID]
	s.mu.Unlock()
	if !ok {
		return serveID(c, call)
	}
	return p.write(c, valueOf(call.ID, p.size), seconds(waitS))
}

// disturb does one of the things that operators and machines do to an ingress and its peers.
func (s *soak) disturb() {
	r := s.rig
	switch s.draw(5) {
	case 0:
		for range 1 + s.draw(3) {
			r.ingress().HUP()
		}
	case 1:
		if err := r.ingress().Replace(); err != nil {
			s.res.breach("hot restart: %v", err)
		}
	case 2:
		if n := len(r.fleet.Planners); n > 0 {
			p := r.fleet.Planners[s.draw(n)]
			p.Kill()
			_ = p.Start() // shows in the answers
		}
	case 3:
		r.drainAndReturn(r.Backends[s.draw(len(r.Backends))])
	case 4:
		if err := r.Backends[s.draw(len(r.Backends))].replace(); err != nil {
			s.res.breach("new backend: %v", err)
		}
	}
}

// sendUntil is a client that sends one request after the other, and uses its connection for as long as it stays open.
func (s *soak) sendUntil(done <-chan struct{}) {
	answers := pausedAnswers()
	var c *client
	for {
		select {
		case <-done:
			return
		default:
		}
		p := answers[s.draw(len(answers))]
		q := newRequest(p.class)
		if q.Class != "zone-check" && s.draw(4) == 0 {
			q.Body = strings.Repeat("x", s.draw(largeBody))
		}
		s.mu.Lock()
		s.paused[q.ID] = p
		s.mu.Unlock()
		leaves := s.leavingFor() > newConnectionTime
		if leaves && c == nil {
			return
		}
		var a answer
		if leaves {
			a = c.request(q)
		} else {
			c, a = s.rig.requestAgain(c, q)
		}
		s.judge(q, a)
		if a.outcome == Cut || a.outcome == Late {
			if c != nil {
				c.Close()
			}
			c = nil
		}
	}
}

// judge checks what a client got for a request.
func (s *soak) judge(q Request, a answer) {
	s.res.occasion()
	// A large value that has begun can't be completed if its backend dies, or has not ended it at the end of the ingress. At that end, a
	// client's connection is closed between two answers.
	large := a.begun && s.sizeOf(q.ID) > maxBufferedValue
	died := slices.ContainsFunc(s.rig.Backends, func(b *Backend) bool { return b.diedDuring(q.ID) })
	leaving := a.outcome == Cut && (s.ending.Load() && (a.closed || a.refused || large) || large && died)
	if !leaving {
		s.res.count(a.outcome)
	}
	switch calls := s.rig.callsOf(q.ID); {
	case q.Class == "courier-send" && len(calls) > 1:
		s.res.breach("%s came to backends %d times", q.Class, len(calls))
	case a.outcome == Served && a.value != valueOf(q.ID, s.sizeOf(q.ID)):
		s.res.breach("%s was served another value of %d bytes", q.Class, len(a.value))
	case a.outcome == Late:
		s.res.breach("%s: %s %s after %v", q.Class, a.outcome, a.text, a.after.Round(time.Millisecond))
	case a.outcome == Cut && !leaving:
		killAt := "before the kill"
		if at := s.killAt.Load(); at != 0 {
			killAt = time.Duration(time.Now().UnixNano()-at).Round(time.Millisecond).String() + " after the kill"
		}
		s.res.breach("%s, value of %d bytes: %s %s after %v, %d bytes of it came, %s, ending %t", q.Class, s.sizeOf(q.ID), a.outcome, a.text,
			a.after.Round(time.Millisecond), len(a.value), killAt, s.ending.Load())
	}
}

func (s *soak) sizeOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused[id].size
}

// crowd has idle and half-sent connections take descriptors of the ingress.
func (s *soak) crowd(end time.Time) {
	const size = 300
	var conns []*client
	for i := range size {
		if c, err := s.rig.dial(false); err == nil {
			conns = append(conns, c)
			if i%2 == 0 {
				text := largeRequest().encode()
				_, _ = c.Write([]byte(text[:len(text)/2])) // fails if the ingress has closed it already
			}
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Until(end))
	for _, c := range conns {
		c.Close()
	}
}

// leaveUntil has clients send many requests and leave.
func (s *soak) leaveUntil(end time.Time) {
	for time.Now().Before(end) {
		s.rig.leavePipelined(newResult(), 50, leaving{after: time.Duration(s.draw(int(100 * time.Millisecond)))})
	}
}
