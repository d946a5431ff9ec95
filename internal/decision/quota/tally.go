// Package tally keeps an owner's count of one account: the room of its window, what it is asked for, and what each member has told.
// It does no I/O, takes time as a value (seconds) and decides nothing: who is let in is the module's word.
package quota

import (
	"math"

	"eiderspread/internal/decision/decay"
)

// Ledger is an owner's count: the window opens evenly, and what is unused carries over up to one burst. Units are the plan's.
type Ledger struct {
	Available, UpdatedAt, StartedAt float64
	Demand, DemandAt                float64 // units a second that members are asked for, fading
	Members                         map[int]*Member
	Prefetched                      decay.Window // units set aside for what is still to come: they keep their place below the window's brim
}

// Member is what another gateway has told of the account.
type Member struct {
	Incarnation uint8   // its life
	Total       float64 // as last told, and what was set aside for it since
	Demand      float64 // units a second that it is asked for
	ReportedAt  float64 // when it last told
}

// NewLedger returns an empty count with so much room.
func NewLedger(room, now float64) *Ledger {
	return &Ledger{Available: room, UpdatedAt: now, StartedAt: now, Members: map[int]*Member{}}
}

// ActiveMembers counts the members heard within so many seconds.
func (l *Ledger) ActiveMembers(now, within float64) (n int) {
	for _, m := range l.Members {
		if now-m.ReportedAt < within {
			n++
		}
	}
	return n
}

// DropInactive forgets members that were not heard for so many seconds.
func (l *Ledger) DropInactive(now, after float64) {
	for i, m := range l.Members {
		if now-m.ReportedAt > after {
			delete(l.Members, i)
		}
	}
}

// DemandNow is what members are asked for, faded with a time constant in seconds.
func (l *Ledger) DemandNow(now, tau float64) float64 {
	return max(l.Demand, 0) * math.Exp((l.DemandAt-now)/tau)
}

// ApplyReport takes a member's report into the sums and returns the units that it is beyond what was known; below 0 when it hands back.
func (l *Ledger) ApplyReport(m *Member, total, rate, now, tau float64) float64 {
	delta := TotalDelta(total - m.Total)
	l.Demand = l.DemandNow(now, tau) + rate - m.Demand*math.Exp((m.ReportedAt-now)/tau)
	l.DemandAt = now
	*m = Member{Incarnation: m.Incarnation, Total: total, Demand: rate, ReportedAt: now}
	return delta
}

// Charge takes units off the room; below 0 gives back. What members let in that the room did not hold is owed, up to so many units: the window
// fills that up first. More than that is forgiven, so that the debts of a failure end.
func (l *Ledger) Charge(units, most float64) {
	l.Available = max(l.Available-units, min(l.Available, -most))
}

// Bucket is a store of units that one gateway keeps for itself.
type Bucket struct{ Level, UpdatedAt float64 }

// Refill brings it up to now and returns what it holds.
func (b *Bucket) Refill(now, rate, most float64) float64 {
	b.Level, b.UpdatedAt = min(most, b.Level+rate*(now-b.UpdatedAt)), now
	return b.Level
}

// TotalDelta rounds a difference of two totals, of which one has come over the wire in quarters of a unit and may have wrapped there.
func TotalDelta(x float64) float64 { return float64(int16(int64(math.Floor(x*4+0.5)))) / 4 }

// Snapshot is the count as plain figures, for another process that takes it over.
func (l *Ledger) Snapshot() (figures []float64, members map[int][5]float64) {
	members = map[int][5]float64{}
	for i, m := range l.Members {
		members[i] = [5]float64{float64(m.Incarnation), m.Total, m.Demand, 0, m.ReportedAt}
	}
	return []float64{l.Available, l.UpdatedAt, l.StartedAt, l.Demand, l.DemandAt}, members
}

// RestoreLedger takes back what Pack gave; figures that are missing are 0.
func RestoreLedger(figures []float64, members map[int][5]float64) *Ledger {
	l := NewLedger(0, 0)
	for i, to := range []*float64{&l.Available, &l.UpdatedAt, &l.StartedAt, &l.Demand, &l.DemandAt} {
		if i < len(figures) {
			*to = figures[i]
		}
	}
	for i, f := range members {
		l.Members[i] = &Member{Incarnation: uint8(f[0]), Total: f[1], Demand: f[2], ReportedAt: f[4]}
	}
	return l
}
