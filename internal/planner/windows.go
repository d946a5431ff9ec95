package planner

import (
	"maps"
	"math"
	"slices"

	"eiderspread/internal/link"
	"eiderspread/policy"
)

const (
	// mostWindows bounds the customers of one cell whose windows are kept; beyond, those of new ones are taken to
	// have been empty when the lead began.
	mostWindows = 64 << 10
	firstMost   = 63  // units that the module takes as new in one message; see policy.Count
	sweepS      = 1.0 // between two looks for windows that are full again
	outsS       = 3.0 // how long a forwarder's word on attempts out is believed, as in the module
)

// windows is what the leader of a cell knows of its customers' windows beside its module: what was told of them at the
// start of the lead, and what was passed on since. It works out what the module must take for used before, and what
// forwarders are told with each pass, so that the next leader can know it. The rule and its proof are in
// docs/two-levels.md.
type windows struct {
	plans   []policy.Plan
	span    float64 // the longest window
	leadAt  float64 // when the lead began, +Inf before
	told    []bool  // by forwarder: its tale is over
	missing int     // forwarders that have not told all
	by      map[string]*window
	swept   float64
	passes  uint32 // under this lead
}

// window is one customer's. What earlier leaders had is kept as the latest that was told of it.
type window struct {
	plan     int
	known    bool // something was told
	epoch    uint64
	toldSeq  uint32
	debt, at float64 // as told: units not yet filled up again, at that time
	outs     []outs  // attempts that are out and that this lead did not decide
	seen     bool    // the module knows the customer
	total    float64 // units that the module was told were used before
	room     float64 // while seen: no more than is left of the whole window, what is owed by earlier leads included
	roomAt   float64
}

// outs is what one forwarder last told of attempts out.
type outs struct {
	forwarder, n int
	at           float64
}

// out sums what is believed of attempts out.
func (c *window) out(now float64) (n int) {
	for _, o := range c.outs {
		if now < o.at+outsS {
			n += o.n
		}
	}
	return n
}

// count is what the module is to be told of a customer, in the words of policy.Count.
type count struct {
	customer     string
	plan         int
	total, fresh float64
	outs         int
}

func newWindows(forwarders int, plans []policy.Plan, span float64) *windows {
	return &windows{plans: plans, span: span, leadAt: math.Inf(1), told: make([]bool, forwarders), missing: forwarders,
		by: map[string]*window{}}
}

// over tells that every window is full again whatever was used before the lead.
func (w *windows) over(now float64) bool { return now > w.leadAt+w.span }

// lead notes that the lead begins; tales of all forwarders may have come by then.
func (w *windows) lead(now float64) { w.leadAt = now }

// tale takes a customer's part of a forwarder's tale. Of several forwarders' the one of the latest pass holds: it was
// decided by a leader that knew of all passes before it.
func (w *windows) tale(now float64, f int, m *link.Msg) {
	if w.told[f] || int(m.Plan) >= len(w.plans) {
		return
	}
	c := w.by[m.Name]
	if c == nil {
		if len(w.by) >= mostWindows {
			w.told[f] = true // and never completely
			return
		}
		c = &window{plan: int(m.Plan)}
		w.by[m.Name] = c
	}
	if !c.known || m.Handle > c.epoch || m.Handle == c.epoch && m.Round > c.toldSeq {
		c.known, c.plan, c.epoch, c.toldSeq, c.debt, c.at = true, int(m.Plan), m.Handle, m.Round, m.Value, now-m.Wait
	}
}

// end notes the end of a forwarder's tale. When it was the last that was missing, it returns what the module is to be
// told of the customers whose windows were taken for emptier than they were.
func (w *windows) end(now float64, f int, complete bool) (back []count) {
	if w.told[f] {
		return nil
	}
	w.told[f] = true
	if !complete {
		return nil
	}
	if w.missing--; w.missing > 0 || math.IsInf(w.leadAt, 1) {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(w.by)) {
		c := w.by[name]
		p := w.plans[c.plan]
		if !c.seen || p.Rate <= 0 {
			continue
		}
		empty := min(p.Burst, p.Rate*(now-w.leadAt)) // as was granted, less what was passed on since
		if credit := math.Floor((w.before(now, c)-empty)*4) / 4; credit > 0 {
			c.total -= credit
			w.fill(now, c)
			c.room += credit
			back = append(back, count{name, c.plan, c.total, 0, c.out(now)})
		}
	}
	return back
}

// before is the room of a window by what was told of it: the whole, where nothing was.
func (w *windows) before(now float64, c *window) float64 {
	p := w.plans[c.plan]
	if !c.known {
		return p.Burst
	}
	return min(p.Burst, p.Burst-c.debt+p.Rate*max(now-c.at, 0))
}

func (w *windows) fill(now float64, c *window) {
	p := w.plans[c.plan]
	c.room = min(p.Burst, c.room+p.Rate*(now-c.roomAt))
	c.roomAt = now
}

// first returns what the module is to be told of a customer before a request of it: two counts at most, and nothing
// when it knows the customer already.
func (w *windows) first(now float64, customer string, plan int) []count {
	c := w.by[customer]
	if c == nil {
		w.sweep(now)
		c = &window{plan: plan}
		if len(w.by) < mostWindows {
			w.by[customer] = c
		} else if w.over(now) {
			return nil
		}
	}
	if c.seen {
		return nil
	}
	c.seen, c.plan = true, plan
	p := w.plans[plan]
	c.room, c.roomAt = p.Burst, now
	if p.Rate > 0 {
		c.room = w.before(now, c)
		if w.missing > 0 {
			c.room = min(c.room, p.Rate*(now-w.leadAt))
		}
		c.total = math.Ceil(max(p.Burst-c.room, 0)*4) / 4
	}
	if c.total == 0 && c.out(now) == 0 {
		return nil
	}
	fresh := min(c.total, firstMost)
	list := []count{{customer, plan, fresh, fresh, c.out(now)}}
	if c.total > fresh {
		list = append(list, count{customer, plan, c.total, 0, c.out(now)})
	}
	return list
}

// pass takes units off a window, and returns what the forwarder is told with the pass.
func (w *windows) pass(now float64, customer string, units float64) (seq uint32, debt float64) {
	c := w.by[customer]
	if c == nil || !c.seen || w.plans[c.plan].Rate <= 0 {
		return 0, 0
	}
	w.fill(now, c)
	c.room -= units
	w.passes++
	return w.passes, max(w.plans[c.plan].Burst-c.room, 0)
}

// setOuts takes a forwarder's word on its attempts out of a customer that this lead did not decide.
func (w *windows) setOuts(now float64, f int, customer string, plan, n int) []count {
	c := w.by[customer]
	if c == nil {
		if n == 0 || plan >= len(w.plans) || len(w.by) >= mostWindows {
			return nil
		}
		c = &window{plan: plan}
		w.by[customer] = c
	}
	c.outs = slices.DeleteFunc(c.outs, func(o outs) bool { return o.forwarder == f || now >= o.at+outsS })
	if n > 0 {
		c.outs = append(c.outs, outs{f, n, now})
	}
	if !c.seen {
		return nil
	}
	return []count{{customer, c.plan, c.total, 0, c.out(now)}}
}

// sweep forgets windows that are full again, once what was before the lead matters no more.
func (w *windows) sweep(now float64) {
	if !w.over(now) || now < w.swept+sweepS {
		return
	}
	w.swept = now
	for name, c := range w.by {
		if w.fill(now, c); c.room >= w.plans[c.plan].Burst && c.out(now) == 0 && now > c.at+w.span {
			delete(w.by, name)
		}
	}
}
