// Package forward is the forwarder's side of two levels: it stands where the decision module stands in a
// one-program ingress, and has planners decide. core.go and usage.go decide (whom to follow, what becomes of
// requests whose planner is lost) without I/O or a clock; remote.go is the link.
package forward

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
	"eiderspread/internal/withhold"
	"eiderspread/policy"
)

const (
	// TickS is how often promises and waiting requests are looked at.
	TickS     = 0.02
	wantS     = 0.5      // how long a planner's wish for a cell stands
	mostOpen  = 16 << 10 // requests told or waiting; further ones are refused
	mostUsers = 64 << 10 // customers of whom is kept what was passed on
	keySlackS = 0.05     // taken off the time for which a key is remembered
	halfShare = 0.5      // of its time, for which a request may wait for a planner
	hintFrom  = 0.5      // share of the longest hint that the fail-safe gives at least
)

// Config is fixed for the life of a Core.
type Config struct {
	fleet.Params
	Number         int // this forwarder's, from 0
	Classes        []policy.Class
	Plans          []policy.Plan
	MaxRetryAfterS float64
	MaxAttempts    int // of a request, whoever decides on them; 0: as many as planners want
	Seed           uint64
}

// Out is what a Core asks for. Calls of policy.Actions end up at the ingress, Link and Room at the planners'
// links. All of it is asked for while one of the Core's methods runs.
type Out interface {
	policy.Actions
	Link(planner int, msgs ...link.Msg)
	Room(planner int) bool         // whether the link keeps up
	Hold(server string, held bool) // nothing is to be written to it any more, or again
}

// Core follows planners. It is not safe for concurrent use; times are Unix seconds of this machine and never go
// back.
type Core struct {
	cfg     Config
	out     Out
	rng     *rand.Rand
	now     float64
	classes map[string]int
	plans   map[string]int
	cells   []cell
	peers   []planner
	byID    map[string]*open // bounded by mostOpen, and what is over but out
	told    map[uint64]*open // by handle: those of byID that a planner knows
	handles uint64
	orphans map[string]orphans // by customer: attempts out whose request no leader knows; bounded by byID
	usage   usage
	beatAt  float64
	cutAt   float64 // when the last link ended, if none stands
	words   withhold.Words
	moved   bool // another process goes on: see Move
	Stats   Stats
}

// Stats counts, from the start on.
type Stats struct {
	Requests     uint64 `json:"Requests"`
	Told         uint64 `json:"Told"`
	Retold       uint64 `json:"Retold"`
	Served       uint64 `json:"Served"`
	Stale        uint64 `json:"Stale"` // Stale: actions of a planner that is not followed
	RefusedUnled uint64 `json:"RefusedUnled"`
	RefusedFull  uint64 `json:"RefusedFull"`
	FailedUnled  uint64 `json:"FailedUnled"` // in the forwarder's own words
	Tales        uint64 `json:"Tales"`       // customers told of to new leaders
}

// cell is one cell as this forwarder sees it. epoch, holder, life and until are the promise.
type cell struct {
	epoch   uint64
	holder  int // -1: none yet
	life    uint64
	until   float64
	led     bool    // the holder has said that it leads, and its link has stood since
	unledAt float64 // since when it is not
	want    int
	wantAt  float64
	waiting []*open // in the order in which they came
}

type orphans struct{ plan, out int }

type planner struct {
	up    bool
	life  uint64
	holds bool // it knows records of holds
}

// open is a request that is owed an answer, or that has attempts out.
type open struct {
	policy.Request
	class, plan, cell int
	handle            uint64 // as the planner knows it, 0: none knows it
	tries             []int  // of this telling: own number by the planner's, -1: not made
	sentAt            []float64
	done              []bool
	out               int
	counted           bool // its units count as passed on
	ran               bool // an attempt may have run
	ranAt             float64
	over              bool
	cameAt, waitFrom  float64
}

// New returns a forwarder's decisions at its start.
func New(cfg Config, now float64, out Out) *Core {
	c := &Core{cfg: cfg, out: out, rng: rand.New(rand.NewPCG(cfg.Seed, 0x2545f4914f6cdd1d)), now: now,
		classes: map[string]int{}, plans: map[string]int{}, cells: make([]cell, cfg.Cells),
		peers: make([]planner, cfg.Planners), byID: map[string]*open{}, told: map[uint64]*open{}, cutAt: now, orphans: map[string]orphans{},
		usage: newUsage(fleet.WindowS(cfg.Plans), now, mostUsers)}
	for i, k := range cfg.Classes {
		c.classes[k.Name] = i
	}
	for i, p := range cfg.Plans {
		c.plans[p.Name] = i
	}
	for i := range c.cells {
		k := &c.cells[i]
		k.holder, k.unledAt, k.want = -1, now, -1
		k.until = now + cfg.LeaseS // this forwarder's life before may have promised the cell to somebody
	}
	return c
}

// ---- Whom to follow ----

// follows tells whether actions of an epoch are to be followed. The one check of fencing on the forwarder's side.
func (c *Core) follows(p int, number uint16, epoch uint64) (*cell, bool) {
	if int(number) >= len(c.cells) {
		return nil, false
	}
	k := &c.cells[number]
	ok := k.led && k.holder == p && k.epoch == epoch && (c.now < k.until || !fleet.Fenced)
	return k, ok
}

// claim answers a planner's claim: a promise that was given is renewed, a new one given if no other runs.
func (c *Core) claim(p int, m *link.Msg) {
	if int(m.Cell) >= len(c.cells) {
		return
	}
	k := &c.cells[m.Cell]
	life := c.peers[p].life
	switch {
	case k.holder == p && k.life == life && k.epoch == m.Epoch:
		if c.now >= k.until && fleet.Fenced {
			c.unlead(int(m.Cell)) // it ran out in between; the planner says anew that it leads
		}
		k.until = c.now + c.cfg.LeaseS
		c.out.Link(p, link.Msg{Kind: link.Grant, Cell: m.Cell, Epoch: m.Epoch, Round: m.Round})
	case m.Epoch > k.epoch && (c.now >= k.until || k.holder == p && k.life == life): // its own former one is over
		c.unlead(int(m.Cell))
		k.epoch, k.holder, k.life, k.until = m.Epoch, p, life, c.now+c.cfg.LeaseS
		c.out.Link(p, link.Msg{Kind: link.Grant, Cell: m.Cell, Epoch: m.Epoch, Round: m.Round})
		c.tale(int(m.Cell))
		c.views(-1, int(m.Cell))
	default:
		c.views(p, int(m.Cell))
	}
}

// tale tells a new holder what was passed on of late in its cell. From the promise on no older epoch is followed.
func (c *Core) tale(number int) {
	k := &c.cells[number]
	c.usage.each(c.now, func(customer string, n used) {
		if c.cfg.CellOf(customer) == number {
			c.Stats.Tales++
			c.out.Link(k.holder, link.Msg{Kind: link.Tale, Cell: uint16(number), Epoch: k.epoch, Name: customer,
				Plan: uint8(n.plan), Handle: n.epoch, Round: n.seq, Value: n.debt, Wait: max(c.now-n.at, 0)})
		}
	})
	c.outs(number)
	c.out.Link(k.holder, link.Msg{Kind: link.TaleEnd, Cell: uint16(number), Epoch: k.epoch,
		Flag: c.usage.complete(c.now)})
}

// outs tells a cell's holder which attempts are out here that it did not decide.
func (c *Core) outs(number int) {
	for _, customer := range slices.Sorted(maps.Keys(c.orphans)) {
		if c.cfg.CellOf(customer) == number {
			c.outsOf(customer, c.orphans[customer])
		}
	}
}

func (c *Core) outsOf(customer string, n orphans) {
	cell := c.cfg.CellOf(customer)
	k := &c.cells[cell]
	c.out.Link(k.holder, link.Msg{Kind: link.Outs, Cell: uint16(cell), Epoch: k.epoch, Name: customer, Plan: uint8(n.plan),
		N: uint32(n.out)})
}

// views tells planner p, or all with -1, how cells stand here: one cell, or all with -1.
func (c *Core) views(p, number int) {
	var msgs []link.Msg
	for i := range c.cells {
		if k := &c.cells[i]; number < 0 || i == number {
			m := link.Msg{Kind: link.View, Cell: uint16(i), Epoch: k.epoch, N: uint32(k.holder + 1),
				Wait: max(k.until-c.now, 0)}
			if k.want >= 0 && c.now < k.wantAt+wantS {
				m.Want = uint16(k.want + 1)
			}
			msgs = append(msgs, m)
		}
	}
	for i := range c.peers {
		if c.peers[i].up && (p < 0 || i == p) {
			c.out.Link(i, msgs...)
		}
	}
}

// lead takes the holder's word that it leads: what waits is told to it.
func (c *Core) lead(p int, m *link.Msg) {
	if int(m.Cell) >= len(c.cells) {
		return
	}
	k := &c.cells[m.Cell]
	if k.led || k.holder != p || k.epoch != m.Epoch || c.now >= k.until && fleet.Fenced {
		return
	}
	k.led = true
	c.outs(int(m.Cell))
	waiting := k.waiting
	k.waiting = nil
	for _, o := range waiting {
		switch {
		case o.over:
		case !c.out.Room(p):
			c.Stats.RefusedFull++
			c.end(o)
		default:
			c.tell(o)
		}
	}
}

// unlead stops following a cell's holder. Requests that it knows are on their own: those with nothing out wait
// for a successor, the others end with their attempts or wait then.
func (c *Core) unlead(number int) {
	k := &c.cells[number]
	if !k.led {
		return
	}
	k.led, k.unledAt = false, c.now
	var lost []*open
	for _, o := range c.told {
		if o.cell == number {
			lost = append(lost, o)
		}
	}
	slices.SortFunc(lost, func(a, b *open) int { return cmp.Compare(a.handle, b.handle) })
	for _, o := range lost {
		if c.peers[k.holder].up {
			c.out.Link(k.holder, link.Msg{Kind: link.Untold, Handle: o.handle})
		}
		c.untell(o)
		if !o.over && o.out == 0 {
			c.again(o)
		}
		c.forget(o)
	}
}

// LinkUp takes a new link to a planner of the given life.
func (c *Core) LinkUp(now float64, p int, life uint64) {
	if c.now = now; c.moved {
		return
	}
	c.peers[p] = planner{up: true, life: life}
	c.out.Link(p, link.Msg{Kind: link.Gone, Handle: link.KnowsHoldsHandle})
	c.views(p, -1)
}

// LinkDown takes the end of a link. The promises stand: they were given to the planner, not to the link.
func (c *Core) LinkDown(now float64, p int) {
	c.now = now
	c.peers[p].up, c.peers[p].holds = false, false
	c.cutAt = now
	for i := range c.cells {
		if c.cells[i].holder == p {
			c.unlead(i)
		}
	}
}

// Msg takes what a planner says.
func (c *Core) Msg(now float64, p int, m *link.Msg) {
	if c.now = now; c.moved {
		return
	}
	switch m.Kind {
	case link.Claim:
		c.claim(p, m)
	case link.Lead:
		c.lead(p, m)
	case link.HoldAsk, link.Hold:
		c.holds(p, m)
	case link.Release:
		if m.Cell == link.KnowsHoldsCell {
			c.peers[p].holds = true
			c.words.Each(func(id string, x withhold.Word) { c.out.Link(p, holdIs(0, id, x)) })
		} else if m.Cell == link.OverloadCell {
			for q := range c.peers {
				if q != p && c.peers[q].up {
					c.out.Link(q, link.Msg{Kind: link.Gone, Handle: m.Epoch})
				}
			}
		} else if int(m.Cell) < len(c.cells) {
			if k := &c.cells[m.Cell]; k.holder == p && k.epoch == m.Epoch {
				k.until = now
				c.unlead(int(m.Cell))
				c.views(-1, int(m.Cell))
			}
		}
	case link.Want:
		if int(m.Cell) < len(c.cells) {
			k := &c.cells[m.Cell]
			k.want, k.wantAt = p, now
		}
	case link.Send, link.Refuse, link.Fail, link.Cancel, link.Probe:
		if _, ok := c.follows(p, m.Cell, m.Epoch); !ok {
			c.Stats.Stale++
			return
		}
		c.act(p, m)
	}
}

// ---- Requests ----

// act carries out what the followed planner decided.
func (c *Core) act(p int, m *link.Msg) {
	if m.Kind == link.Probe {
		c.out.Probe(m.Name)
		return
	}
	o := c.told[m.Handle]
	if o == nil || o.cell != int(m.Cell) {
		return // over since, or of an older telling
	}
	switch m.Kind {
	case link.Send:
		if o.over {
			return
		}
		if o.out > 0 { // never two attempts out, whoever asks
			c.out.Link(p, link.Msg{Kind: link.Outcome, Handle: o.handle, N: uint32(len(o.tries)),
				Class: uint8(policy.Moot)})
			o.tries = append(o.tries, -1)
			return
		}
		if c.spent(o) {
			c.out.Link(p, link.Msg{Kind: link.Gone, Handle: o.handle})
			c.end(o)
			return
		}
		o.counted = true
		if m.Round > 0 {
			c.usage.note(o.Customer, used{o.plan, m.Epoch, m.Round, m.Value, c.now})
		}
		o.tries = append(o.tries, len(o.done))
		o.sentAt, o.done = append(o.sentAt, c.now), append(o.done, false)
		o.out++
		c.out.Send(o.ID, m.Name, m.Wait)
	case link.Refuse:
		if c.mayRefuse(o) {
			c.out.Refuse(o.ID, m.Wait)
		} else {
			c.out.Fail(o.ID)
		}
		o.over = true
	case link.Fail:
		c.out.Fail(o.ID)
		o.over = true
	case link.Cancel:
		if int(m.N) < len(o.tries) && o.tries[m.N] >= 0 && !o.done[o.tries[m.N]] {
			c.out.Cancel(o.ID, o.tries[m.N])
		}
	}
	c.forget(o)
}

// mayRefuse tells whether a refusal, which says that trying again does no harm, would be true.
func (c *Core) mayRefuse(o *open) bool {
	k := &c.cfg.Classes[o.class]
	return !o.ran && o.out == 0 || k.Effect == policy.Safe || k.Effect == policy.Keyed && k.KeyScope == policy.ScopeAll
}

// spent tells that no attempt is left. A leader counts those that it decided on itself; this forwarder counts them all.
func (c *Core) spent(o *open) bool {
	return c.cfg.MaxAttempts > 0 && len(o.done) >= c.cfg.MaxAttempts
}

// mayRunAgain tells whether another attempt, which a successor decides on, could do harm. The successor knows
// nothing of the earlier ones, so what it may not know rules the request out: a group of servers for the key.
func (c *Core) mayRunAgain(o *open) bool {
	k := &c.cfg.Classes[o.class]
	switch {
	case !o.ran || k.Effect == policy.Safe:
		return true
	case k.Effect == policy.Keyed:
		return k.KeyScope == policy.ScopeAll && c.now < o.ranAt+k.KeyTTLS-keySlackS-k.AimS
	}
	return false
}

// Request takes a client's request.
func (c *Core) Request(now float64, q policy.Request) {
	c.now = now
	class, known := c.classes[q.Class]
	plan, planned := c.plans[q.Plan]
	if c.byID[q.ID] != nil {
		return
	}
	c.Stats.Requests++
	if !known || !planned {
		if !c.moved {
			c.out.Fail(q.ID)
		}
		return
	}
	o := &open{Request: q, class: class, plan: plan, cell: c.cfg.CellOf(q.Customer), cameAt: now, waitFrom: now}
	k := &c.cells[o.cell]
	switch {
	case c.moved:
		if len(c.byID) < mostOpen {
			c.byID[q.ID] = o
		}
		return
	case len(c.byID) >= mostOpen, k.led && !c.out.Room(k.holder):
		c.Stats.RefusedFull++
		c.out.Refuse(q.ID, c.hint())
		return
	case c.failsafe(k):
		c.Stats.RefusedUnled++
		c.out.Refuse(q.ID, c.hint())
		return
	}
	c.byID[q.ID] = o
	c.again(o)
}

// reached tells that a link to some planner stands.
func (c *Core) reached() bool {
	return slices.ContainsFunc(c.peers, func(p planner) bool { return p.up })
}

// failsafe tells that no request of the cell is to wait: there is no planner to be reached, or none has led the
// cell for as long as a request would wait.
func (c *Core) failsafe(k *cell) bool {
	return !k.led && (!c.reached() && c.now >= c.cutAt+c.cfg.FailsafeS || c.now >= k.unledAt+c.cfg.WaitS)
}

// hint is when to come back, spread by chance so that clients do not come together.
func (c *Core) hint() float64 {
	return c.cfg.MaxRetryAfterS * (hintFrom + (1-hintFrom)*c.rng.Float64())
}

// again has a request decided on, now or by the next leader. Nothing of it is out.
func (c *Core) again(o *open) {
	if c.moved {
		return
	}
	if !c.mayRunAgain(o) || c.spent(o) {
		c.end(o)
		return
	}
	if c.cells[o.cell].led {
		c.tell(o)
		return
	}
	o.waitFrom = c.now
	c.cells[o.cell].waiting = append(c.cells[o.cell].waiting, o)
}

// tell hands a request to the leader of its cell. Units that were passed on already are not counted again.
func (c *Core) tell(o *open) {
	c.handles++
	o.handle, o.tries = c.handles, o.tries[:0]
	c.told[o.handle] = o
	units := o.Units
	if o.counted {
		units = 0
	}
	if c.Stats.Told++; len(o.done) > 0 || o.waitFrom != o.cameAt {
		c.Stats.Retold++
	}
	k := &c.cells[o.cell]
	c.out.Link(k.holder, link.Msg{Kind: link.Request, Cell: uint16(o.cell), Epoch: k.epoch, Handle: o.handle,
		Class: uint8(o.class), Plan: uint8(o.plan), Name: o.Customer, Wait: o.DeadlineS - c.now, Value: units,
		Flag: o.Retry})
}

// untell forgets what a planner knows of a request: what it still says of it changes nothing.
func (c *Core) untell(o *open) {
	delete(c.told, o.handle)
	if o.handle != 0 && o.out > 0 {
		c.orphans[o.Customer] = orphans{o.plan, c.orphans[o.Customer].out + o.out}
	}
	o.handle = 0
}

// end gives the final answer to a request that nobody can decide on any more.
func (c *Core) end(o *open) {
	if c.mayRefuse(o) {
		c.Stats.RefusedUnled++
		c.out.Refuse(o.ID, c.hint())
	} else {
		c.Stats.FailedUnled++
		c.out.Fail(o.ID)
	}
	o.over = true
	c.forget(o)
}

// forget lets go of a request that is over once nothing of it is out.
func (c *Core) forget(o *open) {
	if o.over && o.out == 0 {
		if c.untell(o); c.byID[o.ID] == o {
			delete(c.byID, o.ID)
		}
	}
}

// Outcome takes the end of an attempt.
func (c *Core) Outcome(now float64, r policy.Outcome) {
	c.now = now
	o := c.byID[r.ID]
	if o == nil || r.Attempt < 0 || r.Attempt >= len(o.done) || o.done[r.Attempt] {
		return
	}
	o.done[r.Attempt] = true
	o.out--
	if never := r.Status == policy.Full || r.Status == policy.ConnectFailed || r.Status == policy.Moot; !never && !o.ran {
		o.ran, o.ranAt = true, o.sentAt[r.Attempt]
	}
	if r.Status == policy.OK && !o.over {
		c.Stats.Served++
	}
	o.over = o.over || r.Over || r.Status == policy.OK
	k := &c.cells[o.cell]
	if o.handle != 0 {
		m := link.Msg{Kind: link.Outcome, Handle: o.handle, N: uint32(slices.Index(o.tries, r.Attempt)),
			Class: uint8(r.Status), Flag: o.over, Wait: r.SpentS}
		m.HasLoad, m.Load = packLoad(r.Load)
		c.out.Link(k.holder, m)
	} else {
		n := c.orphans[o.Customer]
		if n.out--; n.out > 0 {
			c.orphans[o.Customer] = n
		} else {
			delete(c.orphans, o.Customer)
		}
		if k.led {
			c.outsOf(o.Customer, n)
		}
		if !o.over && o.out == 0 {
			c.again(o)
		}
	}
	c.forget(o)
}

func packLoad(l *policy.Load) (bool, [6]float64) {
	if l == nil {
		return false, [6]float64{}
	}
	return true, [6]float64{l.InFlight, l.Queue, l.Util, l.ServiceMS, l.ServedPerS, l.FailedPerS}
}

// Gone takes the news that a request needs no answer any more.
func (c *Core) Gone(now float64, id string) {
	c.now = now
	if o := c.byID[id]; o != nil && !o.over {
		o.over = true
		if o.handle != 0 {
			c.out.Link(c.cells[o.cell].holder, link.Msg{Kind: link.Gone, Handle: o.handle})
		}
		c.forget(o)
	}
}

// Probed takes the end of a probe: all leaders learn of it.
func (c *Core) Probed(now float64, r policy.ProbeResult) {
	c.now = now
	for i := range c.cells {
		if k := &c.cells[i]; k.led {
			m := link.Msg{Kind: link.Probed, Cell: uint16(i), Epoch: k.epoch, Name: r.Server, Class: uint8(r.Status),
				Wait: r.SpentS}
			m.HasLoad, m.Load = packLoad(r.Load)
			c.out.Link(k.holder, m)
		}
	}
}

// Tick looks after promises that ran out and requests that wait; call it every TickS.
func (c *Core) Tick(now float64) {
	if c.now = now; c.moved {
		return
	}
	for i := range c.cells {
		k := &c.cells[i]
		if k.led && now >= k.until && fleet.Fenced {
			c.unlead(i)
		}
		keep := k.waiting[:0]
		waiting := k.waiting
		k.waiting = nil
		for _, o := range waiting {
			half := o.cameAt + halfShare*(o.DeadlineS-o.cameAt)
			switch {
			case o.over:
				c.forget(o)
			case c.failsafe(k), now >= o.waitFrom+c.cfg.WaitS, now >= half && !o.ran, now >= o.DeadlineS-TickS:
				c.end(o)
			default:
				keep = append(keep, o)
			}
		}
		k.waiting = keep
	}
	c.overdue()
	c.usage.sweep(now)
	if now >= c.beatAt {
		c.beatAt = now + c.cfg.BeatS
		c.views(-1, -1)
	}
}

// overdue ends what nobody has answered by the last moment at which its client still listens: a leader that has lost its
// lead, or stands still, says nothing more, and an attempt may outlive its leader and stay silent.
func (c *Core) overdue() {
	var list []*open
	for _, o := range c.byID {
		if !o.over && c.now >= o.DeadlineS-TickS {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *open) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range list {
		if o.handle != 0 {
			c.out.Link(c.cells[o.cell].holder, link.Msg{Kind: link.Gone, Handle: o.handle})
		}
		c.end(o)
	}
}

// Led tells how many cells are led, and Failsafe for how many no new request is taken.
func (c *Core) Led() (led, failsafe int) {
	for i := range c.cells {
		if k := &c.cells[i]; k.led {
			led++
		} else if c.failsafe(k) {
			failsafe++
		}
	}
	return led, failsafe
}

// CellStatus is one cell for people.
type CellStatus struct {
	Cell     int     `json:"cell"`
	Epoch    uint64  `json:"epoch"`
	Holder   int     `json:"holder"` // -1: none yet
	Led      bool    `json:"led"`
	LeftS    float64 `json:"promise_left_s"`
	Waiting  int     `json:"waiting"`
	Failsafe bool    `json:"failsafe"`
}

// Cells lists how the cells stand, and how many requests are open.
func (c *Core) Cells() (list []CellStatus, requests int) {
	for i := range c.cells {
		k := &c.cells[i]
		list = append(list, CellStatus{i, k.epoch, k.holder, k.led, math.Round(max(k.until-c.now, 0)*1e3) / 1e3,
			len(k.waiting), c.failsafe(k)})
	}
	return list, len(c.byID)
}
