package planner

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/loadshed"
)

const (
	// shedLevelIntervalS is the time between two broadcasts of load-shedding levels, in seconds.
	shedLevelIntervalS = 0.25
	// shedLevelRelays is how many forwarders relay each broadcast, so that it gets through if one of them is cut off.
	shedLevelRelays = 2
)

// shedLevelBroadcast is the schedule for broadcasting load-shedding levels. The modules of all cells agree on one level. Each module
// passes its own level directly to the modules of the same planner, and to those of other planners through shedLevelRelays forwarders,
// which change with each broadcast. Forwarders relay the levels and store none.
type shedLevelBroadcast struct {
	nextAt        float64
	lastForwarder int // the latest relay
}

// broadcastShedLevels sends the levels of the cells that this planner leads to the modules of all cells, if load shedding is on and a
// broadcast is due.
func (c *Core) broadcastShedLevels(now float64) {
	if !c.cfg.Settings.LoadShedding.Enabled || now < c.shedLevels.nextAt {
		return
	}
	c.shedLevels.nextAt = now + shedLevelIntervalS
	var msgs []transport.Message
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil {
			level, phase := shedder.GossipState()
			c.applyShedLevel(i, level, phase)
			msgs = append(msgs, transport.NewShedLevel(i, level, phase))
		}
	}
	if len(msgs) == 0 {
		return
	}
	for range shedLevelRelays {
		if forwarder, ok := c.nextRelay(); ok {
			c.out.SendToForwarder(forwarder, msgs...)
		}
	}
}

// nextRelay returns the next linked forwarder, in round-robin order by number; ok is false if none is linked.
func (c *Core) nextRelay() (forwarder int, ok bool) {
	for range c.linked {
		c.shedLevels.lastForwarder = (c.shedLevels.lastForwarder + 1) % len(c.linked)
		if c.linked[c.shedLevels.lastForwarder] {
			return c.shedLevels.lastForwarder, true
		}
	}
	return 0, false
}

// applyShedLevel passes the level of one cell's module to the modules of all other cells that this planner leads.
func (c *Core) applyShedLevel(cellID int, level float64, phase uint8) {
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil && i != cellID {
			shedder.ApplyPeerLevel(c.now, cellID, level, phase)
		}
	}
}

// loadShedder returns the load shedder of a cell's module. It returns nil if this planner does not lead the cell, or load shedding is off.
func (c *Core) loadShedder(cellID int) *loadshed.Shedder {
	if cell := &c.cells[cellID]; cell.module != nil && c.leases.isLeader(c.now, cellID, cell.epoch) {
		return cell.module.Shedder()
	}
	return nil
}

// ShedLevels returns the load-shedding levels, each from 0 to 1, of the cells that this planner leads.
func (c *Core) ShedLevels(now float64) (levels []float64) {
	c.now = now
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil {
			levels = append(levels, shedder.Level())
		}
	}
	return levels
}
