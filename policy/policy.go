package policy

// This is the decision module; its interface is in api.go. Every customer is hashed on a ring of
// gateways to one owner, which alone keeps its window count against the whole quota. The others tell
// the owner their counts in batches, pass only their split of the room it last reported, and fall back
// to a local window when it is silent (docs/design.md tells what was kept and changed).

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/ceiling"
	"eiderspread/internal/nodes"
	"eiderspread/internal/outbox"
	"eiderspread/internal/overload"
	"eiderspread/internal/peermsg"
	"eiderspread/internal/places"
	"eiderspread/internal/pulse"
	"eiderspread/internal/ring"
	"eiderspread/internal/subset"
	"eiderspread/internal/tally"
	"eiderspread/internal/why"
)

// Constants, with their reasons. Times are in seconds.
const (
	reportShare = 0.45 // of peerIntake that a gateway's own reports may take
	holdShare   = 0.5  // of peerIntake that members refused by their owner may ask for again
	freshS      = 0.5  // a verdict no older is split; with an older one the owner is asked
	askWaitS    = 0.08 // how long a request waits for the owner's word before it is asked again
	reportWaitS = 0.3  // the same for reports with no request waiting
	gapS        = 0.1  // no event for so long: this gateway itself stood still
	anyIntake   = 1e6  // stands for no bound on it
	lagS        = 0.05 // added to a verdict's age
	demandTauS  = 1.5  // memory of what a customer asks for
	cheapLeaves = 0.18 // of the burst, that the cheapest work leaves to dearer work of its customer
	memberS     = 8.0  // a member unheard of a customer for so long asks nothing of it, and is forgotten
	wantNone    = 0.25 // an owner's answer that grants nothing
	outS        = 3.0  // attempts out of a member that knows no places lent for a time are believed for so long
	debtShare   = 0.5  // of the burst, that an account owes at most for what was let in beyond its window
	youngS      = 2.0  // a ledger younger than this believes the room that members hand back
	forgetS     = 10.0 // customers unused for longer are forgotten: after memberS at any owner, so that
	// the count that starts at 0 then is not taken for units handed back
	halfShare     = 0.45  // of its time, after which a request that was never written is not begun any more
	tickS         = 0.02  // how often queue and attempts are looked at
	probeEveryS   = 1.0   // load probes, where load reports come with probes alone
	probeShare    = 0.25  // probes a request, at most
	startLimit    = 3.0   // attempts out at one server, all gateways together, to begin with
	firstLat      = 0.15  // of its aim that a class is taken to need before it is known
	maxLimit      = 64.0  // attempts out at one server, all gateways together, at most
	growBy        = 0.1   // attempts that one fast answer adds to the limit
	shrinkBy      = 0.03  // share of one server's limit that a slow one takes off
	stretchHigh   = 0.22  // answers that take this share of their aim shrink a server's limit
	stretchLow    = 0.15  // and below this one it may grow
	minLimit      = 3.0   // and at least
	lookLeast     = 2     // healthy servers looked at for a request, at least
	lookAll       = 12    // gateways, up to which each looks at all servers
	sharers       = 24    // gateways that prefer the same server, about
	nearLeast     = 8     // servers that a gateway prefers, at least
	coldAhead     = 2.0   // times what is answered, is at most taken for asked: under overload that is far more
	coldChance    = 0.5   // of a gateway's part of a cold server, where that is under one request
	utilS         = 3.0   // a load report counts for so long
	utilWeight    = 2.0   // attempts that a server's cores all busy stand for
	partWeight    = 1.0   // of its part of the limit by its speed that a server may hold
	crossWeight   = 25.0  // attempts out that the price of crossing zones stands for, a point of 1
	againWeight   = 4.0   // the same for a server that the request was sent to before
	sickWeight    = 30.0  // how far
	errorSick     = 0.5   // how sick one error makes it
	hedgeSick     = 0.3   // attempts at servers so sick are tried elsewhere early
	hedgeX        = 4.0   // and others after so many mean latencies
	newsSent      = 6     // with each message
	newsS         = 2.0   // while it is no older
	newsStepS     = 0.2   // and so much newer than what is known already; also the least silence that tells
	utilLow       = 0.8   // cores less busy than this let a limit grow again
	silentX       = 6.0   // a server that answers nothing for so many mean latencies is in doubt
	patienceMin   = 10    // tries of a class before later ones are told from first ones
	firstShare    = 0.4   // of them with about the same time: it is that of first tries
	hedgeShare    = 0.4   // of the aim: an attempt in doubt this old is tried elsewhere
	downS         = 0.5   // a server that refuses connections is left alone so long, then probed
	downFrom      = 2     // such failures in a row: one tells of a connection, not of its server
	onceSick      = 0.1   // how sick that one makes it
	fullS         = 0.05  // a server that turns work away is left alone so long, twice as long each time
	fullMostS     = 0.8   // and at most
	timeoutWeight = 0.15  // how far one attempt that timed out moves a server's speed and limit
	busyTauS      = 1.0   // memory of what this gateway keeps out at a server
	guardS        = 0.004 // margin on deadlines
	classesMost   = 64    // names of classes, since the start
)

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if err := s.Check(); err != nil || act == nil {
		return nil, cmp.Or(err, errors.New("no actions given"))
	}
	g := &Gateway{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, born: now,
		classes: map[string]*class{}, byPlan: map[string]*plan{}, nodes: nodes.New((*server).entry),
		reqs: map[string]*request{}, custs: map[account]*customer{},
		orders: make([]peermsg.Order, s.Gateways), pulse: pulse.New(s.Gateways),
		box: outbox.New[*customer](s.Gateways, now)}
	g.boot = uint8(g.rng.Uint32())
	g.lendFrom = now + places.WordS
	g.limit = startLimit / float64(s.Gateways) // for one server
	g.s.PeerIntake = cmp.Or(max(s.PeerIntake, 0), anyIntake)
	g.setClasses()
	for i, p := range s.Plans {
		g.plans = append(g.plans, &plan{Plan: p, index: i})
		g.byPlan[p.Name] = g.plans[i]
	}
	g.ring = ring.New(s.Gateways, ring.Points(s.Gateways))
	g.press = overload.New(s.Overload, s.Me, s.Gateways, now, g.rng.Float64)
	g.act.SetTimer(1, tickS)
	return g, nil
}

// newServer is a server as a gateway knows it when it is first listed.
func newServer(g *Gateway) *server {
	s := &server{speed: 1, utilAt: math.Inf(-1)}
	s.Grow(len(g.classList))
	return s
}

// newCustomer is a customer as a gateway knows it when it is first heard of: with a full window, but
// an empty split of its ceiling, filling since this gateway's start.
func (g *Gateway) newCustomer(key uint32, p *plan) *customer {
	c := &customer{key: key, plan: p, prime: g.s.Me, room: p.Burst, roomAt: g.now, usedAt: g.now,
		turnedAt: math.Inf(-1),
		ceil:     ceiling.New(g.born)}
	g.custs[account{key, uint32(p.index)}] = c
	return c
}

// ---- The path of a request ----

// Request takes a client's request.
func (g *Gateway) Request(now float64, q Request) {
	g.clock(now)
	cls := g.classes[q.Class]
	if g.reqs[q.ID] != nil {
		return
	} else if cls == nil { // it has gone since the request was read, of which nothing was sent
		g.act.Refuse(q.ID, 0)
		return
	}
	r := &request{Request: q, cls: cls, plan: g.byPlan[q.Plan]}
	r.halfAt = now + halfShare*(q.DeadlineS-now)
	later := cls.laterTry(q.DeadlineS-now, firstShare*g.press.Firsts())
	price := 1.0
	if r.plan != nil {
		price, r.cust = g.press.Price(r.plan.Price), g.customer(q)
		r.cust.demand.Add(g.now, q.Units, demandTauS)
		later = later && g.triesAgain(r.cust, cls)
	}
	r.aimAt = now + cls.AimS + cls.AimStretch*cls.lat
	if later {
		r.aimAt = min(r.aimAt, q.DeadlineS-cls.DeadlineS+cls.AimS+cls.AimStretch*cls.lat)
	}
	r.aimAt = min(r.aimAt, q.DeadlineS)
	if r.aimAt < now+cls.lat {
		price *= cls.LateWorth
	}
	r.Wait = overload.Wait{From: now, Most: r.aimAt - cls.lat - now}
	r.prio = cls.Worth * price // units stand for work as well as for worth, and cancel out
	r.cheap = 1 - cls.Worth/max(g.maxWorth, 1e-9)
	g.probes = min(g.probes+probeShare, 2)
	r.later = later
	g.reqs[q.ID] = r
	g.live = append(g.live, r)
	v, because := pass, why.NoPlan
	if r.cust != nil {
		r.Door = overload.Door{Account: r.cust.key, Cheaper: cls.cheaper, Classes: len(g.classes), Later: later}
		if v, because = deny, why.Shed; g.press.Ask(now, r.Door, q.Units) {
			v, because = g.inQuota(r)
		}
	}
	g.trace(why.Came, because, r, -1)
	switch barred := g.barred(r); {
	case v == deny:
		g.refuse(r, because)
	case barred != why.None: // a client's late try can arrive with no time left at all
		if r.cust != nil { // what came too late tells of no later try to come
			defer func(at float64) { r.cust.turnedAt = at }(r.cust.turnedAt)
		}
		g.refuse(r, barred)
	case v == wait:
		g.ask(r, because)
	default:
		if v == paid {
			r.cust.ahead -= r.Units
			r.cust.acked += r.Units
		}
		g.take(r, v == paid)
		g.place(r)
	}
}

// laterTry tells a client's later try from a first one. First tries of a class have one of a few times,
// each of them common of late; a later one has what is left of its first try's. Guards against answers that
// come too late to count. Where no time is common, as clients draw it anew for each try, nothing is told.
func (c *class) laterTry(left, share float64) bool {
	common := share * float64(c.times.Seen())
	near := c.times.Came(left / c.DeadlineS)
	return c.times.Seen() > patienceMin && float64(near) < common && float64(c.times.Most()) >= common
}

// triesAgain tells that the customer's clients may well be on later tries: it was turned away here within
// the time that a client waits, or asks for more than its rate. Clients with little time ask for the first
// time too, and what is inside the quota must not be refused for that.
func (g *Gateway) triesAgain(c *customer, cls *class) bool {
	return g.now-c.turnedAt < cls.DeadlineS || c.plan.Rate > 0 && g.wants(c)+c.others > c.plan.Rate
}

// place sends the request on, or queues it when no server has room.
func (g *Gateway) place(r *request) {
	if len(r.attempts) == 0 {
		g.work.Add(g.now, r.cls.lat, demandTauS)
	}
	if barred := g.barred(r); barred != why.None {
		g.refuse(r, barred)
	} else if s := g.server(r); s != nil {
		g.send(r, s)
	} else {
		g.trace(why.Queue, g.noRoom(r), r, -1)
		g.queue = append(g.queue, r)
	}
}

// server picks one for the request's next attempt; nil if none has room, or no part of the ceiling pays yet.
func (g *Gateway) server(r *request) *server {
	if r.owes && !g.ceilingPays(r) {
		return nil
	}
	return g.choose(r)
}

func (g *Gateway) send(r *request, s *server) {
	if r.owes { // server has seen to it that a part of the ceiling pays
		r.owes = false
		r.cust.ceil.Pay(g.ceiling(r.cust), g.now, r.Units)
	}
	s.busy = s.busy*math.Exp((s.sentAt-g.now)/busyTauS) + min(s.speed*r.cls.lat/busyTauS, 1)
	if len(r.attempts) == 0 {
		g.press.Waited(g.now, r.Waited(g.now))
	}
	g.begin(r, s)
	if s.Warm(g.now, g.s.ColdS, g.s.ColdFrom) < 1 {
		s.sentLog.Add(g.now, r.cls.lat)
	}
	g.trace(why.Send, why.None, r, len(r.attempts)-1)
	g.act.Send(r.ID, s.ID, max(r.endAt()-g.now, guardS))
}

// refuse ends the request with the mildest answer that is true.
func (g *Gateway) refuse(r *request, because why.Reason) {
	if r.over {
		return
	}
	if r.cust != nil {
		r.cust.turnedAt = g.now
	}
	if may := r.ran != nil || r.out > 0; !MayRefuse(r.cls.Class, may) {
		g.trace(why.Fail, because, r, -1)
		g.act.Fail(r.ID)
	} else {
		g.trace(why.Refuse, because, r, -1)
		if r.taken && len(r.attempts) == 0 { // it was let in, and no server had room in time
			g.press.Waited(g.now, 1)
		}
		g.act.Refuse(r.ID, g.press.Hint(r.Door, g.s.MaxRetryAfterS))
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; g.s.Cancel && !a.done && !a.called {
			a.called = true
			g.act.Cancel(r.ID, i)
		}
	}
	g.over(r)
}

// Outcome takes the end of an attempt.
func (g *Gateway) Outcome(now float64, o Outcome) {
	g.clock(now)
	r, a := g.ended(o)
	if r == nil {
		return
	}
	g.traceBack(r, o)
	g.report(a.srv, o.Load)
	g.learn(r, a, o)
	r.written = r.written || o.Status != ConnectFailed && o.Status != Moot
	if never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot; !never && r.ran == nil {
		r.ran, r.ranAt = a.srv, a.sentAt
	}
	if o.Status == OK && g.s.TrueUp && r.taken && o.Units > 0 {
		g.charge(r.cust, o.Units-r.Units)
	}
	if r.over || o.Over || o.Status == OK {
		g.over(r)
	} else if r.out == 0 && !r.stream {
		g.place(r)
	}
	g.drain()
}

// lastAt is when a request that was not sent yet has to be.
func (r *request) lastAt() float64 { return min(r.aimAt-r.cls.lat, r.halfAt) }

// endAt is when an answer is no longer worth the servers' work: after the aim, for
// the share of the time left in which it still earns something.
func (r *request) endAt() float64 { return r.aimAt + r.cls.LateWorth*max(r.DeadlineS-r.aimAt, 0) }

// barred tells why no other attempt is allowed or worth it; None if one is.
func (g *Gateway) barred(r *request) why.Reason {
	switch {
	case len(r.attempts) >= max(1, g.s.MaxAttempts):
		return why.Attempts
	case g.now+r.cls.lat > r.endAt():
		return why.AimGone
	case !r.written && g.now > r.halfAt:
		return why.HalfGone
	case r.ran == nil || r.cls.Effect == Safe || r.cls.Effect == Keyed && g.now <= r.ranAt+r.cls.KeyTTLS-heldUpS:
		return why.None
	}
	return why.MayHaveRun
}

// drain sends what waits, dearest per work first, and drops what can't make its aim.
func (g *Gateway) drain() {
	if len(g.queue) == 0 {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *request) int { return cmp.Compare(b.prio, a.prio) })
	g.queue = slices.DeleteFunc(g.queue, func(r *request) bool {
		barred := g.barred(r)
		if g.now+r.cls.lat > r.aimAt {
			barred = why.AimGone
		}
		if r.over || barred != why.None {
			g.refuse(r, barred)
			return true
		}
		s := g.server(r)
		if s != nil {
			g.send(r, s)
		}
		return s != nil
	})
}

// Timer takes a timer: all work that no event brings.
func (g *Gateway) Timer(now float64, token uint64) {
	g.clock(now)
	if token != 1 {
		return
	}
	g.act.SetTimer(1, tickS)
	g.drain()
	g.watch()
	g.probe()
	if to := overload.Tick(g.press, now, g.queue, g.meanUtil); to >= 0 && g.s.Peers {
		g.act.Tell(to, g.news.Append(g.press.Say(g.header()), newsSent, now, newsS))
	}
	g.lined = slices.DeleteFunc(g.lined, func(c *customer) bool {
		g.serve(c)
		return c.book.Waiting() == 0
	})
	g.purses = slices.DeleteFunc(g.purses, func(c *customer) bool {
		over := g.now >= c.aheadTo
		if over && c.ahead > 0 { // the owner gets back what was not used
			c.ahead = 0
			g.note(c, false)
		}
		return over
	})
	g.unanswered()
	g.flush()
	if now > g.sweepAt {
		g.sweepAt = now + forgetS/4
		g.forget(forgetS)
		g.nodes.Forget(func(s *server) bool { return s.inflight > 0 })
	}
}

// ---- Quotas and the exchange with owners ----

// alive tells that a peer answers: reports in a row without one take it off the ring for a while.
func (g *Gateway) alive(gw int) bool { return gw == g.s.Me || !g.pulse.Silent(gw, g.now) }

// owner is the gateway that counts the customer.
func (g *Gateway) owner(c *customer) int {
	switch {
	case !g.s.Peers || c.entries == 1:
		return g.s.Me
	case c.entries == 0 || g.alive(c.prime):
		return c.prime
	}
	return g.walk(c, true)
}

// inQuota decides on the ordinary path: the owner by its count, a member by its split of the room it
// last heard. Where that can't tell, since the split is under one request or the news is old, the
// request waits for the owner's word, which is the post's own call.
func (g *Gateway) inQuota(r *request) (verdict, why.Reason) {
	c, p := r.cust, r.plan
	if g.owner(c) == g.s.Me {
		switch short := g.fits(g.ledger(c), c, r.Units, r.cheap); {
		case short != why.None && (short != why.Cap || !g.capSoon(r)):
			return deny, short
		case !g.ceilingSoon(r):
			return deny, why.CeilBoth
		}
		return pass, why.OwnCount
	}
	room, age, mine := g.roomNow(c), g.now-c.roomAt, g.wants(c)
	switch {
	case p.Parallel == 0 && r.Units <= c.ahead:
		return paid, why.Ahead
	case p.Parallel > 0 && len(c.asks) >= 2*p.Parallel:
		return deny, why.Cap
	case len(c.asks) > 0:
		return wait, why.Silent
	case g.now < c.holdTill:
		return deny, why.Held
	case p.Parallel > 0 && c.held.Now(g.now+places.RenewS) <= c.out+c.due && (age > freshS ||
		float64(c.out+c.due+c.othersOut+1)+c.others*(age+lagS)/max(r.Units, 1) >= float64(p.Parallel)):
		return wait, why.Cap
	case !c.ceil.Holds(g.ceiling(c), g.now, c.ceil.Owed+r.Units) && (g.owner(c) == c.prime || !g.ceilingSoon(r)):
		return wait, why.CeilPart // the first on the ring may pay
	}
	need := r.Units
	if mine+c.others > p.Rate {
		need += r.cheap * cheapLeaves * p.Burst
	}
	switch old := !c.known || age > freshS; {
	case p.Rate == 0:
		return pass, why.NoRate
	case old && need*float64(c.entries) <= min(room, room-(c.others-p.Rate)*age):
		return pass, why.OldWord // each of the customer's gateways may think the same at this moment
	case !old && need <= max(room*mine/max(mine+c.others, 1e-9), room-2*c.others*(age+lagS)):
		return pass, why.Split
	case r.Units > room && age < outbox.BatchS:
		return deny, why.WordRoom
	case old:
		return wait, why.WordStale
	}
	return wait, why.WordSmall
}

// fits tells why the owner's count has no room; None if it has. While the customer asks for more than its
// rate, the cheaper a class is a unit, the more room it must leave to dearer ones.
func (g *Gateway) fits(l *tally.Ledger, c *customer, units, cheap float64) why.Reason {
	p := c.plan
	switch {
	case p.Rate > 0 && units > l.Room:
		return why.OwnRoom
	case p.Rate > 0 && g.wants(c)+l.DemandNow(g.now, demandTauS) > p.Rate &&
		units+cheap*cheapLeaves*p.Burst > l.Room:
		return why.Kept
	case p.Parallel > 0 && g.free(c) <= 0:
		return why.Cap
	}
	return why.None
}

// ledger brings the owner's count up to now. The window opens evenly; for a stand-in that nobody has
// reported to, by its part alone: it may be cut off while others serve the same customer.
func (g *Gateway) ledger(c *customer) *tally.Ledger {
	if c.led == nil {
		c.led = tally.New(g.roomNow(c), g.now)
	}
	l, rate := c.led, c.plan.Rate
	if c.prime != g.s.Me && len(l.Members) == 0 {
		rate /= float64(c.entries)
	}
	l.Room, l.At = min(c.plan.Burst-l.Ahead.Within(g.now, ceiling.AheadS+lagS), l.Room+rate*(g.now-l.At)), g.now
	return l
}

// take charges a first send to its quota when it is let in. What nobody has paid for owes its units to the
// ceiling.
func (g *Gateway) take(r *request, paid bool) {
	c := r.cust
	if c == nil {
		return
	}
	if r.owes = !paid && c.plan.CeilingRate > 0; r.owes {
		c.ceil.Owed += r.Units
	}
	r.taken = true
	g.press.Took(g.now, r.Units)
	c.due++
	g.charge(c, r.Units)
}

func (g *Gateway) charge(c *customer, units float64) {
	if g.owner(c) == g.s.Me {
		g.ledger(c).Spend(units, debtShare*c.plan.Burst)
	}
	c.total += units
	if c.total > c.acked || units < 0 {
		g.note(c, false)
	}
}

// note marks the customer for the next report to its owner.
func (g *Gateway) note(c *customer, urgent bool) {
	o := g.owner(c)
	if o == g.s.Me {
		c.acked = c.total
		return
	}
	if !c.dirty || c.askOf != o {
		c.dirty, c.askOf = true, o
		g.box.Put(o, c)
	}
	if urgent {
		g.box.Hurry(o)
	}
}

// ask holds the request until its customer's owner has spoken.
func (g *Gateway) ask(r *request, because why.Reason) {
	c := r.cust
	g.trace(why.Ask, because, r, -1)
	c.asks, r.asking = append(c.asks, r), true
	if len(c.asks) > 1 {
		if c.inLine {
			g.note(c, true)
		}
		return // it joins the next report
	}
	c.tries, c.waitFrom = 0, g.now
	g.expect(c)
	g.note(c, true)
	g.flush()
}

// flush sends what is due to peers. All hear about as much as all send, so each gateway keeps its own
// reports to a share of what one takes in; answers come on top.
func (g *Gateway) flush() { g.box.Flush(g.now, g.s.PeerIntake*reportShare, g.tell) }

// tell reports to a peer as owner, as much as a message holds, and returns how many customers that were.
func (g *Gateway) tell(i int, reports []*customer) (n int) {
	b := g.header()
	for _, c := range reports {
		if len(b)+peermsg.RecordLen > peermsg.Limit {
			break
		}
		if n++; c.askOf != i || !c.dirty {
			continue
		}
		c.dirty = false
		c.usedAt = g.now
		r := record{Key: c.key, Plan: c.plan.index, Known: c.known, Flag: i == c.prime, Total: c.total + c.ahead,
			Room: g.roomNow(c), Rate: g.wants(c), Out: c.out + c.due, Lends: true,
			Unacked: max(c.total-c.acked, 0)}
		c.asked = len(c.asks)
		for k, q := range c.asks {
			if r.Want += q.Units; k == 0 {
				r.First, r.Cheap = q.Units, q.cheap
			}
		}
		if c.plan.Parallel > 0 {
			c.held.Renew(g.now, r.Out, places.WordS)
			if c.lender && r.Want == 0 && r.Unacked == 0 { // of places alone: it needs no answer
				r.Lease = places.WordS
				b = peermsg.AppendRecord(b, r)
				continue
			}
		}
		b = peermsg.AppendRecord(b, r)
		if c.waitFrom == 0 || c.asked > 0 {
			c.waitFrom = g.now
		}
		g.expect(c)
	}
	g.post(i, b)
	return n
}

// post sends a message with records, and with what is new of servers in the room left.
func (g *Gateway) post(to int, b []byte) {
	if len(b) == peermsg.HeaderLen {
		return
	}
	b[peermsg.CountAt] = byte((len(b) - peermsg.HeaderLen) / peermsg.RecordLen)
	g.act.Tell(to, g.news.Append(g.press.Say(b), newsSent, g.now, newsS))
}

// unanswered looks after reports without a reply: they are told again, after some to the next on the
// ring, and after one more the request falls back to the local window. A gap in this
// gateway's own time is nobody's silence.
func (g *Gateway) unanswered() {
	for _, c := range g.waiting {
		most := reportWaitS
		if len(c.asks) > 0 {
			most = askWaitS
		}
		if c.waitFrom > 0 && g.now-max(c.waitFrom, g.gapAt) > most {
			if !c.dirty && !c.inLine { // it was told
				g.pulse.Missed(c.askOf, g.now)
			}
			c.tries++
			c.waitFrom, c.asked, c.inLine = 0, 0, false
			if c.tries > g.pulse.Limit() {
				c.tries = 0
				local := func(r *request) bool { return g.localHolds(c, r.Units) }
				if g.resolve(c, len(c.asks), local, false, why.None) > 0 {
					g.note(c, true)
					c.waitFrom = g.now
				}
			} else {
				g.note(c, len(c.asks) > 0)
				if len(c.asks) > 0 {
					c.waitFrom = g.now
				}
			}
		}
		c.waiting = c.waitFrom > 0
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(c *customer) bool { return !c.waiting })
}

// localHolds is the local window, where no owner answers: this gateway's count alone, and its part
// of the rate alone, as the others may go on serving the same customer.
func (g *Gateway) localHolds(c *customer, units float64) bool {
	p, n := c.plan, float64(c.entries)
	if p.Parallel > 0 && c.out+c.othersOut >= p.Parallel {
		return false
	}
	c.local.Fill(g.now, p.Rate/n, max(p.Burst/n, float64(g.s.MaxUnits)))
	if p.Rate > 0 && units > min(c.local.Level, g.roomNow(c)) {
		return false
	}
	c.local.Level -= units
	return true
}

// resolve ends the wait of the first n requests that asked, but for those that may ask again: what was
// granted does not reach them, which no is None for, or the first on the ring has granted what no part of the
// ceiling here pays soon. Under a cap no more ask again than may be out. It returns how many ask again.
func (g *Gateway) resolve(c *customer, n int, ok func(*request) bool, paid bool, no why.Reason) int {
	list, rest := c.asks[:n], slices.Clone(c.asks[n:])
	c.asks = nil
	for _, r := range list {
		switch fits := r.over || ok(r); {
		case r.over:
		case fits && (paid || g.ceilingSoon(r)):
			r.asking = false
			g.take(r, paid)
			g.place(r)
		case no == why.None && (!fits || g.owner(c) == c.prime) &&
			(c.plan.Parallel == 0 || len(c.asks) < c.plan.Parallel):
			c.asks = append(c.asks, r)
		case fits:
			r.asking = false
			g.refuse(r, why.CeilGrant)
		default:
			r.asking = false
			g.refuse(r, cmp.Or(no, why.Cap))
		}
	}
	again := len(c.asks)
	c.asks = append(c.asks, rest...)
	return again
}

// Peer takes a message of another gateway. Reports are answered at once, all in one message.
func (g *Gateway) Peer(now float64, from int, data []byte) {
	g.clock(now)
	boot, seq, recs, items, ok := peermsg.Parse(data, now)
	if !ok || from < 0 || from >= len(g.orders) || from == g.s.Me {
		return
	}
	if g.orders[from].Late(boot, seq) {
		return
	}
	g.pulse.Heard(from)
	g.inRate, g.inAt = g.inRate*math.Exp(g.inAt-now)+1, now
	for _, n := range items {
		if !g.press.Hear(now, from, n) {
			g.told(n)
		}
	}
	b := g.header()
	for _, r := range recs {
		c := g.custs[account{r.Key, uint32(r.Plan)}]
		switch {
		case r.Plan >= len(g.plans):
		case r.Owner && c != nil && c.askOf == from:
			g.pulse.Answered()
			g.heard(c, r)
		case !r.Owner:
			if c == nil {
				c = g.newCustomer(r.Key, g.plans[r.Plan])
			}
			c.usedAt = now
			if v := g.count(c, from, r); r.Lease == 0 {
				b = peermsg.AppendRecord(b, v)
			}
			g.serve(c)
		}
	}
	g.post(from, b)
	g.flush()
}

// count takes in a member's report and gives the owner's answer. Units that are asked for are set
// aside at once: the next report shows which of them were used.
func (g *Gateway) count(c *customer, from int, r record) record {
	l := g.ledger(c)
	m := l.Members[from]
	if m != nil && g.now-m.At > memberS {
		m = nil // as if forgotten: it may have forgotten the customer itself
	}
	if m == nil || m.Boot != g.orders[from].Boot {
		if r.Known && g.now-l.Born < youngS {
			// A young count, after a restart or a move: the member hands back what it heard.
			l.Room = min(l.Room, max(r.Room+r.Unacked, 0))
		}
		m = &tally.Member{Boot: g.orders[from].Boot, Total: r.Total - r.Unacked}
		l.Members[from] = m
		c.book.Drop(from)
	}
	told := l.Told(m, r.Total, r.Rate, g.now, demandTauS)
	l.Spend(told, debtShare*c.plan.Burst)
	l.Ahead.Take(-told)
	v := record{Key: c.key, Plan: c.plan.index, Owner: true, Known: true, Lends: r.Lends}
	if c.plan.Parallel > 0 {
		span := places.WordS
		if !r.Lends {
			span = outS
		}
		c.book.Told(g.now, from, r.Out, span, g.like(r.Cheap).lat/2)
		if r.Want == 0 {
			c.book.Leave(from)
		}
	}
	if r.Want > 0 {
		w := places.Waiter{Member: from, Units: r.Want, First: r.First, Cheap: r.Cheap, Pool: r.Flag}
		switch short := g.grant(c, w, &v); {
		case short == why.None:
			c.book.Leave(from)
		case short == why.Cap && r.Lends: // it gets the next place that is free, unasked
			k := g.like(r.Cheap)
			w.Until = g.now + k.AimS - k.lat
			v.Hold, v.Lease = c.book.Soon(g.now, c.due+c.book.Wait(w), c.out, k.lat), places.WordS
			if !slices.Contains(g.lined, c) {
				g.lined = append(g.lined, c)
			}
		case short != why.Cap: // an attempt ends soon: what waits for that asks again with the next batch
			busy := g.s.PeerIntake * holdShare
			v.Hold = float64(l.Heard(g.now, memberS)) / max(busy, 1) * min(g.inRate/max(busy, 1), 3)
		}
	}
	g.word(c, from, &v)
	return v
}

// word completes what the owner says to a member.
func (g *Gateway) word(c *customer, to int, v *record) {
	l := g.ledger(c)
	m := l.Members[to]
	if c.plan.Parallel > 0 && v.Lends && v.Hold == 0 && c.book.Waiting() == 0 {
		if n := places.Ahead(g.free(c), m.Rate, l.DemandNow(g.now, demandTauS)+g.wants(c)); n > 0 {
			v.Places, v.Lease = v.Places+n, cmp.Or(v.Lease, places.WordS)
			c.book.Lend(g.now, to, n, v.Lease, v.Lease)
		}
	}
	v.Total, v.Room, v.Out = m.Total, l.Room, c.out+c.due+c.book.Out(g.now, to)
	v.Rate = max(l.DemandNow(g.now, demandTauS)-m.Rate, 0) + g.wants(c)
}

// grant sets units aside for a member that asks, and places under a cap; it tells why not, if nothing.
func (g *Gateway) grant(c *customer, w places.Waiter, v *record) (short why.Reason) {
	l, grant, ahead := g.ledger(c), 0.0, 0.0
	part := math.Floor(min(w.Units, (l.Room-cheapLeaves*c.plan.Burst)/2))
	for _, units := range []float64{w.Units, max(w.First, part), w.First} {
		if c.plan.Parallel > 0 {
			units = min(units, w.First*float64(max(g.free(c), 1)))
		}
		if short = g.fits(l, c, units, w.Cheap); short == why.None {
			grant = units
			break
		}
	}
	if v.Want = wantNone; grant > 0 {
		m := l.Members[w.Member]
		if v.Lends && c.plan.Parallel == 0 {
			all := l.DemandNow(g.now, demandTauS) + g.wants(c)
			most := min(min(all, c.plan.Rate)*ceiling.AheadS, (l.Room-grant-cheapLeaves*c.plan.Burst)/2)
			ahead = math.Floor(m.Rate / max(all, 1e-9) * most)
		}
		// The shared part of the ceiling pays as far as it reaches; the rest asks again.
		if w.Pool && c.ceil.PoolHolds(g.ceiling(c), g.now, w.First) {
			v.Flag, grant = true, c.ceil.Lend(g.ceiling(c), g.now, grant, w.First)
		}
		if ahead >= 1 && c.plan.CeilingRate > 0 {
			if !v.Flag {
				ahead = 0
			}
			ahead = c.ceil.LendAhead(g.ceiling(c), g.now, ahead)
		}
		if ahead >= 1 {
			v.Lease = ceiling.AheadS
			l.Ahead.Add(g.now, ahead)
			l.Room -= ahead
			m.Total += ahead
		}
		v.Want = grant
		l.Room -= grant
		m.Total += grant
		if c.plan.Parallel > 0 {
			v.Places, v.Lease = max(int(grant/max(w.First, 1)), 1), outS
			k := g.like(w.Cheap)
			if v.Lends {
				v.Lease = places.Span(k.lat, k.dev)
			}
			c.book.Lend(g.now, w.Member, v.Places, v.Lease, k.lat)
		}
	}
	g.traceWord(c, w, *v, grant, short)
	return short
}

// serve lends places that came free to those in the customer's line, in turn.
func (g *Gateway) serve(c *customer) {
	for {
		w, ok := c.book.Next(g.now)
		if !ok || g.free(c) <= 0 {
			return
		}
		c.book.Leave(w.Member)
		if g.ledger(c).Members[w.Member] == nil {
			continue
		}
		v := record{Key: c.key, Plan: c.plan.index, Owner: true, Known: true, Lends: true}
		g.grant(c, w, &v)
		g.word(c, w.Member, &v)
		g.post(w.Member, peermsg.AppendRecord(g.header(), v))
	}
}

// heard takes in what the owner says.
func (g *Gateway) heard(c *customer, r record) {
	most := c.total + tally.Quarters(r.Total-c.total)
	again := 0
	c.known, c.room, c.roomAt, c.acked = true, r.Room, g.now, most
	c.others, c.othersOut, c.lender = r.Rate, r.Out, r.Lends && c.plan.Parallel > 0
	c.held.Sweep(g.now)
	c.held.Lend(g.now, r.Places, r.Lease)
	if c.plan.Parallel > 0 && r.Lease > 0 && r.Places == 0 && c.asked > 0 { // in line: a word comes unasked
		c.inLine, c.tries, c.waitFrom, c.asked = true, 0, g.now+r.Hold, min(c.asked, len(c.asks))
		told := len(c.asks) - c.asked
		c.asks = slices.DeleteFunc(c.asks, func(q *request) bool {
			if q.asking = !q.over && g.now+r.Hold <= q.lastAt(); !q.asking {
				g.refuse(q, why.Cap)
			}
			return !q.asking
		})
		if c.asked = max(len(c.asks)-told, 0); c.asked == 0 {
			c.inLine = false
			g.note(c, true)
		}
	} else if r.Want > 0 && c.asked > 0 {
		c.inLine = false
		n := min(c.asked, len(c.asks))
		if r.Lease > 0 && c.plan.Parallel == 0 { // what was set aside ahead is for those too that came meanwhile
			n = len(c.asks)
		}
		c.asked, c.tries, c.holdTill = 0, 0, g.now+r.Hold
		no := why.Denied
		capped := c.plan.Parallel > 0 && c.out+r.Out >= c.plan.Parallel && r.Hold == 0
		if r.Want > wantNone && most > c.total || capped {
			no = why.None
		}
		again = g.resolve(c, n, func(q *request) bool { return c.total+q.Units <= most+1e-9 }, r.Flag, no)
		if r.Hold > 0 {
			g.resolve(c, len(c.asks), func(*request) bool { return false }, false, why.Held)
		}
	}
	fresh := len(c.asks) > again // what asks again does so with the next batch
	if r.Lease > 0 && c.plan.Parallel == 0 && (r.Flag || c.plan.CeilingRate <= 0) && most > c.total {
		if c.ahead, c.aheadTo = most-c.total, g.now+r.Lease; !slices.Contains(g.purses, c) {
			g.purses = append(g.purses, c)
		}
	}
	if c.acked = min(most, c.total); most > c.total+c.ahead || len(c.asks) > 0 && c.asked == 0 {
		g.note(c, fresh)
	}
	if len(c.asks) == 0 && c.asked == 0 { // what asks again must not wait for ever behind what is urgent
		c.waitFrom, c.tries = 0, 0
	} else if c.asked == 0 {
		c.waitFrom = g.now
		g.expect(c)
	}
}

// ceiling is what this gateway knows of the customer's hard ceiling.
func (g *Gateway) ceiling(c *customer) ceiling.Terms {
	return ceiling.Terms{Rate: c.plan.CeilingRate, Burst: c.plan.CeilingBurst, Gateways: c.entries,
		First: c.prime == g.s.Me, Largest: float64(g.s.MaxUnits)}
}

// ceilingPays tells whether a part of the ceiling here holds what the request owes.
func (g *Gateway) ceilingPays(r *request) bool {
	t := g.ceiling(r.cust)
	return r.cust.ceil.Holds(t, g.now, r.Units) || r.cust.ceil.PoolHolds(t, g.now, r.Units)
}

// ceilingSoon tells whether the parts of the ceiling here will hold the units, behind all that is owed, while
// the request can still be sent. A ceiling fills faster than the quota: such waits are short.
func (g *Gateway) ceilingSoon(r *request) bool {
	return r.cust.ceil.Soon(g.ceiling(r.cust), g.now, r.Units, r.lastAt()-g.now)
}

// capSoon tells whether an attempt of the customer will end in time for the request, behind what waits for
// that already.
func (g *Gateway) capSoon(r *request) bool {
	c := r.cust
	return g.now+c.book.Soon(g.now, c.due+c.book.Waiting(), c.out, r.cls.lat) <= r.lastAt()
}

// ---- Servers ----

// Servers takes the list of servers, whole or only what changed.
func (g *Gateway) Servers(now float64, list []Server, whole bool) {
	g.clock(now)
	before := float64(max(1, len(g.nodes.Order)))
	g.nodes.List(list, whole, func() *server { return newServer(g) }, func(s *server) {
		s.speed, s.downUntil, s.broken, s.fulls = 1, 0, 0, 0
		s.Reset()
	})
	g.part = float64(len(g.nodes.Order)) / float64(g.s.Gateways)
	g.weigh()
	g.limit *= float64(max(1, len(g.nodes.Order))) / before
	g.drain()
}

// coldRoom holds a cold server to its part of the work by what it can do, over any window in which it
// could fall. What is asked for counts, not what was sent: in a release all servers may be cold. Where a
// gateway's part of that is under one request, chance decides: all adds up the same.
func (g *Gateway) coldRoom(s *server, work float64) bool {
	share := s.Warm(g.now, g.s.ColdS, g.s.ColdFrom)
	if share >= 1 {
		s.sentLog = nil
		return true
	}
	sum := s.sentLog.Within(g.now, g.s.FallS)
	budget := share / max(g.shares, share) * g.s.FallS *
		min(g.work.Now(g.now, demandTauS), coldAhead*g.done.Now(g.now, demandTauS))
	return s.inflight < 2 && (sum+work <= budget || sum == 0 && g.rng.Float64()*work <= budget*coldChance)
}

// full tells that as much is out as may be, of the customer too before a first send. A part of one that is
// free is rounded up while answers are fast, and makes a pause while they are slow: many round it up.
func (g *Gateway) full(r *request) bool {
	free := g.limit - float64(g.out)
	part := free < 1 && g.stretch >= stretchHigh && g.now-g.sentAt < max(r.cls.lat, g.spent)/free
	return free <= 0 || part || r.cust != nil && r.attempts == nil && g.capped(r.cust)
}

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) choose(r *request) *server {
	var best, worse *server // worse: of those that are sick
	low, lowSick, seen, well := math.Inf(1), math.Inf(1), 0, 0
	if g.full(r) {
		return nil
	}
	// With many gateways each looks at few servers only: all would pick the same one by the same news. It begins
	// with those that it prefers, so that connections are used again, and goes on where these have no room.
	n := len(g.nodes.Order)
	size := subset.Size(g.s.Gateways, n, sharers, nearLeast)
	near := g.nodes.Near(g.s.Me, size, g.s.Zone, g.s.CrossZonePrice > 0)
	look, from := max(lookLeast, n*lookAll/g.s.Gateways), g.rng.IntN(max(1, n))
	others := float64(g.s.Gateways*len(near))/float64(max(1, n)) - 1 // that prefer one server too
	for k := 0; k < len(near)+n*min(n-len(near), 1) && look > 0; k++ {
		s := g.nodes.Order[(from+k)%n]
		if k < len(near) {
			s = near[(from+k)%len(near)]
		}
		if s.State != Up || g.now < s.downUntil {
			continue
		}
		ill := s.Sick(r.cls.index, g.now)
		for _, k := range g.classList {
			if r.cls.Effect == Unsafe { // others' errors cost an attempt, its own cost the request
				ill = max(ill, min(s.Sick(k.index, g.now), s.Erred(k.index)))
			}
		}
		if seen++; ill < hedgeSick {
			well++
		}
		if !g.coldRoom(s, r.cls.lat) ||
			float64(s.inflight) >= math.Ceil(partWeight*g.limit/float64(n)/s.speed) ||
			r.ran != nil && r.cls.Effect == Keyed && !r.cls.KeyScope.Same(r.ran.Server, s.Server) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does.
		load := float64(s.inflight) + 1 + others*s.busy*math.Exp((s.sentAt-g.now)/busyTauS)
		if s.Zone != g.s.Zone {
			load += crossWeight * g.s.CrossZonePrice
		}
		if g.now-s.utilAt < utilS {
			load += utilWeight * s.util
		}
		for i := range r.attempts {
			if r.attempts[i].srv == s {
				load += againWeight
			}
		}
		cost := load * s.speed * (1 + sickWeight*ill) * (1 + 0.02*g.rng.Float64())
		if ill < hedgeSick {
			if look--; cost < low {
				best, low = s, cost
			}
		} else if cost < lowSick {
			worse, lowSick = s, cost
		}
	}
	if best == nil && 2*well < seen { // else it waits for a place at a well one: what errs fast always has one
		return worse
	}
	return best
}

// fails raises the sickness of a server for a class, or for all where c is nil.
func (g *Gateway) fails(s *server, c *class, by float64) {
	for _, k := range g.classList {
		if c == nil || k.index == c.index {
			g.news.Add(peermsg.Item{Server: s.Hash, Class: k.tag, Value: s.Fail(k.index, by, g.now), At: g.now})
		}
	}
}

// told takes in what another gateway tells of a server, and tells it on while it is new.
func (g *Gateway) told(n peermsg.Item) {
	s := g.nodes.Heard(n.Server)
	if s == nil || s.SinceS > n.At {
		return
	}
	if n.Class == peermsg.LoadItem {
		if n.At < s.utilAt+newsStepS {
			return
		}
		s.util, s.utilAt = n.Value, n.At
	} else if i := slices.IndexFunc(g.classList, func(c *class) bool { return c.tag == n.Class }); i >= 0 {
		if !s.Heard(i, n.Value, n.At, newsStepS) {
			return
		}
	}
	g.news.Add(n)
}

// learn takes from an attempt's end what it tells of the server.
func (g *Gateway) learn(r *request, a *attempt, o Outcome) {
	s, c := a.srv, r.cls
	tells := o.Status == OK || o.Status == Timeout && s.Sick(c.index, g.now) < hedgeSick // of the others too
	slow := min(o.SpentS/c.lat, 4)
	switch o.Status {
	case OK:
		s.Good(c.index, g.now)
		s.broken, s.fulls = 0, 0
		g.done.Add(g.now, c.lat, demandTauS)
		g.press.Served(g.now, r.Units)
		c.n++
		c.dev += (math.Abs(o.SpentS-c.lat) - c.dev) * max(0.02, 1/float64(c.n+1))
		c.lat += (o.SpentS - c.lat) * max(0.02, 1/float64(c.n+1))
		s.speed = max(s.speed+0.1*(slow-s.speed), 0.3)
	case Timeout:
		g.fails(s, c, errorSick)
		s.speed += timeoutWeight * max(4-s.speed, 0) // slow, if not silent
	case Error:
		s.Err(c.index)
		g.fails(s, c, max(errorSick, s.Erred(c.index)))
	case ConnectFailed, Reset:
		s.broken++
		if s.broken < downFrom {
			g.fails(s, nil, onceSick)
			break
		}
		g.fails(s, nil, errorSick)
		s.downUntil = g.now + downS*(1+g.rng.Float64())
	case Full:
		s.fulls++
		s.downUntil = max(s.downUntil, g.now+min(fullS*math.Exp2(float64(s.fulls-1)), fullMostS))
	}
	if !tells {
		return
	}
	g.spent += 0.1 * (o.SpentS - g.spent)
	g.stretch += 0.1 * (o.SpentS/c.AimS - g.stretch)
	util, fresh := g.meanUtil()
	easy := fresh && util < utilLow    // cores are free: not driven too hard
	step := min(1, startLimit/g.limit) // one answer tells of one server among those in use
	if o.Status == Timeout && !easy {
		g.limit *= 1 - timeoutWeight*step
	}
	if g.stretch > stretchHigh && !easy {
		g.limit *= 1 - shrinkBy*step
	} else if (easy || g.stretch < stretchLow) && float64(g.out)+1.5 >= g.limit {
		g.limit += growBy * min(1, g.limit)
	}
	g.limit = min(max(g.limit, minLimit*g.part), maxLimit*g.part)
}

// watch looks at the attempts that are out: a server that leaves a class unanswered for long is sick
// for it, and what waits is tried elsewhere where allowed.
func (g *Gateway) watch() {
	g.live = slices.DeleteFunc(g.live, func(r *request) bool { return r.over && r.out == 0 })
	for _, r := range g.live {
		if r.asking && g.now+tickS > min(r.endAt()-r.cls.lat, r.halfAt) {
			because := why.Silent
			if r.cust.inLine {
				because = why.Line
			}
			g.refuse(r, because)
			continue
		}
		if c := r.cust; c != nil && c.lender && r.out > 0 && c.held.Now(g.now+places.RenewS) < c.out {
			g.note(c, true) // its place would end before it does
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.done && !a.seen && !r.stream && g.now-max(a.sentAt, g.gapAt) > max(silentX*r.cls.lat, newsStepS) &&
				a.srv.GoodAt(r.cls.index) < a.sentAt {
				a.seen = true
				g.fails(a.srv, r.cls, 1)
			}
		}
		if r.over || r.stream || r.out != 1 || r.cls.Effect == Unsafe {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		age, ill := g.now-a.sentAt, a.srv.Sick(r.cls.index, g.now) > hedgeSick
		early := !ill && (!g.s.Parallel || age < hedgeX*r.cls.lat || len(g.queue) > 0)
		if early || a.done || a.called || age < hedgeShare*r.cls.AimS {
			continue
		}
		ran, at := r.ran, r.ranAt
		if r.ran == nil {
			r.ran, r.ranAt = a.srv, a.sentAt
		}
		s := (*server)(nil)
		if g.barred(r) == why.None {
			s = g.choose(r)
		}
		switch {
		case s == nil || s == a.srv:
			r.ran, r.ranAt = ran, at
		case g.s.Parallel:
			g.send(r, s)
		case g.s.Cancel:
			a.called = true
			g.act.Cancel(r.ID, len(r.attempts)-1)
		}
	}
	g.weigh()
}

// probe asks servers for their load where that comes with probes alone: the longest unheard of
// first, and no more than a share of the requests.
func (g *Gateway) probe() {
	if !g.s.Probes || !g.s.ReportByProbe || g.probes < 1 {
		return
	}
	next, oldest := (*server)(nil), g.now-probeEveryS
	for _, s := range g.nodes.Order {
		if at := max(s.askedAt, s.utilAt); s.State == Up && at <= oldest {
			next, oldest = s, at
		}
	}
	if next != nil {
		next.askedAt = g.now
		g.probes--
		g.act.Probe(next.ID)
	}
}

// Probed takes the end of a probe.
func (g *Gateway) Probed(now float64, p ProbeResult) {
	g.clock(now)
	s := g.nodes.By[p.Server]
	if s == nil {
		return
	}
	g.report(s, p.Load)
	if p.Status == Timeout || p.Status == ConnectFailed {
		g.fails(s, nil, errorSick)
	}
	g.drain()
}
