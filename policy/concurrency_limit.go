package policy

import (
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/slotlease"
)

// noMember, where slotlease.Table leaves out a member, leaves out none.
const noMember = -1

// unleasedSlotTTLS is for how many seconds an owner counts the attempts of a member that doesn't know slot
// leases.
const unleasedSlotTTLS = 3.0

// freeSlots is how many further attempts the owner of an account with a limit on concurrent attempts may
// start or lease now.
func (g *Gateway) freeSlots(account *accountState) int {
	if g.now < g.slotLeasingFrom && g.settings.PeerMessages && account.gatewayCount != 1 {
		return 0
	}
	leased := account.slotLeases.Leased(g.now, noMember)
	return account.plan.MaxConcurrency - account.inFlight - account.unsentAdmitted - leased
}

// atConcurrencyLimit reports whether no further attempt of the account may start here now.
func (g *Gateway) atConcurrencyLimit(account *accountState) bool {
	return account.plan.MaxConcurrency > 0 && (account.inFlight >= account.plan.MaxConcurrency ||
		g.owner(account) == g.settings.Self && g.freeSlots(account)+account.unsentAdmitted <= 0)
}

// slotFreeSoon reports whether a slot is expected to be free while the request can still be sent, after all
// that waits already.
func (g *Gateway) slotFreeSoon(req *request) bool {
	account := req.account
	waiting := account.unsentAdmitted + account.slotLeases.QueueLen()
	waitS := account.slotLeases.ExpectedWaitS(g.now, waiting, account.inFlight, req.class.meanLatency)
	return g.now+waitS <= req.latestFirstSend()
}

// addInFlight counts attempts of the request's account that start (delta 1) or end (-1). The owner hears of
// one that starts without a leased slot, and at once of one that ends while slots are scarce; of each, if it
// leases none.
func (g *Gateway) addInFlight(req *request, delta int) {
	account := req.account
	if account == nil {
		return
	}
	if account.inFlight += delta; req.plan.MaxConcurrency == 0 {
		return
	}
	switch scarce := 2*(account.inFlight+account.otherInFlight+1) >= req.plan.MaxConcurrency; {
	case g.owner(account) == g.settings.Self:
	case !account.ownerLeases, delta > 0 && account.leasedSlots.Count(g.now) < account.inFlight:
		g.queueReport(account, false)
	case delta < 0 && scarce:
		g.queueReport(account, true)
	}
}

// renewSlotLease reports an attempt to the owner before its slot lease ends.
func (g *Gateway) renewSlotLease(req *request) {
	account := req.account
	if account != nil && account.ownerLeases && req.inFlight > 0 &&
		account.leasedSlots.Count(g.now+slotlease.RenewBeforeS) < account.inFlight {
		g.queueReport(account, true)
	}
}

// updateMemberSlots records a member's attempts in flight in the owner's lease table.
func (g *Gateway) updateMemberSlots(account *accountState, member int, report record) {
	leaseS := slotlease.ReportLeaseS
	if !report.Leases {
		leaseS = unleasedSlotTTLS
	}
	remainingS := g.classByPriority(report.LowPriority).meanLatency / 2
	account.slotLeases.ApplyReport(g.now, member, report.InFlight, leaseS, remainingS)
	if report.Requested == 0 {
		account.slotLeases.Dequeue(member)
	}
}

// enqueueMember lets a member wait for a slot, which is then leased to it without another request.
func (g *Gateway) enqueueMember(account *accountState, waiter slotlease.Waiter, reply *record) {
	class := g.classByPriority(waiter.LowPriority)
	waiter.ExpiresAt = g.now + class.LatencyObjectiveS - class.meanLatency
	waiting := account.unsentAdmitted + account.slotLeases.Enqueue(waiter)
	reply.BackoffS = account.slotLeases.ExpectedWaitS(g.now, waiting, account.inFlight, class.meanLatency)
	reply.LeaseS = slotlease.ReportLeaseS
	if !slices.Contains(g.waitQueues, account) {
		g.waitQueues = append(g.waitQueues, account)
	}
}

// leaseSlots leases slots for the granted units to the member that requested them.
func (g *Gateway) leaseSlots(account *accountState, waiter slotlease.Waiter, grant float64, reply *record) {
	class := g.classByPriority(waiter.LowPriority)
	reply.Slots, reply.LeaseS = max(int(grant/max(waiter.FirstUnits, 1)), 1), unleasedSlotTTLS
	if reply.Leases {
		reply.LeaseS = slotlease.LeaseS(class.meanLatency, class.meanDeviation)
	}
	account.slotLeases.Grant(g.now, waiter.Member, reply.Slots, reply.LeaseS, class.meanLatency)
}

// prefetchSlots leases a member's share of the free slots to it in advance, while nobody waits for one.
func (g *Gateway) prefetchSlots(account *accountState, ledger *quota.Ledger, member int, reply *record) {
	if account.plan.MaxConcurrency <= 0 || !reply.Leases || reply.BackoffS != 0 ||
		account.slotLeases.QueueLen() != 0 {
		return
	}
	memberDemand, demand := ledger.Members[member].Demand, g.totalDemand(account, ledger)
	slots := slotlease.PrefetchCount(g.freeSlots(account), memberDemand, demand)
	if slots <= 0 {
		return
	}
	reply.Slots += slots
	if reply.LeaseS == 0 {
		reply.LeaseS = slotlease.ReportLeaseS
	}
	account.slotLeases.Grant(g.now, member, slots, reply.LeaseS, reply.LeaseS)
}

// serveWaitQueues leases slots that came free to the members that wait, once a tick.
func (g *Gateway) serveWaitQueues() {
	g.waitQueues = slices.DeleteFunc(g.waitQueues, func(account *accountState) bool {
		g.serveWaitQueue(account)
		return account.slotLeases.QueueLen() == 0
	})
}

// serveWaitQueue leases slots that came free to the members that wait for one of the account, in order of
// arrival.
func (g *Gateway) serveWaitQueue(account *accountState) {
	for {
		waiter, ok := account.slotLeases.NextWaiter(g.now)
		if !ok || g.freeSlots(account) <= 0 {
			return
		}
		account.slotLeases.Dequeue(waiter.Member)
		if g.ledger(account).Members[waiter.Member] == nil {
			continue
		}
		reply := g.newReply(account, true)
		g.grantUnits(account, waiter, &reply)
		g.completeReply(account, waiter.Member, &reply)
		g.sendMessage(waiter.Member, peerprotocol.AppendRecord(g.messageHeader(), reply))
	}
}
