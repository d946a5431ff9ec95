// Package forward is the forwarder's side of two levels: it stands where the decision module stands in a
// one-program ingress, and has planners decide. core.go and usage.go decide (whom to follow, what becomes of
// requests whose planner is lost) without I/O or a clock; remote.go is the link.
package forwarder

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

const (
	// TickIntervalS is how often promises and waiting requests are looked at.
	TickIntervalS         = 0.02
	handbackRequestTTLS   = 0.5      // how long a planner's wish for a cell stands
	maxOpenRequests       = 16 << 10 // requests told or waiting; further ones are refused
	maxUsageAccounts      = 64 << 10 // customers of whom is kept what was passed on
	keyTTLMarginS         = 0.05     // taken off the time for which a key is remembered
	leaderWaitFraction    = 0.5      // of its time, for which a request may wait for a planner
	minRetryAfterFraction = 0.5      // share of the longest hint that the fail-safe gives at least
)

// Config is fixed for the life of a Core.
type Config struct {
	topology.Params
	Number         int // this forwarder's, from 0
	Classes        []policy.Class
	Plans          []policy.Plan
	MaxRetryAfterS float64
	MaxAttempts    int // of a request, whoever decides on them; 0: as many as planners want
	Seed           uint64
}

// Output is what a Core asks for. Calls of policy.Actions end up at the ingress, Link and Room at the planners'
// links. All of it is asked for while one of the Core's methods runs.
type Output interface {
	policy.Actions
	SendToPlanner(planner int, msgs ...transport.Message)
	PlannerWritable(planner int) bool         // whether the link keeps up
	SetCordoned(server string, cordoned bool) // nothing is to be written to it any more, or again
}

// Core follows planners. It is not safe for concurrent use; times are Unix seconds of this machine and never go
// back.
type Core struct {
	cfg             Config
	out             Output
	rng             *rand.Rand
	now             float64
	classIndex      map[string]int
	planIndex       map[string]int
	cells           []cellState
	planners        []plannerLink
	requests        map[string]*openRequest // bounded by maxOpenRequests, and what is over but out
	submitted       map[uint64]*openRequest // by handle: those of requests that a planner knows
	lastHandle      uint64
	orphans         map[string]orphanCount // by customer: attempts out whose request no leader knows; bounded by requests
	usage           usageTable
	nextHeartbeatAt float64
	disconnectedAt  float64 // when the last link ended, if none stands
	cordons         cordon.Registers
	handedOver      bool // another process goes on: see Move
	Stats           Stats
}

// Stats counts, from the start on.
type Stats struct {
	Requests           uint64 `json:"Requests"`
	Submitted          uint64 `json:"Told"`
	Resubmitted        uint64 `json:"Retold"`
	Served             uint64 `json:"Served"`
	StaleActions       uint64 `json:"Stale"` // Stale: actions of a planner that is not followed
	RejectedNoLeader   uint64 `json:"RefusedUnled"`
	RejectedAtCapacity uint64 `json:"RefusedFull"`
	FailedNoLeader     uint64 `json:"FailedUnled"` // in the forwarder's own words
	UsageReports       uint64 `json:"Tales"`       // customers told of to new leaders
}

// cellState is one cell as this forwarder sees it. epoch, holder, life and until are the promise.
type cellState struct {
	epoch           uint64
	holder          int // -1: none yet
	incarnation     uint64
	promisedUntil   float64
	hasLeader       bool    // the holder has said that it leads, and its link has stood since
	leaderlessSince float64 // since when it is not
	requester       int
	requestedAt     float64
	waiting         []*openRequest // in the order in which they came
}

type orphanCount struct{ plan, attempts int }

type plannerLink struct {
	linked        bool
	incarnation   uint64
	cordonCapable bool // it knows records of holds
}

// openRequest is a request that is owed an answer, or that has attempts out.
type openRequest struct {
	policy.Request
	class, plan, cellID      int
	handle                   uint64 // as the planner knows it, 0: none knows it
	plannerAttempts          []int  // of this telling: own number by the planner's, -1: not made
	sentAt                   []float64
	attemptDone              []bool
	inFlight                 int
	unitsCounted             bool // its units count as passed on
	mayHaveRun               bool // an attempt may have run
	firstRunAt               float64
	completed                bool
	receivedAt, waitingSince float64
}

// NewCore returns a forwarder's decisions at its start.
func NewCore(cfg Config, now float64, out Output) *Core {
	c := &Core{cfg: cfg, out: out, rng: rand.New(rand.NewPCG(cfg.Seed, 0x2545f4914f6cdd1d)), now: now,
		classIndex: map[string]int{}, planIndex: map[string]int{}, cells: make([]cellState, cfg.Cells),
		planners: make([]plannerLink, cfg.Planners), requests: map[string]*openRequest{}, submitted: map[uint64]*openRequest{}, disconnectedAt: now, orphans: map[string]orphanCount{},
		usage: newUsageTable(topology.LongestWindowS(cfg.Plans), now, maxUsageAccounts)}
	for i, k := range cfg.Classes {
		c.classIndex[k.Name] = i
	}
	for i, p := range cfg.Plans {
		c.planIndex[p.Name] = i
	}
	for i := range c.cells {
		cell := &c.cells[i]
		cell.holder, cell.leaderlessSince, cell.requester = -1, now, -1
		cell.promisedUntil = now + cfg.LeaseS // this forwarder's life before may have promised the cell to somebody
	}
	return c
}

// ---- Whom to follow ----

// follows tells whether actions of an epoch are to be followed. The one check of fencing on the forwarder's side.
func (c *Core) follows(planner int, cellID uint16, epoch uint64) (*cellState, bool) {
	if int(cellID) >= len(c.cells) {
		return nil, false
	}
	cell := &c.cells[cellID]
	ok := cell.hasLeader && cell.holder == planner && cell.epoch == epoch && (c.now < cell.promisedUntil || !topology.Fenced)
	return cell, ok
}

// handleClaim answers a planner's claim: a promise that was given is renewed, a new one given if no other runs.
func (c *Core) handleClaim(planner int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cell := &c.cells[msg.Cell]
	incarnation := c.planners[planner].incarnation
	switch {
	case cell.holder == planner && cell.incarnation == incarnation && cell.epoch == msg.Epoch:
		if c.now >= cell.promisedUntil && topology.Fenced {
			c.becomeLeaderless(int(msg.Cell)) // it ran out in between; the planner says anew that it leads
		}
		cell.promisedUntil = c.now + c.cfg.LeaseS
		c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindGrant, Cell: msg.Cell, Epoch: msg.Epoch, Round: msg.Round})
	case msg.Epoch > cell.epoch && (c.now >= cell.promisedUntil || cell.holder == planner && cell.incarnation == incarnation): // its own former one is over
		c.becomeLeaderless(int(msg.Cell))
		cell.epoch, cell.holder, cell.incarnation, cell.promisedUntil = msg.Epoch, planner, incarnation, c.now+c.cfg.LeaseS
		c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindGrant, Cell: msg.Cell, Epoch: msg.Epoch, Round: msg.Round})
		c.reportUsage(int(msg.Cell))
		c.sendViews(-1, int(msg.Cell))
	default:
		c.sendViews(planner, int(msg.Cell))
	}
}

// reportUsage tells a new holder what was passed on of late in its cell. From the promise on no older epoch is followed.
func (c *Core) reportUsage(cellID int) {
	cell := &c.cells[cellID]
	c.usage.each(c.now, func(account string, usage windowUsage) {
		if c.cfg.CellOf(account) == cellID {
			c.Stats.UsageReports++
			c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReport, Cell: uint16(cellID), Epoch: cell.epoch, Name: account,
				Plan: uint8(usage.plan), Handle: usage.epoch, Round: usage.seq, Units: usage.debt, DurationS: max(c.now-usage.at, 0)})
		}
	})
	c.reportOrphans(cellID)
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindUsageReportEnd, Cell: uint16(cellID), Epoch: cell.epoch,
		Flag: c.usage.complete(c.now)})
}

// reportOrphans tells a cell's holder which attempts are out here that it did not decide.
func (c *Core) reportOrphans(cellID int) {
	for _, account := range slices.Sorted(maps.Keys(c.orphans)) {
		if c.cfg.CellOf(account) == cellID {
			c.reportOrphansOf(account, c.orphans[account])
		}
	}
}

func (c *Core) reportOrphansOf(account string, orphans orphanCount) {
	cellID := c.cfg.CellOf(account)
	cell := &c.cells[cellID]
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindOrphans, Cell: uint16(cellID), Epoch: cell.epoch, Name: account, Plan: uint8(orphans.plan),
		Number: uint32(orphans.attempts)})
}

// sendViews tells planner p, or all with -1, how cells stand here: one cell, or all with -1.
func (c *Core) sendViews(planner, cellID int) {
	var msgs []transport.Message
	for i := range c.cells {
		if cell := &c.cells[i]; cellID < 0 || i == cellID {
			msg := transport.Message{Kind: transport.KindView, Cell: uint16(i), Epoch: cell.epoch, Number: uint32(cell.holder + 1),
				DurationS: max(cell.promisedUntil-c.now, 0)}
			if cell.requester >= 0 && c.now < cell.requestedAt+handbackRequestTTLS {
				msg.Requester = uint16(cell.requester + 1)
			}
			msgs = append(msgs, msg)
		}
	}
	for i := range c.planners {
		if c.planners[i].linked && (planner < 0 || i == planner) {
			c.out.SendToPlanner(i, msgs...)
		}
	}
}

// followLeader takes the holder's word that it leads: what waits is told to it.
func (c *Core) followLeader(planner int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cell := &c.cells[msg.Cell]
	if cell.hasLeader || cell.holder != planner || cell.epoch != msg.Epoch || c.now >= cell.promisedUntil && topology.Fenced {
		return
	}
	cell.hasLeader = true
	c.reportOrphans(int(msg.Cell))
	waiting := cell.waiting
	cell.waiting = nil
	for _, request := range waiting {
		switch {
		case request.completed:
		case !c.out.PlannerWritable(planner):
			c.Stats.RejectedAtCapacity++
			c.finishWithoutLeader(request)
		default:
			c.submit(request)
		}
	}
}

// becomeLeaderless stops following a cell's holder. Requests that it knows are on their own: those with nothing out wait
// for a successor, the others end with their attempts or wait then.
func (c *Core) becomeLeaderless(cellID int) {
	cell := &c.cells[cellID]
	if !cell.hasLeader {
		return
	}
	cell.hasLeader, cell.leaderlessSince = false, c.now
	var abandoned []*openRequest
	for _, request := range c.submitted {
		if request.cellID == cellID {
			abandoned = append(abandoned, request)
		}
	}
	slices.SortFunc(abandoned, func(a, b *openRequest) int { return cmp.Compare(a.handle, b.handle) })
	for _, request := range abandoned {
		if c.planners[cell.holder].linked {
			c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindWithdraw, Handle: request.handle})
		}
		c.withdraw(request)
		if !request.completed && request.inFlight == 0 {
			c.dispatch(request)
		}
		c.releaseIfDone(request)
	}
}

// LinkUp takes a new link to a planner of the given life.
func (c *Core) LinkUp(now float64, planner int, incarnation uint64) {
	if c.now = now; c.handedOver {
		return
	}
	c.planners[planner] = plannerLink{linked: true, incarnation: incarnation}
	c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindDisconnected, Handle: transport.CordonCapableHandle})
	c.sendViews(planner, -1)
}

// LinkDown takes the end of a link. The promises stand: they were given to the planner, not to the link.
func (c *Core) LinkDown(now float64, planner int) {
	c.now = now
	c.planners[planner].linked, c.planners[planner].cordonCapable = false, false
	c.disconnectedAt = now
	for i := range c.cells {
		if c.cells[i].holder == planner {
			c.becomeLeaderless(i)
		}
	}
}

// HandleMessage takes what a planner says.
func (c *Core) HandleMessage(now float64, planner int, msg *transport.Message) {
	if c.now = now; c.handedOver {
		return
	}
	switch msg.Kind {
	case transport.KindClaim:
		c.handleClaim(planner, msg)
	case transport.KindLead:
		c.followLeader(planner, msg)
	case transport.KindCordonRead, transport.KindCordonWrite:
		c.handleCordon(planner, msg)
	case transport.KindRelease:
		if msg.Cell == transport.CordonCapableCell {
			c.planners[planner].cordonCapable = true
			c.cordons.Each(func(id string, state cordon.State) { c.out.SendToPlanner(planner, cordonStateMessage(0, id, state)) })
		} else if msg.Cell == transport.ShedLevelCell {
			for other := range c.planners {
				if other != planner && c.planners[other].linked {
					c.out.SendToPlanner(other, transport.Message{Kind: transport.KindDisconnected, Handle: msg.Epoch})
				}
			}
		} else if int(msg.Cell) < len(c.cells) {
			if cell := &c.cells[msg.Cell]; cell.holder == planner && cell.epoch == msg.Epoch {
				cell.promisedUntil = now
				c.becomeLeaderless(int(msg.Cell))
				c.sendViews(-1, int(msg.Cell))
			}
		}
	case transport.KindHandbackRequest:
		if int(msg.Cell) < len(c.cells) {
			cell := &c.cells[msg.Cell]
			cell.requester, cell.requestedAt = planner, now
		}
	case transport.KindSend, transport.KindReject, transport.KindFail, transport.KindCancel, transport.KindProbe:
		if _, ok := c.follows(planner, msg.Cell, msg.Epoch); !ok {
			c.Stats.StaleActions++
			return
		}
		c.execute(planner, msg)
	}
}

// ---- Requests ----

// execute carries out what the followed planner decided.
func (c *Core) execute(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindProbe {
		c.out.Probe(msg.Name)
		return
	}
	request := c.submitted[msg.Handle]
	if request == nil || request.cellID != int(msg.Cell) {
		return // over since, or of an older telling
	}
	switch msg.Kind {
	case transport.KindSend:
		if request.completed {
			return
		}
		if request.inFlight > 0 { // never two attempts out, whoever asks
			c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindOutcome, Handle: request.handle, Number: uint32(len(request.plannerAttempts)),
				Class: uint8(policy.NotSent)})
			request.plannerAttempts = append(request.plannerAttempts, -1)
			return
		}
		if c.attemptsExhausted(request) {
			c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindDisconnected, Handle: request.handle})
			c.finishWithoutLeader(request)
			return
		}
		request.unitsCounted = true
		if msg.Round > 0 {
			c.usage.record(request.Account, windowUsage{request.plan, msg.Epoch, msg.Round, msg.Units, c.now})
		}
		request.plannerAttempts = append(request.plannerAttempts, len(request.attemptDone))
		request.sentAt, request.attemptDone = append(request.sentAt, c.now), append(request.attemptDone, false)
		request.inFlight++
		c.out.Send(request.ID, msg.Name, msg.DurationS)
	case transport.KindReject:
		if c.mayReject(request) {
			c.out.Reject(request.ID, msg.DurationS)
		} else {
			c.out.Fail(request.ID)
		}
		request.completed = true
	case transport.KindFail:
		c.out.Fail(request.ID)
		request.completed = true
	case transport.KindCancel:
		if int(msg.Number) < len(request.plannerAttempts) && request.plannerAttempts[msg.Number] >= 0 && !request.attemptDone[request.plannerAttempts[msg.Number]] {
			c.out.Cancel(request.ID, request.plannerAttempts[msg.Number])
		}
	}
	c.releaseIfDone(request)
}

// mayReject tells whether a refusal, which says that trying again does no harm, would be true.
func (c *Core) mayReject(request *openRequest) bool {
	class := &c.cfg.Classes[request.class]
	return !request.mayHaveRun && request.inFlight == 0 || class.Idempotency == policy.Idempotent || class.Idempotency == policy.KeyedIdempotent && class.KeyScope == policy.ScopeAll
}

// attemptsExhausted tells that no attempt is left. A leader counts those that it decided on itself; this forwarder counts them all.
func (c *Core) attemptsExhausted(request *openRequest) bool {
	return c.cfg.MaxAttempts > 0 && len(request.attemptDone) >= c.cfg.MaxAttempts
}

// mayRetry tells whether another attempt, which a successor decides on, could do harm. The successor knows
// nothing of the earlier ones, so what it may not know rules the request out: a group of servers for the key.
func (c *Core) mayRetry(request *openRequest) bool {
	class := &c.cfg.Classes[request.class]
	switch {
	case !request.mayHaveRun || class.Idempotency == policy.Idempotent:
		return true
	case class.Idempotency == policy.KeyedIdempotent:
		return class.KeyScope == policy.ScopeAll && c.now < request.firstRunAt+class.KeyTTLS-keyTTLMarginS-class.LatencyObjectiveS
	}
	return false
}

// HandleRequest takes a client's request.
func (c *Core) HandleRequest(now float64, q policy.Request) {
	c.now = now
	class, knownClass := c.classIndex[q.Class]
	plan, knownPlan := c.planIndex[q.Plan]
	if c.requests[q.ID] != nil {
		return
	}
	c.Stats.Requests++
	if !knownClass || !knownPlan {
		if !c.handedOver {
			c.out.Fail(q.ID)
		}
		return
	}
	request := &openRequest{Request: q, class: class, plan: plan, cellID: c.cfg.CellOf(q.Account), receivedAt: now, waitingSince: now}
	cell := &c.cells[request.cellID]
	switch {
	case c.handedOver:
		if len(c.requests) < maxOpenRequests {
			c.requests[q.ID] = request
		}
		return
	case len(c.requests) >= maxOpenRequests, cell.hasLeader && !c.out.PlannerWritable(cell.holder):
		c.Stats.RejectedAtCapacity++
		c.out.Reject(q.ID, c.retryAfterS())
		return
	case c.inFailsafe(cell):
		c.Stats.RejectedNoLeader++
		c.out.Reject(q.ID, c.retryAfterS())
		return
	}
	c.requests[q.ID] = request
	c.dispatch(request)
}

// anyPlannerLinked tells that a link to some planner stands.
func (c *Core) anyPlannerLinked() bool {
	return slices.ContainsFunc(c.planners, func(p plannerLink) bool { return p.linked })
}

// inFailsafe tells that no request of the cell is to wait: there is no planner to be reached, or none has led the
// cell for as long as a request would wait.
func (c *Core) inFailsafe(cell *cellState) bool {
	return !cell.hasLeader && (!c.anyPlannerLinked() && c.now >= c.disconnectedAt+c.cfg.FailsafeDelayS || c.now >= cell.leaderlessSince+c.cfg.LeaderWaitS)
}

// retryAfterS is when to come back, spread by chance so that clients do not come together.
func (c *Core) retryAfterS() float64 {
	return c.cfg.MaxRetryAfterS * (minRetryAfterFraction + (1-minRetryAfterFraction)*c.rng.Float64())
}

// dispatch has a request decided on, now or by the next leader. Nothing of it is out.
func (c *Core) dispatch(request *openRequest) {
	if c.handedOver {
		return
	}
	if !c.mayRetry(request) || c.attemptsExhausted(request) {
		c.finishWithoutLeader(request)
		return
	}
	if c.cells[request.cellID].hasLeader {
		c.submit(request)
		return
	}
	request.waitingSince = c.now
	c.cells[request.cellID].waiting = append(c.cells[request.cellID].waiting, request)
}

// submit hands a request to the leader of its cell. Units that were passed on already are not counted again.
func (c *Core) submit(request *openRequest) {
	c.lastHandle++
	request.handle, request.plannerAttempts = c.lastHandle, request.plannerAttempts[:0]
	c.submitted[request.handle] = request
	units := request.Units
	if request.unitsCounted {
		units = 0
	}
	if c.Stats.Submitted++; len(request.attemptDone) > 0 || request.waitingSince != request.receivedAt {
		c.Stats.Resubmitted++
	}
	cell := &c.cells[request.cellID]
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindRequest, Cell: uint16(request.cellID), Epoch: cell.epoch, Handle: request.handle,
		Class: uint8(request.class), Plan: uint8(request.plan), Name: request.Account, DurationS: request.DeadlineAt - c.now, Units: units,
		Flag: request.Retry})
}

// withdraw forgets what a planner knows of a request: what it still says of it changes nothing.
func (c *Core) withdraw(request *openRequest) {
	delete(c.submitted, request.handle)
	if request.handle != 0 && request.inFlight > 0 {
		c.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + request.inFlight}
	}
	request.handle = 0
}

// finishWithoutLeader gives the final answer to a request that nobody can decide on any more.
func (c *Core) finishWithoutLeader(request *openRequest) {
	if c.mayReject(request) {
		c.Stats.RejectedNoLeader++
		c.out.Reject(request.ID, c.retryAfterS())
	} else {
		c.Stats.FailedNoLeader++
		c.out.Fail(request.ID)
	}
	request.completed = true
	c.releaseIfDone(request)
}

// releaseIfDone lets go of a request that is over once nothing of it is out.
func (c *Core) releaseIfDone(request *openRequest) {
	if request.completed && request.inFlight == 0 {
		if c.withdraw(request); c.requests[request.ID] == request {
			delete(c.requests, request.ID)
		}
	}
}

// HandleOutcome takes the end of an attempt.
func (c *Core) HandleOutcome(now float64, outcome policy.Outcome) {
	c.now = now
	request := c.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attemptDone) || request.attemptDone[outcome.Attempt] {
		return
	}
	request.attemptDone[outcome.Attempt] = true
	request.inFlight--
	if notRun := outcome.Status == policy.Rejected || outcome.Status == policy.ConnectFailed || outcome.Status == policy.NotSent; !notRun && !request.mayHaveRun {
		request.mayHaveRun, request.firstRunAt = true, request.sentAt[outcome.Attempt]
	}
	if outcome.Status == policy.OK && !request.completed {
		c.Stats.Served++
	}
	request.completed = request.completed || outcome.Completed || outcome.Status == policy.OK
	cell := &c.cells[request.cellID]
	if request.handle != 0 {
		msg := transport.Message{Kind: transport.KindOutcome, Handle: request.handle, Number: uint32(slices.Index(request.plannerAttempts, outcome.Attempt)),
			Class: uint8(outcome.Status), Flag: request.completed, DurationS: outcome.LatencyS}
		msg.HasLoad, msg.Load = loadFields(outcome.Load)
		c.out.SendToPlanner(cell.holder, msg)
	} else {
		orphans := c.orphans[request.Account]
		if orphans.attempts--; orphans.attempts > 0 {
			c.orphans[request.Account] = orphans
		} else {
			delete(c.orphans, request.Account)
		}
		if cell.hasLeader {
			c.reportOrphansOf(request.Account, orphans)
		}
		if !request.completed && request.inFlight == 0 {
			c.dispatch(request)
		}
	}
	c.releaseIfDone(request)
}

func loadFields(l *policy.Load) (bool, [6]float64) {
	if l == nil {
		return false, [6]float64{}
	}
	return true, [6]float64{l.InFlight, l.Queue, l.Utilization, l.ServiceMS, l.ServedPerS, l.FailedPerS}
}

// HandleDisconnect takes the news that a request needs no answer any more.
func (c *Core) HandleDisconnect(now float64, id string) {
	c.now = now
	if request := c.requests[id]; request != nil && !request.completed {
		request.completed = true
		if request.handle != 0 {
			c.out.SendToPlanner(c.cells[request.cellID].holder, transport.Message{Kind: transport.KindDisconnected, Handle: request.handle})
		}
		c.releaseIfDone(request)
	}
}

// HandleProbeResult takes the end of a probe: all leaders learn of it.
func (c *Core) HandleProbeResult(now float64, result policy.ProbeResult) {
	c.now = now
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader {
			msg := transport.Message{Kind: transport.KindProbeResult, Cell: uint16(i), Epoch: cell.epoch, Name: result.Backend, Class: uint8(result.Status),
				DurationS: result.LatencyS}
			msg.HasLoad, msg.Load = loadFields(result.Load)
			c.out.SendToPlanner(cell.holder, msg)
		}
	}
}

// Tick looks after promises that ran out and requests that wait; call it every TickIntervalS.
func (c *Core) Tick(now float64) {
	if c.now = now; c.handedOver {
		return
	}
	for i := range c.cells {
		cell := &c.cells[i]
		if cell.hasLeader && now >= cell.promisedUntil && topology.Fenced {
			c.becomeLeaderless(i)
		}
		remaining := cell.waiting[:0]
		waiting := cell.waiting
		cell.waiting = nil
		for _, request := range waiting {
			waitUntil := request.receivedAt + leaderWaitFraction*(request.DeadlineAt-request.receivedAt)
			switch {
			case request.completed:
				c.releaseIfDone(request)
			case c.inFailsafe(cell), now >= request.waitingSince+c.cfg.LeaderWaitS, now >= waitUntil && !request.mayHaveRun, now >= request.DeadlineAt-TickIntervalS:
				c.finishWithoutLeader(request)
			default:
				remaining = append(remaining, request)
			}
		}
		cell.waiting = remaining
	}
	c.endOverdue()
	c.usage.sweep(now)
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = now + c.cfg.HeartbeatS
		c.sendViews(-1, -1)
	}
}

// endOverdue ends what nobody has answered by the last moment at which its client still listens: a leader that has lost its
// lead, or stands still, says nothing more, and an attempt may outlive its leader and stay silent.
func (c *Core) endOverdue() {
	var requests []*openRequest
	for _, request := range c.requests {
		if !request.completed && c.now >= request.DeadlineAt-TickIntervalS {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *openRequest) int { return cmp.Compare(a.ID, b.ID) })
	for _, request := range requests {
		if request.handle != 0 {
			c.out.SendToPlanner(c.cells[request.cellID].holder, transport.Message{Kind: transport.KindDisconnected, Handle: request.handle})
		}
		c.finishWithoutLeader(request)
	}
}

// CountLed tells how many cells are led, and Failsafe for how many no new request is taken.
func (c *Core) CountLed() (led, failsafe int) {
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader {
			led++
		} else if c.inFailsafe(cell) {
			failsafe++
		}
	}
	return led, failsafe
}

// CellStatus is one cell for people.
type CellStatus struct {
	Cell         int     `json:"cell"`
	Epoch        uint64  `json:"epoch"`
	Holder       int     `json:"holder"` // -1: none yet
	HasLeader    bool    `json:"led"`
	PromiseLeftS float64 `json:"promise_left_s"`
	Waiting      int     `json:"waiting"`
	Failsafe     bool    `json:"failsafe"`
}

// CellStatuses lists how the cells stand, and how many requests are open.
func (c *Core) CellStatuses() (list []CellStatus, requests int) {
	for i := range c.cells {
		cell := &c.cells[i]
		list = append(list, CellStatus{i, cell.epoch, cell.holder, cell.hasLeader, math.Round(max(cell.promisedUntil-c.now, 0)*1e3) / 1e3,
			len(cell.waiting), c.inFailsafe(cell)})
	}
	return list, len(c.requests)
}
