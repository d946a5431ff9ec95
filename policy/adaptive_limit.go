package policy

// The adaptive limit bounds the attempts in flight from this gateway at all backends. It increases additively
// while answers are fast and decreases multiplicatively while they are slow. The bounds below are for one
// backend, over all gateways.
const (
	initialLimit           = 3.0  // attempts, at the start
	minLimit               = 3.0  // attempts, lower bound
	maxLimit               = 64.0 // attempts, upper bound
	additiveIncrease       = 0.1  // attempts that a fast answer adds
	multiplicativeDecrease = 0.03 // fraction of one backend's limit by which a slow answer reduces it
	latencyRatioHigh       = 0.22 // ratio of latency to latency objective above which answers are slow
	latencyRatioLow        = 0.15 // ratio below which answers are fast
	lowUtilization         = 0.8  // mean utilization of backends below which latency does not reduce the limit
	limitHeadroom          = 1.5  // attempts; the limit grows only if at most this much of it is unused
	meanLatencyWeight      = 0.1  // weight of a new answer in the gateway's mean latency and latency ratio
)

// atAdaptiveLimit reports whether no attempt of the request may start now, because of the adaptive limit or,
// before the first attempt, of the account's concurrency limit. If less than one attempt is left, one may
// still start while answers are fast. While answers are slow, the gateway first pauses for a mean latency
// divided by what is left, because many gateways that round up would exceed the limit together.
func (g *Gateway) atAdaptiveLimit(req *request) bool {
	left := g.adaptiveLimit - float64(g.inFlight)
	pausing := left < 1 && g.latencyRatio >= latencyRatioHigh &&
		g.now-g.lastSentAt < max(req.class.meanLatency, g.meanLatency)/left
	return left <= 0 || pausing || req.account != nil && req.attempts == nil && g.atConcurrencyLimit(req.account)
}

// updateAdaptiveLimit adjusts the adaptive limit after an answer or a timeout.
func (g *Gateway) updateAdaptiveLimit(class *classState, latencyS float64, timedOut bool) {
	g.meanLatency += meanLatencyWeight * (latencyS - g.meanLatency)
	g.latencyRatio += meanLatencyWeight * (latencyS/class.LatencyObjectiveS - g.latencyRatio)
	utilization, known := g.meanUtilization()
	underused := known && utilization < lowUtilization
	step := min(1, initialLimit/g.adaptiveLimit) // an answer comes from one backend, the limit is for all in use
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
