package policy

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
)

// An error score is the likelihood, from 0 to 1, that a backend leaves requests of a class unanswered
// (package outlier). A penalty is the fraction of the distance to 1 by which a failure raises the score.
const (
	unhealthyScore          = 0.3 // score from which a backend gets attempts only if most are unhealthy
	errorPenalty            = 0.5 // penalty of a timeout and of repeated broken connections, lowest of an error
	brokenConnectionPenalty = 0.1 // penalty of a single connection that failed or broke
	unresponsivePenalty     = 1   // penalty of an attempt without an answer

	unresponsiveMultiple = 6.0 // age, in mean latencies, above which an attempt without an answer counts
	minUnresponsiveS     = 0.2 // seconds, lower bound of that age

	ejectionThreshold    = 2    // connections in a row that failed or broke, at which a backend is ejected
	ejectionS            = 0.5  // seconds of ejection; a random part, up to as long again, is added
	rejectionBackoffS    = 0.05 // seconds without attempts after a rejection; doubles with each further one
	maxRejectionBackoffS = 0.8  // seconds, upper bound of that backoff

	relativeLatencyWeight = 0.1 // weight of a new latency in a backend's relative latency
	minRelativeLatency    = 0.3
	maxRelativeLatency    = 4
	timeoutWeight         = 0.15 // weight of a timeout in a backend's relative latency and in the adaptive limit
	minSampleWeight       = 0.02 // lower bound of the weight of a new latency in a class's mean latency
)

// recordSuccess updates the statistics of the backend, the class and this gateway with an OK answer.
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

// addSample adds a latency, in seconds, to the class's mean and mean deviation.
func (c *classState) addSample(latencyS float64) {
	c.samples++
	weight := max(minSampleWeight, 1/float64(c.samples+1))
	c.meanDeviation += (math.Abs(latencyS-c.meanLatency) - c.meanDeviation) * weight
	c.meanLatency += (latencyS - c.meanLatency) * weight
}

// recordFailure raises a backend's error score for a class, or for every class if class is nil, and adds the
// new score to the gossip. penalty is the fraction, 0 to 1, of the distance to 1.
func (g *Gateway) recordFailure(backend *backendState, class *classState, penalty float64) {
	for _, known := range g.classList {
		if class == nil || known.index == class.index {
			score := backend.RecordFailure(known.index, penalty, g.now)
			g.gossip.Add(peerprotocol.GossipEntry{BackendHash: backend.ShortHash, ClassTag: known.tag,
				Value: score, At: g.now})
		}
	}
}

// recordBrokenConnection counts a connection that failed or broke. From the second in a row on it ejects the
// backend for ejectionS to twice that time.
func (g *Gateway) recordBrokenConnection(backend *backendState) {
	backend.connectFailures++
	if backend.connectFailures < ejectionThreshold {
		g.recordFailure(backend, nil, brokenConnectionPenalty)
		return
	}
	g.recordFailure(backend, nil, errorPenalty)
	backend.ejectedUntil = g.now + ejectionS*(1+g.rng.Float64())
}

// recordRejection ejects a backend that rejected an attempt, for a time that doubles with each rejection
// since the last OK answer.
func (g *Gateway) recordRejection(backend *backendState) {
	backend.rejections++
	pauseS := min(rejectionBackoffS*math.Exp2(float64(backend.rejections-1)), maxRejectionBackoffS)
	backend.ejectedUntil = max(backend.ejectedUntil, g.now+pauseS)
}

// detectUnresponsive records a failure for each attempt that has had no answer for too long, if its backend
// has answered no attempt of the class since that attempt was sent. The time until the end of this process's
// last stall does not count.
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
