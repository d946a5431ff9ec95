package forwarder

import (
	"cmp"
	"slices"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

// handbackRequestTTLS is for how many seconds a planner's request for a cell stands.
const handbackRequestTTLS = 0.5

// noPlanner stands where there is no planner's number.
const noPlanner = -1

// promise is the claim on a cell that this forwarder granted last. While it lasts, no other planner's claim is granted; a claim of a lower
// epoch never is.
type promise struct {
	epoch       uint64
	holder      int    // the planner, or noPlanner
	incarnation uint64 // of the planner's process
	until       float64
}

// givenTo reports whether the promise was given to this incarnation of a planner.
func (p *promise) givenTo(planner int, incarnation uint64) bool {
	return p.holder == planner && p.incarnation == incarnation
}

func (p *promise) expired(now float64) bool { return now >= p.until }

// cellState is one cell as this forwarder sees it.
type cellState struct {
	promise
	hasLeader       bool    // the holder has announced its lead, and its link has been up since: its decisions are followed
	leaderlessSince float64 // since when they are not; valid if !hasLeader
	requester       int     // the planner that asked for the cell last, or noPlanner
	requestedAt     float64
	waiting         []*openRequest // for a leader, in order of arrival
}

// resetPromises forgets all promises and grants none for a lease: some that were given by another process, and are not known here, may last.
func (c *Core) resetPromises() {
	for i := range c.cells {
		c.cells[i] = cellState{promise: promise{holder: noPlanner, until: c.now + c.cfg.LeaseS}, requester: noPlanner, leaderlessSince: c.now}
	}
}

// follows reports whether a planner's decisions for a cell under an epoch are to be carried out. It is the only check of fencing on the
// forwarder's side.
func (c *Core) follows(planner, cellID int, epoch uint64) bool {
	if cellID >= len(c.cells) {
		return false
	}
	cell := &c.cells[cellID]
	return cell.hasLeader && cell.holder == planner && cell.epoch == epoch && (!cell.expired(c.now) || !topology.Fenced)
}

// handleClaim answers a planner's claim: its present promise is renewed, and a new one is given if no other lasts.
func (c *Core) handleClaim(planner int, msg *transport.Message) {
	cellID := int(msg.Cell)
	if cellID >= len(c.cells) {
		return
	}
	cell := &c.cells[cellID]
	incarnation := c.planners[planner].incarnation
	ownClaim := cell.givenTo(planner, incarnation) // a planner claims anew only when its former claim is over
	switch {
	case ownClaim && cell.epoch == msg.Epoch:
		if cell.expired(c.now) && topology.Fenced {
			c.becomeLeaderless(cellID) // until the planner announces its lead again
		}
		cell.until = c.now + c.cfg.LeaseS
		c.sendGrant(planner, msg)
	case msg.Epoch > cell.epoch && (cell.expired(c.now) || ownClaim):
		c.becomeLeaderless(cellID)
		cell.promise = promise{epoch: msg.Epoch, holder: planner, incarnation: incarnation, until: c.now + c.cfg.LeaseS}
		c.sendGrant(planner, msg)
		c.reportUsage(cellID)
		c.broadcastViews([]transport.Message{c.view(cellID)})
	case c.planners[planner].linked:
		c.out.SendToPlanner(planner, c.view(cellID))
	}
}

func (c *Core) sendGrant(planner int, claim *transport.Message) {
	c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindGrant, Cell: claim.Cell, Epoch: claim.Epoch, Round: claim.Round})
}

// handleLead handles a planner's announcement that a majority has granted its claim. If it holds this forwarder's promise, it is followed
// from now on, and what waits is submitted to it.
func (c *Core) handleLead(planner int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cell := &c.cells[msg.Cell]
	if cell.hasLeader || cell.holder != planner || cell.epoch != msg.Epoch || cell.expired(c.now) && topology.Fenced {
		return
	}
	cell.hasLeader = true
	c.reportOrphans(int(msg.Cell))
	c.submitWaiting(cell)
}

// becomeLeaderless stops following a cell's leader. Of its requests, those with nothing in flight wait for the next leader, or get their final
// answer if no retry is allowed; the others go on as orphans and do so when their last attempt has ended.
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

// handleRelease ends a promise at its holder's request.
func (c *Core) handleRelease(planner int, msg *transport.Message) {
	cellID := int(msg.Cell)
	if cellID >= len(c.cells) {
		return
	}
	cell := &c.cells[cellID]
	if cell.holder == planner && cell.epoch == msg.Epoch {
		cell.until = c.now
		c.becomeLeaderless(cellID)
		c.broadcastViews([]transport.Message{c.view(cellID)})
	}
}

// handleHandbackRequest notes a planner that asks for a cell; the cell's leader learns of it by the views.
func (c *Core) handleHandbackRequest(planner int, msg *transport.Message) {
	if int(msg.Cell) < len(c.cells) {
		cell := &c.cells[msg.Cell]
		cell.requester, cell.requestedAt = planner, c.now
	}
}

// view returns the message that reports how a cell stands here.
func (c *Core) view(cellID int) transport.Message {
	cell := &c.cells[cellID]
	msg := transport.Message{Kind: transport.KindView, Cell: uint16(cellID), Epoch: cell.epoch, Number: uint32(cell.holder + 1),
		DurationS: max(cell.until-c.now, 0)}
	if cell.requester != noPlanner && c.now < cell.requestedAt+handbackRequestTTLS {
		msg.Requester = uint16(cell.requester + 1)
	}
	return msg
}

func (c *Core) allViews() []transport.Message {
	msgs := make([]transport.Message, len(c.cells))
	for i := range c.cells {
		msgs[i] = c.view(i)
	}
	return msgs
}

// sendViews reports all cells to a planner that has just been linked.
func (c *Core) sendViews(planner int) { c.out.SendToPlanner(planner, c.allViews()...) }

func (c *Core) broadcastViews(views []transport.Message) {
	for planner := range c.planners {
		if c.planners[planner].linked {
			c.out.SendToPlanner(planner, views...)
		}
	}
}
