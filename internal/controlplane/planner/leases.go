// Package planner hosts the decision module for many forwarders. leases.go decides which cells this planner
// leads, recovery.go what a cell's customers may have used before, host.go joins both with the modules: all three
// without I/O or a clock. server.go is the link.
package planner

import (
	"math"
	"math/rand/v2"
	"slices"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

const (
	roundHistory             = 64  // renewals whose time of sending is remembered
	handbackDelayS           = 2.0 // a cell is kept for so long before it is given to a planner that comes before in its order
	handbackRequestIntervalS = 0.2 // seconds between two wishes
	// No two claims have the same epoch: beside its order stand the planner's number and a draw. A forwarder that had
	// promised one to a planner's earlier life would else take the same one of its new life for neither newer nor its own.
	epochStep = 64 << 32
)

// forwarderView is how a forwarder last said that a cell stands with it.
type forwarderView struct {
	known     bool
	epoch     uint64
	holder    int // -1: nobody yet
	freeAt    float64
	requester int // a planner that asks for the cell, -1: nobody
}

// cellLease is this planner's standing in one cell.
type cellLease struct {
	epoch               uint64 // of the claim that is made or led by, 0: neither
	leading             bool
	round               uint32
	sentAt              [roundHistory]float64
	grantedSentAt       []float64       // by forwarder: when the latest round that it granted was sent, -Inf: none
	expiresAt           float64         // of the lead; see ends
	stateSince          float64         // of the claim, or of the lead
	views               []forwarderView // by forwarder
	freeSince           float64         // since when a majority has it as free, +Inf: it has not
	nextClaimAt         float64         // no claim before
	handbackRequestedAt float64
}

// leaseManager decides which cells this planner leads. Times are seconds of this machine.
type leaseManager struct {
	params          topology.Params
	planner         int
	rng             *rand.Rand
	cells           []cellLease
	linked          []bool // by forwarder
	nextHeartbeatAt float64
	draining        bool // no cell is claimed any more

	send    func(forwarder int, msgs ...transport.Message)
	onClaim func(cellID int, epoch uint64)              // a claim was made: tales may come
	onLead  func(now float64, cellID int, epoch uint64) // a majority has promised
	onLoss  func(cellID int)                            // the claim or the lead is over; nothing may be decided by it from now on
}

func newLeaseManager(p topology.Params, planner int, seed uint64) *leaseManager {
	manager := &leaseManager{params: p, planner: planner, rng: rand.New(rand.NewPCG(seed, 0x6a09e667f3bcc908)), cells: make([]cellLease, p.Cells),
		linked: make([]bool, p.Forwarders)}
	for i := range manager.cells {
		lease := &manager.cells[i]
		lease.grantedSentAt, lease.views, lease.freeSince = make([]float64, p.Forwarders), make([]forwarderView, p.Forwarders), math.Inf(1)
	}
	return manager
}

// leaseEnd is when the lead ends by what was granted so far: LeadShare of the lease after the oldest of the
// majority's latest rounds was sent. The one rule on the planner's side of fencing.
func (m *leaseManager) leaseEnd(lease *cellLease) float64 {
	sentTimes := slices.Clone(lease.grantedSentAt)
	slices.SortFunc(sentTimes, func(a, b float64) int {
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		}
		return 0
	})
	return sentTimes[m.params.Majority()-1] + m.params.LeaseS*topology.LeadFraction
}

// isLeader tells whether this planner may decide for the cell at this moment, under this epoch.
func (m *leaseManager) isLeader(now float64, cellID int, epoch uint64) bool {
	if cellID < 0 || cellID >= len(m.cells) {
		return false
	}
	lease := &m.cells[cellID]
	return lease.leading && lease.epoch == epoch && (now < lease.expiresAt || !topology.Fenced)
}

// linkUp takes a link to a forwarder. One that has promised a cell to this lead, as before its link broke or its process was replaced,
// need not wait for the next renewal to hear of it; any other does not follow by it.
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

// handleView takes a forwarder's word on a cell.
func (m *leaseManager) handleView(now float64, forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(m.cells) {
		return
	}
	lease := &m.cells[msg.Cell]
	lease.views[forwarder] = forwarderView{true, msg.Epoch, int(msg.Number) - 1, now + msg.DurationS, int(msg.Requester) - 1}
	if lease.leading && msg.Epoch > lease.epoch && msg.DurationS == 0 && now >= lease.stateSince+m.params.LeaseS {
		// Another's claim, that failed, is all that this forwarder will ever follow: a higher epoch mends that.
		m.releaseLead(now, int(msg.Cell))
		lease.nextClaimAt = now
	}
}

// handleGrant takes a promise, or its renewal.
func (m *leaseManager) handleGrant(now float64, forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(m.cells) {
		return
	}
	lease := &m.cells[msg.Cell]
	if lease.epoch == 0 || lease.epoch != msg.Epoch || msg.Round > lease.round || lease.round-msg.Round >= roundHistory {
		return
	}
	lease.grantedSentAt[forwarder] = max(lease.grantedSentAt[forwarder], lease.sentAt[msg.Round%roundHistory])
	lease.expiresAt = m.leaseEnd(lease)
	if !lease.leading && now < lease.expiresAt {
		lease.leading, lease.stateSince = true, now
		m.onLead(now, int(msg.Cell), lease.epoch)
		m.sendClaim(now, int(msg.Cell)) // says that it leads, too
	}
}

// sendClaim sends the next round of a claim to all forwarders.
func (m *leaseManager) sendClaim(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.round++
	lease.sentAt[lease.round%roundHistory] = now
	msgs := []transport.Message{{Kind: transport.KindClaim, Cell: uint16(cellID), Epoch: lease.epoch, Round: lease.round}}
	if lease.leading {
		msgs = append(msgs, transport.Message{Kind: transport.KindLead, Cell: uint16(cellID), Epoch: lease.epoch})
	}
	for forwarder, up := range m.linked {
		if up {
			m.send(forwarder, msgs...)
		}
	}
}

// becomeFollower ends a claim or lead without a word.
func (m *leaseManager) becomeFollower(now float64, cellID int) {
	lease := &m.cells[cellID]
	lease.epoch, lease.leading, lease.freeSince = 0, false, math.Inf(1)
	lease.nextClaimAt = now + m.params.LeaseS/2*m.rng.Float64()
	m.onLoss(cellID)
}

// expireLeads drops the leads that have run out. It says so: a forwarder whose promise still runs would go on telling requests
// to a planner that has stopped listening.
func (m *leaseManager) expireLeads(now float64) {
	for i := range m.cells {
		if lease := &m.cells[i]; lease.leading && now >= lease.expiresAt && topology.Fenced {
			epoch := lease.epoch
			m.becomeFollower(now, i)
			m.sendRelease(i, epoch)
		}
	}
}

// releaseLead gives a lead up: its successor need not wait for the promises to run out.
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

// sendRelease tells forwarders that nothing more will be decided under an epoch.
func (m *leaseManager) sendRelease(cellID int, epoch uint64) {
	for forwarder, up := range m.linked {
		if up {
			m.send(forwarder, transport.Message{Kind: transport.KindRelease, Cell: uint16(cellID), Epoch: epoch})
		}
	}
}

// drain gives all up, until leaves is false again.
func (m *leaseManager) drain(now float64) {
	m.draining = true
	for i := range m.cells {
		if m.cells[i].epoch != 0 {
			m.releaseLead(now, i)
		}
	}
}

// tick claims, renews and gives up; call it every few milliseconds.
func (m *leaseManager) tick(now float64) {
	heartbeat := now >= m.nextHeartbeatAt
	if heartbeat {
		m.nextHeartbeatAt = now + m.params.HeartbeatS
		for forwarder, up := range m.linked {
			if up {
				m.send(forwarder, transport.Message{Kind: transport.KindHeartbeat})
			}
		}
	}
	for i := range m.cells {
		lease := &m.cells[i]
		switch {
		case lease.epoch != 0 && !lease.leading && now >= lease.stateSince+m.params.LeaseS:
			m.becomeFollower(now, i)
		case lease.leading && now >= lease.stateSince+handbackDelayS && m.handbackRequested(i):
			m.releaseLead(now, i)
		case lease.epoch != 0:
			if heartbeat {
				m.sendClaim(now, i)
			}
		case !m.draining:
			m.considerClaim(now, i)
		}
	}
}

// handbackRequested tells that a majority knows of a planner that comes before this one and asks for the cell.
func (m *leaseManager) handbackRequested(cellID int) bool {
	n := 0
	for forwarder, v := range m.cells[cellID].views {
		if m.linked[forwarder] && v.known && v.requester >= 0 && v.requester < m.params.Planners && m.params.Rank(cellID, v.requester) < m.params.Rank(cellID, m.planner) {
			n++
		}
	}
	return n >= m.params.Majority()
}

// plannersToLetClaim is how many planners this one lets go first, of those before it in the cell's order: not the one that a majority had promised
// the cell to last. That one has given it up, or died or stood still; should it claim all the same, a claim fails and nothing else.
func (m *leaseManager) plannersToLetClaim(lease *cellLease, cellID, rank int) int {
	lastHolders := make([]int, m.params.Planners)
	for forwarder, v := range lease.views {
		if m.linked[forwarder] && v.known && v.holder >= 0 && v.holder < m.params.Planners {
			if lastHolders[v.holder]++; lastHolders[v.holder] >= m.params.Majority() && m.params.Rank(cellID, v.holder) < rank {
				return rank - 1
			}
		}
	}
	return rank
}

// considerClaim claims a cell that a majority has as free, after the planners that come before in its order, or asks for
// one that a planner behind holds.
func (m *leaseManager) considerClaim(now float64, cellID int) {
	lease := &m.cells[cellID]
	free, behind, epoch := 0, 0, uint64(0)
	rank := m.params.Rank(cellID, m.planner)
	for forwarder, v := range lease.views {
		if !m.linked[forwarder] || !v.known {
			continue
		}
		epoch = max(epoch, v.epoch)
		switch {
		case now >= v.freeAt, v.holder == m.planner: // a claim of one's own that failed stands in nobody's way
			free++
		case v.holder >= 0 && v.holder < m.params.Planners && m.params.Rank(cellID, v.holder) > rank:
			behind++
		}
	}
	if free < m.params.Majority() {
		lease.freeSince = math.Inf(1)
	} else {
		lease.freeSince = min(lease.freeSince, now)
	}
	switch {
	case now >= lease.nextClaimAt && now >= lease.freeSince+float64(m.plannersToLetClaim(lease, cellID, rank))*topology.ClaimStaggerS:
		lease.epoch, lease.leading, lease.stateSince, lease.round = (epoch/epochStep+1)*epochStep+uint64(m.rng.Uint32())<<6+uint64(m.planner), false, now, 0
		for forwarder := range lease.grantedSentAt {
			lease.grantedSentAt[forwarder] = math.Inf(-1)
		}
		lease.expiresAt = math.Inf(-1)
		m.onClaim(cellID, lease.epoch)
		m.sendClaim(now, cellID)
	case behind >= m.params.Majority() && now >= lease.handbackRequestedAt+handbackRequestIntervalS:
		lease.handbackRequestedAt = now
		for forwarder, up := range m.linked {
			if up {
				m.send(forwarder, transport.Message{Kind: transport.KindHandbackRequest, Cell: uint16(cellID)})
			}
		}
	}
}
