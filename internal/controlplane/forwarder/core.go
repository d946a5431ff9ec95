package forwarder

import (
	"math/rand/v2"
	"slices"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// TickIntervalS is how often Core.Tick is to be called, in seconds.
const TickIntervalS = 0.02

// Config is fixed for the life of a Core.
type Config struct {
	topology.Params
	Number         int // this forwarder's number, from 0
	Classes        []policy.Class
	Plans          []policy.Plan
	MaxRetryAfterS float64 // bound of the Retry-After of a rejected client, in seconds
	MaxAttempts    int     // of a request, whichever planners decide on them; 0: no bound of the forwarder's
	Seed           uint64  // of all that is drawn at random
}

// Output carries out what a Core asks for. It is called only while one of the Core's methods runs, and must not call back.
type Output interface {
	policy.Actions // carried out by the ingress
	// SendToPlanner queues messages in order; they are dropped silently if the planner's link is down.
	SendToPlanner(planner int, msgs ...transport.Message)
	// PlannerWritable reports whether the planner's link is up and keeps up.
	PlannerWritable(planner int) bool
	// SetCordoned keeps all requests off a backend, whatever discovery reports, or ends that.
	SetCordoned(backend string, cordoned bool)
}

// Core holds the decisions of one forwarder. It is not safe for concurrent use. Times are Unix seconds of this machine and never go back.
type Core struct {
	cfg        Config
	out        Output
	rng        *rand.Rand
	now        float64 // of the present event
	classIndex map[string]int
	planIndex  map[string]int

	cells           []cellState
	planners        []plannerLink
	disconnectedAt  float64 // when the last link ended; matters while none is up
	nextHeartbeatAt float64

	requests   map[string]*openRequest // by id; maxOpenRequests, and those that are completed with attempts in flight
	submitted  map[uint64]*openRequest // by handle: those of requests that a planner knows
	lastHandle uint64                  // that a request was submitted under

	orphans map[string]orphanCount // by account; bounded by requests
	usage   usageTable
	cordons cordon.Registers

	// migrated is true from Migrate to Reclaim: another process decides, and this one only records what becomes of its requests.
	migrated bool

	Stats Stats
}

// Stats counts events since the forwarder's start.
type Stats struct {
	Requests     uint64 `json:"Requests"`
	Submitted    uint64 `json:"Told"`   // to planners
	Resubmitted  uint64 `json:"Retold"` // of these, after a change of leaders
	Served       uint64 `json:"Served"` // answered by a backend
	StaleActions uint64 `json:"Stale"`  // decisions of planners that are not followed
	// RejectedNoLeader counts requests that the forwarder rejected by itself: no leader in time, no decision by the deadline, or no further
	// attempt allowed after a change of leaders. FailedNoLeader counts those of them that may have run, and so failed.
	RejectedNoLeader uint64 `json:"RefusedUnled"`
	// RejectedAtCapacity counts requests that came while too many were open, or while the leader's link did not keep up.
	RejectedAtCapacity uint64 `json:"RefusedFull"`
	FailedNoLeader     uint64 `json:"FailedUnled"`
	UsageReports       uint64 `json:"Tales"` // accounts reported on to new leaders
}

// plannerLink is the state of the link to one planner.
type plannerLink struct {
	linked        bool
	incarnation   uint64 // of the planner's process; stays when the link ends
	cordonCapable bool   // the planner knows the records of cordons
}

// NewCore returns the decisions of a forwarder that has just started.
func NewCore(cfg Config, now float64, out Output) *Core {
	c := &Core{
		cfg:            cfg,
		out:            out,
		rng:            rand.New(rand.NewPCG(cfg.Seed, 0x2545f4914f6cdd1d)),
		now:            now,
		classIndex:     map[string]int{},
		planIndex:      map[string]int{},
		cells:          make([]cellState, cfg.Cells),
		planners:       make([]plannerLink, cfg.Planners),
		disconnectedAt: now,
		requests:       map[string]*openRequest{},
		submitted:      map[uint64]*openRequest{},
		orphans:        map[string]orphanCount{},
		usage:          newUsageTable(topology.LongestWindowS(cfg.Plans), now, maxUsageAccounts),
	}
	for i, class := range cfg.Classes {
		c.classIndex[class.Name] = i
	}
	for i, plan := range cfg.Plans {
		c.planIndex[plan.Name] = i
	}
	c.resetPromises()
	return c
}

// LinkUp handles a new link to a planner.
func (c *Core) LinkUp(now float64, planner int, incarnation uint64) {
	if c.now = now; c.migrated {
		return
	}
	c.planners[planner] = plannerLink{linked: true, incarnation: incarnation}
	c.out.SendToPlanner(planner, transport.NewForwarderCordonCapable())
	c.sendViews(planner)
}

// LinkDown handles the end of a link. The promises stand: they were given to the planner, not to its link.
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

// anyPlannerLinked reports whether a link to some planner is up.
func (c *Core) anyPlannerLinked() bool {
	return slices.ContainsFunc(c.planners, func(p plannerLink) bool { return p.linked })
}

// HandleMessage handles a message of a planner.
func (c *Core) HandleMessage(now float64, planner int, msg *transport.Message) {
	if c.now = now; c.migrated {
		return
	}
	switch msg.KindFromPlanner() {
	case transport.KindClaim:
		c.handleClaim(planner, msg)
	case transport.KindLead:
		c.handleLead(planner, msg)
	case transport.KindCordonRead, transport.KindCordonWrite:
		c.handleCordon(planner, msg)
	case transport.KindCordonCapable:
		c.handleCordonCapable(planner)
	case transport.KindShedLevel:
		c.relayShedLevel(planner, msg)
	case transport.KindRelease:
		c.handleRelease(planner, msg)
	case transport.KindHandbackRequest:
		c.handleHandbackRequest(planner, msg)
	case transport.KindSend, transport.KindReject, transport.KindFail, transport.KindCancel, transport.KindProbe:
		if !c.follows(planner, int(msg.Cell), msg.Epoch) {
			c.Stats.StaleActions++
			return
		}
		c.execute(planner, msg)
	}
}

// relayShedLevel passes a planner's load-shedding level on to all others.
func (c *Core) relayShedLevel(planner int, msg *transport.Message) {
	for other := range c.planners {
		if other != planner && c.planners[other].linked {
			c.out.SendToPlanner(other, transport.RelayedShedLevel(msg))
		}
	}
}

// HandleProbeResult forwards the result of a health check to all leaders.
func (c *Core) HandleProbeResult(now float64, result policy.ProbeResult) {
	c.now = now
	for i := range c.cells {
		cell := &c.cells[i]
		if !cell.hasLeader {
			continue
		}
		msg := transport.Message{Kind: transport.KindProbeResult, Cell: uint16(i), Epoch: cell.epoch, Name: result.Backend,
			Class: uint8(result.Status), DurationS: result.LatencyS}
		setLoad(&msg, result.Load)
		c.out.SendToPlanner(cell.holder, msg)
	}
}

// setLoad puts a backend's load report, if there is one, into a message.
func setLoad(msg *transport.Message, load *policy.Load) {
	if load != nil {
		msg.HasLoad = true
		msg.Load = [6]float64{load.InFlight, load.Queue, load.Utilization, load.ServiceMS, load.ServedPerS, load.FailedPerS}
	}
}

// Tick ends promises that have run out and requests that have waited too long. It is to be called every TickIntervalS.
func (c *Core) Tick(now float64) {
	if c.now = now; c.migrated {
		return
	}
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader && cell.expired(now) && topology.Fenced {
			c.becomeLeaderless(i)
		}
		c.endWaiting(&c.cells[i])
	}
	c.endOverdue()
	c.usage.sweep(now)
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = now + c.cfg.HeartbeatS
		c.broadcastViews(c.allViews())
	}
}
