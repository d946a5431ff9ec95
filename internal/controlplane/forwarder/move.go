package forwarder

import (
	"maps"
	"slices"

	"eiderspread/internal/base/snapshot"
	"eiderspread/internal/controlplane/cordon"
)

// What a forwarder hands to the process that goes on for it, and how it takes its requests back if that one dies. The rules are in
// docs/forwarder-replacement.md: to requests a replacement is a change of leaders, to promises it is nothing, and a promise that was
// handed on is never taken back.

// Migrate stops following every leader and returns all that is known. From then on this core promises nothing and decides nothing: it
// writes down what becomes of its requests, for Reclaim.
func (c *Core) Migrate(now float64) snapshot.ForwarderState {
	c.now = now
	clear(c.planners) // their links end: what a leader knew to be out counts there until the new process says better
	for i := range c.cells {
		c.becomeLeaderless(i)
	}
	c.handedOver = true
	transferred := snapshot.ForwarderState{LastHandle: c.lastHandle, LossyAt: c.usage.incompleteAt, Cordons: map[string]snapshot.Cordon{}}
	for i := range c.cells {
		cell := &c.cells[i]
		transferred.Cells = append(transferred.Cells, snapshot.CellPromise{Epoch: cell.epoch, Holder: cell.holder, Incarnation: cell.incarnation, PromisedUntil: cell.promisedUntil})
		cell.waiting = nil
	}
	c.cordons.Each(func(id string, state cordon.State) {
		transferred.Cordons[id] = snapshot.Cordon{Version: state.Version, Held: state.Cordoned}
	})
	c.usage.each(now, func(account string, usage windowUsage) {
		transferred.UsageReports = append(transferred.UsageReports, snapshot.UsageReport{Account: account, Plan: usage.plan, Epoch: usage.epoch, Sequence: usage.seq, Debt: usage.debt, ReportedAt: usage.at})
	})
	for _, request := range c.requestsByID() {
		transferred.Requests = append(transferred.Requests, snapshot.OpenRequest{Request: request.Request, ReceivedAt: request.receivedAt, SentAt: slices.Clone(request.sentAt), AttemptDone: slices.Clone(request.attemptDone),
			UnitsCounted: request.unitsCounted, MayHaveRun: request.mayHaveRun, FirstRunAt: request.firstRunAt, Completed: request.completed})
	}
	return transferred
}

// Resume goes on with what the process before knew; call it before the first link. It tells whether promises went over: those of a
// fleet cut into other cells do not, and nothing is promised for a lease then.
func (c *Core) Resume(now float64, transferred snapshot.ForwarderState) bool {
	c.now = now
	same := len(transferred.Cells) == len(c.cells)
	for i := range c.cells {
		if cell := &c.cells[i]; same {
			promise := transferred.Cells[i]
			cell.epoch, cell.holder, cell.incarnation, cell.promisedUntil = promise.Epoch, promise.Holder, promise.Incarnation, promise.PromisedUntil
		} else {
			cell.promisedUntil = now + c.cfg.LeaseS
		}
		c.cells[i].leaderlessSince = now
	}
	c.lastHandle, c.disconnectedAt, c.usage.incompleteAt = transferred.LastHandle, now, transferred.LossyAt
	if !same {
		c.usage.incompleteAt = now
	}
	for _, report := range transferred.UsageReports {
		c.usage.record(report.Account, windowUsage{report.Plan, report.Epoch, report.Sequence, report.Debt, report.ReportedAt})
	}
	for _, id := range slices.Sorted(maps.Keys(transferred.Cordons)) {
		if _, changed := c.cordons.Merge(id, cordon.State{Version: transferred.Cordons[id].Version, Cordoned: transferred.Cordons[id].Held}); changed {
			c.out.SetCordoned(id, transferred.Cordons[id].Held)
		}
	}
	for _, saved := range transferred.Requests {
		c.restoreRequest(saved)
	}
	return same
}

// restoreRequest takes one request over. What is out goes on; what has nothing out waits for a leader.
func (c *Core) restoreRequest(saved snapshot.OpenRequest) {
	class, knownClass := c.classIndex[saved.Class]
	plan, knownPlan := c.planIndex[saved.Plan]
	if !knownClass || !knownPlan || len(saved.SentAt) != len(saved.AttemptDone) || c.requests[saved.ID] != nil || len(c.requests) >= maxOpenRequests {
		c.out.Fail(saved.ID)
		return
	}
	request := &openRequest{Request: saved.Request, class: class, plan: plan, cellID: c.cfg.CellOf(saved.Account), receivedAt: saved.ReceivedAt, waitingSince: c.now,
		sentAt: saved.SentAt, attemptDone: saved.AttemptDone, unitsCounted: saved.UnitsCounted, mayHaveRun: saved.MayHaveRun, firstRunAt: saved.FirstRunAt, completed: saved.Completed}
	for _, done := range saved.AttemptDone {
		request.inFlight += b2i(!done)
	}
	c.requests[request.ID] = request
	c.addOrphans(request)
	if !request.completed && request.inFlight == 0 {
		c.dispatch(request)
	}
	c.releaseIfDone(request)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addOrphans counts what is out of a request that no leader knows.
func (c *Core) addOrphans(request *openRequest) {
	if request.inFlight > 0 {
		c.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + request.inFlight}
	}
}

// RecordOrder writes down what the process that goes on for this one has decided for a request.
func (c *Core) RecordOrder(now float64, order snapshot.Order) {
	c.now = now
	request := c.requests[order.ID]
	if !c.handedOver || request == nil {
		return
	}
	switch order.Kind {
	case snapshot.OrderSend:
		if !request.completed {
			request.sentAt, request.attemptDone, request.unitsCounted = append(request.sentAt, now), append(request.attemptDone, false), true
			request.inFlight++
			c.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + 1}
		}
	case snapshot.OrderReject, snapshot.OrderFail:
		request.completed = true
		c.releaseIfDone(request)
	}
}

// Reclaim goes on after the process that went on for this one has ended. Requests are as they were left. Promises are not: that one may
// have given others since, so nothing is promised for a lease, as after a start, and tales are not complete.
func (c *Core) Reclaim(now float64) {
	c.now, c.handedOver, c.disconnectedAt = now, false, now
	for i := range c.cells {
		c.cells[i] = cellState{holder: -1, requester: -1, promisedUntil: now + c.cfg.LeaseS, leaderlessSince: now}
	}
	c.usage.incompleteAt = now
	clear(c.planners)
	clear(c.orphans)
	for _, request := range c.requestsByID() {
		c.addOrphans(request)
		if !request.completed && request.inFlight == 0 {
			c.dispatch(request)
		}
		c.releaseIfDone(request)
	}
}

// requestsByID are the open requests by id.
func (c *Core) requestsByID() (requests []*openRequest) {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		requests = append(requests, c.requests[id])
	}
	return requests
}
