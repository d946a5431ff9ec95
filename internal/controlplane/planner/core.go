package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// TickIntervalS is the interval at which the caller must call Core.Tick, in seconds.
const TickIntervalS = 0.01

// Config configures a Core. It does not change during the Core's lifetime.
type Config struct {
	topology.Params
	Number   int             // this planner's number, from 0
	Settings policy.Settings // of the fleet; Self, Gateways and PeerMessages are replaced for each cell
	Seed     uint64          // of all random numbers
}

// Output performs the I/O that a Core requests. The Core calls it only from within its own methods.
type Output interface {
	// SendToForwarder queues messages in order. It drops them silently if the forwarder's link is down.
	SendToForwarder(forwarder int, msgs ...transport.Message)
	// Log writes a log line; args are alternating keys and values.
	Log(text string, args ...any)
}

// Core makes the decisions of one planner. It holds the leases on cells and a decision module for each cell that the planner leads. It is
// not safe for concurrent use. Times are in seconds and never decrease.
type Core struct {
	cfg         Config
	out         Output
	now         float64 // time of the current event
	windowSpanS float64 // longest time in which an empty quota window refills
	leases      *leaseManager
	cells       []hostedCell
	linked      []bool                    // by forwarder
	requests    []map[uint64]*openRequest // by forwarder and handle; bounded by the requests that forwarders keep open
	backends    map[string]policy.Backend // by id: as last reported by discovery, without cordons
	cordons     cordonOverlay
	shedLevels  shedLevelBroadcast
	modulesMade uint64                // number of modules created so far; part of each module's seed
	incarnation []uint64              // by forwarder: of the process that linked last
	trace       func(reason.Decision) // nil: decisions are not traced

	Stats Stats
}

// Stats counts events since the planner's start.
type Stats struct {
	Requests      uint64 // requests submitted by forwarders
	Sends         uint64 // attempts started by modules
	Rejected      uint64 `json:"Refused"`
	Failed        uint64
	LeadsGained   uint64 `json:"Leads"`
	LeadsLost     uint64 `json:"Lost"`
	StaleMessages uint64 `json:"Ignored"` // messages for a cell or epoch that this planner does not lead
	UsageReports  uint64 `json:"Tales"`   // usage reports received from forwarders, one per account
}

// hostedCell is the state of a cell that this planner leads or claims. It is the zero value for every other cell.
type hostedCell struct {
	epoch    uint64
	module   *policy.Gateway // nil until the planner leads the cell
	windows  *windowTable    // set from the claim on
	countSeq uint16          // sequence number of the latest count reported to the module
	timers   []moduleTimer   // set by the module; one or two
}

type moduleTimer struct {
	fireAt float64
	token  uint64
}

// NewCore returns the core of a planner that has just started and leads no cell. It returns an error if the decision module rejects the
// settings.
func NewCore(cfg Config, now float64, out Output) (*Core, error) {
	c := &Core{
		cfg:         cfg,
		out:         out,
		now:         now,
		windowSpanS: topology.LongestWindowS(cfg.Settings.Plans),
		leases:      newLeaseManager(cfg.Params, cfg.Number, cfg.Seed),
		cells:       make([]hostedCell, cfg.Cells),
		linked:      make([]bool, cfg.Forwarders),
		requests:    make([]map[uint64]*openRequest, cfg.Forwarders),
		backends:    map[string]policy.Backend{},
		incarnation: make([]uint64, cfg.Forwarders),
	}
	for i := range c.requests {
		c.requests[i] = map[uint64]*openRequest{}
	}
	if _, err := c.newModule(0, now); err != nil { // only to validate the settings
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.cells[0] = hostedCell{}
	c.leases.send = out.SendToForwarder
	c.leases.onClaim = c.startClaim
	c.leases.onLead = c.startLeading
	c.leases.onLoss = c.stopLeading
	c.cordons = newCordonOverlay(cfg, c)
	return c, nil
}

// newModule creates the decision module of a cell. The module sees the cell as its own gateway, and as the only gateway of each of the
// cell's accounts.
func (c *Core) newModule(cellID int, now float64) (*policy.Gateway, error) {
	settings := c.cfg.Settings
	settings.Self, settings.Gateways, settings.PeerMessages = cellID, c.cfg.Cells, false
	settings.MaxAccounts = c.maxAccountsPerCell()
	c.modulesMade++
	seed := c.cfg.Seed + c.modulesMade<<16 + uint64(cellID)
	return policy.New(settings, seed, now, &cellActions{c, cellID, c.cells[cellID].epoch})
}

// maxAccountsPerCell returns the number of accounts for which a cell may keep state, as the planner may lead all cells; 0: no limit.
func (c *Core) maxAccountsPerCell() int {
	if c.cfg.Settings.MaxAccounts == 0 {
		return 0
	}
	return max(1, c.cfg.Settings.MaxAccounts/c.cfg.Cells)
}

// startClaim prepares a cell for the usage reports that forwarders send with their grants.
func (c *Core) startClaim(cellID int, epoch uint64) {
	c.cells[cellID] = hostedCell{epoch: epoch, windows: newWindowTable(c.cfg.Forwarders, c.cfg.Settings.Plans, c.windowSpanS, c.maxAccountsPerCell())}
}

// startLeading starts a new decision module for a cell. Reported usage is the only state that it takes over from earlier leaders.
func (c *Core) startLeading(now float64, cellID int, epoch uint64) {
	cell := &c.cells[cellID]
	module, err := c.newModule(cellID, now)
	if err != nil { // unexpected: NewCore has validated the same settings
		c.out.Log("planner can't start the decision module of a cell", "cell", cellID, "epoch", epoch, "error", err)
		return
	}
	cell.module = module
	module.SetTracer(c.trace)
	cell.windows.startLeading(now)
	c.Stats.LeadsGained++
	backends := make([]policy.Backend, 0, len(c.backends))
	for _, backend := range c.backends {
		backends = append(backends, c.cordons.apply(backend))
	}
	slices.SortFunc(backends, func(a, b policy.Backend) int { return cmp.Compare(a.ID, b.ID) })
	module.UpdateBackends(now, backends, true)
	c.out.Log("planner became leader of cell", "cell", cellID, "epoch", epoch, "missing_reports", cell.windows.missingReports)
}

// stopLeading discards a cell's module with all its state, and the requests that were submitted to it.
func (c *Core) stopLeading(cellID int) {
	cell := &c.cells[cellID]
	if cell.module != nil {
		c.Stats.LeadsLost++
		c.out.Log("planner lost leadership of cell", "cell", cellID, "epoch", cell.epoch)
	}
	*cell = hostedCell{}
	for _, byHandle := range c.requests {
		maps.DeleteFunc(byHandle, func(_ uint64, request *openRequest) bool { return request.cellID == cellID })
	}
}

// advanceTo sets the time and ends every leadership whose lease has expired. It must run before any decision. A late grant can't restore
// an expired leadership, because messages that arrived in between were ignored.
func (c *Core) advanceTo(now float64) {
	c.now = now
	c.leases.expireLeases(now)
}

// leadingCell returns the cell if this planner currently leads it under the given epoch, else nil.
func (c *Core) leadingCell(cellID int, epoch uint64) *hostedCell {
	if !c.leases.isLeader(c.now, cellID, epoch) {
		c.Stats.StaleMessages++
		return nil
	}
	if cell := &c.cells[cellID]; cell.module != nil {
		return cell
	}
	return nil
}

// SetTracer sets the function that receives each decision of the modules that start after this call. A decision's request id is
// openRequest.moduleID. trace must return quickly.
func (c *Core) SetTracer(trace func(reason.Decision)) { c.trace = trace }

// LinkUp handles a new link to a forwarder. The caller must have called LinkDown for the forwarder's previous link.
func (c *Core) LinkUp(now float64, forwarder int, incarnation uint64) {
	c.advanceTo(now)
	c.linked[forwarder] = true
	if c.incarnation[forwarder] != incarnation { // the previous process has ended, and its attempts with it
		c.incarnation[forwarder] = incarnation
		c.clearOrphans(forwarder)
	}
	c.out.SendToForwarder(forwarder, transport.NewPlannerCordonCapable())
	c.leases.linkUp(now, forwarder)
}

// LinkDown handles the end of a forwarder's link. For the modules, all requests of the forwarder end. Its attempts may still be in flight:
// they count as orphaned for orphanReportTTLS seconds, or until the forwarder reports another number or restarts.
func (c *Core) LinkDown(now float64, forwarder int) {
	c.advanceTo(now)
	c.linked[forwarder] = false
	c.cordons.coordinator.LinkDown(forwarder)
	c.leases.linkDown(forwarder)
	c.orphanRequests(forwarder)
}

// HandleMessage handles a message from a forwarder.
func (c *Core) HandleMessage(now float64, forwarder int, msg *transport.Message) {
	c.advanceTo(now)
	switch msg.KindFromForwarder() {
	case transport.KindPromiseReport:
		c.leases.handlePromiseReport(now, forwarder, msg)
	case transport.KindGrant:
		c.leases.handleGrant(now, forwarder, msg)
	case transport.KindUsageReport, transport.KindUsageReportEnd, transport.KindOrphans:
		c.handleUsageReport(forwarder, msg)
	case transport.KindRequest:
		c.handleRequest(forwarder, msg)
	case transport.KindOutcome:
		c.handleOutcome(forwarder, msg)
	case transport.KindCordonState:
		c.cordons.coordinator.HandleState(now, forwarder, msg.Handle, msg.Name, cordon.State{Version: msg.Epoch, Cordoned: msg.Flag})
	case transport.KindCordonCapable:
		c.cordons.coordinator.LinkUp(forwarder)
	case transport.KindShedLevel:
		if cellID, level, phase, ok := msg.ShedLevel(); ok {
			c.applyShedLevel(cellID, level, phase)
		}
	case transport.KindDisconnected:
		c.disconnectRequest(forwarder, msg.Handle)
	case transport.KindWithdraw:
		c.handleWithdraw(forwarder, msg)
	case transport.KindProbeResult:
		c.handleProbeResult(msg)
	}
}

func (c *Core) handleProbeResult(msg *transport.Message) {
	cell := c.leadingCell(int(msg.Cell), msg.Epoch)
	if cell == nil || msg.Class > uint8(policy.NotSent) {
		return
	}
	cell.module.HandleProbeResult(c.now, policy.ProbeResult{Backend: msg.Name, Status: policy.Status(msg.Class),
		LatencyS: msg.DurationS, Load: loadReport(msg)})
}

// UpdateBackends applies an endpoint list from discovery: all backends if full is true, else only those that have changed.
func (c *Core) UpdateBackends(now float64, backends []policy.Backend, full bool) {
	c.advanceTo(now)
	if full {
		clear(c.backends)
	}
	overlaid := make([]policy.Backend, len(backends))
	for i, backend := range backends {
		if backend.State == policy.Removed {
			delete(c.backends, backend.ID)
		} else {
			c.backends[backend.ID] = backend
		}
		overlaid[i] = c.cordons.apply(backend)
	}
	c.updateModules(overlaid, full)
}

// updateModules passes backends, with cordons applied, to the modules of all cells.
func (c *Core) updateModules(backends []policy.Backend, full bool) {
	for i := range c.cells {
		if module := c.cells[i].module; module != nil {
			module.UpdateBackends(c.now, backends, full)
		}
	}
}

// Tick advances the leases, the operators' cordon calls, the broadcast of load-shedding levels and the modules' timers. It must be called
// every TickIntervalS.
func (c *Core) Tick(now float64) {
	c.advanceTo(now)
	c.cordons.coordinator.Tick(now)
	c.leases.tick(now)
	c.broadcastShedLevels(now)
	for i := range c.cells {
		if cell := &c.cells[i]; cell.module != nil && c.leases.isLeader(now, i, cell.epoch) {
			cell.fireTimers(now)
		}
	}
}

// fireTimers calls the module for each timer that is due. The module may set new timers during a call.
func (c *hostedCell) fireTimers(now float64) {
	timers := c.timers
	c.timers = nil
	for _, timer := range timers {
		if timer.fireAt <= now && c.module != nil {
			c.module.HandleTimer(now, timer.token)
		} else {
			c.timers = append(c.timers, timer)
		}
	}
}

// IsLeader reports whether this planner leads a cell at the time now.
func (c *Core) IsLeader(now float64, cellID int) bool {
	return c.leases.isLeader(now, cellID, c.leases.cells[cellID].epoch)
}

// Drain releases all cells. The planner claims no cell until Activate is called.
func (c *Core) Drain(now float64) {
	c.advanceTo(now)
	c.leases.drain(now)
}

// Activate reverts Drain: the planner claims cells again.
func (c *Core) Activate(now float64) {
	c.advanceTo(now)
	c.leases.activate()
}

// Ready reports whether this planner may claim cells and is linked to a majority of the forwarders.
func (c *Core) Ready() bool {
	return !c.leases.draining && c.linkedForwarders() >= c.cfg.Majority()
}

func (c *Core) linkedForwarders() (count int) {
	for _, linked := range c.linked {
		if linked {
			count++
		}
	}
	return count
}
