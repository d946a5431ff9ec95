package policy

import (
	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/decision/quota"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/decision/slotlease"
)

// What a gateway knows, handed to the one that goes on for it in another process. It is bookkeeping: nothing is decided.

func (g *Gateway) snapshotFields() []*float64 {
	return []*float64{&g.admittedWork.Value, &g.admittedWork.UpdatedAt, &g.latencyRatio, &g.meanLatency}
}
func (b *backendState) snapshotFields() []*float64 {
	return []*float64{&b.relativeLatency, &b.utilization, &b.utilizationAt, &b.meanInFlight, &b.lastSentAt}
}
func (a *accountState) snapshotFields() []*float64 { // the ceiling's first
	return []*float64{&a.hardLimit.Local.Level, &a.hardLimit.Local.UpdatedAt, &a.hardLimit.Shared.Level, &a.hardLimit.Shared.UpdatedAt, &a.lastUsedAt, &a.rejectedAt, &a.admittedUnits, &a.ackedUnits, &a.demand.Value,
		&a.demand.UpdatedAt, &a.available, &a.availableAt, &a.otherDemand, &a.backoffUntil, &a.localWindow.Level, &a.localWindow.UpdatedAt}
}

// Snapshot returns all that is to be handed on. This gateway passes nothing more under a ceiling: what is left is the other's.
func (g *Gateway) Snapshot(now float64) (parts []snapshot.Part) {
	g.advanceClock(now)
	for _, req := range g.queue { // nothing here will pay for them
		if req.hardLimitUnpaid {
			g.reject(req, reason.HardLimitExhausted)
		}
	}
	part := snapshot.Part{Incarnation: g.incarnation, Sequence: g.sequence, StartedAt: g.startedAt, LimitPerBackend: g.adaptiveLimit / float64(max(1, len(g.backends.Listed))), Figures: snapshot.Values(g.snapshotFields()),
		Classes: map[string][2]float64{}, Backends: map[string][]float64{}}
	for name, class := range g.classes {
		part.Classes[name] = [2]float64{class.meanLatency, float64(class.samples)}
	}
	for id, backend := range g.backends.ByID {
		part.Backends[id] = snapshot.Values(backend.snapshotFields())
	}
	parts = []snapshot.Part{part}
	for _, account := range g.accounts {
		saved := snapshot.Account{Key: account.key, Hash: account.hash, Plan: account.plan.Name, FirstGateway: account.firstGateway, GatewayCount: account.gatewayCount, OwnerReplied: account.ownerReplied,
			HasInFlight: account.inFlight > 0, Figures: snapshot.Values(account.snapshotFields())}
		if account.ledger != nil {
			saved.Ledger, saved.Members = account.ledger.Snapshot()
		}
		parts = snapshot.AppendAccount(parts, saved)
		account.hardLimit.Local.Level, account.hardLimit.Shared.Level, account.prefetched = snapshot.NoCapacity, snapshot.NoCapacity, 0
	}
	return parts
}

// Restore goes on with what another gateway of this number handed on, once servers are listed and before the first request;
// or takes its own back.
func (g *Gateway) Restore(now float64, part snapshot.Part) {
	g.advanceClock(now)
	g.leaseFrom = now + slotlease.ReportLeaseS
	g.incarnation, g.sequence, g.startedAt = part.Incarnation, max(g.sequence, part.Sequence+snapshot.SequenceMargin), part.StartedAt
	g.adaptiveLimit = part.LimitPerBackend * float64(max(1, len(g.backends.Listed)))
	snapshot.Restore(g.snapshotFields(), part.Figures)
	for name, f := range part.Classes {
		if class := g.classes[name]; class != nil {
			class.meanLatency, class.samples = f[0], int(f[1])
		}
	}
	for id, f := range part.Backends {
		if backend := g.backends.ByID[id]; backend != nil {
			snapshot.Restore(backend.snapshotFields(), f)
		}
	}
	for _, saved := range part.Accounts {
		plan := g.plansByName[saved.Plan]
		if plan == nil || saved.GatewayCount < 0 || saved.GatewayCount > g.settings.Gateways {
			continue
		} else if account := g.accounts[accountKey{saved.Key, uint32(plan.index)}]; account != nil {
			snapshot.Restore(account.snapshotFields()[:4], saved.Figures)
			continue
		}
		account := g.newAccount(saved.Key, plan)
		account.hash, account.firstGateway, account.gatewayCount, account.ownerReplied = saved.Hash, saved.FirstGateway, saved.GatewayCount, saved.OwnerReplied
		if snapshot.Restore(account.snapshotFields(), saved.Figures); account.gatewayCount > 0 {
			account.primaryOwner = g.walkRing(account, false)
		}
		if saved.Ledger != nil {
			account.ledger = quota.RestoreLedger(saved.Ledger, saved.Members)
		}
		if saved.HasInFlight || account.admittedUnits != account.ackedUnits {
			g.queueReport(account, false)
		}
	}
}
