package forwarder

import (
	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/transport"
)

// unasked stands in a cordon state for the number of an operation.
const unasked = 0

// Cordoned lists the ids of the backends that this forwarder knows to be cordoned, in order.
func (c *Core) Cordoned() []string { return c.cordons.Cordoned() }

// handleCordon handles a planner's read or write of a cordon register. A newer state binds at once. It goes to every planner before anything
// that is sent to it from now on, a promise above all: whoever leads by that promise knows the state.
func (c *Core) handleCordon(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindCordonWrite {
		state := cordon.State{Version: msg.Epoch, Cordoned: msg.Flag}
		newer, changed := c.cordons.Merge(msg.Name, state)
		if changed {
			c.out.SetCordoned(msg.Name, state.Cordoned)
		}
		for i := range c.planners {
			if newer && c.planners[i].cordonCapable {
				c.sendCordonState(i, unasked, msg.Name, state)
			}
		}
	}
	if msg.Handle != unasked {
		c.sendCordonState(planner, msg.Handle, msg.Name, c.cordons.Get(msg.Name))
	}
}

// handleCordonCapable notes that a planner knows the records of cordons, and reports all registers to it.
func (c *Core) handleCordonCapable(planner int) {
	c.planners[planner].cordonCapable = true
	c.cordons.Each(func(id string, state cordon.State) { c.sendCordonState(planner, unasked, id, state) })
}

func (c *Core) sendCordonState(planner int, operationID uint64, id string, state cordon.State) {
	c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindCordonState, Handle: operationID, Name: id, Epoch: state.Version,
		Flag: state.Cordoned})
}
