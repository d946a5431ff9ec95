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
	// roundHistory is the number of latest renewals whose send times are kept. A grant of an older renewal is ignored.
	roundHistory = 64
	// handbackDelayS is the time, in seconds, for which this planner leads a cell before it hands it back to a higher-ranked planner.
	// Ranks are positions in the order in which planners claim a cell; rank 0 is the highest.
	handbackDelayS = 2.0
	// handbackRequestIntervalS is the time, in seconds, between two requests for a cell that a lower-ranked planner leads.
	handbackRequestIntervalS = 0.2

	// An epoch consists of a counter, 32 random bits and the planner's number, so that no two claims have the same epoch. A forwarder that
	// promised an epoch to a planner's previous incarnation would otherwise reject a claim of the new incarnation under the same epoch: the
	// epoch is no newer, and the claim does not renew the promise.
	epochStep        = 64 << 32
	epochPlannerBits = 6 // topology.Params allows 64 planners
)

// leaseRole is a planner's role in one cell.
type leaseRole uint8

const (
	follower  leaseRole = iota // has made no claim
	candidate                  // has made a claim that a majority has not granted yet
	leader                     // a majority has granted the claim; lasts until leaseManager.leaseEnd
)

// String returns the role's name.
func (r leaseRole) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// promiseReport is a forwarder's latest report of its promise for a cell.
type promiseReport struct {
	known     bool // false before the first report over the current link, and when a changed report is expected
	epoch     uint64
	holder    int     // the planner to which the cell is promised; -1: none
	freeAt    float64 // when the promise expires
	requester int     // a planner that requests the cell; -1: none
}

// cellLease is this planner's lease on one cell. Only leaseManager changes it.
type cellLease struct {
	role          leaseRole
	epoch         uint64                // of the claim; 0 for a follower
	round         uint32                // of the latest renewal sent
	sentAt        [roundHistory]float64 // send time of each renewal, by round modulo roundHistory
	grantedSentAt []float64             // by forwarder: send time of the latest round that it granted; -Inf: none
	expiresAt     float64               // end of the lease by the grants so far; -Inf before any grant
	roleSince     float64               // start of the candidacy or leadership

	promiseReports      []promiseReport // by forwarder
	freeSince           float64         // since when a majority has reported the cell as free; +Inf: no majority does
	nextClaimAt         float64         // earliest time of the next claim
	handbackRequestedAt float64
}

// leaseManager decides which cells this planner leads. It does no I/O. Times are in seconds by the clock of this machine.
type leaseManager struct {
	params          topology.Params
	planner         int // this planner's number
	rng             *rand.Rand
	cells           []cellLease
	linked          []bool // by forwarder
	nextHeartbeatAt float64
	draining        bool // claims no cell

	send    func(forwarder int, msgs ...transport.Message)
	onClaim func(cellID int, epoch uint64)              // a claim was made; usage reports may arrive from now on
	onLead  func(now float64, cellID int, epoch uint64) // a majority has granted the claim
	onLoss  func(cellID int)                            // the claim or leadership has ended; no decision may be made under it any more
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
		m.cells[i].promiseReports = make([]promiseReport, params.Forwarders)
		m.cells[i].freeSince = math.Inf(1)
	}
	return m
}

// leaseEnd returns when the lease expires by the grants so far. It takes the send time of the latest round that each forwarder has
// granted, selects the majority with the latest times, and adds topology.LeaderLeaseFraction of the lease time to the earliest of these. This
// is the only fencing rule on the planner's side.
func (m *leaseManager) leaseEnd(lease *cellLease) float64 {
	sentTimes := slices.Clone(lease.grantedSentAt)
	slices.SortFunc(sentTimes, func(a, b float64) int { return cmp.Compare(b, a) })
	return sentTimes[m.params.Majority()-1] + m.params.LeaseS*topology.LeaderLeaseFraction
}

// isLeader reports whether this planner leads the cell under the given epoch at the time now, and so may make decisions for it.
func (m *leaseManager) isLeader(now float64, cellID int, epoch uint64) bool {
	if cellID < 0 || cellID >= len(m.cells) {
		return false
	}
	lease := &m.cells[cellID]
	return lease.role == leader && lease.epoch == epoch && (now < lease.expiresAt || !topology.FencingEnabled)
}

// linkUp handles a new link to a forwarder, and announces to it the cells that this planner leads. A forwarder that promised such a cell
// before its link broke or its process was replaced then resumes without waiting for the next renewal. Forwarders without such a promise
// ignore the announcement.
func (m *leaseManager) linkUp(now float64, forwarder int) {
	m.linked[forwarder] = true
	for i := range m.cells {
		if lease := &m.cells[i]; m.isLeader(now, i, lease.epoch) {
			m.send(forwarder, transport.Message{Kind: transport.KindLeaderAnnouncement, Cell: uint16(i), Epoch: lease.epoch})
		}
	}
}

func (m *leaseManager) linkDown(forwarder int) {
	m.linked[forwarder] = false
	for i := range m.cells {
		m.cells[i].promiseReports[forwarder].known = false
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

// handlePromiseReport handles a forwarder's report of its promise for a cell.
func (m *leaseManager) handlePromiseReport(now float64, forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(m.cells) {
		return
	}
	lease := &m.cells[msg.Cell]
	lease.promiseReports[forwarder] = promiseReport{known: true, epoch: msg.Epoch, holder: int(msg.Number) - 1, freeAt: now + msg.DurationS,
		requester: int(msg.Requester) - 1}
	if lease.role == leader && msg.Epoch > lease.epoch && msg.DurationS == 0 && now >= lease.roleSince+m.params.LeaseS {
		// The forwarder has promised a higher epoch to a claim that failed, and follows no lower epoch. It follows this planner again only
		// after a claim with a still higher epoch.
		m.releaseCell(now, int(msg.Cell))
		lease.nextClaimAt = now
	}
}

// handleGrant handles a forwarder's grant of a claim or of a renewal.
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

// renewLease sends the next round of a claim to all forwarders. A leader also announces its leadership.
func (m *leaseManager) renewLease(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.round++
	lease.sentAt[lease.round%roundHistory] = now
	msgs := []transport.Message{{Kind: transport.KindClaim, Cell: uint16(cellID), Epoch: lease.epoch, Round: lease.round}}
	if lease.role == leader {
		msgs = append(msgs, transport.Message{Kind: transport.KindLeaderAnnouncement, Cell: uint16(cellID), Epoch: lease.epoch})
	}
	m.broadcast(msgs...)
}

// becomeCandidate claims a cell under an epoch above highestEpoch, the highest one that the forwarders have reported.
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

// becomeLeader starts leading a cell, and renews the lease at once to announce the leadership.
func (m *leaseManager) becomeLeader(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.role, lease.roleSince = leader, now
	m.onLead(now, cellID, lease.epoch)
	m.renewLease(now, cellID)
}

// becomeFollower ends a claim or a leadership without notifying the forwarders. The next claim waits for a random time of up to half a
// lease, so that candidates that blocked each other do not collide again.
func (m *leaseManager) becomeFollower(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.role, lease.epoch, lease.freeSince = follower, 0, math.Inf(1)
	lease.nextClaimAt = now + m.params.LeaseS/2*m.rng.Float64()
	m.onLoss(cellID)
}

// expireLeases ends each leadership whose lease has expired, and releases its promises. A forwarder whose promise has not expired yet
// would otherwise continue to submit requests, which this planner ignores.
func (m *leaseManager) expireLeases(now float64) {
	for i := range m.cells {
		if lease := &m.cells[i]; lease.role == leader && now >= lease.expiresAt && topology.FencingEnabled {
			epoch := lease.epoch
			m.becomeFollower(now, i)
			m.sendRelease(i, epoch)
		}
	}
}

// releaseCell ends a claim or a leadership and releases its promises, so that a successor need not wait until they expire.
func (m *leaseManager) releaseCell(now float64, cellID int) {
	lease := &m.cells[cellID]
	epoch := lease.epoch
	m.becomeFollower(now, cellID)
	lease.nextClaimAt = now + m.params.LeaseS
	for forwarder := range m.linked {
		lease.promiseReports[forwarder].known = false // the release changes it
	}
	m.sendRelease(cellID, epoch)
}

// sendRelease notifies the forwarders that this planner makes no more decisions under an epoch.
func (m *leaseManager) sendRelease(cellID int, epoch uint64) {
	m.broadcast(transport.Message{Kind: transport.KindRelease, Cell: uint16(cellID), Epoch: epoch})
}

// drain releases all cells. No cell is claimed until activate is called.
func (m *leaseManager) drain(now float64) {
	m.draining = true
	for i := range m.cells {
		if m.cells[i].role != follower {
			m.releaseCell(now, i)
		}
	}
}

// activate allows claims again after drain.
func (m *leaseManager) activate() { m.draining = false }

// tick claims, renews and releases cells. It must be called every few milliseconds.
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
			m.releaseCell(now, i)
		case lease.role != follower:
			if heartbeat {
				m.renewLease(now, i)
			}
		case !m.draining:
			m.tickFollower(now, i)
		}
	}
}

// handbackRequested reports whether a majority of the forwarders reports a request for the cell from a higher-ranked planner.
func (m *leaseManager) handbackRequested(cellID int) bool {
	requests := 0
	for forwarder, report := range m.cells[cellID].promiseReports {
		if m.linked[forwarder] && report.known && m.validPlanner(report.requester) &&
			m.params.Rank(cellID, report.requester) < m.params.Rank(cellID, m.planner) {
			requests++
		}
	}
	return requests >= m.params.Majority()
}

func (m *leaseManager) validPlanner(planner int) bool {
	return planner >= 0 && planner < m.params.Planners
}

// plannersAhead returns the number of higher-ranked planners that this planner lets claim the cell first. It leaves out a planner that
// holds the latest promises of a majority, because that planner has released the cell, has failed or is paused. If it claims the cell
// nevertheless, one claim fails, with no other effect.
func (m *leaseManager) plannersAhead(lease *cellLease, cellID, rank int) int {
	promisesByHolder := make([]int, m.params.Planners)
	for forwarder, report := range lease.promiseReports {
		if m.linked[forwarder] && report.known && m.validPlanner(report.holder) {
			promisesByHolder[report.holder]++
			if promisesByHolder[report.holder] >= m.params.Majority() && m.params.Rank(cellID, report.holder) < rank {
				return rank - 1
			}
		}
	}
	return rank
}

// tickFollower claims a cell that a majority reports as free, after higher-ranked planners had time to claim it. It requests a cell that a
// lower-ranked planner leads.
func (m *leaseManager) tickFollower(now float64, cellID int) {
	lease := &m.cells[cellID]
	rank := m.params.Rank(cellID, m.planner)
	free, heldByLowerRank, highestEpoch := 0, 0, uint64(0)
	for forwarder, report := range lease.promiseReports {
		if !m.linked[forwarder] || !report.known {
			continue
		}
		highestEpoch = max(highestEpoch, report.epoch)
		switch {
		case now >= report.freeAt, report.holder == m.planner: // a promise to this planner's own failed claim does not block a new claim
			free++
		case m.validPlanner(report.holder) && m.params.Rank(cellID, report.holder) > rank:
			heldByLowerRank++
		}
	}
	if free < m.params.Majority() {
		lease.freeSince = math.Inf(1)
	} else {
		lease.freeSince = min(lease.freeSince, now)
	}
	claimAt := lease.freeSince + float64(m.plannersAhead(lease, cellID, rank))*topology.ClaimStaggerS
	switch {
	case now >= lease.nextClaimAt && now >= claimAt:
		m.becomeCandidate(now, cellID, highestEpoch)
	case heldByLowerRank >= m.params.Majority() && now >= lease.handbackRequestedAt+handbackRequestIntervalS:
		lease.handbackRequestedAt = now
		m.broadcast(transport.Message{Kind: transport.KindHandbackRequest, Cell: uint16(cellID)})
	}
}
