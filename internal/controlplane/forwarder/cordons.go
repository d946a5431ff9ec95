package forwarder

import (
	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/transport"
)

// noOperation is the operation number of a cordon message that belongs to no operation.
const noOperation = 0

// Cordoned lists the ids of the backends that this forwarder knows to be cordoned, sorted.
func (c *Core) Cordoned() []string { return c.cordons.Cordoned() }

// handleCordon handles a planner's read or write of a cordon register. A newer state takes effect at once and is sent to every linked
// planner that understands cordons. Messages on a link keep their order, so a planner that is granted a promise afterwards receives the
// state before the grant and knows it when it leads.
func (c *Core) handleCordon(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindCordonWrite {
		state := cordon.State{Version: msg.Epoch, Cordoned: msg.Flag}
		newer, changed := c.cordons.Merge(msg.Name, state)
		if changed {
			c.out.SetCordoned(msg.Name, state.Cordoned)
		}
		for i := range c.planners {
			if newer && c.planners[i].cordonCapable {
				c.sendCordonState(i, noOperation, msg.Name, state)
			}
		}
	}
	if msg.Handle != noOperation {
		c.sendCordonState(planner, msg.Handle, msg.Name, c.cordons.Get(msg.Name))
	}
}

// handleCordonCapable records that a planner understands the messages about cordons, and sends it all registers.
func (c *Core) handleCordonCapable(planner int) {
	c.planners[planner].cordonCapable = true
	c.cordons.Each(func(id string, state cordon.State) { c.sendCordonState(planner, noOperation, id, state) })
}

func (c *Core) sendCordonState(planner int, operationID uint64, id string, state cordon.State) {
	c.out.SendToPlanner(planner, transport.Message{Kind: transport.KindCordonState, Handle: operationID, Name: id, Epoch: state.Version,
		Flag: state.Cordoned})
}
