package policy

import (
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/reportqueue"
	"eiderspread/internal/decision/slotlease"
)

const (
	maxReplyAgeS = 0.5  // seconds, age above which an owner's reply is stale and gives a member no share
	replyLagS    = 0.05 // seconds, assumed delay between an owner's count and the arrival of its reply

	// priorityReserveFraction is the fraction of the burst that a request of lowPriority 1 leaves to requests of
	// higher priority while the account's demand exceeds its rate. Other requests leave lowPriority times that.
	priorityReserveFraction = 0.18
)

// admission is the verdict on a new request.
type admission uint8

const (
	denied admission = iota
	admitted
	admittedPrefetched // charged to units that the owner granted in advance
	ownerRequired      // only the owner can decide
)

// String returns the verdict's name.
func (a admission) String() string {
	switch a {
	case denied:
		return "denied"
	case admitted:
		return "admitted"
	case admittedPrefetched:
		return "admitted, prefetched"
	case ownerRequired:
		return "owner required"
	}
	return "unknown"
}

// admit returns the verdict on a new request and the reason for it. It applies load shedding first, then the
// account's quota.
func (g *Gateway) admit(req *request) (admission, reason.Reason) {
	account := req.account
	if account == nil {
		return admitted, reason.NoPlan
	}
	req.AdmissionPriority = loadshed.AdmissionPriority{AccountKey: account.key,
		ClassRank: req.class.lowerClasses, ClassCount: len(g.classes), ClientRetry: req.clientRetry}
	if !g.shedder.Admit(g.now, req.AdmissionPriority, req.Units) {
		return denied, reason.LoadShed
	}
	if g.owner(account) == g.settings.Self {
		return g.admitAsOwner(req)
	}
	return g.admitAsMember(req)
}

// admitAsOwner decides by the ledger. A request that exceeds the concurrency limit or the hard limit is
// admitted if the limit is expected to allow it while it can still be sent; it then waits in the queue.
func (g *Gateway) admitAsOwner(req *request) (admission, reason.Reason) {
	denial := g.windowDenial(req.account, g.ledger(req.account), req.Units, req.lowPriority)
	switch {
	case denial != reason.None && (denial != reason.ConcurrencyLimit || !g.slotFreeInTime(req)):
		return denied, denial
	case !g.hardLimitCoversInTime(req):
		return denied, reason.HardLimitExhausted
	}
	return admitted, reason.OwnerCount
}

// admitAsMember decides by the units granted in advance and the owner's last reply. If these do not settle
// the verdict, the owner has to decide.
func (g *Gateway) admitAsMember(req *request) (admission, reason.Reason) {
	account, plan := req.account, req.plan
	available := g.availableAsMember(account)
	replyAgeS := g.now - account.availableAt
	switch {
	case plan.MaxConcurrency == 0 && req.Units <= account.prefetched:
		return admittedPrefetched, reason.Prefetched
	case plan.MaxConcurrency > 0 && len(account.pending) >= 2*plan.MaxConcurrency:
		return denied, reason.ConcurrencyLimit
	case len(account.pending) > 0:
		return ownerRequired, reason.OwnerSilent
	case g.now < account.backoffUntil:
		return denied, reason.OwnerBackoff
	case plan.MaxConcurrency > 0 && g.needsSlotLease(req, replyAgeS):
		return ownerRequired, reason.ConcurrencyLimit
	case g.hardLimitNeedsOwner(req):
		return ownerRequired, reason.HardLimitLocal
	case plan.Rate == 0:
		return admitted, reason.NoRateLimit
	}
	return g.admitByReply(req, available, replyAgeS)
}

// needsSlotLease reports whether the request needs a slot lease from the owner: this gateway has no free
// leased slot, and the owner's last reply is stale or leaves too few slots to start an attempt without a
// lease. The other gateways are assumed to have started attempts at their demand since that reply.
func (g *Gateway) needsSlotLease(req *request, replyAgeS float64) bool {
	account := req.account
	used := account.inFlight + account.unsentAdmitted
	started := account.otherDemand * (replyAgeS + replyLagS) / max(req.Units, 1) // attempts of other gateways
	return account.leasedSlots.Count(g.now+slotlease.RenewBeforeS) <= used && (replyAgeS > maxReplyAgeS ||
		float64(used+account.otherInFlight+1)+started >= float64(req.plan.MaxConcurrency))
}

// admitByReply decides by the available units, as derived from the owner's last reply. If the reply is fresh,
// the request must fit this gateway's share of the units by demand, or the units that remain if the other
// gateways use twice their demand. If the reply is stale, the request must fit even if each gateway of the
// account admits as much.
func (g *Gateway) admitByReply(req *request, available, replyAgeS float64) (admission, reason.Reason) {
	account, plan := req.account, req.plan
	localDemand, otherDemand := g.localDemand(account), account.otherDemand
	need := req.Units
	if localDemand+otherDemand > plan.Rate {
		need += req.lowPriority * priorityReserveFraction * plan.Burst
	}
	share := available * localDemand / max(localDemand+otherDemand, epsilon)
	remaining := available - 2*otherDemand*(replyAgeS+replyLagS)
	staleRemaining := min(available, available-(otherDemand-plan.Rate)*replyAgeS)
	switch stale := !account.ownerReplied || replyAgeS > maxReplyAgeS; {
	case stale && need*float64(account.gatewayCount) <= staleRemaining:
		return admitted, reason.StaleReplyFits
	case !stale && need <= max(share, remaining):
		return admitted, reason.QuotaShare
	case req.Units > available && replyAgeS < reportqueue.BatchIntervalS:
		return denied, reason.ReplyExhausted // the reply is so recent that the owner would not decide differently
	case stale:
		return ownerRequired, reason.ReplyStale
	}
	return ownerRequired, reason.ReplyShareTooSmall
}

// chargeAdmission marks a request as admitted and charges its units to the quota. paid means that under a
// hard limit a grant from the shared bucket has already paid for the units. Otherwise a bucket at this
// gateway must pay for them before the first attempt.
func (g *Gateway) chargeAdmission(req *request, paid bool) {
	req.phase = phaseAdmitted
	account := req.account
	if account == nil {
		return
	}
	if req.hardLimitUnpaid = !paid && account.plan.HardLimitRate > 0; req.hardLimitUnpaid {
		account.hardLimit.Unpaid += req.Units
	}
	g.shedder.ObserveAdmitted(g.now, req.Units)
	account.unsentAdmitted++
	g.charge(account, req.Units)
}

// charge counts units as used by the account at this gateway. Negative units are returned to the quota.
func (g *Gateway) charge(account *accountState, units float64) {
	if g.owner(account) == g.settings.Self {
		g.ledger(account).Charge(units, maxDebtFraction*account.plan.Burst)
	}
	account.admittedUnits += units
	if account.admittedUnits > account.ackedUnits || units < 0 {
		g.queueReport(account, false)
	}
}
