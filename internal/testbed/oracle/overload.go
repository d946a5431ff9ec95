package oracle

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slotS is the length of the slots into which upperBound divides time, in seconds.
	slotS = 0.1
	// emptySlot is the work, in core seconds, below which a slot counts as used up.
	emptySlot = 1e-12
	// weightRounds is how many sets of weights upperBound tries, and weightStep the first step between two sets.
	weightRounds = 24
	weightStep   = 4
	// priceSteps is how many steps minimizeBound takes, and priceStep the first one, as a fraction of the highest price.
	priceSteps = 60
	priceStep  = 0.05
	// maxOverload bounds a slot's excess demand, as a multiple of its capacity, in a step of minimizeBound.
	maxOverload = 2
)

// capacity returns the work, in core seconds, that all backends together can do in each slot until capacityTailS after the last
// request, which was sent at end seconds.
func capacity(h *History, end float64) []float64 {
	slots := make([]float64, int((end+capacityTailS)/slotS)+1)
	middle := func(slot int) float64 { return (float64(slot) + 0.5) * slotS }
	for _, incarnation := range h.Incarnations {
		for i := range slots {
			at := middle(i)
			age := at - incarnation.StartedAt.Seconds()
			if age < -slotS || incarnation.CrashedAt > 0 && at > incarnation.CrashedAt.Seconds() {
				continue
			}
			fraction := 1.0
			if incarnation.WarmUpS > 0 && age < incarnation.WarmUpS {
				fraction = incarnation.warmUpFraction(max(age, 0))
			}
			slots[i] += incarnation.Capacity * fraction * slotS
		}
	}
	for _, s := range h.Slowdowns {
		for i := range slots {
			if at := time.Duration(middle(i) * float64(time.Second)); at >= s.From && (s.To == 0 || at < s.To) && s.Factor > 1 {
				slots[i] /= s.Factor
			}
		}
	}
	return slots
}

// upperBound returns an upper bound of Load.Goal for any fleet, even for one that knows all requests beforehand, but not the work
// of a single one. It bounds the optimum of a relaxed problem, in which work may be divided, spread over cores and delayed up to
// its deadline. By weak duality, any non-negative prices of the slots and any weights of plans and of intervals that sum to 1
// give such a bound: the price of all slots plus, for each job, its value beyond its price in its cheapest slot. A poor search
// for prices and weights makes the bound looser, never wrong.
func upperBound(jobs []*job, slots, planDemand, intervalDemand []float64) float64 {
	demand := 0.0
	for _, weight := range planDemand {
		demand += weight
	}
	plans, intervals := uniformWeights(planDemand), uniformWeights(intervalDemand)
	best := math.Inf(1)
	byPrice := slices.Clone(jobs)
	for round := range weightRounds {
		for _, j := range jobs {
			j.value = j.weight * (overallWeight/demand + planWeight*plans[j.plan]/planDemand[j.plan] + intervalWeight*intervals[j.interval]/intervalDemand[j.interval])
			j.price = j.value / max(j.work, epsilon)
		}
		slices.SortStableFunc(byPrice, func(a, b *job) int { return cmp.Compare(b.price, a.price) })
		planServed, intervalServed := make([]float64, len(plans)), make([]float64, len(intervals))
		prices := schedule(byPrice, slots, planServed, intervalServed)
		best = min(best, minimizeBound(jobs, slots, prices))
		step := weightStep / float64(1+round)
		reweight(plans, planServed, planDemand, step)
		reweight(intervals, intervalServed, intervalDemand, step)
	}
	return min(best, 1)
}

// schedule assigns jobs to slots in the given order, each as late as possible, and adds the weights served to planServed and
// intervalServed. It returns a price for each slot: that of the job that used it up, or 0 if none did.
func schedule(jobs []*job, slots, planServed, intervalServed []float64) (prices []float64) {
	remaining := slices.Clone(slots)
	prices = make([]float64, len(slots))
	for _, j := range jobs {
		need := j.work
		for i := int(j.deadline / slotS); i >= int(j.start/slotS) && need > 0; i-- {
			take := min(remaining[i], need)
			if remaining[i] -= take; take > 0 && remaining[i] <= emptySlot {
				prices[i] = j.price
			}
			need -= take
		}
		done := 1 - need/max(j.work, epsilon)
		planServed[j.plan] += done * j.weight
		intervalServed[j.interval] += done * j.weight
	}
	return prices
}

// uniformWeights returns equal weights, with sum 1, for all entries with demand.
func uniformWeights(demand []float64) []float64 {
	weights, n := make([]float64, len(demand)), 0.0
	for _, d := range demand {
		if d > 0 {
			n++
		}
	}
	for i, d := range demand {
		if d > 0 {
			weights[i] = 1 / n
		}
	}
	return weights
}

// reweight moves weights towards the entries with the lowest fraction served. Their sum stays 1.
func reweight(weights, served, demand []float64, step float64) {
	sum := 0.0
	for i := range weights {
		if demand[i] > 0 {
			weights[i] *= math.Exp(-step * served[i] / demand[i])
			sum += weights[i]
		}
	}
	for i := range weights {
		weights[i] /= sum
	}
}

// minimizeBound returns the lowest bound that subgradient descent on the prices of the slots finds. It changes prices.
func minimizeBound(jobs []*job, slots, prices []float64) float64 {
	best, scale := math.Inf(1), 0.0
	for _, price := range prices {
		scale = max(scale, price)
	}
	load := make([]float64, len(slots))
	for step := range priceSteps {
		value := 0.0
		for i := range load {
			load[i] = 0
			value += slots[i] * prices[i]
		}
		for _, j := range jobs {
			cheapest := cheapestSlot(prices, int(j.start/slotS), int(j.deadline/slotS))
			if earned := j.value - j.work*prices[cheapest]; earned > 0 {
				value += earned
				load[cheapest] += j.work
			}
		}
		best = min(best, value)
		for i := range prices {
			if slots[i] > 0 {
				excess := max(min(load[i]/slots[i]-1, maxOverload), -1)
				prices[i] = max(prices[i]+priceStep*scale/float64(1+step)*excess, 0)
			}
		}
	}
	return best
}

// cheapestSlot returns the first slot with the lowest price between two slots, inclusive.
func cheapestSlot(prices []float64, from, to int) int {
	cheapest := from
	for i := from; i <= to; i++ {
		if prices[i] < prices[cheapest] {
			cheapest = i
		}
	}
	return cheapest
}
