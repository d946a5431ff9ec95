package policy

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/endpoints"
	"eiderspread/internal/decision/outlier"
)

const (
	utilizationTTLS = 3.0 // seconds for which a load report is valid

	probeIntervalS   = 1.0  // seconds between load reports of a backend, if it reports its load in probes only
	probesPerRequest = 0.25 // probe tokens that each request adds
	maxProbeTokens   = 2    // upper bound of the probe tokens
)

// backendState is the state of one backend at this gateway. Times are in Unix seconds.
type backendState struct {
	endpoints.Endpoint
	outlier.Scores // by class

	inFlight        int     // attempts in flight from here
	relativeLatency float64 // mean of latency divided by the class's mean latency
	meanInFlight    float64 // estimated mean of inFlight (meanInFlightTauS), as of lastSentAt
	lastSentAt      float64
	lastProbeAt     float64
	utilization     float64 // of its cores, 0 to 1, from the last load report
	utilizationAt   float64
	connectFailures int // connections that failed or broke since the last OK answer
	rejections      int // attempts that the backend rejected since the last OK answer
	ejectedUntil    float64
	slowStartLog    decay.Window // seconds of work sent during slow start
}

func (b *backendState) endpoint() *endpoints.Endpoint { return &b.Endpoint }

// newBackend returns the state of a backend that is listed for the first time.
func (g *Gateway) newBackend() *backendState {
	backend := &backendState{relativeLatency: 1, utilizationAt: math.Inf(-1)}
	backend.Grow(len(g.classList))
	return backend
}

// resetBackend clears the statistics of a backend whose process has restarted.
func resetBackend(backend *backendState) {
	backend.relativeLatency, backend.ejectedUntil, backend.connectFailures, backend.rejections = 1, 0, 0, 0
	backend.Reset()
}

// UpdateBackends applies an endpoint list. With complete the list has all backends, else only those that
// changed. The adaptive limit is scaled with the number of listed backends.
func (g *Gateway) UpdateBackends(now float64, list []Backend, complete bool) {
	g.advanceClock(now)
	before := float64(max(1, len(g.backends.Listed)))
	g.backends.Update(list, complete, g.newBackend, resetBackend)
	g.backendsPerGateway = float64(len(g.backends.Listed)) / float64(g.settings.Gateways)
	g.updateWarmCapacity()
	g.adaptiveLimit *= float64(max(1, len(g.backends.Listed))) / before
	g.drainQueue()
}

// applyLoadReport applies a backend's load report and adds it to the gossip. A nil report or one without a
// utilization is ignored.
func (g *Gateway) applyLoadReport(backend *backendState, load *Load) {
	if load == nil || load.Utilization < 0 {
		return
	}
	backend.utilization, backend.utilizationAt = load.Utilization, g.now
	g.gossip.Add(peerprotocol.GossipEntry{BackendHash: backend.ShortHash, ClassTag: peerprotocol.UtilizationTag,
		Value: load.Utilization, At: g.now})
}

// meanUtilization returns the mean utilization of the listed backends that have a valid load report; known is
// false if there is none.
func (g *Gateway) meanUtilization() (mean float64, known bool) {
	n := 0.0
	for _, backend := range g.backends.Listed {
		if g.now-backend.utilizationAt < utilizationTTLS {
			n++
			mean += backend.utilization
		}
	}
	return mean / max(n, 1), n > 0
}

// probeForLoad probes the backend that was probed or reported its load least recently, if that is at least
// probeIntervalS ago. It does nothing without a probe token, or unless backends report their load in probes.
func (g *Gateway) probeForLoad() {
	if !g.settings.ProbesAllowed || !g.settings.LoadReportInProbe || g.probeTokens < 1 {
		return
	}
	var next *backendState
	oldest := g.now - probeIntervalS
	for _, backend := range g.backends.Listed {
		if at := max(backend.lastProbeAt, backend.utilizationAt); backend.State == Up && at <= oldest {
			next, oldest = backend, at
		}
	}
	if next != nil {
		next.lastProbeAt = g.now
		g.probeTokens--
		g.actions.Probe(next.ID)
	}
}

// HandleProbeResult handles the result of a probe. A result of an unknown backend is ignored.
func (g *Gateway) HandleProbeResult(now float64, result ProbeResult) {
	g.advanceClock(now)
	backend := g.backends.ByID[result.Backend]
	if backend == nil {
		return
	}
	g.applyLoadReport(backend, result.Load)
	if result.Status == Timeout || result.Status == ConnectFailed {
		g.recordFailure(backend, nil, errorPenalty)
	}
	g.drainQueue()
}
