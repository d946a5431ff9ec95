package policy

import (
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
	"eiderspread/internal/decision/snapshot"
)

// The state that goes to a successor process. Numbers are stored by their order in the snapshotFields lists:
// new ones go to the end.

// snapshotFields are the numbers of the gateway that a successor takes over.
func (g *Gateway) snapshotFields() []*float64 {
	return []*float64{&g.admittedWork.Value, &g.admittedWork.UpdatedAt, &g.latencyRatio, &g.meanLatency}
}

// snapshotFields are the numbers of a backend that a successor takes over.
func (b *backendState) snapshotFields() []*float64 {
	return []*float64{&b.relativeLatency, &b.utilization, &b.utilizationAt, &b.meanInFlight, &b.lastSentAt}
}

// hardLimitFields is how many of an account's snapshotFields, from the first on, are its hard limit's
// buckets.
const hardLimitFields = 4

// snapshotFields are the numbers of an account that a successor takes over.
func (a *accountState) snapshotFields() []*float64 {
	return []*float64{
		&a.hardLimit.Local.Level, &a.hardLimit.Local.UpdatedAt,
		&a.hardLimit.Shared.Level, &a.hardLimit.Shared.UpdatedAt,
		&a.lastUsedAt, &a.rejectedAt, &a.admittedUnits, &a.ackedUnits, &a.demand.Value, &a.demand.UpdatedAt,
		&a.available, &a.availableAt, &a.otherDemand, &a.backoffUntil,
		&a.localWindow.Level, &a.localWindow.UpdatedAt,
	}
}

// Snapshot returns the state for a successor process, in parts. From then on this gateway admits nothing
// under a hard limit: its buckets are the successor's.
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
		account.hardLimit.Local.Level, account.hardLimit.Shared.Level = snapshot.NoCapacity, snapshot.NoCapacity
		account.prefetched = 0
	}
	return parts
}

// snapshot is the account as a successor takes it over.
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

// Restore takes over a part of the snapshot of another process of this gateway, or of its own if the
// successor failed. It is called for each part, once backends are listed and before the first request. What a
// part names that is not configured is ignored.
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

// restoreAccount takes over an account. Of one that is known already, as requests came meanwhile, it takes
// the hard limit's buckets alone.
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
