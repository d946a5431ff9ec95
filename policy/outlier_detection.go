package policy

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
)

// Error scores are, by class, how sure it is from 0 to 1 that a backend does not answer (package outlier).
const (
	unhealthyScore          = 0.3 // from this score on a backend gets attempts only if most are unhealthy
	errorPenalty            = 0.5 // fraction of the doubt left, that an error takes
	brokenConnectionPenalty = 0.1 // the same for a single connection that failed or broke
	unresponsivePenalty     = 1   // the same for an attempt without an answer

	unresponsiveMultiple = 6.0 // mean latencies, after which an attempt without an answer counts
	minUnresponsiveS     = 0.2 // and seconds, at least

	ejectionThreshold    = 2    // connections in a row that failed or broke
	ejectionS            = 0.5  // seconds, for which a backend is ejected then, up to twice as long at random
	rejectionBackoffS    = 0.05 // seconds without attempts after a rejection; doubles each time
	maxRejectionBackoffS = 0.8  // seconds

	relativeLatencyWeight = 0.1 // of a new latency in a backend's relative latency
	minRelativeLatency    = 0.3
	maxRelativeLatency    = 4
	timeoutWeight         = 0.15 // of a timeout in a backend's relative latency, and in the adaptive limit
	minSampleWeight       = 0.02 // of a new latency in a class's mean latency, once many are known
)

// recordSuccess records an OK answer.
func (g *Gateway) recordSuccess(req *request, backend *backendState, latencyS float64) {
	class := req.class
	relativeLatency := min(latencyS/class.meanLatency, maxRelativeLatency)
	backend.RecordSuccess(class.index, g.now)
	backend.connectFailures, backend.rejections = 0, 0
	g.completedWork.Add(g.now, class.meanLatency, demandTauS)
	g.shedder.ObserveServed(g.now, req.Units)
	class.addSample(latencyS)
	change := relativeLatencyWeight * (relativeLatency - backend.relativeLatency)
	backend.relativeLatency = max(backend.relativeLatency+change, minRelativeLatency)
}

// addSample adds a latency to the class's mean and mean deviation.
func (c *classState) addSample(latencyS float64) {
	c.samples++
	weight := max(minSampleWeight, 1/float64(c.samples+1))
	c.meanDeviation += (math.Abs(latencyS-c.meanLatency) - c.meanDeviation) * weight
	c.meanLatency += (latencyS - c.meanLatency) * weight
}

// recordFailure raises a backend's error score for a class, or with nil for every class, by a fraction of the
// doubt left.
func (g *Gateway) recordFailure(backend *backendState, class *classState, penalty float64) {
	for _, known := range g.classList {
		if class == nil || known.index == class.index {
			score := backend.RecordFailure(known.index, penalty, g.now)
			g.gossip.Add(peerprotocol.GossipEntry{BackendHash: backend.ShortHash, ClassTag: known.tag,
				Value: score, At: g.now})
		}
	}
}

// recordBrokenConnection counts a connection that failed or broke, and ejects the backend for a while from
// the second in a row on.
func (g *Gateway) recordBrokenConnection(backend *backendState) {
	backend.connectFailures++
	if backend.connectFailures < ejectionThreshold {
		g.recordFailure(backend, nil, brokenConnectionPenalty)
		return
	}
	g.recordFailure(backend, nil, errorPenalty)
	backend.ejectedUntil = g.now + ejectionS*(1+g.rng.Float64())
}

// recordRejection gives a backend that rejected an attempt a pause, the longer the more often it did so.
func (g *Gateway) recordRejection(backend *backendState) {
	backend.rejections++
	pauseS := min(rejectionBackoffS*math.Exp2(float64(backend.rejections-1)), maxRejectionBackoffS)
	backend.ejectedUntil = max(backend.ejectedUntil, g.now+pauseS)
}

// detectUnresponsive counts attempts that a backend leaves without an answer, while it answers none of the
// class that were sent later. Time in which this process stood still doesn't count.
func (g *Gateway) detectUnresponsive(req *request) {
	if req.streaming {
		return
	}
	afterS := max(unresponsiveMultiple*req.class.meanLatency, minUnresponsiveS)
	for i := range req.attempts {
		attempt := &req.attempts[i]
		if attempt.phase == attemptDone || attempt.unresponsive ||
			g.now-max(attempt.sentAt, g.resumedAt) <= afterS ||
			attempt.backend.LastSuccessAt(req.class.index) >= attempt.sentAt {
			continue
		}
		attempt.unresponsive = true
		g.recordFailure(attempt.backend, req.class, unresponsivePenalty)
	}
}
