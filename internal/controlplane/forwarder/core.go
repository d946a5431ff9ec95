package forwarder

import (
	"math/rand/v2"
	"slices"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// TickIntervalS is the interval between two calls of Core.Tick, in seconds.
const TickIntervalS = 0.02

// Config configures a Core. It does not change during the life of the Core.
type Config struct {
	topology.Params
	Number         int // this forwarder's number, from 0
	Classes        []policy.Class
	Plans          []policy.Plan
	MaxRetryAfterS float64 // upper bound of the Retry-After sent to rejected clients, in seconds
	MaxAttempts    int     // attempts allowed for a request, over all planners that decide on it; 0: not limited by the forwarder
	Seed           uint64  // seed of the random number generator
}

// Output carries out the actions of a Core. A Core calls it only from within its own methods; an Output must not call the Core back.
type Output interface {
	policy.Actions // carried out by the ingress
	// SendToPlanner queues messages in order. It drops them silently if the planner's link is down.
	SendToPlanner(planner int, msgs ...transport.Message)
	// PlannerWritable reports whether the planner's link is up and its send queue is not too long.
	PlannerWritable(planner int) bool
	// SetCordoned sets whether a backend is cordoned. A cordoned backend gets no requests, whatever discovery reports.
	SetCordoned(backend string, cordoned bool)
}

// Core is the state machine of one forwarder. It is not safe for concurrent use. Times are Unix seconds of this machine's clock and never
// decrease.
type Core struct {
	cfg        Config
	out        Output
	rng        *rand.Rand
	now        float64 // time of the current event
	classIndex map[string]int
	planIndex  map[string]int

	cells           []cellState
	planners        []plannerLink
	disconnectedAt  float64 // when a link ended last, or the process started; used only while no link is up
	nextHeartbeatAt float64

	requests   map[string]*openRequest // by id; no request is added while there are maxOpenRequests
	submitted  map[uint64]*openRequest // by handle: the requests that are submitted to a planner
	lastHandle uint64                  // the handle of the latest submission

	orphans map[string]orphanCount // by account; bounded by the size of requests
	usage   usageTable
	cordons cordon.Registers

	// migrated is true from Migrate to Reclaim: another process decides, and this process only records the outcomes of its requests.
	migrated bool

	Stats Stats
}

// Stats counts events since the start of the forwarder.
type Stats struct {
	Requests     uint64 `json:"Requests"`
	Submitted    uint64 `json:"Told"`   // submissions to planners
	Resubmitted  uint64 `json:"Retold"` // submissions of a request after a change of leaders
	Served       uint64 `json:"Served"` // requests answered by a backend
	StaleActions uint64 `json:"Stale"`  // decisions dropped because their planner is not followed
	// RejectedNoLeader counts requests that the forwarder rejected without a planner's decision: no leader in time, no decision by the
	// deadline, or no further attempt allowed after a change of leaders. In the same cases, FailedNoLeader counts the requests that may
	// have run and therefore failed.
	RejectedNoLeader uint64 `json:"RefusedUnled"`
	// RejectedAtCapacity counts requests that arrived while too many were open, or while the link to the leader did not keep up.
	RejectedAtCapacity uint64 `json:"RefusedFull"`
	FailedNoLeader     uint64 `json:"FailedUnled"`
	UsageReports       uint64 `json:"Tales"` // accounts reported to new leaders
}

// plannerLink is the state of the link to one planner.
type plannerLink struct {
	linked        bool
	incarnation   uint64 // of the planner's process; kept when the link ends
	cordonCapable bool   // the planner understands the messages about cordons
}

// NewCore returns the Core of a forwarder that has just started. It grants no promise for one lease.
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
	c.sendPromiseReports(planner)
}

// LinkDown handles the end of a link. It does not end promises, as a promise is given to a planner's process and not to its link.
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

// HandleMessage handles a message from a planner.
func (c *Core) HandleMessage(now float64, planner int, msg *transport.Message) {
	if c.now = now; c.migrated {
		return
	}
	switch msg.KindFromPlanner() {
	case transport.KindClaim:
		c.handleClaim(planner, msg)
	case transport.KindLeaderAnnouncement:
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

// relayShedLevel forwards a planner's load-shedding level to all other linked planners.
func (c *Core) relayShedLevel(planner int, msg *transport.Message) {
	for other := range c.planners {
		if other != planner && c.planners[other].linked {
			c.out.SendToPlanner(other, transport.RelayedShedLevel(msg))
		}
	}
}

// HandleProbeResult forwards the result of a health check to the leaders of all cells.
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

// setLoad copies a backend's load report, if there is one, into a message.
func setLoad(msg *transport.Message, load *policy.Load) {
	if load != nil {
		msg.HasLoad = true
		msg.Load = [6]float64{load.InFlight, load.Queue, load.Utilization, load.ServiceMS, load.ServedPerS, load.FailedPerS}
	}
}

// Tick stops following leaders whose promise has expired, ends requests that have waited too long or are near their deadline, and sends
// heartbeats. The caller calls it every TickIntervalS.
func (c *Core) Tick(now float64) {
	if c.now = now; c.migrated {
		return
	}
	for i := range c.cells {
		if cell := &c.cells[i]; cell.hasLeader && cell.expired(now) && topology.FencingEnabled {
			c.becomeLeaderless(i)
		}
		c.expireWaiting(&c.cells[i])
	}
	c.expireOverdue()
	c.usage.sweep(now)
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = now + c.cfg.HeartbeatS
		c.broadcastPromiseReports(c.allPromiseReports())
	}
}
