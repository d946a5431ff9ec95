package planner

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

func params(t *testing.T, forwarders, planners int) topology.Params {
	p := topology.Params{Name: "t", Forwarders: forwarders, Planners: planners, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards the majority's arithmetic: how long a lead lasts by what was granted when.
func TestLease_EndsWithItsMajority(t *testing.T) {
	if !topology.Fenced {
		t.Skip("a build without fencing")
	}
	var sent []transport.Message
	var transitions []string
	manager := newLeaseManager(params(t, 5, 3), 0, 1)
	manager.send = func(_ int, m ...transport.Message) { sent = append(sent, m...) }
	manager.onClaim = func(int, uint64) {}
	manager.onLead = func(_ float64, cellID int, e uint64) {
		transitions = append(transitions, fmt.Sprint("gained ", cellID, " ", e))
	}
	manager.onLoss = func(cellID int) { transitions = append(transitions, fmt.Sprint("lost ", cellID)) }
	for forwarder := range 5 {
		manager.linkUp(10, forwarder)
		for cellID := range 2 {
			manager.handleView(10, forwarder, &transport.Message{Cell: uint16(cellID), Epoch: uint64(forwarder) * epochStep})
		}
	}
	manager.tick(10) // cell 0 is this planner's first, cell 1 the next one's
	lease := &manager.cells[0]
	e := lease.epoch
	if e/epochStep != 5 || e%64 != 0 || lease.leading || manager.cells[1].epoch != 0 {
		t.Fatalf("claims %+v", manager.cells)
	}
	grant := func(now float64, forwarder int, epoch uint64, round uint32) {
		manager.handleGrant(now, forwarder, &transport.Message{Epoch: epoch, Round: round})
	}
	grant(10.01, 0, e, 1)
	grant(10.01, 0, e, 1)
	grant(10.01, 1, e, 1)
	grant(10.01, 2, 4, 1)  // of another claim
	grant(10.01, 2, e, 99) // of a round that was not sent
	if manager.isLeader(10.01, 0, e) {
		t.Fatal("two of five are a majority")
	}
	grant(10.02, 4, e, 1)
	if strings.Join(transitions, ",") != fmt.Sprint("gained 0 ", e) || !manager.isLeader(10.02, 0, e) || manager.isLeader(10.02, 0, 4) {
		t.Fatalf("%v", transitions)
	}
	leaseS := manager.params.LeaseS * topology.LeadFraction
	if math.Abs(lease.expiresAt-(10+leaseS)) > 1e-9 {
		t.Errorf("ends at %v", lease.expiresAt)
	}
	manager.tick(10.06) // a second claim, which two grant: the lead rests on the first still
	round := lease.round
	grant(10.07, 0, e, round)
	grant(10.07, 1, e, round)
	if math.Abs(lease.expiresAt-(10+leaseS)) > 1e-9 {
		t.Errorf("ends at %v after two renewals", lease.expiresAt)
	}
	grant(10.07, 2, e, round)
	if math.Abs(lease.expiresAt-(10.06+leaseS)) > 1e-9 || !manager.isLeader(10.06+leaseS-0.001, 0, e) || manager.isLeader(10.06+leaseS, 0, e) {
		t.Errorf("ends at %v after three renewals", lease.expiresAt)
	}
	sent = nil
	manager.expireLeads(10.06 + leaseS)
	if len(sent) != 5 || sent[0].Kind != transport.KindRelease || sent[0].Epoch != e { // else they go on telling it requests
		t.Errorf("forwarders are not told that the lead ran out: %v", sent)
	}
	grant(10.06+leaseS, 3, e, round)
	if transitions[len(transitions)-1] != "lost 0" || manager.isLeader(10.06+leaseS, 0, e) {
		t.Errorf("a lead that ran out goes on: %v", transitions)
	}
}

// Guards against two lives of a planner that claim by the same epoch: a forwarder that had promised it to the earlier one
// followed nobody ever after (schedule 20 of keys).
func TestLease_EpochsDifferBetweenIncarnations(t *testing.T) {
	seen := map[uint64]bool{}
	for incarnation := range uint64(20) {
		manager := newLeaseManager(params(t, 3, 3), 0, incarnation)
		manager.send, manager.onClaim = func(int, ...transport.Message) {}, func(int, uint64) {}
		for forwarder := range 3 {
			manager.linkUp(10, forwarder)
			manager.handleView(10, forwarder, &transport.Message{Cell: 0, Epoch: 7 * epochStep})
		}
		manager.tick(10)
		if e := manager.cells[0].epoch; seen[e] || e/epochStep != 8 {
			t.Errorf("life %d claims by %d", incarnation, e)
		}
		seen[manager.cells[0].epoch] = true
	}
}

// Guards a planner that leaves, and one that was given its place back.
func TestLease_DrainAndHandback(t *testing.T) {
	var sent []transport.Message
	manager := newLeaseManager(params(t, 3, 3), 1, 1) // second in the order of cell 0
	manager.send = func(_ int, m ...transport.Message) { sent = append(sent, m...) }
	manager.onClaim, manager.onLead, manager.onLoss = func(int, uint64) {}, func(float64, int, uint64) {}, func(int) {}
	for forwarder := range 3 {
		manager.linkUp(10, forwarder)
		manager.handleView(10, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(10)
	if manager.cells[0].epoch != 0 {
		t.Error("the second in the order does not wait")
	}
	manager.tick(10 + 2*topology.ClaimStaggerS)
	e := manager.cells[0].epoch
	if e/epochStep != 1 || e%64 != 1 {
		t.Fatal("the second in the order does not claim")
	}
	for forwarder := range 3 {
		manager.handleGrant(10.1, forwarder, &transport.Message{Epoch: e, Round: 1})
	}
	releases := func() (n int) {
		for _, msg := range sent {
			if msg.Kind == transport.KindRelease && msg.Epoch == e {
				n++
			}
		}
		return n
	}
	now := 10.1
	for ; now < 10.1+handbackDelayS+0.5; now += 0.05 {
		manager.tick(now)
		for forwarder := range 3 {
			manager.handleGrant(now, forwarder, &transport.Message{Epoch: e, Round: manager.cells[0].round})
			manager.handleView(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 3}) // planner 2 comes behind
		}
	}
	if !manager.cells[0].leading || releases() != 0 {
		t.Fatal("a cell is given to a planner that comes behind")
	}
	for forwarder := range 2 {
		manager.handleView(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 1})
	}
	manager.tick(now)
	if manager.cells[0].epoch != 0 || releases() != 3 {
		t.Errorf("the cell is not given back: %d releases", releases())
	}
	// A forwarder that was left with another's failed claim follows nobody with a lower epoch.
	lease := &manager.cells[0]
	lease.nextClaimAt = 0
	for forwarder := range 3 {
		manager.handleView(now, forwarder, &transport.Message{Cell: 0, Epoch: e})
	}
	manager.tick(now)
	manager.tick(now + 2*topology.ClaimStaggerS)
	again := manager.cells[0].epoch
	if again/epochStep != 2 || again%64 != 1 {
		t.Fatalf("claims %d after %d", again, e)
	}
	for forwarder := range 2 {
		manager.handleGrant(now+0.1, forwarder, &transport.Message{Epoch: again, Round: 1})
	}
	if !manager.isLeader(now+0.1, 0, again) {
		t.Fatalf("leads no more: %+v", lease)
	}
	manager.handleView(now+0.2, 2, &transport.Message{Cell: 0, Epoch: again + 1, Number: 3})
	if !lease.leading {
		t.Error("given up at once")
	}
	manager.handleGrant(now+0.2, 0, &transport.Message{Epoch: again, Round: 1})
	lease.expiresAt = now + 9
	manager.handleView(now+0.6, 2, &transport.Message{Cell: 0, Epoch: again + 1, Number: 3})
	if lease.leading {
		t.Error("a forwarder is left without a leader")
	}
	manager.drain(now)
	for forwarder := range 3 {
		manager.handleView(now, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(now + 5)
	if manager.cells[0].epoch != 0 {
		t.Error("a planner that left claims")
	}
}

// Guards what a successor takes for used: nothing more than is left for certain, and all that is once that is known.
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
	t.Run("none has told", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		table.startLeading(100)
		counts := table.initialCounts(100, "c", 0)
		if len(counts) != 2 || counts[0].fresh != maxFreshUnits || counts[0].total != maxFreshUnits || counts[1].fresh != 0 || total(counts) != 100 {
			t.Errorf("%+v", counts)
		}
		if repeated := table.initialCounts(100, "c", 0); repeated != nil {
			t.Errorf("told twice: %+v", repeated)
		}
		if got := total(table.initialCounts(104, "d", 0)); got != 60 {
			t.Errorf("4 s later %v are taken for used", got)
		}
	})
	t.Run("all told before", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		report(table, 0, 7, 80, 1, 0)
		report(table, 1, 9, 50, 2, 3) // the later pass holds, though it is the older news
		table.endReport(100, 0, true)
		table.endReport(100, 1, true)
		table.startLeading(100)
		counts := table.initialCounts(100, "c", 0)
		if total(counts) != 30 || counts[0].orphans != 3 {
			t.Errorf("%+v", counts)
		}
		if counts := table.initialCounts(100, "new", 0); counts != nil {
			t.Errorf("one that nobody knows: %+v", counts)
		}
		if counts := table.setOrphans(100, 1, "c", 0, 2); len(counts) != 1 || counts[0].orphans != 2 || counts[0].total != 30 || counts[0].fresh != 0 {
			t.Errorf("settled: %+v", counts)
		}
	})
	t.Run("told late", func(t *testing.T) {
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
			t.Errorf("after the settlement a debt of %v, pass %d", debt, seq)
		}
		if credits := table.endReport(103, 1, true); credits != nil {
			t.Errorf("settled twice: %+v", credits)
		}
	})
	t.Run("one can't tell all", func(t *testing.T) {
		table := newWindowTable(2, plans, 10)
		table.startLeading(100)
		table.endReport(100, 0, true)
		table.endReport(100, 1, false)
		if got := total(table.initialCounts(100, "c", 0)); got != 100 {
			t.Errorf("%v are taken for used", got)
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
			t.Error("a window is kept where there is none")
		}
	})
	t.Run("forgotten when full", func(t *testing.T) {
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

// Guards the module's side of it: what is handed over as used is not free, what is handed back is.
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
		t.Errorf("%d of 10 units that were left are passed", got)
	}
	module.HandlePeerMessage(10, 1, peerprotocol.MemberReport(1, 3, "c", 0, 85, 0, 0))
	if got := served(); got != 5 {
		t.Errorf("%d of 5 units that were handed back are passed", got)
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
