package policy

import (
	"cmp"
	"encoding/json"
	"slices"
	"testing"

	"eiderspread/internal/kept"
	"eiderspread/internal/lab/golden"
	"eiderspread/internal/tally"
)

// Guards what a gateway hands to its successor: which figure stands where.
func TestGoldenSnapshot(t *testing.T) {
	g, _ := gateway(t, nil)
	for i, plan := range []string{"basic", "capped", "open"} {
		ask(g, 100.5+float64(i), plan, "pay", plan, 1+float64(i))
	}
	g.Outcome(104, Outcome{ID: "open", Server: g.reqs["open"].attempts[0].srv.ID, Status: OK, Over: true, SpentS: 0.25,
		Load: &Load{InFlight: 1, Queue: 2, Util: 0.5, ServiceMS: 4, ServedPerS: 5, FailedPerS: 6}})
	g.Timer(104.5, 1)
	g.work.Value, g.work.At, g.stretch, g.spent = 1, 2, 3, 4
	s := g.nodes.By["s1"]
	s.speed, s.util, s.utilAt, s.busy, s.sentAt = 11, 12, 13, 14, 15
	for _, c := range g.custs {
		x := 100 * float64(len(c.plan.Name))
		c.ceil.Own.Level, c.ceil.Own.At, c.ceil.Pool.Level, c.ceil.Pool.At = x+1, x+2, x+3, x+4
		c.usedAt, c.turnedAt, c.total, c.acked, c.demand.Value, c.demand.At = x+5, x+6, x+7, x+8, x+9, x+10
		c.room, c.roomAt, c.others, c.holdTill, c.local.Level, c.local.At = x+11, x+12, x+13, x+14, x+15, x+16
		*g.ledger(c) = tally.Ledger{Room: x + 50, At: 51, Born: 52, Demand: 53, DemandAt: 54,
			Members: map[int]*tally.Member{1: {Boot: 61, Total: 62, Rate: 63, At: 64}}}
	}
	keep := func(g *Gateway) kept.Part {
		parts := g.Keep(105)
		if len(parts) != 1 {
			t.Fatalf("%d parts", len(parts))
		}
		slices.SortFunc(parts[0].Customers, func(a, b kept.Customer) int { return cmp.Compare(a.Key, b.Key) })
		return parts[0]
	}
	text, err := json.Marshal(keep(g))
	if err != nil {
		t.Fatal(err)
	}
	var want kept.Part
	if err := json.Unmarshal(golden.Check(t, "snapshot.json", text), &want); err != nil {
		t.Fatal(err)
	}
	next, _ := gateway(t, nil)
	next.Adopt(105, want)
	got := keep(next)
	got.Seq -= kept.SeqAhead
	for i := range got.Customers { // attempts are out at the old one alone, and an owner has taken in its own total
		x, was := &got.Customers[i], want.Customers[i]
		const total, taken = 6, 7
		if x.Out = was.Out; x.Figures[taken] == was.Figures[total] {
			x.Figures[taken] = was.Figures[taken]
		}
	}
	golden.Same(t, "snapshot", got, want)
}
