package testbed

import (
	"math/rand/v2"
	"sync"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// Front deals out accounts' requests among the ingresses of their sets as the operators' front does: unevenly, with a
// busiest one that changes, and to a dead one for some seconds more.
type Front struct {
	hist        *oracle.History
	addrs       []string
	incarnation func(f int) int                   // of a forwarder's program: changes with each start; below 0 while it is down
	leaves      func(f int) bool                  // whether it was told to end so long ago that no new connection goes there; nil: never
	cut         func(f int, since time.Time) bool // whether the way to it was cut since then; nil: never

	mu        sync.Mutex
	rng       *rand.Rand
	weights   map[string][]float64 // by account
	until     map[string]time.Time // when they change
	down      map[int]time.Time    // since when a forwarder is down
	notice    map[int]time.Duration
	drained   map[int]time.Time // forwarders that say no to PING, since when the front has known
	unreached map[string]bool   // addresses of clients whose connection reached nobody; bounded by the run
}

// NewFront makes a front of ingresses at addrs.
func NewFront(hist *oracle.History, addrs []string, life func(int) int, seed uint64) *Front {
	return &Front{hist: hist, addrs: addrs, incarnation: life, rng: rand.New(rand.NewPCG(seed, 17)), weights: map[string][]float64{},
		until: map[string]time.Time{}, down: map[int]time.Time{}, notice: map[int]time.Duration{}, unreached: map[string]bool{}, drained: map[int]time.Time{}}
}

// Addr is where clients reach a forwarder.
func (f *Front) Addr(i int) string { return f.addrs[i] }

// Incarnation tells one life of a forwarder's program from another.
func (f *Front) Incarnation(i int) int { return f.incarnation(i) }

// Continuous tells that a forwarder's program is still in the life given, and that the way to it was not cut since then: a
// connection that ended was ended by it.
func (f *Front) Continuous(i, life int, since time.Time) bool {
	return f.incarnation(i) == life && (f.cut == nil || !f.cut(i, since))
}

// Leaves tells that a forwarder was told to end, or to drain, so long ago that the operators' front sends no new connection there.
func (f *Front) Leaves(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leavesLocked(i)
}

func (f *Front) leavesLocked(i int) bool {
	at, drained := f.drained[i]
	return drained && time.Since(at) > leaveAfter || f.leaves != nil && f.leaves(i)
}

// Drained has the front know from now on that a forwarder takes no clients, or that it does again.
func (f *Front) Drained(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.drained, i); on {
		f.drained[i] = time.Now()
	}
}

// Unreached tells whether a client's connection reached nobody.
func (f *Front) Unreached(client string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreached[client]
}

func (f *Front) noteUnreached(client string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreached[client] = true
}

// skew draws weights of which one is far above the others.
func skew(rng *rand.Rand, n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 0.1 + 0.4*rng.Float64()
	}
	w[rng.IntN(n)] = 1 + rng.Float64()
	return w
}

// Pick chooses the ingress for an account's next request.
func (f *Front) Pick(a Account) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.After(f.until[a.Name]) {
		f.weights[a.Name] = skew(f.rng, a.Spread)
		f.until[a.Name] = now.Add(time.Duration((5.7 + 18*f.rng.Float64()) * float64(time.Second)))
	}
	w, sum := f.weights[a.Name], 0.0
	seen := make([]float64, len(w))
	for i := range w {
		if x := a.First + i; !f.seenDown(x, now) {
			seen[i] = w[i]
			sum += w[i]
		}
	}
	if sum == 0 {
		copy(seen, w)
		for _, x := range w {
			sum += x
		}
	}
	x := f.rng.Float64() * sum
	for i, s := range seen {
		if x -= s; x < 0 {
			return a.First + i
		}
	}
	return a.First
}

// seenDown tells that a forwarder has been down for so long that the front has noticed; f.mu is held.
func (f *Front) seenDown(i int, now time.Time) bool {
	if f.leavesLocked(i) {
		return true
	}
	if f.incarnation(i) >= 0 {
		delete(f.down, i)
		return false
	}
	if _, ok := f.down[i]; !ok {
		f.down[i] = now
		f.notice[i] = time.Duration((2.1 + 1.8*f.rng.Float64()) * float64(time.Second))
	}
	return now.Sub(f.down[i]) > f.notice[i]
}

// Shift moves a share of the accounts to others of their ingresses at one stroke.
func (f *Front) Shift(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.weights {
		if f.rng.Float64() < share {
			f.weights[name] = skew(f.rng, len(w))
		}
	}
}
