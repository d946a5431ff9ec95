package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/policy"
)

// TickIntervalS is how often a Host wants to be ticked.
const TickIntervalS = 0.01

// Config is fixed for the life of a Host. Settings are the fleet's; number and count of gateways are replaced by a
// cell's.
type Config struct {
	topology.Params
	Number   int // this planner's, from 0
	Settings policy.Settings
	Seed     uint64
}

// Output carries what a Host says. It is used while one of the Host's methods runs.
type Output interface {
	SendToForwarder(forwarder int, msgs ...transport.Message)
	Log(text string, args ...any)
}

// Core runs one module for each cell that this planner leads. It is not safe for concurrent use.
type Core struct {
	cfg                   Config
	out                   Output
	now                   float64
	windowSpanS           float64
	leases                *leaseManager
	cells                 []ledCell
	linked                []bool                    // forwarders
	requests              []map[uint64]*openRequest // by forwarder and handle; bounded by what forwarders hold open
	backends              map[string]policy.Backend // as last told, for modules to come
	cordons               cordonOverlay
	shedLevels            shedLevelBroadcast
	modulesMade           uint64
	forwarderIncarnations []uint64 // by forwarder
	Stats                 Stats
	tracer                func(reason.Decision) // nil: nobody asks for reasons
}

// Stats counts, from the start on.
type Stats struct {
	Requests      uint64 `json:"Requests"`
	Sends         uint64 `json:"Sends"`
	Rejected      uint64 `json:"Refused"`
	Failed        uint64 `json:"Failed"`
	LeadsGained   uint64 `json:"Leads"`
	LeadsLost     uint64 `json:"Lost"`
	StaleMessages uint64 `json:"Ignored"`
	UsageReports  uint64 `json:"Tales"`
}

// ledCell is what a planner holds of a cell that it leads or claims; gate is nil until it leads.
type ledCell struct {
	epoch    uint64
	module   *policy.Gateway
	windows  *windowTable
	countSeq uint16        // of counts told to the module
	timers   []moduleTimer // of the module, one or two
}

type moduleTimer struct {
	fireAt float64
	token  uint64
}

// openRequest is one that a forwarder has told.
type openRequest struct {
	forwarder   int
	handle      uint64
	cellID      int
	moduleID    string // in the module
	account     string
	plan        int
	units       float64
	backends    []string // by attempt
	attemptDone []bool
	inFlight    int
	completed   bool
}

// NewCore returns a planner's decisions at its start: it leads nothing.
func NewCore(cfg Config, now float64, out Output) (*Core, error) {
	core := &Core{cfg: cfg, out: out, now: now, windowSpanS: topology.LongestWindowS(cfg.Settings.Plans), cells: make([]ledCell, cfg.Cells),
		linked: make([]bool, cfg.Forwarders), forwarderIncarnations: make([]uint64, cfg.Forwarders), requests: make([]map[uint64]*openRequest, cfg.Forwarders),
		backends: map[string]policy.Backend{}, leases: newLeaseManager(cfg.Params, cfg.Number, cfg.Seed)}
	for i := range core.requests {
		core.requests[i] = map[uint64]*openRequest{}
	}
	if _, err := core.newModule(0, now); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	core.cells[0] = ledCell{} // that module was to check the settings only
	core.leases.send = out.SendToForwarder
	core.leases.onClaim = func(cellID int, epoch uint64) {
		core.cells[cellID] = ledCell{epoch: epoch, windows: newWindowTable(cfg.Forwarders, cfg.Settings.Plans, core.windowSpanS)}
	}
	core.cordons = newCordonOverlay(cfg, core)
	core.leases.onLead = core.startLeading
	core.leases.onLoss = core.stopLeading
	return core, nil
}

// newModule makes the decision module of a cell: the cell is the gateway, and every customer's only one.
func (c *Core) newModule(cellID int, now float64) (*policy.Gateway, error) {
	s := c.cfg.Settings
	s.Self, s.Gateways, s.PeerMessages = cellID, c.cfg.Cells, false
	c.modulesMade++
	return policy.New(s, c.cfg.Seed+c.modulesMade<<16+uint64(cellID), now, &cellActions{c, cellID, c.cells[cellID].epoch})
}

func (c *Core) startLeading(now float64, cellID int, epoch uint64) {
	cell := &c.cells[cellID]
	module, err := c.newModule(cellID, now)
	if err != nil { // the same settings were taken at the start
		c.out.Log("no module", "error", err)
		return
	}
	cell.module = module
	module.SetTracer(c.tracer)
	cell.windows.startLeading(now)
	c.Stats.LeadsGained++
	backends := make([]policy.Backend, 0, len(c.backends))
	for _, s := range c.backends {
		backends = append(backends, c.cordons.apply(s))
	}
	slices.SortFunc(backends, func(a, b policy.Backend) int { return cmp.Compare(a.ID, b.ID) })
	module.UpdateBackends(now, backends, true)
	c.out.Log("leads", "cell", cellID, "epoch", epoch, "untold", cell.windows.missingReports)
}

// SetTracer has the decisions of every module told from the next lead on; a request's id is its forwarder's number and handle. What f does must
// be quick.
func (c *Core) SetTracer(f func(reason.Decision)) { c.tracer = f }

func (c *Core) stopLeading(cellID int) {
	cell := &c.cells[cellID]
	if cell.module != nil {
		c.Stats.LeadsLost++
		c.out.Log("leads no more", "cell", cellID, "epoch", cell.epoch)
	}
	*cell = ledCell{}
	for _, by := range c.requests {
		for handle, request := range by {
			if request.cellID == cellID {
				delete(by, handle)
			}
		}
	}
}

// advanceTo sets the time, and drops every lead that has run out: nothing may be heard or decided under it any more, also
// if late promises would make it good again, since what came in between was not heard.
func (c *Core) advanceTo(now float64) {
	c.now = now
	c.leases.expireLeads(now)
}

// ledCell returns the cell if this planner may decide for it now.
func (c *Core) ledCell(cellID uint16, epoch uint64) *ledCell {
	if !c.leases.isLeader(c.now, int(cellID), epoch) {
		c.Stats.StaleMessages++
		return nil
	}
	if cell := &c.cells[cellID]; cell.module != nil {
		return cell
	}
	return nil
}

// LinkUp takes a new link to a forwarder; what one before it had told must have ended by LinkDown.
func (c *Core) LinkUp(now float64, forwarder int, incarnation uint64) {
	c.advanceTo(now)
	c.linked[forwarder] = true
	if c.forwarderIncarnations[forwarder] != incarnation { // what an earlier life had out ended with it
		c.forwarderIncarnations[forwarder] = incarnation
		for i := range c.cells {
			if cell := &c.cells[i]; cell.windows != nil {
				for _, name := range slices.Sorted(maps.Keys(cell.windows.byAccount)) {
					window := cell.windows.byAccount[name]
					if slices.ContainsFunc(window.orphans, func(o orphanReport) bool { return o.forwarder == forwarder }) {
						c.reportCounts(i, cell.windows.setOrphans(now, forwarder, name, window.plan, 0))
					}
				}
			}
		}
	}
	c.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindRelease, Cell: transport.CordonCapableCell})
	c.leases.linkUp(now, forwarder)
}

// LinkDown takes the end of a link. All that the forwarder had told is over in the module. Its attempts may still be
// out: they count for a while as those of an earlier lead would, until it says better or has begun a new life.
func (c *Core) LinkDown(now float64, forwarder int) {
	c.advanceTo(now)
	c.linked[forwarder] = false
	c.cordons.coordinator.LinkDown(forwarder)
	c.leases.linkDown(forwarder)
	requests := make([]*openRequest, 0, len(c.requests[forwarder]))
	for _, request := range c.requests[forwarder] {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b *openRequest) int { return cmp.Compare(a.handle, b.handle) })
	inFlight := map[string]int{}
	for _, request := range requests {
		inFlight[request.account] += request.inFlight
		c.abandonRequest(request)
	}
	for _, request := range requests {
		if cell := &c.cells[request.cellID]; cell.module != nil && inFlight[request.account] > 0 {
			c.reportCounts(request.cellID, cell.windows.setOrphans(now, forwarder, request.account, request.plan, inFlight[request.account]))
			inFlight[request.account] = 0
		}
	}
}

// abandonRequest ends a request of which nothing more will be told.
func (c *Core) abandonRequest(request *openRequest) {
	delete(c.requests[request.forwarder], request.handle)
	module := c.cells[request.cellID].module
	if module == nil {
		return
	}
	if !request.completed {
		request.completed = true
		module.HandleDisconnect(c.now, request.moduleID)
	}
	for i, done := range request.attemptDone {
		if !done {
			request.attemptDone[i] = true
			module.HandleOutcome(c.now, policy.Outcome{ID: request.moduleID, Backend: request.backends[i], Attempt: i, Status: policy.Cancelled, Completed: true})
		}
	}
}

// HandleMessage takes what a forwarder says.
func (c *Core) HandleMessage(now float64, forwarder int, msg *transport.Message) {
	c.advanceTo(now)
	switch msg.Kind {
	case transport.KindView:
		c.leases.handleView(now, forwarder, msg)
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
	case transport.KindDisconnected, transport.KindWithdraw:
		if msg.Kind == transport.KindDisconnected && msg.Handle == transport.CordonCapableHandle {
			c.cordons.coordinator.LinkUp(forwarder)
			return
		}
		if cellID, level, phase, ok := msg.ShedLevel(); ok {
			c.applyShedLevel(cellID, level, phase)
			return
		}
		request := c.requests[forwarder][msg.Handle]
		if request == nil || c.ledCell(uint16(request.cellID), c.cells[request.cellID].epoch) == nil {
			return
		}
		if msg.Kind == transport.KindWithdraw {
			c.abandonRequest(request)
			return
		}
		if !request.completed {
			request.completed = true
			c.cells[request.cellID].module.HandleDisconnect(now, request.moduleID)
		}
		c.releaseIfDone(request)
	case transport.KindProbeResult:
		if cell := c.ledCell(msg.Cell, msg.Epoch); cell != nil && msg.Class <= uint8(policy.NotSent) {
			cell.module.HandleProbeResult(now, policy.ProbeResult{Backend: msg.Name, Status: policy.Status(msg.Class), LatencyS: msg.DurationS,
				Load: loadReport(msg)})
		}
	}
}

// handleUsageReport takes a part of a tale, which comes before the lead or in it.
func (c *Core) handleUsageReport(forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cell := &c.cells[msg.Cell]
	if cell.epoch == 0 || cell.epoch != msg.Epoch || cell.windows == nil {
		return
	}
	switch msg.Kind {
	case transport.KindUsageReport:
		c.Stats.UsageReports++
		cell.windows.applyReport(c.now, forwarder, msg)
	case transport.KindUsageReportEnd:
		c.reportCounts(int(msg.Cell), cell.windows.endReport(c.now, forwarder, msg.Flag))
	case transport.KindOrphans:
		c.reportCounts(int(msg.Cell), cell.windows.setOrphans(c.now, forwarder, msg.Name, int(msg.Plan), int(min(msg.Number, 1<<15))))
	}
}

// reportCounts hands counts of earlier leaders to a cell's module, as a member that reports to the owner.
func (c *Core) reportCounts(cellID int, counts []memberCount) {
	cell := &c.cells[cellID]
	if cell.module == nil {
		return
	}
	for _, count := range counts {
		if cell.countSeq++; cell.countSeq == 0 {
			cell.countSeq++
		}
		cell.module.HandlePeerMessage(c.now, (cellID+1)%c.cfg.Cells, peerprotocol.MemberReport(1, cell.countSeq, count.account, count.plan, count.total, count.fresh, count.orphans))
	}
}

func (c *Core) handleRequest(forwarder int, msg *transport.Message) {
	cell := c.ledCell(msg.Cell, msg.Epoch)
	if cell == nil || int(msg.Class) >= len(c.cfg.Settings.Classes) || int(msg.Plan) >= len(c.cfg.Settings.Plans) ||
		c.requests[forwarder][msg.Handle] != nil {
		return
	}
	c.Stats.Requests++
	c.reportCounts(int(msg.Cell), cell.windows.initialCounts(c.now, msg.Name, int(msg.Plan)))
	request := &openRequest{forwarder: forwarder, handle: msg.Handle, cellID: int(msg.Cell), account: msg.Name, plan: int(msg.Plan), units: msg.Units,
		moduleID: strconv.Itoa(forwarder) + "/" + strconv.FormatUint(msg.Handle, 36)}
	c.requests[forwarder][msg.Handle] = request
	cell.module.HandleRequest(c.now, policy.Request{ID: request.moduleID, Class: c.cfg.Settings.Classes[msg.Class].Name,
		Plan: c.cfg.Settings.Plans[msg.Plan].Name, Account: msg.Name, DeadlineAt: c.now + msg.DurationS, FirstGateway: int(msg.Cell),
		GatewayCount: 1, Units: msg.Units, Retry: msg.Flag})
	c.releaseIfDone(request)
}

func (c *Core) handleOutcome(forwarder int, msg *transport.Message) {
	request := c.requests[forwarder][msg.Handle]
	if request == nil || int(msg.Number) >= len(request.attemptDone) || request.attemptDone[msg.Number] || msg.Class > uint8(policy.NotSent) {
		return
	}
	if c.ledCell(uint16(request.cellID), c.cells[request.cellID].epoch) == nil {
		return
	}
	request.attemptDone[msg.Number] = true
	request.inFlight--
	status := policy.Status(msg.Class)
	request.completed = request.completed || msg.Flag || status == policy.OK
	c.cells[request.cellID].module.HandleOutcome(c.now, policy.Outcome{ID: request.moduleID, Backend: request.backends[msg.Number], Attempt: int(msg.Number),
		Status: status, Completed: msg.Flag, LatencyS: msg.DurationS, Load: loadReport(msg)})
	c.releaseIfDone(request)
}

func (c *Core) releaseIfDone(request *openRequest) {
	if request.completed && request.inFlight == 0 && c.requests[request.forwarder][request.handle] == request {
		delete(c.requests[request.forwarder], request.handle)
	}
}

func loadReport(msg *transport.Message) *policy.Load {
	if !msg.HasLoad {
		return nil
	}
	l := msg.Load
	return &policy.Load{InFlight: l[0], Queue: l[1], Utilization: l[2], ServiceMS: l[3], ServedPerS: l[4], FailedPerS: l[5]}
}

// UpdateBackends takes the list of servers, whole or only what changed.
func (c *Core) UpdateBackends(now float64, backends []policy.Backend, full bool) {
	c.advanceTo(now)
	if full {
		clear(c.backends)
	}
	for _, s := range backends {
		if s.State == policy.Removed {
			delete(c.backends, s.ID)
		} else {
			c.backends[s.ID] = s
		}
	}
	overlaid := make([]policy.Backend, len(backends))
	for i, s := range backends {
		overlaid[i] = c.cordons.apply(s)
	}
	c.updateModules(overlaid, full)
}

// updateModules tells all modules of servers as they stand with the holds.
func (c *Core) updateModules(backends []policy.Backend, full bool) {
	for i := range c.cells {
		if module := c.cells[i].module; module != nil {
			module.UpdateBackends(c.now, backends, full)
		}
	}
}

// Tick runs the leases and the modules' timers; call it every TickIntervalS.
func (c *Core) Tick(now float64) {
	c.advanceTo(now)
	c.cordons.coordinator.Tick(now)
	c.leases.tick(now)
	c.broadcastShedLevels(now)
	for i := range c.cells {
		cell := &c.cells[i]
		if cell.module == nil || !c.leases.isLeader(now, i, cell.epoch) {
			continue
		}
		pending := cell.timers
		cell.timers = nil
		for _, t := range pending {
			if t.fireAt <= now && cell.module != nil {
				cell.module.HandleTimer(now, t.token)
			} else {
				cell.timers = append(cell.timers, t)
			}
		}
	}
}

// IsLeader tells whether this planner may decide for a cell at this moment.
func (c *Core) IsLeader(now float64, cellID int) bool {
	return c.leases.isLeader(now, cellID, c.leases.cells[cellID].epoch)
}

// Drain gives up all cells, and claims none until Return.
func (c *Core) Drain(now float64) {
	c.advanceTo(now)
	c.leases.drain(now)
}

// Activate has cells claimed again.
func (c *Core) Activate(now float64) {
	c.advanceTo(now)
	c.leases.draining = false
}

// Ready tells that this planner may claim cells, and is linked to a majority of the forwarders.
func (c *Core) Ready() bool {
	n := 0
	for _, up := range c.linked {
		if up {
			n++
		}
	}
	return !c.leases.draining && n >= c.cfg.Majority()
}

// cellActions takes what one cell's module asks for, and hands it to the request's forwarder. Host.at has seen to it
// that the lead holds.
type cellActions struct {
	core   *Core
	cellID int
	epoch  uint64
}

func (a *cellActions) findRequest(id string) *openRequest {
	forwarder, handle, ok := parseModuleID(id)
	if !ok || forwarder >= len(a.core.requests) {
		return nil
	}
	return a.core.requests[forwarder][handle]
}

func parseModuleID(id string) (forwarder int, handle uint64, ok bool) {
	for i := range len(id) {
		if id[i] == '/' {
			forwarder, err1 := strconv.Atoi(id[:i])
			handle, err2 := strconv.ParseUint(id[i+1:], 36, 64)
			return forwarder, handle, err1 == nil && err2 == nil
		}
	}
	return 0, 0, false
}

func (a *cellActions) newMessage(kind transport.Kind, request *openRequest) transport.Message {
	return transport.Message{Kind: kind, Cell: uint16(a.cellID), Epoch: a.epoch, Handle: request.handle}
}

// Send implements policy.Actions.
func (a *cellActions) Send(id, server string, timeoutS float64) {
	request := a.findRequest(id)
	if request == nil {
		return
	}
	a.core.Stats.Sends++
	request.backends, request.attemptDone = append(request.backends, server), append(request.attemptDone, false)
	request.inFlight++
	msg := a.newMessage(transport.KindSend, request)
	msg.Name, msg.DurationS = server, timeoutS
	units := 0.0
	if len(request.backends) == 1 {
		units = request.units
	}
	msg.Round, msg.Units = a.core.cells[a.cellID].windows.admit(a.core.now, request.account, units)
	a.core.out.SendToForwarder(request.forwarder, msg)
}

// Reject implements policy.Actions.
func (a *cellActions) Reject(id string, retryInS float64) {
	if request := a.findRequest(id); request != nil {
		a.core.Stats.Rejected++
		request.completed = true
		msg := a.newMessage(transport.KindReject, request)
		msg.DurationS = retryInS
		a.core.out.SendToForwarder(request.forwarder, msg)
		a.core.releaseIfDone(request)
	}
}

// Fail implements policy.Actions.
func (a *cellActions) Fail(id string) {
	if request := a.findRequest(id); request != nil {
		a.core.Stats.Failed++
		request.completed = true
		a.core.out.SendToForwarder(request.forwarder, a.newMessage(transport.KindFail, request))
		a.core.releaseIfDone(request)
	}
}

// Cancel implements policy.Actions.
func (a *cellActions) Cancel(id string, attempt int) {
	if request := a.findRequest(id); request != nil {
		msg := a.newMessage(transport.KindCancel, request)
		msg.Number = uint32(attempt)
		a.core.out.SendToForwarder(request.forwarder, msg)
	}
}

// SetTimer implements policy.Actions.
func (a *cellActions) SetTimer(token uint64, delayS float64) {
	cell := &a.core.cells[a.cellID]
	cell.timers = append(cell.timers, moduleTimer{a.core.now + max(delayS, 0), token})
}

// Probe implements policy.Actions: any forwarder will do.
func (a *cellActions) Probe(server string) {
	for forwarder, up := range a.core.linked {
		if up {
			a.core.out.SendToForwarder(forwarder, transport.Message{Kind: transport.KindProbe, Cell: uint16(a.cellID), Epoch: a.epoch, Name: server})
			return
		}
	}
}

// SendPeerMessage implements policy.Actions. Cells have nothing to tell each other: each is its customers' only gateway, and what
// a count is answered with is known here.
func (a *cellActions) SendPeerMessage(int, []byte) {}

// Log implements policy.Actions.
func (a *cellActions) Log(text string) { a.core.out.Log(text, "cell", a.cellID) }

// CellStatus is one cell for people.
type CellStatus struct {
	Cell           int              `json:"cell"`
	Epoch          uint64           `json:"epoch"`
	Leading        bool             `json:"leads"`
	LeaseLeftS     float64          `json:"lead_left_s"`
	Rank           int              `json:"rank"`
	MissingReports int              `json:"untold_forwarders"`  // of a recovery that goes on
	Overload       *loadshed.Status `json:"overload,omitempty"` // nil: off, or not led
}

// CellStatuses lists how the cells stand, how many forwarders are linked and how many requests are open.
func (c *Core) CellStatuses() (list []CellStatus, links, requests int) {
	for i := range c.cells {
		lease := &c.leases.cells[i]
		s := CellStatus{Cell: i, Epoch: lease.epoch, Leading: lease.leading, Rank: c.cfg.Rank(i, c.cfg.Number)}
		if lease.leading {
			s.LeaseLeftS, s.Overload = max(lease.expiresAt-c.now, 0), c.loadShedder(i).Status(c.now)
		}
		if cell := &c.cells[i]; cell.windows != nil && !cell.windows.recovered(c.now) {
			s.MissingReports = cell.windows.missingReports
		}
		list = append(list, s)
	}
	for forwarder, up := range c.linked {
		if up {
			links++
		}
		requests += len(c.requests[forwarder])
	}
	return list, links, requests
}
