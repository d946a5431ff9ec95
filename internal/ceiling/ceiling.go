// Package ceiling is a gateway's book of one account's hard ceiling. Parts of it stand at each of the account's gateways, and one at the first on
// its ring, from which grants are paid; they add up to the ceiling whoever is silent, lost or started anew, and each begins empty, since a former
// life may just have spent it. The package does no I/O and takes time as a value (seconds); units are the plan's. Who may send is not decided here.
package ceiling

import (
	"eiderspread/internal/fade"
	"eiderspread/internal/tally"
)

// AheadS is for how long what is lent ahead may be used.
const AheadS = 1.0

// lateS is how much later what was lent may still be sent on: a word's way, and a wait for a server.
const lateS = 0.5

// Share of a ceiling that grants of the first gateway on the ring are paid from.
const Share = 0.5

// Terms are what a ceiling is for one gateway.
type Terms struct {
	Rate, Burst float64 // 0: there is none
	Gateways    int     // that the account comes through; below 1 stands for 1
	First       bool    // this gateway is the first on the account's ring
	Largest     float64 // units of the largest request
}

// Shared is the part of the ceiling that the first gateway pays grants from. Where a gateway's part of the rest would not hold half of the
// largest request, as with very many gateways, it is all of it.
func (t Terms) Shared() float64 {
	if 2*t.Burst*(1-Share) < t.Largest*float64(max(t.Gateways, 1)) {
		return 1
	}
	return Share
}

// own is this gateway's part of the rest.
func (t Terms) own() float64 { return (1 - t.Shared()) / float64(max(t.Gateways, 1)) }

// Ceiling is what this gateway holds of it.
type Ceiling struct {
	Own  tally.Bucket // its own part
	Pool tally.Bucket // the shared part, at the first gateway
	Owed float64      // units let in that no part has paid for yet

	ahead fade.Log // lent from the shared part for use later
}

// New returns parts that are empty at a time.
func New(at float64) Ceiling { return Ceiling{Own: tally.Bucket{At: at}, Pool: tally.Bucket{At: at}} }

// Holds brings the own part up to now and tells whether it holds the units.
func (c *Ceiling) Holds(t Terms, now, units float64) bool {
	return t.Rate <= 0 || units <= c.Own.Fill(now, t.Rate*t.own(), t.Burst*t.own())
}

// PoolHolds does so for the shared part, which stands at the first gateway alone. What was lent ahead and may be sent on all at once keeps its
// place below the brim.
func (c *Ceiling) PoolHolds(t Terms, now, units float64) bool {
	return t.First && t.Rate > 0 && units <= c.Pool.Fill(now, t.Rate*t.Shared(), t.Burst*t.Shared()-c.ahead.Within(now, AheadS+lateS))
}

// Soon tells whether the parts that this gateway pays from will hold the units within so many seconds, behind all that is owed already.
func (c *Ceiling) Soon(t Terms, now, units, left float64) bool {
	if t.Rate <= 0 {
		return true
	}
	c.Holds(t, now, 0)
	have, most, all := c.Own.Level, t.own(), t.own()
	if t.First {
		c.PoolHolds(t, now, 0)
		have, most, all = have+c.Pool.Level, t.Shared(), t.own()+t.Shared()
	}
	return units <= t.Burst*most && c.Owed+units <= have+t.Rate*all*max(left, 0)
}

// Pay takes units that are owed off a part that holds them: the caller has seen to that.
func (c *Ceiling) Pay(t Terms, now, units float64) {
	if c.Owed -= units; c.Holds(t, now, units) {
		c.Own.Level -= units
	} else {
		c.Pool.Level -= units
	}
}

// Lend takes as much of the units off the shared part as it holds, if it holds the first of them, and returns how many; 0 if not.
func (c *Ceiling) Lend(t Terms, now, units, first float64) float64 {
	if !c.PoolHolds(t, now, first) {
		return 0
	}
	units = min(units, float64(int(c.Pool.Level*4))/4)
	c.Pool.Level -= units
	return units
}

// LendAhead is Lend of units that are used within AheadS.
func (c *Ceiling) LendAhead(t Terms, now, units float64) float64 {
	units = c.Lend(t, now, units, 1)
	c.ahead.Add(now, units)
	return units
}

// Full tells that all parts here are as full as those of an account never heard of become.
func (c *Ceiling) Full(t Terms, now float64) bool {
	const eps = 1e-9
	c.Holds(t, now, 0)
	c.PoolHolds(t, now, 0)
	return t.Rate <= 0 || c.Own.Level >= t.Burst*t.own()-eps && (!t.First || c.Pool.Level >= t.Burst*t.Shared()-eps)
}
