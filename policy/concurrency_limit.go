package policy

import (
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/slotlease"
)

// noMember is the gateway number with which slotlease.Table.Leased excludes no member.
const noMember = -1

// unleasedSlotTTLS is the time in seconds for which an owner counts the reported attempts of a member that
// doesn't support slot leases.
const unleasedSlotTTLS = 3.0

// freeSlots returns how many further slots the owner of an account with a concurrency limit may use or lease
// now. Before slotLeasingFrom it returns 0 if the account has other gateways, as slots that a former process
// leased to them may still be in use.
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

// slotFreeInTime reports whether a slot is expected to become free for the request while it can still be
// sent. Requests and members that wait already come first.
func (g *Gateway) slotFreeInTime(req *request) bool {
	account := req.account
	waiting := account.unsentAdmitted + account.slotLeases.QueueLen()
	waitS := account.slotLeases.ExpectedWaitS(g.now, waiting, account.inFlight, req.class.meanLatency)
	return g.now+waitS <= req.latestFirstSend()
}

// addInFlight counts an attempt of the request's account that starts (delta 1) or ends (-1). A member reports
// an attempt that starts without a leased slot, and urgently one that ends while slots are scarce. It reports
// every start and end, not urgently, to an owner that leases no slots.
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

// renewSlotLease queues an urgent report, which renews the leases of the account's slots, if a lease is about
// to expire while the request has an attempt in flight.
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

// enqueueMember adds a member to the wait queue. A slot is leased to it later, without another request.
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

// prefetchSlots leases slots to a member in advance, by its share of the demand, while the wait queue is
// empty.
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

// serveWaitQueues leases free slots to waiting members of all accounts. It is called once a tick.
func (g *Gateway) serveWaitQueues() {
	g.waitQueues = slices.DeleteFunc(g.waitQueues, func(account *accountState) bool {
		g.serveWaitQueue(account)
		return account.slotLeases.QueueLen() == 0
	})
}

// serveWaitQueue leases the account's free slots to the members in its wait queue, in the order of the queue.
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
