package main

import (
	"fmt"
	"maps"
	"slices"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/testbed/oracle"
)

// simTotals aggregates the reports of schedules.
type simTotals struct {
	requests, attempts int
	handshakes         int                // connections opened to backends
	service            float64            // sum over the schedules
	byPlan             map[string]float64 // service, summed over the schedules
	cost               oracle.OverQuotaCost

	occasions, violations map[string]int     // by rule
	utilization           map[string]float64 // by bound, the highest fraction of it that any schedule reached

	ideal, withheld, excess    float64 // units: see IdealUnits, WithheldUnits and Overshoots of oracle.Report
	messages, droppedMessages  int     // between gateways
	messageKinds               map[string]int
	slotSeconds, excessSeconds float64 // of attempts within concurrency limits, and beyond them
	rejections                 map[reason.Reason]int
}

func newSimTotals() simTotals {
	return simTotals{byPlan: map[string]float64{}, occasions: map[string]int{}, violations: map[string]int{}, utilization: map[string]float64{},
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
	addEach(t.violations, report.ViolationCounts)
	addEach(t.messageKinds, report.PeerMessageKinds)
	for k, n := range report.Reasons {
		t.rejections[reason.Reason(k)] += n
	}
	for bound, x := range report.Utilization {
		t.utilization[bound] = max(t.utilization[bound], x)
	}
}

func addEach[V int | float64](sums, values map[string]V) {
	for key, value := range values {
		sums[key] += value
	}
}

// print writes the totals of the given number of schedules, each of lengthS seconds and with the given number of gateways.
func (t *simTotals) print(schedules, lengthS, gateways float64) {
	for _, rule := range append(slices.Clone(oracle.RuleNames), "one leader", "everybody is led") {
		if t.occasions[rule]+t.violations[rule] > 0 {
			fmt.Printf("  %-18s breaches %d, occasions %d\n", rule, t.violations[rule], t.occasions[rule])
		}
	}
	for _, bound := range slices.Sorted(maps.Keys(t.utilization)) {
		fmt.Printf("  highest utilization, %s: %.2f\n", bound, t.utilization[bound])
	}
	fmt.Printf("  service %.3f", t.service/schedules)
	for _, plan := range slices.Sorted(maps.Keys(t.byPlan)) {
		fmt.Printf(" %s %.3f", plan, t.byPlan[plan]/schedules)
	}
	fmt.Printf("\n  cost of admissions beyond quotas: %.3f of the weight requested inside quotas, %.3f under a policy with delayed counts", t.cost.Actual/schedules, t.cost.Delayed/schedules)
	fmt.Printf("\n  connections opened to nodes: %.2f per attempt\n", float64(t.handshakes)/float64(max(t.attempts, 1)))
	if t.ideal > 0 {
		t.printCounts(schedules*lengthS, gateways)
	}
}

// printCounts writes the errors of the shared counts of quotas, and rates of messages over the given number of seconds.
func (t *simTotals) printCounts(seconds, gateways float64) {
	fmt.Printf("  counts: exact counting would admit %.0f units, %.1f%% of them were withheld; the largest excess of each account adds up to %.1f%% of them\n",
		t.ideal, 100*t.withheld/t.ideal, 100*t.excess/t.ideal)
	fmt.Printf("  messages between ingresses: %.1f per second at each, %.1f%% of them dropped beyond the receiver's rate limit\n",
		float64(t.messages)/seconds/gateways, 100*float64(t.droppedMessages)/float64(max(1, t.messages)))
	if t.slotSeconds > 0 {
		fmt.Printf("  concurrency limits: %.0f s of attempts within them, %.1f%% of that beyond them\n", t.slotSeconds, 100*t.excessSeconds/t.slotSeconds)
	}
	fmt.Print("  sent per second at each:")
	for _, kind := range slices.Sorted(maps.Keys(t.messageKinds)) {
		fmt.Printf(" %s %.2f", kind, float64(t.messageKinds[kind])/seconds/gateways)
	}
	fmt.Println()
	fmt.Print("  rejections:")
	byCount := func(a, b reason.Reason) int { return t.rejections[b] - t.rejections[a] }
	for _, cause := range slices.SortedFunc(maps.Keys(t.rejections), byCount) {
		fmt.Printf(" %v %d", cause, t.rejections[cause])
	}
	fmt.Println()
}
