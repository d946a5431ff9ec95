package forwarder

import (
	"maps"
	"slices"

	"eiderspread/internal/controlplane/transport"
)

// orphanCount is the number of an account's orphaned attempts: those in flight from this forwarder whose request no leader knows. It is
// reported to leaders, which count the attempts against the account's concurrency limit.
type orphanCount struct{ plan, attempts int }

// addOrphans adds a request's attempts in flight to its account's orphaned attempts.
func (c *Core) addOrphans(request *openRequest) {
	if request.inFlight > 0 {
		c.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + request.inFlight}
	}
}

// removeOrphan handles the end of one of a request's orphaned attempts, and reports the new count to the cell's leader, if there is one.
func (c *Core) removeOrphan(request *openRequest) {
	count := c.orphans[request.Account]
	count.attempts--
	if count.attempts > 0 {
		c.orphans[request.Account] = count
	} else {
		delete(c.orphans, request.Account)
	}
	if c.cells[request.cellID].hasLeader {
		c.sendOrphans(request.cellID, request.Account, count)
	}
}

// reportOrphans reports the orphaned attempts of all accounts in a cell to the cell's holder.
func (c *Core) reportOrphans(cellID int) {
	for _, account := range slices.Sorted(maps.Keys(c.orphans)) {
		if c.cfg.CellOf(account) == cellID {
			c.sendOrphans(cellID, account, c.orphans[account])
		}
	}
}

func (c *Core) sendOrphans(cellID int, account string, count orphanCount) {
	cell := &c.cells[cellID]
	c.out.SendToPlanner(cell.holder, transport.Message{Kind: transport.KindOrphans, Cell: uint16(cellID), Epoch: cell.epoch, Name: account,
		Plan: uint8(count.plan), Number: uint32(count.attempts)})
}
