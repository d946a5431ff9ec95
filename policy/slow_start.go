package policy

const (
	maxDemandToCompleted = 2.0 // times completed work, up to which admitted work counts
	slowStartChance      = 0.5 // of a gateway's share of the budget, where that is under one request
	slowStartInFlight    = 2   // attempts from here at a backend in slow start
)

// slowStartAllows reports whether a backend that has just started can take so many seconds of work. Over any
// window in which it could collapse it gets no more than its fraction of the fleet's warm capacity, of the
// work that is admitted; work that was sent would not do, as all backends may be in slow start. Where a
// gateway's share of that is under one request, chance decides.
func (g *Gateway) slowStartAllows(backend *backendState, workS float64) bool {
	warm := backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction)
	if warm >= 1 {
		backend.slowStartLog = nil
		return true
	}
	sent := backend.slowStartLog.Sum(g.now, g.settings.CollapseWindowS)
	budget := warm / max(g.warmCapacity, warm) * g.settings.CollapseWindowS *
		min(g.admittedWork.Now(g.now, demandTauS), maxDemandToCompleted*g.completedWork.Now(g.now, demandTauS))
	return backend.inFlight < slowStartInFlight &&
		(sent+workS <= budget || sent == 0 && g.rng.Float64()*workS <= budget*slowStartChance)
}

// recordSlowStartWork counts work that was sent to a backend in slow start.
func (g *Gateway) recordSlowStartWork(backend *backendState, workS float64) {
	if backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction) < 1 {
		backend.slowStartLog.Add(g.now, workS)
	}
}

// updateWarmCapacity brings the sum of what usable backends can serve up to now.
func (g *Gateway) updateWarmCapacity() {
	g.warmCapacity = 0
	for _, backend := range g.backends.Listed {
		if backend.State == Up && g.now >= backend.ejectedUntil {
			g.warmCapacity += backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction)
		}
	}
}
