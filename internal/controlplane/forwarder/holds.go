package forwarder

import (
	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/controlplane/transport"
)

// Cordoned lists the servers that operators hold, as far as this forwarder has heard.
func (c *Core) Cordoned() []string { return c.cordons.Cordoned() }

// handleCordon takes a planner's question or word on a held server. What is new binds at once, and goes to every planner before anything that
// is said to it from now on: the next promise above all.
func (c *Core) handleCordon(planner int, msg *transport.Message) {
	if msg.Kind == transport.KindCordonWrite {
		state := cordon.State{Version: msg.Epoch, Cordoned: msg.Flag}
		newer, changed := c.cordons.Merge(msg.Name, state)
		if changed {
			c.out.SetCordoned(msg.Name, state.Cordoned)
		}
		for i := range c.planners {
			if newer && c.planners[i].cordonCapable {
				c.out.SendToPlanner(i, cordonStateMessage(0, msg.Name, state))
			}
		}
	}
	if msg.Handle != 0 {
		c.out.SendToPlanner(planner, cordonStateMessage(msg.Handle, msg.Name, c.cordons.Get(msg.Name)))
	}
}

func cordonStateMessage(call uint64, id string, state cordon.State) transport.Message {
	return transport.Message{Kind: transport.KindCordonState, Handle: call, Name: id, Epoch: state.Version, Flag: state.Cordoned}
}
