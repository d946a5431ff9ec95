package policy

import (
	"eiderspread/internal/kept"
	"eiderspread/internal/places"
	"eiderspread/internal/tally"
	"eiderspread/internal/why"
)

// What a gateway knows, handed to the one that goes on for it in another process. It is bookkeeping: nothing is decided.

func (g *Gateway) figures() []*float64 {
	return []*float64{&g.work.Value, &g.work.At, &g.stretch, &g.spent}
}
func (s *server) figures() []*float64 {
	return []*float64{&s.speed, &s.util, &s.utilAt, &s.busy, &s.sentAt}
}
func (c *customer) figures() []*float64 { // the ceiling's first
	return []*float64{&c.ceil.Own.Level, &c.ceil.Own.At, &c.ceil.Pool.Level, &c.ceil.Pool.At, &c.usedAt, &c.turnedAt, &c.total, &c.acked, &c.demand.Value,
		&c.demand.At, &c.room, &c.roomAt, &c.others, &c.holdTill, &c.local.Level, &c.local.At}
}

// Keep returns all that is to be handed on. This gateway passes nothing more under a ceiling: what is left is the other's.
func (g *Gateway) Keep(now float64) (parts []kept.Part) {
	g.clock(now)
	for _, r := range g.queue { // nothing here will pay for them
		if r.owes {
			g.refuse(r, why.CeilBoth)
		}
	}
	k := kept.Part{Boot: g.boot, Seq: g.seq, Born: g.born, Limit: g.limit / float64(max(1, len(g.nodes.Order))), Figures: kept.Values(g.figures()),
		Classes: map[string][2]float64{}, Servers: map[string][]float64{}}
	for name, c := range g.classes {
		k.Classes[name] = [2]float64{c.lat, float64(c.n)}
	}
	for id, s := range g.nodes.By {
		k.Servers[id] = kept.Values(s.figures())
	}
	parts = []kept.Part{k}
	for _, c := range g.custs {
		x := kept.Customer{Key: c.key, Hash: c.hash, Plan: c.plan.Name, First: c.first, Entries: c.entries, Known: c.known,
			Out: c.out > 0, Figures: kept.Values(c.figures())}
		if c.led != nil {
			x.Ledger, x.Members = c.led.Pack()
		}
		parts = kept.Add(parts, x)
		c.ceil.Own.Level, c.ceil.Pool.Level, c.ahead = kept.None, kept.None, 0
	}
	return parts
}

// Adopt goes on with what another gateway of this number handed on, once servers are listed and before the first request;
// or takes its own back.
func (g *Gateway) Adopt(now float64, k kept.Part) {
	g.clock(now)
	g.lendFrom = now + places.WordS
	g.boot, g.seq, g.born = k.Boot, max(g.seq, k.Seq+kept.SeqAhead), k.Born
	g.limit = k.Limit * float64(max(1, len(g.nodes.Order)))
	kept.Restore(g.figures(), k.Figures)
	for name, f := range k.Classes {
		if c := g.classes[name]; c != nil {
			c.lat, c.n = f[0], int(f[1])
		}
	}
	for id, f := range k.Servers {
		if s := g.nodes.By[id]; s != nil {
			kept.Restore(s.figures(), f)
		}
	}
	for _, x := range k.Customers {
		p := g.byPlan[x.Plan]
		if p == nil || x.Entries < 0 || x.Entries > g.s.Gateways {
			continue
		} else if c := g.custs[account{x.Key, uint32(p.index)}]; c != nil {
			kept.Restore(c.figures()[:4], x.Figures)
			continue
		}
		c := g.newCustomer(x.Key, p)
		c.hash, c.first, c.entries, c.known = x.Hash, x.First, x.Entries, x.Known
		if kept.Restore(c.figures(), x.Figures); c.entries > 0 {
			c.prime = g.walk(c, false)
		}
		if x.Ledger != nil {
			c.led = tally.Unpack(x.Ledger, x.Members)
		}
		if x.Out || c.total != c.acked {
			g.note(c, false)
		}
	}
}
