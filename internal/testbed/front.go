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
	weightsUntil     map[string]time.Time // when they change
	downSince      map[int]time.Time    // since when a forwarder is down
	detectionDelay    map[int]time.Duration
	drainedSince   map[int]time.Time // forwarders that say no to PING, since when the front has known
	unreached map[string]bool   // addresses of clients whose connection reached nobody; bounded by the run
}

// NewFront makes a front of ingresses at addrs.
func NewFront(hist *oracle.History, addrs []string, life func(int) int, seed uint64) *Front {
	return &Front{hist: hist, addrs: addrs, incarnation: life, rng: rand.New(rand.NewPCG(seed, 17)), weights: map[string][]float64{},
		weightsUntil: map[string]time.Time{}, downSince: map[int]time.Time{}, detectionDelay: map[int]time.Duration{}, unreached: map[string]bool{}, drainedSince: map[int]time.Time{}}
}

// Addr is where clients reach a forwarder.
func (f *Front) Addr(i int) string { return f.addrs[i] }

// Incarnation tells one life of a forwarder's program from another.
func (f *Front) Incarnation(i int) int { return f.incarnation(i) }

// SameIncarnation tells that a forwarder's program is still in the life given, and that the way to it was not cut since then: a
// connection that ended was ended by it.
func (f *Front) SameIncarnation(i, life int, since time.Time) bool {
	return f.incarnation(i) == life && (f.cut == nil || !f.cut(i, since))
}

// IsLeaving tells that a forwarder was told to end, or to drain, so long ago that the operators' front sends no new connection there.
func (f *Front) IsLeaving(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeavingLocked(i)
}

func (f *Front) isLeavingLocked(i int) bool {
	at, drained := f.drainedSince[i]
	return drained && time.Since(at) > leaveAfter || f.leaves != nil && f.leaves(i)
}

// SetDrained has the front know from now on that a forwarder takes no clients, or that it does again.
func (f *Front) SetDrained(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.drainedSince, i); on {
		f.drainedSince[i] = time.Now()
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

// skewedWeights draws weights of which one is far above the others.
func skewedWeights(rng *rand.Rand, n int) []float64 {
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
	if now.After(f.weightsUntil[a.Name]) {
		f.weights[a.Name] = skewedWeights(f.rng, a.Spread)
		f.weightsUntil[a.Name] = now.Add(time.Duration((5.7 + 18*f.rng.Float64()) * float64(time.Second)))
	}
	w, sum := f.weights[a.Name], 0.0
	seen := make([]float64, len(w))
	for i := range w {
		if x := a.First + i; !f.detectedDown(x, now) {
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

// detectedDown tells that a forwarder has been down for so long that the front has noticed; f.mu is held.
func (f *Front) detectedDown(i int, now time.Time) bool {
	if f.isLeavingLocked(i) {
		return true
	}
	if f.incarnation(i) >= 0 {
		delete(f.downSince, i)
		return false
	}
	if _, ok := f.downSince[i]; !ok {
		f.downSince[i] = now
		f.detectionDelay[i] = time.Duration((2.1 + 1.8*f.rng.Float64()) * float64(time.Second))
	}
	return now.Sub(f.downSince[i]) > f.detectionDelay[i]
}

// Shift moves a share of the accounts to others of their ingresses at one stroke.
func (f *Front) Shift(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.weights {
		if f.rng.Float64() < share {
			f.weights[name] = skewedWeights(f.rng, len(w))
		}
	}
}
