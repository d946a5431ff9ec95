package testbed

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// Account is one customer and the traffic that its clients send.
type Account struct {
	Name, Plan        string
	Rate              float64       // requested units per second, over all classes
	FloodX            float64       // factor on Rate during a flood
	FloodEvery        time.Duration // from the end of a flood to the start of the next; the first starts at a random time within it
	FloodFor          time.Duration
	First, Spread     int           // its requests arrive at the Spread forwarders from number First on
	From, To          time.Duration // sends only between these times after the start; To 0: until the end
	IgnoresRetryAfter bool          // its clients ignore the retry-after hint of a rejection
	NoRetries         bool          // its clients never retry
	OnlyClass         string        // class of all its requests; "": all classes, by Traffic.ClassFractions
}

// Traffic configures what Clients send.
type Traffic struct {
	Accounts           []Account
	Classes            []policy.Class
	ClassFractions     map[string]float64 // fraction of the requests, by class
	Units              map[string]int     // units of a request, by class
	Retries            int                // client retries after the first request
	DisconnectFraction float64            // fraction of the requests whose client disconnects at a random time within the latency objective
	BatchFraction      float64            // fraction of the requests that are sent as a batch: one of each class, pipelined on one connection
	KeepConnections    bool               // clients use open connections to an ingress that leaves, for as long as these stay open
	MisbehavingClients int                // number of clients that send invalid or abusive input
	Seed               uint64
}

// Clients generates open-loop load in place of the customers' programs: each account sends requests with exponentially
// distributed gaps at its rate, whether or not earlier requests were answered. A request has a connection to itself until it
// is answered, and is retried up to Traffic.Retries times.
type Clients struct {
	cfg   Traffic
	hist  *oracle.History
	front *Front

	sentToLeaving atomic.Int64 // requests for which pick chose an ingress that was leaving

	mu           sync.Mutex
	idleConns    map[int][]*clientConn // pooled connections, by forwarder
	openConns    map[*clientConn]bool  // all open connections
	rng          *rand.Rand
	nextID       uint64
	lastRequest  *oracle.Request
	floodFactors map[string]float64 // factor on the rate, by account
	wg           sync.WaitGroup     // goroutines of requests; their number is bounded by the run's length and the rates
}

// NewClients returns clients that send nothing until Run is called.
func NewClients(cfg Traffic, hist *oracle.History, front *Front) *Clients {
	return &Clients{cfg: cfg, hist: hist, front: front, nextID: uint64(os.Getpid()) << requestIDBits, idleConns: map[int][]*clientConn{}, openConns: map[*clientConn]bool{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11)),
		floodFactors: map[string]float64{}}
}

// Flood multiplies an account's rate by x until the next call; 1 ends the flood.
func (c *Clients) Flood(account string, x float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floodFactors[account] = x
}

// Run sends requests until ctx ends and returns when the last one is answered.
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

// sendAccountRequests sends one account's requests until ctx ends or Account.To is over, without waiting for the answers.
func (c *Clients) sendAccountRequests(ctx context.Context, a Account, rng *rand.Rand) {
	meanUnits := 0.0
	for class, share := range c.cfg.ClassFractions {
		meanUnits += share * float64(c.cfg.Units[class])
	}
	began := time.Now()
	next := began.Add(a.From)
	floodStart := time.Now().Add(time.Duration(rng.Float64() * float64(a.FloodEvery)))
	for ctx.Err() == nil {
		c.mu.Lock()
		rate := a.Rate / meanUnits * cmp.Or(c.floodFactors[a.Name], 1)
		c.mu.Unlock()
		if now := time.Now(); a.FloodX > 0 && now.After(floodStart) {
			rate *= a.FloodX
			if now.After(floodStart.Add(a.FloodFor)) {
				floodStart = now.Add(a.FloodEvery)
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

// requestIDBits is the number of low bits of a request id that count the requests of a run. The bits above hold the testbed's
// process id, so that testbeds that run at the same time use different ids.
const requestIDBits = 24

// newRequestID returns an unused request id.
func (c *Clients) newRequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("%016x", c.nextID)
}

// randFloat returns a random number in [0, 1).
func (c *Clients) randFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// sendWithRetries sends a request and retries it after a rejection, and after a failure if the class may be repeated. It stops when
// Traffic.Retries are used up, less than 50 ms of the deadline are left, or ctx has ended.
func (c *Clients) sendWithRetries(ctx context.Context, a Account, class policy.Class, key string) {
	began := time.Now()
	first := ""
	for retry := 0; retry <= c.cfg.Retries; retry++ {
		left := seconds(class.DeadlineS) - time.Since(began)
		if left < 50*time.Millisecond || retry > 0 && ctx.Err() != nil {
			return
		}
		id := c.newRequestID()
		wait := time.Duration((0.1 + 0.2*c.randFloat()) * float64(time.Second))
		if first == "" {
			first = id
		}
		r, hint := c.sendRequest(a, class, c.pick(a), id, first, key, left)
		if r == oracle.Served || r == oracle.ForeignReply || r == oracle.Disconnected || (r == oracle.Failed || r == oracle.ConnectionLost) && class.Idempotency == policy.NonIdempotent {
			return
		}
		if a.NoRetries {
			return
		}
		if a.IgnoresRetryAfter {
			hint = 0
		}
		time.Sleep(max(hint, wait))
	}
}

// pick returns the forwarder for an account's next request: the front's choice or, with KeepConnections, one that is leaving and to which a
// connection is still open.
func (c *Clients) pick(a Account) int {
	if c.cfg.KeepConnections {
		for f := a.First; f < a.First+a.Spread; f++ {
			if c.front.IsLeaving(f) && c.hasIdleConn(f) {
				c.sentToLeaving.Add(1)
				return f
			}
		}
	}
	return c.front.Pick(a)
}

// ClassOf returns the class of an account's next request for x, a random number in [0, 1).
func ClassOf(a Account, classes []policy.Class, shares map[string]float64, x float64) policy.Class {
	for _, k := range classes {
		if x -= shares[k.Name]; a.OnlyClass == "" && x < 0 || a.OnlyClass == k.Name {
			return k
		}
	}
	return classes[0]
}
