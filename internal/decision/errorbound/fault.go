package errorbound

import "fmt"

// FaultKind is a kind of failure among an account's gateways.
type FaultKind int

// The kinds of failure.
const (
	NoFault        FaultKind = iota
	OwnerLost                // the gateway that counts the account dies
	OwnerRestarted           // it comes back without its state
	MemberLost               // another of the account's gateways dies, with what it admitted and has not reported
	Partition                // the gateways are in groups that can't reach each other
	MessageLoss              // messages are lost, late and doubled
	FaultKinds               // how many kinds there are
)

var faultNames = [FaultKinds]string{"calm", "owner lost", "owner back", "member lost", "split", "fog"}

// String returns the kind's name as reports and tables print it.
func (k FaultKind) String() string {
	if k >= 0 && k < FaultKinds {
		return faultNames[k]
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Fault is one failure, from one time to another in seconds. Both are the same for a failure of a moment.
type Fault struct {
	Kind     FaultKind
	From, To float64
	Sides    int     // groups of a Partition; below 2 stands for 2
	LossRate float64 // share of messages lost, 0 to 1, of MessageLoss
}

// RecoveryS returns for how long after its end the fault still has effects, in seconds: until a suspected
// gateway is tried again and a report has been answered.
func (f Fault) RecoveryS() float64 { return SuspicionS + GrantMaxAgeS + ReportIntervalS }

// overlaps reports whether the fault has effects within a time.
func (f Fault) overlaps(from, to float64) bool { return f.From <= to && f.To+f.RecoveryS() >= from }

// clip returns the fault's part that has effects within a time that it overlaps.
func (f Fault) clip(from, to float64) Fault {
	f.From, f.To = max(f.From, from-f.RecoveryS()), min(f.To, to)
	return f
}
