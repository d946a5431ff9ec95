package planner

import (
	"eiderspread/internal/controlplane/transport"
	"eiderspread/internal/decision/loadshed"
)

// How the modules of all cells, at whichever planners, come to hold one level of overload: each tells its own a few times a second, to those of the
// same planner directly and to the others by way of two forwarders, another two each time. Forwarders pass words on and keep none.
const (
	shedLevelIntervalS = 0.25
	shedLevelPaths     = 2 // forwarders that carry each word, so that one that is cut off or lost does not matter
)

type shedLevelBroadcast struct {
	nextAt        float64 // when the next are due
	nextForwarder int     // forwarder
}

// broadcastShedLevels tells the levels of the cells led here. It costs nothing where overload is not looked for.
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
	for path := 0; path < shedLevelPaths && len(msgs) > 0; path++ {
		for range c.linked { // the next one that is linked
			c.shedLevels.nextForwarder = (c.shedLevels.nextForwarder + 1) % len(c.linked)
			if c.linked[c.shedLevels.nextForwarder] {
				c.out.SendToForwarder(c.shedLevels.nextForwarder, msgs...)
				break
			}
		}
	}
}

// applyShedLevel takes in the word of a cell's module at those of all others led here.
func (c *Core) applyShedLevel(cellID int, level float64, phase uint8) {
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil && i != cellID {
			shedder.ApplyPeerLevel(c.now, cellID, level, phase)
		}
	}
}

// loadShedder is what the module of a cell that is led here knows of overload; nil if there is none.
func (c *Core) loadShedder(cellID int) *loadshed.Shedder {
	if cell := &c.cells[cellID]; cell.module != nil && c.leases.isLeader(c.now, cellID, cell.epoch) {
		return cell.module.Shedder()
	}
	return nil
}

// ShedLevels are those of the cells that are led here, from 0 to 1 each.
func (c *Core) ShedLevels(now float64) (list []float64) {
	c.now = now
	for i := range c.cells {
		if shedder := c.loadShedder(i); shedder != nil {
			list = append(list, shedder.Level())
		}
	}
	return list
}
