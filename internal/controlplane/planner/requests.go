package planner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"eiderspread/internal/controlplane/transport"
	"eiderspread/policy"
)

// openRequest is a request that a forwarder has submitted. It is kept until it is completed and none of its attempts is in flight.
type openRequest struct {
	forwarder int
	handle    uint64 // chosen by the forwarder for this submission
	cellID    int
	moduleID  string // the request's id in the module; see moduleID
	account   string
	plan      int     // index into the settings
	units     float64 // 0 if an earlier submission has counted them
	attempts  []attempt
	inFlight  int  // attempts that have not ended
	completed bool // no decision is needed any more, or the final one has been sent
}

// attempt is an attempt that the module has started.
type attempt struct {
	backend string
	ended   bool
}

// handleBase is the number base of handles in module ids.
const handleBase = 36

// moduleID returns the id of a request in the decision module. It contains the forwarder's number, because two forwarders may use the same
// handle, and their clients the same request id.
func moduleID(forwarder int, handle uint64) string {
	return strconv.Itoa(forwarder) + "/" + strconv.FormatUint(handle, handleBase)
}

func parseModuleID(id string) (forwarder int, handle uint64, ok bool) {
	left, right, found := strings.Cut(id, "/")
	if !found {
		return 0, 0, false
	}
	forwarder, err := strconv.Atoi(left)
	if err != nil {
		return 0, 0, false
	}
	handle, err = strconv.ParseUint(right, handleBase, 64)
	return forwarder, handle, err == nil
}

// handleRequest handles a request that a forwarder submits. It ignores requests for a cell or epoch that this planner does not lead; the
// forwarder submits them again to the next leader.
func (c *Core) handleRequest(forwarder int, msg *transport.Message) {
	cell := c.leadingCell(int(msg.Cell), msg.Epoch)
	if cell == nil || int(msg.Class) >= len(c.cfg.Settings.Classes) || int(msg.Plan) >= len(c.cfg.Settings.Plans) ||
		c.requests[forwarder][msg.Handle] != nil {
		return
	}
	cellID, planIndex := int(msg.Cell), int(msg.Plan)
	c.Stats.Requests++
	c.applyCounts(cellID, cell.windows.initialCounts(c.now, msg.Name, planIndex))
	request := &openRequest{forwarder: forwarder, handle: msg.Handle, cellID: cellID, moduleID: moduleID(forwarder, msg.Handle),
		account: msg.Name, plan: planIndex, units: msg.Units}
	c.requests[forwarder][msg.Handle] = request
	cell.module.HandleRequest(c.now, policy.Request{
		ID:           request.moduleID,
		Class:        c.cfg.Settings.Classes[msg.Class].Name,
		Plan:         c.cfg.Settings.Plans[planIndex].Name,
		Account:      msg.Name,
		DeadlineAt:   c.now + msg.DurationS,
		FirstGateway: cellID,
		GatewayCount: 1,
		Units:        msg.Units,
		Retry:        msg.Flag,
	})
	c.releaseIfDone(request)
}

// handleOutcome handles a forwarder's report that an attempt has ended.
func (c *Core) handleOutcome(forwarder int, msg *transport.Message) {
	request := c.requests[forwarder][msg.Handle]
	number := int(msg.Number)
	if request == nil || number >= len(request.attempts) || request.attempts[number].ended || msg.Class > uint8(policy.NotSent) {
		return
	}
	cell := c.leadingCell(request.cellID, c.cells[request.cellID].epoch)
	if cell == nil {
		return
	}
	request.attempts[number].ended = true
	request.inFlight--
	status := policy.Status(msg.Class)
	request.completed = request.completed || msg.Flag || status == policy.OK
	cell.module.HandleOutcome(c.now, policy.Outcome{ID: request.moduleID, Backend: request.attempts[number].backend, Attempt: number,
		Status: status, Completed: msg.Flag, LatencyS: msg.DurationS, Load: loadReport(msg)})
	c.releaseIfDone(request)
}

// handleWithdraw abandons a request that the forwarder submits to another leader instead.
func (c *Core) handleWithdraw(forwarder int, msg *transport.Message) {
	request := c.requests[forwarder][msg.Handle]
	if request != nil && c.leadingCell(request.cellID, c.cells[request.cellID].epoch) != nil {
		c.abandonRequest(request)
	}
}

// disconnectRequest completes a request whose client has disconnected. Its attempts may still be in flight.
func (c *Core) disconnectRequest(forwarder int, handle uint64) {
	request := c.requests[forwarder][handle]
	if request == nil {
		return
	}
	cell := c.leadingCell(request.cellID, c.cells[request.cellID].epoch)
	if cell == nil {
		return
	}
	if !request.completed {
		request.completed = true
		cell.module.HandleDisconnect(c.now, request.moduleID)
	}
	c.releaseIfDone(request)
}

// abandonRequest removes a request for which the forwarder sends no further messages. It reports the request's open attempts to the
// module as cancelled.
func (c *Core) abandonRequest(request *openRequest) {
	delete(c.requests[request.forwarder], request.handle)
	module := c.cells[request.cellID].module
	if module == nil {
		return
	}
	if !request.completed {
		request.completed = true
		module.HandleDisconnect(c.now, request.moduleID)
	}
	for i := range request.attempts {
		if attempt := &request.attempts[i]; !attempt.ended {
			attempt.ended = true
			module.HandleOutcome(c.now, policy.Outcome{ID: request.moduleID, Backend: attempt.backend, Attempt: i,
				Status: policy.Cancelled, Completed: true})
		}
	}
}

// orphanRequests abandons all requests of a forwarder whose link has ended, and counts their in-flight attempts as orphaned.
func (c *Core) orphanRequests(forwarder int) {
	requests := slices.SortedFunc(maps.Values(c.requests[forwarder]), func(a, b *openRequest) int { return cmp.Compare(a.handle, b.handle) })
	inFlight := map[string]int{} // by account
	for _, request := range requests {
		inFlight[request.account] += request.inFlight
		c.abandonRequest(request)
	}
	for _, request := range requests {
		cell, attempts := &c.cells[request.cellID], inFlight[request.account]
		if cell.module == nil || attempts == 0 {
			continue
		}
		c.applyCounts(request.cellID, cell.windows.setOrphans(c.now, forwarder, request.account, request.plan, attempts))
		inFlight[request.account] = 0
	}
}

// releaseIfDone removes a request that is completed and has no attempt in flight.
func (c *Core) releaseIfDone(request *openRequest) {
	if request.completed && request.inFlight == 0 && c.requests[request.forwarder][request.handle] == request {
		delete(c.requests[request.forwarder], request.handle)
	}
}

// loadReport returns the backend load report contained in a message, or nil if there is none.
func loadReport(msg *transport.Message) *policy.Load {
	if !msg.HasLoad {
		return nil
	}
	load := msg.Load
	return &policy.Load{InFlight: load[0], Queue: load[1], Utilization: load[2], ServiceMS: load[3], ServedPerS: load[4], FailedPerS: load[5]}
}
