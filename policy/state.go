package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/ceiling"
	"eiderspread/internal/fade"
	"eiderspread/internal/health"
	"eiderspread/internal/nodes"
	"eiderspread/internal/outbox"
	"eiderspread/internal/overload"
	"eiderspread/internal/patience"
	"eiderspread/internal/peermsg"
	"eiderspread/internal/places"
	"eiderspread/internal/pulse"
	"eiderspread/internal/ring"
	"eiderspread/internal/tally"
	"eiderspread/internal/why"
)

// What a gateway keeps, and plain helpers. What is done with it is in policy.go.

type class struct {
	Class
	index, tag int     // its place at each server; its name between gateways
	cheaper    int     // classes that are worth less a unit
	lat, dev   float64 // mean latency of good answers, and its mean deviation
	n          int
	times      patience.Hist // what was left of the deadline when tries came
}

type plan struct {
	Plan
	index int
}

type server struct {
	nodes.Entry
	health.Health
	inflight        int
	speed           float64 // latency against the class's mean
	sentAt, askedAt float64 // last attempt, last probe
	busy            float64 // mean attempts out here of late
	util, utilAt    float64
	broken, fulls   int // attempts that found no connection or lost it, and that it turned away, since it last answered
	downUntil       float64
	sentLog         fade.Log // while cold
}

func (s *server) entry() *nodes.Entry { return &s.Entry }

type record = peermsg.Record
type account struct{ key, plan uint32 } // an account that moves to another plan is another account

type attempt struct {
	srv                *server
	sentAt             float64
	done, called, seen bool // called: cancelled by us; seen: its silence was taken in
}

type request struct {
	Request
	overload.Door
	overload.Wait // for a server
	cls           *class
	plan          *plan
	cust          *customer
	aimAt, halfAt float64
	prio, cheap   float64 // cheap: 0 for the dearest class, towards 1 for the cheapest
	attempts      []attempt
	out           int
	ran           *server // first server where it may have run
	ranAt         float64
	over, asking  bool // asking: the owner's word is awaited
	taken         bool // charged to its quota
	owes          bool // its units to the ceiling
	written       bool // to a server, whole
	stream, later bool // later: taken for a client's later try
}

// customer is what a gateway keeps of one customer.
type customer struct {
	key            uint32
	hash           uint64
	plan           *plan
	first, entries int // entries 0: known from others' reports alone
	prime          int // first on the ring of its gateways
	usedAt         float64
	turnedAt       float64   // when a request was last refused for want of quota or room
	total          float64   // own count of what was let in, ever
	acked          float64   // as the owner last took it in
	demand         fade.Rate // units a second asked for here
	out, due       int       // attempts out; requests let in under a cap that were not sent yet
	lender, inLine bool      // the owner lends places; requests here wait in its line
	held           places.Held
	book           places.Book // of places, where this gateway owns it
	known          bool        // the owner has reported
	room, roomAt   float64     // as last reported
	others         float64     // what the others are asked for
	othersOut      int
	holdTill       float64    // the owner refuses until then
	asks           []*request // wait for the owner's word
	asked, tries   int        // asked: of them, told to the owner
	waitFrom       float64    // since when a report is unanswered, 0: none
	waiting        bool       // in Gateway.waiting
	dirty          bool       // to be reported
	askOf          int        // to this gateway
	ceil           ceiling.Ceiling
	local          tally.Bucket // where no owner answers
	ahead, aheadTo float64      // units that the owner has set aside for what is still to come, and until when
	led            *tally.Ledger
}

// Gateway decides for one gateway.
type Gateway struct {
	s              Settings
	act            Actions
	rng            *rand.Rand
	now            float64
	born, lendFrom float64 // until then it lends no places: what is out is not known
	boot           uint8
	seq            uint16
	gapAt          float64               // when this gateway last came back from a gap of its own
	inRate, inAt   float64               // messages a second that come in
	box            outbox.Box[*customer] // reports that are due
	waiting        []*customer           // with reports unanswered
	purses         []*customer           // with units set aside ahead
	lined          []*customer           // with members that wait for a place
	limit, part    float64               // attempts out here, at all servers; servers a gateway
	out            int                   // attempts out
	stretch, spent float64               // means of latency over aim, of time until an answer or a time-out
	sentAt, probes float64               // probes: that may be sent
	news           peermsg.News
	classList      []*class
	maxWorth       float64 // of any class, a unit
	ring           ring.Ring
	classes        map[string]*class
	plans          []*plan
	byPlan         map[string]*plan
	nodes          nodes.Table[server]
	reqs           map[string]*request
	live, queue    []*request

	custs      map[account]*customer
	orders     []peermsg.Order // of peers' messages
	pulse      pulse.Pulse     // of peers, and who is silent
	work, done fade.Rate       // seconds of it a second that quotas let in, and that were answered well
	shares     float64         // of their capacity that the servers have by now, in sum
	sweepAt    float64
	press      *overload.State    // nil: off
	tracer     func(why.Decision) // nil: nobody asks for reasons
}

// outBy counts the customer's attempts out. Under a cap its owner hears of one that it lent no place to, and at once of
// one that ended where others may wait for its place; where no place is lent, of each.
func (g *Gateway) outBy(r *request, n int) {
	c := r.cust
	if c == nil {
		return
	}
	if c.out += n; r.plan.Parallel == 0 {
		return
	}
	switch tight := 2*(c.out+c.othersOut+1) >= r.plan.Parallel; {
	case g.owner(c) == g.s.Me:
	case !c.lender, n > 0 && c.held.Now(g.now) < c.out:
		g.note(c, false)
	case n < 0 && tight:
		g.note(c, true)
	}
}

// over notes that a request has had its final answer, and forgets it once nothing is out. What was never sent never counted.
func (g *Gateway) over(r *request) {
	r.over = true
	if r.owes {
		r.owes = false
		r.cust.ceil.Owed -= r.Units
	}
	if r.taken && len(r.attempts) == 0 {
		r.taken = false
		r.cust.due--
		g.charge(r.cust, -r.Units)
	}
	if r.out == 0 {
		delete(g.reqs, r.ID)
	}
}

// free is how many places of a capped customer are free here at its owner. A gateway that has just started knows nothing of what is out.
func (g *Gateway) free(c *customer) int {
	if g.now < g.lendFrom && g.s.Peers && c.entries != 1 {
		return 0
	}
	return c.plan.Parallel - c.out - c.due - c.book.Out(g.now, -1)
}

// capped tells that no other attempt of the customer may begin here now.
func (g *Gateway) capped(c *customer) bool {
	return c.plan.Parallel > 0 && (c.out >= c.plan.Parallel || g.owner(c) == g.s.Me && g.free(c)+c.due <= 0)
}

// like is the class that a request so cheap must be of.
func (g *Gateway) like(cheap float64) (best *class) {
	near := math.Inf(1)
	for _, c := range g.classList {
		if d := math.Abs(1 - c.Worth/max(g.maxWorth, 1e-9) - cheap); d < near {
			near, best = d, c
		}
	}
	return best
}

// wants is what the customer asks for here, passed or not, in units a second.
func (g *Gateway) wants(c *customer) float64 { return c.demand.Now(g.now, demandTauS) }

// walk goes on the ring from the customer's point to the first gateway that serves it, and with skip to the first that is not silent.
func (g *Gateway) walk(c *customer, skip bool) int {
	if gw, ok := g.ring.Walk(c.hash, func(gw int) bool {
		return (gw-c.first+g.s.Gateways)%g.s.Gateways < c.entries && (!skip || g.alive(gw))
	}); ok {
		return gw
	}
	return g.s.Me
}

// expect has the customer's reports looked after until they are answered.
func (g *Gateway) expect(c *customer) {
	if !c.waiting {
		c.waiting = true
		g.waiting = append(g.waiting, c)
	}
}

func (g *Gateway) header() []byte {
	g.seq++
	return peermsg.AppendHeader(make([]byte, 0, peermsg.Limit), g.boot, g.seq)
}

// meanUtil is the use of the servers' cores, by what was reported of late.
func (g *Gateway) meanUtil() (mean float64, fresh bool) {
	n := 0.0
	for _, s := range g.nodes.Order {
		if g.now-s.utilAt < utilS {
			n++
			mean += s.util
		}
	}
	return mean / max(n, 1), n > 0
}

// roomNow is the room as a member knows it.
func (g *Gateway) roomNow(c *customer) float64 {
	if c.led != nil {
		// Ownership moved on: what was counted here is the best start for a member.
		c.room, c.roomAt, c.known, c.acked, c.led = g.ledger(c).Room, g.now, true, c.total, nil
	}
	return min(c.plan.Burst, c.room+c.plan.Rate*(g.now-c.roomAt)) - max(c.total-c.acked, 0)
}

// Overload is what this gateway knows of how much too much is asked of the fleet; nil where it looks for none.
func (g *Gateway) Overload() *overload.State { return g.press }

// clock sets the time, and notes when this gateway itself stood still.
func (g *Gateway) clock(now float64) {
	if now-g.now > gapS {
		g.gapAt = now
	}
	g.now = now
}

// customer finds or makes what is kept of a customer.
func (g *Gateway) customer(q Request) *customer {
	h, p := peermsg.Point(q.Customer), g.byPlan[q.Plan]
	c := g.custs[account{uint32(h >> 32), uint32(p.index)}]
	if c == nil {
		c = g.newCustomer(uint32(h>>32), p)
	}
	if c.entries == 0 {
		c.hash, c.first, c.entries = h, q.First, q.Entries
		if c.entries <= 0 || c.entries > g.s.Gateways {
			c.first, c.entries = 0, g.s.Gateways
		}
		c.prime = g.walk(c, false)
	}
	c.usedAt = g.now
	return c
}

// setClasses makes the settings' classes. What is known of one goes by its name, also while it is not among them.
func (g *Gateway) setClasses() {
	g.maxWorth = 0
	clear(g.classes)
	for _, c := range g.s.Classes {
		g.maxWorth = max(g.maxWorth, c.Worth)
		i := slices.IndexFunc(g.classList, func(k *class) bool { return k.Name == c.Name })
		if i < 0 {
			i = len(g.classList)
			g.classList = append(g.classList, &class{Class: c, index: i, tag: peermsg.Tag(c.Name), lat: firstLat * c.AimS,
				dev: firstLat / 2 * c.AimS})
			for _, s := range g.nodes.By {
				s.Grow(len(g.classList))
			}
		} else if g.classList[i].Class != c {
			k := *g.classList[i]
			k.Class, g.classList[i] = c, &k
		}
		g.classes[c.Name] = g.classList[i]
		g.classList[i].cheaper = overload.Cheaper(c.Worth, g.s.Classes, func(k Class) float64 { return k.Worth })
	}
}

// weigh brings what the servers can do up to now.
func (g *Gateway) weigh() {
	g.shares = 0
	for _, s := range g.nodes.Order {
		if s.State == Up && g.now >= s.downUntil {
			g.shares += s.Warm(g.now, g.s.ColdS, g.s.ColdFrom)
		}
	}
}

// forget drops customers unused for so long of which nothing is left to tell.
func (g *Gateway) forget(age float64) {
	for k, c := range g.custs {
		if g.now-c.usedAt > age && c.out == 0 && len(c.asks) == 0 && !c.dirty && !c.waiting && g.fresh(c) {
			delete(g.custs, k)
		} else if c.led != nil {
			c.led.Drop(g.now, memberS)
		}
	}
}

// fresh tells that window and ceiling are as full as those of a customer never heard of.
func (g *Gateway) fresh(c *customer) bool {
	p, n := c.plan, float64(max(c.entries, 1))
	room := 0.0
	if c.led != nil {
		room = g.ledger(c).Room
	} else {
		room = g.roomNow(c)
	}
	local := c.local.Level + p.Rate/n*(g.now-c.local.At)
	full := p.Rate <= 0 || room >= p.Burst-1e-9 && local >= max(p.Burst/n, float64(g.s.MaxUnits))
	return full && c.ceil.Full(g.ceiling(c), g.now)
}

// Retune takes other classes, and another number of attempts, while requests are under way.
func (g *Gateway) Retune(now float64, classes []Class, attempts int) error {
	s, err := g.s.Retuned(classes, attempts, len(g.classList), classesMost)
	if err != nil {
		return err
	}
	g.clock(now)
	g.s = s
	g.setClasses()
	g.drain()
	return nil
}

// Started takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) Started(now float64, id string, attempt int) {
	g.clock(now)
	if r := g.reqs[id]; r != nil {
		r.stream = true
	}
}

// Gone takes the news that the request needs no answer any more.
func (g *Gateway) Gone(now float64, id string) {
	g.clock(now)
	if r := g.reqs[id]; r != nil && !r.over {
		g.over(r)
	}
}

// report takes in a load report.
func (g *Gateway) report(s *server, l *Load) {
	if l != nil && l.Util >= 0 {
		s.util, s.utilAt = l.Util, g.now
		g.news.Add(peermsg.Item{Server: s.Hash, Class: peermsg.LoadItem, Value: l.Util, At: g.now})
	}
}

// verdict is what quota and ceiling say of a first send.
type verdict int

const (
	deny verdict = iota
	pass
	paid // out of what was set aside ahead
	wait // the owner is asked
)

// begin counts an attempt as out.
func (g *Gateway) begin(r *request, s *server) {
	s.inflight++
	g.out++
	r.out++
	g.sentAt, s.sentAt = g.now, g.now
	if r.taken && len(r.attempts) == 0 {
		r.cust.due--
	}
	g.outBy(r, 1)
	r.attempts = append(r.attempts, attempt{srv: s, sentAt: g.now})
}

// ended finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) ended(o Outcome) (*request, *attempt) {
	r := g.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.srv.inflight--
	g.out--
	r.out--
	g.outBy(r, -1)
	return r, a
}
