package policy

import (
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

const (
	quotaReplyTimeoutS  = 0.08 // seconds until a quota request without a reply is sent again
	reportReplyTimeoutS = 0.3  // the same for a report that no request waits for
)

// availableNow is the units in the owner's window as a member knows it. A gateway that has ceased to be the
// owner begins with what its ledger says.
func (g *Gateway) availableNow(account *accountState) float64 {
	if account.ledger != nil {
		account.available, account.availableAt = g.ledger(account).Available, g.now
		account.ownerReplied, account.ackedUnits, account.ledger = true, account.admittedUnits, nil
	}
	return min(account.plan.Burst, account.available+account.plan.Rate*(g.now-account.availableAt)) -
		max(account.admittedUnits-account.ackedUnits, 0)
}

// requestQuota holds a request until its account's owner has replied. The first of an account sends a report
// at once; others join the next one.
func (g *Gateway) requestQuota(req *request, cause reason.Reason) {
	account := req.account
	g.trace(reason.StepQuotaRequested, cause, req, noAttempt)
	req.phase = phaseAwaitingOwner
	account.pending = append(account.pending, req)
	if len(account.pending) > 1 {
		if account.inWaitQueue {
			g.queueReport(account, true)
		}
		return
	}
	account.unansweredReports, account.unansweredSince = 0, g.now
	g.expectReply(account)
	g.queueReport(account, true)
	g.flushReports()
}

// rejectUnanswered rejects a request whose owner did not reply while it could still be sent.
func (g *Gateway) rejectUnanswered(req *request) bool {
	if req.phase != phaseAwaitingOwner ||
		g.now+tickIntervalS <= min(req.expiresAt()-req.class.meanLatency, req.latestStart) {
		return false
	}
	cause := reason.OwnerSilent
	if req.account.inWaitQueue {
		cause = reason.WaitQueue
	}
	g.reject(req, cause)
	return true
}

// queueReport has the account reported to its owner with the next batch, or with urgent as soon as the
// message rate allows.
func (g *Gateway) queueReport(account *accountState, urgent bool) {
	owner := g.owner(account)
	if owner == g.settings.Self {
		account.ackedUnits = account.admittedUnits
		return
	}
	if !account.reportQueued || account.reportTo != owner {
		account.reportQueued, account.reportTo = true, owner
		g.reports.Add(owner, account)
	}
	if urgent {
		g.reports.MarkUrgent(owner)
	}
}

// flushReports sends the reports that are due, within this gateway's fraction of the message rate.
func (g *Gateway) flushReports() {
	g.reports.Flush(g.now, g.settings.PeerMessageRate*memberReportFraction, g.sendReports)
}

// sendReports sends an owner the reports of as many accounts as one message holds. It returns how many of
// them are done with.
func (g *Gateway) sendReports(owner int, accounts []*accountState) (done int) {
	message := g.messageHeader()
	for _, account := range accounts {
		if len(message)+peerprotocol.RecordLen > peerprotocol.MaxLen {
			break
		}
		done++
		if account.reportTo != owner || !account.reportQueued {
			continue // the owner changed, or an earlier message had it
		}
		account.reportQueued = false
		account.lastUsedAt = g.now
		message = peerprotocol.AppendRecord(message, g.memberReport(account))
	}
	g.sendMessage(owner, message)
	return done
}

// memberReport is the account's report to its owner. From now on a reply is expected, unless the report is
// of slots alone.
func (g *Gateway) memberReport(account *accountState) record {
	available := g.availableNow(account) // first: it may make this gateway a member
	report := record{AccountKey: account.key, Plan: account.plan.index, Known: account.ownerReplied,
		SharedBucket: account.reportTo == account.primaryOwner,
		Total:        account.admittedUnits + account.prefetched,
		Available:    available,
		Demand:       g.localDemand(account),
		InFlight:     account.inFlight + account.unsentAdmitted,
		Leases:       true,
		Unacked:      max(account.admittedUnits-account.ackedUnits, 0)}
	account.reportedPending = len(account.pending)
	for i, req := range account.pending {
		if report.Requested += req.Units; i == 0 {
			report.FirstRequested, report.LowPriority = req.Units, req.lowPriority
		}
	}
	if account.plan.MaxConcurrency > 0 {
		account.leasedSlots.Renew(g.now, report.InFlight, slotlease.ReportLeaseS)
		if account.ownerLeases && report.Requested == 0 && report.Unacked == 0 {
			report.LeaseS = slotlease.ReportLeaseS
			return report
		}
	}
	if account.unansweredSince == 0 || account.reportedPending > 0 {
		account.unansweredSince = g.now
	}
	g.expectReply(account)
	return report
}

// expectReply has the account's reports watched by handleUnanswered.
func (g *Gateway) expectReply(account *accountState) {
	if !account.awaitingReply {
		account.awaitingReply = true
		g.awaitingReply = append(g.awaitingReply, account)
	}
}

// handleUnanswered looks at the accounts with reports that wait for a reply, once a tick.
func (g *Gateway) handleUnanswered() {
	for _, account := range g.awaitingReply {
		if g.replyOverdue(account) {
			g.handleMissingReply(account)
		}
		account.awaitingReply = account.unansweredSince > 0
	}
	answered := func(account *accountState) bool { return !account.awaitingReply }
	g.awaitingReply = slices.DeleteFunc(g.awaitingReply, answered)
}

// replyOverdue reports whether the owner's reply did not come in time. A stall of this process is not the
// owner's silence.
func (g *Gateway) replyOverdue(account *accountState) bool {
	timeoutS := reportReplyTimeoutS
	if len(account.pending) > 0 {
		timeoutS = quotaReplyTimeoutS
	}
	return account.unansweredSince > 0 && g.now-max(account.unansweredSince, g.resumedAt) > timeoutS
}

// handleMissingReply sends a report again. The failure detector may have made another gateway the owner by
// then. When that is silent as well, what waits is decided by the local window.
func (g *Gateway) handleMissingReply(account *accountState) {
	if !account.reportQueued && !account.inWaitQueue { // it was sent
		g.failureDetector.RecordUnanswered(account.reportTo, g.now)
	}
	account.unansweredReports++
	account.unansweredSince, account.reportedPending, account.inWaitQueue = 0, 0, false
	if account.unansweredReports <= g.failureDetector.Threshold() {
		g.queueReport(account, len(account.pending) > 0)
		if len(account.pending) > 0 {
			account.unansweredSince = g.now
		}
		return
	}
	account.unansweredReports = 0
	fits := func(req *request) bool { return g.takeLocalWindow(account, req.Units) }
	byWindow := resolution{fits: fits, requeue: true, denial: reason.ConcurrencyLimit}
	if g.resolvePending(account, len(account.pending), byWindow) > 0 {
		g.queueReport(account, true)
		account.unansweredSince = g.now
	}
}

// takeLocalWindow takes units from the account's local window, if it holds them: this gateway's share of rate
// and burst, as the others may go on serving the account. The burst is at least the largest request, so that
// with many gateways the local windows together exceed the plan's burst.
func (g *Gateway) takeLocalWindow(account *accountState, units float64) bool {
	plan, gateways := account.plan, float64(account.gatewayCount)
	if plan.MaxConcurrency > 0 && account.inFlight+account.otherInFlight >= plan.MaxConcurrency {
		return false
	}
	burst := max(plan.Burst/gateways, float64(g.settings.MaxRequestUnits))
	account.localWindow.Refill(g.now, plan.Rate/gateways, burst)
	if plan.Rate > 0 && units > min(account.localWindow.Level, g.availableNow(account)) {
		return false
	}
	account.localWindow.Level -= units
	return true
}

// resolution is by what pending requests are decided.
type resolution struct {
	fits    func(*request) bool // called once for each request; what it takes stays taken
	paid    bool                // the hard limit's shared bucket paid for those that fit
	requeue bool                // those that are not admitted are requested again where mayRequeue allows
	denial  reason.Reason       // of those that don't fit and are not requested again
}

// resolvePending decides the first n pending requests. It returns how many of them stay pending.
func (g *Gateway) resolvePending(account *accountState, n int, by resolution) (requeued int) {
	decided, rest := account.pending[:n], slices.Clone(account.pending[n:])
	account.pending = nil
	for _, req := range decided {
		if req.phase == phaseCompleted {
			continue
		}
		switch fits := by.fits(req); {
		case fits && (by.paid || g.hardLimitPaysSoon(req)):
			g.chargeAdmission(req, by.paid)
			g.dispatch(req)
		case by.requeue && g.mayRequeue(account, fits):
			account.pending = append(account.pending, req)
		case fits:
			g.reject(req, reason.HardLimitUnpaidGrant)
		default:
			g.reject(req, by.denial)
		}
	}
	requeued = len(account.pending)
	account.pending = append(account.pending, rest...)
	return requeued
}

// mayRequeue reports whether a request that could not be admitted may be requested again. One that fits lacks
// only a bucket of the hard limit, which the primary owner alone may pay for. Under a concurrency limit no
// more requests than that wait.
func (g *Gateway) mayRequeue(account *accountState, fits bool) bool {
	if fits && g.owner(account) != account.primaryOwner {
		return false
	}
	return account.plan.MaxConcurrency == 0 || len(account.pending) < account.plan.MaxConcurrency
}

// replyKind is what an owner's reply means for the requests that the member reported as pending.
type replyKind uint8

const (
	replyState     replyKind = iota // nothing: it only reports the owner's view of the account
	replyWaitQueue                  // the owner leases slots to them as they come free
	replyGrant                      // it decides them by the units that it grants, perhaps none
)

// String is the kind's name.
func (k replyKind) String() string {
	switch k {
	case replyState:
		return "state"
	case replyWaitQueue:
		return "wait queue"
	case replyGrant:
		return "grant"
	}
	return "unknown"
}

// kindOfReply reads the kind of a reply from its fields, as the wire form has none of its own. Under a
// concurrency limit a lease time without slots stands for a place in the wait queue (enqueueMember); a grant
// has Requested above 0 even where it grants nothing (emptyGrantUnits).
func kindOfReply(account *accountState, reply record) replyKind {
	switch {
	case account.reportedPending == 0:
		return replyState
	case account.plan.MaxConcurrency > 0 && reply.LeaseS > 0 && reply.Slots == 0:
		return replyWaitQueue
	case reply.Requested > 0:
		return replyGrant
	}
	return replyState
}

// grantsPrefetch reports whether the reply grants units in advance: without a concurrency limit, where there
// are no slots, its lease time is for them.
func grantsPrefetch(account *accountState, reply record) bool {
	return account.plan.MaxConcurrency == 0 && reply.LeaseS > 0
}

// applyOwnerReply applies a reply of the account's owner.
func (g *Gateway) applyOwnerReply(account *accountState, reply record) {
	counted := g.applyOwnerView(account, reply)
	requeued := 0
	switch kindOfReply(account, reply) {
	case replyState:
	case replyWaitQueue:
		g.enterWaitQueue(account, reply.BackoffS)
	case replyGrant:
		requeued = g.applyGrant(account, reply, counted)
	}
	urgent := len(account.pending) > requeued // what was requeued is requested with the next batch
	g.applyPrefetch(account, reply, counted)
	account.ackedUnits = min(counted, account.admittedUnits)
	unused := counted > account.admittedUnits+account.prefetched
	if unused || len(account.pending) > 0 && account.reportedPending == 0 {
		g.queueReport(account, urgent)
	}
	switch {
	case account.reportedPending > 0:
	case len(account.pending) == 0:
		account.unansweredSince, account.unansweredReports = 0, 0
	default: // watched, so that what is not urgent isn't put off without end
		account.unansweredSince = g.now
		g.expectReply(account)
	}
}

// applyOwnerView takes over the owner's view of the account, and returns the units that the owner has counted
// or set aside for this gateway, as a total to compare with admittedUnits.
func (g *Gateway) applyOwnerView(account *accountState, reply record) (counted float64) {
	counted = account.admittedUnits + quota.TotalDelta(reply.Total-account.admittedUnits)
	account.ownerReplied, account.ackedUnits = true, counted
	account.available, account.availableAt = reply.Available, g.now
	account.otherDemand, account.otherInFlight = reply.Demand, reply.InFlight
	account.ownerLeases = reply.Leases && account.plan.MaxConcurrency > 0
	account.leasedSlots.DropExpired(g.now)
	account.leasedSlots.Add(g.now, reply.Slots, reply.LeaseS)
	return counted
}

// enterWaitQueue notes that the owner will lease slots to the reported requests as they come free, expected
// in waitS seconds. Requests for which that is too late are rejected at once.
func (g *Gateway) enterWaitQueue(account *accountState, waitS float64) {
	account.inWaitQueue, account.unansweredReports, account.unansweredSince = true, 0, g.now+waitS
	account.reportedPending = min(account.reportedPending, len(account.pending))
	unreported := len(account.pending) - account.reportedPending
	account.pending = slices.DeleteFunc(account.pending, func(req *request) bool {
		waits := req.phase != phaseCompleted && g.now+waitS <= req.latestFirstSend()
		if !waits {
			g.reject(req, reason.ConcurrencyLimit)
		}
		return !waits
	})
	if account.reportedPending = max(len(account.pending)-unreported, 0); account.reportedPending == 0 {
		account.inWaitQueue = false
		g.queueReport(account, true)
	}
}

// applyGrant decides the reported requests by the units that the owner has counted for this gateway. What a
// grant doesn't reach is requested again, as is what found the account at its concurrency limit without a
// backoff. It returns how many requests stay pending for that.
func (g *Gateway) applyGrant(account *accountState, reply record, counted float64) (requeued int) {
	account.inWaitQueue = false
	n := min(account.reportedPending, len(account.pending))
	if grantsPrefetch(account, reply) {
		n = len(account.pending) // units in advance are for requests that came meanwhile, too
	}
	account.reportedPending, account.unansweredReports = 0, 0
	account.backoffUntil = g.now + reply.BackoffS
	atLimit := account.plan.MaxConcurrency > 0 && reply.BackoffS == 0 &&
		account.inFlight+reply.InFlight >= account.plan.MaxConcurrency
	byGrant := resolution{
		fits:   func(req *request) bool { return account.admittedUnits+req.Units <= counted+epsilon },
		paid:   reply.SharedBucket,
		denial: reason.Denied,
	}
	if reply.Requested > emptyGrantUnits && counted > account.admittedUnits || atLimit {
		byGrant.requeue, byGrant.denial = true, reason.ConcurrencyLimit
	}
	requeued = g.resolvePending(account, n, byGrant)
	if reply.BackoffS > 0 {
		none := func(*request) bool { return false }
		g.resolvePending(account, len(account.pending), resolution{fits: none, denial: reason.OwnerBackoff})
	}
	return requeued
}

// applyPrefetch keeps units that the owner granted in advance. Under a hard limit only those count that its
// shared bucket paid.
func (g *Gateway) applyPrefetch(account *accountState, reply record, counted float64) {
	paid := reply.SharedBucket || account.plan.HardLimitRate <= 0
	if !grantsPrefetch(account, reply) || !paid || counted <= account.admittedUnits {
		return
	}
	account.prefetched, account.prefetchedUntil = counted-account.admittedUnits, g.now+reply.LeaseS
	if !slices.Contains(g.prefetching, account) {
		g.prefetching = append(g.prefetching, account)
	}
}

// returnPrefetched gives unused units back to their owners, once a tick.
func (g *Gateway) returnPrefetched() {
	g.prefetching = slices.DeleteFunc(g.prefetching, func(account *accountState) bool {
		expired := g.now >= account.prefetchedUntil
		if expired && account.prefetched > 0 {
			account.prefetched = 0
			g.queueReport(account, false)
		}
		return expired
	})
}
