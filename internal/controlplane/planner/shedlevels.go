package planner

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/loadshed"
)

const (
	// shedLevelIntervalS is the time between two broadcasts of load-shedding levels, in seconds.
	shedLevelIntervalS = 0.25
	// shedLevelPaths is how many forwarders relay each broadcast, so that one that is cut off does not matter.
	shedLevelPaths = 2
)

// shedLevelBroadcast is when and by whom load-shedding levels are broadcast next. The modules of all cells keep one level together: each
// sends its own to those of the same planner directly, and to those of other planners by way of some forwarders, others each time.
// Forwarders relay the levels and keep none.
type shedLevelBroadcast struct {
	nextAt        float64
	lastForwarder int // the one that relayed last
}

// broadcastShedLevels sends the levels of the cells that are led here to the modules of all cells, if load shedding is on.
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
	for range shedLevelPaths {
		if forwarder, ok := c.nextRelay(); ok {
			c.out.SendToForwarder(forwarder, msgs...)
		}
	}
}

// nextRelay returns the next linked forwarder in order of numbers; ok is false if none is linked.
func (c *Core) nextRelay() (forwarder int, ok bool) {
	for range c.linked {
		c.shedLevels.lastForwarder = (c.shedLevels.lastForwarder + 1) % len(c.linked)
		if c.linked[c.shedLevels.lastForwarder] {
			return c.shedLevels.lastForwarder, true
		}
	}
	return 0, false
}

// applyShedLevel passes the level of one cell's module to those of all others that are led here.
func (c *Core) applyShedLevel(cellID int, level float64, phase uint8) {
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil && i != cellID {
			shedder.ApplyPeerLevel(c.now, cellID, level, phase)
		}
	}
}

// loadShedder returns the load shedder of a cell's module; nil if the cell is not led here, or load shedding is off.
func (c *Core) loadShedder(cellID int) *loadshed.Shedder {
	if cell := &c.cells[cellID]; cell.module != nil && c.leases.isLeader(c.now, cellID, cell.epoch) {
		return cell.module.Shedder()
	}
	return nil
}

// ShedLevels returns the load-shedding levels of the cells that are led here, each from 0 to 1.
func (c *Core) ShedLevels(now float64) (levels []float64) {
	c.now = now
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil {
			levels = append(levels, shedder.Level())
		}
	}
	return levels
}
