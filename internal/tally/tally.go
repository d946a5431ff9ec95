// Package tally keeps an owner's count of one account: the room of its window, what it is asked for, and what each member has told.
// It does no I/O, takes time as a value (seconds) and decides nothing: who is let in is the module's word.
package tally

import (
	"math"
)

// Ledger is an owner's count: the window opens evenly, and what is unused carries over up to one burst. Units are the plan's.
type Ledger struct {
	Room, At, Born   float64
	Demand, DemandAt float64 // units a second that members are asked for, fading
	Members          map[int]*Member
}

// Member is what another gateway has told of the account.
type Member struct {
	Boot  uint8   // its life
	Total float64 // as last told, and what was set aside for it since
	Rate  float64 // units a second that it is asked for
	Out   int     // its attempts out
	At    float64 // when it last told
}

// New returns an empty count with so much room.
func New(room, now float64) *Ledger {
	return &Ledger{Room: room, At: now, Born: now, Members: map[int]*Member{}}
}

// Outs sums the attempts that members heard within so many seconds have out, but for one of them.
func (l *Ledger) Outs(now, within float64, but int) (n int) {
	for i, m := range l.Members {
		if i != but && now-m.At < within {
			n += m.Out
		}
	}
	return n
}

// Heard counts the members heard within so many seconds.
func (l *Ledger) Heard(now, within float64) (n int) {
	for _, m := range l.Members {
		if now-m.At < within {
			n++
		}
	}
	return n
}

// Drop forgets members that were not heard for so many seconds.
func (l *Ledger) Drop(now, after float64) {
	for i, m := range l.Members {
		if now-m.At > after {
			delete(l.Members, i)
		}
	}
}

// DemandNow is what members are asked for, faded with a time constant in seconds.
func (l *Ledger) DemandNow(now, tau float64) float64 {
	return max(l.Demand, 0) * math.Exp((l.DemandAt-now)/tau)
}

// Told takes a member's report into the sums and returns the units that it is beyond what was known; below 0 when it hands back.
func (l *Ledger) Told(m *Member, total, rate float64, out int, now, tau float64) float64 {
	delta := Quarters(total - m.Total)
	l.Demand = l.DemandNow(now, tau) + rate - m.Rate*math.Exp((m.At-now)/tau)
	l.DemandAt = now
	*m = Member{Boot: m.Boot, Total: total, Rate: rate, Out: out, At: now}
	return delta
}

// Spend takes units off the room, which they may not bring below 0; below 0 gives back.
func (l *Ledger) Spend(units float64) { l.Room = max(l.Room-units, min(l.Room, 0)) }

// Quarters rounds a difference of two totals, of which one has come over the wire in quarters of a unit and may have wrapped there.
func Quarters(x float64) float64 { return float64(int16(int64(math.Floor(x*4+0.5)))) / 4 }
