package policy

import (
	"math"

	"eiderspread/internal/decision/subset"
)

// The choice of a backend. Costs count attempts in flight: what speaks against a backend is worth so many of
// them.
const (
	minCandidates      = 2    // healthy backends looked at for a request, at least
	fullScanGateways   = 12   // gateways, up to which each looks at all backends
	gatewaysPerBackend = 24   // gateways that prefer the same backend
	minSubsetSize      = 8    // backends that a gateway prefers, at least
	meanInFlightTauS   = 1.0  // seconds, time constant of a backend's mean attempts from here
	backendLimitWeight = 1.0  // of its share of the adaptive limit by its latency, that a backend may hold
	crossZoneWeight    = 25.0 // attempts for another zone, a unit of its cost
	utilizationWeight  = 2.0  // attempts for a utilization of 1
	sameBackendWeight  = 4.0  // attempts for each one of the request that the backend had already
	errorScoreWeight   = 30.0 // factor on the cost, less 1, for an error score of 1
	costJitter         = 0.02 // highest random fraction on the cost, to break ties
)

// pickBackend picks a backend for the request's next attempt; nil if none can take it, or if no bucket pays
// for it yet.
func (g *Gateway) pickBackend(req *request) *backendState {
	if req.hardLimitUnpaid && !g.hardLimitPays(req) {
		return nil
	}
	return g.selectBackend(req)
}

// selectBackend picks the backend of the lowest cost among those that can take the request's next attempt;
// nil if there is none.
//
// With many gateways each looks at few backends: all of them would pick the same one by the same gossip. It
// goes on looking, in the order of newBackendScan, while those that it looked at can't take more.
func (g *Gateway) selectBackend(req *request) *backendState {
	if g.atAdaptiveLimit(req) {
		return nil
	}
	n := len(g.backends.Listed)
	scan := g.newBackendScan()
	remaining := max(minCandidates, n*fullScanGateways/g.settings.Gateways)
	limit := backendLimitWeight * g.adaptiveLimit / float64(n)
	sharing := float64(g.settings.Gateways*len(scan.preferred))/float64(max(1, n)) - 1

	var best, bestUnhealthy *backendState
	lowest, lowestUnhealthy := math.Inf(1), math.Inf(1)
	usable, healthy := 0, 0
	for i := 0; i < scan.len() && remaining > 0; i++ {
		backend := scan.at(i)
		if backend.State != Up || g.now < backend.ejectedUntil {
			continue
		}
		usable++
		errorScore := backend.ErrorScore(req.class.index, g.now)
		if req.class.Idempotency == NonIdempotent {
			errorScore = g.worstErrorScore(backend, errorScore)
		}
		if errorScore < unhealthyScore {
			healthy++
		}
		if !g.canTake(req, backend, limit) {
			continue
		}
		cost := g.attemptCost(req, backend, errorScore, sharing)
		if errorScore < unhealthyScore {
			if remaining--; cost < lowest {
				best, lowest = backend, cost
			}
		} else if cost < lowestUnhealthy {
			bestUnhealthy, lowestUnhealthy = backend, cost
		}
	}
	// While most are healthy the request waits for one of them: what fails fast always has capacity.
	if best == nil && 2*healthy < usable {
		return bestUnhealthy
	}
	return best
}

// backendScan is the order in which selectBackend looks at backends: first the preferred ones, from a random
// one on, then all listed ones, from the same index on. The preferred ones are listed too, and come twice.
type backendScan struct {
	preferred, listed []*backendState
	start             int
}

// newBackendScan draws a scan order. The preferred backends come first so that connections are used again.
func (g *Gateway) newBackendScan() backendScan {
	listed := g.backends.Listed
	size := subset.Size(g.settings.Gateways, len(listed), gatewaysPerBackend, minSubsetSize)
	return backendScan{
		preferred: g.backends.Preferred(g.settings.Self, size, g.settings.Zone, g.settings.CrossZoneCost > 0),
		listed:    listed,
		start:     g.rng.IntN(max(1, len(listed))),
	}
}

// len is how many backends the scan has; where all are preferred, each comes once.
func (s *backendScan) len() int {
	if len(s.preferred) >= len(s.listed) {
		return len(s.preferred)
	}
	return len(s.preferred) + len(s.listed)
}

// at is the backend at a position below len.
func (s *backendScan) at(i int) *backendState {
	if i < len(s.preferred) {
		return s.preferred[(s.start+i)%len(s.preferred)]
	}
	return s.listed[(s.start+i)%len(s.listed)]
}

// canTake reports whether a backend can take the request's next attempt: within its slow-start budget, within
// limit attempts from here if its latency is the mean, and inside the scope of the key if an attempt may have
// run.
func (g *Gateway) canTake(req *request, backend *backendState, limit float64) bool {
	if !g.slowStartAllows(backend, req.class.meanLatency) {
		return false
	}
	if float64(backend.inFlight) >= math.Ceil(limit/backend.relativeLatency) {
		return false
	}
	return req.firstRan == nil || req.class.Idempotency != KeyedIdempotent ||
		req.class.KeyScope.Same(req.firstRan.Backend, backend.Backend)
}

// worstErrorScore is the error score for a request that isn't idempotent. It keeps off backends that fail any
// class: an error there costs others an attempt, and it everything.
func (g *Gateway) worstErrorScore(backend *backendState, score float64) float64 {
	for _, class := range g.classList {
		score = max(score, min(backend.ErrorScore(class.index, g.now), backend.ErrorRate(class.index)))
	}
	return score
}

// attemptCost is what an attempt at a backend costs, in attempts in flight there. sharing is how many other
// gateways prefer the same backend: what they have there is unknown, and taken to be what this one has.
func (g *Gateway) attemptCost(req *request, backend *backendState, errorScore, sharing float64) float64 {
	fading := math.Exp((backend.lastSentAt - g.now) / meanInFlightTauS)
	load := float64(backend.inFlight) + 1 + sharing*backend.meanInFlight*fading
	if backend.Zone != g.settings.Zone {
		load += crossZoneWeight * g.settings.CrossZoneCost
	}
	if g.now-backend.utilizationAt < utilizationTTLS {
		load += utilizationWeight * backend.utilization
	}
	for i := range req.attempts {
		if req.attempts[i].backend == backend {
			load += sameBackendWeight
		}
	}
	return load * backend.relativeLatency * (1 + errorScoreWeight*errorScore) * (1 + costJitter*g.rng.Float64())
}
