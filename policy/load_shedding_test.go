package policy

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/reason"
)

// Under overload, requests must be shed on arrival, the lowest priority first, without a charge to the quota and with
// a retry hint within the settings. Shedding must end once demand is normal again, and never occur when it is turned
// off.
func TestLoadShedding_RejectsBeforeQuota(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		g, r := newTestGateway(t, func(settings *Settings) {
			settings.Gateways, settings.PeerMessages, settings.LoadShedding.Enabled = 1, false, enabled
		})
		shed := map[string]int{}
		g.SetTracer(func(decision reason.Decision) {
			if decision.Step == reason.StepRejected && decision.Reason == reason.LoadShed {
				shed[decision.Class]++
			}
		})
		n, answered := 0, 0
		now, nextArrival := 100.0, 100.0
		run := func(durationS float64, intervalS float64) (rejected int) {
			before := len(r.actionsOf("reject", ""))
			for end := now + durationS; now < end; now += 0.02 {
				for ; nextArrival < now+0.02; nextArrival += intervalS {
					n++
					class := []string{"read", "pay"}[n%2]
					total, actionsBefore := 0.0, len(r.actions)
					if account := g.accountByKey(uint32(peerprotocol.HashPoint(fmt.Sprint("c", n%40)) >> 32)); account != nil {
						total = account.admittedUnits
					}
					g.HandleRequest(now, Request{ID: fmt.Sprint(n), Class: class, Plan: "wide", Account: fmt.Sprint("c", n%40), DeadlineAt: now + 4 - 2*float64((n+1)%2),
						GatewayCount: 1, Units: 1})
					if last := r.actions[actionsBefore:]; len(last) > 0 && last[0].kind == "reject" {
						if account := g.accountByKey(uint32(peerprotocol.HashPoint(fmt.Sprint("c", n%40)) >> 32)); account.admittedUnits != total {
							t.Fatalf("request %d was rejected and charged to the quota", n)
						}
						if last[0].value < 0 || last[0].value > 0.5 {
							t.Fatalf("retry hint = %g s, want 0 to 0.5 s", last[0].value)
						}
					}
				}
				for sends := r.actionsOf("send", ""); answered < len(sends) && answered < int((now-100)*30); answered++ { // 30 answers per second
					g.HandleOutcome(now, Outcome{ID: sends[answered].id, Backend: sends[answered].backend, Status: OK, LatencyS: 0.1})
				}
				g.HandleTimer(now, 1)
			}
			return len(r.actionsOf("reject", "")) - before
		}
		run(4, 0.005)
		if !enabled {
			if len(shed) > 0 || g.Shedder() != nil {
				t.Errorf("with load shedding off: shed %v, want none and no shedder", shed)
			}
			continue
		}
		if g.Shedder().Level() < 0.2 || shed["read"] <= shed["pay"] {
			t.Errorf("under overload: level = %.2f, shed = %v, want a level of at least 0.2 and more read than pay shed", g.Shedder().Level(), shed)
		}
		run(4, 0.1)
		if rejectedAfter := run(2, 0.1); g.Shedder().Level() > 0.05 || rejectedAfter > 2 {
			t.Errorf("after the overload: level = %.2f, %d rejected, want at most 0.05 and 2", g.Shedder().Level(), rejectedAfter)
		}
	}
}
