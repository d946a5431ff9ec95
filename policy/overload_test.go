package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/peermsg"
	"eiderspread/internal/why"
)

// Asked for far more than its servers do, a gateway that sheds refuses at the door: at once, without a charge to the quota, what is worth least
// first, with hints inside the settings; what it lets in is sent, and once less is asked for nothing is refused. Without it nothing is refused at
// the door.
func TestShedsAtTheDoor(t *testing.T) {
	for _, on := range []bool{true, false} {
		g, r := gateway(t, func(s *Settings) { s.Gateways, s.Peers, s.Overload.On = 1, false, on })
		shed := map[string]int{}
		g.Trace(func(d why.Decision) {
			if d.Step == why.Refuse && d.Why == why.Shed {
				shed[d.Class]++
			}
		})
		n, done := 0, 0
		now, next := 100.0, 100.0
		play := func(seconds float64, every float64) (refused int) {
			before := len(r.of("refuse", ""))
			for end := now + seconds; now < end; now += 0.02 {
				for ; next < now+0.02; next += every {
					n++
					c := []string{"read", "pay"}[n%2]
					total, was := 0.0, len(r.acts)
					if x := g.account(uint32(peermsg.Point(fmt.Sprint("c", n%40)) >> 32)); x != nil {
						total = x.total
					}
					g.Request(now, Request{ID: fmt.Sprint(n), Class: c, Plan: "wide", Customer: fmt.Sprint("c", n%40), DeadlineS: now + 4 - 2*float64((n+1)%2),
						Entries: 1, Units: 1})
					if last := r.acts[was:]; len(last) > 0 && last[0].kind == "refuse" {
						if x := g.account(uint32(peermsg.Point(fmt.Sprint("c", n%40)) >> 32)); x.total != total {
							t.Fatalf("%d was refused and charged", n)
						}
						if last[0].x < 0 || last[0].x > 0.5 {
							t.Fatalf("hint %g", last[0].x)
						}
					}
				}
				for sends := r.of("send", ""); done < len(sends) && done < int((now-100)*30); done++ { // thirty a second are served
					g.Outcome(now, Outcome{ID: sends[done].id, Server: sends[done].server, Status: OK, SpentS: 0.1})
				}
				g.Timer(now, 1)
			}
			return len(r.of("refuse", "")) - before
		}
		play(4, 0.005)
		if !on {
			if len(shed) > 0 || g.Overload() != nil {
				t.Errorf("off, %v were shed", shed)
			}
			continue
		}
		if g.Overload().Level() < 0.2 || shed["read"] <= shed["pay"] {
			t.Errorf("level %.2f, shed %v", g.Overload().Level(), shed)
		}
		play(4, 0.1)
		if again := play(2, 0.1); g.Overload().Level() > 0.05 || again > 2 {
			t.Errorf("level %.2f and %d refused long after", g.Overload().Level(), again)
		}
	}
}
