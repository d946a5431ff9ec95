package planner

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

func newParams(t *testing.T, forwarders, planners int) topology.Params {
	p := topology.Params{Name: "t", Forwarders: forwarders, Planners: planners, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against two leaders at once: a leadership must expire by the earliest send time among a majority's latest granted rounds. Grants
// of another claim, of an unsent round or of a minority must not extend it.
func TestLease_ExpiryFollowsMajorityGrants(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("this build has no fencing")
	}
	var sent []transport.Message
	var transitions []string
	manager := newLeaseManager(newParams(t, 5, 3), 0, 1)
	manager.send = func(_ int, m ...transport.Message) { sent = append(sent, m...) }
	manager.onClaim = func(int, uint64) {}
	manager.onLead = func(_ float64, cellID int, e uint64) {
		transitions = append(transitions, fmt.Sprint("gained ", cellID, " ", e))
	}
	manager.onLoss = func(cellID int) { transitions = append(transitions, fmt.Sprint("lost ", cellID)) }
	for forwarder := range 5 {
		manager.linkUp(10, forwarder)
		for cellID := range 2 {
			manager.handlePromiseReport(10, forwarder, &transport.Message{Cell: uint16(cellID), Epoch: uint64(forwarder) * epochStep})
		}
	}
	manager.tick(10) // planner 0 has rank 0 in cell 0; planner 1 has it in cell 1
	lease := &manager.cells[0]
	e := lease.epoch
	if e/epochStep != 5 || e%64 != 0 || lease.role == leader || manager.cells[1].epoch != 0 {
		t.Fatalf("want a claim by planner 0 on cell 0 alone, with epoch counter 5, got %+v", manager.cells)
	}
	grant := func(now float64, forwarder int, epoch uint64, round uint32) {
		manager.handleGrant(now, forwarder, &transport.Message{Epoch: epoch, Round: round})
	}
	grant(10.01, 0, e, 1)
	grant(10.01, 0, e, 1)
	grant(10.01, 1, e, 1)
	grant(10.01, 2, 4, 1)  // a grant of another claim
	grant(10.01, 2, e, 99) // a grant of an unsent round
	if manager.isLeader(10.01, 0, e) {
		t.Fatal("planner leads with grants of two of five forwarders")
	}
	grant(10.02, 4, e, 1)
	if strings.Join(transitions, ",") != fmt.Sprint("gained 0 ", e) || !manager.isLeader(10.02, 0, e) || manager.isLeader(10.02, 0, 4) {
		t.Fatalf("got transitions %v, want leadership of cell 0 under epoch %d", transitions, e)
	}
	leaseS := manager.params.LeaseS * topology.LeaderLeaseFraction
	if math.Abs(lease.expiresAt-(10+leaseS)) > 1e-9 {
		t.Errorf("lease expires at %v, want %v", lease.expiresAt, 10+leaseS)
	}
	manager.tick(10.06) // until three of the five forwarders have granted this renewal, the lease counts from the first round
	round := lease.round
	grant(10.07, 0, e, round)
	grant(10.07, 1, e, round)
	if math.Abs(lease.expiresAt-(10+leaseS)) > 1e-9 {
		t.Errorf("after two grants of the renewal, lease expires at %v, want %v", lease.expiresAt, 10+leaseS)
	}
	grant(10.07, 2, e, round)
	if math.Abs(lease.expiresAt-(10.06+leaseS)) > 1e-9 || !manager.isLeader(10.06+leaseS-0.001, 0, e) || manager.isLeader(10.06+leaseS, 0, e) {
		t.Errorf("after three grants of the renewal, lease expires at %v, want %v, and leadership to end then", lease.expiresAt, 10.06+leaseS)
	}
	sent = nil
	manager.expireLeases(10.06 + leaseS)
	// without a release, the forwarders would continue to submit requests
	if len(sent) != 5 || sent[0].Kind != transport.KindRelease || sent[0].Epoch != e {
		t.Errorf("after the lease expired, got messages %v, want a release of epoch %d to each of 5 forwarders", sent, e)
	}
	grant(10.06+leaseS, 3, e, round)
	if transitions[len(transitions)-1] != "lost 0" || manager.isLeader(10.06+leaseS, 0, e) {
		t.Errorf("a late grant restored an expired leadership: transitions %v", transitions)
	}
}

// Guards against a forwarder that follows no leader: it has promised an epoch to a planner's previous incarnation, and the new incarnation
// claims the cell under the same epoch.
func TestLease_EpochsDifferBetweenIncarnations(t *testing.T) {
	seen := map[uint64]bool{}
	for incarnation := range uint64(20) {
		manager := newLeaseManager(newParams(t, 3, 3), 0, incarnation)
		manager.send, manager.onClaim = func(int, ...transport.Message) {}, func(int, uint64) {}
		for forwarder := range 3 {
			manager.linkUp(10, forwarder)
			manager.handlePromiseReport(10, forwarder, &transport.Message{Cell: 0, Epoch: 7 * epochStep})
		}
		manager.tick(10)
		if e := manager.cells[0].epoch; seen[e] || e/epochStep != 8 {
			t.Errorf("incarnation %d claimed epoch %d, want an unused epoch with counter 8", incarnation, e)
		}
		seen[manager.cells[0].epoch] = true
	}
}

// Guards when a planner releases and claims a cell: it hands the cell back only to a higher-ranked planner, claims a higher epoch than a
// failed claim that a forwarder has promised, and claims nothing while it drains.
func TestLease_DrainAndHandback(t *testing.T) {
	var sent []transport.Message
	manager := newLeaseManager(newParams(t, 3, 3), 1, 1) // its rank in cell 0 is 1
	manager.send = func(_ int, m ...transport.Message) { sent = append(sent, m...) }
	manager.onClaim, manager.onLead, manager.onLoss = func(int, uint64) {}, func(float64, int, uint64) {}, func(int) {}
	for forwarder := range 3 {
		manager.linkUp(10, forwarder)
		manager.handlePromiseReport(10, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(10)
	if manager.cells[0].epoch != 0 {
		t.Error("the planner of rank 1 claimed the cell before the delay for its rank")
	}
	manager.tick(10 + 2*topology.ClaimStaggerS)
	e := manager.cells[0].epoch
	if e/epochStep != 1 || e%64 != 1 {
		t.Fatalf("after the delay for its rank, got epoch %d, want a claim by planner 1 with epoch counter 1", e)
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
			manager.handlePromiseReport(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 3}) // planner 2 ranks below planner 1
		}
	}
	if manager.cells[0].role != leader || releases() != 0 {
		t.Fatal("the planner released the cell at the request of a lower-ranked planner")
	}
	for forwarder := range 2 {
		manager.handlePromiseReport(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 1})
	}
	manager.tick(now)
	if manager.cells[0].epoch != 0 || releases() != 3 {
		t.Errorf("after a higher-ranked planner's request, got epoch %d and %d releases, want 0 and 3", manager.cells[0].epoch, releases())
	}
	// A forwarder that has promised another planner's failed claim follows no lower epoch, so the leader must release the cell to claim it
	// anew.
	lease := &manager.cells[0]
	lease.nextClaimAt = 0
	for forwarder := range 3 {
		manager.handlePromiseReport(now, forwarder, &transport.Message{Cell: 0, Epoch: e})
	}
	manager.tick(now)
	manager.tick(now + 2*topology.ClaimStaggerS)
	secondEpoch := manager.cells[0].epoch
	if secondEpoch/epochStep != 2 || secondEpoch%64 != 1 {
		t.Fatalf("second claim has epoch %d after %d, want one by planner 1 with epoch counter 2", secondEpoch, e)
	}
	for forwarder := range 2 {
		manager.handleGrant(now+0.1, forwarder, &transport.Message{Epoch: secondEpoch, Round: 1})
	}
	if !manager.isLeader(now+0.1, 0, secondEpoch) {
		t.Fatalf("planner does not lead after grants of a majority: %+v", lease)
	}
	manager.handlePromiseReport(now+0.2, 2, &transport.Message{Cell: 0, Epoch: secondEpoch + 1, Number: 3})
	if lease.role != leader {
		t.Error("leader released the cell within a lease time of gaining it")
	}
	manager.handleGrant(now+0.2, 0, &transport.Message{Epoch: secondEpoch, Round: 1})
	lease.expiresAt = now + 9
	manager.handlePromiseReport(now+0.6, 2, &transport.Message{Cell: 0, Epoch: secondEpoch + 1, Number: 3})
	if lease.role == leader {
		t.Error("leader kept the cell although a forwarder has promised a higher epoch")
	}
	manager.drain(now)
	for forwarder := range 3 {
		manager.handlePromiseReport(now, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(now + 5)
	if manager.cells[0].epoch != 0 {
		t.Error("a draining planner claimed a cell")
	}
}
