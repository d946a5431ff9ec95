package policy

import (
	"slices"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

const (
	quotaReplyTimeoutS  = 0.08 // seconds after which a quota request without a reply is sent again
	reportReplyTimeoutS = 0.3  // seconds after which a report without a reply is sent again if no request waits
)

// availableAsMember returns the units in the owner's window, as a member estimates them from the owner's last
// reply. A gateway that was the owner so far replaces its ledger by a member's state first.
func (g *Gateway) availableAsMember(account *accountState) float64 {
	if account.ledger != nil {
		account.available, account.availableAt = g.ledger(account).Available, g.now
		account.ownerReplied, account.ackedUnits, account.ledger = true, account.admittedUnits, nil
	}
	return min(account.plan.Burst, account.available+account.plan.Rate*(g.now-account.availableAt)) -
		max(account.admittedUnits-account.ackedUnits, 0)
}

// requestQuota holds a request until its account's owner has replied. The account's first pending request has
// a report sent at once; later requests are included in the next report.
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

// rejectUnanswered rejects a request that still waits for the owner when it is too late to send it, and
// reports whether it did.
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

// queueReport queues a report of the account to its owner. The report is sent with the next batch or, if it
// is urgent, as soon as the message rate allows.
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

// flushReports sends the reports that are due, at memberReportFraction of the peer message rate at most.
func (g *Gateway) flushReports() {
	g.reports.Flush(g.now, g.settings.PeerMessageRate*memberReportFraction, g.sendReports)
}

// sendReports sends an owner the reports of as many accounts as one message holds. It returns how many
// accounts, from the front, were reported or need no report any more.
func (g *Gateway) sendReports(owner int, accounts []*accountState) (done int) {
	message := g.messageHeader()
	for _, account := range accounts {
		if len(message)+peerprotocol.RecordLen > peerprotocol.MaxLen {
			break
		}
		done++
		if account.reportTo != owner || !account.reportQueued {
			continue // the owner has changed, or an earlier message contained the report
		}
		account.reportQueued = false
		account.lastUsedAt = g.now
		message = peerprotocol.AppendRecord(message, g.memberReport(account))
	}
	g.sendMessage(owner, message)
	return done
}

// memberReport returns the account's report to its owner. It starts the wait for a reply, unless the report
// is of slots alone, to which the owner doesn't reply.
func (g *Gateway) memberReport(account *accountState) record {
	available := g.availableAsMember(account) // first, as it changes the state of a former owner
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

// expectReply adds the account to those that handleUnanswered checks.
func (g *Gateway) expectReply(account *accountState) {
	if !account.awaitingReply {
		account.awaitingReply = true
		g.awaitingReply = append(g.awaitingReply, account)
	}
}

// handleUnanswered checks the accounts whose reports wait for a reply. It is called once a tick.
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

// replyOverdue reports whether the owner's reply is overdue. A stall of this process restarts the timeout, as
// it does not show that the owner is silent.
func (g *Gateway) replyOverdue(account *accountState) bool {
	timeoutS := reportReplyTimeoutS
	if len(account.pending) > 0 {
		timeoutS = quotaReplyTimeoutS
	}
	return account.unansweredSince > 0 && g.now-max(account.unansweredSince, g.resumedAt) > timeoutS
}

// handleMissingReply queues the report again, to another owner if the failure detector now suspects the
// former one. If more reports in a row than the detector's threshold stay unanswered, the local window
// decides the pending requests.
func (g *Gateway) handleMissingReply(account *accountState) {
	if !account.reportQueued && !account.inWaitQueue { // the report was sent and is not acknowledged
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
	fits := func(req *request) bool { return g.takeFromLocalWindow(account, req.Units) }
	options := resolveOptions{fits: fits, requeue: true, denial: reason.ConcurrencyLimit}
	if g.resolvePending(account, len(account.pending), options) > 0 {
		g.queueReport(account, true)
		account.unansweredSince = g.now
	}
}

// takeFromLocalWindow takes units from the account's local window, if the window holds them, and reports
// whether it did. The local window is this gateway's share of rate and burst, as the other gateways may still
// serve the account. Its burst is at least the largest request, so that with many gateways the local windows
// together exceed the plan's burst.
func (g *Gateway) takeFromLocalWindow(account *accountState, units float64) bool {
	plan, gateways := account.plan, float64(account.gatewayCount)
	if plan.MaxConcurrency > 0 && account.inFlight+account.otherInFlight >= plan.MaxConcurrency {
		return false
	}
	burst := max(plan.Burst/gateways, float64(g.settings.MaxRequestUnits))
	account.localWindow.Refill(g.now, plan.Rate/gateways, burst)
	if plan.Rate > 0 && units > min(account.localWindow.Level, g.availableAsMember(account)) {
		return false
	}
	account.localWindow.Level -= units
	return true
}

// resolveOptions define how resolvePending decides requests.
type resolveOptions struct {
	fits    func(*request) bool // called once for each request; units that it takes are not returned
	paid    bool                // the hard limit's shared bucket has paid for the requests that fit
	requeue bool                // requests that are not admitted are requested again if mayRequeue allows it
	denial  reason.Reason       // for requests that neither fit nor are requested again
}

// resolvePending decides the first n pending requests, and returns how many of them stay pending.
func (g *Gateway) resolvePending(account *accountState, n int, options resolveOptions) (requeued int) {
	decided, rest := account.pending[:n], slices.Clone(account.pending[n:])
	account.pending = nil
	for _, req := range decided {
		if req.phase == phaseCompleted {
			continue
		}
		switch fits := options.fits(req); {
		case fits && (options.paid || g.hardLimitCoversInTime(req)):
			g.chargeAdmission(req, options.paid)
			g.dispatch(req)
		case options.requeue && g.mayRequeue(account, fits):
			account.pending = append(account.pending, req)
		case fits:
			g.reject(req, reason.HardLimitUnpaidGrant)
		default:
			g.reject(req, options.denial)
		}
	}
	requeued = len(account.pending)
	account.pending = append(account.pending, rest...)
	return requeued
}

// mayRequeue reports whether a request that could not be admitted may be requested again. A request that fits
// was not admitted because of the hard limit alone; only the primary owner's shared bucket can still pay for
// it. Under a concurrency limit, at most MaxConcurrency requests are requested again.
func (g *Gateway) mayRequeue(account *accountState, fits bool) bool {
	if fits && g.owner(account) != account.primaryOwner {
		return false
	}
	return account.plan.MaxConcurrency == 0 || len(account.pending) < account.plan.MaxConcurrency
}

// replyKind is what an owner's reply means for the requests that the member reported as pending.
type replyKind uint8

const (
	replyState     replyKind = iota // no decision: the reply only reports the owner's view of the account
	replyWaitQueue                  // the owner leases slots to the pending requests as slots become free
	replyGrant                      // the granted units, possibly none, decide the pending requests
)

// String returns the kind's name.
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

// kindOfReply derives the kind of a reply from its fields, as the wire format has no field for it. Under a
// concurrency limit, a lease time without slots means a place in the wait queue (enqueueMember). A grant has
// Requested above 0 even if it grants nothing (emptyGrantUnits).
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

// grantsPrefetch reports whether the reply grants units in advance. Without a concurrency limit there are no
// slots, and the reply's lease time is that of the units.
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
	urgent := len(account.pending) > requeued // requeued requests alone wait for the next batch
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
	default: // expect a reply, so that a report that isn't urgent is not delayed forever
		account.unansweredSince = g.now
		g.expectReply(account)
	}
}

// applyOwnerView stores the owner's view of the account, and returns the total of units that the owner has
// counted or set aside for this gateway. The total is comparable to admittedUnits.
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

// enterWaitQueue records that the owner will lease slots to the reported requests as slots become free,
// expected in waitS seconds. It rejects pending requests that can't wait that long.
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

// applyGrant decides the reported requests by counted, the units that the owner has counted for this gateway.
// Requests that a partial grant does not cover are requested again, and so are requests that were denied at
// the concurrency limit without a backoff. It returns how many requests stay pending to be requested again.
// With a backoff, the requests that were not admitted are rejected.
func (g *Gateway) applyGrant(account *accountState, reply record, counted float64) (requeued int) {
	account.inWaitQueue = false
	n := min(account.reportedPending, len(account.pending))
	if grantsPrefetch(account, reply) {
		n = len(account.pending) // prefetched units also cover requests that arrived after the report
	}
	account.reportedPending, account.unansweredReports = 0, 0
	account.backoffUntil = g.now + reply.BackoffS
	atLimit := account.plan.MaxConcurrency > 0 && reply.BackoffS == 0 &&
		account.inFlight+reply.InFlight >= account.plan.MaxConcurrency
	options := resolveOptions{
		fits:   func(req *request) bool { return account.admittedUnits+req.Units <= counted+epsilon },
		paid:   reply.SharedBucket,
		denial: reason.Denied,
	}
	if reply.Requested > emptyGrantUnits && counted > account.admittedUnits || atLimit {
		options.requeue, options.denial = true, reason.ConcurrencyLimit
	}
	requeued = g.resolvePending(account, n, options)
	if reply.BackoffS > 0 {
		none := func(*request) bool { return false }
		g.resolvePending(account, len(account.pending), resolveOptions{fits: none, denial: reason.OwnerBackoff})
	}
	return requeued
}

// applyPrefetch stores the units that the owner granted in advance. Under a hard limit it ignores units that
// the shared bucket has not paid for.
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

// returnPrefetched returns unused prefetched units to their owners when they expire. It is called once a
// tick.
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
