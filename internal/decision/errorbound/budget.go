// Package budget states by how many units the shared count of one account may be wrong in each failure, as formulas of the account and
// of the failure: what may be let in beyond rate and burst, and what of the quota may be refused for the count's sake. It is what the
// laboratory judges by and what operators are promised; docs/shared-count.md has the reasons. It does no I/O; times are in seconds, units
// are the plan's.
package errorbound

import (
	"fmt"
	"math"
	"slices"
)

// Times of the module (package policy) that the formulas rest on, in seconds.
const (
	ReportIntervalS    = 0.1  // between reports of a member
	GrantMaxAgeS       = 0.5  // for which a member spends its split of one word
	MessageDelayS      = 0.04 // of a message between gateways, at most, in calm
	DetectionS         = 0.6  // until an owner's silence is noticed while nobody waits: two unanswered reports
	SuspicionS         = 1.0  // after which a silent gateway is tried again
	MemberTimeoutS     = 8.0  // until a member's count is forgotten
	SlotLeaseS         = 0.5  // for which a place is lent to an attempt that is told of
	SlotGraceS         = 0.08 // for which the lender believes in it longer
	LowPriorityReserve = 0.18 // of the burst, that the cheapest class leaves to dearer ones while more than the rate is asked
)

// Account is what the formulas take of an account.
type Account struct {
	Gateways       int     // that it comes through
	Rate, Burst    float64 // of its plan
	LargestRequest float64 // units of the largest request
	Demand         float64 // units a second asked for, at the most
	MaxConcurrent  int     // attempts out at once that its plan allows; 0: no cap
	RequestRate    float64 // requests a second, at the most
}

// FaultKind is a kind of failure.
type FaultKind int

// The failures.
const (
	NoFault        FaultKind = iota // none
	OwnerLost                       // the gateway that counts the account dies
	OwnerRestarted                  // it comes back, empty
	MemberLost                      // another of its gateways dies, and what it has let in and not told is lost
	Partition                       // its gateways are split into sides that don't hear each other
	MessageLoss                     // messages are lost, late and doubled
	FaultKinds
)

var faultNames = [FaultKinds]string{"calm", "owner lost", "owner back", "member lost", "split", "fog"}

func (k FaultKind) String() string {
	if k >= 0 && k < FaultKinds {
		return faultNames[k]
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Fault is one failure, from and to true times. A failure of a moment has both the same.
type Fault struct {
	Kind     FaultKind
	From, To float64
	Sides    int     // of a split
	LossRate float64 // of fog, the share of messages
}

// RecoveryS is for how long after its end a trouble still shows: until a silent gateway was tried again and a word has come.
func (t Fault) RecoveryS() float64 { return SuspicionS + GrantMaxAgeS + ReportIntervalS }

// Excess is what one trouble may let in beyond rate and burst.
func Excess(a Account, t Fault) float64 {
	if a.Gateways < 2 {
		if t.Kind == OwnerRestarted {
			return a.Burst // a gateway alone that starts again has forgotten its window
		}
		return 0
	}
	last := t.To - t.From + t.RecoveryS()
	switch t.Kind {
	case NoFault: // members spend their splits of a word up to GrantMaxAgeS old while the owner spends the same room
		return min(a.Burst*(1-1/float64(a.Gateways)), a.Demand*(GrantMaxAgeS+ReportIntervalS)) + a.LargestRequest
	case OwnerLost: // the next on the ring begins with the room that it heard last
		return min(a.Burst, a.Demand*DetectionS) + a.LargestRequest
	case OwnerRestarted: // a window is full until members have told what they heard
		return a.Burst + a.LargestRequest
	case MemberLost:
		return min(a.Burst, a.Demand*(ReportIntervalS+MessageDelayS)) + a.LargestRequest
	case Partition: // each side has an owner of its own, with the whole rate
		return float64(max(t.Sides, 2)-1) * (a.Burst + a.Rate*last)
	case MessageLoss: // some of its gateways take the owner for silent, a second at a time, and go to the next on the ring
		silent := 1 - math.Pow(1-lostTwice(t.LossRate), last/DetectionS)
		return silent * (a.Burst + a.Rate*last)
	}
	return 0
}

// lostTwice is the chance that two reports in a row stay unanswered where that share of messages is lost.
func lostTwice(loss float64) float64 {
	lost := 1 - (1-loss)*(1-loss)
	return lost * lost
}

// Rejections is what of the quota may be refused for the count's sake, for one trouble.
func Rejections(a Account, t Fault) float64 {
	switch t.Kind {
	case NoFault:
		return LowPriorityReserve*a.Burst + 2*a.LargestRequest // the reserve for dearer classes; and of two windows one may hold a request when the other does not yet
	case OwnerLost, OwnerRestarted, MemberLost:
		return a.Rate*t.RecoveryS() + a.Burst
	}
	return a.Rate*(t.To-t.From+t.RecoveryS()) + a.Burst
}

// RejectedFraction of what is asked inside the quota that may be refused for the count's sake at all times, on top of Under.
const RejectedFraction = 0.02

// overlaps tells whether a trouble shows within a time.
func (t Fault) overlaps(from, to float64) bool { return t.From <= to && t.To+t.RecoveryS() >= from }

// ExcessWithin sums what troubles allow of an account within a time, calm included: units beyond rate and burst. No failure lets through more
// than every gateway by itself.
func ExcessWithin(a Account, list []Fault, from, to float64) (over float64, met []Fault) {
	over = Excess(a, Fault{Kind: NoFault})
	for _, t := range list {
		if t.overlaps(from, to) {
			t.From, t.To = max(t.From, from-t.RecoveryS()), min(t.To, to)
			over += Excess(a, t)
			met = append(met, t)
		}
	}
	alone := float64(max(a.Gateways, 1)-1) * (a.Burst + a.Rate*(to-from))
	if !slices.ContainsFunc(met, func(t Fault) bool { return t.Kind == OwnerRestarted || t.Kind == MemberLost }) { // who starts again has a window anew
		over = min(over, alone+a.LargestRequest)
	}
	return over, met
}

// RejectionsWithin sums what troubles allow to be refused of an account's quota within a time, calm included.
func RejectionsWithin(a Account, list []Fault, from, to float64) (under float64) {
	under = Rejections(a, Fault{Kind: NoFault}) * max(1, (to-from)/10)
	for _, t := range list {
		if t.overlaps(from, to) {
			t.From, t.To = max(t.From, from-t.RecoveryS()), min(t.To, to)
			under += Rejections(a, t)
		}
	}
	return under
}

// SlotExcess is how many attempts beyond its cap an account may have out in one failure, for as long as places are lent. Attempts that are out on no
// place are told of, and no other begins before they end.
func SlotExcess(a Account, t Fault) float64 {
	if a.MaxConcurrent == 0 || a.Gateways < 2 {
		return 0
	}
	switch t.Kind {
	case NoFault: // members that heard within GrantMaxAgeS that places are free begin one without a question
		return min(1+a.RequestRate*GrantMaxAgeS/2, float64(a.Gateways))
	case OwnerLost, OwnerRestarted: // who takes over knows nothing of what was lent before
		return float64(a.MaxConcurrent)
	case Partition: // each side has an owner of its own
		return float64((max(t.Sides, 2) - 1) * a.MaxConcurrent)
	case MessageLoss: // renewals are lost, and some go to a stand-in: both as often as a report stays unanswered twice
		return float64(a.MaxConcurrent) * min(1, 0.5+2*lostTwice(t.LossRate))
	}
	return 0
}

// SlotIdleS is for how many seconds one place may stand idle after one attempt, or one failure, while others wait for it.
func SlotIdleS(a Account, t Fault) float64 {
	switch t.Kind {
	case NoFault: // the word of an attempt's end comes at once
		return 2 * MessageDelayS
	case MemberLost: // with places that nobody gives back
		return SlotLeaseS + SlotGraceS
	case OwnerLost: // until it is noticed, and the next on the ring lends what it has
		return DetectionS + MessageDelayS
	case OwnerRestarted: // it lends nothing until all that its former life lent is over
		return SlotLeaseS
	case MessageLoss:
		return (SlotLeaseS + SlotGraceS) * t.LossRate
	}
	return SuspicionS
}

// SlotExcessWithin sums what troubles allow of an account's places at a time, calm included. No failure lets more out than every gateway by itself.
func SlotExcessWithin(a Account, list []Fault, at float64) (beyond float64, met []Fault) {
	beyond = SlotExcess(a, Fault{Kind: NoFault})
	for _, t := range list {
		if t.overlaps(at, at) {
			beyond += SlotExcess(a, t)
			met = append(met, t)
		}
	}
	return min(beyond, float64(a.Gateways*max(a.MaxConcurrent, 1))), met
}
