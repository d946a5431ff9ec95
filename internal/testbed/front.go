package testbed

import (
	"math/rand/v2"
	"sync"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// Front distributes the accounts' requests over ingresses as the operators' front does: unevenly, with a busiest ingress
// that changes over time, and with a delay of some seconds until it stops sending to an ingress that is down.
type Front struct {
	hist        *oracle.History
	addrs       []string
	incarnation func(f int) int  // of a forwarder's program; changes with each start, below 0 while it is down
	leaves      func(f int) bool // whether a forwarder was asked to terminate longer than leaveAfter ago; nil: never

	mu             sync.Mutex
	rng            *rand.Rand
	weights        map[string][]float64  // weight of each ingress of the account, by account
	weightsUntil   map[string]time.Time  // when an account's weights are drawn again
	downSince      map[int]time.Time     // when Pick first found a forwarder down
	detectionDelay map[int]time.Duration // by forwarder: from downSince until the front notices
	drainedSince   map[int]time.Time     // forwarders that refuse PING: when the front noticed
	unreached      map[string]bool       // client addresses of connections that no ingress accepted; grows until the end of the run
}

// NewFront returns a front of the ingresses at addrs. incarnation returns the incarnation of an ingress's program.
func NewFront(hist *oracle.History, addrs []string, incarnation func(int) int, seed uint64) *Front {
	return &Front{hist: hist, addrs: addrs, incarnation: incarnation, rng: rand.New(rand.NewPCG(seed, 17)), weights: map[string][]float64{},
		weightsUntil: map[string]time.Time{}, downSince: map[int]time.Time{}, detectionDelay: map[int]time.Duration{}, unreached: map[string]bool{}, drainedSince: map[int]time.Time{}}
}

// Addr returns the address at which clients connect to forwarder i.
func (f *Front) Addr(i int) string { return f.addrs[i] }

// Incarnation identifies one run of a forwarder's program; it is below 0 while the program is down.
func (f *Front) Incarnation(i int) int { return f.incarnation(i) }

// IsLeaving reports whether a forwarder was asked to terminate or drain longer than leaveAfter ago. The front opens no new connections
// to it.
func (f *Front) IsLeaving(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeavingLocked(i)
}

// isLeavingLocked is IsLeaving for callers that hold f.mu.
func (f *Front) isLeavingLocked(i int) bool {
	at, drained := f.drainedSince[i]
	return drained && time.Since(at) > leaveAfter || f.leaves != nil && f.leaves(i)
}

// SetDrained tells the front whether a forwarder is drained. A drained forwarder gets no new connections after leaveAfter.
func (f *Front) SetDrained(i int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delete(f.drainedSince, i); on {
		f.drainedSince[i] = time.Now()
	}
}

// Unreached reports whether no ingress accepted the connection from a client's address.
func (f *Front) Unreached(client string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreached[client]
}

// noteUnreached records that no ingress accepted the connection from a client's address.
func (f *Front) noteUnreached(client string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreached[client] = true
}

// skewedWeights draws n weights, one of which is far above the others.
func skewedWeights(rng *rand.Rand, n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 0.1 + 0.4*rng.Float64()
	}
	w[rng.IntN(n)] = 1 + rng.Float64()
	return w
}

// Pick returns the ingress for an account's next request. If all its ingresses are known to be down, Pick chooses among all of
// them.
func (f *Front) Pick(a Account) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.After(f.weightsUntil[a.Name]) {
		f.weights[a.Name] = skewedWeights(f.rng, a.Spread)
		f.weightsUntil[a.Name] = now.Add(time.Duration((5.7 + 18*f.rng.Float64()) * float64(time.Second)))
	}
	w, sum := f.weights[a.Name], 0.0
	usable := make([]float64, len(w))
	for i := range w {
		if x := a.First + i; !f.detectedDown(x, now) {
			usable[i] = w[i]
			sum += w[i]
		}
	}
	if sum == 0 {
		copy(usable, w)
		for _, x := range w {
			sum += x
		}
	}
	x := f.rng.Float64() * sum
	for i, s := range usable {
		if x -= s; x < 0 {
			return a.First + i
		}
	}
	return a.First
}

// detectedDown reports whether the front sends nothing to a forwarder: it is leaving, or it has been down for longer than the
// front needs to notice, which is 2.1 to 3.9 s. The caller holds f.mu.
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

// Shift draws new weights for a fraction of the accounts at once, so that their traffic moves to other ingresses.
func (f *Front) Shift(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.weights {
		if f.rng.Float64() < share {
			f.weights[name] = skewedWeights(f.rng, len(w))
		}
	}
}
