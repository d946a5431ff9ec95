package forward

import (
	"eiderspread/internal/link"
	"eiderspread/internal/withhold"
)

// Holds lists the servers that operators hold, as far as this forwarder has heard.
func (c *Core) Holds() []string { return c.words.Held() }

// holds takes a planner's question or word on a held server. What is new binds at once, and goes to every planner before anything that
// is said to it from now on: the next promise above all.
func (c *Core) holds(p int, m *link.Msg) {
	if m.Kind == link.Hold {
		x := withhold.Word{Version: m.Epoch, Held: m.Flag}
		newer, changed := c.words.Merge(m.Name, x)
		if changed {
			c.out.Hold(m.Name, x.Held)
		}
		for i := range c.peers {
			if newer && c.peers[i].holds {
				c.out.Link(i, holdIs(0, m.Name, x))
			}
		}
	}
	if m.Handle != 0 {
		c.out.Link(p, holdIs(m.Handle, m.Name, c.words.Get(m.Name)))
	}
}

func holdIs(call uint64, id string, x withhold.Word) link.Msg {
	return link.Msg{Kind: link.HoldIs, Handle: call, Name: id, Epoch: x.Version, Flag: x.Held}
}
