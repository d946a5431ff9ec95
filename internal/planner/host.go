package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
	"eiderspread/internal/overload"
	"eiderspread/internal/peermsg"
	"eiderspread/internal/why"
	"eiderspread/internal/withhold"
	"eiderspread/policy"
)

// TickS is how often a Host wants to be ticked.
const TickS = 0.01

// Config is fixed for the life of a Host. Settings are the fleet's; number and count of gateways are replaced by a
// cell's.
type Config struct {
	fleet.Params
	Number   int // this planner's, from 0
	Settings policy.Settings
	Seed     uint64
}

// Out carries what a Host says. It is used while one of the Host's methods runs.
type Out interface {
	Link(forwarder int, msgs ...link.Msg)
	Log(text string, args ...any)
}

// Host runs one module for each cell that this planner leads. It is not safe for concurrent use.
type Host struct {
	cfg      Config
	out      Out
	now      float64
	windowS  float64
	leases   *leases
	cells    []cell
	up       []bool                   // forwarders
	reqs     []map[uint64]*request    // by forwarder and handle; bounded by what forwarders hold open
	servers  map[string]policy.Server // as last told, for modules to come
	holds    holds
	words    words
	lives    uint64
	fwdLives []uint64 // by forwarder
	Stats    Stats
	tracer   func(why.Decision) // nil: nobody asks for reasons
}

// Stats counts, from the start on.
type Stats struct {
	Requests uint64 `json:"Requests"`
	Sends    uint64 `json:"Sends"`
	Refused  uint64 `json:"Refused"`
	Failed   uint64 `json:"Failed"`
	Leads    uint64 `json:"Leads"`
	Lost     uint64 `json:"Lost"`
	Ignored  uint64 `json:"Ignored"`
	Tales    uint64 `json:"Tales"`
}

// cell is what a planner holds of a cell that it leads or claims; gate is nil until it leads.
type cell struct {
	epoch  uint64
	gate   *policy.Gateway
	win    *windows
	seq    uint16  // of counts told to the module
	timers []timer // of the module, one or two
}

type timer struct {
	at    float64
	token uint64
}

// request is one that a forwarder has told.
type request struct {
	forwarder int
	handle    uint64
	cell      int
	id        string // in the module
	customer  string
	plan      int
	units     float64
	servers   []string // by attempt
	done      []bool
	out       int
	over      bool
}

// NewHost returns a planner's decisions at its start: it leads nothing.
func NewHost(cfg Config, now float64, out Out) (*Host, error) {
	h := &Host{cfg: cfg, out: out, now: now, windowS: fleet.WindowS(cfg.Settings.Plans), cells: make([]cell, cfg.Cells),
		up: make([]bool, cfg.Forwarders), fwdLives: make([]uint64, cfg.Forwarders), reqs: make([]map[uint64]*request, cfg.Forwarders),
		servers: map[string]policy.Server{}, leases: newLeases(cfg.Params, cfg.Number, cfg.Seed)}
	for i := range h.reqs {
		h.reqs[i] = map[uint64]*request{}
	}
	if _, err := h.module(0, now); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	h.cells[0] = cell{} // that module was to check the settings only
	h.leases.send = out.Link
	h.leases.begins = func(c int, epoch uint64) {
		h.cells[c] = cell{epoch: epoch, win: newWindows(cfg.Forwarders, cfg.Settings.Plans, h.windowS)}
	}
	h.holds = newHolds(cfg, h)
	h.leases.gained = h.gained
	h.leases.lost = h.lost
	return h, nil
}

// module makes the decision module of a cell: the cell is the gateway, and every customer's only one.
func (h *Host) module(c int, now float64) (*policy.Gateway, error) {
	s := h.cfg.Settings
	s.Me, s.Gateways, s.Peers = c, h.cfg.Cells, false
	h.lives++
	return policy.New(s, h.cfg.Seed+h.lives<<16+uint64(c), now, &actions{h, c, h.cells[c].epoch})
}

func (h *Host) gained(now float64, number int, epoch uint64) {
	c := &h.cells[number]
	gate, err := h.module(number, now)
	if err != nil { // the same settings were taken at the start
		h.out.Log("no module", "error", err)
		return
	}
	c.gate = gate
	gate.Trace(h.tracer)
	c.win.lead(now)
	h.Stats.Leads++
	list := make([]policy.Server, 0, len(h.servers))
	for _, s := range h.servers {
		list = append(list, h.holds.overlay(s))
	}
	slices.SortFunc(list, func(a, b policy.Server) int { return cmp.Compare(a.ID, b.ID) })
	gate.Servers(now, list, true)
	h.out.Log("leads", "cell", number, "epoch", epoch, "untold", c.win.missing)
}

// Trace has the decisions of every module told from the next lead on; a request's id is its forwarder's number and handle. What f does must
// be quick.
func (h *Host) Trace(f func(why.Decision)) { h.tracer = f }

func (h *Host) lost(number int) {
	c := &h.cells[number]
	if c.gate != nil {
		h.Stats.Lost++
		h.out.Log("leads no more", "cell", number, "epoch", c.epoch)
	}
	*c = cell{}
	for _, by := range h.reqs {
		for handle, r := range by {
			if r.cell == number {
				delete(by, handle)
			}
		}
	}
}

// at sets the time, and drops every lead that has run out: nothing may be heard or decided under it any more, also
// if late promises would make it good again, since what came in between was not heard.
func (h *Host) at(now float64) {
	h.now = now
	h.leases.expire(now)
}

// leader returns the cell if this planner may decide for it now.
func (h *Host) leader(number uint16, epoch uint64) *cell {
	if !h.leases.leads(h.now, int(number), epoch) {
		h.Stats.Ignored++
		return nil
	}
	if c := &h.cells[number]; c.gate != nil {
		return c
	}
	return nil
}

// LinkUp takes a new link to a forwarder; what one before it had told must have ended by LinkDown.
func (h *Host) LinkUp(now float64, f int, life uint64) {
	h.at(now)
	h.up[f] = true
	if h.fwdLives[f] != life { // what an earlier life had out ended with it
		h.fwdLives[f] = life
		for i := range h.cells {
			if c := &h.cells[i]; c.win != nil {
				for _, name := range slices.Sorted(maps.Keys(c.win.by)) {
					w := c.win.by[name]
					if slices.ContainsFunc(w.outs, func(o outs) bool { return o.forwarder == f }) {
						h.count(i, c.win.setOuts(now, f, name, w.plan, 0))
					}
				}
			}
		}
	}
	h.out.Link(f, link.Msg{Kind: link.Release, Cell: link.KnowsHoldsCell})
	h.leases.linkUp(now, f)
}

// LinkDown takes the end of a link. All that the forwarder had told is over in the module. Its attempts may still be
// out: they count for a while as those of an earlier lead would, until it says better or has begun a new life.
func (h *Host) LinkDown(now float64, f int) {
	h.at(now)
	h.up[f] = false
	h.holds.caller.LinkDown(f)
	h.leases.linkDown(f)
	list := make([]*request, 0, len(h.reqs[f]))
	for _, r := range h.reqs[f] {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.handle, b.handle) })
	outs := map[string]int{}
	for _, r := range list {
		outs[r.customer] += r.out
		h.abandon(r)
	}
	for _, r := range list {
		if c := &h.cells[r.cell]; c.gate != nil && outs[r.customer] > 0 {
			h.count(r.cell, c.win.setOuts(now, f, r.customer, r.plan, outs[r.customer]))
			outs[r.customer] = 0
		}
	}
}

// abandon ends a request of which nothing more will be told.
func (h *Host) abandon(r *request) {
	delete(h.reqs[r.forwarder], r.handle)
	gate := h.cells[r.cell].gate
	if gate == nil {
		return
	}
	if !r.over {
		r.over = true
		gate.Gone(h.now, r.id)
	}
	for i, done := range r.done {
		if !done {
			r.done[i] = true
			gate.Outcome(h.now, policy.Outcome{ID: r.id, Server: r.servers[i], Attempt: i, Status: policy.Cancelled, Over: true})
		}
	}
}

// Msg takes what a forwarder says.
func (h *Host) Msg(now float64, f int, m *link.Msg) {
	h.at(now)
	switch m.Kind {
	case link.View:
		h.leases.view(now, f, m)
	case link.Grant:
		h.leases.grant(now, f, m)
	case link.Tale, link.TaleEnd, link.Outs:
		h.told(f, m)
	case link.Request:
		h.request(f, m)
	case link.Outcome:
		h.outcome(f, m)
	case link.HoldIs:
		h.holds.caller.Word(now, f, m.Handle, m.Name, withhold.Word{Version: m.Epoch, Held: m.Flag})
	case link.Gone, link.Untold:
		if m.Kind == link.Gone && m.Handle == link.KnowsHoldsHandle {
			h.holds.caller.LinkUp(f)
			return
		}
		if cell, level, phase, ok := m.Overload(); ok {
			h.hearWord(cell, level, phase)
			return
		}
		r := h.reqs[f][m.Handle]
		if r == nil || h.leader(uint16(r.cell), h.cells[r.cell].epoch) == nil {
			return
		}
		if m.Kind == link.Untold {
			h.abandon(r)
			return
		}
		if !r.over {
			r.over = true
			h.cells[r.cell].gate.Gone(now, r.id)
		}
		h.forget(r)
	case link.Probed:
		if c := h.leader(m.Cell, m.Epoch); c != nil && m.Class <= uint8(policy.Moot) {
			c.gate.Probed(now, policy.ProbeResult{Server: m.Name, Status: policy.Status(m.Class), SpentS: m.Wait,
				Load: unpackLoad(m)})
		}
	}
}

// told takes a part of a tale, which comes before the lead or in it.
func (h *Host) told(f int, m *link.Msg) {
	if int(m.Cell) >= len(h.cells) {
		return
	}
	c := &h.cells[m.Cell]
	if c.epoch == 0 || c.epoch != m.Epoch || c.win == nil {
		return
	}
	switch m.Kind {
	case link.Tale:
		h.Stats.Tales++
		c.win.tale(h.now, f, m)
	case link.TaleEnd:
		h.count(int(m.Cell), c.win.end(h.now, f, m.Flag))
	case link.Outs:
		h.count(int(m.Cell), c.win.setOuts(h.now, f, m.Name, int(m.Plan), int(min(m.N, 1<<15))))
	}
}

// count hands counts of earlier leaders to a cell's module, as a member that reports to the owner.
func (h *Host) count(number int, list []count) {
	c := &h.cells[number]
	if c.gate == nil {
		return
	}
	for _, k := range list {
		if c.seq++; c.seq == 0 {
			c.seq++
		}
		c.gate.Peer(h.now, (number+1)%h.cfg.Cells, peermsg.Count(1, c.seq, k.customer, k.plan, k.total, k.fresh, k.outs))
	}
}

func (h *Host) request(f int, m *link.Msg) {
	c := h.leader(m.Cell, m.Epoch)
	if c == nil || int(m.Class) >= len(h.cfg.Settings.Classes) || int(m.Plan) >= len(h.cfg.Settings.Plans) ||
		h.reqs[f][m.Handle] != nil {
		return
	}
	h.Stats.Requests++
	h.count(int(m.Cell), c.win.first(h.now, m.Name, int(m.Plan)))
	r := &request{forwarder: f, handle: m.Handle, cell: int(m.Cell), customer: m.Name, plan: int(m.Plan), units: m.Value,
		id: strconv.Itoa(f) + "/" + strconv.FormatUint(m.Handle, 36)}
	h.reqs[f][m.Handle] = r
	c.gate.Request(h.now, policy.Request{ID: r.id, Class: h.cfg.Settings.Classes[m.Class].Name,
		Plan: h.cfg.Settings.Plans[m.Plan].Name, Customer: m.Name, DeadlineS: h.now + m.Wait, First: int(m.Cell),
		Entries: 1, Units: m.Value, Retry: m.Flag})
	h.forget(r)
}

func (h *Host) outcome(f int, m *link.Msg) {
	r := h.reqs[f][m.Handle]
	if r == nil || int(m.N) >= len(r.done) || r.done[m.N] || m.Class > uint8(policy.Moot) {
		return
	}
	if h.leader(uint16(r.cell), h.cells[r.cell].epoch) == nil {
		return
	}
	r.done[m.N] = true
	r.out--
	status := policy.Status(m.Class)
	r.over = r.over || m.Flag || status == policy.OK
	h.cells[r.cell].gate.Outcome(h.now, policy.Outcome{ID: r.id, Server: r.servers[m.N], Attempt: int(m.N),
		Status: status, Over: m.Flag, SpentS: m.Wait, Load: unpackLoad(m)})
	h.forget(r)
}

func (h *Host) forget(r *request) {
	if r.over && r.out == 0 && h.reqs[r.forwarder][r.handle] == r {
		delete(h.reqs[r.forwarder], r.handle)
	}
}

func unpackLoad(m *link.Msg) *policy.Load {
	if !m.HasLoad {
		return nil
	}
	l := m.Load
	return &policy.Load{InFlight: l[0], Queue: l[1], Util: l[2], ServiceMS: l[3], ServedPerS: l[4], FailedPerS: l[5]}
}

// Servers takes the list of servers, whole or only what changed.
func (h *Host) Servers(now float64, list []policy.Server, whole bool) {
	h.at(now)
	if whole {
		clear(h.servers)
	}
	for _, s := range list {
		if s.State == policy.Removed {
			delete(h.servers, s.ID)
		} else {
			h.servers[s.ID] = s
		}
	}
	out := make([]policy.Server, len(list))
	for i, s := range list {
		out[i] = h.holds.overlay(s)
	}
	h.tellServers(out, whole)
}

// tellServers tells all modules of servers as they stand with the holds.
func (h *Host) tellServers(list []policy.Server, whole bool) {
	for i := range h.cells {
		if gate := h.cells[i].gate; gate != nil {
			gate.Servers(h.now, list, whole)
		}
	}
}

// Tick runs the leases and the modules' timers; call it every TickS.
func (h *Host) Tick(now float64) {
	h.at(now)
	h.holds.caller.Tick(now)
	h.leases.tick(now)
	h.tellWords(now)
	for i := range h.cells {
		c := &h.cells[i]
		if c.gate == nil || !h.leases.leads(now, i, c.epoch) {
			continue
		}
		due := c.timers
		c.timers = nil
		for _, t := range due {
			if t.at <= now && c.gate != nil {
				c.gate.Timer(now, t.token)
			} else {
				c.timers = append(c.timers, t)
			}
		}
	}
}

// Leads tells whether this planner may decide for a cell at this moment.
func (h *Host) Leads(now float64, cell int) bool {
	return h.leases.leads(now, cell, h.leases.cells[cell].epoch)
}

// Leave gives up all cells, and claims none until Return.
func (h *Host) Leave(now float64) {
	h.at(now)
	h.leases.leave(now)
}

// Return has cells claimed again.
func (h *Host) Return(now float64) {
	h.at(now)
	h.leases.leaves = false
}

// Ready tells that this planner may claim cells, and is linked to a majority of the forwarders.
func (h *Host) Ready() bool {
	n := 0
	for _, up := range h.up {
		if up {
			n++
		}
	}
	return !h.leases.leaves && n >= h.cfg.Majority()
}

// actions takes what one cell's module asks for, and hands it to the request's forwarder. Host.at has seen to it
// that the lead holds.
type actions struct {
	h     *Host
	cell  int
	epoch uint64
}

func (a *actions) find(id string) *request {
	f, handle, ok := splitID(id)
	if !ok || f >= len(a.h.reqs) {
		return nil
	}
	return a.h.reqs[f][handle]
}

func splitID(id string) (f int, handle uint64, ok bool) {
	for i := range len(id) {
		if id[i] == '/' {
			f, err1 := strconv.Atoi(id[:i])
			handle, err2 := strconv.ParseUint(id[i+1:], 36, 64)
			return f, handle, err1 == nil && err2 == nil
		}
	}
	return 0, 0, false
}

func (a *actions) msg(kind link.Kind, r *request) link.Msg {
	return link.Msg{Kind: kind, Cell: uint16(a.cell), Epoch: a.epoch, Handle: r.handle}
}

// Send implements policy.Actions.
func (a *actions) Send(id, server string, timeoutS float64) {
	r := a.find(id)
	if r == nil {
		return
	}
	a.h.Stats.Sends++
	r.servers, r.done = append(r.servers, server), append(r.done, false)
	r.out++
	m := a.msg(link.Send, r)
	m.Name, m.Wait = server, timeoutS
	units := 0.0
	if len(r.servers) == 1 {
		units = r.units
	}
	m.Round, m.Value = a.h.cells[a.cell].win.pass(a.h.now, r.customer, units)
	a.h.out.Link(r.forwarder, m)
}

// Refuse implements policy.Actions.
func (a *actions) Refuse(id string, retryInS float64) {
	if r := a.find(id); r != nil {
		a.h.Stats.Refused++
		r.over = true
		m := a.msg(link.Refuse, r)
		m.Wait = retryInS
		a.h.out.Link(r.forwarder, m)
		a.h.forget(r)
	}
}

// Fail implements policy.Actions.
func (a *actions) Fail(id string) {
	if r := a.find(id); r != nil {
		a.h.Stats.Failed++
		r.over = true
		a.h.out.Link(r.forwarder, a.msg(link.Fail, r))
		a.h.forget(r)
	}
}

// Cancel implements policy.Actions.
func (a *actions) Cancel(id string, attempt int) {
	if r := a.find(id); r != nil {
		m := a.msg(link.Cancel, r)
		m.N = uint32(attempt)
		a.h.out.Link(r.forwarder, m)
	}
}

// SetTimer implements policy.Actions.
func (a *actions) SetTimer(token uint64, delayS float64) {
	c := &a.h.cells[a.cell]
	c.timers = append(c.timers, timer{a.h.now + max(delayS, 0), token})
}

// Probe implements policy.Actions: any forwarder will do.
func (a *actions) Probe(server string) {
	for f, up := range a.h.up {
		if up {
			a.h.out.Link(f, link.Msg{Kind: link.Probe, Cell: uint16(a.cell), Epoch: a.epoch, Name: server})
			return
		}
	}
}

// Tell implements policy.Actions. Cells have nothing to tell each other: each is its customers' only gateway, and what
// a count is answered with is known here.
func (a *actions) Tell(int, []byte) {}

// Log implements policy.Actions.
func (a *actions) Log(text string) { a.h.out.Log(text, "cell", a.cell) }

// CellStatus is one cell for people.
type CellStatus struct {
	Cell     int              `json:"cell"`
	Epoch    uint64           `json:"epoch"`
	Leads    bool             `json:"leads"`
	LeftS    float64          `json:"lead_left_s"`
	Rank     int              `json:"rank"`
	Untold   int              `json:"untold_forwarders"`  // of a recovery that goes on
	Overload *overload.Status `json:"overload,omitempty"` // nil: off, or not led
}

// Cells lists how the cells stand, how many forwarders are linked and how many requests are open.
func (h *Host) Cells() (list []CellStatus, links, requests int) {
	for i := range h.cells {
		k := &h.leases.cells[i]
		s := CellStatus{Cell: i, Epoch: k.epoch, Leads: k.leads, Rank: h.cfg.Rank(i, h.cfg.Number)}
		if k.leads {
			s.LeftS, s.Overload = max(k.endsAt-h.now, 0), h.pressure(i).Status(h.now)
		}
		if c := &h.cells[i]; c.win != nil && !c.win.over(h.now) {
			s.Untold = c.win.missing
		}
		list = append(list, s)
	}
	for f, up := range h.up {
		if up {
			links++
		}
		requests += len(h.reqs[f])
	}
	return list, links, requests
}
