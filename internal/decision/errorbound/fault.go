package errorbound

import "fmt"

// FaultKind is a kind of failure among an account's gateways.
type FaultKind int

// The kinds of failure.
const (
	NoFault        FaultKind = iota
	OwnerLost                // the gateway that counts the account dies
	OwnerRestarted           // the gateway that counts the account restarts without its state
	MemberLost               // another gateway of the account dies before it has reported all units that it admitted
	Partition                // the gateways are split into groups that can't reach each other
	MessageLoss              // messages are lost, delayed and duplicated
	FaultKinds               // number of kinds
)

var faultNames = [FaultKinds]string{"calm", "owner lost", "owner back", "member lost", "split", "fog"}

// String returns the kind's name, as reports and tables print it.
func (k FaultKind) String() string {
	if k >= 0 && k < FaultKinds {
		return faultNames[k]
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Fault is one failure that lasts from From to To, in seconds. Both are equal for an instantaneous failure.
type Fault struct {
	Kind     FaultKind
	From, To float64
	Sides    int     // number of groups of a Partition; below 2 counts as 2
	LossRate float64 // fraction of messages lost, 0 to 1, of MessageLoss
}

// RecoveryS returns for how long after its end the fault still has effects, in seconds: until a suspected gateway
// is tried again and a report has been answered.
func (f Fault) RecoveryS() float64 { return SuspicionS + GrantMaxAgeS + ReportIntervalS }

// overlaps reports whether the fault has effects between from and to.
func (f Fault) overlaps(from, to float64) bool { return f.From <= to && f.To+f.RecoveryS() >= from }

// clip returns the part of the fault that has effects between from and to. The fault must overlap that time.
func (f Fault) clip(from, to float64) Fault {
	f.From, f.To = max(f.From, from-f.RecoveryS()), min(f.To, to)
	return f
}
