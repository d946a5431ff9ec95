package testbed

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Account is one customer and how it asks.
type Account struct {
	Name, Plan    string
	Rate          float64 // units a second that it asks for on the whole
	FloodX        float64 // times that while it floods
	FloodEvery    time.Duration
	FloodFor      time.Duration
	First, Spread int           // the forwarders that it comes through
	From, To      time.Duration // asks between these alone; To 0: to the end
	Deaf          bool          // its clients pay no heed to when they are to come back
	Once          bool          // its clients never try again
	Only          string        // class of all its requests, "" for all classes in their shares
}

// Traffic is what Clients send.
type Traffic struct {
	Accounts       []Account
	Classes        []policy.Class
	ClassFractions map[string]float64 // of the requests, by class
	Units          map[string]int     // by class
	Retries        int                // of a client, after its first try
	HangUps        float64            // share of the tries whose client hangs up at a random moment
	Batches        float64            // share of the requests that go out in threes on one connection
	Misbehaving    int                // clients that send what they should not
	Seed           uint64
}

// Clients stand in for restaurants' programs: each account asks by chance at its rate, each request on a connection
// of its own for as long as it lasts, with as many tries as are allowed. Nothing waits for answers.
type Clients struct {
	cfg   Traffic
	hist  *oracle.History
	front *Front

	mu     sync.Mutex
	idle   map[int][]*clientConn // by forwarder
	open   map[*clientConn]bool  // all that are
	rng    *rand.Rand
	next   uint64
	last   *oracle.Request
	floods map[string]float64 // factor by account
	wg     sync.WaitGroup     // bounded by the run's length and rates
}

type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	idleAt      time.Time
	incarnation int  // of the forwarder's program
	used        bool // it has carried a request before
	forwarder   int
	clients     *Clients

	// Under the Clients' lock.
	sentAt time.Time // the last request
	awaits bool      // its answer
}

// Close ends the connection.
func (k *clientConn) Close() error {
	k.clients.mu.Lock()
	delete(k.clients.open, k)
	k.clients.mu.Unlock()
	return k.Conn.Close()
}

// setAwaiting notes that a request has gone out on it, or that all are answered.
func (k *clientConn) setAwaiting(awaits bool) {
	k.clients.mu.Lock()
	defer k.clients.mu.Unlock()
	if k.awaits = awaits; awaits {
		k.sentAt = time.Now()
	}
}

// ended tells that the other side has ended the connection, whatever was read of it.
func (k *clientConn) ended() (ended bool) {
	raw, err := k.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended || err != nil
}

// overdueConns returns the connections to a forwarder that break what operators are promised of a drain: idle, or with a request that is younger than recent.
func (c *Clients) overdueConns(forwarder int, recent time.Duration) map[*clientConn]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := map[*clientConn]string{}
	for k := range c.open {
		switch {
		case k.forwarder != forwarder || k.ended():
		case !k.awaits && time.Since(k.idleAt) > recent/4: // else its end may be on its way
			held[k] = "idle"
		case k.awaits && time.Since(k.sentAt) < recent:
			held[k] = "with a request sent " + time.Since(k.sentAt).Round(time.Millisecond).String() + " ago"
		}
	}
	return held
}

var errLeaves = errors.New("no new connections go there any more")

// idleMost is how long a connection is kept: less than what a forwarder allows, so that none is closed while a
// request crosses.
const idleMost = 4 * time.Second

// open tells that the connection still stands.
func (k *clientConn) open() bool {
	if time.Since(k.idleAt) > idleMost {
		return false
	}
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Microsecond))
	_, err := k.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// NewClients makes clients; Run starts them.
func NewClients(cfg Traffic, hist *oracle.History, front *Front) *Clients {
	return &Clients{cfg: cfg, hist: hist, front: front, next: uint64(os.Getpid()) << idBits, idle: map[int][]*clientConn{}, open: map[*clientConn]bool{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
		floods: map[string]float64{}}
}

// Flood has an account ask for x times what it does, until it is taken back with 1.
func (c *Clients) Flood(account string, x float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floods[account] = x
}

// Run asks until ctx ends and waits for the last answers.
func (c *Clients) Run(ctx context.Context) {
	for i, a := range c.cfg.Accounts {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.account(ctx, a, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)+100)))
		}()
	}
	for i := range c.cfg.Misbehaving {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.misbehave(ctx, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)+1<<20)))
		}()
	}
	c.wg.Wait()
	c.mu.Lock()
	idle := c.idle
	c.idle = map[int][]*clientConn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, k := range list {
			k.Close()
		}
	}
}

// account draws the times of one account's requests ahead of any answer.
func (c *Clients) account(ctx context.Context, a Account, rng *rand.Rand) {
	mean := 0.0
	for class, share := range c.cfg.ClassFractions {
		mean += share * float64(c.cfg.Units[class])
	}
	began := time.Now()
	next := began.Add(a.From)
	flood := time.Now().Add(time.Duration(rng.Float64() * float64(a.FloodEvery)))
	for ctx.Err() == nil {
		c.mu.Lock()
		rate := a.Rate / mean * cmp.Or(c.floods[a.Name], 1)
		c.mu.Unlock()
		if now := time.Now(); a.FloodX > 0 && now.After(flood) {
			rate *= a.FloodX
			if now.After(flood.Add(a.FloodFor)) {
				flood = now.Add(a.FloodEvery)
			}
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if a.To > 0 && time.Since(began) > a.To {
			return
		}
		class := ClassOf(a, c.cfg.Classes, c.cfg.ClassFractions, rng.Float64())
		key := strconv.FormatUint(rng.Uint64(), 16)
		batch := rng.Float64() < c.cfg.Batches
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if batch {
				c.batch(a, key)
			} else {
				c.request(ctx, a, class, key)
			}
		}()
	}
}

// idBits of an id count the requests of a run; what stands before them tells one laboratory from another.
const idBits = 24

// newID returns an id that no request has had.
func (c *Clients) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%016x", c.next)
}

// chance draws from 0 to 1.
func (c *Clients) chance() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// request makes a request's tries.
func (c *Clients) request(ctx context.Context, a Account, class policy.Class, key string) {
	began := time.Now()
	first := ""
	for try := 0; try <= c.cfg.Retries; try++ {
		left := seconds(class.DeadlineS) - time.Since(began)
		if left < 50*time.Millisecond || try > 0 && ctx.Err() != nil {
			return
		}
		id := c.newID()
		wait := time.Duration((0.1 + 0.2*c.chance()) * float64(time.Second))
		if first == "" {
			first = id
		}
		r, hint := c.sendRequest(a, class, c.front.Pick(a), id, first, key, left)
		if r == oracle.Served || r == oracle.ForeignReply || r == oracle.Disconnected || (r == oracle.Failed || r == oracle.ConnectionLost) && class.Idempotency == policy.NonIdempotent {
			return
		}
		if a.Once {
			return
		}
		if a.Deaf {
			hint = 0
		}
		time.Sleep(max(hint, wait))
	}
}

// ClassOf is the class of an account's next request, by a number drawn from 0 to 1.
func ClassOf(a Account, classes []policy.Class, shares map[string]float64, x float64) policy.Class {
	for _, k := range classes {
		if x -= shares[k.Name]; a.Only == "" && x < 0 || a.Only == k.Name {
			return k
		}
	}
	return classes[0]
}

// dial takes a connection out of the pool or makes one.
func (c *Clients) dial(f int, fresh bool) (*clientConn, error) {
	for !fresh {
		c.mu.Lock()
		list := c.idle[f]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		k := list[len(list)-1]
		c.idle[f] = list[:len(list)-1]
		c.mu.Unlock()
		if k.incarnation == c.front.Incarnation(f) && k.open() { // one to an earlier program has ended, whether or not that is seen here
			return k, nil
		}
		k.Close()
	}
	life := c.front.Incarnation(f)
	if c.front.Leaves(f) {
		return nil, errLeaves
	}
	conn, err := net.DialTimeout("tcp", c.front.Addr(f), time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{Conn: conn, reader: bufio.NewReader(conn), incarnation: life, forwarder: f, clients: c}
	c.mu.Lock()
	c.open[k] = true
	c.mu.Unlock()
	return k, nil
}

func (c *Clients) release(f int, k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.idleAt, k.used, k.awaits = time.Now(), true, false
	c.idle[f] = append(c.idle[f], k)
}

// command words a request.
func (c *Clients) command(a Account, class policy.Class, id, key string, left time.Duration) string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", class.Name, a.Plan, left.Milliseconds(),
		c.cfg.Units[class.Name], a.Spread, a.First)
	args := []string{"CALL.GET", a.Name, id, fields}
	if class.Idempotency != policy.Idempotent {
		args[0] = "CALL.POST"
		if class.Idempotency == policy.KeyedIdempotent {
			args[3] += ",k=" + key
		}
		args = append(args, "body of "+id)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, x := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	return b.String()
}

// sent records a try as sent now.
func (c *Clients) sent(t *oracle.Request, left time.Duration) {
	t.SentAt = c.hist.Now()
	t.Deadline = t.SentAt + left
	c.hist.RequestSent(t)
	c.mu.Lock()
	c.last = t
	c.mu.Unlock()
}

// result tells what an answer to a request means, and when to come back.
func result(answer, id string) (oracle.Result, time.Duration) {
	switch {
	case answer == "v:"+id:
		return oracle.Served, 0
	case strings.HasPrefix(answer, "-BUSY"):
		hint, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(answer, "-BUSY")))
		return oracle.Rejected, time.Duration(hint) * time.Millisecond
	case strings.HasPrefix(answer, "-"):
		return oracle.Failed, 0
	}
	return oracle.ForeignReply, 0
}

// sendRequest sends one request and reads its answer. On a connection that the forwarder closed between requests, while the same
// program still runs, it is sent once more on a new one.
func (c *Clients) sendRequest(a Account, class policy.Class, f int, id, first, key string, left time.Duration) (oracle.Result, time.Duration) {
	command := c.command(a, class, id, key, left)
	t := &oracle.Request{ID: id, OriginalID: first, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f,
		Units: float64(c.cfg.Units[class.Name])}
	c.sent(t, left)
	hangUp := time.Duration(0)
	if c.chance() < c.cfg.HangUps {
		hangUp = seconds(c.chance() * class.LatencyObjectiveS)
	}
	for again := range 2 {
		k, err := c.dial(f, again > 0)
		if err != nil {
			t.NotAccepted = true
			break
		}
		_ = k.SetDeadline(time.Now().Add(left + 2*time.Second))
		var left atomic.Bool
		if hangUp > 0 {
			timer := time.AfterFunc(hangUp, func() { left.Store(true); k.Close() })
			defer timer.Stop()
		}
		asked := time.Now()
		answer, err := k.roundTrip(command)
		if err == nil {
			r, hint := result(answer, id)
			c.hist.RequestAnswered(t, r)
			c.release(f, k)
			return r, hint
		}
		k.Close()
		if left.Load() {
			c.hist.RequestAnswered(t, oracle.Disconnected)
			return oracle.Disconnected, 0
		}
		if c.front.Unreached(k.LocalAddr().String()) {
			t.NotAccepted = true
			break
		}
		if !k.used || !c.front.Continuous(f, k.incarnation, asked) || errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	c.hist.RequestAnswered(t, oracle.ConnectionLost)
	return oracle.ConnectionLost, 0
}

// batch sends one request of each class at once on one connection and reads the answers, which must come in order.
func (c *Clients) batch(a Account, key string) {
	f := c.front.Pick(a)
	k, err := c.dial(f, true)
	if err != nil {
		return
	}
	defer k.Close()
	var commands strings.Builder
	var tries []*oracle.Request
	most := time.Duration(0)
	for i, class := range c.cfg.Classes {
		id, left := c.newID(), seconds(class.DeadlineS)
		most = max(most, left)
		commands.WriteString(c.command(a, class, id, key, left))
		t := &oracle.Request{ID: id, OriginalID: id, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f, Units: float64(c.cfg.Units[class.Name]),
			BatchIndex: i + 1}
		tries = append(tries, t)
		c.sent(t, left)
	}
	_ = k.SetDeadline(time.Now().Add(most + 2*time.Second))
	k.setAwaiting(true)
	_, err = io.WriteString(k, commands.String())
	for _, t := range tries {
		var answer string
		if err == nil {
			answer, err = k.answer()
		}
		if err != nil {
			t.NotAccepted = c.front.Unreached(k.LocalAddr().String())
			c.hist.RequestAnswered(t, oracle.ConnectionLost)
			continue
		}
		r, _ := result(answer, t.ID)
		c.hist.RequestAnswered(t, r)
	}
}

// roundTrip sends a command and returns the value, or the error's line.
func (k *clientConn) roundTrip(command string) (string, error) {
	k.setAwaiting(true)
	if _, err := io.WriteString(k, command); err != nil {
		return "", err
	}
	return k.answer()
}

// answer reads one answer.
func (k *clientConn) answer() (string, error) {
	line, err := k.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "$") {
		return strings.TrimRight(line, "\r\n"), err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return "", err
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(k.reader, value); err != nil {
		return "", err
	}
	return string(value[:n]), nil
}
