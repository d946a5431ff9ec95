package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderspread/policy"
)

// Account is one customer and how it asks.
type Account struct {
	Name, Plan    string
	Rate          float64 // units a second that it asks for on the whole
	FloodX        float64 // times that while it floods
	FloodEvery    time.Duration
	FloodFor      time.Duration
	First, Spread int // the forwarders that it comes through
}

// Traffic is what Clients send.
type Traffic struct {
	Accounts []Account
	Classes  []policy.Class
	Shares   map[string]float64 // of the requests, by class
	Units    map[string]int     // by class
	Retries  int                // of a client, after its first try
	Seed     uint64
}

// Clients stand in for restaurants' programs: each account asks by chance at its rate, each request on a connection
// of its own for as long as it lasts, with as many tries as are allowed. Nothing waits for answers.
type Clients struct {
	cfg  Traffic
	hist *History
	addr func(forwarder int) string // "" while it is not to be asked

	mu   sync.Mutex
	idle map[int][]*clientConn
	rng  *rand.Rand
	next uint64
	wg   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	r      *bufio.Reader
	idleAt time.Time
}

// idleMost is how long a connection is kept: less than what a forwarder allows, so that none is closed while a
// request crosses.
const idleMost = 4 * time.Second

// open tells that the connection still stands.
func (k *clientConn) open() bool {
	if time.Since(k.idleAt) > idleMost {
		return false
	}
	k.SetReadDeadline(time.Now().Add(20 * time.Microsecond))
	_, err := k.r.Peek(1)
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// NewClients makes clients; Run starts them.
func NewClients(cfg Traffic, hist *History, addr func(int) string) *Clients {
	return &Clients{cfg: cfg, hist: hist, addr: addr, idle: map[int][]*clientConn{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11))}
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
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			k.Close()
		}
	}
}

// account draws the times of one account's requests ahead of any answer.
func (c *Clients) account(ctx context.Context, a Account, rng *rand.Rand) {
	mean := 0.0
	for class, share := range c.cfg.Shares {
		mean += share * float64(c.cfg.Units[class])
	}
	next := time.Now()
	flood := time.Now().Add(time.Duration(rng.Float64() * float64(a.FloodEvery)))
	for ctx.Err() == nil {
		rate := a.Rate / mean
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
		x, class := rng.Float64(), c.cfg.Classes[0]
		for _, k := range c.cfg.Classes {
			if x -= c.cfg.Shares[k.Name]; x < 0 {
				class = k
				break
			}
		}
		f := a.First + rng.IntN(a.Spread)
		key := strconv.FormatUint(rng.Uint64(), 16)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.request(ctx, a, class, f, key)
		}()
	}
}

// request makes a request's tries.
func (c *Clients) request(ctx context.Context, a Account, class policy.Class, f int, key string) {
	began := time.Now()
	first := ""
	for try := 0; try <= c.cfg.Retries; try++ {
		left := seconds(class.DeadlineS) - time.Since(began)
		if left < 50*time.Millisecond || try > 0 && ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.next++
		id := fmt.Sprintf("%016x", c.next)
		wait := time.Duration((0.1 + 0.2*c.rng.Float64()) * float64(time.Second))
		c.mu.Unlock()
		if first == "" {
			first = id
		}
		r, hint := c.try(a, class, f, id, first, key, left)
		if r == Served || r == Alien || (r == Failed || r == Broken) && class.Effect == policy.Unsafe {
			return
		}
		time.Sleep(max(hint, wait))
		f = a.First + (f-a.First+1)%a.Spread
	}
}

func (c *Clients) dial(f int) (*clientConn, error) {
	addr := c.addr(f)
	if addr == "" {
		return nil, io.EOF
	}
	for {
		c.mu.Lock()
		list := c.idle[f]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		k := list[len(list)-1]
		c.idle[f] = list[:len(list)-1]
		c.mu.Unlock()
		if k.open() {
			return k, nil
		}
		k.Close()
	}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *Clients) release(f int, k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.idleAt = time.Now()
	c.idle[f] = append(c.idle[f], k)
}

// try sends one request and reads its answer.
func (c *Clients) try(a Account, class policy.Class, f int, id, first, key string, left time.Duration) (Result, time.Duration) {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=%d,first=%d", class.Name, a.Plan, left.Milliseconds(),
		c.cfg.Units[class.Name], a.Spread, a.First)
	args := []string{"CALL.GET", a.Name, id, fields}
	if class.Effect != policy.Safe {
		args[0] = "CALL.POST"
		if class.Effect == policy.Keyed {
			args[3] += ",k=" + key
		}
		args = append(args, "body of "+id)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, x := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	t := &Try{ID: id, First: first, Account: a.Name, Class: class.Name, Plan: a.Plan, Forwarder: f,
		Units: float64(c.cfg.Units[class.Name])}
	k, err := c.dial(f)
	if err != nil {
		return Broken, 0 // nobody took it
	}
	t.Sent = c.hist.Now()
	t.Deadline = t.Sent + left
	c.hist.sent(t)
	k.SetDeadline(time.Now().Add(left + 2*time.Second))
	answer, err := k.ask(b.String())
	r, hint := Broken, 0
	switch {
	case err != nil:
	case answer == "v:"+id:
		r = Served
	case strings.HasPrefix(answer, "-BUSY"):
		r = Refused
		hint, _ = strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(answer, "-BUSY")))
	case strings.HasPrefix(answer, "-"):
		r = Failed
	default:
		r = Alien
	}
	c.hist.answered(t, r)
	if err != nil {
		k.Close()
	} else {
		c.release(f, k)
	}
	return r, time.Duration(hint) * time.Millisecond
}

// ask sends a command and returns the value, or the error's line.
func (k *clientConn) ask(command string) (string, error) {
	if _, err := io.WriteString(k, command); err != nil {
		return "", err
	}
	line, err := k.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "$") {
		return strings.TrimRight(line, "\r\n"), err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return "", err
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(k.r, value); err != nil {
		return "", err
	}
	return string(value[:n]), nil
}
