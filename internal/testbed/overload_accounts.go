package testbed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// When more is asked for than nodes can do, in a run under overload.
const (
	peakFrom         = 5 * time.Second // in a run of 20 s or more
	peakEnd          = 7 * time.Second // before the end
	baseLoadFraction = 0.55            // of what nodes can do, that is asked for at all other times
)

// overloadPlanFractions is how much of the use inside quotas each plan has, as the operators state it.
var overloadPlanFractions = map[string]float64{"comptoir": 0.27, "resto": 0.24, "chaine": 0.49}

// peakInterval is the time of the peak in a run of some length.
func peakInterval(length time.Duration) oracle.Peak {
	return oracle.Peak{From: min(peakFrom, length/4), To: length - min(peakEnd, length/3)}
}

// OverloadAccounts are accounts that ask for baseLoadFraction of what nodes of so many cores can do all the time and for x times that much in the peak. All stay inside their
// quotas in the mean, a third to a half of them used. Each comes through two to four of the ingresses.
func OverloadAccounts(forwarders int, cores, x float64, peak oracle.Peak, seed uint64) (list []Account) {
	rng := rand.New(rand.NewPCG(seed, 16))
	work, units := 0.0, 0.0
	for class, share := range LabClassFractions {
		work += share * labWork[class]
		units += share * float64(LabUnits[class])
	}
	can := cores * units / work // units a second
	for i, p := range LabPlans {
		for asked, n := 0.0, 0; asked < x*can*overloadPlanFractions[p.Name]; n++ {
			a := Account{Name: fmt.Sprintf("%016x", uint64(i+1)<<28|uint64(n)), Plan: p.Name, Rate: p.Rate * (0.33 + 0.2*rng.Float64()),
				Spread: min(2+rng.IntN(3), forwarders)}
			a.First = rng.IntN(forwarders - a.Spread + 1)
			if rest := x*can*overloadPlanFractions[p.Name] - asked; a.Rate > rest && rest > a.Rate/3 {
				a.Rate = rest
			}
			if asked += a.Rate; asked > baseLoadFraction*can*overloadPlanFractions[p.Name] {
				a.From, a.To = peak.From, peak.To
			}
			list = append(list, a)
		}
	}
	return list
}

// concentrateOnFirstIngress has a quarter of all accounts come through the first ingress alone.
func concentrateOnFirstIngress(list []Account) {
	for i := range list {
		if i%4 == 0 {
			list[i].First, list[i].Spread = 0, 1
		}
	}
}

// ignoreRetryAfter has every second account's clients come back without regard to hints.
func ignoreRetryAfter(list []Account) {
	for i := range list {
		list[i].Deaf = i%2 == 0
	}
}

// disableRetries has all clients try disableRetries.
func disableRetries(list []Account) {
	for i := range list {
		list[i].Once = true
	}
}

// lowPriorityFlood has what comes in the peak ask for the cheapest class alone.
func lowPriorityFlood(list []Account) {
	cheap := LabClasses[0]
	for _, c := range LabClasses {
		if c.PriorityWeight < cheap.PriorityWeight {
			cheap = c
		}
	}
	for i := range list {
		if list[i].To > 0 {
			list[i].Only = cheap.Name
		}
	}
}

// relaxBoundsForMassFailure is what is stated while many ingresses are down: what is asked of those is no fleet's to serve, and the level is learned anew.
func relaxBoundsForMassFailure(s *oracle.LoadSheddingBounds) {
	s.MinBoundFraction, s.MaxSwing, s.MaxSpread = 0.6, 1, 0.6
}

// relaxBoundsForTransientSlowdown is what is stated where the cause lasts for a part of the peak.
func relaxBoundsForTransientSlowdown(s *oracle.LoadSheddingBounds) {
	s.MaxSwing, s.MinBoundFraction, s.MaxSpread = 1, 0.75, 0.6
}

// relaxWastedWorkBound is what is stated where most of what is asked for is refused, or most of it is cheap: tries that come late are many.
func relaxWastedWorkBound(s *oracle.LoadSheddingBounds) { s.MaxWasted = 0.15 }
