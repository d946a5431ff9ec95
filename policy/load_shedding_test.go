package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/reason"
)

// Under overload requests are shed at arrival, the lowest priority first, without a charge to the quota and
// with hints within the settings. What is admitted is sent. Nothing is shed once demand is back to normal,
// nor with load shedding off.
func TestLoadShedding_RejectsBeforeQuota(t *testing.T) {
	for _, on := range []bool{true, false} {
		g, r := newTestGateway(t, func(settings *Settings) {
			settings.Gateways, settings.PeerMessages, settings.LoadShedding.Enabled = 1, false, on
		})
		shed := map[string]int{}
		g.SetTracer(func(decision reason.Decision) {
			if decision.Step == reason.StepRejected && decision.Reason == reason.LoadShed {
				shed[decision.Class]++
			}
		})
		n, done := 0, 0
		now, next := 100.0, 100.0
		play := func(seconds float64, every float64) (rejected int) {
			before := len(r.of("reject", ""))
			for end := now + seconds; now < end; now += 0.02 {
				for ; next < now+0.02; next += every {
					n++
					c := []string{"read", "pay"}[n%2]
					total, was := 0.0, len(r.actions)
					if account := g.accountByKey(uint32(peerprotocol.HashPoint(fmt.Sprint("c", n%40)) >> 32)); account != nil {
						total = account.admittedUnits
					}
					g.HandleRequest(now, Request{ID: fmt.Sprint(n), Class: c, Plan: "wide", Account: fmt.Sprint("c", n%40), DeadlineAt: now + 4 - 2*float64((n+1)%2),
						GatewayCount: 1, Units: 1})
					if last := r.actions[was:]; len(last) > 0 && last[0].kind == "reject" {
						if account := g.accountByKey(uint32(peerprotocol.HashPoint(fmt.Sprint("c", n%40)) >> 32)); account.admittedUnits != total {
							t.Fatalf("%d was rejected and charged", n)
						}
						if last[0].value < 0 || last[0].value > 0.5 {
							t.Fatalf("hint %g", last[0].value)
						}
					}
				}
				for sends := r.of("send", ""); done < len(sends) && done < int((now-100)*30); done++ { // thirty a second are answered
					g.HandleOutcome(now, Outcome{ID: sends[done].id, Backend: sends[done].backend, Status: OK, LatencyS: 0.1})
				}
				g.HandleTimer(now, 1)
			}
			return len(r.of("reject", "")) - before
		}
		play(4, 0.005)
		if !on {
			if len(shed) > 0 || g.Shedder() != nil {
				t.Errorf("off, %v were shed", shed)
			}
			continue
		}
		if g.Shedder().Level() < 0.2 || shed["read"] <= shed["pay"] {
			t.Errorf("level %.2f, shed %v", g.Shedder().Level(), shed)
		}
		play(4, 0.1)
		if requeued := play(2, 0.1); g.Shedder().Level() > 0.05 || requeued > 2 {
			t.Errorf("level %.2f and %d rejected long after", g.Shedder().Level(), requeued)
		}
	}
}
