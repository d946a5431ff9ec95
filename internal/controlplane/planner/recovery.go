package planner

import (
	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/transport"
)

// maxOrphanedAttempts bounds what is believed of one forwarder's report for one account.
const maxOrphanedAttempts = 1 << 15

// handleUsageReport handles a part of a forwarder's usage report, which arrives after the claim, before or during the lead.
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

// applyCounts hands counts of earlier leads to a cell's module, in the form in which a member reports to a quota's owner.
func (c *Core) applyCounts(cellID int, counts []memberCount) {
	cell := &c.cells[cellID]
	if cell.module == nil {
		return
	}
	member := (cellID + 1) % c.cfg.Cells
	for _, count := range counts {
		if cell.countSeq++; cell.countSeq == 0 { // 0 stands for no message
			cell.countSeq++
		}
		cell.module.HandlePeerMessage(c.now, member,
			peerprotocol.MemberReport(1, cell.countSeq, count.account, count.plan, count.total, count.fresh, count.orphans))
	}
}

// clearOrphans notes that none of a forwarder's attempts that were in flight are so any more.
func (c *Core) clearOrphans(forwarder int) {
	for cellID := range c.cells {
		if windows := c.cells[cellID].windows; windows != nil {
			windows.clearOrphans(c.now, forwarder, func(counts []memberCount) { c.applyCounts(cellID, counts) })
		}
	}
}
