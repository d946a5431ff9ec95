package policy

import (
	"math"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/decay"
	"eiderspread/internal/decision/endpoints"
	"eiderspread/internal/decision/outlier"
)

const (
	utilizationTTLS = 3.0 // seconds for which a load report counts

	probeIntervalS   = 1.0  // seconds between load reports of a backend, where they come with probes alone
	probesPerRequest = 0.25 // probes that each request allows
	maxProbeTokens   = 2    // probes that may be saved up
)

// backendState is what a gateway knows of one backend. Times are in Unix seconds.
type backendState struct {
	endpoints.Endpoint
	outlier.Scores // by class

	inFlight        int     // attempts from here
	relativeLatency float64 // mean of latency over the class's mean latency
	meanInFlight    float64 // attempts from here, mean with time constant meanInFlightTauS, as of lastSentAt
	lastSentAt      float64
	lastProbeAt     float64
	utilization     float64 // of its cores, 0 to 1, as last reported
	utilizationAt   float64
	connectFailures int // connections that failed or broke since its last OK answer
	rejections      int // attempts that it rejected since its last OK answer
	ejectedUntil    float64
	slowStartLog    decay.Window // seconds of work sent during slow start
}

func (b *backendState) endpoint() *endpoints.Endpoint { return &b.Endpoint }

// newBackend is a backend when it is first listed.
func (g *Gateway) newBackend() *backendState {
	backend := &backendState{relativeLatency: 1, utilizationAt: math.Inf(-1)}
	backend.Grow(len(g.classList))
	return backend
}

// resetBackend forgets what held for a backend's former process.
func resetBackend(backend *backendState) {
	backend.relativeLatency, backend.ejectedUntil, backend.connectFailures, backend.rejections = 1, 0, 0, 0
	backend.Reset()
}

// UpdateBackends applies the list of backends: with complete all of them, else those that changed.
func (g *Gateway) UpdateBackends(now float64, list []Backend, complete bool) {
	g.advanceClock(now)
	before := float64(max(1, len(g.backends.Listed)))
	g.backends.Update(list, complete, g.newBackend, resetBackend)
	g.backendsPerGateway = float64(len(g.backends.Listed)) / float64(g.settings.Gateways)
	g.updateWarmCapacity()
	g.adaptiveLimit *= float64(max(1, len(g.backends.Listed))) / before
	g.drainQueue()
}

// applyLoadReport applies a backend's load report; nil is none.
func (g *Gateway) applyLoadReport(backend *backendState, load *Load) {
	if load == nil || load.Utilization < 0 {
		return
	}
	backend.utilization, backend.utilizationAt = load.Utilization, g.now
	g.gossip.Add(peerprotocol.GossipEntry{BackendHash: backend.ShortHash, ClassTag: peerprotocol.UtilizationTag,
		Value: load.Utilization, At: g.now})
}

// meanUtilization is the mean over the backends with a fresh load report; known reports whether there is any.
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

// probeForLoad probes the backend whose load report is the oldest, where load reports come with probes alone.
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

// HandleProbeResult handles the end of a probe. One of an unknown backend is ignored.
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
