package policy

import (
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
	"eiderspread/internal/decision/snapshot"
)

// A snapshot stores numbers without names, in the order of the snapshotFields lists. New numbers must go to
// the end of a list.

// snapshotFields returns the numbers of the gateway that a successor restores.
func (g *Gateway) snapshotFields() []*float64 {
	return []*float64{&g.admittedWork.Value, &g.admittedWork.UpdatedAt, &g.latencyRatio, &g.meanLatency}
}

// snapshotFields returns the numbers of a backend that a successor restores.
func (b *backendState) snapshotFields() []*float64 {
	return []*float64{&b.relativeLatency, &b.utilization, &b.utilizationAt, &b.meanInFlight, &b.lastSentAt}
}

// hardLimitFields is the number of snapshotFields at the front of an account's list that hold the buckets of
// its hard limit.
const hardLimitFields = 4

// snapshotFields returns the numbers of an account that a successor restores.
func (a *accountState) snapshotFields() []*float64 {
	return []*float64{
		&a.hardLimit.Local.Level, &a.hardLimit.Local.UpdatedAt,
		&a.hardLimit.Shared.Level, &a.hardLimit.Shared.UpdatedAt,
		&a.lastUsedAt, &a.rejectedAt, &a.admittedUnits, &a.ackedUnits, &a.demand.Value, &a.demand.UpdatedAt,
		&a.available, &a.availableAt, &a.otherDemand, &a.backoffUntil,
		&a.localWindow.Level, &a.localWindow.UpdatedAt,
	}
}

// Snapshot returns the gateway's state for a successor process, in parts. The buckets of hard limits pass to
// the successor: from now on, this gateway admits no request under a hard limit.
func (g *Gateway) Snapshot(now float64) []snapshot.Part {
	g.advanceClock(now)
	for _, req := range g.queue {
		if req.hardLimitUnpaid {
			g.reject(req, reason.HardLimitExhausted)
		}
	}
	part := snapshot.Part{Incarnation: g.incarnation, Sequence: g.sequence, StartedAt: g.startedAt,
		LimitPerBackend: g.adaptiveLimit / float64(max(1, len(g.backends.Listed))),
		Values:          snapshot.Values(g.snapshotFields()),
		Classes:         map[string][2]float64{}, Backends: map[string][]float64{}}
	for name, class := range g.classes {
		part.Classes[name] = [2]float64{class.meanLatency, float64(class.samples)}
	}
	for id, backend := range g.backends.ByID {
		part.Backends[id] = snapshot.Values(backend.snapshotFields())
	}
	parts := []snapshot.Part{part}
	for _, account := range g.accounts {
		parts = snapshot.AppendAccount(parts, account.snapshot())
		account.hardLimit.Local.Level, account.hardLimit.Shared.Level =
			snapshot.HandedOverLevel, snapshot.HandedOverLevel
		account.prefetched = 0
	}
	return parts
}

// snapshot returns the account's state for a successor.
func (a *accountState) snapshot() snapshot.Account {
	saved := snapshot.Account{
		Key:          a.key,
		Hash:         a.point,
		Plan:         a.plan.Name,
		FirstGateway: a.firstGateway,
		GatewayCount: a.gatewayCount,
		OwnerReplied: a.ownerReplied,
		HasInFlight:  a.inFlight > 0,
		Values:       snapshot.Values(a.snapshotFields()),
	}
	if a.ledger != nil {
		saved.Ledger, saved.Members = a.ledger.Snapshot()
	}
	return saved
}

// Restore applies a part of a snapshot that a predecessor of this process took, or this process itself if
// its successor failed. It is called for each part, after backends are listed and before the first request.
// Classes, backends and plans that are not configured here are ignored.
func (g *Gateway) Restore(now float64, part snapshot.Part) {
	g.advanceClock(now)
	g.slotLeasingFrom = now + slotlease.ReportLeaseS
	g.incarnation, g.startedAt = part.Incarnation, part.StartedAt
	g.sequence = max(g.sequence, part.Sequence+snapshot.SequenceMargin)
	g.adaptiveLimit = part.LimitPerBackend * float64(max(1, len(g.backends.Listed)))
	snapshot.Restore(g.snapshotFields(), part.Values)
	for name, values := range part.Classes {
		if class := g.classes[name]; class != nil {
			class.meanLatency, class.samples = values[0], int(values[1])
		}
	}
	for id, values := range part.Backends {
		if backend := g.backends.ByID[id]; backend != nil {
			snapshot.Restore(backend.snapshotFields(), values)
		}
	}
	for _, saved := range part.Accounts {
		g.restoreAccount(saved)
	}
}

// restoreAccount restores an account. If the account exists already, as requests have arrived in the
// meantime, it restores only the buckets of the hard limit.
func (g *Gateway) restoreAccount(saved snapshot.Account) {
	plan := g.plansByName[saved.Plan]
	if plan == nil || saved.GatewayCount < 0 || saved.GatewayCount > g.settings.Gateways {
		return
	}
	if account := g.accounts[accountKey{saved.Key, uint32(plan.index)}]; account != nil {
		snapshot.Restore(account.snapshotFields()[:hardLimitFields], saved.Values)
		return
	}
	account := g.newAccount(saved.Key, plan)
	account.point = saved.Hash
	account.firstGateway, account.gatewayCount = saved.FirstGateway, saved.GatewayCount
	account.ownerReplied = saved.OwnerReplied
	snapshot.Restore(account.snapshotFields(), saved.Values)
	if account.gatewayCount > 0 {
		account.primaryOwner = g.findOwner(account, false)
	}
	if saved.Ledger != nil {
		account.ledger = quota.RestoreLedger(saved.Ledger, saved.Members)
	}
	if saved.HasInFlight || account.admittedUnits != account.ackedUnits {
		g.queueReport(account, false)
	}
}
