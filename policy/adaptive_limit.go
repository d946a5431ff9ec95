package policy

// The limit on attempts in flight from this gateway at all backends grows additively while answers are fast
// and shrinks multiplicatively while they are slow. Its bounds are for one backend, over all gateways.
const (
	initialLimit           = 3.0  // attempts
	minLimit               = 3.0  // attempts, lower bound
	maxLimit               = 64.0 // attempts, upper bound
	additiveIncrease       = 0.1  // attempts that a fast answer adds
	multiplicativeDecrease = 0.03 // fraction of one backend's limit that a slow answer takes off
	latencyRatioHigh       = 0.22 // of latency over latency objective, above which answers are slow
	latencyRatioLow        = 0.15 // and below which they are fast
	lowUtilization         = 0.8  // mean utilization of backends, below which latency doesn't shrink the limit
	limitHeadroom          = 1.5  // attempts below the limit, within which it is used and may grow
	meanLatencyWeight      = 0.1  // of a new answer in the gateway's mean latency and latency ratio
)

// atAdaptiveLimit reports whether no attempt may start now: at the adaptive limit, or before a first attempt
// at the account's concurrency limit. Where less than one attempt is left, one may start all the same while
// answers are fast; while they are slow the gateway pauses in proportion first, as many gateways round up.
func (g *Gateway) atAdaptiveLimit(req *request) bool {
	left := g.adaptiveLimit - float64(g.inFlight)
	pausing := left < 1 && g.latencyRatio >= latencyRatioHigh &&
		g.now-g.lastSentAt < max(req.class.meanLatency, g.meanLatency)/left
	return left <= 0 || pausing || req.account != nil && req.attempts == nil && g.atConcurrencyLimit(req.account)
}

// updateAdaptiveLimit adjusts the limit after an answer or a timeout.
func (g *Gateway) updateAdaptiveLimit(class *classState, latencyS float64, timedOut bool) {
	g.meanLatency += meanLatencyWeight * (latencyS - g.meanLatency)
	g.latencyRatio += meanLatencyWeight * (latencyS/class.LatencyObjectiveS - g.latencyRatio)
	utilization, known := g.meanUtilization()
	underused := known && utilization < lowUtilization
	step := min(1, initialLimit/g.adaptiveLimit) // an answer comes from one of the backends in use
	if timedOut && !underused {
		g.adaptiveLimit *= 1 - timeoutWeight*step
	}
	used := float64(g.inFlight)+limitHeadroom >= g.adaptiveLimit
	switch {
	case g.latencyRatio > latencyRatioHigh && !underused:
		g.adaptiveLimit *= 1 - multiplicativeDecrease*step
	case (underused || g.latencyRatio < latencyRatioLow) && used:
		g.adaptiveLimit += additiveIncrease * min(1, g.adaptiveLimit)
	}
	g.adaptiveLimit = min(max(g.adaptiveLimit, minLimit*g.backendsPerGateway), maxLimit*g.backendsPerGateway)
}
