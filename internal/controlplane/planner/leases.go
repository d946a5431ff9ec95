package planner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

const (
	// roundHistory is for how many renewals the time of sending is remembered; a grant of an older one counts for nothing.
	roundHistory = 64
	// handbackDelayS is how many seconds a cell is kept before it is handed back to a planner that ranks before this one.
	handbackDelayS = 2.0
	// handbackRequestIntervalS is the time between two requests for a cell that a lower-ranked planner leads, in seconds.
	handbackRequestIntervalS = 0.2

	// Two claims never have the same epoch: its order is followed by a draw and by the planner's number. A forwarder that had promised
	// an epoch to a planner's former incarnation would otherwise take the same epoch of the new one for neither newer nor its own.
	epochStep        = 64 << 32
	epochPlannerBits = 6 // topology.Params allows 64 planners
)

// leaseRole is a planner's standing in one cell.
type leaseRole uint8

const (
	follower  leaseRole = iota // no claim is made
	candidate                  // a claim is made, and a majority has yet to promise
	leader                     // a majority has promised; ends by time, see leaseManager.leaseEnd
)

// String returns the role's name.
func (r leaseRole) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// forwarderView is what a forwarder last reported of its promise for a cell.
type forwarderView struct {
	known     bool // false until the first report over the present link, and once the view is about to change
	epoch     uint64
	holder    int     // the planner that the cell is promised to; -1: none
	freeAt    float64 // when the promise runs out
	requester int     // a planner that asks for the cell; -1: none
}

// cellLease is this planner's lease on one cell. Only leaseManager changes it.
type cellLease struct {
	role          leaseRole
	epoch         uint64                // of the claim; 0 in a follower
	round         uint32                // of the latest renewal that was sent
	sentAt        [roundHistory]float64 // by round, modulo roundHistory
	grantedSentAt []float64             // by forwarder: when the latest round that it granted was sent; -Inf: none
	expiresAt     float64               // of a leader's lease; -Inf before any grant
	roleSince     float64               // start of the candidacy or of the lead

	views               []forwarderView // by forwarder
	freeSince           float64         // since when a majority reports the cell as free; +Inf: it does not
	nextClaimAt         float64         // no claim is made earlier
	handbackRequestedAt float64
}

// leaseManager decides which cells this planner leads. It does no I/O; times are seconds of this machine's clock.
type leaseManager struct {
	params          topology.Params
	planner         int // this planner's number
	rng             *rand.Rand
	cells           []cellLease
	linked          []bool // by forwarder
	nextHeartbeatAt float64
	draining        bool // no cell is claimed

	send    func(forwarder int, msgs ...transport.Message)
	onClaim func(cellID int, epoch uint64)              // a claim was made: usage reports may arrive
	onLead  func(now float64, cellID int, epoch uint64) // a majority has promised
	onLoss  func(cellID int)                            // the claim or the lead has ended; nothing may be decided under it any more
}

func newLeaseManager(params topology.Params, planner int, seed uint64) *leaseManager {
	m := &leaseManager{
		params:  params,
		planner: planner,
		rng:     rand.New(rand.NewPCG(seed, 0x6a09e667f3bcc908)),
		cells:   make([]cellLease, params.Cells),
		linked:  make([]bool, params.Forwarders),
	}
	for i := range m.cells {
		m.cells[i].grantedSentAt = make([]float64, params.Forwarders)
		m.cells[i].views = make([]forwarderView, params.Forwarders)
		m.cells[i].freeSince = math.Inf(1)
	}
	return m
}

// leaseEnd returns when the lease ends by what has been granted so far: topology.LeadFraction of the lease time after the oldest of a
// majority's latest granted rounds was sent. It is the only rule of fencing on the planner's side.
func (m *leaseManager) leaseEnd(lease *cellLease) float64 {
	sentTimes := slices.Clone(lease.grantedSentAt)
	slices.SortFunc(sentTimes, func(a, b float64) int { return cmp.Compare(b, a) })
	return sentTimes[m.params.Majority()-1] + m.params.LeaseS*topology.LeadFraction
}

// isLeader reports whether this planner may decide for the cell at this moment under this epoch.
func (m *leaseManager) isLeader(now float64, cellID int, epoch uint64) bool {
	if cellID < 0 || cellID >= len(m.cells) {
		return false
	}
	lease := &m.cells[cellID]
	return lease.role == leader && lease.epoch == epoch && (now < lease.expiresAt || !topology.Fenced)
}

// linkUp handles a new link to a forwarder. One that has promised a cell to this lead, before its link broke or its process was replaced,
// need not wait for the next renewal to learn that the lead stands; no other follows by this message.
func (m *leaseManager) linkUp(now float64, forwarder int) {
	m.linked[forwarder] = true
	for i := range m.cells {
		if lease := &m.cells[i]; m.isLeader(now, i, lease.epoch) {
			m.send(forwarder, transport.Message{Kind: transport.KindLead, Cell: uint16(i), Epoch: lease.epoch})
		}
	}
}

func (m *leaseManager) linkDown(forwarder int) {
	m.linked[forwarder] = false
	for i := range m.cells {
		m.cells[i].views[forwarder].known = false
	}
}

// broadcast sends messages to every linked forwarder.
func (m *leaseManager) broadcast(msgs ...transport.Message) {
	for forwarder, linked := range m.linked {
		if linked {
			m.send(forwarder, msgs...)
		}
	}
}

// handleView handles a forwarder's report of its promise for a cell.
func (m *leaseManager) handleView(now float64, forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(m.cells) {
		return
	}
	lease := &m.cells[msg.Cell]
	lease.views[forwarder] = forwarderView{known: true, epoch: msg.Epoch, holder: int(msg.Number) - 1, freeAt: now + msg.DurationS,
		requester: int(msg.Requester) - 1}
	if lease.role == leader && msg.Epoch > lease.epoch && msg.DurationS == 0 && now >= lease.roleSince+m.params.LeaseS {
		// The forwarder has promised a claim that failed and will follow no lower epoch: only a higher claim gets it back.
		m.releaseLead(now, int(msg.Cell))
		lease.nextClaimAt = now
	}
}

// handleGrant handles a forwarder's promise, or its renewal.
func (m *leaseManager) handleGrant(now float64, forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(m.cells) {
		return
	}
	lease := &m.cells[msg.Cell]
	if lease.role == follower || lease.epoch != msg.Epoch || msg.Round > lease.round || lease.round-msg.Round >= roundHistory {
		return
	}
	lease.grantedSentAt[forwarder] = max(lease.grantedSentAt[forwarder], lease.sentAt[msg.Round%roundHistory])
	lease.expiresAt = m.leaseEnd(lease)
	if lease.role == candidate && now < lease.expiresAt {
		m.becomeLeader(now, int(msg.Cell))
	}
}

// renewLease sends the next round of a claim, and of a leader its lead, to all forwarders.
func (m *leaseManager) renewLease(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.round++
	lease.sentAt[lease.round%roundHistory] = now
	msgs := []transport.Message{{Kind: transport.KindClaim, Cell: uint16(cellID), Epoch: lease.epoch, Round: lease.round}}
	if lease.role == leader {
		msgs = append(msgs, transport.Message{Kind: transport.KindLead, Cell: uint16(cellID), Epoch: lease.epoch})
	}
	m.broadcast(msgs...)
}

// becomeCandidate claims a cell under an epoch above all that the forwarders have reported.
func (m *leaseManager) becomeCandidate(now float64, cellID int, highestEpoch uint64) {
	lease := &m.cells[cellID]
	lease.role, lease.roleSince, lease.round = candidate, now, 0
	lease.epoch = (highestEpoch/epochStep+1)*epochStep + uint64(m.rng.Uint32())<<epochPlannerBits + uint64(m.planner)
	for forwarder := range lease.grantedSentAt {
		lease.grantedSentAt[forwarder] = math.Inf(-1)
	}
	lease.expiresAt = math.Inf(-1)
	m.onClaim(cellID, lease.epoch)
	m.renewLease(now, cellID)
}

// becomeLeader starts the lead of a cell, and renews the lease at once to announce it.
func (m *leaseManager) becomeLeader(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.role, lease.roleSince = leader, now
	m.onLead(now, cellID, lease.epoch)
	m.renewLease(now, cellID)
}

// becomeFollower ends a claim or a lead without notifying the forwarders. The next claim waits for a random time, so that candidates
// that have hindered each other do not meet again.
func (m *leaseManager) becomeFollower(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.role, lease.epoch, lease.freeSince = follower, 0, math.Inf(1)
	lease.nextClaimAt = now + m.params.LeaseS/2*m.rng.Float64()
	m.onLoss(cellID)
}

// expireLeases ends the leads whose lease has run out. It releases the promises: a forwarder whose promise still runs would otherwise
// go on submitting requests to a planner that ignores them.
func (m *leaseManager) expireLeases(now float64) {
	for i := range m.cells {
		if lease := &m.cells[i]; lease.role == leader && now >= lease.expiresAt && topology.Fenced {
			epoch := lease.epoch
			m.becomeFollower(now, i)
			m.sendRelease(i, epoch)
		}
	}
}

// releaseLead gives up a claim or a lead: a successor need not wait until the promises have run out.
func (m *leaseManager) releaseLead(now float64, cellID int) {
	lease := &m.cells[cellID]
	epoch := lease.epoch
	m.becomeFollower(now, cellID)
	lease.nextClaimAt = now + m.params.LeaseS
	for forwarder := range m.linked {
		lease.views[forwarder].known = false // it is about to change
	}
	m.sendRelease(cellID, epoch)
}

// sendRelease notifies the forwarders that nothing more will be decided under an epoch.
func (m *leaseManager) sendRelease(cellID int, epoch uint64) {
	m.broadcast(transport.Message{Kind: transport.KindRelease, Cell: uint16(cellID), Epoch: epoch})
}

// drain gives all cells up and claims none until activate.
func (m *leaseManager) drain(now float64) {
	m.draining = true
	for i := range m.cells {
		if m.cells[i].role != follower {
			m.releaseLead(now, i)
		}
	}
}

// activate lets cells be claimed again.
func (m *leaseManager) activate() { m.draining = false }

// tick claims, renews and gives up cells. It is to be called every few milliseconds.
func (m *leaseManager) tick(now float64) {
	heartbeat := now >= m.nextHeartbeatAt
	if heartbeat {
		m.nextHeartbeatAt = now + m.params.HeartbeatS
		m.broadcast(transport.Message{Kind: transport.KindHeartbeat})
	}
	for i := range m.cells {
		lease := &m.cells[i]
		switch {
		case lease.role == candidate && now >= lease.roleSince+m.params.LeaseS:
			m.becomeFollower(now, i)
		case lease.role == leader && now >= lease.roleSince+handbackDelayS && m.handbackRequested(i):
			m.releaseLead(now, i)
		case lease.role != follower:
			if heartbeat {
				m.renewLease(now, i)
			}
		case !m.draining:
			m.tickFollower(now, i)
		}
	}
}

// handbackRequested reports whether a majority of forwarders knows of a planner that ranks before this one and asks for the cell.
func (m *leaseManager) handbackRequested(cellID int) bool {
	requests := 0
	for forwarder, view := range m.cells[cellID].views {
		if m.linked[forwarder] && view.known && m.validPlanner(view.requester) &&
			m.params.Rank(cellID, view.requester) < m.params.Rank(cellID, m.planner) {
			requests++
		}
	}
	return requests >= m.params.Majority()
}

func (m *leaseManager) validPlanner(planner int) bool {
	return planner >= 0 && planner < m.params.Planners
}

// plannersToLetClaim returns how many of the planners that rank before this one may claim the cell first. The one that a majority had
// promised the cell to last is not among them: it has given the cell up, or is dead or paused. If it claims all the same, one claim
// fails and nothing else happens.
func (m *leaseManager) plannersToLetClaim(lease *cellLease, cellID, rank int) int {
	lastHolders := make([]int, m.params.Planners)
	for forwarder, view := range lease.views {
		if m.linked[forwarder] && view.known && m.validPlanner(view.holder) {
			lastHolders[view.holder]++
			if lastHolders[view.holder] >= m.params.Majority() && m.params.Rank(cellID, view.holder) < rank {
				return rank - 1
			}
		}
	}
	return rank
}

// tickFollower claims a cell that a majority reports as free, after the planners that rank before this one, or asks for one that a
// lower-ranked planner leads.
func (m *leaseManager) tickFollower(now float64, cellID int) {
	lease := &m.cells[cellID]
	rank := m.params.Rank(cellID, m.planner)
	free, heldByLowerRank, highestEpoch := 0, 0, uint64(0)
	for forwarder, view := range lease.views {
		if !m.linked[forwarder] || !view.known {
			continue
		}
		highestEpoch = max(highestEpoch, view.epoch)
		switch {
		case now >= view.freeAt, view.holder == m.planner: // this planner's own failed claim hinders nobody
			free++
		case m.validPlanner(view.holder) && m.params.Rank(cellID, view.holder) > rank:
			heldByLowerRank++
		}
	}
	if free < m.params.Majority() {
		lease.freeSince = math.Inf(1)
	} else {
		lease.freeSince = min(lease.freeSince, now)
	}
	claimAt := lease.freeSince + float64(m.plannersToLetClaim(lease, cellID, rank))*topology.ClaimStaggerS
	switch {
	case now >= lease.nextClaimAt && now >= claimAt:
		m.becomeCandidate(now, cellID, highestEpoch)
	case heldByLowerRank >= m.params.Majority() && now >= lease.handbackRequestedAt+handbackRequestIntervalS:
		lease.handbackRequestedAt = now
		m.broadcast(transport.Message{Kind: transport.KindHandbackRequest, Cell: uint16(cellID)})
	}
}
