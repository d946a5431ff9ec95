package main

import (
	"fmt"
	"maps"
	"slices"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/testbed/oracle"
)

// simTotals sums the reports of schedules.
type simTotals struct {
	requests, attempts int
	handshakes         int // connections opened to backends
	service            float64
	byPlan             map[string]float64 // service
	cost               oracle.OverQuotaCost

	occasions, breaches map[string]int     // by rule
	nearest             map[string]float64 // worst of all schedules, by bound

	ideal, withheld, excess    float64 // units
	messages, droppedMessages  int     // between gateways
	messageKinds               map[string]int
	slotSeconds, excessSeconds float64 // of attempts within caps, and beyond them
	rejections                 map[reason.Reason]int
}

func newSimTotals() simTotals {
	return simTotals{byPlan: map[string]float64{}, occasions: map[string]int{}, breaches: map[string]int{}, nearest: map[string]float64{},
		messageKinds: map[string]int{}, rejections: map[reason.Reason]int{}}
}

func (t *simTotals) add(report *oracle.Report) {
	t.requests += report.Requests
	t.attempts += report.Attempts
	t.handshakes += report.Handshakes
	t.service += report.Service
	t.cost.Actual += report.OverQuotaCost.Actual
	t.cost.Delayed += report.OverQuotaCost.Delayed
	t.ideal += report.IdealUnits
	t.withheld += report.WithheldUnits
	for _, overshoot := range report.Overshoots {
		t.excess += overshoot.Units
	}
	t.messages += report.PeerMessages
	t.droppedMessages += report.DroppedPeerMessages
	t.slotSeconds += report.SlotS
	t.excessSeconds += report.ExcessSlotS
	addEach(t.byPlan, report.ServiceByPlan)
	addEach(t.occasions, report.Occasions)
	addEach(t.breaches, report.ViolationCounts)
	addEach(t.messageKinds, report.PeerMessageKinds)
	for k, n := range report.Reasons {
		t.rejections[reason.Reason(k)] += n
	}
	for bound, x := range report.Utilization {
		t.nearest[bound] = max(t.nearest[bound], x)
	}
}

func addEach[V int | float64](sums, values map[string]V) {
	for key, value := range values {
		sums[key] += value
	}
}

// print writes the totals of so many schedules, each of lengthS seconds and so many gateways.
func (t *simTotals) print(schedules, lengthS, gateways float64) {
	for _, rule := range append(slices.Clone(oracle.RuleNames), "one leader", "everybody is led") {
		if t.occasions[rule]+t.breaches[rule] > 0 {
			fmt.Printf("  %-18s breaches %d, occasions %d\n", rule, t.breaches[rule], t.occasions[rule])
		}
	}
	for _, bound := range slices.Sorted(maps.Keys(t.nearest)) {
		fmt.Printf("  nearest to %s: %.2f\n", bound, t.nearest[bound])
	}
	fmt.Printf("  service %.3f", t.service/schedules)
	for _, plan := range slices.Sorted(maps.Keys(t.byPlan)) {
		fmt.Printf(" %s %.3f", plan, t.byPlan[plan]/schedules)
	}
	fmt.Printf("\n  beyond quotas: costs %.3f of the worth asked for inside, %.3f under a policy that sees all late", t.cost.Actual/schedules, t.cost.Delayed/schedules)
	fmt.Printf("\n  connections opened to nodes: %.2f an attempt\n", float64(t.handshakes)/float64(max(t.attempts, 1)))
	if t.ideal > 0 {
		t.printCounts(schedules*lengthS, gateways)
	}
}

// printCounts writes what shared counts of quotas withheld and let in beyond, over so many seconds.
func (t *simTotals) printCounts(seconds, gateways float64) {
	fmt.Printf("  counts: %.0f units would be let in without fault, %.1f%% of them were withheld; the worst moments of accounts add up to %.1f%% beyond\n",
		t.ideal, 100*t.withheld/t.ideal, 100*t.excess/t.ideal)
	fmt.Printf("  messages between ingresses: %.1f a second at each, %.1f%% of them beyond its intake\n",
		float64(t.messages)/seconds/gateways, 100*float64(t.droppedMessages)/float64(max(1, t.messages)))
	if t.slotSeconds > 0 {
		fmt.Printf("  places: %.0f s of attempts within caps, %.1f%% of that beyond\n", t.slotSeconds, 100*t.excessSeconds/t.slotSeconds)
	}
	fmt.Print("  sent, a second at each:")
	for _, kind := range slices.Sorted(maps.Keys(t.messageKinds)) {
		fmt.Printf(" %s %.2f", kind, float64(t.messageKinds[kind])/seconds/gateways)
	}
	fmt.Println()
	fmt.Print("  refused:")
	byCount := func(a, b reason.Reason) int { return t.rejections[b] - t.rejections[a] }
	for _, cause := range slices.SortedFunc(maps.Keys(t.rejections), byCount) {
		fmt.Printf(" %v %d", cause, t.rejections[cause])
	}
	fmt.Println()
}
