package subset

import "slices"

// Stats describes the subsets that a strategy gives a fleet. Loads are relative to the mean over all backends; each
// gateway is taken to spread its traffic evenly over its subset.
type Stats struct {
	P99Load    float64 // 99th percentile of the backends' loads
	P1Load     float64 // 1st percentile
	Churn      float64 // share of all preferences that change with the replaced list
	Divergence float64 // share of all preferences that differ with the other list
	Unselected int     // backends that no gateway prefers
}

// Measure evaluates a strategy over the fleet whose backends are ids. traffic has one value per gateway, in any unit.
// size is passed to the strategy. The parameter replaced is ids with some backends replaced; the parameter other is
// the list of a gateway that does not see some of the backends.
func Measure(strategy Strategy, ids []uint64, traffic []float64, size int, replaced, other []uint64) Stats {
	loads := make([]float64, len(ids))
	total, preferences, churn, divergence := 0.0, 0, 0, 0
	for gateway, units := range traffic {
		list := strategy(ids, gateway, len(traffic), size)
		preferred := map[uint64]bool{}
		for _, i := range list {
			loads[i] += units / float64(len(list))
			preferred[ids[i]] = true
		}
		total += units
		preferences += len(list)
		churn += countNew(strategy, replaced, gateway, len(traffic), size, preferred)
		divergence += countNew(strategy, other, gateway, len(traffic), size, preferred)
	}
	slices.Sort(loads)
	mean := total / float64(len(ids))
	unselected := 0
	for unselected < len(loads) && loads[unselected] == 0 {
		unselected++
	}
	return Stats{
		P99Load:    loads[min(len(loads)*99/100, len(loads)-1)] / mean,
		P1Load:     loads[len(loads)/100] / mean,
		Churn:      float64(churn) / float64(preferences),
		Divergence: float64(divergence) / float64(preferences),
		Unselected: unselected,
	}
}

// countNew returns how many of the backends that a gateway prefers from the list ids are not in preferred.
func countNew(strategy Strategy, ids []uint64, gateway, gateways, size int, preferred map[uint64]bool) (n int) {
	for _, i := range strategy(ids, gateway, gateways, size) {
		if !preferred[ids[i]] {
			n++
		}
	}
	return n
}
