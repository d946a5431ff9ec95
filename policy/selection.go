package policy

import (
	"math"

	"eiderspread/internal/decision/subset"
)

// Selection of a backend by cost. The unit of cost is one attempt in flight; every other disadvantage of a
// backend is converted to that unit.
const (
	minCandidates      = 2    // lowest number of healthy backends that are compared for a request
	fullScanGateways   = 12   // highest number of gateways at which each compares all backends
	gatewaysPerBackend = 24   // number of gateways that prefer the same backend
	minSubsetSize      = 8    // lowest number of backends that a gateway prefers
	meanInFlightTauS   = 1.0  // seconds, time constant of backendState.meanInFlight
	backendLimitWeight = 1.0  // fraction of its latency-adjusted share of the adaptive limit for a backend
	crossZoneWeight    = 25.0 // added cost, in attempts in flight, of another zone, per unit of CrossZoneCost
	utilizationWeight  = 2.0  // added cost, in attempts in flight, of a utilization of 1
	sameBackendWeight  = 4.0  // added cost, in attempts in flight, of each earlier attempt of the request there
	errorScoreWeight   = 30.0 // an error score of 1 multiplies the cost by 1 plus this
	costJitter         = 0.02 // upper bound of the random fraction that is added to the cost to break ties
)

// pickBackend returns the backend for the request's next attempt; nil if no backend can take the attempt, or
// if the request still waits for a bucket of the hard limit.
func (g *Gateway) pickBackend(req *request) *backendState {
	if req.hardLimitUnpaid && !g.hardLimitCovers(req) {
		return nil
	}
	return g.selectBackend(req)
}

// selectBackend returns the backend of the lowest cost among those that can take the request's next attempt;
// nil if there is none.
//
// Above fullScanGateways gateways, each compares only a part of the backends, because all of them would pick
// the same backend by the same gossip. Only healthy backends that can take the attempt count for that part:
// the scan, in the order of newBackendScan, goes on until it has found enough of them.
func (g *Gateway) selectBackend(req *request) *backendState {
	if g.atAdaptiveLimit(req) {
		return nil
	}
	n := len(g.backends.Listed)
	scan := g.newBackendScan()
	remaining := max(minCandidates, n*fullScanGateways/g.settings.Gateways)
	limit := backendLimitWeight * g.adaptiveLimit / float64(n)
	sharers := float64(g.settings.Gateways*len(scan.preferred))/float64(max(1, n)) - 1

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
		cost := g.attemptCost(req, backend, errorScore, sharers)
		if errorScore < unhealthyScore {
			if remaining--; cost < lowest {
				best, lowest = backend, cost
			}
		} else if cost < lowestUnhealthy {
			bestUnhealthy, lowestUnhealthy = backend, cost
		}
	}
	// A backend that fails fast always has capacity. Unless most of the usable backends are unhealthy, the
	// request therefore waits for a healthy one.
	if best == nil && 2*healthy < usable {
		return bestUnhealthy
	}
	return best
}

// backendScan is the order in which selectBackend scans backends: the preferred ones first, then all listed
// ones. Both lists are rotated by the same random start index. Preferred backends are listed too, and occur
// twice in a scan.
type backendScan struct {
	preferred, listed []*backendState
	start             int
}

// newBackendScan returns a scan with a random start. Preferred backends come first so that their connections
// are reused.
func (g *Gateway) newBackendScan() backendScan {
	listed := g.backends.Listed
	size := subset.Size(g.settings.Gateways, len(listed), gatewaysPerBackend, minSubsetSize)
	return backendScan{
		preferred: g.backends.Preferred(g.settings.Self, size, g.settings.Zone, g.settings.CrossZoneCost > 0),
		listed:    listed,
		start:     g.rng.IntN(max(1, len(listed))),
	}
}

// len returns the number of positions in the scan. If all backends are preferred, each occurs only once.
func (s *backendScan) len() int {
	if len(s.preferred) >= len(s.listed) {
		return len(s.preferred)
	}
	return len(s.preferred) + len(s.listed)
}

// at returns the backend at a position from 0 to len-1.
func (s *backendScan) at(i int) *backendState {
	if i < len(s.preferred) {
		return s.preferred[(s.start+i)%len(s.preferred)]
	}
	return s.listed[(s.start+i)%len(s.listed)]
}

// canTake reports whether a backend can take the request's next attempt. The attempt must fit the backend's
// slow-start budget. The attempts in flight there from here must be fewer than limit divided by the backend's
// relative latency, rounded up. If an earlier attempt of a keyed request may have run, the backend must be in
// the key scope of that attempt's backend.
func (g *Gateway) canTake(req *request, backend *backendState, limit float64) bool {
	if !g.slowStartAllows(backend, req.class.meanLatency) {
		return false
	}
	if float64(backend.inFlight) >= math.Ceil(limit/backend.relativeLatency) {
		return false
	}
	return req.firstRunBackend == nil || req.class.Idempotency != KeyedIdempotent ||
		req.class.KeyScope.Same(req.firstRunBackend.Backend, backend.Backend)
}

// worstErrorScore returns a backend's error score for a request that isn't idempotent: the highest over all
// classes, with other classes bounded by their error rate. An error costs other requests one attempt, but a
// request that isn't idempotent fails.
func (g *Gateway) worstErrorScore(backend *backendState, score float64) float64 {
	for _, class := range g.classList {
		score = max(score, min(backend.ErrorScore(class.index, g.now), backend.ErrorRate(class.index)))
	}
	return score
}

// attemptCost returns the cost of an attempt at a backend; the unit is one attempt in flight there. sharers
// is the number of other gateways that prefer the same backend. It is not known how many attempts these
// have in flight at the backend; for each, this gateway's own recent mean number there is assumed.
func (g *Gateway) attemptCost(req *request, backend *backendState, errorScore, sharers float64) float64 {
	decayFactor := math.Exp((backend.lastSentAt - g.now) / meanInFlightTauS)
	load := float64(backend.inFlight) + 1 + sharers*backend.meanInFlight*decayFactor
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
