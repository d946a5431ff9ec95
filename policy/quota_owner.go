package policy

import (
	"math"

	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

const (
	memberTTLS      = 8.0  // seconds without a report after which the owner drops a member
	ledgerRecoveryS = 2.0  // seconds for which a new ledger adopts lower available units that members report
	maxDebtFraction = 0.5  // fraction of the burst that bounds the debt of units admitted beyond the window
	emptyGrantUnits = 0.25 // Requested in a reply that grants nothing; the smallest nonzero value on the wire

	// quotaRetryFraction is the fraction of the peer message rate that members may use to repeat their quota
	// requests to one owner.
	quotaRetryFraction = 0.5
	// maxBackoffFactor bounds the factor by which the members' backoff grows with the rate of received messages.
	maxBackoffFactor = 3
)

// ledger returns the owner's count of the account, and creates it if there is none. It refills the window at
// the plan's rate up to now. A gateway other than the primary owner may be cut off from all others, and
// refills at 1/gatewayCount of the rate until a member reports to it. From then on it refills at the whole
// rate, although the primary owner may do the same on the other side of a network partition.
func (g *Gateway) ledger(account *accountState) *quota.Ledger {
	if account.ledger == nil {
		account.ledger = quota.NewLedger(g.availableAsMember(account), g.now)
	}
	ledger, rate := account.ledger, account.plan.Rate
	if account.primaryOwner != g.settings.Self && len(ledger.Members) == 0 {
		rate /= float64(account.gatewayCount)
	}
	limit := account.plan.Burst - ledger.Prefetched.Sum(g.now, hardlimit.PrefetchS+replyLagS)
	ledger.Available, ledger.UpdatedAt = min(limit, ledger.Available+rate*(g.now-ledger.UpdatedAt)), g.now
	return ledger
}

// windowDenial returns the reason why the owner can't admit the units, or None if it can. While the account's
// demand exceeds its rate, requests of lower priority leave a part of the burst to others.
func (g *Gateway) windowDenial(account *accountState, ledger *quota.Ledger,
	units, lowPriority float64) reason.Reason {
	plan := account.plan
	switch {
	case plan.Rate > 0 && units > ledger.Available:
		return reason.WindowExhausted
	case plan.Rate > 0 && g.totalDemand(account, ledger) > plan.Rate &&
		units+lowPriority*priorityReserveFraction*plan.Burst > ledger.Available:
		return reason.PriorityReserve
	case plan.MaxConcurrency > 0 && g.freeSlots(account) <= 0:
		return reason.ConcurrencyLimit
	}
	return reason.None
}

// newReply returns a reply of this gateway as the account's owner. leases tells whether the member supports
// slot leases.
func (g *Gateway) newReply(account *accountState, leases bool) record {
	return record{AccountKey: account.key, Plan: account.plan.index,
		FromOwner: true, Known: true, Leases: leases}
}

// applyMemberReport applies a member's report to the ledger and returns the owner's reply. Granted units are
// set aside at once; the member's next report shows how many of them it used.
func (g *Gateway) applyMemberReport(account *accountState, from int, report record) record {
	ledger := g.ledger(account)
	member := g.reportingMember(account, ledger, from, report)
	used := ledger.ApplyReport(member, report.Total, report.Demand, g.now, demandTauS)
	ledger.Charge(used, maxDebtFraction*account.plan.Burst)
	ledger.Prefetched.Remove(-used)
	reply := g.newReply(account, report.Leases)
	if account.plan.MaxConcurrency > 0 {
		g.updateMemberSlots(account, from, report)
	}
	if report.Requested > 0 {
		g.answerQuotaRequest(account, ledger, from, report, &reply)
	}
	g.completeReply(account, from, &reply)
	return reply
}

// reportingMember returns the ledger's entry of the reporting member. It starts a new entry if the member is
// new, has restarted, or has not reported for memberTTLS and may have evicted the account.
func (g *Gateway) reportingMember(account *accountState, ledger *quota.Ledger, from int,
	report record) *quota.Member {
	incarnation := g.sequences[from].Incarnation
	member := ledger.Members[from]
	if member != nil && g.now-member.ReportedAt <= memberTTLS && member.Incarnation == incarnation {
		return member
	}
	if report.Known && g.now-ledger.StartedAt < ledgerRecoveryS {
		// After a restart or a change of owner, the member's estimate of the window is the better one.
		ledger.Available = min(ledger.Available, max(report.Available+report.Unacked, 0))
	}
	member = &quota.Member{Incarnation: incarnation, Total: report.Total - report.Unacked}
	ledger.Members[from] = member
	account.slotLeases.DropMember(from)
	return member
}

// answerQuotaRequest grants units to a member that requests them, adds it to the wait queue for a slot, or
// replies with a backoff. At a concurrency limit, a member without slot leases gets no backoff and requests
// again with its next report, as an attempt is likely to end soon.
func (g *Gateway) answerQuotaRequest(account *accountState, ledger *quota.Ledger, from int,
	report record, reply *record) {
	waiter := slotlease.Waiter{Member: from, Units: report.Requested, FirstUnits: report.FirstRequested,
		LowPriority: report.LowPriority, UseSharedBucket: report.SharedBucket}
	switch denial := g.grantUnits(account, waiter, reply); {
	case denial == reason.None:
		account.slotLeases.Dequeue(from)
	case denial == reason.ConcurrencyLimit && report.Leases:
		g.enqueueMember(account, waiter, reply)
	case denial != reason.ConcurrencyLimit:
		// At a received message rate of retryRate, all members together repeat their requests at retryRate. The
		// backoff grows with the received message rate.
		retryRate := max(g.settings.PeerMessageRate*quotaRetryFraction, 1)
		members := float64(ledger.ActiveMembers(g.now, memberTTLS))
		reply.BackoffS = members / retryRate * min(g.messageRate/retryRate, maxBackoffFactor)
	}
}

// grantUnits sets units aside for a member that requests them, leases slots under a concurrency limit, and
// enters the grant in the reply. If it grants nothing, it returns the reason.
func (g *Gateway) grantUnits(account *accountState, waiter slotlease.Waiter, reply *record) reason.Reason {
	ledger := g.ledger(account)
	grant, denial := g.grantableUnits(account, ledger, waiter)
	reply.Requested = emptyGrantUnits
	if grant > 0 {
		member := ledger.Members[waiter.Member]
		prefetch := g.prefetchableUnits(account, ledger, member, grant, reply)
		grant, prefetch = g.payGrant(account, waiter, grant, prefetch, reply)
		if prefetch >= 1 {
			reply.LeaseS = hardlimit.PrefetchS
			ledger.Prefetched.Add(g.now, prefetch)
			ledger.Available -= prefetch
			member.Total += prefetch
		}
		reply.Requested = grant
		ledger.Available -= grant
		member.Total += grant
		if account.plan.MaxConcurrency > 0 {
			g.leaseSlots(account, waiter, grant, reply)
		}
	}
	g.traceGrant(account, waiter, *reply, grant, denial)
	return denial
}

// grantableUnits returns how many of the requested units the window allows: all of them, or else half of the
// units above the priority reserve, or else the units of the first request. If it allows none, it returns 0
// and the reason. Under a concurrency limit the free slots bound the units, too.
func (g *Gateway) grantableUnits(account *accountState, ledger *quota.Ledger,
	waiter slotlease.Waiter) (grant float64, denial reason.Reason) {
	partial := math.Floor(min(waiter.Units, (ledger.Available-priorityReserveFraction*account.plan.Burst)/2))
	for _, units := range []float64{waiter.Units, max(waiter.FirstUnits, partial), waiter.FirstUnits} {
		if account.plan.MaxConcurrency > 0 {
			units = min(units, waiter.FirstUnits*float64(max(g.freeSlots(account), 1)))
		}
		if denial = g.windowDenial(account, ledger, units, waiter.LowPriority); denial == reason.None {
			return units, reason.None
		}
	}
	return 0, denial
}

// prefetchableUnits returns how many whole units the member may be granted in advance for requests of the
// next hardlimit.PrefetchS seconds. This is the member's share, by demand, of the account's demand in that
// time, which is bounded by the rate and by half of the window's units above the priority reserve. Under a
// concurrency limit no units are granted in advance.
func (g *Gateway) prefetchableUnits(account *accountState, ledger *quota.Ledger, member *quota.Member,
	grant float64, reply *record) float64 {
	if !reply.Leases || account.plan.MaxConcurrency != 0 {
		return 0
	}
	demand := g.totalDemand(account, ledger)
	left := ledger.Available - grant - priorityReserveFraction*account.plan.Burst
	limit := min(min(demand, account.plan.Rate)*hardlimit.PrefetchS, left/2)
	return math.Floor(member.Demand / max(demand, epsilon) * limit)
}

// payGrant takes a grant from the hard limit's shared bucket, if the member asks for that and the bucket
// holds the units of the first request. A grant beyond the bucket's level is reduced to that level, and the
// member requests the rest again. Under a hard limit, units are granted in advance only if the shared bucket
// pays.
func (g *Gateway) payGrant(account *accountState, waiter slotlease.Waiter, grant, prefetch float64,
	reply *record) (paidGrant, paidPrefetch float64) {
	limit := g.hardLimitConfig(account)
	if waiter.UseSharedBucket && account.hardLimit.SharedCovers(limit, g.now, waiter.FirstUnits) {
		reply.SharedBucket = true
		grant = account.hardLimit.TakeShared(limit, g.now, grant, waiter.FirstUnits)
	}
	if prefetch >= 1 && account.plan.HardLimitRate > 0 {
		if !reply.SharedBucket {
			prefetch = 0
		}
		prefetch = account.hardLimit.PrefetchShared(limit, g.now, prefetch)
	}
	return grant, prefetch
}

// completeReply leases free slots in advance, and fills in the fields of every owner reply: the state of the
// ledger, and the demand and attempts of the other gateways.
func (g *Gateway) completeReply(account *accountState, to int, reply *record) {
	ledger := g.ledger(account)
	member := ledger.Members[to]
	g.prefetchSlots(account, ledger, to, reply)
	reply.Total, reply.Available = member.Total, ledger.Available
	reply.InFlight = account.inFlight + account.unsentAdmitted + account.slotLeases.Leased(g.now, to)
	reply.Demand = max(ledger.DemandNow(g.now, demandTauS)-member.Demand, 0) + g.localDemand(account)
}
