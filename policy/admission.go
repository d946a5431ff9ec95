package policy

import (
	"eiderspread/internal/decision/loadshed"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/reportqueue"
	"eiderspread/internal/decision/slotlease"
)

const (
	replyFreshS = 0.5  // seconds for which an owner reply may be shared out among the gateways
	replyLagS   = 0.05 // seconds between an owner's count and the arrival of its reply

	// priorityReserveFraction is the fraction of the burst that the class of the lowest priority must leave to
	// others of its account while that asks for more than its rate.
	priorityReserveFraction = 0.18
)

// admission is the verdict on a new request.
type admission uint8

const (
	denied admission = iota
	admitted
	admittedPrefetched // out of units that the owner granted in advance
	ownerRequired      // only the owner can decide
)

// String is the verdict's name.
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

// admit gives the verdict on a new request: load shedding first, then the account's quota.
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

// admitAsOwner decides by the ledger. What a concurrency limit or a hard limit allows in time waits for that.
func (g *Gateway) admitAsOwner(req *request) (admission, reason.Reason) {
	denial := g.windowDenial(req.account, g.ledger(req.account), req.Units, req.lowPriority)
	switch {
	case denial != reason.None && (denial != reason.ConcurrencyLimit || !g.slotFreeSoon(req)):
		return denied, denial
	case !g.hardLimitPaysSoon(req):
		return denied, reason.HardLimitExhausted
	}
	return admitted, reason.OwnerCount
}

// admitAsMember decides by what the owner granted and last replied. Where that is not enough, the
// owner decides.
func (g *Gateway) admitAsMember(req *request) (admission, reason.Reason) {
	account, plan := req.account, req.plan
	available := g.availableNow(account)
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
	case plan.MaxConcurrency > 0 && g.slotUncertain(req, replyAgeS):
		return ownerRequired, reason.ConcurrencyLimit
	case g.hardLimitNeedsOwner(req):
		return ownerRequired, reason.HardLimitLocal
	case plan.Rate == 0:
		return admitted, reason.NoRateLimit
	}
	return g.admitByReply(req, available, replyAgeS)
}

// slotUncertain reports whether the request needs the owner to lease a slot: none is free here, and the
// owner's last reply is too old, or leaves too few slots, to start an attempt without one. The other gateways
// are assumed to have started attempts at their demand since that reply.
func (g *Gateway) slotUncertain(req *request, replyAgeS float64) bool {
	account := req.account
	used := account.inFlight + account.unsentAdmitted
	started := account.otherDemand * (replyAgeS + replyLagS) / max(req.Units, 1) // by other gateways
	return account.leasedSlots.Count(g.now+slotlease.RenewBeforeS) <= used && (replyAgeS > replyFreshS ||
		float64(used+account.otherInFlight+1)+started >= float64(req.plan.MaxConcurrency))
}

// admitByReply decides by the units that the owner last reported, of which this gateway takes its share of
// the demand, or what twice the demand of the others leaves. A reply that is too old is good only for what
// every gateway of the account could take.
func (g *Gateway) admitByReply(req *request, available, replyAgeS float64) (admission, reason.Reason) {
	account, plan := req.account, req.plan
	localDemand, otherDemand := g.localDemand(account), account.otherDemand
	need := req.Units
	if localDemand+otherDemand > plan.Rate {
		need += req.lowPriority * priorityReserveFraction * plan.Burst
	}
	share := available * localDemand / max(localDemand+otherDemand, epsilon)
	left := available - 2*otherDemand*(replyAgeS+replyLagS)
	leftLong := min(available, available-(otherDemand-plan.Rate)*replyAgeS)
	switch stale := !account.ownerReplied || replyAgeS > replyFreshS; {
	case stale && need*float64(account.gatewayCount) <= leftLong:
		return admitted, reason.StaleReplyFits
	case !stale && need <= max(share, left):
		return admitted, reason.QuotaShare
	case req.Units > available && replyAgeS < reportqueue.BatchIntervalS:
		return denied, reason.ReplyExhausted // the reply is too young for a quota request to change it
	case stale:
		return ownerRequired, reason.ReplyStale
	}
	return ownerRequired, reason.ReplyShareTooSmall
}

// chargeAdmission admits a request and charges its units to the quota. Unless they are paid, by a grant of
// the hard limit's shared bucket, they are still to be taken from a bucket before the first attempt.
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

// charge counts units of an account as used here; below 0 gives back.
func (g *Gateway) charge(account *accountState, units float64) {
	if g.owner(account) == g.settings.Self {
		g.ledger(account).Charge(units, maxDebtFraction*account.plan.Burst)
	}
	account.admittedUnits += units
	if account.admittedUnits > account.ackedUnits || units < 0 {
		g.queueReport(account, false)
	}
}
