// Package quota counts the use of an account's quota at the account's owner, the gateway that keeps the count
// for all gateways of the account. It does no I/O and makes no decisions: package policy compares requests with
// the count. Times are seconds of the caller's clock, amounts are the plan's units.
package quota

import (
	"math"

	"eiderspread/internal/decision/decay"
)

// Ledger is the owner's count of one account. The caller refills Available at the plan's rate and limits it to
// the plan's burst less the prefetched units.
type Ledger struct {
	Available  float64 // units that may be admitted now; below 0 while the account is in debt
	UpdatedAt  float64 // when Available was last refilled, seconds
	StartedAt  float64 // when this count began, seconds
	Demand     float64 // units per second requested of all members, decayed to DemandAt
	DemandAt   float64 // seconds
	Members    map[int]*Member
	Prefetched decay.Window // units granted in advance of requests; they reduce the limit on Available
}

// Member is the last state reported by another gateway of the account.
type Member struct {
	Incarnation uint8   // changes when the member restarts without its state
	Total       float64 // total units admitted, as last reported, plus units granted to the member since that report
	Demand      float64 // units per second requested at this member
	ReportedAt  float64 // time of the last report, seconds
}

// NewLedger returns a ledger without members whose count begins at time now.
func NewLedger(available, now float64) *Ledger {
	return &Ledger{Available: available, UpdatedAt: now, StartedAt: now, Members: map[int]*Member{}}
}

// ActiveMembers returns the number of members that have reported within the last withinS seconds.
func (l *Ledger) ActiveMembers(now, withinS float64) (n int) {
	for _, m := range l.Members {
		if now-m.ReportedAt < withinS {
			n++
		}
	}
	return n
}

// DropInactive removes members that have not reported for more than afterS seconds.
func (l *Ledger) DropInactive(now, afterS float64) {
	for gateway, m := range l.Members {
		if now-m.ReportedAt > afterS {
			delete(l.Members, gateway)
		}
	}
}

// DemandNow returns the units per second requested of all members, decayed to time now with time constant tauS.
func (l *Ledger) DemandNow(now, tauS float64) float64 {
	return max(l.Demand, 0) * math.Exp((l.DemandAt-now)/tauS)
}

// ApplyReport updates a member and the ledger's demand from the member's report. It returns the units by which
// the reported total differs from the known one, below 0 if the member returns units, and does not charge them.
func (l *Ledger) ApplyReport(m *Member, total, demand, now, tauS float64) float64 {
	delta := TotalDelta(total - m.Total)
	l.Demand = l.DemandNow(now, tauS) + demand - m.Demand*math.Exp((m.ReportedAt-now)/tauS)
	l.DemandAt = now
	*m = Member{Incarnation: m.Incarnation, Total: total, Demand: demand, ReportedAt: now}
	return delta
}

// Charge subtracts units from Available; negative units are added back. Members may admit more than is available:
// Available then falls below 0, and the refill first pays off this debt. A charge does not raise the debt above
// maxDebt, which bounds the recovery time after a failure; units beyond maxDebt are not charged.
func (l *Ledger) Charge(units, maxDebt float64) {
	l.Available = max(l.Available-units, min(l.Available, -maxDebt))
}

// wireStepsPerUnit is the resolution of totals in peer messages: quarters of a unit, modulo 2^16 quarters.
const wireStepsPerUnit = 4

// TotalDelta returns the true difference of two totals, in quarters of a unit, from their computed difference,
// where one of the totals was rounded and wrapped by a peer message. The result is exact while the totals are
// less than 8192 units apart.
func TotalDelta(difference float64) float64 {
	return float64(int16(int64(math.Floor(difference*wireStepsPerUnit+0.5)))) / wireStepsPerUnit
}

// Snapshot returns the ledger as plain numbers, for the successor process. The order of the numbers is part of
// the stored format.
func (l *Ledger) Snapshot() (values []float64, members map[int][5]float64) {
	members = map[int][5]float64{}
	for gateway, m := range l.Members {
		members[gateway] = [5]float64{float64(m.Incarnation), m.Total, m.Demand, 0, m.ReportedAt} // the fourth number is unused
	}
	return []float64{l.Available, l.UpdatedAt, l.StartedAt, l.Demand, l.DemandAt}, members
}

// RestoreLedger is the inverse of Snapshot. Missing numbers are 0; Prefetched is empty.
func RestoreLedger(values []float64, members map[int][5]float64) *Ledger {
	l := NewLedger(0, 0)
	for i, field := range []*float64{&l.Available, &l.UpdatedAt, &l.StartedAt, &l.Demand, &l.DemandAt} {
		if i < len(values) {
			*field = values[i]
		}
	}
	for gateway, f := range members {
		l.Members[gateway] = &Member{Incarnation: uint8(f[0]), Total: f[1], Demand: f[2], ReportedAt: f[4]}
	}
	return l
}
