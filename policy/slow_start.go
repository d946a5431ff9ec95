package policy

const (
	maxAdmittedToCompleted = 2.0 // upper bound of admitted work in the budget, as a multiple of completed work
	slowStartChance        = 0.5 // factor on the probability of sending a request that exceeds the budget
	slowStartInFlight      = 2   // highest number of attempts in flight from here at a backend in slow start
)

// slowStartAllows reports whether a backend can take workS more seconds of work; it always can after its slow
// start. During slow start, the work that this gateway sent it within the last CollapseWindowS seconds must
// stay within
//
//	budget = warm / max(warmCapacity, warm) * CollapseWindowS * min(admitted, maxAdmittedToCompleted*completed)
//
// seconds of work. warm is the backend's warm fraction (0 to 1), and warmCapacity the sum of the warm
// fractions of all usable backends; admitted and completed are this gateway's rates, in seconds of work a
// second. The budget follows the rate of admitted work because the rate of sent work is too small while all
// backends are in slow start. If nothing was sent to the backend within that window, a request that exceeds
// the budget is sent with probability slowStartChance*budget/workS: gateways with small budgets would
// otherwise never send it any.
func (g *Gateway) slowStartAllows(backend *backendState, workS float64) bool {
	warm := backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction)
	if warm >= 1 {
		backend.slowStartLog = nil
		return true
	}
	sent := backend.slowStartLog.Sum(g.now, g.settings.CollapseWindowS)
	budget := warm / max(g.warmCapacity, warm) * g.settings.CollapseWindowS *
		min(g.admittedWork.Now(g.now, demandTauS), maxAdmittedToCompleted*g.completedWork.Now(g.now, demandTauS))
	return backend.inFlight < slowStartInFlight &&
		(sent+workS <= budget || sent == 0 && g.rng.Float64()*workS <= budget*slowStartChance)
}

// recordSlowStartWork charges an attempt's work, in seconds, to the budget of a backend in slow start.
func (g *Gateway) recordSlowStartWork(backend *backendState, workS float64) {
	if backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction) < 1 {
		backend.slowStartLog.Add(g.now, workS)
	}
}

// updateWarmCapacity recomputes the sum of the warm fractions of all usable backends.
func (g *Gateway) updateWarmCapacity() {
	g.warmCapacity = 0
	for _, backend := range g.backends.Listed {
		if backend.State == Up && g.now >= backend.ejectedUntil {
			g.warmCapacity += backend.WarmFraction(g.now, g.settings.SlowStartS, g.settings.SlowStartMinFraction)
		}
	}
}
