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
	DisconnectFraction        float64            // share of the tries whose client hangs up at a random moment
	BatchFraction        float64            // share of the requests that go out in threes on one connection
	MisbehavingClients    int                // clients that send what they should not
	Seed           uint64
}

// Clients stand in for restaurants' programs: each account asks by chance at its rate, each request on a connection
// of its own for as long as it lasts, with as many tries as are allowed. Nothing waits for answers.
type Clients struct {
	cfg   Traffic
	hist  *oracle.History
	front *Front

	mu     sync.Mutex
	idleConns   map[int][]*clientConn // by forwarder
	openConns   map[*clientConn]bool  // all that are
	rng    *rand.Rand
	nextID   uint64
	lastRequest   *oracle.Request
	floodFactors map[string]float64 // factor by account
	wg     sync.WaitGroup     // bounded by the run's length and rates
}

type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	idleSince      time.Time
	incarnation int  // of the forwarder's program
	used        bool // it has carried a request before
	forwarder   int
	clients     *Clients

	// Under the Clients' lock.
	sentAt time.Time // the last request
	awaitingReply bool      // its answer
}

// Close ends the connection.
func (k *clientConn) Close() error {
	k.clients.mu.Lock()
	delete(k.clients.openConns, k)
	k.clients.mu.Unlock()
	return k.Conn.Close()
}

// setAwaiting notes that a request has gone out on it, or that all are answered.
func (k *clientConn) setAwaiting(awaits bool) {
	k.clients.mu.Lock()
	defer k.clients.mu.Unlock()
	if k.awaitingReply = awaits; awaits {
		k.sentAt = time.Now()
	}
}

// closedByPeer tells that the other side has closedByPeer the connection, whatever was read of it.
func (k *clientConn) closedByPeer() (ended bool) {
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
	for k := range c.openConns {
		switch {
		case k.forwarder != forwarder || k.closedByPeer():
		case !k.awaitingReply && time.Since(k.idleSince) > recent/4: // else its end may be on its way
			held[k] = "idle"
		case k.awaitingReply && time.Since(k.sentAt) < recent:
			held[k] = "with a request sent " + time.Since(k.sentAt).Round(time.Millisecond).String() + " ago"
		}
	}
	return held
}

var errIngressLeaving = errors.New("no new connections go there any more")

// maxConnIdle is how long a connection is kept: less than what a forwarder allows, so that none is closed while a
// request crosses.
const maxConnIdle = 4 * time.Second

// reusable tells that the connection still stands.
func (k *clientConn) reusable() bool {
	if time.Since(k.idleSince) > maxConnIdle {
		return false
	}
	_ = k.SetReadDeadline(time.Now().Add(20 * time.Microsecond))
	_, err := k.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// NewClients makes clients; Run starts them.
func NewClients(cfg Traffic, hist *oracle.History, front *Front) *Clients {
	return &Clients{cfg: cfg, hist: hist, front: front, nextID: uint64(os.Getpid()) << requestIDBits, idleConns: map[int][]*clientConn{}, openConns: map[*clientConn]bool{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
		floodFactors: map[string]float64{}}
}

// Flood has an account ask for x times what it does, until it is taken back with 1.
func (c *Clients) Flood(account string, x float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floodFactors[account] = x
}

// Run asks until ctx ends and waits for the last answers.
func (c *Clients) Run(ctx context.Context) {
	for i, a := range c.cfg.Accounts {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.sendAccountRequests(ctx, a, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)+100)))
		}()
	}
	for i := range c.cfg.MisbehavingClients {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.misbehave(ctx, rand.New(rand.NewPCG(c.cfg.Seed, uint64(i)+1<<20)))
		}()
	}
	c.wg.Wait()
	c.mu.Lock()
	idle := c.idleConns
	c.idleConns = map[int][]*clientConn{}
	c.mu.Unlock()
	for _, list := range idle {
		for _, k := range list {
			k.Close()
		}
	}
}

// sendAccountRequests draws the times of one sendAccountRequests's requests ahead of any answer.
func (c *Clients) sendAccountRequests(ctx context.Context, a Account, rng *rand.Rand) {
	mean := 0.0
	for class, share := range c.cfg.ClassFractions {
		mean += share * float64(c.cfg.Units[class])
	}
	began := time.Now()
	next := began.Add(a.From)
	flood := time.Now().Add(time.Duration(rng.Float64() * float64(a.FloodEvery)))
	for ctx.Err() == nil {
		c.mu.Lock()
		rate := a.Rate / mean * cmp.Or(c.floodFactors[a.Name], 1)
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
		batch := rng.Float64() < c.cfg.BatchFraction
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			if batch {
				c.sendBatch(a, key)
			} else {
				c.sendWithRetries(ctx, a, class, key)
			}
		}()
	}
}

// requestIDBits of an id count the requests of a run; what stands before them tells one laboratory from another.
const requestIDBits = 24

// newRequestID returns an id that no request has had.
func (c *Clients) newRequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("%016x", c.nextID)
}

// randFloat draws from 0 to 1.
func (c *Clients) randFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// sendWithRetries makes a sendWithRetries's tries.
func (c *Clients) sendWithRetries(ctx context.Context, a Account, class policy.Class, key string) {
	began := time.Now()
	first := ""
	for try := 0; try <= c.cfg.Retries; try++ {
		left := seconds(class.DeadlineS) - time.Since(began)
		if left < 50*time.Millisecond || try > 0 && ctx.Err() != nil {
			return
		}
		id := c.newRequestID()
		wait := time.Duration((0.1 + 0.2*c.randFloat()) * float64(time.Second))
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

// acquire takes a connection out of the pool or makes one.
func (c *Clients) acquire(f int, fresh bool) (*clientConn, error) {
	for !fresh {
		c.mu.Lock()
		list := c.idleConns[f]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		k := list[len(list)-1]
		c.idleConns[f] = list[:len(list)-1]
		c.mu.Unlock()
		if k.incarnation == c.front.Incarnation(f) && k.reusable() { // one to an earlier program has ended, whether or not that is seen here
			return k, nil
		}
		k.Close()
	}
	life := c.front.Incarnation(f)
	if c.front.IsLeaving(f) {
		return nil, errIngressLeaving
	}
	conn, err := net.DialTimeout("tcp", c.front.Addr(f), time.Second)
	if err != nil {
		return nil, err
	}
	k := &clientConn{Conn: conn, reader: bufio.NewReader(conn), incarnation: life, forwarder: f, clients: c}
	c.mu.Lock()
	c.openConns[k] = true
	c.mu.Unlock()
	return k, nil
}

func (c *Clients) release(f int, k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.idleSince, k.used, k.awaitingReply = time.Now(), true, false
	c.idleConns[f] = append(c.idleConns[f], k)
}

// encodeCommand words a request.
func (c *Clients) encodeCommand(a Account, class policy.Class, id, key string, left time.Duration) string {
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

// recordSent records a try as recordSent now.
func (c *Clients) recordSent(t *oracle.Request, left time.Duration) {
	t.SentAt = c.hist.Now()
	t.Deadline = t.SentAt + left
	c.hist.RequestSent(t)
	c.mu.Lock()
	c.lastRequest = t
	c.mu.Unlock()
}

// classifyReply tells what an answer to a request means, and when to come back.
func classifyReply(answer, id string) (oracle.Result, time.Duration) {
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
	command := c.encodeCommand(a, class, id, key, left)
	t := &oracle.Request{ID: id, OriginalID: first, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f,
		Units: float64(c.cfg.Units[class.Name])}
	c.recordSent(t, left)
	hangUp := time.Duration(0)
	if c.randFloat() < c.cfg.DisconnectFraction {
		hangUp = seconds(c.randFloat() * class.LatencyObjectiveS)
	}
	for again := range 2 {
		k, err := c.acquire(f, again > 0)
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
			r, hint := classifyReply(answer, id)
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
		if !k.used || !c.front.SameIncarnation(f, k.incarnation, asked) || errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	c.hist.RequestAnswered(t, oracle.ConnectionLost)
	return oracle.ConnectionLost, 0
}

// sendBatch sends one request of each class at once on one connection and reads the answers, which must come in order.
func (c *Clients) sendBatch(a Account, key string) {
	f := c.front.Pick(a)
	k, err := c.acquire(f, true)
	if err != nil {
		return
	}
	defer k.Close()
	var commands strings.Builder
	var tries []*oracle.Request
	most := time.Duration(0)
	for i, class := range c.cfg.Classes {
		id, left := c.newRequestID(), seconds(class.DeadlineS)
		most = max(most, left)
		commands.WriteString(c.encodeCommand(a, class, id, key, left))
		t := &oracle.Request{ID: id, OriginalID: id, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f, Units: float64(c.cfg.Units[class.Name]),
			BatchIndex: i + 1}
		tries = append(tries, t)
		c.recordSent(t, left)
	}
	_ = k.SetDeadline(time.Now().Add(most + 2*time.Second))
	k.setAwaiting(true)
	_, err = io.WriteString(k, commands.String())
	for _, t := range tries {
		var answer string
		if err == nil {
			answer, err = k.readReply()
		}
		if err != nil {
			t.NotAccepted = c.front.Unreached(k.LocalAddr().String())
			c.hist.RequestAnswered(t, oracle.ConnectionLost)
			continue
		}
		r, _ := classifyReply(answer, t.ID)
		c.hist.RequestAnswered(t, r)
	}
}

// roundTrip sends a command and returns the value, or the error's line.
func (k *clientConn) roundTrip(command string) (string, error) {
	k.setAwaiting(true)
	if _, err := io.WriteString(k, command); err != nil {
		return "", err
	}
	return k.readReply()
}

// readReply reads one readReply.
func (k *clientConn) readReply() (string, error) {
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
