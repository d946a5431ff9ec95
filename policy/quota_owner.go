package policy

import (
	"math"

	"eiderspread/internal/decision/hardlimit"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

const (
	memberTTLS      = 8.0  // seconds after which a member that reports nothing is forgotten
	ledgerRecoveryS = 2.0  // seconds for which a new ledger takes over what members know of the window
	maxDebtFraction = 0.5  // of the burst, up to which units admitted beyond the window are owed to it
	emptyGrantUnits = 0.25 // in a reply to a quota request that grants nothing; the smallest value on the wire

	// quotaRetryFraction is the fraction of the peer message rate that members may use to ask the same owner
	// again.
	quotaRetryFraction = 0.5
	// maxBackoffFactor bounds how much the backoff of members grows with the messages that come in.
	maxBackoffFactor = 3
)

// ledger is the owner's count of the account, brought up to now. The window opens evenly at the plan's rate.
// A gateway that isn't the primary owner may be cut off from all others while no member reports to it: until
// one does it opens 1/gatewayCount of the rate. After that it opens the whole rate, though the primary owner
// may do the same beyond a split.
func (g *Gateway) ledger(account *accountState) *quota.Ledger {
	if account.ledger == nil {
		account.ledger = quota.NewLedger(g.availableNow(account), g.now)
	}
	ledger, rate := account.ledger, account.plan.Rate
	if account.primaryOwner != g.settings.Self && len(ledger.Members) == 0 {
		rate /= float64(account.gatewayCount)
	}
	limit := account.plan.Burst - ledger.Prefetched.Sum(g.now, hardlimit.PrefetchS+replyLagS)
	ledger.Available, ledger.UpdatedAt = min(limit, ledger.Available+rate*(g.now-ledger.UpdatedAt)), g.now
	return ledger
}

// windowDenial is the reason why the owner can't admit units; None if it can. While the account asks for more
// than its rate, requests of lower priority leave a part of the burst to others.
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

// newReply is a reply of this gateway as the account's owner. leases is whether the member knows slot leases.
func (g *Gateway) newReply(account *accountState, leases bool) record {
	return record{AccountKey: account.key, Plan: account.plan.index,
		FromOwner: true, Known: true, Leases: leases}
}

// applyMemberReport applies a member's report to the ledger and returns the owner's reply. Units that the
// member requests are set aside at once; its next report shows which of them were used.
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

// reportingMember finds the member that reports, or begins to count it: one that is new, has started anew, or
// may have forgotten the account meanwhile.
func (g *Gateway) reportingMember(account *accountState, ledger *quota.Ledger, from int,
	report record) *quota.Member {
	incarnation := g.sequences[from].Incarnation
	member := ledger.Members[from]
	if member != nil && g.now-member.ReportedAt <= memberTTLS && member.Incarnation == incarnation {
		return member
	}
	if report.Known && g.now-ledger.StartedAt < ledgerRecoveryS {
		// After a restart or a change of owner the member knows the window better.
		ledger.Available = min(ledger.Available, max(report.Available+report.Unacked, 0))
	}
	member = &quota.Member{Incarnation: incarnation, Total: report.Total - report.Unacked}
	ledger.Members[from] = member
	account.slotLeases.DropMember(from)
	return member
}

// answerQuotaRequest grants what a member requests, lets it wait for a slot, or replies with a backoff.
// At a concurrency limit a member that can't wait for a slot asks again with its next report: an attempt ends
// soon.
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
		// All members together ask again at quotaRetryFraction of the message rate, more rarely under load.
		retryRate := max(g.settings.PeerMessageRate*quotaRetryFraction, 1)
		members := float64(ledger.ActiveMembers(g.now, memberTTLS))
		reply.BackoffS = members / retryRate * min(g.messageRate/retryRate, maxBackoffFactor)
	}
}

// grantUnits sets units aside for a member that requests them, and slots under a concurrency limit. It
// returns why not, if it grants nothing. The reply reports the grant to the member.
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

// grantableUnits is how much of the requested units the window allows: all of them, or else half of what it
// has above the priority reserve, or else the first request's; 0 with the reason if none.
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

// prefetchableUnits is how many whole units the member may be granted in advance, for the requests of the
// next hardlimit.PrefetchS seconds: its share of the demand, within the rate and half of what the window has
// above the priority reserve. There are none under a concurrency limit.
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
// holds the first request: as far as it reaches, the member requests the rest again. Units in advance under a
// hard limit must be paid.
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

// completeReply fills in what every owner reply reports: the ledger, and what the other gateways do.
func (g *Gateway) completeReply(account *accountState, to int, reply *record) {
	ledger := g.ledger(account)
	member := ledger.Members[to]
	g.prefetchSlots(account, ledger, to, reply)
	reply.Total, reply.Available = member.Total, ledger.Available
	reply.InFlight = account.inFlight + account.unsentAdmitted + account.slotLeases.Leased(g.now, to)
	reply.Demand = max(ledger.DemandNow(g.now, demandTauS)-member.Demand, 0) + g.localDemand(account)
}
