package forward

import (
	"math"

	"cometpond/internal/link"
)

// usage is what this forwarder passed on of late, by customer: the source of tales. A slot is a (Slots-1)th of the
// longest window, so that all slots hold the whole window whatever part of the newest has passed. It is bounded
// by most customers; beyond, what it tells is marked as not complete for as long as that may matter.
type usage struct {
	slot    float64 // seconds
	most    int
	by      map[string]*used
	lossyAt float64 // when something was last left out
	swept   float64
}

type used struct {
	slots [link.Slots]float64 // newest first, of index at
	at    int64
	plan  int
}

func newUsage(windowS, born float64, most int) usage {
	return usage{slot: windowS / (link.Slots - 1), most: most, by: map[string]*used{}, lossyAt: born}
}

func (u *usage) span() float64 { return u.slot * link.Slots }

// shift brings the slots up to index.
func (c *used) shift(index int64) {
	n := index - c.at
	if n <= 0 {
		return
	}
	old := c.slots
	c.slots = [link.Slots]float64{}
	for i := range old {
		if to := int64(i) + n; to < link.Slots {
			c.slots[to] = old[i]
		}
	}
	c.at = index
}

func (u *usage) index(now float64) int64 { return int64(math.Floor(now / u.slot)) }

func (u *usage) add(now float64, customer string, plan int, units float64) {
	c := u.by[customer]
	if c == nil {
		u.sweep(now)
		if len(u.by) >= u.most {
			u.lossyAt = now
			return
		}
		c = &used{at: u.index(now), plan: plan}
		u.by[customer] = c
	}
	c.shift(u.index(now))
	c.plan = plan
	c.slots[0] += units
}

// sweep forgets customers whose slots are all empty by now, a few times a window.
func (u *usage) sweep(now float64) {
	if now < u.swept+u.slot {
		return
	}
	u.swept = now
	for name, c := range u.by {
		if u.index(now)-c.at >= link.Slots {
			delete(u.by, name)
		}
	}
}

// complete tells that nothing was left out, by a restart or for want of room, that still matters.
func (u *usage) complete(now float64) bool { return now >= u.lossyAt+u.span() }

// each calls f for all that was passed on within the window.
func (u *usage) each(now float64, f func(customer string, plan int, slots [link.Slots]float64)) {
	for name, c := range u.by {
		if c.shift(u.index(now)); c.slots != [link.Slots]float64{} {
			f(name, c.plan, c.slots)
		}
	}
}
