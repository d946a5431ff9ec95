package planner

import (
	"fmt"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// A successor admits no more than is certainly left of a window, and all of that once every forwarder has reported.
func TestWindowTable_AvailableAfterLeaderChange(t *testing.T) {
	plans := []policy.Plan{{Name: "p", Rate: 10, Burst: 100}, {Name: "open", MaxConcurrency: 2}}
	report := func(table *windowTable, forwarder int, seq uint32, debt, age float64, outs int) {
		table.applyReport(100, forwarder, &transport.Message{Name: "c", Handle: 4, Round: seq, Units: debt, DurationS: age})
		table.setOrphans(100, forwarder, "c", 0, outs)
	}
	total := func(counts []memberCount) (sum float64) {
		for _, c := range counts {
			sum = c.total
		}
		return sum
	}
	t.Run("no report", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		table.startLeading(100)
		counts := table.initialCounts(100, "c", 0)
		if len(counts) != 2 || counts[0].fresh != maxFreshUnits || counts[0].total != maxFreshUnits || counts[1].fresh != 0 || total(counts) != 100 {
			t.Errorf("%+v", counts)
		}
		if repeated := table.initialCounts(100, "c", 0); repeated != nil {
			t.Errorf("counted twice: %+v", repeated)
		}
		if got := total(table.initialCounts(104, "d", 0)); got != 60 {
			t.Errorf("4 s later %v are taken as used", got)
		}
	})
	t.Run("all reported before the lead", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		report(table, 0, 7, 80, 1, 0)
		report(table, 1, 9, 50, 2, 3) // the later admission holds, though its report is older
		table.endReport(100, 0, true)
		table.endReport(100, 1, true)
		table.startLeading(100)
		counts := table.initialCounts(100, "c", 0)
		if total(counts) != 30 || counts[0].orphans != 3 {
			t.Errorf("%+v", counts)
		}
		if counts := table.initialCounts(100, "new", 0); counts != nil {
			t.Errorf("an account without report: %+v", counts)
		}
		if counts := table.setOrphans(100, 1, "c", 0, 2); len(counts) != 1 || counts[0].orphans != 2 || counts[0].total != 30 || counts[0].fresh != 0 {
			t.Errorf("after the update: %+v", counts)
		}
	})
	t.Run("reported late", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		table.startLeading(100)
		table.initialCounts(101, "c", 0) // 90 used
		table.admit(101, "c", 10)
		report(table, 0, 7, 20, 0, 0)
		if credits := table.endReport(102, 0, true); credits != nil {
			t.Errorf("one forwarder is missing: %+v", credits)
		}
		credits := table.endReport(102, 1, true)
		// The debt of 20 at 100 is gone by 102; 20 are free by the lead's start alone, so 80 come back.
		if len(credits) != 1 || credits[0].total != 10 {
			t.Fatalf("%+v", credits)
		}
		if seq, debt := table.admit(102, "c", 0); seq != 2 || debt != 10 {
			t.Errorf("after the credit a debt of %v, admission %d", debt, seq)
		}
		if credits := table.endReport(103, 1, true); credits != nil {
			t.Errorf("credited twice: %+v", credits)
		}
	})
	t.Run("an incomplete report", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		table.startLeading(100)
		table.endReport(100, 0, true)
		table.endReport(100, 1, false)
		if got := total(table.initialCounts(100, "c", 0)); got != 100 {
			t.Errorf("%v are taken as used", got)
		}
	})
	t.Run("a plan without a rate", func(t *testing.T) {
		table := newWindowTable(1, plans, 10)
		table.setOrphans(100, 0, "c", 1, 2)
		table.applyReport(100, 0, &transport.Message{Name: "c", Plan: 9})
		table.startLeading(100)
		if counts := table.initialCounts(100, "c", 1); len(counts) != 1 || counts[0].orphans != 2 || counts[0].total != 0 {
			t.Errorf("%+v", counts)
		}
		if seq, _ := table.admit(100, "c", 5); seq != 0 {
			t.Error("an admission without a rate has a number")
		}
	})
	t.Run("forgotten once full", func(t *testing.T) {
		table := newWindowTable(1, plans, 10)
		table.startLeading(100)
		table.endReport(100, 0, true)
		table.initialCounts(100, "c", 0)
		table.admit(100, "c", 10)
		table.initialCounts(110.5, "d", 0)
		table.initialCounts(125, "e", 0)
		if table.byAccount["c"] != nil || table.byAccount["e"] == nil {
			t.Errorf("%d windows are kept", len(table.byAccount))
		}
	})
}

// To the module, units counted before the lead are not available, and units handed back are.
func TestModule_AppliesMemberCounts(t *testing.T) {
	plan := policy.Plan{Name: "p", Rate: 1e-6, Burst: 100, Weight: 1}
	out := &sendCounter{}
	module, err := policy.New(policy.Settings{Self: 0, Gateways: 2, Plans: []policy.Plan{plan}, MaxAttempts: 1, MaxRequestUnits: 6,
		Classes: []policy.Class{{Name: "look", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 1}}}, 1, 10, out)
	if err != nil {
		t.Fatal(err)
	}
	module.UpdateBackends(10, []policy.Backend{{ID: "z"}}, true)
	module.HandlePeerMessage(10, 1, peerprotocol.MemberReport(1, 1, "c", 0, 63, 63, 0))
	module.HandlePeerMessage(10, 1, peerprotocol.MemberReport(1, 2, "c", 0, 90, 0, 0))
	n := 0
	served := func() int {
		out.sent = 0
		for range 30 {
			n++
			id := fmt.Sprint(n)
			module.HandleRequest(10, policy.Request{ID: id, Class: "look", Plan: "p", Account: "c", DeadlineAt: 12, GatewayCount: 1, Units: 1})
			module.HandleOutcome(10, policy.Outcome{ID: id, Backend: "z", Status: policy.OK, Completed: true, LatencyS: 0.01})
		}
		return out.sent
	}
	if got := served(); got != 10 {
		t.Errorf("%d of 10 units that were left are admitted", got)
	}
	module.HandlePeerMessage(10, 1, peerprotocol.MemberReport(1, 3, "c", 0, 85, 0, 0))
	if got := served(); got != 5 {
		t.Errorf("%d of 5 units that were handed back are admitted", got)
	}
}

type sendCounter struct{ sent int }

func (s *sendCounter) Send(string, string, float64) { s.sent++ }
func (s *sendCounter) Reject(string, float64)       {}
func (s *sendCounter) Fail(string)                  {}
func (s *sendCounter) Cancel(string, int)           {}
func (s *sendCounter) SetTimer(uint64, float64)     {}
func (s *sendCounter) Probe(string)                 {}
func (s *sendCounter) SendPeerMessage(int, []byte)  {}
func (s *sendCounter) Log(string)                   {}
