// Package budget states by how many units the shared count of one account may be wrong in each failure, as formulas of the account and
// of the failure: what may be let in beyond rate and burst, and what of the quota may be refused for the count's sake. It is what the
// laboratory judges by and what operators are promised; docs/shared-count.md has the reasons. It does no I/O; times are in seconds, units
// are the plan's.
package budget

import (
	"fmt"
	"math"
	"slices"
)

// Times of the module (package policy) that the formulas rest on, in seconds.
const (
	BatchS  = 0.1  // between reports of a member
	FreshS  = 0.5  // for which a member spends its split of one word
	DelayS  = 0.04 // of a message between gateways, at most, in calm
	NoticeS = 0.6  // until an owner's silence is noticed while nobody waits: two unanswered reports
	RetryS  = 1.0  // after which a silent gateway is tried again
	MemberS = 8.0  // until a member's count is forgotten
	LentS   = 0.5  // for which a place is lent to an attempt that is told of
	GraceS  = 0.08 // for which the lender believes in it longer
	CheapS  = 0.18 // of the burst, that the cheapest class leaves to dearer ones while more than the rate is asked
)

// Account is what the formulas take of an account.
type Account struct {
	Gateways    int     // that it comes through
	Rate, Burst float64 // of its plan
	Largest     float64 // units of the largest request
	Demand      float64 // units a second asked for, at the most
	Parallel    int     // attempts out at once that its plan allows; 0: no cap
	Asks        float64 // requests a second, at the most
}

// Kind is a kind of failure.
type Kind int

// The failures.
const (
	Calm       Kind = iota // none
	OwnerLost              // the gateway that counts the account dies
	OwnerBack              // it comes back, empty
	MemberLost             // another of its gateways dies, and what it has let in and not told is lost
	Split                  // its gateways are split into sides that don't hear each other
	Fog                    // messages are lost, late and doubled
	Kinds
)

var names = [Kinds]string{"calm", "owner lost", "owner back", "member lost", "split", "fog"}

func (k Kind) String() string {
	if k >= 0 && k < Kinds {
		return names[k]
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Trouble is one failure, from and to true times. A failure of a moment has both the same.
type Trouble struct {
	Kind     Kind
	From, To float64
	Sides    int     // of a split
	Loss     float64 // of fog, the share of messages
}

// Settle is for how long after its end a trouble still shows: until a silent gateway was tried again and a word has come.
func (t Trouble) Settle() float64 { return RetryS + FreshS + BatchS }

// Over is what one trouble may let in beyond rate and burst.
func Over(a Account, t Trouble) float64 {
	if a.Gateways < 2 {
		if t.Kind == OwnerBack {
			return a.Burst // a gateway alone that starts again has forgotten its window
		}
		return 0
	}
	last := t.To - t.From + t.Settle()
	switch t.Kind {
	case Calm: // members spend their splits of a word up to FreshS old while the owner spends the same room
		return min(a.Burst*(1-1/float64(a.Gateways)), a.Demand*(FreshS+BatchS)) + a.Largest
	case OwnerLost: // the next on the ring begins with the room that it heard last
		return min(a.Burst, a.Demand*NoticeS) + a.Largest
	case OwnerBack: // a window is full until members have told what they heard
		return a.Burst + a.Largest
	case MemberLost:
		return min(a.Burst, a.Demand*(BatchS+DelayS)) + a.Largest
	case Split: // each side has an owner of its own, with the whole rate
		return float64(max(t.Sides, 2)-1) * (a.Burst + a.Rate*last)
	case Fog: // some of its gateways take the owner for silent, a second at a time, and go to the next on the ring
		silent := 1 - math.Pow(1-twice(t.Loss), last/NoticeS)
		return silent * (a.Burst + a.Rate*last)
	}
	return 0
}

// twice is the chance that two reports in a row stay unanswered where that share of messages is lost.
func twice(loss float64) float64 {
	lost := 1 - (1-loss)*(1-loss)
	return lost * lost
}

// Under is what of the quota may be refused for the count's sake, for one trouble.
func Under(a Account, t Trouble) float64 {
	switch t.Kind {
	case Calm:
		return CheapS*a.Burst + 2*a.Largest // the reserve for dearer classes; and of two windows one may hold a request when the other does not yet
	case OwnerLost, OwnerBack, MemberLost:
		return a.Rate*t.Settle() + a.Burst
	}
	return a.Rate*(t.To-t.From+t.Settle()) + a.Burst
}

// Share of what is asked inside the quota that may be refused for the count's sake at all times, on top of Under.
const Share = 0.02

// touches tells whether a trouble shows within a time.
func (t Trouble) touches(from, to float64) bool { return t.From <= to && t.To+t.Settle() >= from }

// Within sums what troubles allow of an account within a time, calm included: units beyond rate and burst. No failure lets through more
// than every gateway by itself.
func Within(a Account, list []Trouble, from, to float64) (over float64, met []Trouble) {
	over = Over(a, Trouble{Kind: Calm})
	for _, t := range list {
		if t.touches(from, to) {
			t.From, t.To = max(t.From, from-t.Settle()), min(t.To, to)
			over += Over(a, t)
			met = append(met, t)
		}
	}
	alone := float64(max(a.Gateways, 1)-1) * (a.Burst + a.Rate*(to-from))
	if !slices.ContainsFunc(met, func(t Trouble) bool { return t.Kind == OwnerBack || t.Kind == MemberLost }) { // who starts again has a window anew
		over = min(over, alone+a.Largest)
	}
	return over, met
}

// Refused sums what troubles allow to be refused of an account's quota within a time, calm included.
func Refused(a Account, list []Trouble, from, to float64) (under float64) {
	under = Under(a, Trouble{Kind: Calm}) * max(1, (to-from)/10)
	for _, t := range list {
		if t.touches(from, to) {
			t.From, t.To = max(t.From, from-t.Settle()), min(t.To, to)
			under += Under(a, t)
		}
	}
	return under
}

// Places is how many attempts beyond its cap an account may have out in one failure, for as long as places are lent. Attempts that are out on no
// place are told of, and no other begins before they end.
func Places(a Account, t Trouble) float64 {
	if a.Parallel == 0 || a.Gateways < 2 {
		return 0
	}
	switch t.Kind {
	case Calm: // members that heard within FreshS that places are free begin one without a question
		return min(1+a.Asks*FreshS/2, float64(a.Gateways))
	case OwnerLost, OwnerBack: // who takes over knows nothing of what was lent before
		return float64(a.Parallel)
	case Split: // each side has an owner of its own
		return float64((max(t.Sides, 2) - 1) * a.Parallel)
	case Fog: // renewals are lost, and some go to a stand-in: both as often as a report stays unanswered twice
		return float64(a.Parallel) * min(1, 0.5+2*twice(t.Loss))
	}
	return 0
}

// Idle is for how many seconds one place may stand idle after one attempt, or one failure, while others wait for it.
func Idle(a Account, t Trouble) float64 {
	switch t.Kind {
	case Calm: // the word of an attempt's end comes at once
		return 2 * DelayS
	case MemberLost: // with places that nobody gives back
		return LentS + GraceS
	case OwnerLost: // until it is noticed, and the next on the ring lends what it has
		return NoticeS + DelayS
	case OwnerBack: // it lends nothing until all that its former life lent is over
		return LentS
	case Fog:
		return (LentS + GraceS) * t.Loss
	}
	return RetryS
}

// PlacesWithin sums what troubles allow of an account's places at a time, calm included. No failure lets more out than every gateway by itself.
func PlacesWithin(a Account, list []Trouble, at float64) (beyond float64, met []Trouble) {
	beyond = Places(a, Trouble{Kind: Calm})
	for _, t := range list {
		if t.touches(at, at) {
			beyond += Places(a, t)
			met = append(met, t)
		}
	}
	return min(beyond, float64(a.Gateways*max(a.Parallel, 1))), met
}
