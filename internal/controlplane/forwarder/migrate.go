package forwarder

import (
	"maps"
	"slices"

	"eiderspread/internal/controlplane/cordon"
	"eiderspread/internal/decision/snapshot"
)

// When a new process replaces this one, it takes over the whole state of the core. The requests' sockets stay in this process until the
// requests have ended. For requests, a replacement is a change of leaders. Promises continue unchanged, and a promise that was handed over is
// never taken back. docs/forwarder-replacement.md gives the rules.

// Migrate stops following every leader and returns the state for the new process. From then on this core grants no promises and decides
// nothing. It only records the outcomes of its requests, for Reclaim.
func (c *Core) Migrate(now float64) snapshot.ForwarderState {
	c.now = now
	clear(c.planners) // the links end; planners keep counting attempts in flight until the new process reports them
	for i := range c.cells {
		c.becomeLeaderless(i)
	}
	c.migrated = true
	state := snapshot.ForwarderState{LastHandle: c.lastHandle, IncompleteAt: c.usage.incompleteAt, Cordons: map[string]snapshot.Cordon{}}
	for i := range c.cells {
		cell := &c.cells[i]
		cell.waiting = nil
		state.Cells = append(state.Cells, snapshot.CellPromise{Epoch: cell.epoch, Holder: cell.holder, Incarnation: cell.incarnation,
			PromisedUntil: cell.until})
	}
	c.cordons.Each(func(id string, register cordon.State) {
		state.Cordons[id] = snapshot.Cordon{Version: register.Version, Cordoned: register.Cordoned}
	})
	c.usage.each(now, func(account string, usage windowUsage) {
		state.UsageReports = append(state.UsageReports, snapshot.UsageReport{Account: account, Plan: usage.plan, Epoch: usage.epoch,
			Sequence: usage.seq, Debt: usage.debt, ReportedAt: usage.receivedAt})
	})
	for _, request := range c.requestsByID() {
		state.Requests = append(state.Requests, request.snapshot())
	}
	return state
}

func (r *openRequest) snapshot() snapshot.OpenRequest {
	saved := snapshot.OpenRequest{Request: r.Request, ReceivedAt: r.receivedAt, UnitsCounted: r.unitsCounted, MayHaveRun: r.mayHaveRun,
		FirstRunAt: r.firstRunAt, Completed: r.completed}
	for _, attempt := range r.attempts {
		saved.SentAt = append(saved.SentAt, attempt.sentAt)
		saved.AttemptDone = append(saved.AttemptDone, attempt.ended)
	}
	return saved
}

// Resume restores the state of the predecessor. It must be called before the first LinkUp. It reports whether the promises were restored: if
// the predecessor had a different number of cells, they are not, and no promise is granted for one lease.
func (c *Core) Resume(now float64, state snapshot.ForwarderState) bool {
	c.now, c.disconnectedAt, c.lastHandle = now, now, state.LastHandle
	sameCells := len(state.Cells) == len(c.cells)
	for i := range c.cells {
		cell := &c.cells[i]
		cell.leaderlessSince = now
		if sameCells {
			saved := state.Cells[i]
			cell.promise = promise{epoch: saved.Epoch, holder: saved.Holder, incarnation: saved.Incarnation, until: saved.PromisedUntil}
		} else {
			cell.until = now + c.cfg.LeaseS
		}
	}
	c.usage.incompleteAt = state.IncompleteAt
	if !sameCells {
		c.usage.incompleteAt = now
	}
	for _, report := range state.UsageReports {
		c.usage.record(report.Account, windowUsage{plan: report.Plan, epoch: report.Epoch, seq: report.Sequence, debt: report.Debt,
			receivedAt: report.ReportedAt})
	}
	for _, id := range slices.Sorted(maps.Keys(state.Cordons)) {
		saved := state.Cordons[id]
		if _, changed := c.cordons.Merge(id, cordon.State{Version: saved.Version, Cordoned: saved.Cordoned}); changed {
			c.out.SetCordoned(id, saved.Cordoned)
		}
	}
	for _, saved := range state.Requests {
		c.restoreRequest(saved)
	}
	return sameCells
}

// restoreRequest restores a request of the predecessor. It fails a request whose class or plan is not in the current settings, whose record is
// inconsistent, whose id is already in use, or that comes after maxOpenRequests others.
func (c *Core) restoreRequest(saved snapshot.OpenRequest) {
	class, knownClass := c.classIndex[saved.Class]
	plan, knownPlan := c.planIndex[saved.Plan]
	if !knownClass || !knownPlan || len(saved.SentAt) != len(saved.AttemptDone) || c.requests[saved.ID] != nil || len(c.requests) >= maxOpenRequests {
		c.out.Fail(saved.ID)
		return
	}
	request := &openRequest{
		Request:      saved.Request,
		class:        class,
		plan:         plan,
		cellID:       c.cfg.CellOf(saved.Account),
		receivedAt:   saved.ReceivedAt,
		waitingSince: c.now,
		unitsCounted: saved.UnitsCounted,
		mayHaveRun:   saved.MayHaveRun,
		firstRunAt:   saved.FirstRunAt,
		completed:    saved.Completed,
	}
	for i, ended := range saved.AttemptDone {
		request.attempts = append(request.attempts, attempt{saved.SentAt[i], ended})
		if !ended {
			request.inFlight++
		}
	}
	c.requests[request.ID] = request
	c.continueRequest(request)
}

// continueRequest continues a request that no leader knows. Its attempts in flight count as orphaned; a request with nothing in flight is
// dispatched again.
func (c *Core) continueRequest(request *openRequest) {
	c.addOrphans(request)
	if !request.completed && request.inFlight == 0 {
		c.dispatch(request)
	}
	c.releaseIfDone(request)
}

// RecordOrder records what the new process has decided about a request of this process.
func (c *Core) RecordOrder(now float64, order snapshot.Order) {
	c.now = now
	request := c.requests[order.ID]
	if !c.migrated || request == nil {
		return
	}
	switch order.Kind {
	case snapshot.OrderSend:
		if !request.completed {
			request.startAttempt(now)
			c.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + 1}
		}
	case snapshot.OrderReject, snapshot.OrderFail:
		request.completed = true
		c.releaseIfDone(request)
	}
}

// Reclaim continues the requests after the new process has died. It does not take the promises back, because the new process may have
// granted others since. No promise is granted for one lease, as after a start, and usage reports are marked incomplete.
func (c *Core) Reclaim(now float64) {
	c.now, c.disconnectedAt = now, now
	c.migrated = false
	c.resetPromises()
	c.usage.incompleteAt = now
	clear(c.planners)
	clear(c.orphans)
	for _, request := range c.requestsByID() {
		c.continueRequest(request)
	}
}
