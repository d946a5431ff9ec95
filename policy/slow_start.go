package policy

const (
	maxDemandToCompleted = 2.0 // admitted work counts up to this multiple of completed work
	slowStartChance      = 0.5 // factor on the probability of sending where the budget is under one request
	slowStartInFlight    = 2   // attempts from here that a backend in slow start may have in flight
)

// slowStartAllows reports whether a backend that has just started can take workS seconds of work. What this
// gateway sends it within the last CollapseWindowS seconds stays within
//
//	budget = warm / max(warmCapacity, warm) * CollapseWindowS * min(admitted, maxDemandToCompleted*completed)
//
// in seconds of work: warm is the backend's warm-up fraction (0 to 1), warmCapacity the sum of those of all
// usable backends, admitted and completed are this gateway's rates in seconds of work a second. The rate is
// that of admitted work and not of sent work, which is too small while all backends are in slow start. A
// backend that was sent nothing gets a request over the budget with probability slowStartChance*budget/workS,
// or else gateways with small budgets would never send it any.
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
