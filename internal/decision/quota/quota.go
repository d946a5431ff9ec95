// Package quota counts the use of one account's quota at its owner, the gateway that keeps the count
// for all gateways of the account. It does no I/O and decides nothing: package policy compares the
// count with a request. Times are seconds of the caller's clock, amounts are the plan's units.
package quota

import (
	"math"

	"eiderspread/internal/decision/decay"
)

// Ledger is the owner's count of one account. The caller refills Available at the plan's rate and
// bounds it by the plan's burst.
type Ledger struct {
	Available  float64 // units that may be admitted now; below 0 while the account is in debt
	UpdatedAt  float64 // when Available was last refilled, seconds
	StartedAt  float64 // when this count began, seconds
	Demand     float64 // units per second requested of all members, decaying, at DemandAt
	DemandAt   float64 // seconds
	Members    map[int]*Member
	Prefetched decay.Window // units granted ahead of requests: they reduce the bound on Available
}

// Member is what another gateway of the account has reported.
type Member struct {
	Incarnation uint8   // changes when the member restarts without its state
	Total       float64 // units admitted in all, as last reported, and granted to it since
	Demand      float64 // units per second requested of it
	ReportedAt  float64 // seconds
}

// NewLedger returns a count without members that begins at time now.
func NewLedger(available, now float64) *Ledger {
	return &Ledger{Available: available, UpdatedAt: now, StartedAt: now, Members: map[int]*Member{}}
}

// ActiveMembers returns how many members have reported within the last withinS seconds.
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

// DemandNow returns the units per second requested of members, decayed with time constant tauS.
func (l *Ledger) DemandNow(now, tauS float64) float64 {
	return max(l.Demand, 0) * math.Exp((l.DemandAt-now)/tauS)
}

// ApplyReport updates a member and the ledger's demand from the member's report, and returns the
// units admitted beyond what was known; below 0 if the member returns units. It does not charge them.
func (l *Ledger) ApplyReport(m *Member, total, demand, now, tauS float64) float64 {
	delta := TotalDelta(total - m.Total)
	l.Demand = l.DemandNow(now, tauS) + demand - m.Demand*math.Exp((m.ReportedAt-now)/tauS)
	l.DemandAt = now
	*m = Member{Incarnation: m.Incarnation, Total: total, Demand: demand, ReportedAt: now}
	return delta
}

// Charge takes units off Available; units below 0 are returned to it. Members may admit more than is
// available: the excess becomes a debt that the refill pays first. A charge adds no debt beyond maxDebt, so
// that the debt of a failure ends; units beyond it are forgiven.
func (l *Ledger) Charge(units, maxDebt float64) {
	l.Available = max(l.Available-units, min(l.Available, -maxDebt))
}

// Peer messages carry totals in steps of a quarter of a unit, modulo 2^16 steps.
const wireStepsPerUnit = 4

// TotalDelta returns the true difference of two totals, of which one has been rounded and wrapped by a
// peer message. It is exact while the totals are less than 8192 units apart.
func TotalDelta(difference float64) float64 {
	return float64(int16(int64(math.Floor(difference*wireStepsPerUnit+0.5)))) / wireStepsPerUnit
}

// Snapshot returns the count as plain figures, for the process that replaces this one. The order of the
// figures is part of the stored form.
func (l *Ledger) Snapshot() (figures []float64, members map[int][5]float64) {
	members = map[int][5]float64{}
	for gateway, m := range l.Members {
		members[gateway] = [5]float64{float64(m.Incarnation), m.Total, m.Demand, 0, m.ReportedAt} // the fourth is unused
	}
	return []float64{l.Available, l.UpdatedAt, l.StartedAt, l.Demand, l.DemandAt}, members
}

// RestoreLedger is the inverse of Snapshot. Missing figures are 0; Prefetched is empty.
func RestoreLedger(figures []float64, members map[int][5]float64) *Ledger {
	l := NewLedger(0, 0)
	for i, field := range []*float64{&l.Available, &l.UpdatedAt, &l.StartedAt, &l.Demand, &l.DemandAt} {
		if i < len(figures) {
			*field = figures[i]
		}
	}
	for gateway, f := range members {
		l.Members[gateway] = &Member{Incarnation: uint8(f[0]), Total: f[1], Demand: f[2], ReportedAt: f[4]}
	}
	return l
}
