// Package errorbound bounds three errors that the distributed count of one account can have in each kind of failure:
// units admitted beyond rate and burst, units of the quota rejected because of the count, and attempts beyond a
// concurrency cap. Each bound is a formula of the properties of the account and the failure. The testbed's invariant
// checker holds every run to these bounds, and operators are promised them; docs/quota-counting.md has the reasons. The
// package does no I/O; times are in seconds, units are the plan's.
package errorbound

import (
	"math"
	"slices"
)

// Times of the decision module that the formulas depend on, in seconds. They repeat constants of other packages
// on purpose, so that a change there does not change a bound unnoticed.
const (
	ReportIntervalS = 0.1  // between two reports of a member
	GrantMaxAgeS    = 0.5  // how long a member uses its split of an owner reply
	MessageDelayS   = 0.04 // longest delay of a message between gateways without faults
	DetectionS      = 0.6  // time until the owner's failure is detected while no request waits: two unanswered reports
	SuspicionS      = 1.0  // time until a suspected gateway is tried again
	SlotLeaseS      = 0.5  // lease of a slot that a member reports as in use
	SlotGraceS      = 0.08 // how much longer the lessor counts the slot as taken
)

// LowPriorityReserve is the fraction of the burst that the lowest-priority class leaves to the others while demand
// exceeds the rate.
const LowPriorityReserve = 0.18

// RejectedFraction is the fraction of the units requested within the quota that may always be rejected, in
// addition to Rejections.
const RejectedFraction = 0.02

// Account holds the properties of an account that the formulas use.
type Account struct {
	Gateways       int     // number of gateways that the account uses
	Rate           float64 // units per second, of its plan
	Burst          float64 // units, of its plan
	LargestRequest float64 // units
	Demand         float64 // highest number of units requested per second
	MaxConcurrent  int     // attempts in flight that its plan allows; 0: no cap
	RequestRate    float64 // highest number of requests per second
}

// Excess returns how many units beyond rate and burst may be admitted because of one fault.
func Excess(a Account, f Fault) float64 {
	if a.Gateways < 2 {
		if f.Kind == OwnerRestarted {
			return a.Burst // the only gateway has lost its count
		}
		return 0
	}
	durationS := f.To - f.From + f.RecoveryS()
	switch f.Kind {
	case NoFault: // members use splits of replies that are up to GrantMaxAgeS old, while the owner uses the same units
		return min(a.Burst*(1-1/float64(a.Gateways)), a.Demand*(GrantMaxAgeS+ReportIntervalS)) + a.LargestRequest
	case OwnerLost: // the successor starts with the available units that it last received
		return min(a.Burst, a.Demand*DetectionS) + a.LargestRequest
	case OwnerRestarted: // its window is full until members have reported
		return a.Burst + a.LargestRequest
	case MemberLost:
		return min(a.Burst, a.Demand*(ReportIntervalS+MessageDelayS)) + a.LargestRequest
	case Partition: // each side has an owner that grants the whole rate
		return float64(max(f.Sides, 2)-1) * (a.Burst + a.Rate*durationS)
	case MessageLoss: // some members suspect the owner, for SuspicionS at a time, and use its successor
		suspected := 1 - math.Pow(1-unansweredTwice(f.LossRate), durationS/DetectionS)
		return suspected * (a.Burst + a.Rate*durationS)
	}
	return 0
}

// unansweredTwice returns the probability that two reports in a row stay unanswered at a message loss rate of 0 to 1.
func unansweredTwice(lossRate float64) float64 {
	unanswered := 1 - (1-lossRate)*(1-lossRate)
	return unanswered * unanswered
}

// Rejections returns how many units of the quota may be rejected because of one fault.
func Rejections(a Account, f Fault) float64 {
	switch f.Kind {
	case NoFault: // the reserve, and a request for which one of two windows has the units before the other has
		return LowPriorityReserve*a.Burst + 2*a.LargestRequest
	case OwnerLost, OwnerRestarted, MemberLost:
		return a.Rate*f.RecoveryS() + a.Burst
	}
	return a.Rate*(f.To-f.From+f.RecoveryS()) + a.Burst
}

// ExcessWithin returns how many units beyond rate and burst all faults together allow between from and to, and which
// of them have effects in that time. The bound without faults is included. Unless a fault loses a gateway's count,
// the result is at most what all gateways would admit if each counted by itself.
func ExcessWithin(a Account, faults []Fault, from, to float64) (excess float64, effective []Fault) {
	excess = Excess(a, Fault{Kind: NoFault})
	for _, f := range faults {
		if f.overlaps(from, to) {
			f = f.clip(from, to)
			excess += Excess(a, f)
			effective = append(effective, f)
		}
	}
	losesCount := func(f Fault) bool { return f.Kind == OwnerRestarted || f.Kind == MemberLost }
	if !slices.ContainsFunc(effective, losesCount) {
		independent := float64(max(a.Gateways, 1)-1) * (a.Burst + a.Rate*(to-from))
		excess = min(excess, independent+a.LargestRequest)
	}
	return excess, effective
}

// RejectionsWithin returns how many units of the quota all faults together allow to be rejected between from and to.
// The bound without faults is included once for each 10 s, and at least once.
func RejectionsWithin(a Account, faults []Fault, from, to float64) (rejections float64) {
	rejections = Rejections(a, Fault{Kind: NoFault}) * max(1, (to-from)/10)
	for _, f := range faults {
		if f.overlaps(from, to) {
			rejections += Rejections(a, f.clip(from, to))
		}
	}
	return rejections
}
