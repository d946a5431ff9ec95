package testbed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eiderspread/internal/testbed/oracle"
)

// Times and size of the load in a run under overload, in which the demand exceeds the capacity of the nodes during a peak.
const (
	peakFrom         = 5 * time.Second // start of the peak, in a run of 20 s or more
	peakEnd          = 7 * time.Second // the peak ends this long before the end of the run
	baseLoadFraction = 0.55            // demand outside the peak, as a fraction of the nodes' capacity
)

// overloadPlanFractions is each plan's fraction of the usage within quotas, as stated by the operators.
var overloadPlanFractions = map[string]float64{"comptoir": 0.27, "resto": 0.24, "chaine": 0.49}

// peakInterval returns the interval of the peak in a run of the given length. Short runs have shorter margins.
func peakInterval(length time.Duration) oracle.Peak {
	return oracle.Peak{From: min(peakFrom, length/4), To: length - min(peakEnd, length/3)}
}

// OverloadAccounts returns accounts whose demand is baseLoadFraction of the capacity of the given number of cores outside the peak
// and x times that capacity during the peak. On average every account stays within its quota and uses a third to a half of it. The
// requests of an account arrive at two to four ingresses.
func OverloadAccounts(forwarders int, cores, x float64, peak oracle.Peak, seed uint64) (list []Account) {
	rng := rand.New(rand.NewPCG(seed, 16))
	work, units := 0.0, 0.0
	for class, share := range LabClassFractions {
		work += share * labWork[class]
		units += share * float64(LabUnits[class])
	}
	capacity := cores * units / work // in units per second
	for i, p := range LabPlans {
		for demand, n := 0.0, 0; demand < x*capacity*overloadPlanFractions[p.Name]; n++ {
			a := Account{Name: fmt.Sprintf("%016x", uint64(i+1)<<28|uint64(n)), Plan: p.Name, Rate: p.Rate * (0.33 + 0.2*rng.Float64()),
				Spread: min(2+rng.IntN(3), forwarders)}
			a.First = rng.IntN(forwarders - a.Spread + 1)
			if rest := x*capacity*overloadPlanFractions[p.Name] - demand; a.Rate > rest && rest > a.Rate/3 {
				a.Rate = rest
			}
			if demand += a.Rate; demand > baseLoadFraction*capacity*overloadPlanFractions[p.Name] {
				a.From, a.To = peak.From, peak.To
			}
			list = append(list, a)
		}
	}
	return list
}

// concentrateOnFirstIngress makes the first ingress receive all requests of a quarter of the accounts.
func concentrateOnFirstIngress(list []Account) {
	for i := range list {
		if i%4 == 0 {
			list[i].First, list[i].Spread = 0, 1
		}
	}
}

// ignoreRetryAfter makes the clients of every second account ignore retry-after hints.
func ignoreRetryAfter(list []Account) {
	for i := range list {
		list[i].IgnoresRetryAfter = i%2 == 0
	}
}

// disableRetries makes all clients send each request only once.
func disableRetries(list []Account) {
	for i := range list {
		list[i].NoRetries = true
	}
}

// lowPriorityFlood makes all accounts that send only during the peak use the class with the lowest priority weight.
func lowPriorityFlood(list []Account) {
	lowest := LabClasses[0]
	for _, c := range LabClasses {
		if c.PriorityWeight < lowest.PriorityWeight {
			lowest = c
		}
	}
	for i := range list {
		if list[i].To > 0 {
			list[i].OnlyClass = lowest.Name
		}
	}
}

// relaxBoundsForMassFailure relaxes the bounds for runs in which many ingresses are down for a while: no fleet can serve the requests
// that are sent to those, and restarted ingresses learn the load-shedding level anew.
func relaxBoundsForMassFailure(s *oracle.LoadSheddingBounds) {
	s.MinBoundFraction, s.MaxSwing, s.MaxSpread = 0.6, 1, 0.6
}

// relaxBoundsForTransientSlowdown relaxes the bounds for runs in which the cause of the overload lasts for only a part of the peak.
func relaxBoundsForTransientSlowdown(s *oracle.LoadSheddingBounds) {
	s.MaxSwing, s.MinBoundFraction, s.MaxSpread = 1, 0.75, 0.6
}

// relaxWastedWorkBound relaxes the bound on wasted work for runs in which most requests are rejected or of low priority: many of
// their retries come late.
func relaxWastedWorkBound(s *oracle.LoadSheddingBounds) { s.MaxWasted = 0.15 }
