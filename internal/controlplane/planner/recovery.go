package planner

import (
	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/transport"
)

// maxOrphanedAttempts caps the orphaned attempts that are accepted from one forwarder for one account.
const maxOrphanedAttempts = 1 << 15

// handleUsageReport handles one message of a forwarder's usage report. Reports arrive after the claim, before or during the leadership.
func (c *Core) handleUsageReport(forwarder int, msg *transport.Message) {
	if int(msg.Cell) >= len(c.cells) {
		return
	}
	cellID := int(msg.Cell)
	cell := &c.cells[cellID]
	if cell.epoch == 0 || cell.epoch != msg.Epoch || cell.windows == nil {
		return
	}
	switch msg.Kind {
	case transport.KindUsageReport:
		c.Stats.UsageReports++
		cell.windows.applyReport(c.now, forwarder, msg)
	case transport.KindUsageReportEnd:
		c.applyCounts(cellID, cell.windows.endReport(c.now, forwarder, msg.Flag))
	case transport.KindOrphans:
		attempts := int(min(msg.Number, maxOrphanedAttempts))
		c.applyCounts(cellID, cell.windows.setOrphans(c.now, forwarder, msg.Name, int(msg.Plan), attempts))
	}
}

// applyCounts passes counts from earlier leaders to a cell's module, as the report that a member sends to the owner of a quota.
func (c *Core) applyCounts(cellID int, counts []memberCount) {
	cell := &c.cells[cellID]
	if cell.module == nil {
		return
	}
	member := (cellID + 1) % c.cfg.Cells
	for _, count := range counts {
		if cell.countSeq++; cell.countSeq == 0 { // sequence number 0 stands for no message
			cell.countSeq++
		}
		cell.module.HandlePeerMessage(c.now, member,
			peerprotocol.MemberReport(1, cell.countSeq, count.account, count.plan, count.total, count.unacked, count.orphans))
	}
}

// clearOrphans removes a forwarder's orphaned attempts from all cells, as none of them is in flight any more.
func (c *Core) clearOrphans(forwarder int) {
	for cellID := range c.cells {
		if windows := c.cells[cellID].windows; windows != nil {
			windows.clearOrphans(c.now, forwarder, func(counts []memberCount) { c.applyCounts(cellID, counts) })
		}
	}
}
