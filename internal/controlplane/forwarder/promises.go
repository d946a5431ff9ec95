package forwarder

import (
	"cmp"
	"slices"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

// handbackRequestTTLS is how long promise reports include a planner's request for a cell, in seconds.
const handbackRequestTTLS = 0.5

// noPlanner is used instead of a planner's number where there is no planner.
const noPlanner = -1

// promise is the latest claim on a cell that this forwarder has granted. Until the promise expires, no other planner's claim is granted. A
// claim with a lower epoch is never granted.
type promise struct {
	epoch       uint64
	holder      int     // the planner, or noPlanner
	incarnation uint64  // of the planner's process
	until       float64 // when the promise expires
}

// givenTo reports whether the promise was given to this incarnation of a planner.
func (p *promise) givenTo(planner int, incarnation uint64) bool {
	return p.holder == planner && p.incarnation == incarnation
}

func (p *promise) expired(now float64) bool { return now >= p.until }

// cellState is this forwarder's state of one cell.
type cellState struct {
	promise
	hasLeader       bool    // the holder has announced that it leads, and its link has been up since then: its decisions are followed
	leaderlessSince float64 // when the cell lost its leader; valid if !hasLeader
	requester       int     // the planner that asked for the cell last, or noPlanner
	requestedAt     float64
	waiting         []*openRequest // requests that wait for a leader, in the order in which they began to wait
}

// resetPromises discards all promises and blocks new ones for one lease, because promises that another process gave, and that this process
// does not know, may still be valid.
func (c *Core) resetPromises() {
	for i := range c.cells {
		c.cells[i] = cellState{promise: promise{holder: noPlanner, until: c.now + c.cfg.LeaseS}, requester: noPlanner, leaderlessSince: c.now}
	}
}

// follows reports whether decisions of a planner for a cell under an epoch are carried out. It is the forwarder's only fencing check.
func (c *Core) follows(planner, cellID int, epoch uint64) bool {
	if cellID >= len(c.cells) {
		return false
	}
	cell := &c.cells[cellID]
	return cell.hasLeader && cell.holder == planner && cell.epoch == epoch && (!cell.expired(c.now) || !topology.FencingEnabled)
}

// handleClaim handles a planner's claim. It renews the planner's current promise, or grants a new one if no other planner holds an unexpired
// promise. A planner whose claim is refused gets a promise report for the cell.
func (c *Core) handleClaim(planner int, msg *transport.Message) {
	cellID := int(msg.Cell)
	if cellID >= len(c.cells) {
		return
	}
	cell := &c.cells[cellID]
	incarnation := c.planners[planner].incarnation
	ownClaim := cell.givenTo(planner, incarnation) // a planner claims under a new epoch only when its former claim has ended
	switch {
	case ownClaim && cell.epoch == msg.Epoch:
		if cell.expired(c.now) && topology.FencingEnabled {
			c.becomeLeaderless(cellID) // until the planner announces again that it leads
		}
		cell.until = c.now + c.cfg.LeaseS
		c.sendGrant(planner, msg)
	case msg.Epoch > cell.epoch && (cell.expired(c.now) || ownClaim):
		c.becomeLeaderless(cellID)
		cell.promise = promise{epoch: msg.Epoch, holder: planner, incarnation: incarnation, until: c.now + c.cfg.LeaseS}
		c.sendGrant(planner, msg)
		c.reportUsage(cellID)
		c.broadcastPromiseReports([]transport.Message{c.promiseReport(cellID)})
	case c.planners[planner].linked:
		c.out.SendToPlanner(planner, c.promiseReport(cellID))
	}
}

func (c *Core) sendGrant(planner int, claim *transport.Message) {
	c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindGrant, Cell: claim.Cell, Epoch: claim.Epoch, Round: claim.Round})
}

// handleLead handles a planner's announcement that a majority has granted its claim. If the planner holds this forwarder's promise, it is
// followed from now on, and the waiting requests are submitted to it.
func (c *Core) handleLead(planner int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cell := &c.cells[msg.Cell]
	if cell.hasLeader || cell.holder != planner || cell.epoch != msg.Epoch || cell.expired(c.now) && topology.FencingEnabled {
		return
	}
	cell.hasLeader = true
	c.reportOrphans(int(msg.Cell))
	c.submitWaiting(cell)
}

// becomeLeaderless stops following a cell's leader and withdraws the requests submitted to it. A request with nothing in flight waits for the
// next leader, or gets its final answer if no retry is allowed. The attempts of other requests continue as orphans, and such a request is
// dispatched again when its last attempt has ended.
func (c *Core) becomeLeaderless(cellID int) {
	cell := &c.cells[cellID]
	if !cell.hasLeader {
		return
	}
	cell.hasLeader, cell.leaderlessSince = false, c.now
	var requests []*openRequest
	for _, request := range c.submitted {
		if request.cellID == cellID {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *openRequest) int { return cmp.Compare(a.handle, b.handle) })
	for _, request := range requests {
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

// handleRelease ends a promise at the request of its holder.
func (c *Core) handleRelease(planner int, msg *transport.Message) {
	cellID := int(msg.Cell)
	if cellID >= len(c.cells) {
		return
	}
	cell := &c.cells[cellID]
	if cell.holder == planner && cell.epoch == msg.Epoch {
		cell.until = c.now
		c.becomeLeaderless(cellID)
		c.broadcastPromiseReports([]transport.Message{c.promiseReport(cellID)})
	}
}

// handleHandbackRequest records that a planner asks for a cell. The promise reports carry the request to all planners, the cell's
// leader among them.
func (c *Core) handleHandbackRequest(planner int, msg *transport.Message) {
	if int(msg.Cell) < len(c.cells) {
		cell := &c.cells[msg.Cell]
		cell.requester, cell.requestedAt = planner, c.now
	}
}

// promiseReport returns the message that reports this forwarder's promise for a cell, and the planner that asks for the cell, if any.
func (c *Core) promiseReport(cellID int) transport.Message {
	cell := &c.cells[cellID]
	msg := transport.Message{Kind: transport.KindPromiseReport, Cell: uint16(cellID), Epoch: cell.epoch, Number: uint32(cell.holder + 1),
		DurationS: max(cell.until-c.now, 0)}
	if cell.requester != noPlanner && c.now < cell.requestedAt+handbackRequestTTLS {
		msg.Requester = uint16(cell.requester + 1)
	}
	return msg
}

func (c *Core) allPromiseReports() []transport.Message {
	msgs := make([]transport.Message, len(c.cells))
	for i := range c.cells {
		msgs[i] = c.promiseReport(i)
	}
	return msgs
}

// sendPromiseReports sends the promise reports for all cells to a newly linked planner.
func (c *Core) sendPromiseReports(planner int) {
	c.out.SendToPlanner(planner, c.allPromiseReports()...)
}

func (c *Core) broadcastPromiseReports(reports []transport.Message) {
	for planner := range c.planners {
		if c.planners[planner].linked {
			c.out.SendToPlanner(planner, reports...)
		}
	}
}
