package planner

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/controlplane/transport"
)

func params(t *testing.T, forwarders, planners int) topology.Params {
	p := topology.Params{Name: "t", Forwarders: forwarders, Planners: planners, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	return p
}

// A lead lasts for the lease from the oldest round that a majority has granted.
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
	if e/epochStep != 5 || e%64 != 0 || lease.role == leader || manager.cells[1].epoch != 0 {
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
	manager.tick(10.06) // a renewal that two grant: the lead still rests on the first round
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
	manager.expireLeases(10.06 + leaseS)
	if len(sent) != 5 || sent[0].Kind != transport.KindRelease || sent[0].Epoch != e { // they would go on submitting requests
		t.Errorf("forwarders are not released when the lead ran out: %v", sent)
	}
	grant(10.06+leaseS, 3, e, round)
	if transitions[len(transitions)-1] != "lost 0" || manager.isLeader(10.06+leaseS, 0, e) {
		t.Errorf("a lead that ran out goes on: %v", transitions)
	}
}

// A forwarder that had promised an epoch to a planner's former incarnation would follow nobody if the new one claimed by the same epoch.
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
			t.Errorf("incarnation %d claims epoch %d", incarnation, e)
		}
		seen[manager.cells[0].epoch] = true
	}
}

// A planner hands a cell back to one that ranks before it, claims above a failed claim, and claims nothing while it drains.
func TestLease_DrainAndHandback(t *testing.T) {
	var sent []transport.Message
	manager := newLeaseManager(params(t, 3, 3), 1, 1) // its rank in cell 0 is 1
	manager.send = func(_ int, m ...transport.Message) { sent = append(sent, m...) }
	manager.onClaim, manager.onLead, manager.onLoss = func(int, uint64) {}, func(float64, int, uint64) {}, func(int) {}
	for forwarder := range 3 {
		manager.linkUp(10, forwarder)
		manager.handleView(10, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(10)
	if manager.cells[0].epoch != 0 {
		t.Error("the planner of rank 1 does not wait")
	}
	manager.tick(10 + 2*topology.ClaimStaggerS)
	e := manager.cells[0].epoch
	if e/epochStep != 1 || e%64 != 1 {
		t.Fatal("the planner of rank 1 does not claim")
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
			manager.handleView(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 3}) // planner 2 has the lower rank
		}
	}
	if manager.cells[0].role != leader || releases() != 0 {
		t.Fatal("a cell is handed to a planner of a lower rank")
	}
	for forwarder := range 2 {
		manager.handleView(now, forwarder, &transport.Message{Cell: 0, Epoch: e, Number: 2, DurationS: 0.4, Requester: 1})
	}
	manager.tick(now)
	if manager.cells[0].epoch != 0 || releases() != 3 {
		t.Errorf("the cell is not handed back: %d releases", releases())
	}
	// A forwarder that has promised another planner's failed claim follows no lower epoch.
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
		t.Fatalf("does not lead: %+v", lease)
	}
	manager.handleView(now+0.2, 2, &transport.Message{Cell: 0, Epoch: again + 1, Number: 3})
	if lease.role != leader {
		t.Error("given up at once")
	}
	manager.handleGrant(now+0.2, 0, &transport.Message{Epoch: again, Round: 1})
	lease.expiresAt = now + 9
	manager.handleView(now+0.6, 2, &transport.Message{Cell: 0, Epoch: again + 1, Number: 3})
	if lease.role == leader {
		t.Error("a forwarder is left without a leader")
	}
	manager.drain(now)
	for forwarder := range 3 {
		manager.handleView(now, forwarder, &transport.Message{Cell: 0})
	}
	manager.tick(now + 5)
	if manager.cells[0].epoch != 0 {
		t.Error("a draining planner claims")
	}
}
