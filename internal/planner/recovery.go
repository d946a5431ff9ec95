package planner

import (
	"math"

	"cometpond/internal/link"
	"cometpond/policy"
)

const (
	debtSlots = 2 * link.Slots
	// mostDebts bounds the customers of one cell of whom tales are kept; beyond, a tale does not count as complete.
	mostDebts = 64 << 10
	firstMost = 63 // units that the module takes as new in one message; see policy.Count
)

// recovery works out what a new leader must take for used of the windows of its cell's customers, by what
// forwarders tell of what they passed on before. The rule and its proof are in docs/two-levels.md: until all have
// told, every window is taken to have been empty when the lead began; then what was told is replayed.
type recovery struct {
	plans   []policy.Plan
	slot    float64 // of a tale, in seconds
	base    int64   // index of the first slot, counted in slots of Unix time
	leadAt  float64 // when the lead began, +Inf before
	told    []bool  // by forwarder: its tale is over
	missing int     // forwarders that have not told all
	by      map[string]*debt
}

type debt struct {
	plan  int
	slots [debtSlots]float64 // units, each slot at its end
	outs  int                // attempts that are out under earlier epochs
	seen  bool               // the module was told
	total float64            // as the module was last told
}

// count is what the module is to be told of a customer, in the words of policy.Count.
type count struct {
	customer     string
	plan         int
	total, fresh float64
	outs         int
}

func newRecovery(now float64, forwarders int, plans []policy.Plan, windowS float64) *recovery {
	slot := windowS / (link.Slots - 1)
	return &recovery{plans: plans, slot: slot, base: int64(now/slot) - link.Slots, leadAt: math.Inf(1),
		told: make([]bool, forwarders), missing: forwarders, by: map[string]*debt{}}
}

// over tells that every window is full again whatever was used before the lead.
func (r *recovery) over(now float64) bool { return now > r.leadAt+r.slot*link.Slots }

// tale takes a customer's part of a forwarder's tale: units by age, each taken for as young as it can be.
func (r *recovery) tale(now float64, f int, m *link.Msg) {
	if r.told[f] || int(m.Plan) >= len(r.plans) {
		return
	}
	c := r.by[m.Name]
	if c == nil {
		if len(r.by) >= mostDebts {
			r.told[f] = true // and never completely
			return
		}
		c = &debt{}
		r.by[m.Name] = c
	}
	c.plan = int(m.Plan)
	c.outs += int(min(m.N, 1<<16))
	for age, units := range m.Units {
		if units > 0 {
			at := now - float64(max(age-1, 0))*r.slot
			i := int64(math.Ceil(at/r.slot)) - r.base
			c.slots[min(max(i, 0), debtSlots-1)] += units
		}
	}
}

// end notes the end of a forwarder's tale. When it was the last that was missing, it returns what the module is to
// be told of the customers that were taken for emptier than they were.
func (r *recovery) end(now float64, f int, complete bool) (back []count) {
	if r.told[f] {
		return nil
	}
	r.told[f] = true
	if !complete {
		return nil
	}
	if r.missing--; r.missing > 0 || math.IsInf(r.leadAt, 1) {
		return nil
	}
	return r.settle(now)
}

// settle gives back what was taken too much, once all is known.
func (r *recovery) settle(now float64) (back []count) {
	for name, c := range r.by {
		if !c.seen {
			continue
		}
		p := r.plans[c.plan]
		free := min(p.Burst, p.Rate*(now-r.leadAt)) // as the module has it, less what it let in itself
		if credit := math.Floor((r.replay(now, c)-free)*4) / 4; credit > 0 {
			c.total -= credit
			back = append(back, count{name, c.plan, c.total, 0, c.outs})
		}
	}
	return back
}

// lead notes that the lead begins; all tales may have come by then.
func (r *recovery) lead(now float64) { r.leadAt = now }

// replay is the room of a customer's window by what was told: at most what it truly is.
func (r *recovery) replay(now float64, c *debt) float64 {
	p := r.plans[c.plan]
	room, at := p.Burst, float64(r.base)*r.slot
	for i, units := range c.slots {
		if units == 0 {
			continue
		}
		t := min(float64(r.base+int64(i))*r.slot, now)
		room = min(p.Burst, room+p.Rate*(t-at)) - units
		at = t
	}
	return min(p.Burst, room+p.Rate*(now-at))
}

// first returns what the module is to be told of a customer before its first request: two counts at most.
func (r *recovery) first(now float64, customer string, plan int) []count {
	c := r.by[customer]
	if c == nil {
		if len(r.by) >= 2*mostDebts {
			return nil // of the customers that came new within one window
		}
		c = &debt{plan: plan}
		r.by[customer] = c
	}
	if c.seen {
		return nil
	}
	c.seen, c.plan = true, plan
	p := r.plans[plan]
	if p.Rate <= 0 {
		if c.outs > 0 {
			return []count{{customer, plan, 0, 0, c.outs}}
		}
		return nil
	}
	room := r.replay(now, c)
	if r.missing > 0 {
		room = min(room, p.Rate*(now-r.leadAt))
	}
	c.total = math.Ceil(max(p.Burst-room, 0)*4) / 4
	if c.total == 0 && c.outs == 0 {
		return nil
	}
	fresh := min(c.total, firstMost)
	list := []count{{customer, plan, fresh, fresh, c.outs}}
	if c.total > fresh {
		list = append(list, count{customer, plan, c.total, 0, c.outs})
	}
	return list
}

// settled takes the end of an attempt that was out under an earlier epoch.
func (r *recovery) settled(customer string) []count {
	c := r.by[customer]
	if c == nil || c.outs == 0 {
		return nil
	}
	if c.outs--; !c.seen {
		return nil
	}
	return []count{{customer, c.plan, c.total, 0, c.outs}}
}
